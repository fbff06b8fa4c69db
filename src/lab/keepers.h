// What keepers cost and what they bring, measured on real processes of this machine: experiments/keepers.
#pragma once

#include <atomic>
#include <string>

namespace marbledyke::lab {

struct KeeperMeasures {
  int kills = 60;      // of a gatherer under load
  int swaps = 14;      // one each 5 s
  double rate = 1500;  // multigets a second during swaps
  int pairs = 3;       // plays with keepers and without
};

// Writes results.csv, report.md and charts to `directory`, which must not be there. Gives an exit status.
int measure_keepers(const KeeperMeasures& options, const std::string& directory,
                    const std::atomic<bool>& stop);

}  // namespace marbledyke::lab
