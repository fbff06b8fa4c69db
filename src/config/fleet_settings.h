// Settings for the whole fleet, as the machine's keeper was given them by the control nodes. The environment
// variable MARBLEDYKE_SETTINGS names the file that the keeper writes them to, as JSON:
//   {"fleet": NAME, "index": N, "digest": HEX, "settings": DOCUMENT}
// The document is an object or its text. It holds over the member `settings` of the configuration.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace marbledyke::config {

struct FleetSettings {
  std::string file;
  std::int64_t index = 0;   // of the revision; 0: the file is not there
  nlohmann::json document;  // an object, or null where the file is not there
};

// None: the variable is not set. Throws BadInput, naming the file, where it cannot be read or is damaged.
std::optional<FleetSettings> read_fleet_settings();
// From the file's text.
FleetSettings read_fleet_settings(const std::string& file, const std::string& text);

// What the gatherer runs with: the fleet's document. What is said of one machine only (`zone`) stays the
// configuration's own where the document leaves it out.
nlohmann::json effective_settings(const FleetSettings& fleet, const nlohmann::json& own);

}  // namespace marbledyke::config
