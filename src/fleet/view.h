// A fleet as it was last seen, and as people read it: who runs what, how it serves, what cannot be reached
// and since when. Without I/O.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_file.h"

namespace marbledyke::fleet {

struct Seen {
  bool reachable = false;
  std::int64_t since_ms = 0;     // reachable or not since then, as far as this tool was there to see
  std::int64_t answered_ms = 0;  // its last answer; 0: none yet
  std::string why;               // it is not
  nlohmann::json status;         // of its last answer
};

class View {
 public:
  explicit View(const Fleet& fleet) : fleet_(fleet) {}

  void answered(const std::string& keeper, const nlohmann::json& status, std::int64_t now_ms);
  void silent(const std::string& keeper, const std::string& why, std::int64_t now_ms);
  const Seen* seen(const std::string& keeper) const;

  // One line a keeper, then one of sums; no line wider than `width` (0: as wide as it is).
  std::vector<std::string> table(std::int64_t now_ms, std::size_t width = 0) const;
  nlohmann::json as_json(std::int64_t now_ms) const;
  // 0: all serve; 1: some do not; 2: some cannot be reached.
  int verdict() const;

 private:
  const Fleet& fleet_;
  std::map<std::string, Seen> seen_;
};

// "12 s", "3 min", "5 h", "2 d"
std::string ago(std::int64_t ms);

}  // namespace marbledyke::fleet
