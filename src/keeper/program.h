// The keeper's program. The shipped executable passes the local disk and clock; the lab's executable passes
// ones that faults can be injected into.
#pragma once

#include "disk/disk.h"
#include "model/clock.h"

namespace marbledyke::keeper {

// Runs until SIGTERM or SIGINT and the orderly stop of the gatherer that follows. Returns the exit status.
int run(int argc, char** argv, disk::Disk& disk, const TimeSource& clock);

}  // namespace marbledyke::keeper
