// What a receiver of settings decides, without I/O: which control node it watches, when it turns to another
// one, and which revision is applied. It never goes back to an older revision, and keeps what it has while no
// node can be reached.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "distribution/publisher.h"
#include "distribution/revision.h"
#include "model/types.h"

namespace marbledyke::distribution {

inline constexpr Duration kCallWait{3'000'000};      // a call that nothing new ends is answered after this
inline constexpr Duration kCallPatience{1'000'000};  // beyond its wait; then the node counts as silent
// The mean wait after a failure, doubled with each failure in a row; drawn from zero to twice the mean.
inline constexpr Duration kFirstRetry{100'000};
inline constexpr Duration kLongestRetry{2'000'000};  // that is drawn
inline constexpr Duration kStartSpread{1'000'000};   // all receivers of a fleet may be started at one moment
// Between an answer without news and the next call: a node that does not wait is not called faster than this.
inline constexpr Duration kPause{50'000};
// At another node than its first choice until it tries one that it prefers; doubled while those are away.
inline constexpr Duration kFirstReturn{30'000'000};
inline constexpr Duration kLongestReturn{240'000'000};

enum class ReceiverPhase { resting, calling, applying };
enum class ReceiverEvent { rested, answered, failed, silent, applied, refused };

struct ReceiverAct {
  struct Call {
    std::size_t node;
    WatchCall call;
    Duration patience;  // from now on; then the host tells silent()
  };
  struct Apply {
    Revision revision;
  };
  struct Rest {
    Duration wait;  // then the host tells rested()
  };
  std::variant<Call, Apply, Rest> what;
};

class Receiver {
 public:
  struct Identity {
    std::string name, zone, fleet;
    CallerRole role = CallerRole::receiver;
  };
  // older: revisions that were offered though a newer one is held; none of them is applied.
  struct Tally {
    std::uint64_t calls = 0, failures = 0, node_changes = 0, applied = 0, refused = 0, wrong_digest = 0,
                  older = 0;
  };
  // `nodes`: how many control nodes there are, in the order of preference (those of the own region first);
  // `held`: the last good revision; `seed` for spreading over nodes and waits.
  Receiver(Identity identity, std::size_t nodes, std::size_t preferred, std::optional<Revision> held,
           std::uint32_t seed);

  void start();
  std::optional<ReceiverAct> next();
  void rested();
  void answered(const WatchAnswer& answer);
  void failed(const std::string& why);   // refused, reset, an answer that cannot be read
  void damaged(const std::string& why);  // an answer that holds a revision with a wrong digest
  void silent();                         // no answer within the call's patience
  void applied();
  void refused(const std::string& why);  // by the gatherer's own rules; what is held stays in force

  const std::optional<Revision>& held() const { return held_; }
  ReceiverPhase phase() const { return phase_; }
  // That it watches or will watch next; 0 where there is none.
  std::size_t node() const { return order_.empty() ? 0 : order_[place_]; }
  const std::string& last_failure() const { return last_failure_; }
  const Tally& tally() const { return tally_; }
  std::uint64_t impossible() const { return impossible_; }  // an event came that cannot come in that phase

 private:
  bool takes(ReceiverEvent event);
  Duration jittered(Duration least, Duration most);
  void rest(Duration wait);
  void call();
  void call_after_probe();
  void offered(const Revision& revision);
  void nothing_new(const WatchAnswer& answer);
  void node_failed(const std::string& why);
  void move_to(std::size_t place);
  void plan_return();
  bool return_is_due() const;
  void begin_return();

  Identity identity_;
  std::mt19937 chance_;
  std::vector<std::size_t> order_;  // the nodes, its first choice first
  std::size_t place_ = 0;           // in order_
  ReceiverPhase phase_ = ReceiverPhase::resting;
  std::deque<ReceiverAct> acts_;
  std::optional<Revision> held_;
  std::optional<Revision> offered_;  // while it is being applied
  std::int64_t refused_ = 0;
  std::string refused_why_;
  int failures_in_a_row_ = 0;
  bool probing_ = true;       // the call that is out or comes next does not wait: is that node there?
  bool node_behind_ = false;  // its last answer named an older revision than held_
  // Returning to a node that it prefers: counted in the time of its own calls and rests.
  Duration away_{};          // at nodes beyond its first choice, since the last try
  Duration return_after_{};  // how long it stays away until the next try
  Duration return_wait_ = kFirstReturn;
  std::size_t returns_ = 0;               // tries without success
  std::optional<std::size_t> came_from_;  // while it tries: the place to go back to
  std::string last_failure_;
  Tally tally_;
  std::uint64_t impossible_ = 0;
};

const char* name_of(ReceiverPhase phase);

}  // namespace marbledyke::distribution
