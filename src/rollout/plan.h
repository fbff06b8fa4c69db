// The plan of a rollout: which version, in which stages, how many keepers at a time, how long each stage
// soaks, and how much worse the new version may be. Plain data, read from XML by rollout/plan_file.h.
#pragma once

#include <string>
#include <vector>

#include "rollout/judge.h"

namespace marbledyke::rollout {

// Which keepers a stage adds, out of those that no earlier stage has changed: `count`, or a share, or all.
struct StagePlan {
  std::string name;
  int count = 0;      // number of keepers
  double share = 0;   // share of all keepers that have the new version after this stage
  std::string zone;   // only keepers of this zone, unless empty
  std::string group;  // only keepers of this group, unless empty
  Duration soak = std::chrono::seconds(60);
};

struct Plan {
  std::string name, version;
  // Directory on each machine that the version is copied from; empty: the keepers have the version already.
  std::string source_folder;
  // Before the first stage each keeper starts the new version beside the serving one, and checks the
  // rollback.
  bool verify_first = false;
  int max_concurrent = 1;  // keepers that are changed at a time
  Duration baseline_time =
      std::chrono::seconds(30);  // both sides are recorded for this long before the first change
  Duration burn_in = std::chrono::seconds(5);  // after a process's start, left out on both sides
  Duration max_wait =
      std::chrono::seconds(600);  // for more multigets, or for the end of a degradation; then rolled back
  Duration swap_timeout = std::chrono::seconds(60);  // for a keeper to carry out an order
  Limits limits;
  std::vector<StagePlan> stages;
};

// A keeper of the fleet.
struct Member {
  std::string name, zone;
  std::vector<std::string> groups;
};

// The names of the members that each stage changes, in order. Members are taken from the zones in turn, so
// that a share is spread over them. Members that no stage reaches keep their version.
std::vector<std::vector<std::string>> stages_of(const Plan& plan, const std::vector<Member>& members);

// What is wrong with the plan for these members; empty if it can be carried out.
std::vector<std::string> plan_errors(const Plan& plan, const std::vector<Member>& members);

// The most comparisons that all stages may make, among which the probability of a false stop is divided.
int max_comparisons(const Plan& plan, int op_types, int zones);

}  // namespace marbledyke::rollout
