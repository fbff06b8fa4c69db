// Case 1: bad clients connect where searches over SRU come in, send much at once and go. Does the gatherer go on serving the
// others?
#include "../standins/standins.h"

using namespace review;

namespace {

constexpr int kBadClients = 60;        // one after the other
constexpr int kRequestsAtOnce = 300;   // of each
constexpr int kUsualClients = 4;
constexpr auto kService = 100ms;

}  // namespace

int main(int count, char** words) {
  const Setting setting = setting_of(count, words);
  signal(SIGPIPE, SIG_IGN);
  Record record(setting.record);
  record.line("trouble=%d", setting.trouble ? 1 : 0);

  std::vector<std::unique_ptr<FrameServer>> leaves;
  std::vector<Entry> list;
  for (int i = 0; i < 4; ++i) {
    leaves.push_back(std::make_unique<FrameServer>("127.0.0.1", kService, [&, i](const PartRun& part) {
      record.line("leaf-%d is sent and runs %s %s (%s)", i, part.id.c_str(), part.list.c_str(), part.text.c_str());
      return FrameServer::End{"S 1 -", "value-of-" + part.id};
    }));
    leaves.back()->answers = [&, i](const PartRun& part, const FrameServer::End& end) {
      record.line("leaf-%d answers %s: %s, %s", i, part.id.c_str(), end.how.c_str(), end.value.c_str());
    };
    list.push_back({"leaf-" + std::to_string(i), leaves.back()->address(), i % 2 == 0 ? "hall-a" : "hall-b"});
  }
  Discovery discovery("127.0.0.1", record);
  discovery.set(list);

  const int http = free_port("127.0.0.1"), sru = free_port("127.0.0.2");
  write_file(setting.temporary + "/config.json",
             R"({"name":"g0","listen":"127.0.0.1:)" + std::to_string(http) + R"(","discovery":")" +
                 discovery.address() + R"(","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" + discovery.json() + R"(,
 "settings":{"categories":[
   {"name":"draft","objective":4000000,"deadline":8000000,"effect":"repeatable","worth":1.0,"late-share":0.1},
   {"name":"issue","objective":2000000,"deadline":6000000,"effect":"once","worth":3.0,"late-share":0.0}],
  "contract":{"ask-every":10000000,"cold":17000000,"cold-from":0.21,"drain-grace":500000,"extra-floor":20,
   "extra-per-request":0.2,"resend-span":10000000,"fall-multiple":2.0,"overload-for":1500000},
  "limits":{"attempts-cap":3,"cancel":true,"conn-idle":15000000,"connect-timeout":250000,"max-open":200,
   "max-retry-after":1000000,"probing":true,"retry-after":true,"second-copies":true,"streams-per-conn":100},
  "prices":{"cross-zone":0.013,"handshake":0.02,"probe":0.024,"waste":0.16},"registry-mode":"ask","replicas-of-me":1,
  "specifics":{"bundle-max":16,"class-floor":[1.0,1.0],"complete-from":[1.0,1.0],"overhead":80000,"second-step":[0,0],
   "sets":1,"short-worth":[0.0,0.0],"slabs":4,"width":1},
  "telemetry":{"fields":["cpu","rps","waiting"],"how":"on_probe"},"tick":5000,"zone":0,"zones":["hall-a","hall-b"]}})");
  write_file(setting.temporary + "/search.xml",
             R"(<marbledyke xmlns="urn:marbledyke:operator:1"><search>
 <listen protocol="sru" address="127.0.0.2:)" + std::to_string(sru) + R"("/>
 <database name="clauses" title="Clauses" op-type="draft" shards="all" deadline="4s">
  <schema name="dc" identifier="info:srw/schema/1/dc-v1.1"/><index name="dc.subject" title="Subject" use="21"/>
  <index name="dc.date" title="Date" use="30"/></database></search></marbledyke>)");

  Process gatherer(setting.root, "exec build/marbledyke-search --operator \"$SEARCH\"",
                   {{"PROXY_CONFIG", setting.temporary + "/config.json"}, {"SEARCH", setting.temporary + "/search.xml"}},
                   setting.temporary + "/log");
  if (!wait_until_ready("127.0.0.1", http) || !wait_until_ready("127.0.0.2", sru)) {
    record.line("the gatherer is not ready");
    return 2;
  }
  std::this_thread::sleep_for(500ms);

  // The usual clients: one request at a time on a connection of their own.
  std::atomic<bool> over{false};
  std::atomic<int> asked{0}, ended{0}, unanswered{0};
  std::vector<std::thread> clients;
  for (int client = 0; client < kUsualClients; ++client) {
    clients.emplace_back([&, client] {
      int fd = -1;
      std::string rest;
      for (int i = 0; !over; ++i) {
        if (fd < 0) fd = connect_to("127.0.0.1", http);
        if (fd < 0) {
          std::this_thread::sleep_for(100ms);
          continue;
        }
        char id[17];
        std::snprintf(id, sizeof id, "%08x%08x", client + 1, i + 1);
        const bool issue = i % 3 == 0;
        const std::string body = "{\"slices\":[{\"slice\":" + std::to_string(i % 4) + ",\"mass\":1.0}],\"filter\":\"" + id + "\"}";
        record.line("client %d asks %s (%s): %s", client, id, issue ? "issue" : "draft", body.c_str());
        asked += 1;
        write_all(fd, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + std::string(id) + "\r\nX-Class: " +
                          (issue ? "issue" : "draft") + "\r\nX-Tenant: norrby-juridik\r\nX-Deadline-Ms: 4000\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
        const auto answer = read_http(fd, rest, 4500);
        record.line("client %d gets for %s: %s %s", client, id, answer ? answer->first.c_str() : "NO ANSWER", answer ? answer->body.c_str() : "");
        (answer ? ended : unanswered) += 1;
        if (!answer) {
          close(fd);
          fd = -1;
          rest.clear();
        }
        std::this_thread::sleep_for(10ms);
      }
      if (fd >= 0) close(fd);
    });
  }
  std::this_thread::sleep_for(1s);
  const int before = ended;
  bool alive = true;
  if (setting.trouble) {
    std::string much;
    for (int i = 0; i < kRequestsAtOnce; ++i)
      much += "GET /clauses?operation=explain&version=1.2 HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    for (int bad = 0; bad < kBadClients && alive; ++bad) {
      const int fd = connect_to("127.0.0.2", sru);
      if (fd < 0) break;
      write_all(fd, much);
      const std::string some = read_some(fd, 500);
      record.line("bad client %d sent \"GET /clauses?operation=explain&version=1.2 HTTP/1.1\" %d times at once, was answered %s ... "
                  "(%zu bytes read) and goes", bad, kRequestsAtOnce, some.substr(0, some.find('\r')).c_str(), some.size());
      // Each goes after a time of its own, while the gatherer is at its requests. More was answered by then than it has
      // read, so the system resets the connection.
      std::this_thread::sleep_for(std::chrono::microseconds(137 * bad % 4000));
      close(fd);
      std::this_thread::sleep_for(50ms);
      alive = gatherer.running();
    }
  }
  std::this_thread::sleep_for(1s);
  alive = gatherer.running();
  over = true;
  for (std::thread& one : clients) one.join();
  record.line("the gatherer %s; usual clients asked %d, got a final answer %d (%d before the bad clients), none %d",
              alive ? "serves" : "HAS CRASHED", asked.load(), ended.load(), before, unanswered.load());
  std::printf("gatherer %s; usual clients asked %d, answered %d, none %d\n", alive ? "serves" : "crashed", asked.load(),
              ended.load(), unanswered.load());
  gatherer.end(SIGTERM);
  if (before == 0) return 2;
  return alive && unanswered == 0 ? 0 : 1;
}
