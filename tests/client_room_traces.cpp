// Traces of the client side when connection slots or descriptors are scarce, and during a planned stop. Each
// request on a connection that the kernel has accepted gets an answer or a refusal, and no connection with a
// request under way is reset.
#include <poll.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <utility>

#include "scene.h"

using namespace marbledyke;
using namespace marbledyke::scene;

namespace {

const Changes kFewSlots{{R"("sockets":200)", R"("sockets":64)"}, {R"("max-open":9)", R"("max-open":1000)"}};
constexpr int kMoreThanSlots = 90;

// The outcomes of a number of clients.
struct Outcomes {
  int served = 0;
  int refused = 0;
  int other = 0;       // another status
  int waiting = 0;     // no response yet
  int unanswered = 0;  // closed without a response
  int reset = 0;
};

Outcomes count_outcomes(std::list<Client>& clients) {
  Outcomes out;
  for (Client& client : clients) {
    const bool answered = client.answered();
    const std::string status = answered ? client.text.substr(9, 3) : "";
    out.reset += client.connection.was_reset ? 1 : 0;
    if (status == "200") {
      ++out.served;
    } else if (status == "503") {
      ++out.refused;
    } else if (answered) {
      ++out.other;
    } else if (client.connection.ended) {
      ++out.unanswered;
    } else {
      ++out.waiting;
    }
  }
  return out;
}

void print_failures(const Outcomes& outcomes) {
  print("without a response: " + std::to_string(outcomes.unanswered) + ", reset: " +
        std::to_string(outcomes.reset) + ", still waiting: " + std::to_string(outcomes.waiting) +
        ", with another status: " + std::to_string(outcomes.other));
}

void answer_all(FakeShardServer& server) {
  constexpr std::size_t kTextSize = 4;  // of the text "f00d" that each part carries
  for (const FakeShardServer::Frame& frame : std::exchange(server.frames, {})) {
    if (frame.text[0] != '1') continue;
    for (std::size_t at = 2; at < frame.text.size(); at = frame.text.find('|', at) + 1 + kTextSize)
      server.answer(frame.connection, frame.text.substr(at, frame.text.find(' ', at) - at), "S 1 -", "v");
  }
}

// Opens connections and sends one multiget on each as soon as it is established.
void connect_and_send(std::list<Client>& clients, int number, const std::string& prefix) {
  for (int i = 0; i < number; ++i) {
    clients.emplace_back();
    pollfd waits{clients.back().connection.fd.get(), POLLOUT, 0};
    poll(&waits, 1, 1000);
    clients.back().send(prefix + std::to_string(i), "issue", kOnePart);
  }
}

// All slots hold a pending request, and more clients connect: these are refused at once, and no connection
// ends without a response.
void all_in_hand() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, kFewSlots);
  scene.fake_servers = {&server};
  std::list<Client> clients;
  connect_and_send(clients, kMoreThanSlots, "m");
  scene.advance(30ms);
  const Outcomes at_once = count_outcomes(clients);
  print(at_once.refused > 0 && at_once.refused + at_once.waiting == kMoreThanSlots
            ? "each is pending or refused within 30 ms"
            : "NOT EACH IS PENDING OR REFUSED");
  const auto refused =
      std::find_if(clients.begin(), clients.end(), [](Client& client) { return client.answered(); });
  if (refused != clients.end()) print("a refusal: " + refused->answer());
  if (refused != clients.end()) clients.erase(refused);
  answer_all(server);
  scene.run_until("the answers", [&] { return count_outcomes(clients).waiting == 0; });
  print_failures(count_outcomes(clients));
  print(count_outcomes(clients).served == at_once.waiting ? "all pending ones are served"
                                                          : "NOT ALL PENDING ONES ARE SERVED");
  clients.clear();
  scene.advance(10ms);
  connect_and_send(clients, 10, "later");
  scene.advance(10ms);
  answer_all(server);
  scene.advance(10ms);
  print("served of 10 that connect afterwards: " + std::to_string(count_outcomes(clients).served));
}

// Runs `action` in the next turn, after input has been read and before any timer of the gatherer.
void run_before_timers(Scene& scene, const std::function<void()>& action) {
  scene.gatherer.loop().call_at(Duration::min() / 2, action);
}

// All slots hold a pending request when a planned stop ends accepting, and more clients connect in the same
// turn: they are refused, not reset with the accept queue. Clients that connect shortly afterwards are
// served.
void queue_at_stop() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, kFewSlots);
  scene.fake_servers = {&server};
  std::list<Client> before, at_end, after;
  connect_and_send(before, kMoreThanSlots, "before");
  scene.advance(20ms);
  scene.gatherer.begin_stop();
  scene.advance(399ms);
  run_before_timers(scene, [&] { connect_and_send(at_end, 20, "at-end"); });
  scene.advance(50ms);
  print("refused of 20 that connect at the end: " + std::to_string(count_outcomes(at_end).refused));
  print_failures(count_outcomes(at_end));
  answer_all(server);
  scene.advance(50ms);
  print_failures(count_outcomes(before));
  connect_and_send(after, 5, "after");
  scene.advance(20ms);
  answer_all(server);
  scene.advance(20ms);
  print("served of 5 that connect 0.1 s later: " + std::to_string(count_outcomes(after).served));
  before.clear();
  at_end.clear();
  after.clear();
  scene.run_until("the end", [&] { return !scene.running; });
}

// Clients that send nothing, or an incomplete request, occupy all slots and the accept queue: well-behaved
// clients that connect last are served, and no connection is reset.
void floods() {
  for (const bool incomplete : {false, true}) {
    FakeShardServer server(11);
    ManualClock clock;
    Scene scene(list_entry("A", 11), clock, kFewSlots);
    scene.fake_servers = {&server};
    std::list<Client> flood(150), regular;
    for (Client& client : flood) {
      if (incomplete) client.connection.write("POST /api HTT");
    }
    connect_and_send(regular, 5, "m");
    const Duration came = clock.steady();
    scene.run_until("the last of them", [&] {
      answer_all(server);
      return count_outcomes(regular).waiting == 0;
    });
    print(std::string(incomplete ? "incomplete requests: " : "silent clients: ") +
          std::to_string(count_outcomes(regular).served) + " of 5 served" +
          (clock.steady() - came < 2s ? ", before the flood ends" : ", LATE"));
    print_failures(count_outcomes(regular));
    print(std::none_of(flood.begin(), flood.end(), [](const Client& one) { return one.connection.was_reset; })
              ? "none is reset"
              : "RESET");
  }
}

// Idle kept connections occupy all slots: new clients get slots of theirs. The idle ones are closed in order,
// except for one whose next request has arrived but was not reported yet: that request is served.
void resting_in_order() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, kFewSlots);
  scene.fake_servers = {&server};
  std::list<Client> idle, fresh;
  connect_and_send(idle, 43, "m");
  scene.advance(20ms);
  answer_all(server);
  scene.advance(20ms);
  print("served and kept: " + std::to_string(count_outcomes(idle).served));
  for (Client& client : idle) client.text.clear();
  run_before_timers(scene, [&] {
    connect_and_send(fresh, 10, "fresh");
    idle.front().send("next", "issue", kOnePart);
  });
  scene.advance(20ms);
  answer_all(server);
  scene.advance(20ms);
  print("served of 10 that connect: " + std::to_string(count_outcomes(fresh).served));
  print_failures(count_outcomes(fresh));
  const Outcomes kept = count_outcomes(idle);
  print("of the idle ones, with a next request under way: " + std::to_string(kept.served) +
        " served; closed in order: " + std::to_string(kept.unanswered) +
        ", reset: " + std::to_string(kept.reset));
}

// A request that begins before a planned stop and is completed during it is served. One that is not completed
// in time gets an error response, and its connection is not reset while the client goes on sending.
void pieces_across_stop() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, kFewSlots);
  scene.fake_servers = {&server};
  Client body_later, slow_sender;
  const std::string body = R"({"slices":[{"slice":1,"mass":1}],"filter":"f00d"})";
  const auto head = [&](const char* id) {
    return std::string("POST /api HTTP/1.1\r\nX-Request-Id: ") + id +
           "\r\nX-Class: issue\r\nX-Deadline-Ms: 50000\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n";
  };
  body_later.connection.write(head("later"));
  scene.advance(100ms);
  scene.gatherer.begin_stop();
  scene.advance(200ms);
  body_later.connection.write(body);
  scene.advance(20ms);
  answer_all(server);
  scene.print_answer(body_later, "a client that sends its body later");
  // One byte every 10 ms from now on, beyond the time at which new connections end.
  const std::string whole = head("trickles") + body;
  for (const char byte : whole) {
    if (slow_sender.answered() || slow_sender.connection.ended) break;
    slow_sender.connection.write(std::string(1, byte));
    scene.advance(10ms);
  }
  scene.advance(10ms);
  answer_all(server);
  scene.print_answer(slow_sender, "a client that sends byte by byte");
  print(slow_sender.connection.was_reset ? "RESET" : "not reset");
}

// The last answers of a planned stop, which is ended by force 3.7 s after the signal. A second step that
// begins at the last moment ends in time, and an answer to a slow reader is still written after the time by
// which it had to be decided.
void last_answers() {
  FakeShardServer server(11);
  ManualClock clock;
  constexpr int kSlices = 128;
  const std::string value(60'000, 'v');
  Changes many_shards = kFewSlots;
  many_shards.push_back({R"("slabs":4)", R"("slabs":)" + std::to_string(kSlices)});
  std::optional<Scene> program(std::in_place, list_entry("A", 11), clock, many_shards);
  Scene& scene = *program;
  scene.fake_servers = {&server};
  scene.advance(10ms);
  const Duration stop_begun = clock.steady();
  scene.gatherer.begin_stop();
  scene.advance(300ms);
  Client two_steps, slow;
  const int small = 32 * 1024;
  setsockopt(slow.connection.fd.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  two_steps.send("steps", "draft", kTwoParts);
  std::string slices;
  for (int i = 0; i < kSlices; ++i)
    slices += (i > 0 ? "," : "[") + std::string(R"({"slice":)") + std::to_string(i) + R"(,"mass":0.0078125})";
  slow.send("slow", "issue", slices + "]");
  scene.advance(2980ms);
  // More than the kernel buffers for a connection; written part by part, since the fake server does not wait
  // for its socket.
  for (const FakeShardServer::Frame& frame : std::exchange(server.frames, {})) {
    for (std::size_t at = 2; at < frame.text.size(); at = frame.text.find('|', at) + 5) {
      const std::string part = frame.text.substr(at, frame.text.find(' ', at) - at);
      server.answer(frame.connection, part, "S 1 -", part.starts_with("slow") ? value : "v");
      scene.advance(1ms);
    }
  }
  scene.print_answer(two_steps, "a client that waits for two steps");
  print(clock.steady() - stop_begun <= 3550ms ? "in time" : "TOO LATE");
  while (scene.running && clock.steady() - stop_begun < 3570ms) scene.advance(1ms);
  two_steps.connection.fd.close();
  std::string text;
  while (scene.running) {
    text += slow.connection.read_available();
    scene.advance(1ms);
    if (text.size() > kSlices * value.size()) slow.connection.fd.close();
  }
  print(clock.steady() - stop_begun < 3700ms ? "ended before the forced end" : "ENDED BY FORCE");
  program.reset();
  const auto end = std::chrono::steady_clock::now() + 5s;
  while (slow.connection.fd && !slow.connection.ended && std::chrono::steady_clock::now() < end)
    text += slow.connection.read_available();
  print(text.size() > kSlices * value.size() ? "the slow reader has its whole answer"
                                             : "TRUNCATED after " + std::to_string(text.size()));
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  log::configure(log::Level::error, log::Format::plain, "test");
  const std::pair<const char*, void (*)()> cases[] = {{"all_in_hand", all_in_hand},
                                                      {"queue_at_stop", queue_at_stop},
                                                      {"floods", floods},
                                                      {"resting_in_order", resting_in_order},
                                                      {"pieces_across_stop", pieces_across_stop},
                                                      {"last_answers", last_answers}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
