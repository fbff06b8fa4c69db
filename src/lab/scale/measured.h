// Measured points, their means and spreads, and straight lines through them. Without I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace marbledyke::lab::scale {

// One value of one run. No text holds a comma or a line end.
struct Point {
  std::string part;
  int size = 0;
  std::string what, unit;
  int run = 0;
  double value = 0;
};

// The runs of one part, size and quantity.
struct Row {
  std::string part;
  int size = 0;
  std::string what, unit;
  double value = 0, low = 0, high = 0;  // mean, least and greatest
  int runs = 0;
};
// In the order in which the points were added.
std::vector<Row> rows_of(const std::vector<Point>& points);

// How a slope is taken from points: value = intercept + slope * size, over all sizes of one quantity.
struct SlopeOf {
  std::string id, role, unit, per;
  std::string part, what;
};
struct Slope {
  SlopeOf of;
  double intercept = 0, slope = 0;  // least squares over the means of the sizes
  double low = 0, high = 0;         // least and greatest slope of a single run, or between neighbouring sizes
  std::vector<int> sizes;
  int runs = 0;  // the fewest at a size
};
// None where fewer than two sizes were measured.
std::optional<Slope> slope_of(const SlopeOf& of, const std::vector<Point>& points);

// The value that a share from 0 to 1 of them does not pass; 0 without values.
double quantile(std::vector<double> values, double share);

}  // namespace marbledyke::lab::scale
