// marbledyke: every decision of the gatherer.
// Invoked by a host (src/gatherer/ on sockets, src/wirehost/ on the simulator's wire): it makes one Choice
// for each instance from the operators' terms and a seed, reports in each turn what has come in, then pulls
// what is decided. The interface is src/choice.h, the plain types are in src/model/. The ordinary path is the
// design of docs/design.md: place_parts() and pick().
// Mechanisms beside the design (at most six):
//   1. belief     a posterior of success for each replica; whether a doubtful one gets work is drawn from it
//   2. pace       how slowly each replica answers for its load, and how long it has been silent
//   3. copies     further sends: tries after failures, second copies of overdue parts, within a budget
//   4. warm-up    what a cold replica may be sent: this gatherer's fair share of a budget over the window
//   5. admission  pushing back at once what cannot be finished in time, least important first
//   6. looks      asking replicas for their load before parts are placed, as far as that pays
#include "choice.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

#include "model/hand.h"
#include "model/measure.h"
#include "model/slab.h"
#include "model/terms.h"
#include "model/window_count.h"

namespace marbledyke {
namespace {

using namespace std::chrono_literals;

// clang-format off
constexpr double kRounding = 1e-5;        // of weights
constexpr double kMargin = 1.05;          // the design: the preferred replica keeps a part within 5%
constexpr double kTieShare = 0.2;         // the design: on ties, a fifth of a shard's parts above its share
constexpr Duration kRecent = 1s;              // the design: cost recently sent decays over this
constexpr Duration kShardMemory = 10s;        // over which a shard's recent parts are counted
constexpr Duration kFlowMemory = 5s;          // over which the ordinary flow to a replica is averaged
constexpr double kMostGood = 5;           // a long good record does not delay doubt
constexpr double kMostBad = 8;            // nor a long bad one belief
constexpr Duration kTypeMemory = 20s;         // and that about one op type more slowly, as it is rarer
constexpr Duration kBeliefMemory = 6s;        // evidence about a replica as a whole fades over this
constexpr double kPrior = 2;              // successes that a replica is credited with
constexpr Duration kGlance = 10ms;            // how often what is in hand is looked over
constexpr double kOverdue = 4;            // multiple of its expectation at which a send is due a copy
constexpr double kMoved = 6;              // and at which it is moved, where no copy may go beside it
constexpr Duration kRest = 100ms;             // before a part goes round its replicas again, by its sends
constexpr double kDoubted = 3;            // or at this, if the replica is silent when asked
constexpr Duration kSilent = 100ms;           // a look that is out for so long counts as that
constexpr double kPaceGain = 0.2;         // weight of the newest answer in a replica's pace
constexpr Duration kPaceMemory = 10s;         // a replica's pace drifts back to the fleet's over this
constexpr double kOpening = 3;            // a call to be opened counts as load at this multiple of its cost
constexpr double kCrossing = 4;           // weight of the price of crossing zones against that of wasted work
constexpr double kOwnFurther = 0.25;      // further sends a multiget or part taken, where no budget is stated
constexpr double kOwnFurtherFree = 10;    // and in addition
constexpr double kFill = 0.5;             // share of the latency budget to fill while the fleet is jammed
constexpr double kFillCalm = 1.3;         // and while it is calm: then odd replicas make expectations long
constexpr double kWaitGain = 0.02;        // weight of the newest answer in the fleet's wait
constexpr double kCalmWait = 2;           // calm while answers take up to this multiple of their own work
constexpr double kJammedWait = 4;         // and jammed from this
constexpr double kStretchGain = 0.05;     // weight of the newest multiget in stretch, report in fleet_held
constexpr Duration kNews = 1s;                // a reported load drifts back to the fleet's over this
constexpr Duration kStale = 500ms;            // a replica with news older than this is asked before it is sent to
constexpr Duration kLook = 40ms;              // how long a multiget waits for that
constexpr double kSilence = 20;           // an unanswered look stands for this multiple of the time it is out
constexpr double kAtOnce = 2;             // parts that a replica is taken to work on at once
constexpr double kOverbook = 4;           // of so many gatherers one uses its share of a cold replica
constexpr double kSavedSends = 2;         // sends up to which a share of it is saved: the next, and one after
constexpr double kMissGain = 0.1;         // weight of the newest multiget in the share that misses its budget
// clang-format on

}  // namespace

struct Choice::Mind {
  Mind(const Terms& terms, std::uint32_t seed)
      : contract(terms),
        chance(seed),
        multigets(static_cast<std::size_t>(contract.at_least("limits.max-open", 1000, 1))),
        parts(static_cast<std::size_t>(contract.at_least("limits.max-open", 1000, 1))) {
    read_terms();
    const auto room = static_cast<std::size_t>(contract.number("limits.max-open", 1000));
    for (auto* list : {&hand, &pending, &released, &looks, &touched}) list->reserve(room * 2);
    plan.reserve(room * 2);
    times.reserve(room);
    withdrawals.reserve(room * 2);
  }

  void read_terms() {
    read_op_types();
    call_cost = contract.at_least("specifics.overhead", 0, 0);
    call_room = static_cast<int>(contract.at_least("specifics.bundle-max", 1, 1));
    cells = static_cast<int>(contract.at_least("specifics.sets", 1, 1));
    width = static_cast<int>(contract.at_least("specifics.width", 1, 1));
    shards = static_cast<int>(contract.at_least("specifics.slabs", 1, 1));
    most_sends =
        static_cast<int>(std::min(contract.at_least("limits.attempts-cap", 1, 1), double{kMostSends}));
    zone = static_cast<int>(contract.number("zone", 0));
    // Crossing zones costs what wasting so much of a part's work would.
    crossing = kCrossing * contract.at_least("prices.cross-zone", 0, 0) /
               std::max(contract.at_least("prices.waste", 0, 0), 0.05);
    peers = contract.at_least("replicas-of-me", 1, 1);
    tick = contract.time("tick", 5ms);
    customers.clear();
    allowances = 0;
    for (int i = 0; contract.has("customers." + std::to_string(i) + ".name"); ++i) {
      const std::string name = "customers." + std::to_string(i) + ".allowance-per-s";
      const double allowance = contract.at_least(name, 0, 0) / peers;
      customers.push_back({allowance, allowance, {}});
      allowances += allowance;
    }
    probing = contract.flag("limits.probing", false);
    connecting = contract.time("limits.connect-timeout", 0s);
    cold = contract.time("contract.cold", 0s);
    cold_from = contract.share("contract.cold-from", 1);
    cold_window = contract.time("contract.overload-for", 1s);
    cold_multiple = contract.at_least("contract.fall-multiple", 1, 0);
    copies = contract.flag("limits.second-copies", false);
    cancels = contract.flag("limits.cancel", false);
    budgeted = contract.has("contract.resend-span");
    further_free = budgeted ? contract.at_least("contract.extra-floor", 0, 0) : kOwnFurtherFree;
    further_share = budgeted ? contract.at_least("contract.extra-per-request", 0, 0) : kOwnFurther;
    by_work = contract.word("value-by", "request") == "work";
    look_price = contract.at_least("prices.probe", 0, 0) + contract.at_least("prices.handshake", 0, 0) + 1e-4;
    bool all_told = false;
    for (std::size_t i = 0; i < unit.size(); ++i) {
      const std::string field = contract.word("telemetry.fields." + std::to_string(i), "");
      all_told |= field == "active";
      unit[i] = field == "active" || field == "waiting" ? 1 : field == "cpu" && !all_told ? kAtOnce : 0;
    }
    const Duration window = contract.time("contract.resend-span", 10s);
    taken.set(window, now, 0);
    for (WindowCount* made : {&further, &copied}) made->set(window, now, made->at_most(now));
    by_cell.resize(static_cast<std::size_t>(cells));
    asked_of.resize(std::max(asked_of.size(), by_cell.size()));
  }

  // New terms in a running gatherer. What is in hand ends under the op type and the layout that it was taken
  // with; what was learned stays, and what was sent goes on counting against the budgets.
  void renew(const Terms& terms) {
    const std::vector<OpType> before = std::exchange(op_types, {});
    std::vector<int> kept(before.size(), -1);
    contract = Contract(terms);
    read_terms();
    for (OpType& op : op_types) {
      for (const OpType& old : before) {
        if (old.name == op.name) std::tie(op.part_work, op.stretch) = std::tie(old.part_work, old.stretch);
      }
    }
    for (const int m : hand) {
      int& at = kept[static_cast<std::size_t>(multigets.at(m).op_type)];
      if (at < 0) {
        at = static_cast<int>(op_types.size());
        op_types.push_back(before[static_cast<std::size_t>(multigets.at(m).op_type)]);
      }
      multigets.at(m).op_type = at;
      by_cell.resize(std::max(by_cell.size(), static_cast<std::size_t>(multigets.at(m).cells)));
      for (int p = multigets.at(m).first_part; p >= 0 && !copies; p = parts.at(p).next) {
        if (parts.at(p).out() > 1) withdraw_all(p, parts.at(p).sent - 1);
      }
    }
    for (Replica& r : replicas) r.by_type.assign(op_types.size(), Belief{kPrior, 0, now, 1, {}});
    had.assign(replicas.size() * static_cast<std::size_t>(shards), 0.0);
    sort_by_cell();
  }

  void read_op_types() {
    op_types.clear();
    for (int i = 0;; ++i) {
      const std::string at = "categories." + std::to_string(i) + ".";
      const std::string place = "." + std::to_string(i);
      if (!contract.has(at + "deadline")) break;
      OpType op;
      op.name = contract.word(at + "name", "");
      const std::string effect = contract.word(at + "effect", "once");
      if (effect != "repeatable" && effect != "by_key" && effect != "once")
        Contract::refuse(at + "effect", "unknown");
      op.repeat = effect == "repeatable" ? Repeat::retriable
                  : effect == "by_key"   ? Repeat::deduped
                                         : Repeat::non_retriable;
      op.route_timeout = contract.time(at + "deadline", 0s);
      if (op.route_timeout <= 0s) Contract::refuse(at + "deadline", "must be above 0");
      op.latency_budget = std::min(contract.time(at + "objective", op.route_timeout), op.route_timeout);
      op.dedupe_window = contract.time(at + "key-ttl", 0s);
      op.importance = contract.at_least(at + "worth", 1, 0);
      op.late_share = contract.share(at + "late-share", 0);
      op.floor = contract.share("specifics.class-floor" + place, 1);
      op.need = contract.share("specifics.complete-from" + place, 1);
      op.partial = contract.share("specifics.short-worth" + place, 0);
      op.second_step = static_cast<int>(contract.at_least("specifics.second-step" + place, 0, 0));
      op.part_work = std::max(2 * contract.at_least("specifics.overhead", 0, 0), 20'000.0);
      op_types.push_back(op);
    }
    if (op_types.empty()) Contract::refuse("categories", "there is no op type");
    present = static_cast<int>(op_types.size());
  }

  Replica& rep(int i) { return replicas[static_cast<std::size_t>(i)]; }
  OpType& type_of(const Multiget& mg) { return op_types[static_cast<std::size_t>(mg.op_type)]; }
  const OpType& type_of(const Multiget& mg) const { return op_types[static_cast<std::size_t>(mg.op_type)]; }

  // ---- what is known ----

  void clock(Duration t) {
    verdict_cursor = 0;
    now = t;
    planned = false;
    if (wake_set && *wake_set <= now) wake_set.reset();
  }

  Replica* replica_of(std::string_view server) {
    const auto at = by_server.find(server);
    return at == by_server.end() ? nullptr : &replicas[static_cast<std::size_t>(at->second)];
  }

  void list_opens(bool whole, bool remembered) {
    list_remembered = remembered;
    for (Replica& r : replicas) r.named = !whole;
  }

  void list_row(const ListRow& row) {
    Replica* r = replica_of(row.server);
    if (r == nullptr) {
      if (spare.empty()) spare.push_back(static_cast<int>(replicas.size()));
      if (spare.back() == static_cast<int>(replicas.size())) replicas.emplace_back();
      by_server.emplace(row.server, spare.back());
      r = &(rep(spare.back()) = Replica{});
      spare.pop_back();
      r->server = row.server;
      r->hash = hash_text(row.server);
      r->decayed_at = now;
      forget(*r);
    } else if (row.started != r->started && row.started) {
      forget(*r);  // a new start: what was learned is about a process that is gone
    }
    r->zone = row.zone;
    r->cell = std::max(row.cell, 0);
    r->standing = row.standing;
    r->started = row.started;
    r->named = true;
  }

  void list_closes() {
    for (Replica& r : replicas) {
      if (!r.named) r.standing = Standing::gone;  // absent from a whole list
    }
    had.resize(replicas.size() * static_cast<std::size_t>(shards), 0.0);
    forget_gone();
    warm_counted_at = Duration::min() / 2;
    sort_by_cell();
    candidates.reserve(replicas.size());
    if (!list_remembered) {
      watching = true;
      asked_at.reset();
      refusals = 0;
    }
  }

  void sort_by_cell() {
    for (auto& cell : by_cell) cell.clear();
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      const auto cell = static_cast<std::size_t>(replicas[i].cell);
      if (replicas[i].standing == Standing::up && cell < by_cell.size())
        by_cell[cell].push_back(static_cast<int>(i));
    }
  }

  // Where servers come under ever new ids, those gone would fill memory. A place is used again once no part
  // in hand was sent there, no look is out, and what it was sent while cold cannot count if it comes back.
  void forget_gone() {
    for (Replica& r : replicas) r.kept = r.standing != Standing::gone || r.asked || now - r.decayed_at < cold;
    for (const int m : hand)
      for (int p = multigets.at(m).first_part; p >= 0; p = parts.at(p).next)
        for (int i = 0; i < parts.at(p).sent; ++i) rep(parts.at(p).send(i).replica).kept = true;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      if (replicas[i].kept || by_server.erase(std::exchange(replicas[i].server, "")) == 0) continue;
      spare.push_back(static_cast<int>(i));
      for (int shard = 0; shard < shards; ++shard) had_of(shard, static_cast<int>(i)) = 0;
    }
  }

  void list_refused(Duration most_backoff) {
    watching = false;
    asked_at.reset();
    // Spread out, so that gatherers refused together do not come back together.
    const double wait = std::min(0.25 * std::pow(2.0, refusals), 4.0);
    refusals = std::min(refusals + 1, 4);
    const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(chance);
    ask_from = now + std::min(span(1e6 * wait * spread), span(micros(most_backoff) * spread / 1.5));
    note = "list call refused";
  }

  void multiget_taken(const MultigetAsk& ask) {
    if (multigets.find(ask.id) >= 0) return;
    const int place = multigets.take(ask.id);
    Multiget& mg = multigets.at(place);
    mg.number = ask.number;
    mg.op_type = std::clamp(ask.op_type, 0, present - 1);
    mg.cells = cells;
    mg.width = width;
    mg.taken = now;
    mg.last_moment = ask.client_leaves - kGlance - 2 * tick;
    mg.awaited = ask.parts;
    mg.importance = type_of(mg).importance * within_share(ask.customer, ask.repeated);
    hand.push_back(place);
    taken.add(now);
  }

  // What a customer sends beyond its share of this gatherer's traffic is worth little.
  double within_share(int customer, bool repeated) {
    own_rate = own_rate * fade(now - own_rate_at, kShardMemory) + (repeated ? 0 : 1);
    own_rate_at = now;
    if (customer < 0 || customer >= static_cast<int>(customers.size())) return 1;
    Customer& c = customers[static_cast<std::size_t>(customer)];
    if (c.allowance <= 0) return 1;
    // A gatherer that takes more than an even part of the traffic has as much more of each customer's share.
    const double busier = std::max(own_rate / seconds(kShardMemory) / allowances, 1.0);
    c.tokens = std::min(c.tokens + busier * c.allowance * seconds(now - c.filled),
                        std::max(3.0, 3 * busier * c.allowance));
    c.filled = now;
    if (c.tokens < 1) return contract.share("over-share-worth", 1);
    c.tokens -= 1;
    return 1;
  }

  void part_taken(const PartAsk& ask) {
    taken.add(now);
    if (parts.find(ask.id) >= 0) return;
    for (auto at = hand.rbegin(); at != hand.rend(); ++at) {
      Multiget& mg = multigets.at(*at);
      if (mg.closed || mg.number != ask.multiget) continue;
      const OpType& op = type_of(mg);
      const int place = parts.take(ask.id);
      Part& part = parts.at(place);
      for (int j = 0; j < std::min(mg.width, mg.cells); ++j)
        asked_of[static_cast<std::size_t>((ask.shard + j) % mg.cells)].add(now, kShardMemory);
      all_asked.add(now, kShardMemory);
      part.multiget = *at;
      part.next = mg.first_part;
      part.shard = ask.shard;
      part.step = mg.step;
      part.weight = ask.weight;
      part.key = ask.key;
      part.cost = ask.hint > Duration::zero() ? micros(ask.hint) : op.part_work;
      part.order = next_order++;
      mg.first_part = place;
      mg.awaited = std::max(0, mg.awaited - 1);
      if (mg.admitted) await(place);
      return;
    }
  }

  void await(int place) {
    if (parts.at(place).pending) return;
    parts.at(place).pending = true;
    pending.push_back(place);
  }

  // What a replica holds of all gatherers' work, from its report and from how long its answer took.
  void hear_load(Replica& r, const LoadReport& report, Duration waited) {
    settle(r);
    double held = 0;
    for (std::size_t i = 0; i < unit.size(); ++i) held += unit[i] * report.value[i];
    if (report.count > 0) fleet_held += kStretchGain * (held - fleet_held);
    r.foreign = std::max(held * mean_charge - r.out, kAtOnce * micros(waited));
    fleet_foreign += kWaitGain * (r.foreign - fleet_foreign);
    r.news_at = now;
  }

  void probe_ended(std::string_view server, Fate fate, Duration elapsed, const LoadReport& report) {
    Replica* r = replica_of(server);
    if (r == nullptr) return;
    r->asked.reset();
    looked_at = now;
    if (fate == Fate::returned) {
      look_time += kStretchGain * (micros(elapsed) - look_time);
      hear_load(*r, report, elapsed);
    } else {
      believe(r->belief, 0, 2, kBeliefMemory);
      missed += kMissGain / 10 * (1 - missed);
    }
  }

  void forget(Replica& r) {
    r.pace = fleet_pace;
    r.belief = Belief{kPrior, 0, now, 1, {}};
    r.by_type.assign(op_types.size(), r.belief);
  }

  void believe(Belief& b, double good, double bad, Duration memory) {
    const double keep = fade(now - b.at, memory);
    b.good = std::min(kPrior + (b.good - kPrior) * keep + good, kMostGood);
    b.bad = std::min(b.bad * keep + bad, kMostBad);
    b.at = now;
  }

  // A replica that fails one op type only looks well as a whole, so each op type has a belief of its own
  // beside the common one. It guards against silence, errors and push-backs that befall one kind of work; it
  // does harm where op types are rare and a chance failure keeps a sound replica out for long.
  void believe(Replica& r, int op_type, double good, double bad) {
    believe(r.belief, good, bad, kBeliefMemory);
    if (bad >= 1) missed += kMissGain / 10 * (1 - missed);
    believe(r.by_type[static_cast<std::size_t>(op_type)], good, bad, kTypeMemory);
  }

  void settle(Replica& r) {
    const Duration age = now - r.decayed_at;
    if (age <= Duration::zero()) return;
    r.recent *= fade(age, kRecent);
    r.foreign = fleet_foreign + (r.foreign - fleet_foreign) * fade(age, kNews);
    // A replica shunned for its pace brings no news of it; without this it would be shunned for good.
    r.pace = fleet_pace * std::pow(r.pace / fleet_pace, fade(age, kPaceMemory));
    r.decayed_at = now;
  }

  void learn_pace(Replica& r, double ratio) {
    r.pace *= std::pow(std::clamp(ratio / r.pace, 0.1, 10.0), kPaceGain);
    r.pace = std::clamp(r.pace, 0.2, 50.0);
    fleet_pace *= std::pow(std::clamp(ratio / fleet_pace, 0.1, 10.0), kPaceGain / 10);
  }

  void send_ended(const Rid& id, int send, Fate fate, Duration elapsed, const LoadReport& report) {
    const int place = parts.find(id);
    if (place < 0) return;
    Part& part = parts.at(place);
    if (send < 0 || send >= part.sent) return;
    SendRecord& s = part.send(send);
    if (!s.out) return;
    s.out = false;
    Multiget& mg = multigets.at(part.multiget);
    mg.sends_out -= 1;
    Replica& r = rep(s.replica);
    settle(r);
    r.out = std::max(0.0, r.out - s.charge);
    if (fate == Fate::pushed_back || fate == Fate::dial_failed || fate == Fate::unused)
      s.may_have_run = false;
    if (report.count > 0) hear_load(r, report, 0s);
    const double ratio = micros(elapsed) / std::max(s.base, 1.0);
    switch (fate) {
      case Fate::returned:
        believe(r, mg.op_type, 1, 0);
        learn_pace(r, ratio);
        fleet_wait += kWaitGain * (micros(elapsed) / (part.cost + call_cost) - fleet_wait);
        learn_work(type_of(mg), s, part, elapsed);
        if (warmth(r) >= 1) {
          warm_flow = warm_flow * fade(now - flow_at, kFlowMemory) + s.charge;
          flow_at = now;
        }
        break;
      case Fate::app_error:
      case Fate::dropped:
      case Fate::dial_failed:
      case Fate::expired:
        believe(r, mg.op_type, 0, 1);
        break;
      case Fate::pushed_back:
        learn_pace(r, r.pace * 2);
        break;
      case Fate::revoked:
        if (s.counted_late) believe(r, mg.op_type, 0, 0.5);
        if (ratio > r.pace) learn_pace(r, ratio);  // it would have taken longer still
        break;
      case Fate::unused:
        break;
    }
    if (!mg.closed && !part.returned) {
      if (fate == Fate::returned) {
        part.returned = true;
        mg.returned_parts += 1;
        if (part.step == mg.step) mg.weight_in += part.weight;
        withdraw_all(place);
      } else if (part.out() == 0) {
        if (may_repeat(part, mg)) {
          await(place);
        } else {
          mg.weight_lost += part.weight;
        }
      }
    }
    release_if_done(part.multiget);
  }

  // Where no hints come, a part's cost is the lower quartile of what an otherwise idle replica took for it.
  void learn_work(OpType& op, const SendRecord& s, const Part& part, Duration elapsed) {
    if (!s.alone || part.step > 1) return;
    const double work = std::max(micros(elapsed) - call_cost, 1000.0);
    op.part_work *= work < op.part_work ? 0.95 : 1.0167;
  }

  void client_left(const Rid& id) {
    const int place = multigets.find(id);
    if (place >= 0 && !multigets.at(place).closed) close(place, false);
  }

  // ---- ends ----

  void withdraw_all(int place, int before = static_cast<int>(kMostSends)) {
    if (!cancels) return;
    Part& part = parts.at(place);
    for (int i = 0; i < std::min(part.sent, before); ++i) {
      SendRecord& s = part.send(i);
      if (s.out && !s.withdrawn) {
        s.withdrawn = true;
        withdrawals.push_back({part.id, i});
      }
    }
  }

  void close(int place, bool answered) {
    Multiget& mg = multigets.at(place);
    const bool in_time = answered && now <= mg.taken + type_of(mg).latency_budget;
    missed += kMissGain * ((in_time ? 0 : 1) - missed);
    mg.closed = true;
    if (mg.admitted && mg.expected > 0) {
      double& stretch = type_of(mg).stretch;
      const double ratio = micros(now - mg.taken) / mg.expected;
      stretch = std::clamp(stretch * std::pow(std::clamp(ratio / stretch, 0.2, 5.0), kStretchGain), 0.2, 5.0);
    }
    abandon(mg);
    release_if_done(place);
  }

  void abandon(const Multiget& mg) {
    for (int p = mg.first_part; p >= 0; p = parts.at(p).next) {
      parts.at(p).pending = false;
      withdraw_all(p);
    }
  }

  // A place is given back once nothing of it is out, and not while verdicts are being looked for.
  void release_if_done(int place) {
    if (multigets.at(place).closed && multigets.at(place).sends_out == 0) released.push_back(place);
  }

  void sweep() {
    for (const int place : released) {
      Multiget& mg = multigets.at(place);
      for (int p = mg.first_part; p >= 0;) {
        const int next = parts.at(p).next;
        parts.give_back(p);
        p = next;
      }
      hand.erase(std::find(hand.begin(), hand.end(), place));
      multigets.give_back(place);
    }
    released.clear();
  }

  // Rules 1, 2 and 5: every final answer passes here, once.
  Verdict finish(int place, Ending ending, bool whole, Duration come_back) {
    Multiget& mg = multigets.at(place);
    const OpType& op = type_of(mg);
    if (ending != Ending::answer) {
      // A push-back promises that trying again is harmless.
      bool harmless = true;
      if (op.repeat == Repeat::non_retriable) {
        for (int p = mg.first_part; p >= 0; p = parts.at(p).next) {
          const Part& part = parts.at(p);
          for (int i = 0; i < part.sent; ++i) harmless &= !part.send(i).may_have_run;
        }
      }
      ending = harmless ? Ending::push_back : Ending::fail;
      whole = false;
      if (!contract.flag("limits.retry-after", false) || !harmless) come_back = Duration::zero();
      come_back = std::min(come_back, contract.time("limits.max-retry-after", 0s));
    }
    const bool second_step_follows = ending == Ending::answer && mg.step == 1 && op.second_step > 0;
    Verdict verdict{mg.id, ending, whole, come_back};
    if (second_step_follows) {
      mg.first_step_whole = whole;
      mg.step = 2;
      mg.weight_in = mg.weight_lost = 0;
      mg.awaited = std::min(op.second_step, mg.returned_parts);
      abandon(mg);
    } else {
      close(place, ending == Ending::answer);
    }
    return verdict;
  }

  std::optional<Verdict> next_verdict() {
    while (verdict_cursor < hand.size()) {
      const int place = hand[verdict_cursor++];
      Multiget& mg = multigets.at(place);
      if (mg.closed) continue;
      const OpType& op = type_of(mg);
      const double need = mg.step == 1 ? op.need : 1.0;
      if (mg.awaited == 0 && mg.weight_in >= need - kRounding) {
        return finish(place, Ending::answer, mg.step == 1 || mg.first_step_whole, Duration::zero());
      }
      const bool late = now >= mg.taken + op.latency_budget;
      const bool closing = now >= mg.taken + op.latency_budget - kGlance - 2 * tick;
      const bool floor_in = op.floor < op.need && mg.awaited == 0 && mg.weight_in >= op.floor - kRounding;
      // What can no longer come ends the multiget at once, unless the rest may still make an answer.
      const double possible = 1 - mg.weight_lost + kRounding;
      const bool hopeless =
          possible < std::min(need, op.floor) || (possible < need && floor_in && mg.sends_out == 0);
      if (now >= mg.last_moment || hopeless || (closing && op.partial > 0 && floor_in)) {
        return finish(place, floor_in ? Ending::answer : Ending::push_back, false, Duration::zero());
      }
      if (late && (op.late_share <= 0 || fleet_pace > 3)) return finish(place, Ending::push_back, false, 0s);
      if (!mg.admitted && mg.awaited == 0) {
        if (looking(mg)) continue;
        mg.expected = expected_time(mg);
        // Lost sends stretch multigets as a jam does, but pushing back helps against a jam only.
        const double need_us = mg.expected * (jam() > 0 ? op.stretch : 1);
        if (need_us > allowed_time(mg, op)) {
          note = "pushing back: more is asked for than can be finished in time";
          const double wait = std::isfinite(need_us) ? std::max(need_us / 2, 100'000.0) : 500'000.0;
          return finish(place, Ending::push_back, false, span(std::min(wait, 1e9)));
        }
        mg.admitted = true;
        for (int p = mg.first_part; p >= 0; p = parts.at(p).next) await(p);
      }
    }
    sweep();
    return std::nullopt;
  }

  // ---- looks ----

  // At full size a gatherer rarely meets a server twice within seconds, so its own sends tell little of what
  // it will find. Before a multiget is placed, the replicas it may use are asked, where what it would miss
  // otherwise outweighs the price.
  bool looking(Multiget& mg) {
    if (!probing) return false;
    if (!mg.looked_at) {
      mg.looked_at = now;
      double worth = 0;
      for (int p = mg.first_part; p >= 0; p = parts.at(p).next)
        worth += missed / (copies ? 4 : 2) / look_price;
      for (int k = 0; k < most_sends; ++k) {
        for (int p = mg.first_part; p >= 0 && worth >= 1; p = parts.at(p).next) {
          holders(parts.at(p));
          if (k >= static_cast<int>(candidates.size())) continue;
          const std::size_t turn = (parts.at(p).order + static_cast<std::size_t>(k)) % candidates.size();
          Replica& r = rep(candidates[turn].replica);
          if (r.asked || now - r.news_at < kStale) continue;
          r.asked = now;
          looks.push_back(candidates[turn].replica);
          worth -= 1;
        }
      }
    }
    if (now - *mg.looked_at >= kLook) return false;
    for (int p = mg.first_part; p >= 0; p = parts.at(p).next) {
      holders(parts.at(p));
      for (const Candidate& c : candidates) {
        if (rep(c.replica).asked) return true;
      }
    }
    return false;
  }

  std::optional<std::string_view> next_probe() {
    if (looks.empty()) return std::nullopt;
    const std::string_view server = rep(looks.back()).server;
    looks.pop_back();
    return server;
  }

  // ---- admission ----

  // Until as much weight is in as an answer may be given from.
  double expected_time(const Multiget& mg) {
    const OpType& op = type_of(mg);
    times.clear();
    for (int p = mg.first_part; p >= 0; p = parts.at(p).next) {
      double best = std::numeric_limits<double>::infinity();
      holders(parts.at(p));
      for (const Candidate& c : candidates) {
        Replica& r = rep(c.replica);
        // Without warmth: a cold replica's pace already holds its coldness, and counted twice it makes a
        // deploy look like a jam. Harm: the first multigets after a start may be admitted too easily.
        best = std::min(best, estimate(r, parts.at(p).cost + call_cost) * warmth(r));
      }
      times.emplace_back(best, parts.at(p).weight);
    }
    std::sort(times.begin(), times.end());
    double missing = op.partial > 0 ? std::min(op.floor, op.need) : op.need;
    for (const auto& [time, weight] : times) {
      missing -= weight;
      if (missing <= kRounding) return time;
    }
    return times.empty() ? 0 : times.back().first;
  }

  // From 0 while the fleet answers about as quickly as it has, to 1 when it is jammed. Pace is seen by
  // answers, so pushing back does not keep it high, as a share of push-backs would.
  // Answers held up by links, or by a gatherer's own stalls, are late as in a jam; where looks go out, what
  // servers report to hold tells them apart: half the wait counts only as far as much is held.
  double jam() const {
    const double told = missed > 0.05 && looked_at > now - 5s ? std::clamp(fleet_held - 0.5, 0.0, 1.0) : 1;
    return std::clamp((fleet_wait * (0.5 + 0.5 * told) - kCalmWait) / (kJammedWait - kCalmWait), 0.0, 1.0);
  }

  double allowed_time(const Multiget& mg, const OpType& op) {
    double cost = call_cost;
    for (int p = mg.first_part; p >= 0; p = parts.at(p).next) cost += parts.at(p).cost;
    const double density = mg.importance / (by_work ? 1 : cost);
    mean_density = mean_density > 0 ? mean_density + 0.02 * (density - mean_density) : density;
    // What is worth something when late as well may be tried at worse odds.
    const double odds = (kFillCalm + (kFill - kFillCalm) * jam()) * (1 + 2 * op.late_share);
    const double fill = std::clamp(odds * std::pow(density / mean_density, jam() > 0 ? 0.5 : 0.0), 0.25, 2.0);
    return fill * micros(std::min(op.latency_budget, mg.last_moment - mg.taken));
  }

  // ---- placement ----

  double warmth(const Replica& r) const {
    if (!r.started) return 1;
    const Duration age = std::max(now - *r.started, Duration::zero());
    if (age >= cold) return 1;
    return cold_from + (1 - cold_from) * (micros(age) / micros(cold));
  }

  double slowness(const Replica& r) const { return r.pace * r.hush / warmth(r); }

  // Others' work there; a replica that has not answered yet is expected to take several times as long still.
  double foreign(const Replica& r) const {
    return r.asked ? std::max(r.foreign, kAtOnce * kSilence * micros(now - *r.asked)) : r.foreign;
  }

  // How long a send of this cost is expected to take.
  double estimate(const Replica& r, double cost) const {
    return slowness(r) * (cost + (r.out + r.assigned + foreign(r)) / kAtOnce);
  }

  // A call's own cost is load, and it is taken from all that the fleet can do, not from this replica alone.
  double load(Replica& r) {
    settle(r);
    const double opening = r.call_parts == 0 ? kOpening * call_cost : 0;
    return slowness(r) * (r.assigned + r.out + r.recent + foreign(r) + opening);
  }

  // The replicas that hold a part's shard and are up, in hash order.
  void holders(const Part& part) {
    candidates.clear();
    const std::uint64_t shard =
        mix(static_cast<std::uint64_t>(part.shard) * 0x9e3779b97f4a7c15ULL ^ mix(part.key));
    const Multiget& mg = multigets.at(part.multiget);
    for (int j = 0; j < std::min(mg.width, mg.cells); ++j) {
      for (const int i : by_cell[static_cast<std::size_t>((part.shard + j) % mg.cells)])
        candidates.push_back({i, mix(rep(i).hash ^ shard), 0, 1});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
      return a.rank != b.rank ? a.rank > b.rank : a.replica < b.replica;
    });
  }

  bool may_repeat(const Part& part, const Multiget& mg) const {
    if (part.sent >= most_sends) return false;
    const OpType& op = type_of(mg);
    if (op.repeat == Repeat::retriable) return true;
    for (int i = 0; i < part.sent; ++i) {
      const SendRecord& s = part.send(i);
      if (!s.may_have_run) continue;
      // A send may wait so long for its connection, and has to leave inside the window all the same.
      if (op.repeat == Repeat::non_retriable || now > s.at + op.dedupe_window - connecting) return false;
    }
    return true;
  }

  // Rules 1, 2 and 6: every send passes here, whichever server it goes to.
  bool may_send(const Part& part) const {
    const Multiget& mg = multigets.at(part.multiget);
    if (mg.closed || part.returned || part.step != mg.step || now >= mg.last_moment) return false;
    if (!may_repeat(part, mg)) return false;
    const int out = part.out();
    if (out > 0 && (out > 1 || !copies)) return false;
    return part.sent == 0 || further_allowed(out > 0);
  }

  // Rules 3 and 4: and then here, by server.
  bool may_take(const Part& part, Replica& r) {
    return r.standing == Standing::up && cold_allows(r, part.cost + (r.call_parts == 0 ? call_cost : 0));
  }

  // The stated budget for further sends, or the module's own for second copies where none is stated; counted
  // to the safe side. A try after a failure adds no work beside the first's, so it needs no budget of ours:
  // with many parts a multiget and few multigets a gatherer, that kept failed parts waiting until the end.
  bool further_allowed(bool copy) const {
    if (!budgeted && !copy) return true;
    const WindowCount& made = budgeted ? further : copied;
    return made.at_most(now) + 1 <= further_free + further_share * taken.at_least(now);
  }

  // A cold replica falls over when all gatherers together send it more than a multiple of what it can do.
  // Each keeps to its fair share of that: what it sends an ordinary replica, times warmth and multiple.
  bool cold_allows(Replica& r, double cost) {
    const double warm = warmth(r);
    if (warm >= 1) return true;
    const auto& [oldest, its_work] = r.cold_sends[r.cold_next % r.cold_sends.size()];
    if (its_work > 0 && now - oldest <= cold_window) return false;  // more than can be kept count of
    double sent = 0;
    for (const auto& [at, work] : r.cold_sends) sent += work > 0 && now - at <= cold_window ? work : 0;
    // What others of its size carry for this gatherer, or its share of the one core that every replica has.
    const double flow = warm_flow * fade(now - flow_at, kFlowMemory) / seconds(kFlowMemory);
    if (warm_counted_at != now) {
      warm_counted_at = now;
      warm_ones = static_cast<double>(std::count_if(replicas.begin(), replicas.end(), [&](const Replica& o) {
        return o.standing == Standing::up && warmth(o) >= 1;
      }));
    }
    const double carried = std::max(flow / std::max(warm_ones, 1.0), 1e6 / peers);
    const double room = cold_multiple * warm * carried * seconds(cold_window);
    if (sent > 0 || cost <= room) return sent + cost <= room;
    return saved_share(r, cost, room) >= cost;
  }

  // A share below one send a window is saved until it holds one. As few use theirs, twice the share is saved,
  // and a start has what some windows save; down to the share where other parts are mostly for that cell.
  double saved_share(Replica& r, double cost, double room) {
    const double here = asked_of[static_cast<std::size_t>(r.cell)].recent(now, kShardMemory) - 1;
    const double even = all_asked.recent(now, kShardMemory) * width / cells;
    const double few = kOverbook * even / std::max({here, even, 1e-9});
    if (r.saved.start != r.started)
      r.saved = {cost * std::uniform_real_distribution<>()(chance) + room * std::max(few - 1, 0.0), now,
                 r.started};
    return r.saved.grown(now, room * std::max(few / 2, 1.0), cold_window, kSavedSends * cost);
  }

  // Whether a doubtful replica gets work in this turn is drawn from the posterior of its chance of success.
  double drawn(Replica& r, int op_type) {
    return std::min(drawn(r.belief, kBeliefMemory),
                    drawn(r.by_type[static_cast<std::size_t>(op_type)], kTypeMemory));
  }

  double drawn(Belief& b, Duration memory) {
    if (b.drawn_at == now) return b.drawn;
    believe(b, 0, 0, memory);
    b.drawn_at = now;
    b.drawn = 1;
    if (b.bad > 0.3) {
      const double x = std::gamma_distribution<double>(b.good, 1)(chance);
      const double y = std::gamma_distribution<double>(b.bad, 1)(chance);
      b.drawn = x / std::max(x + y, 1e-9);
    }
    return b.drawn;
  }

  // The design's choice among a part's replicas; -1 where none may be sent to.
  int pick(const Part& part) { return may_send(part) ? choose(part) : -1; }

  int choose(const Part& part) {
    holders(part);
    const Multiget& mg = multigets.at(part.multiget);
    const double trust = type_of(mg).repeat == Repeat::retriable ? 0.4 : 0.9;
    std::erase_if(candidates, [&](const Candidate& c) { return !may_take(part, rep(c.replica)); });
    if (candidates.empty()) return -1;
    const auto tried = [&](const Candidate& c) {
      for (int i = 0; i < part.sent; ++i) {
        if (part.send(i).replica == c.replica) return true;
      }
      return false;
    };
    if (part.out() > 0 || !std::all_of(candidates.begin(), candidates.end(), tried)) {
      std::erase_if(candidates, tried);
    } else if (part.sent > 0 && now < part.send(part.sent - 1).at + part.sent * kRest) {
      return -1;
    }
    if (candidates.empty()) return -1;
    double best = 0;
    for (Candidate& c : candidates) {
      c.chance = drawn(rep(c.replica), mg.op_type);
      best = std::max(best, c.chance);
    }
    std::erase_if(candidates, [&](const Candidate& c) { return c.chance < std::min(trust, best); });
    double least = std::numeric_limits<double>::infinity();
    int least_loaded = -1;
    double total = 0;
    for (Candidate& c : candidates) {
      const Replica& r = rep(c.replica);
      c.load = load(rep(c.replica));
      if (r.zone != zone) c.load += crossing * part.cost;
      total += had_of(part.shard, c.replica);
      if (c.load < least) {
        least = c.load;
        least_loaded = c.replica;
      }
    }
    if (candidates.front().load > least * kMargin) return least_loaded;
    const double cap = total / static_cast<double>(candidates.size()) + kTieShare * total;
    for (const Candidate& c : candidates) {
      if (c.load <= least * kMargin && had_of(part.shard, c.replica) <= cap) return c.replica;
    }
    return candidates.front().replica;
  }

  double& had_of(int shard, int replica) {
    return had[static_cast<std::size_t>(replica) * static_cast<std::size_t>(shards) +
               static_cast<std::size_t>(shard % shards)];
  }

  void commit(int place, int to) {
    Part& part = parts.at(place);
    Multiget& mg = multigets.at(part.multiget);
    Replica& r = rep(to);
    const bool opens = r.call_parts == 0;
    touched.push_back(to);
    r.call_parts = (r.call_parts + 1) % call_room;
    const double cost = part.cost + (opens ? call_cost : 0);
    SendRecord& s = part.sends[static_cast<std::size_t>(part.sent++)];
    s = SendRecord{};
    s.replica = to;
    s.at = now;
    s.charge = cost;
    s.alone = r.out + r.assigned <= (opens ? 0 : call_cost) + 0.05 * cost;
    s.base = part.cost + call_cost + (r.out + r.assigned + foreign(r) - (opens ? 0 : call_cost)) / kAtOnce;
    mean_charge += 0.02 * (cost - mean_charge);
    // Measured by the fleet, so that a replica known as slow does not get more time for it.
    s.expect = std::min(slowness(r), fleet_pace / warmth(r)) * s.base;
    s.out = true;
    if (part.sent > 1) further.add(now);
    if (part.out() > 1) copied.add(now);
    r.assigned += cost;
    if (warmth(r) < 1) r.cold_sends[r.cold_next++ % r.cold_sends.size()] = {now, cost};
    r.saved.work -= cost;
    mg.sends_out += 1;
    had_of(part.shard, to) += had_unit;
    // Nor is it begun behind another's frame when the window of an earlier one that may have run is over.
    Duration begun_by = mg.last_moment;
    for (int i = 0; i + 1 < part.sent && type_of(mg).repeat == Repeat::deduped; ++i)
      if (part.send(i).may_have_run)
        begun_by = std::min(begun_by, part.send(i).at + type_of(mg).dedupe_window);
    plan.push_back({part.id, r.server, mg.last_moment, begun_by});
  }

  // Looks over what is out: replicas that keep silent, and parts that want a second copy.
  void look_over() {
    for (const int i : touched) {
      rep(i).hush = 1;
      rep(i).call_parts = 0;
    }
    touched.clear();
    for (const int m : hand) {
      for (int p = multigets.at(m).first_part; p >= 0; p = parts.at(p).next) {
        Part& part = parts.at(p);
        for (int i = 0; i < part.sent; ++i) {
          SendRecord& s = part.send(i);
          if (!s.out || s.withdrawn) continue;
          Replica& r = rep(s.replica);
          const double over = micros(now - s.at) / std::max(s.expect, 1.0);
          if (over > 1.5) {
            r.hush = std::max(r.hush, over);
            touched.push_back(s.replica);
          }
          if (over > kOverdue && !s.counted_late) {
            s.counted_late = true;
            believe(r, multigets.at(m).op_type, 0, 0.5);
          }
        }
      }
    }
  }

  // Whether a replica that is overdue does not answer a look either; a replica that only has much to do does.
  bool silent(int replica) {
    Replica& r = rep(replica);
    if (probing && !r.asked && now - r.news_at >= kStale) {
      r.asked = now;
      looks.push_back(replica);
    }
    return r.asked && now - *r.asked >= std::max(kSilent, span(kSilence * look_time));
  }

  void want_copies() {
    for (const int m : hand) {
      const Multiget& mg = multigets.at(m);
      if (mg.closed || !mg.admitted) continue;
      for (int p = mg.first_part; p >= 0; p = parts.at(p).next) {
        Part& part = parts.at(p);
        if (part.returned || part.pending || part.step != mg.step || part.sent == 0) continue;
        const SendRecord& last = part.sends[static_cast<std::size_t>(part.sent - 1)];
        const double waited = micros(now - last.at);
        if (!last.out || waited < (copies ? kOverdue : kDoubted) * last.expect || !may_repeat(part, mg))
          continue;
        if (part.out() > 1) {
          withdraw_all(p, part.sent - 1);  // both are overdue: the older one makes room for a third
          continue;
        }
        if (!copies && last.withdrawn) continue;
        if (!copies && !silent(last.replica) && waited < kMoved * last.expect) continue;
        const int to = copies ? pick(part) : choose(part);
        if (to < 0 || estimate(rep(to), part.cost + call_cost) > 2 * waited) continue;
        // Where no two may be out at once, the overdue send is withdrawn, and its end sends the part again.
        if (copies)
          commit(p, to);
        else
          withdraw_all(p);
      }
    }
  }

  void place_parts() {
    planned = true;
    plan.clear();
    plan_cursor = 0;
    look_over();
    std::erase_if(pending, [&](int p) { return !parts.at(p).pending; });
    std::sort(pending.begin(), pending.end(), [&](int a, int b) {
      const Part& x = parts.at(a);
      const Part& y = parts.at(b);
      return x.cost != y.cost ? x.cost > y.cost : x.order < y.order;
    });
    std::size_t kept = 0;
    for (const int p : pending) {
      if (const int to = pick(parts.at(p)); to >= 0) {
        parts.at(p).pending = false;
        commit(p, to);
      } else {
        pending[kept++] = p;
      }
    }
    pending.resize(kept);
    want_copies();
    // Newer parts count more instead of older ones less; only their ratios are used.
    had_unit /= fade(now - had_at, kShardMemory);
    had_at = now;
    if (had_unit > 1e100) {
      for (double& h : had) h /= had_unit;
      had_unit = 1;
    }
    for (const int i : touched) {
      Replica& r = rep(i);
      settle(r);
      r.out += r.assigned;
      r.recent += r.assigned;
      r.assigned = 0;
    }
  }

  std::optional<Withdrawal> next_withdrawal() {
    if (withdrawals.empty()) return std::nullopt;
    const Withdrawal w = withdrawals.back();
    withdrawals.pop_back();
    return w;
  }

  std::optional<Send> next_send() {
    if (!planned) place_parts();
    if (plan_cursor >= plan.size()) return std::nullopt;
    return plan[plan_cursor++];
  }

  std::optional<ListCall> next_list_call() {
    if (contract.word("registry-mode", "push") != "ask" || watching || now < ask_from) return std::nullopt;
    if (asked_at && now - *asked_at < contract.time("contract.ask-every", 10s) / 2) return std::nullopt;
    asked_at = now;
    return ListCall::watch;
  }

  std::optional<std::string> next_note() {
    if (now - noted_at < 5s) note.reset();
    if (note) noted_at = now;
    return std::exchange(note, std::nullopt);
  }

  std::optional<Duration> next_wake() {
    Duration want = now + (hand.empty() ? Duration(200ms) : kGlance);
    if (!watching && ask_from > now) want = std::min(want, ask_from);
    if (wake_set && *wake_set <= want) return std::nullopt;
    wake_set = want;
    return want - now;
  }

  Contract contract;
  std::mt19937 chance;
  std::vector<OpType> op_types;
  std::vector<Customer> customers;
  double call_cost = 0;
  int present = 1;  // op types that new multigets may have; behind them, those that some in hand still have
  int call_room = 1, cells = 1, width = 1, shards = 1, most_sends = 1, zone = 0;
  double peers = 1;
  Duration tick{}, connecting{}, cold{}, cold_window{}, warm_counted_at = Duration::min() / 2;
  double cold_from = 1, cold_multiple = 1, warm_ones = 0, further_free = 0, further_share = 0;
  bool copies = false, cancels = false, budgeted = false, by_work = false;
  double crossing = 0;  // load that crossing zones adds, by the part's cost
  WindowCount taken;    // multigets and parts
  WindowCount further;  // sends beyond each part's first
  WindowCount copied;   // and those while another was out
  Slab<Multiget> multigets;
  Slab<Part> parts;
  std::vector<int> hand;  // multigets in the order of their arrival
  std::vector<int> released, pending, looks;
  std::vector<int> touched;  // replicas whose state of this turn is to be cleared
  std::vector<Send> plan;
  std::vector<Withdrawal> withdrawals;
  std::vector<Candidate> candidates;
  std::vector<std::pair<double, double>> times;  // of a multiget's parts, and their weights
  std::vector<Replica> replicas;
  std::vector<int> spare;  // places of replicas that are forgotten
  std::map<std::string, int, std::less<>> by_server;
  std::vector<std::vector<int>> by_cell;
  CellFlow all_asked;
  std::vector<CellFlow> asked_of;  // parts by cell, faded as a shard's are
  std::vector<double> had;         // recent parts by shard and replica
  double had_unit = 1;
  Duration now{}, had_at{}, flow_at{}, own_rate_at{}, looked_at{-1h}, ask_from{}, noted_at{-1h};
  std::size_t verdict_cursor = 0, plan_cursor = 0;
  bool planned = false, probing = false;
  std::uint64_t next_order = 0;
  double fleet_pace = 1;
  double fleet_wait = 1;                // time that answers lately took for their own work
  double allowances = 0, own_rate = 0;  // multigets a second; and counted, faded
  double mean_density = 0, mean_charge = 100'000, look_price = 0, look_time = 1000;
  double missed = 0.05;                      // share of own multigets not answered within the latency budget
  double fleet_foreign = 0, fleet_held = 1;  // others' work, and parts held, at a replica
  double warm_flow = 0;                      // own cost that warm replicas answered for, faded
  std::array<double, 4> unit{};              // parts in hand that one of each reported value stands for
  bool list_remembered = false, watching = false;
  std::optional<Duration> asked_at, wake_set;
  int refusals = 0;
  std::optional<std::string> note;
};

Choice::Choice(const Terms& terms, std::uint32_t seed) : mind_(std::make_unique<Mind>(terms, seed)) {}
Choice::~Choice() = default;
Choice::Choice(Choice&&) noexcept = default;
Choice& Choice::operator=(Choice&&) noexcept = default;

void Choice::renew(const Terms& terms) {
  Mind(terms, 0);  // refuses what makes no sense before anything changes
  mind_->renew(terms);
}

void Choice::clock(Duration now) { mind_->clock(now); }
void Choice::list_opens(bool whole, bool remembered) { mind_->list_opens(whole, remembered); }
void Choice::list_row(const ListRow& row) { mind_->list_row(row); }
void Choice::list_closes() { mind_->list_closes(); }
void Choice::list_refused(Duration most_backoff) { mind_->list_refused(most_backoff); }
void Choice::multiget_taken(const MultigetAsk& ask) { mind_->multiget_taken(ask); }
void Choice::part_taken(const PartAsk& ask) { mind_->part_taken(ask); }
void Choice::send_ended(const Rid& part, int send, Fate fate, Duration elapsed, const LoadReport& load) {
  mind_->send_ended(part, send, fate, elapsed, load);
}
void Choice::client_left(const Rid& multiget) { mind_->client_left(multiget); }
std::optional<Verdict> Choice::next_verdict() { return mind_->next_verdict(); }
std::optional<Withdrawal> Choice::next_withdrawal() { return mind_->next_withdrawal(); }
std::optional<Send> Choice::next_send() { return mind_->next_send(); }
void Choice::probe_ended(std::string_view server, Fate fate, Duration elapsed, const LoadReport& load) {
  mind_->probe_ended(server, fate, elapsed, load);
}
std::optional<std::string_view> Choice::next_probe() { return mind_->next_probe(); }
std::optional<ListCall> Choice::next_list_call() { return mind_->next_list_call(); }
std::optional<std::string> Choice::next_note() { return mind_->next_note(); }
std::optional<Duration> Choice::next_wake() { return mind_->next_wake(); }
std::size_t Choice::servers_known() const { return mind_->by_server.size(); }

}  // namespace marbledyke
