#include "checker/checker.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

namespace marbledyke::checker {

using namespace std::chrono_literals;

namespace {

constexpr std::array<const char*, 16> kWhats{
    "taken", "sent",    "arrived", "began",   "told", "answered", "pushed_back", "failed",
    "left",  "learned", "started", "stopped", "died", "stalled",  "resumed",     "joined"};
constexpr std::array<const char*, 8> kFates{"returned",    "app_error", "pushed_back", "expired",
                                            "dial_failed", "dropped",   "revoked",     "unused"};
constexpr std::size_t kLongestTrace = 200;

bool never_ran(SendOutcome fate) {
  return fate == SendOutcome::pushed_back || fate == SendOutcome::dial_failed || fate == SendOutcome::unused;
}

}  // namespace

std::string text_of(const Event& e) {
  std::string out = std::to_string(e.at.count()) + " us " + kWhats[static_cast<std::size_t>(e.what)];
  const auto put = [&](const char* key, auto value) {
    out += std::string(" ") + key + "=" + std::to_string(value);
  };
  if (e.gatherer >= 0) put("gatherer", e.gatherer);
  if (e.multiget != 0) put("multiget", e.multiget);
  if (e.shard >= 0) put("shard", e.shard);
  if (e.send >= 0) put("send", e.send);
  if (e.server >= 0) put("server", e.server);
  if (e.what == What::told) out += std::string(" fate=") + kFates[static_cast<std::size_t>(e.fate)];
  if (e.what == What::taken) {
    put("op_type", e.op_type);
    put("until_us", e.until.count());
  }
  if (e.what == What::taken || e.what == What::answered) put("parts", e.count);
  if (e.what == What::answered) out += e.whole ? " whole" : " in_part";
  if (e.what == What::learned)
    out += e.standing == ServerStatus::up         ? " up"
           : e.standing == ServerStatus::draining ? " draining"
                                                  : " gone";
  if (e.what == What::started) out += e.cold ? " cold" : " warm";
  return out;
}

Checker::Checker(const Rules& rules) : rules_(rules) {}

std::uint64_t Checker::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

void Checker::breach(int rule, const std::string& what, Duration at, const std::vector<Event>& trace) {
  counts_[static_cast<std::size_t>(rule)] += 1;
  if (breaches_.size() < kKept) breaches_.push_back({rule, what, at, trace});
}

void Checker::forget(std::uint64_t id, Duration now) {
  const auto at = open_.find(id);
  if (at == open_.end()) return;
  due_.erase({at->second.until, id});
  open_.erase(at);
  if (rules_.crossing <= Duration::zero()) return;
  lately_.emplace_back(now, id);
  over_lately_.insert(id);
}

void Checker::see(const Event& event) {
  while (!lately_.empty() && lately_.front().first + rules_.crossing < event.at) {
    over_lately_.erase(lately_.front().second);
    lately_.pop_front();
  }
  // Whoever has no answer when its time is up was let down, whatever comes later.
  while (!due_.empty() && due_.begin()->first + rules_.slack < event.at) {
    const std::uint64_t id = due_.begin()->second;
    due_.erase(due_.begin());
    Multiget& late = open_.at(id);
    if (const auto still = stalled_.find(late.gatherer); !late.over && still != stalled_.end()) {
      still->second.up.push_back(id);
      continue;
    }
    if (!late.over) {
      late.over = true;
      late.over_at = event.at;
      breach(1, "no final answer before the client's time was up", event.at, late.trace);
    }
    if (late.out == 0) open_.erase(id);
  }
  switch (event.what) {
    case What::started: {
      Server& server = servers_[event.server];
      server = {};
      server.cold = event.cold;
      server.started = event.at;
      server.trace.push_back(event);
      knows_cold_.erase(knows_cold_.lower_bound({event.server, -1}),
                        knows_cold_.lower_bound({event.server + 1, -1}));
      return;
    }
    case What::stopped:
      servers_[event.server].work.clear();
      servers_[event.server].sum = 0;
      return;
    case What::learned: {
      const std::pair<int, int> key{event.gatherer, event.server};
      if (event.cold) knows_cold_.emplace(std::pair{event.server, event.gatherer}, event.at);
      if (event.standing == ServerStatus::up) {
        taking_nothing_.erase(key);
      } else {
        taking_nothing_.emplace(key, event.at);
      }
      return;
    }
    case What::died: {
      std::vector<std::uint64_t> its;
      for (const auto& [id, mg] : open_) {
        if (mg.gatherer == event.gatherer) its.push_back(id);
      }
      for (const std::uint64_t id : its) forget(id, event.at);
      unlearn(event.gatherer);
      budgets_.erase(event.gatherer);  // it starts from nothing
      stalled_.erase(event.gatherer);
      return;
    }
    case What::stalled:
      stalled_.try_emplace(event.gatherer, Stall{event.at, {}});
      return;
    case What::resumed: {
      const auto still = stalled_.find(event.gatherer);
      if (still == stalled_.end()) return;
      for (const std::uint64_t id : still->second.up) {
        const auto late = open_.find(id);
        if (late == open_.end() || late->second.over) continue;
        late->second.until = event.at;
        due_.emplace(event.at, id);
      }
      // What came meanwhile, or was on its way when it began, was read only now, and says how long its client
      // waits, not since when (drawn fleet 79 on sockets).
      for (auto& [id, mg] : open_) {
        if (mg.gatherer != event.gatherer || mg.over || mg.taken < still->second.since - rules_.crossing)
          continue;
        due_.erase({mg.until, id});
        mg.until = std::max(mg.until, mg.asked_until + (event.at - mg.taken));
        due_.emplace(mg.until, id);
      }
      stalled_.erase(still);
      return;
    }
    case What::joined:
      budgets_[event.gatherer].joined.push_back(event.at);
      unlearn(event.gatherer);
      return;
    case What::taken: {
      Multiget& mg = open_[event.multiget];
      mg.gatherer = event.gatherer;
      mg.op_type = event.op_type;
      mg.parts = event.count;
      mg.until = mg.asked_until = event.until;
      mg.taken = event.at;
      mg.trace.push_back(event);
      due_.emplace(mg.until, event.multiget);
      Budget& budget = budgets_[event.gatherer];
      while (!budget.taken.empty() && budget.taken.front() < event.at - rules_.further_window)
        budget.taken.pop_front();
      budget.taken.insert(budget.taken.end(), static_cast<std::size_t>(1 + event.count), event.at);
      return;
    }
    default:
      break;
  }
  const auto at = open_.find(event.multiget);
  if (at == open_.end()) {
    // What is not in hand any more is of interest only where it is done again.
    if (event.what == What::sent && !over_lately_.contains(event.multiget))
      breach(1, "a part sent for a multiget that is over", event.at, {event});
    if (event.what == What::answered || event.what == What::pushed_back || event.what == What::failed)
      breach(1, "a second final answer", event.at, {event});
    if (event.what == What::arrived) arrived(event);
    return;
  }
  Multiget& mg = at->second;
  if (mg.trace.size() < kLongestTrace) mg.trace.push_back(event);
  switch (event.what) {
    case What::sent:
      sent(event, mg);
      break;
    case What::arrived: {
      arrived(event);
      // A server knows what it has had for the length of the window.
      Part& part = mg.by_shard[event.shard];
      const OpRule& op = rules_.op_types[static_cast<std::size_t>(mg.op_type)];
      if (op.deduped && part.first_run && event.at > *part.first_run + op.window + rules_.slack)
        breach(2, "a deduped part came again outside its window", event.at, mg.trace);
      break;
    }
    case What::began: {
      Part& part = mg.by_shard[event.shard];
      for (Send& send : part.sends) {
        if (send.number != event.send) continue;
        send.ran = true;
        if (!send.may_have_run) breach(2, "a part ran that was told as never run", event.at, mg.trace);
      }
      const OpRule& op = rules_.op_types[static_cast<std::size_t>(mg.op_type)];
      if (!part.first_run) part.first_run = event.at;
      if (++part.runs > 1 && op.non_retriable)
        breach(2, "a non-retriable part ran twice", event.at, mg.trace);
      break;
    }
    case What::told: {
      Part& part = mg.by_shard[event.shard];
      for (Send& send : part.sends) {
        if (send.number != event.send) continue;
        if (!send.out) breach(1, "a send with two fates", event.at, mg.trace);
        send.out = false;
        mg.out -= 1;
        if (never_ran(event.fate)) {
          send.may_have_run = false;
          if (send.ran) breach(2, "a part told as never run had run", event.at, mg.trace);
        }
        if (event.fate == SendOutcome::returned) {
          part.returned = true;
          if (event.heard && !part.returned_at) part.returned_at = event.at;
        }
      }
      if (mg.over && mg.out == 0) forget(event.multiget, event.at);
      break;
    }
    case What::answered:
    case What::pushed_back:
    case What::failed:
      final(event, mg);
      break;
    case What::left:
      mg.over = true;
      mg.over_at = event.at;
      if (mg.out == 0) forget(event.multiget, event.at);
      break;
    default:
      break;
  }
}

// A process that starts knows nothing of the list until it is told.
void Checker::unlearn(int gatherer) {
  std::erase_if(taking_nothing_, [&](const auto& one) { return one.first.first == gatherer; });
  std::erase_if(knows_cold_, [&](const auto& one) { return one.first.second == gatherer; });
}

void Checker::sent(const Event& event, Multiget& mg) {
  const OpRule& op = rules_.op_types[static_cast<std::size_t>(mg.op_type)];
  if (mg.over && event.at > mg.over_at + rules_.crossing)
    breach(1, "a part sent after the final answer", event.at, mg.trace);
  Part& part = mg.by_shard[event.shard];
  if (part.returned_at && event.at > *part.returned_at + rules_.crossing)
    breach(5, "a part sent again that had been returned", event.at, mg.trace);
  for (const Send& earlier : part.sends) {
    if (!earlier.may_have_run) continue;
    if (op.non_retriable) {
      breach(2, "a non-retriable part sent again though an earlier send may have run", event.at, mg.trace);
      break;
    }
    if (op.deduped && event.at > earlier.at + op.window) {
      breach(2, "a deduped part sent again outside its window", event.at, mg.trace);
      break;
    }
  }
  const auto since = taking_nothing_.find({event.gatherer, event.server});
  if (since != taking_nothing_.end() && event.at > since->second + rules_.drain_grace + rules_.crossing)
    breach(3, "a part sent to a server known to drain or to be gone", event.at, mg.trace);
  Budget& budget = budgets_[event.gatherer];
  if (!part.sends.empty()) {
    const Duration from = event.at - rules_.further_window;
    while (!budget.taken.empty() && budget.taken.front() < from) budget.taken.pop_front();
    while (!budget.further.empty() && budget.further.front() < from) budget.further.pop_front();
    budget.further.push_back(event.at);
    // A process that came beside another has a floor of its own, from nothing.
    while (!budget.joined.empty() && budget.joined.front() < from) budget.joined.pop_front();
    const double allowed = rules_.further_floor * static_cast<double>(1 + budget.joined.size()) +
                           rules_.further_share * static_cast<double>(budget.taken.size());
    // Both ends of a window are counted to the sender's good: one send may stand on its edge.
    if (static_cast<double>(budget.further.size()) > allowed + 1)
      breach(6, "more further sends than the budget has", event.at, mg.trace);
  }
  part.sends.push_back({event.send, event.server, event.at, true, true, false});
  mg.out += 1;
}

// All gatherers together: the work that came in over a window, against what a server as cold as this one can
// do. What a gatherer sent before it could know of the start is not held against it.
void Checker::arrived(const Event& event) {
  const auto at = servers_.find(event.server);
  if (at == servers_.end() || !at->second.cold) return;
  const auto knows = knows_cold_.find({event.server, event.gatherer});
  if (knows == knows_cold_.end() || event.at < knows->second + rules_.slack) return;
  Server& server = at->second;
  const Duration age = event.at - server.started;
  if (age >= rules_.cold) {
    server.cold = false;
    server.work.clear();
    server.trace.clear();
    return;
  }
  server.work.push_back({event.at, event.work});
  server.sum += event.work;
  server.trace.push_back(event);
  if (server.trace.size() > kLongestTrace) server.trace.pop_front();
  while (server.work.front().first < event.at - rules_.overload_for) {
    server.sum -= server.work.front().second;
    server.work.pop_front();
    server.over = false;
  }
  const double warm = rules_.cold_from + (1 - rules_.cold_from) * std::chrono::duration<double>(age).count() /
                                             std::chrono::duration<double>(rules_.cold).count();
  const double able = warm * rules_.cores * std::chrono::duration<double>(rules_.overload_for).count();
  // A single part is no stampede, however large.
  if (server.sum > rules_.fall_multiple * able && server.work.size() > 1 && !server.over) {
    server.over = true;
    breach(4, "a cold server was given more than it can stand", event.at,
           {server.trace.begin(), server.trace.end()});
  }
}

void Checker::final(const Event& event, Multiget& mg) {
  if (mg.over) return breach(1, "a second final answer", event.at, mg.trace);
  mg.over = true;
  mg.over_at = event.at;
  if (event.at > mg.until + rules_.slack)
    breach(1, "the final answer came after the client's time", event.at, mg.trace);
  const OpRule& op = rules_.op_types[static_cast<std::size_t>(mg.op_type)];
  if (event.what == What::pushed_back && op.non_retriable) {
    for (const auto& [shard, part] : mg.by_shard) {
      for (const Send& send : part.sends) {
        if (send.may_have_run) {
          breach(2, "a multiget pushed back though a non-retriable part may have run", event.at, mg.trace);
          break;
        }
      }
    }
  }
  if (event.what == What::answered) {
    const auto in = std::count_if(mg.by_shard.begin(), mg.by_shard.end(),
                                  [](const auto& one) { return one.second.returned; });
    const double share = static_cast<double>(in) / std::max(mg.parts, 1);
    if (event.count > in) breach(5, "an answer with parts that had not returned", event.at, mg.trace);
    if (share < op.floor - 1e-9) breach(5, "an answer under the floor", event.at, mg.trace);
    if (event.whole && share < op.need - 1e-9)
      breach(5, "an answer marked whole that is not", event.at, mg.trace);
  }
  due_.erase({mg.until, event.multiget});
  if (mg.out == 0) forget(event.multiget, event.at);
}

void Checker::finish(Duration end) {
  Event last;
  last.at = end;
  last.what = What::stopped;
  last.server = -2;
  see(last);
  servers_.erase(-2);
}

}  // namespace marbledyke::checker
