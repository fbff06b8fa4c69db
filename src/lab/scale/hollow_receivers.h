// Hollow receivers of settings: the shipped receiver over real sockets, many in a process, with nothing
// behind it: a revision is in force as soon as it is taken. The process writes what happens to a log that its
// starter reads:
//   A US NUMBER INDEX                          receiver NUMBER runs INDEX since US
//   B US NUMBER NODE CALLS READ WRITTEN        calls made and bytes of HTTP so far in this life
// US is CLOCK_MONOTONIC in microseconds. Revisions are kept beside the log, so that a process that was ended
// goes on with what it had.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/types.h"
#include "net/address.h"

namespace marbledyke::lab::scale {

// What a process is told by a file.
struct ReceiversSpec {
  std::string log, zone;
  std::vector<net::Address> nodes;  // those of the own region first
  std::size_t preferred = 0;        // how many these are
  std::vector<std::string> names;
  std::uint32_t seed = 0;
  Duration sample_every{};   // B lines, at multiples of it
  Duration applies_after{};  // a slow one takes so long to have a revision in force
};
void write_spec(const std::string& path, const ReceiversSpec& spec);
// Throws config::BadInput naming the field at fault, std::runtime_error where the file cannot be read.
ReceiversSpec read_spec(const std::string& path);

// Until it is ended. Gives an exit status.
int run_hollow_receivers(const std::string& spec_path);

}  // namespace marbledyke::lab::scale
