#include "rollout/plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace marbledyke::rollout {

using namespace std::chrono_literals;

std::vector<std::vector<std::string>> stages_of(const Plan& plan, const std::vector<Member>& members) {
  // One member of each zone in turn, in the order of the fleet's file within a zone.
  std::map<std::string, std::vector<const Member*>> by_zone;
  for (const Member& member : members) by_zone[member.zone].push_back(&member);
  std::vector<const Member*> order;
  for (std::size_t i = 0; order.size() < members.size(); ++i) {
    for (const auto& [zone, zone_members] : by_zone) {
      if (i < zone_members.size()) order.push_back(zone_members[i]);
    }
  }
  std::set<std::string> changed;
  std::vector<std::vector<std::string>> out;
  for (const StagePlan& stage : plan.stages) {
    std::size_t wanted = members.size();
    if (stage.count > 0) {
      wanted = static_cast<std::size_t>(stage.count);
    } else if (stage.share > 0) {
      const auto cumulative =
          static_cast<std::size_t>(std::ceil(stage.share * static_cast<double>(members.size()) - 1e-9));
      wanted = cumulative > changed.size() ? cumulative - changed.size() : 0;
    }
    std::vector<std::string> chosen;
    for (const Member* member : order) {
      if (chosen.size() >= wanted) break;
      if (changed.contains(member->name) || (!stage.zone.empty() && member->zone != stage.zone)) continue;
      if (!stage.group.empty() &&
          std::find(member->groups.begin(), member->groups.end(), stage.group) == member->groups.end())
        continue;
      chosen.push_back(member->name);
    }
    changed.insert(chosen.begin(), chosen.end());
    out.push_back(std::move(chosen));
  }
  return out;
}

std::vector<std::string> plan_errors(const Plan& plan, const std::vector<Member>& members) {
  std::vector<std::string> out;
  if (plan.stages.empty()) out.push_back("the plan has no stage");
  if (plan.max_concurrent < 1) out.push_back("at-a-time is less than 1");
  if (members.size() < 2) out.push_back("a fleet of one keeper has nothing to compare with");
  const auto stages = stages_of(plan, members);
  std::size_t changed = 0;
  for (std::size_t i = 0; i < stages.size(); ++i) {
    if (stages[i].empty()) out.push_back("stage " + plan.stages[i].name + " changes no keeper");
    changed += stages[i].size();
    if (plan.stages[i].soak < 5s) out.push_back("stage " + plan.stages[i].name + " soaks for less than 5 s");
    if (changed == members.size() && i + 1 < stages.size() && !stages[i + 1].empty())
      out.push_back("stage " + plan.stages[i].name + " leaves no keeper for the stages after it");
  }
  if (!stages.empty() && stages[0].size() * 2 > members.size())
    out.push_back("the first stage changes more than half of the fleet");
  return out;
}

int max_comparisons(const Plan& plan, int op_types, int zones) {
  return std::max(1, static_cast<int>(plan.stages.size()) * kMeasureCount *
                         (std::max(op_types, 1) * (std::max(zones, 1) + 1) + 1));
}

}  // namespace marbledyke::rollout
