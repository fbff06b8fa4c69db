// What a scale run measures, and at which sizes. `quick` is the small version that tests and trials run.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "model/plain.h"

namespace marbledyke::lab::scale {

inline constexpr int kPartsPerMultiget = 59;  // of the target; also the number of shards and of cells
inline constexpr double kListChangesPerDay = 1750;
inline constexpr double kSettingsChangesPerDay = 2300;
inline constexpr double kSecondsPerDay = 86'400;

struct Options {
  std::string out = "experiments/scale";
  std::string part = "all";  // lists, load, settings or all
  bool quick = false;
  std::uint32_t seed = 1;
};

struct ListsPlan {
  std::vector<int> servers;
  int runs = 1;     // each with a gatherer of its own
  int changes = 0;  // of a run
  int wholes = 0;   // whole lists of a run
};

struct LoadPlan {
  std::vector<int> servers, rates;  // rates in multigets a second
  int runs = 1;
  int seconds = 1;  // of a run
  int warm_up_seconds = 1;
};

ListsPlan lists_plan(const Options& options);
LoadPlan load_plan(const Options& options);

}  // namespace marbledyke::lab::scale
