#include "totals/totals.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <vector>

#include "config/fields.h"

namespace marbledyke::totals {
namespace {

namespace bh = boost::histogram;
using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<std::uint64_t>;

constexpr int kBuckets = 480;
constexpr double kMinUs = 50, kMaxUs = 150e6;

// Returns a count that is not negative; 0 if the field is missing.
std::uint64_t parse_count(const nlohmann::json& parent, const char* field) {
  const std::int64_t value = config::integer_or(parent, field, 0);
  if (value < 0) throw config::BadInput(std::string(field) + ": is negative");
  return static_cast<std::uint64_t>(value);
}

}  // namespace

struct LatencyHistogram::Histogram {
  decltype(bh::make_histogram_with(Storage(), Axis(kBuckets, kMinUs, kMaxUs))) buckets =
      bh::make_histogram_with(Storage(), Axis(kBuckets, kMinUs, kMaxUs));
};

LatencyHistogram::LatencyHistogram() = default;
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(const LatencyHistogram& other)
    : histogram_(other.histogram_ ? std::make_unique<Histogram>(*other.histogram_) : nullptr) {}
LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& other) {
  if (this != &other)
    histogram_ = other.histogram_ ? std::make_unique<Histogram>(*other.histogram_) : nullptr;
  return *this;
}
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept = default;

void LatencyHistogram::add(Duration value) {
  if (!histogram_) histogram_ = std::make_unique<Histogram>();
  histogram_->buckets(static_cast<double>(std::max<std::int64_t>(value.count(), 1)));
}

void LatencyHistogram::merge(const LatencyHistogram& other) {
  if (!other.histogram_) return;
  if (!histogram_) histogram_ = std::make_unique<Histogram>();
  histogram_->buckets += other.histogram_->buckets;
}

std::uint64_t LatencyHistogram::count() const {
  std::uint64_t out = 0;
  if (histogram_) {
    for (int i = -1; i <= kBuckets; ++i) out += histogram_->buckets.at(i);
  }
  return out;
}

Duration LatencyHistogram::quantile(double share) const {
  const std::uint64_t total = count();
  if (total == 0) return Duration{};
  const auto wanted = std::clamp<std::uint64_t>(
      static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(total))), 1, total);
  std::uint64_t sum = 0;
  for (int i = -1; i <= kBuckets; ++i) {
    sum += histogram_->buckets.at(i);
    if (sum >= wanted) {
      const double edge = i < 0 ? kMinUs : i == kBuckets ? kMaxUs : histogram_->buckets.axis().bin(i).upper();
      return Duration(static_cast<std::int64_t>(edge));
    }
  }
  return Duration{};
}

std::uint64_t LatencyHistogram::count_above(Duration value) const {
  std::uint64_t out = 0;
  if (!histogram_) return out;
  const int bucket =
      histogram_->buckets.axis().index(static_cast<double>(std::max<std::int64_t>(value.count(), 1)));
  for (int i = bucket + 1; i <= kBuckets; ++i) out += histogram_->buckets.at(i);
  return out;
}

nlohmann::json LatencyHistogram::to_json() const {
  nlohmann::json out = nlohmann::json::array();
  if (!histogram_) return out;
  for (int i = -1; i <= kBuckets; ++i) {
    if (const std::uint64_t count = histogram_->buckets.at(i); count > 0) out.push_back({i, count});
  }
  return out;
}

LatencyHistogram LatencyHistogram::from_json(const nlohmann::json& list) {
  LatencyHistogram out;
  if (!list.is_array() || list.size() > kBuckets + 2)  // with underflow and overflow
    throw config::BadInput("latency: not a list of buckets");
  for (const nlohmann::json& pair : list) {
    if (!pair.is_array() || pair.size() != 2 || !pair[0].is_number_integer() ||
        !pair[1].is_number_unsigned() || pair[0].get<std::int64_t>() < -1 ||
        pair[0].get<std::int64_t>() > kBuckets)
      throw config::BadInput("latency: not a bucket and a count");
    if (!out.histogram_) out.histogram_ = std::make_unique<Histogram>();
    out.histogram_->buckets.at(pair[0].get<int>()) += pair[1].get<std::uint64_t>();
  }
  return out;
}

bool LatencyHistogram::operator==(const LatencyHistogram& other) const {
  return to_json() == other.to_json();
}

void OpTypeCounts::merge(const OpTypeCounts& other) {
  taken += other.taken;
  answered += other.answered;
  in_budget += other.in_budget;
  whole += other.whole;
  pushed_back += other.pushed_back;
  failed += other.failed;
  left += other.left;
  sends += other.sends;
  further += other.further;
  latency.merge(other.latency);
  importance = other.importance;
}

OpTypeCounts Window::total() const {
  OpTypeCounts out;
  for (const auto& [name, count] : by_op_type) out.merge(count);
  out.importance = 1;
  return out;
}

void Window::merge(const Window& other) {
  for (const auto& [name, count] : other.by_op_type) by_op_type[name].merge(count);
  broken_invariants += other.broken_invariants;
  not_connected += other.not_connected;
  dropped += other.dropped;
  in_hand += other.in_hand;
}

nlohmann::json to_json(const OpTypeCounts& counts) {
  return {{"taken", counts.taken},
          {"answered", counts.answered},
          {"in_budget", counts.in_budget},
          {"whole", counts.whole},
          {"pushed_back", counts.pushed_back},
          {"failed", counts.failed},
          {"left", counts.left},
          {"sends", counts.sends},
          {"further", counts.further},
          {"importance", counts.importance},
          {"latency", counts.latency.to_json()}};
}

nlohmann::json to_json(const Window& window) {
  nlohmann::json op_types = nlohmann::json::object();
  for (const auto& [name, count] : window.by_op_type) op_types[name] = to_json(count);
  return {{"start_ms", window.start_ms},
          {"op_types", std::move(op_types)},
          {"broken_invariants", window.broken_invariants},
          {"not_connected", window.not_connected},
          {"dropped", window.dropped},
          {"in_hand", window.in_hand}};
}

Window parse_window(const nlohmann::json& object) {
  Window out;
  out.start_ms = config::integer(object, "start_ms");
  for (const auto& [name, one] : config::object(object, "op_types").items()) {
    OpTypeCounts& counts = out.by_op_type[name];
    counts.taken = parse_count(one, "taken");
    counts.answered = parse_count(one, "answered");
    counts.in_budget = parse_count(one, "in_budget");
    counts.whole = parse_count(one, "whole");
    counts.pushed_back = parse_count(one, "pushed_back");
    counts.failed = parse_count(one, "failed");
    counts.left = parse_count(one, "left");
    counts.sends = parse_count(one, "sends");
    counts.further = parse_count(one, "further");
    counts.importance = config::number_or(one, "importance", 1);
    counts.latency = LatencyHistogram::from_json(config::array(one, "latency"));
  }
  out.broken_invariants = parse_count(object, "broken_invariants");
  out.not_connected = parse_count(object, "not_connected");
  out.dropped = parse_count(object, "dropped");
  out.in_hand = parse_count(object, "in_hand");
  return out;
}

void WindowHistory::add(Window window) {
  const std::int64_t start_ms = window.start_ms;
  windows_.erase(windows_.lower_bound(start_ms), windows_.end());
  for (const auto& [name, count] : window.by_op_type) sum_.by_op_type[name].merge(count);
  // These three are counted since the process started, so the largest is the latest.
  sum_.broken_invariants = std::max(sum_.broken_invariants, window.broken_invariants);
  sum_.not_connected = std::max(sum_.not_connected, window.not_connected);
  sum_.dropped = std::max(sum_.dropped, window.dropped);
  sum_.in_hand = window.in_hand;
  sum_.start_ms = sum_.start_ms == 0 ? start_ms : std::min(sum_.start_ms, start_ms);
  windows_.emplace(start_ms, std::move(window));
  if (windows_.size() > kMaxWindows) windows_.erase(windows_.begin());
}

Window WindowHistory::merged(std::int64_t from_ms, std::int64_t until_ms) const {
  Window out;
  out.start_ms = from_ms;
  for (auto at = windows_.lower_bound(from_ms); at != windows_.end() && at->first < until_ms; ++at) {
    for (const auto& [name, count] : at->second.by_op_type) out.by_op_type[name].merge(count);
    out.broken_invariants = std::max(out.broken_invariants, at->second.broken_invariants);
    out.not_connected = std::max(out.not_connected, at->second.not_connected);
    out.dropped = std::max(out.dropped, at->second.dropped);
    out.in_hand = at->second.in_hand;
  }
  return out;
}

}  // namespace marbledyke::totals
