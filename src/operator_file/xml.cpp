#include "operator_file/xml.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include "xml/document.h"

namespace marbledyke::operator_file {
namespace {

using namespace std::chrono_literals;
using xml::Element;

void log(const Element& at, Terms& into) {
  if (const auto format = at.attribute("format"))
    into.log_form = *format == "json" ? log::Format::json : log::Format::plain;
  if (const auto level = at.attribute("level")) into.log_level = level_named(*level);
}

void connecting(xml::Reader& reader, const Element& at, Terms& into) {
  addresses::ConnectSettings& rules = into.connecting;
  if (const auto prefer = at.attribute("prefer")) {
    rules.prefer.clear();
    for (std::size_t from = 0; from < prefer->size();) {
      const std::size_t to = std::min(prefer->find_first_of(" \t\r\n", from), prefer->size());
      if (const auto family = net::parse_family(prefer->substr(from, to - from))) {
        if (std::find(rules.prefer.begin(), rules.prefer.end(), *family) != rules.prefer.end())
          reader.fault(at, "prefer: names " + std::string(name_of(*family)) + " twice");
        rules.prefer.push_back(*family);
      }
      from = to + 1;
    }
  }
  into.attempt_stated = at.attribute("attempt").has_value();
  reader.span(at, "attempt", 1ms, 60s, rules.attempt);
  reader.span(at, "race", 1ms, 60s, rules.race);
  // RFC 8305, 8: a delay under 10 ms is a flood of attempts, one over 2 s keeps clients waiting.
  reader.span(at, "stagger", 10ms, 2s, rules.stagger);
  reader.span(at, "stagger-least", 10ms, 2s, rules.stagger_least);
  reader.span(at, "hold", 10ms, 3600s, rules.hold);
  reader.span(at, "hold-most", 10ms, 86400s, rules.hold_most);
  reader.whole(at, "at-once", 1, 64, rules.at_once);
  reader.whole(at, "trials-at-once", 1, 64, rules.trials_at_once);
  if (const auto prove = at.attribute("prove"))
    rules.prove = *prove == "never"    ? addresses::ProofPolicy::never
                  : *prove == "always" ? addresses::ProofPolicy::always
                                       : addresses::ProofPolicy::in_doubt;
  if (rules.stagger_least > rules.stagger) reader.fault(at, "stagger-least is longer than stagger");
  if (rules.hold > rules.hold_most) reader.fault(at, "hold is longer than hold-most");
  if (into.attempt_stated && rules.attempt > rules.race)
    reader.fault(at, "attempt is longer than race: an attempt could never use its time");
  if (rules.stagger >= rules.race)
    reader.fault(at, "stagger is not shorter than race: a second address would never be dialled");
}

void servers(xml::Reader& reader, const Element& at, Terms& into) {
  std::map<net::Address, std::string> owners;
  for (const Element& one : at.children()) {
    const std::string name = one.attribute("name").value_or("");
    if (into.servers.contains(name)) {
      reader.fault(one, "name=\"" + name + "\": there is a server of that name already");
      continue;
    }
    // A server that only speaks another protocol is found by the list.
    if (one.children().empty() && !one.attribute("speaks"))
      reader.fault(one, "no address, and no other word of it");
    addresses::AddressBook::ServerOverride& server = into.servers[name];
    reader.flag(one, "instead", server.replaces_listed);
    if (server.replaces_listed && one.children().empty())
      reader.fault(one, "instead: of nothing; it has no address here");
    for (const Element& each : one.children()) {
      const std::string text = each.text();
      const auto address = net::parse_address(text);
      if (!address) {
        reader.fault(each,
                     text + ": no such address can be: a number is out of range, or the path is too long");
        continue;
      }
      const auto [owner, fresh] = owners.emplace(*address, name);
      if (!fresh) {
        reader.fault(
            each, text + (owner->second == name ? ": named twice"
                                                : ": named for " + owner->second +
                                                      " already, and an address leads to one server only"));
        continue;
      }
      server.addresses.push_back(*address);
    }
  }
}

std::vector<int> shards(xml::Reader& reader, const Element& at) {
  std::vector<int> out;
  const std::string text = at.attribute("shards").value_or("all");
  if (text == "all") return out;
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t to = std::min(text.find_first_of(" \t\r\n", from), text.size());
    // 3 or 3-7, which the schema has made sure of but for the order and the size.
    const std::string one = text.substr(from, to - from);
    from = to + 1;
    if (one.empty()) continue;
    const std::size_t dash = std::min(one.find('-'), one.size());
    int first = 0, last = 0;
    const char* const end = one.data() + one.size();
    const auto low = std::from_chars(one.data(), one.data() + dash, first);
    if (low.ec != std::errc() || low.ptr != one.data() + dash) continue;  // the schema has said so
    last = first;
    if (dash < one.size()) {
      const auto high = std::from_chars(one.data() + dash + 1, end, last);
      if (high.ec != std::errc() || high.ptr != end) continue;
    }
    if (last < first || last - first > 100'000) {
      reader.fault(at, "shards: " + one + ": runs backwards, or is too long");
      continue;
    }
    for (int shard = first; shard <= last; ++shard) {
      if (std::find(out.begin(), out.end(), shard) != out.end()) {
        reader.fault(at, "shards: names " + std::to_string(shard) + " twice");
        break;
      }
      out.push_back(shard);
    }
  }
  return out;
}

void limits_of(xml::Reader& reader, const Element& at, search::Limits& into) {
  const auto size = [&](const char* name, int least, int most, std::size_t& value) {
    int number = static_cast<int>(value);
    reader.whole(at, name, least, most, number);
    value = static_cast<std::size_t>(number);
  };
  size("sessions", 1, 100'000, into.sessions);
  size("sets", 1, 1000, into.sets);
  size("all-sets", 1, 1'000'000, into.all_sets);
  size("kept-bytes", 65'536, 1'000'000'000, into.kept);
  size("operations", 1, 64, into.operations);
  size("message-bytes", 4096, 1'000'000, into.message);
  size("answer-bytes", 65'536, 16'000'000, into.answer);
  reader.span(at, "set-life", 1s, 86'400s, into.set_life);
  reader.span(at, "idle", 1s, 86'400s, into.idle);
  reader.whole(at, "records", 1, 1000, into.records);
  reader.whole(at, "deepest", 1, 100'000, into.deepest);
  reader.whole(at, "ahead", 0, 1000, into.ahead);
  if (into.sets > into.all_sets) reader.fault(at, "sets is more than all-sets: no session could have them");
  if (into.ahead > into.records)
    reader.fault(at, "ahead is more than records: more would be fetched than an answer may hold");
  if (into.idle > into.set_life)
    reader.fault(at, "idle is longer than set-life: a session would outlive its sets unsaid");
}

void database_of(xml::Reader& reader, const Element& at, search::Terms& into) {
  search::Database out;
  out.name = at.attribute("name").value_or("");
  out.title = at.attribute("title").value_or("");
  out.description = at.attribute("description").value_or("");
  out.op_type = at.attribute("op-type").value_or("");
  out.shards = shards(reader, at);
  reader.span(at, "deadline", 10ms, 3600s, out.deadline);
  if (find(into, out.name) != nullptr) reader.fault(at, "name: there is a database " + out.name + " already");
  std::vector<search::Schema> schemas;
  for (const Element& one : at.children()) {
    const std::string name = one.attribute("name").value_or("");
    if (one.name() == "schema") {
      if (std::any_of(schemas.begin(), schemas.end(), [&](const auto& other) { return other.name == name; }))
        reader.fault(one, "name: there is a schema " + name + " already");
      schemas.push_back({name, one.attribute("identifier").value_or("")});
      continue;
    }
    search::Index index;
    index.name = name;
    std::transform(index.name.begin(), index.name.end(), index.name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    index.title = one.attribute("title").value_or("");
    reader.whole(one, "use", 1, 65'535, index.use);
    index.op_type = one.attribute("op-type").value_or("");
    index.shards = shards(reader, one);
    reader.flag(one, "scan", index.scan);
    reader.flag(one, "sort", index.sort);
    if (find(out, index.name) != nullptr)
      reader.fault(one, "name: there is an index " + name + " already; case makes no difference");
    const auto same = std::find_if(out.indexes.begin(), out.indexes.end(), [&](const search::Index& other) {
      return index.use > 0 && other.use == index.use;
    });
    if (same != out.indexes.end())
      reader.fault(one, "use: " + std::to_string(index.use) + " is that of " + same->name + " already");
    for (const int shard : index.shards) {
      if (!out.shards.empty() && std::find(out.shards.begin(), out.shards.end(), shard) == out.shards.end())
        reader.fault(one, "shards: " + std::to_string(shard) + " is none of the database's");
    }
    out.indexes.push_back(std::move(index));
  }
  if (!schemas.empty()) out.schemas = std::move(schemas);
  into.databases.push_back(std::move(out));
}

void search_of(xml::Reader& reader, const Element& at, search::Terms& into) {
  for (const Element& one : at.children()) {
    const std::string name = one.name();
    if (name == "limits") limits_of(reader, one, into.limits);
    if (name == "database") database_of(reader, one, into);
    if (name != "listen") continue;
    const std::string text = one.attribute("address").value_or("");
    const auto address = net::parse_address(text);
    if (!address) {
      reader.fault(one, "address: " + text + ": no such address can be");
      continue;
    }
    if (std::any_of(into.listeners.begin(), into.listeners.end(),
                    [&](const search::Listener& other) { return other.address == *address; }))
      reader.fault(one, "address: " + text + ": another listener has it already");
    into.listeners.push_back(
        {one.attribute("protocol") == "sru" ? search::Protocol::sru : search::Protocol::z3950, *address});
  }
  if (into.databases.empty()) reader.fault(at, "no database: there would be nothing to search");
}

// Servers that speak a search protocol instead of frames.
void speakers(xml::Reader& reader, const Element& at, search::Terms& into) {
  for (const Element& one : at.children()) {
    const auto speaks = one.attribute("speaks");
    const auto database = one.attribute("database");
    if (!speaks || *speaks == "frames") {
      if (database) reader.fault(one, "database: goes with speaks=\"sru\" or \"z3950\" only");
      continue;
    }
    into.speakers[one.attribute("name").value_or("")] = {
        *speaks == "sru" ? search::Protocol::sru : search::Protocol::z3950, database.value_or("")};
    if (!database)
      reader.fault(one, "database: missing; a server that speaks " + *speaks + " needs its name there");
  }
}

}  // namespace

Result read_xml(const std::string& text) {
  Result out;
  const auto document = xml::Document::read(text, kSchema, "urn:marbledyke:operator:1", out.faults);
  if (!document) return out;
  Terms terms;
  xml::Reader reader(out.faults);
  for (const Element& part : document->root().children()) {
    const std::string name = part.name();
    if (name == "log") log(part, terms);
    if (name == "connecting") connecting(reader, part, terms);
    if (name == "servers") {
      servers(reader, part, terms);
      speakers(reader, part, terms.search);
    }
    if (name == "search") search_of(reader, part, terms.search);
  }
  reader.sort();
  if (out.faults.empty()) out.terms = std::move(terms);
  return out;
}

Result read_xml_file(const std::string& path) {
  Result out;
  const auto text = xml::read_file(path, out.faults);
  return text ? read_xml(*text) : out;
}

}  // namespace marbledyke::operator_file
