#include "capacity/events.h"

#include "capacity/target.h"

namespace marbledyke::capacity {
namespace {

constexpr Size kAll = kTarget;
constexpr double kZoneServers = kAll.servers / kAll.zones;
constexpr double kZoneGatherers = kAll.gatherers / kAll.zones;
constexpr double kRegionServers = kAll.servers * kRegionShare;
constexpr double kRegionGatherers = kAll.gatherers * kRegionShare;
constexpr double kRegionNodes = kAll.control_nodes * kRegionShare;

}  // namespace

const std::vector<Event>& events() {
  constexpr double kAllGatherers = kAll.gatherers;
  static const std::vector<Event> kEvents{
      {"ordinary day, one restart", "570 a day", 1, 0, 0, kAllGatherers, kRegionGatherers, kRegionNodes},
      {"a control node lost", "among 11 machines a day", 0, 0, kRegionGatherers / kRegionNodes, kAllGatherers,
       kRegionGatherers, kRegionNodes - 1},
      {"rack lost, all servers", "weekly", kRack, 0, 0, kAllGatherers, kRegionGatherers, kRegionNodes},
      {"rack lost, all gatherers", "weekly", 0, 0, 0, kAllGatherers - kRack, kRegionGatherers, kRegionNodes},
      {"rack back, all servers", "weekly", kRack, 0, 0, kAllGatherers, kRegionGatherers, kRegionNodes},
      {"rack back, all gatherers", "weekly", 0, kRack, kRack, kAllGatherers, kRegionGatherers, kRegionNodes},
      {"zone lost, with a control node", "every other month", kZoneServers, 0, 0,
       kAllGatherers - kZoneGatherers, kRegionGatherers - kZoneGatherers, kRegionNodes - 1},
      {"zone back", "every other month", kZoneServers, kZoneGatherers, kZoneGatherers, kAllGatherers,
       kRegionGatherers, kRegionNodes},
      {"regions apart, one side", "several times a year", kRegionServers, 0, 0, kRegionGatherers,
       kRegionGatherers, kRegionNodes},
      {"region back", "several times a year", kRegionServers, kRegionGatherers, kRegionGatherers,
       kAllGatherers, kRegionGatherers, kRegionNodes},
      {"all restarted", "not stated", 0, kAllGatherers, kAllGatherers, kAllGatherers, kRegionGatherers,
       kRegionNodes},
      {"all restarted, one control node a region", "not stated", 0, kAllGatherers, kAllGatherers,
       kAllGatherers, kRegionGatherers, 1},
  };
  return kEvents;
}

Load load_of(const Event& event) {
  Load out{};
  const double whole = kAll.servers * kListEntryBytes;
  out.change_body = event.entries * kListEntryBytes;
  out.gatherer_minute = event.whole_lists > 0 ? whole : out.change_body;
  out.gatherer_changed = out.gatherer_minute + kSettingsBytes;
  const double told = event.receivers_left - event.whole_lists;
  out.discovery_bytes = told * out.change_body + event.whole_lists * whole;
  out.node_receivers = event.region_receivers / event.region_nodes;
  out.node_change_bytes = out.node_receivers * kSettingsBytes;
  return out;
}

}  // namespace marbledyke::capacity
