// The shard protocol's rules for protocols that carry one part at a time: which fate a send has when its
// connection ends, and what a server that is closing may still be sent. No I/O.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "model/types.h"

namespace marbledyke::carrier {

using namespace std::chrono_literals;

inline constexpr std::size_t kMaxConnectionsPerServer = 16;
inline constexpr std::size_t kMaxQueuedParts = 256;  // waiting for connections to one server
inline constexpr Duration kClosingServerHold = 5s;   // without new sends to a server that is closing

enum class SendStage {
  waiting,     // for a connection
  connecting,  // a connection is being opened for it
  writing,     // some bytes of the request may be written
  written      // all of them are written
};

// A part whose connection never opened, or ended before the request's last byte was written, has not run.
// Once all of the request is written the part may have run.
constexpr SendOutcome fate_on_disconnect(SendStage stage) {
  return stage == SendStage::written ? SendOutcome::dropped : SendOutcome::dial_failed;
}

// A send that was never written has cost the server nothing, so it counts as unused.
constexpr SendOutcome fate_on_deadline(SendStage stage) {
  return stage == SendStage::written ? SendOutcome::expired : SendOutcome::unused;
}
constexpr SendOutcome fate_on_cancel(SendStage stage) {
  return stage == SendStage::written ? SendOutcome::revoked : SendOutcome::unused;
}

// The servers that have closed a connection in order because they stop, which is how these protocols announce
// a drain. They get no new sends until the hold is over or the list reports them as up again.
class ClosingServers {
 public:
  explicit ClosingServers(Duration hold) : hold_(hold) {}
  void on_server_closing(const std::string& server, Duration now) { until_[server] = now + hold_; }
  void on_listed_up(const std::string& server) { until_.erase(server); }
  void remove(const std::string& server) { until_.erase(server); }
  bool accepts_sends(const std::string& server, Duration now) {
    const auto at = until_.find(server);
    if (at == until_.end()) return true;
    if (now < at->second) return false;
    until_.erase(at);
    return true;
  }
  std::size_t size() const { return until_.size(); }

 private:
  Duration hold_;
  std::map<std::string, Duration> until_;  // by server; no more than are listed
};

// Whether a part may be sent on a connection that has been used before. The server may close such a
// connection at that very moment, and then it is unknown whether the part ran. A non-retriable part therefore
// gets a new connection.
constexpr bool can_reuse_connection(bool non_retriable, bool used) { return !(non_retriable && used); }

// Whether another connection to a server may be opened: one for each pending part, up to a bound.
constexpr bool can_open_connection(std::size_t open, std::size_t most) { return open < most; }

}  // namespace marbledyke::carrier
