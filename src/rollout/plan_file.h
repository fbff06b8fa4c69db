// A plan as operators write it, in XML by deploy/rollout.xsd. Every fault is named with its line.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/fault.h"
#include "rollout/plan.h"

namespace marbledyke::rollout {

struct PlanResult {
  std::optional<Plan> plan;  // none where there is a fault
  std::vector<config::Fault> faults;
};
PlanResult read_plan(const std::string& text);
PlanResult read_plan_file(const std::string& path);

}  // namespace marbledyke::rollout
