// A fleet as operators list it, in XML by deploy/fleet.xsd: its zones, groups and keepers. Every fault is
// named with its line.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/fault.h"
#include "net/address.h"

namespace marbledyke::fleet {

struct KeeperAt {
  std::string name, zone;
  net::Address control;
  std::vector<std::string> groups;
};

struct ControlNodeAt {
  std::string name, region;
  net::Address address;
  bool voter = true;  // else it only follows, and gives what it has
};

struct Fleet {
  std::string name;
  std::vector<std::string> zones, groups;
  std::vector<ControlNodeAt> control_nodes;
  std::vector<KeeperAt> keepers;  // both in the file's order
  const KeeperAt* find(const std::string& keeper) const;
};

struct Read {
  std::optional<Fleet> fleet;  // none where there is a fault
  std::vector<config::Fault> faults;
};
Read read_fleet(const std::string& text);
Read read_fleet_file(const std::string& path);

}  // namespace marbledyke::fleet
