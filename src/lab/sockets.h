// A small installation on loopback sockets, and load upon it.
#pragma once

#include <cstdint>
#include <string>

#include "standins/load.h"

namespace marbledyke::lab {

struct UpOptions {
  int servers = 4;
  int service_ms = 5;  // mean work of a part; exponential
};

using standins::LoadOptions;

// A database of that catalogue: what an operator's file says of it, with listeners at these addresses.
std::string search_file(const std::string& sru, const std::string& z3950, const std::string& more = {});

// Until SIGTERM or SIGINT. Prints one JSON line when all is ready. Gives an exit status.
int up(const UpOptions& options);
// Open loop: requests leave when they are due, whatever came back; latencies count from then. Progress on
// standard error, the result as JSON on standard output.
int load(const LoadOptions& options);
// up() under load(), with one server killed a third of the way and back, cold, at two thirds.
int demo(const UpOptions& up, const LoadOptions& load);

}  // namespace marbledyke::lab
