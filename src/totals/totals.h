// Counts and latencies by op type, in windows of one second that start on a whole second of the wall clock,
// so that the windows of several gatherers line up. Merging is exact: counts add up, and all histograms share
// the same buckets (Boost.Histogram, 480 logarithmic buckets, each 3.1% wide, from 50 us to 150 s).
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "model/types.h"

namespace marbledyke::totals {

inline constexpr std::int64_t kWindowMs = 1000;

// A histogram of latencies. Empty ones allocate nothing.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& other);
  LatencyHistogram& operator=(const LatencyHistogram& other);
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void add(Duration value);
  void merge(const LatencyHistogram& other);
  std::uint64_t count() const;
  // Returns the upper edge of the bucket in which `share` (0 to 1) of the values is reached; 0 without
  // values.
  Duration quantile(double share) const;
  // Returns the number of values in buckets that lie entirely above `value`.
  std::uint64_t count_above(Duration value) const;

  // The JSON form is a list of [bucket, count] pairs, without the empty buckets; bucket -1 is the underflow.
  // Parsing throws config::BadInput.
  nlohmann::json to_json() const;
  static LatencyHistogram from_json(const nlohmann::json& list);
  bool operator==(const LatencyHistogram& other) const;

 private:
  struct Histogram;
  std::unique_ptr<Histogram> histogram_;  // null while empty
};

// Counts of one op type, in multigets unless stated otherwise. The field names are those of the JSON form. A
// multiget counts under `taken` in the window in which it arrived, and under everything else in the window in
// which that happened.
struct OpTypeCounts {
  std::uint64_t taken = 0;
  std::uint64_t answered = 0;   // with a complete or partial answer
  std::uint64_t in_budget = 0;  // of the answered, within the op type's latency budget
  std::uint64_t whole = 0;      // of the answered, with a complete answer
  std::uint64_t pushed_back = 0;
  std::uint64_t failed = 0;
  std::uint64_t left = 0;     // client disconnected before the answer
  std::uint64_t sends = 0;    // sends of parts
  std::uint64_t further = 0;  // of these, not the first of their part
  LatencyHistogram latency;   // of answers, from the request's first byte
  double importance = 1;

  std::uint64_t ended() const { return answered + pushed_back + failed + left; }
  void merge(const OpTypeCounts& other);
  bool operator==(const OpTypeCounts&) const = default;
};

// The counts of one second at one gatherer, or of several windows merged.
struct Window {
  std::int64_t start_ms = 0;  // wall clock, since the Unix epoch
  std::map<std::string, OpTypeCounts> by_op_type;
  std::uint64_t broken_invariants = 0;  // since the process started, like the next two
  std::uint64_t not_connected = 0, dropped = 0;
  std::uint64_t in_hand = 0;  // multigets pending at the end of the window

  // Returns the sum over the op types.
  OpTypeCounts total() const;
  // Adds a window of the same second at another gatherer, or of another second at the same one.
  void merge(const Window& other);
};

nlohmann::json to_json(const OpTypeCounts& counts);
nlohmann::json to_json(const Window& window);
Window parse_window(const nlohmann::json& object);  // throws config::BadInput

// The most recent windows of one process, ordered by start, at most kMaxWindows. If its wall clock was set
// back, the earlier windows at and after the new time are dropped: the most recent report counts.
class WindowHistory {
 public:
  static constexpr std::size_t kMaxWindows = 120;
  void add(Window window);
  const std::map<std::int64_t, Window>& windows() const { return windows_; }
  // Merges the windows that start at or after `from_ms` and before `until_ms`.
  Window merged(std::int64_t from_ms, std::int64_t until_ms) const;
  // Returns the sum over all windows ever added, including those no longer kept.
  const Window& since_start() const { return sum_; }
  void clear() { *this = WindowHistory(); }

 private:
  std::map<std::int64_t, Window> windows_;
  Window sum_;
};

}  // namespace marbledyke::totals
