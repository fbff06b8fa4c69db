// The configuration of a gatherer: parsed, validated and completed with defaults. Error messages name the key
// at fault.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/fields.h"
#include "config/fleet_settings.h"
#include "log/log.h"
#include "model/types.h"
#include "net/address.h"

namespace marbledyke::config {

// What the I/O code needs to know of an op type. The decision engine reads the rest from the terms itself.
struct OpTypeSettings {
  std::string name;
  int second_step_parts = 0;    // number of parts in the step that follows a first answer; 0: a single step
  bool non_retriable = false;   // a part that may have run is never sent again
  double min_answer_share = 1;  // least share of returned parts for any answer
  Duration latency_budget{};
  double importance = 1;
};

// The service's settings that the I/O code needs. All values come from the operators' settings.
struct ServiceSettings {
  std::vector<OpTypeSettings> op_types;
  std::vector<std::string> customers;
  std::vector<std::string> zones;
  std::vector<std::string> report_fields;  // values of a load report, in the decision engine's order
  int shards = 1;
  int cells = 1;
  int max_parts_per_call = 1;
  int max_parts_per_connection = 1;
  int max_pending = 1;            // multigets and parts together
  Duration max_route_timeout{};   // longest route timeout of any op type
  Duration max_latency_budget{};  // longest latency budget of any op type
  Duration tick{};                // events less than this apart may be observed out of order
  Duration connect_timeout{};
  Duration idle_timeout{};
  Duration max_retry_after{};     // upper bound of the Retry-After of a refusal; 0: refusals carry none
  Duration list_poll_interval{};  // longest time between two requests for the list
  bool list_polled = false;  // the decision engine requests the list; false: it is watched from the start
};

struct GathererConfig {
  std::string name;
  net::Address listen;
  net::Address discovery;
  std::string discovery_host;
  std::uint32_t seed = 0;
  int max_sockets = 0;
  std::size_t memory_bytes = 0;  // that the process may use
  log::Level log_level = log::Level::info;
  json known_list;  // the list as last held, in discovery's format; null if there is none
  FlatSettings terms;
  ServiceSettings settings;
  std::uint64_t digest = 0;  // hash of the configuration's text
  // Revision of the fleet settings that `terms` come from; 0 if they come from the configuration itself.
  // Empty if the process was started without fleet settings.
  std::optional<std::int64_t> settings_index;
  std::string settings_file;  // file of that revision; empty if the settings come from the configuration
};

// Parses the text of a configuration; fleet settings take precedence over its own. Environment variables
// stand in for some missing keys. Throws BadInput.
GathererConfig parse_gatherer_config(const std::string& text, const std::optional<FleetSettings>& fleet = {});
// Loads the configuration from the files named by PROXY_CONFIG and MARBLEDYKE_SETTINGS. Throws BadInput.
GathererConfig load_gatherer_config();

}  // namespace marbledyke::config
