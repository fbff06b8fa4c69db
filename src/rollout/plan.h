// A plan of a rolling change: which version, in which stages, how many at a time, how long each has to show
// itself, and how much worse is too much. Plain data; read from XML by src/rollout/file.
#pragma once

#include <string>
#include <vector>

#include "rollout/judge.h"

namespace marbledyke::rollout {

// Whom a stage adds; who has had the version already is not counted again.
struct StagePlan {
  std::string name;
  int count = 0;      // so many keepers; or
  double share = 0;   // so many of all, in sum with the stages before
  std::string zone;   // only of this zone, where it is not empty
  std::string group;  // only of this group
  Duration soak{60'000'000};
};

struct Plan {
  std::string name, version;
  std::string
      source_folder;  // the folder on each machine that the version is taken from; empty: it is there already
  bool verify_first = false;  // each keeper tries it, and the way back, before the first stage
  int max_concurrent = 1;
  Duration baseline_time{30'000'000};  // what both sides do is looked at for so long before the first change
  Duration burn_in{5'000'000};         // after a start, left out on both sides
  Duration max_wait{600'000'000};      // for more traffic, or for the end of a trouble; then back
  Duration swap_timeout{60'000'000};   // a keeper has carried its order out within this
  Limits limits;
  std::vector<StagePlan> stages;
};

// Who takes part, as the fleet's file lists them.
struct Member {
  std::string name, zone;
  std::vector<std::string> groups;
};

// The members that each stage changes, in order. Zones take turns, so that a share is not one zone's. Members
// that no stage reaches stay as they are.
std::vector<std::vector<std::string>> stages_of(const Plan& plan, const std::vector<Member>& members);

// What makes no sense in it for these members; empty: all is well.
std::vector<std::string> plan_errors(const Plan& plan, const std::vector<Member>& members);

// How many comparisons all stages may make, by which the chance of a false stop is shared.
int max_comparisons(const Plan& plan, int op_types, int zones);

}  // namespace marbledyke::rollout
