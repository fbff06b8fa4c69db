// Rollout controller: a state machine without I/O that takes a fleet through the stages of a plan. Every pair
// of state and event is either handled or declared impossible by one table. The caller feeds it the keepers'
// reports, the judge's findings and the clock, and takes the actions that it decides on with next_action().
// What has to outlive the process is saved(); a successor continues from that and from the keepers' reports,
// and may repeat an order, which keepers recognise by its number.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rollout/plan.h"

namespace marbledyke::rollout {

enum class State {
  planned,     // nothing has been done
  checking,    // until every keeper has the complete version and no order under way
  watching,    // records the baseline of both sides before the first change
  swapping,    // the keepers of a stage are being changed
  soaking,     // the new version of the stage is compared with the old one
  waiting,     // too few multigets for a decision, or old and new are degraded alike
  paused,      // by an operator, between two steps
  confirming,  // every stage has passed, and the last keepers are being told to keep the version
  returning,   // changed keepers are being rolled back
  done,        // every stage has passed
  returned,    // every keeper has its previous version again
  held,        // a rollback failed, or a keeper could not be confirmed: an operator has to act
  refused      // nothing was changed, since a keeper was not ready
};
inline constexpr int kStateCount = 13;

enum class Event {
  start,
  keepers_ready,
  keepers_not_ready,
  baseline_recorded,
  stage_swapped,  // every keeper of the stage has the new version
  swap_failed,
  stage_passed,
  inconclusive,      // too few multigets, or old and new are degraded alike
  conclusive_again,  // the reason for waiting is over
  stop,              // the judge found the new version worse
  wait_expired,
  pause,
  resume,
  roll_back,  // asked for by an operator
  rollback_complete,
  rollback_failed,
  all_confirmed  // every keeper has been told to keep the version
};
inline constexpr int kEventCount = 17;

// Names as they are saved and as they appear in the rollout's history.
const char* name_of(State state);
const char* name_of(Event event);
std::optional<State> state_named(const std::string& name);

// How far a keeper is: `ordered` and `back_ordered` have an order under way, `back` was rolled back.
enum class KeeperState { old, ordered, on_trial, confirmed, back_ordered, back, held };
const char* name_of(KeeperState state);

// What a keeper's status says.
struct KeeperReport {
  std::string active_version;
  std::string previous_version;                     // the version that the keeper would roll back to
  std::string outcome, reason;                      // of the last order
  std::uint64_t order_epoch = 0, order_number = 0;  // of the last order that the keeper took
  std::int64_t keeper_started_ms = 0;               // start of the keeper's own process
  // Result of starting the new version beside the serving one; `reason` says why it failed.
  enum class Verification { none, passed, failed } verification = Verification::none;
  bool has_version = false, is_serving = false, gave_up = false;
  std::uint64_t process_exits = 0, broken_invariants = 0;
};

struct Action {
  enum class Kind {
    save_state,
    take,              // order: copy the version to the keeper's machine
    verify,            // order: start the version beside the serving one and report
    use,               // order: change to the version, on trial
    confirm,           // order: end the trial and keep the version
    roll_back,         // order: change to the previous version
    start_comparison,  // the stage soaks from now on
    log
  };
  Kind kind = Kind::log;
  std::string keeper, version, reason;
  std::uint64_t number = 0;  // of an order, within this controller's epoch
};

// What outlives the controller's process.
struct SavedState {
  State state = State::planned;
  int stage = -1;
  std::uint64_t epoch = 0;
  std::map<std::string, KeeperState> keepers;
  std::map<std::string, std::string> previous_versions;  // the version that each keeper is rolled back to
  std::string reason;
  std::int64_t since_ms = 0;  // wall clock; when `state` was entered
  State paused_from = State::planned;
};
nlohmann::json to_json(const SavedState& saved);
SavedState read_saved_state(const nlohmann::json& from);  // throws config::BadInput

class Controller {
 public:
  // `plan` has to outlive the controller. A successor is given the saved state of its predecessor and an
  // epoch higher than any that a keeper has seen. `now` is monotonic time, `wall` the time of day.
  Controller(const Plan& plan, const std::vector<Member>& members, SavedState saved, std::uint64_t epoch,
             Duration now, Duration wall);

  void start() { on_event(Event::start); }
  void on_report(const std::string& keeper, const KeeperReport& report);
  void on_unreachable(const std::string& keeper);
  void on_finding(const Finding& finding);
  void pause() { on_event(Event::pause); }
  void resume() { on_event(Event::resume); }
  void roll_back(const std::string& reason);
  void on_tick(Duration now, Duration wall);

  // The oldest action that was not taken yet.
  std::optional<Action> next_action();

  const SavedState& saved() const { return saved_; }
  State state() const { return saved_.state; }
  bool is_over() const;
  // Whether the soak time of the present stage, including burn-in, has passed.
  bool is_soak_over() const;
  Duration soak_time() const { return now_ - soak_since_; }
  // Keepers with the new version, on trial or confirmed, and since when (monotonic time).
  const std::map<std::string, Duration>& changed_keepers() const { return changed_at_; }
  const std::vector<std::vector<std::string>>& stages() const { return stages_; }
  // Events that arrived in a state in which the table declares them impossible.
  std::uint64_t impossible_events() const { return impossible_events_; }
  const std::string& last_finding() const { return last_finding_; }
  // Everything that decides further behaviour, for comparing states in a search; times are ages, cut off at
  // `horizon`. Two controllers with equal fingerprints behave alike.
  std::string fingerprint(Duration horizon) const;

 private:
  void on_event(Event event, const std::string& reason = {});
  void queue_action(Action::Kind kind, const std::string& keeper = {}, const std::string& reason = {});
  // Orders further keepers of the stage to change, up to the plan's number at a time.
  void order_next_swaps();
  void order_next_rollbacks();
  void confirm_stage();
  void resend_confirmations();
  void adopt_keeper(const std::string& name, const KeeperReport& report);
  void check_swap_progress();
  std::vector<std::string> keepers_in(KeeperState state) const;

  const Plan& plan_;
  std::vector<Member> members_;
  std::vector<std::vector<std::string>> stages_;
  SavedState saved_;
  Duration now_{}, wall_{};
  Duration state_since_{};
  Duration soak_since_{}, wait_since_{};
  std::map<std::string, Duration> ordered_at_, changed_at_, last_report_at_, rollback_started_at_, resent_at_;
  std::map<std::string, KeeperReport> reports_;
  // Number of the last order to change that each keeper was sent in this epoch.
  std::map<std::string, std::uint64_t> use_order_numbers_;
  // Number of the first order to roll back.
  std::map<std::string, std::uint64_t> rollback_order_numbers_;
  // Epoch and number of the last order that each keeper is known to have been sent: from its report, or by
  // this controller since.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> last_orders_;
  std::string last_finding_;
  std::uint64_t impossible_events_ = 0;
  std::deque<Action> actions_;
};

}  // namespace marbledyke::rollout
