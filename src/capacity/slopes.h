// Measured slopes: how a cost of one process grows with a size, as the scale run wrote them down
// (experiments/scale/slopes.csv). Without I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marbledyke::capacity {

inline constexpr std::string_view kSlopesHeader = "id,role,unit,per,intercept,slope,low,high,sizes,runs";
inline constexpr std::size_t kMostSlopes = 500;  // lines of a file; more is refused

// value(size) = intercept + slope * size; `low` and `high` bound the slope.
struct Slope {
  std::string id, role, unit, per;  // `per`: what the size counts
  double intercept = 0, slope = 0, low = 0, high = 0;
  std::vector<double> sizes;  // at which it was measured, ascending, two at least
  int runs = 0;               // at each size
  int line = 0;               // of the file
};

class Slopes {
 public:
  const Slope* find(std::string_view id) const;  // null: not measured
  const std::vector<Slope>& all() const { return all_; }

 private:
  friend Slopes read_slopes(std::string_view text);
  std::vector<Slope> all_;
};

// The text of a slopes file: the header, then a slope a line; lines that begin with # are notes. Throws
// config::BadInput naming line and column at fault.
Slopes read_slopes(std::string_view text);

}  // namespace marbledyke::capacity
