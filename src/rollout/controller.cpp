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
constexpr Duration kOrderResendInterval =
    5s;  // an order that no report shows after this was not taken, and is given again
constexpr Duration kReportDelay = 2s;  // a report that is so much later was made after it
constexpr const char* kKeeperStateNames[] = {"old",          "ordered", "on_trial", "confirmed",
                                             "back_ordered", "back",    "held"};

enum class Transition {
  ignore,
  impossible,
  start_checking,
  start_watching,
  start_first_stage,
  start_soak,
  finish_stage,  // what passed is confirmed; the next stage, or the end
  start_waiting,
  resume_soak,
  pause,
  resume,  // where it was paused
  start_rollback,
  refuse,  // nothing was changed, nothing goes back
  finish
};

struct Cell {
  Transition transition;
  State next;
};

using S = State;
constexpr Cell stay(S s) { return {Transition::ignore, s}; }
constexpr Cell never(S s) { return {Transition::impossible, s}; }

// start, ready, not_ready, watched, swapped, swap_failed, passed, too_little, goes_on, stop, waited_out,
// pause, resume, back, all_back, back_failed, all_told
constexpr Cell kTable[kStateCount][kEventCount] = {
    /* planned */
    {{Transition::start_checking, S::checking},
     never(S::planned),
     never(S::planned),
     never(S::planned),
     never(S::planned),
     never(S::planned),
     never(S::planned),
     never(S::planned),
     never(S::planned),
     stay(S::planned),
     never(S::planned),
     stay(S::planned),
     stay(S::planned),
     {Transition::refuse, S::refused},
     never(S::planned),
     never(S::planned),
     never(S::planned)},
    /* checking */
    {stay(S::checking),
     {Transition::start_watching, S::watching},
     {Transition::refuse, S::refused},
     never(S::checking),
     never(S::checking),
     never(S::checking),
     never(S::checking),
     never(S::checking),
     never(S::checking),
     stay(S::checking),
     never(S::checking),
     {Transition::pause, S::paused},
     stay(S::checking),
     {Transition::refuse, S::refused},
     never(S::checking),
     never(S::checking),
     never(S::checking)},
    /* watching */
    {stay(S::watching),
     never(S::watching),
     {Transition::refuse, S::refused},
     {Transition::start_first_stage, S::swapping},
     never(S::watching),
     {Transition::start_rollback, S::returning},
     never(S::watching),
     never(S::watching),
     never(S::watching),
     stay(S::watching),
     never(S::watching),
     {Transition::pause, S::paused},
     stay(S::watching),
     {Transition::refuse, S::refused},
     never(S::watching),
     never(S::watching),
     never(S::watching)},
    /* swapping */
    {stay(S::swapping),
     never(S::swapping),
     never(S::swapping),
     never(S::swapping),
     {Transition::start_soak, S::soaking},
     {Transition::start_rollback, S::returning},
     stay(S::swapping),
     stay(S::swapping),
     stay(S::swapping),
     {Transition::start_rollback, S::returning},
     {Transition::start_rollback, S::returning},
     {Transition::pause, S::paused},
     stay(S::swapping),
     {Transition::start_rollback, S::returning},
     never(S::swapping),
     never(S::swapping),
     never(S::swapping)},
    /* soaking */
    {stay(S::soaking),
     never(S::soaking),
     never(S::soaking),
     never(S::soaking),
     never(S::soaking),
     {Transition::start_rollback, S::returning},
     {Transition::finish_stage, S::swapping},
     {Transition::start_waiting, S::waiting},
     stay(S::soaking),
     {Transition::start_rollback, S::returning},
     never(S::soaking),
     {Transition::pause, S::paused},
     stay(S::soaking),
     {Transition::start_rollback, S::returning},
     never(S::soaking),
     never(S::soaking),
     never(S::soaking)},
    /* waiting */
    {stay(S::waiting),
     never(S::waiting),
     never(S::waiting),
     never(S::waiting),
     never(S::waiting),
     {Transition::start_rollback, S::returning},
     {Transition::finish_stage, S::swapping},
     stay(S::waiting),
     {Transition::resume_soak, S::soaking},
     {Transition::start_rollback, S::returning},
     {Transition::start_rollback, S::returning},
     {Transition::pause, S::paused},
     stay(S::waiting),
     {Transition::start_rollback, S::returning},
     never(S::waiting),
     never(S::waiting),
     never(S::waiting)},
    /* paused: what is worse goes back all the same */
    {stay(S::paused),
     stay(S::paused),
     {Transition::refuse, S::refused},
     stay(S::paused),
     stay(S::paused),
     {Transition::start_rollback, S::returning},
     stay(S::paused),
     stay(S::paused),
     stay(S::paused),
     {Transition::start_rollback, S::returning},
     never(S::paused),
     stay(S::paused),
     {Transition::resume, S::paused},
     {Transition::start_rollback, S::returning},
     never(S::paused),
     never(S::paused),
     never(S::paused)},
    /* confirming: nothing is judged any more */
    {stay(S::confirming),
     never(S::confirming),
     never(S::confirming),
     never(S::confirming),
     never(S::confirming),
     {Transition::start_rollback, S::returning},
     stay(S::confirming),
     stay(S::confirming),
     stay(S::confirming),
     stay(S::confirming),
     {Transition::finish, S::held},
     stay(S::confirming),
     stay(S::confirming),
     {Transition::start_rollback, S::returning},
     never(S::confirming),
     never(S::confirming),
     {Transition::finish, S::done}},
    /* returning */
    {stay(S::returning),
     never(S::returning),
     never(S::returning),
     never(S::returning),
     never(S::returning),
     stay(S::returning),
     stay(S::returning),
     stay(S::returning),
     stay(S::returning),
     stay(S::returning),
     never(S::returning),
     stay(S::returning),
     stay(S::returning),
     stay(S::returning),
     {Transition::finish, S::returned},
     {Transition::finish, S::held},
     never(S::returning)},
    /* done */
    {stay(S::done), never(S::done), never(S::done), never(S::done), never(S::done), stay(S::done),
     stay(S::done), stay(S::done), stay(S::done), stay(S::done), never(S::done), stay(S::done), stay(S::done),
     stay(S::done), never(S::done), never(S::done), never(S::done)},
    /* returned */
    {stay(S::returned), never(S::returned), never(S::returned), never(S::returned), never(S::returned),
     stay(S::returned), stay(S::returned), stay(S::returned), stay(S::returned), stay(S::returned),
     never(S::returned), stay(S::returned), stay(S::returned), stay(S::returned), never(S::returned),
     never(S::returned), never(S::returned)},
    /* held: a person may have it try again */
    {stay(S::held),
     never(S::held),
     never(S::held),
     never(S::held),
     never(S::held),
     stay(S::held),
     stay(S::held),
     stay(S::held),
     stay(S::held),
     stay(S::held),
     never(S::held),
     stay(S::held),
     stay(S::held),
     {Transition::start_rollback, S::returning},
     never(S::held),
     never(S::held),
     never(S::held)},
    /* refused */
    {stay(S::refused), never(S::refused), never(S::refused), never(S::refused), never(S::refused),
     stay(S::refused), stay(S::refused), stay(S::refused), stay(S::refused), stay(S::refused),
     never(S::refused), stay(S::refused), stay(S::refused), stay(S::refused), never(S::refused),
     never(S::refused), never(S::refused)}};

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
    const auto former = saved.previous_versions.find(name);
    if (former != saved.previous_versions.end()) keepers[name]["former"] = former->second;
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
  out.stage = static_cast<int>(config::whole(from, "stage"));
  out.epoch = static_cast<std::uint64_t>(config::whole(from, "epoch"));
  out.reason = config::text(from, "why");
  out.since_ms = config::whole(from, "since_ms");
  for (const auto& [name, one] : config::object(from, "keepers").items()) {
    const std::string& at = config::text(one, "at");
    const auto found = std::find(std::begin(kKeeperStateNames), std::end(kKeeperStateNames), at);
    if (found == std::end(kKeeperStateNames)) throw config::BadInput("at: not a place: " + at);
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
  // What the former conductor had ordered counts from now; what it had let soak soaks anew.
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
  const auto say = [&](const auto& value) { out += ' ' + std::to_string(value); };
  const auto age = [&](Duration when) { say(std::min((now_ - when) / 1ms, horizon / 1ms)); };
  const auto ages = [&](const std::map<std::string, Duration>& of) {
    for (const auto& [name, when] : of) {
      out += ' ' + name;
      age(when);
    }
    out += ';';
  };
  out += std::string(" from ") + name_of(saved_.paused_from);
  say(saved_.stage);
  say(saved_.epoch);
  for (const auto& [name, at] : saved_.keepers) out += ' ' + name + ' ' + name_of(at);
  for (const auto& [name, former] : saved_.previous_versions) out += ' ' + name + ' ' + former;
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
      say(number);
    }
    out += ';';
  }
  // Of these only which came later counts.
  std::vector<std::pair<Duration, std::string>> changed;
  for (const auto& [name, when] : changed_at_) changed.emplace_back(when, name);
  std::sort(changed.begin(), changed.end());
  for (const auto& [when, name] : changed) out += ' ' + name;
  for (const auto& [name, report] : reports_) {
    out += "; " + name + ' ' + report.active_version + ' ' + report.previous_version + ' ' + report.outcome;
    say(report.order_epoch);
    say(report.order_number);
    say(static_cast<int>(report.verification));
    say(report.has_version + 2 * report.is_serving + 4 * report.gave_up);
  }
  for (const auto& [name, order] : last_orders_) {
    out += ' ' + name;
    say(order.first);
    say(order.second);
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
  // What it said before it took the last order that it is known to have taken comes late, and is true no
  // more.
  const auto before = reports_.find(keeper);
  if (before != reports_.end() && before->second.keeper_started_ms == report.keeper_started_ms &&
      std::pair(report.order_epoch, report.order_number) <
          std::pair(before->second.order_epoch, before->second.order_number))
    return;
  last_report_at_[keeper] = now_;
  reports_[keeper] = report;
  last_orders_[keeper] = {report.order_epoch, report.order_number};
  KeeperState& at = saved_.keepers[keeper];
  const bool has = report.active_version == plan_.version;
  const bool failed = report.outcome == "back" || report.outcome == "held" || report.outcome == "refused";
  switch (at) {
    case KeeperState::old:
    case KeeperState::back:
      // An order of a former conductor was on its way, and has been taken: it counts as this one's from now
      // on.
      if (!has || saved_.state == State::checking || saved_.state == State::planned || is_over()) return;
      if (is_idle(report)) {
        at = report.outcome == "on_trial" ? KeeperState::on_trial : KeeperState::confirmed;
        changed_at_[keeper] = now_;
      } else {
        at = KeeperState::ordered;
        ordered_at_[keeper] = now_;
      }
      queue_action(Action::Kind::log, {}, keeper + " has taken an order of a former conductor");
      return queue_action(Action::Kind::save_state);
    case KeeperState::held:
      return;
    case KeeperState::ordered:
      if (has && (report.outcome == "on_trial" || report.outcome == "done") && report.is_serving) {
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
      if (has && !report.gave_up && report.outcome != "held") {
        if (at == KeeperState::on_trial && report.outcome == "done") {
          at = KeeperState::confirmed;
          queue_action(Action::Kind::save_state);
        }
        return;
      }
      // It went back by itself: it was not sound, or nobody confirmed it in time.
      changed_at_.erase(keeper);
      at = report.outcome == "held" || report.gave_up ? KeeperState::held : KeeperState::back;
      queue_action(Action::Kind::save_state);
      return on_event(Event::swap_failed, keeper + " went back by itself: " + report.reason);
    case KeeperState::back_ordered:
      // What it said before the order came says nothing of it.
      if (now_ - ordered_at_[keeper] < kReportDelay) return;
      // Nor does its being where it was before: an order to change that is on its way still would be taken.
      // Only the order back, once taken, fences that by its number.
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

void Controller::on_unreachable(const std::string&) {}  // how long ago it was heard is known

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
        const bool there =
            report != reports_.end() && report->second.has_version && is_idle(report->second) &&
            report->second.is_serving &&
            (report->second.outcome != "on_trial" || report->second.active_version == plan_.version);
        const bool untried = plan_.verify_first && there && report->second.active_version != plan_.version &&
                             report->second.verification != KeeperReport::Verification::passed;
        if (untried && report->second.verification == KeeperReport::Verification::failed)
          return on_event(Event::keepers_not_ready, member.name + " has tried it: " + report->second.reason);
        if (untried &&
            (!resent_at_.contains(member.name) || now_ - resent_at_[member.name] >= kOrderResendInterval)) {
          resent_at_[member.name] = now_;
          queue_action(Action::Kind::verify, member.name);
        }
        all = all && there && !untried;
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
        std::string who;
        for (const Member& member : members_) {
          const auto report = reports_.find(member.name);
          if (report == reports_.end()) {
            who += " " + member.name + " (not reached)";
          } else if (!report->second.has_version) {
            who +=
                " " + member.name + " (does not have " + plan_.version + ": " + report->second.reason + ")";
          } else if (plan_.verify_first && report->second.verification == KeeperReport::Verification::none &&
                     report->second.active_version != plan_.version) {
            who += " " + member.name + " (has not tried it)";
          } else if (!report->second.is_serving || !is_idle(report->second)) {
            who += " " + member.name + " (does not serve, or an order is under way)";
          }
        }
        on_event(Event::keepers_not_ready, "not ready:" + who);
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
        on_event(Event::wait_expired, "waited too long: " + last_finding_);
      return;
    case State::confirming: {
      const std::vector<std::string> untold = keepers_in(KeeperState::on_trial);
      if (untold.empty()) return on_event(Event::all_confirmed);
      if (now_ - state_since_ < plan_.max_wait) return;
      std::string who;
      for (const std::string& name : untold) who += " " + name;
      return on_event(Event::wait_expired, "passed, but not confirmed at" + who +
                                               ": confirm it there by hand, or it takes it back");
    }
    case State::returning:
      return order_next_rollbacks();
    default:
      return;
  }
}

// One that has the version already was changed by a conductor whose memory this one has not: it is not
// changed again, and what it goes back to is what its keeper says.
void Controller::adopt_keeper(const std::string& name, const KeeperReport& report) {
  const bool has = report.active_version == plan_.version;
  saved_.previous_versions[name] = has ? report.previous_version : report.active_version;
  if (!has) return;
  saved_.keepers[name] = report.outcome == "on_trial" ? KeeperState::on_trial : KeeperState::confirmed;
  changed_at_[name] = now_;
}

void Controller::check_swap_progress() {
  const std::vector<std::string>& its = stages_[static_cast<std::size_t>(saved_.stage)];
  const bool all = std::all_of(its.begin(), its.end(), [&](const std::string& name) {
    return saved_.keepers[name] == KeeperState::on_trial || saved_.keepers[name] == KeeperState::confirmed;
  });
  if (all) return on_event(Event::stage_swapped);
  for (const auto& [name, when] : ordered_at_) {
    // One that cannot be reached may be on its way; one that can and says nothing of it is not.
    const bool silent = now_ - last_report_at_[name] > plan_.swap_timeout / 2;
    if (now_ - when >= (silent ? plan_.max_wait : plan_.swap_timeout))
      return on_event(Event::swap_failed, name + " did not carry it out in time");
  }
  // What no report shows was not taken: the same order again. Whoever has taken it says so and does nothing.
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
  std::vector<std::string> now_ordered;
  for (const std::string& name : stages_[static_cast<std::size_t>(saved_.stage)]) {
    if (under_way >= plan_.max_concurrent) break;
    if (saved_.keepers[name] != KeeperState::old) continue;
    // Not to one that cannot be heard: what becomes of it could not be seen.
    if (now_ - last_report_at_[name] > 5s) continue;
    saved_.keepers[name] = KeeperState::ordered;
    ordered_at_[name] = now_;
    now_ordered.push_back(name);
    ++under_way;
  }
  if (now_ordered.empty()) return;
  queue_action(Action::Kind::save_state);  // written down before it is ordered: a successor looks there first
  for (const std::string& name : now_ordered) queue_action(Action::Kind::use, name);
}

// The newest first: what was changed last has shown least. At most as many at a time as on the way there.
void Controller::order_next_rollbacks() {
  // An order that was given a moment ago may be on its way still; what its keeper said before says nothing of
  // it.
  const auto settled = [&](const std::string& name) {
    const auto report = reports_.find(name);
    return report != reports_.end() && is_idle(report->second) &&
           now_ - ordered_at_[name] >= kOrderResendInterval;
  };
  int under_way = 0;
  for (const std::string& name : keepers_in(KeeperState::back_ordered)) under_way += settled(name) ? 0 : 1;
  for (const std::string& name : keepers_in(KeeperState::ordered)) under_way += settled(name) ? 0 : 1;
  bool open = !keepers_in(KeeperState::back_ordered).empty() || !keepers_in(KeeperState::ordered).empty(),
       failed = !keepers_in(KeeperState::held).empty();
  std::vector<std::pair<Duration, std::string>> left;
  for (const auto& [name, at] : saved_.keepers) {
    if (at == KeeperState::on_trial || at == KeeperState::confirmed ||
        ((at == KeeperState::ordered || at == KeeperState::back_ordered) && settled(name)))
      left.emplace_back(changed_at_.contains(name) ? changed_at_.at(name) : now_, name);
  }
  std::sort(left.rbegin(), left.rend());
  std::vector<std::string> now_ordered;
  for (const auto& [since, name] : left) {
    open = true;
    // One that is being changed is at rest soon; its keeper refuses until then. One that was ordered and did
    // not change is ordered back all the same: by its number that fences the order that may be on its way.
    const auto report = reports_.find(name);
    if (under_way >= plan_.max_concurrent || report == reports_.end() || !is_idle(report->second)) continue;
    if (!rollback_started_at_.contains(name)) rollback_started_at_[name] = now_;
    if (saved_.previous_versions[name].empty()) {  // nobody knows what it had before
      saved_.keepers[name] = KeeperState::held;
      failed = true;
      continue;
    }
    saved_.keepers[name] = KeeperState::back_ordered;
    ordered_at_[name] = now_;
    now_ordered.push_back(name);
    ++under_way;
  }
  if (!now_ordered.empty()) queue_action(Action::Kind::save_state);
  for (const std::string& name : now_ordered) queue_action(Action::Kind::roll_back, name);
  for (const auto& [name, when] : rollback_started_at_) {
    if (now_ - when < plan_.max_wait || saved_.keepers[name] == KeeperState::back) continue;
    saved_.keepers[name] = KeeperState::held;
    failed = true;
  }
  // One that was ordered and cannot be heard at all.
  for (const std::string& name : keepers_in(KeeperState::ordered)) {
    if (now_ - std::max(state_since_, last_report_at_[name]) < plan_.max_wait) continue;
    saved_.keepers[name] = KeeperState::held;
    failed = true;
  }
  if (open && keepers_in(KeeperState::held).empty()) return;
  if (open) {
    // Some can still go back; those that cannot are left to a person once all others are.
    const bool any = !keepers_in(KeeperState::back_ordered).empty() ||
                     !keepers_in(KeeperState::on_trial).empty() ||
                     !keepers_in(KeeperState::confirmed).empty() || !keepers_in(KeeperState::ordered).empty();
    if (any) return;
  }
  if (failed) {
    std::string who;
    for (const std::string& name : keepers_in(KeeperState::held)) who += " " + name;
    return on_event(Event::rollback_failed,
                    "the way back failed at" + who + "; bring a sound version in force there by hand");
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

// A confirmation that no report shows was lost: its keeper would take back, when its trial is over, what has
// passed.
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
      saved_.reason.clear();  // of a wait that is over
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
        if (from == State::held) saved_.keepers[name] = KeeperState::on_trial;  // tried once more
      }
      rollback_started_at_.clear();
      rollback_order_numbers_.clear();
      break;
  }
  queue_action(Action::Kind::save_state);
}

}  // namespace marbledyke::rollout
