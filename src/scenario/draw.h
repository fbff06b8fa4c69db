// Scenarios drawn from a seed, and cut down to what matters.
#pragma once

#include <cstdint>
#include <functional>

#include "scenario/scenario.h"

namespace marbledyke::scenario {

// A scenario without objections: small enough to play in a moment, with one to four faults that may overlap.
Scenario draw(std::uint32_t seed);

// The same with gatherers under keepers, and faults of gatherers, keepers and paths.
Scenario draw_kept(std::uint32_t seed);

// The smallest scenario found that still fails, by leaving out faults and op types and by halving what there
// is of everything else, until nothing more can go. `fails` is asked most_asked times at most; it must hold
// for the one given.
Scenario shrink(const Scenario& failing, const std::function<bool(const Scenario&)>& fails,
                int most_asked = 400);

}  // namespace marbledyke::scenario
