#include "lab/scale/control_plane.h"

#include <chrono>
#include <filesystem>
#include <stdexcept>

#include "standins/leaf.h"

namespace marbledyke::lab::scale {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStartLimit = 10s;
constexpr std::uint32_t kFirstAddress = 3000;  // numbers of standins::free_address

}  // namespace

ControlPlane::ControlPlane(net::Loop& loop, const std::string& folder, std::uint32_t seed)
    : loop_(loop), folder_(folder), seed_(seed) {
  for (std::uint32_t i = 0; i < kNodes; ++i) {
    nodes_.push_back(std::make_unique<Node>());
    Node& node = *nodes_.back();
    node.direct = standins::free_address(net::Family::ip4, kFirstAddress + 2 * i);
    node.across = standins::free_address(net::Family::ip4, kFirstAddress + 2 * i + 1);
    node.relay = std::make_unique<rig::Relay>(loop, node.across, node.direct, seed + i);
  }
  for (std::size_t i = 0; i < kNodes; ++i) start(i);
  for (std::size_t i = 0; i < kNodes; ++i) wait_until_up(i);
}

const net::Address& ControlPlane::address(std::size_t node, std::size_t from_region) const {
  return region_of(node) == from_region ? nodes_[node]->direct : nodes_[node]->across;
}

std::vector<net::Address> ControlPlane::nodes_for(std::size_t region) const {
  std::vector<net::Address> out;
  for (std::size_t i = 0; i < kNodes; ++i) {
    if (region_of(i) == region) out.push_back(nodes_[i]->direct);
  }
  for (std::size_t i = 0; i < kNodes; ++i) {
    if (region_of(i) != region) out.push_back(nodes_[i]->across);
  }
  return out;
}

void ControlPlane::kill(std::size_t node) { nodes_[node]->process.end(); }

void ControlPlane::start(std::size_t number) {
  Node& node = *nodes_[number];
  const std::size_t region = region_of(number);
  const std::string name = "control-" + std::to_string(number);
  std::vector<std::string> words{rig::program("marbledyke-control"),
                                 "--name",
                                 name,
                                 "--region",
                                 "region-" + std::to_string(region),
                                 "--fleet",
                                 kFleet,
                                 "--folder",
                                 folder_ + "/" + name,
                                 "--listen",
                                 node.direct.text(),
                                 "--seed",
                                 std::to_string(seed_ * kNodes + number)};
  for (std::size_t i = 0; i < kNodes; ++i) {
    if (i == number) continue;
    words.push_back("--peer");
    words.push_back(address(i, region).text());
  }
  node.process.start(words, {}, folder_ + "/" + name + ".log");
}

void ControlPlane::cut_regions(bool on) {
  for (const auto& node : nodes_) {
    if (on) {
      rig::Way nothing_passes;
      nothing_passes.lost = true;
      node->relay->set(nothing_passes, nothing_passes);
    } else {
      // What was lost in the middle of a connection is lost for good: the connections end.
      node->relay->heal();
      node->relay->cut();
    }
  }
}

nlohmann::json ControlPlane::status(std::size_t node) {
  return rig::call(loop_, nodes_[node]->direct, "GET", "/v1/configuration/status", "", 1s).body;
}

void ControlPlane::wait_until_up(std::size_t node) {
  if (!rig::run_until(loop_, kStartLimit, [&] { return status(node).is_object(); }))
    throw std::runtime_error("control node " + std::to_string(node) + " did not come up");
}

}  // namespace marbledyke::lab::scale
