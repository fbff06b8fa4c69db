// A client sends many commands at once on one connection. The servers are sound.
#include "servers.h"

using namespace review;

int main() {
  Case test;
  Record& record = test.record;
  constexpr int kCommands = 30, kServers = 2;
  constexpr double kTimeMs = 1200, kServiceMs = 100, kLateMs = 500, kToldSlackMs = 150, kSlackMs = 50;
  struct Command {
    double sent = 0, answered = -1;
    int status = 0;
    std::vector<std::pair<double, long long>> parts;  // when one came whole to a server, and the time that it told
  };
  std::mutex mutex;
  std::map<std::string, Command> commands;
  std::vector<std::unique_ptr<FrameServer>> servers;
  Discovery discovery(record);
  if (!discovery.open()) test.finish(2, "no free port");
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<FrameServer>("127.1.0." + std::to_string(i + 1), kServiceMs));
    servers.back()->arrived = [&, i](const FrameServer::Part& part) {
      const std::lock_guard<std::mutex> lock(mutex);
      commands[part.id.substr(0, 16)].parts.emplace_back(now_ms(), part.told_ms);
      record.line("leaf-%d takes %s, d=%lld", i + 1, part.id.c_str(), part.told_ms);
    };
    if (!servers.back()->open()) test.finish(2, "no free port");
    discovery.list("leaf-" + std::to_string(i + 1), servers.back()->address(), 0);
  }
  const std::string ip = "127.0.0.4";
  const int http = free_port(ip);
  Settings settings;
  settings.categories =
      R"([{"name":"look","objective":1000000,"deadline":1200000,"effect":"repeatable","worth":1.0,"late-share":0.1}])";
  settings.slabs = 4;
  test.write_file(test.work + "/config.json", configuration("n0", ip + ":" + std::to_string(http),
                                                            discovery.address(), "8c1f30d27a5be964", settings));
  start(test.root, test.run, {{"PROXY_CONFIG", test.work + "/config.json"}}, test.work + "/gatherer.log");
  if (!test.healthy(ip, http, now_ms() + 15000)) test.finish(2, "the gatherer did not come up");
  usleep(1000000);
  const auto request = [&](const std::string& id, int shard) {
    const std::string body = "{\"slices\":[{\"slice\":" + std::to_string(shard) + ",\"mass\":1.0}],\"filter\":\"c41e77d0\"}";
    return "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id +
           "\r\nX-Class: look\r\nX-Deadline-Ms: " + std::to_string(static_cast<int>(kTimeMs)) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  const auto id_of = [](int i) {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0x5a000000 + i);
    return std::string(text);
  };
  for (int i = 0; i < 4; ++i) {
    const Message answer = ask_http(ip, http, request(id_of(1000 + i), i), now_ms() + 3000);
    if (answer.status() != 200) test.finish(2, "a multiget before was not answered");
  }

  const int fd = connect_to(ip, http);
  if (fd < 0) test.finish(2, "no connection");
  std::string all, buffer;
  const auto read_answer = [&](int i) {
    Message answer;
    const int got = read_message(fd, buffer, answer, now_ms() + 10000);
    const std::lock_guard<std::mutex> lock(mutex);
    Command& command = commands[id_of(i)];
    command.answered = got == 1 ? now_ms() : -1;
    command.status = answer.status();
    record.line("command %s is answered %d, %.0f ms after it was sent", id_of(i).c_str(), answer.status(),
                now_ms() - command.sent);
    return got == 1;
  };
  if (test.trouble) {
    for (int i = 0; i < kCommands; ++i) all += request(id_of(i), i % 4);
    {
      const std::lock_guard<std::mutex> lock(mutex);
      for (int i = 0; i < kCommands; ++i) commands[id_of(i)].sent = now_ms();
    }
    record.line("%d commands at once, each to be answered within %.0f ms", kCommands, kTimeMs);
    if (!send_all(fd, all)) test.finish(2, "not written");
    for (int i = 0; i < kCommands && read_answer(i); ++i) {
    }
  } else {
    for (int i = 0; i < kCommands; ++i) {
      {
        const std::lock_guard<std::mutex> lock(mutex);
        commands[id_of(i)].sent = now_ms();
      }
      if (!send_all(fd, request(id_of(i), i % 4)) || !read_answer(i)) break;
    }
  }
  close(fd);
  int answered = 0, late = 0, never = 0, beyond = 0, begun_late = 0;
  const std::lock_guard<std::mutex> lock(mutex);
  for (int i = 0; i < kCommands; ++i) {
    const Command& command = commands[id_of(i)];
    answered += command.status == 200 ? 1 : 0;
    never += command.answered < 0 ? 1 : 0;
    if (command.answered >= 0 && command.answered > command.sent + kTimeMs + kLateMs + kSlackMs) late += 1;
    for (const auto& [at, told] : command.parts) {
      const double left = command.sent + kTimeMs - at;
      if (static_cast<double>(told) > std::max(left, 0.0) + kToldSlackMs + kSlackMs) beyond += 1;
      if (left < -kSlackMs) begun_late += 1;
    }
  }
  record.line("answered 200: %d of %d; final answer over 500 ms after the client's time: %d; never: %d; parts begun "
              "after the client's time: %d; parts told more than is left to the client and 150 ms: %d",
              answered, kCommands, late, never, begun_late, beyond);
  if (answered == 0) test.finish(2, "nothing was answered");
  if (late + beyond > 0)
    test.finish(1, std::to_string(late) + " of " + std::to_string(kCommands) +
                       " commands got their final answer more than 500 ms after their time, " +
                       std::to_string(beyond) + " parts were told more time than was left to the client");
  test.finish(0, "each final answer came in time");
}
