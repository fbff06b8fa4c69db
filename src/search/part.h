// What a search's part says to a shard server, and what comes back: plain text lines out, JSON in. Fronts and
// carriers of other protocols meet here; a server that speaks frames is given the text as it is.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "search/query.h"

namespace marbledyke::search {

enum class Errand { search, scan };

struct SortKey {
  std::string index;
  bool descending = false;
  auto operator<=>(const SortKey&) const = default;
};

struct PartAsk {
  Errand errand = Errand::search;
  std::string database;
  std::string cql, pqf;  // search; for scan the index and term to start at
  std::string index, term;
  int use = 0;    // the index's Bib-1 use attribute
  int from = 0;   // the first record wanted, from 0; scan: unused
  int count = 0;  // records or terms
  // Of shards from which something else is wanted: first record and how many. One text goes to all.
  std::map<int, std::pair<int, int>> of_shard;
  std::string schema;
  std::vector<SortKey> sort;
};
std::string text_of(const PartAsk& ask);
// What one shard is asked for.
std::pair<int, int> wanted(const PartAsk& ask, int shard);
// None where the text is not such a part's.
// A server's database by name, in which {shard} stands for the number of the shard that a part is of.
std::string of_shard(std::string name, int shard);
std::optional<PartAsk> read_part_ask(std::string_view text);

struct Record {
  std::string id;
  std::string schema;
  std::vector<std::string> keys;  // by the sort asked for
  std::string xml;
};
struct ScanTerm {
  std::string term;
  std::int64_t count = 0;
};
struct PartResult {
  std::int64_t hits = 0;
  std::vector<Record> records;
  std::vector<ScanTerm> terms;
  std::string trouble;       // the server's own words, where it could not do what was asked
  bool unsupported = false;  // and it never will
};
std::string text_of(const PartResult& result);
std::optional<PartResult> read_part_result(std::string_view text);

}  // namespace marbledyke::search
