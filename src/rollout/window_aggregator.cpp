#include "rollout/window_aggregator.h"

#include <algorithm>

namespace marbledyke::rollout {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxWindows = 900;       // per keeper
constexpr std::int64_t kLateWindowMs = 3'000;  // how long after a block's end its windows may arrive
constexpr std::size_t kMaxCpuSamples = 1'000;  // per keeper

std::int64_t floor_to(std::int64_t ms, std::int64_t step) { return ms - ((ms % step) + step) % step; }

}  // namespace

WindowAggregator::WindowAggregator(const Plan& plan, const std::vector<Member>& members) : plan_(plan) {
  for (const Member& member : members) keepers_[member.name].zone = member.zone;
}

void WindowAggregator::on_window(const std::string& keeper, const std::string& version,
                                 std::int64_t started_ms, std::int64_t clock_ahead_ms,
                                 const totals::Window& window) {
  const auto at = keepers_.find(keeper);
  if (at == keepers_.end()) return;
  // Windows begin at a full second on every machine, so the difference of the clocks is rounded to full
  // seconds.
  const std::int64_t ahead = floor_to(clock_ahead_ms + 500, 1000);
  const std::int64_t start = window.start_ms - ahead;
  SecondWindow& second = at->second.seconds[start];
  second = {version, started_ms - ahead, window};
  for (const auto& [op, count] : window.by_op_type) op_types_.insert(op);
  while (at->second.seconds.size() > kMaxWindows) at->second.seconds.erase(at->second.seconds.begin());
}

std::int64_t WindowAggregator::newest_window_ms(const std::string& keeper) const {
  const auto at = keepers_.find(keeper);
  return at == keepers_.end() || at->second.seconds.empty() ? 0 : at->second.seconds.rbegin()->first;
}

void WindowAggregator::on_resource_usage(const std::string& keeper, std::int64_t started_ms,
                                         std::int64_t now_ms, double cpu_s, double rss) {
  const auto at = keepers_.find(keeper);
  if (at == keepers_.end()) return;
  KeeperSeries& series = at->second;
  if (started_ms != series.process_started_ms) {  // a new process: its CPU time starts at zero
    series.cpu.clear();
    series.process_started_ms = started_ms;
    series.first_rss_ms = 0;
  }
  series.cpu[now_ms] = cpu_s;
  while (series.cpu.size() > kMaxCpuSamples) series.cpu.erase(series.cpu.begin());
  if (now_ms - started_ms < plan_.burn_in / 1ms) return;
  if (series.first_rss_ms == 0) {
    series.first_rss_ms = now_ms;
    series.first_rss_bytes = rss;
  }
  series.last_rss_bytes = rss;
  series.last_rss_ms = now_ms;
}

double WindowAggregator::cpu_seconds_between(const KeeperSeries& series, std::int64_t from_ms,
                                             std::int64_t until_ms) const {
  // The difference between the last samples before each end, scaled to the length of the block.
  const auto after = series.cpu.lower_bound(until_ms);
  const auto before = series.cpu.lower_bound(from_ms);
  if (before == series.cpu.begin() || after == series.cpu.begin() || before == series.cpu.end()) return 0;
  const auto a = std::prev(before), b = std::prev(after);
  if (b->first <= a->first) return 0;
  return std::max(b->second - a->second, 0.0) * static_cast<double>(until_ms - from_ms) /
         static_cast<double>(b->first - a->first);
}

Block WindowAggregator::make_block(std::int64_t from_ms, const std::set<std::string>& changed,
                                   bool match_version) const {
  Block out;
  const std::int64_t until = from_ms + plan_.limits.block_seconds * 1000;
  for (const auto& [name, series] : keepers_) {
    std::map<std::string, Side> by_op_type;
    std::uint64_t received = 0;
    for (auto at = series.seconds.lower_bound(from_ms); at != series.seconds.end() && at->first < until;
         ++at) {
      const SecondWindow& second = at->second;
      if (at->first - second.started_ms < plan_.burn_in / 1ms) continue;
      // Windows of the previous process of a changed keeper belong to neither side, nor do windows of the new
      // version on a keeper that counts as unchanged.
      if (match_version && (second.version == plan_.version) != changed.contains(name)) continue;
      for (const auto& [op, count] : second.window.by_op_type) {
        by_op_type[op].add(count, judge_ ? judge_->slow_threshold(op).value_or(0us) : 0us);
        received += count.taken;
      }
    }
    const double cpu = cpu_seconds_between(series, from_ms, until);
    for (auto& [op, side] : by_op_type) {
      if (received > 0)
        side.cpu_seconds = cpu * static_cast<double>(side.received) / static_cast<double>(received);
      auto& [old_side, new_side] = out[{op, series.zone}];
      (changed.contains(name) ? new_side : old_side).merge(side);
    }
  }
  return out;
}

void WindowAggregator::start_comparison(const std::set<std::string>& changed, std::int64_t from_ms,
                                        std::int64_t until_ms, std::int64_t now_ms) {
  changed_ = changed;
  std::set<std::string> zones;
  for (const auto& [name, series] : keepers_) zones.insert(series.zone);
  judge_ = std::make_unique<Judge>(plan_.limits,
                                   max_comparisons(plan_, op_type_count(), static_cast<int>(zones.size())));
  const std::int64_t step = plan_.limits.block_seconds * 1000;
  const std::int64_t first = floor_to(from_ms + step - 1, step);
  for (const auto& [name, series] : keepers_) {
    for (auto at = series.seconds.lower_bound(first); at != series.seconds.end() && at->first < until_ms;
         ++at) {
      for (const auto& [op, count] : at->second.window.by_op_type)
        judge_->add_baseline_latencies(op, count.latency);
    }
  }
  for (std::int64_t at = first; at + step <= until_ms; at += step)
    judge_->add_baseline_block(make_block(at, changed_, false));
  judge_->start_comparison();
  next_block_ = floor_to(now_ms + plan_.burn_in / 1ms + step - 1, step);
}

void WindowAggregator::advance(std::int64_t now_ms) {
  if (!judge_) return;
  const std::int64_t step = plan_.limits.block_seconds * 1000;
  for (; next_block_ + step + kLateWindowMs <= now_ms; next_block_ += step)
    judge_->add_comparison_block(make_block(next_block_, changed_, true));
  compare_memory_growth();
}

// Compares the medians of the two sides, since a single process may grow for reasons of its own.
void WindowAggregator::compare_memory_growth() {
  std::vector<double> old_growth, new_growth;
  double minutes = 1e9;
  for (const auto& [name, series] : keepers_) {
    if (series.first_rss_ms == 0 || series.last_rss_ms - series.first_rss_ms < 10'000) {
      if (changed_.contains(name)) return;
      continue;
    }
    const double span = static_cast<double>(series.last_rss_ms - series.first_rss_ms) / 60'000;
    if (changed_.contains(name)) minutes = std::min(minutes, span);
    (changed_.contains(name) ? new_growth : old_growth)
        .push_back((series.last_rss_bytes - series.first_rss_bytes) / span);
  }
  if (new_growth.empty()) return;
  const auto median = [](std::vector<double>& values) {
    if (values.empty()) return 0.0;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2),
                     values.end());
    return values[values.size() / 2];
  };
  judge_->on_memory_growth(median(new_growth), median(old_growth), minutes);
}

}  // namespace marbledyke::rollout
