#include "fleet/fleet_file.h"

#include <algorithm>
#include <set>
#include <sstream>

#include "keeper/control_address.h"
#include "xml/document.h"

namespace marbledyke::fleet {

extern const char* const kSchema;

const KeeperAt* Fleet::find(const std::string& keeper) const {
  const auto at =
      std::find_if(keepers.begin(), keepers.end(), [&](const KeeperAt& k) { return k.name == keeper; });
  return at == keepers.end() ? nullptr : &*at;
}

Read read_fleet(const std::string& text) {
  Read out;
  const auto document = xml::Document::read(text, kSchema, "urn:marbledyke:fleet:1", out.faults);
  if (!document) return out;
  xml::Reader reader(out.faults);
  Fleet fleet;
  const xml::Element root = document->root();
  fleet.name = root.attribute("name").value_or("");
  std::set<std::string> names, node_names, addresses;
  const auto private_address = [&](const xml::Element& at, const std::string& attribute) {
    const std::string stated = at.attribute(attribute.c_str()).value_or("");
    const auto address = net::parse_address(stated);
    if (!address) {
      reader.fault(at, attribute + ": not an address with a port, nor a Unix socket: " + stated);
      return net::Address{};
    }
    if (const std::string why = keeper::control_address_error(*address); !why.empty())
      reader.fault(at, attribute + ": " + stated + " is " + why);
    if (!addresses.insert(address->text()).second)
      reader.fault(at, attribute + ": " + stated + " is there twice");
    return *address;
  };
  const auto listed = [&](const xml::Element& at, std::vector<std::string>& into) {
    const std::string name = at.attribute("name").value_or("");
    if (std::find(into.begin(), into.end(), name) != into.end())
      reader.fault(at, "name: " + name + " is there twice");
    into.push_back(name);
  };
  for (const xml::Element& at : root.children()) {
    if (at.name() == "zone") listed(at, fleet.zones);
    if (at.name() == "group") listed(at, fleet.groups);
    if (at.name() == "control-node") {
      ControlNodeAt node;
      node.name = at.attribute("name").value_or("");
      node.region = at.attribute("region").value_or("");
      node.voter = at.attribute("voter").value_or("yes") == "yes";
      if (!node_names.insert(node.name).second) reader.fault(at, "name: " + node.name + " is there twice");
      node.address = private_address(at, "address");
      fleet.control_nodes.push_back(std::move(node));
    }
    if (at.name() != "keeper") continue;
    KeeperAt keeper;
    keeper.name = at.attribute("name").value_or("");
    if (!names.insert(keeper.name).second) reader.fault(at, "name: " + keeper.name + " is there twice");
    keeper.control = private_address(at, "control");
    keeper.zone = at.attribute("zone").value_or("");
    if (std::find(fleet.zones.begin(), fleet.zones.end(), keeper.zone) == fleet.zones.end())
      reader.fault(at, "zone: there is no " + keeper.zone);
    std::istringstream groups(at.attribute("groups").value_or(""));
    for (std::string group; groups >> group;) {
      if (std::find(fleet.groups.begin(), fleet.groups.end(), group) == fleet.groups.end())
        reader.fault(at, "groups: there is no " + group);
      keeper.groups.push_back(group);
    }
    fleet.keepers.push_back(std::move(keeper));
  }
  reader.sort();
  if (out.faults.empty()) out.fleet = std::move(fleet);
  return out;
}

Read read_fleet_file(const std::string& path) {
  Read out;
  const auto text = xml::read_file(path, out.faults);
  if (!text) return out;
  return read_fleet(*text);
}

}  // namespace marbledyke::fleet
