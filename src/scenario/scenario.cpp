#include "scenario/scenario.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace marbledyke::scenario {

using namespace std::chrono_literals;

const char* name_of(FaultKind kind) {
  static constexpr const char* kNames[] = {
      "crash",     "vanish",        "slow",           "errors",        "pause",       "lose-in",
      "lose-out",  "drain",         "lie-up",         "lie-drain",     "partition",   "list-down",
      "stampede",  "kill-gatherer", "pause-gatherer", "swap-gatherer", "list-cut",    "path-lost",
      "path-slow", "path-reset",    "kill-keeper",    "pause-keeper",  "keeper-clock"};
  return kNames[static_cast<std::size_t>(kind)];
}

bool of_gatherers(FaultKind kind) { return kind >= FaultKind::kill_gatherer; }

std::vector<Objection> objections(const Scenario& s) {
  std::vector<Objection> out;
  const auto must = [&](bool holds, const char* element, int index, const char* reason) {
    if (!holds) out.push_back({element, index, reason});
  };
  must(s.settle < s.length, "scenario", -1, "settle is not shorter than length: nothing would be counted");
  must(s.fleet.cells <= s.fleet.servers, "fleet", -1,
       "more cells than servers: a shard would have no holder");
  must(s.fleet.zones <= s.fleet.servers, "fleet", -1, "more zones than servers");
  must(s.fleet.cold_from > 0 && s.fleet.cold_from <= 1, "fleet", -1, "cold-from is not above 0 and up to 1");
  must(!s.op_types.empty(), "scenario", -1, "no op type");
  double share = 0;
  for (std::size_t i = 0; i < s.op_types.size(); ++i) {
    const OpLoad& op = s.op_types[i];
    const int at = static_cast<int>(i);
    share += op.share;
    must(op.parts <= s.fleet.shards, "op-type", at, "more parts than shards");
    must(op.budget <= op.timeout, "op-type", at, "budget is longer than timeout");
    must(op.floor <= op.need, "op-type", at, "floor is above need");
    must(op.work > 0us, "op-type", at, "no work");
    for (std::size_t k = 0; k < i; ++k)
      must(s.op_types[k].name != op.name, "op-type", at, "there is an op type of that name already");
  }
  must(s.op_types.empty() || share > 0, "op-type", 0, "the shares add up to nothing");
  for (std::size_t i = 0; i < s.faults.size(); ++i) {
    const Fault& f = s.faults[i];
    const int at = static_cast<int>(i);
    must(f.from < f.until, "fault", at, "until is not after from");
    must(f.from < s.length, "fault", at, "begins after the end");
    must(f.zone < s.fleet.zones, "fault", at, "no such zone");
    must(f.cell < s.fleet.cells, "fault", at, "no such cell");
    must(f.first < (of_gatherers(f.kind) ? s.gatherers.count : s.fleet.servers), "fault", at,
         "first is beyond the last");
    must(f.kind != FaultKind::partition || f.zone >= 0, "fault", at, "a partition needs its zone");
    const bool keepers = f.kind == FaultKind::swap_gatherer || f.kind == FaultKind::kill_keeper ||
                         f.kind == FaultKind::pause_keeper || f.kind == FaultKind::keeper_clock;
    must(!keepers || s.gatherers.kept, "fault", at, "gatherers are not kept: there is no keeper");
    must(f.kind != FaultKind::keeper_clock || f.strength > 0, "fault", at, "the clock's rate is not above 0");
    must(f.kind != FaultKind::path_slow || f.strength <= 100, "fault", at, "a path is slower than 100 ms");
    must(f.kind != FaultKind::slow || f.strength >= 1, "fault", at, "strength of slow is under 1");
    must((f.kind != FaultKind::errors && f.kind != FaultKind::lose_in && f.kind != FaultKind::lose_out) ||
             f.strength <= 1,
         "fault", at, "strength is a share above 1");
  }
  return out;
}

double capacity(const Scenario& s) {
  double share = 0, work = 0;
  for (const OpLoad& op : s.op_types) {
    share += op.share;
    // Each part alone in its call: parts of one multiget meet few at one server.
    work += op.share * op.parts * static_cast<double>((op.work + s.fleet.overhead).count()) / 1e6;
  }
  return s.fleet.servers * s.fleet.cores / std::max(work / std::max(share, 1e-9), 1e-9);
}

std::vector<int> targets(const Scenario& s, const Fault& fault, std::mt19937& chance) {
  const bool gatherers = of_gatherers(fault.kind);
  std::vector<int> out;
  for (int k = 0; k < (gatherers ? s.gatherers.count : s.fleet.servers); ++k) {
    if (gatherers || ((fault.zone < 0 || zone_of(s.fleet, k) == fault.zone) &&
                      (fault.cell < 0 || cell_of(s.fleet, k) == fault.cell)))
      out.push_back(k);
  }
  const auto count =
      static_cast<std::size_t>(std::ceil(fault.share * static_cast<double>(out.size()) - 1e-9));
  if (fault.first >= 0) {
    std::erase_if(out, [&](int k) { return k < fault.first; });
  } else {
    std::shuffle(out.begin(), out.end(), chance);
  }
  out.resize(std::min(out.size(), count));
  return out;
}

double drawn_work(const OpLoad& op, std::uint32_t seed, std::uint64_t multiget, std::size_t part) {
  const double mean = std::chrono::duration<double>(op.work).count();
  if (op.shape == Shape::constant) return mean;
  // Mixed (splitmix64), since a plain generator turns neighbouring seeds into neighbouring draws: queues
  // were a third shorter than the formulas have them.
  std::uint64_t x = (multiget << 12) + part + 0x9e3779b97f4a7c15ULL * (seed + 1ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  std::minstd_rand own(static_cast<std::uint32_t>((x ^ (x >> 31)) % 2147483646 + 1));
  if (op.shape == Shape::exponential) return std::exponential_distribution<double>(1 / mean)(own);
  return std::lognormal_distribution<double>(std::log(mean) - op.sigma * op.sigma / 2, op.sigma)(own);
}

FlatSettings terms_of(const Scenario& s, int zone) {
  FlatSettings out;
  const auto micros = [](Duration span) { return static_cast<double>(span.count()); };
  for (std::size_t i = 0; i < s.op_types.size(); ++i) {
    const OpLoad& op = s.op_types[i];
    const std::string at = "categories." + std::to_string(i) + ".";
    const std::string place = "." + std::to_string(i);
    out[at + "name"] = op.name;
    out[at + "objective"] = micros(op.budget);
    out[at + "deadline"] = micros(op.timeout);
    out[at + "effect"] = std::string(op.effect == Effect::retriable ? "repeatable"
                                     : op.effect == Effect::deduped ? "by_key"
                                                                    : "once");
    out[at + "key-ttl"] = micros(op.dedupe_window);
    out[at + "worth"] = op.importance;
    out[at + "late-share"] = 0.0;
    out["specifics.class-floor" + place] = op.floor;
    out["specifics.complete-from" + place] = op.need;
    out["specifics.short-worth" + place] = op.floor < op.need ? 0.5 : 0.0;
    out["specifics.second-step" + place] = 0.0;
  }
  out["specifics.overhead"] = micros(s.fleet.overhead);
  out["specifics.bundle-max"] = 16.0;
  out["specifics.sets"] = static_cast<double>(s.fleet.cells);
  out["specifics.width"] = 1.0;
  out["specifics.slabs"] = static_cast<double>(s.fleet.shards);
  out["limits.attempts-cap"] = static_cast<double>(s.gatherers.most_sends);
  out["limits.cancel"] = true;
  out["limits.second-copies"] = s.gatherers.copies;
  out["limits.max-open"] = static_cast<double>(s.gatherers.room);
  out["limits.retry-after"] = true;
  out["limits.max-retry-after"] = 1e6;
  out["limits.connect-timeout"] = micros(s.network.connect_timeout);
  out["limits.conn-idle"] = 15e6;
  out["limits.streams-per-conn"] = 100.0;
  out["limits.probing"] = true;
  out["contract.cold"] = micros(s.fleet.cold);
  out["contract.cold-from"] = s.fleet.cold_from;
  out["contract.fall-multiple"] = s.fleet.fall_multiple;
  out["contract.overload-for"] = micros(s.fleet.overload_for);
  out["contract.drain-grace"] = micros(s.list.drain_grace);
  out["contract.ask-every"] = 10e6;
  out["contract.resend-span"] = micros(s.gatherers.further_window);
  out["contract.extra-floor"] = s.gatherers.further_floor;
  out["contract.extra-per-request"] = s.gatherers.further_share;
  out["prices.cross-zone"] = 0.01;
  out["prices.waste"] = 0.15;
  out["prices.probe"] = 0.01;
  out["prices.handshake"] = 0.01;
  out["telemetry.fields.0"] = std::string("active");
  out["telemetry.fields.1"] = std::string("waiting");
  out["telemetry.how"] = std::string("on_probe");
  out["registry-mode"] = std::string("ask");
  out["replicas-of-me"] = static_cast<double>(s.gatherers.count);
  out["tick"] = 5000.0;
  out["zone"] = static_cast<double>(zone);
  for (int i = 0; i < s.fleet.zones; ++i) out["zones." + std::to_string(i)] = "z" + std::to_string(i);
  return out;
}

}  // namespace marbledyke::scenario
