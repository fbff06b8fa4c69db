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

constexpr std::array<const char*, kKinds> kKindNames{"use", "run", "stop", "confirm", "take", "drop", "try"};
constexpr std::array<const char*, kOutcomes> kOutcomeNames{"none", "under_way", "on_trial", "returning",
                                                           "done", "refused",   "back",     "held"};
constexpr std::array<const char*, kVerdicts> kVerdictNames{
    "taken",           "old_epoch",          "late",    "repeated", "contradicts", "other", "busy",
    "unknown_version", "nothing_to_confirm", "not_kept"};
constexpr int kFormat = 1;
constexpr std::int64_t kLongestTrialMs = 7 * 24 * 3600 * 1000LL;

std::uint64_t natural(const json& from, const char* field) {
  const std::int64_t value = config::whole(from, field);
  if (value < 0) throw BadInput(std::string(field) + ": is negative");
  return static_cast<std::uint64_t>(value);
}

std::string checksum(const std::string& text) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return out;
}

}  // namespace

const char* name_of(Kind kind) { return kKindNames[static_cast<std::size_t>(kind)]; }
const char* name_of(Outcome outcome) { return kOutcomeNames[static_cast<std::size_t>(outcome)]; }
const char* name_of(Verdict verdict) { return kVerdictNames[static_cast<std::size_t>(verdict)]; }

std::optional<Outcome> outcome_named(const std::string& name) {
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

Order read_order(const json& from) {
  if (!from.is_object()) throw BadInput("the order is not an object");
  Order out;
  out.epoch = natural(from, "epoch");
  out.number = natural(from, "number");
  const std::string& kind = config::text(from, "order");
  int place = 0;
  while (place < kKinds && kind != kKindNames[static_cast<std::size_t>(place)]) ++place;
  if (place == kKinds) throw BadInput("order: not use, run, stop, confirm, take, drop or try: " + kind);
  out.kind = static_cast<Kind>(place);
  const bool names =
      out.kind == Kind::use || out.kind == Kind::take || out.kind == Kind::drop || out.kind == Kind::try_out;
  if (names) {
    out.version = config::text(from, "version");
    if (!is_version_name(out.version)) throw BadInput("version: not a version's name: " + out.version);
  }
  if (out.kind == Kind::take) {
    out.from = config::text(from, "from");
    if (out.from.empty() || out.from.front() != '/') throw BadInput("from: not an absolute path");
  }
  if (from.contains("if_in_force")) out.if_in_force = config::text(from, "if_in_force");
  out.not_after_ms = config::whole_or(from, "not_after_ms", 0);
  const std::int64_t trial = config::whole_or(from, "trial_ms", 0);
  if (trial < 0 || trial > kLongestTrialMs) throw BadInput("trial_ms: out of range");
  if (trial > 0 && out.kind != Kind::use) throw BadInput("trial_ms: only of the order use");
  out.trial = std::chrono::milliseconds(trial);
  return out;
}

json put(const Order& order) {
  json out = {{"epoch", order.epoch}, {"number", order.number}, {"order", name_of(order.kind)}};
  if (!order.version.empty()) out["version"] = order.version;
  if (!order.from.empty()) out["from"] = order.from;
  if (order.if_in_force) out["if_in_force"] = *order.if_in_force;
  if (order.not_after_ms != 0) out["not_after_ms"] = order.not_after_ms;
  if (order.trial > 0ms) out["trial_ms"] = order.trial / 1ms;
  return out;
}

std::string put(const Kept& kept) {
  json body = {{"wanted", kept.wanted},   {"in_force", kept.in_force},
               {"former", kept.former},   {"outcome", name_of(kept.outcome)},
               {"why", kept.why},         {"since_ms", kept.since_ms},
               {"starts", kept.starts},   {"ends", kept.ends},
               {"strikes", kept.strikes}, {"gave_up", kept.gave_up}};
  if (kept.order) body["order"] = put(*kept.order);
  const std::string text = body.dump();
  return json{{"format", kFormat}, {"checksum", checksum(text)}}.dump() + "\n" + text + "\n";
}

Kept read_kept(const std::string& text) {
  const std::size_t end = text.find('\n');
  if (end == std::string::npos || text.empty() || text.back() != '\n' || end + 1 >= text.size())
    throw BadInput("kept state: is torn");
  const json head = config::parse(std::string_view(text).substr(0, end));
  if (!head.is_object()) throw BadInput("kept state: has no head");
  if (const std::int64_t format = config::whole(head, "format"); format != kFormat)
    throw BadInput("kept state: format " + std::to_string(format) + " is not this program's");
  const std::string body_text = text.substr(end + 1, text.size() - end - 2);
  if (config::text(head, "checksum") != checksum(body_text)) throw BadInput("kept state: is damaged");
  const json body = config::parse(body_text);
  Kept out;
  out.wanted = body.at("wanted").get<bool>();
  out.in_force = config::text(body, "in_force");
  out.former = config::text(body, "former");
  if (body.contains("order")) out.order = read_order(body["order"]);
  out.outcome = outcome_named(config::text(body, "outcome")).value_or(Outcome::none);
  out.why = config::text(body, "why");
  out.since_ms = config::whole(body, "since_ms");
  out.starts = natural(body, "starts");
  out.ends = natural(body, "ends");
  out.strikes = config::number(body.at("strikes"), "strikes");
  out.gave_up = body.at("gave_up").get<bool>();
  return out;
}

Verdict judge(const Order& order, const Kept& kept, Duration wall, bool has_version) {
  if (kept.order) {
    const Order& last = *kept.order;
    if (order.epoch < last.epoch) return Verdict::old_epoch;
    if (order.epoch == last.epoch) {
      if (order.number < last.number) return Verdict::late;
      // What it must not be later than may be said anew with each repetition.
      Order same = order;
      same.not_after_ms = last.not_after_ms;
      if (order.number == last.number) return same == last ? Verdict::repeated : Verdict::contradicts;
    }
  }
  if (order.not_after_ms != 0 && wall > std::chrono::milliseconds(order.not_after_ms)) return Verdict::late;
  if (order.if_in_force && *order.if_in_force != kept.in_force) return Verdict::other;
  if (order.kind == Kind::confirm)
    return kept.outcome == Outcome::on_trial ? Verdict::taken : Verdict::nothing_to_confirm;
  // A stop is never too early; all else waits for the end of what is under way, and what is on trial may only
  // be confirmed or replaced.
  if (order.kind != Kind::stop && (kept.outcome == Outcome::under_way || kept.outcome == Outcome::returning))
    return Verdict::busy;
  if (order.kind != Kind::stop && order.kind != Kind::use && kept.outcome == Outcome::on_trial)
    return Verdict::busy;
  if (order.kind == Kind::use && !has_version) return Verdict::unknown_version;
  if ((order.kind == Kind::drop || order.kind == Kind::try_out) && !has_version)
    return Verdict::unknown_version;
  if (order.kind == Kind::drop && (order.version == kept.in_force || order.version == kept.former))
    return Verdict::busy;
  if (order.kind == Kind::run && kept.in_force.empty()) return Verdict::unknown_version;
  return Verdict::taken;
}

}  // namespace marbledyke::keeper
