#include "search/desk.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

#include "config/fields.h"
#include "model/random_hex.h"

namespace marbledyke::search {
namespace {

void indexes_of(const Query& query, std::set<std::string>& into) {
  if (query.op == Op::term) {
    into.insert(query.index);
    return;
  }
  for (const Query& kid : query.kids) indexes_of(kid, into);
}

std::string identifier_of(const Database& database, const std::string& schema) {
  const auto at = std::find_if(database.schemas.begin(), database.schemas.end(),
                               [&](const Schema& one) { return one.name == schema; });
  return at == database.schemas.end() ? schema : at->identifier;
}

// Over all kept keys, then by the shard that they came from and their place there.
struct Merged {
  const Record* record = nullptr;
  int shard = 0, place = 0;
};

bool before(const Merged& a, const Merged& b, const std::vector<SortKey>& keys) {
  for (std::size_t i = 0; i < keys.size(); ++i) {
    static const std::string kNone;
    const std::string& x = i < a.record->keys.size() ? a.record->keys[i] : kNone;
    const std::string& y = i < b.record->keys.size() ? b.record->keys[i] : kNone;
    if (x != y) return (x < y) != keys[i].descending;
  }
  return std::pair(a.shard, a.place) < std::pair(b.shard, b.place);
}

// Over SRU, a set's name is all that a client needs to read it. It must therefore not be found by guessing,
// and not be given again by another process or another listener.
std::string made_up_set_name() {
  constexpr std::size_t kRandomBytes = 16;
  return "s" + random_hex(kRandomBytes);
}

std::size_t size_of(const Record& record) {
  std::size_t out = record.id.size() + record.schema.size() + record.xml.size() + 64;
  for (const std::string& key : record.keys) out += key.size();
  return out;
}

}  // namespace

std::size_t Desk::set_bytes(const Set& set) {
  return sizeof set + held_bytes(set.query) + set.name.capacity() + set.sort.capacity() * sizeof(SortKey) +
         (set.hits.capacity() + set.place.shards.capacity()) * sizeof(set.hits[0]);
}

Desk::Desk(const Terms& terms, const config::ServiceSettings& settings, std::uint32_t seed)
    : terms_(terms), limits_(terms.limits), settings_(settings), chance_(seed) {
  const auto resolve = [&](const std::string& where, const std::string& op_type,
                           const std::vector<int>& shards) {
    Place out;
    const auto at = std::find_if(settings.op_types.begin(), settings.op_types.end(),
                                 [&](const config::OpTypeSettings& one) { return one.name == op_type; });
    if (at == settings.op_types.end())
      throw config::BadInput("search: " + where + ": op type " + op_type +
                             " is none of the platform's settings");
    if (at->second_step_parts > 0)
      throw config::BadInput("search: " + where + ": op type " + op_type +
                             " has a second step, and a search's pages are one");
    out.op_type = static_cast<int>(at - settings.op_types.begin());
    out.shards = shards;
    if (shards.empty()) {
      out.shards.resize(static_cast<std::size_t>(settings.shards));
      std::iota(out.shards.begin(), out.shards.end(), 0);
    }
    std::sort(out.shards.begin(), out.shards.end());
    for (const int shard : out.shards) {
      if (shard < 0 || shard >= settings.shards)
        throw config::BadInput("search: " + where + ": there is no shard " + std::to_string(shard));
    }
    return out;
  };
  for (const Database& database : terms_.databases) {
    const Place whole = resolve("database " + database.name, database.op_type, database.shards);
    places_[{&database, nullptr}] = whole;
    for (const Index& index : database.indexes) {
      Place& own = places_[{&database, &index}];
      own = resolve("index " + index.name, index.op_type.empty() ? database.op_type : index.op_type,
                    index.shards);
      if (index.shards.empty()) own.shards = whole.shards;
    }
  }
}

// ---- sessions ----

void Desk::clock(Duration now) {
  now_ = now;
  while (!by_hearing_.empty() && by_hearing_.begin()->first + limits_.idle <= now_) {
    const Session session = by_hearing_.begin()->second;
    SessionState& state = sessions_.at(session);
    by_hearing_.erase(by_hearing_.begin());
    if (!state.operations.empty()) {
      // It waits for us.
      state.heard = now_;
      by_hearing_.emplace(now_, session);
      continue;
    }
    if (closing_.insert(session).second) closes_.push_back(session);
  }
  while (!by_use_.empty()) {
    const SetRef set = by_use_.begin()->second;
    // In the order of their last use; with lives of their own one that ends earlier may stand behind.
    if (set->used + set->life > now_) break;
    tally_.sets_expired += 1;
    unlist(set, true);
  }
}

std::optional<Duration> Desk::next_wake() const {
  std::optional<Duration> out;
  if (!by_hearing_.empty()) out = by_hearing_.begin()->first + limits_.idle;
  if (!by_use_.empty()) {
    const Set& set = *by_use_.begin()->second;
    out = std::min(out.value_or(set.used + set.life), set.used + set.life);
  }
  return out;
}

std::optional<Session> Desk::open() {
  if (sessions_.size() >= limits_.sessions) {
    tally_.sessions_refused += 1;
    return std::nullopt;
  }
  const Session out = next_session_++;
  sessions_[out].heard = now_;
  by_hearing_.emplace(now_, out);
  tally_.sessions += 1;
  return out;
}

void Desk::heard(Session session) {
  const auto at = sessions_.find(session);
  if (at == sessions_.end() || closing_.contains(session)) return;
  by_hearing_.erase({at->second.heard, session});
  at->second.heard = now_;
  by_hearing_.emplace(now_, session);
}

void Desk::close(Session session) {
  const auto at = sessions_.find(session);
  if (at == sessions_.end()) return;
  for (const Operation operation : std::set<Operation>(at->second.operations)) abandon(operation);
  const auto sets = at->second.sets;
  for (const auto& [name, set] : sets) unlist(set, false);
  by_hearing_.erase({at->second.heard, session});
  closing_.erase(session);
  std::erase(closes_, session);
  sessions_.erase(at);
}

std::size_t Desk::under_way(Session session) const {
  const auto at = sessions_.find(session);
  return at == sessions_.end() ? 0 : at->second.operations.size();
}

// ---- sets ----

void Desk::use(const SetRef& set) {
  if (set->listed) by_use_.erase({set->used, set->use});
  set->used = now_;
  set->use = next_use_++;
  if (set->listed) by_use_.emplace(std::pair{set->used, set->use}, set);
}

void Desk::list(Session session, const SetRef& set) {
  const auto at = sessions_.find(session);
  if (at == sessions_.end()) return;
  if (const auto old = at->second.sets.find(set->name); old != at->second.sets.end())
    unlist(SetRef(old->second), false);
  at->second.deleted.erase(set->name);
  at->second.sets[set->name] = set;
  set->owner = session;
  set->listed = true;
  set->used = now_;
  set->use = next_use_++;
  by_use_.emplace(std::pair{set->used, set->use}, set);
  kept_ += set->kept_bytes;
  evict();
}

void Desk::unlist(const SetRef& set, bool unasked) {
  if (!std::exchange(set->listed, false)) return;
  const SetRef held = set;
  by_use_.erase({held->used, held->use});
  kept_ -= held->kept_bytes;
  const auto at = sessions_.find(held->owner);
  if (at == sessions_.end()) return;
  at->second.sets.erase(held->name);
  // What the client may still ask for is told apart from what never was; as many names as sets it may have.
  if (unasked && at->second.deleted.size() < limits_.sets) at->second.deleted.insert(held->name);
}

// Over all sessions the sets used least recently go first.
void Desk::evict() {
  while (by_use_.size() > limits_.all_sets || (kept_ > limits_.kept && by_use_.size() > 1)) {
    tally_.sets_evicted += 1;
    unlist(SetRef(by_use_.begin()->second), true);
  }
}

Desk::SetRef Desk::find_set(Session session, const std::string& name, Trouble& trouble) {
  trouble = Trouble::unknown_set;
  const auto at = sessions_.find(session);
  if (at == sessions_.end()) return nullptr;
  const auto set = at->second.sets.find(name);
  if (set != at->second.sets.end() && set->second->used + set->second->life > now_) return set->second;
  if (set != at->second.sets.end() || at->second.deleted.contains(name)) trouble = Trouble::set_deleted;
  return nullptr;
}

const Database* Desk::database_of(Session session, const std::string& set) const {
  const auto at = sessions_.find(session);
  if (at == sessions_.end()) return nullptr;
  const auto found = at->second.sets.find(set);
  return found == at->second.sets.end() ? nullptr : found->second->database;
}

bool Desk::remove(Session session, const std::string& name) {
  Trouble trouble{};
  const SetRef set = find_set(session, name, trouble);
  if (set == nullptr) return false;
  unlist(set, false);
  return true;
}

std::size_t Desk::remove_all(Session session) {
  const auto at = sessions_.find(session);
  if (at == sessions_.end()) return 0;
  const auto sets = at->second.sets;
  for (const auto& [name, set] : sets) unlist(set, false);
  at->second.deleted.clear();
  return sets.size();
}

// ---- where a search leads ----

const Desk::Place& Desk::place(const Database& database, const Index* index) const {
  return places_.at({&database, index});
}

// The op type and the shards of a query: those of its indexes together. Two op types cannot share a
// multiget.
std::optional<Diagnostic> Desk::place_of(const Database& database, const Query& query, Place& into) const {
  std::set<std::string> names;
  indexes_of(query, names);
  into = {};
  bool first = true;
  for (const std::string& name : names) {
    const Index* index = nullptr;
    if (!name.empty()) {
      index = find(database, name);
      if (index == nullptr) return Diagnostic{Trouble::unsupported_index, name};
    }
    const Place& own = place(database, index);
    if (!std::exchange(first, false) && own.op_type != into.op_type)
      return Diagnostic{Trouble::unsupported_index, name + " cannot be searched together with the others"};
    into.op_type = own.op_type;
    std::vector<int> both;
    std::set_union(into.shards.begin(), into.shards.end(), own.shards.begin(), own.shards.end(),
                   std::back_inserter(both));
    into.shards = std::move(both);
  }
  return std::nullopt;
}

std::optional<std::string> Desk::schema_of(const Database& database, const std::string& asked) const {
  if (asked.empty()) return database.schemas.front().name;
  const auto at = std::find_if(database.schemas.begin(), database.schemas.end(), [&](const Schema& one) {
    return one.name == asked || one.identifier == asked;
  });
  if (at == database.schemas.end()) return std::nullopt;
  return at->name;
}

// ---- operations ----

// What all operations on a set, or towards one, have in common.
Desk::Running Desk::running_for(Step step, const SetRef& set, const When& when) const {
  Running out;
  out.step = step;
  out.set = set;
  out.sent_by = when.sent_by;
  out.patience =
      when.patience ? std::min(*when.patience, settings_.max_route_timeout) : set->database->deadline;
  out.reply.set = set->name;
  out.reply.database = set->database->name;
  out.reply.hits = set->total;
  out.reply.whole = set->whole;
  out.reply.shards = set->shards;
  out.reply.answered = set->answered;
  return out;
}

Operation Desk::begin(Session session, Running&& running) {
  const Operation out = next_operation_++;
  running.session = session;
  running.reply.operation = out;
  operations_.emplace(out, std::move(running));
  if (const auto at = sessions_.find(session); at != sessions_.end()) at->second.operations.insert(out);
  heard(session);
  return out;
}

Operation Desk::at_once(Session session, Trouble what, std::string detail) {
  const Operation out = begin(session, Running{});
  fail(out, operations_.at(out), what, std::move(detail));
  return out;
}

void Desk::finish(Operation operation, Running& running) {
  Reply reply = std::move(running.reply);
  if (reply.diagnostic.what != Trouble::none) tally_.diagnostics += 1;
  if (!reply.whole) tally_.partial += 1;
  const auto at = sessions_.find(running.session);
  if (at != sessions_.end()) at->second.operations.erase(operation);
  heard(running.session);
  operations_.erase(operation);
  replies_.push_back(std::move(reply));
}

void Desk::fail(Operation operation, Running& running, Trouble what, std::string detail, Duration come_back) {
  running.reply.diagnostic = {what, std::move(detail)};
  running.reply.come_back = come_back;
  running.reply.records.clear();
  finish(operation, running);
}

void Desk::abandon(Operation operation) {
  const auto at = operations_.find(operation);
  if (at == operations_.end()) {
    std::erase_if(replies_, [&](const Reply& one) { return one.operation == operation; });
    return;
  }
  tally_.abandoned += 1;
  // Where its multiget has not been taken yet, it need not be.
  const auto waiting = std::find_if(asks_.begin(), asks_.end(),
                                    [&](const front::Request& one) { return one.caller == operation; });
  if (waiting != asks_.end()) {
    asks_.erase(waiting);
  } else {
    lefts_.push_back(operation);
  }
  const auto session = sessions_.find(at->second.session);
  if (session != sessions_.end()) session->second.operations.erase(operation);
  operations_.erase(at);
}

// The one place where a multiget is asked for.
void Desk::ask(Operation operation, Running& running, const PartAsk& part, const std::vector<int>& shards) {
  front::Request out;
  out.caller = operation;
  char id[24];
  std::snprintf(id, sizeof id, "%08lx%08lx", static_cast<unsigned long>(chance_() & 0xffffffffUL),
                static_cast<unsigned long>(operation & 0xffffffffUL));
  out.multiget.id = id;
  out.multiget.op_type = running.set ? running.set->place.op_type : 0;
  out.first_byte_at = running.sent_by;
  out.multiget.client_timeout = running.patience;
  out.multiget.text = std::make_shared<const std::string>(text_of(part));
  for (const int shard : shards)
    out.multiget.parts.push_back({shard, 1.0 / static_cast<double>(shards.size()), 0, {}});
  running.shards = static_cast<int>(shards.size());
  running.reply.shards = std::max(running.reply.shards, running.shards);
  tally_.steps += 1;
  asks_.push_back(std::move(out));
}

PartAsk Desk::part_of(const Set& set, const std::string& schema) const {
  PartAsk out;
  out.database = set.database->name;
  out.cql = cql_of(set.query);
  std::vector<UseOf> uses;
  for (const Index& index : set.database->indexes)
    uses.push_back({index.name, index.use > 0 ? index.use : 1016});
  out.pqf = pqf_of(set.query, uses);
  out.schema = schema;
  out.sort = set.sort;
  return out;
}

Operation Desk::search(Session session, SearchAsk ask_for, const When& when) {
  tally_.searches += 1;
  if (!may_begin(session)) return at_once(session, Trouble::too_busy);
  const auto state = sessions_.find(session);
  if (state == sessions_.end()) return at_once(session, Trouble::general, "no such session");
  if (ask_for.databases.size() != 1)
    return at_once(session, Trouble::databases_together, "one database at a time");
  const Database* database = search::find(terms_, ask_for.databases.front());
  if (database == nullptr) return at_once(session, Trouble::unknown_database, ask_for.databases.front());
  if (const auto wrong = beyond(ask_for.query, Bounds{})) return at_once(session, wrong->what, wrong->detail);
  auto set = std::make_shared<Set>();
  if (const auto wrong = place_of(*database, ask_for.query, set->place))
    return at_once(session, wrong->what, wrong->detail);
  const auto schema = schema_of(*database, ask_for.schema);
  if (!schema) return at_once(session, Trouble::unsupported_schema, ask_for.schema);
  if (ask_for.first < 1 || ask_for.count < 0) return at_once(session, Trouble::bad_parameter, "first record");
  for (SortKey& key : ask_for.sort) {
    const Index* index = find(*database, key.index);
    if (index == nullptr || !index->sort) return at_once(session, Trouble::unsupported_sort, key.index);
    key.index = index->name;
  }
  if (ask_for.set.empty()) ask_for.set = made_up_set_name();
  const auto old = state->second.sets.find(ask_for.set);
  if (old != state->second.sets.end() && !ask_for.replace)
    return at_once(session, Trouble::set_exists, ask_for.set);
  if (old == state->second.sets.end() && state->second.sets.size() >= limits_.sets) {
    // Sessions over HTTP never say that they need one no more: the oldest goes. Others are told.
    if (ask_for.life <= Duration::zero())
      return at_once(session, Trouble::too_many_sets, std::to_string(limits_.sets));
  }
  set->database = database;
  set->query = std::move(ask_for.query);
  set->sort = ask_for.sort;
  set->once = settings_.op_types[static_cast<std::size_t>(set->place.op_type)].non_retriable;
  set->name = ask_for.set;
  set->life = ask_for.life > Duration::zero() ? std::min(ask_for.life, limits_.set_life) : limits_.set_life;
  // A set is asked for with records only as far as they may be fetched again.
  Running running = running_for(Step::search, set, when);
  running.schema = *schema;
  running.first = ask_for.first;
  running.count = std::min(ask_for.count, limits_.records);
  running.by_hits = ask_for.by_hits;
  if (ask_for.by_hits)
    running.count = static_cast<int>(std::clamp<std::int64_t>(
        std::max<std::int64_t>(ask_for.by_hits->small, ask_for.by_hits->medium), 0, limits_.records));
  running.new_set = true;
  running.reply.schema = identifier_of(*database, *schema);
  PartAsk part = part_of(*set, *schema);
  const int wanted = running.first + running.count - 1;
  part.count = set->once ? limits_.records : running.count > 0 && wanted <= limits_.ahead ? wanted : 0;
  const std::vector<int> shards = set->place.shards;
  const Operation out = begin(session, std::move(running));
  ask(out, operations_.at(out), part, shards);
  return out;
}

Operation Desk::present(Session session, const PresentAsk& ask_for, const When& when) {
  tally_.presents += 1;
  if (!may_begin(session)) return at_once(session, Trouble::too_busy);
  Trouble trouble{};
  const SetRef set = find_set(session, ask_for.set, trouble);
  if (set == nullptr) return at_once(session, trouble, ask_for.set);
  use(set);
  const auto schema = schema_of(*set->database, ask_for.schema);
  if (!schema) return at_once(session, Trouble::unsupported_schema, ask_for.schema);
  if (ask_for.first < 1 || ask_for.count < 0) return at_once(session, Trouble::bad_parameter, "first record");
  if (ask_for.count > 0 && ask_for.first > set->total)
    return at_once(session, Trouble::out_of_range, std::to_string(set->total) + " records");
  Running running = running_for(Step::page, set, when);
  running.schema = *schema;
  running.first = ask_for.first;
  running.count = std::min(ask_for.count, limits_.records);
  running.reply.schema = identifier_of(*set->database, *schema);
  if (set->once) {
    for (const auto& [shard, records] : set->kept) running.have[shard] = {0, records};
  }
  const Operation out = begin(session, std::move(running));
  page(out, operations_.at(out));
  return out;
}

Operation Desk::sort(Session session, const std::string& from, const std::string& to,
                     std::vector<SortKey> keys) {
  tally_.sorts += 1;
  Trouble trouble{};
  const SetRef set = find_set(session, from, trouble);
  if (set == nullptr) return at_once(session, trouble, from);
  if (set->once) return at_once(session, Trouble::unsupported_sort, "its search may not run again");
  if (keys.empty()) return at_once(session, Trouble::unsupported_sort, "no key");
  for (SortKey& key : keys) {
    const Index* index = find(*set->database, key.index);
    if (index == nullptr || !index->sort) return at_once(session, Trouble::unsupported_sort, key.index);
    key.index = index->name;
  }
  const auto state = sessions_.find(session);
  if (to != from && !state->second.sets.contains(to) && state->second.sets.size() >= limits_.sets)
    return at_once(session, Trouble::too_many_sets, std::to_string(limits_.sets));
  auto sorted = std::make_shared<Set>(*set);
  sorted->sort = std::move(keys);
  sorted->name = to;
  sorted->listed = false;
  Running running = running_for(Step::page, sorted, {});
  const Operation out = begin(session, std::move(running));
  list(session, sorted);
  finish(out, operations_.at(out));
  return out;
}

Operation Desk::scan(Session session, const ScanAsk& ask_for, const When& when) {
  tally_.scans += 1;
  if (!may_begin(session)) return at_once(session, Trouble::too_busy);
  const Database* database = search::find(terms_, ask_for.database);
  if (database == nullptr) return at_once(session, Trouble::unknown_database, ask_for.database);
  const Index* index = find(*database, ask_for.index);
  if (index == nullptr || !index->scan) return at_once(session, Trouble::unsupported_index, ask_for.index);
  const Place& its = place(*database, index);
  // Looking through an index must not do what may be done once only.
  if (settings_.op_types[static_cast<std::size_t>(its.op_type)].non_retriable)
    return at_once(session, Trouble::unsupported_index, ask_for.index);
  if (ask_for.count < 1) return at_once(session, Trouble::bad_parameter, "number of terms");
  if (ask_for.position < 0 || ask_for.position > 1)
    return at_once(session, Trouble::out_of_range, "position of the term: 0 or 1");
  const SetRef of = std::make_shared<Set>();
  of->database = database;
  of->place = its;
  Running running = running_for(Step::scan, of, when);
  running.scan = ask_for;
  running.scan.count = std::min(ask_for.count, limits_.records);
  running.reply.position = ask_for.position;
  PartAsk part;
  part.errand = Errand::scan;
  part.database = database->name;
  part.index = index->name;
  part.use = index->use;
  part.term = ask_for.term;
  // Terms that several shards have are one, so each shard is asked for as many as all may have.
  part.count = running.scan.count;
  const Operation out = begin(session, std::move(running));
  ask(out, operations_.at(out), part, its.shards);
  return out;
}

// ---- what comes back ----

Desk::Answers Desk::read(const std::vector<front::Value>& values) {
  Answers out;
  for (const front::Value& value : values) {
    auto result = read_part_result(value.body);
    if (!result) {
      tally_.unreadable += 1;
      out.trouble = "a server's answer could not be read";
      continue;
    }
    if (!result->trouble.empty()) {
      out.trouble = result->trouble;
      out.unsupported = out.unsupported || result->unsupported;
      continue;
    }
    out.by_shard.emplace(value.shard, std::move(*result));
  }
  return out;
}

void Desk::answered(Operation operation, bool whole, const std::vector<front::Value>& values) {
  const auto at = operations_.find(operation);
  if (at == operations_.end()) return;
  Running& running = at->second;
  const Answers in = read(values);
  const config::OpTypeSettings& op = settings_.op_types[static_cast<std::size_t>(running.set->place.op_type)];
  const auto answered = static_cast<int>(in.by_shard.size());
  // A server that was reached and could not do it counts as one that did not answer.
  if (running.new_set && running.step == Step::page) return paged(operation, running, in);
  const double share = static_cast<double>(answered) / std::max(running.shards, 1);
  if (in.unsupported && answered == 0)
    return fail(operation, running, Trouble::unsupported_index, in.trouble);
  if (share < op.min_answer_share || answered == 0)
    return fail(operation, running, Trouble::general,
                in.trouble.empty() ? "too few shards answered" : in.trouble);
  if (running.step != Step::page) running.reply.whole = whole && answered == running.shards;
  running.reply.answered = std::max(running.reply.answered, answered);
  switch (running.step) {
    case Step::search:
      return searched(operation, running, in);
    case Step::page:
      return paged(operation, running, in);
    case Step::scan:
      return scanned(operation, running, in);
  }
}

void Desk::refused(Operation operation, front::Refusal why, Duration come_back) {
  const auto at = operations_.find(operation);
  if (at == operations_.end()) return;
  // The search itself is done: the client has its hits, and the records that cannot be had now are marked.
  if (at->second.new_set && at->second.step == Step::page) {
    deliver(at->second);
    return finish(operation, at->second);
  }
  // What failed may have run. A search may be asked again all the same, by a client that knows what it asks.
  if (why == front::Refusal::failed)
    return fail(operation, at->second, Trouble::general,
                at->second.set->once ? "it may have run, and is not run again" : "not in time");
  fail(operation, at->second, Trouble::unavailable, "nothing has run", come_back);
}

void Desk::searched(Operation operation, Running& running, const Answers& in) {
  const SetRef set = running.set;
  set->whole = running.reply.whole;
  set->shards = running.reply.shards;
  set->answered = running.reply.answered;
  for (const auto& [shard, result] : in.by_shard) {
    set->hits.emplace_back(shard, result.hits);
    set->total += result.hits;
    running.have[shard] = {0, result.records};
  }
  set->kept_bytes = set_bytes(*set);
  if (set->once) {
    for (const auto& [shard, result] : in.by_shard) {
      for (const Record& record : result.records) set->kept_bytes += size_of(record);
      set->kept[shard] = result.records;
    }
  }
  running.reply.hits = set->total;
  const auto state = sessions_.find(running.session);
  if (state == sessions_.end()) return finish(operation, running);
  // The oldest makes room where the client cannot be asked to.
  while (!state->second.sets.contains(set->name) && state->second.sets.size() >= limits_.sets) {
    const auto oldest =
        std::min_element(state->second.sets.begin(), state->second.sets.end(),
                         [](const auto& a, const auto& b) { return a.second->use < b.second->use; });
    tally_.sets_evicted += 1;
    unlist(SetRef(oldest->second), true);
  }
  list(running.session, set);
  running.reply.set_life = set->life;
  if (running.by_hits) {
    const ByHits& by = *running.by_hits;
    const std::int64_t count = set->total <= by.small ? set->total : set->total >= by.large ? 0 : by.medium;
    running.count = static_cast<int>(std::clamp<std::int64_t>(count, 0, limits_.records));
  }
  if (running.count > 0 && running.first > set->total) {
    // None found is an answer; a page past the last record is the client's mistake.
    if (running.first > 1 && set->total > 0)
      return fail(operation, running, Trouble::out_of_range, std::to_string(set->total) + " records");
    return finish(operation, running);
  }
  if (running.count == 0) return finish(operation, running);
  page(operation, running);
}

// What the page lacks, by shard. True where nothing is lacking.
bool Desk::assemble(Running& running, PartAsk& more, std::vector<int>& shards) const {
  const Set& set = *running.set;
  if (!set.sort.empty()) {
    const int deep = running.first + running.count - 1;
    for (const auto& [shard, hits] : set.hits) {
      const int need = static_cast<int>(std::min<std::int64_t>(hits, deep));
      const auto at = running.have.find(shard);
      const auto there = at == running.have.end() ? 0 : static_cast<int>(at->second.second.size());
      if (there >= need) continue;
      shards.push_back(shard);
      more.of_shard[shard] = {0, need};
    }
    return shards.empty();
  }
  // One shard's records behind the other's.
  std::int64_t begins = 1;
  for (const auto& [shard, hits] : set.hits) {
    const std::int64_t from = std::max<std::int64_t>(running.first, begins);
    const std::int64_t to = std::min<std::int64_t>(running.first + running.count, begins + hits);
    if (from < to) {
      const int first = static_cast<int>(from - begins), count = static_cast<int>(to - from);
      const auto at = running.have.find(shard);
      const bool there = at != running.have.end() && at->second.first <= first &&
                         at->second.first + static_cast<int>(at->second.second.size()) >= first + count;
      if (!there) {
        shards.push_back(shard);
        more.of_shard[shard] = {first, count};
      }
    }
    begins += hits;
  }
  return shards.empty();
}

void Desk::page(Operation operation, Running& running) {
  if (running.count == 0) return finish(operation, running);
  const Set& set = *running.set;
  if (!set.sort.empty() && running.first + running.count - 1 > limits_.deepest)
    return fail(operation, running, Trouble::too_many_records,
                "a sorted set is reached up to record " + std::to_string(limits_.deepest));
  PartAsk more = part_of(set, running.schema);
  std::vector<int> shards;
  const bool complete = assemble(running, more, shards);
  // A search that may not run again has the records it brought and no others.
  if (complete || set.once) {
    deliver(running);
    return finish(operation, running);
  }
  running.step = Step::page;
  ask(operation, running, more, shards);
}

void Desk::paged(Operation operation, Running& running, const Answers& in) {
  PartAsk asked_for = part_of(*running.set, running.schema);
  std::vector<int> shards;
  assemble(running, asked_for, shards);
  for (const auto& [shard, result] : in.by_shard) {
    const auto at = asked_for.of_shard.find(shard);
    if (at != asked_for.of_shard.end()) running.have[shard] = {at->second.first, result.records};
  }
  deliver(running);
  finish(operation, running);
}

// The page as far as its records are there; each that is not has its own mark.
void Desk::deliver(Running& running) const {
  const Set& set = *running.set;
  const std::int64_t end = std::min<std::int64_t>(set.total, running.first + running.count - 1);
  std::vector<Delivered>& out = running.reply.records;
  const auto missing = [&](int position) { out.push_back({{}, Trouble::record_unavailable, position}); };
  if (!set.sort.empty()) {
    std::vector<Merged> all;
    // Where a shard's records are not there, what comes behind the first of them cannot be placed.
    bool placed = true;
    for (const auto& [shard, hits] : set.hits) {
      const auto at = running.have.find(shard);
      const auto there = at == running.have.end() ? std::size_t{0} : at->second.second.size();
      if (static_cast<std::int64_t>(there) < std::min<std::int64_t>(hits, end)) placed = false;
      for (std::size_t i = 0; i < there; ++i)
        all.push_back({&at->second.second[i], shard, static_cast<int>(i)});
    }
    std::sort(all.begin(), all.end(),
              [&](const Merged& a, const Merged& b) { return before(a, b, set.sort); });
    for (std::int64_t position = running.first; position <= end; ++position) {
      const auto i = static_cast<std::size_t>(position - 1);
      if (!placed || i >= all.size()) {
        missing(static_cast<int>(position));
      } else {
        out.push_back({*all[i].record, Trouble::none, static_cast<int>(position)});
      }
    }
  } else {
    std::int64_t begins = 1;
    for (const auto& [shard, hits] : set.hits) {
      const auto at = running.have.find(shard);
      for (std::int64_t position = std::max<std::int64_t>(running.first, begins);
           position <= end && position < begins + hits; ++position) {
        const std::int64_t i = position - begins;
        const std::int64_t from = at == running.have.end() ? 0 : at->second.first;
        if (at == running.have.end() || i < from ||
            i - from >= static_cast<std::int64_t>(at->second.second.size())) {
          missing(static_cast<int>(position));
        } else {
          out.push_back({at->second.second[static_cast<std::size_t>(i - from)], Trouble::none,
                         static_cast<int>(position)});
        }
      }
      begins += hits;
    }
  }
  running.reply.next = end < set.total ? static_cast<int>(end + 1) : 0;
}

// Terms of several shards that are equal are one, and their counts add up. A shard's terms end somewhere, and
// what comes behind the nearest end may lack counts of that shard, so it is left out.
void Desk::scanned(Operation operation, Running& running, const Answers& in) {
  std::map<std::string, std::int64_t> all;
  std::optional<std::string> known_to;
  for (const auto& [shard, result] : in.by_shard) {
    for (const ScanTerm& term : result.terms) all[term.term] += term.count;
    const bool more = static_cast<int>(result.terms.size()) >= running.scan.count;
    if (more && (!known_to || result.terms.back().term < *known_to)) known_to = result.terms.back().term;
  }
  for (const auto& [term, count] : all) {
    if (static_cast<int>(running.reply.terms.size()) >= running.scan.count) break;
    if (known_to && term > *known_to) break;
    running.reply.terms.push_back({term, count});
  }
  finish(operation, running);
}

// ---- what is pulled ----

std::optional<Reply> Desk::next_reply() {
  if (replies_.empty()) return std::nullopt;
  Reply out = std::move(replies_.front());
  replies_.pop_front();
  return out;
}

std::optional<front::Request> Desk::next_ask() {
  if (asks_.empty()) return std::nullopt;
  front::Request out = std::move(asks_.front());
  asks_.pop_front();
  return out;
}

std::optional<std::uint64_t> Desk::next_left() {
  if (lefts_.empty()) return std::nullopt;
  const std::uint64_t out = lefts_.front();
  lefts_.pop_front();
  return out;
}

std::optional<Session> Desk::next_close() {
  if (closes_.empty()) return std::nullopt;
  const Session out = closes_.front();
  closes_.pop_front();
  return out;
}

}  // namespace marbledyke::search
