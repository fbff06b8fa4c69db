#include "lab/scale/racks.h"

#include <algorithm>

#include "lab/scale/hollow_receivers.h"

namespace marbledyke::lab::scale {

std::string zone_name(std::size_t zone) { return "zone-" + std::to_string(zone); }

std::size_t region_of_zone(std::size_t zone) { return zone < kZonesInFirstRegion ? 0 : 1; }

Racks::Racks(const ControlPlane& plane, const std::string& folder, std::size_t receivers,
             Duration sample_every, std::uint32_t seed)
    : folder_(folder), sample_every_(sample_every), seed_(seed) {
  constexpr std::size_t kAlone = 2;
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    std::size_t left = receivers / kZones + (zone < receivers % kZones ? 1 : 0);
    if (zone == 0) left -= kAlone;
    for (; left > 0; left -= std::min(left, kReceiversPerRack))
      add(plane, zone, std::min(left, kReceiversPerRack));
  }
  for (std::size_t i = 0; i < kAlone; ++i) add(plane, 0, 1);
  for (std::size_t i = 0; i < racks_.size(); ++i) start(i);
}

void Racks::add(const ControlPlane& plane, std::size_t zone, std::size_t count) {
  const std::string name = folder_ + "/rack-" + std::to_string(racks_.size());
  ReceiversSpec spec;
  spec.log = name + ".events";
  spec.zone = zone_name(zone);
  spec.nodes = plane.nodes_for(region_of_zone(zone));
  spec.sample_every = sample_every_;
  spec.preferred = kNodesPerRegion;
  spec.seed = seed_ * 10'000 + static_cast<std::uint32_t>(receivers_);
  for (std::size_t i = 0; i < count; ++i) spec.names.push_back("hollow-" + std::to_string(receivers_ + i));
  write_spec(name + ".json", spec);
  receivers_ += count;
  racks_.push_back(std::make_unique<Rack>(zone, name + ".json", spec.log, count));
}

void Racks::end(std::size_t rack) { racks_[rack]->process.end(); }

void Racks::start(std::size_t rack) {
  racks_[rack]->process.start(
      {rig::program("marbledyke-lab"), "scale-receivers", "--spec", racks_[rack]->spec_path}, {},
      racks_[rack]->spec_path + ".said");
}

void Racks::slow_down(std::size_t rack, Duration applies_after) {
  end(rack);
  ReceiversSpec spec = read_spec(racks_[rack]->spec_path);
  spec.applies_after = applies_after;
  write_spec(racks_[rack]->spec_path, spec);
  start(rack);
}

void Racks::read_logs() {
  for (const auto& rack : racks_) rack->log.read_on();
}

}  // namespace marbledyke::lab::scale
