#include "keeper/supervisor.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marbledyke::keeper {
namespace {

using namespace std::chrono_literals;

constexpr double kImmediateRestartScore = 1.5;  // a restart up to this crash score has no backoff
constexpr double kMaxDoublings = 20;            // of the backoff

// The names on the wire and in the log; operators' tools match them.
constexpr const char* kProcessStateNames[] = {"none",     "starting", "serving", "hung",
                                              "stopping", "killed",   "felled"};
constexpr const char* kSwapStateNames[] = {"none",  "reading",      "beside",      "proving",
                                           "trial", "back_reading", "back_beside", "back_proving"};
constexpr const char* kRunStateNames[] = {"off", "resting", "running", "given_up", "leaving"};

enum class ProcessReaction {
  nothing,
  unexpected,         // counted as a bug
  report_serving,     // to the swap
  report_hung,        // to the log and the swap
  report_responsive,  // to the log
  terminate,
  kill,
  release_slot,
  report_failure  // to the swap or, where none is under way, to the run state
};

enum class SwapReaction {
  nothing,
  unexpected,       // counted as a bug
  begin_swap,       // link the target; have it reloaded, or start it beside the present process
  start_process,    // start the version in force
  begin_proving,    // from now on the process has to be sound
  take_over,        // the new process serves: stop the former one, then prove
  complete,         // proved: done, or on trial
  confirm,          // the trial has ended well
  refuse,           // nothing has changed: link the former version again
  roll_back,        // link the former version; have it reloaded, or start it beside the present process
  keep_present,     // the new process did not start; the present one goes on serving
  finish_rollback,  // the former version is proved
  fail_rollback,
  abandon  // stopped by order: a version that was not proved is not in force
};

enum class RunReaction { nothing, start, stop, back_off, give_up, reset_crash_score };

// A swap goes on in one of two states: where a reload reloads, and where a process must be started.
struct SwapTransition {
  SwapReaction reaction;
  SwapState reloading, starting;
};
struct ProcessTransition {
  ProcessReaction reaction;
  ProcessState next;
};
struct RunTransition {
  RunReaction reaction;
  RunState next;
};

// Short names for the tables.
using L = ProcessState;
using D = ProcessReaction;
// Columns: started, serving, silent, responsive, stop_requested, timed_out, exited.
constexpr ProcessTransition kProcessTransitions[7][7] = {
    /* none */
    {{D::nothing, L::starting},
     {D::nothing, L::none},
     {D::unexpected, L::none},
     {D::nothing, L::none},
     {D::nothing, L::none},
     {D::unexpected, L::none},
     {D::unexpected, L::none}},
    /* starting */
    {{D::unexpected, L::starting},
     {D::report_serving, L::serving},
     {D::unexpected, L::starting},
     {D::nothing, L::starting},
     {D::terminate, L::stopping},
     {D::kill, L::killed_as_failed},
     {D::report_failure, L::none}},
    /* serving */
    {{D::unexpected, L::serving},
     {D::nothing, L::serving},
     {D::report_hung, L::hung},
     {D::nothing, L::serving},
     {D::terminate, L::stopping},
     {D::unexpected, L::serving},
     {D::report_failure, L::none}},
    /* hung */
    {{D::unexpected, L::hung},
     {D::nothing, L::hung},
     {D::nothing, L::hung},
     {D::report_responsive, L::serving},
     {D::terminate, L::stopping},
     {D::kill, L::killed_as_failed},
     {D::report_failure, L::none}},
    /* stopping */
    {{D::unexpected, L::stopping},
     {D::nothing, L::stopping},
     {D::nothing, L::stopping},
     {D::nothing, L::stopping},
     {D::nothing, L::stopping},
     {D::kill, L::killed_in_stop},
     {D::release_slot, L::none}},
    /* killed_in_stop */
    {{D::unexpected, L::killed_in_stop},
     {D::nothing, L::killed_in_stop},
     {D::nothing, L::killed_in_stop},
     {D::nothing, L::killed_in_stop},
     {D::nothing, L::killed_in_stop},
     {D::kill, L::killed_in_stop},
     {D::release_slot, L::none}},
    /* killed_as_failed */
    {{D::unexpected, L::killed_as_failed},
     {D::nothing, L::killed_as_failed},
     {D::nothing, L::killed_as_failed},
     {D::nothing, L::killed_as_failed},
     {D::nothing, L::killed_in_stop},
     {D::kill, L::killed_as_failed},
     {D::report_failure, L::none}}};

using S = SwapState;
using W = SwapReaction;
constexpr SwapTransition ignore(S state) { return {W::nothing, state, state}; }
constexpr SwapTransition unexpected(S state) { return {W::unexpected, state, state}; }
constexpr SwapTransition to(W what, S state) { return {what, state, state}; }
// Columns: requested, reloaded, reload_refused, needs_restart, process_serving, process_failed, proved,
// failed, timed_out, confirmed, stopped.
constexpr SwapTransition kSwapTransitions[8][11] = {
    /* none */
    {{W::begin_swap, S::reloading, S::starting},
     ignore(S::none),
     ignore(S::none),
     ignore(S::none),
     ignore(S::none),
     ignore(S::none),
     unexpected(S::none),
     unexpected(S::none),
     unexpected(S::none),
     ignore(S::none),
     ignore(S::none)},
    /* reloading */
    {unexpected(S::reloading), to(W::begin_proving, S::proving), to(W::refuse, S::none),
     to(W::start_process, S::starting), ignore(S::reloading), to(W::start_process, S::starting),
     unexpected(S::reloading), ignore(S::reloading), to(W::start_process, S::starting), ignore(S::reloading),
     to(W::abandon, S::none)},
    /* starting */
    {unexpected(S::starting), ignore(S::starting), ignore(S::starting), ignore(S::starting),
     to(W::take_over, S::proving), to(W::keep_present, S::none), unexpected(S::starting), ignore(S::starting),
     unexpected(S::starting), ignore(S::starting), to(W::abandon, S::none)},
    /* proving */
    {unexpected(S::proving),
     ignore(S::proving),
     ignore(S::proving),
     ignore(S::proving),
     ignore(S::proving),
     unexpected(S::proving),
     to(W::complete, S::none),
     {W::roll_back, S::rollback_reloading, S::rollback_starting},
     {W::roll_back, S::rollback_reloading, S::rollback_starting},
     ignore(S::proving),
     to(W::abandon, S::none)},
    /* trial */
    {{W::begin_swap, S::reloading, S::starting},
     ignore(S::trial),
     ignore(S::trial),
     ignore(S::trial),
     ignore(S::trial),
     unexpected(S::trial),
     unexpected(S::trial),
     {W::roll_back, S::rollback_reloading, S::rollback_starting},
     {W::roll_back, S::rollback_reloading, S::rollback_starting},
     to(W::confirm, S::none),
     to(W::abandon, S::none)},
    /* rollback_reloading */
    {unexpected(S::rollback_reloading), to(W::begin_proving, S::rollback_proving),
     to(W::start_process, S::rollback_starting), to(W::start_process, S::rollback_starting),
     ignore(S::rollback_reloading), to(W::start_process, S::rollback_starting),
     unexpected(S::rollback_reloading), ignore(S::rollback_reloading),
     to(W::start_process, S::rollback_starting), ignore(S::rollback_reloading), to(W::abandon, S::none)},
    /* rollback_starting */
    {unexpected(S::rollback_starting), ignore(S::rollback_starting), ignore(S::rollback_starting),
     ignore(S::rollback_starting), to(W::take_over, S::rollback_proving), to(W::fail_rollback, S::none),
     unexpected(S::rollback_starting), ignore(S::rollback_starting), unexpected(S::rollback_starting),
     ignore(S::rollback_starting), to(W::abandon, S::none)},
    /* rollback_proving */
    {unexpected(S::rollback_proving), ignore(S::rollback_proving), ignore(S::rollback_proving),
     ignore(S::rollback_proving), ignore(S::rollback_proving), unexpected(S::rollback_proving),
     to(W::finish_rollback, S::none), to(W::fail_rollback, S::none), to(W::fail_rollback, S::none),
     ignore(S::rollback_proving), to(W::abandon, S::none)}};

using V = RunState;
using X = RunReaction;
// Columns: run_requested, stop_requested, process_starting, process_failed, too_many_failures,
// backoff_elapsed, shutdown_requested.
constexpr RunTransition kRunTransitions[5][7] = {
    /* off */
    {{X::start, V::running},
     {X::nothing, V::off},
     {X::nothing, V::running},
     {X::nothing, V::off},
     {X::nothing, V::off},
     {X::nothing, V::off},
     {X::stop, V::shutting_down}},
    /* backing_off */
    {{X::start, V::running},
     {X::stop, V::off},
     {X::nothing, V::running},
     {X::nothing, V::backing_off},
     {X::nothing, V::backing_off},
     {X::start, V::running},
     {X::stop, V::shutting_down}},
    /* running */
    {{X::nothing, V::running},
     {X::stop, V::off},
     {X::nothing, V::running},
     {X::back_off, V::backing_off},
     {X::give_up, V::given_up},
     {X::nothing, V::running},
     {X::stop, V::shutting_down}},
    /* given_up */
    {{X::reset_crash_score, V::running},
     {X::stop, V::off},
     {X::nothing, V::running},
     {X::nothing, V::given_up},
     {X::nothing, V::given_up},
     {X::nothing, V::given_up},
     {X::stop, V::shutting_down}},
    /* shutting_down */
    {{X::nothing, V::shutting_down},
     {X::nothing, V::shutting_down},
     {X::nothing, V::shutting_down},
     {X::nothing, V::shutting_down},
     {X::nothing, V::shutting_down},
     {X::nothing, V::shutting_down},
     {X::nothing, V::shutting_down}}};

template <typename E>
constexpr std::size_t index_of(E e) {
  return static_cast<std::size_t>(e);
}

}  // namespace

const char* name_of(ProcessState state) { return kProcessStateNames[index_of(state)]; }
const char* name_of(SwapState state) { return kSwapStateNames[index_of(state)]; }
const char* name_of(RunState state) { return kRunStateNames[index_of(state)]; }

Supervisor::Supervisor(const SupervisorPolicy& policy, KeeperState state, Duration now, Duration wall,
                       double jitter)
    : policy_(policy), state_(std::move(state)), now_(now), wall_(wall), last_tick_(now), jitter_(jitter) {}

// ---- start ----

void Supervisor::on_process_adopted(int slot, const std::string& version, const VersionInfo& info) {
  Process& process = at(slot);
  process = {};
  process.state = ProcessState::serving;
  process.version = version;
  process.info = info;
  process.since = process.started = process.last_report = process.last_healthy = now_;
}

// Whatever was under way is done again from its beginning: every step can be repeated safely.
void Supervisor::resume(const VersionInfo& in_force, const VersionInfo& former, bool has_ordered_version) {
  target_ = in_force;
  former_ = former;
  const bool first = at(0).state != ProcessState::none, second = at(1).state != ProcessState::none;
  if (first || second) {
    primary_ = first && (!second || at(0).version == state_.in_force) ? 0 : 1;
    run_state_ = RunState::running;
    if (first && second) on(1 - primary_, ProcessEvent::stop_requested);
  }
  if (!state_.in_force.empty()) emit(Action::Type::link_version, 0, state_.in_force);
  const bool swapping = state_.order && state_.order->kind == OrderKind::use;
  state_.gave_up = false;  // a restart of the keeper is a new attempt
  // Taking and dropping a version are not resumed, but they may have been completed.
  const bool under_way = state_.outcome == Outcome::under_way && state_.order;
  if (under_way && (state_.order->kind == OrderKind::take || state_.order->kind == OrderKind::drop)) {
    const bool done = has_ordered_version == (state_.order->kind == OrderKind::take);
    set_outcome(done ? Outcome::done : Outcome::refused,
                done ? "" : "the keeper exited before the order was complete");
  }
  if (under_way && state_.order->kind == OrderKind::try_out)
    set_outcome(Outcome::refused, "the keeper exited before the order was complete");
  if (!state_.should_run) {
    if (run_state_ == RunState::running) on(RunEvent::stop_requested);
    if (state_.outcome == Outcome::under_way && !first && !second) set_outcome(Outcome::done, "");
    return;
  }
  if (state_.outcome == Outcome::under_way && swapping) return on(SwapEvent::requested);
  if (state_.outcome == Outcome::rolling_back) {
    former_ = in_force;
    swap_failure_ = state_.why;
    on(RunEvent::process_starting);
    return start_rollback(SwapState::rollback_reloading, SwapState::rollback_starting);
  }
  if (state_.outcome == Outcome::on_trial && swapping) {
    const Duration elapsed = std::clamp(wall_ - Duration(std::chrono::milliseconds(state_.since_ms)),
                                        Duration::zero(), state_.order->trial);
    trial_until_ = now_ + state_.order->trial - elapsed;
    swap_ = SwapState::trial;
    swap_since_ = now_;
  } else if (state_.outcome == Outcome::under_way && state_.order &&
             state_.order->kind == OrderKind::confirm) {
    set_outcome(Outcome::done, "");
  }
  if (run_state_ != RunState::running) return on(RunEvent::run_requested);
  if (swap_ != SwapState::none || at(primary_).version == state_.in_force) return;
  emit(Action::Type::log, primary_, at(primary_).version, "the running version is not the one in force");
  on(SwapEvent::requested);
}

// ---- orders ----

OrderVerdict Supervisor::evaluate(const Order& order, bool has_version) const {
  const OrderVerdict verdict = check_order(order, state_, wall_, has_version);
  if (verdict != OrderVerdict::accepted) return verdict;
  const bool swapping = swap_ != SwapState::none && swap_ != SwapState::trial;
  if (run_state_ == RunState::shutting_down || (swapping && order.kind != OrderKind::stop))
    return OrderVerdict::busy;
  return verdict;
}

KeeperState Supervisor::state_with(const KeeperState& state, const Order& order, Duration wall) {
  KeeperState out = state;
  if (order.kind == OrderKind::use) {
    // A rollback never returns to a version that was on trial.
    if (out.outcome != Outcome::on_trial && out.in_force != order.version) out.former = out.in_force;
    out.in_force = order.version;
  }
  if (order.kind == OrderKind::use || order.kind == OrderKind::run) {
    out.should_run = true;
    out.crash_score = 0;
    out.gave_up = false;
  }
  if (order.kind == OrderKind::stop) out.should_run = false;
  // A version that was not proved is not in force after a stop.
  if (order.kind == OrderKind::stop &&
      (state.outcome == Outcome::under_way || state.outcome == Outcome::on_trial) && state.order &&
      state.order->kind == OrderKind::use && !state.former.empty())
    out.in_force = state.former;
  out.order = order;
  out.outcome = Outcome::under_way;
  out.why.clear();
  out.since_ms = wall / 1ms;
  return out;
}

void Supervisor::accept(const Order& order, KeeperState state, const VersionInfo& target,
                        const VersionInfo& former) {
  const bool version_changed = state.in_force != state_.in_force;
  state_ = std::move(state);
  switch (order.kind) {
    case OrderKind::use:
      target_ = target;
      former_ = former;
      return on(SwapEvent::requested);
    case OrderKind::run:
      if (run_state_ == RunState::running && at(primary_).state == ProcessState::serving)
        return set_outcome(Outcome::done, "already running");
      return on(RunEvent::run_requested);
    case OrderKind::stop:
      on(SwapEvent::stopped);
      if (version_changed) emit(Action::Type::link_version, 0, state_.in_force);
      on(RunEvent::stop_requested);
      if (at(0).state == ProcessState::none && at(1).state == ProcessState::none)
        set_outcome(Outcome::done, "");
      return;
    case OrderKind::confirm:
      return on(SwapEvent::confirmed);
    case OrderKind::take:
    case OrderKind::drop:
    case OrderKind::try_out:
      return;  // carried out by the caller, which ends it with on_version_task_done()
  }
}

void Supervisor::on_version_task_done(const std::string& error, const std::string& notes) {
  set_outcome(error.empty() ? Outcome::done : Outcome::refused, error.empty() ? notes : error);
}

void Supervisor::shut_down() {
  on(SwapEvent::stopped);
  on(RunEvent::shutdown_requested);
}

// ---- results of actions, and events of processes ----

void Supervisor::on_process_started(int slot, const VersionInfo& info) {
  Process& process = at(slot);
  const std::string version = process.version;
  process = {};
  process.version = version;
  process.info = info;
  process.started = process.last_report = process.last_healthy = now_;
  state_.starts += 1;
  on(slot, ProcessEvent::started);
}

void Supervisor::on_start_failed(int slot, const std::string& why) {
  at(slot).started = now_;
  emit(Action::Type::log, slot, at(slot).version, "could not be started: " + why);
  on_process_failed(slot, why);
}

// Reloads and starts that were to follow the link are dropped: they would use the wrong version.
void Supervisor::on_link_failed(const std::string& why) {
  link_pending_ = true;
  std::erase_if(actions_, [](const Action& action) {
    return action.type == Action::Type::reload || action.type == Action::Type::start_process;
  });
  start_pending_.reset();
  swap_failure_ = "version could not be linked: " + why;
  switch (swap_) {
    case SwapState::none:
    case SwapState::proving:
    case SwapState::trial:
    case SwapState::rollback_proving:
      emit(Action::Type::log, primary_, state_.in_force, swap_failure_);
      if (at(primary_).state == ProcessState::none && run_state_ == RunState::running)
        on_process_failed(primary_, swap_failure_);
      return;
    case SwapState::reloading:
      return on(SwapEvent::reload_refused, swap_failure_);
    case SwapState::starting:
      return on(SwapEvent::process_failed);
    case SwapState::rollback_reloading:
    case SwapState::rollback_starting:
      swap_ = SwapState::none;
      set_outcome(Outcome::needs_operator, swap_failure_);
      if (at(primary_).state == ProcessState::none && run_state_ == RunState::running)
        on_process_failed(primary_, swap_failure_);
      return;
  }
}

void Supervisor::on_process_exited(int slot, const std::string& how) { on(slot, ProcessEvent::exited, how); }

void Supervisor::on_process_serving(int slot) {
  at(slot).last_report = at(slot).last_healthy = now_;
  on(slot, ProcessEvent::serving);
}

void Supervisor::on_window_report(int slot, const WindowReport& window) {
  Process& process = at(slot);
  process.last_report = now_;
  process.configuration = window.configuration;
  if (window.taken > 0) {
    if (process.last_taken <= process.last_ended) process.no_progress_since = now_;
    process.last_taken = now_;
  }
  if (window.ended > 0 || window.in_hand == 0) process.last_ended = now_;
  if (process.state == ProcessState::starting) on(slot, ProcessEvent::serving);
}

// While two processes serve, either of them may accept the health call, so that the result says nothing about
// the primary; it counts as healthy then.
void Supervisor::on_health_result(bool good) {
  const bool alone = at(1 - primary_).state == ProcessState::none;
  if (good && alone) at(primary_).last_healthy = now_;
  if (!alone) at(primary_).last_healthy = now_;
}

void Supervisor::on_reload_result(int slot, bool accepted, bool needs_restart, const std::string& why) {
  if (slot != primary_) return;
  swap_failure_ = why;
  on(!accepted       ? SwapEvent::reload_refused
     : needs_restart ? SwapEvent::needs_restart
                     : SwapEvent::reloaded,
     why);
}

bool Supervisor::is_sound(const Process& process) const {
  const bool no_progress = process.last_taken > process.last_ended &&
                           now_ - process.no_progress_since >= policy_.no_progress_timeout;
  return now_ - process.last_report <= policy_.silence_timeout &&
         now_ - process.last_healthy <= policy_.silence_timeout && !no_progress;
}

Health Supervisor::health_of(int slot) const {
  const Process& process = at(slot);
  Health out;
  out.runs = process.state != ProcessState::none;
  out.healthy = out.runs && process.state != ProcessState::starting &&
                now_ - process.last_healthy <= policy_.silence_timeout;
  if (!out.runs || process.last_taken == Duration{}) return out;
  const bool is_reporting = now_ - process.last_report <= policy_.silence_timeout;
  out.answers = is_reporting && (process.last_ended >= process.last_taken ||
                                 now_ - process.no_progress_since < policy_.no_progress_timeout)
                    ? Health::Answers::yes
                    : Health::Answers::no;
  return out;
}

// ---- time ----

void Supervisor::tick(Duration now, Duration wall) {
  const Duration gap = now - last_tick_;
  now_ = now;
  wall_ = wall;
  last_tick_ = now;
  if (gap > policy_.stall_threshold) {
    // The keeper itself was paused; the reports that it missed say nothing about the gatherer.
    for (Process& process : processes_) {
      for (Duration* time :
           {&process.since, &process.last_report, &process.last_healthy, &process.no_progress_since})
        *time += gap;
    }
    swap_since_ += gap;
    if (is_sound_now_) sound_since_ += gap;
  }
  for (int slot = 0; slot < kSlots; ++slot) {
    const Process& process = at(slot);
    if (process.state == ProcessState::serving && !is_sound(process)) on(slot, ProcessEvent::silent);
    if (process.state == ProcessState::hung && is_sound(process)) on(slot, ProcessEvent::responsive);
    const Duration timeout =
        process.state == ProcessState::starting   ? policy_.start_timeout
        : process.state == ProcessState::hung     ? policy_.hung_timeout
        : process.state == ProcessState::stopping ? policy_.stop_timeout
        : process.state == ProcessState::killed_in_stop || process.state == ProcessState::killed_as_failed
            ? policy_.kill_retry_interval
            : Duration::max();
    if (timeout != Duration::max() && now_ - process.since >= timeout) on(slot, ProcessEvent::timed_out);
  }
  if (run_state_ == RunState::backing_off && now_ >= backoff_until_) on(RunEvent::backoff_elapsed);
  const Process& primary = at(primary_);
  if (state_.outcome == Outcome::under_way && state_.order && state_.order->kind == OrderKind::run &&
      primary.state == ProcessState::serving)
    set_outcome(Outcome::done, "");
  if (swap_ == SwapState::proving || swap_ == SwapState::rollback_proving) {
    const std::string& expected = swap_ == SwapState::proving ? target_.configuration : former_.configuration;
    // A process that has taken multigets must also have ended some.
    const bool answers = primary.last_taken == Duration{} || primary.last_ended >= primary.last_taken;
    const bool is_proof = primary.state == ProcessState::serving && is_sound(primary) && answers &&
                          primary.configuration == expected;
    if (is_proof && !is_sound_now_) sound_since_ = now_;
    is_sound_now_ = is_proof;
    if (is_sound_now_ && now_ - sound_since_ >= policy_.proving_period) {
      on(SwapEvent::proved);
    } else if (now_ - swap_since_ >= policy_.proving_timeout) {
      swap_failure_ = "not proved in time";
      on(SwapEvent::timed_out);
    }
  } else if ((swap_ == SwapState::reloading || swap_ == SwapState::rollback_reloading) &&
             now_ - swap_since_ >= policy_.reload_timeout) {
    swap_failure_ = "the gatherer did not report the result of the reload in time";
    on(SwapEvent::timed_out);
  } else if (swap_ == SwapState::trial && now_ >= trial_until_) {
    swap_failure_ = "not confirmed in time";
    on(SwapEvent::timed_out);
  }
  if (unsaved_) emit(Action::Type::persist_state);
  if (link_pending_) emit(Action::Type::link_version, 0, state_.in_force);
}

void Supervisor::on_state_written(bool written) { unsaved_ = !written; }

std::optional<Action> Supervisor::next_action() {
  if (actions_.empty()) return std::nullopt;
  Action out = std::move(actions_.front());
  actions_.pop_front();
  return out;
}

// ---- state machines ----

void Supervisor::emit(Action::Type type, int slot, const std::string& version, const std::string& message) {
  actions_.push_back({type, slot, version, message});
}

void Supervisor::persist_state() {
  unsaved_ = true;
  emit(Action::Type::persist_state);
}

void Supervisor::set_outcome(Outcome outcome, const std::string& why) {
  // A swap without an order (at its start the keeper replaces a gatherer of another version than the one in
  // force) leaves the outcome of the last order alone, unless it fails.
  const bool under_way = state_.outcome == Outcome::under_way || state_.outcome == Outcome::on_trial ||
                         state_.outcome == Outcome::rolling_back;
  if ((under_way || outcome == Outcome::needs_operator || outcome == Outcome::rolling_back) &&
      (state_.outcome != outcome || state_.why != why)) {
    state_.outcome = outcome;
    state_.why = why;
    state_.since_ms = wall_ / 1ms;
    emit(Action::Type::log, primary_, state_.in_force,
         std::string("order ") + name_of(outcome) + (why.empty() ? "" : ": " + why));
  }
  persist_state();
}

void Supervisor::on(int slot, ProcessEvent event, const std::string& why) {
  Process& process = at(slot);
  const ProcessTransition& transition = kProcessTransitions[index_of(process.state)][index_of(event)];
  if (transition.next != process.state) process.since = now_;
  process.state = transition.next;
  switch (transition.reaction) {
    case ProcessReaction::nothing:
      return;
    case ProcessReaction::unexpected:
      unexpected_events_ += 1;
      emit(Action::Type::log, slot, process.version,
           std::string("IMPOSSIBLE: event ") + std::to_string(index_of(event)) + " of a process in state " +
               name_of(process.state));
      return;
    case ProcessReaction::report_serving:
      return on(SwapEvent::process_serving);
    case ProcessReaction::report_hung:
      emit(Action::Type::log, slot, process.version,
           "hung: no windows, no health answers, or no multiget ended");
      if (slot == primary_ && (swap_ == SwapState::proving || swap_ == SwapState::rollback_proving ||
                               swap_ == SwapState::trial)) {
        swap_failure_ = "the gatherer hung";
        on(SwapEvent::failed);
      }
      return;
    case ProcessReaction::report_responsive:
      return emit(Action::Type::log, slot, process.version, "responsive again");
    case ProcessReaction::terminate:
      return emit(Action::Type::terminate, slot);
    case ProcessReaction::kill:
      process.since = now_;
      emit(Action::Type::log, slot, process.version,
           "sending SIGKILL: did not start in time, hung, or did not stop in time");
      return emit(Action::Type::kill, slot);
    case ProcessReaction::release_slot:
      break;
    case ProcessReaction::report_failure:
      on_process_failed(slot, why);
      break;
  }
  // The slot is free again.
  if (start_pending_ && *start_pending_ == slot) start_when_slot_free();
  if (state_.outcome == Outcome::under_way && state_.order && state_.order->kind == OrderKind::stop &&
      at(0).state == ProcessState::none && at(1).state == ProcessState::none)
    set_outcome(Outcome::done, "");
}

// Handles an exit without an order, or a failed start.
void Supervisor::on_process_failed(int slot, const std::string& how) {
  state_.unplanned_exits += 1;
  emit(Action::Type::log, slot, at(slot).version, "unplanned exit: " + how);
  const bool is_starting = swap_ == SwapState::starting || swap_ == SwapState::rollback_starting;
  if (is_starting) {
    // An exit of the process that is being replaced does not stop the swap: its replacement is starting.
    if (start_pending_ || slot != newest_) return;
    swap_failure_ = "the new process did not start: " + how;
    return on(SwapEvent::process_failed);
  }
  if (slot != primary_) return;
  if (swap_ == SwapState::reloading || swap_ == SwapState::rollback_reloading)
    return on(SwapEvent::process_failed);
  if (swap_ != SwapState::none) {
    swap_failure_ = "the gatherer exited: " + how;
    return on(SwapEvent::failed);
  }
  const double uptime = static_cast<double>((now_ - at(slot).started).count());
  const double decay_time = static_cast<double>(policy_.crash_score_decay_time.count());
  state_.crash_score = std::max(state_.crash_score - uptime / decay_time, 0.0) + 1;
  on(state_.crash_score >= policy_.max_crash_score ? RunEvent::too_many_failures : RunEvent::process_failed);
}

void Supervisor::on(RunEvent event) {
  const RunTransition& transition = kRunTransitions[index_of(run_state_)][index_of(event)];
  run_state_ = transition.next;
  switch (transition.reaction) {
    case RunReaction::nothing:
      return;
    case RunReaction::reset_crash_score:
      state_.crash_score = 0;
      state_.gave_up = false;
      persist_state();
      return start_when_slot_free();
    case RunReaction::start:
      return start_when_slot_free();
    case RunReaction::stop:
      start_pending_.reset();
      for (int slot = 0; slot < kSlots; ++slot) on(slot, ProcessEvent::stop_requested);
      return;
    case RunReaction::back_off: {
      // The first restart after a long uptime is immediate; the wait doubles with each further one.
      const double doublings = std::min(state_.crash_score - 2, kMaxDoublings);
      Duration wait{};
      if (state_.crash_score > kImmediateRestartScore)
        wait =
            std::min(Duration(static_cast<std::int64_t>(static_cast<double>(policy_.initial_backoff.count()) *
                                                        std::exp2(doublings) * (1 + jitter_))),
                     policy_.max_backoff);
      backoff_until_ = now_ + wait;
      emit(Action::Type::log, primary_, state_.in_force, "restart in " + std::to_string(wait / 1ms) + " ms");
      persist_state();
      if (wait <= Duration::zero()) on(RunEvent::backoff_elapsed);
      return;
    }
    case RunReaction::give_up:
      state_.gave_up = true;
      emit(Action::Type::log, primary_, state_.in_force,
           "no more restarts: too many unplanned exits; an order starts it again");
      if (state_.outcome == Outcome::under_way)
        return set_outcome(Outcome::needs_operator, "too many unplanned exits");
      return persist_state();
  }
}

void Supervisor::start_in(int slot) {
  start_pending_.reset();
  newest_ = slot;
  at(slot).version = state_.in_force;
  // The process finds its files by the link; a failure to set the link cancels the start.
  emit(Action::Type::link_version, 0, state_.in_force);
  emit(Action::Type::start_process, slot, state_.in_force);
}

void Supervisor::start_when_slot_free() {
  if (run_state_ == RunState::shutting_down || run_state_ == RunState::off) return;
  const int slot = at(primary_).state == ProcessState::none ? primary_ : 1 - primary_;
  if (at(slot).state == ProcessState::none) return start_in(slot);
  start_pending_ = slot;
  on(slot, ProcessEvent::stop_requested);
}

// Returns true where the serving process already runs the version's program, so that a reload suffices.
bool Supervisor::can_reload(const VersionInfo& info) const {
  const Process& primary = at(primary_);
  return (primary.state == ProcessState::serving || primary.state == ProcessState::hung) &&
         primary.info.program == info.program;
}

// Brings back the former version, which is already recorded as the one in force.
void Supervisor::start_rollback(SwapState reloading, SwapState starting) {
  swap_since_ = now_;
  is_sound_now_ = false;
  const bool reloads = can_reload(former_);
  swap_ = reloads ? reloading : starting;
  if (reloads) return emit(Action::Type::reload, primary_);
  start_when_slot_free();
}

void Supervisor::link_in_force(const char* message) {
  swap_since_ = now_;
  is_sound_now_ = false;
  emit(Action::Type::link_version, 0, state_.in_force);
  emit(Action::Type::log, primary_, state_.in_force, message);
}

void Supervisor::on(SwapEvent event, const std::string& why) {
  const SwapTransition& transition = kSwapTransitions[index_of(swap_)][index_of(event)];
  const SwapState before = swap_;
  switch (transition.reaction) {
    case SwapReaction::nothing:
      return;
    case SwapReaction::unexpected:
      unexpected_events_ += 1;
      emit(Action::Type::log, primary_, state_.in_force,
           std::string("IMPOSSIBLE: event ") + std::to_string(index_of(event)) + " of a swap in state " +
               name_of(swap_));
      return;
    case SwapReaction::begin_swap: {
      const bool reloads = can_reload(target_);
      swap_ = reloads ? transition.reloading : transition.starting;
      link_in_force("bringing into force");
      on(RunEvent::process_starting);
      if (reloads) return emit(Action::Type::reload, primary_);
      return start_when_slot_free();
    }
    case SwapReaction::start_process:
      swap_ = transition.starting;
      swap_since_ = now_;
      return start_when_slot_free();
    case SwapReaction::begin_proving:
      at(primary_).version = state_.in_force;
      at(primary_).last_taken = at(primary_).last_ended = Duration{};
      emit(Action::Type::record_version, primary_, state_.in_force);
      swap_ = transition.starting;
      swap_since_ = now_;
      is_sound_now_ = false;
      return;
    case SwapReaction::take_over: {
      swap_ = transition.starting;
      swap_since_ = now_;
      is_sound_now_ = false;
      if (newest_ != primary_) {
        on(primary_, ProcessEvent::stop_requested);
        primary_ = newest_;
      }
      return;
    }
    case SwapReaction::complete:
      if (state_.order && state_.order->kind == OrderKind::use && state_.order->trial > Duration::zero()) {
        swap_ = SwapState::trial;
        trial_until_ = now_ + state_.order->trial;
        return set_outcome(Outcome::on_trial, "");
      }
      swap_ = SwapState::none;
      return set_outcome(Outcome::done, "");
    case SwapReaction::confirm:
      swap_ = SwapState::none;
      return set_outcome(Outcome::done, "");
    case SwapReaction::refuse:
    case SwapReaction::keep_present:
    case SwapReaction::roll_back: {
      if (!why.empty()) swap_failure_ = why;
      const Process& primary = at(primary_);
      if (state_.former.empty() || state_.former == state_.in_force) {
        // Without a former version this one goes on as it is, with restarts and backoffs.
        swap_ = SwapState::none;
        set_outcome(Outcome::needs_operator, swap_failure_ + "; there is no former version");
        if (primary.state == ProcessState::none) on(RunEvent::process_failed);
        return;
      }
      // A later rollback must not return to the version that failed.
      state_.in_force = std::exchange(state_.former, std::string());
      link_in_force(("rolling back: " + swap_failure_).c_str());
      const bool untouched =
          transition.reaction != SwapReaction::roll_back && primary.state == ProcessState::serving &&
          primary.info.program == former_.program && primary.configuration == former_.configuration;
      if (untouched) {
        // The former process has been serving all along.
        swap_ = SwapState::none;
        return set_outcome(
            transition.reaction == SwapReaction::refuse ? Outcome::refused : Outcome::rolled_back,
            swap_failure_);
      }
      set_outcome(Outcome::rolling_back, swap_failure_);
      return start_rollback(SwapState::rollback_reloading, SwapState::rollback_starting);
    }
    case SwapReaction::finish_rollback:
      swap_ = SwapState::none;
      return set_outcome(Outcome::rolled_back, swap_failure_);
    case SwapReaction::fail_rollback:
      swap_ = SwapState::none;
      set_outcome(Outcome::needs_operator, swap_failure_ + "; the rollback failed as well");
      if (at(primary_).state == ProcessState::none) {
        state_.crash_score += 1;
        on(RunEvent::process_failed);
      }
      return;
    case SwapReaction::abandon:
      swap_ = SwapState::none;
      start_pending_.reset();
      if (before != SwapState::none)
        emit(Action::Type::log, primary_, state_.in_force, "swap abandoned: stopped");
      return;
  }
}

}  // namespace marbledyke::keeper
