// Collects the one-second windows of totals that keepers report, and merges them into the blocks that the
// judge compares. Blocks begin at the same time on all machines: windows are shifted by the difference
// between the keeper's clock and this machine's. A late window is counted in its own second as long as its
// block is open. The burn-in time after a process's start is left out on both sides. Without I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "rollout/plan.h"

namespace marbledyke::rollout {

class WindowAggregator {
 public:
  // `plan` has to outlive the aggregator.
  WindowAggregator(const Plan& plan, const std::vector<Member>& members);

  // A window of a process of the keeper that runs `version` since `started_ms`, both by the keeper's clock,
  // which is `clock_ahead_ms` ahead of this machine's.
  void on_window(const std::string& keeper, const std::string& version, std::int64_t started_ms,
                 std::int64_t clock_ahead_ms, const totals::Window& window);
  // CPU time (seconds) and memory (bytes) of the keeper's process; `now_ms` is by this machine's clock.
  void on_resource_usage(const std::string& keeper, std::int64_t started_ms, std::int64_t now_ms,
                         double cpu_s, double rss);

  // Starts the comparison for a stage, with a new judge: the keepers in `changed` have the new version, all
  // others the old one. Windows in [from_ms, until_ms) form the baseline.
  void start_comparison(const std::set<std::string>& changed, std::int64_t from_ms, std::int64_t until_ms,
                        std::int64_t now_ms);
  // Passes blocks to the judge for which no more windows are expected.
  void advance(std::int64_t now_ms);
  // None before the first comparison.
  Judge* judge() { return judge_.get(); }
  const Judge* judge() const { return judge_.get(); }
  int op_type_count() const { return static_cast<int>(op_types_.size()); }
  // Start of the keeper's newest window, by this machine's clock; 0: none.
  std::int64_t newest_window_ms(const std::string& keeper) const;

 private:
  struct SecondWindow {
    std::string version;
    std::int64_t started_ms = 0;
    totals::Window window;
  };
  // Times are by this machine's clock, in milliseconds.
  struct KeeperSeries {
    std::string zone;
    std::map<std::int64_t, SecondWindow> seconds;  // by start, at most kMaxWindows
    std::map<std::int64_t, double> cpu;            // CPU seconds used by the present process, by time
    std::int64_t process_started_ms = 0;
    double first_rss_bytes = 0, last_rss_bytes = 0;
    std::int64_t first_rss_ms = 0, last_rss_ms = 0;
  };
  // `match_version`: leaves out windows whose version is not the one of the keeper's side.
  Block make_block(std::int64_t from_ms, const std::set<std::string>& changed, bool match_version) const;
  double cpu_seconds_between(const KeeperSeries& series, std::int64_t from_ms, std::int64_t until_ms) const;
  void compare_memory_growth();

  const Plan& plan_;
  std::map<std::string, KeeperSeries> keepers_;
  std::set<std::string> op_types_;
  std::set<std::string> changed_;
  std::unique_ptr<Judge> judge_;
  std::int64_t next_block_ = 0;
};

}  // namespace marbledyke::rollout
