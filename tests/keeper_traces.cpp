// What a keeper decides, without I/O: which orders count, what is kept, and each machine under processes that
// fail in every way. The shipped decisions run in virtual time.
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "config/fields.h"
#include "emulator/keepers.h"
#include "keeper/control_address.h"
#include "keeper/orders.h"
#include "totals/totals.h"

using namespace marbledyke;
using namespace std::chrono_literals;
using emulator::Behaviour;
using emulator::EmulatedKeeper;
using emulator::EmulatedVersion;
using keeper::Kept;
using keeper::Kind;
using keeper::Order;
using keeper::Outcome;

namespace {

Order order(Kind kind, std::uint64_t number, const std::string& version = {}, Duration trial = {},
            std::uint64_t epoch = 1) {
  Order out;
  out.epoch = epoch;
  out.number = number;
  out.kind = kind;
  out.version = version;
  out.trial = trial;
  return out;
}

void orders() {
  Kept kept;
  kept.in_force = "v1";
  kept.former = "v0";
  kept.outcome = Outcome::done;
  kept.order = order(Kind::use, 5, "v1", {}, 3);
  const Duration wall = 1000s;
  const auto say = [&](const char* what, const Order& o, const Kept& k, bool has = true) {
    std::printf("%-44s %s\n", what, keeper::name_of(keeper::judge(o, k, wall, has)));
  };
  say("the next one", order(Kind::use, 6, "v2", {}, 3), kept);
  say("one that skips numbers", order(Kind::use, 60, "v2", {}, 3), kept);
  say("the same again", *kept.order, kept);
  say("the same number, another version", order(Kind::use, 5, "v2", {}, 3), kept);
  say("an earlier number", order(Kind::use, 4, "v2", {}, 3), kept);
  say("an older epoch, a high number", order(Kind::stop, 900, {}, {}, 2), kept);
  say("a newer epoch, number 0", order(Kind::stop, 0, {}, {}, 4), kept);
  Order late = order(Kind::use, 6, "v2", {}, 3);
  late.not_after_ms = 999'999;
  say("its time is over", late, kept);
  late.not_after_ms = 1'000'000;
  say("in the last millisecond", late, kept);
  Order expects = order(Kind::use, 6, "v2", {}, 3);
  expects.if_in_force = "v0";
  say("expects another version", expects, kept);
  say("a version that is not there", order(Kind::use, 6, "v9", {}, 3), kept, false);
  say("to confirm what is not on trial", order(Kind::confirm, 6, {}, {}, 3), kept);
  say("to drop what is in force", order(Kind::drop, 6, "v1", {}, 3), kept);
  say("to drop the way back", order(Kind::drop, 6, "v0", {}, 3), kept);
  kept.outcome = Outcome::under_way;
  say("while one is under way: use", order(Kind::use, 6, "v2", {}, 3), kept);
  say("while one is under way: stop", order(Kind::stop, 6, {}, {}, 3), kept);
  say("while one is under way: by the next epoch", order(Kind::use, 0, "v2", {}, 4), kept);
  kept.outcome = Outcome::returning;
  say("on the way back: use", order(Kind::use, 6, "v2", {}, 3), kept);
  kept.outcome = Outcome::on_trial;
  say("on trial: confirm", order(Kind::confirm, 6, {}, {}, 3), kept);
  say("on trial: use", order(Kind::use, 6, "v0", {}, 3), kept);
  say("on trial: take", order(Kind::take, 6, "v7", {}, 3), kept);
  Kept fresh;
  say("to run where nothing is in force", order(Kind::run, 1), fresh);

  std::puts("-- as they are written");
  for (const char* text :
       {R"({"epoch":1,"number":2,"order":"use","version":"v2","trial_ms":5000})", R"([])", R"({"epoch":1})",
        R"({"epoch":-1,"number":2,"order":"run"})", R"({"epoch":1,"number":2,"order":"sue","version":"v2"})",
        R"({"epoch":1,"number":2,"order":"use","version":"../v2"})",
        R"({"epoch":1,"number":2,"order":"use","version":".part-v2"})",
        R"({"epoch":1,"number":2,"order":"take","version":"v2","from":"here"})",
        R"({"epoch":1,"number":2,"order":"run","trial_ms":5})",
        R"({"epoch":1,"number":2.5,"order":"run"})"}) {
    try {
      std::printf("%s\n", keeper::put(keeper::read_order(config::parse(text))).dump().c_str());
    } catch (const config::BadInput& wrong) {
      std::printf("refused: %s\n", wrong.what());
    }
  }
  std::puts("-- where a control address may be");
  for (const char* text :
       {"127.0.0.1:7700", "127.9.0.1:7700", "10.1.2.3:7700", "172.16.0.1:1", "172.32.0.1:1", "192.168.3.4:1",
        "8.8.8.8:1", "[::1]:7700", "[fd00::1]:7700", "[2001:db8::1]:7700", "unix:/run/k.sock"}) {
    const std::string why = keeper::control_address_error(*net::parse_address(text));
    std::printf("%-20s %s\n", text, why.empty() ? "may be" : why.c_str());
  }
  net::Address wildcard;
  std::printf("%-20s %s\n", "0.0.0.0:0", keeper::control_address_error(wildcard).c_str());
}

// What is on the disk is as it was written, or it is refused: torn at any byte, or with any bit flipped.
void kept() {
  Kept all;
  all.wanted = true;
  all.in_force = "v2";
  all.former = "v1";
  all.order = order(Kind::use, 7, "v2", 90s, 12);
  all.order->if_in_force = "v1";
  all.outcome = Outcome::on_trial;
  all.why = "a \"reason\"\nof two lines";
  all.since_ms = 1'700'000'000'123;
  all.starts = 4;
  all.ends = 2;
  all.strikes = 1.25;
  const std::string text = keeper::put(all);
  std::printf("read back as written: %s\n", keeper::read_kept(text) == all ? "yes" : "NO");
  int torn = 0, flipped = 0, taken_anyway = 0;
  const auto refused = [&](const std::string& damaged) {
    try {
      const Kept read = keeper::read_kept(damaged);
      return !(read == all);  // another state taken for good
    } catch (const std::exception&) {
      return true;
    }
  };
  const auto wrongly = [&](const std::string& damaged) {
    try {
      return !(keeper::read_kept(damaged) == all);
    } catch (const std::exception&) {
      return false;
    }
  };
  for (std::size_t size = 0; size < text.size(); ++size) {
    torn += refused(text.substr(0, size)) ? 1 : 0;
    taken_anyway += wrongly(text.substr(0, size)) ? 1 : 0;
  }
  for (std::size_t bit = 0; bit < text.size() * 8; ++bit) {
    std::string damaged = text;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
    flipped += refused(damaged) ? 1 : 0;
    taken_anyway += wrongly(damaged) ? 1 : 0;
  }
  std::printf(
      "torn at each byte: refused %s; a bit flipped: refused or the same %s; another state taken: %d\n",
      torn == static_cast<int>(text.size()) ? "always" : "NOT ALWAYS",
      flipped >= static_cast<int>(text.size() * 8) - 16 ? "always" : "NOT ALWAYS", taken_anyway);
  std::string newer = text;
  newer.replace(newer.find("\"format\":1"), 10, "\"format\":2");
  try {
    keeper::read_kept(newer);
    std::puts("another format: TAKEN");
  } catch (const config::BadInput& wrong) {
    std::printf("another format: %s\n", wrong.what());
  }
}

// Merging is exact: a stream of multigets counted by one gatherer, or spread over seven and merged in any
// order.
void counts() {
  std::mt19937 chance(5);
  totals::Window whole;
  std::vector<totals::Window> parts(7);
  for (int i = 0; i < 20'000; ++i) {
    const Duration took(
        static_cast<std::int64_t>(std::exp(4 + 10 * std::generate_canonical<double, 53>(chance))));
    const std::string op = chance() % 3 == 0 ? "issue" : "look";
    for (totals::Window* window : {&whole, &parts[chance() % 7]}) {
      totals::Count& count = window->by_op_type[op];
      count.taken += 1;
      count.answered += 1;
      count.in_budget += took <= 1s ? 1 : 0;
      count.latency.add(took);
    }
  }
  totals::Window forth, back;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    forth.merge(parts[i]);
    back.merge(totals::read_window(nlohmann::json::parse(totals::put(parts[parts.size() - 1 - i]).dump())));
  }
  std::printf("seven merged are one: %s; in the other order, written and read: %s\n",
              forth.by_op_type == whole.by_op_type ? "yes" : "NO",
              back.by_op_type == whole.by_op_type ? "yes" : "NO");
  const totals::Count all = whole.all();
  std::printf("%llu, median %lld us, 99th %lld us\n", static_cast<unsigned long long>(all.latency.count()),
              static_cast<long long>(all.latency.at(0.5).count()),
              static_cast<long long>(all.latency.at(0.99).count()));
  totals::Series series;
  for (int i = 0; i < 300; ++i) {
    totals::Window w;
    w.start_ms = 1000 * i;
    w.by_op_type["look"].taken = 1;
    series.add(w);
  }
  std::printf("300 windows: %zu kept, %llu counted since the start, 10 s hold %llu\n",
              series.windows().size(), static_cast<unsigned long long>(series.since_start().all().taken),
              static_cast<unsigned long long>(series.merged(290'000, 300'000).all().taken));
  totals::Window earlier;
  earlier.start_ms = 250'000;  // the clock was set back by 50 s
  earlier.by_op_type["look"].taken = 5;
  series.add(earlier);
  std::printf("clock set back 50 s: newest window %lld, %zu kept, since the start %llu\n",
              static_cast<long long>(series.windows().rbegin()->first), series.windows().size(),
              static_cast<unsigned long long>(series.since_start().all().taken));
}

std::map<std::string, EmulatedVersion> versions() {
  std::map<std::string, EmulatedVersion> out;
  const auto add = [&](const char* name, const char* program, const Behaviour& behaviour) {
    out[name] = {{program, std::string("settings of ") + name}, behaviour};
  };
  Behaviour b;
  add("good", "p1", b);
  add("good2", "p2", b);
  add("settings", "p1", b);
  b.refuses_settings = true;
  add("refused", "p1", b);
  add("refused2", "p2", b);
  b = {};
  b.needs_start = true;
  add("wants-start", "p1", b);
  b = {};
  b.ends_after = 10s;
  add("ends", "p3", b);
  b = {};
  b.ends_after = 100ms;
  add("ends-at-once", "p4", b);
  b = {};
  b.hangs_after = 1s;
  add("hangs", "p5", b);
  b = {};
  b.mute_after = 0s;
  add("mute", "p6", b);
  b = {};
  b.never_serves = true;
  add("never-serves", "p7", b);
  b = {};
  b.heeds_term = false;
  add("stubborn", "p8", b);
  b = {};
  b.mute_after = 20s;
  add("mute-later", "p9", b);
  return out;
}

class Play {
 public:
  explicit Play(const char* name) : keeper_({}, versions(), 1) {
    if (name != nullptr) std::printf("-- %s\n", name);
    keeper_.told = [this](const std::string& what) {
      if (!quiet) std::printf("%7.2f  %s\n", static_cast<double>(keeper_.now().count()) / 1e6, what.c_str());
    };
  }
  void give(Kind kind, const std::string& version = {}, Duration trial = {}) {
    const auto verdict = keeper_.order(order(kind, ++number_, version, trial));
    std::printf("%7.2f  ORDER %s %s: %s\n", static_cast<double>(keeper_.now().count()) / 1e6,
                keeper::name_of(kind), version.c_str(), verdict ? keeper::name_of(*verdict) : "no answer");
  }
  void until(Duration when) {
    while (keeper_.now() < when) keeper_.step();
  }
  void end() {
    const Kept& kept = keeper_.kept();
    std::printf("         outcome %s%s%s; in force %s, serves %s, %d processes, %.1f s served%s%s\n",
                keeper::name_of(kept.outcome), kept.why.empty() ? "" : ": ", kept.why.c_str(),
                kept.in_force.c_str(), keeper_.serving_version().c_str(), keeper_.processes(),
                static_cast<double>(keeper_.served().count()) / 1e6,
                keeper_.broken().empty() ? "" : "; BROKEN: ", keeper_.broken().c_str());
  }
  EmulatedKeeper& keeper() { return keeper_; }
  bool quiet = false;

 private:
  EmulatedKeeper keeper_;
  std::uint64_t number_ = 0;
};

void swaps() {
  {
    Play p("settings suffice: it reads them again; another program comes up beside it");
    p.give(Kind::use, "good");
    p.until(5s);
    p.give(Kind::use, "settings");
    p.until(10s);
    p.give(Kind::use, "good2");
    p.until(18s);
    p.end();
  }
  for (const char* bad : {"refused", "refused2", "ends-at-once", "hangs", "mute", "never-serves"}) {
    Play p((std::string("taken back: ") + bad).c_str());
    p.give(Kind::use, "good");
    p.until(5s);
    p.give(Kind::use, bad);
    p.until(50s);
    p.end();
  }
  {
    Play p("some settings want a start, and its way there fails: what was read already is read back");
    p.give(Kind::use, "good");
    p.until(5s);
    p.give(Kind::use, "wants-start");
    p.until(15s);
    p.end();
  }
  {
    Play p("the first version ever is bad: held, there is nothing to go back to");
    p.give(Kind::use, "ends-at-once");
    p.until(60s);
    p.end();
  }
  {
    Play p("one that does not heed SIGTERM is followed, and ended by force");
    p.give(Kind::use, "stubborn");
    p.until(5s);
    p.give(Kind::use, "good");
    p.until(15s);
    p.end();
  }
}

void trials() {
  {
    Play p("on trial and confirmed");
    p.give(Kind::use, "good");
    p.until(5s);
    p.give(Kind::use, "good2", 20s);
    p.until(15s);
    p.give(Kind::confirm);
    p.until(40s);
    p.end();
  }
  {
    Play p("on trial, nobody says anything: what is proved is kept");
    p.give(Kind::use, "good");
    p.until(5s);
    p.give(Kind::use, "good2", 20s);
    p.until(40s);
    p.end();
  }
  {
    Play p("on trial, it goes bad later");
    p.give(Kind::use, "good");
    p.until(5s);
    p.give(Kind::use, "mute-later", 60s);
    p.until(60s);
    p.end();
  }
  {
    Play p("on trial, the keeper is killed and back: the trial goes on, by what was kept");
    p.give(Kind::use, "good");
    p.until(5s);
    p.give(Kind::use, "good2", 20s);
    p.until(15s);
    p.keeper().kill_keeper();
    p.until(20s);
    p.keeper().start_keeper();
    p.until(45s);
    p.end();
  }
}

void ends() {
  {
    Play p("one that ends 10 s after every start: waits grow, then it is given up");
    p.give(Kind::use, "ends");
    p.until(200s);
    p.end();
    p.give(Kind::run);
    p.until(205s);
    p.end();
  }
  {
    Play p("killed once a quarter of an hour: started at once each time");
    p.give(Kind::use, "good");
    for (int i = 1; i <= 3; ++i) {
      p.until(i * 900s);
      p.keeper().kill_process();
    }
    p.until(3000s);
    p.end();
  }
  {
    Play p("hangs: ended by force and started again");
    p.give(Kind::use, "good");
    p.until(5s);
    p.give(Kind::use, "mute-later");
    p.until(70s);
    p.end();
  }
  {
    Play p("the keeper stands still for 30 s with an order waiting: a sound gatherer is not ended for it");
    p.give(Kind::use, "good");
    p.until(10s);
    p.keeper().pause_keeper(true);
    p.until(20s);
    p.give(Kind::stop);
    p.until(40s);
    p.keeper().pause_keeper(false);
    p.until(50s);
    p.end();
  }
  {
    Play p("stopped in the middle of a swap");
    p.give(Kind::use, "good");
    p.until(5s);
    p.give(Kind::use, "never-serves");
    p.until(8s);
    p.give(Kind::stop);
    p.until(20s);
    p.end();
    p.give(Kind::run);
    p.until(25s);
    p.end();
  }
  {
    Play p("a full disk: the order is not taken, what serves serves on");
    p.give(Kind::use, "good");
    p.until(5s);
    p.keeper().disk_full(true);
    p.give(Kind::use, "good2");
    p.until(10s);
    p.keeper().disk_full(false);
    p.give(Kind::use, "good2");
    p.until(20s);
    p.end();
  }
}

// Killed before each single act of a swap, and started again: it always ends with one process, of the version
// that its state names, and the order has an outcome.
void killed_at_each_act() {
  for (const char* target : {"settings", "good2", "refused", "refused2", "ends-at-once", "wants-start"}) {
    std::map<std::string, int> ends;
    int acts = 0;
    for (int at = 0; at < 40; ++at) {
      Play p(nullptr);
      p.quiet = true;
      EmulatedKeeper& k = p.keeper();
      k.order(order(Kind::use, 1, "good"));
      p.until(5s);
      k.kill_at_act(at);
      k.order(order(Kind::use, 2, target));
      for (Duration t = 5s; t < 60s; t += 1s) {
        p.until(t);
        if (!k.keeper_alive()) {
          acts = at + 1;
          k.start_keeper();
        }
      }
      k.kill_at_act(-1);
      p.until(100s);
      const Kept& kept = k.kept();
      std::string end = std::string(keeper::name_of(kept.outcome)) + ", in force " + kept.in_force +
                        ", serves " + k.serving_version() + ", " + std::to_string(k.processes()) + " process";
      if (!k.broken().empty()) end += ", BROKEN: " + k.broken();
      if (k.linked() != kept.in_force) end += ", LINKED " + k.linked();
      ends[end] += 1;
    }
    std::printf("use %s, killed before each of its first %d acts:\n", target, acts);
    for (const auto& [end, count] : ends) std::printf("  %s\n", end.c_str());
  }
}

// Drawn lives: orders, ends, pauses and full disks at random. Afterwards, left alone, it comes to rest: one
// process that serves what its state names, or none where none is wanted.
void random_lives() {
  const std::map<std::string, EmulatedVersion> all = versions();
  std::vector<std::string> names;
  for (const auto& [name, one] : all) names.push_back(name);
  std::map<std::string, int> found;
  int orders_given = 0, restless = 0;
  for (std::uint32_t seed = 1; seed <= 400; ++seed) {
    std::mt19937 chance(seed);
    EmulatedKeeper k({}, all, seed);
    std::uint64_t number = 0, epoch = 1;
    for (int i = 0; i < 2400; ++i) {
      k.step();
      switch (chance() % 60) {
        case 0:
        case 1: {
          const Kind kinds[] = {Kind::use, Kind::use, Kind::use, Kind::run, Kind::stop, Kind::confirm};
          if (chance() % 10 == 0) ++epoch;
          const auto verdict = k.order(order(kinds[chance() % 6], ++number, names[chance() % names.size()],
                                             chance() % 2 == 0 ? Duration{} : Duration(10s), epoch));
          orders_given += verdict == keeper::Verdict::taken ? 1 : 0;
          break;
        }
        case 2:
          k.kill_process();
          break;
        case 3:
          if (chance() % 3 == 0) k.kill_at_act(static_cast<int>(chance() % 6));
          break;
        case 4:
        case 5:
          k.start_keeper();
          break;
        case 6:
          k.pause_keeper(chance() % 3 == 0);
          break;
        case 7:
          k.disk_full(chance() % 4 == 0);
          break;
        default:
          break;
      }
    }
    k.kill_at_act(-1);
    k.start_keeper();
    k.pause_keeper(false);
    k.disk_full(false);
    // Brought to something that can be sound; whatever was under way is waited for.
    bool taken = false;
    for (int i = 0; i < 4000 && !taken; ++i) {
      k.step();
      if (i % 20 == 0)
        taken = k.order(order(Kind::use, ++number, "good", {}, epoch)) == keeper::Verdict::taken;
    }
    for (int i = 0; i < 1200; ++i) k.step();
    const Kept& kept = k.kept();
    const bool rests =
        taken && kept.outcome == Outcome::done && k.serving_version() == "good" && k.processes() == 1;
    if (!rests) {
      ++restless;
      if (restless <= 3)
        std::printf("seed %u: taken %d, outcome %s (%s), in force %s, serves %s, %d processes\n", seed, taken,
                    keeper::name_of(kept.outcome), kept.why.c_str(), kept.in_force.c_str(),
                    k.serving_version().c_str(), k.processes());
    }
    if (!k.broken().empty()) found[k.broken()] += 1;
  }
  std::printf("400 lives of 120 s: more than 2000 orders taken: %s; broken: %zu; not at rest: %d\n",
              orders_given > 2000 ? "yes" : "NO", found.size(), restless);
  for (const auto& [what, count] : found) std::printf("  %s: %d\n", what.c_str(), count);
}

}  // namespace

int main(int count, char** words) {
  const std::map<std::string, std::function<void()>> cases{{"orders", orders},
                                                           {"kept", kept},
                                                           {"counts", counts},
                                                           {"swaps", swaps},
                                                           {"trials", trials},
                                                           {"ends", ends},
                                                           {"killed_at_each_act", killed_at_each_act},
                                                           {"random_lives", random_lives}};
  const auto at = count == 2 ? cases.find(words[1]) : cases.end();
  if (at == cases.end()) return 2;
  at->second();
  return 0;
}
