// Reads the list of a fleet's zones, groups, control nodes and keepers from XML (deploy/fleet.xsd).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/file_error.h"
#include "net/address.h"

namespace marbledyke::fleet {

// A keeper; `control` is the address at which it takes orders.
struct KeeperEntry {
  std::string name, zone;
  net::Address control;
  std::vector<std::string> groups;
};

struct ControlNodeEntry {
  std::string name, region;
  net::Address address;
  bool voter = true;  // otherwise it only learns what is agreed, and passes it on
};

// All lists are in the order of the file.
struct Fleet {
  std::string name;
  std::vector<std::string> zones, groups;
  std::vector<ControlNodeEntry> control_nodes;
  std::vector<KeeperEntry> keepers;
  // The keeper of that name, or nullptr.
  const KeeperEntry* find(const std::string& keeper) const;
};

// Either a fleet, or all faults of the document with their lines.
struct FleetResult {
  std::optional<Fleet> fleet;
  std::vector<config::FileError> faults;
};
FleetResult read_fleet(const std::string& text);
FleetResult read_fleet_file(const std::string& path);

}  // namespace marbledyke::fleet
