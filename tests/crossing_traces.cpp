// Traces of races: a request, an answer, a reset or a signal that arrives at an inconvenient point of the
// gatherer's work. The order is deterministic: each step is taken between two turns of the event loop, or
// within a turn by a timer that runs before those of the gatherer.
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

// Runs `action` in the next turn, after input has been read and before any timer of the gatherer.
void run_before_timers(Scene& scene, const std::function<void()>& action) {
  scene.gatherer.loop().call_at(Duration::min() / 2, action);
}

// A client pipelines many requests and resets its connection after the first response was written and before
// the second. The write that fails closes the connection while its own input is being handled.
void flood_gone() {
  Scene scene(list_entry("A", 11));
  Client pipelining, other;
  std::string many;
  for (int i = 0; i < 50; ++i) many += "GET /other HTTP/1.1\r\n\r\n";
  pipelining.connection.write(many);
  run_before_timers(scene, [&] { pipelining.connection.reset(); });
  for (int i = 0; i < 5; ++i) scene.gatherer.run_once();
  other.connection.write("GET /healthz HTTP/1.1\r\n\r\n");
  scene.print_answer(other, "another client");
}

std::string elapsed(const ManualClock& clock, Duration from) {
  return std::to_string((clock.steady() - from) / 10ms * 10) + " ms";
}

std::string list_json(int index, const std::string& entries, bool whole = true) {
  return "{\"index\":" + std::to_string(index) + ",\"snapshot\":" + (whole ? "true" : "false") +
         ",\"endpoints\":[" + entries + "]}";
}

// Waits for discovery's next request, and prints it with the time since `from`.
void expect_list_request(Scene& scene, FakeDiscovery& discovery, Duration from) {
  scene.run_until("a call", [&] { return !discovery.requests.empty(); });
  print("after " + elapsed(*scene.manual_clock, from) + " discovery gets " + discovery.requests.front());
  discovery.requests.pop_front();
}

// Sends a multiget, prints the server that it is sent to, and waits for the answer.
void print_target(Scene& scene, FakeShardServer& a, FakeShardServer& b, const std::string& id) {
  Client client;
  client.send(id, "issue", kOnePart);
  scene.run_until("a frame", [&] { return !a.frames.empty() || !b.frames.empty(); });
  FakeShardServer& to = a.frames.empty() ? b : a;
  print(id + " is sent to " + (&to == &a ? "A" : "B"));
  to.answer(to.frames.front().connection, id + ".1", "S 1 -", "v");
  to.frames.clear();
  scene.run_until("an answer", [&] { return client.answered(); });
}

// A watch falls silent: its response is overdue a quarter of a second after the wait time, a second request
// is made in parallel, and the list takes what that one says. A missed change counts as known 2 s after the
// wait time, or at once if the request is abandoned.
void list_overdue() {
  FakeShardServer a(11), b(12);
  FakeDiscovery discovery(2);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  scene.fake_servers = {&a, &b, &discovery};
  const Duration start = clock.steady();
  expect_list_request(scene, discovery, start);
  discovery.answer(list_json(5, list_entry("A", 11)));
  expect_list_request(scene, discovery, start);
  Connection* const silent = discovery.last_connection;
  expect_list_request(scene, discovery, start);
  print(silent->read_available().empty() && silent->ended ? "THE WATCH IS CLOSED FOR IT"
                                                          : "in parallel to the watch");
  discovery.answer(list_json(6, list_entry("A", 11, "draining") + "," + list_entry("B", 12)));
  expect_list_request(scene, discovery, start);
  scene.run_until("the end of the silent call",
                  [&] { return silent->read_available().empty() && silent->ended; });
  print_target(scene, a, b, "m");
  // The second request is silent too: the next one must be sent before 6 s are over.
  expect_list_request(scene, discovery, start);
  expect_list_request(scene, discovery, start);
  // The watch responds after all, so the parallel request is not needed.
  discovery.answer(list_json(6, "", false));
  expect_list_request(scene, discovery, start);
  Connection* const wait = discovery.last_connection;
  expect_list_request(scene, discovery, start);
  Connection* const second = discovery.last_connection;
  discovery.last_connection = wait;
  discovery.answer(list_json(7, list_entry("A", 11), false));
  expect_list_request(scene, discovery, start);
  print(discovery.last_connection == wait ? "continues on the watch's connection"
                                          : "CONTINUES ON ANOTHER CONNECTION");
  print(second->read_available().empty() && second->ended ? "the parallel request is closed"
                                                          : "THE PARALLEL REQUEST STAYS OPEN");
}

// A response without a length ends when its connection is closed in order. A reset is not such an end, even
// if the body received so far can be parsed.
void list_reset() {
  FakeShardServer a(11), b(12);
  FakeDiscovery discovery(2);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  scene.fake_servers = {&a, &b, &discovery};
  const std::string unstated = "HTTP/1.1 200 OK\r\n\r\n";
  const Duration start = clock.steady();
  expect_list_request(scene, discovery, start);
  discovery.last_connection->write(unstated + list_json(5, list_entry("B", 12)));
  discovery.last_connection->reset();
  expect_list_request(scene, discovery, start);
  print_target(scene, a, b, "m1");
  discovery.last_connection->write(unstated + list_json(6, list_entry("B", 12)));
  discovery.last_connection->fd.close();
  expect_list_request(scene, discovery, start);
  print_target(scene, a, b, "m2");
}

// A multiget accepted before a planned stop, with a timeout beyond the forced end 3.7 s after the signal,
// gets its final answer before that end, also if only its second step is outstanding. If it completes in
// time, its answer is complete.
void stop_outlasted() {
  for (const bool ends : {true, false}) {
    FakeShardServer server(11);
    ManualClock clock;
    Scene scene(list_entry("A", 11), clock);
    scene.fake_servers = {&server};
    Client client;
    client.send("m", "draft", kOnePart);
    auto frame = scene.next_frame(server, "shard server");
    const Duration stop_begun = clock.steady();
    scene.gatherer.begin_stop();
    scene.advance(3200ms);
    server.answer(frame.connection, "m.1", "S 1 -", "v");
    frame = scene.next_frame(server, "shard server");
    if (ends) server.answer(frame.connection, "m.1.phase2", "S 1 -", "w");
    scene.print_answer(client, "client");
    print(clock.steady() < stop_begun + 3600ms ? "in time" : "LATE");
    client.connection.fd.close();
    scene.run_until("the end", [&] { return !scene.running; });
  }
}

// Discovery is unreachable for long and returns at the worst moment, right after a failed request. The
// next request is made and its response read before 6 s are over.
void list_back() {
  FakeShardServer a(11), b(12);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  scene.fake_servers = {&a, &b};
  scene.advance(20s);
  FakeDiscovery discovery(2);
  scene.fake_servers.push_back(&discovery);
  const Duration back = clock.steady();
  scene.run_until("a call", [&] { return !discovery.requests.empty(); });
  print(clock.steady() - back <= 3250ms ? "requested within 3.25 s of its return" : "REQUESTED LATE");
  discovery.requests.clear();
  const Duration hangs = clock.steady();
  expect_list_request(scene, discovery, hangs);
  scene.advance(2400ms);
  discovery.answer(list_json(5, list_entry("B", 12)));
  scene.run_until("a call", [&] { return !discovery.requests.empty(); });
  print_target(scene, a, b, "m");
  print(clock.steady() - hangs < 6s ? "known in time" : "KNOWN TOO LATE");
}

// Where the list is pushed, changes count as known at once, so a watch that is reset is reopened at once.
void list_pushed_reset() {
  FakeShardServer a(11), b(12);
  FakeDiscovery discovery(2);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, {{R"("registry-mode":"ask",)", ""}});
  scene.fake_servers = {&a, &b, &discovery};
  const Duration start = clock.steady();
  expect_list_request(scene, discovery, start);
  discovery.answer(list_json(5, list_entry("A", 11)));
  expect_list_request(scene, discovery, start);
  discovery.last_connection->reset();
  expect_list_request(scene, discovery, start);
  discovery.answer(list_json(6, list_entry("A", 11, "draining") + "," + list_entry("B", 12)));
  expect_list_request(scene, discovery, start);
  print_target(scene, a, b, "m");
}

// The list marks a server as draining in the same turn in which a multiget for it arrives.
void list_same_turn() {
  FakeShardServer a(11), b(12);
  FakeDiscovery discovery(2);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  scene.fake_servers = {&a, &b, &discovery};
  expect_list_request(scene, discovery, clock.steady());
  discovery.answer(list_json(5, list_entry("A", 11)));
  expect_list_request(scene, discovery, clock.steady());
  discovery.answer(list_json(6, list_entry("A", 11, "draining") + "," + list_entry("B", 12)));
  print_target(scene, a, b, "m");
}

// Answers discovery's pending request with these entries, then sends three multigets.
void answer_list(Scene& scene, FakeDiscovery& discovery, FakeShardServer& a, FakeShardServer& b, int index,
                 const std::string& entries) {
  scene.run_until("a call", [&] { return !discovery.requests.empty(); });
  discovery.requests.clear();
  discovery.answer(list_json(index, entries));
  scene.run_until("its being read", [&] { return !discovery.requests.empty(); });
  for (const char* one : {"-1", "-2", "-3"}) print_target(scene, a, b, "m" + std::to_string(index) + one);
}

// An unparsable entry of a complete list leaves its server as it was: up, draining or unknown, also after the
// zones were renumbered. An entry without a name belongs to no server, and a server that a complete list does
// not name is gone.
void list_unreadable_entry() {
  FakeShardServer a(11), b(12);
  FakeDiscovery discovery(2);
  ManualClock clock;
  Scene scene(list_entry("A", 11) + "," + list_entry("B", 12), clock);
  scene.fake_servers = {&a, &b, &discovery};
  const std::string bad_group =
      R"({"name":"A","address":")" + address(11) + R"(","zone":"a","group":9,"status":"ready"})";
  const std::string bad_address = R"({"name":"B","address":"nowhere","zone":"a","status":"ready"})";
  print("A's status is invalid, B drains");
  answer_list(scene, discovery, a, b, 5,
              list_entry("A", 11, "bogus") + "," + list_entry("B", 12, "draining"));
  print("A drains, B is ready");
  answer_list(scene, discovery, a, b, 6, list_entry("A", 11, "draining") + "," + list_entry("B", 12));
  print("A's group is invalid, and so is the entry of an unknown server");
  answer_list(scene, discovery, a, b, 7,
              bad_group + "," + list_entry("B", 12) + "," + list_entry("C", 13, "bogus"));
  print("A is ready, B gone");
  answer_list(scene, discovery, a, b, 8, list_entry("A", 11));
  print("A is ready, B's address is invalid: B stays gone");
  answer_list(scene, discovery, a, b, 9, list_entry("A", 11) + "," + bad_address);
  print("A's group is invalid while A has an outstanding part, and its zone is no longer the first");
  Client client;
  client.send("m", "issue", kOnePart);
  const auto out = scene.next_frame(a, "A");
  discovery.requests.clear();  // another call is made
  scene.reload({{R"("zones":["a"])", R"("zones":["z","a"])"}});
  answer_list(scene, discovery, a, b, 10, bad_group);
  a.answer(out.connection, "m.1", "S 1 -", "v");
  scene.print_answer(client, "client");
  print("an entry without a name, B is ready");
  answer_list(scene, discovery, a, b, 11, R"({"name":7,"zone":"a","status":"ready"},)" + list_entry("B", 12));
  print("A is ready, B drains");
  answer_list(scene, discovery, a, b, 12, list_entry("A", 11) + "," + list_entry("B", 12, "draining"));
  print("A's zone is removed, and its group is invalid");
  discovery.requests.clear();
  scene.reload({{R"("zones":["a"])", R"("zones":["z"])"}});
  std::string in_z = list_entry("B", 12);
  in_z.replace(in_z.find(R"("zone":"a")"), 10, R"("zone":"z")");
  answer_list(scene, discovery, a, b, 13, bad_group + "," + in_z);
}

// All watches fall silent at the same time, then a quarter of the servers drain but stay up, under traffic;
// discovery answers new requests. A change counts as known 2 s after the wait time; once the grace period
// after that is over, nothing is sent to a draining server.
void silent_and_draining() {
  for (const bool pushed : {false, true}) {
    std::list<FakeShardServer> shard_servers;
    std::string all;
    for (int i = 0; i < 4; ++i) {
      shard_servers.emplace_back(11 + i);
      all += (i > 0 ? "," : "") + list_entry(std::string(1, static_cast<char>('A' + i)), 11 + i);
    }
    FakeDiscovery discovery(2);
    ManualClock clock;
    Changes changes;
    if (pushed) changes.push_back({R"("registry-mode":"ask",)", ""});
    Scene scene(all, clock, changes);
    for (FakeShardServer& server : shard_servers) scene.fake_servers.push_back(&server);
    scene.fake_servers.push_back(&discovery);
    expect_list_request(scene, discovery, clock.steady());
    discovery.answer(list_json(5, all));
    expect_list_request(scene, discovery, clock.steady());
    const Duration silent = clock.steady();
    Duration last{};
    int sent = 0, to_it = 0;
    Client client;
    while (clock.steady() < silent + 16s) {
      client.send("m" + std::to_string(sent++), "issue", kOnePart);
      scene.run_until("an answer", [&] {
        for (FakeShardServer& server : shard_servers) {
          for (const FakeShardServer::Frame& frame : std::exchange(server.frames, {})) {
            if (frame.text[0] != '1') continue;
            server.answer(frame.connection, frame.text.substr(2, frame.text.find(' ', 2) - 2), "S 1 -", "v");
            if (&server == &shard_servers.back()) last = clock.steady(), ++to_it;
          }
        }
        // From one second after the silence began, requests without a wait time learn of the draining server.
        for (; !discovery.requests.empty(); discovery.requests.pop_front()) {
          if (discovery.requests.front().ends_with("wait=0"))
            discovery.answer(list_json(6, list_entry("D", 14, "draining"), false));
        }
        return client.answered();
      });
      if (client.text.find(" 200 ") == std::string::npos) print("NOT SERVED: " + client.text);
      client.text.clear();
      scene.advance(5ms);
    }
    print(std::string(pushed ? "pushed: " : "polled: ") +
          (to_it > 20 ? "the draining server had its share of the traffic"
                      : "THE DRAINING SERVER HAD NO TRAFFIC") +
          (last < silent + 12s + 500ms ? ", and none after the grace period"
                                       : ", AND MORE AFTER THE GRACE PERIOD"));
  }
}

// A gatherer is ready and serves from the list in its configuration while discovery is unreachable, or
// accepts its request and does not respond.
void ready_without_list() {
  for (const bool hangs : {false, true}) {
    FakeShardServer server(11);
    std::optional<FakeDiscovery> discovery;
    if (hangs) discovery.emplace(2);
    ManualClock clock;
    Scene scene(list_entry("A", 11), clock);
    scene.fake_servers = {&server};
    if (hangs) scene.fake_servers.push_back(&*discovery);
    Client probe, client;
    probe.connection.write("GET /healthz HTTP/1.1\r\n\r\n");
    client.send("m", "issue", kOnePart);
    const auto frame = scene.next_frame(server, "shard server");
    server.answer(frame.connection, "m.1", "S 1 -", "v");
    scene.print_answer(client, "client");
    scene.print_answer(probe, "the health check");
    print(clock.steady() - 1h < 100ms ? "within 0.1 s" : "LATE");
  }
}

// The limit of client connections follows the size of the list, also from an empty one at the start; idle
// connections beyond it are closed.
void room_follows_list() {
  FakeDiscovery discovery(2);
  ManualClock clock;
  Scene scene("", clock);
  scene.fake_servers = {&discovery};
  expect_list_request(scene, discovery, clock.steady());
  std::list<Client> idle(120);
  for (Client& client : idle) client.connection.write("GET /healthz HTTP/1.1\r\n\r\n");
  scene.run_until("answers", [&] {
    return std::all_of(idle.begin(), idle.end(), [](Client& client) { return client.answered(); });
  });
  scene.advance(3s);
  const auto kept = [&] {
    return std::to_string(std::count_if(idle.begin(), idle.end(), [](Client& client) {
      client.connection.read_available();
      return !client.connection.ended;
    }));
  };
  print("of 120 idle clients " + kept() + " are kept with an empty list and 191 descriptors");
  std::string servers;
  for (int i = 0; i < 30; ++i) servers += (i > 0 ? "," : "") + list_entry("s" + std::to_string(i), 11 + i);
  scene.run_until("a call", [&] { return !discovery.requests.empty(); });
  discovery.answer(list_json(5, servers));
  scene.advance(1s);
  print("and " + kept() + " with thirty servers");
}

// A client's disconnect is noticed even if it sent more data before than the gatherer buffers; so is a
// shutdown of the sending direction only.
void client_gone_unread() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  scene.fake_servers = {&server};
  for (const char* how : {"closes", "ends its side"}) {
    Client client;
    client.send(std::string("m-") + how[0], "issue", kOnePart);
    scene.next_frame(server, "shard server");
    client.connection.write(std::string(150'000, 'x'));
    scene.advance(10ms);
    const Duration gone = clock.steady();
    if (*how == 'c') {
      client.connection.fd.close();
    } else {
      shutdown(client.connection.fd.get(), SHUT_WR);
    }
    scene.next_frame(server, (std::string("client that ") + how + ": shard server").c_str());
    print(clock.steady() - gone < 100ms ? "within 0.1 s" : "LATE");
  }
}

// A listener with a full accept queue. Once it is emptied, a pending connect succeeds when the kernel
// retransmits its SYN, one second later.
struct FullListener {
  explicit FullListener(int last) : listener(net::listen_on(*net::parse_address(address(last)))) {
    if (listen(listener.get(), 0) != 0) print("CANNOT LISTEN");
    for (int i = 0; i < 2; ++i) fillers.push_back(net::start_connect(*net::parse_address(address(last))));
  }
  void empty() {
    while (net::accept_connection(listener.get())) {
    }
  }
  std::string received() {
    if (net::Descriptor fd = net::accept_connection(listener.get())) connections.push_back({std::move(fd)});
    for (Connection& connection : connections) text += connection.read_available();
    return text;
  }
  net::Descriptor listener;
  std::list<net::Descriptor> fillers;
  std::list<Connection> connections;
  std::string text;
};

// A client disconnects while its part waits for a connection, and the settings do not allow cancelling sends.
// The part is not written once the connection is established.
void client_gone_dialling() {
  FullListener full(11);
  Scene scene(list_entry("A", 11), "20000000", "30000000", "5000",
              {{R"("cancel":true)", R"("cancel":false)"}});
  Client client, other;
  client.send("m1", "draft", kOnePart);
  scene.run_until("a dial", [&] { return scene.gatherer.tally().sends > 0; });
  client.connection.fd.close();
  const auto gone = std::chrono::steady_clock::now();
  scene.run_until("0.1 s", [&] { return std::chrono::steady_clock::now() > gone + 100ms; });
  full.empty();
  other.send("m2", "draft", kOnePart);
  scene.run_until("a frame", [&] { return full.received().find("m") != std::string::npos; });
  print(full.received().find("m1") == std::string::npos ? "the part of the disconnected client is not written"
                                                        : "WRITTEN FOR A DISCONNECTED CLIENT");
}

// The dedupe window of a part ends while its repeat waits for a connection: the repeat is not written and
// ends as never sent, while other parts of the same call are written.
void window_over() {
  FullListener full(11);
  const Scene scene(list_entry("A", 11));
  net::Loop loop;
  loop.read_clock();
  servers::ShardServerPool servers(loop, scene.gatherer_config.settings, 7, [] { return false; });
  servers.apply_list_update(list::parse_list_update(config::parse(list_json(5, list_entry("A", 11))),
                                                    scene.gatherer_config.settings, 0s));
  std::vector<servers::SendRequest> errands(2);
  for (servers::SendRequest& errand : errands) {
    const bool first = &errand == &errands.front();
    errand.part.text.fill(first ? '1' : '2');
    errand.id = first ? "repeat.1" : "other.1";
    errand.text = std::make_shared<const std::string>("f00d");
    errand.deadline = loop.now() + 10s;
    if (first) errand.start_deadline = loop.now() + 200ms;
  }
  servers.call("A", std::move(errands));
  const auto until = [&](const std::function<bool()>& holds) {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!holds() && std::chrono::steady_clock::now() < end) {
      loop.call_at(loop.now() + 20ms, [] {});
      loop.run_once();
    }
  };
  const Duration begun = loop.now();
  until([&] { return loop.now() > begun + 300ms; });
  full.empty();
  until([&] { return full.received().find("other.1") != std::string::npos; });
  print(full.received().find("other.1") != std::string::npos ? "the other part is written"
                                                             : "NOTHING IS WRITTEN");
  print(full.received().find("repeat.1") == std::string::npos ? "the repeat is not written"
                                                              : "THE REPEAT IS WRITTEN");
  for (const servers::SendResult& one : servers.finished_sends)
    print(one.fate == SendOutcome::unused ? "it ends as never sent" : "IT ENDS OTHERWISE");
}

// A client disconnects in the same turn in which an error answer makes its part eligible for a retry, and
// another one while its part waits for the retry.
void client_gone_in_round() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  scene.fake_servers = {&server};
  Client same_round, awaiting_retry;
  same_round.send("m1", "draft", kOnePart);
  auto frame = scene.next_frame(server, "shard server");
  server.answer(frame.connection, "m1.1", "E - -", "");
  same_round.connection.fd.close();
  scene.advance(1s);
  print("frames after the first disconnect: " + std::to_string(server.frames.size()));
  awaiting_retry.send("m2", "draft", kOnePart);
  frame = scene.next_frame(server, "shard server");
  server.answer(frame.connection, "m2.1", "E - -", "");
  scene.advance(20ms);
  awaiting_retry.connection.fd.close();
  scene.advance(1s);
  print("frames after the second disconnect: " + std::to_string(server.frames.size()));
}

// A planned stop closes idle connections in order: a request that arrives between the last read and the close
// is not accepted, and does not reset the connection. A new connection gets time for its first request, and
// an incomplete request gets an error response.
void stop_crossed() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  scene.fake_servers = {&server};
  Client idle, incomplete;
  incomplete.connection.write("POST /api HTT");
  idle.send("m1", "issue", kOnePart);
  auto frame = scene.next_frame(server, "shard server");
  server.answer(frame.connection, "m1.1", "S 1 -", "v");
  scene.print_answer(idle, "client");
  scene.gatherer.begin_stop();
  scene.gatherer.begin_stop();  // SIGTERM twice
  // After input has been read and right after the gatherer's own timer, in the turn that closes the idle
  // connections.
  scene.gatherer.loop().call_at(scene.gatherer.loop().now() + 400ms,
                                [&] { idle.send("m2", "issue", kOnePart); });
  scene.advance(300ms);
  Client fresh;
  scene.run_until("its end",
                  [&] { return idle.connection.read_available().empty() && idle.connection.ended; });
  print(idle.connection.was_reset ? "CLOSED BY A RESET" : "the idle connection is closed in order");
  idle.connection.fd.close();
  scene.print_answer(incomplete, "an incomplete request");
  fresh.send("m3", "issue", kOnePart);
  frame = scene.next_frame(server, "shard server");
  server.answer(frame.connection, "m3.1", "S 1 -", "v");
  scene.print_answer(fresh, "the new client");
  print("further frames: " + std::to_string(server.frames.size()));
  incomplete.connection.fd.close();
  fresh.connection.fd.close();
  scene.run_until("the end", [&] { return !scene.running; });
}

// A multiget that no server answers gets its final answer well before the forced end, 3.7 s after the signal:
// the decision engine's deadline, the wait for sends under way and the write all come before it. A client
// that does not close afterwards is not waited for.
void stop_in_time() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, {{R"("connect-timeout":250000)", R"("connect-timeout":20000000)"}});
  scene.fake_servers = {&server};
  Client client;
  scene.advance(10ms);
  const Duration stop_begun = clock.steady();
  scene.gatherer.begin_stop();
  scene.advance(300ms);
  client.send("m", "issue", kOnePart);
  scene.next_frame(server, "shard server");
  scene.print_answer(client, "client");
  print(clock.steady() - stop_begun <= 3550ms ? "answered before the forced end" : "ANSWERED TOO LATE");
  scene.run_until("the end", [&] { return !scene.running; });
  print(clock.steady() - stop_begun < 3700ms ? "ended before it" : "ENDED BY FORCE");
}

// A fake discovery in a process without free descriptors: it releases one for each incoming connection.
struct CrowdedDiscovery : FakeDiscovery {
  using FakeDiscovery::FakeDiscovery;
  void process_input() override {
    pollfd waits{listener.get(), POLLIN, 0};
    if (::poll(&waits, 1, 0) > 0 && !ballast.empty()) ballast.pop_back();
    FakeDiscovery::process_input();
  }
  void fill() {
    for (int fd; (fd = dup(0)) >= 0;) ballast.emplace_back(fd);
  }
  std::list<net::Descriptor> ballast;
};

// Discovery resets its connection, and clients take every descriptor, including the one just released:
// discovery is asked again nevertheless.
void descriptors_taken() {
  FakeShardServer server(11);
  CrowdedDiscovery discovery(2);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  scene.fake_servers = {&server, &discovery};
  expect_list_request(scene, discovery, clock.steady());
  discovery.answer(list_json(5, list_entry("A", 11)));
  expect_list_request(scene, discovery, clock.steady());
  std::list<Client> idle(10);
  for (Client& client : idle) {
    client.connection.write("GET /healthz HTTP/1.1\r\n\r\n");
    scene.run_until("an answer", [&] { return client.answered(); });
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
  discovery.last_connection->reset();
  discovery.fill();
  sockaddr_storage to{};
  const socklen_t size = net::parse_address(address(1))->to_sockaddr(to);
  for (const net::Descriptor& fd : late) {
    connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), size);
    send(fd.get(), "GET /healthz HTTP/1.1\r\n\r\n", 25, MSG_NOSIGNAL);
  }
  scene.advance(1ms);
  discovery.fill();
  expect_list_request(scene, discovery, clock.steady());
}

// The process is out of descriptors, and those reserved for refusals are held by new silent clients. The next
// client is accepted as soon as these have had time for their first request, although the event loop does not
// report it again and no connection closes. All clients are refused or answered, and none is reset.
void accepted_late() {
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  {
    // Each kind of watcher is called once before, since the sanitizer's first check of each needs a
    // descriptor.
    Client before;
    before.connection.write("GET /healthz HTTP/1.1\r\n\r\n");
    scene.print_answer(before, "a client before");
  }
  scene.advance(10ms);
  std::list<Client> silent(clients::kReservedDescriptors);
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
  client.connection.write("GET /healthz HTTP/1.1\r\n\r\n");
  scene.advance(20ms);
  print(client.answered() ? "ANSWERED TOO EARLY" : "waits");
  const Duration room = clock.steady();
  scene.print_answer(client, "client");
  print(clock.steady() - room < 200ms ? "within 0.2 s" : "LATE");
  ballast.clear();
  scene.run_until("the end of those who said nothing", [&] {
    return std::all_of(silent.begin(), silent.end(),
                       [](Client& one) { return one.answered() || one.connection.ended; });
  });
  print(std::none_of(silent.begin(), silent.end(), [](const Client& one) { return one.connection.was_reset; })
            ? "no silent connection is reset"
            : "RESET");
}

constexpr Duration kShortDeadline = 2s;
const Changes kShortDeadlines{{R"("draft","deadline":60000000)", R"("draft","deadline":2000000)"},
                              {R"("issue","deadline":60000000)", R"("issue","deadline":2000000)"}};

// A client disconnects, and its non-retriable part, which was written, is cancelled. The part may run all the
// same, so that the id is refused when it comes again, until its longest time is over. Guards against a part
// that runs twice (issue 54).
void left_and_again() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, kShortDeadlines);
  scene.fake_servers = {&server};
  Client departing, again;
  departing.send("m", "issue", kOnePart);
  scene.next_frame(server, "shard server");
  departing.connection.fd.close();
  scene.next_frame(server, "shard server");
  again.send("m", "issue", kOnePart);
  scene.advance(20ms);
  print("frames for the same id: " + std::to_string(server.frames.size()));
  if (again.answered()) scene.print_answer(again, "the same id");
  scene.advance(kShortDeadline);
  Client later;
  later.send("m", "issue", kOnePart);
  const auto frame = scene.next_frame(server, "later: shard server");
  server.answer(frame.connection, "m.1", "S 1 -", "v");
  scene.print_answer(later, "the same id later");
}

// A request that was sent while its connection was being closed is sent again on a new one, with the same id:
// it was never read, so it is accepted. A request whose id still has an outstanding part is refused and sent
// nowhere, since answers could not be told apart and a non-retriable part could run twice. One that has run
// is refused until its longest time is over; after that the id is free again.
void same_id_again() {
  FakeShardServer server(11);
  ManualClock clock;
  Changes changes = kShortDeadlines;
  changes.push_back({R"("cancel":true)", R"("cancel":false)"});
  Scene scene(list_entry("A", 11), clock, changes);
  scene.fake_servers = {&server};
  Client silent;
  scene.advance(3s);
  Client again, departing, early, soon;
  silent.send("m1", "issue", kOnePart);
  scene.run_until("its end",
                  [&] { return silent.connection.read_available().empty() && silent.connection.ended; });
  again.send("m1", "issue", kOnePart);
  auto frame = scene.next_frame(server, "shard server");
  server.answer(frame.connection, "m1.1", "S 1 -", "v");
  scene.print_answer(again, "the repeat on a new connection");
  departing.send("m2", "issue", kOnePart);
  frame = scene.next_frame(server, "shard server");
  departing.connection.fd.close();
  scene.advance(20ms);
  early.send("m2", "issue", kOnePart);
  scene.print_answer(early, "while a part is outstanding");
  server.answer(frame.connection, "m2.1", "S 1 -", "v");
  scene.advance(20ms);
  soon.send("m2", "issue", kOnePart);
  scene.print_answer(soon, "while it may have run");
  scene.advance(kShortDeadline);
  Client later;
  later.send("m2", "issue", kOnePart);
  frame = scene.next_frame(server, "shard server");
  server.answer(frame.connection, "m2.1", "S 1 -", "w");
  scene.print_answer(later, "after that");
  print("further frames: " + std::to_string(server.frames.size()));
}

// A long turn is logged with its duration; the longest turn is reported once in the totals.
void long_turn() {
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  log::set_listener([](const std::string& line) {
    for (const char* key : {"\"ms\":", "\"longest_turn_ms\":"}) {
      const std::size_t at = line.find(key);
      if (at != std::string::npos) print(line.substr(at, line.find(',', at) - at));
    }
  });
  const auto takes = [&](Duration time) {
    run_before_timers(scene, [&clock, time] {
      for (Duration passed{}; passed < time; passed += 1ms) clock.advance();
    });
    scene.advance(100ms);
  };
  for (const Duration time : {15ms, 25ms}) {
    print("a turn of " + std::to_string(time / 1ms) + " ms, and one for the fake servers");
    takes(time);
    scene.gatherer.log_totals();
  }
  scene.gatherer.log_totals();
  log::set_listener(nullptr);
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  log::configure(log::Level::error, log::Format::plain, "test");
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
                                                      {"left_and_again", left_and_again},
                                                      {"long_turn", long_turn}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
