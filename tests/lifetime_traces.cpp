// Traces of objects and entries that end while a callback or a timer of theirs is still to run: what follows
// in the same moment under the same name must not end with them.
#include <cstring>
#include <map>
#include <utility>

#include "net/json_server.h"
#include "scene.h"

using namespace marbledyke;
using namespace marbledyke::scene;

namespace {

// Guards against a request that is never answered: the one before it on its connection timed out, and the
// owner was told that only after it had been given the next one, under the same id.
void json_server_pipelined_timeout() {
  ManualClock clock;
  net::Loop loop(clock);
  loop.read_clock();
  std::map<net::JsonServer::ConnectionId, std::string> waiting;
  net::JsonServer::Limits limits;
  limits.reply_timeout = 100ms;
  net::JsonServer server(loop, *net::parse_address(address(1)), limits,
                         {[&](net::JsonServer::ConnectionId id, const net::JsonRequest& request) {
                            print("asked " + request.target);
                            waiting[id] = request.target;
                          },
                          [&](net::JsonServer::ConnectionId id) {
                            print("abandoned " + waiting[id]);
                            waiting.erase(id);
                          }});
  const auto advance = [&](Duration time) {
    for (const Duration end = clock.steady() + time; clock.steady() < end; clock.advance()) {
      loop.call_at(loop.now(), [] {});
      loop.run_once();
    }
  };
  Connection client{net::start_connect(*net::parse_address(address(1)))};
  advance(5ms);
  client.write("GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n");
  advance(300ms);
  print(client.read_available().substr(0, 12));
  for (const auto& [id, target] : std::exchange(waiting, {})) server.send_reply(id, {});
  advance(5ms);
  print(client.read_available().substr(0, 12));
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  log::configure(log::Level::error, log::Format::plain, "test");
  const std::pair<const char*, void (*)()> cases[] = {
      {"json_server_pipelined_timeout", json_server_pipelined_timeout}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
