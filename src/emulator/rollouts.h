// Rolling changes over many gatherers in virtual time: the shipped conductor and judge over a model of a
// fleet that draws what each gatherer answers in each block of seconds, how it fails in clusters, how
// gatherers differ, what strikes all of them, and what the new version does worse. Nothing of servers or
// sockets; it is for how often a sound change is stopped and how soon a bad one is found.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rollout/controller.h"

namespace marbledyke::emulator {

struct FleetModel {
  int gatherers = 300;
  int zones = 3;
  double rate = 8;  // multigets a second at each gatherer, over all op types
  std::vector<double> op_share{0.7, 0.25, 0.05};
  double bad = 0.01;         // not answered in time, by itself
  double unlike = 0.3;       // by how much gatherers differ in that: sigma of a logarithm
  double clusters = 0.002;   // chance that a gatherer has a bad block
  double cluster_bad = 0.4;  // and what is lost in it
  bool trouble = false;      // strikes all for 40 s, at a drawn moment, and once more later
  double trouble_bad = 0.15;
};

// What the new version does worse.
struct Flaw {
  double bad = 0;               // more not answered in time
  int op_type = -1, zone = -1;  // only there; -1: everywhere
  Duration after{};             // only so long after a process's start
  double others = 0;  // it takes from the old ones: they lose so much times the share of new ones, it nothing
};

struct RolloutResult {
  rollout::State end = rollout::State::planned;
  int stage = -1;  // in which it ended
  std::string why;
  double seconds = 0;          // from the start to its end
  double asked = 0, lost = 0;  // multigets from the start on, and those lost by the flaw
  double lost_by_clock =
      0;  // what stages of the same length without a judge would have lost by then and after
  std::uint64_t impossible = 0;
};

rollout::Plan usual_plan();
RolloutResult roll(const FleetModel& fleet, const Flaw& flaw, const rollout::Plan& plan, std::uint32_t seed);

}  // namespace marbledyke::emulator
