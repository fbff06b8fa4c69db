#include "capacity/estimate.h"

#include <algorithm>
#include <numeric>

#include "config/fields.h"

namespace marbledyke::capacity {
namespace {

void add(std::vector<std::string>& to, const std::vector<std::string>& from) {
  for (const std::string& one : from) {
    if (std::find(to.begin(), to.end(), one) == to.end()) to.push_back(one);
  }
}

std::string listed(const std::vector<std::string>& names) {
  std::string out;
  for (const std::string& one : names) out += (out.empty() ? "`" : ", `") + one + "`";
  return out;
}

}  // namespace

Estimate Estimate::worked_out(double value) {
  Estimate out;
  out.value_ = out.low_ = out.high_ = value;
  return out;
}

Estimate Estimate::measured(const Slopes& slopes, const std::string& id, const std::string& unit,
                            const std::string& per, double size) {
  Estimate out;
  const Slope* const slope = slopes.find(id);
  if (slope == nullptr) {
    out.missing_ = {id};
    return out;
  }
  if (slope->unit != unit || slope->per != per)
    throw config::BadInput("line " + std::to_string(slope->line) + ": " + id + " is in " + slope->unit +
                           " per " + slope->per + "; wanted in " + unit + " per " + per);
  // A line of least squares passes through the middle of what was measured; the bounds turn about that point.
  const double middle = std::accumulate(slope->sizes.begin(), slope->sizes.end(), 0.0) /
                        static_cast<double>(slope->sizes.size());
  const double at_middle = slope->intercept + slope->slope * middle;
  const double one = at_middle + slope->low * (size - middle);
  const double other = at_middle + slope->high * (size - middle);
  const double fitted = slope->intercept + slope->slope * size;
  out.below_ = fitted < 0;
  out.value_ = std::max(fitted, 0.0);
  out.low_ = std::max(std::min(one, other), 0.0);
  out.high_ = std::max({one, other, 0.0});
  out.used_ = {id};
  return out;
}

std::string Estimate::basis() const {
  if (!missing_.empty()) return "not measured: " + listed(missing_);
  return used_.empty() ? "worked out" : listed(used_);
}

Estimate Estimate::operator+(const Estimate& other) const {
  Estimate out = *this;
  out.value_ += other.value_;
  out.low_ += other.low_;
  out.high_ += other.high_;
  out.below_ = below_ || other.below_;
  add(out.used_, other.used_);
  add(out.missing_, other.missing_);
  return out;
}

Estimate Estimate::operator*(double factor) const {
  Estimate out = *this;
  out.value_ *= factor;
  out.low_ *= factor;
  out.high_ *= factor;
  return out;
}

}  // namespace marbledyke::capacity
