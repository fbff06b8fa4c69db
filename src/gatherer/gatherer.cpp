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

// New connections keep coming for up to 0.4 s after a planned stop begins, by the protocol.
constexpr Duration kStillComing = 400ms;
// And the end by force no sooner than the longest route timeout, taken as this where it is longer, and so
// much more.
constexpr Duration kLongestStop = 3s;
constexpr Duration kBeforeForce = 700ms;
// Of that so much is kept for the last answers' way: the signal may be read late, an answer waits up to
// kSlack and a tick for sends that are under way, and then it has to be written.
constexpr Duration kLastAnswers = 200ms;
// And of these so much for answers that clients have not read yet: the end of the process would cut them.
constexpr Duration kSlowReaders = 150ms;
// The protocol's limits are so much longer on sockets; that long a send may be under way.
constexpr Duration kSlack = 50ms;
// Later than that what was due may miss a latency budget; an ordinary turn takes well under a millisecond.
constexpr Duration kLongTurn = 20ms;
// What this program itself holds open: three standard streams, epoll, signals, the listener, discovery twice,
// a file that is read again.
constexpr int kOwnDescriptors = 9;

// The descriptors left for clients beside those that each listed server may need.
std::size_t client_room(const config::Commission& commission, std::size_t listed) {
  const int left = commission.sockets - kOwnDescriptors - servers::kFewLinks * static_cast<int>(listed);
  return static_cast<std::size_t>(std::max(left, commission.sockets / 2));
}

std::size_t known_servers(const config::Commission& commission) {
  return commission.known.is_object() && commission.known.contains("endpoints")
             ? commission.known["endpoints"].size()
             : 0;
}

list::News read_known(const config::Commission& commission, Duration unix_start) {
  try {
    return list::read_news(commission.known, commission.carriage, unix_start);
  } catch (const config::BadInput& wrong) {
    throw config::BadInput(std::string("known.") + wrong.what());
  }
}

}  // namespace

Gatherer::Gatherer(config::Commission& commission, net::Descriptor listening, const TimeSource& clock)
    : commission_(commission),
      discovery_(commission.discovery),
      loop_(clock),
      unix_start_((loop_.read_clock(), clock.wall() - loop_.now())),
      choice_(commission.terms, commission.seed),
      servers_(loop_, commission.carriage, commission.seed, [this] { return make_room(); }),
      clients_(loop_, commission.carriage, commission.listen,
               client_room(commission, known_servers(commission)), std::move(listening)),
      watch_(loop_, commission, unix_start_,
             {[this](list::News news) { news_.push_back(std::move(news)); },
              [this](Duration most_backoff) { refusals_.push_back(most_backoff); }}),
      hand_(static_cast<std::size_t>(commission.carriage.most_in_hand)) {
  loop_.tell_long_turns(kLongTurn, [this](const net::Loop::Turn& turn) {
    long_turns_.event({{"ms", turn.took / 1ms}, {"processor_ms", turn.processor / 1ms}, {"in_hand", open_}});
  });
  choice_.clock(loop_.now());
  if (commission.known.is_object()) {
    list::News known = read_known(commission, unix_start_);
    known.whole = true;
    servers_.listed(known);
    choice_.list_opens(true, true);
    for (const list::Entry& entry : known.entries) choice_.list_row(entry.row);
    choice_.list_closes();
    watch_.held(known.index);
    log::event(log::Level::info, "list.remembered",
               {{"servers", known.entries.size()}, {"version", known.index}, {"left_out", known.skipped}});
    done_.unreadable += static_cast<std::uint64_t>(known.skipped);
  }
  if (!commission.carriage.list_is_asked) watch_.ask(true);
}

void Gatherer::add(std::unique_ptr<front::Front> front) {
  fronts_.push_back(front.get());
  more_fronts_.push_back(std::move(front));
}

void Gatherer::add(std::unique_ptr<carrier::Carrier> carrier) {
  if (commission_.known.is_object()) {
    list::News known = read_known(commission_, unix_start_);
    known.whole = true;
    carrier->listed(known);
  }
  carriers_.push_back(std::move(carrier));
}

carrier::Carrier* Gatherer::carrier_of(std::string_view server) {
  const auto at =
      std::find_if(carriers_.begin(), carriers_.end(), [&](const auto& one) { return one->serves(server); });
  return at == carriers_.end() ? nullptr : at->get();
}

bool Gatherer::any_news() const {
  if (std::any_of(carriers_.begin(), carriers_.end(),
                  [](const auto& one) { return !one->ended.empty() || !one->probed.empty(); }))
    return true;
  return woken_ || !servers_.ended.empty() || !servers_.probed.empty() || !news_.empty() ||
         !refusals_.empty() || !second_steps_.empty() ||
         std::any_of(fronts_.begin(), fronts_.end(),
                     [](const front::Front* one) { return !one->asked.empty() || !one->left.empty(); });
}

// The front with the most connections gives one up first.
bool Gatherer::make_room() {
  std::vector<front::Front*> by_size = fronts_;
  std::stable_sort(by_size.begin(), by_size.end(),
                   [](const front::Front* a, const front::Front* b) { return a->size() > b->size(); });
  return std::any_of(by_size.begin(), by_size.end(), [](front::Front* one) { return one->make_room(); });
}

bool Gatherer::no_clients() const {
  return std::all_of(fronts_.begin(), fronts_.end(), [](const front::Front* one) { return one->empty(); });
}

bool Gatherer::writing() const {
  return std::any_of(fronts_.begin(), fronts_.end(), [](const front::Front* one) { return one->writing(); });
}

bool Gatherer::turn() {
  if (any_news()) loop_.at(loop_.now(), [] {});  // what carrying out has brought up does not wait
  loop_.gather();
  if (any_news()) {
    hand_over();
    carry_out();
  }
  for (front::Front* one : fronts_) one->bury();
  for (const auto& one : carriers_) one->bury();
  if (!leave_by_ || accepting_) return true;
  if (parting_) {
    for (front::Front* one : fronts_) one->close_idle(loop_.now() - kStillComing);
  }
  // Whoever does not close by then is not waited for; whoever still reads its answer, for a moment.
  if (open_ == 0 && loop_.now() >= *leave_by_ + (writing() ? kSlowReaders : Duration::zero())) return false;
  return open_ > 0 || !no_clients();
}

// Clients go on using the connections they have for as long as these stay open, and where another gatherer is
// not back yet nobody else serves them. So these are served on for as long as what comes can still be
// answered within its latency budget before the end by force. Harm: a stop takes longer than what is in hand
// would need.
void Gatherer::leave() {
  if (leave_by_) return;
  const config::Carriage& carriage = commission_.carriage;
  leave_by_ = loop_.now() + std::min(carriage.longest_timeout, kLongestStop) + kBeforeForce - kLastAnswers;
  for (front::Front* one : fronts_) one->leave();
  log::event(log::Level::info, "gatherer.stopping", {{"in_hand", open_}, {"clients", clients_.size()}});
  loop_.at(loop_.now() + kStillComing, [this] {
    accepting_ = false;
    for (front::Front* one : fronts_) one->stop_accepting();
  });
  loop_.at(std::max(*leave_by_ - carriage.longest_budget, loop_.now() + kStillComing), [this] {
    parting_ = true;
    for (front::Front* one : fronts_) one->part_with_all();
  });
}

void Gatherer::reload(const config::Commission& fresh) {
  Choice(fresh.terms, fresh.seed);  // checks them before anything is changed
  const auto waits = [](bool differs, const std::string& key) {
    if (differs) log::event(log::Level::warning, "configuration.waits_for_start", {{"key", key}});
  };
  waits(fresh.name != commission_.name, "name");
  waits(fresh.listen != commission_.listen, "listen");
  waits(fresh.sockets != commission_.sockets, "limits.sockets");
  const bool ask_anew = renew(fresh);
  commission_.digest = fresh.digest;
  if (fresh.settings_index) {
    log::event(log::Level::info, "configuration.read_again",
               {{"discovery", fresh.discovery_host}, {"settings_index", *fresh.settings_index}});
  } else {
    log::event(log::Level::info, "configuration.read_again", {{"discovery", fresh.discovery_host}});
  }
  if (fresh.discovery != discovery_ || ask_anew) watch_.move(fresh.discovery, fresh.discovery_host);
  discovery_ = fresh.discovery;
}

// The settings change between two turns, at once for the module and for all that carries out what it decides;
// true: zones or cells have other names, so the list has to be read under these. What has been gathered was
// read under the old settings and is handed over first.
bool Gatherer::renew(const config::Commission& fresh) {
  const config::Carriage& to = fresh.carriage;
  config::Carriage& from = commission_.carriage;
  std::size_t changed = 0;
  const Terms& present = commission_.terms;
  for (const auto* terms : {&fresh.terms, &present}) {
    const Terms& others = terms == &fresh.terms ? present : fresh.terms;
    for (const auto& [name, term] : *terms) {
      const auto at = others.find(name);
      if (at != others.end() && (terms != &fresh.terms || at->second == term)) continue;
      log::event(log::Level::info, "configuration.setting_changes", {{"key", "settings." + name}});
      changed += 1;
    }
  }
  if (changed == 0) {
    commission_.settings_index = fresh.settings_index;
    return false;
  }
  const auto same = [](const config::OpName& a, const config::OpName& b) {
    return a.name == b.name && a.once == b.once && a.second_step == b.second_step && a.floor == b.floor;
  };
  if (!more_fronts_.empty() &&
      !std::equal(to.op_types.begin(), to.op_types.end(), from.op_types.begin(), from.op_types.end(), same)) {
    // Result sets that are open hang on them.
    log::event(log::Level::warning, "configuration.waits_for_start", {{"key", "settings"}});
    return false;
  }
  hand_over();
  carry_out();
  choice_.renew(fresh.terms);
  const bool ask_anew = to.zones != from.zones || to.cells != from.cells;
  if (ask_anew) servers_.renumber_zones(from.zones, to.zones);
  const bool pushed_now = from.list_is_asked && !to.list_is_asked;
  commission_.terms = fresh.terms;
  commission_.settings_index = fresh.settings_index;
  from = to;
  if (pushed_now) watch_.ask(true);
  if (fresh.settings_index) {
    log::event(log::Level::info, "configuration.settings_taken",
               {{"changed", changed}, {"in_hand", open_}, {"settings_index", *fresh.settings_index}});
  } else {
    log::event(log::Level::info, "configuration.settings_taken", {{"changed", changed}, {"in_hand", open_}});
  }
  return ask_anew;
}

void Gatherer::operate(const operator_file::Terms& terms) {
  addresses::Rules rules = terms.connecting;
  if (!terms.attempt_stated) rules.attempt = commission_.carriage.connect_timeout;
  rules.race = std::max(rules.race, rules.attempt);
  servers_.configure(rules, terms.servers);
  for (const auto& one : carriers_) one->configure(terms.servers);
}

// ---- hand over ----

void Gatherer::hand_over() {
  woken_ = false;
  choice_.clock(loop_.now());
  for (list::News& news : std::exchange(news_, {})) list_came(std::move(news));
  for (const Duration most_backoff : std::exchange(refusals_, {})) {
    choice_.list_refused(most_backoff);
    // Where the list is pushed nobody decides to ask for it; the connection that brings it is kept up here.
    if (!commission_.carriage.list_is_asked)
      loop_.at(loop_.now() + list::kAgentBackoff, [this] { watch_.ask(true); });
  }
  for (servers::Ended& ended : std::exchange(servers_.ended, {})) sent_back(ended);
  for (const servers::Probed& probed : std::exchange(servers_.probed, {}))
    choice_.probe_ended(probed.server, probed.fate, probed.elapsed, probed.report);
  for (const auto& one : carriers_) {
    for (servers::Ended& ended : std::exchange(one->ended, {})) sent_back(ended);
    for (const servers::Probed& probed : std::exchange(one->probed, {}))
      choice_.probe_ended(probed.server, probed.fate, probed.elapsed, probed.report);
  }
  for (const Rid& id : std::exchange(second_steps_, {})) {
    const int place = hand_.find(id);
    if (place >= 0 && !hand_.at(place).over) hand_parts(hand_.at(place));
  }
  if (leave_by_ && loop_.now() >= *leave_by_) fail_what_outlasts_stop();
  for (std::size_t i = 0; i < fronts_.size(); ++i) {
    for (front::Asked& asked : std::exchange(fronts_[i]->asked, {})) take(i, asked);
    for (const std::uint64_t caller : std::exchange(fronts_[i]->left, {})) left(i, caller);
  }
}

void Gatherer::left(std::size_t front, std::uint64_t caller) {
  const auto at = by_caller_.find({front, caller});
  if (at == by_caller_.end()) return;
  const Rid id = at->second;
  by_caller_.erase(at);
  InHand& mg = hand_.at(hand_.find(id));
  mg.caller = 0;
  over(mg);
  done_.left += 1;
  if (totals::Count* count = counted(mg)) count->left += 1;
  log::event(log::Level::debug, "multiget.ended",
             {{"multiget", mg.wire_id}, {"caller", caller}, {"how", "client_left"}});
  choice_.client_left(id);
  give_back(mg);
}

// What was taken before a planned stop may have a later time than the end by force; the module was told that
// one, and a client that gets nothing learns of the end from a reset. Harm: where the end by force comes
// later, some of it could still have been answered.
void Gatherer::fail_what_outlasts_stop() {
  const auto all = by_caller_;
  for (const auto& [caller, id] : all) {
    InHand& mg = hand_.at(hand_.find(id));
    if (mg.until <= *leave_by_) continue;
    by_caller_.erase(caller);
    mg.caller = 0;
    over(mg);
    done_.failed += 1;
    if (totals::Count* count = counted(mg)) count->failed += 1;
    log::event(log::Level::debug, "multiget.ended",
               {{"multiget", mg.wire_id}, {"caller", caller.second}, {"how", "stopped"}});
    fronts_[caller.first]->refuse(caller.second, front::Refusal::failed, {});
    choice_.client_left(id);
    give_back(mg);
  }
}

// Nothing is sent for it any more: what still waits for its connection is never written, also where the terms
// do not let a send be cancelled that was.
void Gatherer::over(InHand& mg) {
  mg.over = true;
  --open_;
  for (std::size_t i = 0; i < mg.pieces.size() && mg.out > 0; ++i) {
    const Rid part = part_id(mg.id, i);
    for (int send = 0; send < mg.pieces[i].sent; ++send) servers_.unsend(part, send);
  }
}

void Gatherer::list_came(list::News&& news) {
  servers_.listed(news);
  for (const auto& one : carriers_) one->listed(news);
  choice_.list_opens(news.whole, false);
  // A whole list says nothing of a server whose entry cannot be read: the module is told again what it was
  // told last.
  std::size_t kept = 0;
  for (const std::string& name : news.unreadable) {
    const ListRow* const last = news.whole ? servers_.last_row(name) : nullptr;
    if (last == nullptr) continue;
    choice_.list_row(*last);
    kept += 1;
  }
  done_.unreadable += static_cast<std::uint64_t>(news.skipped);
  for (const list::Entry& entry : news.entries) {
    choice_.list_row(entry.row);
    log::event(log::Level::debug, "list.server",
               {{"server", entry.row.server},
                {"standing", entry.row.standing == Standing::up         ? "up"
                             : entry.row.standing == Standing::draining ? "draining"
                                                                        : "gone"}});
  }
  choice_.list_closes();
  clients_.room(client_room(commission_, servers_.servers_listed()));
  if (!news.entries.empty())
    log::event(
        log::Level::info, "list.came",
        {{"version", news.index}, {"entries", news.entries.size()}, {"whole", news.whole}, {"kept", kept}});
}

// The module's ids: eight digits of the multiget's number, four zeros, and four of the part's place, 0 for
// the multiget itself.
Rid Gatherer::part_id(const Rid& multiget, std::size_t piece) const {
  Rid out = multiget;
  char digits[5];
  std::snprintf(digits, sizeof digits, "%04zx", (piece + 1) & 0xffff);
  std::copy_n(digits, 4, out.text.begin() + 12);
  return out;
}

Gatherer::InHand* Gatherer::hand_of(const Rid& part, std::size_t* piece) {
  Rid id = part;
  std::fill_n(id.text.begin() + 12, 4, '0');
  const int place = hand_.find(id);
  if (place < 0) return nullptr;
  if (piece != nullptr) {
    std::size_t number = 0;
    std::from_chars(part.text.data() + 12, part.text.data() + 16, number, 16);
    *piece = number - 1;
    if (number == 0 || *piece >= hand_.at(place).pieces.size()) return nullptr;
  }
  return &hand_.at(place);
}

void Gatherer::take(std::size_t from, front::Asked& asked) {
  front::Ask& ask = asked.ask;
  if (held_ >= commission_.carriage.most_in_hand) {
    done_.no_room += 1;
    if (record_) {
      totals::Count& count =
          record_->window
              .by_op_type[commission_.carriage.op_types[static_cast<std::size_t>(ask.op_type)].name];
      count.taken += 1;
      count.pushed_back += 1;
    }
    return fronts_[from]->refuse(asked.caller, front::Refusal::no_room, {});
  }
  if (by_wire_id_.contains(ask.id)) {
    return fronts_[from]->refuse(asked.caller, front::Refusal::same_id, {});
  }
  const std::uint32_t number = next_number_++;
  Rid id;
  char digits[17];
  std::snprintf(digits, sizeof digits, "%08x00000000", number);
  std::copy_n(digits, 16, id.text.begin());
  InHand& mg = hand_.at(hand_.take(id));
  mg.front = from;
  mg.caller = asked.caller;
  mg.wire_id = ask.id;
  const config::OpName& op = commission_.carriage.op_types[static_cast<std::size_t>(ask.op_type)];
  mg.second_step = op.second_step;
  mg.once = op.once;
  if (record_) {
    mg.op_type = op.name;
    mg.began = asked.sent_by;
    mg.budget = op.budget;
    totals::Count& count = record_->window.by_op_type[op.name];
    count.taken += 1;
    count.importance = op.importance;
  }
  mg.text = ask.text;
  for (const front::Piece& piece : ask.pieces) {
    mg.pieces.push_back({piece.shard, piece.mass, piece.key, piece.hint, 0, false, 0, {}});
  }
  by_caller_[{from, asked.caller}] = id;
  by_wire_id_[mg.wire_id] = id;
  ++open_;
  done_.sent += 1;
  held_ += 1;
  log::event(log::Level::debug, "multiget.taken", {{"multiget", mg.wire_id}, {"caller", asked.caller}});
  const Duration client_leaves = asked.sent_by + ask.patience;
  mg.until = leave_by_ ? std::min(client_leaves, *leave_by_) : client_leaves;
  choice_.multiget_taken({id, static_cast<double>(number), ask.op_type, ask.customer,
                          static_cast<int>(mg.pieces.size()), mg.until, ask.repeated});
  hand_parts(mg);
}

void Gatherer::hand_parts(InHand& mg) {
  std::uint32_t number = 0;
  std::from_chars(mg.id.text.data(), mg.id.text.data() + 8, number, 16);
  for (std::size_t i = mg.first_of_step; i < mg.pieces.size(); ++i) {
    const Piece& piece = mg.pieces[i];
    held_ += 1;
    choice_.part_taken(
        {part_id(mg.id, i), static_cast<double>(number), piece.shard, piece.mass, piece.key, piece.hint});
  }
}

void Gatherer::sent_back(servers::Ended& ended) {
  std::size_t at = 0;
  InHand* mg = hand_of(ended.part, &at);
  if (!must_hold(mg != nullptr, "a send that ends belongs to a multiget in hand")) return;
  Piece& piece = mg->pieces[at];
  mg->out -= 1;
  if (ended.fate == Fate::revoked || ended.fate == Fate::expired || ended.fate == Fate::dropped)
    mg->last_given = std::max(mg->last_given, loop_.now() - ended.elapsed);
  if (ended.fate == Fate::returned && !piece.returned && !mg->over) {
    piece.returned = true;
    piece.score = ended.score;
    piece.value = std::move(ended.value);
  }
  choice_.send_ended(ended.part, ended.send, ended.fate, ended.elapsed, ended.report);
  give_back(*mg);
}

void Gatherer::give_back(InHand& mg) {
  if (!mg.over || mg.out > 0) return;
  held_ -= 1 + static_cast<int>(mg.pieces.size());
  by_wire_id_.erase(mg.wire_id);
  hand_.give_back(hand_.find(mg.id));
}

// ---- carry out ----

void Gatherer::carry_out() {
  while (const auto verdict = choice_.next_verdict()) decided(*verdict);
  while (const auto gone = choice_.next_withdrawal()) {
    const bool carried = std::any_of(carriers_.begin(), carriers_.end(),
                                     [&](const auto& one) { return one->withdraw(gone->part, gone->send); });
    if (!carried) servers_.withdraw(gone->part, gone->send);
  }
  std::map<std::string, std::vector<servers::Errand>> calls;
  while (const auto send = choice_.next_send()) {
    std::size_t at = 0;
    InHand* mg = hand_of(send->part, &at);
    if (!must_hold(mg != nullptr && !mg->over, "a send belongs to a multiget without its final answer"))
      continue;
    Piece& piece = mg->pieces[at];
    if (totals::Count* count = counted(*mg)) {
      count->sends += 1;
      count->further += piece.sent > 0 ? 1 : 0;
    }
    servers::Errand errand;
    errand.part = send->part;
    errand.send = piece.sent++;
    errand.id = mg->wire_id + '.' + std::to_string(piece.shard);
    if (at >= mg->first_of_step && mg->step == 2) {
      errand.id += ".phase2";
      errand.more = ",from=" + mg->from + (mg->first_whole ? ",whole=1" : ",whole=0");
    }
    errand.shard = piece.shard;
    errand.once = mg->once;
    errand.text = mg->text;
    errand.not_past = send->not_past;
    errand.begun_by = send->begun_by;
    errand.pulled = loop_.now();
    mg->out += 1;
    mg->last_send = loop_.now();
    calls[std::string(send->server)].push_back(std::move(errand));
  }
  for (auto& [server, errands] : calls) {
    carrier::Carrier* const carrier = carrier_of(server);
    carrier != nullptr ? carrier->call(server, std::move(errands))
                       : servers_.call(server, std::move(errands));
  }
  while (const auto server = choice_.next_probe()) {
    carrier::Carrier* const carrier = carrier_of(*server);
    carrier != nullptr ? carrier->probe(std::string(*server)) : servers_.probe(std::string(*server));
  }
  while (const auto call = choice_.next_list_call()) watch_.ask(*call == ListCall::watch);
  while (const auto note = choice_.next_note())
    log::event(log::Level::info, "decisions.note", {{"what", *note}});
  while (const auto wake = choice_.next_wake()) loop_.at(loop_.now() + *wake, [this] { woken_ = true; });
}

// Every step's end passes here, once for each. Connections keep no order among each other: a send that was
// written a moment ago may be read behind the end of its step, and then comes after the final answer though
// it left before it. Machines that stand still for a moment make that likely: parts become overdue and are
// copied meanwhile, and afterwards everything is read at once. So where a send of the last 50 ms has no
// answer, or one from before the end of a silence of all servers in that time, an answer waits these 50 ms
// out, and what is given up on a tick only. That befalls multigets with a second copy just sent; harm: these
// are answered so much later.
void Gatherer::decided(const Verdict& verdict) {
  InHand* mg = hand_of(verdict.multiget);
  if (!must_hold(mg != nullptr && !mg->over, "one final answer for each multiget")) return;
  const Duration newest = std::max(mg->out > 0 ? mg->last_send : mg->last_given, mg->last_given);
  const Duration silent = servers_.silent_until();
  const Duration clear = (mg->out > 0 ? std::max(newest, silent) : newest) + kSlack;
  if (loop_.now() > clear) return answered(*mg, verdict);
  const Duration tick = loop_.now() + commission_.carriage.tick;
  loop_.at(verdict.ending == Ending::answer ? std::max(tick, clear) : tick, [this, verdict] {
    InHand* late = hand_of(verdict.multiget);
    if (late != nullptr && !late->over) answered(*late, verdict);
  });
}

void Gatherer::answered(InHand& mg, const Verdict& verdict) {
  if (verdict.ending == Ending::answer && mg.step == 1 && mg.second_step > 0) {
    return second_step(mg, verdict.whole);
  }
  const std::uint64_t caller = std::exchange(mg.caller, 0);
  by_caller_.erase({mg.front, caller});
  front::Front& its = *fronts_[mg.front];
  over(mg);
  if (totals::Count* count = counted(mg)) {
    const Duration took = loop_.now() - mg.began;
    if (verdict.ending == Ending::answer) {
      count->answered += 1;
      count->whole += verdict.whole ? 1 : 0;
      count->in_budget += took <= mg.budget ? 1 : 0;
      count->latency.add(took);
    } else {
      (verdict.ending == Ending::push_back ? count->pushed_back : count->failed) += 1;
    }
  }
  if (verdict.ending == Ending::answer) {
    std::vector<front::Value> values;
    for (std::size_t i = mg.first_of_step; i < mg.pieces.size(); ++i) {
      if (mg.pieces[i].returned) values.push_back({mg.pieces[i].shard, mg.pieces[i].value});
    }
    done_.answered += 1;
    its.answer(caller, verdict.whole, values);
  } else if (verdict.ending == Ending::push_back) {
    done_.pushed_back += 1;
    its.refuse(caller, front::Refusal::pushed_back, verdict.come_back);
  } else {
    done_.failed += 1;
    its.refuse(caller, front::Refusal::failed, {});
  }
  log::event(log::Level::debug, "multiget.ended",
             {{"multiget", mg.wire_id},
              {"caller", caller},
              {"how", verdict.ending == Ending::answer      ? "answered"
                      : verdict.ending == Ending::push_back ? "pushed_back"
                                                            : "failed"}});
  give_back(mg);
}

// The first answer is followed by further parts, at the shards that scored highest among those that are in.
void Gatherer::second_step(InHand& mg, bool whole) {
  std::vector<std::pair<double, int>> in;
  std::vector<int> shards;
  for (const Piece& piece : mg.pieces) {
    if (!piece.returned) continue;
    in.push_back({-piece.score, piece.shard});
    shards.push_back(piece.shard);
  }
  std::sort(in.begin(), in.end());
  std::sort(shards.begin(), shards.end());
  in.resize(std::min(in.size(), static_cast<std::size_t>(mg.second_step)));
  for (const int shard : shards) {
    if (!mg.from.empty()) mg.from += '+';
    mg.from += std::to_string(shard);
  }
  mg.step = 2;
  mg.first_whole = whole;
  mg.first_of_step = mg.pieces.size();
  for (const auto& [score, shard] : in) {
    mg.pieces.push_back({shard, 1.0 / static_cast<double>(in.size()), 0, 0s, 0, false, 0, {}});
  }
  done_.second_steps += 1;
  second_steps_.push_back(mg.id);
}

}  // namespace marbledyke::gatherer
