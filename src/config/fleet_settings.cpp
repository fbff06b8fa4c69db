#include "config/fleet_settings.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/fields.h"

namespace marbledyke::config {
namespace {

constexpr const char* kPathVariable = "MARBLEDYKE_SETTINGS";
// Well above the 64 KiB that a revision holds at most.
constexpr std::uintmax_t kMaxFileBytes = 256 * 1024;
// Settings that belong to a single machine, so that a document for the fleet may leave them out.
constexpr const char* kMachineSettings[] = {"zone"};

json parse_document(const json& envelope) {
  const json& settings = required(envelope, "settings");
  json document = settings.is_string() ? parse(settings.get_ref<const std::string&>()) : settings;
  if (!document.is_object()) throw BadInput("settings: not an object");
  return document;
}

}  // namespace

FleetSettings read_fleet_settings(const std::string& file, const std::string& content) {
  try {
    const json envelope = parse(content);
    if (!envelope.is_object()) throw BadInput("not an object");
    text(envelope, "fleet");  // required, but not used here
    text(envelope, "digest");
    FleetSettings out{file, integer(envelope, "index"), parse_document(envelope)};
    if (out.index < 1) throw BadInput("index: is not positive");
    return out;
  } catch (const BadInput& error) {
    throw BadInput(file + ": " + error.what());
  }
}

std::optional<FleetSettings> read_fleet_settings() {
  const char* const path = std::getenv(kPathVariable);
  if (path == nullptr || *path == '\0') return std::nullopt;
  std::error_code error;
  const std::filesystem::file_status status = std::filesystem::status(path, error);
  if (status.type() == std::filesystem::file_type::not_found) return FleetSettings{path, 0, nullptr};
  if (status.type() != std::filesystem::file_type::regular)
    throw BadInput(std::string(path) + ": the file cannot be read");
  if (std::filesystem::file_size(path, error) > kMaxFileBytes || error)
    throw BadInput(std::string(path) + ": the file is too large");
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) throw BadInput(std::string(path) + ": the file cannot be read");
  return read_fleet_settings(path, text.str());
}

nlohmann::json effective_settings(const FleetSettings& fleet, const nlohmann::json& own) {
  if (fleet.index == 0) return own;
  json out = fleet.document;
  for (const char* const name : kMachineSettings) {
    if (!out.contains(name) && own.is_object() && own.contains(name)) out[name] = own[name];
  }
  return out;
}

}  // namespace marbledyke::config
