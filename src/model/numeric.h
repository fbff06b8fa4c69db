// Conversions between durations and numbers, exponential decay and hash functions.
#pragma once

#include <cmath>
#include <cstdint>
#include <string_view>

#include "model/types.h"

namespace marbledyke {

inline double to_seconds(Duration s) { return static_cast<double>(s.count()) * 1e-6; }
inline double to_micros(Duration s) { return static_cast<double>(s.count()); }
inline Duration from_micros(double us) { return Duration(static_cast<std::int64_t>(us)); }
// The factor in (0, 1] by which a value decays over `age` with the time constant `memory`.
inline double exponential_decay(Duration age, Duration memory) {
  return std::exp(-to_micros(age) / to_micros(memory));
}

// The finaliser of SplitMix64: spreads each input bit over the whole output.
inline std::uint64_t mix_bits(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// FNV-1a with a final mix. Stable across builds and platforms.
inline std::uint64_t hash_string(std::string_view text) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return mix_bits(h);
}

}  // namespace marbledyke
