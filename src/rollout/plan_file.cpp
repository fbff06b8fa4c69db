#include "rollout/plan_file.h"

#include <set>

#include "xml/document.h"

namespace marbledyke::rollout {

using namespace std::chrono_literals;

extern const char* const kSchema;

PlanResult read_plan(const std::string& text) {
  PlanResult out;
  const auto document = xml::Document::read(text, kSchema, "urn:marbledyke:rollout:1", out.faults);
  if (!document) return out;
  xml::Reader reader(out.faults);
  Plan plan;
  const xml::Element root = document->root();
  plan.name = root.attribute("name").value_or("");
  plan.version = root.attribute("version").value_or("");
  plan.source_folder = root.attribute("from").value_or("");
  if (!plan.source_folder.empty() && plan.source_folder.front() != '/')
    reader.fault(root, "from: not an absolute path: " + plan.source_folder);
  plan.verify_first = root.attribute("try").value_or("yes") == "yes";
  reader.whole(root, "at-a-time", 1, 4096, plan.max_concurrent);
  reader.span(root, "before", 5s, 24h, plan.baseline_time);
  reader.span(root, "burn-in", 0s, 1h, plan.burn_in);
  reader.span(root, "longest-wait", 1s, 48h, plan.max_wait);
  reader.span(root, "swap-limit", 1s, 1h, plan.swap_timeout);
  reader.number(root, "false-stops", 0.0001, 0.5, plan.limits.false_stop_probability);
  reader.whole(root, "block", 1, 600, plan.limits.block_seconds);
  reader.whole(root, "least-asked", 1, 100'000, plan.limits.min_multigets);
  std::set<std::string> names;
  for (const xml::Element& element : root.children()) {
    if (element.name() == "stage") {
      StagePlan stage;
      stage.name = element.attribute("name").value_or("");
      if (!names.insert(stage.name).second) reader.fault(element, "name: " + stage.name + " is used twice");
      reader.whole(element, "count", 1, 4096, stage.count);
      reader.number(element, "share", 0, 1, stage.share);
      if (element.attribute("count") && element.attribute("share"))
        reader.fault(element, "count and share exclude each other");
      stage.zone = element.attribute("zone").value_or("");
      stage.group = element.attribute("group").value_or("");
      reader.span(element, "soak", 5s, 48h, stage.soak);
      plan.stages.push_back(std::move(stage));
    } else if (element.name() == "limit") {
      static constexpr const char* kNames[] = {"good", "failed", "pushed-back", "slow", "further", "cpu"};
      const std::string measure = element.attribute("measure").value_or("");
      for (int i = 0; i < kMeasureCount; ++i) {
        if (measure == kNames[i])
          reader.number(element, "too-much", 0.0001, 1, plan.limits.max_degradation[i]);
      }
    }
  }
  reader.sort();
  if (out.faults.empty()) out.plan = std::move(plan);
  return out;
}

PlanResult read_plan_file(const std::string& path) {
  PlanResult out;
  const auto text = xml::read_file(path, out.faults);
  return text ? read_plan(*text) : out;
}

}  // namespace marbledyke::rollout
