// Sessions, result sets and operations of searching clients: what is asked of the shards for each, how what
// comes back becomes an honest answer, what is kept and when it is forgotten. No sockets, no clock of its
// own, and no protocol: a front says what its client wants, pulls replies and multigets, and hands in how
// those ended. Which server gets a part, whether again, and what is turned away is the decision module's
// matter, here as everywhere.
//
// A result set holds the search and the number of hits by shard, not records: a page is fetched from
// whichever servers hold those shards then, so that a session outlives any server. Only a search that may not
// run again keeps the records it brought, and has no others.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/gatherer_config.h"
#include "front/front.h"
#include "search/part.h"
#include "search/terms.h"

namespace marbledyke::search {

using Session = std::uint64_t;
using Operation = std::uint64_t;

// How many records go along with a search's answer, where that follows from the hits: all of a set up to
// `small`, none of one from `large` on, `medium` of those between.
struct ByHits {
  std::int64_t small = 0, large = 1;
  int medium = 0;
};

struct SearchAsk {
  std::vector<std::string> databases;
  Query query;
  std::string set;      // its name in the session; empty: one is made up
  bool replace = true;  // a set of that name
  int first = 1;        // of the records wanted with the answer
  int count = 0;
  std::optional<ByHits> by_hits;  // instead of the count
  std::string schema;             // by name or identifier; empty: the database's first
  std::vector<SortKey> sort;
  Duration life{};  // of the set, as the client would have it; zero: the operator's
};

struct PresentAsk {
  std::string set;
  int first = 1, count = 0;
  std::string schema;
};

struct ScanAsk {
  std::string database, index, term;
  int count = 10;
  int position = 1;  // of the term in the answer; 0: one before the first
};

struct Delivered {
  Record record;
  Trouble trouble = Trouble::none;  // in place of the record
  int position = 0;
};

struct Reply {
  Operation operation = 0;
  Diagnostic diagnostic;          // none: all is well
  std::vector<Diagnostic> notes;  // beside an answer: it is not whole
  std::int64_t hits = 0;
  bool whole = true;  // every shard concerned has answered
  int shards = 0, answered = 0;
  std::string set, schema, database;
  Duration set_life{};
  std::vector<Delivered> records;
  int next = 0;  // position of the next record; 0: none
  std::vector<ScanTerm> terms;
  int position = 0;      // of the term asked for, among the terms
  Duration come_back{};  // where nothing has run: when to try again; zero: no advice
};

struct When {
  Duration sent_by{};                // its first byte was here then
  std::optional<Duration> patience;  // as the client says
};

struct DeskTally {
  std::uint64_t searches = 0, presents = 0, scans = 0, sorts = 0, steps = 0, diagnostics = 0, partial = 0,
                sessions = 0, sessions_refused = 0, sets_expired = 0, sets_evicted = 0, abandoned = 0,
                unreadable = 0;
};

class Desk {
 public:
  // Throws config::BadInput where the terms name what the platform's do not know.
  Desk(const Terms& terms, const config::ServiceSettings& settings, std::uint32_t seed);

  void clock(Duration now);

  // None where as many are open as may be.
  std::optional<Session> open();
  void close(Session session);
  void heard(Session session);  // puts off its end for saying nothing
  std::size_t sessions() const { return sessions_.size(); }

  // Each gives its operation, whose reply comes from next_reply(), at once or later, unless it is abandoned.
  Operation search(Session session, SearchAsk ask, const When& when);
  Operation present(Session session, const PresentAsk& ask, const When& when);
  Operation scan(Session session, const ScanAsk& ask, const When& when);
  Operation sort(Session session, const std::string& from, const std::string& to, std::vector<SortKey> keys);
  // None: there is no such set.
  bool remove(Session session, const std::string& set);
  std::size_t remove_all(Session session);
  void abandon(Operation operation);
  const Database* database_of(Session session, const std::string& set) const;  // null: there is no such set

  std::size_t under_way(Session session) const;
  bool may_begin(Session session) const { return under_way(session) < limits_.operations; }

  // What is decided, to be pulled until there is none.
  std::optional<Reply> next_reply();
  std::optional<front::Request> next_ask();  // its caller is the operation
  std::optional<std::uint64_t> next_left();
  std::optional<Session> next_close();        // has said nothing for too long
  std::optional<Duration> next_wake() const;  // when clock() may bring something about

  // How a multiget ended.
  void answered(Operation operation, bool whole, const std::vector<front::Value>& values);
  void refused(Operation operation, front::Refusal why, Duration come_back);

  const Terms& terms() const { return terms_; }
  const Limits& limits() const { return limits_; }
  std::size_t sets() const { return by_use_.size(); }
  std::size_t kept_bytes() const { return kept_; }
  std::size_t operations() const { return operations_.size(); }
  const DeskTally& tally() const { return tally_; }

 private:
  struct Place {  // a database or index as it can be used: numbers for names
    int op_type = 0;
    std::vector<int> shards;
  };
  struct Set {
    const Database* database = nullptr;
    Query query;
    std::vector<SortKey> sort;
    Place place;
    bool once = false;
    std::vector<std::pair<int, std::int64_t>> hits;  // by shard that answered, in the order of pages
    std::int64_t total = 0;
    bool whole = true;
    int shards = 0, answered = 0;             // of its search
    std::map<int, std::vector<Record>> kept;  // once: by shard
    std::size_t kept_bytes = 0;               // with all of the above
    Duration life{}, used{};
    std::uint64_t use = 0;  // its place among all uses
    Session owner = 0;
    std::string name;
    bool listed = false;  // in a session
  };
  using SetRef = std::shared_ptr<Set>;
  struct SessionState {
    Duration heard{};
    std::map<std::string, SetRef> sets;
    std::set<std::string> deleted;  // by this program, unasked
    std::set<Operation> operations;
  };
  enum class Step { search, page, scan };
  struct Running {
    Session session = 0;
    Step step = Step::search;
    SetRef set;
    std::optional<ByHits> by_hits;
    std::string schema;  // its identifier
    int first = 1, count = 0;
    bool new_set = false;
    ScanAsk scan;
    int shards = 0;
    Duration sent_by{}, patience{};
    std::map<int, std::pair<int, std::vector<Record>>> have;  // by shard: from which record on, and these
    Reply reply;
  };
  struct Answers {
    std::map<int, PartResult> by_shard;
    std::string trouble;
    bool unsupported = false;
  };

  Running running_for(Step step, const SetRef& set, const When& when) const;
  Operation begin(Session session, Running&& running);
  Operation at_once(Session session, Trouble what, std::string detail = {});
  void finish(Operation operation, Running& running);
  void fail(Operation operation, Running& running, Trouble what, std::string detail = {},
            Duration come_back = {});
  void ask(Operation operation, Running& running, const PartAsk& part, const std::vector<int>& shards);
  Answers read(const std::vector<front::Value>& values);
  void searched(Operation operation, Running& running, const Answers& in);
  void paged(Operation operation, Running& running, const Answers& in);
  void scanned(Operation operation, Running& running, const Answers& in);
  void page(Operation operation, Running& running);
  bool assemble(Running& running, PartAsk& more, std::vector<int>& shards) const;
  void deliver(Running& running) const;
  PartAsk part_of(const Set& set, const std::string& schema) const;
  std::optional<Diagnostic> place_of(const Database& database, const Query& query, Place& into) const;
  const Place& place(const Database& database, const Index* index) const;
  std::optional<std::string> schema_of(const Database& database, const std::string& asked) const;
  SetRef find_set(Session session, const std::string& name, Trouble& trouble);
  void list(Session session, const SetRef& set);
  void unlist(const SetRef& set, bool unasked);
  void use(const SetRef& set);
  void evict();
  static std::size_t set_bytes(const Set& set);

  Terms terms_;
  const Limits limits_;
  const config::ServiceSettings& settings_;
  std::mt19937 chance_;
  Duration now_{};
  std::map<std::pair<const Database*, const Index*>, Place> places_;
  std::map<Session, SessionState> sessions_;
  std::set<std::pair<Duration, Session>> by_hearing_;
  std::map<std::pair<Duration, std::uint64_t>, SetRef>
      by_use_;  // all listed sets, the least recently used first
  std::map<Operation, Running> operations_;
  std::deque<Reply> replies_;
  std::deque<front::Request> asks_;
  std::deque<std::uint64_t> lefts_;
  std::deque<Session> closes_;
  std::set<Session> closing_;
  std::uint64_t next_session_ = 1, next_operation_ = 1;
  std::uint64_t next_use_ = 1;
  std::size_t kept_ = 0;
  DeskTally tally_;
};

}  // namespace marbledyke::search
