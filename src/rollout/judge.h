// Whether what is new does worse than what is old, from what both did over the same seconds. Without I/O.
//
// Each thing compared (a measure, in an op type, in a zone, and over all of them) is a test that may be
// looked at any time: a mixture of likelihood ratios over how much worse it might be (a half-normal one, in
// units of what blocks scatter by), which under the hypothesis that it is not worse passes N with a chance of
// 1/N, whenever one looks. It is exact for blocks of known scatter and here approximate, since the scatter is
// taken from the blocks; how often a sound change is stopped is therefore measured (experiments/rollouts). A
// block of seconds is one number, however many multigets are in it and however they hang together, so
// clusters of failures count once. Where too little was asked for a block, it grows until there is enough.
// What was different before the change is taken off, with what is not known of it. All tests of a rollout
// share its chance of a false stop.
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
  good,         // answered within the latency budget, of those ended
  failed,       // of those ended
  pushed_back,  // of those ended
  slow,         // of those answered, slower than nine in ten were before the change
  further,      // sends that are not a part's first, of all
  cpu           // seconds a multiget; a doubling counts as 1
};
inline constexpr int kMeasureCount = 6;
const char* name_of(Measure measure);

struct Limits {
  double false_stop_probability = 0.01;  // chance that a sound rollout is stopped, over all of it
  double false_pass_probability = 0.02;  // chance that a stage passes though it is worse by `too_much`
  double max_degradation[kMeasureCount] = {0.01, 0.005, 0.01,
                                           0.03, 0.03,  0.25};  // how much worse is too much
  double op_type_factor =
      5;  // a single op type may be shown worse by so many times that before a stage fails to pass
  double ignored_fraction =
      0.25;                // of too much: a difference under this stops nothing, however certain it is
  int block_seconds = 5;   // seconds that make one bet
  int min_multigets = 20;  // a block with fewer multigets on either side says nothing
  double max_memory_growth_per_minute =
      0.5e6;                        // bytes that a process may grow by, beyond what the old ones do
  double max_shared_drop = 0.05;    // a fall of the whole fleet's good share that is nobody's own: wait
  double max_old_side_drop = 0.05;  // the old ones fall by this below their past while the new ones do not
};

// What one side did in a block, in one op type and zone.
struct Side {
  std::uint64_t received = 0, completed = 0, good = 0, failed = 0, pushed_back = 0, answered = 0, slow = 0,
                sends = 0, repeated_sends = 0;
  double cpu_seconds = 0;  // seconds; of the side as a whole, so the same in each op type
  void add(const totals::Count& count, Duration slow_from);
  void merge(const Side& other);
  // Of that measure; none where too little was asked to say.
  std::optional<double> ratio(Measure measure, int least) const;
};

// One such test: that the mean of what it sees is above `allowed`.
class SequentialTest {
 public:
  explicit SequentialTest(double allowed = 0) : allowed_(allowed) {}
  // Scatter seen elsewhere: so many blocks with that sum of squared deviations.
  void add_prior_variance(double blocks, double squares) { prior_blocks_ = blocks, prior_squares_ = squares; }
  void observe(double difference);
  double likelihood_ratio() const;  // no more than e^700
  double mean() const { return count_ > 0 ? sum_ / count_ : 0; }
  int count() const { return static_cast<int>(count_); }
  // Further blocks like those seen until the wealth is that; none where it does not grow.
  std::optional<int> blocks_until(double likelihood_ratio) const;

 private:
  double block_variance() const;                        // variance of a block
  double log_likelihood_ratio_at(double blocks) const;  // as its logarithm, if they go on as they did

  double allowed_;
  double count_ = 0, sum_ = 0, squares_ = 0;
  double prior_blocks_ = 0, prior_squares_ = 0;
};

enum class Verdict {
  undecided,           // nothing said yet
  passed,              // shown not to be worse than allowed, in all that can be told
  insufficient_data,   // the soak is over and it is not shown: wait
  worse,               // stop
  harm,                // the new ones take from the others: stop
  shared_degradation,  // old and new fall alike: wait it out
  immediate_stop       // a rule or invariant broken, a crash, a start that failed, totals that stopped: stop
};
const char* name_of(Verdict verdict);

struct Finding {
  Verdict verdict = Verdict::undecided;
  std::string description;          // in words: which measure, op type and zone, and by how much
  std::optional<int> more_seconds;  // too_little: how much longer at this rate, where that can be said
  double likelihood_ratio = 0;      // of the test that spoke
};

// One key of what is compared apart; "all" pools.
struct Stratum {
  std::string op_type, zone;
  auto operator<=>(const Stratum&) const = default;
};
using Block = std::map<Stratum, std::pair<Side, Side>>;  // old and new

class Judge {
 public:
  // `tests`: how many comparisons the whole rollout may make, by which the chance of a false stop is shared.
  Judge(const Limits& limits, int tests);

  // Before the change: the two sides as they will be, each block. Sets what was different before and what is
  // slow.
  void add_baseline_block(const Block& block);
  // From now on the new ones are new; burn-in is left out by who calls.
  void start_comparison() { comparing_ = true; }
  void add_comparison_block(const Block& block);
  // What is the same process's doing or not, and needs no statistics.
  void stop_immediately(const std::string& what);
  // A process's memory, in bytes, so many minutes after its burn-in; the old ones' growth for comparison.
  void on_memory_growth(double bytes_a_minute_new, double bytes_a_minute_old, double minutes);

  // The slow mark of an op type, once enough is known; none before.
  std::optional<Duration> slow_threshold(const std::string& op_type) const;
  void add_baseline_latencies(const std::string& op_type, const totals::Latencies& latencies);

  Finding evaluate(bool soak_over) const;
  int comparison_count() const { return static_cast<int>(tests_.size()); }
  struct Comparison {
    Stratum stratum;
    Measure measure;
    double difference;  // beyond what was before, worse is above 0
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
  struct Baseline {  // of the difference before
    double count = 0, sum = 0, squares = 0;
    Side partial_old, partial_new;
    double variance() const {
      return count > 1 ? std::max((squares - sum * sum / count) / (count - 1), 0.0) : 0;
    }
  };
  // With each op type over all zones, and all op types.
  static Block with_totals(const Block& block);
  struct Test {
    SequentialTest worse, sound;
    double offset = 0;              // what was different before, with its uncertainty
    Side partial_old, partial_new;  // of a block that is not enough yet
  };
  static double difference(Measure measure, double old_share, double new_share);

  Limits limits_;
  int max_comparisons_;
  bool comparing_ = false, old_side_seen_ = false;
  std::map<Key, Baseline> baselines_;
  std::map<Key, Test> tests_;
  std::map<std::string, totals::Latencies> latencies_;
  std::string immediate_stop_;
  // Of the whole fleet: its good share before, and now by side.
  Baseline good_before_old_, good_before_new_;
  std::vector<std::pair<double, double>>
      recent_good_shares_;  // good shares of old and new, the newest blocks
};

}  // namespace marbledyke::rollout
