// One account of how old the list may be. By the operators' terms a change counts as told 6 s after discovery
// had it and could be reached, whatever became of the calls meanwhile; of a watch that has fallen silent, 2 s
// after its wait if that is later. So, counted from the moment at which discovery can be reached again, what
// is left of a call that hangs, the backoff after it and the next call have to fit into that, and an answer
// to a wait is missed before it is too late to ask anew.
#pragma once

#include <algorithm>

#include "model/types.h"

namespace marbledyke::list {

using namespace std::chrono_literals;

inline constexpr Duration kCountsAsTold = 6s;
inline constexpr Duration kAfterWait = 2s;
inline constexpr Duration kMargin = 250ms;  // a turn that takes long, and the way
// Discovery gives a call up itself when it has waited for 2 s; such a refusal is still heard.
inline constexpr Duration kAnswerWithin = 2500ms;
// An answer to a wait that is late by this is missed: a second call is made beside it, and what is answered
// first counts. Giving the first one up for it would make all that it may have missed count as told at that
// moment.
inline constexpr Duration kOverdue = 250ms;
// Where the list is pushed, what the agent has counts at once, and nobody but its own gatherer calls it.
inline constexpr Duration kAgentBackoff = 100ms;

// The longest backoff after a call that took so long to fail.
inline constexpr Duration most_backoff(Duration call) {
  return std::max(kCountsAsTold - kMargin - kAnswerWithin - std::min(call, kAnswerWithin), Duration::zero());
}
static_assert(kAnswerWithin + most_backoff(kAnswerWithin) + kAnswerWithin + kMargin == kCountsAsTold);

}  // namespace marbledyke::list
