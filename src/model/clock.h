// The one interface that time is read through, so that a test or the lab can give one process a clock that
// steps or runs at another rate. Source of the real one: std::chrono's steady and system clocks.
#pragma once

#include <chrono>

#include "model/plain.h"

namespace marbledyke {

class TimeSource {
 public:
  virtual ~TimeSource() = default;
  virtual Duration steady() const = 0;  // since some fixed moment; never goes back
  virtual Duration wall() const = 0;    // since 1970, UTC; may step
  // How long to wait by the machine's clock for that much to pass by this one.
  virtual Duration machine_time(Duration own) const = 0;
};

class MachineTime final : public TimeSource {
 public:
  Duration steady() const override {
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
  }
  Duration wall() const override {
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
  }
  Duration machine_time(Duration own) const override { return own; }
};

inline const TimeSource& machine_clock() {
  static const MachineTime one;
  return one;
}

}  // namespace marbledyke
