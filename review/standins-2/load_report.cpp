// One answer of one shard server carries a load report that can't be read as a load; all else is sound.
#include "servers.h"

using namespace review;

int main() {
  Case test;
  Record& record = test.record;
  constexpr int kServers = 5;
  constexpr double kSpanMs = 4000, kWatchMs = 60000;
  std::vector<std::unique_ptr<FrameServer>> servers;
  Discovery discovery(record);
  if (!discovery.open()) test.finish(2, "no free port");
  std::atomic<int> parts{0};
  std::atomic<bool> spoil{false};
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<FrameServer>("127.1.0." + std::to_string(i + 1), 20));
    servers.back()->arrived = [&, i](const FrameServer::Part& part) {
      ++parts;
      record.line("leaf-%d takes %s and answers it", i + 1, part.id.c_str());
    };
    servers.back()->report = servers.back()->with_answer = [] { return std::string("queue=1,qps=4"); };
    if (i == 0)
      servers.back()->with_answer = [&] {
        if (!spoil.exchange(false)) return std::string("queue=1,qps=4");
        record.line("leaf-1 gives a good answer with a report of 308 nines");
        return "queue=" + std::string(308, '9') + ",qps=4";
      };
    if (!servers.back()->open()) test.finish(2, "no free port");
    discovery.list("leaf-" + std::to_string(i + 1), servers.back()->address(), 0);
  }
  const std::string ip = "127.0.0.4";
  const int http = free_port(ip);
  Settings settings;
  settings.slabs = 4;
  settings.overhead = 46000;
  settings.bundle = 8;
  settings.attempts = 4;
  settings.telemetry = R"({"fields":["waiting","rps"],"how":"inline"})";
  test.write_file(test.work + "/config.json",
                  configuration("n0", ip + ":" + std::to_string(http), discovery.address(),
                                "8c1f30d27a5be964", settings));
  start(test.root, test.run, {{"PROXY_CONFIG", test.work + "/config.json"}}, test.work + "/gatherer.log");
  if (!test.healthy(ip, http, now_ms() + 15000)) test.finish(2, "the gatherer did not come up");
  usleep(1000000);
  int asked = 0;
  const auto ask = [&] {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0x77000000 + asked++);
    const std::string body =
        "{\"slices\":[{\"slice\":" + std::to_string(asked % 4) + ",\"mass\":1.0}],\"filter\":\"c41e77d0\"}";
    const int status =
        ask_http(ip, http,
                 "POST /api HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Request-Id: " + std::string(id) +
                     "\r\nX-Class: look\r\nX-Deadline-Ms: 2000\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body,
                 now_ms() + 3000)
            .status();
    record.line("multiget %s was asked and is answered %d", id, status);
    return status;
  };
  int answered = 0;
  for (int i = 0; i < 40; ++i) answered += ask() == 200 ? 1 : 0;
  if (answered < 40) test.finish(2, "multigets before were not all answered");
  spoil = test.trouble;
  const double begin = now_ms();
  double since = begin, longest = 0;  // of a span in which all is rejected and no part is sent
  int rejected = 0, most_rejected = 0, part_count = parts, others = 0;
  answered = 0;
  while (now_ms() < begin + kWatchMs) {
    const int status = ask();
    const int now_parts = parts;
    const bool nothing = status == 503 && now_parts == part_count;
    (status == 200 ? answered : others) += 1;
    part_count = now_parts;
    if (nothing) {
      rejected += 1;
      if (now_ms() - since > longest) {
        longest = now_ms() - since;
        most_rejected = rejected;
      }
    } else {
      since = now_ms();
      rejected = 0;
    }
    if (asked % 50 == 0) record.line("answered %d, else %d, parts sent %d", answered, others, now_parts);
    usleep(40000);
  }
  record.line("longest span with every multiget rejected and nothing sent: %.1f s, %d multigets",
              longest / 1000, most_rejected);
  if (longest > kSpanMs && most_rejected >= 15)
    test.finish(1, "the gatherer rejected all " + std::to_string(most_rejected) + " multigets for " +
                       std::to_string(static_cast<int>(longest / 1000)) +
                       " s on end and sent nothing, with five sound servers, to the end of the case");
  test.finish(0, std::to_string(answered) + " multigets answered, " + std::to_string(others) + " not");
}
