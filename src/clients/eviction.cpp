#include "clients/eviction.h"

#include <array>

namespace marbledyke::clients {
namespace {

struct Rule {
  Activity activity;
  Span (*least_age)(Span connect_timeout);
};

Span none(Span) { return Span::zero(); }
Span time_to_ask(Span) { return kTimeToAsk; }
Span time_to_come_up(Span connect_timeout) { return connect_timeout; }

// In this order. Nobody loses an answer by the first three; the last two may be about to finish their
// request, and are refused rather than closed.
constexpr std::array<Rule, 5> kRules{{{Activity::closing, none},
                                      {Activity::silent, time_to_come_up},
                                      {Activity::idle, none},
                                      {Activity::silent, time_to_ask},
                                      {Activity::receiving, time_to_come_up}}};

}  // namespace

std::optional<EvictionRank> eviction_rank(Activity activity, Span since, Span now, Span connect_timeout) {
  for (std::size_t at = 0; at < kRules.size(); ++at) {
    const Rule& rule = kRules[at];
    if (rule.activity == activity && now >= since + rule.least_age(connect_timeout))
      return EvictionRank{static_cast<int>(at), since};
  }
  return std::nullopt;
}

}  // namespace marbledyke::clients
