// The program of a control node, over whichever disk and clock it is given: the lab bends both.
#pragma once

#include "disk/disk.h"
#include "model/clock.h"

namespace marbledyke::distribution {

// Returns the exit status once it was asked to end, or at once where it cannot serve.
int run(int count, char** words, disk::Disk& disk, const TimeSource& clock);

}  // namespace marbledyke::distribution
