// The keeper without I/O, in virtual time: which orders are accepted, what is persisted, and the state
// machines of keeper::Supervisor with processes that fail in every way.
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
using keeper::KeeperState;
using keeper::Order;
using keeper::OrderKind;
using keeper::Outcome;

namespace {

Order order(OrderKind kind, std::uint64_t number, const std::string& version = {}, Duration trial = {},
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
  KeeperState state;
  state.in_force = "v1";
  state.former = "v0";
  state.outcome = Outcome::done;
  state.order = order(OrderKind::use, 5, "v1", {}, 3);
  const Duration wall = 1000s;
  const auto print_verdict = [&](const char* description, const Order& one, const KeeperState& current,
                                 bool has_version = true) {
    std::printf("%-44s %s\n", description,
                keeper::name_of(keeper::check_order(one, current, wall, has_version)));
  };
  print_verdict("the next one", order(OrderKind::use, 6, "v2", {}, 3), state);
  print_verdict("one that skips numbers", order(OrderKind::use, 60, "v2", {}, 3), state);
  print_verdict("the same again", *state.order, state);
  print_verdict("the same number, another version", order(OrderKind::use, 5, "v2", {}, 3), state);
  print_verdict("an earlier number", order(OrderKind::use, 4, "v2", {}, 3), state);
  print_verdict("an older epoch, a high number", order(OrderKind::stop, 900, {}, {}, 2), state);
  print_verdict("a newer epoch, number 0", order(OrderKind::stop, 0, {}, {}, 4), state);
  Order late = order(OrderKind::use, 6, "v2", {}, 3);
  late.not_after_ms = 999'999;
  print_verdict("its time is over", late, state);
  late.not_after_ms = 1'000'000;
  print_verdict("in the last millisecond", late, state);
  Order expects = order(OrderKind::use, 6, "v2", {}, 3);
  expects.if_in_force = "v0";
  print_verdict("expects another version", expects, state);
  print_verdict("a version that is not there", order(OrderKind::use, 6, "v9", {}, 3), state, false);
  print_verdict("to confirm what is not on trial", order(OrderKind::confirm, 6, {}, {}, 3), state);
  print_verdict("to drop what is in force", order(OrderKind::drop, 6, "v1", {}, 3), state);
  print_verdict("to drop the way back", order(OrderKind::drop, 6, "v0", {}, 3), state);
  state.outcome = Outcome::under_way;
  print_verdict("while one is under way: use", order(OrderKind::use, 6, "v2", {}, 3), state);
  print_verdict("while one is under way: stop", order(OrderKind::stop, 6, {}, {}, 3), state);
  print_verdict("while one is under way: by the next epoch", order(OrderKind::use, 0, "v2", {}, 4), state);
  state.outcome = Outcome::rolling_back;
  print_verdict("on the way back: use", order(OrderKind::use, 6, "v2", {}, 3), state);
  state.outcome = Outcome::on_trial;
  print_verdict("on trial: confirm", order(OrderKind::confirm, 6, {}, {}, 3), state);
  print_verdict("on trial: use", order(OrderKind::use, 6, "v0", {}, 3), state);
  print_verdict("on trial: take", order(OrderKind::take, 6, "v7", {}, 3), state);
  KeeperState fresh;
  print_verdict("to run where nothing is in force", order(OrderKind::run, 1), fresh);

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
      std::printf("%s\n", keeper::to_json(keeper::parse_order(config::parse(text))).dump().c_str());
    } catch (const config::BadInput& error) {
      std::printf("refused: %s\n", error.what());
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

// A state file that is truncated at any byte, or has any bit flipped, is refused or read as it was written;
// it is never read as another state.
void persisted_state() {
  KeeperState all;
  all.should_run = true;
  all.in_force = "v2";
  all.former = "v1";
  all.order = order(OrderKind::use, 7, "v2", 90s, 12);
  all.order->if_in_force = "v1";
  all.outcome = Outcome::on_trial;
  all.why = "a \"reason\"\nof two lines";
  all.since_ms = 1'700'000'000'123;
  all.starts = 4;
  all.unplanned_exits = 2;
  all.crash_score = 1.25;
  const std::string text = keeper::serialize(all);
  std::printf("read back as written: %s\n", keeper::parse_state(text) == all ? "yes" : "NO");
  int truncated = 0, flipped = 0, misread = 0;
  const auto refused = [&](const std::string& damaged) {
    try {
      const KeeperState read = keeper::parse_state(damaged);
      return !(read == all);  // read as another state
    } catch (const std::exception&) {
      return true;
    }
  };
  const auto read_as_another = [&](const std::string& damaged) {
    try {
      return !(keeper::parse_state(damaged) == all);
    } catch (const std::exception&) {
      return false;
    }
  };
  for (std::size_t size = 0; size < text.size(); ++size) {
    truncated += refused(text.substr(0, size)) ? 1 : 0;
    misread += read_as_another(text.substr(0, size)) ? 1 : 0;
  }
  for (std::size_t bit = 0; bit < text.size() * 8; ++bit) {
    std::string damaged = text;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
    flipped += refused(damaged) ? 1 : 0;
    misread += read_as_another(damaged) ? 1 : 0;
  }
  std::printf(
      "torn at each byte: refused %s; a bit flipped: refused or the same %s; another state taken: %d\n",
      truncated == static_cast<int>(text.size()) ? "always" : "NOT ALWAYS",
      flipped >= static_cast<int>(text.size() * 8) - 16 ? "always" : "NOT ALWAYS", misread);
  std::string newer = text;
  newer.replace(newer.find("\"format\":1"), 10, "\"format\":2");
  try {
    keeper::parse_state(newer);
    std::puts("another format: TAKEN");
  } catch (const config::BadInput& error) {
    std::printf("another format: %s\n", error.what());
  }
}

// Merging totals is exact: a stream of multigets gives the same totals when it is counted by one gatherer as
// when it is spread over seven and merged in any order.
void counts() {
  std::mt19937 random(5);
  totals::Window whole;
  std::vector<totals::Window> parts(7);
  for (int i = 0; i < 20'000; ++i) {
    const Duration took(
        static_cast<std::int64_t>(std::exp(4 + 10 * std::generate_canonical<double, 53>(random))));
    const std::string op = random() % 3 == 0 ? "issue" : "look";
    for (totals::Window* window : {&whole, &parts[random() % 7]}) {
      totals::OpTypeCounts& count = window->by_op_type[op];
      count.taken += 1;
      count.answered += 1;
      count.in_budget += took <= 1s ? 1 : 0;
      count.latency.add(took);
    }
  }
  totals::Window forward, reverse;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    forward.merge(parts[i]);
    reverse.merge(
        totals::parse_window(nlohmann::json::parse(totals::to_json(parts[parts.size() - 1 - i]).dump())));
  }
  std::printf("seven merged are one: %s; in the other order, written and read: %s\n",
              forward.by_op_type == whole.by_op_type ? "yes" : "NO",
              reverse.by_op_type == whole.by_op_type ? "yes" : "NO");
  const totals::OpTypeCounts all = whole.total();
  std::printf("%llu, median %lld us, 99th %lld us\n", static_cast<unsigned long long>(all.latency.count()),
              static_cast<long long>(all.latency.quantile(0.5).count()),
              static_cast<long long>(all.latency.quantile(0.99).count()));
  totals::WindowHistory series;
  for (int i = 0; i < 300; ++i) {
    totals::Window w;
    w.start_ms = 1000 * i;
    w.by_op_type["look"].taken = 1;
    series.add(w);
  }
  std::printf("300 windows: %zu kept, %llu counted since the start, 10 s hold %llu\n",
              series.windows().size(), static_cast<unsigned long long>(series.since_start().total().taken),
              static_cast<unsigned long long>(series.merged(290'000, 300'000).total().taken));
  totals::Window earlier;
  earlier.start_ms = 250'000;  // the clock was set back by 50 s
  earlier.by_op_type["look"].taken = 5;
  series.add(earlier);
  std::printf("clock set back 50 s: newest window %lld, %zu kept, since the start %llu\n",
              static_cast<long long>(series.windows().rbegin()->first), series.windows().size(),
              static_cast<unsigned long long>(series.since_start().total().taken));
}

std::map<std::string, EmulatedVersion> versions() {
  std::map<std::string, EmulatedVersion> out;
  const auto add = [&](const char* name, const char* program, const Behaviour& behaviour) {
    out[name] = {{program, std::string("settings of ") + name}, behaviour};
  };
  Behaviour behaviour;
  add("good", "p1", behaviour);
  add("good2", "p2", behaviour);
  add("settings", "p1", behaviour);
  behaviour.refuses_settings = true;
  add("refused", "p1", behaviour);
  add("refused2", "p2", behaviour);
  behaviour = {};
  behaviour.needs_start = true;
  add("wants-start", "p1", behaviour);
  behaviour = {};
  behaviour.ends_after = 10s;
  add("ends", "p3", behaviour);
  behaviour = {};
  behaviour.ends_after = 100ms;
  add("ends-at-once", "p4", behaviour);
  behaviour = {};
  behaviour.hangs_after = 1s;
  add("hangs", "p5", behaviour);
  behaviour = {};
  behaviour.mute_after = 0s;
  add("mute", "p6", behaviour);
  behaviour = {};
  behaviour.never_serves = true;
  add("never-serves", "p7", behaviour);
  behaviour = {};
  behaviour.heeds_term = false;
  add("stubborn", "p8", behaviour);
  behaviour = {};
  behaviour.mute_after = 20s;
  add("mute-later", "p9", behaviour);
  return out;
}

class Scenario {
 public:
  explicit Scenario(const char* name) : keeper_({}, versions(), 1) {
    if (name != nullptr) std::printf("-- %s\n", name);
    keeper_.told = [this](const std::string& what) {
      if (!quiet) std::printf("%7.2f  %s\n", static_cast<double>(keeper_.now().count()) / 1e6, what.c_str());
    };
  }
  void give_order(OrderKind kind, const std::string& version = {}, Duration trial = {}) {
    const auto verdict = keeper_.order(order(kind, ++number_, version, trial));
    std::printf("%7.2f  ORDER %s %s: %s\n", static_cast<double>(keeper_.now().count()) / 1e6,
                keeper::name_of(kind), version.c_str(), verdict ? keeper::name_of(*verdict) : "no answer");
  }
  void until(Duration when) {
    while (keeper_.now() < when) keeper_.step();
  }
  void end() {
    const KeeperState& state = keeper_.kept();
    std::printf("         outcome %s%s%s; in force %s, serves %s, %d processes, %.1f s served%s%s\n",
                keeper::name_of(state.outcome), state.why.empty() ? "" : ": ", state.why.c_str(),
                state.in_force.c_str(), keeper_.serving_version().c_str(), keeper_.processes(),
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
    Scenario p("settings suffice: it reads them again; another program comes up beside it");
    p.give_order(OrderKind::use, "good");
    p.until(5s);
    p.give_order(OrderKind::use, "settings");
    p.until(10s);
    p.give_order(OrderKind::use, "good2");
    p.until(18s);
    p.end();
  }
  for (const char* bad : {"refused", "refused2", "ends-at-once", "hangs", "mute", "never-serves"}) {
    Scenario p((std::string("taken back: ") + bad).c_str());
    p.give_order(OrderKind::use, "good");
    p.until(5s);
    p.give_order(OrderKind::use, bad);
    p.until(50s);
    p.end();
  }
  {
    Scenario p("some settings want a start, and its way there fails: what was read already is read back");
    p.give_order(OrderKind::use, "good");
    p.until(5s);
    p.give_order(OrderKind::use, "wants-start");
    p.until(15s);
    p.end();
  }
  {
    Scenario p("the first version ever is bad: held, there is nothing to go back to");
    p.give_order(OrderKind::use, "ends-at-once");
    p.until(60s);
    p.end();
  }
  {
    Scenario p("one that does not heed SIGTERM is followed, and ended by force");
    p.give_order(OrderKind::use, "stubborn");
    p.until(5s);
    p.give_order(OrderKind::use, "good");
    p.until(15s);
    p.end();
  }
}

void trials() {
  {
    Scenario p("on trial and confirmed");
    p.give_order(OrderKind::use, "good");
    p.until(5s);
    p.give_order(OrderKind::use, "good2", 20s);
    p.until(15s);
    p.give_order(OrderKind::confirm);
    p.until(40s);
    p.end();
  }
  {
    Scenario p("on trial, nobody says anything: what is proved is kept");
    p.give_order(OrderKind::use, "good");
    p.until(5s);
    p.give_order(OrderKind::use, "good2", 20s);
    p.until(40s);
    p.end();
  }
  {
    Scenario p("on trial, it goes bad later");
    p.give_order(OrderKind::use, "good");
    p.until(5s);
    p.give_order(OrderKind::use, "mute-later", 60s);
    p.until(60s);
    p.end();
  }
  {
    Scenario p("on trial, the keeper is killed and back: the trial goes on, by what was kept");
    p.give_order(OrderKind::use, "good");
    p.until(5s);
    p.give_order(OrderKind::use, "good2", 20s);
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
    Scenario p("one that ends 10 s after every start: waits grow, then it is given up");
    p.give_order(OrderKind::use, "ends");
    p.until(200s);
    p.end();
    p.give_order(OrderKind::run);
    p.until(205s);
    p.end();
  }
  {
    Scenario p("killed once a quarter of an hour: started at once each time");
    p.give_order(OrderKind::use, "good");
    for (int i = 1; i <= 3; ++i) {
      p.until(i * 900s);
      p.keeper().kill_process();
    }
    p.until(3000s);
    p.end();
  }
  {
    Scenario p("hangs: ended by force and started again");
    p.give_order(OrderKind::use, "good");
    p.until(5s);
    p.give_order(OrderKind::use, "mute-later");
    p.until(70s);
    p.end();
  }
  {
    Scenario p(
        "the keeper stands still for 30 s with an order waiting: a sound gatherer is not ended for it");
    p.give_order(OrderKind::use, "good");
    p.until(10s);
    p.keeper().pause_keeper(true);
    p.until(20s);
    p.give_order(OrderKind::stop);
    p.until(40s);
    p.keeper().pause_keeper(false);
    p.until(50s);
    p.end();
  }
  {
    Scenario p("stopped in the middle of a swap");
    p.give_order(OrderKind::use, "good");
    p.until(5s);
    p.give_order(OrderKind::use, "never-serves");
    p.until(8s);
    p.give_order(OrderKind::stop);
    p.until(20s);
    p.end();
    p.give_order(OrderKind::run);
    p.until(25s);
    p.end();
  }
  {
    Scenario p("a full disk: the order is not taken, what serves serves on");
    p.give_order(OrderKind::use, "good");
    p.until(5s);
    p.keeper().disk_full(true);
    p.give_order(OrderKind::use, "good2");
    p.until(10s);
    p.keeper().disk_full(false);
    p.give_order(OrderKind::use, "good2");
    p.until(20s);
    p.end();
  }
}

// A keeper is killed before each single action of a swap and restarted: there is always one process in the
// end, of the version that the state names, and the order has an outcome.
void killed_at_each_act() {
  for (const char* target : {"settings", "good2", "refused", "refused2", "ends-at-once", "wants-start"}) {
    std::map<std::string, int> ends;
    int acts = 0;
    for (int at = 0; at < 40; ++at) {
      Scenario p(nullptr);
      p.quiet = true;
      EmulatedKeeper& k = p.keeper();
      k.order(order(OrderKind::use, 1, "good"));
      p.until(5s);
      k.kill_at_act(at);
      k.order(order(OrderKind::use, 2, target));
      for (Duration t = 5s; t < 60s; t += 1s) {
        p.until(t);
        if (!k.keeper_alive()) {
          acts = at + 1;
          k.start_keeper();
        }
      }
      k.kill_at_act(-1);
      p.until(100s);
      const KeeperState& state = k.kept();
      std::string end = std::string(keeper::name_of(state.outcome)) + ", in force " + state.in_force +
                        ", serves " + k.serving_version() + ", " + std::to_string(k.processes()) + " process";
      if (!k.broken().empty()) end += ", BROKEN: " + k.broken();
      if (k.linked() != state.in_force) end += ", LINKED " + k.linked();
      ends[end] += 1;
    }
    std::printf("use %s, killed before each of its first %d acts:\n", target, acts);
    for (const auto& [end, count] : ends) std::printf("  %s\n", end.c_str());
  }
}

// Random orders, process exits, pauses and full disks. Afterwards the keeper has to settle with one process
// that serves the version that the state names.
void random_lives() {
  const std::map<std::string, EmulatedVersion> all = versions();
  std::vector<std::string> names;
  for (const auto& [name, one] : all) names.push_back(name);
  std::map<std::string, int> found;
  int orders_given = 0, unsettled = 0;
  for (std::uint32_t seed = 1; seed <= 400; ++seed) {
    std::mt19937 random(seed);
    EmulatedKeeper k({}, all, seed);
    std::uint64_t number = 0, epoch = 1;
    for (int i = 0; i < 2400; ++i) {
      k.step();
      switch (random() % 60) {
        case 0:
        case 1: {
          const OrderKind kinds[] = {OrderKind::use, OrderKind::use,  OrderKind::use,
                                     OrderKind::run, OrderKind::stop, OrderKind::confirm};
          if (random() % 10 == 0) ++epoch;
          const auto verdict = k.order(order(kinds[random() % 6], ++number, names[random() % names.size()],
                                             random() % 2 == 0 ? Duration{} : Duration(10s), epoch));
          orders_given += verdict == keeper::OrderVerdict::accepted ? 1 : 0;
          break;
        }
        case 2:
          k.kill_process();
          break;
        case 3:
          if (random() % 3 == 0) k.kill_at_act(static_cast<int>(random() % 6));
          break;
        case 4:
        case 5:
          k.start_keeper();
          break;
        case 6:
          k.pause_keeper(random() % 3 == 0);
          break;
        case 7:
          k.disk_full(random() % 4 == 0);
          break;
        default:
          break;
      }
    }
    k.kill_at_act(-1);
    k.start_keeper();
    k.pause_keeper(false);
    k.disk_full(false);
    // Orders a version that can be proved, once the order under way has ended.
    bool taken = false;
    for (int i = 0; i < 4000 && !taken; ++i) {
      k.step();
      if (i % 20 == 0)
        taken = k.order(order(OrderKind::use, ++number, "good", {}, epoch)) == keeper::OrderVerdict::accepted;
    }
    for (int i = 0; i < 1200; ++i) k.step();
    const KeeperState& state = k.kept();
    const bool is_settled =
        taken && state.outcome == Outcome::done && k.serving_version() == "good" && k.processes() == 1;
    if (!is_settled) {
      ++unsettled;
      if (unsettled <= 3)
        std::printf("seed %u: taken %d, outcome %s (%s), in force %s, serves %s, %d processes\n", seed, taken,
                    keeper::name_of(state.outcome), state.why.c_str(), state.in_force.c_str(),
                    k.serving_version().c_str(), k.processes());
    }
    if (!k.broken().empty()) found[k.broken()] += 1;
  }
  std::printf("400 lives of 120 s: more than 2000 orders taken: %s; broken: %zu; not at rest: %d\n",
              orders_given > 2000 ? "yes" : "NO", found.size(), unsettled);
  for (const auto& [what, count] : found) std::printf("  %s: %d\n", what.c_str(), count);
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void()>> cases{{"orders", orders},
                                                           {"kept", persisted_state},
                                                           {"counts", counts},
                                                           {"swaps", swaps},
                                                           {"trials", trials},
                                                           {"ends", ends},
                                                           {"killed_at_each_act", killed_at_each_act},
                                                           {"random_lives", random_lives}};
  const auto at = argc == 2 ? cases.find(argv[1]) : cases.end();
  if (at == cases.end()) return 2;
  at->second();
  return 0;
}
