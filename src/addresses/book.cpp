#include "addresses/book.h"

#include <algorithm>
#include <array>

namespace marbledyke::addresses {
namespace {

using namespace std::chrono_literals;

// RFC 6298's weights for the smoothed time and its spread, and its margin.
constexpr int kSmoothing = 8, kSpreading = 4, kMargin = 4;
// A fault counts on from the former ones unless the address stayed sound for so many of its last holds: one
// that flaps is held longer each time.
constexpr int kQuietHolds = 2;
constexpr int kMostDoublings = 16;

}  // namespace

std::string_view name_of(End end) {
  static constexpr std::array<std::string_view, 7> kNames{"came_up", "refused", "hung",      "reset_early",
                                                          "silent",  "no_room", "not_needed"};
  return kNames[static_cast<std::size_t>(end)];
}

// ---- membership ----

void Book::news_opens(bool whole) {
  ++news_;
  whole_ = whole;
  if (!whole) return;
  for (auto& [name, server] : servers_) server.seen = false;
}

void Book::listed(const std::string& name, bool up, std::vector<Address> addresses) {
  Server& server = servers_[name];
  server.seen = true;
  server.up = up;
  server.listed = std::move(addresses);
  merge(name, server, news_);
}

void Book::stays(std::string_view name) {
  const auto at = servers_.find(name);
  if (at != servers_.end()) at->second.seen = true;
}

void Book::gone(const std::string& name) {
  const auto at = servers_.find(name);
  if (at == servers_.end()) return;
  for (Known& known : at->second.known) {
    forget_doubt(name, known);
    unclaim(name, known.address);
  }
  servers_.erase(at);
}

void Book::news_closes() {
  if (!whole_) return;
  std::vector<std::string> unnamed;
  for (const auto& [name, server] : servers_) {
    if (!server.seen) unnamed.push_back(name);
  }
  for (const std::string& name : unnamed) gone(name);
}

void Book::configure(const Rules& rules, std::map<std::string, Configured, std::less<>> configured) {
  rules_ = rules;
  configured_ = std::move(configured);
  ++news_;
  for (auto& [name, server] : servers_) merge(name, server, news_);
}

// The list's addresses and the operator's, each once. Whatever stays keeps what is known of it.
void Book::merge(const std::string& name, Server& server, std::uint64_t stamp) {
  std::vector<Address> all = server.listed;
  if (const auto at = configured_.find(name); at != configured_.end()) {
    if (at->second.instead) all.clear();
    all.insert(all.end(), at->second.addresses.begin(), at->second.addresses.end());
  }
  std::vector<Known> known;
  for (const Address& address : all) {
    const auto is = [&](const Known& one) { return one.address == address; };
    if (std::any_of(known.begin(), known.end(), is) || known.size() == kMostAddresses) continue;
    const auto old = std::find_if(server.known.begin(), server.known.end(), is);
    if (old != server.known.end()) {
      known.push_back(*old);
    } else {
      Known fresh;
      fresh.address = address;
      fresh.claimed = stamp;
      known.push_back(fresh);
      auto& claims = claims_[address];
      claims[name] = stamp;
      if (claims.size() > 1) tally_.contested += 1;
    }
  }
  for (Known& old : server.known) {
    const auto is = [&](const Known& one) { return one.address == old.address; };
    if (std::any_of(known.begin(), known.end(), is)) continue;
    forget_doubt(name, old);
    unclaim(name, old.address);
  }
  server.known = std::move(known);
  // Where one address is left there is nothing to choose, and nothing to try beside parts.
  if (server.known.size() == 1) forget_doubt(name, server.known.front());
}

void Book::unclaim(const std::string& server, const Address& address) {
  const auto at = claims_.find(address);
  if (at == claims_.end()) return;
  at->second.erase(server);
  if (at->second.empty()) claims_.erase(at);
}

// An address named for two servers leads to one of them at most. The newer claim holds: it has moved. Where
// both came in one piece of news neither holds, since a part at the wrong server is worse than a detour.
bool Book::contested(const std::string& server, const Address& address) const {
  const auto at = claims_.find(address);
  if (at == claims_.end() || at->second.size() < 2) return false;
  const std::uint64_t own = at->second.find(server)->second;
  return std::any_of(at->second.begin(), at->second.end(),
                     [&](const auto& other) { return other.first != server && other.second >= own; });
}

bool Book::usable(std::string_view name, const Address& address) const {
  const auto at = servers_.find(name);
  if (at == servers_.end()) return false;
  const std::vector<Known>& known = at->second.known;
  if (std::none_of(known.begin(), known.end(), [&](const Known& one) { return one.address == address; }))
    return false;
  return known.size() == 1 || !contested(at->first, address);
}

// Sound before doubted; the sound ones by the operator's preference and then as they were named, the doubted
// ones by how long they have been left alone.
std::vector<const Book::Known*> Book::ranked(std::string_view name) const {
  std::vector<const Known*> out;
  const auto at = servers_.find(name);
  if (at == servers_.end()) return out;
  for (const Known& known : at->second.known) {
    if (at->second.known.size() == 1 || !contested(at->first, known.address)) out.push_back(&known);
  }
  std::stable_sort(out.begin(), out.end(), [&](const Known* a, const Known* b) {
    if (a->doubted != b->doubted) return b->doubted;
    if (a->doubted) return a->last_fault < b->last_fault;
    return preference(a->address.family()) < preference(b->address.family());
  });
  return out;
}

std::vector<Address> Book::order(std::string_view server) const {
  std::vector<Address> out;
  for (const Known* known : ranked(server)) out.push_back(known->address);
  return out;
}

std::size_t Book::preference(Family family) const {
  return static_cast<std::size_t>(std::find(rules_.prefer.begin(), rules_.prefer.end(), family) -
                                  rules_.prefer.begin());
}

Book::Known* Book::find(std::string_view name, const Address& address) {
  const auto at = servers_.find(name);
  if (at == servers_.end()) return nullptr;
  for (Known& known : at->second.known) {
    if (known.address == address) return &known;
  }
  return nullptr;
}

// ---- races ----

Book::RaceId Book::begin(std::string_view server, Duration now) {
  Race race;
  race.server = server;
  race.left = order(server);
  race.several = race.left.size() > 1;
  std::reverse(race.left.begin(), race.left.end());
  race.limit = now + (race.several ? std::max(rules_.race, rules_.attempt) : rules_.attempt);
  tally_.races += 1;
  const RaceId id = next_race_++;
  races_.emplace(id, std::move(race));
  return id;
}

Step Book::next(RaceId id, Duration now) {
  Race& race = races_.at(id);
  Step step;
  const auto lost = [&] {
    step.what = Step::What::lost;
    if (!race.decided) tally_.races_lost += 1;
    race.decided = true;
    return step;
  };
  if (race.decided) return lost();
  int out = 0;
  Duration wake = race.limit;
  for (Attempt& attempt : race.attempts) {
    if (!attempt.out) continue;
    if (now >= attempt.limit) {
      step.what = Step::What::abandon;
      step.attempt = attempt.number;
      ended(id, attempt.number, End::hung, now);
      return step;
    }
    ++out;
    wake = std::min(wake, attempt.limit);
  }
  if (now >= race.limit) return lost();
  // What the list took away while this race was on is not dialled any more.
  while (!race.left.empty() && !usable(race.server, race.left.back())) race.left.pop_back();
  if (race.left.empty() && out == 0) return lost();
  if (!race.left.empty() && out < rules_.at_once) {
    const Duration due =
        out == 0 || race.hurry ? now : race.attempts.back().started + race.attempts.back().stagger;
    if (now >= due) {
      Known& known = *find(race.server, race.left.back());
      Attempt attempt;
      attempt.number = static_cast<int>(race.attempts.size());
      attempt.to = known.address;
      attempt.started = now;
      attempt.limit = std::min(now + rules_.attempt, race.limit);
      attempt.stagger = known.doubted ? rules_.stagger_least : stagger_for(known);
      race.left.pop_back();
      race.attempts.push_back(attempt);
      race.hurry = false;
      tally_.dials += 1;
      step.what = Step::What::dial;
      step.attempt = attempt.number;
      step.to = attempt.to;
      step.prove = race.several &&
                   (rules_.prove == Prove::always || (rules_.prove == Prove::in_doubt && !known.proven));
      return step;
    }
    wake = std::min(wake, due);
  }
  step.until = wake;
  return step;
}

void Book::ended(RaceId id, int number, End end, Duration now) {
  Race& race = races_.at(id);
  Attempt& attempt = race.attempts[static_cast<std::size_t>(number)];
  if (!attempt.out) return;
  attempt.out = false;
  Known* const known = find(race.server, attempt.to);
  if (end == End::came_up) {
    race.decided = true;
    if (number > 0) tally_.second_choice += 1;
    if (known == nullptr || !race.several) return;
    learn(*known, now - attempt.started);
    // One that lost its head start is in doubt until a trial of its own passes; otherwise each new connection
    // would wait for it anew.
    for (Attempt& other : race.attempts) {
      if (!other.out || now - other.started < other.stagger) continue;
      if (Known* const slow = find(race.server, other.to)) fault(race.server, *slow, now);
    }
    forget_doubt(race.server, *known);
    good(*known);
    return;
  }
  if (end == End::no_room || end == End::not_needed) {
    race.hurry = true;
    return;
  }
  race.hurry = true;
  if (known != nullptr && race.several) fault(race.server, *known, now);
}

void Book::over(RaceId race) { races_.erase(race); }

Duration Book::stagger_for(const Known& known) const {
  if (known.smoothed == Duration::zero()) return rules_.stagger;
  return std::clamp(known.smoothed + kMargin * known.spread, rules_.stagger_least, rules_.stagger);
}

void Book::learn(Known& known, Duration took) {
  took = std::max(took, Duration(1));
  if (known.smoothed == Duration::zero()) {
    known.smoothed = took;
    known.spread = took / 2;
    return;
  }
  const Duration off = took > known.smoothed ? took - known.smoothed : known.smoothed - took;
  known.spread += (off - known.spread) / kSpreading;
  known.smoothed += (took - known.smoothed) / kSmoothing;
}

// ---- what is known ----

void Book::good(Known& known) { known.proven = true; }

void Book::fault(const std::string& server, Known& known, Duration now) {
  const auto at = servers_.find(server);
  if (at == servers_.end() || at->second.known.size() < 2) return;
  if (known.doubted && known.retry_at > now && !known.on_trial) {
    known.last_fault = now;  // a last resort that failed as well: its hold goes on
    return;
  }
  known.faults = now - known.last_fault > kQuietHolds * known.hold ? 1 : known.faults + 1;
  Duration hold = rules_.hold;
  for (int i = 1; i < std::min(known.faults, kMostDoublings) && hold < rules_.hold_most; ++i) hold *= 2;
  hold = std::min(hold, rules_.hold_most);
  known.hold = hold;
  known.last_fault = now;
  known.proven = false;
  if (!known.doubted) tally_.doubts += 1;
  forget_doubt(server, known);
  known.doubted = true;
  // A fifth earlier or later, so that addresses which failed together are not tried together.
  const auto spread = static_cast<std::uint32_t>(hold.count() * 2 / 5 + 1);
  known.retry_at = now + hold * 4 / 5 + Duration(static_cast<std::int64_t>(chance_() % spread));
  due_.insert({known.retry_at, {server, known.address}});
}

void Book::forget_doubt(const std::string& server, Known& known) {
  if (!known.doubted) return;
  due_.erase({known.retry_at, {server, known.address}});
  known.doubted = false;
}

void Book::spoke(std::string_view server, const Address& address) {
  if (Known* const known = find(server, address)) good(*known);
}

void Book::failed(std::string_view server, const Address& address, End end, Duration now) {
  if (end != End::reset_early && end != End::silent) return;
  if (Known* const known = find(server, address)) fault(std::string(server), *known, now);
}

// ---- trials ----

std::optional<Trial> Book::next_trial(Duration now) {
  while (!due_.empty() && due_.begin()->first <= now && trials_ < rules_.trials_at_once) {
    const auto [at, key] = *due_.begin();
    due_.erase(due_.begin());
    Known* const known = find(key.first, key.second);
    if (known == nullptr) continue;
    // A server that takes nothing new is left alone; its addresses stay in doubt.
    if (known->on_trial || !servers_.find(key.first)->second.up || !usable(key.first, key.second)) {
      known->retry_at = now + rules_.hold;
      due_.insert({known->retry_at, key});
      continue;
    }
    known->on_trial = true;
    ++trials_;
    tally_.trials += 1;
    return Trial{key.first, key.second, rules_.attempt};
  }
  return std::nullopt;
}

void Book::trial_ended(const Trial& trial, End end, Duration took, Duration now) {
  --trials_;
  Known* const known = find(trial.server, trial.to);
  // Taken away meanwhile, and perhaps named again, or proved by a race.
  if (known == nullptr || !known->on_trial) return;
  if (end == End::came_up) {
    tally_.trials_passed += 1;
    learn(*known, took);
    forget_doubt(trial.server, *known);
    good(*known);
  } else if (end == End::no_room || end == End::not_needed) {
    if (known->doubted) {
      due_.erase({known->retry_at, {trial.server, trial.to}});
      known->retry_at = now + rules_.hold;
      due_.insert({known->retry_at, {trial.server, trial.to}});
    }
  } else {
    fault(trial.server, *known, now);
  }
  known->on_trial = false;
}

std::optional<Duration> Book::next_trial_at() const {
  if (due_.empty() || trials_ >= rules_.trials_at_once) return std::nullopt;
  return due_.begin()->first;
}

std::string Book::describe(std::string_view server, Duration now) const {
  std::string out;
  for (const Known* known : ranked(server)) {
    if (!out.empty()) out += ", ";
    out += known->address.text();
    if (known->doubted) {
      out += known->on_trial ? " on trial"
                             : " in doubt for " + std::to_string((known->retry_at - now) / 1ms) +
                                   " ms, fault " + std::to_string(known->faults);
    } else {
      out += known->proven ? " proven" : " fresh";
    }
  }
  return out.empty() ? "none" : out;
}

}  // namespace marbledyke::addresses
