// One size of the settings part: a fleet, where its points go, and the account of what it uses between two
// moments.
#pragma once

#include <string>
#include <vector>

#include "lab/scale/run.h"
#include "lab/scale/settings_fleet.h"

namespace marbledyke::lab::scale {

struct SettingsRun {
  const Run& run;
  const SettingsPlan& plan;
  SettingsFleet& fleet;
  int size = 0;  // receivers, real ones among them
  bool largest = false;

  void add(const std::string& what, const std::string& unit, int number, double value) const {
    run.add("settings", size, what, unit, number, value);
  }
  void add(const std::string& prefix, int number, const InForce& seconds) const;
  // A quantity of one control node, by the receivers that a node of region 0 has.
  void add_by_node(const std::string& what, const std::string& unit, int number, double value) const;
  int receivers_by_node() const;
  void say(const std::string& text) const;
};

// What the control nodes of region 0 have used until now.
struct ControlUse {
  std::int64_t us = 0;  // machine_microseconds()
  std::vector<double> cpu;
};
ControlUse control_use(const ControlPlane& plane);
// Shares of a core between two moments; a node that ended meanwhile is left out.
struct ControlShare {
  double mean = 0, most = 0;
};
ControlShare share_between(const ControlUse& from, const ControlUse& until);

// Of all hollow receivers, between two moments.
struct FleetTraffic {
  double bytes_per_second = 0, calls_per_second = 0;  // of one receiver, mean
  double by_node_bytes_per_second = 0;                // of one node of region 0, from and to hollow receivers
  double seconds = 0;                                 // between the samples
};
FleetTraffic traffic_between(SettingsFleet& fleet, std::int64_t from_us, std::int64_t until_us);

void measure_changes(const SettingsRun& one);
void measure_faults(const SettingsRun& one);

}  // namespace marbledyke::lab::scale
