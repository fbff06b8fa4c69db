// The load of each pair of gatherer and server at the size of two years from now, at a tenth of that size: an
// experiment in virtual time.
#pragma once

#include <cstdint>

#include "lab/experiments.h"

namespace marbledyke::lab {

// What 99 in 100 queries of 59 parts take, by the servers' service times. `seed` is the first of three.
void target_load(Experiment& e, std::uint32_t seed);
// The same at servers with ten times the cores, for all service times.
void target_load_idle(Experiment& e, std::uint32_t seed);

}  // namespace marbledyke::lab
