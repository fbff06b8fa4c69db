// What the judge is given, made from what keepers tell: windows of a second by process, put into blocks of
// seconds that line up over machines whose clocks do not. Without I/O. A window that comes late counts for
// its own seconds as long as their block is open; burn-in after a process's start is left out on both sides.
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
  WindowAggregator(const Plan& plan, const std::vector<Member>& members);

  // A window of that keeper's process. `ahead_ms`: by how much that machine's clock is ahead of the
  // conductor's.
  void on_window(const std::string& keeper, const std::string& version, std::int64_t started_ms,
                 std::int64_t clock_ahead_ms, const totals::Window& window);
  // What its process has used by now, by this machine's clock.
  void on_resource_usage(const std::string& keeper, std::int64_t started_ms, std::int64_t now_ms,
                         double cpu_s, double rss);

  // A stage begins to show itself: those are the new ones, the others the old. What all did in [from, until)
  // is held as it was before the change.
  void start_comparison(const std::set<std::string>& changed, std::int64_t from_ms, std::int64_t until_ms,
                        std::int64_t now_ms);
  // Blocks that ended long enough ago are given to the judge.
  void advance(std::int64_t now_ms);
  Judge* judge() { return judge_.get(); }
  const Judge* judge() const { return judge_.get(); }
  int op_type_count() const { return static_cast<int>(op_types_.size()); }
  // Of a keeper's process, its newest window by this machine's clock; 0: none.
  std::int64_t newest_window_ms(const std::string& keeper) const;

 private:
  struct SecondWindow {
    std::string version;
    std::int64_t started_ms = 0;
    totals::Window window;
  };
  struct KeeperSeries {
    std::string zone;
    std::map<std::int64_t, SecondWindow> seconds;  // by start, this machine's clock; at most kKept
    std::map<std::int64_t, double> cpu;            // by time, of the present process
    std::int64_t process_started_ms = 0;
    double first_rss_bytes = 0, last_rss_bytes = 0;
    std::int64_t first_rss_ms = 0, last_rss_ms = 0;
  };
  Block make_block(std::int64_t from_ms, const std::set<std::string>& changed, bool match_version) const;
  double cpu_seconds_between(const KeeperSeries& of, std::int64_t from_ms, std::int64_t until_ms) const;
  void compare_memory_growth();

  const Plan& plan_;
  std::map<std::string, KeeperSeries> keepers_;
  std::set<std::string> op_types_;
  std::set<std::string> changed_;
  std::unique_ptr<Judge> judge_;
  std::int64_t next_block_ = 0;
};

}  // namespace marbledyke::rollout
