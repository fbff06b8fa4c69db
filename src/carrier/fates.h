// What has become of a part whose connection ended, and what a server that leaves may still be given: the
// rules of the shard protocol's page, for protocols that carry one part at a time. No I/O.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "model/types.h"

namespace marbledyke::carrier {

inline constexpr std::size_t kMostLinks = 16;       // to one server
inline constexpr std::size_t kMostWaiting = 256;    // parts at one server
inline constexpr Duration kLeavingHold{5'000'000};  // a server that leaves is left alone for so long

enum class Stage {
  waiting,   // for a connection
  dialling,  // one is being opened for it
  writing,   // some of its bytes may be gone
  written    // all of them are
};

// A connection that never came up, or broke before the last byte was written, brought nothing whole: it has
// not run. After that it may have.
constexpr SendOutcome when_broken(Stage stage) {
  return stage == Stage::written ? SendOutcome::dropped : SendOutcome::dial_failed;
}

// Its time is up. What was never written has cost nobody anything.
constexpr SendOutcome when_late(Stage stage) {
  return stage == Stage::written ? SendOutcome::expired : SendOutcome::unused;
}
constexpr SendOutcome when_withdrawn(Stage stage) {
  return stage == Stage::written ? SendOutcome::revoked : SendOutcome::unused;
}

// A server of which an association was closed in order, because it stops, takes nothing new until this is
// over, or the list says anew that it is up: the protocol's own way to tell of a drain.
class Leaving {
 public:
  explicit Leaving(Duration hold) : hold_(hold) {}
  void said(const std::string& server, Duration now) { until_[server] = now + hold_; }
  void listed_up(const std::string& server) { until_.erase(server); }
  void gone(const std::string& server) { until_.erase(server); }
  bool takes(const std::string& server, Duration now) {
    const auto at = until_.find(server);
    if (at == until_.end()) return true;
    if (now < at->second) return false;
    until_.erase(at);
    return true;
  }
  std::size_t size() const { return until_.size(); }

 private:
  Duration hold_;
  std::map<std::string, Duration> until_;  // no more than servers are listed
};

// Whether a part may go out on a connection that has been used before. Such a one may be closed by its server
// at the very moment; what may not run twice gets one that is fresh, where closing can only be told apart.
constexpr bool may_share(bool once, bool used) { return !(once && used); }

// How many connections a server is given: one for each part under way, up to a bound.
constexpr bool may_open(std::size_t open, std::size_t most) { return open < most; }

}  // namespace marbledyke::carrier
