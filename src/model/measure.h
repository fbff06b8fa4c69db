// Durations as plain numbers, fading, and hashes. Nothing here decides.
#pragma once

#include <cmath>
#include <cstdint>
#include <string_view>

#include "model/plain.h"

namespace marbledyke {

inline double seconds(Duration s) { return static_cast<double>(s.count()) * 1e-6; }
inline double micros(Duration s) { return static_cast<double>(s.count()); }
inline Duration span(double us) { return Duration(static_cast<std::int64_t>(us)); }
inline double fade(Duration age, Duration memory) { return std::exp(-micros(age) / micros(memory)); }

inline std::uint64_t mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

inline std::uint64_t hash_text(std::string_view text) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return mix(h);
}

}  // namespace marbledyke
