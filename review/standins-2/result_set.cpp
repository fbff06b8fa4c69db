// A client asks for the next page of its own result set after a planned restart; another client has searched
// since.
#include "servers.h"

using namespace review;

int main() {
  Case test;
  Record& record = test.record;
  SruServer server("127.1.0.1", 2, 5);
  server.arrived = [&](const std::string& line, int) { record.line("server asked: %s", line.c_str()); };
  // Twelve records for whatever is looked for, each with the words of its own search.
  server.body = [](const std::string& line) {
    return sru_response(line, 12, "found by " + between(parameter(line, "query"), "any \"", "\""));
  };
  Discovery discovery(record);
  if (!server.open() || !discovery.open()) test.finish(2, "no free port");
  discovery.list("leaf-1", server.address(), 0);
  const std::string ip = "127.0.0.4";
  const int http = free_port(ip), sru = free_port(ip);
  test.write_file(test.work + "/config.json", configuration("n0", ip + ":" + std::to_string(http),
                                                            discovery.address(), "8c1f30d27a5be964", {}));
  test.write_file(
      test.work + "/operator.xml",
      "<marbledyke xmlns=\"urn:marbledyke:operator:1\"><search><listen protocol=\"sru\" address=\"" + ip +
          ":" + std::to_string(sru) +
          "\"/><database name=\"clauses\" op-type=\"look\" deadline=\"4s\"><schema name=\"dc\" "
          "identifier=\"info:srw/schema/1/dc-v1.1\"/><index name=\"dc.title\" use=\"4\"/></database>"
          "</search><servers><server name=\"leaf-1\" speaks=\"sru\" database=\"clauses{shard}\"/>"
          "</servers></marbledyke>");
  const auto begin = [&] {
    const pid_t pid = start(test.root, test.search + " --operator " + test.work + "/operator.xml",
                            {{"PROXY_CONFIG", test.work + "/config.json"}}, test.work + "/gatherer.log");
    if (!test.healthy(ip, http, now_ms() + 15000)) test.finish(2, "the gatherer did not come up");
    usleep(500000);  // the list has come
    record.line("gatherer %d serves", static_cast<int>(pid));
    return pid;
  };
  const auto ask = [&](const char* who, const std::string& query, int first, int count) {
    const std::string target = "/clauses?version=1.2&operation=searchRetrieve&query=" + escaped(query) +
                               "&startRecord=" + std::to_string(first) +
                               "&maximumRecords=" + std::to_string(count);
    record.line("%s asks: %s from record %d", who, query.c_str(), first);
    const Message answer = ask_http(
        ip, sru, "GET " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", now_ms() + 6000);
    record.line("%s is answered %d, set '%s', diagnostic '%s'", who, answer.status(),
                between(answer.body, "resultSetId>", "<").c_str(),
                between(answer.body, "diag:uri>", "<").c_str());
    for (std::size_t at = answer.body.find("<title>"); at != std::string::npos;
         at = answer.body.find("<title>", at + 1))
      record.line("  %s", between(answer.body.substr(at), "<title>", "<").c_str());
    return answer;
  };

  pid_t gatherer = begin();
  Message first;
  for (int i = 0; i < 5 && first.body.find("resultSetId") == std::string::npos; ++i) {
    first = ask("client A", "dc.title any lease", 1, 3);
    usleep(200000);
  }
  const std::string set = between(first.body, "resultSetId>", "<");
  if (set.empty() || first.body.find("found by lease 1<") == std::string::npos)
    test.finish(2, "client A got no result set");
  if (test.trouble) {
    record.line("SIGTERM: a planned restart");
    kill(gatherer, SIGTERM);
    int status = 0;
    if (!ended(gatherer, now_ms() + 12000, &status)) test.finish(2, "the gatherer did not end");
    record.line("the gatherer ended with status %d", WEXITSTATUS(status));
    const std::string other = configuration("n0", ip + ":" + std::to_string(http), discovery.address(),
                                            "51c0ffee2277d90a", {});  // the seed is new with each start
    test.write_file(test.work + "/config.json", other);
    gatherer = begin();
  }
  const Message second = ask("client B", "dc.title any tenancy", 1, 3);
  if (second.body.find("found by tenancy 1<") == std::string::npos)
    test.finish(2, "client B was not answered");
  const Message page = ask("client A", "cql.resultSetId = \"" + set + "\"", 4, 3);
  if (page.status() == 0) test.finish(2, "client A's second page was not answered at all");
  const bool foreign = page.body.find("found by tenancy") != std::string::npos;
  const bool own = page.body.find("found by lease 4<") != std::string::npos;
  const bool told =
      page.body.find("info:srw/diagnostic/1/5") != std::string::npos;  // 51 or 52: there is no such set
  if (foreign)
    test.finish(
        1, "client A, whose set " + set + " is of `lease`, got records of client B's search for `tenancy`");
  if (own) test.finish(0, "client A got the next records of its own set");
  if (told || page.status() != 200) test.finish(0, "client A was told that its set is gone");
  test.finish(2, "an answer that this case does not know");
}
