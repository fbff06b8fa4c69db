#include "clients/eviction.h"

#include <array>

namespace marbledyke::clients {
namespace {

struct Rule {
  Activity activity;
  Duration (*least_age)(Duration connect_timeout);
};

Duration none(Duration) { return Duration::zero(); }
Duration time_to_ask(Duration) { return kTimeToAsk; }
Duration time_to_come_up(Duration connect_timeout) { return connect_timeout; }

// In this order. Nobody loses an answer by the first three; the last two may be about to finish their
// request, and are refused rather than closed.
constexpr std::array<Rule, 5> kRules{{{Activity::closing, none},
                                      {Activity::silent, time_to_come_up},
                                      {Activity::idle, none},
                                      {Activity::silent, time_to_ask},
                                      {Activity::receiving, time_to_come_up}}};

}  // namespace

std::optional<EvictionRank> eviction_rank(Activity activity, Duration since, Duration now,
                                          Duration connect_timeout) {
  for (std::size_t at = 0; at < kRules.size(); ++at) {
    const Rule& rule = kRules[at];
    if (rule.activity == activity && now >= since + rule.least_age(connect_timeout))
      return EvictionRank{static_cast<int>(at), since};
  }
  return std::nullopt;
}

}  // namespace marbledyke::clients
