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
inline constexpr int kMeasures = 6;
const char* name_of(Measure measure);

struct Limits {
  double false_stops = 0.01;  // chance that a sound rollout is stopped, over all of it
  double doubt = 0.02;        // chance that a stage passes though it is worse by `too_much`
  double too_much[kMeasures] = {0.01, 0.005, 0.01, 0.03, 0.03, 0.25};  // how much worse is too much
  double within_op_type =
      5;  // a single op type may be shown worse by so many times that before a stage fails to pass
  double let_be = 0.25;  // of too much: a difference under this stops nothing, however certain it is
  int block_s = 5;       // seconds that make one bet
  int least_asked = 20;  // a block with fewer multigets on either side says nothing
  double memory_a_minute = 0.5e6;  // bytes that a process may grow by, beyond what the old ones do
  double trouble = 0.05;           // a fall of the whole fleet's good share that is nobody's own: wait
  double harm = 0.05;              // the old ones fall by this below their past while the new ones do not
};

// What one side did in a block, in one op type and zone.
struct Side {
  std::uint64_t asked = 0, ended = 0, good = 0, failed = 0, pushed_back = 0, answered = 0, slow = 0,
                sends = 0, further = 0;
  double cpu = 0;  // seconds; of the side as a whole, so the same in each op type
  void add(const totals::OpTypeCounts& count, Duration slow_from);
  void merge(const Side& other);
  // Of that measure; none where too little was asked to say.
  std::optional<double> share(Measure measure, int least) const;
};

// One such test: that the mean of what it sees is above `allowed`.
class Sequence {
 public:
  explicit Sequence(double allowed = 0) : allowed_(allowed) {}
  // Scatter seen elsewhere: so many blocks with that sum of squared deviations.
  void know(double blocks, double squares) { known_ = blocks, known_squares_ = squares; }
  void see(double difference);
  double wealth() const;  // no more than e^700
  double mean() const { return count_ > 0 ? sum_ / count_ : 0; }
  int count() const { return static_cast<int>(count_); }
  // Further blocks like those seen until the wealth is that; none where it does not grow.
  std::optional<int> blocks_until(double wealth) const;

 private:
  double scatter() const;                 // variance of a block
  double wealth_at(double blocks) const;  // as its logarithm, if they go on as they did

  double allowed_;
  double count_ = 0, sum_ = 0, squares_ = 0;
  double known_ = 0, known_squares_ = 0;
};

enum class Verdict {
  going,       // nothing said yet
  passed,      // shown not to be worse than allowed, in all that can be told
  too_little,  // the soak is over and it is not shown: wait
  worse,       // stop
  harm,        // the new ones take from the others: stop
  trouble,     // old and new fall alike: wait it out
  at_once      // a rule or invariant broken, a crash, a start that failed, totals that stopped: stop
};
const char* name_of(Verdict verdict);

struct Finding {
  Verdict verdict = Verdict::going;
  std::string what;            // in words: which measure, op type and zone, and by how much
  std::optional<int> seconds;  // too_little: how much longer at this rate, where that can be said
  double wealth = 0;           // of the test that spoke
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
  void before(const Block& block);
  // From now on the new ones are new; burn-in is left out by who calls.
  void begin() { began_ = true; }
  void after(const Block& block);
  // What is the same process's doing or not, and needs no statistics.
  void at_once(const std::string& what);
  // A process's memory, in bytes, so many minutes after its burn-in; the old ones' growth for comparison.
  void memory(double bytes_a_minute_new, double bytes_a_minute_old, double minutes);

  // The slow mark of an op type, once enough is known; none before.
  std::optional<Duration> slow_from(const std::string& op_type) const;
  void learn_latencies(const std::string& op_type, const totals::LatencyHistogram& latencies);

  Finding look(bool soak_over) const;
  int compared() const { return static_cast<int>(tests_.size()); }
  struct Line {
    Stratum stratum;
    Measure measure;
    double difference;  // beyond what was before, worse is above 0
    double wealth_worse, wealth_sound;
    int blocks;
  };
  std::vector<Line> lines() const;

 private:
  struct Key {
    Stratum stratum;
    Measure measure;
    auto operator<=>(const Key&) const = default;
  };
  struct Base {  // of the difference before
    double count = 0, sum = 0, squares = 0;
    Side old_so_far, new_so_far;
    double variance() const {
      return count > 1 ? std::max((squares - sum * sum / count) / (count - 1), 0.0) : 0;
    }
  };
  // With each op type over all zones, and all op types.
  static Block pooled(const Block& block);
  struct Test {
    Sequence worse, sound;
    double offset = 0;            // what was different before, with its uncertainty
    Side old_so_far, new_so_far;  // of a block that is not enough yet
  };
  static double difference(Measure measure, double old_share, double new_share);

  Limits limits_;
  int shared_by_;
  bool began_ = false, had_old_ = false;
  std::map<Key, Base> base_;
  std::map<Key, Test> tests_;
  std::map<std::string, totals::LatencyHistogram> latencies_;
  std::string at_once_;
  // Of the whole fleet: its good share before, and now by side.
  Base good_before_old_, good_before_new_;
  std::vector<std::pair<double, double>> lately_;  // good shares of old and new, the newest blocks
};

}  // namespace marbledyke::rollout
