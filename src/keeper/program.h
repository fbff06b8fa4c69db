// The keeper's program, over a disk and a clock: the shipped one has the machine's, the lab's has bent ones.
#pragma once

#include "disk/disk.h"
#include "model/clock.h"

namespace marbledyke::keeper {

// Until SIGTERM or SIGINT and the gatherer's end in order; gives the exit status.
int run(int count, char** words, disk::Disk& disk, const TimeSource& clock);

}  // namespace marbledyke::keeper
