// The time limits that bound how stale the server list may be.
//
// By the operators' terms a change counts as known to the gatherer 6 s after discovery had it and could be
// reached, whatever became of the calls meanwhile; for a watch that has fallen silent, 2 s after the end of
// its wait if that is later. Counted from the moment at which discovery can be reached again, the rest of a
// call that hangs, the backoff after it and the next call have to fit into the 6 s, and a missing response to
// a watch has to be noticed early enough to ask again.
#pragma once

#include <algorithm>

#include "model/types.h"

namespace marbledyke::list {

using namespace std::chrono_literals;

inline constexpr Duration kUpdateDeadline = 6s;
inline constexpr Duration kWaitGrace = 2s;
inline constexpr Duration kDelayMargin = 250ms;  // for a long turn of the loop and the network's latency
// Discovery itself refuses a call that it could not answer for 2 s; this limit leaves time to receive the
// refusal.
inline constexpr Duration kResponseTimeout = 2500ms;
// A watch whose response is late by this is overdue: a second call is made beside it, and the first response
// counts. The watch is kept, because after closing it every change that it may have missed would count as
// known from that moment.
inline constexpr Duration kOverdueAfter = 250ms;
// Where an agent pushes the list, its changes count as known at once, and only its own gatherer calls it.
inline constexpr Duration kAgentBackoff = 100ms;

// Returns the longest permitted backoff after a call that took this long to fail.
inline constexpr Duration max_backoff(Duration call) {
  return std::max(kUpdateDeadline - kDelayMargin - kResponseTimeout - std::min(call, kResponseTimeout),
                  Duration::zero());
}
static_assert(kResponseTimeout + max_backoff(kResponseTimeout) + kResponseTimeout + kDelayMargin ==
              kUpdateDeadline);

}  // namespace marbledyke::list
