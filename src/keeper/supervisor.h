// Supervision of one machine's gatherer, without I/O: when a process is started, told to reload, stopped,
// killed and restarted after a crash; how one version is swapped for another and when the swap is rolled
// back; and the health of the processes.
//
// Three state machines, each a table of state and event: one for each process (two at most: the one that
// serves, and the one that replaces it or is stopping), one for the swap of versions, and one for whether a
// gatherer is to run. The caller reports events and the time, and pulls the resulting actions with
// next_action().
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "keeper/orders.h"
#include "model/types.h"

namespace marbledyke::keeper {

using namespace std::chrono_literals;

struct SupervisorPolicy {
  Duration start_timeout = 10s;           // from the start of a process until it serves
  Duration reload_timeout = 5s;           // from SIGHUP until the process reports the result
  Duration proving_period = 3s;           // a version that was healthy for this long is proved
  Duration proving_timeout = 15s;         // a version has to be proved within this
  Duration silence_timeout = 3s;          // processes report each second; one that is silent for this is hung
  Duration no_progress_timeout = 10s;     // so is one that takes multigets for this long and ends none
  Duration hung_timeout = 10s;            // then it is killed
  Duration stop_timeout = 6s;             // an ordered stop takes 3.7 s at most
  Duration kill_retry_interval = 2s;      // between two SIGKILLs to a process that has not ended
  Duration initial_backoff = 200ms;       // before the second restart in a row; the first is immediate
  Duration max_backoff = 30s;             // the backoff doubles with each restart up to this
  double max_crash_score = 8;             // no restarts from this score on
  Duration crash_score_decay_time = 60s;  // an uptime of this takes 1 off the crash score
  Duration stall_threshold = 1s;          // a tick that is this late: the keeper itself was paused
};

inline constexpr int kSlots = 2;

enum class ProcessState {
  none,
  starting,
  serving,
  hung,
  stopping,
  killed_in_stop,   // an ordered stop timed out
  killed_as_failed  // it hung or did not start in time
};
enum class ProcessEvent { started, serving, silent, responsive, stop_requested, timed_out, exited };
enum class SwapState {
  none,
  reloading,  // the present process reads the new settings
  starting,   // a new process starts beside the present one
  proving,
  trial,  // proved; rolled back unless it is confirmed
  rollback_reloading,
  rollback_starting,
  rollback_proving
};
enum class SwapEvent {
  requested,
  reloaded,
  reload_refused,  // the process goes on under the settings that it has
  needs_restart,   // some settings only take effect at the next start
  process_serving,
  process_failed,  // it could not be started or has ended, or the process that was to reload has ended
  proved,
  failed,  // the process has ended or hung
  timed_out,
  confirmed,
  stopped
};
enum class RunState { off, backing_off, running, given_up, shutting_down };
enum class RunEvent {
  run_requested,
  stop_requested,
  process_starting,
  process_failed,
  too_many_failures,
  backoff_elapsed,
  shutdown_requested
};

// The names in the status and in the log.
const char* name_of(ProcessState state);
const char* name_of(SwapState state);
const char* name_of(RunState state);

// The health of one process. Three separate facts: the process exists, it answers its health call, and it
// does end multigets.
struct Health {
  bool runs = false, healthy = false;
  enum class Answers { unknown, yes, no } answers = Answers::unknown;  // unknown: it has got no multiget yet
};

struct Action {
  enum class Type {
    persist_state,   // write state() to disk
    link_version,    // make `version` the one in force
    start_process,   // of `version` in `slot`
    record_version,  // the process in `slot` has reloaded and is of `version` now
    reload,          // SIGHUP
    terminate,       // SIGTERM
    kill,            // SIGKILL
    log              // write `message` to the log
  };
  Type type = Type::log;
  int slot = 0;
  std::string version;
  std::string message;
};

// The part of a process's window of totals that supervision uses.
struct WindowReport {
  std::string configuration;                        // digest of the configuration that the process runs
  std::uint64_t taken = 0, ended = 0, in_hand = 0;  // multigets
};

// The identity of a version's files, from its manifest.
struct VersionInfo {
  std::string program;        // checksum
  std::string configuration;  // digest, in the form in which the gatherer reports it
};

class Supervisor {
 public:
  // `jitter` from 0 to 1: the share by which this keeper's backoffs are longer.
  Supervisor(const SupervisorPolicy& policy, KeeperState state, Duration now, Duration wall, double jitter);

  // Reports a gatherer that was already running when the keeper started. Before resume().
  void on_process_adopted(int slot, const std::string& version, const VersionInfo& info);
  // Continues what the persisted state says was under way. Once, after the adopted processes.
  // `has_ordered_version`: the version that the last order names is complete on disk.
  void resume(const VersionInfo& in_force, const VersionInfo& former, bool has_ordered_version);

  // Returns the verdict of check_order(), or busy while the keeper shuts down or a swap that no order asked
  // for is under way.
  OrderVerdict evaluate(const Order& order, bool has_version) const;
  // Returns the state to persist for an order that evaluate() accepted.
  static KeeperState state_with(const KeeperState& state, const Order& order, Duration wall);
  // Carries out an accepted order after `state` has been persisted.
  void accept(const Order& order, KeeperState state, const VersionInfo& target, const VersionInfo& former);
  // Reports the end of a take, drop or try order; an empty `error` means success.
  void on_version_task_done(const std::string& error, const std::string& notes = {});

  // Results of actions, and events of processes.
  void on_process_started(int slot, const VersionInfo& info);
  void on_process_exited(int slot, const std::string& how);
  void on_start_failed(int slot, const std::string& why);
  void on_version_linked() { link_pending_ = false; }
  void on_link_failed(const std::string& why);
  void on_process_serving(int slot);
  void on_window_report(int slot, const WindowReport& window);
  void on_reload_result(int slot, bool accepted, bool needs_restart, const std::string& why);
  void on_health_result(bool good);
  void on_state_written(bool written);
  void tick(Duration now, Duration wall);
  // Shuts the keeper down together with its gatherers.
  void shut_down();
  bool is_shut_down() const {
    return run_state_ == RunState::shutting_down && processes_[0].state == ProcessState::none &&
           processes_[1].state == ProcessState::none;
  }

  // Returns the next action to carry out, in order; none when there is nothing to do.
  std::optional<Action> next_action();

  const KeeperState& state() const { return state_; }
  bool has_unsaved_state() const { return unsaved_; }
  // The slot of the process that serves, or that served last.
  int primary_slot() const { return primary_; }
  ProcessState process_state(int slot) const { return processes_[static_cast<std::size_t>(slot)].state; }
  const std::string& process_version(int slot) const {
    return processes_[static_cast<std::size_t>(slot)].version;
  }
  SwapState swap_state() const { return swap_; }
  RunState run_state() const { return run_state_; }
  // The time of the next restart while backing off.
  std::optional<Duration> next_start_at() const {
    return run_state_ == RunState::backing_off ? std::optional(backoff_until_) : std::nullopt;
  }
  Health health_of(int slot) const;
  // Events that cannot occur in the state they occurred in: each one is a bug in this program.
  std::uint64_t unexpected_events() const { return unexpected_events_; }

 private:
  struct Process {
    ProcessState state = ProcessState::none;
    std::string version;
    VersionInfo info;
    Duration since{};  // start of the present state
    Duration started{};
    Duration last_report{}, last_healthy{};
    Duration last_taken{},
        last_ended{};              // reports of the newest windows with a multiget taken, and with one ended
    Duration no_progress_since{};  // no multiget taken since then has ended
    std::string configuration;     // digest, from the last window
  };

  void on(int slot, ProcessEvent event, const std::string& why = {});
  void on(SwapEvent event, const std::string& why = {});
  void on(RunEvent event);
  void emit(Action::Type type, int slot = 0, const std::string& version = {},
            const std::string& message = {});
  void start_when_slot_free();
  bool is_sound(const Process& process) const;
  void start_in(int slot);
  bool can_reload(const VersionInfo& info) const;
  void start_rollback(SwapState reloading, SwapState starting);
  void link_in_force(const char* message);
  void set_outcome(Outcome outcome, const std::string& why);
  void persist_state();
  void on_process_failed(int slot, const std::string& how);
  Process& at(int slot) { return processes_[static_cast<std::size_t>(slot)]; }
  const Process& at(int slot) const { return processes_[static_cast<std::size_t>(slot)]; }

  SupervisorPolicy policy_;
  KeeperState state_;
  Duration now_{}, wall_{}, last_tick_{};
  double jitter_;
  std::array<Process, kSlots> processes_;
  int primary_ = 0;  // the slot of the process that serves, or that served last
  int newest_ = 0;   // the slot of the process that was started last
  SwapState swap_ = SwapState::none;
  RunState run_state_ = RunState::off;
  Duration swap_since_{};
  Duration sound_since_{};
  bool is_sound_now_ = false;
  Duration backoff_until_{};
  Duration trial_until_{};
  VersionInfo target_, former_;
  std::string swap_failure_;
  std::optional<int> start_pending_;  // the slot that a start waits for until the process in it has ended
  bool unsaved_ = false, link_pending_ = false;
  std::uint64_t unexpected_events_ = 0;
  std::deque<Action> actions_;
};

}  // namespace marbledyke::keeper
