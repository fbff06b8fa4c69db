// Supervision of the fleet's settings at one keeper, without I/O: when a revision is written for the gatherer
// and the gatherer told to reload, when the revision counts as good, and when the last good one is restored.
//
// One state machine, a table of phase and event. The caller reports events and the time, and pulls the
// resulting actions with next_action().
//
// Two records survive the keeper: `settings`, which gatherers read, and `good`, the last revision that a
// gatherer accepted. `settings` is written first, `good` once the revision has been accepted. A keeper that
// was killed in between finds `settings` newer than `good` and has the gatherer reload once more.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "distribution/revision.h"
#include "model/types.h"

namespace marbledyke::keeper {

using namespace std::chrono_literals;

struct SettingsPolicy {
  Duration reload_timeout = 5s;  // from SIGHUP until the gatherer reports the result
  Duration wait_timeout = 65s;  // for the end of a swap of versions, which takes 60 s at most with a rollback
  Duration probation_period = 2s;  // an unplanned exit within this after a reload is blamed on the settings
  Duration stall_threshold = 1s;   // a tick that is this late: the keeper itself was paused
  Duration write_retry_interval = 1s;  // after a failed write
};

// Whether the gatherer can be told to reload: no process runs; a swap or a start is under way; it can.
enum class GathererStatus { absent, busy, ready };
enum class SettingsPhase {
  idle,       // the written revision is good, or there is none
  waiting,    // a revision was offered while the gatherer was busy
  reloading,  // a revision is written, and the gatherer has been told to reload
  unproven,   // a revision is written; the next gatherer that starts proves it
  probation   // the revision is good, and is withdrawn if the gatherer exits right away
};
enum class SettingsEvent {
  offered,
  gatherer_ready,
  gatherer_absent,
  accepted,
  refused,
  gatherer_stopped,  // by order, or from outside
  gatherer_failed,
  timed_out
};

// Returns the name of the phase in the status.
const char* name_of(SettingsPhase phase);

struct SettingsAction {
  enum class Type {
    write_settings,  // `revision` into `settings`; none: remove it
    write_good,      // `revision` into `good`; none: remove it
    reload,          // SIGHUP to the gatherer
    report_applied,  // to the receiver
    report_refused,  // to the receiver, with `message`
    start_receiver,  // that holds `revision`; replaces the present receiver, if any
    log              // write `message` to the log
  };
  Type type = Type::log;
  std::optional<distribution::Revision> revision;
  std::string message;
};

class SettingsSupervisor {
 public:
  using Revision = distribution::Revision;
  struct Refusal {
    std::int64_t index = 0;
    std::string digest, why;
  };

  explicit SettingsSupervisor(const SettingsPolicy& policy) : policy_(policy) {}

  // Starts from the records on disk; a missing or damaged one is none. Once, before all other calls.
  void resume(std::optional<Revision> settings, std::optional<Revision> good, Duration now);

  // Reports a revision from the receiver, which waits for report_applied or report_refused.
  void on_revision_offered(const Revision& revision);
  void tick(Duration now, GathererStatus gatherer);
  // Reports the revision that the serving gatherer runs; none: it was started without the fleet's settings.
  void on_running_revision(std::optional<std::int64_t> index);
  // The two results of a reload.
  void on_reload_accepted(std::optional<std::int64_t> index);
  void on_reload_refused(const std::string& why);
  // Reports the exit of the gatherer that served or was starting; `ordered`: by the keeper's order, or from
  // outside.
  void on_gatherer_exited(bool ordered, const std::string& how);
  // Reports the result of write_settings or write_good; an empty `error` means success.
  void on_written(SettingsAction::Type type, const std::string& error);

  // Returns the next action to carry out, in order; none when there is nothing to do.
  std::optional<SettingsAction> next_action();

  SettingsPhase phase() const { return phase_; }
  bool is_reloading() const { return phase_ == SettingsPhase::reloading; }
  const std::optional<Revision>& settings() const { return settings_; }
  const std::optional<Revision>& good() const { return good_; }
  const std::optional<Refusal>& refusal() const { return refusal_; }  // the newest
  std::optional<std::int64_t> running() const { return running_; }
  const std::string& write_error() const { return write_error_; }
  // Events that cannot occur in the phase they occurred in: each one is a bug in this program.
  std::uint64_t unexpected_events() const { return unexpected_events_; }

 private:
  void on(SettingsEvent event, const std::string& why = {});
  void emit(SettingsAction::Type type, std::optional<Revision> revision = {},
            const std::string& message = {});
  void set_settings(std::optional<Revision> settings);
  void set_good(std::optional<Revision> good);
  void begin_reload();
  void write_unproven();
  void withdraw_attempt();
  void accept();
  void roll_back(const std::string& why);
  void withdraw_accepted(const std::string& why);
  void report_applied();
  void report_refused(const Revision& revision, const std::string& why);
  SettingsPhase phase_at_rest() const;

  SettingsPolicy policy_;
  Duration now_{}, since_{};  // since_: start of the present phase
  GathererStatus gatherer_ = GathererStatus::busy;
  SettingsPhase phase_ = SettingsPhase::idle;
  std::optional<Revision> settings_, good_;  // the intended contents of the two records
  std::optional<Revision> offered_;          // not written yet, while waiting
  std::optional<Revision> next_offer_;       // arrived during the reload of an unproven revision
  std::optional<Revision> rollback_;         // restored where `settings_` fails
  std::optional<Refusal> refusal_;
  std::optional<std::int64_t> running_;
  bool result_awaited_ = false;  // the receiver waits for the result of the newest offer
  bool has_receiver_ = false;
  bool settings_unsaved_ = false, good_unsaved_ = false;
  bool attempt_unwritten_ = false;  // a new revision is being written
  bool reloads_unproven_ = false;   // the revision that is being reloaded was unproven before
  Duration offered_since_{}, running_since_{};
  Duration next_write_at_{};
  std::string write_error_;
  std::uint64_t unexpected_events_ = 0;
  std::deque<SettingsAction> actions_;
};

}  // namespace marbledyke::keeper
