// Traces of clients that reset their connection at the worst moment: after the events of a turn have been
// delivered and before its timers run. What such a timer then writes fails, and the failure closes the
// connection within the timer. The gatherer has to go on serving its other clients.
#include <algorithm>
#include <cstring>
#include <memory>
#include <utility>

#include "scene.h"
#include "search/part.h"
#include "search_scene.h"
#include "sru/front.h"
#include "z3950/front.h"
#include "z3950/talk.h"

using namespace marbledyke;
using namespace marbledyke::scene;

namespace {

constexpr int kClientsThatReset = 4;  // the scene's limit of pending multigets allows for no more

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

// Answers the parts received, one to a frame, with a value that is no result of a search.
void answer_searches(FakeShardServer& server) {
  for (const FakeShardServer::Frame& frame : std::exchange(server.frames, {})) {
    if (!frame.text.starts_with("1 ")) continue;
    const std::string id = frame.text.substr(2, frame.text.find(' ', 2) - 2);
    server.answer(frame.connection, id, "S 1 -", "v");
  }
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

// A search over Z39.50 in a session whose Init has been answered. One of an unknown database is answered at
// once.
std::string search_request(const std::string& init_response, const char* database) {
  z3950::Talk session(database);
  session.greeting();
  carrier::SessionEvent event;
  session.feed(init_response, event);
  search::PartAsk part;
  part.database = database;
  part.pqf = "@attr 1=4 of";
  return session.format_request(search::text_of(part), 0);
}

// Guards against the crash of `z3950::Front` when a client resets its connection after the answer to one
// search, and before the next one, which waited for that answer, is begun.
void z3950_between_searches() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  scene.fake_servers = {&server};
  const z3950::Front& front = add_front<z3950::Front>(scene);
  std::list<Connection> resetting = connect_to_front(scene);
  print_counts("connections", front.size());
  for (Connection& connection : resetting) connection.write(z3950::Talk("clauses").greeting());
  scene.advance(5ms);
  for (Connection& connection : resetting) {
    const std::string init_response = connection.read_available();
    connection.write(search_request(init_response, "clauses") + search_request(init_response, "unknown"));
    scene.advance(2ms);  // so that each part is sent in a frame of its own
  }
  scene.advance(60ms);  // an answer to a part sent less than 50 ms ago would be held
  // The Init and the first search of each; the second search has been read and waits.
  print_counts("messages", front.tally().messages);
  answer_searches(server);
  scene.run_until("the answers to the first searches", [&] {
    return std::all_of(resetting.begin(), resetting.end(),
                       [](Connection& connection) { return !connection.read_available().empty(); });
  });
  print_counts("messages", front.tally().messages);
  reset_before_timers(scene, resetting);
  scene.run_turn();
  // The second searches are begun by timers, so this count shows that the order was as meant.
  print_counts("messages", front.tally().messages);
  print_counts("connections", front.size());
  Client regular;
  regular.send("m", "issue", kOnePart);
  const FakeShardServer::Frame frame = scene.next_frame(server, "A");
  server.answer(frame.connection, "m.1", "S 1 -", "v");
  scene.print_answer(regular, "another client");
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  log::configure(log::Level::error, log::Format::plain, "test");
  const std::pair<const char*, void (*)()> cases[] = {{"sru_between_answers", sru_between_answers},
                                                      {"z3950_between_searches", z3950_between_searches}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
