// Real keepers over real gatherers that take their settings from the control nodes, spread over the zones.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "lab/kept.h"
#include "lab/scale/control_plane.h"
#include "lab/scale/hollow_list.h"
#include "net/loop.h"

namespace marbledyke::lab::scale {

class RealKeepers {
 public:
  // Their gatherers list so many hollow servers and have no traffic. Throws std::runtime_error where one does
  // not come up in time.
  RealKeepers(net::Loop& loop, const ControlPlane& plane, int keepers, int listed);

  // Runs the loop until all of them, and their gatherers, have that revision or a newer one; throws
  // std::runtime_error where that takes too long.
  void wait_until_in_force(std::int64_t index);
  // Seconds from a moment of the machine's clock until each had its present revision in force: by the file
  // that a keeper writes as soon as its gatherer said that it runs it.
  std::vector<double> in_force_after(std::int64_t from_us) const;
  // How many were seen to have gone back to an older revision.
  std::size_t went_back() const { return went_back_; }

  // CPU seconds so far and resident MB, means over them: the keeper, and its gatherer.
  struct Use {
    double keeper_cpu = 0, gatherer_cpu = 0, keeper_memory = 0, gatherer_memory = 0;
  };
  Use use() const;
  std::size_t count() const { return keepers_.size(); }

 private:
  struct Keeper {
    std::unique_ptr<Kept> process;
    std::int64_t seen = 0;  // the newest revision it was seen with
  };
  void start(const ControlPlane& plane, std::size_t number);
  void look(Keeper& keeper);

  net::Loop& loop_;
  net::Address discovery_;
  HollowList list_;
  std::vector<Keeper> keepers_;
  std::size_t went_back_ = 0;
};

}  // namespace marbledyke::lab::scale
