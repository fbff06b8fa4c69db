// The interface through which all code reads the time, so that a test or the lab can give one process a clock
// that steps or runs at another rate.
#pragma once

#include <chrono>

#include "model/types.h"

namespace marbledyke {

// Source of the monotonic time and of the wall-clock time.
class TimeSource {
 public:
  virtual ~TimeSource() = default;
  virtual Duration steady() const = 0;  // since an arbitrary fixed point; never decreases
  virtual Duration wall() const = 0;    // since 1970, UTC; may step
  // Returns how long the machine's clock runs while `own` passes on this one.
  virtual Duration machine_duration(Duration own) const = 0;
};

// The clocks of the machine: std::chrono's steady and system clocks.
class SystemTimeSource final : public TimeSource {
 public:
  Duration steady() const override {
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
  }
  Duration wall() const override {
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
  }
  Duration machine_duration(Duration own) const override { return own; }
};

// The time source for processes that are not under test.
inline const TimeSource& system_time_source() {
  static const SystemTimeSource system_time_source;
  return system_time_source;
}

}  // namespace marbledyke
