// Which of the clients' connections is ended first when a place or a descriptor is needed for another, and
// which never is. No I/O and no clock of its own.
#pragma once

#include <optional>
#include <utility>

#include "model/plain.h"

namespace marbledyke::clients {

// What a connection is doing, as far as ending it goes.
enum class Activity {
  closing,    // has had its last answer or its end; what still comes is dropped
  silent,     // accepted, and nothing has come yet
  idle,       // between two requests
  receiving,  // part of a request has come
  busy        // a request is in hand, or its answer is being written
};

// Less goes first: the kind of connection, then since when it has been so.
using EvictionRank = std::pair<int, Duration>;

// Of a connection that has been doing this since then; nothing: it is not to be ended. A silent or receiving
// one is only old enough after a while, since an honest client's request may be on its way.
std::optional<EvictionRank> eviction_rank(Activity activity, Duration since, Duration now,
                                          Duration connect_timeout);

// So long a connection that says nothing is left alone, however short places are. Longer than an honest
// client on the same site needs between its connect and its request; the protocol's own slack on sockets.
inline constexpr Duration kTimeToAsk = std::chrono::milliseconds(50);

}  // namespace marbledyke::clients
