// Discovery's list of shard servers, parsed from its JSON.
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

// One shard server of the list.
struct ServerEntry {
  ListEntry row;
  std::vector<net::Address> addresses;  // the field `address`, then the optional `addresses`
};

// A snapshot of the list, or the changes since an earlier version.
struct ListUpdate {
  std::int64_t index = 0;  // the version of the list
  bool is_snapshot = false;
  std::vector<ServerEntry> entries;
  int skipped_entries = 0;                                // invalid entries
  std::set<std::string, std::less<>> unreadable_servers;  // their names, where these can be read
  std::string first_error;                                // name and fault of the first invalid entry
  int invalid_addresses = 0;  // items of `addresses` that are skipped; their entries are kept
};

// Parses a response of discovery. unix_start is the Unix time at which the gatherer's own clock was zero.
// Throws config::BadInput where the response as a whole is invalid. A single invalid entry is skipped and
// counted; its server keeps its former state, even in a snapshot.
ListUpdate parse_list_update(const config::json& response, const config::ServiceSettings& settings,
                             Duration unix_start);

}  // namespace marbledyke::list
