// Six control nodes as real processes in two regions, three in each; all but one vote. Between regions every
// call goes through a relay in the lab's loop, so that the regions can be cut apart.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/scale/installation.h"
#include "net/address.h"
#include "net/loop.h"
#include "rig/process.h"
#include "rig/relay.h"

namespace marbledyke::lab::scale {

inline const std::string kFleet = "scale";
inline constexpr std::size_t kNodes = 6, kNodesPerRegion = 3, kVoters = 5;
inline constexpr std::size_t kRegions = 2;

class ControlPlane {
 public:
  // Throws std::runtime_error where a node does not come up in time.
  ControlPlane(net::Loop& loop, const std::string& folder, std::uint32_t seed);

  static std::size_t region_of(std::size_t node) { return node / kNodesPerRegion; }
  // Where a caller in that region reaches the node.
  const net::Address& address(std::size_t node, std::size_t from_region) const;
  // All nodes as a receiver in that region is told of them: its own region's first.
  std::vector<net::Address> nodes_for(std::size_t region) const;

  void kill(std::size_t node);   // SIGKILL
  void start(std::size_t node);  // with the folder that it had
  void cut_regions(bool on);     // nothing passes between regions, until off
  pid_t pid(std::size_t node) const { return nodes_[node]->process.pid(); }
  // GET of its status; null where it does not answer.
  nlohmann::json status(std::size_t node);

 private:
  struct Node {
    net::Address direct, across;
    std::unique_ptr<rig::Relay> relay;  // listens at `across`
    rig::Process process;
  };

  void wait_until_up(std::size_t node);

  net::Loop& loop_;
  std::string folder_;
  std::uint32_t seed_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

}  // namespace marbledyke::lab::scale
