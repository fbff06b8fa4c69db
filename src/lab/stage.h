// A scenario in real time on loopback sockets: the stand-ins of this lab, gatherers as processes of their
// own, open-loop clients, the scenario's faults, and the checker of the rules, which sees what passes between
// them. The counterpart of emulator::play() for small fleets.
#pragma once

#include <atomic>
#include <functional>
#include <iosfwd>
#include <string>

#include "emulator/world.h"
#include "scenario/scenario.h"

namespace marbledyke::lab {

inline constexpr int kMostStageServers = 64, kMostStageGatherers = 48;

struct Staged {
  emulator::Result result;
  double cpu = 0, kernel = 0;    // seconds that the gatherers used, and of these in the kernel
  double keeper_cpu = 0;         // of that, by keepers
  std::uint64_t keeper_rss = 0;  // the largest
  double late = 0;               // the longest that this process itself was late for a turn, in seconds
  std::string first_trouble;     // of a gatherer that ended by itself; empty: none
};

// Why a scenario cannot be staged; empty: it can.
std::string not_stageable(const scenario::Scenario& scenario);

struct StageOptions {
  std::uint32_t seed = 1;
  std::ostream* log = nullptr;  // every event that the checker sees, a line each
  // Breaks a rule on purpose, to show that what is seen on sockets reaches the checker.
  std::function<void(checker::Event&)> tamper;
};

// Takes as long as the scenario is long and a little more. Throws std::runtime_error where it cannot begin;
// ends early, with what there is, once `stop` is set.
Staged stage(const scenario::Scenario& scenario, const StageOptions& options, const std::atomic<bool>& stop);

}  // namespace marbledyke::lab
