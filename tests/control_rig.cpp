// Control nodes as processes of their own, receivers in this one, faults between and under them. Each line of
// the trace is a verdict that is the same every time; what is measured goes to standard error, with
// MARBLEDYKE_RIG_FIGURES set.
#include "control_fleet.h"
#include "net/json_server.h"

using namespace marbledyke;
using namespace marbledyke::control_rig;

namespace {

// ---- a whole life ----

void life() {
  Fleet fleet;
  say("three nodes answer", fleet.answers(0) && fleet.answers(1) && fleet.answers(2));
  fleet.receive();
  fleet.learn_all(1);
  fleet.in_force("the first revision", 1, 2s);
  rig::run_for(fleet.loop, 600ms);  // beyond the spacing
  fleet.learn_all(2);
  fleet.learn_all(3);
  fleet.in_force("two within the spacing: the later one", 3, 2s);
  say("an older one is told to be outdated",
      fleet.learn(0, 2).body.value("kind", "") == "outdated" && fleet.newest(0) == 3);
  std::uint64_t known = 0;
  for (std::size_t i = 0; i < kNodes; ++i) {
    const json receivers = fleet.status(i)["receivers_by_index"];
    for (const auto& [index, count] : receivers.items())
      known += index == "3" ? count.get<std::uint64_t>() : 1000;
  }
  say("the nodes' sums name all receivers at 3, and no peer", known == kReceivers);
  say("a second node on the folder is refused",
      fleet.refusal(0, address(90).text()).ends_with("another control node has it"));
  fleet.kill(0);
  fleet.learn(1, 4);
  fleet.in_force("a node killed, one of the others told", 4, 2s);
  say("started again it has what the others have",
      fleet.start(0) && rig::run_until(fleet.loop, 3s, [&] { return fleet.newest(0) == 4; }));
  fleet.processes[1].signal(SIGSTOP);
  fleet.learn(0, 5);
  fleet.in_force("a node stopped at the moment of a change", 5, 8s);
  fleet.processes[1].signal(SIGCONT);
  say("it goes on and follows", rig::run_until(fleet.loop, 3s, [&] { return fleet.newest(1) == 5; }));
  fleet.processes[2].signal(SIGTERM);
  say("SIGTERM ends a node in order", fleet.gone(2) && *fleet.processes[2].ended() == 0);
  fleet.learn(0, 6);
  fleet.in_force("without it", 6, 2s);
  fleet.sound();
}

// ---- ended at a point ----

void points() {
  Fleet fleet;
  fleet.receive();
  fleet.learn_all(1);
  fleet.in_force("the first revision", 1, 2s);
  rig::run_for(fleet.loop, 600ms);
  fleet.bend(0, {{"point", {{"name", "control.written"}}}});
  say("killed between writing and telling: no answer", fleet.learn(0, 2).status == 0 && fleet.gone(0));
  rig::run_for(fleet.loop, 500ms);
  say("and nobody has it", fleet.all_hold(1) && fleet.newest(1) == 1 && fleet.newest(2) == 1);
  fleet.bend(0, json::object());
  say("started again it has it", fleet.start(0) && fleet.newest(0) == 2);
  fleet.in_force("and tells it to peers and receivers", 2, 4s);
  fleet.bend(1, {{"point", {{"name", "control.before_write"}}}});
  say("killed before writing: no answer", fleet.learn(1, 3).status == 0 && fleet.gone(1));
  fleet.bend(1, json::object());
  say("started again it has it not", fleet.start(1) && fleet.newest(1) == 2);
  Accept accept;
  accept.ballot = {1, "tool"};
  accept.revision = emulated_revision(3);
  fleet.bend(2, {{"point", {{"name", "control.written"}}}});
  say("killed after it wrote what it accepts: no answer",
      fleet.post(2, "accept", put(accept)).status == 0 && fleet.gone(2));
  fleet.bend(2, json::object());
  const bool up = fleet.start(2);
  const json state = fleet.state(2);
  say("started again it has accepted it, and a lower ballot is outbid",
      up && state["accepted"]["index"] == 3 && state["chosen"]["index"] == 2 &&
          fleet.post(2, "prepare", put(prepare_of("a", 2))).body.value("kind", "") == "outbid");
  fleet.learn_all(3);
  fleet.in_force("at last", 3, 4s);
  fleet.sound();
}

// ---- disks ----

void disks() {
  Fleet fleet;
  fleet.receive();
  fleet.learn_all(1);
  fleet.in_force("the first revision", 1, 2s);
  for (std::size_t i = 0; i < kNodes; ++i) fleet.bend(i, {{"disk", {{"full", true}}}});
  say("the disk full: a revision is not taken", fleet.learn(0, 2).status == 503);
  const json promise = put(prepare_of("tool", 1));
  say("nor is a promise given", fleet.post(0, "prepare", promise).status == 503);
  rig::run_for(fleet.loop, 300ms);
  say("what was in force stays so, and is told", fleet.newest(0) == 1 && fleet.all_hold(1));
  fleet.bend(0, json::object());
  say("with room again it is taken", fleet.learn(0, 2).status == 200);
  rig::run_for(fleet.loop, 1500ms);
  say("a peer whose disk is still full does not follow",
      fleet.newest(1) == 1 && fleet.status(1).value("write_failures", 0) > 0);
  for (std::size_t i = 0; i < kNodes; ++i) fleet.bend(i, json::object());
  fleet.in_force("all with room again", 2, 8s);
  fleet.bend(2, {{"disk", {{"tears", 40}}}});
  say("a write torn by the machine's end: no answer", fleet.learn(2, 3).status == 0 && fleet.gone(2));
  fleet.bend(2, json::object());
  say("started again it has the one before", fleet.start(2) && fleet.newest(2) == 2);
  fleet.kill(2);
  const std::string state = fleet.folder_of(2) + "/state";
  const std::string good = text_of(state);
  std::string flipped = good;
  flipped[flipped.size() / 2] ^= 1;
  const auto with = [&](const char* what, const std::string& text) {
    write_text(state, text);
    const std::string why = fleet.refusal(2, fleet.node(2).text());
    std::printf("%-22s %s\n", what, why.substr(0, why.find("damaged") + 7).c_str());
  };
  with("one bit flipped", flipped);
  with("half of it", good.substr(0, good.size() / 2));
  with("emptied", "");
  unlink(state.c_str());
  std::printf("%-22s %s\n", "removed", fleet.refusal(2, fleet.node(2).text()).c_str());
  write_text(state, good);
  say("put back it starts", fleet.start(2) && fleet.newest(2) == 2);
  fleet.learn_all(3);
  fleet.in_force("at last", 3, 4s);
  fleet.sound();
}

// ---- cut between nodes ----

void cuts() {
  Fleet fleet;
  fleet.receive();
  fleet.learn_all(1);
  fleet.in_force("the first revision", 1, 2s);
  fleet.cut(2, true);
  rig::run_for(fleet.loop, 600ms);
  fleet.learn(0, 2);
  rig::run_for(fleet.loop, 1s);
  say("node 2 cut off from its peers: they have the next one, it has not",
      fleet.newest(0) == 2 && fleet.newest(1) == 2 && fleet.newest(2) == 1);
  rig::run_for(fleet.loop, 5s);
  fleet.cut(2, false);
  say("healed: it follows", rig::run_until(fleet.loop, 6s, [&] { return fleet.newest(2) == 2; }));
  fleet.in_force("healed", 2, 4s);
  fleet.sound();
}

// ---- requests ----

void requests() {
  Fleet fleet;
  fleet.receive();
  fleet.learn_all(1);
  fleet.in_force("the first revision", 1, 2s);
  const auto raw = [&](const char* what, const std::string& bytes) {
    const Duration from = fleet.loop.now();
    const std::string answer = rig::raw_call(fleet.loop, fleet.node(0), bytes, 4s);
    std::printf("%-34s %s%s\n", what, answer.size() > 12 ? answer.substr(9, 3).c_str() : "none",
                fleet.loop.now() - from < 4s ? "" : ", TOO LATE");
  };
  const std::string close = " HTTP/1.1\r\nHost: c\r\nConnection: close\r\n";
  const std::string post = "POST /v1/configuration/accept" + close;
  raw("not HTTP", "hello\r\n\r\n");
  raw("no such page", "GET /nothing" + close + "\r\n");
  raw("a message by GET", "GET /v1/configuration/accept" + close + "\r\n");
  raw("a call without a receiver", "GET /v1/configuration?index=1" + close + "\r\n");
  raw("an index below 0", "GET /v1/configuration?receiver=a&index=-1" + close + "\r\n");
  raw("a message that is no JSON", post + "Content-Length: 5\r\n\r\n{{{{{");
  raw("a message of 10 MB", post + "Content-Length: 10000000\r\n\r\n");
  raw("half a message, then nothing", post + "Content-Length: 50\r\n\r\n{\"ballot\":");
  raw("half a head, then nothing", "GET /v1/conf");
  raw("a head of 1 MB", "GET /v1/configuration" + close + "X: " + std::string(1'000'000, 'x') + "\r\n\r\n");
  const std::string deep = std::string(60'000, '[');
  raw("a message nested 60,000 deep",
      post + "Content-Length: " + std::to_string(deep.size()) + "\r\n\r\n" + deep);
  raw("a receiver's call that does not wait", "GET /v1/configuration?receiver=a&wait=0" + close + "\r\n");
  Revision other = emulated_revision(2);
  other.fleet = "g";
  other.digest = digest_of(other);
  say("another fleet's revision is refused",
      fleet.post(0, "learn", put(other)).body.value("kind", "") == "refused");
  json wrong = put(emulated_revision(2));
  wrong["settings"]["index"] = 7;
  const rig::Answer damaged = fleet.post(0, "learn", wrong);
  say("one with a wrong digest is refused, named",
      damaged.status == 400 && damaged.body.value("error", "").find("digest") != std::string::npos);
  Revision large = emulated_revision(2);
  large.settings = "{\"a\":\"" + std::string(kMostSettings, 'x') + "\"}";
  large.digest = digest_of(large);
  say("one that is too large is refused", fleet.post(0, "learn", put(large)).status == 400);
  Revision second = emulated_revision(1);
  second.author = "another";
  second.digest = digest_of(second);
  say("another one at an index that is agreed is refused",
      fleet.post(0, "learn", put(second)).body.value("kind", "") == "refused");
  say("what was in force stays so", fleet.newest(0) == 1 && fleet.all_hold(1));
  {
    std::vector<std::unique_ptr<net::Stream>> callers;
    for (int i = 0; i < 40; ++i) {
      auto made = std::make_unique<net::Stream>(fleet.loop, net::start_connect(fleet.node(0)), false, 4096,
                                                4096, net::Stream::Callbacks{});
      made->out().append("GET /v1/configuration?receiver=w" + std::to_string(i) +
                         "&index=1&digest=x&wait=10000" + close + "\r\n");
      callers.push_back(std::move(made));
    }
    const auto waiting = [&] { return fleet.status(0).value("waiting", 0); };
    say("40 callers wait", rig::run_until(fleet.loop, 2s, [&] { return waiting() >= 40; }));
    callers.clear();
    say("they leave, and are not waited with",
        rig::run_until(fleet.loop, 2s, [&] { return waiting() < 40; }));
  }
  std::vector<net::Descriptor> held;
  for (int i = 0; i < 300; ++i) held.push_back(net::start_connect(fleet.node(0)));
  rig::run_for(fleet.loop, 300ms);
  large.settings = "{\"a\":\"" + std::string(kMostSettings - 8, 'x') + "\"}";
  large.digest = digest_of(large);
  say("beside 300 idle connections one of the largest size is taken",
      fleet.post(0, "learn", put(large)).status == 200);
  fleet.in_force("and", 2, 2s);
  fleet.sound();
}

// ---- a node that lies ----

// Answers a receiver's calls with that text; or, without one, never.
struct Liar {
  Liar(net::Loop& loop, const net::Address& at, std::optional<std::string> with)
      : server(
            loop, at, {},
            {[this, text = std::move(with)](net::JsonServer::ConnectionId caller, const net::JsonRequest&) {
               asked += 1;
               if (text) server.send_reply(caller, {200, *text});
             },
             nullptr}) {}
  int asked = 0;
  net::JsonServer server;
};

void late_owner() {
  net::Loop loop;
  loop.read_clock();
  const net::Address at = address(80);
  int asked = 0, left = 0;
  net::JsonServer::Limits limits;
  limits.reply_timeout = 300ms;
  net::JsonServer server(loop, at, limits,
                         {[&](net::JsonServer::ConnectionId, const net::JsonRequest&) { asked += 1; },
                          [&](net::JsonServer::ConnectionId) { left += 1; }});
  const rig::Answer answer = rig::call(loop, at, "GET", "/", "", 2s);
  say("an owner who does not answer in time: 503, and it is told",
      answer.status == 503 && asked == 1 && left == 1);
  rig::call(loop, at, "GET", "/", "", 100ms);
  rig::run_for(loop, 50ms);
  say("a caller who goes before that: it is told as well", asked == 2 && left == 2);
}

void liars() {
  late_owner();
  Fleet fleet;
  fleet.learn_all(5);
  json other = put(WatchAnswer{9, emulated_revision(9)});
  other["revision"]["fleet"] = "g";
  json damaged = put(WatchAnswer{9, emulated_revision(9)});
  damaged["revision"]["settings"]["index"] = 1;
  const std::map<std::string, std::optional<std::string>> lies{
      {"is silent", std::nullopt},
      {"talks nonsense", "hello"},
      {"sends 10 MB", "{\"newest\":1,\"x\":\"" + std::string(10'000'000, 'x') + "\"}"},
      {"has a wrong digest", damaged.dump()},
      {"serves another fleet", other.dump()},
      {"says nothing new at once", R"({"newest":0})"}};
  int number = 50;
  for (const auto& [what, text] : lies) {
    const net::Address at = address(number++);
    Liar liar(fleet.loop, at, text);
    std::int64_t index = 0;
    std::unique_ptr<ReceiverClient> client;
    client = std::make_unique<ReceiverClient>(
        fleet.loop, Receiver::Identity{"r", "z1", "f", CallerRole::receiver},
        std::vector<net::Address>{at, fleet.node(0)}, 1, std::nullopt, 1, [&](const Revision& revision) {
          index = revision.index;
          client->applied();
        });
    if (text && text->ends_with("0}")) {
      rig::run_for(fleet.loop, 2s);
      say("one that " + what + " is called 20 times a second at most",
          client->receiver().tally().calls <= 2 * 20 + 2 && index == 0);
    } else {
      const bool has = rig::run_until(fleet.loop, 4s, [&] { return index == 5; });
      say("one that " + what + " is left for another node", has && client->receiver().node() == 1);
    }
    say("  and nothing came that cannot come", client->receiver().impossible() == 0);
  }
}

}  // namespace

int main(int count, char** words) {
  const std::map<std::string, void (*)()> cases{{"life", life}, {"points", points},     {"disks", disks},
                                                {"cuts", cuts}, {"requests", requests}, {"liars", liars}};
  const auto found = count == 2 ? cases.find(words[1]) : cases.end();
  if (found == cases.end()) return 2;
  signal(SIGPIPE, SIG_IGN);
  found->second();
  return 0;
}
