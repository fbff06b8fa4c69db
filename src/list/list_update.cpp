#include "list/list_update.h"

#include <algorithm>

namespace marbledyke::list {
namespace {

using config::BadInput;
using config::json;

constexpr std::size_t kMaxNamedAddresses = 32;  // of one server, duplicates included

ServerStatus parse_status(const std::string& status) {
  if (status == "ready") return ServerStatus::up;
  if (status == "draining") return ServerStatus::draining;
  if (status == "gone") return ServerStatus::gone;
  throw BadInput("status: unknown value " + status);
}

// Reads the optional field `addresses`. An invalid item is skipped and counted; its server's entry is kept.
void read_further_addresses(const json& from, ServerEntry& into, int& invalid) {
  const auto named = from.find("addresses");
  if (named == from.end() || named->is_null()) return;
  if (!named->is_array()) {
    ++invalid;
    return;
  }
  for (const json& one : *named) {
    const auto address =
        one.is_string() ? net::parse_address(one.get_ref<const std::string&>()) : std::nullopt;
    if (address && into.addresses.size() < kMaxNamedAddresses) {
      into.addresses.push_back(*address);
    } else {
      ++invalid;
    }
  }
}

ServerEntry read_entry(const json& from, const config::ServiceSettings& settings, Duration unix_start,
                       int& invalid) {
  ServerEntry out;
  out.row.server = config::text(from, "name");
  if (out.row.server.empty()) throw BadInput("name: empty");
  const auto address = net::parse_address(config::text(from, "address"));
  if (!address) throw BadInput("address: not an address with a port");
  out.addresses.push_back(*address);
  read_further_addresses(from, out, invalid);
  const auto zone = std::find(settings.zones.begin(), settings.zones.end(), config::text(from, "zone"));
  if (zone == settings.zones.end()) throw BadInput("zone: unknown");
  out.row.zone = static_cast<int>(zone - settings.zones.begin());
  const std::int64_t cell = config::integer_or(from, "group", 0);
  if (cell < 0 || cell >= settings.cells) throw BadInput("group: out of range");
  out.row.cell = static_cast<int>(cell);
  out.row.status = parse_status(config::text(from, "status"));
  out.row.size = config::number_or(from, "weight", 1);
  const std::int64_t since = config::integer_or(from, "since_ms", 0);
  if (since < 0 || since > 1'000'000'000'000'000) throw BadInput("since_ms: out of range");
  if (since != 0) out.row.started = std::chrono::milliseconds(since) - unix_start;
  return out;
}

// Returns the name of an invalid entry, or an empty string where the name is invalid as well.
std::string name_of(const json& from) {
  const auto name = from.is_object() ? from.find("name") : from.end();
  return name != from.end() && name->is_string() ? name->get<std::string>() : std::string();
}

void record_invalid(const json& from, const BadInput& error, ListUpdate& news) {
  ++news.skipped_entries;
  std::string name = name_of(from);
  if (news.first_error.empty()) news.first_error = (name.empty() ? "an entry" : name) + ": " + error.what();
  if (!name.empty()) news.unreadable_servers.insert(std::move(name));
}

}  // namespace

ListUpdate parse_list_update(const json& from, const config::ServiceSettings& settings, Duration unix_start) {
  ListUpdate out;
  out.index = config::integer(from, "index");
  const json& whole = config::required(from, "snapshot");
  if (!whole.is_boolean()) throw BadInput("snapshot: not true or false");
  out.is_snapshot = whole.get<bool>();
  for (const json& one : config::array(from, "endpoints")) {
    try {
      out.entries.push_back(read_entry(one, settings, unix_start, out.invalid_addresses));
    } catch (const BadInput& error) {
      record_invalid(one, error, out);
    }
  }
  return out;
}

}  // namespace marbledyke::list
