// Decides whether the new version performs worse than the old one, from what both did over the same seconds.
// Without I/O.
//
// Each comparison (a measure, in an op type, in a zone, and over all of them) is a sequential test that may
// be evaluated at any time: a mixture of likelihood ratios over how much worse the new version might be, with
// a half-normal prior in units of the standard deviation of a block. If the new version is not worse, the
// ratio ever exceeds N with a probability of at most 1/N. That is exact for blocks of known variance and
// approximate here, where the variance is estimated from the blocks; how often a sound change is stopped is
// therefore measured (experiments/rollouts).
//
// A block of seconds is one observation, however many multigets it contains and however they are correlated,
// so a cluster of failures counts once. Blocks with too few multigets are merged until they have enough. The
// difference between the two sides before the change is subtracted, allowing for its own uncertainty. The
// probability of a false stop is shared by all tests of a rollout.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "totals/totals.h"

namespace marbledyke::rollout {

enum class Measure {
  good,         // share of completed multigets that were answered within the latency budget
  failed,       // share of completed multigets
  pushed_back,  // share of completed multigets
  slow,         // share of answered multigets that were slower than the 90th percentile before the change
  further,      // share of sends that were not the first of their part
  cpu           // CPU seconds per multiget, compared as a binary logarithm: a doubling is a difference of 1
};
inline constexpr int kMeasureCount = 6;
const char* name_of(Measure measure);

// Limits of the comparisons; shares and differences of shares unless noted.
struct Limits {
  // Probability that a sound change is stopped, over the whole rollout.
  double false_stop_probability = 0.01;
  // Probability that a stage passes although the new version is worse by `max_degradation`.
  double false_pass_probability = 0.02;
  // By how much each measure may be worse, in the order of Measure.
  double max_degradation[kMeasureCount] = {0.01, 0.005, 0.01, 0.03, 0.03, 0.25};
  // A single op type may be worse by this multiple of `max_degradation` before a stage fails to pass.
  double op_type_factor = 5;
  // Differences below this fraction of `max_degradation` stop nothing, however certain they are.
  double ignored_fraction = 0.25;
  int block_seconds = 5;  // length of one observation
  // A block with fewer multigets on either side is merged with the following ones.
  int min_multigets = 20;
  // Growth of a process's memory beyond that of the old version, in bytes.
  double max_memory_growth_per_minute = 0.5e6;
  // Drop of the good share of old and new alike at which the rollout waits.
  double max_shared_drop = 0.05;
  // Drop of the old version's good share, while the new version's holds, at which the rollout stops.
  double max_old_side_drop = 0.05;
};

// Counts of one side (old or new version) in a block, in one op type and zone.
struct Side {
  std::uint64_t received = 0, completed = 0, good = 0, failed = 0, pushed_back = 0, answered = 0, slow = 0,
                sends = 0, repeated_sends = 0;
  // Apportioned to op types by their share of the multigets, so that it is the same per multiget in each.
  double cpu_seconds = 0;
  // `slow_from`: the latency from which an answer counts as slow; zero: none does.
  void add(const totals::OpTypeCounts& count, Duration slow_from);
  void merge(const Side& other);
  // The value of a measure; none where fewer than `least` multigets (or sends) were counted.
  std::optional<double> ratio(Measure measure, int least) const;
};

// A sequential test of whether the mean of the observations is above `allowed`.
class SequentialTest {
 public:
  explicit SequentialTest(double allowed = 0) : allowed_(allowed) {}
  // Adds earlier blocks to the estimate of the variance: their number and sum of squared deviations.
  void add_prior_variance(double blocks, double squares) { prior_blocks_ = blocks, prior_squares_ = squares; }
  void observe(double difference);
  double likelihood_ratio() const;  // at most e^700, so that it stays finite
  double mean() const { return count_ > 0 ? sum_ / count_ : 0; }
  int count() const { return static_cast<int>(count_); }
  // Number of further blocks like the observed ones until the ratio is reached; none where it does not grow.
  std::optional<int> blocks_until(double likelihood_ratio) const;

 private:
  double block_variance() const;
  // The logarithm of the ratio after `blocks` blocks with the mean observed so far.
  double log_likelihood_ratio_at(double blocks) const;

  double allowed_;
  double count_ = 0, sum_ = 0, squares_ = 0;
  double prior_blocks_ = 0, prior_squares_ = 0;
};

enum class Verdict {
  undecided,
  passed,              // no measure is worse than allowed, as far as it can be told
  insufficient_data,   // the soak time is over without a decision: wait
  worse,               // stop
  harm,                // the new version degrades the old one: stop
  shared_degradation,  // old and new are degraded alike: wait
  immediate_stop       // a broken rule or invariant, a crash, a failed start, missing totals
};
const char* name_of(Verdict verdict);

struct Finding {
  Verdict verdict = Verdict::undecided;
  std::string description;  // which measure, op type and zone, and by how much
  // For insufficient_data: the expected further time at the present rate, where it can be estimated.
  std::optional<int> more_seconds;
  double likelihood_ratio = 0;  // of the test that decided
};

// What is compared separately; "all" in place of an op type or zone stands for the sum over them.
struct Stratum {
  std::string op_type, zone;
  auto operator<=>(const Stratum&) const = default;
};
using Block = std::map<Stratum, std::pair<Side, Side>>;  // old and new

class Judge {
 public:
  // `tests`: the most comparisons that the whole rollout may make, among which the probability of a false
  // stop is divided.
  Judge(const Limits& limits, int tests);

  // A block from before the change, with the two sides as they will be. The baseline gives the difference
  // between the sides, and the latency from which an answer counts as slow.
  void add_baseline_block(const Block& block);
  // Ends the baseline. The caller leaves out the burn-in time of changed processes.
  void start_comparison() { comparing_ = true; }
  void add_comparison_block(const Block& block);
  // Reports a fault that needs no statistics, such as a crash.
  void stop_immediately(const std::string& what);
  // Growth of a process's memory on either side, in bytes per minute, over `minutes` since burn-in.
  void on_memory_growth(double new_bytes_per_minute, double old_bytes_per_minute, double minutes);

  // The latency from which an answer of an op type counts as slow; none until enough answers were recorded.
  std::optional<Duration> slow_threshold(const std::string& op_type) const;
  void add_baseline_latencies(const std::string& op_type, const totals::LatencyHistogram& latencies);

  // `soak_over`: whether the soak time has passed, so that a decision is due.
  Finding evaluate(bool soak_over) const;
  int comparison_count() const { return static_cast<int>(tests_.size()); }
  struct Comparison {
    Stratum stratum;
    Measure measure;
    double difference;  // beyond that of the baseline; above 0 is worse
    double worse_ratio, sound_ratio;
    int blocks;
  };
  std::vector<Comparison> comparisons() const;

 private:
  struct Key {
    Stratum stratum;
    Measure measure;
    auto operator<=>(const Key&) const = default;
  };
  // Differences between the sides before the change.
  struct Baseline {
    double count = 0, sum = 0, squares = 0;
    Side partial_old, partial_new;
    double variance() const {
      return count > 1 ? std::max((squares - sum * sum / count) / (count - 1), 0.0) : 0;
    }
  };
  // Adds each op type summed over all zones, and the sum of all op types.
  static Block with_totals(const Block& block);
  struct Test {
    SequentialTest worse, sound;
    double offset = 0;              // difference of the baseline, with its uncertainty
    Side partial_old, partial_new;  // of a block with too few multigets so far
  };
  static double difference(Measure measure, double old_share, double new_share);

  Limits limits_;
  int max_comparisons_;
  bool comparing_ = false, old_side_seen_ = false;
  std::map<Key, Baseline> baselines_;
  std::map<Key, Test> tests_;
  std::map<std::string, totals::LatencyHistogram> latencies_;
  std::string immediate_stop_;
  // Good share of the whole fleet by side: before the change, and in the newest blocks (old, new).
  Baseline good_before_old_, good_before_new_;
  std::vector<std::pair<double, double>> recent_good_shares_;
};

}  // namespace marbledyke::rollout
