// Log lines on standard error through iostreams, kept or dropped by level; and the count of broken
// invariants.
#pragma once

#include <cstdint>
#include <iostream>
#include <string_view>

namespace marbledyke::net {

enum class Level { debug, info, warning, error };

class Log {
 public:
  static void open(Level least, std::string_view name);
  static bool keeps(Level level);
  // The start of a line: time, level and who speaks.
  static std::ostream& line(Level level);
};

// One line a second of its kind at most; the next one says how many were left out.
class Throttle {
 public:
  bool allows();
  std::uint64_t left_out = 0;

 private:
  std::int64_t second_ = -1;
};

// What must hold whatever peers do: asserted in debug builds, counted and logged in release builds.
bool must_hold(bool holds, std::string_view what);
std::uint64_t broken_invariants();

}  // namespace marbledyke::net

#define MD_LOG(level, text)                                                                        \
  do {                                                                                             \
    if (::marbledyke::net::Log::keeps(::marbledyke::net::Level::level))                            \
      ::marbledyke::net::Log::line(::marbledyke::net::Level::level) << text << '\n' << std::flush; \
  } while (false)
