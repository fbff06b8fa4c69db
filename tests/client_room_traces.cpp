// Traces of what happens to clients when places or descriptors are short, and at a planned stop: each request
// whose connection the kernel has accepted gets an answer or a refusal, and no connection with a request on
// its way is reset.
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

const Changes kFewPlaces{{R"("sockets":200)", R"("sockets":64)"}, {R"("max-open":9)", R"("max-open":1000)"}};
constexpr int kMoreThanPlaces = 90;

// What has become of a number of clients.
struct Count {
  int served = 0, refused = 0, other = 0, waiting = 0, unanswered = 0, cut = 0;
};

Count count(std::list<Client>& clients) {
  Count out;
  for (Client& client : clients) {
    const bool answered = client.answered();
    const std::string status = answered ? client.text.substr(9, 3) : "";
    out.cut += client.wire.cut ? 1 : 0;
    if (status == "200") {
      ++out.served;
    } else if (status == "503") {
      ++out.refused;
    } else if (answered) {
      ++out.other;
    } else if (client.wire.ended) {
      ++out.unanswered;
    } else {
      ++out.waiting;
    }
  }
  return out;
}

void say_none(const Count& seen) {
  say("without an answer: " + std::to_string(seen.unanswered) + ", cut: " + std::to_string(seen.cut) +
      ", still waiting: " + std::to_string(seen.waiting) +
      ", with another answer: " + std::to_string(seen.other));
}

void answer_all(Leaf& leaf) {
  constexpr std::size_t kTextSize = 4;  // of what each part carries
  for (const Leaf::Got& got : std::exchange(leaf.got, {})) {
    if (got.text[0] != '1') continue;
    for (std::size_t at = 2; at < got.text.size(); at = got.text.find('|', at) + 1 + kTextSize)
      leaf.answer(got.wire, got.text.substr(at, got.text.find(' ', at) - at), "S 1 -", "v");
  }
}

// On new connections, each written to as soon as it is there.
void connect_and_ask(std::list<Client>& clients, int number, const std::string& prefix) {
  for (int i = 0; i < number; ++i) {
    clients.emplace_back();
    pollfd waits{clients.back().wire.fd.get(), POLLOUT, 0};
    poll(&waits, 1, 1000);
    clients.back().send(prefix + std::to_string(i), "issue", kOne);
  }
}

// Every place holds a request in hand, and more come on connections of their own: these are told at once that
// there is no room, and nobody's connection ends without an answer.
void all_in_hand() {
  Leaf leaf(11);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock, kFewPlaces);
  scene.hosts = {&leaf};
  std::list<Client> clients;
  connect_and_ask(clients, kMoreThanPlaces, "m");
  scene.pass(30ms);
  const Count at_once = count(clients);
  say(at_once.refused > 0 && at_once.refused + at_once.waiting == kMoreThanPlaces
          ? "each is in hand or refused within 30 ms"
          : "NOT EACH IS IN HAND OR REFUSED");
  const auto refused =
      std::find_if(clients.begin(), clients.end(), [](Client& client) { return client.answered(); });
  if (refused != clients.end()) say("a refusal: " + refused->answer());
  if (refused != clients.end()) clients.erase(refused);
  answer_all(leaf);
  scene.until("the answers", [&] { return count(clients).waiting == 0; });
  say_none(count(clients));
  say(count(clients).served == at_once.waiting ? "all in hand are served" : "NOT ALL IN HAND ARE SERVED");
  clients.clear();
  scene.pass(10ms);
  connect_and_ask(clients, 10, "later");
  scene.pass(10ms);
  answer_all(leaf);
  scene.pass(10ms);
  say("of 10 who come afterwards served: " + std::to_string(count(clients).served));
}

// In this turn, after what has come in was read and before any of the gatherer's own timers.
void before_timers(Scene& scene, const std::function<void()>& what) {
  scene.gatherer.loop().at(Duration::min() / 2, what);
}

// Every place holds a request in hand when a planned stop ends its accepting, and others connect in that very
// turn: these are refused and not reset with the queue. Who connects a moment later still is answered.
void queue_at_stop() {
  Leaf leaf(11);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock, kFewPlaces);
  scene.hosts = {&leaf};
  std::list<Client> before, at_end, after;
  connect_and_ask(before, kMoreThanPlaces, "before");
  scene.pass(20ms);
  scene.gatherer.leave();
  scene.pass(399ms);
  before_timers(scene, [&] { connect_and_ask(at_end, 20, "at-end"); });
  scene.pass(50ms);
  say("refused of 20 who came at the end: " + std::to_string(count(at_end).refused));
  say_none(count(at_end));
  answer_all(leaf);
  scene.pass(50ms);
  say_none(count(before));
  connect_and_ask(after, 5, "after");
  scene.pass(20ms);
  answer_all(leaf);
  scene.pass(20ms);
  say("served of 5 who came 0.1 s later: " + std::to_string(count(after).served));
  before.clear();
  at_end.clear();
  after.clear();
  scene.until("the end", [&] { return !scene.running; });
}

// Clients that say nothing, or half a request, hold every place and more wait behind them: an honest one that
// comes last is served all the same, and nobody is reset.
void floods() {
  for (const bool half : {false, true}) {
    Leaf leaf(11);
    SteppedTime clock;
    Scene scene(entry("A", 11), clock, kFewPlaces);
    scene.hosts = {&leaf};
    std::list<Client> flood(150), honest;
    for (Client& client : flood) {
      if (half) client.wire.put("POST /api HTT");
    }
    connect_and_ask(honest, 5, "m");
    const Duration came = clock.steady();
    scene.until("the last of them", [&] {
      answer_all(leaf);
      return count(honest).waiting == 0;
    });
    say(std::string(half ? "half requests: " : "silence: ") + std::to_string(count(honest).served) +
        " of 5 served" + (clock.steady() - came < 2s ? ", before their flood is over" : ", LATE"));
    say_none(count(honest));
    say(std::none_of(flood.begin(), flood.end(), [](const Client& one) { return one.wire.cut; })
            ? "none is cut"
            : "CUT");
  }
}

// Kept connections rest on every place: who comes gets theirs. Each is ended in order, but for one whose next
// request had come and was not yet told of: that is served.
void resting_in_order() {
  Leaf leaf(11);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock, kFewPlaces);
  scene.hosts = {&leaf};
  std::list<Client> resting, fresh;
  connect_and_ask(resting, 43, "m");
  scene.pass(20ms);
  answer_all(leaf);
  scene.pass(20ms);
  say("served and kept: " + std::to_string(count(resting).served));
  for (Client& client : resting) client.text.clear();
  before_timers(scene, [&] {
    connect_and_ask(fresh, 10, "fresh");
    resting.front().send("next", "issue", kOne);
  });
  scene.pass(20ms);
  answer_all(leaf);
  scene.pass(20ms);
  say("served of 10 who came: " + std::to_string(count(fresh).served));
  say_none(count(fresh));
  const Count kept = count(resting);
  say("whose next request crossed: " + std::to_string(kept.served) +
      " served; ended in order: " + std::to_string(kept.unanswered) + ", cut: " + std::to_string(kept.cut));
}

// A request that began before a planned stop and ends in it is served; one that takes beyond the time for
// this is answered, and its connection is not cut while it goes on.
void pieces_across_stop() {
  Leaf leaf(11);
  SteppedTime clock;
  Scene scene(entry("A", 11), clock, kFewPlaces);
  scene.hosts = {&leaf};
  Client body_later, trickles;
  const std::string body = R"({"slices":[{"slice":1,"mass":1}],"filter":"f00d"})";
  const auto head = [&](const char* id) {
    return std::string("POST /api HTTP/1.1\r\nX-Request-Id: ") + id +
           "\r\nX-Class: issue\r\nX-Deadline-Ms: 50000\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n";
  };
  body_later.wire.put(head("later"));
  scene.pass(100ms);
  scene.gatherer.leave();
  scene.pass(200ms);
  body_later.wire.put(body);
  scene.pass(20ms);
  answer_all(leaf);
  scene.answered(body_later, "whose body came later");
  // From now on a byte every 10 ms, over the end of the time for new connections.
  const std::string whole = head("trickles") + body;
  for (const char byte : whole) {
    if (trickles.answered() || trickles.wire.ended) break;
    trickles.wire.put(std::string(1, byte));
    scene.pass(10ms);
  }
  scene.pass(10ms);
  answer_all(leaf);
  scene.answered(trickles, "who trickles");
  say(trickles.wire.cut ? "CUT" : "not cut");
}

// The last answers of a planned stop, whose end by force comes 3.7 s after the signal. A second step that
// begins at the last moment ends in time, and an answer whose client reads slowly is written on after the
// moment by which it was decided.
void last_answers() {
  Leaf leaf(11);
  SteppedTime clock;
  constexpr int kSlices = 128;
  const std::string value(60'000, 'v');
  Changes many_shards = kFewPlaces;
  many_shards.push_back({R"("slabs":4)", R"("slabs":)" + std::to_string(kSlices)});
  std::optional<Scene> program(std::in_place, entry("A", 11), clock, many_shards);
  Scene& scene = *program;
  scene.hosts = {&leaf};
  scene.pass(10ms);
  const Duration told = clock.steady();
  scene.gatherer.leave();
  scene.pass(300ms);
  Client two_steps, slow;
  const int small = 32 * 1024;
  setsockopt(slow.wire.fd.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  two_steps.send("steps", "draft", kTwo);
  std::string slices;
  for (int i = 0; i < kSlices; ++i)
    slices += (i > 0 ? "," : "[") + std::string(R"({"slice":)") + std::to_string(i) + R"(,"mass":0.0078125})";
  slow.send("slow", "issue", slices + "]");
  scene.pass(2980ms);
  // More than the system holds for a connection; written part by part, since the stand-in does not wait for
  // its socket.
  for (const Leaf::Got& got : std::exchange(leaf.got, {})) {
    for (std::size_t at = 2; at < got.text.size(); at = got.text.find('|', at) + 5) {
      const std::string part = got.text.substr(at, got.text.find(' ', at) - at);
      leaf.answer(got.wire, part, "S 1 -", part.starts_with("slow") ? value : "v");
      scene.pass(1ms);
    }
  }
  scene.answered(two_steps, "who waits for two steps");
  say(clock.steady() - told <= 3550ms ? "in time" : "TOO LATE");
  while (scene.running && clock.steady() - told < 3570ms) scene.pass(1ms);
  two_steps.wire.fd.close();
  std::string text;
  while (scene.running) {
    text += slow.wire.take();
    scene.pass(1ms);
    if (text.size() > kSlices * value.size()) slow.wire.fd.close();
  }
  say(clock.steady() - told < 3700ms ? "ended before the end by force" : "ENDED BY FORCE");
  program.reset();
  const auto end = std::chrono::steady_clock::now() + 5s;
  while (slow.wire.fd && !slow.wire.ended && std::chrono::steady_clock::now() < end) text += slow.wire.take();
  say(text.size() > kSlices * value.size() ? "the slow reader has its whole answer"
                                           : "CUT OFF after " + std::to_string(text.size()));
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  log::open(log::Level::error, log::Form::plain, "test");
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
