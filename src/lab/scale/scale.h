// A scale run: real gatherers, keepers and control nodes beside hollow processes, measured part by part.
#pragma once

#include <atomic>

#include "lab/scale/options.h"

namespace marbledyke::lab::scale {

// Measures the parts that are asked for and writes the results after each; the kept points of other parts
// stay. Gives an exit status: 1 where a part could not be measured or was cut short by `stop`.
int measure(const Options& options, const std::atomic<bool>& stop);

}  // namespace marbledyke::lab::scale
