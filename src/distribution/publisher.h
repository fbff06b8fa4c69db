// What a control node decides about its receivers, without I/O: which waiting call is answered when, and what
// is known of who runs which revision. A receiver's call says what it runs, so that every call is an
// acknowledgement as well.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "distribution/revision.h"
#include "model/types.h"

namespace marbledyke::distribution {

inline constexpr std::size_t kMostReceivers = 4096;
inline constexpr Duration kLongestWait{10'000'000};        // of a call
inline constexpr Duration kRevisionSpacing{500'000};       // a receiver is given no two revisions within this
inline constexpr Duration kReceiverForgotten{60'000'000};  // one not heard of for so long
// One not heard of for so long is cut off, or calls another node: two calls of a receiver with their
// patience.
inline constexpr Duration kReceiverAbsent{8'000'000};

// Who calls. A control node that follows this one is given the newest revision whatever its share, and is not
// counted among the receivers.
enum class CallerRole { receiver, node };

struct WatchCall {
  CallerRole role = CallerRole::receiver;
  std::string receiver, zone;  // names: letters, digits and ._:- , 64 characters at most
  std::int64_t index = 0;      // in force at the receiver
  std::string digest;          // of that revision
  std::int64_t refused = 0;    // the newest revision that it refused; 0: none
  std::string refused_why;     // names the key, at most 200 characters; a longer one is cut
  Duration wait{};
};
inline constexpr std::size_t kMostName = 64;
inline constexpr std::size_t kMostRefusedWhy = 200;
// The target of GET /v1/configuration with its query. read throws config::BadInput naming the field.
std::string query_of(const WatchCall& call);
WatchCall read_watch_call(const std::string& target);

struct WatchAnswer {
  std::int64_t newest = 0;           // the node's own; may be below the receiver's where the node is behind
  std::optional<Revision> revision;  // none: nothing newer that is meant for this receiver
};
nlohmann::json put(const WatchAnswer& answer);
WatchAnswer read_watch_answer(const nlohmann::json& from);

struct ReceiverState {
  std::string zone;
  std::int64_t index = 0, refused = 0;
  std::string refused_why;
  Duration heard{};     // last
  Duration in_force{};  // when it first told that it runs `index`
  Duration given{};     // when it was last given a revision
};

struct Summary {
  std::int64_t newest = 0;
  std::string digest;
  std::map<std::int64_t, std::size_t> receivers_by_index;
  std::vector<std::pair<std::string, ReceiverState>> refusing;  // of the newest, 64 at most
  // From learning the newest until all receivers that it is meant for ran it, of those heard within
  // kReceiverAbsent.
  std::optional<Duration> everywhere_after;
  std::uint64_t calls = 0, revisions_given = 0, bytes_given = 0;
};

class Publisher {
 public:
  using Caller = std::uint64_t;  // of the host
  struct Due {
    Caller caller;
    WatchAnswer answer;
  };
  void tick(Duration now);
  void chosen(const Revision& revision);  // older ones change nothing
  // False: too many receivers; the host answers 503.
  bool called(Caller caller, const WatchCall& call);
  void left(Caller caller);
  std::optional<Due> next();              // answers that are due
  std::optional<Duration> wakes() const;  // when tick() is needed next
  Summary summary() const;
  std::int64_t newest() const { return newest_ ? newest_->index : 0; }
  const std::map<std::string, ReceiverState>& receivers() const { return receivers_; }
  std::size_t waiting() const { return waiting_.size(); }  // calls that are not answered yet

 private:
  struct Waiting {
    WatchCall call;
    Duration until{};  // the end of its wait
    Duration look{};   // its entry in agenda_
  };

  const Revision* revision_for(const WatchCall& call) const;
  Duration free_from(const WatchCall& call) const;
  void consider(Caller caller, Waiting& waiting);
  void answer(Caller caller, const Waiting& waiting, const Revision* revision);
  void heard(const WatchCall& call);
  void look_whether_everywhere();
  void forget();

  Duration now_{};
  std::optional<Revision> newest_;
  // Before the newest, where that is for a share only: what the others are to run. Not kept over a restart.
  std::optional<Revision> for_all_;
  Duration learned_{};  // when the newest was
  std::optional<Duration> everywhere_after_;
  Duration forgot_{};  // when the receivers were last gone through
  std::map<Caller, Waiting> waiting_;
  std::set<std::pair<Duration, Caller>> agenda_;  // when each waiting call is looked at next
  std::map<std::string, ReceiverState> receivers_;
  std::deque<Due> due_;
  std::uint64_t calls_ = 0, revisions_given_ = 0, bytes_given_ = 0;
};

}  // namespace marbledyke::distribution
