#include "config/gatherer_config.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "model/numeric.h"
#include "model/settings_reader.h"

namespace marbledyke::config {

using namespace std::chrono_literals;

namespace {

constexpr double kMaxDurationUs = 1e12;
constexpr std::int64_t kMinSockets = 32, kMaxSockets = 1'000'000;
constexpr double kMinMemoryMb = 16, kMaxMemoryMb = 1e6;
constexpr double kDefaultMemoryMb = 1024;
constexpr std::size_t kBytesPerMb = 1024 * 1024;
constexpr std::size_t kMaxSeedDigits = 16;  // of a 64-bit number in hexadecimal

// Returns the value of a key, or of an environment variable if the configuration leaves the key out.
std::string text_or_variable(const json& config, const char* key, const char* variable) {
  if (config.contains(key)) return text(config, key);
  const char* value = std::getenv(variable);
  if (value == nullptr || *value == '\0') throw BadInput(std::string(key) + ": missing");
  return value;
}

// Parses an address with a port; sockets of the local family are refused.
net::Address parse_network_address(const std::string& value, const char* key) {
  const auto out = net::parse_address(value);
  if (!out || out->family() == net::Family::local)
    throw BadInput(std::string(key) + ": not an address with a port: " + value);
  return *out;
}

// Reads required settings by name. Throws std::invalid_argument, with the name, if one is missing, has the
// wrong type or is out of range.
class RequiredSettings {
 public:
  explicit RequiredSettings(const FlatSettings& terms) : reader_(terms) {}

  double number(const std::string& name, double min, double max) const {
    if (!reader_.has(name)) SettingsReader::reject(name, "missing");
    const double value = reader_.at_least(name, 0, min);
    if (value > max) SettingsReader::reject(name, "is too large");
    return value;
  }
  int count(const std::string& name, double min = 1, double max = 1e6) const {
    return static_cast<int>(number(name, min, max));
  }
  // Settings state durations in microseconds.
  Duration duration(const std::string& name) const {
    return Duration(static_cast<std::int64_t>(number(name, 1, kMaxDurationUs)));
  }
  bool has(const std::string& name) const { return reader_.has(name); }
  bool flag(const std::string& name) const { return reader_.flag(name, false); }
  std::string word(const std::string& name) const {
    if (!reader_.has(name)) SettingsReader::reject(name, "missing");
    return reader_.text(name, "");
  }
  // Returns `field` of each entry of a list, up to the first entry that does not have it.
  std::vector<std::string> words(const std::string& list, const std::string& field) const {
    std::vector<std::string> out;
    for (;;) {
      const std::string name = list + "." + std::to_string(out.size()) + field;
      if (!reader_.has(name)) return out;
      out.push_back(reader_.text(name, ""));
    }
  }

 private:
  SettingsReader reader_;
};

std::size_t parse_memory_limit(const json& limits) {
  const double memory_mb =
      limits.contains("memory_mb") ? number(limits["memory_mb"], "limits.memory_mb") : kDefaultMemoryMb;
  if (memory_mb < kMinMemoryMb || memory_mb > kMaxMemoryMb) throw BadInput("limits.memory_mb: out of range");
  return static_cast<std::size_t>(memory_mb * kBytesPerMb);
}

ServiceSettings parse_service_settings(const FlatSettings& terms) {
  const RequiredSettings reader(terms);
  ServiceSettings out;
  for (int i = 0;; ++i) {
    const std::string index = std::to_string(i);
    const std::string category = "categories." + index + ".";
    if (!reader.has(category + "name") && !reader.has(category + "deadline")) break;
    const std::string second_step = "specifics.second-step." + index;
    const std::string class_floor = "specifics.class-floor." + index;
    out.op_types.push_back(
        {reader.word(category + "name"),
         reader.has(second_step) ? reader.count(second_step, 0) : 0,
         !reader.has(category + "effect") || reader.word(category + "effect") == "once",
         reader.has(class_floor) ? reader.number(class_floor, 0, 1) : 1.0,
         {},
         reader.has(category + "worth") ? reader.number(category + "worth", 0, 1e300) : 1.0});
    const std::string complete_from = "specifics.complete-from." + index;
    if (out.op_types.back().min_answer_share >
        (reader.has(complete_from) ? reader.number(complete_from, 0, 1) : 1.0))
      SettingsReader::reject(class_floor, "exceeds the share that a complete answer needs");
    const Duration timeout = reader.duration(category + "deadline");
    out.max_route_timeout = std::max(out.max_route_timeout, timeout);
    const Duration budget =
        reader.has(category + "objective") ? reader.duration(category + "objective") : timeout;
    out.op_types.back().latency_budget = std::min(budget, timeout);
    out.max_latency_budget = std::max(out.max_latency_budget, out.op_types.back().latency_budget);
  }
  if (out.op_types.empty()) SettingsReader::reject("categories", "missing");
  out.customers = reader.words("customers", ".name");
  out.zones = reader.words("zones", "");
  out.report_fields = reader.words("telemetry.fields", "");
  if (out.report_fields.size() > LoadReport{}.values.size())
    SettingsReader::reject("telemetry.fields", "too many");
  out.shards = reader.count("specifics.slabs");
  out.cells = reader.count("specifics.sets");
  out.max_parts_per_call = reader.count("specifics.bundle-max", 1, 1024);
  out.max_parts_per_connection = reader.count("limits.streams-per-conn");
  out.max_pending = reader.count("limits.max-open");
  out.tick = reader.has("tick") ? reader.duration("tick") : Duration(5ms);
  out.connect_timeout = reader.duration("limits.connect-timeout");
  out.idle_timeout = reader.duration("limits.conn-idle");
  if (reader.flag("limits.retry-after") && reader.has("limits.max-retry-after"))
    out.max_retry_after = reader.duration("limits.max-retry-after");
  out.list_polled = reader.has("registry-mode") && reader.word("registry-mode") == "ask";
  out.list_poll_interval =
      reader.has("contract.ask-every") ? reader.duration("contract.ask-every") : Duration(20s);
  return out;
}

log::Level log_level_from_environment() {
  const char* value = std::getenv("MARBLEDYKE_LOG");
  const std::string level = value == nullptr ? "info" : value;
  if (level == "debug") return log::Level::debug;
  if (level == "info") return log::Level::info;
  if (level == "warning") return log::Level::warning;
  if (level == "error") return log::Level::error;
  throw BadInput("MARBLEDYKE_LOG: not debug, info, warning or error: " + level);
}

}  // namespace

GathererConfig parse_gatherer_config(const std::string& content, const std::optional<FleetSettings>& fleet) {
  const json config = parse(content);
  if (!config.is_object()) throw BadInput("the configuration is not an object");
  GathererConfig out;
  out.name = text_or_variable(config, "name", "PROXY_NAME");
  out.listen = parse_network_address(text_or_variable(config, "listen", "PROXY_LISTEN"), "listen");
  out.discovery_host = text_or_variable(config, "discovery", "PROXY_DISCOVERY");
  out.discovery = parse_network_address(out.discovery_host, "discovery");
  const std::string& seed = text(config, "seed");
  if (seed.empty() || seed.size() > kMaxSeedDigits ||
      seed.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    throw BadInput("seed: not up to 16 hex digits");
  const std::uint64_t wide_seed = std::stoull(seed, nullptr, 16);
  out.seed = static_cast<std::uint32_t>(wide_seed ^ (wide_seed >> 32));
  const std::int64_t sockets = integer(object(config, "limits"), "sockets");
  if (sockets < kMinSockets || sockets > kMaxSockets) throw BadInput("limits.sockets: out of range");
  out.max_sockets = static_cast<int>(sockets);
  out.memory_bytes = parse_memory_limit(object(config, "limits"));
  if (config.contains("known")) out.known_list = object(config, "known");
  if (fleet) out.settings_index = fleet->index;
  if (fleet && fleet->index != 0) out.settings_file = fleet->file;
  const json own = out.settings_file.empty() ? object(config, "settings") : config.value("settings", json());
  flatten(fleet ? effective_settings(*fleet, own) : own, "", out.terms);
  try {
    out.settings = parse_service_settings(out.terms);
  } catch (const std::invalid_argument& error) {
    const std::string prefix = out.settings_file.empty() ? "" : out.settings_file + ": ";
    throw BadInput(prefix + "settings." + error.what());
  }
  out.log_level = log_level_from_environment();
  out.digest = hash_string(content);
  return out;
}

GathererConfig load_gatherer_config() {
  const char* path = std::getenv("PROXY_CONFIG");
  if (path == nullptr || *path == '\0') throw BadInput("PROXY_CONFIG: missing");
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) throw BadInput("PROXY_CONFIG: the file cannot be read");
  return parse_gatherer_config(text.str(), read_fleet_settings());
}

}  // namespace marbledyke::config
