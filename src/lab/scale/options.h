// What a scale run measures, and at which sizes. `quick` is the small version that tests and trials run.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "model/types.h"

namespace marbledyke::lab::scale {

inline constexpr int kPartsPerMultiget = 59;  // of the target; also the number of shards and of cells
inline constexpr int kTargetServers = 3900;
inline constexpr double kListChangesPerDay = 1750;
inline constexpr double kSettingsChangesPerDay = 2300;
inline constexpr double kSecondsPerDay = 86'400;

struct Options {
  std::string out = "experiments/scale";
  std::string part = "all";  // lists, load, settings, all, or report: written anew from what is kept
  bool quick = false;
  std::uint32_t seed = 1;
};

struct ListsPlan {
  std::vector<int> servers;
  int runs = 1;     // each with a gatherer of its own
  int changes = 0;  // of a run
  int wholes = 0;   // whole lists of a run
  Duration idle{};  // window without any change
};

struct LoadPlan {
  std::vector<int> servers, rates;  // rates in multigets a second
  int runs = 1;
  int seconds = 1;  // of a run
  int warm_up_seconds = 1;
};

struct SettingsPlan {
  std::vector<int> receivers;  // real ones among them
  int keepers = 1;             // real keepers with gatherers
  int listed = 1;              // servers that these gatherers list
  Duration sample_every{};     // of the receivers' traffic
  Duration quiet{};            // window without changes
  int ordinary_changes = 0;    // one each ordinary_gap; one more at the largest number of receivers
  Duration ordinary_gap{};
  int spaced_changes = 0;  // one each spaced_gap, so that each is in force before the next
  Duration spaced_gap{};
  int hundredfold_changes = 0;  // one each hundredfold_gap
  Duration hundredfold_gap{};
  std::vector<int> document_bytes;  // sizes of settings, at the largest number of receivers
  int fault_changes = 0;            // one each fault_gap while something is broken
  Duration fault_gap{};
  Duration cut{}, longest_cut{};  // between regions; the longest at the largest number of receivers
};

ListsPlan lists_plan(const Options& options);
LoadPlan load_plan(const Options& options);
SettingsPlan settings_plan(const Options& options);

}  // namespace marbledyke::lab::scale
