// Orders to a keeper, and which of them count. Whoever gives orders holds an epoch, and numbers them within
// it; an older epoch, a repeated, a late or a contradicting order does nothing and is told so. Without I/O.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "model/plain.h"

namespace marbledyke::keeper {

enum class Kind { use, run, stop, confirm, take, drop, try_out };
inline constexpr int kKinds = 7;
const char* name_of(Kind kind);

struct Order {
  std::uint64_t epoch = 0, number = 0;
  Kind kind = Kind::run;
  std::string version;                     // of use, take, drop and try
  std::string from;                        // take: the folder it is copied from
  std::optional<std::string> if_in_force;  // refused where another version is in force
  std::int64_t not_after_ms = 0;           // wall clock; 0: whenever it comes
  Duration trial{};  // use: taken back unless confirmed within this; zero: sound is enough

  bool operator==(const Order&) const = default;
};

// What became of the order that was taken last.
enum class Outcome {
  none,
  under_way,
  on_trial,   // proved, and taken back unless it is confirmed
  returning,  // it failed, the former version is being brought back
  done,
  refused,  // nothing was changed
  back,     // it failed, the former version serves again, proved
  held      // the way back failed too, or there is none: somebody has to look
};
inline constexpr int kOutcomes = 8;
const char* name_of(Outcome outcome);
std::optional<Outcome> outcome_named(const std::string& name);

// Throws config::BadInput naming the field at fault.
Order read_order(const nlohmann::json& from);
nlohmann::json put(const Order& order);
// Letters, digits, dots, dashes and underlines, 1 to 64, not beginning with a dot: it names a folder.
bool is_version_name(const std::string& name);

// What a keeper remembers of orders, and of what it has in hand. Everything that must survive its end.
struct Kept {
  bool wanted = false;         // a gatherer is to run
  std::string in_force;        // the version that is, or is being brought, in force
  std::string former;          // the one before, which it goes back to
  std::optional<Order> order;  // the last taken
  Outcome outcome = Outcome::none;
  std::string why;                     // of an outcome that is not as ordered
  std::int64_t since_ms = 0;           // of the outcome, wall clock
  std::uint64_t starts = 0, ends = 0;  // of gatherers; ends that nobody ordered
  double strikes = 0;                  // ends that count against it still
  bool gave_up = false;

  bool operator==(const Kept&) const = default;
};

// One line with a format number and a checksum (XXH3, by its library).
std::string put(const Kept& kept);
// Throws config::BadInput where it is torn, damaged or of another format.
Kept read_kept(const std::string& text);

enum class Verdict {
  taken,
  old_epoch,    // somebody else has been in charge since
  late,         // a later order was taken, or its time is over
  repeated,     // this very order was taken; the outcome says what became of it
  contradicts,  // another order of the same epoch and number was taken
  other,        // another version is in force than it expects
  busy,         // the last order is under way still
  unknown_version,
  nothing_to_confirm,
  not_kept  // it could not be written down, so it is not taken
};
inline constexpr int kVerdicts = 10;
const char* name_of(Verdict verdict);

// Changes nothing. `wall` is now; `has_version`: the version named is there, whole.
Verdict judge(const Order& order, const Kept& kept, Duration wall, bool has_version);

}  // namespace marbledyke::keeper
