// Latencies in buckets of constant relative width: under 1% wide, from 1 us to hours, in a few tens of KiB.
#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>
#include <vector>

#include "model/types.h"

namespace marbledyke::standins {

class Histogram {
 public:
  void add(Duration value) {
    const auto us = static_cast<std::uint64_t>(std::max<std::int64_t>(value.count(), 0));
    const std::size_t at = place(us);
    if (at >= counts_.size()) counts_.resize(at + 1);
    counts_[at] += 1;
    count_ += 1;
    most_ = std::max(most_, us);
  }
  std::uint64_t count() const { return count_; }
  Duration most() const { return Duration(static_cast<std::int64_t>(most_)); }

  // The upper edge of the bucket in which that share of the values is reached; zero without values.
  Duration at(double share) const {
    const auto wanted = static_cast<std::uint64_t>(share * static_cast<double>(count_) + 0.5);
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      sum += counts_[i];
      if (sum >= std::max<std::uint64_t>(wanted, 1))
        return Duration(static_cast<std::int64_t>(std::min(edge(i), most_)));
    }
    return Duration{};
  }

 private:
  static constexpr int kBits = 7;  // 128 buckets for each doubling

  static std::size_t place(std::uint64_t us) {
    if (us < (1U << (kBits + 1))) return us;
    const int shift = std::bit_width(us) - kBits - 1;
    return (static_cast<std::size_t>(shift) << kBits) + (us >> shift);
  }
  static std::uint64_t edge(std::size_t at) {
    if (at < (1U << (kBits + 1))) return at;
    const std::size_t shift = (at >> kBits) - 1;
    return ((at - (shift << kBits) + 1) << shift) - 1;
  }

  std::vector<std::uint64_t> counts_;
  std::uint64_t count_ = 0, most_ = 0;
};

}  // namespace marbledyke::standins
