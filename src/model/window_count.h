// Counts events in a sliding window by slices of it.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "model/plain.h"

namespace marbledyke {

class WindowCount {
 public:
  // A window of another length starts with so many events, all as if just now. What a longer one would still
  // hold is not known, so it starts full for one length of itself unless nothing was counted.
  void set(Duration window, Duration now, double kept) {
    const Duration slice = std::max(window / kSlices, Duration(1));
    if (slice == slice_) return;
    if (slice > slice_ && kept > 0) kept = kUnknown;
    slice_ = slice;
    counts_.fill(0);
    add(now);
    counts_[static_cast<std::size_t>((now / slice_) % kPlaces)] = kept;
  }

  void add(Duration now) {
    const std::int64_t present = now / slice_;
    const auto place = static_cast<std::size_t>(present % kPlaces);
    if (stamps_[place] != present) {
      stamps_[place] = present;
      counts_[place] = 0;
    }
    counts_[place] += 1;
  }

  // Never less than what the window holds: the slice at its far edge counts whole.
  double at_most(Duration now) const { return sum(now, kSlices); }

  // Never more than what the window holds: the slice at its far edge is left out.
  double at_least(Duration now) const { return sum(now, kSlices - 1); }

 private:
  static constexpr std::int64_t kSlices = 50;
  static constexpr double kUnknown = 1e9;
  static constexpr std::int64_t kPlaces = kSlices + 1;

  double sum(Duration now, std::int64_t oldest) const {
    const std::int64_t present = now / slice_;
    double total = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      if (const std::int64_t age = present - stamps_[i]; counts_[i] > 0 && age <= oldest) total += counts_[i];
    }
    return total;
  }

  Duration slice_{1};
  std::array<double, kPlaces> counts_{};
  std::array<std::int64_t, kPlaces> stamps_{};
};

}  // namespace marbledyke
