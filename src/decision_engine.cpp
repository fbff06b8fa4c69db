// The decision engine: every decision of a gatherer. A host (src/gatherer/ on sockets, src/wirehost/ on the
// simulator's wire) makes one DecisionEngine for each instance from the operators' settings and a seed,
// reports in each turn what has happened, and then pulls the decisions. The ordinary path follows
// docs/design.md: plan_sends() and choose_replica(). Beside it there are these mechanisms, at most six:
//   1. success estimates  a posterior of success for each replica; a sample from it decides whether a replica
//                         with failures gets work
//   2. slowdown           how slowly each replica answers for its load, and how overdue its oldest send is
//   3. resends            retries after failures and hedges of overdue parts, within a budget
//   4. warm-up            limits what a cold replica is sent to this gatherer's fair share of a budget for a
//                         window
//   5. admission          pushes back at once what cannot be finished in time, least important first
//   6. probes             asks replicas for their load before parts are placed, as far as that pays
// The numbers of rules in comments are those of src/checker/.
#include "decision_engine.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

#include "model/numeric.h"
#include "model/settings_reader.h"
#include "model/sliding_window_counter.h"
#include "model/slot_map.h"
#include "model/state.h"

namespace marbledyke {
namespace {

using namespace std::chrono_literals;

constexpr double kWeightTolerance = 1e-5;  // for rounding in sums of weights

// Choice among the replicas of a part, from the design.
constexpr double kPreferenceMargin = 1.05;  // the preferred replica keeps a part within 5% of the least load
constexpr double kTieExtraShare = 0.2;  // on ties, a replica takes a fifth of a shard's parts above its share
constexpr Duration kRecentCostDecay = 1s;  // of the cost recently sent to a replica
constexpr Duration kPartCountDecay = 10s;  // of counts of recent parts and multigets
constexpr Duration kWarmFlowDecay = 5s;    // of the cost sent to warm replicas
constexpr double kNewCallLoadFactor = 3;   // weight of a new call's overhead as load
constexpr double kCrossZoneFactor = 4;  // weight of the price of crossing zones against that of wasted work
constexpr double kReplicaParallelism = 2;  // parts that a replica is assumed to work on at once

// Success estimates. The caps keep a long good record from delaying doubt, and a long bad one from delaying
// recovery.
constexpr double kMaxSuccesses = 5;
constexpr double kMaxFailures = 8;
constexpr double kPriorSuccesses = 2;
constexpr Duration kReplicaResultDecay = 6s;
constexpr Duration kOpTypeResultDecay = 20s;  // longer, as results for a single op type are rarer

// Slowdown and resends.
constexpr Duration kReviewInterval = 10ms;     // how often the open multigets are reviewed
constexpr double kHedgeOverdueFactor = 4;      // multiple of its expectation at which a send is hedged
constexpr double kMoveOverdueFactor = 6;       // multiple at which it is moved where hedging is not allowed
constexpr double kMoveUnresponsiveFactor = 3;  // the same if the replica does not answer a probe either
constexpr Duration kMinUnansweredProbeTime = 100ms;  // after which a probe counts as not answered
// Multiple of the mean probe time that has the same effect; also the load, as a multiple of its age, that an
// unanswered probe stands for.
constexpr double kUnansweredProbeFactor = 20;
constexpr Duration kRetryRoundPause = 100ms;       // per earlier send, before a part tries its replicas again
constexpr double kSlowdownGain = 0.2;              // weight of the newest answer in a replica's slowdown
constexpr Duration kSlowdownDecay = 10s;           // of a replica's slowdown towards the fleet's
constexpr double kDefaultHedgesPerRequest = 0.25;  // per multiget or part received, where no budget is stated
constexpr double kDefaultHedgeFloor = 10;          // in addition to these

// Admission.
constexpr double kCongestedBudgetFill = 0.5;  // usable fraction of the latency budget while congested
constexpr double kCalmBudgetFill = 1.3;       // and while calm, when a few slow replicas make estimates long
constexpr double kCalmWaitRatio = 2;          // calm while answers take up to this multiple of their own work
constexpr double kCongestedWaitRatio = 4;     // fully congested from this multiple
constexpr double kFleetLoadGain = 0.02;       // weight of the newest answer in the fleet's wait and load
constexpr double kAverageGain = 0.05;         // weight of the newest value in the other moving averages
constexpr double kMissRateGain = 0.1;         // weight of the newest multiget in the miss rate

// Probes.
constexpr Duration kReportedLoadDecay = 1s;  // of a reported load towards the fleet's
constexpr Duration kMaxReportAge = 500ms;    // a replica with an older load report is probed
constexpr Duration kProbeWait = 40ms;        // how long a multiget waits for the probes of its replicas

// Cold replicas.
constexpr double kColdShareOverbooking = 4;  // one of so many gatherers uses its share of a cold replica
constexpr double kMaxSavedColdSends = 2;     // cap of saved share: the next send and one after

}  // namespace

struct DecisionEngine::Impl {
  Impl(const FlatSettings& new_settings, std::uint32_t seed)
      : settings(new_settings),
        rng(seed),
        multigets(static_cast<std::size_t>(settings.at_least("limits.max-open", 1000, 1))),
        parts(static_cast<std::size_t>(settings.at_least("limits.max-open", 1000, 1))) {
    read_settings();
    const auto max_open = static_cast<std::size_t>(settings.number("limits.max-open", 1000));
    for (auto* list :
         {&open_multigets, &pending_parts, &releasable_multigets, &pending_probes, &touched_replicas})
      list->reserve(max_open * 2);
    planned_sends.reserve(max_open * 2);
    part_estimates.reserve(max_open);
    cancellations.reserve(max_open * 2);
  }

  // Reads all settings. Throws std::invalid_argument if one is invalid.
  void read_settings() {
    read_op_types();
    call_overhead = settings.at_least("specifics.overhead", 0, 0);
    max_parts_per_call = static_cast<int>(settings.at_least("specifics.bundle-max", 1, 1));
    cells = static_cast<int>(settings.at_least("specifics.sets", 1, 1));
    width = static_cast<int>(settings.at_least("specifics.width", 1, 1));
    shards = static_cast<int>(settings.at_least("specifics.slabs", 1, 1));
    max_sends_per_part =
        static_cast<int>(std::min(settings.at_least("limits.attempts-cap", 1, 1), double{kMaxSendsPerPart}));
    zone = static_cast<int>(settings.number("zone", 0));
    // Expressed as the fraction of a part's work whose waste would cost the same.
    cross_zone_weight = kCrossZoneFactor * settings.at_least("prices.cross-zone", 0, 0) /
                        std::max(settings.at_least("prices.waste", 0, 0), 0.05);
    gatherer_count = settings.at_least("replicas-of-me", 1, 1);
    tick = settings.duration("tick", 5ms);
    customers.clear();
    total_allowance_per_s = 0;
    for (int i = 0; settings.has("customers." + std::to_string(i) + ".name"); ++i) {
      const std::string name = "customers." + std::to_string(i) + ".allowance-per-s";
      const double allowance = settings.at_least(name, 0, 0) / gatherer_count;
      customers.push_back({allowance, allowance, {}});
      total_allowance_per_s += allowance;
    }
    probing_allowed = settings.flag("limits.probing", false);
    connect_timeout = settings.duration("limits.connect-timeout", 0s);
    warm_up_time = settings.duration("contract.cold", 0s);
    initial_warmth = settings.share("contract.cold-from", 1);
    overload_window = settings.duration("contract.overload-for", 1s);
    overload_multiple = settings.at_least("contract.fall-multiple", 1, 0);
    hedging_allowed = settings.flag("limits.second-copies", false);
    cancellation_allowed = settings.flag("limits.cancel", false);
    resend_budget_stated = settings.has("contract.resend-span");
    resend_floor =
        resend_budget_stated ? settings.at_least("contract.extra-floor", 0, 0) : kDefaultHedgeFloor;
    resends_per_request = resend_budget_stated ? settings.at_least("contract.extra-per-request", 0, 0)
                                               : kDefaultHedgesPerRequest;
    value_by_work = settings.text("value-by", "request") == "work";
    probe_price =
        settings.at_least("prices.probe", 0, 0) + settings.at_least("prices.handshake", 0, 0) + 1e-4;
    bool has_active_field = false;
    for (std::size_t i = 0; i < parts_per_reported_unit.size(); ++i) {
      const std::string field = settings.text("telemetry.fields." + std::to_string(i), "");
      has_active_field |= field == "active";
      parts_per_reported_unit[i] = field == "active" || field == "waiting" ? 1
                                   : field == "cpu" && !has_active_field   ? kReplicaParallelism
                                                                           : 0;
    }
    const Duration window = settings.duration("contract.resend-span", 10s);
    received_requests.set_window(window, now, 0);
    for (SlidingWindowCounter* counter : {&resends, &hedges})
      counter->set_window(window, now, counter->upper_bound(now));
    up_replicas_by_cell.resize(static_cast<std::size_t>(cells));
    part_count_by_cell.resize(std::max(part_count_by_cell.size(), up_replicas_by_cell.size()));
  }

  // Replaces the settings of a running gatherer. Open multigets end under the op type and the shard layout
  // that they arrived with. What was learned stays, and earlier sends go on counting against the budgets.
  void update_settings(const FlatSettings& new_settings) {
    const std::vector<OpType> before = std::exchange(op_types, {});
    std::vector<int> kept(before.size(), -1);
    settings = SettingsReader(new_settings);
    read_settings();
    for (OpType& op : op_types) {
      for (const OpType& old : before) {
        if (old.name == op.name)
          std::tie(op.typical_part_cost, op.duration_ratio) =
              std::tie(old.typical_part_cost, old.duration_ratio);
      }
    }
    for (const int m : open_multigets) {
      int& new_index = kept[static_cast<std::size_t>(multigets.at(m).op_type)];
      if (new_index < 0) {
        new_index = static_cast<int>(op_types.size());
        op_types.push_back(before[static_cast<std::size_t>(multigets.at(m).op_type)]);
      }
      multigets.at(m).op_type = new_index;
      up_replicas_by_cell.resize(
          std::max(up_replicas_by_cell.size(), static_cast<std::size_t>(multigets.at(m).cells)));
      for (int p = multigets.at(m).first_part; p >= 0 && !hedging_allowed; p = parts.at(p).next_part) {
        if (parts.at(p).sends_in_flight() > 1) cancel_sends(p, parts.at(p).send_count - 1);
      }
    }
    for (Replica& r : replicas)
      r.success_by_op_type.assign(op_types.size(), SuccessEstimate{kPriorSuccesses, 0, now, 1, {}});
    part_counts.assign(replicas.size() * static_cast<std::size_t>(shards), 0.0);
    group_by_cell();
  }

  void read_op_types() {
    op_types.clear();
    for (int i = 0;; ++i) {
      const std::string prefix = "categories." + std::to_string(i) + ".";
      const std::string suffix = "." + std::to_string(i);
      if (!settings.has(prefix + "deadline")) break;
      OpType op;
      op.name = settings.text(prefix + "name", "");
      const std::string effect = settings.text(prefix + "effect", "once");
      if (effect != "repeatable" && effect != "by_key" && effect != "once")
        SettingsReader::reject(prefix + "effect", "unknown");
      op.retry_class = effect == "repeatable" ? RetryClass::retriable
                       : effect == "by_key"   ? RetryClass::deduped
                                              : RetryClass::non_retriable;
      op.route_timeout = settings.duration(prefix + "deadline", 0s);
      if (op.route_timeout <= 0s) SettingsReader::reject(prefix + "deadline", "must be above 0");
      op.latency_budget =
          std::min(settings.duration(prefix + "objective", op.route_timeout), op.route_timeout);
      op.dedupe_window = settings.duration(prefix + "key-ttl", 0s);
      op.importance = settings.at_least(prefix + "worth", 1, 0);
      op.late_share = settings.share(prefix + "late-share", 0);
      op.min_weight = settings.share("specifics.class-floor" + suffix, 1);
      op.complete_weight = settings.share("specifics.complete-from" + suffix, 1);
      op.partial_value = settings.share("specifics.short-worth" + suffix, 0);
      op.second_step_parts = static_cast<int>(settings.at_least("specifics.second-step" + suffix, 0, 0));
      op.typical_part_cost = std::max(2 * settings.at_least("specifics.overhead", 0, 0), 20'000.0);
      op_types.push_back(op);
    }
    if (op_types.empty()) SettingsReader::reject("categories", "there is no op type");
    current_op_types = static_cast<int>(op_types.size());
  }

  Replica& replica_at(int i) { return replicas[static_cast<std::size_t>(i)]; }
  OpType& op_type_of(const Multiget& mg) { return op_types[static_cast<std::size_t>(mg.op_type)]; }
  const OpType& op_type_of(const Multiget& mg) const {
    return op_types[static_cast<std::size_t>(mg.op_type)];
  }

  // ---- events ----

  void advance_clock(Duration t) {
    reply_cursor = 0;
    now = t;
    sends_planned = false;
    if (scheduled_wake && *scheduled_wake <= now) scheduled_wake.reset();
  }

  Replica* find_replica(std::string_view server) {
    const auto at = replica_by_server.find(server);
    return at == replica_by_server.end() ? nullptr : &replicas[static_cast<std::size_t>(at->second)];
  }

  void on_list_begin(bool whole, bool remembered) {
    list_is_remembered = remembered;
    for (Replica& r : replicas) r.listed = !whole;
  }

  void on_list_entry(const ListEntry& entry) {
    Replica* r = find_replica(entry.server);
    if (r == nullptr) {
      if (free_replica_slots.empty()) free_replica_slots.push_back(static_cast<int>(replicas.size()));
      if (free_replica_slots.back() == static_cast<int>(replicas.size())) replicas.emplace_back();
      replica_by_server.emplace(entry.server, free_replica_slots.back());
      r = &(replica_at(free_replica_slots.back()) = Replica{});
      free_replica_slots.pop_back();
      r->server = entry.server;
      r->hash = hash_string(entry.server);
      r->decayed_at = now;
      reset_learned_state(*r);
    } else if (entry.started != r->started && entry.started) {
      reset_learned_state(*r);  // restarted: what was learned is about the old process
    }
    r->zone = entry.zone;
    r->cell = std::max(entry.cell, 0);
    r->status = entry.status;
    r->started = entry.started;
    r->listed = true;
  }

  void on_list_complete() {
    for (Replica& r : replicas) {
      if (!r.listed) r.status = ServerStatus::gone;  // it has no entry in a whole list
    }
    part_counts.resize(replicas.size() * static_cast<std::size_t>(shards), 0.0);
    release_departed_replicas();
    warm_replicas_counted_at = Duration::min() / 2;
    group_by_cell();
    candidates.reserve(replicas.size());
    if (!list_is_remembered) {
      watching_list = true;
      list_call_sent_at.reset();
      consecutive_refusals = 0;
    }
  }

  void group_by_cell() {
    for (auto& cell : up_replicas_by_cell) cell.clear();
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      const auto cell = static_cast<std::size_t>(replicas[i].cell);
      if (replicas[i].status == ServerStatus::up && cell < up_replicas_by_cell.size())
        up_replicas_by_cell[cell].push_back(static_cast<int>(i));
    }
  }

  // Frees the slots of replicas that are gone; where servers come under ever new ids, they would fill the
  // memory otherwise. A slot is reused once no open part was sent to its replica, no probe is in flight, and
  // sends while it was cold would no longer count if it came back.
  void release_departed_replicas() {
    for (Replica& r : replicas)
      r.retained = r.status != ServerStatus::gone || r.probe_sent_at || now - r.decayed_at < warm_up_time;
    for (const int m : open_multigets)
      for (int p = multigets.at(m).first_part; p >= 0; p = parts.at(p).next_part)
        for (int i = 0; i < parts.at(p).send_count; ++i)
          replica_at(parts.at(p).send(i).replica).retained = true;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      if (replicas[i].retained || replica_by_server.erase(std::exchange(replicas[i].server, "")) == 0)
        continue;
      free_replica_slots.push_back(static_cast<int>(i));
      for (int shard = 0; shard < shards; ++shard) recent_part_count(shard, static_cast<int>(i)) = 0;
    }
  }

  void on_list_call_refused(Duration max_backoff) {
    watching_list = false;
    list_call_sent_at.reset();
    // Jitter keeps gatherers that were refused together from retrying together.
    const double wait = std::min(0.25 * std::pow(2.0, consecutive_refusals), 4.0);
    consecutive_refusals = std::min(consecutive_refusals + 1, 4);
    const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(rng);
    next_list_call_at =
        now + std::min(from_micros(1e6 * wait * spread), from_micros(to_micros(max_backoff) * spread / 1.5));
    log_message = "list call refused";
  }

  void on_multiget_received(const MultigetRequest& request) {
    if (multigets.find(request.id) >= 0) return;
    const int slot = multigets.insert(request.id);
    Multiget& mg = multigets.at(slot);
    mg.number = request.number;
    mg.op_type = std::clamp(request.op_type, 0, current_op_types - 1);
    mg.cells = cells;
    mg.width = width;
    mg.received_at = now;
    mg.reply_deadline = request.client_deadline - kReviewInterval - 2 * tick;
    mg.parts_to_receive = request.part_count;
    mg.importance = op_type_of(mg).importance * importance_factor(request.customer, request.is_retry);
    open_multigets.push_back(slot);
    received_requests.add(now);
  }

  // Returns the factor for the importance of a customer's next multiget: 1 within the customer's allowance at
  // this gatherer, and the configured share beyond it.
  double importance_factor(int customer, bool is_retry) {
    recent_multiget_count =
        recent_multiget_count * exponential_decay(now - multiget_counted_at, kPartCountDecay) +
        (is_retry ? 0 : 1);
    multiget_counted_at = now;
    if (customer < 0 || customer >= static_cast<int>(customers.size())) return 1;
    Customer& c = customers[static_cast<std::size_t>(customer)];
    if (c.allowance_per_s <= 0) return 1;
    // A gatherer with more than an even share of the traffic gets as much more of each customer's allowance.
    const double traffic_factor =
        std::max(recent_multiget_count / to_seconds(kPartCountDecay) / total_allowance_per_s, 1.0);
    c.tokens = std::min(c.tokens + traffic_factor * c.allowance_per_s * to_seconds(now - c.refilled_at),
                        std::max(3.0, 3 * traffic_factor * c.allowance_per_s));
    c.refilled_at = now;
    if (c.tokens < 1) return settings.share("over-share-worth", 1);
    c.tokens -= 1;
    return 1;
  }

  void on_part_received(const PartRequest& request) {
    received_requests.add(now);
    if (parts.find(request.id) >= 0) return;
    for (auto at = open_multigets.rbegin(); at != open_multigets.rend(); ++at) {
      Multiget& mg = multigets.at(*at);
      if (mg.closed || mg.number != request.multiget_number) continue;
      const OpType& op = op_type_of(mg);
      const int slot = parts.insert(request.id);
      Part& part = parts.at(slot);
      for (int j = 0; j < std::min(mg.width, mg.cells); ++j)
        part_count_by_cell[static_cast<std::size_t>((request.shard + j) % mg.cells)].add(now,
                                                                                         kPartCountDecay);
      total_part_count.add(now, kPartCountDecay);
      part.multiget = *at;
      part.next_part = mg.first_part;
      part.shard = request.shard;
      part.step = mg.step;
      part.weight = request.weight;
      part.key = request.key;
      part.cost = request.cost_hint > Duration::zero() ? to_micros(request.cost_hint) : op.typical_part_cost;
      part.arrival_order = next_arrival_order++;
      mg.first_part = slot;
      mg.parts_to_receive = std::max(0, mg.parts_to_receive - 1);
      if (mg.admitted) enqueue_part(slot);
      return;
    }
  }

  void enqueue_part(int slot) {
    if (parts.at(slot).pending) return;
    parts.at(slot).pending = true;
    pending_parts.push_back(slot);
  }

  // Updates the load that other gatherers put on a replica, from its report and from how long the answer to a
  // probe took.
  void update_reported_load(Replica& r, const LoadReport& report, Duration waited) {
    decay_to_now(r);
    double held = 0;
    for (std::size_t i = 0; i < parts_per_reported_unit.size(); ++i)
      held += parts_per_reported_unit[i] * report.values[i];
    if (report.count > 0) fleet_parts_held += kAverageGain * (held - fleet_parts_held);
    r.others_load =
        std::max(held * mean_send_cost - r.in_flight_cost, kReplicaParallelism * to_micros(waited));
    fleet_others_load += kFleetLoadGain * (r.others_load - fleet_others_load);
    r.load_reported_at = now;
  }

  void on_probe_ended(std::string_view server, SendOutcome outcome, Duration elapsed,
                      const LoadReport& report) {
    Replica* r = find_replica(server);
    if (r == nullptr) return;
    r->probe_sent_at.reset();
    last_probe_end = now;
    if (outcome == SendOutcome::returned) {
      mean_probe_micros += kAverageGain * (to_micros(elapsed) - mean_probe_micros);
      update_reported_load(*r, report, elapsed);
    } else {
      record_result(r->success, 0, 2, kReplicaResultDecay);
      miss_rate += kMissRateGain / 10 * (1 - miss_rate);
    }
  }

  void reset_learned_state(Replica& r) {
    r.slowdown = fleet_slowdown;
    r.success = SuccessEstimate{kPriorSuccesses, 0, now, 1, {}};
    r.success_by_op_type.assign(op_types.size(), r.success);
  }

  void record_result(SuccessEstimate& estimate, double successes, double failures, Duration memory) {
    const double decay = exponential_decay(now - estimate.updated_at, memory);
    estimate.successes =
        std::min(kPriorSuccesses + (estimate.successes - kPriorSuccesses) * decay + successes, kMaxSuccesses);
    estimate.failures = std::min(estimate.failures * decay + failures, kMaxFailures);
    estimate.updated_at = now;
  }

  // Records results of one op type. A replica that fails only one op type looks healthy overall, so each op
  // type has an estimate of its own beside the common one. That guards against lost answers, errors and
  // push-backs that affect one kind of work. The drawback: where an op type is rare, a chance failure keeps a
  // healthy replica out for long.
  void record_result(Replica& r, int op_type, double successes, double failures) {
    record_result(r.success, successes, failures, kReplicaResultDecay);
    if (failures >= 1) miss_rate += kMissRateGain / 10 * (1 - miss_rate);
    record_result(r.success_by_op_type[static_cast<std::size_t>(op_type)], successes, failures,
                  kOpTypeResultDecay);
  }

  // Decays the measurements of a replica to the current time.
  void decay_to_now(Replica& r) {
    const Duration age = now - r.decayed_at;
    if (age <= Duration::zero()) return;
    r.recent_cost *= exponential_decay(age, kRecentCostDecay);
    r.others_load =
        fleet_others_load + (r.others_load - fleet_others_load) * exponential_decay(age, kReportedLoadDecay);
    // A replica that is avoided as slow produces no new measurements; without the decay it would be avoided
    // for good.
    r.slowdown =
        fleet_slowdown * std::pow(r.slowdown / fleet_slowdown, exponential_decay(age, kSlowdownDecay));
    r.decayed_at = now;
  }

  void update_slowdown(Replica& r, double ratio) {
    r.slowdown *= std::pow(std::clamp(ratio / r.slowdown, 0.1, 10.0), kSlowdownGain);
    r.slowdown = std::clamp(r.slowdown, 0.2, 50.0);
    fleet_slowdown *= std::pow(std::clamp(ratio / fleet_slowdown, 0.1, 10.0), kSlowdownGain / 10);
  }

  void on_send_ended(const RequestId& id, int send, SendOutcome outcome, Duration elapsed,
                     const LoadReport& report) {
    const int slot = parts.find(id);
    if (slot < 0) return;
    Part& part = parts.at(slot);
    if (send < 0 || send >= part.send_count) return;
    SendRecord& s = part.send(send);
    if (!s.in_flight) return;
    s.in_flight = false;
    Multiget& mg = multigets.at(part.multiget);
    mg.sends_in_flight -= 1;
    Replica& r = replica_at(s.replica);
    decay_to_now(r);
    r.in_flight_cost = std::max(0.0, r.in_flight_cost - s.in_flight_cost);
    if (outcome == SendOutcome::pushed_back || outcome == SendOutcome::dial_failed ||
        outcome == SendOutcome::unused)
      s.may_have_run = false;
    if (report.count > 0) update_reported_load(r, report, 0s);
    const double ratio = to_micros(elapsed) / std::max(s.unscaled_micros, 1.0);
    switch (outcome) {
      case SendOutcome::returned:
        record_result(r, mg.op_type, 1, 0);
        update_slowdown(r, ratio);
        fleet_wait_ratio +=
            kFleetLoadGain * (to_micros(elapsed) / (part.cost + call_overhead) - fleet_wait_ratio);
        update_typical_cost(op_type_of(mg), s, part, elapsed);
        if (warmth(r) >= 1) {
          warm_cost_flow =
              warm_cost_flow * exponential_decay(now - warm_cost_flow_at, kWarmFlowDecay) + s.in_flight_cost;
          warm_cost_flow_at = now;
        }
        break;
      case SendOutcome::app_error:
      case SendOutcome::dropped:
      case SendOutcome::dial_failed:
      case SendOutcome::expired:
        record_result(r, mg.op_type, 0, 1);
        break;
      case SendOutcome::pushed_back:
        update_slowdown(r, r.slowdown * 2);
        break;
      case SendOutcome::revoked:
        if (s.counted_overdue) record_result(r, mg.op_type, 0, 0.5);
        if (ratio > r.slowdown) update_slowdown(r, ratio);  // it would have taken even longer
        break;
      case SendOutcome::unused:
        break;
    }
    if (!mg.closed && !part.returned) {
      if (outcome == SendOutcome::returned) {
        part.returned = true;
        mg.returned_part_count += 1;
        if (part.step == mg.step) mg.returned_weight += part.weight;
        cancel_sends(slot);
      } else if (part.sends_in_flight() == 0) {
        if (can_resend(part, mg)) {
          enqueue_part(slot);
        } else {
          mg.lost_weight += part.weight;
        }
      }
    }
    queue_release_if_done(part.multiget);
  }

  // Without cost hints, a part's cost is the lower quartile of the times that otherwise idle replicas took:
  // the estimate moves down by 5% or up by 1.67%, so that it settles where a quarter of the times are below
  // it.
  void update_typical_cost(OpType& op, const SendRecord& s, const Part& part, Duration elapsed) {
    if (!s.replica_was_idle || part.step > 1) return;
    const double work = std::max(to_micros(elapsed) - call_overhead, 1000.0);
    op.typical_part_cost *= work < op.typical_part_cost ? 0.95 : 1.0167;
  }

  void on_client_left(const RequestId& id) {
    const int slot = multigets.find(id);
    if (slot >= 0 && !multigets.at(slot).closed) close_multiget(slot, false);
  }

  // ---- replies ----

  // Cancels the sends in flight of a part, of its first `end` sends.
  void cancel_sends(int slot, int end = static_cast<int>(kMaxSendsPerPart)) {
    if (!cancellation_allowed) return;
    Part& part = parts.at(slot);
    for (int i = 0; i < std::min(part.send_count, end); ++i) {
      SendRecord& s = part.send(i);
      if (s.in_flight && !s.cancelled) {
        s.cancelled = true;
        cancellations.push_back({part.id, i});
      }
    }
  }

  void close_multiget(int slot, bool answered) {
    Multiget& mg = multigets.at(slot);
    const bool in_time = answered && now <= mg.received_at + op_type_of(mg).latency_budget;
    miss_rate += kMissRateGain * ((in_time ? 0 : 1) - miss_rate);
    mg.closed = true;
    if (mg.admitted && mg.expected_micros > 0) {
      double& mean_ratio = op_type_of(mg).duration_ratio;
      const double ratio = to_micros(now - mg.received_at) / mg.expected_micros;
      mean_ratio =
          std::clamp(mean_ratio * std::pow(std::clamp(ratio / mean_ratio, 0.2, 5.0), kAverageGain), 0.2, 5.0);
    }
    abandon_parts(mg);
    queue_release_if_done(slot);
  }

  // Cancels what is in flight and pending of a multiget.
  void abandon_parts(const Multiget& mg) {
    for (int p = mg.first_part; p >= 0; p = parts.at(p).next_part) {
      parts.at(p).pending = false;
      cancel_sends(p);
    }
  }

  // Queues the slot of a closed multiget for release once none of its sends is in flight. The slots are freed
  // later, as next_reply() must not see the list change while it walks it.
  void queue_release_if_done(int slot) {
    if (multigets.at(slot).closed && multigets.at(slot).sends_in_flight == 0)
      releasable_multigets.push_back(slot);
  }

  void release_closed_multigets() {
    for (const int slot : releasable_multigets) {
      Multiget& mg = multigets.at(slot);
      for (int p = mg.first_part; p >= 0;) {
        const int next = parts.at(p).next_part;
        parts.erase(p);
        p = next;
      }
      open_multigets.erase(std::find(open_multigets.begin(), open_multigets.end(), slot));
      multigets.erase(slot);
    }
    releasable_multigets.clear();
  }

  // Decides the reply to a multiget; every reply passes here, once for each step. Enforces rules 1, 2 and 5.
  ReplyDecision decide_reply(int slot, MultigetOutcome outcome, bool complete, Duration retry_after) {
    Multiget& mg = multigets.at(slot);
    const OpType& op = op_type_of(mg);
    if (outcome != MultigetOutcome::answer) {
      // A push-back promises the client that a retry is harmless.
      bool harmless = true;
      if (op.retry_class == RetryClass::non_retriable) {
        for (int p = mg.first_part; p >= 0; p = parts.at(p).next_part) {
          const Part& part = parts.at(p);
          for (int i = 0; i < part.send_count; ++i) harmless &= !part.send(i).may_have_run;
        }
      }
      outcome = harmless ? MultigetOutcome::push_back : MultigetOutcome::fail;
      complete = false;
      if (!settings.flag("limits.retry-after", false) || !harmless) retry_after = Duration::zero();
      retry_after = std::min(retry_after, settings.duration("limits.max-retry-after", 0s));
    }
    const bool second_step_follows =
        outcome == MultigetOutcome::answer && mg.step == 1 && op.second_step_parts > 0;
    ReplyDecision decision{mg.id, outcome, complete, retry_after};
    if (second_step_follows) {
      mg.first_step_complete = complete;
      mg.step = 2;
      mg.returned_weight = mg.lost_weight = 0;
      mg.parts_to_receive = std::min(op.second_step_parts, mg.returned_part_count);
      abandon_parts(mg);
    } else {
      close_multiget(slot, outcome == MultigetOutcome::answer);
    }
    return decision;
  }

  std::optional<ReplyDecision> next_reply() {
    while (reply_cursor < open_multigets.size()) {
      const int slot = open_multigets[reply_cursor++];
      Multiget& mg = multigets.at(slot);
      if (mg.closed) continue;
      const OpType& op = op_type_of(mg);
      const double required_weight = mg.step == 1 ? op.complete_weight : 1.0;
      if (mg.parts_to_receive == 0 && mg.returned_weight >= required_weight - kWeightTolerance) {
        return decide_reply(slot, MultigetOutcome::answer, mg.step == 1 || mg.first_step_complete,
                            Duration::zero());
      }
      const bool past_budget = now >= mg.received_at + op.latency_budget;
      const bool near_budget_end = now >= mg.received_at + op.latency_budget - kReviewInterval - 2 * tick;
      const bool has_min_weight = op.min_weight < op.complete_weight && mg.parts_to_receive == 0 &&
                                  mg.returned_weight >= op.min_weight - kWeightTolerance;
      // Lost weight that makes an answer impossible ends the multiget at once, unless the remaining parts may
      // still make an incomplete answer.
      const double possible_weight = 1 - mg.lost_weight + kWeightTolerance;
      const bool cannot_answer =
          possible_weight < std::min(required_weight, op.min_weight) ||
          (possible_weight < required_weight && has_min_weight && mg.sends_in_flight == 0);
      if (now >= mg.reply_deadline || cannot_answer ||
          (near_budget_end && op.partial_value > 0 && has_min_weight)) {
        return decide_reply(slot, has_min_weight ? MultigetOutcome::answer : MultigetOutcome::push_back,
                            false, Duration::zero());
      }
      if (past_budget && (op.late_share <= 0 || fleet_slowdown > 3))
        return decide_reply(slot, MultigetOutcome::push_back, false, 0s);
      if (!mg.admitted && mg.parts_to_receive == 0) {
        if (is_waiting_for_probes(mg)) continue;
        mg.expected_micros = expected_completion(mg);
        // Lost sends lengthen multigets as congestion does, but pushing back helps against congestion only.
        const double needed_micros = mg.expected_micros * (congestion() > 0 ? op.duration_ratio : 1);
        if (needed_micros > admission_limit(mg, op)) {
          log_message = "pushing back a multiget: it cannot be finished within its latency budget";
          const double wait =
              std::isfinite(needed_micros) ? std::max(needed_micros / 2, 100'000.0) : 500'000.0;
          return decide_reply(slot, MultigetOutcome::push_back, false, from_micros(std::min(wait, 1e9)));
        }
        mg.admitted = true;
        for (int p = mg.first_part; p >= 0; p = parts.at(p).next_part) enqueue_part(p);
      }
    }
    release_closed_multigets();
    return std::nullopt;
  }

  // ---- probes ----

  // Returns whether a multiget still waits for answers to probes, and decides the probes on its first call.
  // In a large fleet a gatherer rarely sends to the same server twice within seconds, so its own sends tell
  // little about a server's load. The replicas that the multiget may use are probed before its parts are
  // placed, if the expected gain outweighs the price of the probes.
  bool is_waiting_for_probes(Multiget& mg) {
    if (!probing_allowed) return false;
    if (!mg.probed_at) {
      mg.probed_at = now;
      double probe_budget = 0;
      for (int p = mg.first_part; p >= 0; p = parts.at(p).next_part)
        probe_budget += miss_rate / (hedging_allowed ? 4 : 2) / probe_price;
      for (int k = 0; k < max_sends_per_part; ++k) {
        for (int p = mg.first_part; p >= 0 && probe_budget >= 1; p = parts.at(p).next_part) {
          collect_candidates(parts.at(p));
          if (k >= static_cast<int>(candidates.size())) continue;
          const std::size_t index =
              (parts.at(p).arrival_order + static_cast<std::size_t>(k)) % candidates.size();
          Replica& r = replica_at(candidates[index].replica);
          if (r.probe_sent_at || now - r.load_reported_at < kMaxReportAge) continue;
          r.probe_sent_at = now;
          pending_probes.push_back(candidates[index].replica);
          probe_budget -= 1;
        }
      }
    }
    if (now - *mg.probed_at >= kProbeWait) return false;
    for (int p = mg.first_part; p >= 0; p = parts.at(p).next_part) {
      collect_candidates(parts.at(p));
      for (const Candidate& c : candidates) {
        if (replica_at(c.replica).probe_sent_at) return true;
      }
    }
    return false;
  }

  std::optional<std::string_view> next_probe() {
    if (pending_probes.empty()) return std::nullopt;
    const std::string_view server = replica_at(pending_probes.back()).server;
    pending_probes.pop_back();
    return server;
  }

  // ---- admission ----

  // Returns the expected time in microseconds until the returned weight suffices for an answer.
  double expected_completion(const Multiget& mg) {
    const OpType& op = op_type_of(mg);
    part_estimates.clear();
    for (int p = mg.first_part; p >= 0; p = parts.at(p).next_part) {
      double best = std::numeric_limits<double>::infinity();
      collect_candidates(parts.at(p));
      for (const Candidate& c : candidates) {
        Replica& r = replica_at(c.replica);
        // The warmth factor is taken out again: a cold replica's measured slowdown already contains it, and
        // counting it twice makes a deploy look like congestion. The drawback: the first multigets after a
        // start may be admitted too easily.
        best = std::min(best, estimated_send_micros(r, parts.at(p).cost + call_overhead) * warmth(r));
      }
      part_estimates.emplace_back(best, parts.at(p).weight);
    }
    std::sort(part_estimates.begin(), part_estimates.end());
    double missing = op.partial_value > 0 ? std::min(op.min_weight, op.complete_weight) : op.complete_weight;
    for (const auto& [time, weight] : part_estimates) {
      missing -= weight;
      if (missing <= kWeightTolerance) return time;
    }
    return part_estimates.empty() ? 0 : part_estimates.back().first;
  }

  // Returns how congested the fleet is, from 0 (answers take about as long as their own work) to 1. It is
  // measured by answers, so pushing back does not keep it high, as a fraction of push-backs would.
  // Answers delayed by the network or by a stalled gatherer are as late as under congestion. Where probes are
  // sent, the load that servers report tells the two apart: half of the wait counts only in proportion to it.
  double congestion() const {
    const double load_weight =
        miss_rate > 0.05 && last_probe_end > now - 5s ? std::clamp(fleet_parts_held - 0.5, 0.0, 1.0) : 1;
    return std::clamp((fleet_wait_ratio * (0.5 + 0.5 * load_weight) - kCalmWaitRatio) /
                          (kCongestedWaitRatio - kCalmWaitRatio),
                      0.0, 1.0);
  }

  // Returns the longest expected duration, in microseconds, with which a multiget is admitted. Under
  // congestion it depends on the importance per unit of work.
  double admission_limit(const Multiget& mg, const OpType& op) {
    double cost = call_overhead;
    for (int p = mg.first_part; p >= 0; p = parts.at(p).next_part) cost += parts.at(p).cost;
    const double density = mg.importance / (value_by_work ? 1 : cost);
    mean_value_density =
        mean_value_density > 0 ? mean_value_density + 0.02 * (density - mean_value_density) : density;
    // A multiget that keeps value when it is late may be admitted at worse odds.
    const double odds =
        (kCalmBudgetFill + (kCongestedBudgetFill - kCalmBudgetFill) * congestion()) * (1 + 2 * op.late_share);
    const double fill =
        std::clamp(odds * std::pow(density / mean_value_density, congestion() > 0 ? 0.5 : 0.0), 0.25, 2.0);
    return fill * to_micros(std::min(op.latency_budget, mg.reply_deadline - mg.received_at));
  }

  // ---- placement ----

  // Returns the fraction of its full speed at which a replica works: below 1 for some time after its start.
  double warmth(const Replica& r) const {
    if (!r.started) return 1;
    const Duration age = std::max(now - *r.started, Duration::zero());
    if (age >= warm_up_time) return 1;
    return initial_warmth + (1 - initial_warmth) * (to_micros(age) / to_micros(warm_up_time));
  }

  double expected_slowdown(const Replica& r) const { return r.slowdown * r.overdue_factor / warmth(r); }

  // Returns the load expected from other gatherers. A replica that has not answered a probe yet is expected
  // to need several times the time that has passed since.
  double expected_others_load(const Replica& r) const {
    return r.probe_sent_at ? std::max(r.others_load, kReplicaParallelism * kUnansweredProbeFactor *
                                                         to_micros(now - *r.probe_sent_at))
                           : r.others_load;
  }

  // Returns the expected duration, in microseconds, of a send of this cost.
  double estimated_send_micros(const Replica& r, double cost) const {
    return expected_slowdown(r) *
           (cost + (r.in_flight_cost + r.assigned_cost + expected_others_load(r)) / kReplicaParallelism);
  }

  // Returns the load by which replicas are compared. The overhead of a new call counts as load at a multiple,
  // because it takes capacity from the whole fleet rather than from this replica alone.
  double placement_load(Replica& r) {
    decay_to_now(r);
    const double opening = r.parts_in_open_call == 0 ? kNewCallLoadFactor * call_overhead : 0;
    return expected_slowdown(r) *
           (r.assigned_cost + r.in_flight_cost + r.recent_cost + expected_others_load(r) + opening);
  }

  // Collects the replicas that hold a part's shard and are up into `candidates`, in the order of the
  // rendezvous hash.
  void collect_candidates(const Part& part) {
    candidates.clear();
    const std::uint64_t shard =
        mix_bits(static_cast<std::uint64_t>(part.shard) * 0x9e3779b97f4a7c15ULL ^ mix_bits(part.key));
    const Multiget& mg = multigets.at(part.multiget);
    for (int j = 0; j < std::min(mg.width, mg.cells); ++j) {
      for (const int i : up_replicas_by_cell[static_cast<std::size_t>((part.shard + j) % mg.cells)])
        candidates.push_back({i, mix_bits(replica_at(i).hash ^ shard), 0, 1});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
      return a.hash_rank != b.hash_rank ? a.hash_rank > b.hash_rank : a.replica < b.replica;
    });
  }

  // Returns whether sending a part once more is within the limits of its op type: the number of sends, and
  // rule 2.
  bool can_resend(const Part& part, const Multiget& mg) const {
    if (part.send_count >= max_sends_per_part) return false;
    const OpType& op = op_type_of(mg);
    if (op.retry_class == RetryClass::retriable) return true;
    for (int i = 0; i < part.send_count; ++i) {
      const SendRecord& s = part.send(i);
      if (!s.may_have_run) continue;
      // A send may wait up to the connect timeout for its connection, and still has to leave within the
      // dedupe window.
      if (op.retry_class == RetryClass::non_retriable || now > s.sent_at + op.dedupe_window - connect_timeout)
        return false;
    }
    return true;
  }

  // Returns whether a part may be sent at all. Every send passes here; enforces rules 1, 2 and 6.
  bool can_send(const Part& part) const {
    const Multiget& mg = multigets.at(part.multiget);
    if (mg.closed || part.returned || part.step != mg.step || now >= mg.reply_deadline) return false;
    if (!can_resend(part, mg)) return false;
    const int in_flight = part.sends_in_flight();
    if (in_flight > 0 && (in_flight > 1 || !hedging_allowed)) return false;
    return part.send_count == 0 || has_resend_budget(in_flight > 0);
  }

  // Returns whether a replica may be sent this part. Every send passes here; enforces rules 3 and 4.
  bool can_accept(const Part& part, Replica& r) {
    return r.status == ServerStatus::up &&
           has_cold_capacity(r, part.cost + (r.parts_in_open_call == 0 ? call_overhead : 0));
  }

  // Returns whether the budget allows one more resend: the operators' budget for all resends, or a default
  // budget for hedges only. Resends are counted too high rather than too low, and requests the other way. A
  // retry after a failure adds no load beside the first send's, so no default budget limits it; one did, and
  // with many parts per multiget and few multigets per gatherer it kept failed parts waiting until the end.
  bool has_resend_budget(bool is_hedge) const {
    if (!resend_budget_stated && !is_hedge) return true;
    const SlidingWindowCounter& counter = resend_budget_stated ? resends : hedges;
    return counter.upper_bound(now) + 1 <=
           resend_floor + resends_per_request * received_requests.lower_bound(now);
  }

  // Returns whether a cold replica may be sent work of this cost. It fails when all gatherers together send
  // it more than a multiple of its capacity within a window. Each gatherer keeps to its fair share of that:
  // what it sends a warm replica, times the cold replica's warmth and the multiple.
  bool has_cold_capacity(Replica& r, double cost) {
    const double warm = warmth(r);
    if (warm >= 1) return true;
    const auto& [oldest, oldest_work] = r.recent_cold_sends[r.next_cold_send % r.recent_cold_sends.size()];
    // The window holds more sends than the ring can count.
    if (oldest_work > 0 && now - oldest <= overload_window) return false;
    double sent = 0;
    for (const auto& [at, work] : r.recent_cold_sends)
      sent += work > 0 && now - at <= overload_window ? work : 0;
    // What a warm replica carries for this gatherer, but at least this gatherer's share of one core, which
    // every replica has.
    const double flow = warm_cost_flow * exponential_decay(now - warm_cost_flow_at, kWarmFlowDecay) /
                        to_seconds(kWarmFlowDecay);
    if (warm_replicas_counted_at != now) {
      warm_replicas_counted_at = now;
      warm_replica_count =
          static_cast<double>(std::count_if(replicas.begin(), replicas.end(), [&](const Replica& o) {
            return o.status == ServerStatus::up && warmth(o) >= 1;
          }));
    }
    const double work_per_replica = std::max(flow / std::max(warm_replica_count, 1.0), 1e6 / gatherer_count);
    const double window_share = overload_multiple * warm * work_per_replica * to_seconds(overload_window);
    if (sent > 0 || cost <= window_share) return sent + cost <= window_share;
    return accrued_cold_credit(r, cost, window_share) >= cost;
  }

  // Returns the credit of a cold replica, in microseconds of work, after it has accrued until now. A share of
  // less than one send per window is saved until it covers one. Since few gatherers use their share, credit
  // accrues at twice the share, and a replica that has just started begins with the credit of some windows.
  // Both shrink towards the plain share as more of the recent parts are for the replica's cell.
  double accrued_cold_credit(Replica& r, double cost, double window_share) {
    const double cell_parts =
        part_count_by_cell[static_cast<std::size_t>(r.cell)].recent(now, kPartCountDecay) - 1;
    const double even_share = total_part_count.recent(now, kPartCountDecay) * width / cells;
    const double overbooking = kColdShareOverbooking * even_share / std::max({cell_parts, even_share, 1e-9});
    if (r.cold_credit.server_start != r.started)
      r.cold_credit = {
          cost * std::uniform_real_distribution<>()(rng) + window_share * std::max(overbooking - 1, 0.0), now,
          r.started};
    return r.cold_credit.accrue(now, window_share * std::max(overbooking / 2, 1.0), overload_window,
                                kMaxSavedColdSends * cost);
  }

  // Samples the probability that a replica succeeds, once in each turn, from its posterior (Thompson
  // sampling): a replica with failures gets work in some turns only.
  double sample_success(Replica& r, int op_type) {
    return std::min(
        sample_success(r.success, kReplicaResultDecay),
        sample_success(r.success_by_op_type[static_cast<std::size_t>(op_type)], kOpTypeResultDecay));
  }

  double sample_success(SuccessEstimate& estimate, Duration memory) {
    if (estimate.sampled_at == now) return estimate.sample;
    record_result(estimate, 0, 0, memory);
    estimate.sampled_at = now;
    estimate.sample = 1;
    if (estimate.failures > 0.3) {
      const double x = std::gamma_distribution<double>(estimate.successes, 1)(rng);
      const double y = std::gamma_distribution<double>(estimate.failures, 1)(rng);
      estimate.sample = x / std::max(x + y, 1e-9);
    }
    return estimate.sample;
  }

  // Returns the replica that a part goes to, or -1 if the part may not be sent now.
  int choose_replica_if_allowed(const Part& part) { return can_send(part) ? choose_replica(part) : -1; }

  int choose_replica(const Part& part) {
    collect_candidates(part);
    const Multiget& mg = multigets.at(part.multiget);
    const double min_success = op_type_of(mg).retry_class == RetryClass::retriable ? 0.4 : 0.9;
    std::erase_if(candidates, [&](const Candidate& c) { return !can_accept(part, replica_at(c.replica)); });
    if (candidates.empty()) return -1;
    const auto tried = [&](const Candidate& c) {
      for (int i = 0; i < part.send_count; ++i) {
        if (part.send(i).replica == c.replica) return true;
      }
      return false;
    };
    if (part.sends_in_flight() > 0 || !std::all_of(candidates.begin(), candidates.end(), tried)) {
      std::erase_if(candidates, tried);
    } else if (part.send_count > 0 &&
               now < part.send(part.send_count - 1).sent_at + part.send_count * kRetryRoundPause) {
      return -1;
    }
    if (candidates.empty()) return -1;
    double best = 0;
    for (Candidate& c : candidates) {
      c.success_sample = sample_success(replica_at(c.replica), mg.op_type);
      best = std::max(best, c.success_sample);
    }
    std::erase_if(candidates,
                  [&](const Candidate& c) { return c.success_sample < std::min(min_success, best); });
    double least = std::numeric_limits<double>::infinity();
    int least_loaded = -1;
    double total = 0;
    for (Candidate& c : candidates) {
      const Replica& r = replica_at(c.replica);
      c.load = placement_load(replica_at(c.replica));
      if (r.zone != zone) c.load += cross_zone_weight * part.cost;
      total += recent_part_count(part.shard, c.replica);
      if (c.load < least) {
        least = c.load;
        least_loaded = c.replica;
      }
    }
    if (candidates.front().load > least * kPreferenceMargin) return least_loaded;
    const double cap = total / static_cast<double>(candidates.size()) + kTieExtraShare * total;
    for (const Candidate& c : candidates) {
      if (c.load <= least * kPreferenceMargin && recent_part_count(part.shard, c.replica) <= cap)
        return c.replica;
    }
    return candidates.front().replica;
  }

  double& recent_part_count(int shard, int replica) {
    return part_counts[static_cast<std::size_t>(replica) * static_cast<std::size_t>(shards) +
                       static_cast<std::size_t>(shard % shards)];
  }

  // Plans a send of a part to a replica and accounts for it.
  void add_send(int slot, int to) {
    Part& part = parts.at(slot);
    Multiget& mg = multigets.at(part.multiget);
    Replica& r = replica_at(to);
    const bool opens_call = r.parts_in_open_call == 0;
    touched_replicas.push_back(to);
    r.parts_in_open_call = (r.parts_in_open_call + 1) % max_parts_per_call;
    const double cost = part.cost + (opens_call ? call_overhead : 0);
    SendRecord& s = part.sends[static_cast<std::size_t>(part.send_count++)];
    s = SendRecord{};
    s.replica = to;
    s.sent_at = now;
    s.in_flight_cost = cost;
    s.replica_was_idle = r.in_flight_cost + r.assigned_cost <= (opens_call ? 0 : call_overhead) + 0.05 * cost;
    s.unscaled_micros =
        part.cost + call_overhead +
        (r.in_flight_cost + r.assigned_cost + expected_others_load(r) - (opens_call ? 0 : call_overhead)) /
            kReplicaParallelism;
    mean_send_cost += 0.02 * (cost - mean_send_cost);
    // Bounded by the fleet's slowdown, so that a replica known as slow does not get more time before it is
    // overdue.
    s.expected_micros = std::min(expected_slowdown(r), fleet_slowdown / warmth(r)) * s.unscaled_micros;
    s.in_flight = true;
    if (part.send_count > 1) resends.add(now);
    if (part.sends_in_flight() > 1) hedges.add(now);
    r.assigned_cost += cost;
    if (warmth(r) < 1) r.recent_cold_sends[r.next_cold_send++ % r.recent_cold_sends.size()] = {now, cost};
    r.cold_credit.work -= cost;
    mg.sends_in_flight += 1;
    recent_part_count(part.shard, to) += part_count_unit;
    // The send must not be written after the dedupe window of an earlier send that may have run, even if it
    // waits behind another frame.
    Duration latest_start = mg.reply_deadline;
    for (int i = 0; i + 1 < part.send_count && op_type_of(mg).retry_class == RetryClass::deduped; ++i)
      if (part.send(i).may_have_run)
        latest_start = std::min(latest_start, part.send(i).sent_at + op_type_of(mg).dedupe_window);
    planned_sends.push_back({part.id, r.server, mg.reply_deadline, latest_start});
  }

  // Updates how overdue each replica is, from the sends in flight, and counts overdue sends as half a
  // failure.
  void update_overdue_sends() {
    for (const int i : touched_replicas) {
      replica_at(i).overdue_factor = 1;
      replica_at(i).parts_in_open_call = 0;
    }
    touched_replicas.clear();
    for (const int m : open_multigets) {
      for (int p = multigets.at(m).first_part; p >= 0; p = parts.at(p).next_part) {
        Part& part = parts.at(p);
        for (int i = 0; i < part.send_count; ++i) {
          SendRecord& s = part.send(i);
          if (!s.in_flight || s.cancelled) continue;
          Replica& r = replica_at(s.replica);
          const double overdue = to_micros(now - s.sent_at) / std::max(s.expected_micros, 1.0);
          if (overdue > 1.5) {
            r.overdue_factor = std::max(r.overdue_factor, overdue);
            touched_replicas.push_back(s.replica);
          }
          if (overdue > kHedgeOverdueFactor && !s.counted_overdue) {
            s.counted_overdue = true;
            record_result(r, multigets.at(m).op_type, 0, 0.5);
          }
        }
      }
    }
  }

  // Returns whether an overdue replica fails to answer a probe as well, and probes it if necessary. A replica
  // that is only busy answers.
  bool is_unresponsive(int replica) {
    Replica& r = replica_at(replica);
    if (probing_allowed && !r.probe_sent_at && now - r.load_reported_at >= kMaxReportAge) {
      r.probe_sent_at = now;
      pending_probes.push_back(replica);
    }
    return r.probe_sent_at &&
           now - *r.probe_sent_at >=
               std::max(kMinUnansweredProbeTime, from_micros(kUnansweredProbeFactor * mean_probe_micros));
  }

  // Hedges overdue parts or, where hedging is not allowed, moves them to another replica.
  void hedge_or_move_overdue_parts() {
    for (const int m : open_multigets) {
      const Multiget& mg = multigets.at(m);
      if (mg.closed || !mg.admitted) continue;
      for (int p = mg.first_part; p >= 0; p = parts.at(p).next_part) {
        Part& part = parts.at(p);
        if (part.returned || part.pending || part.step != mg.step || part.send_count == 0) continue;
        const SendRecord& last = part.sends[static_cast<std::size_t>(part.send_count - 1)];
        const double waited = to_micros(now - last.sent_at);
        if (!last.in_flight ||
            waited <
                (hedging_allowed ? kHedgeOverdueFactor : kMoveUnresponsiveFactor) * last.expected_micros ||
            !can_resend(part, mg))
          continue;
        if (part.sends_in_flight() > 1) {
          // Both sends are overdue: the older one is cancelled to allow a third.
          cancel_sends(p, part.send_count - 1);
          continue;
        }
        if (!hedging_allowed && last.cancelled) continue;
        if (!hedging_allowed && !is_unresponsive(last.replica) &&
            waited < kMoveOverdueFactor * last.expected_micros)
          continue;
        const int to = hedging_allowed ? choose_replica_if_allowed(part) : choose_replica(part);
        if (to < 0 || estimated_send_micros(replica_at(to), part.cost + call_overhead) > 2 * waited) continue;
        // Where hedging is not allowed, the overdue send is cancelled, and its end leads to a resend.
        if (hedging_allowed)
          add_send(p, to);
        else
          cancel_sends(p);
      }
    }
  }

  // Decides all sends of this turn: pending parts first, in the order of falling cost, then hedges.
  void plan_sends() {
    sends_planned = true;
    planned_sends.clear();
    next_planned_send = 0;
    update_overdue_sends();
    std::erase_if(pending_parts, [&](int p) { return !parts.at(p).pending; });
    std::sort(pending_parts.begin(), pending_parts.end(), [&](int a, int b) {
      const Part& x = parts.at(a);
      const Part& y = parts.at(b);
      return x.cost != y.cost ? x.cost > y.cost : x.arrival_order < y.arrival_order;
    });
    std::size_t kept = 0;
    for (const int p : pending_parts) {
      if (const int to = choose_replica_if_allowed(parts.at(p)); to >= 0) {
        parts.at(p).pending = false;
        add_send(p, to);
      } else {
        pending_parts[kept++] = p;
      }
    }
    pending_parts.resize(kept);
    hedge_or_move_overdue_parts();
    // Newer parts are counted with a growing unit instead of decaying the older counts; only ratios are used.
    part_count_unit /= exponential_decay(now - part_count_unit_at, kPartCountDecay);
    part_count_unit_at = now;
    if (part_count_unit > 1e100) {
      for (double& h : part_counts) h /= part_count_unit;
      part_count_unit = 1;
    }
    for (const int i : touched_replicas) {
      Replica& r = replica_at(i);
      decay_to_now(r);
      r.in_flight_cost += r.assigned_cost;
      r.recent_cost += r.assigned_cost;
      r.assigned_cost = 0;
    }
  }

  std::optional<SendCancellation> next_cancellation() {
    if (cancellations.empty()) return std::nullopt;
    const SendCancellation cancellation = cancellations.back();
    cancellations.pop_back();
    return cancellation;
  }

  std::optional<Send> next_send() {
    if (!sends_planned) plan_sends();
    if (next_planned_send >= planned_sends.size()) return std::nullopt;
    return planned_sends[next_planned_send++];
  }

  std::optional<ListCall> next_list_call() {
    if (settings.text("registry-mode", "push") != "ask" || watching_list || now < next_list_call_at)
      return std::nullopt;
    if (list_call_sent_at && now - *list_call_sent_at < settings.duration("contract.ask-every", 10s) / 2)
      return std::nullopt;
    list_call_sent_at = now;
    return ListCall::watch;
  }

  std::optional<std::string> next_log_message() {
    if (now - last_log_message_at < 5s) log_message.reset();
    if (log_message) last_log_message_at = now;
    return std::exchange(log_message, std::nullopt);
  }

  std::optional<Duration> next_wake_delay() {
    Duration want = now + (open_multigets.empty() ? Duration(200ms) : kReviewInterval);
    if (!watching_list && next_list_call_at > now) want = std::min(want, next_list_call_at);
    if (scheduled_wake && *scheduled_wake <= want) return std::nullopt;
    scheduled_wake = want;
    return want - now;
  }

  SettingsReader settings;
  std::mt19937 rng;
  std::vector<OpType> op_types;
  std::vector<Customer> customers;
  double call_overhead = 0;
  // The number of op types in the current settings. Behind them in op_types come those of earlier settings
  // that open multigets still have.
  int current_op_types = 1;
  int max_parts_per_call = 1, cells = 1, width = 1, shards = 1, max_sends_per_part = 1, zone = 0;
  double gatherer_count = 1;
  Duration tick{}, connect_timeout{}, warm_up_time{}, overload_window{},
      warm_replicas_counted_at = Duration::min() / 2;
  double initial_warmth = 1, overload_multiple = 1, warm_replica_count = 0, resend_floor = 0,
         resends_per_request = 0;
  bool hedging_allowed = false, cancellation_allowed = false, resend_budget_stated = false,
       value_by_work = false;
  double cross_zone_weight = 0;            // load added for another zone, as a multiple of the part's cost
  SlidingWindowCounter received_requests;  // multigets and parts received
  SlidingWindowCounter resends;            // sends beyond the first of each part
  SlidingWindowCounter hedges;             // resends while another send of the part was in flight
  SlotMap<Multiget> multigets;
  SlotMap<Part> parts;
  std::vector<int> open_multigets;  // slots in the order of arrival
  std::vector<int> releasable_multigets, pending_parts, pending_probes;
  std::vector<int> touched_replicas;  // replicas whose per-turn state has to be cleared
  std::vector<Send> planned_sends;
  std::vector<SendCancellation> cancellations;
  std::vector<Candidate> candidates;
  std::vector<std::pair<double, double>> part_estimates;  // expected micros and weight of a multiget's parts
  std::vector<Replica> replicas;
  std::vector<int> free_replica_slots;  // slots for new replicas
  std::map<std::string, int, std::less<>> replica_by_server;
  std::vector<std::vector<int>> up_replicas_by_cell;
  DecayingCount total_part_count;
  std::vector<DecayingCount> part_count_by_cell;  // recent parts by cell
  std::vector<double> part_counts;                // recent parts by replica and shard, in part_count_unit
  double part_count_unit = 1;
  Duration now{}, part_count_unit_at{}, warm_cost_flow_at{}, multiget_counted_at{}, last_probe_end{-1h},
      next_list_call_at{}, last_log_message_at{-1h};
  std::size_t reply_cursor = 0, next_planned_send = 0;
  bool sends_planned = false, probing_allowed = false;
  std::uint64_t next_arrival_order = 0;
  double fleet_slowdown = 1;
  double fleet_wait_ratio = 1;       // mean of answer time over own work
  double total_allowance_per_s = 0;  // multigets per second of all customers at this gatherer
  double recent_multiget_count = 0;  // decaying; without clients' retries
  double mean_value_density = 0, mean_send_cost = 100'000, probe_price = 0, mean_probe_micros = 1000;
  double miss_rate = 0.05;       // fraction of own multigets not answered within the latency budget
  double fleet_others_load = 0;  // moving average of Replica::others_load
  double fleet_parts_held = 1;   // moving average of the parts that a replica holds, from load reports
  double warm_cost_flow = 0;     // cost of answers from warm replicas, decaying
  std::array<double, 4> parts_per_reported_unit{};  // parts held for each unit of a reported value
  bool list_is_remembered = false, watching_list = false;
  std::optional<Duration> list_call_sent_at, scheduled_wake;
  int consecutive_refusals = 0;
  std::optional<std::string> log_message;
};

DecisionEngine::DecisionEngine(const FlatSettings& new_settings, std::uint32_t seed)
    : impl_(std::make_unique<Impl>(new_settings, seed)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine&&) noexcept = default;
DecisionEngine& DecisionEngine::operator=(DecisionEngine&&) noexcept = default;

void DecisionEngine::update_settings(const FlatSettings& new_settings) {
  Impl(new_settings, 0);  // throws on bad settings before anything changes
  impl_->update_settings(new_settings);
}

void DecisionEngine::advance_clock(Duration now) { impl_->advance_clock(now); }
void DecisionEngine::on_list_begin(bool whole, bool remembered) { impl_->on_list_begin(whole, remembered); }
void DecisionEngine::on_list_entry(const ListEntry& entry) { impl_->on_list_entry(entry); }
void DecisionEngine::on_list_complete() { impl_->on_list_complete(); }
void DecisionEngine::on_list_call_refused(Duration max_backoff) { impl_->on_list_call_refused(max_backoff); }
void DecisionEngine::on_multiget_received(const MultigetRequest& request) {
  impl_->on_multiget_received(request);
}
void DecisionEngine::on_part_received(const PartRequest& request) { impl_->on_part_received(request); }
void DecisionEngine::on_send_ended(const RequestId& part, int send, SendOutcome outcome, Duration elapsed,
                                   const LoadReport& load) {
  impl_->on_send_ended(part, send, outcome, elapsed, load);
}
void DecisionEngine::on_client_left(const RequestId& multiget) { impl_->on_client_left(multiget); }
std::optional<ReplyDecision> DecisionEngine::next_reply() { return impl_->next_reply(); }
std::optional<SendCancellation> DecisionEngine::next_cancellation() { return impl_->next_cancellation(); }
std::optional<Send> DecisionEngine::next_send() { return impl_->next_send(); }
void DecisionEngine::on_probe_ended(std::string_view server, SendOutcome outcome, Duration elapsed,
                                    const LoadReport& load) {
  impl_->on_probe_ended(server, outcome, elapsed, load);
}
std::optional<std::string_view> DecisionEngine::next_probe() { return impl_->next_probe(); }
std::optional<ListCall> DecisionEngine::next_list_call() { return impl_->next_list_call(); }
std::optional<std::string> DecisionEngine::next_log_message() { return impl_->next_log_message(); }
std::optional<Duration> DecisionEngine::next_wake_delay() { return impl_->next_wake_delay(); }
std::size_t DecisionEngine::known_server_count() const { return impl_->replica_by_server.size(); }

}  // namespace marbledyke
