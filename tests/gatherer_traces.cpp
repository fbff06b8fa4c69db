// Traces of the whole program on loopback sockets, among stand-ins for clients, shard servers and discovery
// that live in this same thread; one case a run, the kept ones are in traces/. Each step waits for what it
// expects, so the machine's speed does not matter.
#include <cstring>
#include <string>

#include "scene.h"

using namespace marbledyke;
using namespace marbledyke::scene;

namespace {

// A multiget's whole life; parts of a turn share a call, answers come in any order, the connection is kept.
void life() {
  Leaf leaf(11);
  Scene scene(entry("A", 11));
  scene.hosts = {&leaf};
  Client client;
  for (const char* id : {"m1", "m2"}) {
    client.send(id, "issue", kTwo);
    const auto got = scene.next(leaf, "leaf");
    leaf.answer(got.wire, std::string(id) + ".3", "S 5 -", "three");
    leaf.answer(got.wire, std::string(id) + ".1", "S 9 -", "o\"ne");
    scene.answered(client, "client");
  }
  say("connections opened: " + std::to_string(leaf.opened));
}

// The second step goes to the shards that scored highest; its values alone make the answer.
void second_step() {
  Leaf leaf(11);
  Scene scene(entry("A", 11));
  scene.hosts = {&leaf};
  Client client;
  client.send("m", "draft", R"([{"slice":0,"mass":0.3},{"slice":1,"mass":0.3},{"slice":2,"mass":0.4}])");
  auto got = scene.next(leaf, "leaf");
  leaf.answer(got.wire, "m.0", "S 10 -", "a");
  leaf.answer(got.wire, "m.1", "S 9 -", "b");
  leaf.answer(got.wire, "m.2", "S 1840277719 -", "c");
  got = scene.next(leaf, "leaf");
  leaf.answer(got.wire, "m.2.phase2", "S 0 -", "second c");
  leaf.answer(got.wire, "m.0.phase2", "S 0 -", "second a");
  scene.answered(client, "client");
}

// A server that is not there proves that nothing ran: a non-retriable part goes to the other one.
void not_connected() {
  Leaf leaf(11);
  Scene scene(entry("A", 11) + "," + entry("dead", 12));
  scene.hosts = {&leaf};
  for (int shard = 0; shard < 4; ++shard) {
    Client client;
    const std::string id = "m" + std::to_string(shard);
    client.send(id, "issue", "[{\"slice\":" + std::to_string(shard) + ",\"mass\":1}]");
    const auto got = scene.next(leaf, "leaf");
    leaf.answer(got.wire, id + "." + std::to_string(shard), "S 1 -", "v");
    scene.answered(client, "client");
  }
  say(scene.gatherer.tally().dial_failed > 0 ? "some had been sent to the dead one first"
                                             : "NONE MET THE DEAD ONE");
}

// Once the frame's last byte is written, a broken connection proves nothing: only retriable parts go again.
void broken_after() {
  Leaf leaf(11);
  Scene scene(entry("A", 11));
  scene.hosts = {&leaf};
  Client client;
  client.send("m1", "issue", kOne);
  scene.next(leaf, "leaf").wire->reset();
  scene.answered(client, "client");
  client.send("m2", "draft", kOne);
  scene.next(leaf, "leaf").wire->reset();
  const auto got = scene.next(leaf, "leaf");
  leaf.answer(got.wire, "m2.1", "B - -", "");
  const auto again = scene.next(leaf, "leaf");
  leaf.answer(again.wire, "m2.1", "E - -", "");
  scene.answered(client, "client");
}

// A connection that has kept silent over a part for the connect time-out takes no new ones until it speaks
// again: a vanished machine leaves its connections open, and a new one would prove that nothing ran.
void silent_connection() {
  Leaf leaf(11);
  Scene scene(entry("A", 11), "300000");
  scene.hosts = {&leaf};
  Client one, two, three;
  one.send("m1", "issue", kOne);
  const auto first = scene.next(leaf, "leaf");
  const auto sent = std::chrono::steady_clock::now();
  scene.until("silence", [&] { return std::chrono::steady_clock::now() > sent + 400ms; });
  two.send("m2", "issue", kOne);
  const auto second = scene.next(leaf, "leaf");
  say(second.wire == first.wire ? "THE SILENT CONNECTION IS USED" : "over a new connection");
  leaf.answer(first.wire, "m1.1", "S 1 -", "v");
  scene.answered(one, "client");
  three.send("m3", "issue", kOne);
  say(scene.next(leaf, "leaf").wire == first.wire ? "over the first connection" : "OVER ANOTHER CONNECTION");
}

// Connections keep no order: the end of a multiget waits out the tick in which a send of it was written that
// is still out, or that send might be read behind the final answer. Here the copy of an overdue part goes out
// and the first send is answered at once.
void copy_under_way() {
  Leaf a(11), b(12);
  Scene scene(entry("A", 11) + "," + entry("B", 12), "20000000", "30000000", "400000");
  scene.hosts = {&a, &b};
  Client client;
  client.send("m", "issue", kOne);
  scene.until("a frame", [&] { return !a.got.empty() || !b.got.empty(); });
  Leaf& to = a.got.empty() ? b : a;
  to.answer(to.got.front().wire, "m.1", "S 1 -", "v");
  scene.until("an answer", [&] { return client.answered(); });
  say("without a copy: " + client.answer());
  to.got.clear();
  client.send("n", "draft", kOne);
  scene.until("two frames", [&] { return a.got.size() + b.got.size() == 2; });
  const auto copied = std::chrono::steady_clock::now();
  a.answer(a.got.front().wire, "n.1", "S 1 -", "v");
  scene.until("the second step", [&] { return a.got.size() + b.got.size() > 3; });
  say(std::chrono::steady_clock::now() - copied > 250ms ? "the step's end waits out the tick"
                                                        : "THE COPY MAY COME BEHIND THE STEP'S END");
}

// A client that closes has left: what is out for it is given up, and nothing more is sent.
void client_leaves() {
  Leaf leaf(11);
  Scene scene(entry("A", 11));
  scene.hosts = {&leaf};
  Client client;
  client.send("m", "issue", kOne);
  scene.next(leaf, "leaf");
  client.wire.fd.close();
  scene.next(leaf, "leaf");
}

// The list is asked for at once, then watched; who drains gets nothing new; a body that cannot be read
// changes nothing.
void list_watched() {
  Leaf a(11), b(12);
  Discovery discovery(2);
  Scene scene(entry("A", 11));
  scene.hosts = {&a, &b, &discovery};
  const auto asked = [&] {
    scene.until("a call", [&] { return !discovery.asked.empty(); });
    say("discovery is asked " + discovery.asked.front());
    discovery.asked.pop_front();
  };
  const auto sent = [&](const char* id) {
    Client client;
    client.send(id, "issue", kOne);
    scene.until("a frame", [&] { return !a.got.empty() || !b.got.empty(); });
    Leaf& to = a.got.empty() ? b : a;
    const auto got = scene.next(to, &to == &a ? "A" : "B");
    to.answer(got.wire, std::string(id) + ".1", "S 1 -", "v");
    scene.answered(client, "client");
  };
  asked();
  discovery.answer(R"({"index":4,"snapshot":false,"endpoints":[]})");
  asked();
  sent("m1");
  discovery.answer(R"({"index":5,"snapshot":false,"endpoints":[)" + entry("A", 11, "draining") + "," +
                   entry("B", 12) + "]}");
  asked();
  sent("m2");
  discovery.answer(R"({"index":6,"snap)");
  asked();
  sent("m3");
  discovery.answer(R"({"index":7,"snapshot":true,"endpoints":[)" + entry("A", 11) + "]}");
  asked();
  sent("m4");
}

// A part waits for a connection to a server that then drains: it must not wait for that to come up or fail,
// but ends as never sent and goes to another, though it may not be repeated.
void drains_while_dialled() {
  Leaf b(12);
  Discovery discovery(2);
  net::Descriptor full = net::listen_on(*net::parse_address(address(11)));
  if (listen(full.get(), 0) != 0) say("CANNOT LISTEN");
  std::vector<net::Descriptor> fillers;  // who waits to be accepted; nobody else comes in
  for (int i = 0; i < 2; ++i) fillers.push_back(net::start_connect(*net::parse_address(address(11))));
  Scene scene(entry("A", 11));
  scene.hosts = {&b, &discovery};
  scene.until("the first call", [&] { return !discovery.asked.empty(); });
  Client client;
  client.send("m1", "issue", kOne);
  scene.until("a dial", [&] { return scene.gatherer.tally().sends > 0; });
  discovery.answer(R"({"index":5,"snapshot":false,"endpoints":[)" + entry("A", 11, "draining") + "," +
                   entry("B", 12) + "]}");
  const auto got = scene.next(b, "B");
  b.answer(got.wire, "m1.1", "S 1 -", "v");
  scene.answered(client, "client");
}

// Settings change in a running gatherer: a multiget in hand ends under those it came under, second step and
// all; new ones are read under the new; nothing is sent twice, and the way back is the same step. A file that
// makes no sense changes nothing.
void settings_switched() {
  Leaf leaf(11);
  Scene scene(entry("A", 11));
  scene.hosts = {&leaf};
  Client before, once, during, after;
  before.send("m1", "draft", kTwo);
  const auto m1 = scene.next(leaf, "leaf");
  once.send("m0", "issue", kOne);
  const auto m0 = scene.next(leaf, "leaf");
  scene.reload({{R"("class-floor":[1,1])", R"("class-floor":[1,1],"complete-from":[1,0.5])"},
                {R"("complete-from":[1,1])", R"("unused":[])"}});
  scene.reload({{R"("attempts-cap":3)", R"("attempts-cap":0)"}});
  const std::vector<std::pair<std::string, std::string>> other = {
      {R"("draft","deadline")", R"("search","deadline")"},
      {R"("effect":"repeatable")", R"("effect":"by_key","key-ttl":4000000)"},
      {R"("class-floor":[1,1])", R"("class-floor":[0.4,1])"},
      {R"("second-step":[2,0])", R"("short-worth":[0.9,0.9])"},
      {R"("second-copies":true)", R"("second-copies":false)"}};
  scene.reload(other);
  during.send("m2", "draft", kOne);
  scene.answered(during, "a client of the old name");
  during.send("m3", "search", kTwo);
  const auto m3 = scene.next(leaf, "leaf");
  leaf.answer(m1.wire, "m1.1", "S 1 -", "a");
  leaf.answer(m1.wire, "m1.3", "S 2 -", "b");
  const auto second = scene.next(leaf, "leaf");
  leaf.answer(second.wire, "m1.1.phase2", "S 0 -", "c");
  leaf.answer(second.wire, "m1.3.phase2", "S 0 -", "d");
  scene.answered(before, "the client in hand");
  leaf.answer(m0.wire, "m0.1", "E - -", "");
  scene.answered(once, "the client in hand whose part may have run");
  scene.reload({});
  after.send("m4", "draft", kOne);
  const auto m4 = scene.next(leaf, "leaf");
  leaf.answer(m3.wire, "m3.1", "S 1 -", "e");
  leaf.answer(m3.wire, "m3.3", "S 2 -", "f");
  scene.answered(during, "the client of the time between");
  leaf.answer(m4.wire, "m4.1", "S 1 -", "g");
  scene.next(leaf, "leaf");
  say("frames besides: " + std::to_string(leaf.got.size()));
  say("connections opened: " + std::to_string(leaf.opened));
}

// A call that says nothing is given up, and made anew, early enough for the next one to be answered before
// what it would have said counts as told, 6 s after discovery had it; and not before discovery would have
// refused it itself, at 2 s. At full size a watch that fell silent was given up just when its news counted,
// and its gatherers sent to servers that drained for longer than the grace.
void list_silent() {
  Leaf a(11);
  Discovery discovery(2);
  Scene scene(entry("A", 11));
  scene.hosts = {&a, &discovery};
  scene.until("a call", [&] { return !discovery.asked.empty(); });
  say("discovery is asked " + discovery.asked.front());
  discovery.asked.pop_front();
  const auto from = std::chrono::steady_clock::now();
  scene.until("another call", [&] { return !discovery.asked.empty(); });
  const auto took = std::chrono::steady_clock::now() - from;
  say(std::string("and, silent, again ") + (took < 3500ms ? "within 3.5 s" : "LATE") +
      (took > 2s ? "" : ", TOO SOON"));
}

// A new configuration names another place for the list while a call waits at the old one: it is asked at
// once, from the beginning, and what it does not name is gone.
void list_moved() {
  Leaf a(11), b(12);
  Discovery old(2), moved(3);
  Scene scene(entry("A", 11));
  scene.hosts = {&a, &b, &old, &moved};
  scene.until("a call", [&] { return !old.asked.empty(); });
  say("the old one is asked " + old.asked.front());
  config::GathererConfig fresh = scene.gatherer_config;
  fresh.discovery = *net::parse_address(address(3));
  fresh.discovery_host = address(3);
  scene.gatherer.reload(fresh);
  scene.until("a call", [&] { return !moved.asked.empty(); });
  say("the new one is asked " + moved.asked.front());
  scene.until("the end of the old call", [&] { return old.wires.front().ended; });
  moved.asked.clear();
  moved.answer(R"({"index":1,"snapshot":true,"endpoints":[)" + entry("B", 12) + "]}");
  scene.until("a call", [&] { return !moved.asked.empty(); });
  say("the new one is asked " + moved.asked.front());
  Client client;
  client.send("m", "issue", kOne);
  const auto got = scene.next(b, "B");
  b.answer(got.wire, "m.1", "S 1 -", "v");
  scene.answered(client, "client");
}

// A planned stop: what comes is still taken, each answer closes its connection, and the end comes when all
// are out.
void planned_stop() {
  Leaf leaf(11);
  Scene scene(entry("A", 11));
  scene.hosts = {&leaf};
  Client first, idle, half;
  half.wire.put("POST /api HTT");  // must not keep the program from its end
  first.send("m1", "issue", kOne);
  const auto got = scene.next(leaf, "leaf");
  scene.gatherer.begin_stop();
  Client late;
  late.send("m2", "issue", kOne);
  const auto second = scene.next(leaf, "leaf");
  scene.until("the idle one's end", [&] { return idle.wire.take().empty() && idle.wire.ended; });
  leaf.answer(second.wire, "m2.1", "S 1 -", "w");
  scene.answered(late, "late client");
  late.wire.fd.close();
  say(scene.running ? "still at work" : "STOPPED WITH A MULTIGET IN HAND");
  leaf.answer(got.wire, "m1.1", "S 1 -", "v");
  scene.answered(first, "client");
  first.wire.fd.close();
  scene.until("the end", [&] { return !scene.running; });
  say("stopped");
}

// In a planned stop the connections that clients have are served on for as long as what comes can be answered
// within its latency budget before the end by force, 3.7 s after it began; nobody else may be there to serve.
void stop_serves_on() {
  Leaf leaf(11);
  Scene scene(entry("A", 11), "20000000", "1500000");
  scene.hosts = {&leaf};
  Client kept;
  const auto asks = [&](const char* id, const char* name) {
    kept.send(id, "issue", kOne);
    const auto got = scene.next(leaf, "leaf");
    leaf.answer(got.wire, std::string(id) + ".1", "S 1 -", "v");
    scene.answered(kept, name);
  };
  asks("m1", "client");
  scene.gatherer.begin_stop();
  scene.until("no new connections", [] {
    Client late;
    return late.wire.take().empty() && late.wire.ended;
  });
  asks("m2", "client that stayed");
  scene.until("its end", [&] { return kept.wire.take().empty() && kept.wire.ended; });
  scene.until("the end", [&] { return !scene.running; });
  say("stopped");
}

// Waits on clients end: one that says nothing is closed, half a request is answered; and one that sends
// request upon request without a pause gets one answer a turn, so that others are heard meanwhile.
void client_waits() {
  Scene scene(entry("A", 11), "300000");
  Client silent, half;
  half.wire.put("POST /api HTT");
  scene.until("an answer", [&] { return half.answered(); });
  say("half a request gets " + half.answer());
  scene.until("its end", [&] { return silent.wire.take().empty() && silent.wire.ended; });
  say("silence is closed");
  Client flood;
  std::string many;
  for (int i = 0; i < 500; ++i) many += "GET /other HTTP/1.1\r\n\r\n";
  flood.wire.put(many);
  scene.until("an answer", [&] { return flood.answered(); });
  for (int i = 0; i < 3; ++i) scene.gatherer.run_once();
  flood.answered();
  std::size_t answers = 0;
  for (std::size_t at = 0; (at = flood.text.find("404", at)) != std::string::npos; ++at) answers += 1;
  say(answers < 20 ? "a flood is answered bit by bit" : "A FLOOD HOLDS THE LOOP");
}

// What clients get wrong never reaches a server, and a sound request after it is served.
void bad_requests() {
  Leaf leaf(11);
  Scene scene(entry("A", 11));
  scene.hosts = {&leaf};
  // The body that is too large comes all the same; the answer must not be lost by closing on it.
  const std::string too_large =
      "POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(70000, 'x');
  for (const std::string& bytes :
       {std::string("GET /healthz HTTP/1.1\r\n\r\n"), std::string("GET /api HTTP/1.1\r\n\r\n"),
        std::string("GET /other HTTP/1.1\r\n\r\n"), std::string("nonsense\r\n\r\n"), too_large,
        std::string("POST /api HTTP/1.1\r\nX-Request-Id: m\r\nX-Class: odd\r\n\r\n")}) {
    Client client;
    client.wire.put(bytes);
    scene.until("an answer", [&] { return client.answered(); });
    const bool closing = client.text.find("Connection: close") != std::string::npos;
    say("client gets " + client.answer());
    if (!closing) continue;
    scene.until("its end", [&] { return client.wire.take().empty() && client.wire.ended; });
    say(client.wire.cut ? "CUT BY A RESET" : "ended in order");
  }
  Client one, two;
  one.send("m", "issue", kOne);
  const auto got = scene.next(leaf, "leaf");
  two.send("m", "issue", kOne);
  scene.answered(two, "the same id");
  // Seven more places are left of nine; each of these takes three.
  std::list<Client> more(4);
  int number = 0;
  for (Client& client : more) {
    client.send("n" + std::to_string(number++), "issue", kTwo);
    if (number < 4) scene.next(leaf, "leaf");
  }
  scene.answered(more.back(), "one too many");
  leaf.answer(got.wire, "m.1", "S 1 -", "v");
  scene.answered(one, "client");
}

// What a connection's end takes with it: a non-retriable part goes where nothing else is out, and nothing
// joins it, so that another part's spoilt answer does not lose it.
void apart() {
  Leaf leaf(11);
  Scene scene(entry("A", 11));
  scene.hosts = {&leaf};
  Client one, two, three;
  one.send("m1", "draft", kOne);
  const auto first = scene.next(leaf, "leaf");
  two.send("m2", "issue", kOne);
  const auto second = scene.next(leaf, "leaf");
  say(second.wire == first.wire ? "TOGETHER" : "apart");
  three.send("m3", "draft", kOne);
  say(scene.next(leaf, "leaf").wire == first.wire ? "over the first connection" : "OVER ANOTHER CONNECTION");
  first.wire->put("noise, and more noise");
  leaf.answer(second.wire, "m2.1", "S 1 -", "v");
  scene.answered(two, "client");
}

// A frame that is not gone on with ends its connection after the connect time-out, and with it the wait.
void stalled_frame() {
  Leaf leaf(11);
  Scene scene(entry("A", 11), "300000");
  scene.hosts = {&leaf};
  Client client;
  client.send("m", "issue", kOne);
  scene.next(leaf, "leaf")
      .wire->put(std::string("\0\0\0\x40"
                             "5m.1 S 1 -\nbut no more",
                             27));
  scene.answered(client, "client");
}

// A server that drains, or that the list no longer has, keeps no connection of ours but for what is out
// there.
void let_go() {
  Leaf a(11), b(12);
  Discovery discovery(2);
  Scene scene(entry("A", 11) + "," + entry("B", 12));
  scene.hosts = {&a, &b, &discovery};
  scene.until("a call", [&] { return !discovery.asked.empty(); });
  Client one, two;
  one.send("m1", "issue", kOne);
  scene.until("a frame", [&] { return !a.got.empty() || !b.got.empty(); });
  Leaf& first = a.got.empty() ? b : a;
  first.answer(first.got.front().wire, "m1.1", "S 1 -", "v");
  scene.answered(one, "client");
  const std::string name = &first == &a ? "A" : "B";
  discovery.answer(R"({"index":5,"snapshot":false,"endpoints":[)" +
                   entry(name, &first == &a ? 11 : 12, "gone") + "]}");
  scene.until("its end", [&] { return first.wires.front().ended; });
  say("the idle connection ends with its server");
}

// Shard servers that send nonsense: an answer for nothing out there, or lost framing, ends the connection.
void odd_frames() {
  Leaf leaf(11);
  Scene scene(entry("A", 11));
  scene.hosts = {&leaf};
  Client client;
  client.send("m1", "issue", kOne);
  auto got = scene.next(leaf, "leaf");
  leaf.answer(got.wire, "m7.1", "S 1 -", "w");
  leaf.answer(got.wire, "m1.1", "S 1 -", "v");
  scene.answered(client, "client");
  int number = 2;
  for (const std::string& bytes : {std::string("\xff\xff\xff\xff"), std::string("\0\0\0\4Xwhy", 8),
                                   std::string("\0\0\0\3"
                                               "5no",
                                               7)}) {
    client.send("m" + std::to_string(number++), "issue", kOne);
    got = scene.next(leaf, "leaf");
    got.wire->put(bytes);
    scene.answered(client, "client");
  }
  say("connections opened: " + std::to_string(leaf.opened));
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  log::configure(log::Level::error, log::Format::plain, "test");
  const std::pair<const char*, void (*)()> cases[] = {{"life", life},
                                                      {"second_step", second_step},
                                                      {"not_connected", not_connected},
                                                      {"broken_after", broken_after},
                                                      {"silent_connection", silent_connection},
                                                      {"client_leaves", client_leaves},
                                                      {"copy_under_way", copy_under_way},
                                                      {"list_watched", list_watched},
                                                      {"list_silent", list_silent},
                                                      {"list_moved", list_moved},
                                                      {"settings_switched", settings_switched},
                                                      {"drains_while_dialled", drains_while_dialled},
                                                      {"planned_stop", planned_stop},
                                                      {"stop_serves_on", stop_serves_on},
                                                      {"client_waits", client_waits},
                                                      {"bad_requests", bad_requests},
                                                      {"apart", apart},
                                                      {"stalled_frame", stalled_frame},
                                                      {"let_go", let_go},
                                                      {"odd_frames", odd_frames}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
