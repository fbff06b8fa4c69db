#include "capacity/quantile.h"

#include <cmath>

namespace marbledyke::capacity {
namespace {

constexpr int kHalvings = 60;  // of the interval from 0 to 1; beyond that a double tells nothing apart

// Chance that at least `needed` of `parts` are in time, each with that chance.
double enough(int parts, int needed, double chance) {
  const double late = 1 - chance;
  double ways = 1, out = 0;  // ways to choose the late ones
  for (int missing = 0; missing <= parts - needed; ++missing) {
    out += ways * std::pow(late, missing) * std::pow(chance, parts - missing);
    ways *= static_cast<double>(parts - missing) / (missing + 1);
  }
  return out;
}

}  // namespace

double parts_in_time(int parts, int needed, double wanted) {
  double low = 0, high = 1;
  for (int i = 0; i < kHalvings; ++i) {
    const double middle = (low + high) / 2;
    (enough(parts, needed, middle) < wanted ? low : high) = middle;
  }
  return high;
}

}  // namespace marbledyke::capacity
