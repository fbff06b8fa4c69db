#include "emulator/rollouts.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>

namespace marbledyke::emulator {

using namespace std::chrono_literals;
using rollout::Action;
using rollout::Block;
using rollout::Controller;
using rollout::Judge;
using rollout::KeeperState;
using rollout::Side;
using rollout::State;

namespace {

constexpr Duration kWall = 1'700'000'000s;
constexpr Duration kProof = 4s;       // from the order until a keeper has proved it
constexpr Duration kLongest = 7200s;  // a rollout that takes longer is given up as it is

struct One {
  int zone = 0;
  double unlike = 1;
  std::string version = "old", outcome = "done";
  std::uint64_t number = 0;
  Duration changes_at = Duration::max();
  std::string changes_to;
  Duration started{};
};

}  // namespace

rollout::Plan usual_plan() {
  rollout::Plan out;
  out.name = out.version = "new";
  out.max_concurrent = 20;
  out.baseline_time = 60s;
  out.burn_in = 5s;
  out.stages = {{"first", 0, 0.02, "", "", 120s},
                {"tenth", 0, 0.1, "", "", 120s},
                {"half", 0, 0.5, "", "", 120s},
                {"all", 0, 1.0, "", "", 30s}};
  return out;
}

RolloutResult roll(const FleetModel& model, const Flaw& flaw, const rollout::Plan& plan, std::uint32_t seed) {
  std::mt19937 chance(seed * 2654435761U + 9);
  std::vector<One> fleet;
  std::vector<rollout::Member> members;
  for (int i = 0; i < model.gatherers; ++i) {
    One one;
    one.zone = i % model.zones;
    one.unlike = std::exp(std::normal_distribution<double>(0, model.unlike)(chance));
    fleet.push_back(one);
    members.push_back({"m" + std::to_string(i), "z" + std::to_string(one.zone), {}});
  }
  const auto between = [&](double a, double b) {
    return std::uniform_real_distribution<double>(a, b)(chance);
  };
  std::vector<std::pair<double, double>> troubles;
  if (model.trouble) {
    for (const auto& [from, until] : {std::pair{70.0, 250.0}, std::pair{300.0, 600.0}}) {
      const double at = between(from, until);
      troubles.emplace_back(at, at + 40);
    }
  }
  const int ops = static_cast<int>(model.op_share.size());
  Controller controller(plan, members, {}, 1, 0s, kWall);
  std::unique_ptr<Judge> judge;
  std::vector<std::vector<std::vector<Side>>> before;  // by block, gatherer, op type
  RolloutResult out;
  const Duration block = std::chrono::seconds(plan.limits.block_seconds);
  controller.start();

  const auto is_new = [&](const One& one) { return one.version == plan.version; };
  const auto stratum = [&](int op, int zone) {
    return rollout::Stratum{"op" + std::to_string(op), "z" + std::to_string(zone)};
  };
  // What each gatherer does in a block of seconds.
  const auto drawn = [&](Duration now) {
    std::vector<std::vector<Side>> sides(fleet.size(), std::vector<Side>(static_cast<std::size_t>(ops)));
    double share_new = 0;
    for (const One& one : fleet) share_new += is_new(one) ? 1.0 / static_cast<double>(fleet.size()) : 0;
    double common = 0;
    for (const auto& [from, until] : troubles) {
      const double t = std::chrono::duration<double>(now).count();
      if (t >= from && t < until) common = model.trouble_bad;
    }
    for (std::size_t g = 0; g < fleet.size(); ++g) {
      const One& one = fleet[g];
      const bool cluster = between(0, 1) < model.clusters;
      for (int op = 0; op < ops; ++op) {
        const double mean =
            model.rate * model.op_share[static_cast<std::size_t>(op)] * plan.limits.block_seconds;
        const auto asked = static_cast<std::uint64_t>(std::poisson_distribution<int>(mean)(chance));
        const double own = std::min(model.bad * one.unlike + common + (cluster ? model.cluster_bad : 0), 1.0);
        const bool here = (flaw.op_type < 0 || flaw.op_type == op) &&
                          (flaw.zone < 0 || flaw.zone == one.zone) && now - one.started >= flaw.after;
        double by_flaw = is_new(one) && here ? flaw.bad : 0;
        if (!is_new(one)) by_flaw += flaw.others * share_new;
        const auto bad = static_cast<std::uint64_t>(
            std::binomial_distribution<int>(static_cast<int>(asked), std::min(own + by_flaw, 1.0))(chance));
        Side& side = sides[g][static_cast<std::size_t>(op)];
        side.received = side.completed = asked;
        side.good = asked - bad;
        side.failed = bad / 2;
        side.pushed_back = bad - bad / 2;
        side.answered = asked - bad;
        side.slow = static_cast<std::uint64_t>(
            std::binomial_distribution<int>(static_cast<int>(side.answered), 0.1)(chance));
        side.sends = asked * 4;
        side.repeated_sends = static_cast<std::uint64_t>(
            std::binomial_distribution<int>(static_cast<int>(side.sends), 0.03)(chance));
        side.cpu_seconds = 50e-6 * static_cast<double>(asked) * between(0.95, 1.05);
        out.asked += static_cast<double>(asked);
        out.lost += static_cast<double>(asked) * by_flaw;
      }
    }
    return sides;
  };
  // Who is compared: the new ones with those that are old still; where none are, with nobody.
  const auto block_of = [&](const std::vector<std::vector<Side>>& sides, const std::vector<char>& side_new,
                            const std::vector<char>& counts) {
    Block out_block;
    for (std::size_t g = 0; g < fleet.size(); ++g) {
      if (counts[g] == 0) continue;
      for (int op = 0; op < ops; ++op) {
        auto& [a, b] = out_block[stratum(op, fleet[g].zone)];
        (side_new[g] != 0 ? b : a).merge(sides[g][static_cast<std::size_t>(op)]);
      }
    }
    return out_block;
  };

  Duration next_block = block;
  for (Duration now{}; now < kLongest && !controller.is_over(); now += 1s) {
    for (std::size_t g = 0; g < fleet.size(); ++g) {
      One& one = fleet[g];
      if (now < one.changes_at) continue;
      one.changes_at = Duration::max();
      one.outcome = one.changes_to == plan.version ? "on_trial" : "done";
      if (one.version != one.changes_to) one.started = now;
      one.version = one.changes_to;
    }
    controller.on_tick(now, kWall + now);
    for (std::size_t g = 0; g < fleet.size(); ++g) {
      const One& one = fleet[g];
      rollout::KeeperReport report;
      report.active_version = one.version;
      report.outcome = one.outcome;
      report.order_epoch = 1;
      report.order_number = one.number;
      report.has_version = report.is_serving = true;
      controller.on_report(members[g].name, report);
    }
    while (const auto action = controller.next_action()) {
      switch (action->kind) {
        case Action::Kind::use:
        case Action::Kind::roll_back: {
          One& one = fleet[static_cast<std::size_t>(std::stoi(action->keeper.substr(1)))];
          one.outcome = "under_way";
          one.number = action->number;
          one.changes_to = action->version;
          one.changes_at = now + kProof;
          break;
        }
        case Action::Kind::confirm:
          fleet[static_cast<std::size_t>(std::stoi(action->keeper.substr(1)))].outcome = "done";
          break;
        case Action::Kind::start_comparison: {
          judge = std::make_unique<Judge>(plan.limits, rollout::max_comparisons(plan, ops, model.zones));
          for (const auto& sides : before) {
            std::vector<char> side_new(fleet.size()), counts(fleet.size(), 1);
            for (std::size_t g = 0; g < fleet.size(); ++g) side_new[g] = is_new(fleet[g]) ? 1 : 0;
            judge->add_baseline_block(block_of(sides, side_new, counts));
          }
          judge->start_comparison();
          break;
        }
        default:
          break;
      }
    }
    if (now < next_block) continue;
    next_block += block;
    const auto sides = drawn(now);
    if (controller.state() == State::checking || controller.state() == State::watching)
      before.push_back(sides);
    if (judge == nullptr) continue;
    std::vector<char> side_new(fleet.size()), counts(fleet.size());
    for (std::size_t g = 0; g < fleet.size(); ++g) {
      side_new[g] = is_new(fleet[g]) ? 1 : 0;
      counts[g] = now - fleet[g].started >= plan.burn_in + block || fleet[g].started == Duration{} ? 1 : 0;
    }
    if (controller.state() == State::soaking || controller.state() == State::waiting)
      judge->add_comparison_block(block_of(sides, side_new, counts));
    controller.on_finding(judge->evaluate(controller.is_soak_over()));
  }
  out.end = controller.state();
  out.stage = controller.saved().stage;
  out.why = controller.saved().reason;
  out.seconds =
      static_cast<double>(controller.saved().since_ms) / 1000 - std::chrono::duration<double>(kWall).count();
  out.impossible = controller.impossible_events();

  // By the clock alone: each stage for its soak, and the last as long as it takes to see it by eye: 10
  // minutes.
  double changed = 0;
  const auto stages = rollout::stages_of(plan, members);
  for (std::size_t i = 0; i < stages.size(); ++i) {
    changed += static_cast<double>(stages[i].size());
    const double time =
        std::chrono::duration<double>(plan.stages[i].soak).count() + (i + 1 == stages.size() ? 600 : 0);
    double flawed = 0, weight = 0;
    for (int op = 0; op < ops; ++op) {
      for (int zone = 0; zone < model.zones; ++zone) {
        const double share = model.op_share[static_cast<std::size_t>(op)] / model.zones;
        weight += share;
        if ((flaw.op_type < 0 || flaw.op_type == op) && (flaw.zone < 0 || flaw.zone == zone)) flawed += share;
      }
    }
    out.lost_by_clock += changed * model.rate * time * flaw.bad * flawed / std::max(weight, 1e-9);
    out.lost_by_clock += (static_cast<double>(fleet.size()) - changed) * model.rate * time * flaw.others *
                         changed / static_cast<double>(fleet.size());
  }
  return out;
}

}  // namespace marbledyke::emulator
