#include "lab/scale/settings_run.h"

#include <algorithm>

#include "lab/scale/process_use.h"

namespace marbledyke::lab::scale {

void SettingsRun::add(const std::string& prefix, int number, const InForce& seconds) const {
  add(prefix + "_p50", "s", number, seconds.p50);
  add(prefix + "_p99", "s", number, seconds.p99);
  add(prefix + "_last", "s", number, seconds.last);
}

// Three of the five zones are in region 0.
int SettingsRun::receivers_by_node() const {
  return size * static_cast<int>(kZonesInFirstRegion) / static_cast<int>(kZones * kNodesPerRegion);
}

void SettingsRun::add_by_node(const std::string& what, const std::string& unit, int number,
                              double value) const {
  run.add("settings", receivers_by_node(), what + "_by_node", unit, number, value);
}

void SettingsRun::say(const std::string& text) const {
  progress("settings: " + std::to_string(size) + " receivers: " + text);
}

ControlUse control_use(const ControlPlane& plane) {
  ControlUse out;
  out.us = machine_microseconds();
  for (std::size_t node = 0; node < kNodesPerRegion; ++node) out.cpu.push_back(cpu_seconds(plane.pid(node)));
  return out;
}

ControlShare share_between(const ControlUse& from, const ControlUse& until) {
  const double seconds = static_cast<double>(until.us - from.us) / 1e6;
  ControlShare out;
  int counted = 0;
  for (std::size_t node = 0; node < from.cpu.size(); ++node) {
    if (until.cpu[node] < from.cpu[node]) continue;
    const double share = (until.cpu[node] - from.cpu[node]) / seconds;
    out.mean += (share - out.mean) / ++counted;
    out.most = std::max(out.most, share);
  }
  return out;
}

FleetTraffic traffic_between(SettingsFleet& fleet, std::int64_t from_us, std::int64_t until_us) {
  fleet.racks().read_logs();
  FleetTraffic out;
  int counted = 0;
  double in_first_region = 0;
  for (std::size_t rack = 0; rack < fleet.racks().racks(); ++rack) {
    const Racks::Rack& one = fleet.racks().rack(rack);
    for (const ReceiverRecord& record : one.log.records()) {
      const auto traffic = traffic_of(record, from_us, until_us);
      if (!traffic) continue;
      ++counted;
      out.bytes_per_second += (traffic->bytes_per_second - out.bytes_per_second) / counted;
      out.calls_per_second += (traffic->calls_per_second - out.calls_per_second) / counted;
      out.seconds += (traffic->seconds - out.seconds) / counted;
      if (region_of_zone(one.zone) == 0) in_first_region += traffic->bytes_per_second;
    }
  }
  out.by_node_bytes_per_second = in_first_region / static_cast<double>(kNodesPerRegion);
  return out;
}

}  // namespace marbledyke::lab::scale
