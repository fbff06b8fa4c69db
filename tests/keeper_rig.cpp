// Keepers and gatherers as processes of their own, faults between and under them. Each line of the trace is a
// verdict that is the same every time; what is measured goes to standard error, with MARBLEDYKE_RIG_FIGURES
// set.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <string>

#include "rig/site.h"
#include "standins/load.h"

using namespace marbledyke;
using namespace std::chrono_literals;
using nlohmann::json;
using rig::Answer;
using rig::Site;
using Machine = Site::Machine;
using Recipe = Site::Recipe;

namespace {

void say(const char* what, bool is) { std::printf("%-86s %s\n", what, is ? "yes" : "NO"); }

void figure(const char* what, double value) {
  if (std::getenv("MARBLEDYKE_RIG_FIGURES") != nullptr) std::fprintf(stderr, "%-60s %.3f\n", what, value);
}

std::string outcome(const json& status) {
  if (!status.is_object()) return "not settled";
  return status.value("outcome", "") + ", in force " + status.value("in_force", "");
}

bool serves(Site& site, Machine& m) {
  return rig::call(site.loop(), m.listen, "GET", "/healthz", "", 300ms).status == 200;
}

standins::LoadOptions load(double rate, int seconds, const char* op_type = "look") {
  standins::LoadOptions out;
  out.rate = rate;
  out.seconds = seconds;
  out.shards = Site::kShards;
  out.op_type = op_type;
  return out;
}

double seconds_of(net::Loop& loop, const std::function<bool()>& holds, Duration limit) {
  const Duration from = loop.now();
  const bool held = rig::run_until(loop, limit, holds);
  return held ? static_cast<double>((loop.now() - from).count()) / 1e6 : -1;
}

// ---- a whole life ----

void life() {
  net::Loop loop;
  Site site(loop, {});
  Machine& m = site.machine(0);
  site.start_keeper(m);
  say("the keeper answers", site.keeper_up(m));
  say("nothing runs before an order", Site::leader(site.status(m)) < 0);
  say("a version is taken and brought in force", site.bring(m, "v1", {}));
  say("the gatherer answers its health call", serves(site, m));
  say("asked for nothing yet, and says so",
      site.status(m)["processes"][0].value("answers", "") == "not asked");

  standins::Load clients(loop, m.listen, load(200, 4));
  rig::run_for(loop, 1500ms);
  const json under = site.status(m);
  say("under load it is seen to end multigets", under["processes"][0].value("answers", "") == "yes");
  const pid_t first = Site::leader(under);
  kill(first, SIGKILL);
  const double back = seconds_of(
      loop, [&] { return Site::leader(site.status(m)) != first && serves(site, m); }, 5s);
  figure("SIGKILL of a gatherer until its successor answers, s", back);
  say("killed: another one serves", back >= 0);
  rig::run_until(loop, 10s, [&] { return !clients.running(); });
  const auto& t = clients.tally();
  // What was in hand is lost; nobody who connected meanwhile was refused.
  say("killed under 200 a second: at most 20 of 800 without an answer",
      t.due - t.answered - t.pushed_back <= 20 && t.due > 600);
  figure("lost of all", static_cast<double>(t.due - t.answered));
  const json after = site.status(m);
  say("one end is counted", after.value("ends", 0) == 1 && after.value("starts", 0) == 2);

  rig::Process second;
  second.start(
      {rig::program("marbledyke-keeper"), "--folder", m.folder, "--control", "127.0.0.1:1", "--name", "x"},
      {}, m.log + ".second");
  rig::run_until(loop, 3s, [&] { return second.ended().has_value(); });
  std::ifstream said(m.log + ".second");
  std::string line;
  std::getline(said, line);
  say("a second keeper on the folder is refused",
      second.ended() && WEXITSTATUS(*second.ended()) == 1 && line.ends_with("another keeper has it"));

  const pid_t adopted = Site::leader(site.status(m));
  m.keeper.signal(SIGKILL);
  rig::run_until(loop, 2s, [&] { return m.keeper.ended().has_value(); });
  say("the keeper is killed, its gatherer serves on", serves(site, m));
  site.start_keeper(m);
  say("a keeper started again answers", site.keeper_up(m));
  say("and has adopted the gatherer that runs", Site::leader(site.status(m)) == adopted);
  kill(adopted, SIGKILL);
  const double again = seconds_of(
      loop,
      [&] {
        return Site::leader(site.status(m)) > 0 && Site::leader(site.status(m)) != adopted && serves(site, m);
      },
      5s);
  say("an adopted one that is killed is replaced", again >= 0);
  site.order(m, "stop");
  say("a stop ends it in order",
      outcome(site.settled(m)) == "done, in force v1" && site.gatherers(m).empty());
  site.order(m, "run");
  say("and a run starts it", outcome(site.settled(m)) == "done, in force v1" && serves(site, m));
  m.keeper.signal(SIGTERM);
  rig::run_until(loop, 8s, [&] { return m.keeper.ended().has_value(); });
  say("the keeper goes down in order, its gatherer with it",
      m.keeper.ended() == 0 && site.gatherers(m).empty() && !serves(site, m));
}

// ---- swaps ----

void swaps() {
  net::Loop loop;
  Site site(loop, {});
  Machine& m = site.machine(0);
  site.start_keeper(m);
  site.keeper_up(m);
  say("v1 in force", site.bring(m, "v1", {}));
  const pid_t first = Site::leader(site.status(m));
  // A request and the end of a kept connection may cross whatever a server does; clients ask once more then.
  standins::LoadOptions swapped = load(300, 12);
  swapped.may_repeat = true;
  standins::Load clients(loop, m.listen, swapped);
  rig::run_for(loop, 500ms);
  Recipe settings;
  settings.tick = 6000;
  say("other settings: in force, by the same process",
      site.bring(m, "v2", settings) && Site::leader(site.status(m)) == first);
  Recipe other = settings;
  other.mark = "another build";
  say("another program: in force, by another process",
      site.bring(m, "v3", other) && Site::leader(site.status(m)) != first);
  Recipe refused = other;
  refused.broken_settings = true;
  say("settings that it refuses: refused, v3 stays", !site.bring(m, "v4", refused));
  std::printf("  %s: %s\n", outcome(site.status(m)).c_str(), site.status(m).value("why", "").c_str());
  refused.mark = "a third build";
  say("another program that refuses its settings: back on v3", !site.bring(m, "v5", refused));
  std::printf("  %s\n", outcome(site.settled(m)).c_str());
  rig::run_until(loop, 20s, [&] { return !clients.running(); });
  const auto& t = clients.tally();
  say("under load over all of this no multiget is lost", t.answered == t.due && t.due > 3000);
  if (t.answered != t.due)
    std::printf("  due %llu answered %llu pushed back %llu failed %llu cut %llu timed out %llu\n",
                static_cast<unsigned long long>(t.due), static_cast<unsigned long long>(t.answered),
                static_cast<unsigned long long>(t.pushed_back), static_cast<unsigned long long>(t.failed),
                static_cast<unsigned long long>(t.cut), static_cast<unsigned long long>(t.timed_out));
  say("no event came that cannot come", site.status(m).value("impossible", -1) == 0);
}

void bad_versions() {
  for (const char* flaw : {"never-ready", "ends:0.3", "hangs:0.4", "deaf", "mute"}) {
    net::Loop loop;
    rig::SiteOptions options;
    options.keeper_words.insert(options.keeper_words.end(), {"--mute-after", "2"});
    Site site(loop, options);
    Machine& m = site.machine(0);
    site.start_keeper(m);
    site.keeper_up(m);
    site.bring(m, "v1", {});
    Recipe bad;
    bad.program = "marbledyke-flawed";
    bad.flaw = flaw;
    const std::string from = site.recipe(m, "bad", bad);
    site.order(m, "take", "bad", {{"from", from}});
    site.settled(m);
    const auto use = site.order(m, "use", "bad", {{"trial_ms", 8000}});
    json now;
    // On trial what it does not do is found out too.
    rig::run_until(loop, 20s, [&] {
      now = site.status(m);
      return now.is_object() && (now.value("outcome", "") == "back" || now.value("outcome", "") == "held");
    });
    const bool back = serves(site, m) && site.gatherers(m).size() <= 2;
    std::printf("%-14s %s; v1 answers again: %s\n", flaw, outcome(now).c_str(), back ? "yes" : "NO");
  }
  {
    // One that ends a while after each start, with nothing to go back to: waits grow, then it says it gives
    // up.
    net::Loop loop;
    Site site(loop, {});
    Machine& m = site.machine(0);
    site.start_keeper(m);
    site.keeper_up(m);
    Recipe bad;
    bad.program = "marbledyke-flawed";
    bad.flaw = "ends:0.2";
    site.bring(m, "bad", bad);
    json now;
    const bool gave_up = rig::run_until(loop, 20s, [&] {
      now = site.status(m);
      return now.is_object() && now.value("gave_up", false);
    });
    say("ends 0.2 s after every start: given up, and said", gave_up && now.value("will", "") == "given_up");
    const int starts = now.value("starts", 0);
    rig::run_for(loop, 1s);
    say("and it is not started again", site.status(m).value("starts", 0) == starts);
    say("another version brings it back", site.bring(m, "v1", {}) && serves(site, m));
  }
}

// ---- the keeper ended at named points ----

void points() {
  struct Case {
    const char* point;
    int nth;
    const char* does;  // what is being done: take, use
  };
  const Case cases[] = {
      {"take.part", 2, "take"},    {"take.synced", 1, "take"}, {"take.renamed", 1, "take"},
      {"state.before", 2, "take"}, {"order.kept", 1, "use"},   {"state.before", 1, "use"},
      {"link.before", 1, "use"},   {"link.after", 1, "use"},   {"begin.before", 1, "use"},
      {"begin.after", 1, "use"},   {"child.born", 1, "use"},   {"term.after", 1, "use"},
      {"state.before", 2, "use"},  {"state.after", 2, "use"},  {"hup.before", 1, "settings"}};
  for (const Case& one : cases) {
    net::Loop loop;
    rig::SiteOptions options;
    options.bent = true;
    Site site(loop, options);
    Machine& m = site.machine(0);
    site.bend(m, json::object());
    site.start_keeper(m);
    site.keeper_up(m);
    bool fine = site.bring(m, "v1", {});
    Recipe next;
    next.tick = 6000;
    if (std::string(one.does) != "settings") next.mark = "another build";
    const std::string from = site.recipe(m, "v2", next);
    const bool taking = std::string(one.does) == "take";
    if (!taking) {
      site.order(m, "take", "v2", {{"from", from}});
      fine = fine && outcome(site.settled(m)) == "done, in force v1";
    }
    site.bend(m, {{"point", {{"name", one.point}, {"nth", one.nth}}}});
    const json body = {{"epoch", 1},
                       {"number", ++m.number_of_order},
                       {"order", taking ? "take" : "use"},
                       {"version", "v2"},
                       {"from", from}};
    rig::call(loop, m.control, "POST", "/order", body.dump(), 500ms);
    // A child that is ended at a point is not the keeper: what the keeper makes of it counts then.
    const bool ended = rig::run_until(loop, 3s, [&] { return m.keeper.ended().has_value(); });
    site.bend(m, json::object());
    if (ended) {
      site.start_keeper(m);
      fine = fine && site.keeper_up(m);
    }
    json now = site.settled(m);
    // Whoever gave the order repeats it, and is told what became of it, or it is carried out now.
    const Answer again = rig::call(loop, m.control, "POST", "/order", body.dump());
    const std::string verdict = again.body.value("verdict", "none");
    now = site.settled(m);
    rig::run_until(loop, 6s, [&] { return site.gatherers(m).size() == 1; });
    const bool whole = now.is_object() && now.value("linked", "") == now.value("in_force", "-");
    bool whole_version = true;
    for (const json& version : now.value("versions", json::array()))
      whole_version = whole_version && !version.value("program", "").empty();
    std::printf("%-13s %d of %-9s %s; repeated: %s; %s; %zu gatherer%s%s%s\n", one.point, one.nth, one.does,
                ended ? "keeper ended" : "child ended ", verdict.c_str(), outcome(now).c_str(),
                site.gatherers(m).size(), serves(site, m) ? ", serves" : ", DOES NOT SERVE",
                whole && whole_version ? "" : ", NOT WHOLE", fine ? "" : ", NOT FINE");
  }
}

// ---- disks ----

void disks() {
  const auto with = [](const char* what, const std::function<void(Site&, Machine&)>& then) {
    std::printf("-- %s\n", what);
    net::Loop loop;
    rig::SiteOptions options;
    options.bent = true;
    Site site(loop, options);
    Machine& m = site.machine(0);
    site.bend(m, json::object());
    site.start_keeper(m);
    site.keeper_up(m);
    say("v1 in force", site.bring(m, "v1", {}));
    then(site, m);
    say("it serves", serves(site, m) && site.gatherers(m).size() == 1);
  };
  const auto restart = [](Site& site, Machine& m) {
    m.keeper.signal(SIGKILL);
    rig::run_until(site.loop(), 2s, [&] { return m.keeper.ended().has_value(); });
    site.bend(m, json::object());
    site.start_keeper(m);
    return site.keeper_up(m);
  };
  Recipe v2;
  v2.tick = 6000;
  with("full in the middle of a version", [&](Site& site, Machine& m) {
    site.bend(m, {{"disk", {{"full", true}}}});
    const Answer refused = site.order(m, "take", "v2", {{"from", site.recipe(m, "v2", v2)}});
    std::printf("  %d %s\n", refused.status, refused.body.value("verdict", "").c_str());
    site.bend(m, json::object());
    // Full from the second step on: the order is written, the copy is not.
    const Answer taken = site.order(m, "take", "v2", {{"from", site.recipe(m, "v2", v2)}});
    site.bend(m, {{"disk", {{"full", true}}}});
    rig::run_for(site.loop(), 300ms);
    site.bend(m, json::object());
    const json now = site.settled(m);
    const std::string became = now.value("outcome", "");
    const std::size_t versions = now["versions"].size();
    say("the version is whole or not there", taken.status == 202 && ((became == "refused" && versions == 1) ||
                                                                     (became == "done" && versions == 2)));
    say("with room again it is taken and used", (versions == 2 || site.bring(m, "v2", v2)));
  });
  with("read-only", [&](Site& site, Machine& m) {
    site.bend(m, {{"disk", {{"read_only", true}}}});
    const Answer refused = site.order(m, "stop");
    std::printf("  %d %s\n", refused.status, refused.body.value("verdict", "").c_str());
    say("a gatherer that is killed is replaced all the same", [&] {
      const pid_t was = Site::leader(site.status(m));
      kill(was, SIGKILL);
      return rig::run_until(site.loop(), 5s, [&] {
        return Site::leader(site.status(m)) > 0 && Site::leader(site.status(m)) != was;
      });
    }());
    say("and it is said that state is not written", site.status(m).contains("write_wrong"));
    site.bend(m, json::object());
    say("written once it can be",
        rig::run_until(site.loop(), 3s, [&] { return !site.status(m).contains("write_wrong"); }));
  });
  with("torn: the process ends within a write of its state", [&](Site& site, Machine& m) {
    site.bend(m, {{"disk", {{"tears", 40}}}});
    site.order(m, "stop");
    say("the keeper ended", rig::run_until(site.loop(), 3s, [&] { return m.keeper.ended().has_value(); }));
    site.bend(m, json::object());
    site.start_keeper(m);
    say("the old state is there, whole", site.keeper_up(m) && !site.status(m).contains("state_wrong") &&
                                             site.status(m).value("in_force", "") == "v1");
  });
  with("lying: syncs that do nothing", [&](Site& site, Machine& m) {
    site.bend(m, {{"disk", {{"lies", true}}}});
    site.order(m, "take", "v2", {{"from", site.recipe(m, "v2", v2)}});
    const json now = site.settled(m);
    say("a version that did not get there is refused",
        now.value("outcome", "") == "refused" && now["versions"].size() == 1);
    say("the keeper starts over what is left", restart(site, m));
    const json after = site.status(m);
    say("it says that its state was not usable, and what is linked is in force",
        after.contains("state_wrong") && after.value("in_force", "") == "v1");
    say("the damaged state is set aside", access((m.folder + "/state.damaged").c_str(), F_OK) == 0);
  });
  with("slow: half a second a sync", [&](Site& site, Machine& m) {
    site.bend(m, {{"disk", {{"slow_ms", 500}}}});
    say("a version is taken and used", site.bring(m, "v2", v2));
    say("without ending the gatherer", site.status(m).value("ends", -1) == 0);
  });
  with("state of another format, and damaged by a bit", [&](Site& site, Machine& m) {
    const auto spoil = [&](const std::function<void(std::string&)>& how) {
      m.keeper.signal(SIGKILL);
      rig::run_until(site.loop(), 2s, [&] { return m.keeper.ended().has_value(); });
      std::ifstream in(m.folder + "/state");
      std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
      how(text);
      std::ofstream(m.folder + "/state") << text;
      site.start_keeper(m);
      return site.keeper_up(m) && site.status(m).contains("state_wrong") &&
             site.status(m).value("in_force", "") == "v1";
    };
    say("another format: not read, v1 stays in force",
        spoil([](std::string& text) { text.replace(text.find("\"format\":1"), 10, "\"format\":7"); }));
    site.order(m, "run");
    site.settled(m);
    say("a bit: not read, v1 stays in force", spoil([](std::string& text) { text[text.size() / 2] ^= 4; }));
    say("none at all: v1 stays in force", [&] {
      m.keeper.signal(SIGKILL);
      rig::run_until(site.loop(), 2s, [&] { return m.keeper.ended().has_value(); });
      unlink((m.folder + "/state").c_str());
      site.start_keeper(m);
      return site.keeper_up(m) && site.status(m).value("in_force", "") == "v1";
    }());
  });
}

// ---- the control address ----

void control() {
  net::Loop loop;
  Site site(loop, {});
  Machine& m = site.machine(0);
  const auto refused = [&](const char* at) {
    rig::Process one;
    const std::string log = site.folder() + "/refused.log";
    unlink(log.c_str());
    one.start(
        {rig::program("marbledyke-keeper"), "--folder", site.folder() + "/x", "--control", at, "--name", "x"},
        {}, log);
    rig::run_until(loop, 3s, [&] { return one.ended().has_value(); });
    std::ifstream in(log);
    std::string line;
    std::getline(in, line);
    std::printf("%s: %s\n", at, one.ended() && WEXITSTATUS(*one.ended()) == 1 ? line.c_str() : "TAKEN");
  };
  refused("0.0.0.0:7700");
  refused("8.8.8.8:7700");
  refused("[::]:7700");
  site.start_keeper(m);
  site.keeper_up(m);
  const auto status_of = [](const std::string& answer) {
    return answer.size() > 12 ? answer.substr(9, 3) : std::string("none");
  };
  const auto raw = [&](const char* what, const std::string& bytes, Duration limit = 4s) {
    const Duration from = loop.now();
    const std::string answer = rig::raw_call(loop, m.control, bytes, limit);
    std::printf("%-34s %s%s\n", what, status_of(answer).c_str(),
                loop.now() - from < limit ? "" : ", TOO LATE");
  };
  const std::string post = "POST /order HTTP/1.1\r\nHost: k\r\nConnection: close\r\n";
  raw("not HTTP", "hello\r\n\r\n");
  raw("no such page", "GET /nothing HTTP/1.1\r\nHost: k\r\nConnection: close\r\n\r\n");
  raw("an order by GET", "GET /order HTTP/1.1\r\nHost: k\r\nConnection: close\r\n\r\n");
  raw("an order that is no JSON", post + "Content-Length: 5\r\n\r\n{{{{{");
  raw("an order of 10 MB", post + "Content-Length: 10000000\r\n\r\n");
  raw("half an order, then nothing", post + "Content-Length: 50\r\n\r\n{\"epoch\":");
  raw("half a head, then nothing", "POST /order HTTP/1.1\r\nHo");
  raw("a head of 1 MB", "GET /status HTTP/1.1\r\nX: " + std::string(1'000'000, 'x') + "\r\n\r\n");
  std::string deep = "{\"epoch\":1,\"number\":1,\"order\":";
  for (int i = 0; i < 20'000; ++i) deep += '[';
  raw("an order nested 20,000 deep",
      post + "Content-Length: " + std::to_string(deep.size()) + "\r\n\r\n" + deep);
  std::vector<net::Descriptor> held;
  for (int i = 0; i < 100; ++i) held.push_back(net::start_connect(m.control));
  rig::run_for(loop, 200ms);
  held.clear();
  say("after 100 idle connections it answers", site.keeper_up(m));
  const Answer status = rig::call(loop, m.control, "GET", "/status");
  say("it answers with what runs and since when",
      status.body.contains("processes") && status.body.contains("in_force"));
}

// ---- standing still ----

void pauses() {
  {
    net::Loop loop;
    Site site(loop, {});
    Machine& m = site.machine(0);
    site.start_keeper(m);
    site.keeper_up(m);
    say("v1 in force", site.bring(m, "v1", {}));
    const pid_t was = Site::leader(site.status(m));
    m.keeper.signal(SIGSTOP);
    const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    // Two orders wait in its socket: one whose time will be over, one without a time.
    const json late = {
        {"epoch", 1}, {"number", ++m.number_of_order}, {"order", "stop"}, {"not_after_ms", unix_ms + 500}};
    rig::call(loop, m.control, "POST", "/order", late.dump(), 200ms);
    rig::run_for(loop, 4s);
    m.keeper.signal(SIGCONT);
    rig::run_for(loop, 500ms);
    const json now = site.status(m);
    say("stood still for 4 s with a stop waiting: it came too late, nothing was done",
        Site::leader(now) == was && now.value("wanted", false));
    say("the gatherer was not ended for what the keeper did not hear", now.value("ends", -1) == 0);
  }
  {
    net::Loop loop;
    Site site(loop, {});
    Machine& m = site.machine(0);
    site.start_keeper(m);
    site.keeper_up(m);
    site.bring(m, "v1", {});
    const pid_t was = Site::leader(site.status(m));
    kill(was, SIGSTOP);
    const double back = seconds_of(
        loop,
        [&] {
          return Site::leader(site.status(m)) > 0 && Site::leader(site.status(m)) != was && serves(site, m);
        },
        10s);
    figure("SIGSTOP of a gatherer until another serves (2 s silent, 1.5 s hung), s", back);
    say("a gatherer that stands still is ended by force, another serves", back >= 0);
  }
  {
    net::Loop loop;
    Site site(loop, {});
    Machine& m = site.machine(0);
    site.start_keeper(m);
    site.keeper_up(m);
    site.bring(m, "v1", {});
    Recipe next;
    next.mark = "another build";
    site.order(m, "take", "v2", {{"from", site.recipe(m, "v2", next)}});
    site.settled(m);
    site.order(m, "use", "v2");
    m.keeper.signal(SIGTERM);
    rig::run_until(loop, 10s, [&] { return m.keeper.ended().has_value(); });
    say("SIGTERM in the middle of a swap: down in order, no gatherer left",
        m.keeper.ended() == 0 && site.gatherers(m).empty());
    site.start_keeper(m);
    site.keeper_up(m);
    const json now = site.settled(m);
    const bool serving = rig::run_until(loop, 5s, [&] { return serves(site, m); });
    say("started again it goes on with what was ordered", serving && outcome(now) == "done, in force v2");
  }
  {
    // A pid that another process has by now is nobody's gatherer.
    net::Loop loop;
    Site site(loop, {});
    Machine& m = site.machine(0);
    site.start_keeper(m);
    site.keeper_up(m);
    site.bring(m, "v1", {});
    m.keeper.signal(SIGKILL);
    rig::run_until(loop, 2s, [&] { return m.keeper.ended().has_value(); });
    site.end_orphans(m);
    rig::Process innocent;
    innocent.start({"/bin/sleep", "60"}, {}, "/dev/null");
    std::ofstream(m.folder + "/born-0") << innocent.pid() << " 12345 v1\n";
    site.start_keeper(m);
    site.keeper_up(m);
    const bool serving = rig::run_until(loop, 5s, [&] { return serves(site, m); });
    site.order(m, "stop");
    site.settled(m);
    say("a pid used again: a new gatherer is started, the stranger lives", serving && !innocent.ended());
  }
  {
    net::Loop loop;
    rig::SiteOptions options;
    options.bent = true;
    Site site(loop, options);
    Machine& m = site.machine(0);
    site.bend(m, json::object());
    site.start_keeper(m);
    site.keeper_up(m);
    site.bring(m, "v1", {});
    site.bend(m, {{"clock", {{"step_ms", -3'600'000}, {"rate", 1.3}}}});
    rig::run_for(loop, 3s);
    site.bend(m, {{"clock", {{"step_ms", 7'200'000}, {"rate", 0.7}}}});
    rig::run_for(loop, 3s);
    Recipe next;
    next.tick = 6000;
    say("its clock an hour back and fast, then two ahead and slow: the gatherer is not ended",
        site.status(m).value("ends", -1) == 0);
    say("and a swap goes through", site.bring(m, "v2", next));
  }
}

// ---- what lies between ----

void paths() {
  net::Loop loop;
  rig::SiteOptions options;
  options.control_relays = options.client_relays = options.list_relays = options.server_relays = true;
  Site site(loop, options);
  Machine& m = site.machine(0);
  site.start_keeper(m);
  site.keeper_up(m);
  say("v1 in force over relays in every path", site.bring(m, "v1", {}));
  rig::Way lost;
  lost.lost = true;
  // The answer to an order is lost; the order was taken. Repeated, it is not done twice.
  m.control_relay->set({}, lost);
  const std::string body = json{{"epoch", 1}, {"number", ++m.number_of_order}, {"order", "stop"}}.dump();
  const Answer none = rig::call(loop, m.control, "POST", "/order", body, 500ms);
  m.control_relay->heal();
  m.control_relay->cut();
  const Answer again = rig::call(loop, m.control, "POST", "/order", body);
  say("an order whose answer was lost is repeated: told so, not done twice",
      none.status == 0 && again.status == 200 && again.body.value("verdict", "") == "repeated");
  site.settled(m);
  site.order(m, "run");
  site.settled(m);
  // An order that is held on its way and comes after a later one.
  const std::string early = json{{"epoch", 1}, {"number", ++m.number_of_order}, {"order", "stop"}}.dump();
  rig::Way held;
  held.held = true;
  m.control_relay->set(held, {});
  net::Descriptor fd;
  rig::Answer waiting = rig::call(loop, m.control, "POST", "/order", early, 300ms);
  const std::string later = json{{"epoch", 1}, {"number", ++m.number_of_order}, {"order", "run"}}.dump();
  const Answer direct = rig::call(loop, m.keeper_at, "POST", "/order", later);
  m.control_relay->heal();
  rig::run_for(loop, 500ms);
  const json now = site.settled(m);
  say("an order held on its way comes after a later one: it does nothing",
      waiting.status == 0 && direct.status == 202 && now.value("wanted", false) && Site::leader(now) > 0);
  // A reset in the middle of an answer, a trickle, and a delay.
  rig::Way way;
  way.reset_after = 100;
  m.control_relay->set({}, way);
  say("reset within an answer: the tool sees none",
      rig::call(loop, m.control, "GET", "/status", "", 500ms).status == 0);
  way = {};
  way.trickle = 50;
  m.control_relay->set(way, {});
  say("an order that trickles is given up within its bound",
      rig::call(loop, m.control, "POST", "/order", later, 6s).status == 408);
  m.control_relay->heal();
  way = {};
  way.delay = 200ms;
  way.jitter = 100ms;
  m.control_relay->set(way, way);
  say("0.2 to 0.3 s each way: it answers", rig::call(loop, m.control, "GET", "/status").status == 200);
  m.control_relay->heal();
  // Between clients and the gatherer, gatherer and list, gatherer and servers.
  standins::Load clients(loop, m.listen, load(100, 6));
  rig::run_for(loop, 1s);
  m.list_relay->set(lost, lost);
  rig::run_for(loop, 1s);
  m.list_relay->heal();
  m.list_relay->cut();
  way = {};
  way.reset_after = 2000;
  site.server_relay(0).set({}, way);
  rig::run_for(loop, 1s);
  site.server_relay(0).heal();
  rig::run_until(loop, 15s, [&] { return !clients.running(); });
  const auto& t = clients.tally();
  say("list silent for 1 s, a server's answers cut in the middle for 1 s: nothing is lost",
      t.due > 450 && t.answered == t.due);
  if (t.answered != t.due)
    std::printf("  due %llu answered %llu pushed back %llu failed %llu cut %llu timed out %llu\n",
                static_cast<unsigned long long>(t.due), static_cast<unsigned long long>(t.answered),
                static_cast<unsigned long long>(t.pushed_back), static_cast<unsigned long long>(t.failed),
                static_cast<unsigned long long>(t.cut), static_cast<unsigned long long>(t.timed_out));
}

}  // namespace

int main(int count, char** words) {
  signal(SIGPIPE, SIG_IGN);
  setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::map<std::string, std::function<void()>> cases{
      {"life", life},     {"swaps", swaps}, {"bad_versions", bad_versions},
      {"points", points}, {"disks", disks}, {"control", control},
      {"pauses", pauses}, {"paths", paths}};
  const auto at = count == 2 ? cases.find(words[1]) : cases.end();
  if (at == cases.end()) return 2;
  try {
    at->second();
  } catch (const std::exception& wrong) {
    std::printf("ended by: %s\n", wrong.what());
    return 1;
  }
  return 0;
}
