// Clients leave while their non-retriable parts wait for a connection to a busy server that speaks SRU.
#include "servers.h"

using namespace review;

int main() {
  Case test;
  Record& record = test.record;
  constexpr int kServers = 4, kClients = 104, kLeaving = 60, kBefore = 60;
  constexpr double kServiceMs = 100, kLeaveAfterMs = 120, kGraceMs = 100, kSlackMs = 50;
  std::mutex mutex;
  std::map<std::string, std::vector<std::pair<int, double>>> arrivals;
  std::map<std::string, double> left;
  std::vector<std::unique_ptr<SruServer>> servers;
  Discovery discovery(record);
  if (!discovery.open()) test.finish(2, "no free port");
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<SruServer>("127.1.0." + std::to_string(i + 1), 2, kServiceMs));
    servers.back()->arrived = [&, i](const std::string& line, int) {
      const std::string query = parameter(line, "query");
      const std::size_t at = query.find("contract-");
      if (at == std::string::npos) return;
      const std::string contract = query.substr(at, 13);
      const std::lock_guard<std::mutex> lock(mutex);
      arrivals[contract].emplace_back(i + 1, now_ms());
      record.line("leaf-%d takes %s", i + 1, contract.c_str());
    };
    servers.back()->ran = [&, i](const std::string& line, bool written) {
      const std::string query = parameter(line, "query");
      if (const std::size_t at = query.find("contract-"); at != std::string::npos)
        record.line("leaf-%d has run %s, its answer %s", i + 1, query.substr(at, 13).c_str(),
                    written ? "is written" : "can't be written");
    };
    servers.back()->body = [](const std::string& line) { return sru_response(line, 1, "issued"); };
    if (!servers.back()->open()) test.finish(2, "no free port");
    discovery.list("leaf-" + std::to_string(i + 1), servers.back()->address(), 0);
  }
  const std::string ip = "127.0.0.4";
  const int http = free_port(ip), sru = free_port(ip);
  Settings settings;
  settings.categories =
      R"([{"name":"look-up","objective":1200000,"deadline":2500000,"effect":"repeatable","worth":1.0,"late-share":0.1},)"
      R"({"name":"amend","objective":1500000,"deadline":4000000,"effect":"once","worth":3.0,"late-share":0.0}])";
  settings.floors = settings.complete = "[1.0,1.0]";
  settings.second = "[0,0]";
  settings.partial = "[0.0,0.0]";
  settings.cancel = false;
  settings.copies = true;
  settings.attempts = 4;
  settings.overhead = 80000;
  settings.budget = R"("extra-floor":20,"extra-per-request":0.3,"resend-span":10000000,)";
  test.write_file(test.work + "/config.json",
                  configuration("n0", ip + ":" + std::to_string(http), discovery.address(),
                                "8c1f30d27a5be964", settings));
  std::string speakers;
  for (int i = 1; i <= kServers; ++i)
    speakers += "<server name=\"leaf-" + std::to_string(i) + "\" speaks=\"sru\" database=\"clauses\"/>";
  test.write_file(
      test.work + "/operator.xml",
      "<marbledyke xmlns=\"urn:marbledyke:operator:1\"><search><listen protocol=\"sru\" address=\"" + ip +
          ":" + std::to_string(sru) +
          "\"/><database name=\"clauses\" op-type=\"look-up\" deadline=\"4s\"><schema name=\"dc\" "
          "identifier=\"info:srw/schema/1/dc-v1.1\"/><index name=\"dc.title\" use=\"4\"/>"
          "<index name=\"order.issue\" use=\"8000\" op-type=\"amend\" scan=\"false\" sort=\"false\"/>"
          "</database></search><servers>" +
          speakers + "</servers></marbledyke>");
  start(test.root, test.search + " --operator " + test.work + "/operator.xml",
        {{"PROXY_CONFIG", test.work + "/config.json"}}, test.work + "/gatherer.log");
  if (!test.healthy(ip, http, now_ms() + 15000)) test.finish(2, "the gatherer did not come up");
  usleep(1000000);
  const auto request = [&](const std::string& query) {
    return "GET /clauses?version=1.2&operation=searchRetrieve&maximumRecords=1&x-deadline-ms=4000&query=" +
           escaped(query) + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  };
  // One after the other, so that the gatherer knows how long a part takes.
  for (int i = 0; i < kBefore; ++i) {
    if (ask_http(ip, sru, request("order.issue = contract-" + std::to_string(9000 + i)), now_ms() + 9000)
            .status() != 200)
      test.finish(2, "a request before was not answered");
  }

  record.line("%d requests that may run once only", kClients);
  const double begin = now_ms();
  std::atomic<int> answered{0}, others{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string contract = "contract-" + std::to_string(1000 + i);
      const int fd = connect_to(ip, sru);
      if (fd < 0 || !send_all(fd, request("order.issue = " + contract))) return;
      record.line("client of %s has asked", contract.c_str());
      const bool leaves = test.trouble && i >= kClients - kLeaving;
      std::string buffer;
      Message answer;
      const int got = read_message(fd, buffer, answer, leaves ? begin + kLeaveAfterMs : now_ms() + 10000);
      if (leaves && got == -2) {
        const std::lock_guard<std::mutex> lock(mutex);
        close(fd);
        left[contract] = now_ms();
        record.line("the client of %s leaves", contract.c_str());
        return;
      }
      close(fd);
      const bool good =
          got == 1 && answer.status() == 200 && answer.body.find("diagnostic/1/") == std::string::npos;
      (good ? answered : others) += 1;
      record.line("client of %s is answered %d%s", contract.c_str(), answer.status(),
                  good ? "" : (", " + between(answer.body, "details>", "<")).c_str());
    });
    usleep(300);
  }
  for (std::thread& client : clients) client.join();
  sleep_until(now_ms() + 4000);  // whatever is still written for those that left
  int broken = 0;
  const std::lock_guard<std::mutex> lock(mutex);
  for (const auto& [contract, when] : left) {
    for (const auto& [server, at] : arrivals[contract]) {
      if (at <= when + kGraceMs + kSlackMs) continue;
      broken += 1;
      record.line("BROKEN: %s was begun at leaf-%d %.0f ms after its client had left", contract.c_str(),
                  server, at - when);
    }
  }
  record.line("answered %d, others %d, left %zu, begun for who had left %d", answered.load(), others.load(),
              left.size(), broken);
  if (answered.load() < kClients / 4) test.finish(2, "too few requests were answered");
  if (test.trouble && left.empty()) test.finish(2, "no client could leave before its answer");
  if (broken > 0)
    test.finish(1, std::to_string(broken) + " of " + std::to_string(left.size()) +
                       " non-retriable parts were begun more than 100 ms after their client had left");
  test.finish(0, "nothing was begun for a client that had left");
}
