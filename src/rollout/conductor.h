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
inline constexpr int kStates = 13;
enum class Happens {
  start,
  ready,  // every keeper is
  not_ready,
  watched,  // long enough before the change
  swapped,  // all of the stage
  swap_failed,
  passed,
  too_little,  // or a trouble of all
  goes_on,     // the trouble is over
  stop,        // the judge says so
  waited_out,  // the longest wait is over
  pause,
  resume,
  back,  // a person wants it back
  all_back,
  back_failed,
  all_told  // every keeper has been told that it stays
};
inline constexpr int kHappens = 17;
const char* name_of(State state);
const char* name_of(Happens event);
std::optional<State> state_named(const std::string& name);

enum class At { old, ordered, on_trial, confirmed, back_ordered, back, held };  // a keeper
const char* name_of(At at);

// What a keeper says of itself.
struct Report {
  std::string in_force, former, outcome, why;  // former: what it goes back to
  std::uint64_t epoch = 0, number = 0;         // of the last order it took
  std::int64_t life = 0;                       // of the keeper's own process: when it began
  // What became of trying the version beside what serves; `why` says it.
  enum class Tried { no, good, bad } tried = Tried::no;
  bool has_version = false, serves = false, gave_up = false;
  std::uint64_t ends = 0, broken_invariants = 0;
};

struct Act {
  enum class What { keep, take, try_out, use, confirm, back, begin_judging, note } what = What::note;
  std::string keeper, version, why;
  std::uint64_t number = 0;  // of an order, in this conductor's epoch
};

// What survives a conductor.
struct Kept {
  State state = State::planned;
  int stage = -1;
  std::uint64_t epoch = 0;
  std::map<std::string, At> keepers;
  std::map<std::string, std::string> former;  // what each goes back to
  std::string why;
  std::int64_t since_ms = 0;
  State paused_from = State::planned;
};
nlohmann::json put(const Kept& kept);
Kept read_kept(const nlohmann::json& from);  // throws config::BadInput

class Conductor {
 public:
  // A successor is given what was kept, and an epoch above all that the keepers have seen.
  Conductor(const Plan& plan, const std::vector<Member>& members, Kept kept, std::uint64_t epoch,
            Duration now, Duration wall);

  void start() { on(Happens::start); }
  void report(const std::string& keeper, const Report& report);
  void unreachable(const std::string& keeper);
  void judged(const Finding& finding);
  void pause() { on(Happens::pause); }
  void resume() { on(Happens::resume); }
  void back(const std::string& why);
  void tick(Duration now, Duration wall);

  std::optional<Act> next();

  const Kept& kept() const { return kept_; }
  State state() const { return kept_.state; }
  bool over() const;
  // Of the stage under way: the soak is over, as far as its time goes.
  bool soak_over() const;
  Duration soaked() const { return now_ - soak_since_; }
  // Who has the new version, on trial or confirmed, and since when on this conductor's clock.
  const std::map<std::string, Duration>& changed() const { return changed_; }
  const std::vector<std::vector<std::string>>& stages() const { return stages_; }
  std::uint64_t impossible() const { return impossible_; }
  const std::string& said() const { return said_; }  // of the wait, in words
  // All that decides what it does from here on; times as ages of `horizon` at most. Two of one line go on
  // alike.
  std::string line(Duration horizon) const;

 private:
  struct Cell;
  void on(Happens event, const std::string& why = {});
  void act(Act::What what, const std::string& keeper = {}, const std::string& why = {});
  void order_some();  // of the stage, as many as may be at a time
  void order_some_back();
  void confirm_stage();
  void confirm_again();
  void adopt(const std::string& name, const Report& report);
  void look_at_stage();
  std::vector<std::string> of(At at) const;

  const Plan& plan_;
  std::vector<Member> members_;
  std::vector<std::vector<std::string>> stages_;
  Kept kept_;
  Duration now_{}, wall_{};
  Duration since_{};  // in this state
  Duration soak_since_{}, wait_since_{};
  std::map<std::string, Duration> ordered_, changed_, last_heard_, back_since_, again_;
  std::map<std::string, Report> reports_;
  std::map<std::string, std::uint64_t>
      use_number_;  // of the last order to change that each was given in this epoch
  std::map<std::string, std::uint64_t> back_number_;  // of the first order back
  // Of the last order that each keeper is known to have been given: by its report, or by this conductor
  // since.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> given_;
  std::string said_;
  std::uint64_t impossible_ = 0;
  std::deque<Act> acts_;
};

}  // namespace marbledyke::rollout
