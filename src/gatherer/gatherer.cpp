#include "gatherer/gatherer.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <map>
#include <utility>

#include "list/staleness.h"
#include "log/log.h"

namespace marbledyke::gatherer {
namespace {

using namespace std::chrono_literals;

// By the protocol, clients open new connections for up to this long after a planned stop begins.
constexpr Duration kNewConnectionsPeriod = 400ms;
// The forced end comes no earlier than the longest route timeout, with this as its upper limit, plus
// kForcedEndMargin.
constexpr Duration kMaxStopTimeout = 3s;
constexpr Duration kForcedEndMargin = 700ms;
// Time before the forced end that is reserved for the last answers: the signal may be read late, an answer
// waits up to kSocketTolerance and a tick for sends under way, and then it has to be written.
constexpr Duration kLastAnswersReserve = 200ms;
// Part of that time, for answers that clients have not read completely: the end of the process would truncate
// them.
constexpr Duration kSlowReadersReserve = 150ms;
// The protocol's limits are longer by this on sockets; a send may be under way for this long.
constexpr Duration kSocketTolerance = 50ms;
// Turns longer than this are logged, since what was due meanwhile may miss a latency budget. An ordinary turn
// takes well under a millisecond.
constexpr Duration kLongTurnThreshold = 20ms;
// Descriptors of the process itself: three standard streams, epoll, signals, the listener, two connections to
// discovery, and a file that is read again.
constexpr int kOwnDescriptors = 9;
// Clients may make the process hold this part of its memory. The rest is for the program, the list, shard
// servers, what the allocator cannot use again, and requests while they are parsed.
constexpr std::size_t kClientMemoryDivisor = 4;
// One id is reserved for so much of the memory; an id and its entries take a few hundred bytes.
constexpr std::size_t kMemoryBytesPerReservedId = 16 * 1024;

// Returns the number of descriptors for clients: those that the listed servers do not need, but at least half
// of all.
std::size_t client_descriptors(const config::GathererConfig& gatherer_config, std::size_t listed) {
  const int remaining = gatherer_config.max_sockets - kOwnDescriptors -
                        servers::kMaxIsolatingConnections * static_cast<int>(listed);
  return static_cast<std::size_t>(std::max(remaining, gatherer_config.max_sockets / 2));
}

std::size_t known_server_count(const config::GathererConfig& gatherer_config) {
  return gatherer_config.known_list.is_object() && gatherer_config.known_list.contains("endpoints")
             ? gatherer_config.known_list["endpoints"].size()
             : 0;
}

list::ListUpdate parse_known_list(const config::GathererConfig& gatherer_config, Duration unix_start) {
  try {
    return list::parse_list_update(gatherer_config.known_list, gatherer_config.settings, unix_start);
  } catch (const config::BadInput& error) {
    throw config::BadInput(std::string("known.") + error.what());
  }
}

}  // namespace

Gatherer::Gatherer(config::GathererConfig& gatherer_config, net::Descriptor listening,
                   const TimeSource& clock)
    : gatherer_config_(gatherer_config),
      discovery_(gatherer_config.discovery),
      loop_(clock),
      client_memory_(gatherer_config.memory_bytes / kClientMemoryDivisor),
      unix_start_((loop_.read_clock(), clock.wall() - loop_.now())),
      decision_engine_(gatherer_config.terms, gatherer_config.seed),
      servers_(loop_, gatherer_config.settings, gatherer_config.seed,
               [this] { return release_connection(); }),
      http_front_(loop_, client_memory_, gatherer_config.settings, gatherer_config.listen,
                  client_descriptors(gatherer_config, known_server_count(gatherer_config)),
                  std::move(listening)),
      list_watch_(loop_, gatherer_config, unix_start_,
                  {[this](list::ListUpdate news) { list_updates_.push_back(std::move(news)); },
                   [this](Duration most_backoff) { list_refusals_.push_back(most_backoff); }}),
      pending_(static_cast<std::size_t>(gatherer_config.settings.max_pending)),
      ids_that_may_have_run_(gatherer_config.memory_bytes / kMemoryBytesPerReservedId) {
  loop_.report_long_turns(kLongTurnThreshold, [this](const net::Loop::Turn& turn) {
    long_turn_event_.write(
        {{"ms", turn.duration / 1ms}, {"processor_ms", turn.cpu_time / 1ms}, {"in_hand", unanswered_}});
  });
  decision_engine_.advance_clock(loop_.now());
  if (gatherer_config.known_list.is_object()) {
    list::ListUpdate known = parse_known_list(gatherer_config, unix_start_);
    known.is_snapshot = true;
    servers_.apply_list_update(known);
    decision_engine_.on_list_begin(true, true);
    for (const list::ServerEntry& entry : known.entries) decision_engine_.on_list_entry(entry.row);
    decision_engine_.on_list_complete();
    list_watch_.set_known_index(known.index);
    log::event(
        log::Level::info, "list.remembered",
        {{"servers", known.entries.size()}, {"version", known.index}, {"left_out", known.skipped_entries}});
    counters_.unreadable_entries += static_cast<std::uint64_t>(known.skipped_entries);
  }
  if (!gatherer_config.settings.list_polled) list_watch_.request_list(true);
}

void Gatherer::add(std::unique_ptr<front::Front> front) {
  fronts_.push_back(front.get());
  extra_fronts_.push_back(std::move(front));
}

void Gatherer::add(std::unique_ptr<carrier::Carrier> carrier) {
  if (gatherer_config_.known_list.is_object()) {
    list::ListUpdate known = parse_known_list(gatherer_config_, unix_start_);
    known.is_snapshot = true;
    carrier->apply_list_update(known);
  }
  carriers_.push_back(std::move(carrier));
}

carrier::Carrier* Gatherer::carrier_for(std::string_view server) {
  const auto at = std::find_if(carriers_.begin(), carriers_.end(),
                               [&](const auto& carrier) { return carrier->serves(server); });
  return at == carriers_.end() ? nullptr : at->get();
}

bool Gatherer::has_events() const {
  if (std::any_of(carriers_.begin(), carriers_.end(), [](const auto& one) {
        return !one->finished_sends.empty() || !one->finished_probes.empty();
      }))
    return true;
  return is_wake_due_ || !servers_.finished_sends.empty() || !servers_.finished_probes.empty() ||
         !list_updates_.empty() || !list_refusals_.empty() || !second_steps_to_submit_.empty() ||
         std::any_of(fronts_.begin(), fronts_.end(), [](const front::Front* one) {
           return !one->requests.empty() || !one->departed.empty();
         });
}

// Tries the front with the most connections first.
bool Gatherer::release_connection() {
  std::vector<front::Front*> by_size = fronts_;
  std::stable_sort(by_size.begin(), by_size.end(),
                   [](const front::Front* a, const front::Front* b) { return a->size() > b->size(); });
  return std::any_of(by_size.begin(), by_size.end(),
                     [](front::Front* one) { return one->release_connection(); });
}

bool Gatherer::has_no_clients() const {
  return std::all_of(fronts_.begin(), fronts_.end(), [](const front::Front* one) { return one->empty(); });
}

bool Gatherer::is_writing() const {
  return std::any_of(fronts_.begin(), fronts_.end(),
                     [](const front::Front* one) { return one->is_writing(); });
}

bool Gatherer::run_once() {
  if (has_events()) loop_.call_at(loop_.now(), [] {});  // do not wait: executing decisions caused events
  loop_.run_once();
  if (has_events()) {
    deliver_events();
    execute_decisions();
  }
  for (front::Front* one : fronts_) one->destroy_closed();
  for (const auto& one : carriers_) one->destroy_closed();
  if (!stop_deadline_ || is_accepting_) return true;
  if (closes_after_answers_) {
    for (front::Front* one : fronts_) one->close_idle(loop_.now() - kNewConnectionsPeriod);
  }
  // Clients that have not closed by then are not waited for, except briefly for those that are still reading
  // an answer.
  if (unanswered_ == 0 &&
      loop_.now() >= *stop_deadline_ + (is_writing() ? kSlowReadersReserve : Duration::zero()))
    return false;
  return unanswered_ > 0 || !has_no_clients();
}

// Clients use their connections as long as these stay open, and until another gatherer is back nobody else
// serves them. So they are served as long as a new request can still be answered within its latency budget
// before the forced end. The cost: a stop takes longer than the pending multigets alone would need.
void Gatherer::begin_stop() {
  if (stop_deadline_) return;
  const config::ServiceSettings& settings = gatherer_config_.settings;
  stop_deadline_ = loop_.now() + std::min(settings.max_route_timeout, kMaxStopTimeout) + kForcedEndMargin -
                   kLastAnswersReserve;
  for (front::Front* one : fronts_) one->announce_stop();
  log::event(log::Level::info, "gatherer.stopping",
             {{"in_hand", unanswered_}, {"clients", http_front_.size()}});
  loop_.call_at(loop_.now() + kNewConnectionsPeriod, [this] {
    is_accepting_ = false;
    for (front::Front* one : fronts_) one->stop_accepting();
  });
  loop_.call_at(std::max(*stop_deadline_ - settings.max_latency_budget, loop_.now() + kNewConnectionsPeriod),
                [this] {
                  closes_after_answers_ = true;
                  for (front::Front* one : fronts_) one->close_after_answers();
                });
}

void Gatherer::reload(const config::GathererConfig& fresh) {
  DecisionEngine(fresh.terms, fresh.seed);  // checks them before anything is changed
  const auto warn_if_changed = [](bool differs, const std::string& key) {
    if (differs) log::event(log::Level::warning, "configuration.waits_for_start", {{"key", key}});
  };
  warn_if_changed(fresh.name != gatherer_config_.name, "name");
  warn_if_changed(fresh.listen != gatherer_config_.listen, "listen");
  warn_if_changed(fresh.max_sockets != gatherer_config_.max_sockets, "limits.sockets");
  warn_if_changed(fresh.memory_bytes != gatherer_config_.memory_bytes, "limits.memory_mb");
  const bool reload_list = apply_settings(fresh);
  gatherer_config_.digest = fresh.digest;
  if (fresh.settings_index) {
    log::event(log::Level::info, "configuration.read_again",
               {{"discovery", fresh.discovery_host}, {"settings_index", *fresh.settings_index}});
  } else {
    log::event(log::Level::info, "configuration.read_again", {{"discovery", fresh.discovery_host}});
  }
  if (fresh.discovery != discovery_ || reload_list)
    list_watch_.set_endpoint(fresh.discovery, fresh.discovery_host);
  discovery_ = fresh.discovery;
}

// Changes the settings between two turns, at the same time for the decision engine and for the code that
// executes its decisions. Returns whether zones or cells changed, so that the list must be read again. Events
// collected before were read under the old settings and are delivered first.
bool Gatherer::apply_settings(const config::GathererConfig& fresh) {
  const config::ServiceSettings& new_settings = fresh.settings;
  config::ServiceSettings& current = gatherer_config_.settings;
  std::size_t changed = 0;
  const FlatSettings& current_terms = gatherer_config_.terms;
  for (const auto* terms : {&fresh.terms, &current_terms}) {
    const FlatSettings& other_terms = terms == &fresh.terms ? current_terms : fresh.terms;
    for (const auto& [name, term] : *terms) {
      const auto at = other_terms.find(name);
      if (at != other_terms.end() && (terms != &fresh.terms || at->second == term)) continue;
      log::event(log::Level::info, "configuration.setting_changes", {{"key", "settings." + name}});
      changed += 1;
    }
  }
  if (changed == 0) {
    gatherer_config_.settings_index = fresh.settings_index;
    return false;
  }
  const auto has_same_steps_and_retries = [](const config::OpTypeSettings& a,
                                             const config::OpTypeSettings& b) {
    return a.name == b.name && a.non_retriable == b.non_retriable &&
           a.second_step_parts == b.second_step_parts && a.min_answer_share == b.min_answer_share;
  };
  if (!extra_fronts_.empty() &&
      !std::equal(new_settings.op_types.begin(), new_settings.op_types.end(), current.op_types.begin(),
                  current.op_types.end(), has_same_steps_and_retries)) {
    // Open result sets depend on these settings.
    log::event(log::Level::warning, "configuration.waits_for_start", {{"key", "settings"}});
    return false;
  }
  deliver_events();
  execute_decisions();
  decision_engine_.update_settings(fresh.terms);
  const bool reload_list = new_settings.zones != current.zones || new_settings.cells != current.cells;
  if (reload_list) servers_.renumber_zones(current.zones, new_settings.zones);
  const bool becomes_pushed = current.list_polled && !new_settings.list_polled;
  gatherer_config_.terms = fresh.terms;
  gatherer_config_.settings_index = fresh.settings_index;
  current = new_settings;
  if (becomes_pushed) list_watch_.request_list(true);
  if (fresh.settings_index) {
    log::event(log::Level::info, "configuration.settings_taken",
               {{"changed", changed}, {"in_hand", unanswered_}, {"settings_index", *fresh.settings_index}});
  } else {
    log::event(log::Level::info, "configuration.settings_taken",
               {{"changed", changed}, {"in_hand", unanswered_}});
  }
  return reload_list;
}

void Gatherer::apply_operator_terms(const operator_file::Terms& terms) {
  addresses::ConnectSettings rules = terms.connecting;
  if (!terms.attempt_stated) rules.attempt = gatherer_config_.settings.connect_timeout;
  rules.race = std::max(rules.race, rules.attempt);
  servers_.configure(rules, terms.servers);
  for (const auto& one : carriers_) one->configure(terms.servers);
}

// ---- events to the decision engine ----

void Gatherer::deliver_events() {
  is_wake_due_ = false;
  decision_engine_.advance_clock(loop_.now());
  for (list::ListUpdate& news : std::exchange(list_updates_, {})) on_list_update(std::move(news));
  for (const Duration most_backoff : std::exchange(list_refusals_, {})) {
    decision_engine_.on_list_call_refused(most_backoff);
    // Where the list is pushed, the decision engine never requests it, so the connection is reopened here.
    if (!gatherer_config_.settings.list_polled)
      loop_.call_at(loop_.now() + list::kAgentBackoff, [this] { list_watch_.request_list(true); });
  }
  for (servers::SendResult& ended : std::exchange(servers_.finished_sends, {})) on_send_ended(ended);
  for (const servers::ProbeResult& probed : std::exchange(servers_.finished_probes, {}))
    decision_engine_.on_probe_ended(probed.server, probed.fate, probed.elapsed, probed.report);
  for (const auto& one : carriers_) {
    for (servers::SendResult& ended : std::exchange(one->finished_sends, {})) on_send_ended(ended);
    for (const servers::ProbeResult& probed : std::exchange(one->finished_probes, {}))
      decision_engine_.on_probe_ended(probed.server, probed.fate, probed.elapsed, probed.report);
  }
  for (const RequestId& id : std::exchange(second_steps_to_submit_, {})) {
    const int place = pending_.find(id);
    if (place >= 0 && !pending_.at(place).is_answered) submit_parts(pending_.at(place));
  }
  if (stop_deadline_ && loop_.now() >= *stop_deadline_) fail_remaining_at_stop();
  for (std::size_t i = 0; i < fronts_.size(); ++i) {
    for (front::Request& request : std::exchange(fronts_[i]->requests, {})) on_multiget_received(i, request);
    for (const std::uint64_t caller : std::exchange(fronts_[i]->departed, {})) on_client_left(i, caller);
  }
}

void Gatherer::on_client_left(std::size_t front, std::uint64_t caller) {
  const auto at = by_caller_.find({front, caller});
  if (at == by_caller_.end()) return;
  const RequestId id = at->second;
  by_caller_.erase(at);
  PendingMultiget& mg = pending_.at(pending_.find(id));
  mg.caller = 0;
  mark_answered(mg);
  counters_.client_left += 1;
  if (totals::OpTypeCounts* count = op_type_counts(mg)) count->left += 1;
  log::event(log::Level::debug, "multiget.ended",
             {{"multiget", mg.request_id}, {"caller", caller}, {"how", "client_left"}});
  decision_engine_.on_client_left(id);
  release_if_finished(mg);
}

// Multigets accepted before a planned stop may have a later deadline than the forced end: the decision engine
// was given that one, and a client without an answer would only see a reset. The cost: if the forced end
// comes later than assumed, some of them could still have been answered.
void Gatherer::fail_remaining_at_stop() {
  const auto all = by_caller_;
  for (const auto& [caller, id] : all) {
    PendingMultiget& mg = pending_.at(pending_.find(id));
    if (mg.deadline <= *stop_deadline_) continue;
    by_caller_.erase(caller);
    mg.caller = 0;
    mark_answered(mg);
    counters_.failed += 1;
    if (totals::OpTypeCounts* count = op_type_counts(mg)) count->failed += 1;
    log::event(log::Level::debug, "multiget.ended",
               {{"multiget", mg.request_id}, {"caller", caller.second}, {"how", "stopped"}});
    fronts_[caller.first]->refuse(caller.second, front::Refusal::failed, {});
    decision_engine_.on_client_left(id);
    release_if_finished(mg);
  }
}

// Marks a multiget as answered. Its sends that still wait for a connection are never written, even if the
// settings do not allow cancelling sends that were.
void Gatherer::mark_answered(PendingMultiget& mg) {
  mg.is_answered = true;
  --unanswered_;
  for (std::size_t i = 0; i < mg.parts.size() && mg.sends_out > 0; ++i) {
    const RequestId part = part_id(mg.id, i);
    for (int send = 0; send < mg.parts[i].sends; ++send) servers_.cancel_if_unsent(part, send);
  }
}

void Gatherer::on_list_update(list::ListUpdate&& news) {
  servers_.apply_list_update(news);
  for (const auto& one : carriers_) one->apply_list_update(news);
  decision_engine_.on_list_begin(news.is_snapshot, false);
  // A complete list has no information on a server whose entry cannot be parsed, so the decision engine is
  // given the server's last known entry again.
  std::size_t kept = 0;
  for (const std::string& name : news.unreadable_servers) {
    const ListEntry* const last = news.is_snapshot ? servers_.last_row(name) : nullptr;
    if (last == nullptr) continue;
    decision_engine_.on_list_entry(*last);
    kept += 1;
  }
  counters_.unreadable_entries += static_cast<std::uint64_t>(news.skipped_entries);
  for (const list::ServerEntry& entry : news.entries) {
    decision_engine_.on_list_entry(entry.row);
    log::event(log::Level::debug, "list.server",
               {{"server", entry.row.server},
                {"standing", entry.row.status == ServerStatus::up         ? "up"
                             : entry.row.status == ServerStatus::draining ? "draining"
                                                                          : "gone"}});
  }
  decision_engine_.on_list_complete();
  http_front_.set_max_descriptors(client_descriptors(gatherer_config_, servers_.server_count()));
  if (!news.entries.empty())
    log::event(log::Level::info, "list.came",
               {{"version", news.index},
                {"entries", news.entries.size()},
                {"whole", news.is_snapshot},
                {"kept", kept}});
}

// Ids for the decision engine: eight hexadecimal digits of the multiget's number, four zeros, and four digits
// of the part's index plus one, which are 0 for the multiget itself.
RequestId Gatherer::part_id(const RequestId& multiget, std::size_t part_index) const {
  RequestId out = multiget;
  char digits[5];
  std::snprintf(digits, sizeof digits, "%04zx", (part_index + 1) & 0xffff);
  std::copy_n(digits, 4, out.text.begin() + 12);
  return out;
}

Gatherer::PendingMultiget* Gatherer::find_pending(const RequestId& part, std::size_t* part_index) {
  RequestId id = part;
  std::fill_n(id.text.begin() + 12, 4, '0');
  const int place = pending_.find(id);
  if (place < 0) return nullptr;
  if (part_index != nullptr) {
    std::size_t number = 0;
    std::from_chars(part.text.data() + 12, part.text.data() + 16, number, 16);
    *part_index = number - 1;
    if (number == 0 || *part_index >= pending_.at(place).parts.size()) return nullptr;
  }
  return &pending_.at(place);
}

void Gatherer::on_multiget_received(std::size_t front, front::Request& request) {
  front::Multiget& multiget = request.multiget;
  if (pending_count_ >= gatherer_config_.settings.max_pending) {
    counters_.refused_at_capacity += 1;
    if (recorder_) {
      totals::OpTypeCounts& count =
          recorder_->window.by_op_type
              [gatherer_config_.settings.op_types[static_cast<std::size_t>(multiget.op_type)].name];
      count.taken += 1;
      count.pushed_back += 1;
    }
    return fronts_[front]->refuse(request.caller, front::Refusal::at_capacity, {});
  }
  if (by_request_id_.contains(multiget.id) || ids_that_may_have_run_.contains(multiget.id, loop_.now())) {
    return fronts_[front]->refuse(request.caller, front::Refusal::duplicate_id, {});
  }
  const std::uint32_t number = next_number_++;
  RequestId id;
  char digits[17];
  std::snprintf(digits, sizeof digits, "%08x00000000", number);
  std::copy_n(digits, 16, id.text.begin());
  PendingMultiget& mg = pending_.at(pending_.insert(id));
  mg.front = front;
  mg.caller = request.caller;
  mg.request_id = multiget.id;
  const config::OpTypeSettings& op =
      gatherer_config_.settings.op_types[static_cast<std::size_t>(multiget.op_type)];
  mg.second_step_parts = op.second_step_parts;
  mg.non_retriable = op.non_retriable;
  if (recorder_) {
    mg.op_type = op.name;
    mg.first_byte_at = request.first_byte_at;
    mg.latency_budget = op.latency_budget;
    totals::OpTypeCounts& count = recorder_->window.by_op_type[op.name];
    count.taken += 1;
    count.importance = op.importance;
  }
  mg.text = multiget.text;
  for (const front::Part& part : multiget.parts) {
    mg.parts.push_back({part.shard, part.weight, part.key, part.work_estimate, 0, false, 0, {}});
  }
  by_caller_[{front, request.caller}] = id;
  by_request_id_[mg.request_id] = id;
  ++unanswered_;
  counters_.accepted += 1;
  pending_count_ += 1;
  log::event(log::Level::debug, "multiget.taken", {{"multiget", mg.request_id}, {"caller", request.caller}});
  const Duration client_deadline = request.first_byte_at + multiget.client_timeout;
  mg.deadline = stop_deadline_ ? std::min(client_deadline, *stop_deadline_) : client_deadline;
  decision_engine_.on_multiget_received({id, static_cast<double>(number), multiget.op_type, multiget.customer,
                                         static_cast<int>(mg.parts.size()), mg.deadline,
                                         multiget.is_client_retry});
  submit_parts(mg);
}

void Gatherer::submit_parts(PendingMultiget& mg) {
  std::uint32_t number = 0;
  std::from_chars(mg.id.text.data(), mg.id.text.data() + 8, number, 16);
  for (std::size_t i = mg.step_begin; i < mg.parts.size(); ++i) {
    const Part& part = mg.parts[i];
    pending_count_ += 1;
    decision_engine_.on_part_received({part_id(mg.id, i), static_cast<double>(number), part.shard,
                                       part.weight, part.key, part.work_estimate});
  }
}

void Gatherer::on_send_ended(servers::SendResult& ended) {
  std::size_t at = 0;
  PendingMultiget* mg = find_pending(ended.part, &at);
  if (!check_invariant(mg != nullptr, "a send that ends belongs to a multiget in hand")) return;
  Part& part = mg->parts[at];
  mg->sends_out -= 1;
  const bool never_ran = ended.fate == SendOutcome::pushed_back || ended.fate == SendOutcome::dial_failed ||
                         ended.fate == SendOutcome::unused;
  if (!never_ran) mg->may_have_run = true;
  if (ended.fate == SendOutcome::revoked || ended.fate == SendOutcome::expired ||
      ended.fate == SendOutcome::dropped)
    mg->last_abandoned = std::max(mg->last_abandoned, loop_.now() - ended.elapsed);
  if (ended.fate == SendOutcome::returned && !part.returned && !mg->is_answered) {
    part.returned = true;
    part.score = ended.score;
    part.value = std::move(ended.value);
  }
  decision_engine_.on_send_ended(ended.part, ended.send, ended.fate, ended.elapsed, ended.report);
  release_if_finished(*mg);
}

void Gatherer::release_if_finished(PendingMultiget& mg) {
  if (!mg.is_answered || mg.sends_out > 0) return;
  pending_count_ -= 1 + static_cast<int>(mg.parts.size());
  by_request_id_.erase(mg.request_id);
  // A send that was cancelled or lost may still be running at its server.
  if (mg.non_retriable && mg.may_have_run)
    ids_that_may_have_run_.reserve(mg.request_id, loop_.now() + gatherer_config_.settings.max_route_timeout);
  const int slot = pending_.find(mg.id);
  pending_.erase(slot);
  pending_.at(slot) = {};  // frees its text and values now; the slot may not be used again for long
}

// ---- decisions ----

void Gatherer::execute_decisions() {
  while (const auto decision = decision_engine_.next_reply()) on_reply_decision(*decision);
  while (const auto gone = decision_engine_.next_cancellation()) {
    const bool carried = std::any_of(carriers_.begin(), carriers_.end(), [&](const auto& one) {
      return one->cancel_send(gone->part, gone->send);
    });
    if (!carried) servers_.cancel_send(gone->part, gone->send);
  }
  std::map<std::string, std::vector<servers::SendRequest>> calls;
  while (const auto send = decision_engine_.next_send()) {
    std::size_t at = 0;
    PendingMultiget* mg = find_pending(send->part, &at);
    if (!check_invariant(mg != nullptr && !mg->is_answered,
                         "a send belongs to a multiget without its final answer"))
      continue;
    Part& part = mg->parts[at];
    if (totals::OpTypeCounts* count = op_type_counts(*mg)) {
      count->sends += 1;
      count->further += part.sends > 0 ? 1 : 0;
    }
    servers::SendRequest request;
    request.part = send->part;
    request.send = part.sends++;
    request.id = mg->request_id + '.' + std::to_string(part.shard);
    if (at >= mg->step_begin && mg->step == 2) {
      request.id += ".phase2";
      request.list_suffix =
          ",from=" + mg->first_step_shards + (mg->is_first_step_complete ? ",whole=1" : ",whole=0");
    }
    request.shard = part.shard;
    request.non_retriable = mg->non_retriable;
    request.text = mg->text;
    request.deadline = send->deadline;
    request.start_deadline = send->latest_start;
    request.issued_at = loop_.now();
    mg->sends_out += 1;
    mg->last_send = loop_.now();
    calls[std::string(send->server)].push_back(std::move(request));
  }
  for (auto& [server, requests] : calls) {
    carrier::Carrier* const carrier = carrier_for(server);
    carrier != nullptr ? carrier->call(server, std::move(requests))
                       : servers_.call(server, std::move(requests));
  }
  while (const auto server = decision_engine_.next_probe()) {
    carrier::Carrier* const carrier = carrier_for(*server);
    carrier != nullptr ? carrier->probe(std::string(*server)) : servers_.probe(std::string(*server));
  }
  while (const auto call = decision_engine_.next_list_call())
    list_watch_.request_list(*call == ListCall::watch);
  while (const auto note = decision_engine_.next_log_message())
    log::event(log::Level::info, "decisions.note", {{"what", *note}});
  while (const auto wake = decision_engine_.next_wake_delay())
    loop_.call_at(loop_.now() + *wake, [this] { is_wake_due_ = true; });
}

// Handles the decision on a step, once per step. Connections are not ordered among each other: a send written
// a moment ago may be read after the end of its step, and so appear to come after the final answer although
// it was sent before. That is likely when a machine stalls: parts become overdue and second copies are sent
// meanwhile, and then everything is read at once. So if a send of the last 50 ms is unanswered, or one from
// before the end of a silence of all servers in that time, an answer is delayed until those 50 ms are over,
// and a push-back or failure by one tick only. This affects multigets with a second copy just sent; the cost
// is that these are answered later by that time.
void Gatherer::on_reply_decision(const ReplyDecision& decision) {
  PendingMultiget* mg = find_pending(decision.multiget);
  if (!check_invariant(mg != nullptr && !mg->is_answered, "one final answer for each multiget")) return;
  const Duration latest_send =
      std::max(mg->sends_out > 0 ? mg->last_send : mg->last_abandoned, mg->last_abandoned);
  const Duration silent_until = servers_.silent_until();
  const Duration settled_at =
      (mg->sends_out > 0 ? std::max(latest_send, silent_until) : latest_send) + kSocketTolerance;
  if (loop_.now() > settled_at) return finish_step(*mg, decision);
  const Duration after_tick = loop_.now() + gatherer_config_.settings.tick;
  loop_.call_at(decision.outcome == MultigetOutcome::answer ? std::max(after_tick, settled_at) : after_tick,
                [this, decision] {
                  PendingMultiget* late = find_pending(decision.multiget);
                  if (late != nullptr && !late->is_answered) finish_step(*late, decision);
                });
}

void Gatherer::finish_step(PendingMultiget& mg, const ReplyDecision& decision) {
  if (decision.outcome == MultigetOutcome::answer && mg.step == 1 && mg.second_step_parts > 0) {
    return begin_second_step(mg, decision.complete);
  }
  const std::uint64_t caller = std::exchange(mg.caller, 0);
  by_caller_.erase({mg.front, caller});
  front::Front& front = *fronts_[mg.front];
  mark_answered(mg);
  if (totals::OpTypeCounts* count = op_type_counts(mg)) {
    const Duration took = loop_.now() - mg.first_byte_at;
    if (decision.outcome == MultigetOutcome::answer) {
      count->answered += 1;
      count->whole += decision.complete ? 1 : 0;
      count->in_budget += took <= mg.latency_budget ? 1 : 0;
      count->latency.add(took);
    } else {
      (decision.outcome == MultigetOutcome::push_back ? count->pushed_back : count->failed) += 1;
    }
  }
  if (decision.outcome == MultigetOutcome::answer) {
    std::vector<front::Value> values;
    for (std::size_t i = mg.step_begin; i < mg.parts.size(); ++i) {
      if (mg.parts[i].returned) values.push_back({mg.parts[i].shard, mg.parts[i].value});
    }
    counters_.answered += 1;
    front.answer(caller, decision.complete, values);
  } else if (decision.outcome == MultigetOutcome::push_back) {
    counters_.pushed_back += 1;
    front.refuse(caller, front::Refusal::pushed_back, decision.retry_after);
  } else {
    counters_.failed += 1;
    front.refuse(caller, front::Refusal::failed, {});
  }
  log::event(log::Level::debug, "multiget.ended",
             {{"multiget", mg.request_id},
              {"caller", caller},
              {"how", decision.outcome == MultigetOutcome::answer      ? "answered"
                      : decision.outcome == MultigetOutcome::push_back ? "pushed_back"
                                                                       : "failed"}});
  release_if_finished(mg);
}

// Starts the second step: one part at each of the shards that scored highest among those that returned.
void Gatherer::begin_second_step(PendingMultiget& mg, bool complete) {
  std::vector<std::pair<double, int>> by_score;  // highest first
  std::vector<int> shards;
  for (const Part& part : mg.parts) {
    if (!part.returned) continue;
    by_score.push_back({-part.score, part.shard});
    shards.push_back(part.shard);
  }
  std::sort(by_score.begin(), by_score.end());
  std::sort(shards.begin(), shards.end());
  by_score.resize(std::min(by_score.size(), static_cast<std::size_t>(mg.second_step_parts)));
  for (const int shard : shards) {
    if (!mg.first_step_shards.empty()) mg.first_step_shards += '+';
    mg.first_step_shards += std::to_string(shard);
  }
  mg.step = 2;
  mg.is_first_step_complete = complete;
  mg.step_begin = mg.parts.size();
  for (const auto& [score, shard] : by_score) {
    mg.parts.push_back({shard, 1.0 / static_cast<double>(by_score.size()), 0, 0s, 0, false, 0, {}});
  }
  counters_.second_steps += 1;
  second_steps_to_submit_.push_back(mg.id);
}

}  // namespace marbledyke::gatherer
