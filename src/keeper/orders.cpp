#include "keeper/orders.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

#include "config/fields.h"

namespace marbledyke::keeper {
namespace {

using namespace std::chrono_literals;
using config::BadInput;
using nlohmann::json;

constexpr std::array<const char*, kOrderKinds> kOrderKindNames{"use",  "run",  "stop", "confirm",
                                                               "take", "drop", "try"};
constexpr std::array<const char*, kOutcomes> kOutcomeNames{"none", "under_way", "on_trial", "returning",
                                                           "done", "refused",   "back",     "held"};
constexpr std::array<const char*, kOrderVerdicts> kOrderVerdictNames{
    "taken",           "old_epoch",          "late",    "repeated", "contradicts", "other", "busy",
    "unknown_version", "nothing_to_confirm", "not_kept"};
constexpr int kStateFormat = 1;
constexpr std::int64_t kMaxTrialMs = 7 * 24 * 3600 * 1000LL;

std::uint64_t unsigned_integer(const json& from, const char* field) {
  const std::int64_t value = config::integer(from, field);
  if (value < 0) throw BadInput(std::string(field) + ": is negative");
  return static_cast<std::uint64_t>(value);
}

std::string checksum_of(const std::string& text) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return out;
}

}  // namespace

const char* name_of(OrderKind kind) { return kOrderKindNames[static_cast<std::size_t>(kind)]; }
const char* name_of(Outcome outcome) { return kOutcomeNames[static_cast<std::size_t>(outcome)]; }
const char* name_of(OrderVerdict verdict) { return kOrderVerdictNames[static_cast<std::size_t>(verdict)]; }

std::optional<Outcome> parse_outcome(const std::string& name) {
  for (std::size_t i = 0; i < kOutcomeNames.size(); ++i) {
    if (name == kOutcomeNames[i]) return static_cast<Outcome>(i);
  }
  return std::nullopt;
}

bool is_version_name(const std::string& name) {
  return !name.empty() && name.size() <= 64 && name.front() != '.' &&
         name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") ==
             std::string::npos;
}

Order parse_order(const json& from) {
  if (!from.is_object()) throw BadInput("the order is not an object");
  Order out;
  out.epoch = unsigned_integer(from, "epoch");
  out.number = unsigned_integer(from, "number");
  const std::string& kind = config::text(from, "order");
  int index = 0;
  while (index < kOrderKinds && kind != kOrderKindNames[static_cast<std::size_t>(index)]) ++index;
  if (index == kOrderKinds) throw BadInput("order: not use, run, stop, confirm, take, drop or try: " + kind);
  out.kind = static_cast<OrderKind>(index);
  const bool has_version = out.kind == OrderKind::use || out.kind == OrderKind::take ||
                           out.kind == OrderKind::drop || out.kind == OrderKind::try_out;
  if (has_version) {
    out.version = config::text(from, "version");
    if (!is_version_name(out.version)) throw BadInput("version: not a version's name: " + out.version);
  }
  if (out.kind == OrderKind::take) {
    out.from = config::text(from, "from");
    if (out.from.empty() || out.from.front() != '/') throw BadInput("from: not an absolute path");
  }
  if (from.contains("if_in_force")) out.if_in_force = config::text(from, "if_in_force");
  out.not_after_ms = config::integer_or(from, "not_after_ms", 0);
  const std::int64_t trial = config::integer_or(from, "trial_ms", 0);
  if (trial < 0 || trial > kMaxTrialMs) throw BadInput("trial_ms: out of range");
  if (trial > 0 && out.kind != OrderKind::use) throw BadInput("trial_ms: only of the order use");
  out.trial = std::chrono::milliseconds(trial);
  return out;
}

json to_json(const Order& order) {
  json out = {{"epoch", order.epoch}, {"number", order.number}, {"order", name_of(order.kind)}};
  if (!order.version.empty()) out["version"] = order.version;
  if (!order.from.empty()) out["from"] = order.from;
  if (order.if_in_force) out["if_in_force"] = *order.if_in_force;
  if (order.not_after_ms != 0) out["not_after_ms"] = order.not_after_ms;
  if (order.trial > 0ms) out["trial_ms"] = order.trial / 1ms;
  return out;
}

std::string serialize(const KeeperState& state) {
  json body = {{"wanted", state.should_run},
               {"in_force", state.in_force},
               {"former", state.former},
               {"outcome", name_of(state.outcome)},
               {"why", state.why},
               {"since_ms", state.since_ms},
               {"starts", state.starts},
               {"ends", state.unplanned_exits},
               {"strikes", state.crash_score},
               {"gave_up", state.gave_up}};
  if (state.order) body["order"] = to_json(*state.order);
  const std::string text = body.dump();
  return json{{"format", kStateFormat}, {"checksum", checksum_of(text)}}.dump() + "\n" + text + "\n";
}

KeeperState parse_state(const std::string& text) {
  const std::size_t end = text.find('\n');
  if (end == std::string::npos || text.empty() || text.back() != '\n' || end + 1 >= text.size())
    throw BadInput("state file: truncated");
  const json header = config::parse(std::string_view(text).substr(0, end));
  if (!header.is_object()) throw BadInput("state file: the first line is not an object");
  if (const std::int64_t format = config::integer(header, "format"); format != kStateFormat)
    throw BadInput("state file: format " + std::to_string(format) + " is not this program's");
  const std::string body_text = text.substr(end + 1, text.size() - end - 2);
  if (config::text(header, "checksum") != checksum_of(body_text))
    throw BadInput("state file: checksum mismatch");
  const json body = config::parse(body_text);
  KeeperState out;
  out.should_run = body.at("wanted").get<bool>();
  out.in_force = config::text(body, "in_force");
  out.former = config::text(body, "former");
  if (body.contains("order")) out.order = parse_order(body["order"]);
  out.outcome = parse_outcome(config::text(body, "outcome")).value_or(Outcome::none);
  out.why = config::text(body, "why");
  out.since_ms = config::integer(body, "since_ms");
  out.starts = unsigned_integer(body, "starts");
  out.unplanned_exits = unsigned_integer(body, "ends");
  out.crash_score = config::number(body.at("strikes"), "strikes");
  out.gave_up = body.at("gave_up").get<bool>();
  return out;
}

OrderVerdict check_order(const Order& order, const KeeperState& state, Duration wall, bool has_version) {
  if (state.order) {
    const Order& last = *state.order;
    if (order.epoch < last.epoch) return OrderVerdict::old_epoch;
    if (order.epoch == last.epoch) {
      if (order.number < last.number) return OrderVerdict::late;
      // A repetition may state a new time limit.
      Order repetition = order;
      repetition.not_after_ms = last.not_after_ms;
      if (order.number == last.number)
        return repetition == last ? OrderVerdict::repeated : OrderVerdict::contradicts;
    }
  }
  if (order.not_after_ms != 0 && wall > std::chrono::milliseconds(order.not_after_ms))
    return OrderVerdict::late;
  if (order.if_in_force && *order.if_in_force != state.in_force) return OrderVerdict::other_version_in_force;
  if (order.kind == OrderKind::confirm)
    return state.outcome == Outcome::on_trial ? OrderVerdict::accepted : OrderVerdict::nothing_to_confirm;
  // A stop is accepted at any time. All other orders have to wait for the end of the one under way, and a
  // version on trial can only be confirmed or replaced.
  if (order.kind != OrderKind::stop &&
      (state.outcome == Outcome::under_way || state.outcome == Outcome::rolling_back))
    return OrderVerdict::busy;
  if (order.kind != OrderKind::stop && order.kind != OrderKind::use && state.outcome == Outcome::on_trial)
    return OrderVerdict::busy;
  if (order.kind == OrderKind::use && !has_version) return OrderVerdict::unknown_version;
  if ((order.kind == OrderKind::drop || order.kind == OrderKind::try_out) && !has_version)
    return OrderVerdict::unknown_version;
  if (order.kind == OrderKind::drop && (order.version == state.in_force || order.version == state.former))
    return OrderVerdict::busy;
  if (order.kind == OrderKind::run && state.in_force.empty()) return OrderVerdict::unknown_version;
  return OrderVerdict::accepted;
}

}  // namespace marbledyke::keeper
