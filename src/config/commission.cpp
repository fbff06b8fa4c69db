#include "config/commission.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "model/measure.h"
#include "model/terms.h"

namespace marbledyke::config {

using namespace std::chrono_literals;

namespace {

// The environment stands in for a key that the file leaves out.
std::string told(const json& from, const char* key, const char* variable) {
  if (from.contains(key)) return text(from, key);
  const char* value = std::getenv(variable);
  if (value == nullptr || *value == '\0') throw BadInput(std::string(key) + ": missing");
  return value;
}

net::Address address(const std::string& value, const char* key) {
  const auto out = net::parse_address(value);
  if (!out || out->family() == net::Family::local)
    throw BadInput(std::string(key) + ": not an address with a port: " + value);
  return *out;
}

// The settings under the names they are given by; each must be there, in its type and its range.
class Reader {
 public:
  explicit Reader(const Terms& terms) : contract_(terms) {}

  double number(const std::string& name, double least, double most) const {
    if (!contract_.has(name)) Contract::refuse(name, "missing");
    const double value = contract_.at_least(name, 0, least);
    if (value > most) Contract::refuse(name, "is too large");
    return value;
  }
  int count(const std::string& name, double least = 1, double most = 1e6) const {
    return static_cast<int>(number(name, least, most));
  }
  Duration time(const std::string& name) const {
    return Duration(static_cast<std::int64_t>(number(name, 1, 1e12)));
  }
  bool has(const std::string& name) const { return contract_.has(name); }
  bool flag(const std::string& name) const { return contract_.flag(name, false); }
  std::string word(const std::string& name) const {
    if (!contract_.has(name)) Contract::refuse(name, "missing");
    return contract_.word(name, "");
  }
  std::vector<std::string> words(const std::string& list, const std::string& field) const {
    std::vector<std::string> out;
    for (;;) {
      const std::string name = list + "." + std::to_string(out.size()) + field;
      if (!contract_.has(name)) return out;
      out.push_back(contract_.word(name, ""));
    }
  }

 private:
  Contract contract_;
};

Carriage read_carriage(const Terms& terms) {
  const Reader read(terms);
  Carriage out;
  for (int i = 0;; ++i) {
    const std::string at = "categories." + std::to_string(i) + ".";
    if (!read.has(at + "name") && !read.has(at + "deadline")) break;
    const std::string second = "specifics.second-step." + std::to_string(i);
    out.op_types.push_back({read.word(at + "name"),
                            read.has(second) ? read.count(second, 0) : 0,
                            !read.has(at + "effect") || read.word(at + "effect") == "once",
                            read.has("specifics.class-floor." + std::to_string(i))
                                ? read.number("specifics.class-floor." + std::to_string(i), 0, 1)
                                : 1.0,
                            {},
                            read.has(at + "worth") ? read.number(at + "worth", 0, 1e300) : 1.0});
    const std::string need = "specifics.complete-from." + std::to_string(i);
    if (out.op_types.back().floor > (read.has(need) ? read.number(need, 0, 1) : 1.0))
      Contract::refuse("specifics.class-floor." + std::to_string(i), "is above what a whole answer needs");
    const Duration timeout = read.time(at + "deadline");
    out.longest_timeout = std::max(out.longest_timeout, timeout);
    const Duration budget = read.has(at + "objective") ? read.time(at + "objective") : timeout;
    out.op_types.back().budget = std::min(budget, timeout);
    out.longest_budget = std::max(out.longest_budget, out.op_types.back().budget);
  }
  if (out.op_types.empty()) Contract::refuse("categories", "missing");
  out.customers = read.words("customers", ".name");
  out.zones = read.words("zones", "");
  out.report_fields = read.words("telemetry.fields", "");
  if (out.report_fields.size() > LoadReport{}.value.size()) Contract::refuse("telemetry.fields", "too many");
  out.shards = read.count("specifics.slabs");
  out.cells = read.count("specifics.sets");
  out.parts_a_call = read.count("specifics.bundle-max", 1, 1024);
  out.parts_a_connection = read.count("limits.streams-per-conn");
  out.most_in_hand = read.count("limits.max-open");
  out.tick = read.has("tick") ? read.time("tick") : Duration(5ms);
  out.connect_timeout = read.time("limits.connect-timeout");
  out.idle = read.time("limits.conn-idle");
  if (read.flag("limits.retry-after") && read.has("limits.max-retry-after"))
    out.most_retry_after = read.time("limits.max-retry-after");
  out.list_is_asked = read.has("registry-mode") && read.word("registry-mode") == "ask";
  out.ask_every = read.has("contract.ask-every") ? read.time("contract.ask-every") : Duration(20s);
  return out;
}

log::Level log_level() {
  const char* value = std::getenv("MARBLEDYKE_LOG");
  const std::string level = value == nullptr ? "info" : value;
  if (level == "debug") return log::Level::debug;
  if (level == "info") return log::Level::info;
  if (level == "warning") return log::Level::warning;
  if (level == "error") return log::Level::error;
  throw BadInput("MARBLEDYKE_LOG: not debug, info, warning or error: " + level);
}

}  // namespace

Commission read_commission(const std::string& text_of_it, const std::optional<FleetSettings>& fleet) {
  const json from = parse(text_of_it);
  if (!from.is_object()) throw BadInput("the configuration is not an object");
  Commission out;
  out.name = told(from, "name", "PROXY_NAME");
  out.listen = address(told(from, "listen", "PROXY_LISTEN"), "listen");
  out.discovery_host = told(from, "discovery", "PROXY_DISCOVERY");
  out.discovery = address(out.discovery_host, "discovery");
  const std::string& seed = text(from, "seed");
  if (seed.empty() || seed.size() > 16 ||
      seed.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    throw BadInput("seed: not up to 16 hex digits");
  const std::uint64_t mixed = std::stoull(seed, nullptr, 16);
  out.seed = static_cast<std::uint32_t>(mixed ^ (mixed >> 32));
  const std::int64_t sockets = whole(object(from, "limits"), "sockets");
  if (sockets < 32 || sockets > 1'000'000) throw BadInput("limits.sockets: out of range");
  out.sockets = static_cast<int>(sockets);
  if (from.contains("known")) out.known = object(from, "known");
  if (fleet) out.settings_index = fleet->index;
  if (fleet && fleet->index != 0) out.settings_file = fleet->file;
  const json own = out.settings_file.empty() ? object(from, "settings") : from.value("settings", json());
  flatten(fleet ? settings_under(*fleet, own) : own, "", out.terms);
  try {
    out.carriage = read_carriage(out.terms);
  } catch (const std::invalid_argument& wrong) {
    const std::string where = out.settings_file.empty() ? "" : out.settings_file + ": ";
    throw BadInput(where + "settings." + wrong.what());
  }
  out.log_level = log_level();
  out.digest = hash_text(text_of_it);
  return out;
}

Commission read_commission_file() {
  const char* path = std::getenv("PROXY_CONFIG");
  if (path == nullptr || *path == '\0') throw BadInput("PROXY_CONFIG: missing");
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) throw BadInput("PROXY_CONFIG: the file cannot be read");
  return read_commission(text.str(), read_fleet_settings());
}

}  // namespace marbledyke::config
