// `marbledyke-lab capacity`: the tables of docs/CAPACITY.md from kept slopes; prints them, writes them into
// the page or checks the page against them.
#pragma once

#include <string>

namespace marbledyke::lab {

struct CapacityOptions {
  std::string slopes;  // a slopes file; empty: kKeptSlopes where it is there, else nothing counts as measured
  std::string check;   // a page to check; empty: none
  std::string write;   // a page to write the tables into; empty: none
};
inline constexpr const char* kKeptSlopes = "experiments/scale/slopes.csv";

// 0; 1 where the page and the tables differ, with the first such line on standard error; 2 where a file
// cannot be read or written or makes no sense, with line and reason.
int run_capacity(const CapacityOptions& options);

}  // namespace marbledyke::lab
