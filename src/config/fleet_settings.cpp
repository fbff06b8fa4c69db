#include "config/fleet_settings.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/fields.h"

namespace marbledyke::config {
namespace {

constexpr const char* kVariable = "MARBLEDYKE_SETTINGS";
constexpr std::uintmax_t kMostFile = 256 * 1024;  // bytes; a revision holds 64 KiB at most
constexpr const char* kOfOneMachine[] = {"zone"};

json document_of(const json& from) {
  const json& stated = required(from, "settings");
  json document = stated.is_string() ? parse(stated.get_ref<const std::string&>()) : stated;
  if (!document.is_object()) throw BadInput("settings: not an object");
  return document;
}

}  // namespace

FleetSettings read_fleet_settings(const std::string& file, const std::string& text_of_it) {
  try {
    const json from = parse(text_of_it);
    if (!from.is_object()) throw BadInput("not an object");
    text(from, "fleet");
    text(from, "digest");
    FleetSettings out{file, integer(from, "index"), document_of(from)};
    if (out.index < 1) throw BadInput("index: is not positive");
    return out;
  } catch (const BadInput& wrong) {
    throw BadInput(file + ": " + wrong.what());
  }
}

std::optional<FleetSettings> read_fleet_settings() {
  const char* const path = std::getenv(kVariable);
  if (path == nullptr || *path == '\0') return std::nullopt;
  std::error_code wrong;
  const std::filesystem::file_status status = std::filesystem::status(path, wrong);
  if (status.type() == std::filesystem::file_type::not_found) return FleetSettings{path, 0, nullptr};
  if (status.type() != std::filesystem::file_type::regular)
    throw BadInput(std::string(path) + ": the file cannot be read");
  if (std::filesystem::file_size(path, wrong) > kMostFile || wrong)
    throw BadInput(std::string(path) + ": the file is too large");
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) throw BadInput(std::string(path) + ": the file cannot be read");
  return read_fleet_settings(path, text.str());
}

nlohmann::json effective_settings(const FleetSettings& fleet, const nlohmann::json& own) {
  if (fleet.index == 0) return own;
  json out = fleet.document;
  for (const char* const name : kOfOneMachine) {
    if (!out.contains(name) && own.is_object() && own.contains(name)) out[name] = own[name];
  }
  return out;
}

}  // namespace marbledyke::config
