// A rolling change as a machine without I/O: a table of state and event, every pair handled or declared
// impossible. It is told what keepers report, what the judge says and what time it is; the orders that it
// decides on are pulled with next(). What has to survive it is kept(); a successor goes on from that and from
// what the keepers report, and may give an order again, which keepers recognise.
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
  planned,     // nothing was done
  checking,    // every keeper has the version, whole, and is at rest
  watching,    // both sides as they are, before the first change
  swapping,    // a stage's keepers are being changed
  soaking,     // the stage shows itself
  waiting,     // too little was asked to tell, or a trouble strikes old and new alike
  paused,      // by a person, between two steps
  confirming,  // every stage has passed, and the last keepers are told so
  returning,   // what was changed goes back
  done,        // every stage has passed
  returned,    // everything is as it was
  held,        // the way back failed somewhere: a person has to look
  refused      // nothing was changed, since something was not ready
};
inline constexpr int kStateCount = 13;
enum class Event {
  start,
  keepers_ready,  // every keeper is
  keepers_not_ready,
  baseline_recorded,  // long enough before the change
  stage_swapped,      // all of the stage
  swap_failed,
  stage_passed,
  inconclusive,      // or a trouble of all
  conclusive_again,  // the trouble is over
  stop,              // the judge says so
  wait_expired,      // the longest wait is over
  pause,
  resume,
  roll_back,  // a person wants it back
  rollback_complete,
  rollback_failed,
  all_confirmed  // every keeper has been told that it stays
};
inline constexpr int kEventCount = 17;
const char* name_of(State state);
const char* name_of(Event event);
std::optional<State> state_named(const std::string& name);

enum class KeeperState { old, ordered, on_trial, confirmed, back_ordered, back, held };  // a keeper
const char* name_of(KeeperState state);

// What a keeper says of itself.
struct KeeperReport {
  std::string active_version, previous_version, outcome, reason;  // former: what it goes back to
  std::uint64_t order_epoch = 0, order_number = 0;                // of the last order it took
  std::int64_t keeper_started_ms = 0;  // of the keeper's own process: when it began
  // What became of trying the version beside what serves; `why` says it.
  enum class Verification { none, passed, failed } verification = Verification::none;
  bool has_version = false, is_serving = false, gave_up = false;
  std::uint64_t process_exits = 0, broken_invariants = 0;
};

struct Action {
  enum class Kind {
    save_state,
    take,
    verify,
    use,
    confirm,
    roll_back,
    start_comparison,
    log
  } kind = Kind::log;
  std::string keeper, version, reason;
  std::uint64_t number = 0;  // of an order, in this conductor's epoch
};

// What survives a conductor.
struct SavedState {
  State state = State::planned;
  int stage = -1;
  std::uint64_t epoch = 0;
  std::map<std::string, KeeperState> keepers;
  std::map<std::string, std::string> previous_versions;  // what each goes back to
  std::string reason;
  std::int64_t since_ms = 0;
  State paused_from = State::planned;
};
nlohmann::json to_json(const SavedState& saved);
SavedState read_saved_state(const nlohmann::json& from);  // throws config::BadInput

class Controller {
 public:
  // A successor is given what was kept, and an epoch above all that the keepers have seen.
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

  std::optional<Action> next_action();

  const SavedState& saved() const { return saved_; }
  State state() const { return saved_.state; }
  bool is_over() const;
  // Of the stage under way: the soak is over, as far as its time goes.
  bool is_soak_over() const;
  Duration soak_time() const { return now_ - soak_since_; }
  // Who has the new version, on trial or confirmed, and since when on this conductor's clock.
  const std::map<std::string, Duration>& changed_keepers() const { return changed_at_; }
  const std::vector<std::vector<std::string>>& stages() const { return stages_; }
  std::uint64_t impossible_events() const { return impossible_events_; }
  const std::string& last_finding() const { return last_finding_; }  // of the wait, in words
  // All that decides what it does from here on; times as ages of `horizon` at most. Two of one line go on
  // alike.
  std::string fingerprint(Duration horizon) const;

 private:
  void on_event(Event event, const std::string& reason = {});
  void queue_action(Action::Kind kind, const std::string& keeper = {}, const std::string& reason = {});
  void order_next_swaps();  // of the stage, as many as may be at a time
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
  Duration state_since_{};  // in this state
  Duration soak_since_{}, wait_since_{};
  std::map<std::string, Duration> ordered_at_, changed_at_, last_report_at_, rollback_started_at_, resent_at_;
  std::map<std::string, KeeperReport> reports_;
  std::map<std::string, std::uint64_t>
      use_order_numbers_;  // of the last order to change that each was given in this epoch
  std::map<std::string, std::uint64_t> rollback_order_numbers_;  // of the first order back
  // Of the last order that each keeper is known to have been given: by its report, or by this conductor
  // since.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> last_orders_;
  std::string last_finding_;
  std::uint64_t impossible_events_ = 0;
  std::deque<Action> actions_;
};

}  // namespace marbledyke::rollout
