// Traces of what crosses: a request, an answer, a reset or a signal that comes between two lines of the
// gatherer. The order is forced: a step is taken between two turns, or by a timer within one, before the
// gatherer's own.
#include <poll.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstring>
#include <list>
#include <optional>
#include <string>

#include "scene.h"

using namespace marbledyke;
using namespace marbledyke::scene;

namespace {

// In this turn, after what has come in was read and before any of the gatherer's own timers.
void before_timers(Scene& scene, const std::function<void()>& what) {
  scene.gatherer.loop().at(Duration::min() / 2, what);
}

// A client sends much at once and goes, by a reset that comes after the first answer was written and before
// the second is: the write that meets it ends the connection in the middle of its own turn.
void flood_gone() {
  Scene scene(entry("A", 11));
  Client flood, other;
  std::string many;
  for (int i = 0; i < 50; ++i) many += "GET /other HTTP/1.1\r\n\r\n";
  flood.wire.put(many);
  before_timers(scene, [&] { flood.wire.reset(); });
  for (int i = 0; i < 5; ++i) scene.gatherer.turn();
  other.wire.put("GET /healthz HTTP/1.1\r\n\r\n");
  scene.answered(other, "another client");
}

std::string since(const SteppedTime& clock, Duration from) {
  return std::to_string((clock.steady() - from) / 10ms * 10) + " ms";
}

std::string list_of(int index, const std::string& entries, bool whole = true) {
  return "{\"index\":" + std::to_string(index) + ",\"snapshot\":" + (whole ? "true" : "false") +
         ",\"endpoints\":[" + entries + "]}";
}

// Discovery's next call, and when it came.
void asked(Scene& scene, Discovery& discovery, Duration from) {
  scene.until("a call", [&] { return !discovery.asked.empty(); });
  say("after " + since(*scene.stepped, from) + " discovery is asked " + discovery.asked.front());
  discovery.asked.pop_front();
}

// The server that the next multiget goes to.
void goes_to(Scene& scene, Leaf& a, Leaf& b, const std::string& id) {
  Client client;
  client.send(id, "issue", kOne);
  scene.until("a frame", [&] { return !a.got.empty() || !b.got.empty(); });
  Leaf& to = a.got.empty() ? b : a;
  say(id + " goes to " + (&to == &a ? "A" : "B"));
  to.answer(to.got.front().wire, id + ".1", "S 1 -", "v");
  to.got.clear();
  scene.until("an answer", [&] { return client.answered(); });
}

// A watch falls silent: its answer is missed a quarter of a second after the wait, another call is made
// beside it, and what that one says holds. What was missed counts as told 2 s after the wait, or at once
// where the call is given up.
void list_overdue() {
  Leaf a(11), b(12);
  Discovery discovery(2);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock);
  scene.hosts = {&a, &b, &discovery};
  const Duration start = clock.steady();
  asked(scene, discovery, start);
  discovery.answer(list_of(5, entry("A", 11)));
  asked(scene, discovery, start);
  Wire* const silent = discovery.last;
  asked(scene, discovery, start);
  say(silent->take().empty() && silent->ended ? "THE WAIT IS GIVEN UP FOR IT" : "beside the wait");
  discovery.answer(list_of(6, entry("A", 11, "draining") + "," + entry("B", 12)));
  asked(scene, discovery, start);
  scene.until("the end of the silent call", [&] { return silent->take().empty() && silent->ended; });
  goes_to(scene, a, b, "m");
  // And where the second call is silent too: by the account, the next is out before 6 s are over.
  asked(scene, discovery, start);
  asked(scene, discovery, start);
  // The wait speaks after all: the call beside it is not needed.
  discovery.answer(list_of(6, "", false));
  asked(scene, discovery, start);
  Wire* const wait = discovery.last;
  asked(scene, discovery, start);
  Wire* const second = discovery.last;
  discovery.last = wait;
  discovery.answer(list_of(7, entry("A", 11), false));
  asked(scene, discovery, start);
  say(discovery.last == wait ? "goes on where the wait was answered" : "GOES ON ELSEWHERE");
  say(second->take().empty() && second->ended ? "the other is hung up" : "THE OTHER STAYS");
}

// An answer without a length ends with its connection; a reset is no end, whatever of it can be read.
void list_reset() {
  Leaf a(11), b(12);
  Discovery discovery(2);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock);
  scene.hosts = {&a, &b, &discovery};
  const std::string unstated = "HTTP/1.1 200 OK\r\n\r\n";
  const Duration start = clock.steady();
  asked(scene, discovery, start);
  discovery.last->put(unstated + list_of(5, entry("B", 12)));
  discovery.last->reset();
  asked(scene, discovery, start);
  goes_to(scene, a, b, "m1");
  discovery.last->put(unstated + list_of(6, entry("B", 12)));
  discovery.last->fd.close();
  asked(scene, discovery, start);
  goes_to(scene, a, b, "m2");
}

// What was taken before a planned stop, with time left beyond the end by force, has its final answer before
// that, 3.7 s after the signal, also where only its second step is out; what ends in time is answered whole.
void stop_outlasted() {
  for (const bool ends : {true, false}) {
    Leaf leaf(11);
    SteppedTime clock;
    Scene scene(entry("A", 11), clock);
    scene.hosts = {&leaf};
    Client client;
    client.send("m", "draft", kOne);
    auto got = scene.next(leaf, "leaf");
    const Duration told = clock.steady();
    scene.gatherer.leave();
    scene.pass(3200ms);
    leaf.answer(got.wire, "m.1", "S 1 -", "v");
    got = scene.next(leaf, "leaf");
    if (ends) leaf.answer(got.wire, "m.1.phase2", "S 1 -", "w");
    scene.answered(client, "client");
    say(clock.steady() < told + 3600ms ? "in time" : "LATE");
    client.wire.fd.close();
    scene.until("the end", [&] { return !scene.running; });
  }
}

// Discovery is away for long and comes back at the worst moment: right after a call that nobody takes up. The
// next one is made, and its answer read, before 6 s are over.
void list_back() {
  Leaf a(11), b(12);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock);
  scene.hosts = {&a, &b};
  scene.pass(20s);
  Discovery discovery(2);
  scene.hosts.push_back(&discovery);
  const Duration back = clock.steady();
  scene.until("a call", [&] { return !discovery.asked.empty(); });
  say(clock.steady() - back <= 3250ms ? "asked within 3.25 s of its return" : "ASKED LATE");
  discovery.asked.clear();
  const Duration hangs = clock.steady();
  asked(scene, discovery, hangs);
  scene.pass(2400ms);
  discovery.answer(list_of(5, entry("B", 12)));
  scene.until("a call", [&] { return !discovery.asked.empty(); });
  goes_to(scene, a, b, "m");
  say(clock.steady() - hangs < 6s ? "known before it counts as told" : "KNOWN TOO LATE");
}

// Where the list is pushed, what the agent has counts at once: a watch that is reset is opened anew at once.
void list_pushed_reset() {
  Leaf a(11), b(12);
  Discovery discovery(2);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock, {{R"("registry-mode":"ask",)", ""}});
  scene.hosts = {&a, &b, &discovery};
  const Duration start = clock.steady();
  asked(scene, discovery, start);
  discovery.answer(list_of(5, entry("A", 11)));
  asked(scene, discovery, start);
  discovery.last->reset();
  asked(scene, discovery, start);
  discovery.answer(list_of(6, entry("A", 11, "draining") + "," + entry("B", 12)));
  asked(scene, discovery, start);
  goes_to(scene, a, b, "m");
}

// The list takes a server out in the very turn in which a request for it comes in.
void list_same_turn() {
  Leaf a(11), b(12);
  Discovery discovery(2);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock);
  scene.hosts = {&a, &b, &discovery};
  asked(scene, discovery, clock.steady());
  discovery.answer(list_of(5, entry("A", 11)));
  asked(scene, discovery, clock.steady());
  discovery.answer(list_of(6, entry("A", 11, "draining") + "," + entry("B", 12)));
  goes_to(scene, a, b, "m");
}

// Discovery says this, and then three multigets come.
void told(Scene& scene, Discovery& discovery, Leaf& a, Leaf& b, int index, const std::string& entries) {
  scene.until("a call", [&] { return !discovery.asked.empty(); });
  discovery.asked.clear();
  discovery.answer(list_of(index, entries));
  scene.until("its being read", [&] { return !discovery.asked.empty(); });
  for (const char* one : {"-1", "-2", "-3"}) goes_to(scene, a, b, "m" + std::to_string(index) + one);
}

// An entry of a whole list that cannot be read leaves its server as it was: up, draining, or unknown, also
// where the zones were numbered anew meanwhile. Without a name it is nobody's, and its server gone like any
// that a whole list does not name.
void list_unreadable_entry() {
  Leaf a(11), b(12);
  Discovery discovery(2);
  SteppedTime clock;
  Scene scene(entry("A", 11) + "," + entry("B", 12), clock);
  scene.hosts = {&a, &b, &discovery};
  const std::string bad_group =
      R"({"name":"A","address":")" + address(11) + R"(","zone":"a","group":9,"status":"ready"})";
  const std::string bad_address = R"({"name":"B","address":"nowhere","zone":"a","status":"ready"})";
  say("A's status cannot be read, B drains");
  told(scene, discovery, a, b, 5, entry("A", 11, "bogus") + "," + entry("B", 12, "draining"));
  say("A drains, B is ready");
  told(scene, discovery, a, b, 6, entry("A", 11, "draining") + "," + entry("B", 12));
  say("A's group cannot be read, nor can a server's entry that was never known");
  told(scene, discovery, a, b, 7, bad_group + "," + entry("B", 12) + "," + entry("C", 13, "bogus"));
  say("A is ready, B gone");
  told(scene, discovery, a, b, 8, entry("A", 11));
  say("A is ready, B's address cannot be read: it stays gone");
  told(scene, discovery, a, b, 9, entry("A", 11) + "," + bad_address);
  say("A's group cannot be read, while a part is out there, and it is not the first zone any more");
  Client client;
  client.send("m", "issue", kOne);
  const auto out = scene.next(a, "A");
  discovery.asked.clear();  // another call is made
  scene.reload({{R"("zones":["a"])", R"("zones":["z","a"])"}});
  told(scene, discovery, a, b, 10, bad_group);
  a.answer(out.wire, "m.1", "S 1 -", "v");
  scene.answered(client, "client");
  say("an entry without a name, B is ready");
  told(scene, discovery, a, b, 11, R"({"name":7,"zone":"a","status":"ready"},)" + entry("B", 12));
  say("A is ready, B drains");
  told(scene, discovery, a, b, 12, entry("A", 11) + "," + entry("B", 12, "draining"));
  say("A's zone is no more, and its group cannot be read");
  discovery.asked.clear();
  scene.reload({{R"("zones":["a"])", R"("zones":["z"])"}});
  std::string in_z = entry("B", 12);
  in_z.replace(in_z.find(R"("zone":"a")"), 10, R"("zone":"z")");
  told(scene, discovery, a, b, 13, bad_group + "," + in_z);
}

// All watches fall silent at once, then a quarter of the servers drain and stay up, under traffic; discovery
// answers whoever asks anew. Nothing is sent to who drains once the grace after it counts as told is over: 2
// s after the wait.
void silent_and_draining() {
  for (const bool pushed : {false, true}) {
    std::list<Leaf> leaves;
    std::string all;
    for (int i = 0; i < 4; ++i) {
      leaves.emplace_back(11 + i);
      all += (i > 0 ? "," : "") + entry(std::string(1, static_cast<char>('A' + i)), 11 + i);
    }
    Discovery discovery(2);
    SteppedTime clock;
    Changes changes;
    if (pushed) changes.push_back({R"("registry-mode":"ask",)", ""});
    Scene scene(all, clock, changes);
    for (Leaf& leaf : leaves) scene.hosts.push_back(&leaf);
    scene.hosts.push_back(&discovery);
    asked(scene, discovery, clock.steady());
    discovery.answer(list_of(5, all));
    asked(scene, discovery, clock.steady());
    const Duration silent = clock.steady();
    Duration last{};
    int sent = 0, to_it = 0;
    Client client;
    while (clock.steady() < silent + 16s) {
      client.send("m" + std::to_string(sent++), "issue", kOne);
      scene.until("an answer", [&] {
        for (Leaf& leaf : leaves) {
          for (const Leaf::Got& got : std::exchange(leaf.got, {})) {
            if (got.text[0] != '1') continue;
            leaf.answer(got.wire, got.text.substr(2, got.text.find(' ', 2) - 2), "S 1 -", "v");
            if (&leaf == &leaves.back()) last = clock.steady(), ++to_it;
          }
        }
        // Who drains is known a second after the silence began, to whoever asks without waiting.
        for (; !discovery.asked.empty(); discovery.asked.pop_front()) {
          if (discovery.asked.front().ends_with("wait=0"))
            discovery.answer(list_of(6, entry("D", 14, "draining"), false));
        }
        return client.answered();
      });
      if (client.text.find(" 200 ") == std::string::npos) say("NOT SERVED: " + client.text);
      client.text.clear();
      scene.pass(5ms);
    }
    say(std::string(pushed ? "pushed: " : "asked: ") +
        (to_it > 20 ? "it had its part of the traffic" : "IT HAD NONE") +
        (last < silent + 12s + 500ms ? ", and nothing past the grace" : ", AND MORE PAST THE GRACE"));
  }
}

// A process is ready, and serves by the list that it was given, while discovery is away, or takes its call
// and says nothing.
void ready_without_list() {
  for (const bool hangs : {false, true}) {
    Leaf leaf(11);
    std::optional<Discovery> discovery;
    if (hangs) discovery.emplace(2);
    SteppedTime clock;
    Scene scene(entry("A", 11), clock);
    scene.hosts = {&leaf};
    if (hangs) scene.hosts.push_back(&*discovery);
    Client probe, client;
    probe.wire.put("GET /healthz HTTP/1.1\r\n\r\n");
    client.send("m", "issue", kOne);
    const auto got = scene.next(leaf, "leaf");
    leaf.answer(got.wire, "m.1", "S 1 -", "v");
    scene.answered(client, "client");
    scene.answered(probe, "who asks whether it is ready");
    say(clock.steady() - 1h < 100ms ? "within 0.1 s" : "LATE");
  }
}

// The room for clients follows the list, also from an empty one at the start: idle ones beyond it are let go.
void room_follows_list() {
  Discovery discovery(2);
  SteppedTime clock;
  Scene scene("", clock);
  scene.hosts = {&discovery};
  asked(scene, discovery, clock.steady());
  std::list<Client> idle(120);
  for (Client& client : idle) client.wire.put("GET /healthz HTTP/1.1\r\n\r\n");
  scene.until("answers", [&] {
    return std::all_of(idle.begin(), idle.end(), [](Client& client) { return client.answered(); });
  });
  scene.pass(3s);
  const auto kept = [&] {
    return std::to_string(std::count_if(idle.begin(), idle.end(), [](Client& client) {
      client.wire.take();
      return !client.wire.ended;
    }));
  };
  say("of 120 idle clients " + kept() + " are kept with an empty list of 191 descriptors");
  std::string servers;
  for (int i = 0; i < 30; ++i) servers += (i > 0 ? "," : "") + entry("s" + std::to_string(i), 11 + i);
  scene.until("a call", [&] { return !discovery.asked.empty(); });
  discovery.answer(list_of(5, servers));
  scene.pass(1s);
  say("and " + kept() + " with thirty servers");
}

// A client that closes behind more than this side will hold has gone all the same; so has one that ends only
// its side.
void client_gone_unread() {
  Leaf leaf(11);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock);
  scene.hosts = {&leaf};
  for (const char* how : {"closes", "ends its side"}) {
    Client client;
    client.send(std::string("m-") + how[0], "issue", kOne);
    scene.next(leaf, "leaf");
    client.wire.put(std::string(150'000, 'x'));
    scene.pass(10ms);
    const Duration gone = clock.steady();
    if (*how == 'c') {
      client.wire.fd.close();
    } else {
      shutdown(client.wire.fd.get(), SHUT_WR);
    }
    scene.next(leaf, (std::string("who ") + how + ": leaf").c_str());
    say(clock.steady() - gone < 100ms ? "within 0.1 s" : "LATE");
  }
}

// Who waits to be accepted where nobody else comes in, until it is emptied: then a connect that was under way
// comes up when its machine tries again, a second after.
struct FullListener {
  explicit FullListener(int last) : listener(net::listen_on(*net::parse_address(address(last)))) {
    if (listen(listener.get(), 0) != 0) say("CANNOT LISTEN");
    for (int i = 0; i < 2; ++i) fillers.push_back(net::start_connect(*net::parse_address(address(last))));
  }
  void empty() {
    while (net::accept_from(listener.get())) {
    }
  }
  std::string heard() {
    if (net::Descriptor fd = net::accept_from(listener.get())) wires.push_back({std::move(fd)});
    for (Wire& wire : wires) text += wire.take();
    return text;
  }
  net::Descriptor listener;
  std::list<net::Descriptor> fillers;
  std::list<Wire> wires;
  std::string text;
};

// A client leaves while its part waits for a connection to come up, and the terms let nothing be cancelled
// that was sent: it is not written when the connection is there.
void client_gone_dialling() {
  FullListener full(11);
  Scene scene(entry("A", 11), "20000000", "30000000", "5000", {{R"("cancel":true)", R"("cancel":false)"}});
  Client client, other;
  client.send("m1", "draft", kOne);
  scene.until("a dial", [&] { return scene.gatherer.tally().sends > 0; });
  client.wire.fd.close();
  const auto gone = std::chrono::steady_clock::now();
  scene.until("0.1 s", [&] { return std::chrono::steady_clock::now() > gone + 100ms; });
  full.empty();
  other.send("m2", "draft", kOne);
  scene.until("a frame", [&] { return full.heard().find("m") != std::string::npos; });
  say(full.heard().find("m1") == std::string::npos ? "the part of who left is not written"
                                                   : "WRITTEN FOR NOBODY");
}

// The window of a deduped part is over while its repeat waits for a connection: the repeat is not written,
// and ends as never sent; what shares its call is.
void window_over() {
  FullListener full(11);
  const Scene scene(entry("A", 11));
  net::Loop loop;
  loop.read_clock();
  servers::Servers servers(loop, scene.commission.carriage, 7, [] { return false; });
  servers.listed(list::read_news(config::parse(list_of(5, entry("A", 11))), scene.commission.carriage, 0s));
  std::vector<servers::Errand> errands(2);
  for (servers::Errand& errand : errands) {
    const bool first = &errand == &errands.front();
    errand.part.text.fill(first ? '1' : '2');
    errand.id = first ? "repeat.1" : "other.1";
    errand.text = std::make_shared<const std::string>("f00d");
    errand.not_past = loop.now() + 10s;
    if (first) errand.begun_by = loop.now() + 200ms;
  }
  servers.call("A", std::move(errands));
  const auto until = [&](const std::function<bool()>& holds) {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!holds() && std::chrono::steady_clock::now() < end) {
      loop.at(loop.now() + 20ms, [] {});
      loop.gather();
    }
  };
  const Duration begun = loop.now();
  until([&] { return loop.now() > begun + 300ms; });
  full.empty();
  until([&] { return full.heard().find("other.1") != std::string::npos; });
  say(full.heard().find("other.1") != std::string::npos ? "the other part is written" : "NOTHING IS WRITTEN");
  say(full.heard().find("repeat.1") == std::string::npos ? "the repeat is not" : "THE REPEAT IS WRITTEN");
  for (const servers::Ended& one : servers.ended)
    say(one.fate == Fate::unused ? "it ends as never sent" : "IT ENDS OTHERWISE");
}

// A close in the very round in which an answer frees a part, and one while a part rests before it goes round
// again.
void client_gone_in_round() {
  Leaf leaf(11);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock);
  scene.hosts = {&leaf};
  Client same_round, resting;
  same_round.send("m1", "draft", kOne);
  auto got = scene.next(leaf, "leaf");
  leaf.answer(got.wire, "m1.1", "E - -", "");
  same_round.wire.fd.close();
  scene.pass(1s);
  say("frames after it: " + std::to_string(leaf.got.size()));
  resting.send("m2", "draft", kOne);
  got = scene.next(leaf, "leaf");
  leaf.answer(got.wire, "m2.1", "E - -", "");
  scene.pass(20ms);
  resting.wire.fd.close();
  scene.pass(1s);
  say("frames after that: " + std::to_string(leaf.got.size()));
}

// A planned stop ends resting connections in order: a request that comes between the last look and the end is
// not taken up, and does not reset the connection. Who has only just come gets the time to ask, and half a
// request is answered.
void stop_crossed() {
  Leaf leaf(11);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock);
  scene.hosts = {&leaf};
  Client resting, half;
  half.wire.put("POST /api HTT");
  resting.send("m1", "issue", kOne);
  auto got = scene.next(leaf, "leaf");
  leaf.answer(got.wire, "m1.1", "S 1 -", "v");
  scene.answered(resting, "client");
  scene.gatherer.leave();
  scene.gatherer.leave();  // SIGTERM twice
  // After what has come in was read and right behind the gatherer's own timer, in the turn that ends the
  // resting ones.
  scene.gatherer.loop().at(scene.gatherer.loop().now() + 400ms, [&] { resting.send("m2", "issue", kOne); });
  scene.pass(300ms);
  Client fresh;
  scene.until("its end", [&] { return resting.wire.take().empty() && resting.wire.ended; });
  say(resting.wire.cut ? "CUT BY A RESET" : "the resting one ended in order");
  resting.wire.fd.close();
  scene.answered(half, "half a request");
  fresh.send("m3", "issue", kOne);
  got = scene.next(leaf, "leaf");
  leaf.answer(got.wire, "m3.1", "S 1 -", "v");
  scene.answered(fresh, "who had just come");
  say("frames besides: " + std::to_string(leaf.got.size()));
  half.wire.fd.close();
  fresh.wire.fd.close();
  scene.until("the end", [&] { return !scene.running; });
}

// What nobody answers has its final answer well before the end by force, 3.7 s after the signal; the module's
// last moment, the wait for sends that are under way and the write all come before that. Who then does not
// close is not waited for.
void stop_in_time() {
  Leaf leaf(11);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock, {{R"("connect-timeout":250000)", R"("connect-timeout":20000000)"}});
  scene.hosts = {&leaf};
  Client client;
  scene.pass(10ms);
  const Duration told = clock.steady();
  scene.gatherer.leave();
  scene.pass(300ms);
  client.send("m", "issue", kOne);
  scene.next(leaf, "leaf");
  scene.answered(client, "client");
  say(clock.steady() - told <= 3550ms ? "answered before the end by force" : "ANSWERED TOO LATE");
  scene.until("the end", [&] { return !scene.running; });
  say(clock.steady() - told < 3700ms ? "ended before it" : "ENDED BY FORCE");
}

// A discovery whose own process has no descriptor to spare either: it gives one up for each call that comes
// in.
struct CrowdedDiscovery : Discovery {
  using Discovery::Discovery;
  void hear() override {
    pollfd waits{listener.get(), POLLIN, 0};
    if (poll(&waits, 1, 0) > 0 && !ballast.empty()) ballast.pop_back();
    Discovery::hear();
  }
  void fill() {
    for (int fd; (fd = dup(0)) >= 0;) ballast.emplace_back(fd);
  }
  std::list<net::Descriptor> ballast;
};

// Discovery goes, and clients take every descriptor that there is, that of the call to it as well: it is
// called again all the same.
void descriptors_taken() {
  Leaf leaf(11);
  CrowdedDiscovery discovery(2);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock);
  scene.hosts = {&leaf, &discovery};
  asked(scene, discovery, clock.steady());
  discovery.answer(list_of(5, entry("A", 11)));
  asked(scene, discovery, clock.steady());
  std::list<Client> idle(10);
  for (Client& client : idle) {
    client.wire.put("GET /healthz HTTP/1.1\r\n\r\n");
    scene.until("an answer", [&] { return client.answered(); });
  }
  std::list<net::Descriptor> late;
  for (int i = 0; i < 10; ++i)
    late.emplace_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  discovery.fill();
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  discovery.ballast.clear();
  const net::Descriptor top(dup(0));
  limit.rlim_cur = static_cast<rlim_t>(top.get()) + 1;
  setrlimit(RLIMIT_NOFILE, &limit);
  discovery.fill();
  discovery.last->reset();
  discovery.fill();
  sockaddr_storage to{};
  const socklen_t size = net::parse_address(address(1))->put(to);
  for (const net::Descriptor& fd : late) {
    connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), size);
    send(fd.get(), "GET /healthz HTTP/1.1\r\n\r\n", 25, MSG_NOSIGNAL);
  }
  scene.pass(1ms);
  discovery.fill();
  asked(scene, discovery, clock.steady());
}

// The process has no descriptor left, and those held back for refusals are with clients that have only just
// come and say nothing: who comes next is taken in as soon as these have had their time to ask, though
// nothing is told of it again and nobody ends. All of them are refused or answered, none is reset.
void accepted_late() {
  SteppedTime clock;
  Scene scene(entry("A", 11), clock);
  {
    // All kinds of watchers are called once before: the sanitizer's first look at each needs a descriptor
    // itself.
    Client before;
    before.wire.put("GET /healthz HTTP/1.1\r\n\r\n");
    scene.answered(before, "a client before");
  }
  scene.pass(10ms);
  std::list<Client> silent(clients::kHeldBack);
  Client client;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  {
    const net::Descriptor top(dup(0));
    limit.rlim_cur = static_cast<rlim_t>(top.get()) + 1;
  }
  setrlimit(RLIMIT_NOFILE, &limit);
  std::list<net::Descriptor> ballast;
  for (int fd; (fd = dup(0)) >= 0;) ballast.emplace_back(fd);
  client.wire.put("GET /healthz HTTP/1.1\r\n\r\n");
  scene.pass(20ms);
  say(client.answered() ? "ANSWERED ALREADY" : "waits");
  const Duration room = clock.steady();
  scene.answered(client, "client");
  say(clock.steady() - room < 200ms ? "within 0.2 s" : "LATE");
  ballast.clear();
  scene.until("the end of those who said nothing", [&] {
    return std::all_of(silent.begin(), silent.end(),
                       [](Client& one) { return one.answered() || one.wire.ended; });
  });
  say(std::none_of(silent.begin(), silent.end(), [](const Client& one) { return one.wire.cut; })
          ? "none of the silent ones is cut"
          : "CUT");
}

// A request that crossed the end of its connection comes once more on a new one, under the same id: it was
// never read, so nothing of it is in the way. One whose id still has a part out is turned away and sent
// nowhere, since its answers could not be told apart, and a part that must not run twice would; after that
// the id is free.
void same_id_again() {
  Leaf leaf(11);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock, {{R"("cancel":true)", R"("cancel":false)"}});
  scene.hosts = {&leaf};
  Client silent;
  scene.pass(3s);
  Client again, leaves, early, later;
  silent.send("m1", "issue", kOne);
  scene.until("its end", [&] { return silent.wire.take().empty() && silent.wire.ended; });
  again.send("m1", "issue", kOne);
  auto got = scene.next(leaf, "leaf");
  leaf.answer(got.wire, "m1.1", "S 1 -", "v");
  scene.answered(again, "once more on a new connection");
  leaves.send("m2", "issue", kOne);
  got = scene.next(leaf, "leaf");
  leaves.wire.fd.close();
  scene.pass(20ms);
  early.send("m2", "issue", kOne);
  scene.answered(early, "while a part of it is out");
  leaf.answer(got.wire, "m2.1", "S 1 -", "v");
  scene.pass(20ms);
  later.send("m2", "issue", kOne);
  got = scene.next(leaf, "leaf");
  leaf.answer(got.wire, "m2.1", "S 1 -", "w");
  scene.answered(later, "after it");
  say("frames besides: " + std::to_string(leaf.got.size()));
}

// A turn that takes long is told, with how long; the longest goes into the totals once.
void long_turn() {
  SteppedTime clock;
  Scene scene(entry("A", 11), clock);
  log::tap([](const std::string& line) {
    for (const char* key : {"\"ms\":", "\"longest_turn_ms\":"}) {
      const std::size_t at = line.find(key);
      if (at != std::string::npos) say(line.substr(at, line.find(',', at) - at));
    }
  });
  const auto takes = [&](Duration time) {
    before_timers(scene, [&clock, time] {
      for (Duration passed{}; passed < time; passed += 1ms) clock.pass();
    });
    scene.pass(100ms);
  };
  for (const Duration time : {15ms, 25ms}) {
    say("a turn of " + std::to_string(time / 1ms) + " ms, and one for the stand-ins");
    takes(time);
    scene.gatherer.report();
  }
  scene.gatherer.report();
  log::tap(nullptr);
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  log::open(log::Level::error, log::Form::plain, "test");
  const std::pair<const char*, void (*)()> cases[] = {{"flood_gone", flood_gone},
                                                      {"list_overdue", list_overdue},
                                                      {"list_reset", list_reset},
                                                      {"list_back", list_back},
                                                      {"list_pushed_reset", list_pushed_reset},
                                                      {"list_same_turn", list_same_turn},
                                                      {"list_unreadable_entry", list_unreadable_entry},
                                                      {"silent_and_draining", silent_and_draining},
                                                      {"ready_without_list", ready_without_list},
                                                      {"room_follows_list", room_follows_list},
                                                      {"client_gone_unread", client_gone_unread},
                                                      {"client_gone_dialling", client_gone_dialling},
                                                      {"window_over", window_over},
                                                      {"client_gone_in_round", client_gone_in_round},
                                                      {"stop_crossed", stop_crossed},
                                                      {"stop_in_time", stop_in_time},
                                                      {"stop_outlasted", stop_outlasted},
                                                      {"descriptors_taken", descriptors_taken},
                                                      {"accepted_late", accepted_late},
                                                      {"same_id_again", same_id_again},
                                                      {"long_turn", long_turn}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
