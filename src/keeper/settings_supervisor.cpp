#include "keeper/settings_supervisor.h"

#include <utility>

namespace marbledyke::keeper {
namespace {

constexpr std::size_t kPhases = 5;
constexpr std::size_t kEvents = 8;
// The names in the status.
constexpr const char* kPhaseNames[kPhases] = {"idle", "waiting", "trying", "kept", "probation"};

enum class Reaction {
  nothing,
  unexpected,            // counted as a bug
  begin_reload,          // write the offered revision and have the gatherer reload
  check_unproven,        // a gatherer serves: either it runs the unproven revision already, or it reloads
  write_unproven,        // write the offered revision, for the next start
  accept,                // the revision is good
  roll_back,             // restore the revision before
  roll_back_and_reload,  // and have the gatherer reload it
  withdraw_accepted,     // the revision was good and is so no more
  withdraw_offer         // the offered revision was never written
};

// Short names for the table.
using P = SettingsPhase;
using R = Reaction;

template <typename E>
constexpr std::size_t index_of(E e) {
  return static_cast<std::size_t>(e);
}

struct Transition {
  Reaction reaction;
  P next;
};
constexpr Transition ignore(P phase) { return {R::nothing, phase}; }
constexpr Transition unexpected(P phase) { return {R::unexpected, phase}; }

// Columns: offered, gatherer_ready, gatherer_absent, accepted, refused, gatherer_stopped, gatherer_failed,
// timed_out.
constexpr Transition kTransitions[kPhases][kEvents] = {
    /* idle */
    {{R::nothing, P::waiting},
     ignore(P::idle),
     ignore(P::idle),
     ignore(P::idle),
     ignore(P::idle),
     ignore(P::idle),
     ignore(P::idle),
     unexpected(P::idle)},
    /* waiting */
    {unexpected(P::waiting),
     {R::begin_reload, P::reloading},
     {R::write_unproven, P::unproven},
     ignore(P::waiting),
     ignore(P::waiting),
     ignore(P::waiting),
     ignore(P::waiting),
     {R::withdraw_offer, P::idle}},
    /* reloading */
    {unexpected(P::reloading),
     ignore(P::reloading),
     ignore(P::reloading),
     {R::accept, P::probation},
     {R::roll_back, P::idle},
     {R::write_unproven, P::unproven},
     {R::roll_back, P::idle},
     {R::roll_back_and_reload, P::idle}},
    /* unproven */
    {{R::nothing, P::waiting},
     {R::check_unproven, P::reloading},
     {R::write_unproven, P::unproven},
     ignore(P::unproven),
     ignore(P::unproven),
     ignore(P::unproven),
     {R::roll_back, P::idle},
     unexpected(P::unproven)},
    /* probation */
    {{R::nothing, P::waiting},
     ignore(P::probation),
     ignore(P::probation),
     ignore(P::probation),
     ignore(P::probation),
     {R::nothing, P::idle},
     {R::withdraw_accepted, P::idle},
     {R::nothing, P::idle}}};

bool is_same(const std::optional<distribution::Revision>& a, const std::optional<distribution::Revision>& b) {
  return a == b;
}

Duration timeout_of(P phase, const SettingsPolicy& policy) {
  if (phase == P::waiting) return policy.wait_timeout;
  if (phase == P::reloading) return policy.reload_timeout;
  if (phase == P::probation) return policy.probation_period;
  return Duration::max();
}

}  // namespace

const char* name_of(SettingsPhase phase) { return kPhaseNames[index_of(phase)]; }

// ---- events ----

void SettingsSupervisor::resume(std::optional<Revision> settings, std::optional<Revision> good,
                                Duration now) {
  now_ = since_ = now;
  good_ = std::move(good);
  settings_ = good_;
  rollback_ = good_;
  const bool newer = settings && (!good_ || settings->index > good_->index);
  if (newer) {
    settings_ = std::move(settings);
    phase_ = SettingsPhase::unproven;
    return;
  }
  if (!is_same(settings, good_)) set_settings(good_);
  emit(SettingsAction::Type::start_receiver, good_);
  has_receiver_ = true;
}

void SettingsSupervisor::on_revision_offered(const Revision& revision) {
  if (phase_ == SettingsPhase::reloading && reloads_unproven_) {
    next_offer_ = revision;
    return;
  }
  result_awaited_ = true;
  if (refusal_ && refusal_->index == revision.index && refusal_->digest == revision.digest)
    return report_refused(revision, refusal_->why);
  if (settings_ && *settings_ == revision) return report_applied();
  if (settings_ && revision.index <= settings_->index)
    return report_refused(revision, "is not newer than revision " + std::to_string(settings_->index));
  if (phase_ == SettingsPhase::waiting || phase_ == SettingsPhase::reloading)
    return on(SettingsEvent::offered);
  offered_ = revision;
  offered_since_ = now_;
  on(SettingsEvent::offered);
  tick(now_, gatherer_);
}

void SettingsSupervisor::tick(Duration now, GathererStatus gatherer) {
  const Duration gap = now - now_;
  now_ = now;
  gatherer_ = gatherer;
  if (gap > policy_.stall_threshold) {
    since_ += gap;
    offered_since_ += gap;
  }
  if (now_ >= next_write_at_) {
    if (settings_unsaved_ && phase_ != SettingsPhase::waiting)
      emit(SettingsAction::Type::write_settings, settings_);
    if (good_unsaved_) emit(SettingsAction::Type::write_good, good_);
  }
  // While another revision waits, the one that the gatherer runs can still be proved.
  if (phase_ == SettingsPhase::waiting && !is_same(settings_, good_) && settings_ &&
      running_ == settings_->index && now_ - running_since_ >= policy_.probation_period)
    set_good(settings_);
  if (next_offer_ && phase_ != SettingsPhase::reloading) {
    const Revision next = *std::exchange(next_offer_, std::nullopt);
    return on_revision_offered(next);
  }
  if (running_ && settings_ && running_ == settings_->index) {
    if (phase_ == SettingsPhase::unproven) on(SettingsEvent::gatherer_ready);
    if (phase_ == SettingsPhase::reloading) on(SettingsEvent::accepted);
  }
  const bool is_write_delayed = phase_ == SettingsPhase::waiting && now_ < next_write_at_;
  if ((phase_ == SettingsPhase::waiting && !is_write_delayed) || phase_ == SettingsPhase::unproven) {
    if (gatherer == GathererStatus::ready) on(SettingsEvent::gatherer_ready);
    if (gatherer == GathererStatus::absent) on(SettingsEvent::gatherer_absent);
  }
  const Duration started = phase_ == SettingsPhase::waiting ? offered_since_ : since_;
  if (now_ - started < timeout_of(phase_, policy_)) return;
  const std::string reason = write_error_.empty() ? "a swap of versions did not end in time" : write_error_;
  on(SettingsEvent::timed_out, phase_ == SettingsPhase::waiting
                                   ? reason
                                   : "the gatherer did not report the result of the reload in time");
}

void SettingsSupervisor::on_running_revision(std::optional<std::int64_t> index) {
  if (running_ != index) running_since_ = now_;
  running_ = index;
}

void SettingsSupervisor::on_reload_accepted(std::optional<std::int64_t> index) {
  on_running_revision(index);
  if (phase_ != SettingsPhase::reloading) return;
  if (!index)
    return on(SettingsEvent::refused, "the gatherer was started without fleet settings; restart it");
  if (*index == settings_->index) on(SettingsEvent::accepted);
}

void SettingsSupervisor::on_reload_refused(const std::string& why) { on(SettingsEvent::refused, why); }

void SettingsSupervisor::on_gatherer_exited(bool ordered, const std::string& how) {
  running_.reset();
  on(ordered ? SettingsEvent::gatherer_stopped : SettingsEvent::gatherer_failed,
     "the gatherer exited after loading these settings: " + how);
}

void SettingsSupervisor::on_written(SettingsAction::Type type, const std::string& error) {
  const bool success = error.empty();
  (type == SettingsAction::Type::write_settings ? settings_unsaved_ : good_unsaved_) = !success;
  const bool attempted =
      type == SettingsAction::Type::write_settings && std::exchange(attempt_unwritten_, false);
  if (success) {
    if (!settings_unsaved_ && !good_unsaved_) write_error_.clear();
    return;
  }
  write_error_ = error;
  next_write_at_ = now_ + policy_.write_retry_interval;
  if (attempted) withdraw_attempt();
}

// A failed write cancels the actions that were to follow it; the write is retried within the wait's time-out.
void SettingsSupervisor::withdraw_attempt() {
  for (const SettingsAction& action : actions_) {
    result_awaited_ = result_awaited_ || action.type == SettingsAction::Type::report_applied;
    has_receiver_ = has_receiver_ && action.type != SettingsAction::Type::start_receiver;
  }
  actions_.clear();
  offered_ = std::exchange(settings_, rollback_);
  rollback_ = good_;
  phase_ = SettingsPhase::waiting;
}

std::optional<SettingsAction> SettingsSupervisor::next_action() {
  if (actions_.empty()) return std::nullopt;
  SettingsAction out = std::move(actions_.front());
  actions_.pop_front();
  return out;
}

// ---- state machine ----

void SettingsSupervisor::emit(SettingsAction::Type type, std::optional<Revision> revision,
                              const std::string& message) {
  actions_.push_back({type, std::move(revision), message});
}

void SettingsSupervisor::set_settings(std::optional<Revision> settings) {
  settings_ = std::move(settings);
  emit(SettingsAction::Type::write_settings, settings_);
}

void SettingsSupervisor::set_good(std::optional<Revision> good) {
  good_ = std::move(good);
  emit(SettingsAction::Type::write_good, good_);
}

SettingsPhase SettingsSupervisor::phase_at_rest() const {
  return is_same(settings_, good_) ? SettingsPhase::idle : SettingsPhase::unproven;
}

void SettingsSupervisor::on(SettingsEvent event, const std::string& why) {
  const Transition& transition = kTransitions[index_of(phase_)][index_of(event)];
  const SettingsPhase before = phase_;
  phase_ = transition.next;
  if (phase_ != before) since_ = now_;
  switch (transition.reaction) {
    case Reaction::nothing:
      return;
    case Reaction::unexpected:
      unexpected_events_ += 1;
      return emit(SettingsAction::Type::log, {},
                  "IMPOSSIBLE: event " + std::to_string(index_of(event)) + " in phase " + name_of(before));
    case Reaction::begin_reload:
      return begin_reload();
    case Reaction::check_unproven:
      if (running_ == settings_->index) {
        phase_ = SettingsPhase::probation;
        return accept();
      }
      rollback_ = good_;
      reloads_unproven_ = true;
      return emit(SettingsAction::Type::reload);
    case Reaction::write_unproven:
      return write_unproven();
    case Reaction::accept:
      return accept();
    case Reaction::roll_back:
      return roll_back(why);
    case Reaction::roll_back_and_reload:
      // There is nothing against an unproven revision, and it may be in effect: it is reloaded once more.
      if (std::exchange(reloads_unproven_, false)) {
        phase_ = SettingsPhase::unproven;
        return write_unproven();
      }
      roll_back(why);
      return emit(SettingsAction::Type::reload);
    case Reaction::withdraw_accepted:
      return withdraw_accepted(why);
    case Reaction::withdraw_offer: {
      const Revision withdrawn = *std::exchange(offered_, std::nullopt);
      phase_ = phase_at_rest();
      set_settings(settings_);
      return report_refused(withdrawn, why);
    }
  }
}

void SettingsSupervisor::begin_reload() {
  if (settings_ && running_ == settings_->index && !is_same(settings_, good_)) set_good(settings_);
  rollback_ = settings_;
  attempt_unwritten_ = true;
  reloads_unproven_ = false;
  set_settings(std::exchange(offered_, std::nullopt));
  emit(SettingsAction::Type::reload);
}

void SettingsSupervisor::write_unproven() {
  attempt_unwritten_ = offered_.has_value();
  if (offered_) {
    rollback_ = settings_;
    set_settings(std::exchange(offered_, std::nullopt));
  }
  report_applied();
}

void SettingsSupervisor::accept() {
  rollback_ = good_;
  set_good(settings_);
  report_applied();
}

void SettingsSupervisor::roll_back(const std::string& why) {
  const Revision failed = *settings_;
  set_settings(rollback_);
  phase_ = phase_at_rest();
  rollback_ = good_;
  report_refused(failed, why);
}

void SettingsSupervisor::withdraw_accepted(const std::string& why) {
  const Revision failed = *settings_;
  set_settings(rollback_);
  set_good(rollback_);
  report_refused(failed, why);
}

void SettingsSupervisor::report_applied() {
  if (std::exchange(result_awaited_, false)) return emit(SettingsAction::Type::report_applied);
  if (has_receiver_) return;
  has_receiver_ = true;
  emit(SettingsAction::Type::start_receiver, settings_);
}

// A refusal after the receiver was told that the revision is applied needs a new receiver, which holds the
// restored revision.
void SettingsSupervisor::report_refused(const Revision& revision, const std::string& why) {
  refusal_ = Refusal{revision.index, revision.digest, why};
  emit(SettingsAction::Type::log, {}, "revision " + std::to_string(revision.index) + " refused: " + why);
  if (std::exchange(result_awaited_, false)) return emit(SettingsAction::Type::report_refused, {}, why);
  has_receiver_ = true;
  next_offer_.reset();
  emit(SettingsAction::Type::start_receiver, settings_);
}

}  // namespace marbledyke::keeper
