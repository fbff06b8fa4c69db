#include "rollout/judge.h"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <cstdio>

namespace marbledyke::rollout {
namespace {

using namespace std::chrono_literals;

// Within its first minutes a process may grow by this much beyond the old version's processes.
constexpr double kWarmUpGrowthBytes = 16e6;
constexpr const char* kMeasureNames[] = {"good", "failed", "pushed back", "slow", "further sends", "CPU"};
constexpr const char* kVerdictNames[] = {"going",   "passed", "too little to tell", "worse", "harm",
                                         "trouble", "at once"};
constexpr double kMixtureBlocks = 8;   // number of blocks at which the mixture is most sensitive
constexpr double kMinTotalBlocks = 8;  // baseline and comparison together, before a test has a result
// The mean of fewer comparison blocks is fitted to them too closely: the blocks of a single cluster of
// failures would show no variance. With 1 a fifth of sound rollouts was stopped.
constexpr double kMinComparisonBlocks = 4;
constexpr double kMinVariance = 1e-7;
constexpr double kMaxLogRatio = 700;
constexpr std::size_t kRecentBlocks = 6;  // number of blocks compared with the whole fleet's baseline
constexpr int kMinBaselineBlocks = 4;
// Probability that the baseline's difference lies outside the range that is subtracted, on either side.
constexpr double kBaselineErrorProbability = 0.1;
constexpr std::uint64_t kMinLatencySamples = 200;

}  // namespace

const char* name_of(Measure measure) { return kMeasureNames[static_cast<std::size_t>(measure)]; }
const char* name_of(Verdict verdict) { return kVerdictNames[static_cast<std::size_t>(verdict)]; }

void Side::add(const totals::OpTypeCounts& count, Duration slow_from) {
  received += count.taken;
  completed += count.ended() - count.left;  // a client that left early is no failure of the gatherer
  good += count.in_budget;
  failed += count.failed;
  pushed_back += count.pushed_back;
  answered += count.answered;
  if (slow_from > 0us) slow += count.latency.count_above(slow_from);
  sends += count.sends;
  repeated_sends += count.further;
}

void Side::merge(const Side& other) {
  received += other.received;
  completed += other.completed;
  good += other.good;
  failed += other.failed;
  pushed_back += other.pushed_back;
  answered += other.answered;
  slow += other.slow;
  sends += other.sends;
  repeated_sends += other.repeated_sends;
  cpu_seconds += other.cpu_seconds;
}

std::optional<double> Side::ratio(Measure measure, int least) const {
  const auto of = [least](std::uint64_t part, std::uint64_t whole) -> std::optional<double> {
    if (whole < static_cast<std::uint64_t>(least)) return std::nullopt;
    return static_cast<double>(std::min(part, whole)) / static_cast<double>(whole);
  };
  switch (measure) {
    case Measure::good:
      return of(good, completed);
    case Measure::failed:
      return of(failed, completed);
    case Measure::pushed_back:
      return of(pushed_back, completed);
    case Measure::slow:
      return of(slow, answered);
    case Measure::further:
      return of(repeated_sends, sends);
    case Measure::cpu:
      if (completed < static_cast<std::uint64_t>(least) || cpu_seconds <= 0) return std::nullopt;
      return cpu_seconds / static_cast<double>(completed);
  }
  return std::nullopt;
}

void SequentialTest::observe(double difference) {
  count_ += 1;
  sum_ += difference;
  squares_ += difference * difference;
}

double SequentialTest::block_variance() const {
  const double own = count_ > 0 ? std::max(squares_ - sum_ * sum_ / count_, 0.0) : 0;
  // Both means are estimated, which costs one degree of freedom each. The minimum keeps rare events, which
  // the blocks may not contain yet, from looking certain.
  const double freedom = std::max(prior_blocks_ - 1, 0.0) + std::max(count_ - 1, 0.0);
  return freedom > 0 ? (own + prior_squares_) / freedom + kMinVariance : 1;
}

double SequentialTest::log_likelihood_ratio_at(double blocks) const {
  if (count_ < kMinComparisonBlocks || prior_blocks_ + count_ < kMinTotalBlocks) return 0;
  const double variance = block_variance();
  const double sum = (sum_ / count_ - allowed_) * blocks;
  const double prior = kMixtureBlocks * variance;
  const double spread = prior + blocks * variance;
  const boost::math::normal standard;
  const double below = boost::math::cdf(standard, std::clamp(sum / std::sqrt(spread), -8.0, 8.0));
  return std::min(std::log(2 * below) + 0.5 * std::log(prior / spread) +
                      sum * std::abs(sum) / (2 * spread) * (sum > 0 ? 1 : 0),
                  kMaxLogRatio);
}

double SequentialTest::likelihood_ratio() const { return std::exp(log_likelihood_ratio_at(count_)); }

std::optional<int> SequentialTest::blocks_until(double likelihood_ratio) const {
  if (count_ < 2 || sum_ / count_ <= allowed_) return std::nullopt;
  const double wanted = std::log(likelihood_ratio);
  for (double more = 1; more < 1e6; more *= 1.25) {
    if (log_likelihood_ratio_at(count_ + more) >= wanted) return static_cast<int>(std::ceil(more));
  }
  return std::nullopt;
}

Judge::Judge(const Limits& limits, int tests) : limits_(limits), max_comparisons_(std::max(tests, 1)) {}

// Positive values are worse for every measure.
double Judge::difference(Measure measure, double old_share, double new_share) {
  if (measure == Measure::good) return old_share - new_share;
  if (measure == Measure::cpu) return std::clamp(std::log2(new_share / old_share), -1.0, 1.0);
  return new_share - old_share;
}

Block Judge::with_totals(const Block& block) {
  Block out = block;
  for (const auto& [stratum, sides] : block) {
    for (const Stratum& total : {Stratum{stratum.op_type, "all"}, Stratum{"all", "all"}}) {
      auto& [old_total, new_total] = out[total];
      old_total.merge(sides.first);
      new_total.merge(sides.second);
    }
  }
  return out;
}

void Judge::add_baseline_block(const Block& strata) {
  const Block block = with_totals(strata);
  for (const auto& [stratum, sides] : block) {
    for (int i = 0; i < kMeasureCount; ++i) {
      const auto measure = static_cast<Measure>(i);
      Baseline& base = baselines_[{stratum, measure}];
      base.partial_old.merge(sides.first);
      base.partial_new.merge(sides.second);
      const auto old_share = base.partial_old.ratio(measure, limits_.min_multigets);
      const auto new_share = base.partial_new.ratio(measure, limits_.min_multigets);
      if (!old_share || !new_share) continue;
      base.partial_old = base.partial_new = {};
      const double delta = difference(measure, *old_share, *new_share);
      base.count += 1;
      base.sum += delta;
      base.squares += delta * delta;
    }
  }
  const auto add_good_share = [&](const Side& side, Baseline& base) {
    if (const auto share = side.ratio(Measure::good, limits_.min_multigets)) {
      base.count += 1;
      base.sum += *share;
      base.squares += *share * *share;
    }
  };
  const auto all = block.find({"all", "all"});
  if (all == block.end()) return;
  add_good_share(all->second.first, good_before_old_);
  add_good_share(all->second.second, good_before_new_);
}

void Judge::add_baseline_latencies(const std::string& op_type, const totals::LatencyHistogram& latencies) {
  if (!comparing_) latencies_[op_type].merge(latencies);
}

std::optional<Duration> Judge::slow_threshold(const std::string& op_type) const {
  const auto at = latencies_.find(op_type);
  if (at == latencies_.end() || at->second.count() < kMinLatencySamples) return std::nullopt;
  return at->second.quantile(0.9);
}

void Judge::add_comparison_block(const Block& strata) {
  const Block block = with_totals(strata);
  const auto all = block.find({"all", "all"});
  if (all == block.end()) return;
  const auto good_old = all->second.first.ratio(Measure::good, limits_.min_multigets);
  const auto good_new = all->second.second.ratio(Measure::good, limits_.min_multigets);
  old_side_seen_ = old_side_seen_ || good_old.has_value();
  if (good_old || good_new)
    recent_good_shares_.emplace_back(good_old ? *good_old : *good_new, good_new ? *good_new : *good_old);
  if (recent_good_shares_.size() > kRecentBlocks) recent_good_shares_.erase(recent_good_shares_.begin());
  // Blocks in which old and new are degraded alike are left out: the differences vary in another way
  // than in the baseline, and 2% of sound rollouts were stopped by such blocks.
  if (good_old && good_new && good_before_old_.count >= kMinBaselineBlocks &&
      good_before_new_.count >= kMinBaselineBlocks &&
      good_before_old_.sum / good_before_old_.count - *good_old >= limits_.max_shared_drop / 2 &&
      good_before_new_.sum / good_before_new_.count - *good_new >= limits_.max_shared_drop / 2)
    return;
  for (const auto& [stratum, sides] : block) {
    for (int i = 0; i < kMeasureCount; ++i) {
      const auto measure = static_cast<Measure>(i);
      const Key key{stratum, measure};
      auto at = tests_.find(key);
      if (at == tests_.end()) {
        const double max_degradation = limits_.max_degradation[i];
        Test test;
        // Two null hypotheses: `worse` tests against the new version not being noticeably worse, `sound`
        // against it being worse by more than is allowed.
        test.worse = SequentialTest(limits_.ignored_fraction * max_degradation);
        test.sound =
            SequentialTest(-max_degradation * (stratum.op_type == "all" ? 1 : limits_.op_type_factor));
        test.offset = max_degradation / 2;  // without a baseline, half of what is allowed
        const auto base = baselines_.find(key);
        if (base != baselines_.end() && base->second.count >= kMinBaselineBlocks) {
          const Baseline& baseline = base->second;
          const boost::math::students_t t(baseline.count - 1);
          const double half_width =
              boost::math::quantile(boost::math::complement(t, kBaselineErrorProbability / 2)) *
              std::sqrt(baseline.variance() / baseline.count);
          // The difference that existed before the change is subtracted, and in favour of the new version its
          // uncertainty, up to half of what is allowed.
          test.offset = std::clamp(baseline.sum / baseline.count, -0.5, 0.5) +
                        std::min(half_width, max_degradation / 2);
          for (SequentialTest* one : {&test.worse, &test.sound})
            one->add_prior_variance(baseline.count, baseline.variance() * (baseline.count - 1));
        }
        at = tests_.emplace(key, test).first;
      }
      Test& test = at->second;
      test.partial_old.merge(sides.first);
      test.partial_new.merge(sides.second);
      const auto old_share = test.partial_old.ratio(measure, limits_.min_multigets);
      const auto new_share = test.partial_new.ratio(measure, limits_.min_multigets);
      if (!old_share || !new_share) continue;
      test.partial_old = test.partial_new = {};
      const double delta = difference(measure, *old_share, *new_share) - test.offset;
      test.worse.observe(delta);
      test.sound.observe(-delta);
    }
  }
}

void Judge::stop_immediately(const std::string& what) {
  if (immediate_stop_.empty()) immediate_stop_ = what;
}

void Judge::on_memory_growth(double new_bytes_per_minute, double old_bytes_per_minute, double minutes) {
  const double excess = new_bytes_per_minute - std::max(old_bytes_per_minute, 0.0);
  // Growth within the first 3 minutes is warm-up, up to a limit.
  if (minutes < 3 && excess * minutes < kWarmUpGrowthBytes) return;
  if (excess < limits_.max_memory_growth_per_minute) return;
  char out[120];
  std::snprintf(out, sizeof out, "memory grows by %.2f MB a minute, the old version's by %.2f",
                new_bytes_per_minute / 1e6, old_bytes_per_minute / 1e6);
  stop_immediately(out);
}

std::vector<Judge::Comparison> Judge::comparisons() const {
  std::vector<Comparison> out;
  for (const auto& [key, test] : tests_)
    out.push_back({key.stratum, key.measure, test.worse.mean(), test.worse.likelihood_ratio(),
                   test.sound.likelihood_ratio(), test.worse.count()});
  return out;
}

Finding Judge::evaluate(bool soak_over) const {
  Finding out;
  if (!immediate_stop_.empty()) {
    out.verdict = Verdict::immediate_stop;
    out.description = immediate_stop_;
    return out;
  }
  const auto describe = [](const Key& key, const Test& test, double max_degradation) {
    char text[200];
    std::snprintf(text, sizeof text,
                  "%s of %s in %s: worse by %.4f beyond the baseline (limit %.4f), %d blocks",
                  name_of(key.measure), key.stratum.op_type.c_str(), key.stratum.zone.c_str(),
                  test.worse.mean(), max_degradation, test.worse.count());
    return std::string(text);
  };
  // Checked first, since a degradation of both sides invalidates the comparisons.
  if (recent_good_shares_.size() >= kRecentBlocks && good_before_old_.count >= kMinBaselineBlocks &&
      good_before_new_.count >= kMinBaselineBlocks) {
    double now_old = 0, now_new = 0;
    for (const auto& [old_share, new_share] : recent_good_shares_) {
      now_old += old_share / static_cast<double>(recent_good_shares_.size());
      now_new += new_share / static_cast<double>(recent_good_shares_.size());
    }
    const double drop_old = good_before_old_.sum / good_before_old_.count - now_old;
    const double drop_new = good_before_new_.sum / good_before_new_.count - now_new;
    char text[160];
    std::snprintf(text, sizeof text, "good share below its baseline by %.3f (old) and %.3f (new)", drop_old,
                  drop_new);
    if (drop_old >= limits_.max_old_side_drop && drop_new < drop_old / 2) {
      out.verdict = Verdict::harm;
      out.description = text;
      return out;
    }
    if (drop_old >= limits_.max_shared_drop && drop_new >= limits_.max_shared_drop &&
        drop_new < 2 * drop_old) {
      out.verdict = Verdict::shared_degradation;
      out.description = text;
      return out;
    }
  }
  if (!old_side_seen_ && recent_good_shares_.size() >= kRecentBlocks &&
      good_before_new_.count >= kMinBaselineBlocks) {
    // No keeper has the old version any more: the whole fleet is compared with its own baseline.
    double now_new = 0;
    for (const auto& [old_share, new_share] : recent_good_shares_)
      now_new += new_share / static_cast<double>(recent_good_shares_.size());
    const double drop = good_before_new_.sum / good_before_new_.count - now_new;
    if (drop >= limits_.max_shared_drop) {
      out.verdict = Verdict::shared_degradation;
      out.description = "the whole fleet's good share is below its baseline";
    } else if (soak_over) {
      out.verdict = Verdict::passed;
    }
    return out;
  }
  if (!old_side_seen_ && recent_good_shares_.size() >= kRecentBlocks) {
    // There is no baseline either: a successor took over in the last stage. No fault that needs no comparison
    // was reported.
    if (soak_over) out.verdict = Verdict::passed;
    return out;
  }
  const double stop_at = max_comparisons_ / limits_.false_stop_probability;
  const Test* worst = nullptr;
  const Key* worst_key = nullptr;
  for (const auto& [key, test] : tests_) {
    if (worst == nullptr || test.worse.likelihood_ratio() > worst->worse.likelihood_ratio()) {
      worst = &test;
      worst_key = &key;
    }
  }
  if (worst != nullptr && worst->worse.likelihood_ratio() >= stop_at) {
    out.verdict = Verdict::worse;
    out.description =
        describe(*worst_key, *worst, limits_.max_degradation[static_cast<std::size_t>(worst_key->measure)]);
    out.likelihood_ratio = worst->worse.likelihood_ratio();
    return out;
  }
  if (!soak_over) return out;
  // To pass, every measure over all op types and the good share of each op type have to be shown not to be
  // worse than allowed. The finer comparisons can only stop a stage: most of them have too few multigets in
  // its time to show anything.
  const double pass_at = 1 / limits_.false_pass_probability;
  int longest = 0;
  bool not_estimable = false;
  const Key* pending = nullptr;
  for (const auto& [key, test] : tests_) {
    const bool is_required =
        key.stratum.op_type == "all" || (key.stratum.zone == "all" && key.measure == Measure::good);
    if (!is_required || test.sound.likelihood_ratio() >= pass_at) continue;
    pending = &key;
    if (const auto more = test.sound.blocks_until(pass_at)) {
      longest = std::max(longest, *more);
    } else {
      not_estimable = true;
    }
  }
  if (pending == nullptr && !tests_.empty()) {
    out.verdict = Verdict::passed;
    return out;
  }
  out.verdict = Verdict::insufficient_data;
  if (pending != nullptr)
    out.description = std::string(name_of(pending->measure)) + " of " + pending->stratum.op_type + " in " +
                      pending->stratum.zone;
  else
    out.description = "nothing could be compared";
  if (pending != nullptr && !not_estimable) out.more_seconds = longest * limits_.block_seconds;
  return out;
}

}  // namespace marbledyke::rollout
