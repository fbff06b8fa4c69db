// Reads a rollout plan from XML (deploy/rollout.xsd).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/file_error.h"
#include "rollout/plan.h"

namespace marbledyke::rollout {

// Either a plan, or all faults of the document with their lines.
struct PlanResult {
  std::optional<Plan> plan;
  std::vector<config::FileError> faults;
};
PlanResult read_plan(const std::string& text);
PlanResult read_plan_file(const std::string& path);

}  // namespace marbledyke::rollout
