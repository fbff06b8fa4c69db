#include "lab/scale/measured.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace marbledyke::lab::scale {
namespace {

struct Line {
  double intercept = 0, slope = 0;
};

// Least squares; the sizes are not all equal.
Line fit(const std::map<int, double>& values) {
  const auto count = static_cast<double>(values.size());
  double mean_size = 0, mean_value = 0;
  for (const auto& [size, value] : values) {
    mean_size += size / count;
    mean_value += value / count;
  }
  double above = 0, below = 0;
  for (const auto& [size, value] : values) {
    above += (size - mean_size) * (value - mean_value);
    below += (size - mean_size) * (size - mean_size);
  }
  const double slope = above / below;
  return {mean_value - slope * mean_size, slope};
}

void widen(Slope& slope, double by) {
  slope.low = std::min(slope.low, by);
  slope.high = std::max(slope.high, by);
}

}  // namespace

std::vector<Row> rows_of(const std::vector<Point>& points) {
  std::vector<Row> rows;
  for (const Point& point : points) {
    const auto at = std::find_if(rows.begin(), rows.end(), [&](const Row& row) {
      return row.part == point.part && row.size == point.size && row.what == point.what;
    });
    if (at == rows.end()) {
      rows.push_back(
          {point.part, point.size, point.what, point.unit, point.value, point.value, point.value, 1});
      continue;
    }
    at->runs += 1;
    at->value += (point.value - at->value) / at->runs;
    at->low = std::min(at->low, point.value);
    at->high = std::max(at->high, point.value);
  }
  return rows;
}

std::optional<Slope> slope_of(const SlopeOf& of, const std::vector<Point>& points) {
  std::vector<Point> mine;
  std::map<int, std::map<int, double>> by_run;
  for (const Point& point : points) {
    if (point.part != of.part || point.what != of.what) continue;
    mine.push_back(point);
    by_run[point.run][point.size] = point.value;
  }
  std::map<int, double> means;
  Slope out;
  out.of = of;
  for (const Row& row : rows_of(mine)) {
    means[row.size] = row.value;
    out.runs = out.runs == 0 ? row.runs : std::min(out.runs, row.runs);
  }
  if (means.size() < 2) return std::nullopt;
  const Line line = fit(means);
  out.intercept = line.intercept;
  out.slope = out.low = out.high = line.slope;
  for (const auto& [run, values] : by_run) {
    if (values.size() >= 2) widen(out, fit(values).slope);
  }
  for (auto at = means.begin(), next = std::next(at); next != means.end(); ++at, ++next)
    widen(out, (next->second - at->second) / (next->first - at->first));
  for (const auto& [size, value] : means) out.sizes.push_back(size);
  return out;
}

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double place = std::ceil(share * static_cast<double>(values.size())) - 1;
  return values[static_cast<std::size_t>(std::clamp(place, 0.0, static_cast<double>(values.size() - 1)))];
}

}  // namespace marbledyke::lab::scale
