// All hollow receivers of a scale run: racks of up to 40, a process each, spread over five zones, three of
// them in region 0 and two in region 1.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab/scale/control_plane.h"
#include "lab/scale/receiver_logs.h"
#include "rig/process.h"

namespace marbledyke::lab::scale {

inline constexpr std::size_t kZones = 5, kZonesInFirstRegion = 3;
inline constexpr std::size_t kReceiversPerRack = 40;

std::string zone_name(std::size_t zone);
std::size_t region_of_zone(std::size_t zone);

class Racks {
 public:
  // The last two of zone 0 have a process each, so that they can be slow and paused.
  Racks(const ControlPlane& plane, const std::string& folder, std::size_t receivers, Duration sample_every,
        std::uint32_t seed);

  struct Rack {
    Rack(std::size_t its_zone, std::string its_spec_path, const std::string& log_path, std::size_t receivers)
        : zone(its_zone), spec_path(std::move(its_spec_path)), log(log_path, receivers) {}
    std::size_t zone;
    std::string spec_path;
    ReceiverLog log;
    rig::Process process;
  };
  std::size_t racks() const { return racks_.size(); }
  const Rack& rack(std::size_t i) const { return *racks_[i]; }
  std::size_t slow() const { return racks_.size() - 2; }
  std::size_t paused() const { return racks_.size() - 1; }
  std::size_t receivers() const { return receivers_; }

  void end(std::size_t rack);    // SIGKILL
  void start(std::size_t rack);  // with what its receivers had
  void signal(std::size_t rack, int which) { racks_[rack]->process.signal(which); }
  bool ended(std::size_t rack) { return racks_[rack]->process.ended().has_value(); }
  // Ends it and starts it as one whose receivers take so long to have a revision in force; zero: as the
  // others.
  void slow_down(std::size_t rack, Duration applies_after);

  void read_logs();

 private:
  void add(const ControlPlane& plane, std::size_t zone, std::size_t count);

  std::string folder_;
  Duration sample_every_;
  std::uint32_t seed_;
  std::size_t receivers_ = 0;
  std::vector<std::unique_ptr<Rack>> racks_;
};

}  // namespace marbledyke::lab::scale
