// A relay between two processes, for TCP and Unix sockets alike, that breaks what passes: it delays, loses a
// direction, trickles, cuts, resets in the middle of a message, holds what comes until it is let go, and puts
// connections out of order among each other. In the rig's own loop; everything it holds is bounded.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "net/listener.h"
#include "net/loop.h"
#include "net/socket.h"

namespace marbledyke::rig {

// One direction.
struct Way {
  Duration delay{};
  Duration jitter{};         // drawn anew for each connection, up to this: they overtake each other
  bool lost = false;         // taken and never delivered
  bool held = false;         // delivered once it is no longer
  std::int64_t trickle = 0;  // bytes a second; 0: as they come
  std::int64_t reset_after =
      -1;  // both sides are reset once so many bytes have gone this way on a connection
};

class Relay {
 public:
  // Throws std::system_error where it cannot listen.
  Relay(net::Loop& loop, const net::Address& listen, const net::Address& to, std::uint32_t seed);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const net::Address& address() const { return listen_; }
  void set(const Way& there, const Way& back);  // for what is under way as well
  void heal() { set({}, {}); }
  void refuse(bool on);  // nobody listens
  void cut();            // resets every connection

  struct Tally {
    std::uint64_t connections = 0, bytes_there = 0, bytes_back = 0, lost = 0, resets = 0;
  };
  const Tally& tally() const { return tally_; }

 private:
  struct Pair;
  struct Side;
  void came(net::Descriptor fd);
  void arrived(Pair& pair, bool there);
  void deliver(Pair& pair, bool there);
  void wait(Pair& pair, bool there, Duration until);
  void ended(Pair& pair, bool there);
  void drop(Pair& pair, bool reset);

  net::Loop& loop_;
  net::Address listen_, to_;
  std::mt19937 chance_;
  std::unique_ptr<net::Listener> listener_;
  Way there_, back_;
  std::map<std::uint64_t, std::unique_ptr<Pair>> pairs_;
  std::vector<std::unique_ptr<Pair>> graves_;
  std::uint64_t next_ = 1;
  Tally tally_;
};

}  // namespace marbledyke::rig
