#include "standins/catalogue.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

#include "cql/read.h"

namespace marbledyke::standins {
namespace {

using search::Op;
using search::Query;

constexpr std::array<const char*, 8> kKinds{"Lease",      "Purchase",    "Loan",    "Service",
                                            "Employment", "Partnership", "Licence", "Guarantee"};
constexpr std::array<const char*, 6> kThings{"office space", "vehicles",  "machinery",
                                             "software",     "farm land", "a harbour berth"};
constexpr std::array<const char*, 5> kPeople{"Ek, Astrid", "Lind, Tove", "Berg, Nils", "Holm, Sara",
                                             "Dahl, Per"};
constexpr std::array<const char*, 4> kSubjects{"liability", "termination", "payment", "delivery & risk"};

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

std::vector<std::string> words(std::string_view text) {
  std::vector<std::string> out;
  std::string word;
  for (const char c : lower(text)) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || byte >= 0x80 || c == '-') {
      word += c;
    } else if (!word.empty()) {
      out.push_back(std::exchange(word, {}));
    }
  }
  if (!word.empty()) out.push_back(word);
  return out;
}

// Places at which the words stand side by side; the last of them may be the beginning of one.
std::vector<std::size_t> places(const std::vector<std::string>& in, const std::vector<std::string>& wanted,
                                bool truncated) {
  std::vector<std::size_t> out;
  if (wanted.empty()) return out;
  for (std::size_t i = 0; i + wanted.size() <= in.size(); ++i) {
    bool all = true;
    for (std::size_t k = 0; all && k < wanted.size(); ++k)
      all = truncated && k + 1 == wanted.size() ? in[i + k].starts_with(wanted[k]) : in[i + k] == wanted[k];
    if (all) out.push_back(i);
  }
  return out;
}

bool field_matches(const Query& query, const std::string& field) {
  if (query.relation == "==")
    return query.truncated ? lower(field).starts_with(lower(query.value))
                           : lower(field) == lower(query.value);
  if (query.relation == "<") return field < query.value;
  if (query.relation == "<=") return field <= query.value;
  if (query.relation == ">") return field > query.value;
  if (query.relation == ">=") return field >= query.value;
  const std::vector<std::string> in = words(field), wanted = words(query.value);
  if (query.relation == "all" || query.relation == "any") {
    const auto there = [&](const std::string& word) { return !places(in, {word}, query.truncated).empty(); };
    return query.relation == "all" ? std::all_of(wanted.begin(), wanted.end(), there)
                                   : std::any_of(wanted.begin(), wanted.end(), there);
  }
  const bool found = !places(in, wanted, query.truncated).empty();
  return query.relation == "<>" ? !found : found;
}

bool matches(const Query& query, const Catalogue::Entry& entry) {
  switch (query.op) {
    case Op::both:
      return matches(query.kids[0], entry) && matches(query.kids[1], entry);
    case Op::either:
      return matches(query.kids[0], entry) || matches(query.kids[1], entry);
    case Op::without:
      return matches(query.kids[0], entry) && !matches(query.kids[1], entry);
    case Op::near:
      for (const auto& [index, field] : entry.fields) {
        const std::vector<std::string> in = words(field);
        for (const std::size_t a : places(in, words(query.kids[0].value), false)) {
          for (const std::size_t b : places(in, words(query.kids[1].value), false)) {
            const std::size_t apart = a < b ? b - a : a - b;
            if (a != b && apart <= static_cast<std::size_t>(query.distance) && (!query.ordered || a < b))
              return true;
          }
        }
      }
      return false;
    case Op::term:
      break;
  }
  if (query.index.empty() || query.index == "cql.anywhere")
    return std::any_of(entry.fields.begin(), entry.fields.end(),
                       [&](const auto& field) { return field_matches(query, field.second); });
  const auto at = entry.fields.find(query.index);
  return at != entry.fields.end() && field_matches(query, at->second);
}

bool knows(const Query& query, const Catalogue::Entry& entry, std::string& unknown) {
  if (query.op != Op::term)
    return knows(query.kids[0], entry, unknown) && knows(query.kids[1], entry, unknown);
  if (query.index.empty() || query.index == "cql.anywhere" || entry.fields.contains(query.index)) return true;
  unknown = query.index;
  return false;
}

}  // namespace

Catalogue::Catalogue(int records, int shards) : shards_(shards) {
  for (int i = 0; i < records; ++i) {
    Entry entry;
    char id[16], date[16];
    std::snprintf(id, sizeof id, "c%05d", i);
    std::snprintf(date, sizeof date, "%04d-%02d-%02d", 2005 + i % 20, 1 + i * 7 % 12, 1 + i * 11 % 28);
    const auto pick = [&](const auto& from, int step) {
      return std::string(from[static_cast<std::size_t>(i / step) % from.size()]);
    };
    entry.id = id;
    entry.fields = {{"dc.title", pick(kKinds, 1) + " of " + pick(kThings, 8)},
                    {"dc.creator", pick(kPeople, 3)},
                    {"dc.subject", pick(kSubjects, 2)},
                    {"dc.date", date},
                    {"dc.identifier", id}};
    // What an order is for: the same records, by an index that may be used once only.
    entry.fields["order.issue"] = id;
    entry.xml = "<dc:dc xmlns:dc=\"http://purl.org/dc/elements/1.1/\">";
    for (const auto& [index, field] : entry.fields) {
      if (!index.starts_with("dc.")) continue;
      const std::string element = "dc:" + index.substr(3);
      entry.xml += "<" + element + ">" + search::escaped(field) + "</" + element + ">";
    }
    entry.xml += "</dc:dc>";
    entries_.push_back(std::move(entry));
  }
}

search::PartResult Catalogue::answer(const search::PartAsk& ask, int shard) const {
  search::PartResult out;
  if (ask.errand == search::Errand::scan) {
    std::map<std::string, std::int64_t> terms;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (static_cast<int>(i) % shards_ != shard) continue;
      const auto at = entries_[i].fields.find(ask.index);
      if (at == entries_[i].fields.end()) {
        out.trouble = "no index " + ask.index;
        out.unsupported = true;
        return out;
      }
      terms[lower(at->second)] += 1;
    }
    for (auto at = terms.lower_bound(lower(ask.term));
         at != terms.end() && static_cast<int>(out.terms.size()) < ask.count; ++at)
      out.terms.push_back({at->first, at->second});
    return out;
  }
  const auto read = cql::read(ask.cql);
  const cql::Read* query = std::get_if<cql::Read>(&read);
  std::string unknown;
  if (query == nullptr || (!entries_.empty() && !knows(query->query, entries_.front(), unknown))) {
    out.trouble = query == nullptr ? "no CQL" : "no index " + unknown;
    out.unsupported = true;
    return out;
  }
  std::vector<const Entry*> found;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (static_cast<int>(i) % shards_ == shard && matches(query->query, entries_[i]))
      found.push_back(&entries_[i]);
  }
  const auto key = [](const Entry& entry, const std::string& index) {
    const auto at = entry.fields.find(index);
    return at == entry.fields.end() ? std::string() : at->second;
  };
  std::stable_sort(found.begin(), found.end(), [&](const Entry* a, const Entry* b) {
    for (const search::SortKey& one : ask.sort) {
      const std::string x = key(*a, one.index), y = key(*b, one.index);
      if (x != y) return (x < y) != one.descending;
    }
    return false;
  });
  out.hits = static_cast<std::int64_t>(found.size());
  const auto [from, count] = search::wanted(ask, shard);
  for (int i = from; i < from + count && i < static_cast<int>(found.size()); ++i) {
    const Entry& entry = *found[static_cast<std::size_t>(i)];
    search::Record record{entry.id, ask.schema, {}, entry.xml};
    for (const search::SortKey& one : ask.sort) record.keys.push_back(key(entry, one.index));
    out.records.push_back(std::move(record));
  }
  return out;
}

std::optional<std::string> Catalogue::answer(const std::string& text, int shard) const {
  const auto ask = search::read_part_ask(text);
  if (!ask) return std::nullopt;
  return search::text_of(answer(*ask, shard));
}

std::int64_t Catalogue::hits(const std::string& cql) const {
  search::PartAsk ask;
  ask.cql = cql;
  std::int64_t out = 0;
  for (int shard = 0; shard < shards_; ++shard) out += answer(ask, shard).hits;
  return out;
}

}  // namespace marbledyke::standins
