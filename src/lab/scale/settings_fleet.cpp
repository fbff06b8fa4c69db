#include "lab/scale/settings_fleet.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>

#include "lab/scale/measured.h"
#include "lab/scale/options.h"
#include "standins/process.h"

namespace marbledyke::lab::scale {
namespace {

using namespace std::chrono_literals;

constexpr Duration kInForceLimit = 30s;  // what takes longer is a fault of the mechanism, not a figure
constexpr int kFirstTick = 5000;         // microseconds; the setting that changes

// What all gatherers of the fleet run.
std::string document(int number, std::size_t padding) {
  nlohmann::json settings = gatherer_settings();
  settings["tick"] = kFirstTick + number % 100;
  if (padding > 0) settings["padding"] = std::string(padding, 'x');
  return settings.dump();
}

}  // namespace

bool everywhere(std::size_t) { return true; }

SettingsFleet::SettingsFleet(net::Loop& loop, const Sizes& sizes, Duration sample_every, std::uint32_t seed)
    : loop_(loop),
      plane_(loop, folder_.path(), seed),
      keepers_(loop, plane_, sizes.keepers, sizes.listed),
      racks_(plane_, folder_.path(), sizes.hollow_receivers, sample_every, seed),
      maker_(loop, plane_, seed) {}

ChangeMaker::Made SettingsFleet::change(std::size_t padding) {
  document_ = document(++documents_, padding);
  ChangeMaker::Made made = maker_.make(document_);
  if (made.outcome != distribution::Outcome::agreed)
    throw std::runtime_error(std::string("a change was not agreed: ") + name_of(made.outcome) + ": " +
                             made.why);
  return made;
}

bool SettingsFleet::runs_everywhere(std::int64_t index, const Reachable& reachable) const {
  for (std::size_t rack = 0; rack < racks_.racks(); ++rack) {
    if (!reachable(rack)) continue;
    for (const ReceiverRecord& record : racks_.rack(rack).log.records()) {
      if (record.index() < index) return false;
    }
  }
  return true;
}

void SettingsFleet::wait_until_in_force(std::int64_t index, const Reachable& reachable) {
  const bool fine = rig::run_until(loop_, kInForceLimit, [&] {
    racks_.read_logs();
    return runs_everywhere(index, reachable);
  });
  if (!fine) throw std::runtime_error("revision " + std::to_string(index) + " was not in force in time");
}

void SettingsFleet::wait_everywhere(std::int64_t index) {
  wait_until_in_force(index, everywhere);
  keepers_.wait_until_in_force(index);
}

std::vector<double> SettingsFleet::delays(const ChangeMaker::Made& made, const Reachable& reachable) const {
  std::vector<double> out;
  for (std::size_t rack = 0; rack < racks_.racks(); ++rack) {
    if (!reachable(rack)) continue;
    for (const ReceiverRecord& record : racks_.rack(rack).log.records()) {
      const auto at = record.in_force_at(made.index);
      if (!at) throw std::runtime_error("a receiver without a revision that is in force");
      out.push_back(static_cast<double>(std::max<std::int64_t>(*at - made.agreed_us, 0)) / 1e6);
    }
  }
  return out;
}

InForce SettingsFleet::in_force(const ChangeMaker::Made& made, const Reachable& reachable) const {
  return in_force(std::vector<ChangeMaker::Made>{made}, reachable);
}

InForce SettingsFleet::in_force(const std::vector<ChangeMaker::Made>& made,
                                const Reachable& reachable) const {
  std::vector<double> all;
  for (const ChangeMaker::Made& one : made) {
    const std::vector<double> its = delays(one, reachable);
    all.insert(all.end(), its.begin(), its.end());
  }
  return {quantile(all, 0.5), quantile(all, 0.99), quantile(all, 1)};
}

double SettingsFleet::alike_after(std::int64_t from_us, std::int64_t index, const Reachable& reachable) {
  wait_until_in_force(index, reachable);
  ChangeMaker::Made then;
  then.index = index;
  then.agreed_us = from_us;
  return in_force(then, reachable).last;
}

double SettingsFleet::alike_after(std::int64_t from_us, std::int64_t index) {
  wait_everywhere(index);
  return std::max(alike_after(from_us, index, everywhere), quantile(keepers_.in_force_after(from_us), 1));
}

std::size_t SettingsFleet::went_back() const {
  std::size_t out = keepers_.went_back();
  for (std::size_t rack = 0; rack < racks_.racks(); ++rack) {
    for (const ReceiverRecord& record : racks_.rack(rack).log.records()) out += record.went_back ? 1 : 0;
  }
  return out;
}

}  // namespace marbledyke::lab::scale
