// The state of a fleet as last observed, as a table or as JSON: which version each keeper runs, how its
// gatherer performs, and which keepers cannot be reached and since when. Without I/O.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_file.h"

namespace marbledyke::fleet {

// Times are wall clock milliseconds.
struct KeeperObservation {
  bool reachable = false;
  std::int64_t since_ms = 0;     // since when it is reachable or not, as far as this tool has observed
  std::int64_t answered_ms = 0;  // its last answer; 0: none yet
  std::string error;             // why it is not reachable
  nlohmann::json status;         // its last answer
};

class FleetView {
 public:
  // `fleet` has to outlive the view.
  explicit FleetView(const Fleet& fleet) : fleet_(fleet) {}

  void on_status(const std::string& keeper, const nlohmann::json& status, std::int64_t now_ms);
  void on_unreachable(const std::string& keeper, const std::string& error, std::int64_t now_ms);
  const KeeperObservation* observation(const std::string& keeper) const;

  // A heading, one line per keeper and one with totals, cut at `width` characters (0: not cut).
  std::vector<std::string> table(std::int64_t now_ms, std::size_t width = 0) const;
  nlohmann::json to_json(std::int64_t now_ms) const;
  // 0: all keepers serve; 1: some do not; 2: some cannot be reached.
  int exit_status() const;

 private:
  const Fleet& fleet_;
  std::map<std::string, KeeperObservation> observations_;
};

// An age in its largest fitting unit: "12 s", "3 min", "5 h", "2 d".
std::string format_age(std::int64_t ms);

}  // namespace marbledyke::fleet
