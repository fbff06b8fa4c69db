// A small searchable sample, spread over shards: what stand-ins answer searches from. The same records for
// the same size, everywhere.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "search/part.h"

namespace marbledyke::standins {

class Catalogue {
 public:
  Catalogue(int records, int shards);

  // Of one shard, as its server says it.
  search::PartResult answer(const search::PartAsk& ask, int shard) const;
  // The same from a part's text; none where it is no search.
  std::optional<std::string> answer(const std::string& text, int shard) const;

  // Over all shards, for who wants to know what should have come out.
  std::int64_t hits(const std::string& cql) const;
  int shards() const { return shards_; }
  std::size_t size() const { return entries_.size(); }

  struct Entry {
    std::string id;
    std::map<std::string, std::string> fields;  // by index
    std::string xml;
  };
  const std::vector<Entry>& entries() const { return entries_; }

 private:
  int shards_;
  std::vector<Entry> entries_;  // the i-th is in shard i % shards
};

}  // namespace marbledyke::standins
