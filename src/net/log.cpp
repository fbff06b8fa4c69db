#include "net/log.h"

#include <array>
#include <cassert>
#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <string>

namespace marbledyke::net {
namespace {

Level least_kept = Level::info;
std::string speaker;
std::uint64_t broken = 0;

}  // namespace

void Log::open(Level least, std::string_view name) {
  least_kept = least;
  speaker = name;
}

bool Log::keeps(Level level) { return level >= least_kept; }

std::ostream& Log::line(Level level) {
  static constexpr std::array<const char*, 4> kNames{"debug", "info", "warning", "error"};
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
  return std::cerr << ms / 1000 << '.' << std::setw(3) << std::setfill('0') << ms % 1000 << ' '
                   << kNames[static_cast<std::size_t>(level)] << ' ' << speaker << ": ";
}

bool Throttle::allows() {
  using std::chrono::steady_clock;
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(steady_clock::now().time_since_epoch()).count();
  if (second == second_) {
    ++left_out;
    return false;
  }
  second_ = second;
  return true;
}

bool must_hold(bool holds, std::string_view what) {
  if (holds) return true;
  ++broken;
  static Throttle throttle;
  if (throttle.allows()) MD_LOG(error, "invariant broken: " << what << " (" << broken << " so far)");
  assert(false && "an invariant is broken");
  return false;
}

std::uint64_t broken_invariants() { return broken; }

}  // namespace marbledyke::net
