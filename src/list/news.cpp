#include "list/news.h"

#include <algorithm>

namespace marbledyke::list {
namespace {

using config::BadInput;
using config::json;

constexpr std::size_t kMostNamed = 32;  // of one server, before what is named twice is left out

ServerStatus standing(const std::string& status) {
  if (status == "ready") return ServerStatus::up;
  if (status == "draining") return ServerStatus::draining;
  if (status == "gone") return ServerStatus::gone;
  throw BadInput("status: unknown value " + status);
}

// What other installations say beside `address`. One that cannot be read costs itself, not its server.
void further_addresses(const json& from, Entry& into, int& odd) {
  const auto named = from.find("addresses");
  if (named == from.end() || named->is_null()) return;
  if (!named->is_array()) {
    ++odd;
    return;
  }
  for (const json& one : *named) {
    const auto address =
        one.is_string() ? net::parse_address(one.get_ref<const std::string&>()) : std::nullopt;
    if (address && into.addresses.size() < kMostNamed) {
      into.addresses.push_back(*address);
    } else {
      ++odd;
    }
  }
}

Entry entry(const json& from, const config::ServiceSettings& settings, Duration unix_start, int& odd) {
  Entry out;
  out.row.server = config::text(from, "name");
  if (out.row.server.empty()) throw BadInput("name: empty");
  const auto address = net::parse_address(config::text(from, "address"));
  if (!address) throw BadInput("address: not an address with a port");
  out.addresses.push_back(*address);
  further_addresses(from, out, odd);
  const auto zone = std::find(settings.zones.begin(), settings.zones.end(), config::text(from, "zone"));
  if (zone == settings.zones.end()) throw BadInput("zone: unknown");
  out.row.zone = static_cast<int>(zone - settings.zones.begin());
  const std::int64_t cell = config::integer_or(from, "group", 0);
  if (cell < 0 || cell >= settings.cells) throw BadInput("group: out of range");
  out.row.cell = static_cast<int>(cell);
  out.row.status = standing(config::text(from, "status"));
  out.row.size = config::number_or(from, "weight", 1);
  const std::int64_t since = config::integer_or(from, "since_ms", 0);
  if (since < 0 || since > 1'000'000'000'000'000) throw BadInput("since_ms: out of range");
  if (since != 0) out.row.started = std::chrono::milliseconds(since) - unix_start;
  return out;
}

// The name of an entry of which something else cannot be read; empty: that cannot be read either.
std::string name_of(const json& from) {
  const auto name = from.is_object() ? from.find("name") : from.end();
  return name != from.end() && name->is_string() ? name->get<std::string>() : std::string();
}

void leave_out(const json& from, const BadInput& wrong, News& news) {
  ++news.skipped;
  std::string name = name_of(from);
  if (news.fault.empty()) news.fault = (name.empty() ? "an entry" : name) + ": " + wrong.what();
  if (!name.empty()) news.unreadable.insert(std::move(name));
}

}  // namespace

News read_news(const json& from, const config::ServiceSettings& settings, Duration unix_start) {
  News out;
  out.index = config::integer(from, "index");
  const json& whole = config::required(from, "snapshot");
  if (!whole.is_boolean()) throw BadInput("snapshot: not true or false");
  out.whole = whole.get<bool>();
  for (const json& one : config::array(from, "endpoints")) {
    try {
      out.entries.push_back(entry(one, settings, unix_start, out.odd_addresses));
    } catch (const BadInput& wrong) {
      leave_out(one, wrong, out);
    }
  }
  return out;
}

}  // namespace marbledyke::list
