// Traces of objects and entries that end while a callback or a timer of theirs is still to run: what follows
// in the same moment under the same name must not end with them.
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <utility>

#include "config/fields.h"
#include "disk/disk.h"
#include "keeper/keeper.h"
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

// A folder that is removed at the end.
struct TemporaryFolder {
  TemporaryFolder() {
    char name[] = "/tmp/marbledyke-lifetime-XXXXXX";
    if (mkdtemp(name) == nullptr) print("NO FOLDER");
    path = name;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::string path;
};

// Sends an order to a keeper and returns its verdict.
std::string order(keeper::Keeper& keeper, const nlohmann::json& text) {
  const keeper::Reply reply = keeper.on_request("POST", "/order", text.dump());
  return nlohmann::json::parse(reply.body).value("verdict", reply.body);
}

// Runs turns until no order is under way, at most for 10 s; returns the outcome after the very turn in which
// the order ended.
std::string outcome(net::Loop& loop, keeper::Keeper& keeper) {
  const Duration end = loop.now() + 10s;
  for (;;) {
    const auto status = nlohmann::json::parse(keeper.on_request("GET", "/status", "").body);
    const std::string now = status.value("outcome", "");
    if (now != "under_way" || loop.now() >= end) return now;
    loop.run_once();
  }
}

// Guards against an order that never ends: the timer that cleared a finished check of a version also ended
// the check of an order that came before that timer.
void keeper_check_after_check() {
  TemporaryFolder folder;
  const std::string source = folder.path + "/source";
  std::filesystem::create_directory(source);
  std::ofstream(source + "/marbledyke") << "#!/bin/sh\nexit 0\n";
  std::filesystem::permissions(source + "/marbledyke", std::filesystem::perms::owner_all);
  std::ofstream(source + "/config.json") << "{}";
  net::Loop loop;
  disk::LocalDisk disk;
  keeper::Options options;
  options.name = "k";
  options.folder = folder.path + "/keeper";
  options.control = *net::parse_address(address(1));
  keeper::Keeper keeper(loop, disk, options);
  const auto numbered = [](int number, nlohmann::json text) {
    text["epoch"] = 1;
    text["number"] = number;
    text["version"] = "v1";
    return text;
  };
  print("take: " + order(keeper, numbered(1, {{"order", "take"}, {"from", source}})));
  print("ends: " + outcome(loop, keeper));
  for (const int number : {2, 3}) {
    print("try: " + order(keeper, numbered(number, {{"order", "try"}})));
    print("ends: " + outcome(loop, keeper));
  }
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  log::configure(log::Level::error, log::Format::plain, "test");
  const std::pair<const char*, void (*)()> cases[] = {
      {"json_server_pipelined_timeout", json_server_pipelined_timeout},
      {"keeper_check_after_check", keeper_check_after_check}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
