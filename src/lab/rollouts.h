// How often a sound rolling change is stopped, and how soon a bad one is found: experiments/rollouts,
// emulated.
#pragma once

#include <string>

namespace marbledyke::lab {

// Writes results.csv and report.md to `directory`, which must not be there. `large_runs` are at 1,000
// gatherers.
int measure_rollouts(int runs, int large_runs, int jobs, const std::string& directory);

}  // namespace marbledyke::lab
