// Settings for the whole fleet, as the machine's keeper received them from the control nodes. The environment
// variable MARBLEDYKE_SETTINGS names the file that the keeper writes them to, as JSON:
//   {"fleet": NAME, "index": N, "digest": HEX, "settings": DOCUMENT}
// The document is a JSON object, or a string that holds one. It takes precedence over the member `settings`
// of the gatherer's configuration.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace marbledyke::config {

struct FleetSettings {
  std::string file;
  std::int64_t index = 0;   // of the revision; 0 if the file does not exist
  nlohmann::json document;  // an object; null if the file does not exist
};

// Reads the file named by MARBLEDYKE_SETTINGS. Returns nothing if the variable is unset or empty. Throws
// BadInput, with the file's name, if the file cannot be read, is too large or is malformed.
std::optional<FleetSettings> read_fleet_settings();
// Parses the text of such a file. Throws BadInput, with the file's name, if it is malformed.
FleetSettings read_fleet_settings(const std::string& file, const std::string& text);

// Returns the settings in effect: the fleet's document if there is a revision, else `own`, the settings of
// the configuration. Settings that belong to a single machine (`zone`) come from `own` unless the document
// has them.
nlohmann::json effective_settings(const FleetSettings& fleet, const nlohmann::json& own);

}  // namespace marbledyke::config
