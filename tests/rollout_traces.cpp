// Tests of rollout decisions without I/O: which keepers a stage changes, the judge's verdicts on two sides,
// the controller's actions and state changes, and both together over an emulated fleet.
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "emulator/rollouts.h"

using namespace marbledyke;
using namespace std::chrono_literals;
using namespace marbledyke::rollout;

namespace {

std::vector<Member> members(int count, int zones) {
  std::vector<Member> out;
  for (int i = 0; i < count; ++i)
    out.push_back({"m" + std::to_string(i), "z" + std::to_string(i % zones),
                   i < 2 ? std::vector<std::string>{"first"} : std::vector<std::string>{}});
  return out;
}

void plans() {
  const auto show = [](const char* what, const Plan& plan, int count, int zones) {
    std::printf("-- %s\n", what);
    const auto stages = stages_of(plan, members(count, zones));
    for (std::size_t i = 0; i < stages.size(); ++i) {
      std::printf("%s:", plan.stages[i].name.c_str());
      for (const std::string& name : stages[i]) std::printf(" %s", name.c_str());
      std::printf("\n");
    }
    for (const std::string& why : plan_errors(plan, members(count, zones)))
      std::printf("error: %s\n", why.c_str());
  };
  Plan plan;
  plan.stages = {{"one", 1, 0, "", "", 60s},
                 {"quarter", 0, 0.25, "", "", 60s},
                 {"half", 0, 0.5, "", "", 60s},
                 {"all", 0, 1, "", "", 60s}};
  show("twelve in three zones", plan, 12, 3);
  show("a fleet of two", plan, 2, 1);
  show("a fleet of one", plan, 1, 1);
  plan.stages = {
      {"group", 0, 0, "", "first", 60s}, {"zone", 0, 0, "z1", "", 60s}, {"rest", 0, 1, "", "", 60s}};
  show("a group, then a zone", plan, 8, 2);
  plan.stages = {{"most", 0, 0.8, "", "", 1s}, {"all", 0, 1, "", "", 60s}};
  show("most keepers first, and a short soak", plan, 10, 2);
}

Side make_side(std::uint64_t received, double failure_rate, std::mt19937& random) {
  Side out;
  out.received = out.completed = received;
  const auto failed = static_cast<std::uint64_t>(
      std::binomial_distribution<int>(static_cast<int>(received), failure_rate)(random));
  out.good = out.answered = received - failed;
  out.failed = failed;
  out.slow = static_cast<std::uint64_t>(
      std::binomial_distribution<int>(static_cast<int>(out.answered), 0.1)(random));
  out.sends = received * 4;
  out.repeated_sends =
      static_cast<std::uint64_t>(std::binomial_distribution<int>(static_cast<int>(out.sends), 0.02)(random));
  out.cpu_seconds = 5e-5 * static_cast<double>(received);
  return out;
}

// A scenario for the judge: `adjust` sets the number of multigets and the share that fails, by op type and
// zone, for the old and the new side, before and after the change.
struct Scenario {
  const char* name;
  std::function<void(const Stratum&, bool is_new, bool after, int block, std::uint64_t& received,
                     double& failure_rate)>
      adjust;
};

void verdicts() {
  const Scenario scenarios[] = {
      {"sound", [](const Stratum&, bool, bool, int, std::uint64_t&, double&) {}},
      {"2% worse everywhere", [](const Stratum&, bool is_new, bool after, int, std::uint64_t&,
                                 double& failure_rate) { failure_rate += is_new && after ? 0.02 : 0; }},
      {"8% worse in one op type of one zone",
       [](const Stratum& s, bool is_new, bool after, int, std::uint64_t&, double& failure_rate) {
         failure_rate += is_new && after && s.op_type == "issue" && s.zone == "a" ? 0.08 : 0;
       }},
      // Simpson's paradox: the new side receives mostly the op type that fails rarely, so it looks better in
      // sum although it is worse in each op type.
      {"better in sum, worse in each op type",
       [](const Stratum& s, bool is_new, bool after, int, std::uint64_t& received, double& failure_rate) {
         failure_rate = s.op_type == "issue" ? 0.10 : 0.01;
         if (!after) return;
         if (is_new) received = s.op_type == "issue" ? received / 8 : received * 2;
         failure_rate += is_new ? 0.03 : 0;
       }},
      {"sides differ alike before and after",
       [](const Stratum&, bool is_new, bool, int, std::uint64_t&, double& failure_rate) {
         failure_rate += is_new ? 0.03 : 0;
       }},
      {"worse only from the 30th block on",
       [](const Stratum&, bool is_new, bool after, int block, std::uint64_t&, double& failure_rate) {
         failure_rate += is_new && after && block >= 30 ? 0.04 : 0;
       }},
      {"both degraded, blocks 5 to 20",
       [](const Stratum&, bool, bool after, int block, std::uint64_t&, double& failure_rate) {
         failure_rate += after && block >= 5 && block < 20 ? 0.2 : 0;
       }},
      {"the new version degrades the old",
       [](const Stratum&, bool is_new, bool after, int, std::uint64_t&, double& failure_rate) {
         failure_rate += !is_new && after ? 0.10 : 0;
       }},
      {"hardly any multigets",
       [](const Stratum&, bool, bool, int, std::uint64_t& received, double&) { received = received / 100; }}};
  for (const Scenario& scenario : scenarios) {
    std::mt19937 random(11);
    Judge judge(Limits{}, 150);
    const auto block = [&](bool after, int number) {
      Block out;
      for (const char* op : {"look", "issue"}) {
        for (const char* zone : {"a", "b"}) {
          const Stratum stratum{op, zone};
          for (const bool is_new : {false, true}) {
            std::uint64_t received = is_new ? 200 : 1600;
            double failure_rate = 0.01;
            scenario.adjust(stratum, is_new, after, number, received, failure_rate);
            (is_new ? out[stratum].second : out[stratum].first) = make_side(received, failure_rate, random);
          }
        }
      }
      return out;
    };
    for (int i = 0; i < 12; ++i) judge.add_baseline_block(block(false, i));
    judge.start_comparison();
    rollout::Verdict last = rollout::Verdict::undecided;
    std::string verdicts_seen;
    int at = 0;
    for (int i = 0; i < 48; ++i) {
      judge.add_comparison_block(block(true, i));
      const Finding found = judge.evaluate(i >= 36);
      if (found.verdict != last) {
        verdicts_seen += (verdicts_seen.empty() ? "" : ", ") + std::string(name_of(found.verdict)) +
                         " after " + std::to_string(i + 1);
        last = found.verdict;
        at = i;
      }
      if (last == rollout::Verdict::worse || last == rollout::Verdict::harm ||
          last == rollout::Verdict::passed)
        break;
    }
    (void)at;
    std::printf("%-40s %s\n", scenario.name, verdicts_seen.empty() ? "nothing" : verdicts_seen.c_str());
  }
  Judge leak(Limits{}, 10);
  leak.on_memory_growth(1e6, 0.1e6, 2);
  std::printf("1 MB a minute, seen for 2 minutes: %s\n", name_of(leak.evaluate(false).verdict));
  leak.on_memory_growth(1e6, 0.1e6, 4);
  std::printf("seen for 4: %s, %s\n", name_of(leak.evaluate(false).verdict),
              leak.evaluate(false).description.c_str());
  Judge both(Limits{}, 10);
  both.on_memory_growth(1e6, 0.9e6, 10);
  std::printf("the old version grows as well: %s\n", name_of(both.evaluate(false).verdict));
}

// Simulated keepers that carry out orders after 3 s, or fail to, and a controller that may be replaced at any
// time. `broken` names the last safety property that was violated.
struct SimulatedFleet {
  struct SimulatedKeeper {
    std::string version = "old", outcome = "done";
    std::string to;
    Duration at = Duration::max();
    bool reachable = true, fails = false, fails_back = false, has = true;
    std::uint64_t epoch = 0, number = 0, uses = 0;
  };
  Plan plan;
  std::vector<Member> fleet_members;
  std::map<std::string, SimulatedKeeper> keepers;
  std::unique_ptr<Controller> controller;
  rollout::SavedState saved;
  std::uint64_t epoch = 0;
  Duration now{};
  std::function<Finding(const Controller&)> judge;
  std::function<void(const std::string&)> on_history;
  std::string broken;

  explicit SimulatedFleet(int count) : fleet_members(members(count, 2)) {
    plan.name = plan.version = "new";
    plan.max_concurrent = 2;
    plan.baseline_time = 10s;
    plan.burn_in = 2s;
    plan.swap_timeout = 20s;
    plan.max_wait = 60s;
    plan.stages = {{"one", 1, 0, "", "", 20s}, {"half", 0, 0.5, "", "", 20s}, {"all", 0, 1, "", "", 10s}};
    for (const Member& member : fleet_members) keepers[member.name] = {};
    judge = [](const Controller& c) {
      Finding out;
      out.verdict = c.is_soak_over() ? rollout::Verdict::passed : rollout::Verdict::undecided;
      return out;
    };
    take_over();
  }
  void take_over() {
    controller = std::make_unique<Controller>(plan, fleet_members, saved, ++epoch, now, 1000s + now);
  }
  void step() {
    now += 1s;
    for (auto& [name, keeper] : keepers) {
      if (now < keeper.at) continue;
      keeper.at = Duration::max();
      const bool bad = keeper.to == "new" ? keeper.fails : keeper.fails_back;
      if (bad) {
        keeper.outcome = keeper.to == "new" ? "back" : "held";
      } else {
        keeper.version = keeper.to;
        keeper.outcome = keeper.to == "new" ? "on_trial" : "done";
      }
    }
    if (controller == nullptr) return;
    controller->on_tick(now, 1000s + now);
    for (auto& [name, keeper] : keepers) {
      if (!keeper.reachable) continue;
      KeeperReport report;
      report.active_version = keeper.version;
      report.outcome = keeper.outcome;
      report.reason = "it failed";
      report.order_epoch = keeper.epoch;
      report.order_number = keeper.number;
      report.has_version = keeper.has;
      report.is_serving = true;
      controller->on_report(name, report);
    }
    if (controller->state() == State::soaking || controller->state() == State::waiting ||
        controller->state() == State::swapping)
      controller->on_finding(judge(*controller));
    carry_out();
  }
  void carry_out() {
    int stage_under_way = -1;
    while (controller != nullptr) {
      const auto action = controller->next_action();
      if (!action) break;
      if (action->kind == Action::Kind::save_state) saved = controller->saved();
      if (action->kind == Action::Kind::log && on_history) on_history(action->reason);
      if (action->kind != Action::Kind::use && action->kind != Action::Kind::roll_back &&
          action->kind != Action::Kind::confirm)
        continue;
      SimulatedKeeper& keeper = keepers[action->keeper];
      if (on_history)
        on_history((action->kind == Action::Kind::use         ? "use "
                    : action->kind == Action::Kind::roll_back ? "back "
                                                              : "confirm ") +
                   action->keeper);
      if (!keeper.reachable) continue;
      if (action->kind == Action::Kind::confirm) {
        if (keeper.outcome == "on_trial") keeper.outcome = "done";
        keeper.epoch = epoch;
        keeper.number = action->number;
        continue;
      }
      if (action->kind == Action::Kind::use) {
        for (int i = 0; i < static_cast<int>(controller->stages().size()); ++i) {
          for (const std::string& name : controller->stages()[static_cast<std::size_t>(i)]) {
            if (name == action->keeper) stage_under_way = i;
          }
        }
        if (stage_under_way != controller->saved().stage)
          broken = "an order of a stage other than the one under way";
        if (keeper.version == "new") broken = "a keeper was ordered to change twice";
        keeper.uses += 1;
      }
      if (keeper.outcome == "under_way") continue;  // the keeper refuses orders meanwhile
      keeper.to = action->kind == Action::Kind::use ? "new" : action->version;
      keeper.outcome = "under_way";
      keeper.epoch = epoch;
      keeper.number = action->number;
      keeper.at = now + 3s;
    }
    int under_way = 0;
    // Unreachable keepers do not count against the limit.
    for (const auto& [name, keeper] : keepers)
      under_way += keeper.outcome == "under_way" && keeper.reachable ? 1 : 0;
    if (under_way > plan.max_concurrent) broken = "more keepers under way than the plan allows";
  }
  void run(Duration until) {
    while (now < until && controller != nullptr && !controller->is_over()) step();
  }
  std::string end() const {
    int new_count = 0;
    for (const auto& [name, keeper] : keepers) new_count += keeper.version == "new" ? 1 : 0;
    return std::string(name_of(controller->state())) + ", " + std::to_string(new_count) + " of " +
           std::to_string(keepers.size()) + " new" +
           (controller->saved().reason.empty() ? "" : "; " + controller->saved().reason) +
           (broken.empty() ? "" : "; BROKEN: " + broken) +
           (controller->impossible_events() > 0 ? "; IMPOSSIBLE" : "");
  }
};

void conductors() {
  const auto run_scenario = [](const char* what, const std::function<void(SimulatedFleet&)>& how,
                               bool tell = false) {
    std::printf("-- %s\n", what);
    SimulatedFleet fleet(6);
    if (tell) {
      fleet.on_history = [&fleet](const std::string& line) {
        std::printf("%4lld  %s\n", static_cast<long long>(fleet.now / 1s), line.c_str());
      };
    }
    fleet.controller->start();
    how(fleet);
    fleet.run(1000s);
    std::printf("%s\n", fleet.end().c_str());
  };
  run_scenario(
      "sound", [](SimulatedFleet&) {}, true);
  run_scenario(
      "the judge stops the second stage",
      [](SimulatedFleet& f) {
        f.judge = [](const Controller& c) {
          Finding out;
          if (c.saved().stage == 1 && c.soak_time() > 5s) {
            out.verdict = rollout::Verdict::worse;
            out.description = "failed of look in a";
          } else if (c.is_soak_over()) {
            out.verdict = rollout::Verdict::passed;
          }
          return out;
        };
      },
      true);
  run_scenario("a keeper fails in the second stage", [](SimulatedFleet& f) { f.keepers["m3"].fails = true; });
  run_scenario("the rollback fails too", [](SimulatedFleet& f) {
    f.keepers["m3"].fails = true;
    f.keepers["m0"].fails_back = true;
  });
  run_scenario("a keeper does not have the version", [](SimulatedFleet& f) { f.keepers["m5"].has = false; });
  run_scenario("a keeper is never reached", [](SimulatedFleet& f) { f.keepers["m5"].reachable = false; });
  run_scenario("half cannot be reached in the middle of a stage, for 30 s", [](SimulatedFleet& f) {
    f.run(50s);
    for (const char* name : {"m1", "m2", "m3"}) f.keepers[name].reachable = false;
    f.run(80s);
    for (auto& [name, keeper] : f.keepers) keeper.reachable = true;
  });
  run_scenario("insufficient data for longer than the longest wait", [](SimulatedFleet& f) {
    f.judge = [](const Controller& c) {
      Finding out;
      if (c.is_soak_over()) {
        out.verdict = rollout::Verdict::insufficient_data;
        out.description = "good of issue in all";
      }
      return out;
    };
  });
  run_scenario("old and new degraded alike for 20 s", [](SimulatedFleet& f) {
    f.judge = [&f](const Controller& c) {
      Finding out;
      if (f.now > 30s && f.now < 50s) {
        out.verdict = rollout::Verdict::shared_degradation;
      } else if (c.is_soak_over()) {
        out.verdict = rollout::Verdict::passed;
      }
      return out;
    };
  });
  run_scenario("a keeper rolls back by itself while the stage soaks", [](SimulatedFleet& f) {
    f.run(45s);
    for (auto& [name, keeper] : f.keepers) {
      if (keeper.version == "new") {
        keeper.version = "old";
        keeper.outcome = "back";
        break;
      }
    }
  });
  run_scenario("paused, then rolled back by an operator", [](SimulatedFleet& f) {
    f.run(40s);
    f.controller->pause();
    f.run(60s);
    std::printf("paused at %s\n", name_of(f.controller->saved().paused_from));
    f.controller->roll_back("by hand");
  });
  run_scenario("paused and resumed", [](SimulatedFleet& f) {
    f.run(40s);
    f.controller->pause();
    f.run(60s);
    f.controller->resume();
  });
}

// The controller is replaced at random moments, with sound keepers and with keepers that fail at random. No
// keeper may be ordered to change twice, no two stages may be under way at a time, and every rollout has to
// end.
void successors() {
  std::map<std::string, int> ends;
  int broken = 0, open = 0;
  for (std::uint32_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937 random(seed);
    SimulatedFleet fleet(6);
    const bool sound = seed % 2 == 0;
    if (!sound) {
      for (auto& [name, keeper] : fleet.keepers) {
        keeper.fails = random() % 12 == 0;
        keeper.fails_back = random() % 20 == 0;
      }
      fleet.judge = [&random](const Controller& c) {
        Finding out;
        const auto drawn = random() % 200;
        out.verdict = drawn == 0         ? rollout::Verdict::worse
                      : drawn == 1       ? rollout::Verdict::harm
                      : drawn < 20       ? rollout::Verdict::shared_degradation
                      : drawn < 40       ? rollout::Verdict::insufficient_data
                      : c.is_soak_over() ? rollout::Verdict::passed
                                         : rollout::Verdict::undecided;
        return out;
      };
    }
    fleet.controller->start();
    for (int i = 0; i < 2000 && !fleet.controller->is_over(); ++i) {
      if (random() % 15 == 0) {
        fleet.take_over();  // actions that were decided and not yet carried out are lost
        fleet.controller->start();
      }
      if (!sound && random() % 40 == 0)
        fleet.keepers["m" + std::to_string(random() % 6)].reachable = random() % 3 != 0;
      if (random() % 200 == 0) fleet.controller->pause();
      if (fleet.controller->state() == State::paused && random() % 10 == 0) fleet.controller->resume();
      fleet.step();
    }
    for (auto& [name, keeper] : fleet.keepers) keeper.reachable = true;
    fleet.run(fleet.now + 600s);
    if (!fleet.broken.empty() || fleet.controller->impossible_events() > 0) {
      if (++broken <= 3) std::printf("seed %u: %s\n", seed, fleet.end().c_str());
    }
    if (!fleet.controller->is_over()) {
      if (++open <= 3) std::printf("seed %u: no end: %s\n", seed, fleet.end().c_str());
    }
    ends[std::string(sound ? "sound: " : "failing: ") + name_of(fleet.controller->state())] += 1;
  }
  std::printf("2000 rollouts under successors: broken %d, without an end %d\n", broken, open);
  for (const auto& [end, count] : ends) std::printf("  %s%s\n", end.c_str(), count > 0 ? "" : " NEVER");
}

void fleets() {
  const auto run_scenario = [](const char* what, int runs, const emulator::FleetModel& fleet,
                               const emulator::Flaw& flaw) {
    std::map<std::string, int> ends;
    for (int i = 1; i <= runs; ++i) {
      const emulator::RolloutResult r =
          emulator::roll(fleet, flaw, emulator::usual_plan(), static_cast<std::uint32_t>(i));
      ends[std::string(name_of(r.end)) + " in stage " + std::to_string(r.stage + 1) +
           (r.impossible > 0 ? ", IMPOSSIBLE" : "")] += 1;
    }
    std::printf("%s:", what);
    for (const auto& [end, count] : ends) std::printf(" %d %s;", count, end.c_str());
    std::printf("\n");
  };
  emulator::FleetModel fleet;
  fleet.gatherers = 300;
  emulator::Flaw flaw;
  run_scenario("sound", 15, fleet, flaw);
  flaw.bad = 0.02;
  run_scenario("2% lost", 10, fleet, flaw);
  flaw.bad = 0;
  flaw.others = 0.5;
  run_scenario("degrades the old version", 10, fleet, flaw);
  flaw.others = 0;
  fleet.trouble = true;
  run_scenario("sound, with shared degradations", 15, fleet, flaw);
}

}  // namespace

int main(int count, char** words) {
  const std::map<std::string, std::function<void()>> cases{{"plans", plans},
                                                           {"verdicts", verdicts},
                                                           {"conductors", conductors},
                                                           {"successors", successors},
                                                           {"fleets", fleets}};
  const auto at = count == 2 ? cases.find(words[1]) : cases.end();
  if (at == cases.end()) return 2;
  at->second();
  return 0;
}
