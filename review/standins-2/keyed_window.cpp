// A burst of keyed requests to four sound servers that speak SRU; one of them dies under requests that have
// begun.
#include "servers.h"

using namespace review;

int main() {
  Case test;
  Record& record = test.record;
  constexpr int kServers = 4, kClients = 160;
  constexpr double kWindowMs = 1500, kServiceMs = 100, kCrashAfterMs = 1000, kSlackMs = 50;
  struct Arrival {
    int server = 0;
    double at = 0;
  };
  std::mutex mutex;
  std::map<std::string, std::vector<Arrival>> arrivals;  // of each contract
  std::vector<std::unique_ptr<SruServer>> servers;
  Discovery discovery(record);
  if (!discovery.open()) test.finish(2, "no free port");
  const auto contract_of = [](const std::string& line) {
    const std::string query = parameter(line, "query");
    const std::size_t at = query.find("contract-");
    return at == std::string::npos ? std::string() : query.substr(at, 13);
  };
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<SruServer>("127.1.0." + std::to_string(i + 1), 1, kServiceMs));
    servers.back()->arrived = [&, i](const std::string& line, int) {
      const std::string contract = contract_of(line);
      if (contract.empty()) return;
      const std::lock_guard<std::mutex> lock(mutex);
      arrivals[contract].push_back({i + 1, now_ms()});
      record.line("leaf-%d takes %s", i + 1, contract.c_str());
    };
    servers.back()->ran = [&, i](const std::string& line, bool written) {
      const std::string contract = contract_of(line);
      if (!contract.empty())
        record.line("leaf-%d has run %s, its answer %s", i + 1, contract.c_str(),
                    written ? "is written" : "can't be written");
    };
    servers.back()->body = [](const std::string& line) { return sru_response(line, 1, "amended"); };
    if (!servers.back()->open()) test.finish(2, "no free port");
    discovery.list("leaf-" + std::to_string(i + 1), servers.back()->address(), 0);
  }
  const std::string ip = "127.0.0.4";
  const int http = free_port(ip), sru = free_port(ip);
  Settings settings;
  settings.categories =
      R"([{"name":"look","objective":4000000,"deadline":8000000,"effect":"repeatable","worth":1.0,"late-share":0.1},)"
      R"({"name":"amend","objective":4000000,"deadline":8000000,"effect":"by_key","group":"all","key-ttl":1500000,)"
      R"("worth":2.0,"late-share":0.3}])";
  settings.floors = settings.complete = "[1.0,1.0]";
  settings.second = "[0,0]";
  settings.partial = "[0.0,0.0]";
  settings.overhead = 80000;
  settings.copies = true;
  settings.budget = R"("extra-floor":20,"extra-per-request":0.2,"resend-span":10000000,)";
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
          "\"/><database name=\"clauses\" op-type=\"look\" deadline=\"8s\"><schema name=\"dc\" "
          "identifier=\"info:srw/schema/1/dc-v1.1\"/><index name=\"dc.title\" use=\"4\"/>"
          "<index name=\"order.amend\" use=\"8001\" op-type=\"amend\" scan=\"false\" sort=\"false\"/>"
          "</database></search><servers>" +
          speakers + "</servers></marbledyke>");
  start(test.root, test.search + " --operator " + test.work + "/operator.xml",
        {{"PROXY_CONFIG", test.work + "/config.json"}}, test.work + "/gatherer.log");
  if (!test.healthy(ip, http, now_ms() + 15000)) test.finish(2, "the gatherer did not come up");
  usleep(1000000);
  const auto search = [&](const std::string& query) {
    return ask_http(
        ip, sru,
        "GET /clauses?version=1.2&operation=searchRetrieve&maximumRecords=1&x-deadline-ms=8000&query=" +
            escaped(query) + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        now_ms() + 9000);
  };
  for (int i = 0; i < 8; ++i) {
    if (search("dc.title any lease").status() != 200)
      test.finish(2, "a search before the burst was not answered");
  }

  record.line("a burst of %d keyed requests, repeats of which are dropped for %.0f ms", kClients, kWindowMs);
  const double begin = now_ms();
  std::atomic<int> answered{0}, refused{0}, failed{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([&, i] {
      const std::string contract = "contract-" + std::to_string(1000 + i);
      record.line("client of %s asks", contract.c_str());
      const Message answer = search("order.amend = " + contract);
      const bool good = answer.status() == 200 && answer.body.find("diagnostic/1/") == std::string::npos;
      (good ? answered : answer.status() == 503 ? refused : failed) += 1;
      record.line("client of %s is answered %d%s", contract.c_str(), answer.status(),
                  good ? "" : (", " + between(answer.body, "details>", "<")).c_str());
    });
  if (test.trouble) {
    sleep_until(begin + kCrashAfterMs);
    record.line("leaf-1 dies: its connections are reset, new ones are refused");
    servers[0]->crash();
    sleep_until(begin + kCrashAfterMs + 3000);
    discovery.list("leaf-1", servers[0]->address(), 0, "gone");
  }
  for (std::thread& client : clients) client.join();
  int broken = 0, again = 0;
  std::string worst;
  double most = 0;
  const std::lock_guard<std::mutex> lock(mutex);
  for (const auto& [contract, all] : arrivals) {
    for (std::size_t i = 1; i < all.size(); ++i) {
      const double after = all[i].at - all[0].at;
      again += 1;
      if (after <= kWindowMs + kSlackMs) continue;
      broken += 1;
      record.line("BROKEN: %s taken by leaf-%d, and once more by leaf-%d %.0f ms later", contract.c_str(),
                  all[0].server, all[i].server, after);
      if (after > most) {
        most = after;
        worst = contract;
      }
    }
  }
  record.line("answered %d, refused %d, failed %d; sent once more %d, of these outside the window %d",
              answered.load(), refused.load(), failed.load(), again, broken);
  if (answered.load() < kClients / 4) test.finish(2, "too few requests were answered");
  if (broken > 0)
    test.finish(1, std::to_string(broken) + " of " + std::to_string(again) +
                       " keyed parts that may have run were sent again after the window of 1500 ms, " +
                       worst + " after " + std::to_string(static_cast<int>(most)) + " ms");
  test.finish(0, std::to_string(again) + " parts were sent again, all within the window");
}
