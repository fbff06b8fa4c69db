// Searches without sockets: queries read and bounded, messages cut at every byte, and the desk's sessions,
// sets and pages, printed and compared with kept traces.
#include <unistd.h>

#include <cstdio>
#include <cstring>
#include <random>

#include "carrier/carrier.h"
#include "cql/read.h"
#include "search/desk.h"
#include "sru/message.h"
#include "sru/talk.h"
#include "standins/catalogue.h"
#include "z3950/ber.h"
#include "z3950/front.h"
#include "z3950/talk.h"

using namespace marbledyke;
using namespace std::chrono_literals;
using search::Trouble;

namespace {

std::string words(const search::Diagnostic& d) {
  return "SRU " + std::to_string(sru::number_of(d.what)) + ", Bib-1 " +
         std::to_string(z3950::bib1_of(d.what)) + (d.detail.empty() ? "" : ": " + d.detail.substr(0, 60));
}

// ---- queries ----

void cql_cases() {
  const std::vector<search::UseOf> uses{{"dc.title", 4}, {"dc.date", 30}};
  std::vector<std::string> texts{
      "lease",
      "\"office space\"",
      "dc.title any \"lease loan\"",
      "DC.Title = Lease and dc.date >= 2010",
      "a and b or c not d",
      "a or (b and (c or d))",
      "dc.title == \"Lease of vehicles\"",
      "dc.title exact x",
      "dc.title = lea*",
      "dc.title = \"a\\*b\"",
      "dc.title = \"say \\\"yes\\\"\"",
      "a prox/distance<=3/unit=word/ordered b",
      "cql.resultSetId = \"s7\"",
      "dc.title = lease sortBy dc.date/sort.descending dc.title",
      "",
      "dc.title =",
      "(a",
      "a)",
      "a and",
      "and",
      "dc.title = *a",
      "dc.title = l?ase",
      "dc.title = ^lease",
      "dc.title = \"\"",
      "dc.title within \"1 2\"",
      "dc.title =/relevant x",
      "a and/rel.combine=sum b",
      "a prox/unit=sentence b",
      "a sortBy dc.date/missing.fail",
  };
  texts.push_back(std::string(65, '(') + "a" + std::string(65, ')'));
  texts.push_back(std::string(64 * 1024, '('));
  texts.push_back(std::string(16'000, '('));
  std::string chain = "a";
  for (int i = 0; i < 300; ++i) chain += " and a";
  texts.push_back(chain);
  for (const std::string& text : texts) {
    std::printf("%s%s\n", text.substr(0, 70).c_str(), text.size() > 70 ? "..." : "");
    const auto read = cql::read(text);
    if (const auto* wrong = std::get_if<search::Diagnostic>(&read)) {
      std::printf("  %s\n", words(*wrong).c_str());
      continue;
    }
    const auto& good = std::get<cql::Read>(read);
    const std::string canonical = search::cql_of(good.query);
    std::printf("  %s\n  %s\n", canonical.c_str(), search::pqf_of(good.query, uses).c_str());
    for (const auto& key : good.sort)
      std::printf("  by %s%s\n", key.index.c_str(), key.descending ? " down" : "");
    if (const std::string set = cql::result_set_of(good.query); !set.empty())
      std::printf("  the set %s\n", set.c_str());
    // What is read back says the same.
    const auto again = cql::read(canonical);
    const auto* same = std::get_if<cql::Read>(&again);
    if (same == nullptr || search::cql_of(same->query) != canonical) std::printf("  NOT THE SAME AGAIN\n");
  }
}

// ---- BER ----

std::string ber(unsigned char tag, const std::string& content, bool indefinite = false) {
  std::string out(1, static_cast<char>(tag));
  if (indefinite) return out + '\x80' + content + std::string(2, '\0');
  if (content.size() < 128) return out + static_cast<char>(content.size()) + content;
  out += '\x82';
  out += static_cast<char>(content.size() >> 8);
  out += static_cast<char>(content.size() & 0xff);
  return out + content;
}

void ber_cases() {
  const auto show = [](const char* what, const std::string& bytes, std::size_t behind = 0) {
    std::string verdict;
    for (std::size_t step = 1; step <= bytes.size(); step = step < 9 ? step + 1 : bytes.size() + 1) {
      z3950::BerScanner scanner(64 * 1024, 100);
      std::size_t used = 0;
      while (used < bytes.size() && scanner.state() == z3950::BerScanner::State::reading)
        used += scanner.take(std::string_view(bytes).substr(used, step));
      const std::string its =
          scanner.state() == z3950::BerScanner::State::done  ? "ends after " + std::to_string(used)
          : scanner.state() == z3950::BerScanner::State::bad ? std::string("refused: ") + scanner.complaint()
                                                             : "goes on";
      if (verdict.empty()) verdict = its;
      if (verdict != its) verdict = "DEPENDS ON HOW IT IS CUT";
    }
    std::printf("%s: %s%s\n", what, verdict.c_str(), behind > 0 ? ", with more behind it" : "");
  };
  show("a primitive", ber(0x04, "abc"));
  show("two within one", ber(0x30, ber(0x04, "abc") + ber(0x02, "1")));
  show("indefinite", ber(0x30, ber(0x04, "abc"), true));
  show("indefinite within indefinite", ber(0x30, ber(0xa1, ber(0x04, "abc"), true), true));
  show("long tag", std::string("\xbf\x30\x03\x04\x01z", 6));
  show("two in a row", ber(0x04, "abc") + ber(0x04, "x"), 1);
  show("empty", ber(0x30, ""));
  show("not all of it", ber(0x30, ber(0x04, "abc")).substr(0, 5));
  show("an element longer than the one around it", std::string("\x30\x03\x04\x05zzzzz", 9));
  show("a length of 4 GB", std::string("\x30\x84\xff\xff\xff\xff", 6));
  show("a length of five bytes", std::string("\x30\x85\x00\x00\x00\x00\x01", 7));
  show("a length over what may be", std::string("\x04\x83\x01\x00\x01", 5));
  show("a primitive of indefinite length", std::string("\x04\x80zz", 4));
  show("an end where none is open", std::string("\x30\x02\x00\x00", 4));
  show("a tag that does not end", std::string("\x1f\xff\xff\xff\xff\xff", 6));
  std::string deep;
  for (int i = 0; i < 200; ++i) deep += "\x30\x80";
  show("200 deep, indefinite", deep);
}

// ---- the desk ----

config::ServiceSettings settings() {
  config::ServiceSettings out;
  config::OpTypeSettings look, part, once;
  look.name = "look";
  part.name = "some";
  part.min_answer_share = 0.5;
  once.name = "issue";
  once.non_retriable = true;
  out.op_types = {look, part, once};
  out.shards = 4;
  out.max_route_timeout = 4s;
  return out;
}

search::Terms terms() {
  search::Terms out;
  for (const char* op : {"look", "some"}) {
    search::Database database;
    database.name = op == std::string("look") ? "clauses" : "loose";
    database.op_type = op;
    database.deadline = 2s;
    for (const auto& [name, use] : {std::pair{"dc.title", 4}, {"dc.date", 30}, {"dc.identifier", 12}}) {
      search::Index index;
      index.name = name;
      index.use = use;
      database.indexes.push_back(index);
    }
    search::Index issue;
    issue.name = "order.issue";
    issue.op_type = "issue";
    issue.use = 8000;
    database.indexes.push_back(issue);
    search::Index narrow;
    narrow.name = "dc.subject";
    narrow.shards = {1, 2};
    database.indexes.push_back(narrow);
    out.databases.push_back(database);
  }
  out.limits.sets = 3;
  out.limits.all_sets = 5;
  out.limits.sessions = 3;
  out.limits.operations = 2;
  out.limits.records = 20;
  out.limits.ahead = 5;
  out.limits.deepest = 30;
  out.limits.set_life = 10s;
  out.limits.idle = 8s;
  return out;
}

struct Bench {
  explicit Bench(const search::Terms& its_terms = terms())
      : its(settings()), desk(its_terms, its, 7), catalogue(40, 4) {
    desk.clock(now);
  }

  void pass(Duration time) {
    now += time;
    desk.clock(now);
    pull();
  }
  // Pulls everything; multigets are answered from the catalogue, but for the shards that are away.
  void pull() {
    for (bool any = true; any;) {
      any = false;
      while (const auto asked = desk.next_ask()) {
        any = true;
        std::string shards;
        for (const auto& piece : asked->multiget.parts) shards += " " + std::to_string(piece.shard);
        const auto ask = search::read_part_ask(*asked->multiget.text);
        std::printf("  asks op type %d, shards%s", asked->multiget.op_type, shards.c_str());
        if (ask->errand == search::Errand::search) {
          std::printf(", from %d, %d", ask->from, ask->count);
          for (const auto& [shard, run] : ask->of_shard)
            std::printf("; of %d from %d, %d", shard, run.first, run.second);
        }
        std::printf(", time %lld ms\n", static_cast<long long>(asked->multiget.client_timeout / 1ms));
        if (hold) {
          held.push_back(*asked);
          continue;
        }
        answer(*asked, *ask);
      }
      while (const auto gone = desk.next_left())
        std::printf("  gives up multiget of %s\n", name(*gone).c_str());
      while (const auto reply = desk.next_reply()) {
        any = true;
        print(*reply);
      }
      while (const auto session = desk.next_close()) {
        std::printf("  session %llu has said nothing for long\n", static_cast<unsigned long long>(*session));
        desk.close(*session);
      }
    }
  }
  void answer(const front::Request& asked, const search::PartAsk& ask) {
    std::vector<std::string> values;
    std::vector<int> shards;
    for (const auto& piece : asked.multiget.parts) {
      if (away.contains(piece.shard)) continue;
      if (mad.contains(piece.shard)) {
        values.push_back("{\"hits\":-1}");
      } else {
        values.push_back(search::text_of(catalogue.answer(ask, piece.shard)));
      }
      shards.push_back(piece.shard);
    }
    const config::OpTypeSettings& op = its.op_types[static_cast<std::size_t>(asked.multiget.op_type)];
    const double share =
        static_cast<double>(shards.size()) / static_cast<double>(asked.multiget.parts.size());
    if (share < op.min_answer_share) return desk.refused(asked.caller, front::Refusal::failed, {});
    std::vector<front::Value> out;
    for (std::size_t i = 0; i < values.size(); ++i) out.push_back({shards[i], values[i]});
    desk.answered(asked.caller, shards.size() == asked.multiget.parts.size(), out);
  }
  std::string name(search::Operation operation) const { return "operation " + std::to_string(operation); }
  void print(const search::Reply& r) {
    std::printf("  %s: ", name(r.operation).c_str());
    if (r.diagnostic.what != Trouble::none) {
      std::printf(
          "%s%s\n", words(r.diagnostic).c_str(),
          r.come_back > 0ms ? (" (back in " + std::to_string(r.come_back / 1ms) + " ms)").c_str() : "");
      return;
    }
    std::printf("%lld hits%s", static_cast<long long>(r.hits), r.whole ? "" : " AT LEAST");
    if (!r.set.empty()) std::printf(", set %s", r.set.c_str());
    for (const auto& one : r.records)
      std::printf(" %d:%s", one.position, one.trouble == Trouble::none ? one.record.id.c_str() : "MISSING");
    if (r.next > 0) std::printf(" next %d", r.next);
    for (const auto& term : r.terms)
      std::printf(" [%s %lld]", term.term.c_str(), static_cast<long long>(term.count));
    std::printf("\n");
  }
  search::SearchAsk ask(const std::string& text, int first = 1, int count = 0, const std::string& set = "a") {
    search::SearchAsk out;
    out.databases = {database};
    const auto read = cql::read(text);
    out.query = std::get<cql::Read>(read).query;
    out.sort = std::get<cql::Read>(read).sort;
    out.first = first;
    out.count = count;
    out.set = set;
    return out;
  }
  void search(search::Session s, const std::string& text, int first = 1, int count = 0,
              const std::string& set = "a") {
    std::printf("%s, from %d, %d records, as %s\n", text.c_str(), first, count, set.c_str());
    desk.search(s, ask(text, first, count, set), {now, std::nullopt});
    pull();
  }
  void present(search::Session s, const std::string& set, int first, int count) {
    std::printf("present %s, from %d, %d\n", set.c_str(), first, count);
    desk.present(s, {set, first, count, ""}, {now, 700ms});
    pull();
  }

  Duration now = 1s;
  config::ServiceSettings its;
  search::Desk desk;
  standins::Catalogue catalogue;
  std::set<int> away, mad;
  bool hold = false;
  std::vector<front::Request> held;
  std::string database = "clauses";
};

void pages() {
  Bench b;
  const auto s = *b.desk.open();
  b.search(s, "dc.title = lease", 1, 2);
  b.search(s, "dc.title = of", 1, 4);
  b.search(s, "dc.title = of", 9, 4);
  b.present(s, "a", 10, 3);
  b.present(s, "a", 39, 5);
  b.present(s, "a", 41, 1);
  b.search(s, "dc.title = of sortBy dc.date/sort.descending", 3, 3);
  b.present(s, "a", 29, 2);
  b.present(s, "a", 30, 2);
  b.search(s, "dc.title = nothing", 1, 5);
  b.search(s, "dc.title = of", 41, 5);
  b.search(s, "dc.subject = payment", 1, 2);
  std::printf("sort a by date into b\n");
  b.desk.sort(s, "a", "b", {{"dc.date", false}});
  b.pull();
  b.present(s, "b", 1, 2);
  std::printf("scan\n");
  b.desk.scan(s, {"clauses", "dc.title", "lo", 3, 1}, {b.now, std::nullopt});
  b.pull();
}

void partial() {
  Bench b;
  const auto s = *b.desk.open();
  b.away = {2};
  std::printf("-- shard 2 is away; all are needed\n");
  b.search(s, "dc.title = of", 1, 2);
  b.present(s, "a", 1, 2);
  b.database = "loose";
  std::printf("-- half are enough\n");
  b.search(s, "dc.title = of", 1, 2);
  std::printf("-- it is back, and shard 0 goes: the set knows nothing of shard 2\n");
  b.away = {0};
  b.present(s, "a", 9, 4);
  b.away = {};
  b.present(s, "a", 9, 4);
  std::printf("-- shard 1 talks nonsense\n");
  b.mad = {1};
  b.search(s, "dc.title = of", 1, 1);
  b.database = "clauses";
  b.search(s, "dc.title = of", 1, 1);
  b.mad = {};
  std::printf("-- found, but the page cannot be had\n");
  b.hold = true;
  b.search(s, "dc.title = of", 9, 4);
  b.hold = false;
  b.answer(b.held[0], *search::read_part_ask(*b.held[0].multiget.text));
  b.hold = true;
  b.pull();
  b.desk.refused(b.held[1].caller, front::Refusal::pushed_back, 300ms);
  b.pull();
  std::printf("-- pushed back\n");
  b.desk.search(s, b.ask("dc.title = of"), {b.now, std::nullopt});
  b.pull();
  b.desk.refused(b.held[2].caller, front::Refusal::pushed_back, 300ms);
  b.pull();
}

void once() {
  Bench b;
  const auto s = *b.desk.open();
  b.search(s, "order.issue = c00005", 1, 1);
  b.present(s, "a", 1, 1);
  b.search(s, "order.issue = c*", 1, 2);
  std::printf("-- records beyond those that it brought are not to be had, since it may not run again\n");
  b.present(s, "a", 1, 20);
  b.search(s, "order.issue = c00005 and dc.title = lease", 1, 1);
  std::printf("sort, scan\n");
  b.desk.sort(s, "a", "b", {{"dc.date", false}});
  b.desk.scan(s, {"clauses", "order.issue", "", 3, 1}, {b.now, std::nullopt});
  b.pull();
  std::printf("-- it failed after it may have run\n");
  b.hold = true;
  b.search(s, "order.issue = c00006", 1, 1, "z");
  b.desk.refused(b.held[0].caller, front::Refusal::failed, {});
  b.pull();
  b.present(s, "z", 1, 1);
}

void bounds() {
  Bench b;
  const auto s = *b.desk.open();
  for (const char* set : {"a", "b", "c", "d"}) b.search(s, "dc.title = lease", 1, 0, set);
  std::printf("not to be replaced\n");
  auto ask = b.ask("dc.title = loan", 1, 0, "a");
  ask.replace = false;
  b.desk.search(s, ask, {b.now, std::nullopt});
  b.pull();
  const auto t = *b.desk.open();
  std::printf("-- a second session; five sets in all: the least recently used goes\n");
  b.present(s, "a", 1, 1);
  for (const char* set : {"x", "y", "z"}) b.search(t, "dc.title = lease", 1, 0, set);
  b.present(s, "a", 1, 1);
  b.present(s, "b", 1, 1);
  b.present(s, "never", 1, 1);
  for (int i = 0; i < 2; ++i) std::printf("remove x: %s\n", b.desk.remove(t, "x") ? "done" : "no such set");
  b.present(t, "x", 1, 1);
  std::printf("-- two operations at a time\n");
  b.hold = true;
  for (int i = 0; i < 3; ++i) b.desk.search(t, b.ask("dc.title = lease", 1, 0, "y"), {b.now, std::nullopt});
  b.pull();
  std::printf("-- given up, then the session ends\n");
  b.desk.abandon(b.held[0].caller);
  b.pull();
  b.desk.close(t);
  b.pull();
  std::printf("operations %zu, sessions %zu, sets %zu\n", b.desk.operations(), b.desk.sessions(),
              b.desk.sets());
  b.desk.answered(b.held[1].caller, true, {});
  b.pull();
  std::printf("-- sessions\n");
  for (int i = 0; i < 3; ++i) std::printf("%s\n", b.desk.open() ? "open" : "none is left");
  b.hold = false;
  std::printf("-- 7 s later one says something\n");
  b.pass(7s);
  b.present(s, "a", 1, 1);
  b.pass(2s);
  std::printf("sessions %zu, sets %zu\n", b.desk.sessions(), b.desk.sets());
  b.pass(20s);
  std::printf("sessions %zu, sets %zu, kept %zu bytes\n", b.desk.sessions(), b.desk.sets(),
              b.desk.kept_bytes());
}

// Answers what the desk asks for, and returns its reply.
search::Reply next_reply(Bench& b) {
  while (const auto asked = b.desk.next_ask())
    b.answer(*asked, *search::read_part_ask(*asked->multiget.text));
  return b.desk.next_reply().value_or(search::Reply{});
}

// Runs a search whose set the client did not name, and returns the set's name.
std::string search_unnamed(Bench& b, search::Session session, const std::string& text) {
  search::SearchAsk ask = b.ask(text, 1, 0, "");
  ask.life = 10s;  // the oldest set makes room, as over SRU
  b.desk.search(session, ask, {b.now, std::nullopt});
  return next_reply(b).set;
}

// Guards against a made-up set name that leads to another client's records: after a restart, at another
// listener, or because a client counts on from its own (review/8).
void set_names() {
  Bench before, after;  // with the same seed
  const auto s = *before.desk.open(), t = *after.desk.open();
  const std::string held = search_unnamed(before, s, "dc.title = lease");
  const std::string other = search_unnamed(after, t, "dc.title = of");
  std::printf("after a restart another search has %s\n",
              other == held ? "THE SAME SET NAME" : "another set name");
  after.desk.present(t, {held, 1, 1, ""}, {after.now, 700ms});
  const search::Reply page = next_reply(after);
  std::printf("the set of before the restart: SRU %d\n", sru::number_of(page.diagnostic.what));
  std::set<std::string> names;
  std::size_t shortest = held.size();
  for (int i = 0; i < 1000; ++i) {
    names.insert(search_unnamed(before, s, "dc.title = lease"));
    shortest = std::min(shortest, names.rbegin()->size());
  }
  constexpr std::size_t kGuessableDigits = 32;  // 128 bits
  std::printf("%zu names of 1000 sets, %s\n", names.size(),
              shortest > kGuessableDigits ? "of 128 bits or more" : "SHORT ENOUGH TO GUESS");
}

// Guards against memory that grows with each search under a new name: sets count with their queries.
void set_memory() {
  constexpr std::size_t kKeptBytes = 100'000;
  search::Terms narrow = terms();
  narrow.limits.sets = narrow.limits.all_sets = 1000;
  narrow.limits.kept = kKeptBytes;
  Bench b(narrow);
  const auto s = *b.desk.open();
  std::string query = "dc.title = lease";
  for (int i = 0; i < 40; ++i) query += " or dc.title = word" + std::to_string(i);
  for (int i = 0; i < 200; ++i) search_unnamed(b, s, query);
  std::printf("sets kept of 200 with long queries: %s\n", b.desk.sets() == 0   ? "NONE"
                                                          : b.desk.sets() < 20 ? "a few"
                                                                               : "TOO MANY");
  std::printf("%s\n", b.desk.kept_bytes() <= kKeptBytes ? "within their bytes" : "BEYOND THEIR BYTES");
}

// ---- SRU ----

net::HttpMessage get(const std::string& target) {
  net::HttpMessage out;
  out.method_or_version = "GET";
  out.target_or_status = target;
  out.version_or_reason = "HTTP/1.1";
  return out;
}

void sru_cases() {
  for (const char* target :
       {"/clauses?version=1.2&operation=searchRetrieve&query=dc.title%20any%20lease&maximumRecords=2",
        "/clauses?query=lease&startRecord=3&recordXMLEscaping=string", "/clauses",
        "/clauses?scanClause=dc.title%3Dlease&maximumTerms=5&responsePosition=0",
        "/clauses?version=1.1&operation=explain", "/?version=1.3&operation=explain",
        "/c?version=1.2&operation=update", "/c?version=1.2&operation=searchRetrieve",
        "/c?version=1.2&operation=scan", "/c?query=a&maximumRecords=x", "/c?query=a&startRecord=0",
        "/c?query=a&query=b", "/c?query=%zz", "/c?query=a&recordPacking=json&version=1.2",
        "/c?query=a&queryType=lucene", "/c?query=a&x-deadline-ms=300", "/c?query=a&x-deadline-ms=0",
        "/c?query=a&sortKeys=dc.date,,0 dc.title&version=1.2",
        "/c?query=cql.resultSetId%3Ds1&startRecord=11"}) {
    const sru::Request r = sru::read_request(get(target));
    std::printf("%s\n", target);
    if (r.wrong.what != Trouble::none) {
      std::printf("  %s\n", words(r.wrong).c_str());
      continue;
    }
    std::printf("  %s of %s",
                r.verb == sru::Verb::search ? "search"
                : r.verb == sru::Verb::scan ? "scan"
                                            : "explain",
                r.database.c_str());
    if (r.verb == sru::Verb::search)
      std::printf(": %s, from %d, %d%s", search::cql_of(r.query).c_str(), r.first, r.count,
                  r.as_string ? ", as text" : "");
    if (!r.result_set.empty()) std::printf(", of set %s", r.result_set.c_str());
    for (const auto& key : r.sort) std::printf(", by %s%s", key.index.c_str(), key.descending ? " down" : "");
    if (r.verb == sru::Verb::scan) std::printf(": %s from %s, %d", r.index.c_str(), r.term.c_str(), r.terms);
    if (r.patience) std::printf(", within %lld ms", static_cast<long long>(*r.patience / 1ms));
    std::printf("\n");
  }
  // Responses hold what they are made from, whatever bytes that has.
  search::Reply reply;
  reply.hits = 3;
  reply.set = "s<1>";
  reply.schema = "info:srw/schema/1/dc-v1.1";
  reply.records = {{{"1", "", {}, "<a b='c'>x &amp; y</a>"}, Trouble::none, 1},
                   {{"2", "", {}, "<a>no end"}, Trouble::none, 2},
                   {{}, Trouble::record_unavailable, 3}};
  reply.whole = false;
  reply.shards = 4;
  reply.answered = 3;
  for (const char* target :
       {"/c?version=1.2&operation=searchRetrieve&query=%22%01%ff%22%20and%20%22%3C%22", "/c?query=a"}) {
    const sru::Request r = sru::read_request(get(target));
    const std::string xml = sru::search_body(r, reply);
    std::printf("%s\n", xml.c_str());
    const auto read = sru::read_response(xml);
    if (!read) {
      std::printf("CANNOT BE READ\n");
      continue;
    }
    std::printf("read: %lld hits, diagnostic %d (%s)\n", static_cast<long long>(read->result.hits),
                read->diagnostic, read->words.c_str());
    for (const auto& record : read->result.records) std::printf("  %s\n", record.xml.c_str());
  }
}

// ---- talks ----

std::string said(const carrier::SessionEvent& s) {
  static const char* const kWhats[] = {"goes on", "ready",   "answered", "refused",
                                       "failed",  "leaving", "broken"};
  std::string out = kWhats[static_cast<std::size_t>(s.kind)];
  if (!s.value.empty()) out += " " + s.value.substr(0, 100);
  if (!s.reason.empty()) out += " (" + s.reason + ")";
  return out;
}

void talks() {
  search::PartAsk ask;
  ask.database = "clauses";
  ask.cql = "dc.title = \"lease\"";
  ask.pqf = "@attr 1=4 @attr 2=3 \"lease\"";
  ask.schema = "dc";
  ask.count = 2;
  const auto http = [](const std::string& status, const std::string& body) {
    return "HTTP/1.1 " + status + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  const sru::Request request = sru::read_request(get("/c?query=a&version=1.2"));
  search::Reply good;
  good.hits = 1;
  good.records = {{{"1", "", {}, "<a/>"}, Trouble::none, 1}};
  search::Reply general, index, partial = good;
  general.diagnostic = {Trouble::general, ""};
  index.diagnostic = {Trouble::unsupported_index, "dc.x"};
  partial.whole = false;
  const std::pair<const char*, std::string> answers[] = {
      {"an answer", http("200", sru::search_body(request, good))},
      {"a general diagnostic", http("200", sru::search_body(request, general))},
      {"an unsupported index", http("200", sru::search_body(request, index))},
      {"a count that is not whole", http("200", sru::search_body(request, partial))},
      {"503", http("503", "later")},
      {"404", http("404", "none")},
      {"another XML", http("200", "<html/>")},
      {"no XML", http("200", "hello")},
      {"an entity of its own",
       http("200", "<!DOCTYPE a [<!ENTITY b 'c'>]><searchRetrieveResponse>&b;</searchRetrieveResponse>")},
      {"no HTTP", "SSH-2.0-x\r\n"}};
  for (const auto& [what, bytes] : answers) {
    std::string verdict;
    for (const std::size_t step : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
      sru::Talk talk("clauses{shard}", "host");
      if (step == 1 && verdict.empty() && std::strcmp(what, "an answer") == 0)
        std::printf("%s\n", talk.format_request(search::text_of(ask), 3).substr(0, 60).c_str());
      else
        talk.format_request(search::text_of(ask), 3);
      carrier::SessionEvent out;
      for (std::size_t used = 0; used < bytes.size() && out.kind == carrier::SessionEvent::Kind::none;)
        used += talk.feed(std::string_view(bytes).substr(used, step), out);
      if (verdict.empty()) verdict = said(out);
      if (verdict != said(out)) verdict = "DEPENDS ON HOW IT IS CUT";
    }
    std::printf("SRU, %s: %s\n", what, verdict.c_str());
  }
  ask.sort = {{"dc.date", false}};
  sru::Talk sorted("clauses", "host");
  for (const std::string& text : {search::text_of(ask), std::string("c41e77d0")}) {
    const std::string request_of = sorted.format_request(text, 0);
    std::printf("SRU, %s: \"%s\", \"%s\"\n", text.size() > 8 ? "sorted" : "no search", request_of.c_str(),
                sorted.unsupported_reply().c_str());
  }
  z3950::Talk z("clauses");
  const std::string early = z.format_request(search::text_of(ask), 0);
  std::printf("Z39.50, before its Init is answered: \"%s\"; hello has %s\n", early.c_str(),
              z.greeting().size() > 20 ? "something" : "NOTHING");
  carrier::SessionEvent out;
  z.feed("HTTP/1.1 400 Bad Request\r\n", out);
  std::printf("Z39.50, an answer in HTTP: %s\n", said(out).c_str());
}

// ---- carriers: servers that cannot be had ----

void carriers() {
  const auto play = [](const char* what, std::vector<net::Address> addresses, Duration patience,
                       bool then_unreadable = false) {
    net::Loop loop;
    loop.read_clock();
    config::ServiceSettings its = settings();
    its.connect_timeout = 100ms;
    its.idle_timeout = 10s;
    carrier::Carrier carrier(loop, its, z3950::make_talk, [] { return false; });
    carrier.set_databases({{"s", "clauses"}});
    list::ListUpdate news;
    news.is_snapshot = true;
    list::ServerEntry entry;
    entry.row.server = "s";
    entry.addresses = std::move(addresses);
    news.entries.push_back(entry);
    carrier.apply_list_update(news);
    if (then_unreadable) {
      news.entries.clear();
      news.unreadable_servers.insert("s");
      carrier.apply_list_update(news);
    }
    std::vector<servers::SendRequest> errands;
    for (int i = 0; i < 3; ++i) {
      servers::SendRequest errand;
      errand.part.text.fill(static_cast<char>('a' + i));
      errand.text = std::make_shared<const std::string>(search::text_of(search::PartAsk{}));
      errand.issued_at = loop.now();
      errand.deadline = loop.now() + patience;
      errands.push_back(std::move(errand));
    }
    carrier.call("s", std::move(errands));
    const Duration end = loop.now() + 1s;
    while (carrier.finished_sends.size() < 3 && loop.now() < end) {
      loop.call_at(loop.now() + 5ms, [] {});
      loop.run_once();
      carrier.destroy_closed();
    }
    int never = 0, unused = 0;
    Duration longest{};
    for (const servers::SendResult& one : carrier.finished_sends) {
      never += one.fate == SendOutcome::dial_failed ? 1 : 0;
      unused += one.fate == SendOutcome::unused ? 1 : 0;
      longest = std::max(longest, one.elapsed);
    }
    carrier.apply_list_update([] {
      list::ListUpdate none;
      none.is_snapshot = true;
      return none;
    }());
    std::printf("%s: %zu fates, %d not connected, %d unused, %s; left over %zu\n", what,
                carrier.finished_sends.size(), never, unused,
                longest < 50ms    ? "at once"
                : longest < 350ms ? "soon"
                                  : "LATE",
                carrier.connection_count());
  };
  const net::Address nobody = *net::parse_address("unix:@marbledyke-nobody-" + std::to_string(getpid()));
  const net::Address silent = *net::parse_address("unix:@marbledyke-silent-" + std::to_string(getpid()));
  const net::Descriptor listener = net::listen_on(silent);
  play("no address", {}, 900ms);
  play("nobody listens", {nobody}, 900ms);
  play("nobody listens at either", {nobody, nobody}, 900ms);
  play("it comes up and does not greet", {silent}, 900ms);
  play("one is dead, the other does not greet", {nobody, silent}, 900ms);
  play("the time is up first", {silent}, 30ms);
  play("its next entry cannot be read", {silent}, 900ms, true);
}

// ---- seeded damage ----

void damage() {
  std::mt19937 chance(11);
  const std::string cqls[] = {"dc.title any \"lease loan\" and (dc.date >= 2010 or not x)",
                              "a prox/distance<=3 b sortBy dc.date/sort.descending"};
  long good = 0, bad = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string text = cqls[chance() % 2];
    for (std::uint32_t k = 0, n = 1 + chance() % 6; k < n; ++k) {
      const std::size_t at = chance() % text.size();
      if (chance() % 3 == 0) {
        text.erase(at, 1 + chance() % 4);
      } else if (chance() % 2 == 0) {
        text.insert(at, 1, static_cast<char>(chance() % 256));
      } else {
        text[at] = static_cast<char>(chance() % 256);
      }
      if (text.empty()) text = "a";
    }
    const auto read = cql::read(text);
    const auto* its = std::get_if<cql::Read>(&read);
    (its != nullptr ? good : bad) += 1;
    if (its != nullptr) {
      const std::string canonical = search::cql_of(its->query);
      const auto again = cql::read(canonical);
      if (!std::holds_alternative<cql::Read>(again) ||
          search::cql_of(std::get<cql::Read>(again).query) != canonical)
        std::printf("NOT THE SAME AGAIN: %s\n", canonical.c_str());
    }
    sru::read_request(get("/c?query=" + text));
    search::read_part_ask(text);
    search::read_part_result(text);
  }
  std::printf("CQL: %s read, %s refused\n", good > 100 ? "some" : "FEW", bad > 100 ? "some" : "FEW");
  // Messages of the protocol itself, damaged: the scanner ends them or refuses, and YAZ decodes or refuses.
  z3950::Talk maker("clauses");
  const std::string hello = maker.greeting();
  long done = 0, refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = hello;
    for (std::uint32_t k = 0, n = 1 + chance() % 4; k < n; ++k)
      bytes[chance() % bytes.size()] = static_cast<char>(chance() % 256);
    z3950::BerScanner scanner(64 * 1024, 100);
    scanner.take(bytes);
    (scanner.state() == z3950::BerScanner::State::done ? done : refused) += 1;
    z3950::Talk reader("clauses");
    reader.greeting();
    carrier::SessionEvent out;
    for (std::size_t used = 0;
         used < bytes.size() && out.kind != carrier::SessionEvent::Kind::protocol_error;) {
      const std::size_t step = reader.feed(std::string_view(bytes).substr(used), out);
      if (step == 0) break;
      used += step;
    }
  }
  std::printf("BER: %s whole, %s not\n", done > 100 ? "some" : "FEW", refused > 100 ? "some" : "FEW");
  const sru::Request request = sru::read_request(get("/c?query=a"));
  search::Reply reply;
  reply.hits = 1;
  reply.records = {{{"1", "", {}, "<a/>"}, Trouble::none, 1}};
  const std::string xml = sru::search_body(request, reply);
  long read = 0, not_read = 0;
  for (int i = 0; i < 5'000; ++i) {
    std::string text = xml;
    for (std::uint32_t k = 0, n = 1 + chance() % 2; k < n; ++k)
      text[chance() % text.size()] = static_cast<char>(' ' + chance() % 95);
    (sru::read_response(text) ? read : not_read) += 1;
  }
  std::printf("XML: %s read, %s refused\n", read > 100 ? "some" : "FEW", not_read > 100 ? "some" : "FEW");
}

}  // namespace

int main(int count, char** argv) {
  const std::string what = count > 1 ? argv[1] : "";
  const std::pair<const char*, void (*)()> cases[] = {
      {"cql", cql_cases}, {"ber", ber_cases}, {"pages", pages},         {"partial", partial},
      {"once", once},     {"bounds", bounds}, {"set_names", set_names}, {"set_memory", set_memory},
      {"sru", sru_cases}, {"talks", talks},   {"carriers", carriers},   {"damage", damage}};
  for (const auto& [name, run] : cases) {
    if (what == name) return run(), 0;
  }
  return 2;
}
