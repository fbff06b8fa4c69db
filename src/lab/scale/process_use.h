// What a process uses, by the system's own accounts, and what this one may use.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>

namespace marbledyke::lab::scale {

// CPU time of all its threads since its start, in seconds, to the nanosecond; 0 where it is gone.
double cpu_seconds(pid_t pid);
// Resident memory in MB (10^6 bytes), by /proc; 0 where it is gone.
double resident_megabytes(pid_t pid);
// Descriptors that it has open, by /proc.
std::size_t open_descriptors(pid_t pid);

// Raises the soft limit of descriptors to the hard one, for this process and what it starts. Gives the limit.
std::size_t raise_descriptor_limit();

// CLOCK_MONOTONIC in microseconds: the same clock in every process of the machine.
std::int64_t machine_microseconds();

}  // namespace marbledyke::lab::scale
