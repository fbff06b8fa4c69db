// Traces of clients that send on one connection as fast as they can. Each case guards against one client that
// keeps the event loop from all others.
#include <algorithm>
#include <cstring>
#include <string>
#include <utility>

#include "net/json_server.h"
#include "scene.h"
#include "search/part.h"
#include "search_scene.h"
#include "z3950/front.h"
#include "z3950/talk.h"

using namespace marbledyke;
using namespace marbledyke::scene;

namespace {

constexpr std::size_t kEnoughBytes = 1024 * 1024;
// In one turn a portion may be read for an event and another for a timer.
constexpr std::size_t kMaxBytesOfOneTurn = 2 * 256 * 1024 + 64 * 1024;
constexpr std::uint64_t kMaxMessagesOfOneTurn = 2 * 16;

// Writes until the connection takes no more, and returns how many bytes it took.
std::size_t fill(Connection& connection, const std::string& bytes) {
  std::size_t written = 0;
  for (;;) {
    const ssize_t count = send(connection.fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count <= 0) return written;
    written += static_cast<std::size_t>(count);
  }
}

std::string repeated(const std::string& text, std::size_t bytes) {
  std::string out;
  while (out.size() < bytes) out += text;
  return out;
}

// What a peer has sent is read a part in each turn, and all of it in the end.
void stream_turns() {
  net::Loop loop;
  const auto where = *net::parse_address(address(1));
  net::Descriptor listener = net::listen_on(where);
  Connection peer{net::start_connect(where)};
  std::size_t received = 0;
  net::Stream* reader = nullptr;
  net::Stream stream(loop, net::accept_connection(listener.get()), true, kEnoughBytes, kEnoughBytes,
                     {nullptr,
                      [&] {
                        received += reader->in().size();
                        reader->in().clear();
                      },
                      nullptr, nullptr});
  reader = &stream;
  const std::size_t written = fill(peer, std::string(kEnoughBytes, 'x'));
  print(written > kEnoughBytes ? "much waits" : "LITTLE WAITS");
  loop.run_once();
  print(received < kMaxBytesOfOneTurn ? "one turn reads a part" : "ONE TURN READS ALL");
  for (int turn = 0; turn < 1000 && received < written; ++turn) {
    loop.call_at(loop.now(), [] {});
    loop.run_once();
  }
  print(received == written ? "all is read" : "NOT ALL IS READ");
}

// Requests that a JSON server can answer at once, on one connection.
void json_requests() {
  net::Loop loop;
  const auto where = *net::parse_address(address(1));
  net::JsonServer* replying = nullptr;
  int requests = 0;
  net::JsonServer server(loop, where, {},
                         {[&](net::JsonServer::ConnectionId id, const net::JsonRequest&) {
                            requests += 1;
                            replying->send_reply(id, {200, "{}"});
                          },
                          nullptr});
  replying = &server;
  Connection client{net::start_connect(where)};
  client.write(repeated("GET / HTTP/1.1\r\n\r\n", 64 * 1024));
  while (server.connection_count() == 0) loop.run_once();
  int most = 0;
  for (int turn = 0; turn < 20; ++turn) {
    const int before = requests;
    loop.call_at(loop.now(), [] {});
    loop.run_once();
    most = std::max(most, requests - before);
  }
  print("most requests in one turn: " + std::to_string(most));
}

// Searches over Z39.50 that are answered at once, in one session.
void z3950_messages() {
  ManualClock clock;
  Scene scene(list_entry("A", 11), clock);
  const z3950::Front& front = add_front<z3950::Front>(scene);
  Connection client{net::start_connect(front_address())};
  client.write(z3950::Talk("unknown").greeting());
  scene.advance(5ms);
  z3950::Talk session("unknown");
  session.greeting();
  carrier::SessionEvent event;
  session.feed(client.read_available(), event);
  search::PartAsk part;
  part.database = "unknown";
  part.pqf = "@attr 1=4 of";
  client.write(repeated(session.format_request(search::text_of(part), 0), 64 * 1024));
  std::uint64_t most = 0;
  for (int turn = 0; turn < 20; ++turn) {
    const std::uint64_t before = front.tally().messages;
    scene.run_turn();
    most = std::max(most, front.tally().messages - before);
  }
  print(most > 0 && most <= kMaxMessagesOfOneTurn ? "up to 32 messages in one turn"
                                                  : std::to_string(most) + " IN ONE TURN");
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  log::configure(log::Level::error, log::Format::plain, "test");
  const std::pair<const char*, void (*)()> cases[] = {
      {"stream_turns", stream_turns}, {"json_requests", json_requests}, {"z3950_messages", z3950_messages}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
