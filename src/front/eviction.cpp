#include "front/eviction.h"

#include <array>

namespace marbledyke::front {
namespace {

struct Rule {
  Activity activity;
  Duration (*min_age)(Duration connect_timeout);
};

Duration no_age(Duration) { return Duration::zero(); }
Duration first_request_grace(Duration) { return kFirstRequestGrace; }
Duration connect_time(Duration connect_timeout) { return connect_timeout; }

// In order of preference. The first three kinds lose no answer. The last two may be about to complete their
// request, so they receive a refusal instead of a plain close.
constexpr std::array<Rule, 5> kRules{{{Activity::closing, no_age},
                                      {Activity::silent, connect_time},
                                      {Activity::idle, no_age},
                                      {Activity::silent, first_request_grace},
                                      {Activity::receiving, connect_time}}};

}  // namespace

std::optional<EvictionRank> eviction_rank(Activity activity, Duration since, Duration now,
                                          Duration connect_timeout) {
  for (std::size_t index = 0; index < kRules.size(); ++index) {
    const Rule& rule = kRules[index];
    if (rule.activity == activity && now >= since + rule.min_age(connect_timeout))
      return EvictionRank{static_cast<int>(index), since};
  }
  return std::nullopt;
}

}  // namespace marbledyke::front
