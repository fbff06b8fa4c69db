// A rolling change in the small: the shipped conductor (rollout::Controller), up to two of them, over two or
// three keepers that judge orders by the shipped keeper::check_order and keep them by
// keeper::Supervisor::state_with, orders that are lost, repeated and overtaken on their way, reports that
// come late, a conductor that is killed or paused, and a successor with or without what it kept. A process of
// a keeper comes up or does not; how it does that is keeper::Supervisor's own table.
#include <algorithm>
#include <array>
#include <cstdlib>

#include "explore/worlds.h"
#include "keeper/supervisor.h"
#include "rollout/controller.h"

namespace marbledyke::explore {
namespace {

using namespace std::chrono_literals;
using keeper::Order;
using keeper::Outcome;
using rollout::Controller;
using rollout::State;

constexpr int kKeepers = 3;  // at most

constexpr int kMostOrders = 3;  // on their way at a time; a fourth is lost
constexpr int kMostSteps = 2;   // that an order is on its way, or a keeper at it
constexpr Duration kStep = 3s;
constexpr Duration kHorizon = 40s;
constexpr Duration kWall = 1'000'000s;
constexpr const char* kOld = "v1";
constexpr const char* kNew = "v2";

// What may go wrong, and how often, in one rollout: each of these once, and so many in all.
struct Left {
  int all = 2;
  int losses = 1, repeats = 1, held = 1, failures = 1, cuts = 1, successions = 1, late_reports = 1,
      turns_of_the_former = 1, worse = 1, by_hand = 1;
  std::string line() const {
    std::string out;
    for (const int one : {all, losses, repeats, held, failures, cuts, successions, late_reports,
                          turns_of_the_former, worse, by_hand})
      out += std::to_string(one);
    return out;
  }
  bool may(int one) const { return one > 0 && all > 0; }
  void take(int& one) {
    one -= 1;
    all -= 1;
  }
};

const rollout::Plan& plan() {
  static const rollout::Plan plan = [] {
    rollout::Plan out;
    out.name = "small";
    out.version = kNew;
    out.baseline_time = 3s;
    out.burn_in = 0s;
    out.swap_timeout = 12s;
    out.max_wait = 24s;
    out.stages = {{"one", 1, 0, "", "", 3s}, {"all", 0, 1, "", "", 3s}};
    return out;
  }();
  return plan;
}

int number_from(const char* variable, int otherwise) {
  const char* const stated = std::getenv(variable);
  return stated == nullptr ? otherwise : std::atoi(stated);
}

const std::vector<rollout::Member>& members() {
  static const std::vector<rollout::Member> all = [] {
    std::vector<rollout::Member> out = {{"k0", "a", {}}, {"k1", "a", {}}, {"k2", "a", {}}};
    out.resize(static_cast<std::size_t>(std::clamp(number_from("MARBLEDYKE_KEEPERS", 2), 2, kKeepers)));
    return out;
  }();
  return all;
}

int count() { return static_cast<int>(members().size()); }

struct Keeper {
  keeper::KeeperState kept;
  bool reachable = true;
  int uses = 0;  // times that the new version was begun there, since it was last taken back
  std::uint64_t highest = 0;
  int cut = 0;   // steps for which it cannot be reached; three at most
  int busy = 0;  // steps for which it has been at it; two at most
};

// It comes within a step, unless it is held on its way, which is one of the faults.
struct OnItsWay {
  int to = 0;
  Order order;
  int age = 0;
  bool held = false;
};

class RolloutWorld final : public World {
 public:
  explicit RolloutWorld(std::string plant) : plant_(std::move(plant)) {
    left_.all = number_from("MARBLEDYKE_FAULTS", left_.all);
    for (Keeper& one : keepers_) {
      one.kept.in_force = kOld;
      one.kept.outcome = Outcome::done;
      one.kept.should_run = true;
    }
    take_over(true);
  }
  RolloutWorld(const RolloutWorld& other) = default;

  std::unique_ptr<World> copy() const override { return std::make_unique<RolloutWorld>(*this); }

  enum Choice {
    kTime = 0,
    kArrives = 1,  // and so on, by its place
    kLost = kArrives + kMostOrders,
    kRepeated = kLost + kMostOrders,
    kComesUp = kRepeated + kMostOrders,
    kFails = kComesUp + kKeepers,
    kCut = kFails + kKeepers,
    kHealed = kCut + kKeepers,
    kSaid = kHealed + kKeepers,
    kHeardLate = kSaid + kKeepers,
    kTakesBack = kHeardLate + 1,
    kKilled = kTakesBack + kKeepers,
    kElsewhere,
    kPaused,
    kFormer,
    kWorse,
    kByHand,
    kHeld,
  };

  bool can(int choice) const override {
    const auto in = [&](int first, int many) {
      return choice >= first &&
             choice < first + (many == kKeepers && first >= kComesUp && first != kHeld ? count() : many);
    };
    const auto it = [&](int first) -> const Keeper& {
      return keepers_[static_cast<std::size_t>(choice - first)];
    };
    const auto on_way = [&](int first) { return choice - first < static_cast<int>(orders_.size()); };
    if (choice == kTime)
      return std::none_of(orders_.begin(), orders_.end(),
                          [](const OnItsWay& one) { return !one.held && one.age >= 1; }) &&
             std::none_of(keepers_.begin(), keepers_.end(),
                          [](const Keeper& one) { return one.busy >= kMostSteps; });
    if (in(kHeld, kMostOrders)) return on_way(kHeld) && left_.held > 0 && left_.all > 0;
    if (in(kArrives, kMostOrders)) return on_way(kArrives);
    if (in(kLost, kMostOrders)) return on_way(kLost) && left_.may(left_.losses);
    if (in(kRepeated, kMostOrders)) return on_way(kRepeated) && left_.may(left_.repeats);
    if (in(kComesUp, kKeepers))
      return it(kComesUp).kept.outcome == Outcome::under_way ||
             it(kComesUp).kept.outcome == Outcome::rolling_back;
    if (in(kFails, kKeepers))
      return it(kFails).kept.outcome == Outcome::under_way && it(kFails).kept.in_force == kNew &&
             left_.may(left_.failures);
    if (in(kCut, kKeepers)) return it(kCut).reachable && left_.may(left_.cuts);
    if (in(kHealed, kKeepers)) return !it(kHealed).reachable;
    if (in(kSaid, kKeepers)) return !late_ && it(kSaid).reachable && left_.may(left_.late_reports);
    if (choice == kHeardLate) return late_.has_value();
    // Its trial is longer than any conductor waits, so it runs out only where nobody is heard.
    if (in(kTakesBack, kKeepers))
      return it(kTakesBack).kept.outcome == Outcome::on_trial &&
             (it(kTakesBack).cut >= 3 || controller_->is_over());
    if (choice == kKilled || choice == kElsewhere || choice == kPaused)
      return left_.may(left_.successions) && !controller_->is_over();
    if (choice == kFormer) return former_ != nullptr && left_.turns_of_the_former > 0;
    if (choice == kWorse) return left_.may(left_.worse) && !worse_;
    if (choice == kByHand) return left_.may(left_.by_hand) && !controller_->is_over();
    return false;
  }

  std::string name(int choice) const override {
    const auto in = [&](int first, int count) { return choice >= first && choice < first + count; };
    const auto keeper = [&](int first) { return "k" + std::to_string(choice - first); };
    const auto order = [&](int first) {
      const OnItsWay& one = orders_[static_cast<std::size_t>(choice - first)];
      return std::string(keeper::name_of(one.order.kind)) + " " + one.order.version + " (epoch " +
             std::to_string(one.order.epoch) + ", " + std::to_string(one.order.number) + ") to k" +
             std::to_string(one.to);
    };
    if (choice == kTime) return "3 s pass; " + std::string(rollout::name_of(controller_->state()));
    if (in(kArrives, kMostOrders)) return "arrives: " + order(kArrives);
    if (in(kLost, kMostOrders)) return "is lost: " + order(kLost);
    if (in(kRepeated, kMostOrders)) return "arrives, and will once more: " + order(kRepeated);
    if (in(kComesUp, kKeepers)) return keeper(kComesUp) + " comes up with what it was ordered";
    if (in(kFails, kKeepers)) return keeper(kFails) + " fails with it, and goes back";
    if (in(kCut, kKeepers)) return keeper(kCut) + " is cut off";
    if (in(kHealed, kKeepers)) return keeper(kHealed) + " can be reached again";
    if (in(kSaid, kKeepers)) return keeper(kSaid) + " says how it stands, which comes late";
    if (choice == kHeardLate) return "what was said before is heard now";
    if (in(kTakesBack, kKeepers)) return keeper(kTakesBack) + " takes it back by itself: its trial is over";
    if (choice == kKilled) return "the conductor is killed; a successor goes on from what it kept";
    if (choice == kElsewhere) return "the conductor is killed; a successor on another machine begins anew";
    if (choice == kPaused) return "the conductor stands still; a successor goes on from what it kept";
    if (choice == kFormer) return "the former conductor has a turn";
    if (choice == kWorse) return "the judge says worse from now on";
    if (in(kHeld, kMostOrders)) return "is held on its way: " + order(kHeld);
    return "a person wants it back";
  }

  void take(int choice) override {
    const auto in = [&](int first, int count) { return choice >= first && choice < first + count; };
    const auto it = [&](int first) -> Keeper& { return keepers_[static_cast<std::size_t>(choice - first)]; };
    const auto number = [&](int first) { return static_cast<std::size_t>(choice - first); };
    if (choice == kTime) {
      now_ += kStep;
      for (OnItsWay& one : orders_) one.age = std::min(one.age + 1, kMostSteps);
      for (Keeper& one : keepers_) {
        const bool at_it =
            one.kept.outcome == Outcome::under_way || one.kept.outcome == Outcome::rolling_back;
        one.busy = at_it ? one.busy + 1 : 0;
        one.cut = one.reachable ? 0 : std::min(one.cut + 1, 3);
      }
      turn(*controller_, true);
    } else if (in(kArrives, kMostOrders)) {
      const OnItsWay one = orders_[number(kArrives)];
      orders_.erase(orders_.begin() + (choice - kArrives));
      arrives(one);
    } else if (in(kLost, kMostOrders)) {
      left_.take(left_.losses);
      orders_.erase(orders_.begin() + (choice - kLost));
    } else if (in(kRepeated, kMostOrders)) {
      left_.take(left_.repeats);
      arrives(OnItsWay(orders_[number(kRepeated)]));
    } else if (in(kComesUp, kKeepers)) {
      keeper::KeeperState& kept = it(kComesUp).kept;
      const bool back = kept.outcome == Outcome::rolling_back;
      const bool trial = !back && kept.order && kept.order->trial > Duration::zero();
      kept.outcome = back ? Outcome::rolled_back : trial ? Outcome::on_trial : Outcome::done;
      it(kComesUp).busy = 0;
    } else if (in(kFails, kKeepers)) {
      left_.take(left_.failures);
      goes_back(it(kFails));
    } else if (in(kCut, kKeepers)) {
      left_.take(left_.cuts);
      it(kCut).reachable = false;
    } else if (in(kHealed, kKeepers)) {
      it(kHealed).reachable = true;
    } else if (in(kSaid, kKeepers)) {
      left_.take(left_.late_reports);
      late_ = {choice - kSaid, report_of(it(kSaid))};
    } else if (choice == kHeardLate) {
      own_controller().on_report(members()[static_cast<std::size_t>(late_->first)].name, late_->second);
      late_.reset();
      carry_out(*controller_);
    } else if (in(kTakesBack, kKeepers)) {
      goes_back(it(kTakesBack));
      took_back_ = true;
    } else if (choice == kKilled || choice == kElsewhere || choice == kPaused) {
      left_.take(left_.successions);
      former_ = choice == kPaused ? controller_ : nullptr;
      take_over(choice != kElsewhere);
    } else if (choice == kFormer) {
      left_.turns_of_the_former -= 1;
      Controller own(*former_);
      turn(own, false);
      former_ = std::make_shared<Controller>(own);
    } else if (choice == kWorse) {
      left_.take(left_.worse);
      worse_ = true;
    } else if (in(kHeld, kMostOrders)) {
      left_.take(left_.held);
      orders_[number(kHeld)].held = true;
    } else {
      left_.take(left_.by_hand);
      own_controller().roll_back("by hand");
      carry_out(*controller_);
    }
  }

  std::string line() const override {
    std::string out = left_.line() + (worse_ ? "w" : "") + (took_back_ ? "t" : "") + broken_ + '|' +
                      controller_->fingerprint(kHorizon) + '|' +
                      (former_ && left_.turns_of_the_former > 0 ? former_->fingerprint(kHorizon) : "") + '|' +
                      to_json(disk_).dump();
    for (const Keeper& one : keepers_)
      out += "|" + keeper::serialize(one.kept) + (one.reachable ? "r" : "c") + std::to_string(one.uses) +
             "," + std::to_string(one.highest) + "," + std::to_string(one.busy) + std::to_string(one.cut);
    for (const OnItsWay& one : orders_)
      out += "|" + std::to_string(one.to) + keeper::to_json(one.order).dump() + std::to_string(one.age) +
             (one.held ? "h" : "");
    if (late_)
      out += "|late " + std::to_string(late_->first) + late_->second.active_version +
             late_->second.previous_version + late_->second.outcome +
             std::to_string(late_->second.order_epoch) + std::to_string(late_->second.order_number);
    return out;
  }

  std::string broken() const override { return broken_; }

  // At rest for good: what is said to have come about has.
  bool may_end() const override { return controller_->is_over(); }

 private:
  Controller& own_controller() {
    controller_ = std::make_shared<Controller>(*controller_);
    return *controller_;
  }

  void take_over(bool with_kept) {
    late_.reset();  // it was said to the former one
    std::uint64_t epoch = with_kept ? disk_.epoch : 0;
    for (const Keeper& one : keepers_) {
      if (one.reachable && one.kept.order) epoch = std::max(epoch, one.kept.order->epoch);
    }
    if (plant_ != "a successor takes no new epoch" || epoch == 0) epoch += 1;
    rollout::SavedState from = with_kept ? disk_ : rollout::SavedState{};
    if (plant_ == "a successor forgets what was ordered") {
      for (auto& [name, at] : from.keepers)
        at = at == rollout::KeeperState::ordered ? rollout::KeeperState::old : at;
    }
    controller_ = std::make_shared<Controller>(plan(), members(), from, epoch, now_, kWall);
    controller_->start();
    carry_out(*controller_);
  }

  rollout::KeeperReport report_of(const Keeper& one) const {
    rollout::KeeperReport out;
    out.active_version = one.kept.in_force;
    if (plant_ != "keepers do not say what they had before") out.previous_version = one.kept.former;
    out.outcome = keeper::name_of(one.kept.outcome);
    out.order_epoch = one.kept.order ? one.kept.order->epoch : 0;
    out.order_number = one.kept.order ? one.kept.order->number : 0;
    out.has_version = true;
    // The former process serves until the new one does.
    out.is_serving = true;
    if (plant_ == "a keeper says done before it is" && one.kept.outcome == Outcome::under_way)
      out.outcome = "on_trial";
    return out;
  }

  void turn(Controller& controller, bool heard) {
    Controller* own = &controller;
    if (heard) own = &own_controller();
    for (int k = 0; heard && k < count(); ++k) {
      const Keeper& one = keepers_[static_cast<std::size_t>(k)];
      if (one.reachable) own->on_report(members()[static_cast<std::size_t>(k)].name, report_of(one));
    }
    own->on_tick(now_, kWall);
    rollout::Finding finding;
    finding.verdict = worse_                ? rollout::Verdict::worse
                      : own->is_soak_over() ? rollout::Verdict::passed
                                            : rollout::Verdict::undecided;
    if (own->saved().stage >= 0) own->on_finding(finding);
    carry_out(*own);
  }

  void carry_out(Controller& controller) {
    const bool leads = &controller == controller_.get();
    std::vector<rollout::Action> actions;
    while (const auto action = controller.next_action()) actions.push_back(*action);
    if (plant_ == "orders go out before they are written down" && leads) {
      // Killed in between: what was ordered is on its way and nowhere else.
      for (const rollout::Action& action : actions) order(controller, action);
      if (std::any_of(actions.begin(), actions.end(),
                      [](const auto& action) { return action.kind == rollout::Action::Kind::use; }))
        return;
    }
    for (const rollout::Action& action : actions) {
      if (action.kind == rollout::Action::Kind::save_state && leads) disk_ = controller.saved();
      if (plant_ != "orders go out before they are written down" || !leads) order(controller, action);
    }
    if (leads) disk_ = controller.saved();
    if (controller.impossible_events() > 0) broken_ = "an event came that cannot come";
    if (!leads || former_ != nullptr) return;
    const State state = controller.state();
    for (const Keeper& one : keepers_) {
      if (&one - keepers_.data() >= count()) break;
      if (state == State::done && (one.kept.in_force != kNew || one.kept.outcome != Outcome::done) &&
          !took_back_)
        broken_ = "done, and a keeper is on trial still or has gone back";
      if (state == State::returned && one.kept.in_force == kNew)
        broken_ = "returned, and a keeper has the new version";
    }
  }

  void order(const Controller& controller, const rollout::Action& action) {
    using Kind = rollout::Action::Kind;
    if (action.kind != Kind::use && action.kind != Kind::confirm && action.kind != Kind::roll_back) return;
    // The second stage only on what the first one shows.
    const std::string first = rollout::stages_of(plan(), members()).front().front();
    const rollout::KeeperState shown = controller.saved().keepers.at(first);
    if (action.kind == Kind::use && action.keeper != first && shown != rollout::KeeperState::on_trial &&
        shown != rollout::KeeperState::confirmed)
      broken_ = "the second stage begins without the first";
    OnItsWay out;
    out.to = action.keeper[1] - '0';
    out.order.epoch = controller.saved().epoch;
    out.order.number = action.number;
    out.order.kind = action.kind == Kind::confirm ? keeper::OrderKind::confirm : keeper::OrderKind::use;
    if (action.kind != Kind::confirm) out.order.version = action.version;
    if (action.kind == Kind::use) {
      out.order.trial = 60s;
      if (plant_ != "what is in force is not asked")
        out.order.if_in_force = controller.saved().previous_versions.at(action.keeper);
    }
    if (orders_.size() < static_cast<std::size_t>(kMostOrders)) orders_.push_back(std::move(out));
  }

  void goes_back(Keeper& one) {
    one.kept.in_force = one.kept.former;
    one.kept.outcome = Outcome::rolling_back;
    one.busy = 0;
    one.uses = 0;
  }

  void arrives(const OnItsWay& what) {
    Keeper& one = keepers_[static_cast<std::size_t>(what.to)];
    if (!one.reachable) return;
    keeper::OrderVerdict verdict = keeper::check_order(what.order, one.kept, kWall, true);
    const bool idle = one.kept.outcome != Outcome::under_way && one.kept.outcome != Outcome::rolling_back;
    if (plant_ == "keepers take any epoch" && verdict == keeper::OrderVerdict::old_epoch && idle)
      verdict = keeper::OrderVerdict::accepted;
    if (plant_ == "keepers take an order twice" && verdict == keeper::OrderVerdict::repeated && idle)
      verdict = keeper::OrderVerdict::accepted;
    if (verdict != keeper::OrderVerdict::accepted) return;
    if (what.order.epoch < one.highest) broken_ = "an order of a former epoch was taken";
    one.highest = std::max(one.highest, what.order.epoch);
    const bool anew =
        what.order.kind == keeper::OrderKind::use && what.order.version == kNew && one.kept.in_force != kNew;
    const bool again =
        what.order.kind == keeper::OrderKind::use && what.order.version == kNew && one.kept.in_force == kNew;
    one.kept = keeper::Supervisor::state_with(one.kept, what.order, kWall);
    if (what.order.kind == keeper::OrderKind::confirm) one.kept.outcome = Outcome::done;
    if (what.order.kind == keeper::OrderKind::use && what.order.version == kOld) one.uses = 0;
    if (again) broken_ = "a step was repeated at k" + std::to_string(what.to);
    if (!anew) return;
    one.uses += 1;
    if (one.uses > 1) broken_ = "a step was repeated at k" + std::to_string(what.to);
    // One at a time.
    int under_way = 0;
    for (const Keeper& each : keepers_)
      under_way += each.kept.in_force == kNew && each.kept.outcome == Outcome::under_way ? 1 : 0;
    if (under_way > plan().max_concurrent && controller_->state() != State::returning)
      broken_ = "more keepers are being changed than the plan says";
  }

  std::string plant_, broken_;
  Duration now_{};
  Left left_;
  std::shared_ptr<Controller> controller_,
      former_;  // shared between copies; whoever changes one makes it its own
  rollout::SavedState disk_;
  std::array<Keeper, kKeepers> keepers_;
  std::vector<OnItsWay> orders_;
  std::optional<std::pair<int, rollout::KeeperReport>> late_;
  bool worse_ = false, took_back_ = false;
};

}  // namespace

std::unique_ptr<World> first_world(const std::string& plant) { return std::make_unique<RolloutWorld>(plant); }

std::vector<std::string> plants() {
  return {"a successor takes no new epoch",
          "a successor forgets what was ordered",
          "orders go out before they are written down",
          "keepers take any epoch",
          "keepers take an order twice",
          "a keeper says done before it is",
          "what is in force is not asked",
          "keepers do not say what they had before"};
}

}  // namespace marbledyke::explore
