// What each role has to bear at a size: one row a quantity, without I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "capacity/estimate.h"
#include "capacity/target.h"

namespace marbledyke::capacity {

// What would have to be built, where several rows need the same.
inline constexpr const char* kBuildPages =
    "lists and changes of them in pages under the body's limit (discovery's side too)";
inline constexpr const char* kBuildResume =
    "resumption by index after restarts and losses, so that no whole list is drawn";

struct Limit {
  double value;
  const char* source;
};

struct Row {
  const char* role;
  const char* quantity;
  const char* unit;
  Estimate today, target;
  std::optional<Limit> limit;
  const char* mechanism;  // that carries it
  const char* to_build;   // where it is over its limit; empty: nothing named yet
};

// Target over limit; none where either is not there, or the target's figure says nothing.
std::optional<double> ratio(const Row& row);

// Throws config::BadInput where a slope has another unit or size than it is used with.
std::vector<Row> roles(const Slopes& slopes);

}  // namespace marbledyke::capacity
