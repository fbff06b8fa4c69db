// What discovery says of the shard servers, read from its JSON.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "config/gatherer_config.h"
#include "model/types.h"
#include "net/address.h"

namespace marbledyke::list {

struct Entry {
  ListEntry row;
  std::vector<net::Address> addresses;  // `address`, then those of the optional `addresses`
};

struct News {
  std::int64_t index = 0;
  bool whole = false;
  std::vector<Entry> entries;
  int skipped = 0;                                // entries that cannot be read
  std::set<std::string, std::less<>> unreadable;  // their names, of those that have one
  std::string fault;                              // of the first of them: its name and what is wrong
  int odd_addresses = 0;                          // further addresses that made none; their entries stand
};

// unix_start is the Unix time at which the gatherer's own clock stood at zero. Throws config::BadInput where
// the whole makes no sense. A single entry that cannot be read is left out and counted; its server keeps its
// last state, also in a whole list.
News read_news(const config::json& from, const config::ServiceSettings& settings, Duration unix_start);

}  // namespace marbledyke::list
