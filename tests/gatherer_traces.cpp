// Traces of a complete gatherer on loopback sockets, with fake clients, shard servers and discovery in the
// same thread. Each run executes one case; the expected output is in traces/. Each step waits for the event
// that it expects, so the result does not depend on the machine's speed.
#include <cstring>
#include <string>

#include "scene.h"

using namespace marbledyke;
using namespace marbledyke::scene;

namespace {

// A multiget from request to answer: parts of the same turn share a call, shard servers answer in any order,
// and both connections are kept for the next multiget.
void life() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&server};
  Client client;
  for (const char* id : {"m1", "m2"}) {
    client.send(id, "issue", kTwoParts);
    const auto frame = scene.next_frame(server, "shard server");
    server.answer(frame.connection, std::string(id) + ".3", "S 5 -", "three");
    server.answer(frame.connection, std::string(id) + ".1", "S 9 -", "o\"ne");
    scene.print_answer(client, "client");
  }
  print("connections opened: " + std::to_string(server.connections_opened));
}

// The second step is sent to the shards with the highest scores; the answer consists of its values alone.
void second_step() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&server};
  Client client;
  client.send("m", "draft", R"([{"slice":0,"mass":0.3},{"slice":1,"mass":0.3},{"slice":2,"mass":0.4}])");
  auto frame = scene.next_frame(server, "shard server");
  server.answer(frame.connection, "m.0", "S 10 -", "a");
  server.answer(frame.connection, "m.1", "S 9 -", "b");
  server.answer(frame.connection, "m.2", "S 1840277719 -", "c");
  frame = scene.next_frame(server, "shard server");
  server.answer(frame.connection, "m.2.phase2", "S 0 -", "second c");
  server.answer(frame.connection, "m.0.phase2", "S 0 -", "second a");
  scene.print_answer(client, "client");
}

// A refused connection proves that nothing ran, so a non-retriable part is sent to another server.
void not_connected() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11) + "," + list_entry("dead", 12));
  scene.fake_servers = {&server};
  for (int shard = 0; shard < 4; ++shard) {
    Client client;
    const std::string id = "m" + std::to_string(shard);
    client.send(id, "issue", "[{\"slice\":" + std::to_string(shard) + ",\"mass\":1}]");
    const auto frame = scene.next_frame(server, "shard server");
    server.answer(frame.connection, id + "." + std::to_string(shard), "S 1 -", "v");
    scene.print_answer(client, "client");
  }
  print(scene.gatherer.tally().dial_failed > 0 ? "some were sent to the unreachable server first"
                                               : "NONE WAS SENT TO THE UNREACHABLE SERVER");
}

// Once the last byte of a frame is written, a broken connection does not prove that nothing ran: only
// retriable parts are sent again.
void broken_after() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&server};
  Client client;
  client.send("m1", "issue", kOnePart);
  scene.next_frame(server, "shard server").connection->reset();
  scene.print_answer(client, "client");
  client.send("m2", "draft", kOnePart);
  scene.next_frame(server, "shard server").connection->reset();
  const auto frame = scene.next_frame(server, "shard server");
  server.answer(frame.connection, "m2.1", "B - -", "");
  const auto again = scene.next_frame(server, "shard server");
  server.answer(again.connection, "m2.1", "E - -", "");
  scene.print_answer(client, "client");
}

// A connection that has not answered a part within the connect timeout gets no new parts until data arrives
// on it. A vanished machine leaves its connections open, whereas a new connection to it would fail and so
// prove that nothing ran.
void silent_connection() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11), "300000");
  scene.fake_servers = {&server};
  Client one, two, three;
  one.send("m1", "issue", kOnePart);
  const auto first = scene.next_frame(server, "shard server");
  const auto sent = std::chrono::steady_clock::now();
  scene.run_until("silence", [&] { return std::chrono::steady_clock::now() > sent + 400ms; });
  two.send("m2", "issue", kOnePart);
  const auto second = scene.next_frame(server, "shard server");
  print(second.connection == first.connection ? "OVER THE SILENT CONNECTION" : "over a new connection");
  server.answer(first.connection, "m1.1", "S 1 -", "v");
  scene.print_answer(one, "client");
  three.send("m3", "issue", kOnePart);
  print(scene.next_frame(server, "shard server").connection == first.connection ? "over the first connection"
                                                                                : "OVER ANOTHER CONNECTION");
}

// Connections are not ordered among each other, so the end of a step waits one tick after the latest
// unanswered send: that send might otherwise be read after the final answer. Here the second copy of an
// overdue part is sent, and the first send is answered at once.
void copy_under_way() {
  FakeShardServer a(11), b(12);
  Scene scene(list_entry("A", 11) + "," + list_entry("B", 12), "20000000", "30000000", "400000");
  scene.fake_servers = {&a, &b};
  Client client;
  client.send("m", "issue", kOnePart);
  scene.run_until("a frame", [&] { return !a.frames.empty() || !b.frames.empty(); });
  FakeShardServer& to = a.frames.empty() ? b : a;
  to.answer(to.frames.front().connection, "m.1", "S 1 -", "v");
  scene.run_until("an answer", [&] { return client.answered(); });
  print("without a second copy: " + client.answer());
  to.frames.clear();
  client.send("n", "draft", kOnePart);
  scene.run_until("two frames", [&] { return a.frames.size() + b.frames.size() == 2; });
  const auto copied = std::chrono::steady_clock::now();
  a.answer(a.frames.front().connection, "n.1", "S 1 -", "v");
  scene.run_until("the second step", [&] { return a.frames.size() + b.frames.size() > 3; });
  print(std::chrono::steady_clock::now() - copied > 250ms
            ? "the step ends after the tick"
            : "THE SECOND COPY MAY BE READ AFTER THE STEP'S END");
}

// When a client disconnects, its outstanding sends are cancelled and nothing more is sent.
void client_leaves() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&server};
  Client client;
  client.send("m", "issue", kOnePart);
  scene.next_frame(server, "shard server");
  client.connection.fd.close();
  scene.next_frame(server, "shard server");
}

// The list is requested at once and then watched. Draining servers get nothing new, and a body that cannot be
// parsed changes nothing.
void list_watched() {
  FakeShardServer a(11), b(12);
  FakeDiscovery discovery(2);
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&a, &b, &discovery};
  const auto expect_request = [&] {
    scene.run_until("a call", [&] { return !discovery.requests.empty(); });
    print("discovery gets " + discovery.requests.front());
    discovery.requests.pop_front();
  };
  const auto send_one = [&](const char* id) {
    Client client;
    client.send(id, "issue", kOnePart);
    scene.run_until("a frame", [&] { return !a.frames.empty() || !b.frames.empty(); });
    FakeShardServer& to = a.frames.empty() ? b : a;
    const auto frame = scene.next_frame(to, &to == &a ? "A" : "B");
    to.answer(frame.connection, std::string(id) + ".1", "S 1 -", "v");
    scene.print_answer(client, "client");
  };
  expect_request();
  discovery.answer(R"({"index":4,"snapshot":false,"endpoints":[]})");
  expect_request();
  send_one("m1");
  discovery.answer(R"({"index":5,"snapshot":false,"endpoints":[)" + list_entry("A", 11, "draining") + "," +
                   list_entry("B", 12) + "]}");
  expect_request();
  send_one("m2");
  discovery.answer(R"({"index":6,"snap)");
  expect_request();
  send_one("m3");
  discovery.answer(R"({"index":7,"snapshot":true,"endpoints":[)" + list_entry("A", 11) + "]}");
  expect_request();
  send_one("m4");
}

// A part waits for a connection to a server that then drains. It must not wait until the connect succeeds or
// fails: the send ends as never written, so that even a non-retriable part is sent to another server.
void drains_while_dialled() {
  FakeShardServer b(12);
  FakeDiscovery discovery(2);
  net::Descriptor full = net::listen_on(*net::parse_address(address(11)));
  if (listen(full.get(), 0) != 0) print("CANNOT LISTEN");
  std::vector<net::Descriptor> fillers;  // fill the accept queue, so that further connects wait
  for (int i = 0; i < 2; ++i) fillers.push_back(net::start_connect(*net::parse_address(address(11))));
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&b, &discovery};
  scene.run_until("the first call", [&] { return !discovery.requests.empty(); });
  Client client;
  client.send("m1", "issue", kOnePart);
  scene.run_until("a dial", [&] { return scene.gatherer.tally().sends > 0; });
  discovery.answer(R"({"index":5,"snapshot":false,"endpoints":[)" + list_entry("A", 11, "draining") + "," +
                   list_entry("B", 12) + "]}");
  const auto frame = scene.next_frame(b, "B");
  b.answer(frame.connection, "m1.1", "S 1 -", "v");
  scene.print_answer(client, "client");
}

// Settings change in a running gatherer: pending multigets finish, including their second step, under the
// settings that they arrived under, and new ones use the new settings. Nothing is sent twice, and reverting
// works in the same way. Invalid settings change nothing.
void settings_switched() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&server};
  Client before, once, during, after;
  before.send("m1", "draft", kTwoParts);
  const auto m1 = scene.next_frame(server, "shard server");
  once.send("m0", "issue", kOnePart);
  const auto m0 = scene.next_frame(server, "shard server");
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
  during.send("m2", "draft", kOnePart);
  scene.print_answer(during, "a client that uses the old name");
  during.send("m3", "search", kTwoParts);
  const auto m3 = scene.next_frame(server, "shard server");
  server.answer(m1.connection, "m1.1", "S 1 -", "a");
  server.answer(m1.connection, "m1.3", "S 2 -", "b");
  const auto second = scene.next_frame(server, "shard server");
  server.answer(second.connection, "m1.1.phase2", "S 0 -", "c");
  server.answer(second.connection, "m1.3.phase2", "S 0 -", "d");
  scene.print_answer(before, "the pending client");
  server.answer(m0.connection, "m0.1", "E - -", "");
  scene.print_answer(once, "the pending client whose part may have run");
  scene.reload({});
  after.send("m4", "draft", kOnePart);
  const auto m4 = scene.next_frame(server, "shard server");
  server.answer(m3.connection, "m3.1", "S 1 -", "e");
  server.answer(m3.connection, "m3.3", "S 2 -", "f");
  scene.print_answer(during, "the client that sent between the reloads");
  server.answer(m4.connection, "m4.1", "S 1 -", "g");
  scene.next_frame(server, "shard server");
  print("further frames: " + std::to_string(server.frames.size()));
  print("connections opened: " + std::to_string(server.connections_opened));
}

// A list request without a response is repeated early enough for the next one to be answered within 6 s, when
// a change counts as known to gatherers, but not within the 2 s after which discovery itself would refuse it.
// In a run at full size, silent watches were given up only when their changes already counted as known, so
// that gatherers sent to draining servers beyond the grace period.
void list_silent() {
  FakeShardServer a(11);
  FakeDiscovery discovery(2);
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&a, &discovery};
  scene.run_until("a call", [&] { return !discovery.requests.empty(); });
  print("discovery gets " + discovery.requests.front());
  discovery.requests.pop_front();
  const auto from = std::chrono::steady_clock::now();
  scene.run_until("another call", [&] { return !discovery.requests.empty(); });
  const auto took = std::chrono::steady_clock::now() - from;
  print(std::string("and without a response again ") + (took < 3500ms ? "within 3.5 s" : "LATE") +
        (took > 2s ? "" : ", TOO SOON"));
}

// A new configuration names another discovery address while a request to the old one is pending. The new one
// is asked at once for the whole list, and servers that it does not name are removed.
void list_moved() {
  FakeShardServer a(11), b(12);
  FakeDiscovery old(2), moved(3);
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&a, &b, &old, &moved};
  scene.run_until("a call", [&] { return !old.requests.empty(); });
  print("the old one gets " + old.requests.front());
  config::GathererConfig fresh = scene.gatherer_config;
  fresh.discovery = *net::parse_address(address(3));
  fresh.discovery_host = address(3);
  scene.gatherer.reload(fresh);
  scene.run_until("a call", [&] { return !moved.requests.empty(); });
  print("the new one gets " + moved.requests.front());
  scene.run_until("the end of the old call", [&] { return old.connections.front().ended; });
  moved.requests.clear();
  moved.answer(R"({"index":1,"snapshot":true,"endpoints":[)" + list_entry("B", 12) + "]}");
  scene.run_until("a call", [&] { return !moved.requests.empty(); });
  print("the new one gets " + moved.requests.front());
  Client client;
  client.send("m", "issue", kOnePart);
  const auto frame = scene.next_frame(b, "B");
  b.answer(frame.connection, "m.1", "S 1 -", "v");
  scene.print_answer(client, "client");
}

// A planned stop: new multigets are still accepted, each answer closes its connection, and the process ends
// when all answers are out.
void planned_stop() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&server};
  Client first, idle, incomplete;
  incomplete.connection.write("POST /api HTT");  // must not delay the end of the process
  first.send("m1", "issue", kOnePart);
  const auto frame = scene.next_frame(server, "shard server");
  scene.gatherer.begin_stop();
  Client late;
  late.send("m2", "issue", kOnePart);
  const auto second = scene.next_frame(server, "shard server");
  scene.run_until("the idle one's end",
                  [&] { return idle.connection.read_available().empty() && idle.connection.ended; });
  server.answer(second.connection, "m2.1", "S 1 -", "w");
  scene.print_answer(late, "late client");
  late.connection.fd.close();
  print(scene.running ? "still running" : "STOPPED WITH A PENDING MULTIGET");
  server.answer(frame.connection, "m1.1", "S 1 -", "v");
  scene.print_answer(first, "client");
  first.connection.fd.close();
  scene.run_until("the end", [&] { return !scene.running; });
  print("stopped");
}

// In a planned stop, existing client connections are served as long as a new request can be answered within
// its latency budget before the forced end, 3.7 s after the start of the stop: there may be no other gatherer
// to serve them.
void stop_serves_on() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11), "20000000", "1500000");
  scene.fake_servers = {&server};
  Client kept;
  const auto asks = [&](const char* id, const char* name) {
    kept.send(id, "issue", kOnePart);
    const auto frame = scene.next_frame(server, "shard server");
    server.answer(frame.connection, std::string(id) + ".1", "S 1 -", "v");
    scene.print_answer(kept, name);
  };
  asks("m1", "client");
  scene.gatherer.begin_stop();
  scene.run_until("no new connections", [] {
    Client late;
    return late.connection.read_available().empty() && late.connection.ended;
  });
  asks("m2", "client that stayed");
  scene.run_until("its end",
                  [&] { return kept.connection.read_available().empty() && kept.connection.ended; });
  scene.run_until("the end", [&] { return !scene.running; });
  print("stopped");
}

// Waits for clients are limited: a silent connection is closed, and an incomplete request gets an error
// response. A client that pipelines requests without a pause gets one answer per turn, so that others are
// served meanwhile.
void client_waits() {
  Scene scene(list_entry("A", 11), "300000");
  Client silent, incomplete;
  incomplete.connection.write("POST /api HTT");
  scene.run_until("an answer", [&] { return incomplete.answered(); });
  print("an incomplete request gets " + incomplete.answer());
  scene.run_until("its end",
                  [&] { return silent.connection.read_available().empty() && silent.connection.ended; });
  print("the silent connection is closed");
  Client pipelining;
  std::string many;
  for (int i = 0; i < 500; ++i) many += "GET /other HTTP/1.1\r\n\r\n";
  pipelining.connection.write(many);
  scene.run_until("an answer", [&] { return pipelining.answered(); });
  for (int i = 0; i < 3; ++i) scene.gatherer.run_once();
  pipelining.answered();
  std::size_t answers = 0;
  for (std::size_t at = 0; (at = pipelining.text.find("404", at)) != std::string::npos; ++at) answers += 1;
  print(answers < 20 ? "pipelined requests are answered turn by turn" : "PIPELINED REQUESTS OCCUPY THE LOOP");
}

// Invalid requests never reach a shard server, and valid requests after them are served.
void bad_requests() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&server};
  // The client sends the oversized body in any case; closing while it arrives must not lose the response.
  const std::string too_large =
      "POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(70000, 'x');
  for (const std::string& bytes :
       {std::string("GET /healthz HTTP/1.1\r\n\r\n"), std::string("GET /api HTTP/1.1\r\n\r\n"),
        std::string("GET /other HTTP/1.1\r\n\r\n"), std::string("nonsense\r\n\r\n"), too_large,
        std::string("POST /api HTTP/1.1\r\nX-Request-Id: m\r\nX-Class: odd\r\n\r\n")}) {
    Client client;
    client.connection.write(bytes);
    scene.run_until("an answer", [&] { return client.answered(); });
    const bool closing = client.text.find("Connection: close") != std::string::npos;
    print("client gets " + client.answer());
    if (!closing) continue;
    scene.run_until("its end",
                    [&] { return client.connection.read_available().empty() && client.connection.ended; });
    print(client.connection.was_reset ? "CLOSED BY A RESET" : "closed in order");
  }
  Client one, two;
  one.send("m", "issue", kOnePart);
  const auto frame = scene.next_frame(server, "shard server");
  two.send("m", "issue", kOnePart);
  scene.print_answer(two, "a duplicate id");
  // Seven of the nine places are left; each of these multigets takes three.
  std::list<Client> more(4);
  int number = 0;
  for (Client& client : more) {
    client.send("n" + std::to_string(number++), "issue", kTwoParts);
    if (number < 4) scene.next_frame(server, "shard server");
  }
  scene.print_answer(more.back(), "one too many");
  server.answer(frame.connection, "m.1", "S 1 -", "v");
  scene.print_answer(one, "client");
}

// A non-retriable part gets a connection without other outstanding parts, and no part joins it, so that a
// malformed answer to another part does not lose it with the connection.
void apart() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&server};
  Client one, two, three;
  one.send("m1", "draft", kOnePart);
  const auto first = scene.next_frame(server, "shard server");
  two.send("m2", "issue", kOnePart);
  const auto second = scene.next_frame(server, "shard server");
  print(second.connection == first.connection ? "ON THE SAME CONNECTION" : "on separate connections");
  three.send("m3", "draft", kOnePart);
  print(scene.next_frame(server, "shard server").connection == first.connection ? "over the first connection"
                                                                                : "OVER ANOTHER CONNECTION");
  first.connection->write("noise, and more noise");
  server.answer(second.connection, "m2.1", "S 1 -", "v");
  scene.print_answer(two, "client");
}

// An incomplete frame without further data closes its connection after the connect timeout, which ends the
// wait for the answer.
void stalled_frame() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11), "300000");
  scene.fake_servers = {&server};
  Client client;
  client.send("m", "issue", kOnePart);
  scene.next_frame(server, "shard server")
      .connection->write(std::string("\0\0\0\x40"
                                     "5m.1 S 1 -\nbut no more",
                                     27));
  scene.print_answer(client, "client");
}

// Idle connections to a server that drains or has left the list are closed; only those with outstanding parts
// are kept.
void let_go() {
  FakeShardServer a(11), b(12);
  FakeDiscovery discovery(2);
  Scene scene(list_entry("A", 11) + "," + list_entry("B", 12));
  scene.fake_servers = {&a, &b, &discovery};
  scene.run_until("a call", [&] { return !discovery.requests.empty(); });
  Client one, two;
  one.send("m1", "issue", kOnePart);
  scene.run_until("a frame", [&] { return !a.frames.empty() || !b.frames.empty(); });
  FakeShardServer& first = a.frames.empty() ? b : a;
  first.answer(first.frames.front().connection, "m1.1", "S 1 -", "v");
  scene.print_answer(one, "client");
  const std::string name = &first == &a ? "A" : "B";
  discovery.answer(R"({"index":5,"snapshot":false,"endpoints":[)" +
                   list_entry(name, &first == &a ? 11 : 12, "gone") + "]}");
  scene.run_until("its end", [&] { return first.connections.front().ended; });
  print("the idle connection is closed when its server is gone");
}

// Malformed input from shard servers: an answer to no outstanding part, or a framing error, closes the
// connection.
void odd_frames() {
  FakeShardServer server(11);
  Scene scene(list_entry("A", 11));
  scene.fake_servers = {&server};
  Client client;
  client.send("m1", "issue", kOnePart);
  auto frame = scene.next_frame(server, "shard server");
  server.answer(frame.connection, "m7.1", "S 1 -", "w");
  server.answer(frame.connection, "m1.1", "S 1 -", "v");
  scene.print_answer(client, "client");
  int number = 2;
  for (const std::string& bytes : {std::string("\xff\xff\xff\xff"), std::string("\0\0\0\4Xwhy", 8),
                                   std::string("\0\0\0\3"
                                               "5no",
                                               7)}) {
    client.send("m" + std::to_string(number++), "issue", kOnePart);
    frame = scene.next_frame(server, "shard server");
    frame.connection->write(bytes);
    scene.print_answer(client, "client");
  }
  print("connections opened: " + std::to_string(server.connections_opened));
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
