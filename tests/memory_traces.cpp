// Traces of what clients may make the process hold. Each case guards against a process that passes its memory
// limit because of clients that stop half way, send much at once or do not read.
#include <algorithm>
#include <cstring>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/json_server.h"
#include "net/memory_budget.h"
#include "scene.h"
#include "search_scene.h"
#include "sru/front.h"
#include "z3950/front.h"
#include "z3950/talk.h"

using namespace marbledyke;
using namespace marbledyke::scene;

namespace {

const Changes kLeastMemory{{R"("sockets":200)", R"("sockets":400,"memory_mb":16)"},
                           {R"("max-open":9)", R"("max-open":1000)"}};
constexpr int kManyClients = 150;  // each holds more than a hundredth of the budget
constexpr int kLargeTextBytes = 60'000;
constexpr std::size_t kBudgetBytes = 4 * 1024 * 1024;  // a quarter of the process's memory

std::string head(const std::string& id, std::size_t body_bytes) {
  return "POST /api HTTP/1.1\r\nX-Request-Id: " + id +
         "\r\nX-Class: issue\r\nX-Deadline-Ms: 50000\r\nContent-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n";
}

std::string body_with_text(std::size_t text_bytes) {
  return R"({"slices":[{"slice":1,"mass":1}],"filter":")" + std::string(text_bytes, 'f') + "\"}";
}

void print_count(const char* what, std::ptrdiff_t count) { print(what + (": " + std::to_string(count))); }

// Prints whether the budget is kept, and how many clients have got which status.
void print_state(Scene& scene, std::list<Client>& clients) {
  int refused = 0, served = 0;
  for (Client& client : clients) {
    if (!client.answered()) continue;
    refused += client.text.substr(9, 3) == "503" ? 1 : 0;
    served += client.text.substr(9, 3) == "200" ? 1 : 0;
  }
  const net::MemoryBudget& memory = scene.gatherer.client_memory();
  print(memory.used() <= kBudgetBytes ? "within the budget" : "BEYOND THE BUDGET");
  print(refused > 0 ? "some are refused at once" : "NONE IS REFUSED");
  print("served: " + std::to_string(served));
}

// A client that behaves as usual is served.
void serve_usual_client(Scene& scene, FakeShardServer& server) {
  server.frames.clear();
  Client usual;
  usual.send("usual", "issue", kOnePart);
  scene.run_until("the usual client's part", [&] {
    return std::any_of(server.frames.begin(), server.frames.end(),
                       [](const FakeShardServer::Frame& frame) {
                         return frame.text.find("usual.1") != std::string::npos;
                       }) ||
           usual.answered();
  });
  for (const FakeShardServer::Frame& frame : server.frames) {
    if (frame.text.find("usual.1") != std::string::npos)
      server.answer(frame.connection, "usual.1", "S 1 -", "v");
  }
  scene.print_answer(usual, "a usual client");
}

// Clients that stop half way through a large body.
void half_requests() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, kLeastMemory);
  scene.fake_servers = {&server};
  std::list<Client> clients(kManyClients);
  for (Client& client : clients) {
    client.connection.write(head("m", kLargeTextBytes) + std::string(kLargeTextBytes - 1, 'x'));
    scene.advance(1ms);
  }
  scene.advance(5ms);
  print_state(scene, clients);
  print(clients.front().answered() && !clients.back().answered() ? "the oldest first"
                                                                 : "NOT THE OLDEST FIRST");
  serve_usual_client(scene, server);
}

// Clients whose complete requests are large, and wait for an answer.
void large_requests() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, kLeastMemory);
  scene.fake_servers = {&server};
  std::list<Client> clients(kManyClients);
  const std::string body = body_with_text(kLargeTextBytes);
  int number = 0;
  for (Client& client : clients) {
    client.connection.write(head("m" + std::to_string(number++), body.size()) + body);
    scene.advance(1ms);
  }
  scene.advance(5ms);
  print_state(scene, clients);
  serve_usual_client(scene, server);
  for (Client& client : clients) client.connection.fd.close();
  scene.advance(20ms);
  print(scene.gatherer.client_memory().used() < kLargeTextBytes ? "nothing is held for clients that left"
                                                                : "MEMORY IS HELD FOR CLIENTS THAT LEFT");
}

// Clients that ask again and again for large answers and read none of them.
void unread_answers() {
  constexpr int kClients = 24;
  constexpr int kMaxRounds = 80;  // until the kernel holds no more for any of them
  const std::string kFourParts =
      R"([{"slice":0,"mass":0.25},{"slice":1,"mass":0.25},{"slice":2,"mass":0.25},{"slice":3,"mass":0.25}])";
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, kLeastMemory);
  scene.fake_servers = {&server};
  std::list<Client> clients(kClients);
  const net::MemoryBudget& memory = scene.gatherer.client_memory();
  int number = 0;
  std::size_t most = 0;
  for (int round = 0; round < kMaxRounds && memory.released_count() == 0; ++round) {
    for (Client& client : clients) {
      if (client.connection.ended) continue;
      const std::string id = "m" + std::to_string(number++);
      client.send(id, "issue", kFourParts);
      scene.advance(2ms);
      server.frames.clear();
      for (int shard = 0; shard < 4; ++shard) {
        for (Connection& connection : server.connections)
          server.answer(&connection, id + '.' + std::to_string(shard), "S 1 -",
                        std::string(kLargeTextBytes, 'v'));
        scene.advance(1ms);
      }
      scene.advance(55ms);  // an answer to a part sent less than 50 ms ago would be held
      most = std::max(most, memory.used());
    }
  }
  print(most <= kBudgetBytes ? "within the budget" : "BEYOND THE BUDGET");
  print(memory.released_count() > 0 ? "unread answers are given up" : "NO ANSWER IS GIVEN UP");
  serve_usual_client(scene, server);
}

// Clients of a front for searching that send these bytes, half of a large request, and stop. `refusal` is in
// the answer of those that do not fit.
template <class Front>
void half_searches(const std::string& bytes, const char* refusal) {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, kLeastMemory);
  scene.fake_servers = {&server};
  const Front& front = add_front<Front>(scene, kManyClients);
  std::list<Connection> clients;
  for (int i = 0; i < kManyClients; ++i) {
    clients.push_back({net::start_connect(front_address())});
    clients.back().write(bytes);
    scene.advance(1ms);
  }
  scene.advance(5ms);
  const net::MemoryBudget& memory = scene.gatherer.client_memory();
  print(memory.used() <= kBudgetBytes ? "within the budget" : "BEYOND THE BUDGET");
  print(clients.front().read_available().find(refusal) != std::string::npos ? "the oldest is refused at once"
                                                                            : "THE OLDEST IS NOT REFUSED");
  print(clients.back().read_available().empty() ? "the newest may go on" : "THE NEWEST IS REFUSED");
  print(front.size() > 0 ? "the front goes on" : "NOBODY IS LEFT");
  serve_usual_client(scene, server);
}

void half_sru_requests() {
  half_searches<sru::Front>(head("m", kLargeTextBytes) + std::string(kLargeTextBytes - 1, 'x'), "503");
}

void half_z3950_messages() {
  // An element of 61,440 bytes, and in it one of 57,344.
  const std::string begin("\xb6\x82\xf0\x00\x9f\x6f\x82\xe0\x00", 9);
  half_searches<z3950::Front>(begin + std::string(50'000, 'x'), "no room");
}

// Clients of a JSON server that stop half way through a large body.
void half_json_requests() {
  constexpr std::size_t kHeldBytes = 1024 * 1024;
  net::Loop loop;
  const auto where = *net::parse_address(address(1));
  net::JsonServer::Limits limits;
  limits.max_held_bytes = kHeldBytes;
  int requests = 0;
  net::JsonServer server(
      loop, where, limits,
      {[&](net::JsonServer::ConnectionId, const net::JsonRequest&) { requests += 1; }, nullptr});
  const auto run_turns = [&](int turns) {
    for (int turn = 0; turn < turns; ++turn) {
      loop.call_at(loop.now(), [] {});
      loop.run_once();
    }
  };
  std::list<Connection> clients;
  for (std::size_t i = 0; i < limits.max_connections; ++i) {
    clients.push_back({net::start_connect(where)});
    clients.back().write(head("m", kLargeTextBytes) + std::string(kLargeTextBytes - 1, 'x'));
    run_turns(5);
  }
  print(server.held_bytes() <= kHeldBytes ? "within the budget" : "BEYOND THE BUDGET");
  print(clients.front().read_available().find("503") != std::string::npos ? "the oldest is refused at once"
                                                                          : "THE OLDEST IS NOT REFUSED");
  clients.back().write("x");
  run_turns(5);
  print("requests taken: " + std::to_string(requests));
}

// Every place of a front is held by a client that stops half way. Clients that connect one after the other
// before they send anything are served all the same, and those that give way are told so. Guards against
// usual clients that are closed in favour of the next one.
template <class Front>
void places_held(const std::string& half_request, const std::string& request, const char* refusal) {
  constexpr int kPlaces = 20;
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  add_front<Front>(scene, kPlaces);
  std::list<Connection> holding, usual;
  for (int i = 0; i < kPlaces; ++i) {
    holding.push_back({net::start_connect(front_address())});
    holding.back().write(half_request);
  }
  scene.advance(300ms);  // longer than a usual client may take
  for (int i = 0; i < 5; ++i) {
    usual.push_back({net::start_connect(front_address())});
    scene.advance(2ms);
  }
  for (Connection& client : usual) client.write(request);
  scene.advance(20ms);
  print_count("served of 5 usual clients", std::count_if(usual.begin(), usual.end(), [](Connection& client) {
                return !client.read_available().empty();
              }));
  print_count("refused of 20 that hold the places",
              std::count_if(holding.begin(), holding.end(), [&](Connection& client) {
                return client.read_available().find(refusal) != std::string::npos;
              }));
}

void sru_places_held() {
  places_held<sru::Front>("GET /clauses HTTP/1.1\r\nHost",
                          "GET /clauses?operation=explain&version=1.2 HTTP/1.1\r\n\r\n", "503");
}

void z3950_places_held() {
  const std::string init = z3950::Talk("clauses").greeting();
  places_held<z3950::Front>(init.substr(0, 5), init, "no room");
}

// Connections that have been used and are idle do not count, however many there are.
void idle_connections() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, kLeastMemory);
  scene.fake_servers = {&server};
  std::list<Connection> clients;
  for (int i = 0; i < kManyClients; ++i) {
    clients.push_back({net::start_connect(*net::parse_address(address(1)))});
    clients.back().write("GET /healthz HTTP/1.1\r\n\r\n");
  }
  scene.advance(20ms);
  print_count("answered", std::count_if(clients.begin(), clients.end(), [](Connection& client) {
                return client.read_available().find("200") != std::string::npos;
              }));
  const bool is_little = scene.gatherer.client_memory().used() < kManyClients * 100;
  print(is_little ? "idle connections do not count" : "IDLE CONNECTIONS COUNT");
}

// Clients that send much behind a request that is pending.
void pipelined_requests() {
  FakeShardServer server(11);
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock, kLeastMemory);
  scene.fake_servers = {&server};
  std::list<Client> clients(kManyClients);
  const std::string body = body_with_text(8);
  int number = 0;
  for (Client& client : clients) {
    client.connection.write(head("m" + std::to_string(number++), body.size()) + body +
                            std::string(kLargeTextBytes, '\n'));
    scene.advance(1ms);
  }
  scene.advance(5ms);
  const net::MemoryBudget& memory = scene.gatherer.client_memory();
  print(memory.used() <= kBudgetBytes ? "within the budget" : "BEYOND THE BUDGET");
  serve_usual_client(scene, server);
}

// What is released, and in which order.
void order() {
  net::MemoryBudget budget(100);
  std::vector<std::unique_ptr<net::MemoryHolder>> holders;
  const auto add = [&](int number) {
    holders.push_back(std::make_unique<net::MemoryHolder>(budget, [&, number] {
      print("releases " + std::to_string(number));
      holders[static_cast<std::size_t>(number)]->update(0);
    }));
  };
  for (int i = 0; i < 4; ++i) add(i);
  holders[0]->update(40, 3s);
  holders[1]->update(30, 1s);
  holders[2]->update(30);
  print("100 of 100 are used");
  holders[3]->update(1, 4s);
  print("used: " + std::to_string(budget.used()));
  print(budget.make_room(60) ? "60 more fit" : "60 MORE DO NOT FIT");
  print(budget.make_room(80) ? "80 MORE FIT" : "80 more do not fit beside what may not be released");
  auto text = net::held_text(budget, std::make_shared<const std::string>("text"), 50);
  print("used with a text: " + std::to_string(budget.used()));
  const auto copy = text;
  text.reset();
  print("used with a copy of it: " + std::to_string(budget.used()));
  holders[3]->update(70, 5s);
  print("used: " + std::to_string(budget.used()));
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  log::configure(log::Level::error, log::Format::plain, "test");
  const std::pair<const char*, void (*)()> cases[] = {{"order", order},
                                                      {"half_requests", half_requests},
                                                      {"large_requests", large_requests},
                                                      {"pipelined_requests", pipelined_requests},
                                                      {"unread_answers", unread_answers},
                                                      {"idle_connections", idle_connections},
                                                      {"half_sru_requests", half_sru_requests},
                                                      {"half_z3950_messages", half_z3950_messages},
                                                      {"half_json_requests", half_json_requests},
                                                      {"sru_places_held", sru_places_held},
                                                      {"z3950_places_held", z3950_places_held}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
