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
constexpr double kLeast = 50, kMost = 150e6;  // us

std::uint64_t count_of(const nlohmann::json& from, const char* field) {
  const std::int64_t value = config::whole_or(from, field, 0);
  if (value < 0) throw config::BadInput(std::string(field) + ": is negative");
  return static_cast<std::uint64_t>(value);
}

}  // namespace

struct Latencies::Held {
  decltype(bh::make_histogram_with(Storage(), Axis(kBuckets, kLeast, kMost))) of =
      bh::make_histogram_with(Storage(), Axis(kBuckets, kLeast, kMost));
};

Latencies::Latencies() = default;
Latencies::~Latencies() = default;
Latencies::Latencies(const Latencies& other)
    : held_(other.held_ ? std::make_unique<Held>(*other.held_) : nullptr) {}
Latencies& Latencies::operator=(const Latencies& other) {
  if (this != &other) held_ = other.held_ ? std::make_unique<Held>(*other.held_) : nullptr;
  return *this;
}
Latencies::Latencies(Latencies&&) noexcept = default;
Latencies& Latencies::operator=(Latencies&&) noexcept = default;

void Latencies::add(Duration value) {
  if (!held_) held_ = std::make_unique<Held>();
  held_->of(static_cast<double>(std::max<std::int64_t>(value.count(), 1)));
}

void Latencies::merge(const Latencies& other) {
  if (!other.held_) return;
  if (!held_) held_ = std::make_unique<Held>();
  held_->of += other.held_->of;
}

std::uint64_t Latencies::count() const {
  std::uint64_t out = 0;
  if (held_) {
    for (int i = -1; i <= kBuckets; ++i) out += held_->of.at(i);
  }
  return out;
}

Duration Latencies::at(double share) const {
  const std::uint64_t all = count();
  if (all == 0) return Duration{};
  const auto wanted = std::clamp<std::uint64_t>(
      static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(all))), 1, all);
  std::uint64_t sum = 0;
  for (int i = -1; i <= kBuckets; ++i) {
    sum += held_->of.at(i);
    if (sum >= wanted) {
      const double edge = i < 0 ? kLeast : i == kBuckets ? kMost : held_->of.axis().bin(i).upper();
      return Duration(static_cast<std::int64_t>(edge));
    }
  }
  return Duration{};
}

std::uint64_t Latencies::above(Duration value) const {
  std::uint64_t out = 0;
  if (!held_) return out;
  const int from = held_->of.axis().index(static_cast<double>(std::max<std::int64_t>(value.count(), 1)));
  for (int i = from + 1; i <= kBuckets; ++i) out += held_->of.at(i);
  return out;
}

nlohmann::json Latencies::put() const {
  nlohmann::json out = nlohmann::json::array();
  if (!held_) return out;
  for (int i = -1; i <= kBuckets; ++i) {
    if (const std::uint64_t count = held_->of.at(i); count > 0) out.push_back({i, count});
  }
  return out;
}

Latencies Latencies::read(const nlohmann::json& from) {
  Latencies out;
  if (!from.is_array() || from.size() > kBuckets + 2)
    throw config::BadInput("latency: not a list of buckets");
  for (const nlohmann::json& pair : from) {
    if (!pair.is_array() || pair.size() != 2 || !pair[0].is_number_integer() ||
        !pair[1].is_number_unsigned() || pair[0].get<std::int64_t>() < -1 ||
        pair[0].get<std::int64_t>() > kBuckets)
      throw config::BadInput("latency: not a bucket and a count");
    if (!out.held_) out.held_ = std::make_unique<Held>();
    out.held_->of.at(pair[0].get<int>()) += pair[1].get<std::uint64_t>();
  }
  return out;
}

bool Latencies::operator==(const Latencies& other) const { return put() == other.put(); }

void Count::merge(const Count& other) {
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

Count Window::all() const {
  Count out;
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

nlohmann::json put(const Count& c) {
  return {{"taken", c.taken},
          {"answered", c.answered},
          {"in_budget", c.in_budget},
          {"whole", c.whole},
          {"pushed_back", c.pushed_back},
          {"failed", c.failed},
          {"left", c.left},
          {"sends", c.sends},
          {"further", c.further},
          {"importance", c.importance},
          {"latency", c.latency.put()}};
}

nlohmann::json put(const Window& w) {
  nlohmann::json ops = nlohmann::json::object();
  for (const auto& [name, count] : w.by_op_type) ops[name] = put(count);
  return {{"start_ms", w.start_ms},
          {"op_types", std::move(ops)},
          {"broken_invariants", w.broken_invariants},
          {"not_connected", w.not_connected},
          {"dropped", w.dropped},
          {"in_hand", w.in_hand}};
}

Window read_window(const nlohmann::json& from) {
  Window out;
  out.start_ms = config::whole(from, "start_ms");
  for (const auto& [name, one] : config::object(from, "op_types").items()) {
    Count& c = out.by_op_type[name];
    c.taken = count_of(one, "taken");
    c.answered = count_of(one, "answered");
    c.in_budget = count_of(one, "in_budget");
    c.whole = count_of(one, "whole");
    c.pushed_back = count_of(one, "pushed_back");
    c.failed = count_of(one, "failed");
    c.left = count_of(one, "left");
    c.sends = count_of(one, "sends");
    c.further = count_of(one, "further");
    c.importance = config::number_or(one, "importance", 1);
    c.latency = Latencies::read(config::array(one, "latency"));
  }
  out.broken_invariants = count_of(from, "broken_invariants");
  out.not_connected = count_of(from, "not_connected");
  out.dropped = count_of(from, "dropped");
  out.in_hand = count_of(from, "in_hand");
  return out;
}

void Series::add(Window window) {
  const std::int64_t at = window.start_ms;
  windows_.erase(windows_.lower_bound(at), windows_.end());
  for (const auto& [name, count] : window.by_op_type) sum_.by_op_type[name].merge(count);
  // These count from the process's start already.
  sum_.broken_invariants = std::max(sum_.broken_invariants, window.broken_invariants);
  sum_.not_connected = std::max(sum_.not_connected, window.not_connected);
  sum_.dropped = std::max(sum_.dropped, window.dropped);
  sum_.in_hand = window.in_hand;
  sum_.start_ms = sum_.start_ms == 0 ? at : std::min(sum_.start_ms, at);
  windows_.emplace(at, std::move(window));
  if (windows_.size() > kKept) windows_.erase(windows_.begin());
}

Window Series::merged(std::int64_t from_ms, std::int64_t until_ms) const {
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
