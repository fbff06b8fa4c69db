// Counts events in a sliding window of time, which is divided into slices.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "model/types.h"

namespace marbledyke {

// The sum over the slices is either an upper or a lower bound of the exact count, as the caller asks.
class SlidingWindowCounter {
 public:
  // Changes the length of the window. If the length differs, the counter restarts with `initial_count`
  // events, counted as if they happened at `now`. A longer window would reach further back than the counts
  // do, so if `initial_count` is above 0 it starts with kUnknownCount and stays that full for one window.
  void set_window(Duration window, Duration now, double initial_count) {
    const Duration slice = std::max(window / kSlices, Duration(1));
    if (slice == slice_) return;
    if (slice > slice_ && initial_count > 0) initial_count = kUnknownCount;
    slice_ = slice;
    counts_.fill(0);
    add(now);
    counts_[static_cast<std::size_t>((now / slice_) % kBuckets)] = initial_count;
  }

  void add(Duration now) {
    const std::int64_t current_slice = now / slice_;
    const auto bucket = static_cast<std::size_t>(current_slice % kBuckets);
    if (slice_numbers_[bucket] != current_slice) {
      slice_numbers_[bucket] = current_slice;
      counts_[bucket] = 0;
    }
    counts_[bucket] += 1;
  }

  // Returns at least the exact count: the oldest slice, partly outside the window, counts in full.
  double upper_bound(Duration now) const { return sum(now, kSlices); }

  // Returns at most the exact count: the oldest slice is left out.
  double lower_bound(Duration now) const { return sum(now, kSlices - 1); }

 private:
  static constexpr std::int64_t kSlices = 50;
  static constexpr double kUnknownCount = 1e9;
  static constexpr std::int64_t kBuckets = kSlices + 1;

  double sum(Duration now, std::int64_t oldest) const {
    const std::int64_t current_slice = now / slice_;
    double total = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      if (const std::int64_t age = current_slice - slice_numbers_[i]; counts_[i] > 0 && age <= oldest)
        total += counts_[i];
    }
    return total;
  }

  Duration slice_{1};
  std::array<double, kBuckets> counts_{};
  std::array<std::int64_t, kBuckets> slice_numbers_{};
};

}  // namespace marbledyke
