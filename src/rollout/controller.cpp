#include "rollout/controller.h"

#include <algorithm>

#include "config/fields.h"

namespace marbledyke::rollout {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char* kStateNames[] = {"planned",  "checking", "watching",   "swapping",  "soaking",
                                       "waiting",  "paused",   "confirming", "returning", "done",
                                       "returned", "held",     "refused"};
constexpr const char* kEventNames[] = {"start",       "ready",   "not ready",  "watched", "swapped",
                                       "swap failed", "passed",  "too little", "goes on", "stop",
                                       "waited out",  "pause",   "resume",     "back",    "all back",
                                       "back failed", "all told"};
// An order that no report mentions after this time was lost and is sent again.
constexpr Duration kOrderResendInterval = 5s;
// A report that arrives this long after an order was sent was made after the keeper had received the order.
constexpr Duration kReportDelay = 2s;
constexpr const char* kKeeperStateNames[] = {"old",          "ordered", "on_trial", "confirmed",
                                             "back_ordered", "back",    "held"};

enum class Transition {
  ignore,
  impossible,
  start_checking,
  start_watching,
  start_first_stage,
  start_soak,
  finish_stage,  // confirms the keepers of the stage; starts the next stage, or confirms the last one
  start_waiting,
  resume_soak,
  pause,
  resume,  // returns to the state in which the rollout was paused
  start_rollback,
  refuse,  // ends the rollout before any keeper was changed
  finish
};

struct Cell {
  Transition transition;
  State next;
};

using S = State;
constexpr Cell ignored(S s) { return {Transition::ignore, s}; }
constexpr Cell impossible(S s) { return {Transition::impossible, s}; }

// Columns: start, keepers_ready, keepers_not_ready, baseline_recorded, stage_swapped, swap_failed,
// stage_passed, inconclusive, conclusive_again, stop, wait_expired, pause, resume, roll_back,
// rollback_complete, rollback_failed, all_confirmed
constexpr Cell kTable[kStateCount][kEventCount] = {
    /* planned */
    {{Transition::start_checking, S::checking},
     impossible(S::planned),
     impossible(S::planned),
     impossible(S::planned),
     impossible(S::planned),
     impossible(S::planned),
     impossible(S::planned),
     impossible(S::planned),
     impossible(S::planned),
     ignored(S::planned),
     impossible(S::planned),
     ignored(S::planned),
     ignored(S::planned),
     {Transition::refuse, S::refused},
     impossible(S::planned),
     impossible(S::planned),
     impossible(S::planned)},
    /* checking */
    {ignored(S::checking),
     {Transition::start_watching, S::watching},
     {Transition::refuse, S::refused},
     impossible(S::checking),
     impossible(S::checking),
     impossible(S::checking),
     impossible(S::checking),
     impossible(S::checking),
     impossible(S::checking),
     ignored(S::checking),
     impossible(S::checking),
     {Transition::pause, S::paused},
     ignored(S::checking),
     {Transition::refuse, S::refused},
     impossible(S::checking),
     impossible(S::checking),
     impossible(S::checking)},
    /* watching */
    {ignored(S::watching),
     impossible(S::watching),
     {Transition::refuse, S::refused},
     {Transition::start_first_stage, S::swapping},
     impossible(S::watching),
     {Transition::start_rollback, S::returning},
     impossible(S::watching),
     impossible(S::watching),
     impossible(S::watching),
     ignored(S::watching),
     impossible(S::watching),
     {Transition::pause, S::paused},
     ignored(S::watching),
     {Transition::refuse, S::refused},
     impossible(S::watching),
     impossible(S::watching),
     impossible(S::watching)},
    /* swapping */
    {ignored(S::swapping),
     impossible(S::swapping),
     impossible(S::swapping),
     impossible(S::swapping),
     {Transition::start_soak, S::soaking},
     {Transition::start_rollback, S::returning},
     ignored(S::swapping),
     ignored(S::swapping),
     ignored(S::swapping),
     {Transition::start_rollback, S::returning},
     {Transition::start_rollback, S::returning},
     {Transition::pause, S::paused},
     ignored(S::swapping),
     {Transition::start_rollback, S::returning},
     impossible(S::swapping),
     impossible(S::swapping),
     impossible(S::swapping)},
    /* soaking */
    {ignored(S::soaking),
     impossible(S::soaking),
     impossible(S::soaking),
     impossible(S::soaking),
     impossible(S::soaking),
     {Transition::start_rollback, S::returning},
     {Transition::finish_stage, S::swapping},
     {Transition::start_waiting, S::waiting},
     ignored(S::soaking),
     {Transition::start_rollback, S::returning},
     impossible(S::soaking),
     {Transition::pause, S::paused},
     ignored(S::soaking),
     {Transition::start_rollback, S::returning},
     impossible(S::soaking),
     impossible(S::soaking),
     impossible(S::soaking)},
    /* waiting */
    {ignored(S::waiting),
     impossible(S::waiting),
     impossible(S::waiting),
     impossible(S::waiting),
     impossible(S::waiting),
     {Transition::start_rollback, S::returning},
     {Transition::finish_stage, S::swapping},
     ignored(S::waiting),
     {Transition::resume_soak, S::soaking},
     {Transition::start_rollback, S::returning},
     {Transition::start_rollback, S::returning},
     {Transition::pause, S::paused},
     ignored(S::waiting),
     {Transition::start_rollback, S::returning},
     impossible(S::waiting),
     impossible(S::waiting),
     impossible(S::waiting)},
    /* paused: a stop by the judge rolls back nevertheless */
    {ignored(S::paused),
     ignored(S::paused),
     {Transition::refuse, S::refused},
     ignored(S::paused),
     ignored(S::paused),
     {Transition::start_rollback, S::returning},
     ignored(S::paused),
     ignored(S::paused),
     ignored(S::paused),
     {Transition::start_rollback, S::returning},
     impossible(S::paused),
     ignored(S::paused),
     {Transition::resume, S::paused},
     {Transition::start_rollback, S::returning},
     impossible(S::paused),
     impossible(S::paused),
     impossible(S::paused)},
    /* confirming: findings have no effect */
    {ignored(S::confirming),
     impossible(S::confirming),
     impossible(S::confirming),
     impossible(S::confirming),
     impossible(S::confirming),
     {Transition::start_rollback, S::returning},
     ignored(S::confirming),
     ignored(S::confirming),
     ignored(S::confirming),
     ignored(S::confirming),
     {Transition::finish, S::held},
     ignored(S::confirming),
     ignored(S::confirming),
     {Transition::start_rollback, S::returning},
     impossible(S::confirming),
     impossible(S::confirming),
     {Transition::finish, S::done}},
    /* returning */
    {ignored(S::returning),
     impossible(S::returning),
     impossible(S::returning),
     impossible(S::returning),
     impossible(S::returning),
     ignored(S::returning),
     ignored(S::returning),
     ignored(S::returning),
     ignored(S::returning),
     ignored(S::returning),
     impossible(S::returning),
     ignored(S::returning),
     ignored(S::returning),
     ignored(S::returning),
     {Transition::finish, S::returned},
     {Transition::finish, S::held},
     impossible(S::returning)},
    /* done */
    {ignored(S::done), impossible(S::done), impossible(S::done), impossible(S::done), impossible(S::done),
     ignored(S::done), ignored(S::done), ignored(S::done), ignored(S::done), ignored(S::done),
     impossible(S::done), ignored(S::done), ignored(S::done), ignored(S::done), impossible(S::done),
     impossible(S::done), impossible(S::done)},
    /* returned */
    {ignored(S::returned), impossible(S::returned), impossible(S::returned), impossible(S::returned),
     impossible(S::returned), ignored(S::returned), ignored(S::returned), ignored(S::returned),
     ignored(S::returned), ignored(S::returned), impossible(S::returned), ignored(S::returned),
     ignored(S::returned), ignored(S::returned), impossible(S::returned), impossible(S::returned),
     impossible(S::returned)},
    /* held: an operator may start the rollback again */
    {ignored(S::held),
     impossible(S::held),
     impossible(S::held),
     impossible(S::held),
     impossible(S::held),
     ignored(S::held),
     ignored(S::held),
     ignored(S::held),
     ignored(S::held),
     ignored(S::held),
     impossible(S::held),
     ignored(S::held),
     ignored(S::held),
     {Transition::start_rollback, S::returning},
     impossible(S::held),
     impossible(S::held),
     impossible(S::held)},
    /* refused */
    {ignored(S::refused), impossible(S::refused), impossible(S::refused), impossible(S::refused),
     impossible(S::refused), ignored(S::refused), ignored(S::refused), ignored(S::refused),
     ignored(S::refused), ignored(S::refused), impossible(S::refused), ignored(S::refused),
     ignored(S::refused), ignored(S::refused), impossible(S::refused), impossible(S::refused),
     impossible(S::refused)}};

template <typename E>
constexpr std::size_t index_of(E e) {
  return static_cast<std::size_t>(e);
}

bool is_idle(const KeeperReport& report) {
  return report.outcome != "under_way" && report.outcome != "returning";
}

}  // namespace

const char* name_of(State state) { return kStateNames[index_of(state)]; }
const char* name_of(Event event) { return kEventNames[index_of(event)]; }
const char* name_of(KeeperState state) { return kKeeperStateNames[index_of(state)]; }

std::optional<State> state_named(const std::string& name) {
  for (int i = 0; i < kStateCount; ++i) {
    if (name == kStateNames[i]) return static_cast<State>(i);
  }
  return std::nullopt;
}

json to_json(const SavedState& saved) {
  json keepers = json::object();
  for (const auto& [name, at] : saved.keepers) {
    keepers[name] = {{"at", name_of(at)}};
    const auto previous = saved.previous_versions.find(name);
    if (previous != saved.previous_versions.end()) keepers[name]["former"] = previous->second;
  }
  return {{"state", name_of(saved.state)}, {"stage", saved.stage},
          {"epoch", saved.epoch},          {"why", saved.reason},
          {"since_ms", saved.since_ms},    {"paused_from", name_of(saved.paused_from)},
          {"keepers", std::move(keepers)}};
}

SavedState read_saved_state(const json& from) {
  SavedState out;
  const auto state = [&](const char* field) {
    const auto found = state_named(config::text(from, field));
    if (!found) throw config::BadInput(std::string(field) + ": not a state");
    return *found;
  };
  out.state = state("state");
  out.paused_from = state("paused_from");
  out.stage = static_cast<int>(config::integer(from, "stage"));
  out.epoch = static_cast<std::uint64_t>(config::integer(from, "epoch"));
  out.reason = config::text(from, "why");
  out.since_ms = config::integer(from, "since_ms");
  for (const auto& [name, one] : config::object(from, "keepers").items()) {
    const std::string& at = config::text(one, "at");
    const auto found = std::find(std::begin(kKeeperStateNames), std::end(kKeeperStateNames), at);
    if (found == std::end(kKeeperStateNames)) throw config::BadInput("at: not a keeper state: " + at);
    out.keepers[name] = static_cast<KeeperState>(found - std::begin(kKeeperStateNames));
    if (one.contains("former")) out.previous_versions[name] = config::text(one, "former");
  }
  return out;
}

Controller::Controller(const Plan& plan, const std::vector<Member>& members, SavedState saved,
                       std::uint64_t epoch, Duration now, Duration wall)
    : plan_(plan),
      members_(members),
      stages_(stages_of(plan, members)),
      saved_(std::move(saved)),
      now_(now),
      wall_(wall),
      state_since_(now),
      soak_since_(now),
      wait_since_(now) {
  saved_.epoch = epoch;
  for (const Member& member : members_) {
    saved_.keepers.try_emplace(member.name, KeeperState::old);
    last_report_at_[member.name] = now;
  }
  // The time limits of the predecessor's orders start again, and so does the soak time.
  for (const auto& [name, at] : saved_.keepers) {
    if (at == KeeperState::ordered || at == KeeperState::back_ordered) ordered_at_[name] = now;
    if (at == KeeperState::on_trial || at == KeeperState::confirmed) changed_at_[name] = now;
  }
  if (saved_.state == State::waiting) saved_.state = State::soaking;
  queue_action(Action::Kind::save_state);
}

bool Controller::is_over() const {
  return saved_.state == State::done || saved_.state == State::returned || saved_.state == State::held ||
         saved_.state == State::refused;
}

std::vector<std::string> Controller::keepers_in(KeeperState state) const {
  std::vector<std::string> out;
  for (const auto& [name, one] : saved_.keepers) {
    if (one == state) out.push_back(name);
  }
  return out;
}

void Controller::queue_action(Action::Kind kind, const std::string& keeper, const std::string& reason) {
  Action out;
  out.kind = kind;
  out.keeper = keeper;
  out.reason = reason;
  if (kind == Action::Kind::take || kind == Action::Kind::verify || kind == Action::Kind::use)
    out.version = plan_.version;
  if (kind == Action::Kind::roll_back) out.version = saved_.previous_versions[keeper];
  if (!keeper.empty()) {
    auto& [epoch, number] = last_orders_[keeper];
    number = epoch == saved_.epoch ? number + 1 : 1;
    epoch = saved_.epoch;
    if (kind == Action::Kind::use) use_order_numbers_[keeper] = number;
    if (kind == Action::Kind::roll_back) rollback_order_numbers_.try_emplace(keeper, number);
    out.number = number;
  }
  actions_.push_back(std::move(out));
}

std::string Controller::fingerprint(Duration horizon) const {
  std::string out = name_of(saved_.state);
  const auto append = [&](const auto& value) { out += ' ' + std::to_string(value); };
  const auto age = [&](Duration when) { append(std::min((now_ - when) / 1ms, horizon / 1ms)); };
  const auto ages = [&](const std::map<std::string, Duration>& of) {
    for (const auto& [name, when] : of) {
      out += ' ' + name;
      age(when);
    }
    out += ';';
  };
  out += std::string(" from ") + name_of(saved_.paused_from);
  append(saved_.stage);
  append(saved_.epoch);
  for (const auto& [name, at] : saved_.keepers) out += ' ' + name + ' ' + name_of(at);
  for (const auto& [name, previous] : saved_.previous_versions) out += ' ' + name + ' ' + previous;
  age(state_since_);
  age(soak_since_);
  age(wait_since_);
  ages(ordered_at_);
  ages(last_report_at_);
  ages(rollback_started_at_);
  ages(resent_at_);
  for (const auto* numbers : {&use_order_numbers_, &rollback_order_numbers_}) {
    for (const auto& [name, number] : *numbers) {
      out += ' ' + name;
      append(number);
    }
    out += ';';
  }
  // Of these only the order in time has an effect.
  std::vector<std::pair<Duration, std::string>> changed;
  for (const auto& [name, when] : changed_at_) changed.emplace_back(when, name);
  std::sort(changed.begin(), changed.end());
  for (const auto& [when, name] : changed) out += ' ' + name;
  for (const auto& [name, report] : reports_) {
    out += "; " + name + ' ' + report.active_version + ' ' + report.previous_version + ' ' + report.outcome;
    append(report.order_epoch);
    append(report.order_number);
    append(static_cast<int>(report.verification));
    append(report.has_version + 2 * report.is_serving + 4 * report.gave_up);
  }
  for (const auto& [name, order] : last_orders_) {
    out += ' ' + name;
    append(order.first);
    append(order.second);
  }
  for (const Action& action : actions_)
    out += "; act " + std::to_string(static_cast<int>(action.kind)) + ' ' + action.keeper;
  return out;
}

std::optional<Action> Controller::next_action() {
  if (actions_.empty()) return std::nullopt;
  Action out = std::move(actions_.front());
  actions_.pop_front();
  return out;
}

void Controller::roll_back(const std::string& reason) { on_event(Event::roll_back, reason); }

void Controller::on_report(const std::string& keeper, const KeeperReport& report) {
  if (!saved_.keepers.contains(keeper)) return;
  // A report that the keeper made before it took the last order that it is known to have taken is outdated.
  const auto before = reports_.find(keeper);
  if (before != reports_.end() && before->second.keeper_started_ms == report.keeper_started_ms &&
      std::pair(report.order_epoch, report.order_number) <
          std::pair(before->second.order_epoch, before->second.order_number))
    return;
  last_report_at_[keeper] = now_;
  reports_[keeper] = report;
  last_orders_[keeper] = {report.order_epoch, report.order_number};
  KeeperState& at = saved_.keepers[keeper];
  const bool has_new_version = report.active_version == plan_.version;
  const bool failed = report.outcome == "back" || report.outcome == "held" || report.outcome == "refused";
  switch (at) {
    case KeeperState::old:
    case KeeperState::back:
      // The keeper has taken an order of a previous controller that was still in flight. It is treated like
      // an order of this controller.
      if (!has_new_version || saved_.state == State::checking || saved_.state == State::planned || is_over())
        return;
      if (is_idle(report)) {
        at = report.outcome == "on_trial" ? KeeperState::on_trial : KeeperState::confirmed;
        changed_at_[keeper] = now_;
      } else {
        at = KeeperState::ordered;
        ordered_at_[keeper] = now_;
      }
      queue_action(Action::Kind::log, {}, keeper + " has taken an order of a previous controller");
      return queue_action(Action::Kind::save_state);
    case KeeperState::held:
      return;
    case KeeperState::ordered:
      if (has_new_version && (report.outcome == "on_trial" || report.outcome == "done") &&
          report.is_serving) {
        at = report.outcome == "done" ? KeeperState::confirmed : KeeperState::on_trial;
        changed_at_[keeper] = now_;
        ordered_at_.erase(keeper);
        queue_action(Action::Kind::save_state);
      } else if (failed && report.order_epoch == saved_.epoch &&
                 report.order_number >= use_order_numbers_[keeper]) {
        at = report.outcome == "held" ? KeeperState::held : KeeperState::back;
        ordered_at_.erase(keeper);
        queue_action(Action::Kind::save_state);
        on_event(Event::swap_failed, keeper + ": " + report.outcome + ": " + report.reason);
      }
      return;
    case KeeperState::on_trial:
    case KeeperState::confirmed:
      if (has_new_version && !report.gave_up && report.outcome != "held") {
        if (at == KeeperState::on_trial && report.outcome == "done") {
          at = KeeperState::confirmed;
          queue_action(Action::Kind::save_state);
        }
        return;
      }
      // The keeper rolled back by itself: the new version failed, or its trial ended without a confirmation.
      changed_at_.erase(keeper);
      at = report.outcome == "held" || report.gave_up ? KeeperState::held : KeeperState::back;
      queue_action(Action::Kind::save_state);
      return on_event(Event::swap_failed, keeper + " rolled back by itself: " + report.reason);
    case KeeperState::back_ordered:
      // A report made before the order arrived says nothing of the order.
      if (now_ - ordered_at_[keeper] < kReportDelay) return;
      // The previous version being active proves nothing either: the keeper would still take an order to
      // change that is in flight. Only when it has taken the order to roll back does that order's number
      // fence the earlier one.
      if (!rollback_order_numbers_.contains(keeper) || report.order_epoch != saved_.epoch ||
          report.order_number < rollback_order_numbers_[keeper])
        return;
      if (report.active_version == saved_.previous_versions[keeper] && is_idle(report) &&
          report.outcome != "held" && report.is_serving) {
        at = KeeperState::back;
        changed_at_.erase(keeper);
        ordered_at_.erase(keeper);
        queue_action(Action::Kind::save_state);
      } else if (report.outcome == "held" && report.order_epoch == saved_.epoch) {
        at = KeeperState::held;
        ordered_at_.erase(keeper);
        queue_action(Action::Kind::save_state);
      }
      return;
  }
}

// Nothing to record: the time of the keeper's last report is known.
void Controller::on_unreachable(const std::string&) {}

void Controller::on_finding(const Finding& finding) {
  last_finding_ = finding.description;
  const bool stage = saved_.state == State::soaking || saved_.state == State::waiting ||
                     saved_.state == State::swapping || saved_.state == State::paused;
  if (!stage) return;
  switch (finding.verdict) {
    case Verdict::undecided:
      if (saved_.state == State::waiting) on_event(Event::conclusive_again);
      return;
    case Verdict::passed:
      return on_event(Event::stage_passed);
    case Verdict::insufficient_data:
    case Verdict::shared_degradation:
      return on_event(Event::inconclusive, finding.description);
    case Verdict::worse:
    case Verdict::harm:
    case Verdict::immediate_stop:
      return on_event(Event::stop, std::string(name_of(finding.verdict)) + ": " + finding.description);
  }
}

bool Controller::is_soak_over() const {
  if (saved_.stage < 0 || saved_.stage >= static_cast<int>(plan_.stages.size())) return false;
  return (saved_.state == State::soaking || saved_.state == State::waiting) &&
         now_ - soak_since_ >= plan_.stages[static_cast<std::size_t>(saved_.stage)].soak + plan_.burn_in;
}

void Controller::on_tick(Duration now, Duration wall) {
  now_ = now;
  wall_ = wall;
  resend_confirmations();
  switch (saved_.state) {
    case State::checking: {
      bool all = true;
      for (const Member& member : members_) {
        const auto report = reports_.find(member.name);
        const bool is_ready =
            report != reports_.end() && report->second.has_version && is_idle(report->second) &&
            report->second.is_serving &&
            (report->second.outcome != "on_trial" || report->second.active_version == plan_.version);
        const bool is_unverified = plan_.verify_first && is_ready &&
                                   report->second.active_version != plan_.version &&
                                   report->second.verification != KeeperReport::Verification::passed;
        if (is_unverified && report->second.verification == KeeperReport::Verification::failed)
          return on_event(Event::keepers_not_ready,
                          member.name + " failed to verify it: " + report->second.reason);
        if (is_unverified &&
            (!resent_at_.contains(member.name) || now_ - resent_at_[member.name] >= kOrderResendInterval)) {
          resent_at_[member.name] = now_;
          queue_action(Action::Kind::verify, member.name);
        }
        all = all && is_ready && !is_unverified;
        if (report != reports_.end() && !report->second.has_version && !plan_.source_folder.empty() &&
            is_idle(report->second) && !ordered_at_.contains(member.name)) {
          ordered_at_[member.name] = now_;
          queue_action(Action::Kind::take, member.name);
        }
      }
      if (all) {
        ordered_at_.clear();
        resent_at_.clear();
        for (const Member& member : members_) adopt_keeper(member.name, reports_[member.name]);
        return on_event(Event::keepers_ready);
      }
      if (now_ - state_since_ >= plan_.swap_timeout) {
        std::string names;
        for (const Member& member : members_) {
          const auto report = reports_.find(member.name);
          if (report == reports_.end()) {
            names += " " + member.name + " (not reached)";
          } else if (!report->second.has_version) {
            names +=
                " " + member.name + " (does not have " + plan_.version + ": " + report->second.reason + ")";
          } else if (plan_.verify_first && report->second.verification == KeeperReport::Verification::none &&
                     report->second.active_version != plan_.version) {
            names += " " + member.name + " (has not verified it)";
          } else if (!report->second.is_serving || !is_idle(report->second)) {
            names += " " + member.name + " (does not serve, or an order is under way)";
          }
        }
        on_event(Event::keepers_not_ready, "not ready:" + names);
      }
      return;
    }
    case State::watching:
      if (now_ - state_since_ >= plan_.baseline_time) on_event(Event::baseline_recorded);
      return;
    case State::swapping:
      return check_swap_progress();
    case State::waiting:
      if (now_ - wait_since_ >= plan_.max_wait)
        on_event(Event::wait_expired, "wait expired: " + last_finding_);
      return;
    case State::confirming: {
      const std::vector<std::string> unconfirmed = keepers_in(KeeperState::on_trial);
      if (unconfirmed.empty()) return on_event(Event::all_confirmed);
      if (now_ - state_since_ < plan_.max_wait) return;
      std::string names;
      for (const std::string& name : unconfirmed) names += " " + name;
      return on_event(Event::wait_expired,
                      "passed, but not confirmed at" + names +
                          ": confirm the version there by hand, or the keeper rolls it back");
    }
    case State::returning:
      return order_next_rollbacks();
    default:
      return;
  }
}

// A keeper that runs the new version already was changed by a controller whose saved state is not available.
// It is not changed again, and the version to roll back to is the one that its report names.
void Controller::adopt_keeper(const std::string& name, const KeeperReport& report) {
  const bool has_new_version = report.active_version == plan_.version;
  saved_.previous_versions[name] = has_new_version ? report.previous_version : report.active_version;
  if (!has_new_version) return;
  saved_.keepers[name] = report.outcome == "on_trial" ? KeeperState::on_trial : KeeperState::confirmed;
  changed_at_[name] = now_;
}

void Controller::check_swap_progress() {
  const std::vector<std::string>& keepers = stages_[static_cast<std::size_t>(saved_.stage)];
  const bool all = std::all_of(keepers.begin(), keepers.end(), [&](const std::string& name) {
    return saved_.keepers[name] == KeeperState::on_trial || saved_.keepers[name] == KeeperState::confirmed;
  });
  if (all) return on_event(Event::stage_swapped);
  for (const auto& [name, when] : ordered_at_) {
    // A keeper that cannot be reached may be carrying out the order; one that reports without it is not.
    const bool is_unreachable = now_ - last_report_at_[name] > plan_.swap_timeout / 2;
    if (now_ - when >= (is_unreachable ? plan_.max_wait : plan_.swap_timeout))
      return on_event(Event::swap_failed, name + " did not carry out its order in time");
  }
  // An order that no report mentions was lost and is sent again. A keeper that has taken it all the same
  // answers so and does nothing.
  for (const std::string& name : keepers_in(KeeperState::ordered)) {
    const auto report = reports_.find(name);
    if (report == reports_.end() || now_ - last_report_at_[name] > kOrderResendInterval ||
        !is_idle(report->second) || report->second.active_version == plan_.version ||
        report->second.order_epoch == saved_.epoch)
      continue;
    const Duration last = std::max(resent_at_[name], ordered_at_[name]);
    if (now_ - last < kOrderResendInterval) continue;
    resent_at_[name] = now_;
    queue_action(Action::Kind::use, name);
  }
  order_next_swaps();
}

void Controller::order_next_swaps() {
  int under_way = static_cast<int>(keepers_in(KeeperState::ordered).size());
  std::vector<std::string> to_order;
  for (const std::string& name : stages_[static_cast<std::size_t>(saved_.stage)]) {
    if (under_way >= plan_.max_concurrent) break;
    if (saved_.keepers[name] != KeeperState::old) continue;
    // An unreachable keeper is not ordered: the result could not be observed.
    if (now_ - last_report_at_[name] > 5s) continue;
    saved_.keepers[name] = KeeperState::ordered;
    ordered_at_[name] = now_;
    to_order.push_back(name);
    ++under_way;
  }
  if (to_order.empty()) return;
  // Saved before the orders are sent, since a successor goes by the saved state.
  queue_action(Action::Kind::save_state);
  for (const std::string& name : to_order) queue_action(Action::Kind::use, name);
}

// Rolls back the most recently changed keepers first, since the least is known of them; at most as many at a
// time as when changing.
void Controller::order_next_rollbacks() {
  // An order that was just sent may be in flight; an earlier report of the keeper says nothing of it.
  const auto is_settled = [&](const std::string& name) {
    const auto report = reports_.find(name);
    return report != reports_.end() && is_idle(report->second) &&
           now_ - ordered_at_[name] >= kOrderResendInterval;
  };
  int under_way = 0;
  for (const std::string& name : keepers_in(KeeperState::back_ordered)) under_way += is_settled(name) ? 0 : 1;
  for (const std::string& name : keepers_in(KeeperState::ordered)) under_way += is_settled(name) ? 0 : 1;
  bool unfinished =
           !keepers_in(KeeperState::back_ordered).empty() || !keepers_in(KeeperState::ordered).empty(),
       failed = !keepers_in(KeeperState::held).empty();
  std::vector<std::pair<Duration, std::string>> left;
  for (const auto& [name, at] : saved_.keepers) {
    if (at == KeeperState::on_trial || at == KeeperState::confirmed ||
        ((at == KeeperState::ordered || at == KeeperState::back_ordered) && is_settled(name)))
      left.emplace_back(changed_at_.contains(name) ? changed_at_.at(name) : now_, name);
  }
  std::sort(left.rbegin(), left.rend());
  std::vector<std::string> to_order;
  for (const auto& [since, name] : left) {
    unfinished = true;
    // A keeper that is being changed refuses further orders until it is idle again. One that was ordered to
    // change and did not is nevertheless ordered to roll back: the number of that order fences the order to
    // change, which may still be in flight.
    const auto report = reports_.find(name);
    if (under_way >= plan_.max_concurrent || report == reports_.end() || !is_idle(report->second)) continue;
    if (!rollback_started_at_.contains(name)) rollback_started_at_[name] = now_;
    if (saved_.previous_versions[name].empty()) {  // the version to roll back to is unknown
      saved_.keepers[name] = KeeperState::held;
      failed = true;
      continue;
    }
    saved_.keepers[name] = KeeperState::back_ordered;
    ordered_at_[name] = now_;
    to_order.push_back(name);
    ++under_way;
  }
  if (!to_order.empty()) queue_action(Action::Kind::save_state);
  for (const std::string& name : to_order) queue_action(Action::Kind::roll_back, name);
  for (const auto& [name, when] : rollback_started_at_) {
    if (now_ - when < plan_.max_wait || saved_.keepers[name] == KeeperState::back) continue;
    saved_.keepers[name] = KeeperState::held;
    failed = true;
  }
  // A keeper that was ordered to change and has been unreachable since.
  for (const std::string& name : keepers_in(KeeperState::ordered)) {
    if (now_ - std::max(state_since_, last_report_at_[name]) < plan_.max_wait) continue;
    saved_.keepers[name] = KeeperState::held;
    failed = true;
  }
  if (unfinished && keepers_in(KeeperState::held).empty()) return;
  if (unfinished) {
    // Some keepers can still be rolled back; those that failed are left to an operator once all others are
    // done.
    const bool any = !keepers_in(KeeperState::back_ordered).empty() ||
                     !keepers_in(KeeperState::on_trial).empty() ||
                     !keepers_in(KeeperState::confirmed).empty() || !keepers_in(KeeperState::ordered).empty();
    if (any) return;
  }
  if (failed) {
    std::string names;
    for (const std::string& name : keepers_in(KeeperState::held)) names += " " + name;
    return on_event(Event::rollback_failed,
                    "rollback failed at" + names + "; change to a sound version there by hand");
  }
  on_event(Event::rollback_complete);
}

void Controller::confirm_stage() {
  for (const std::string& name : stages_[static_cast<std::size_t>(saved_.stage)]) {
    if (saved_.keepers[name] != KeeperState::on_trial) continue;
    resent_at_[name] = now_;
    queue_action(Action::Kind::confirm, name);
  }
}

// A confirmation that no report mentions was lost. Without it the keeper would roll back, at the end of its
// trial, a version that has passed.
void Controller::resend_confirmations() {
  const bool under_way = saved_.state == State::swapping || saved_.state == State::soaking ||
                         saved_.state == State::waiting || saved_.state == State::confirming;
  if (!under_way) return;
  for (int stage = 0; stage < (saved_.state == State::confirming ? saved_.stage + 1 : saved_.stage);
       ++stage) {
    for (const std::string& name : stages_[static_cast<std::size_t>(stage)]) {
      if (saved_.keepers[name] != KeeperState::on_trial ||
          now_ - last_report_at_[name] > kOrderResendInterval ||
          now_ - resent_at_[name] < kOrderResendInterval)
        continue;
      resent_at_[name] = now_;
      queue_action(Action::Kind::confirm, name);
    }
  }
}

void Controller::on_event(Event event, const std::string& reason) {
  const Cell& cell = kTable[index_of(saved_.state)][index_of(event)];
  if (cell.transition == Transition::impossible) {
    impossible_events_ += 1;
    return queue_action(Action::Kind::log, {},
                        std::string("IMPOSSIBLE: ") + name_of(event) + " in " + name_of(saved_.state));
  }
  if (cell.transition == Transition::ignore) return;
  const State from = saved_.state;
  saved_.state = cell.next;
  state_since_ = now_;
  saved_.since_ms = wall_ / 1ms;
  if (!reason.empty()) saved_.reason = reason;
  queue_action(Action::Kind::log, {},
               std::string(name_of(from)) + ", " + name_of(event) + (reason.empty() ? "" : ": " + reason));
  switch (cell.transition) {
    case Transition::ignore:
    case Transition::impossible:
    case Transition::start_checking:
    case Transition::start_watching:
    case Transition::refuse:
    case Transition::finish:
      break;
    case Transition::start_first_stage:
      saved_.stage = 0;
      break;
    case Transition::start_soak:
      soak_since_ = now_;
      queue_action(Action::Kind::start_comparison);
      break;
    case Transition::finish_stage:
      saved_.reason.clear();  // the reason for a wait that is over
      confirm_stage();
      if (saved_.stage + 1 >= static_cast<int>(plan_.stages.size())) {
        saved_.state = State::confirming;
      } else {
        saved_.stage += 1;
      }
      break;
    case Transition::start_waiting:
      wait_since_ = now_;
      break;
    case Transition::resume_soak:
      break;
    case Transition::pause:
      saved_.paused_from = from;
      break;
    case Transition::resume:
      saved_.state = saved_.paused_from;
      if (saved_.state == State::waiting) wait_since_ = now_;
      break;
    case Transition::start_rollback:
      for (const std::string& name : keepers_in(KeeperState::held)) {
        if (from == State::held) saved_.keepers[name] = KeeperState::on_trial;  // is rolled back once more
      }
      rollback_started_at_.clear();
      rollback_order_numbers_.clear();
      break;
  }
  queue_action(Action::Kind::save_state);
}

}  // namespace marbledyke::rollout
