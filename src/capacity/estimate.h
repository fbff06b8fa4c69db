// A figure with its bounds and what it rests on: a slope that was measured, arithmetic, or nothing yet.
#pragma once

#include <string>
#include <vector>

#include "capacity/slopes.h"

namespace marbledyke::capacity {

class Estimate {
 public:
  // From the size and the protocol alone.
  static Estimate worked_out(double value);
  // From a slope at that size; where its line is below 0 it counts as 0, and below() says so. Without such a
  // slope the estimate is not known, and neither is any that it goes into. Throws config::BadInput where the
  // slope is in another unit, or per another thing, than asked for.
  static Estimate measured(const Slopes& slopes, const std::string& id, const std::string& unit,
                           const std::string& per, double size);

  bool known() const { return missing_.empty(); }
  bool below() const { return below_; }  // a line that went into it is below 0 there: it says nothing
  double value() const { return value_; }
  double low() const { return low_; }
  double high() const { return high_; }
  // 'worked out', the slopes by name, or 'not measured' with the names of those that are missing.
  std::string basis() const;

  Estimate operator+(const Estimate& other) const;
  Estimate operator*(double factor) const;  // 0 or more

 private:
  double value_ = 0, low_ = 0, high_ = 0;
  bool below_ = false;
  std::vector<std::string> used_, missing_;  // slopes, by id
};

}  // namespace marbledyke::capacity
