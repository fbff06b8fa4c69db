// Traces of clients that reset their connection at the worst moment: after the events of a turn have been
// delivered and before its timers run. What such a timer then writes fails, and the failure closes the
// connection within the timer. The gatherer has to go on serving its other clients.
#include <cstring>
#include <memory>
#include <utility>

#include "scene.h"
#include "sru/front.h"

using namespace marbledyke;
using namespace marbledyke::scene;

namespace {

constexpr int kClientsThatReset = 8;
constexpr std::size_t kMaxConnections = 50;  // of the front under test

net::Address front_address() { return *net::parse_address(address(3)); }

search::Terms search_terms() {
  search::Index index;
  index.name = "dc.title";
  index.use = 4;
  search::Database database;
  database.name = "clauses";
  database.op_type = "issue";
  database.indexes.push_back(index);
  search::Terms terms;
  terms.databases.push_back(database);
  return terms;
}

// Adds a front to the scene's gatherer and returns it.
template <class Front>
Front& add_front(Scene& scene) {
  auto front = std::make_unique<Front>(scene.gatherer.loop(), search_terms(), scene.gatherer_config.settings,
                                       front_address(), 1, kMaxConnections);
  Front& added = *front;
  scene.gatherer.add(std::move(front));
  return added;
}

// Resets the connections in the next turn, after its events and before any timer of the gatherer.
void reset_before_timers(Scene& scene, std::list<Connection>& connections) {
  scene.gatherer.loop().call_at(Duration::min() / 2, [&connections] {
    for (Connection& connection : connections) connection.reset();
  });
}

std::list<Connection> connect_to_front(Scene& scene) {
  std::list<Connection> connections;
  for (int i = 0; i < kClientsThatReset; ++i) connections.push_back({net::start_connect(front_address())});
  scene.advance(5ms);
  return connections;
}

void print_counts(const char* what, std::uint64_t count) { print(what + (": " + std::to_string(count))); }

// Guards against the crash of `sru::Front` when a client that sent several requests at once resets its
// connection between two answers.
void sru_between_answers() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  scene.fake_servers = {&server};
  const sru::Front& front = add_front<sru::Front>(scene);
  Client regular;
  regular.send("m", "issue", kOnePart);
  const FakeShardServer::Frame frame = scene.next_frame(server, "A");
  std::list<Connection> resetting = connect_to_front(scene);
  print_counts("connections", front.size());
  std::string requests;
  for (int i = 0; i < 3; ++i)
    requests += "GET /clauses?operation=explain&version=1.2 HTTP/1.1\r\nHost: x\r\n\r\n";
  for (Connection& connection : resetting) connection.write(requests);
  reset_before_timers(scene, resetting);
  scene.run_turn();
  // The second of each client is begun by the timer, so this count shows that the order was as meant.
  print_counts("requests", front.tally().requests);
  print_counts("connections", front.size());
  server.answer(frame.connection, "m.1", "S 1 -", "v");
  scene.print_answer(regular, "another client");
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  log::configure(log::Level::error, log::Format::plain, "test");
  const std::pair<const char*, void (*)()> cases[] = {{"sru_between_answers", sru_between_answers}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
