#include "fleet/fleet_file.h"

#include <algorithm>
#include <set>
#include <sstream>

#include "keeper/control_address.h"
#include "xml/document.h"

namespace marbledyke::fleet {

extern const char* const kSchema;

const KeeperEntry* Fleet::find(const std::string& keeper) const {
  const auto found =
      std::find_if(keepers.begin(), keepers.end(), [&](const KeeperEntry& k) { return k.name == keeper; });
  return found == keepers.end() ? nullptr : &*found;
}

FleetResult read_fleet(const std::string& document_text) {
  FleetResult out;
  const auto document = xml::Document::read(document_text, kSchema, "urn:marbledyke:fleet:1", out.faults);
  if (!document) return out;
  xml::Reader reader(out.faults);
  Fleet fleet;
  const xml::Element root = document->root();
  fleet.name = root.attribute("name").value_or("");
  std::set<std::string> names, node_names, addresses;
  const auto private_address = [&](const xml::Element& element, const std::string& attribute) {
    const std::string text = element.attribute(attribute.c_str()).value_or("");
    const auto address = net::parse_address(text);
    if (!address) {
      reader.fault(element, attribute + ": not an address with a port, nor a Unix socket: " + text);
      return net::Address{};
    }
    if (const std::string why = keeper::control_address_error(*address); !why.empty())
      reader.fault(element, attribute + ": " + text + " is " + why);
    if (!addresses.insert(address->text()).second)
      reader.fault(element, attribute + ": " + text + " is used twice");
    return *address;
  };
  const auto add_name = [&](const xml::Element& element, std::vector<std::string>& into) {
    const std::string name = element.attribute("name").value_or("");
    if (std::find(into.begin(), into.end(), name) != into.end())
      reader.fault(element, "name: " + name + " is used twice");
    into.push_back(name);
  };
  for (const xml::Element& element : root.children()) {
    if (element.name() == "zone") add_name(element, fleet.zones);
    if (element.name() == "group") add_name(element, fleet.groups);
    if (element.name() == "control-node") {
      ControlNodeEntry node;
      node.name = element.attribute("name").value_or("");
      node.region = element.attribute("region").value_or("");
      node.voter = element.attribute("voter").value_or("yes") == "yes";
      if (!node_names.insert(node.name).second)
        reader.fault(element, "name: " + node.name + " is used twice");
      node.address = private_address(element, "address");
      fleet.control_nodes.push_back(std::move(node));
    }
    if (element.name() != "keeper") continue;
    KeeperEntry keeper;
    keeper.name = element.attribute("name").value_or("");
    if (!names.insert(keeper.name).second) reader.fault(element, "name: " + keeper.name + " is used twice");
    keeper.control = private_address(element, "control");
    keeper.zone = element.attribute("zone").value_or("");
    if (std::find(fleet.zones.begin(), fleet.zones.end(), keeper.zone) == fleet.zones.end())
      reader.fault(element, "zone: not defined: " + keeper.zone);
    std::istringstream groups(element.attribute("groups").value_or(""));
    for (std::string group; groups >> group;) {
      if (std::find(fleet.groups.begin(), fleet.groups.end(), group) == fleet.groups.end())
        reader.fault(element, "groups: not defined: " + group);
      keeper.groups.push_back(group);
    }
    fleet.keepers.push_back(std::move(keeper));
  }
  reader.sort();
  if (out.faults.empty()) out.fleet = std::move(fleet);
  return out;
}

FleetResult read_fleet_file(const std::string& path) {
  FleetResult out;
  const auto text = xml::read_file(path, out.faults);
  if (!text) return out;
  return read_fleet(*text);
}

}  // namespace marbledyke::fleet
