#include "list/news.h"

#include <algorithm>

#include "net/socket.h"

namespace marbledyke::list {
namespace {

using config::BadInput;
using config::json;

Standing standing(const std::string& status) {
  if (status == "ready") return Standing::up;
  if (status == "draining") return Standing::draining;
  if (status == "gone") return Standing::gone;
  throw BadInput("status: unknown value " + status);
}

Entry entry(const json& from, const config::Carriage& carriage, Span unix_start) {
  Entry out;
  out.row.server = config::text(from, "name");
  if (out.row.server.empty()) throw BadInput("name: empty");
  const auto address = net::parse_address(config::text(from, "address"));
  if (!address) throw BadInput("address: not an address with a port");
  out.address = *address;
  const auto zone = std::find(carriage.zones.begin(), carriage.zones.end(), config::text(from, "zone"));
  if (zone == carriage.zones.end()) throw BadInput("zone: unknown");
  out.row.zone = static_cast<int>(zone - carriage.zones.begin());
  const std::int64_t cell = config::whole_or(from, "group", 0);
  if (cell < 0 || cell >= carriage.cells) throw BadInput("group: out of range");
  out.row.cell = static_cast<int>(cell);
  out.row.standing = standing(config::text(from, "status"));
  out.row.size = config::number_or(from, "weight", 1);
  const std::int64_t since = config::whole_or(from, "since_ms", 0);
  if (since < 0 || since > 1'000'000'000'000'000) throw BadInput("since_ms: out of range");
  if (since != 0) out.row.started = std::chrono::milliseconds(since) - unix_start;
  return out;
}

}  // namespace

News read_news(const json& from, const config::Carriage& carriage, Span unix_start) {
  News out;
  out.index = config::whole(from, "index");
  const json& whole = config::need(from, "snapshot");
  if (!whole.is_boolean()) throw BadInput("snapshot: not true or false");
  out.whole = whole.get<bool>();
  for (const json& one : config::array(from, "endpoints")) {
    try {
      out.entries.push_back(entry(one, carriage, unix_start));
    } catch (const BadInput&) {
      ++out.skipped;
    }
  }
  return out;
}

}  // namespace marbledyke::list
