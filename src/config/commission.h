// All that a gatherer is told at its start, read, checked and given defaults in this one place. A complaint
// names the key at fault.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/fields.h"
#include "config/fleet_settings.h"
#include "log/log.h"
#include "model/plain.h"
#include "net/address.h"

namespace marbledyke::config {

// An op type as far as the program itself needs it; what it is worth is the module's matter.
struct OpName {
  std::string name;
  int second_step = 0;  // parts that a first answer is followed by
  bool once = false;    // what may have run is never sent again
  double floor = 1;     // least share of parts for any answer
  Duration budget{};    // latency budget
  double importance = 1;
};

// What carrying parts and answers takes: figures of the operators' terms, none of our own.
struct Carriage {
  std::vector<OpName> op_types;
  std::vector<std::string> customers;
  std::vector<std::string> zones;
  std::vector<std::string> report_fields;  // the values of a load report, in the module's order
  int shards = 1;
  int cells = 1;
  int parts_a_call = 1;
  int parts_a_connection = 1;
  int most_in_hand = 1;        // multigets and parts
  Duration longest_timeout{};  // of the op types' route timeouts
  Duration longest_budget{};   // and of their latency budgets
  Duration tick{};             // what happened less than this apart may be seen in another order
  Duration connect_timeout{};
  Duration idle{};
  Duration most_retry_after{};  // the longest advice a refusal may carry; zero: it carries none
  Duration ask_every{};         // how long the list may go unasked
  bool list_is_asked = false;   // the module decides when; else it is watched from the start
};

struct Commission {
  std::string name;
  net::Address listen;
  net::Address discovery;
  std::string discovery_host;
  std::uint32_t seed = 0;
  int sockets = 0;
  log::Level log_level = log::Level::info;
  json known;  // the list as last held, in discovery's form; null: none
  Terms terms;
  Carriage carriage;
  std::uint64_t digest = 0;  // of the text it was read from
  // The revision of the fleet's settings that `terms` are from; 0: the configuration's own. None: this
  // process was not told to heed any.
  std::optional<std::int64_t> settings_index;
  std::string
      settings_file;  // that the revision was read from; empty where the settings are the configuration's own
};

// From the text of the configuration, and the fleet's settings over it where there are any; throws BadInput.
Commission read_commission(const std::string& text, const std::optional<FleetSettings>& fleet = {});
// From the files that the environment names.
Commission read_commission_file();

}  // namespace marbledyke::config
