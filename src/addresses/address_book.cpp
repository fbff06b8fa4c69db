#include "addresses/address_book.h"

#include <algorithm>
#include <array>

namespace marbledyke::addresses {
namespace {

// The weights and the margin by which RFC 6298 smooths a measured time and its variation.
constexpr int kTimeWeight = 8, kSpreadWeight = 4, kSpreadMargin = 4;
// Faults accumulate unless the address had none for this many times its last hold, so that an address that
// flaps is held longer each time.
constexpr int kQuietHolds = 2;
constexpr int kMaxDoublings = 16;

}  // namespace

std::string_view name_of(AttemptOutcome outcome) {
  static constexpr std::array<std::string_view, 7> kNames{"came_up", "refused", "hung",      "reset_early",
                                                          "silent",  "no_room", "not_needed"};
  return kNames[static_cast<std::size_t>(outcome)];
}

// ---- membership ----

void AddressBook::begin_update(bool snapshot) {
  ++update_;
  snapshot_ = snapshot;
  if (!snapshot) return;
  for (auto& [name, server] : servers_) server.seen = false;
}

void AddressBook::update_server(const std::string& name, bool up, std::vector<Address> addresses) {
  Server& server = servers_[name];
  server.seen = true;
  server.up = up;
  server.listed = std::move(addresses);
  merge(name, server, update_);
}

void AddressBook::keep_server(std::string_view name) {
  const auto at = servers_.find(name);
  if (at != servers_.end()) at->second.seen = true;
}

void AddressBook::remove_server(const std::string& name) {
  const auto at = servers_.find(name);
  if (at == servers_.end()) return;
  for (AddressState& state : at->second.addresses) {
    clear_doubt(name, state);
    remove_claim(name, state.address);
  }
  servers_.erase(at);
}

void AddressBook::finish_update() {
  if (!snapshot_) return;
  std::vector<std::string> not_named;
  for (const auto& [name, server] : servers_) {
    if (!server.seen) not_named.push_back(name);
  }
  for (const std::string& name : not_named) remove_server(name);
}

void AddressBook::configure(const ConnectSettings& settings,
                            std::map<std::string, ServerOverride, std::less<>> overrides) {
  settings_ = settings;
  overrides_ = std::move(overrides);
  ++update_;
  for (auto& [name, server] : servers_) merge(name, server, update_);
}

// Joins the list's addresses and the operator's, each once. Addresses that remain keep their state.
void AddressBook::merge(const std::string& name, Server& server, std::uint64_t update) {
  std::vector<Address> all = server.listed;
  if (const auto at = overrides_.find(name); at != overrides_.end()) {
    if (at->second.replaces_listed) all.clear();
    all.insert(all.end(), at->second.addresses.begin(), at->second.addresses.end());
  }
  std::vector<AddressState> merged;
  for (const Address& address : all) {
    const auto is = [&](const AddressState& one) { return one.address == address; };
    if (std::any_of(merged.begin(), merged.end(), is) || merged.size() == kMaxAddressesPerServer) continue;
    const auto old = std::find_if(server.addresses.begin(), server.addresses.end(), is);
    if (old != server.addresses.end()) {
      merged.push_back(*old);
    } else {
      AddressState fresh;
      fresh.address = address;
      fresh.claimed = update;
      merged.push_back(fresh);
      auto& claims = claims_[address];
      claims[name] = update;
      if (claims.size() > 1) counters_.contested += 1;
    }
  }
  for (AddressState& old : server.addresses) {
    const auto is = [&](const AddressState& one) { return one.address == old.address; };
    if (std::any_of(merged.begin(), merged.end(), is)) continue;
    clear_doubt(name, old);
    remove_claim(name, old.address);
  }
  server.addresses = std::move(merged);
  // A single address leaves no choice, so it is never in doubt and needs no trials.
  if (server.addresses.size() == 1) clear_doubt(name, server.addresses.front());
}

void AddressBook::remove_claim(const std::string& server, const Address& address) {
  const auto at = claims_.find(address);
  if (at == claims_.end()) return;
  at->second.erase(server);
  if (at->second.empty()) claims_.erase(at);
}

// An address that is named for two servers can reach only one of them. The newer claim holds, since the
// address has moved. Where both came in one update neither holds: a part at the wrong server is worse than a
// detour.
bool AddressBook::is_contested(const std::string& server, const Address& address) const {
  const auto at = claims_.find(address);
  if (at == claims_.end() || at->second.size() < 2) return false;
  const std::uint64_t own = at->second.find(server)->second;
  return std::any_of(at->second.begin(), at->second.end(),
                     [&](const auto& other) { return other.first != server && other.second >= own; });
}

bool AddressBook::is_usable(std::string_view name, const Address& address) const {
  const auto at = servers_.find(name);
  if (at == servers_.end()) return false;
  const std::vector<AddressState>& states = at->second.addresses;
  if (std::none_of(states.begin(), states.end(),
                   [&](const AddressState& one) { return one.address == address; }))
    return false;
  return states.size() == 1 || !is_contested(at->first, address);
}

// Returns the usable addresses: first those not in doubt, by the operator's preferred family and then in the
// order in which they were named, then those in doubt, the one whose last fault is oldest first.
std::vector<const AddressBook::AddressState*> AddressBook::ranked(std::string_view name) const {
  std::vector<const AddressState*> out;
  const auto at = servers_.find(name);
  if (at == servers_.end()) return out;
  for (const AddressState& state : at->second.addresses) {
    if (at->second.addresses.size() == 1 || !is_contested(at->first, state.address)) out.push_back(&state);
  }
  std::stable_sort(out.begin(), out.end(), [&](const AddressState* a, const AddressState* b) {
    if (a->in_doubt != b->in_doubt) return b->in_doubt;
    if (a->in_doubt) return a->last_fault < b->last_fault;
    return preference(a->address.family()) < preference(b->address.family());
  });
  return out;
}

std::vector<Address> AddressBook::dial_order(std::string_view server) const {
  std::vector<Address> out;
  for (const AddressState* state : ranked(server)) out.push_back(state->address);
  return out;
}

std::size_t AddressBook::preference(Family family) const {
  return static_cast<std::size_t>(std::find(settings_.prefer.begin(), settings_.prefer.end(), family) -
                                  settings_.prefer.begin());
}

AddressBook::AddressState* AddressBook::find(std::string_view name, const Address& address) {
  const auto at = servers_.find(name);
  if (at == servers_.end()) return nullptr;
  for (AddressState& state : at->second.addresses) {
    if (state.address == address) return &state;
  }
  return nullptr;
}

// ---- races ----

AddressBook::RaceId AddressBook::begin_race(std::string_view server, Duration now) {
  Race race;
  race.server = server;
  race.left = dial_order(server);
  race.several = race.left.size() > 1;
  std::reverse(race.left.begin(), race.left.end());
  race.limit = now + (race.several ? std::max(settings_.race, settings_.attempt) : settings_.attempt);
  counters_.races += 1;
  const RaceId id = next_race_++;
  races_.emplace(id, std::move(race));
  return id;
}

RaceStep AddressBook::next_step(RaceId id, Duration now) {
  Race& race = races_.at(id);
  RaceStep step;
  const auto lost = [&] {
    step.action = RaceStep::Action::lost;
    if (!race.decided) counters_.races_lost += 1;
    race.decided = true;
    return step;
  };
  if (race.decided) return lost();
  int pending = 0;
  Duration wait_until = race.limit;
  for (Attempt& attempt : race.attempts) {
    if (!attempt.pending) continue;
    if (now >= attempt.limit) {
      step.action = RaceStep::Action::abandon;
      step.attempt = attempt.number;
      on_attempt_ended(id, attempt.number, AttemptOutcome::timed_out, now);
      return step;
    }
    ++pending;
    wait_until = std::min(wait_until, attempt.limit);
  }
  if (now >= race.limit) return lost();
  // Addresses that the list has removed since the race began are skipped.
  while (!race.left.empty() && !is_usable(race.server, race.left.back())) race.left.pop_back();
  if (race.left.empty() && pending == 0) return lost();
  if (!race.left.empty() && pending < settings_.at_once) {
    const Duration due =
        pending == 0 || race.hurry ? now : race.attempts.back().started + race.attempts.back().stagger;
    if (now >= due) {
      AddressState& state = *find(race.server, race.left.back());
      Attempt attempt;
      attempt.number = static_cast<int>(race.attempts.size());
      attempt.to = state.address;
      attempt.started = now;
      attempt.limit = std::min(now + settings_.attempt, race.limit);
      attempt.stagger = state.in_doubt ? settings_.stagger_least : stagger_for(state);
      race.left.pop_back();
      race.attempts.push_back(attempt);
      race.hurry = false;
      counters_.dials += 1;
      step.action = RaceStep::Action::dial;
      step.attempt = attempt.number;
      step.to = attempt.to;
      step.needs_proof = race.several && (settings_.prove == ProofPolicy::always ||
                                          (settings_.prove == ProofPolicy::in_doubt && !state.proven));
      return step;
    }
    wait_until = std::min(wait_until, due);
  }
  step.wait_until = wait_until;
  return step;
}

void AddressBook::on_attempt_ended(RaceId id, int number, AttemptOutcome outcome, Duration now) {
  Race& race = races_.at(id);
  Attempt& attempt = race.attempts[static_cast<std::size_t>(number)];
  if (!attempt.pending) return;
  attempt.pending = false;
  AddressState* const state = find(race.server, attempt.to);
  if (outcome == AttemptOutcome::connected) {
    race.decided = true;
    if (number > 0) counters_.second_choice += 1;
    if (state == nullptr || !race.several) return;
    record_connect_time(*state, now - attempt.started);
    // An attempt that did not connect before the next one was due to start puts its address in doubt until a
    // trial passes; otherwise every new connection would wait for it again.
    for (Attempt& other : race.attempts) {
      if (!other.pending || now - other.started < other.stagger) continue;
      if (AddressState* const slow = find(race.server, other.to)) record_fault(race.server, *slow, now);
    }
    clear_doubt(race.server, *state);
    mark_proven(*state);
    return;
  }
  if (outcome == AttemptOutcome::no_local_resources || outcome == AttemptOutcome::not_needed) {
    race.hurry = true;
    return;
  }
  race.hurry = true;
  if (state != nullptr && race.several) record_fault(race.server, *state, now);
}

void AddressBook::end_race(RaceId race) { races_.erase(race); }

Duration AddressBook::stagger_for(const AddressState& state) const {
  if (state.smoothed == Duration::zero()) return settings_.stagger;
  return std::clamp(state.smoothed + kSpreadMargin * state.spread, settings_.stagger_least,
                    settings_.stagger);
}

void AddressBook::record_connect_time(AddressState& state, Duration connect_time) {
  connect_time = std::max(connect_time, Duration(1));
  if (state.smoothed == Duration::zero()) {
    state.smoothed = connect_time;
    state.spread = connect_time / 2;
    return;
  }
  const Duration deviation =
      connect_time > state.smoothed ? connect_time - state.smoothed : state.smoothed - connect_time;
  state.spread += (deviation - state.spread) / kSpreadWeight;
  state.smoothed += (connect_time - state.smoothed) / kTimeWeight;
}

// ---- state of an address ----

void AddressBook::mark_proven(AddressState& state) { state.proven = true; }

void AddressBook::record_fault(const std::string& server, AddressState& state, Duration now) {
  const auto at = servers_.find(server);
  if (at == servers_.end() || at->second.addresses.size() < 2) return;
  if (state.in_doubt && state.retry_at > now && !state.on_trial) {
    state.last_fault = now;  // an address in doubt, dialled as a last resort, has failed: its hold goes on
    return;
  }
  state.faults = now - state.last_fault > kQuietHolds * state.hold ? 1 : state.faults + 1;
  Duration hold = settings_.hold;
  for (int i = 1; i < std::min(state.faults, kMaxDoublings) && hold < settings_.hold_most; ++i) hold *= 2;
  hold = std::min(hold, settings_.hold_most);
  state.hold = hold;
  state.last_fault = now;
  state.proven = false;
  if (!state.in_doubt) counters_.doubts += 1;
  clear_doubt(server, state);
  state.in_doubt = true;
  // Jitter of 20% either way keeps addresses that failed together from being tried together.
  const auto jitter_range = static_cast<std::uint32_t>(hold.count() * 2 / 5 + 1);
  state.retry_at = now + hold * 4 / 5 + Duration(static_cast<std::int64_t>(random_() % jitter_range));
  due_.insert({state.retry_at, {server, state.address}});
}

void AddressBook::clear_doubt(const std::string& server, AddressState& state) {
  if (!state.in_doubt) return;
  due_.erase({state.retry_at, {server, state.address}});
  state.in_doubt = false;
}

void AddressBook::on_response(std::string_view server, const Address& address) {
  if (AddressState* const state = find(server, address)) mark_proven(*state);
}

void AddressBook::on_connection_failed(std::string_view server, const Address& address,
                                       AttemptOutcome outcome, Duration now) {
  if (outcome != AttemptOutcome::reset_early && outcome != AttemptOutcome::unresponsive) return;
  if (AddressState* const state = find(server, address)) record_fault(std::string(server), *state, now);
}

// ---- trials ----

std::optional<Trial> AddressBook::next_trial(Duration now) {
  while (!due_.empty() && due_.begin()->first <= now && running_trials_ < settings_.trials_at_once) {
    const auto [at, key] = *due_.begin();
    due_.erase(due_.begin());
    AddressState* const state = find(key.first, key.second);
    if (state == nullptr) continue;
    // The addresses of a server that takes no new sends are not tried; they stay in doubt.
    if (state->on_trial || !servers_.find(key.first)->second.up || !is_usable(key.first, key.second)) {
      state->retry_at = now + settings_.hold;
      due_.insert({state->retry_at, key});
      continue;
    }
    state->on_trial = true;
    ++running_trials_;
    counters_.trials += 1;
    return Trial{key.first, key.second, settings_.attempt};
  }
  return std::nullopt;
}

void AddressBook::on_trial_ended(const Trial& trial, AttemptOutcome outcome, Duration took, Duration now) {
  --running_trials_;
  AddressState* const state = find(trial.server, trial.to);
  // The address was removed meanwhile, and perhaps named again, or proven by a race.
  if (state == nullptr || !state->on_trial) return;
  if (outcome == AttemptOutcome::connected) {
    counters_.trials_passed += 1;
    record_connect_time(*state, took);
    clear_doubt(trial.server, *state);
    mark_proven(*state);
  } else if (outcome == AttemptOutcome::no_local_resources || outcome == AttemptOutcome::not_needed) {
    if (state->in_doubt) {
      due_.erase({state->retry_at, {trial.server, trial.to}});
      state->retry_at = now + settings_.hold;
      due_.insert({state->retry_at, {trial.server, trial.to}});
    }
  } else {
    record_fault(trial.server, *state, now);
  }
  state->on_trial = false;
}

std::optional<Duration> AddressBook::next_trial_time() const {
  if (due_.empty() || running_trials_ >= settings_.trials_at_once) return std::nullopt;
  return due_.begin()->first;
}

std::string AddressBook::describe(std::string_view server, Duration now) const {
  std::string out;
  for (const AddressState* state : ranked(server)) {
    if (!out.empty()) out += ", ";
    out += state->address.text();
    if (state->in_doubt) {
      out += state->on_trial ? " on trial"
                             : " in doubt for " + std::to_string((state->retry_at - now) / 1ms) +
                                   " ms, fault " + std::to_string(state->faults);
    } else {
      out += state->proven ? " proven" : " fresh";
    }
  }
  return out.empty() ? "none" : out;
}

}  // namespace marbledyke::addresses
