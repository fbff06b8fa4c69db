// New settings with more shards come into force by SIGHUP; a search over all shards follows.
#include "servers.h"

using namespace review;

int main() {
  Case test;
  Record& record = test.record;
  constexpr int kBefore = 2, kAfter = 4, kHits = 10;
  std::vector<std::unique_ptr<SruServer>> servers;
  Discovery discovery(record);
  if (!discovery.open()) test.finish(2, "no free port");
  // Every shard has ten records, at both servers; the path names the shard.
  for (int i = 0; i < 2; ++i) {
    servers.push_back(std::make_unique<SruServer>("127.1.0." + std::to_string(i + 1), 2, 5));
    servers.back()->arrived = [&record, i](const std::string& line, int) {
      record.line("leaf-%d asked: %s", i + 1, line.c_str());
    };
    servers.back()->body = [](const std::string& line) {
      return sru_response(line, kHits, "record of shard " + between(line, "/clauses", "?"));
    };
    if (!servers.back()->open()) test.finish(2, "no free port");
    discovery.list("leaf-" + std::to_string(i + 1), servers.back()->address(), 0);
  }
  const std::string ip = "127.0.0.4";
  const int http = free_port(ip), sru = free_port(ip);
  const auto configure = [&](int shards) {
    Settings settings;
    settings.slabs = shards;
    test.write_file(test.work + "/config.json", configuration("n0", ip + ":" + std::to_string(http),
                                                              discovery.address(), "8c1f30d27a5be964", settings));
  };
  configure(kBefore);
  test.write_file(test.work + "/operator.xml",
                  "<marbledyke xmlns=\"urn:marbledyke:operator:1\"><search><listen protocol=\"sru\" address=\"" + ip +
                      ":" + std::to_string(sru) +
                      "\"/><database name=\"clauses\" op-type=\"look\" shards=\"all\" deadline=\"4s\"><schema "
                      "name=\"dc\" identifier=\"info:srw/schema/1/dc-v1.1\"/><index name=\"dc.title\" use=\"4\"/>"
                      "</database></search><servers><server name=\"leaf-1\" speaks=\"sru\" "
                      "database=\"clauses{shard}\"/><server name=\"leaf-2\" speaks=\"sru\" "
                      "database=\"clauses{shard}\"/></servers></marbledyke>");
  const pid_t gatherer = start(test.root, test.search + " --operator " + test.work + "/operator.xml",
                               {{"PROXY_CONFIG", test.work + "/config.json"}}, test.work + "/gatherer.log");
  if (!test.healthy(ip, http, now_ms() + 15000)) test.finish(2, "the gatherer did not come up");
  usleep(500000);
  // What the gatherer says of a multiget over HTTP for the last shard: 400 while there is no such shard.
  const auto last_shard = [&](const char* id) {
    const std::string body = "{\"slices\":[{\"slice\":" + std::to_string(kAfter - 1) +
                             ",\"mass\":1.0}],\"filter\":\"c41e77d0\"}";
    const Message answer =
        ask_http(ip, http,
                 std::string("POST /api HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Request-Id: ") + id +
                     "\r\nX-Class: look\r\nX-Deadline-Ms: 1000\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body,
                 now_ms() + 3000);
    record.line("a multiget over HTTP for shard %d is answered %d: %s", kAfter - 1, answer.status(),
                answer.body.c_str());
    return answer.status();
  };
  struct Found {
    long long count = -1;
    bool whole = false;
  };
  const auto search = [&](const std::string& term) {
    // SRU 2.0, where the answer says whether its count is exact.
    const Message answer = ask_http(ip, sru,
                                    "GET /clauses?version=2.0&query=" + escaped("dc.title any " + term) +
                                        "&maximumRecords=1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
                                    now_ms() + 6000);
    record.line("a search over all shards is answered %d: %s records, precision %s, diagnostic '%s'", answer.status(),
                between(answer.body, "numberOfRecords>", "<").c_str(),
                between(answer.body, "resultCountPrecision/1/", "<").c_str(),
                between(answer.body, "diag:uri>", "<").c_str());
    Found out;
    const std::string count = between(answer.body, "numberOfRecords>", "<");
    if (answer.status() == 200 && !count.empty()) out.count = std::atoll(count.c_str());
    out.whole = answer.body.find("resultCountPrecision/1/exact") != std::string::npos &&
                answer.body.find("diagnostic/1/") == std::string::npos;
    return out;
  };

  Found before;
  for (int i = 0; i < 5 && before.count < 0; ++i) {
    before = search("lease");
    usleep(200000);
  }
  if (before.count != kBefore * kHits || !before.whole) test.finish(2, "the first search was not answered whole");
  if (last_shard("9b1f03aa5c7e2d41") != 400) test.finish(2, "the last shard is there before the new settings");
  int shards = kBefore;
  if (test.trouble) {
    configure(kAfter);
    record.line("new settings with %d shards, SIGHUP", kAfter);
    kill(gatherer, SIGHUP);
    shards = kAfter;
    bool taken = false;
    for (int i = 0; i < 20 && !taken; ++i) {
      usleep(250000);
      taken = last_shard(("7a00000000000" + std::to_string(100 + i)).c_str()) != 400;
    }
    if (!taken) test.finish(0, "the new settings were not taken: the last shard does not exist yet");
    usleep(5000000);  // more than the 4 s after which what is new counts as told
  }
  for (int i = 0; i < 5; ++i) {
    const Found after = search("tenancy" + std::to_string(i));
    if (after.count < 0) test.finish(2, "a search was not answered");
    if (after.whole && after.count != shards * kHits)
      test.finish(1, "an answer from " + std::to_string(after.count / kHits) + " of " + std::to_string(shards) +
                         " shards is given as whole: " + std::to_string(after.count) + " records, marked exact");
  }
  test.finish(0, "each count was whole, or marked as not whole");
}
