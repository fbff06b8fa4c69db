// Keepers and gatherers as real processes, with faults in the processes, the network, the disk and the clock.
// Each line of the trace is a result that is the same in every run; measurements go to standard error where
// MARBLEDYKE_RIG_FIGURES is set.
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

void report(const char* description, bool holds) {
  std::printf("%-86s %s\n", description, holds ? "yes" : "NO");
}

void print_figure(const char* what, double value) {
  if (std::getenv("MARBLEDYKE_RIG_FIGURES") != nullptr) std::fprintf(stderr, "%-60s %.3f\n", what, value);
}

std::string outcome(const json& status) {
  if (!status.is_object()) return "not settled";
  return status.value("outcome", "") + ", in force " + status.value("in_force", "");
}

bool serves(Site& site, Machine& machine) {
  return rig::call(site.loop(), machine.listen, "GET", "/healthz", "", 300ms).status == 200;
}

standins::LoadOptions load(double rate, int seconds, const char* op_type = "look") {
  standins::LoadOptions out;
  out.rate = rate;
  out.seconds = seconds;
  out.shards = Site::kShards;
  out.op_type = op_type;
  return out;
}

double seconds_until(net::Loop& loop, const std::function<bool()>& holds, Duration limit) {
  const Duration from = loop.now();
  const bool held = rig::run_until(loop, limit, holds);
  return held ? static_cast<double>((loop.now() - from).count()) / 1e6 : -1;
}

// ---- the life of a keeper ----

void life() {
  net::Loop loop;
  Site site(loop, {});
  Machine& machine = site.machine(0);
  site.start_keeper(machine);
  report("the keeper answers", site.keeper_up(machine));
  report("nothing runs before an order", Site::leader(site.status(machine)) < 0);
  report("a version is taken and brought in force", site.bring(machine, "v1", {}));
  report("the gatherer answers its health call", serves(site, machine));
  report("asked for nothing yet, and says so",
         site.status(machine)["processes"][0].value("answers", "") == "not asked");

  standins::Load clients(loop, machine.listen, load(200, 4));
  rig::run_for(loop, 1500ms);
  const json under = site.status(machine);
  report("under load it is seen to end multigets", under["processes"][0].value("answers", "") == "yes");
  const pid_t first = Site::leader(under);
  kill(first, SIGKILL);
  const double back = seconds_until(
      loop, [&] { return Site::leader(site.status(machine)) != first && serves(site, machine); }, 5s);
  print_figure("SIGKILL of a gatherer until its successor answers, s", back);
  report("killed: another one serves", back >= 0);
  rig::run_until(loop, 10s, [&] { return !clients.running(); });
  const auto& t = clients.tally();
  // Only multigets in progress are lost; no connection attempt was refused meanwhile.
  report("killed under 200 a second: at most 20 of 800 without an answer",
         t.due - t.answered - t.pushed_back <= 20 && t.due > 600);
  print_figure("lost of all", static_cast<double>(t.due - t.answered));
  const json after = site.status(machine);
  report("one end is counted", after.value("ends", 0) == 1 && after.value("starts", 0) == 2);

  rig::Process second;
  second.start({rig::program("marbledyke-keeper"), "--folder", machine.folder, "--control", "127.0.0.1:1",
                "--name", "x"},
               {}, machine.log + ".second");
  rig::run_until(loop, 3s, [&] { return second.ended().has_value(); });
  std::ifstream said(machine.log + ".second");
  std::string line;
  std::getline(said, line);
  report("a second keeper on the folder is refused",
         second.ended() && WEXITSTATUS(*second.ended()) == 1 && line.ends_with("another keeper has it"));

  const pid_t adopted = Site::leader(site.status(machine));
  machine.keeper.signal(SIGKILL);
  rig::run_until(loop, 2s, [&] { return machine.keeper.ended().has_value(); });
  report("the keeper is killed, its gatherer serves on", serves(site, machine));
  site.start_keeper(machine);
  report("a keeper started again answers", site.keeper_up(machine));
  report("and has adopted the gatherer that runs", Site::leader(site.status(machine)) == adopted);
  kill(adopted, SIGKILL);
  const double again = seconds_until(
      loop,
      [&] {
        return Site::leader(site.status(machine)) > 0 && Site::leader(site.status(machine)) != adopted &&
               serves(site, machine);
      },
      5s);
  report("an adopted one that is killed is replaced", again >= 0);
  site.order(machine, "stop");
  report("a stop ends it in order",
         outcome(site.settled(machine)) == "done, in force v1" && site.gatherers(machine).empty());
  site.order(machine, "run");
  report("and a run starts it",
         outcome(site.settled(machine)) == "done, in force v1" && serves(site, machine));
  machine.keeper.signal(SIGTERM);
  rig::run_until(loop, 8s, [&] { return machine.keeper.ended().has_value(); });
  report("the keeper goes down in order, its gatherer with it",
         machine.keeper.ended() == 0 && site.gatherers(machine).empty() && !serves(site, machine));
}

// ---- swaps ----

void swaps() {
  net::Loop loop;
  Site site(loop, {});
  Machine& machine = site.machine(0);
  site.start_keeper(machine);
  site.keeper_up(machine);
  report("v1 in force", site.bring(machine, "v1", {}));
  const pid_t first = Site::leader(site.status(machine));
  // A request can cross the close of its keep-alive connection, which no server can prevent; clients retry
  // then.
  standins::LoadOptions swapped = load(300, 12);
  swapped.may_repeat = true;
  standins::Load clients(loop, machine.listen, swapped);
  rig::run_for(loop, 500ms);
  Recipe settings;
  settings.tick = 6000;
  report("other settings: in force, by the same process",
         site.bring(machine, "v2", settings) && Site::leader(site.status(machine)) == first);
  Recipe other = settings;
  other.mark = "another build";
  report("another program: in force, by another process",
         site.bring(machine, "v3", other) && Site::leader(site.status(machine)) != first);
  Recipe refused = other;
  refused.broken_settings = true;
  report("settings that it refuses: refused, v3 stays", !site.bring(machine, "v4", refused));
  std::printf("  %s: %s\n", outcome(site.status(machine)).c_str(),
              site.status(machine).value("why", "").c_str());
  refused.mark = "a third build";
  report("another program that refuses its settings: back on v3", !site.bring(machine, "v5", refused));
  std::printf("  %s\n", outcome(site.settled(machine)).c_str());
  rig::run_until(loop, 20s, [&] { return !clients.running(); });
  const auto& t = clients.tally();
  report("under load over all of this no multiget is lost", t.answered == t.due && t.due > 3000);
  if (t.answered != t.due)
    std::printf("  due %llu answered %llu pushed back %llu failed %llu cut %llu timed out %llu\n",
                static_cast<unsigned long long>(t.due), static_cast<unsigned long long>(t.answered),
                static_cast<unsigned long long>(t.pushed_back), static_cast<unsigned long long>(t.failed),
                static_cast<unsigned long long>(t.cut), static_cast<unsigned long long>(t.timed_out));
  report("no event came that cannot come", site.status(machine).value("impossible", -1) == 0);
}

void bad_versions() {
  for (const char* flaw : {"never-ready", "ends:0.3", "hangs:0.4", "deaf", "mute"}) {
    net::Loop loop;
    rig::SiteOptions options;
    options.keeper_words.insert(options.keeper_words.end(), {"--mute-after", "2"});
    Site site(loop, options);
    Machine& machine = site.machine(0);
    site.start_keeper(machine);
    site.keeper_up(machine);
    site.bring(machine, "v1", {});
    Recipe bad;
    bad.program = "marbledyke-flawed";
    bad.flaw = flaw;
    const std::string from = site.recipe(machine, "bad", bad);
    site.order(machine, "take", "bad", {{"from", from}});
    site.settled(machine);
    const auto use = site.order(machine, "use", "bad", {{"trial_ms", 8000}});
    json now;
    // Some flaws only show during the trial.
    rig::run_until(loop, 20s, [&] {
      now = site.status(machine);
      return now.is_object() && (now.value("outcome", "") == "back" || now.value("outcome", "") == "held");
    });
    const bool back = serves(site, machine) && site.gatherers(machine).size() <= 2;
    std::printf("%-14s %s; v1 answers again: %s\n", flaw, outcome(now).c_str(), back ? "yes" : "NO");
  }
  {
    // A gatherer that exits shortly after each start, without a former version: the backoff grows until the
    // keeper gives up and says so.
    net::Loop loop;
    Site site(loop, {});
    Machine& machine = site.machine(0);
    site.start_keeper(machine);
    site.keeper_up(machine);
    Recipe bad;
    bad.program = "marbledyke-flawed";
    bad.flaw = "ends:0.2";
    site.bring(machine, "bad", bad);
    json now;
    const bool gave_up = rig::run_until(loop, 20s, [&] {
      now = site.status(machine);
      return now.is_object() && now.value("gave_up", false);
    });
    report("ends 0.2 s after every start: given up, and said",
           gave_up && now.value("will", "") == "given_up");
    const int starts = now.value("starts", 0);
    rig::run_for(loop, 1s);
    report("and it is not started again", site.status(machine).value("starts", 0) == starts);
    report("another version brings it back", site.bring(machine, "v1", {}) && serves(site, machine));
  }
}

// ---- the keeper killed at fail points ----

void points() {
  struct Case {
    const char* point;
    int nth;
    const char* operation;  // take, use or settings
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
    Machine& machine = site.machine(0);
    site.bend(machine, json::object());
    site.start_keeper(machine);
    site.keeper_up(machine);
    bool fine = site.bring(machine, "v1", {});
    Recipe next;
    next.tick = 6000;
    if (std::string(one.operation) != "settings") next.mark = "another build";
    const std::string from = site.recipe(machine, "v2", next);
    const bool taking = std::string(one.operation) == "take";
    if (!taking) {
      site.order(machine, "take", "v2", {{"from", from}});
      fine = fine && outcome(site.settled(machine)) == "done, in force v1";
    }
    site.bend(machine, {{"point", {{"name", one.point}, {"nth", one.nth}}}});
    const json body = {{"epoch", 1},
                       {"number", ++machine.number_of_order},
                       {"order", taking ? "take" : "use"},
                       {"version", "v2"},
                       {"from", from}};
    rig::call(loop, machine.control, "POST", "/order", body.dump(), 500ms);
    // Some fail points are reached in the child process; the keeper then has to handle the death of the
    // child.
    const bool ended = rig::run_until(loop, 3s, [&] { return machine.keeper.ended().has_value(); });
    site.bend(machine, json::object());
    if (ended) {
      site.start_keeper(machine);
      fine = fine && site.keeper_up(machine);
    }
    json now = site.settled(machine);
    // The order is repeated, which either returns its outcome or carries it out now.
    const Answer again = rig::call(loop, machine.control, "POST", "/order", body.dump());
    const std::string verdict = again.body.value("verdict", "none");
    now = site.settled(machine);
    rig::run_until(loop, 6s, [&] { return site.gatherers(machine).size() == 1; });
    const bool whole = now.is_object() && now.value("linked", "") == now.value("in_force", "-");
    bool whole_version = true;
    for (const json& version : now.value("versions", json::array()))
      whole_version = whole_version && !version.value("program", "").empty();
    std::printf("%-13s %d of %-9s %s; repeated: %s; %s; %zu gatherer%s%s%s\n", one.point, one.nth,
                one.operation, ended ? "keeper ended" : "child ended ", verdict.c_str(), outcome(now).c_str(),
                site.gatherers(machine).size(), serves(site, machine) ? ", serves" : ", DOES NOT SERVE",
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
    Machine& machine = site.machine(0);
    site.bend(machine, json::object());
    site.start_keeper(machine);
    site.keeper_up(machine);
    report("v1 in force", site.bring(machine, "v1", {}));
    then(site, machine);
    report("it serves", serves(site, machine) && site.gatherers(machine).size() == 1);
  };
  const auto restart = [](Site& site, Machine& machine) {
    machine.keeper.signal(SIGKILL);
    rig::run_until(site.loop(), 2s, [&] { return machine.keeper.ended().has_value(); });
    site.bend(machine, json::object());
    site.start_keeper(machine);
    return site.keeper_up(machine);
  };
  Recipe v2;
  v2.tick = 6000;
  with("full in the middle of a version", [&](Site& site, Machine& machine) {
    site.bend(machine, {{"disk", {{"full", true}}}});
    const Answer refused = site.order(machine, "take", "v2", {{"from", site.recipe(machine, "v2", v2)}});
    std::printf("  %d %s\n", refused.status, refused.body.value("verdict", "").c_str());
    site.bend(machine, json::object());
    // Full from the second step on: the order is persisted, the copy fails.
    const Answer taken = site.order(machine, "take", "v2", {{"from", site.recipe(machine, "v2", v2)}});
    site.bend(machine, {{"disk", {{"full", true}}}});
    rig::run_for(site.loop(), 300ms);
    site.bend(machine, json::object());
    const json now = site.settled(machine);
    const std::string became = now.value("outcome", "");
    const std::size_t versions = now["versions"].size();
    report("the version is whole or not there",
           taken.status == 202 &&
               ((became == "refused" && versions == 1) || (became == "done" && versions == 2)));
    report("with room again it is taken and used", (versions == 2 || site.bring(machine, "v2", v2)));
  });
  with("read-only", [&](Site& site, Machine& machine) {
    site.bend(machine, {{"disk", {{"read_only", true}}}});
    const Answer refused = site.order(machine, "stop");
    std::printf("  %d %s\n", refused.status, refused.body.value("verdict", "").c_str());
    report("a gatherer that is killed is replaced all the same", [&] {
      const pid_t was = Site::leader(site.status(machine));
      kill(was, SIGKILL);
      return rig::run_until(site.loop(), 5s, [&] {
        return Site::leader(site.status(machine)) > 0 && Site::leader(site.status(machine)) != was;
      });
    }());
    report("and it is said that state is not written", site.status(machine).contains("write_wrong"));
    site.bend(machine, json::object());
    report("written once it can be",
           rig::run_until(site.loop(), 3s, [&] { return !site.status(machine).contains("write_wrong"); }));
  });
  with("torn: the process ends within a write of its state", [&](Site& site, Machine& machine) {
    site.bend(machine, {{"disk", {{"tears", 40}}}});
    site.order(machine, "stop");
    report("the keeper ended",
           rig::run_until(site.loop(), 3s, [&] { return machine.keeper.ended().has_value(); }));
    site.bend(machine, json::object());
    site.start_keeper(machine);
    report("the old state is there, whole", site.keeper_up(machine) &&
                                                !site.status(machine).contains("state_wrong") &&
                                                site.status(machine).value("in_force", "") == "v1");
  });
  with("lying: syncs that do nothing", [&](Site& site, Machine& machine) {
    site.bend(machine, {{"disk", {{"lies", true}}}});
    site.order(machine, "take", "v2", {{"from", site.recipe(machine, "v2", v2)}});
    const json now = site.settled(machine);
    report("a version that did not get there is refused",
           now.value("outcome", "") == "refused" && now["versions"].size() == 1);
    report("the keeper starts over what is left", restart(site, machine));
    const json after = site.status(machine);
    report("it says that its state was not usable, and what is linked is in force",
           after.contains("state_wrong") && after.value("in_force", "") == "v1");
    report("the damaged state is set aside", access((machine.folder + "/state.damaged").c_str(), F_OK) == 0);
  });
  with("slow: half a second a sync", [&](Site& site, Machine& machine) {
    site.bend(machine, {{"disk", {{"slow_ms", 500}}}});
    report("a version is taken and used", site.bring(machine, "v2", v2));
    report("without ending the gatherer", site.status(machine).value("ends", -1) == 0);
  });
  with("state of another format, and damaged by a bit", [&](Site& site, Machine& machine) {
    const auto spoil = [&](const std::function<void(std::string&)>& how) {
      machine.keeper.signal(SIGKILL);
      rig::run_until(site.loop(), 2s, [&] { return machine.keeper.ended().has_value(); });
      std::ifstream in(machine.folder + "/state");
      std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
      how(text);
      std::ofstream(machine.folder + "/state") << text;
      site.start_keeper(machine);
      return site.keeper_up(machine) && site.status(machine).contains("state_wrong") &&
             site.status(machine).value("in_force", "") == "v1";
    };
    report("another format: not read, v1 stays in force",
           spoil([](std::string& text) { text.replace(text.find("\"format\":1"), 10, "\"format\":7"); }));
    site.order(machine, "run");
    site.settled(machine);
    report("a bit: not read, v1 stays in force",
           spoil([](std::string& text) { text[text.size() / 2] ^= 4; }));
    report("none at all: v1 stays in force", [&] {
      machine.keeper.signal(SIGKILL);
      rig::run_until(site.loop(), 2s, [&] { return machine.keeper.ended().has_value(); });
      unlink((machine.folder + "/state").c_str());
      site.start_keeper(machine);
      return site.keeper_up(machine) && site.status(machine).value("in_force", "") == "v1";
    }());
  });
}

// ---- the control address ----

void control() {
  net::Loop loop;
  Site site(loop, {});
  Machine& machine = site.machine(0);
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
  site.start_keeper(machine);
  site.keeper_up(machine);
  const auto status_of = [](const std::string& answer) {
    return answer.size() > 12 ? answer.substr(9, 3) : std::string("none");
  };
  const auto raw = [&](const char* what, const std::string& bytes, Duration limit = 4s) {
    const Duration from = loop.now();
    const std::string answer = rig::raw_call(loop, machine.control, bytes, limit);
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
  for (int i = 0; i < 100; ++i) held.push_back(net::start_connect(machine.control));
  rig::run_for(loop, 200ms);
  held.clear();
  report("after 100 idle connections it answers", site.keeper_up(machine));
  const Answer status = rig::call(loop, machine.control, "GET", "/status");
  report("it answers with what runs and since when",
         status.body.contains("processes") && status.body.contains("in_force"));
}

// ---- pauses and clocks ----

void pauses() {
  {
    net::Loop loop;
    Site site(loop, {});
    Machine& machine = site.machine(0);
    site.start_keeper(machine);
    site.keeper_up(machine);
    report("v1 in force", site.bring(machine, "v1", {}));
    const pid_t was = Site::leader(site.status(machine));
    machine.keeper.signal(SIGSTOP);
    const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    // An order whose time limit will have passed waits in the socket.
    const json late = {{"epoch", 1},
                       {"number", ++machine.number_of_order},
                       {"order", "stop"},
                       {"not_after_ms", unix_ms + 500}};
    rig::call(loop, machine.control, "POST", "/order", late.dump(), 200ms);
    rig::run_for(loop, 4s);
    machine.keeper.signal(SIGCONT);
    rig::run_for(loop, 500ms);
    const json now = site.status(machine);
    report("stood still for 4 s with a stop waiting: it came too late, nothing was done",
           Site::leader(now) == was && now.value("wanted", false));
    report("the gatherer was not ended for what the keeper did not hear", now.value("ends", -1) == 0);
  }
  {
    net::Loop loop;
    Site site(loop, {});
    Machine& machine = site.machine(0);
    site.start_keeper(machine);
    site.keeper_up(machine);
    site.bring(machine, "v1", {});
    const pid_t was = Site::leader(site.status(machine));
    kill(was, SIGSTOP);
    const double back = seconds_until(
        loop,
        [&] {
          return Site::leader(site.status(machine)) > 0 && Site::leader(site.status(machine)) != was &&
                 serves(site, machine);
        },
        10s);
    print_figure("SIGSTOP of a gatherer until another serves (2 s silent, 1.5 s hung), s", back);
    report("a gatherer that stands still is ended by force, another serves", back >= 0);
  }
  {
    net::Loop loop;
    Site site(loop, {});
    Machine& machine = site.machine(0);
    site.start_keeper(machine);
    site.keeper_up(machine);
    site.bring(machine, "v1", {});
    Recipe next;
    next.mark = "another build";
    site.order(machine, "take", "v2", {{"from", site.recipe(machine, "v2", next)}});
    site.settled(machine);
    site.order(machine, "use", "v2");
    machine.keeper.signal(SIGTERM);
    rig::run_until(loop, 10s, [&] { return machine.keeper.ended().has_value(); });
    report("SIGTERM in the middle of a swap: down in order, no gatherer left",
           machine.keeper.ended() == 0 && site.gatherers(machine).empty());
    site.start_keeper(machine);
    site.keeper_up(machine);
    const json now = site.settled(machine);
    const bool serving = rig::run_until(loop, 5s, [&] { return serves(site, machine); });
    report("started again it goes on with what was ordered", serving && outcome(now) == "done, in force v2");
  }
  {
    // The recorded pid of a gatherer now belongs to another process, which must not be touched.
    net::Loop loop;
    Site site(loop, {});
    Machine& machine = site.machine(0);
    site.start_keeper(machine);
    site.keeper_up(machine);
    site.bring(machine, "v1", {});
    machine.keeper.signal(SIGKILL);
    rig::run_until(loop, 2s, [&] { return machine.keeper.ended().has_value(); });
    site.end_orphans(machine);
    rig::Process innocent;
    innocent.start({"/bin/sleep", "60"}, {}, "/dev/null");
    std::ofstream(machine.folder + "/born-0") << innocent.pid() << " 12345 v1\n";
    site.start_keeper(machine);
    site.keeper_up(machine);
    const bool serving = rig::run_until(loop, 5s, [&] { return serves(site, machine); });
    site.order(machine, "stop");
    site.settled(machine);
    report("a pid used again: a new gatherer is started, the stranger lives", serving && !innocent.ended());
  }
  {
    net::Loop loop;
    rig::SiteOptions options;
    options.bent = true;
    Site site(loop, options);
    Machine& machine = site.machine(0);
    site.bend(machine, json::object());
    site.start_keeper(machine);
    site.keeper_up(machine);
    site.bring(machine, "v1", {});
    site.bend(machine, {{"clock", {{"step_ms", -3'600'000}, {"rate", 1.3}}}});
    rig::run_for(loop, 3s);
    site.bend(machine, {{"clock", {{"step_ms", 7'200'000}, {"rate", 0.7}}}});
    rig::run_for(loop, 3s);
    Recipe next;
    next.tick = 6000;
    report("its clock an hour back and fast, then two ahead and slow: the gatherer is not ended",
           site.status(machine).value("ends", -1) == 0);
    report("and a swap goes through", site.bring(machine, "v2", next));
  }
}

// ---- network faults ----

void paths() {
  net::Loop loop;
  rig::SiteOptions options;
  options.control_relays = options.client_relays = options.list_relays = options.server_relays = true;
  Site site(loop, options);
  Machine& machine = site.machine(0);
  site.start_keeper(machine);
  site.keeper_up(machine);
  report("v1 in force over relays in every path", site.bring(machine, "v1", {}));
  rig::Way lost;
  lost.lost = true;
  // The answer to an accepted order is lost. The repeated order must not be carried out twice.
  machine.control_relay->set({}, lost);
  const std::string body =
      json{{"epoch", 1}, {"number", ++machine.number_of_order}, {"order", "stop"}}.dump();
  const Answer none = rig::call(loop, machine.control, "POST", "/order", body, 500ms);
  machine.control_relay->heal();
  machine.control_relay->cut();
  const Answer again = rig::call(loop, machine.control, "POST", "/order", body);
  report("an order whose answer was lost is repeated: told so, not done twice",
         none.status == 0 && again.status == 200 && again.body.value("verdict", "") == "repeated");
  site.settled(machine);
  site.order(machine, "run");
  site.settled(machine);
  // An order is delayed and arrives after a later one.
  const std::string early =
      json{{"epoch", 1}, {"number", ++machine.number_of_order}, {"order", "stop"}}.dump();
  rig::Way held;
  held.held = true;
  machine.control_relay->set(held, {});
  net::Descriptor fd;
  rig::Answer waiting = rig::call(loop, machine.control, "POST", "/order", early, 300ms);
  const std::string later =
      json{{"epoch", 1}, {"number", ++machine.number_of_order}, {"order", "run"}}.dump();
  const Answer direct = rig::call(loop, machine.keeper_at, "POST", "/order", later);
  machine.control_relay->heal();
  rig::run_for(loop, 500ms);
  const json now = site.settled(machine);
  report("an order held on its way comes after a later one: it does nothing",
         waiting.status == 0 && direct.status == 202 && now.value("wanted", false) && Site::leader(now) > 0);
  // A reset in the middle of an answer, an order that trickles in, and a delay.
  rig::Way way;
  way.reset_after = 100;
  machine.control_relay->set({}, way);
  report("reset within an answer: the tool sees none",
         rig::call(loop, machine.control, "GET", "/status", "", 500ms).status == 0);
  way = {};
  way.trickle = 50;
  machine.control_relay->set(way, {});
  report("an order that trickles is given up within its bound",
         rig::call(loop, machine.control, "POST", "/order", later, 6s).status == 408);
  machine.control_relay->heal();
  way = {};
  way.delay = 200ms;
  way.jitter = 100ms;
  machine.control_relay->set(way, way);
  report("0.2 to 0.3 s each way: it answers",
         rig::call(loop, machine.control, "GET", "/status").status == 200);
  machine.control_relay->heal();
  // Faults between the gatherer and discovery, and between the gatherer and shard servers.
  standins::Load clients(loop, machine.listen, load(100, 6));
  rig::run_for(loop, 1s);
  machine.list_relay->set(lost, lost);
  rig::run_for(loop, 1s);
  machine.list_relay->heal();
  machine.list_relay->cut();
  way = {};
  way.reset_after = 2000;
  site.server_relay(0).set({}, way);
  rig::run_for(loop, 1s);
  site.server_relay(0).heal();
  rig::run_until(loop, 15s, [&] { return !clients.running(); });
  const auto& t = clients.tally();
  report("list silent for 1 s, a server's answers cut in the middle for 1 s: nothing is lost",
         t.due > 450 && t.answered == t.due);
  if (t.answered != t.due)
    std::printf("  due %llu answered %llu pushed back %llu failed %llu cut %llu timed out %llu\n",
                static_cast<unsigned long long>(t.due), static_cast<unsigned long long>(t.answered),
                static_cast<unsigned long long>(t.pushed_back), static_cast<unsigned long long>(t.failed),
                static_cast<unsigned long long>(t.cut), static_cast<unsigned long long>(t.timed_out));
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::map<std::string, std::function<void()>> cases{
      {"life", life},     {"swaps", swaps}, {"bad_versions", bad_versions},
      {"points", points}, {"disks", disks}, {"control", control},
      {"pauses", pauses}, {"paths", paths}};
  const auto at = argc == 2 ? cases.find(argv[1]) : cases.end();
  if (at == cases.end()) return 2;
  try {
    at->second();
  } catch (const std::exception& error) {
    std::printf("ended by: %s\n", error.what());
    return 1;
  }
  return 0;
}
