#include "rollout/judge.h"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <cstdio>

namespace marbledyke::rollout {
namespace {

using namespace std::chrono_literals;

constexpr double kNoWarmingUp = 16e6;  // bytes that a process grows by beyond what the old ones do
constexpr const char* kMeasureNames[] = {"good", "failed", "pushed back", "slow", "further sends", "CPU"};
constexpr const char* kVerdictNames[] = {"going",   "passed", "too little to tell", "worse", "harm",
                                         "trouble", "at once"};
constexpr double kLikely = 8;       // blocks at which the mixture is at its best
constexpr double kLeastBlocks = 8;  // before and since, until a test says anything
// And so many since: the mean of fewer is fitted to them, so that a cluster alone would scatter by nothing
// (with 1 a fifth of sound rollouts was stopped).
constexpr double kLeastSince = 4;
constexpr double kLeastScatter = 1e-7;
constexpr double kMostLog = 700;
constexpr std::size_t kLately = 6;  // blocks that the whole fleet is held against its past by
constexpr int kLeastBefore = 4;     // blocks
constexpr double kBaseChance =
    0.1;  // that what was different before lies outside what is taken off, either way
constexpr std::uint64_t kLeastLatencies = 200;

}  // namespace

const char* name_of(Measure measure) { return kMeasureNames[static_cast<std::size_t>(measure)]; }
const char* name_of(Verdict verdict) { return kVerdictNames[static_cast<std::size_t>(verdict)]; }

// ---- sides ----

void Side::add(const totals::OpTypeCounts& c, Duration slow_from) {
  asked += c.taken;
  ended += c.ended() - c.left;  // a client that leaves says nothing of the gatherer
  good += c.in_budget;
  failed += c.failed;
  pushed_back += c.pushed_back;
  answered += c.answered;
  if (slow_from > 0us) slow += c.latency.count_above(slow_from);
  sends += c.sends;
  further += c.further;
}

void Side::merge(const Side& o) {
  asked += o.asked;
  ended += o.ended;
  good += o.good;
  failed += o.failed;
  pushed_back += o.pushed_back;
  answered += o.answered;
  slow += o.slow;
  sends += o.sends;
  further += o.further;
  cpu += o.cpu;
}

std::optional<double> Side::share(Measure measure, int least) const {
  const auto of = [least](std::uint64_t part, std::uint64_t whole) -> std::optional<double> {
    if (whole < static_cast<std::uint64_t>(least)) return std::nullopt;
    return static_cast<double>(std::min(part, whole)) / static_cast<double>(whole);
  };
  switch (measure) {
    case Measure::good:
      return of(good, ended);
    case Measure::failed:
      return of(failed, ended);
    case Measure::pushed_back:
      return of(pushed_back, ended);
    case Measure::slow:
      return of(slow, answered);
    case Measure::further:
      return of(further, sends);
    case Measure::cpu:
      if (ended < static_cast<std::uint64_t>(least) || cpu <= 0) return std::nullopt;
      return cpu / static_cast<double>(ended);
  }
  return std::nullopt;
}

// ---- a sequence ----

void Sequence::see(double difference) {
  count_ += 1;
  sum_ += difference;
  squares_ += difference * difference;
}

double Sequence::scatter() const {
  const double own = count_ > 0 ? std::max(squares_ - sum_ * sum_ / count_, 0.0) : 0;
  // The mean of either is fitted, which costs a degree of freedom each; a little is added for what is rare.
  const double freedom = std::max(known_ - 1, 0.0) + std::max(count_ - 1, 0.0);
  return freedom > 0 ? (own + known_squares_) / freedom + kLeastScatter : 1;
}

double Sequence::wealth_at(double blocks) const {
  if (count_ < kLeastSince || known_ + count_ < kLeastBlocks) return 0;
  const double v = scatter();
  const double sum = (sum_ / count_ - allowed_) * blocks;
  const double prior = kLikely * v;
  const double spread = prior + blocks * v;
  const boost::math::normal standard;
  const double below = boost::math::cdf(standard, std::clamp(sum / std::sqrt(spread), -8.0, 8.0));
  return std::min(std::log(2 * below) + 0.5 * std::log(prior / spread) +
                      sum * std::abs(sum) / (2 * spread) * (sum > 0 ? 1 : 0),
                  kMostLog);
}

double Sequence::wealth() const { return std::exp(wealth_at(count_)); }

std::optional<int> Sequence::blocks_until(double wealth) const {
  if (count_ < 2 || sum_ / count_ <= allowed_) return std::nullopt;
  const double wanted = std::log(wealth);
  for (double more = 1; more < 1e6; more *= 1.25) {
    if (wealth_at(count_ + more) >= wanted) return static_cast<int>(std::ceil(more));
  }
  return std::nullopt;
}

// ---- the judge ----

Judge::Judge(const Limits& limits, int tests) : limits_(limits), shared_by_(std::max(tests, 1)) {}

// Above 0 is worse, whichever the measure.
double Judge::difference(Measure measure, double old_share, double new_share) {
  if (measure == Measure::good) return old_share - new_share;
  if (measure == Measure::cpu) return std::clamp(std::log2(new_share / old_share), -1.0, 1.0);
  return new_share - old_share;
}

Block Judge::pooled(const Block& block) {
  Block out = block;
  for (const auto& [stratum, sides] : block) {
    for (const Stratum& of : {Stratum{stratum.op_type, "all"}, Stratum{"all", "all"}}) {
      auto& [a, b] = out[of];
      a.merge(sides.first);
      b.merge(sides.second);
    }
  }
  return out;
}

void Judge::before(const Block& plain) {
  const Block block = pooled(plain);
  for (const auto& [stratum, sides] : block) {
    for (int i = 0; i < kMeasures; ++i) {
      const auto measure = static_cast<Measure>(i);
      Base& base = base_[{stratum, measure}];
      base.old_so_far.merge(sides.first);
      base.new_so_far.merge(sides.second);
      const auto a = base.old_so_far.share(measure, limits_.least_asked);
      const auto b = base.new_so_far.share(measure, limits_.least_asked);
      if (!a || !b) continue;
      base.old_so_far = base.new_so_far = {};
      const double d = difference(measure, *a, *b);
      base.count += 1;
      base.sum += d;
      base.squares += d * d;
    }
  }
  const auto note = [&](const Side& side, Base& base) {
    if (const auto share = side.share(Measure::good, limits_.least_asked)) {
      base.count += 1;
      base.sum += *share;
      base.squares += *share * *share;
    }
  };
  const auto all = block.find({"all", "all"});
  if (all == block.end()) return;
  note(all->second.first, good_before_old_);
  note(all->second.second, good_before_new_);
}

void Judge::learn_latencies(const std::string& op_type, const totals::LatencyHistogram& latencies) {
  if (!began_) latencies_[op_type].merge(latencies);
}

std::optional<Duration> Judge::slow_from(const std::string& op_type) const {
  const auto at = latencies_.find(op_type);
  if (at == latencies_.end() || at->second.count() < kLeastLatencies) return std::nullopt;
  return at->second.quantile(0.9);
}

void Judge::after(const Block& plain) {
  const Block block = pooled(plain);
  const auto all = block.find({"all", "all"});
  if (all == block.end()) return;
  const auto good_old = all->second.first.share(Measure::good, limits_.least_asked);
  const auto good_new = all->second.second.share(Measure::good, limits_.least_asked);
  had_old_ = had_old_ || good_old.has_value();
  if (good_old || good_new)
    lately_.emplace_back(good_old ? *good_old : *good_new, good_new ? *good_new : *good_old);
  if (lately_.size() > kLately) lately_.erase(lately_.begin());
  // What strikes old and new alike neither stops nor passes a stage: differences scatter otherwise in it than
  // before (two in a hundred sound rollouts were stopped by such blocks).
  if (good_old && good_new && good_before_old_.count >= kLeastBefore &&
      good_before_new_.count >= kLeastBefore &&
      good_before_old_.sum / good_before_old_.count - *good_old >= limits_.trouble / 2 &&
      good_before_new_.sum / good_before_new_.count - *good_new >= limits_.trouble / 2)
    return;
  for (const auto& [stratum, sides] : block) {
    for (int i = 0; i < kMeasures; ++i) {
      const auto measure = static_cast<Measure>(i);
      const Key key{stratum, measure};
      auto at = tests_.find(key);
      if (at == tests_.end()) {
        const double too_much = limits_.too_much[i];
        Test test;
        // Against two hypotheses: that it is not worse to speak of, and that it is worse by too much.
        test.worse = Sequence(limits_.let_be * too_much);
        test.sound = Sequence(-too_much * (stratum.op_type == "all" ? 1 : limits_.within_op_type));
        test.offset = too_much / 2;  // nothing is known of before: half of what is too much is let pass
        const auto base = base_.find(key);
        if (base != base_.end() && base->second.count >= kLeastBefore) {
          const Base& b0 = base->second;
          const boost::math::students_t t(b0.count - 1);
          const double half = boost::math::quantile(boost::math::complement(t, kBaseChance / 2)) *
                              std::sqrt(b0.variance() / b0.count);
          // What was worse before is no fault of the change; what may have been is given to it in part.
          test.offset = std::clamp(b0.sum / b0.count, -0.5, 0.5) + std::min(half, too_much / 2);
          for (Sequence* one : {&test.worse, &test.sound})
            one->know(b0.count, b0.variance() * (b0.count - 1));
        }
        at = tests_.emplace(key, test).first;
      }
      Test& test = at->second;
      test.old_so_far.merge(sides.first);
      test.new_so_far.merge(sides.second);
      const auto a = test.old_so_far.share(measure, limits_.least_asked);
      const auto b = test.new_so_far.share(measure, limits_.least_asked);
      if (!a || !b) continue;
      test.old_so_far = test.new_so_far = {};
      const double d = difference(measure, *a, *b) - test.offset;
      test.worse.see(d);
      test.sound.see(-d);
    }
  }
}

void Judge::at_once(const std::string& what) {
  if (at_once_.empty()) at_once_ = what;
}

void Judge::memory(double bytes_new, double bytes_old, double minutes) {
  const double beyond = bytes_new - std::max(bytes_old, 0.0);
  // Growth over less than this is a process that warms up, unless it is by so much.
  if (minutes < 3 && beyond * minutes < kNoWarmingUp) return;
  if (beyond < limits_.memory_a_minute) return;
  char out[120];
  std::snprintf(out, sizeof out, "memory grows by %.2f MB a minute, the old ones' by %.2f", bytes_new / 1e6,
                bytes_old / 1e6);
  at_once(out);
}

std::vector<Judge::Line> Judge::lines() const {
  std::vector<Line> out;
  for (const auto& [key, test] : tests_)
    out.push_back({key.stratum, key.measure, test.worse.mean(), test.worse.wealth(), test.sound.wealth(),
                   test.worse.count()});
  return out;
}

Finding Judge::look(bool soak_over) const {
  Finding out;
  if (!at_once_.empty()) {
    out.verdict = Verdict::at_once;
    out.what = at_once_;
    return out;
  }
  const auto said = [](const Key& key, const Test& test, double too_much) {
    char text[200];
    std::snprintf(text, sizeof text,
                  "%s of %s in %s: worse by %.4f beyond what was before (%.4f is too much), %d blocks",
                  name_of(key.measure), key.stratum.op_type.c_str(), key.stratum.zone.c_str(),
                  test.worse.mean(), too_much, test.worse.count());
    return std::string(text);
  };
  // A trouble of all is nobody's; before the rest, since it spoils what is compared.
  if (lately_.size() >= kLately && good_before_old_.count >= kLeastBefore &&
      good_before_new_.count >= kLeastBefore) {
    double now_old = 0, now_new = 0;
    for (const auto& [a, b] : lately_) {
      now_old += a / static_cast<double>(lately_.size());
      now_new += b / static_cast<double>(lately_.size());
    }
    const double fell_old = good_before_old_.sum / good_before_old_.count - now_old;
    const double fell_new = good_before_new_.sum / good_before_new_.count - now_new;
    char text[160];
    std::snprintf(text, sizeof text, "good share below its past by %.3f (old) and %.3f (new)", fell_old,
                  fell_new);
    if (fell_old >= limits_.harm && fell_new < fell_old / 2) {
      out.verdict = Verdict::harm;
      out.what = text;
      return out;
    }
    if (fell_old >= limits_.trouble && fell_new >= limits_.trouble && fell_new < 2 * fell_old) {
      out.verdict = Verdict::trouble;
      out.what = text;
      return out;
    }
  }
  if (!had_old_ && lately_.size() >= kLately && good_before_new_.count >= kLeastBefore) {
    // Nobody is old any more: the whole fleet is held against its own past.
    double now_new = 0;
    for (const auto& [a, b] : lately_) now_new += b / static_cast<double>(lately_.size());
    const double fell = good_before_new_.sum / good_before_new_.count - now_new;
    if (fell >= limits_.trouble) {
      out.verdict = Verdict::trouble;
      out.what = "the whole fleet's good share is below its past";
    } else if (soak_over) {
      out.verdict = Verdict::passed;
    }
    return out;
  }
  if (!had_old_ && lately_.size() >= kLately) {
    // Nor is there a past: a successor that took over in the last stage. What needs no comparison has not
    // spoken.
    if (soak_over) out.verdict = Verdict::passed;
    return out;
  }
  const double stop_at = shared_by_ / limits_.false_stops;
  const Test* worst = nullptr;
  const Key* worst_key = nullptr;
  for (const auto& [key, test] : tests_) {
    if (worst == nullptr || test.worse.wealth() > worst->worse.wealth()) {
      worst = &test;
      worst_key = &key;
    }
  }
  if (worst != nullptr && worst->worse.wealth() >= stop_at) {
    out.verdict = Verdict::worse;
    out.what = said(*worst_key, *worst, limits_.too_much[static_cast<std::size_t>(worst_key->measure)]);
    out.wealth = worst->worse.wealth();
    return out;
  }
  if (!soak_over) return out;
  // What has to be shown not to be worse by too much: every measure over all, and the good share of each op
  // type. The finer ones only stop: most of them have too little to show anything in a stage's time.
  const double pass_at = 1 / limits_.doubt;
  int longest = 0;
  bool unsaid = false;
  const Key* open = nullptr;
  for (const auto& [key, test] : tests_) {
    const bool has_to =
        key.stratum.op_type == "all" || (key.stratum.zone == "all" && key.measure == Measure::good);
    if (!has_to || test.sound.wealth() >= pass_at) continue;
    open = &key;
    if (const auto more = test.sound.blocks_until(pass_at)) {
      longest = std::max(longest, *more);
    } else {
      unsaid = true;
    }
  }
  if (open == nullptr && !tests_.empty()) {
    out.verdict = Verdict::passed;
    return out;
  }
  out.verdict = Verdict::too_little;
  if (open != nullptr)
    out.what =
        std::string(name_of(open->measure)) + " of " + open->stratum.op_type + " in " + open->stratum.zone;
  else
    out.what = "nothing could be compared";
  if (open != nullptr && !unsaid) out.seconds = longest * limits_.block_s;
  return out;
}

}  // namespace marbledyke::rollout
