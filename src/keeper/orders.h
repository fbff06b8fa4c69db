// Orders to a keeper, the state that a keeper persists, and the rules for accepting an order. Without I/O.
//
// Whoever gives orders holds an epoch and numbers the orders within it. An order of an older epoch, a
// repeated, a late or a conflicting order has no effect, and the answer says so.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "model/types.h"

namespace marbledyke::keeper {

enum class OrderKind { use, run, stop, confirm, take, drop, try_out };
inline constexpr int kOrderKinds = 7;

// Returns the name of the order in its JSON form.
const char* name_of(OrderKind kind);

struct Order {
  std::uint64_t epoch = 0, number = 0;
  OrderKind kind = OrderKind::run;
  std::string version;                     // of use, take, drop and try
  std::string from;                        // of take: the absolute path of the directory to copy from
  std::optional<std::string> if_in_force;  // the order is refused where another version is in force
  std::int64_t not_after_ms = 0;           // wall clock; 0: no time limit
  Duration trial{};  // of use: rolled back unless confirmed within this; zero: no confirmation is needed

  bool operator==(const Order&) const = default;
};

// The result of the order that was accepted last.
enum class Outcome {
  none,
  under_way,
  on_trial,      // proved; rolled back unless it is confirmed
  rolling_back,  // the order failed; the former version is being brought back
  done,
  refused,        // nothing was changed
  rolled_back,    // the order failed; the former version serves again and is proved
  needs_operator  // the rollback failed too, or there is no former version
};
inline constexpr int kOutcomes = 8;

// Returns the name of the outcome in the status and in the state file.
const char* name_of(Outcome outcome);
std::optional<Outcome> parse_outcome(const std::string& name);

// Throws config::BadInput that names the field at fault.
Order parse_order(const nlohmann::json& from);
nlohmann::json to_json(const Order& order);

// A version names a directory: 1 to 64 letters, digits, dots, dashes and underscores, with no dot in front.
bool is_version_name(const std::string& name);

// Everything that must survive the end of the keeper's process.
struct KeeperState {
  bool should_run = false;     // a gatherer is to run
  std::string in_force;        // the version that is in force or is being brought in force
  std::string former;          // the version that a rollback returns to
  std::optional<Order> order;  // the last one accepted
  Outcome outcome = Outcome::none;
  std::string why;                    // the reason for an outcome other than the ordered one
  std::int64_t since_ms = 0;          // wall clock at which the outcome was set
  std::uint64_t starts = 0;           // of gatherer processes
  std::uint64_t unplanned_exits = 0;  // of gatherer processes, without an order
  double crash_score = 0;             // unplanned exits that still count; it decays with uptime
  bool gave_up = false;

  bool operator==(const KeeperState&) const = default;
};

// Returns a line with the format number and a checksum (XXH3), and a line with the state as JSON.
std::string serialize(const KeeperState& state);
// Throws config::BadInput where the text is truncated, damaged or of another format.
KeeperState parse_state(const std::string& text);

enum class OrderVerdict {
  accepted,
  old_epoch,    // an order of a newer epoch has been accepted since
  late,         // an order with a higher number was accepted, or the order's time limit has passed
  repeated,     // this very order was accepted before; the outcome says what became of it
  contradicts,  // a different order of the same epoch and number was accepted
  other_version_in_force,
  busy,  // the last order is still under way
  unknown_version,
  nothing_to_confirm,
  not_persisted  // the order could not be written to disk and is therefore not accepted
};
inline constexpr int kOrderVerdicts = 10;

// Returns the name of the verdict in the answer to an order.
const char* name_of(OrderVerdict verdict);

// Decides whether an order is accepted; changes nothing. `wall` is the present wall clock; `has_version` says
// whether the version that the order names is complete on disk.
OrderVerdict check_order(const Order& order, const KeeperState& state, Duration wall, bool has_version);

}  // namespace marbledyke::keeper
