// Decides which client connection is closed first when another one needs its slot or descriptor, and which
// ones are never closed. Does no I/O and has no clock.
#pragma once

#include <optional>
#include <utility>

#include "model/types.h"

namespace marbledyke::front {

// What a connection is doing, as far as closing it is concerned.
enum class Activity {
  closing,    // its last answer is sent or its end is announced; further input is discarded
  silent,     // accepted, no byte received yet
  idle,       // between two requests
  receiving,  // part of a request was received
  busy        // a request is pending, or its answer is being written
};

// The smallest rank is closed first: the index of the rule that applies, then since when the activity lasts.
using EvictionRank = std::pair<int, Duration>;

// Returns the rank of a connection with this activity since `since`; nothing if it must not be closed. Silent
// and receiving connections must have a minimum age, since a well-behaved client's request may be under way.
std::optional<EvictionRank> eviction_rank(Activity activity, Duration since, Duration now,
                                          Duration connect_timeout);

// A silent connection is not closed before this age, however scarce slots are. It is longer than a
// well-behaved client on the same site needs from connecting to its request, and equals the tolerance that
// the protocol allows on sockets.
inline constexpr Duration kFirstRequestGrace = std::chrono::milliseconds(50);

}  // namespace marbledyke::front
