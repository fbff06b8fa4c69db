// A fleet that takes its settings from control nodes: the nodes, hollow receivers and real keepers, and how
// long a change takes until it is in force.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/scale/change_maker.h"
#include "lab/scale/control_plane.h"
#include "lab/scale/installation.h"
#include "lab/scale/racks.h"
#include "lab/scale/real_keepers.h"
#include "net/loop.h"

namespace marbledyke::lab::scale {

// Which racks a change is expected at.
using Reachable = std::function<bool(std::size_t rack)>;
bool everywhere(std::size_t rack);

// Seconds from `agreed` until in force, of each receiver that was waited for.
struct InForce {
  double p50 = 0, p99 = 0, last = 0;
};

class SettingsFleet {
 public:
  struct Sizes {
    std::size_t hollow_receivers = 0;
    int keepers = 0, listed = 0;  // real keepers, and servers that their gatherers list
  };
  SettingsFleet(net::Loop& loop, const Sizes& sizes, Duration sample_every, std::uint32_t seed);

  // Another document than the one before, with so many bytes more than it needs; throws std::runtime_error
  // where it is not agreed.
  ChangeMaker::Made change(std::size_t padding = 0);

  // Runs the loop until the revision or a newer one runs at all of these hollow receivers; throws
  // std::runtime_error where that
  // takes longer than kInForceLimit.
  void wait_until_in_force(std::int64_t index, const Reachable& reachable);
  // And at all others and all real keepers.
  void wait_everywhere(std::int64_t index);
  // Of hollow receivers, from the logs, once it is in force.
  InForce in_force(const ChangeMaker::Made& made, const Reachable& reachable) const;
  // Of several changes together, each receiver and change once.
  InForce in_force(const std::vector<ChangeMaker::Made>& made, const Reachable& reachable) const;
  // Seconds from a moment until all of them ran the revision; waits for that.
  double alike_after(std::int64_t from_us, std::int64_t index, const Reachable& reachable);

  double alike_after(std::int64_t from_us, std::int64_t index);  // everywhere, real keepers among them

  // Receivers, real ones among them, that ever ran a revision which was not newer than the one before.
  std::size_t went_back() const;

  std::size_t document_bytes() const { return document_.size(); }  // of the newest change
  ControlPlane& plane() { return plane_; }
  Racks& racks() { return racks_; }
  RealKeepers& keepers() { return keepers_; }
  net::Loop& loop() { return loop_; }
  const Folder& folder() const { return folder_; }

 private:
  bool runs_everywhere(std::int64_t index, const Reachable& reachable) const;
  std::vector<double> delays(const ChangeMaker::Made& made, const Reachable& reachable) const;

  net::Loop& loop_;
  Folder folder_;
  ControlPlane plane_;
  RealKeepers keepers_;
  Racks racks_;
  ChangeMaker maker_;
  int documents_ = 0;
  std::string document_;
};

}  // namespace marbledyke::lab::scale
