#include "lab/scale/real_keepers.h"

#include <sys/stat.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "config/fields.h"
#include "distribution/revision.h"
#include "lab/scale/installation.h"
#include "lab/scale/process_use.h"
#include "lab/scale/racks.h"
#include "standins/leaf.h"

namespace marbledyke::lab::scale {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kFirstAddress = 4000;  // numbers of standins::free_address
constexpr Duration kInForceLimit = 30s;

std::string good_file(const Kept& keeper) { return keeper.keeper_folder() + "/settings.good.json"; }

// 0: none.
std::int64_t good_index(const Kept& keeper) {
  std::ifstream in(good_file(keeper));
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  if (text.empty()) return 0;
  return distribution::read_revision(config::parse(text)).index;
}

std::int64_t microseconds(const timespec& time) {
  return std::int64_t{time.tv_sec} * 1'000'000 + time.tv_nsec / 1000;
}

// What CLOCK_REALTIME is ahead of CLOCK_MONOTONIC.
std::int64_t wall_ahead_us() {
  timespec wall{};
  clock_gettime(CLOCK_REALTIME, &wall);
  return microseconds(wall) - machine_microseconds();
}

}  // namespace

RealKeepers::RealKeepers(net::Loop& loop, const ControlPlane& plane, int keepers, int listed)
    : loop_(loop),
      discovery_(standins::free_address(net::Family::ip4, kFirstAddress)),
      list_(loop, discovery_, servers_to_list(listed, free_server_port())) {
  for (int i = 0; i < keepers; ++i) start(plane, static_cast<std::size_t>(i));
}

void RealKeepers::start(const ControlPlane& plane, std::size_t number) {
  const std::string name = "keeper-" + std::to_string(number);
  const std::size_t zone = number % kZones;
  const auto place = kFirstAddress + 1 + 2 * static_cast<std::uint32_t>(number);
  KeptProgram program;
  program.name = "marbledyke-keeper";
  program.words = {"--fleet",
                   kFleet,
                   "--zone",
                   zone_name(zone),
                   "--preferred-control-nodes",
                   std::to_string(kNodesPerRegion)};
  for (const net::Address& node : plane.nodes_for(region_of_zone(zone))) {
    program.words.push_back("--control-node");
    program.words.push_back(node.text());
  }
  const net::Address listen = standins::free_address(net::Family::ip4, place);
  const net::Address control = standins::free_address(net::Family::ip4, place + 1);
  keepers_.push_back({std::make_unique<Kept>(loop_, name, control,
                                             gatherer_configuration(name, listen, discovery_), program),
                      0});
}

void RealKeepers::look(Keeper& keeper) {
  const std::int64_t index = good_index(*keeper.process);
  went_back_ += index < keeper.seen ? 1 : 0;
  keeper.seen = index;
}

void RealKeepers::wait_until_in_force(std::int64_t index) {
  const bool fine = rig::run_until(loop_, kInForceLimit, [&] {
    for (Keeper& keeper : keepers_) look(keeper);
    return std::all_of(keepers_.begin(), keepers_.end(),
                       [&](const Keeper& keeper) { return keeper.seen >= index; });
  });
  if (!fine) throw std::runtime_error("keepers did not have revision " + std::to_string(index) + " in time");
}

std::vector<double> RealKeepers::in_force_after(std::int64_t from_us) const {
  const std::int64_t ahead = wall_ahead_us();
  std::vector<double> out;
  for (const Keeper& keeper : keepers_) {
    struct stat file {};
    if (stat(good_file(*keeper.process).c_str(), &file) != 0) continue;
    const std::int64_t us = microseconds(file.st_mtim) - ahead;
    out.push_back(static_cast<double>(std::max<std::int64_t>(us - from_us, 0)) / 1e6);
  }
  return out;
}

RealKeepers::Use RealKeepers::use() const {
  Use out;
  const auto share = 1.0 / static_cast<double>(keepers_.size());
  for (const Keeper& keeper : keepers_) {
    const pid_t own = keeper.process->keeper_pid(), gatherer = keeper.process->serving();
    out.keeper_cpu += cpu_seconds(own) * share;
    out.gatherer_cpu += cpu_seconds(gatherer) * share;
    out.keeper_memory += resident_megabytes(own) * share;
    out.gatherer_memory += resident_megabytes(gatherer) * share;
  }
  return out;
}

}  // namespace marbledyke::lab::scale
