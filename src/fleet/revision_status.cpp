// Collects from all control nodes which keeper runs which revision of the fleet's settings.
#include <algorithm>
#include <functional>
#include <limits>
#include <map>

#include "config/fields.h"
#include "fleet/configuration.h"
#include "fleet/view.h"

namespace marbledyke::fleet {
namespace {

using distribution::Revision;
using nlohmann::json;

// A receiver calls every 3 s; one that was not heard of for this long counts as unreachable.
constexpr std::int64_t kReceiverTimeoutMs = 8'000;
constexpr std::size_t kMaxListedNames = 64;  // in one line

ReceiverStatus read_receiver_status(const json& from) {
  ReceiverStatus out;
  out.name = config::text(from, "name");
  out.zone = config::text(from, "zone");
  out.why = config::text(from, "why");
  out.index = config::integer(from, "index");
  out.refused = config::integer(from, "refused");
  out.heard_ms_ago = config::integer(from, "heard_ms_ago");
  out.in_force_ms_ago = config::integer(from, "in_force_ms_ago");
  return out;
}

// A receiver that moved to another control node may still be listed by the earlier one; the more recent entry
// counts.
void merge_receivers(std::map<std::string, ReceiverStatus>& into, const json& response) {
  for (const json& each : config::array(response, "receivers")) {
    ReceiverStatus receiver = read_receiver_status(each);
    const auto at = into.find(receiver.name);
    if (at == into.end()) {
      const std::string name = receiver.name;
      into.emplace(name, std::move(receiver));
    } else if (receiver.heard_ms_ago < at->second.heard_ms_ago) {
      // The earlier node knows for how long the revision has been in force.
      if (receiver.index == at->second.index)
        receiver.in_force_ms_ago = std::max(receiver.in_force_ms_ago, at->second.in_force_ms_ago);
      at->second = std::move(receiver);
    }
  }
}

void merge_newest(RevisionStatus& into, const std::string& fleet, NodeStatus& node, const json& response) {
  const json chosen = response.value("chosen", json());
  if (chosen.is_null()) return;
  Revision read = distribution::read_revision(chosen);
  if (const auto fault = distribution::fault_of(read, fleet)) throw config::BadInput(*fault);
  node.newest = read.index;
  if (!into.newest || read.index > into.newest->index) into.newest = std::move(read);
}

void compare_with_fleet(RevisionStatus& status, const Fleet& fleet) {
  std::map<std::string, const ReceiverStatus*> by_name;
  for (const ReceiverStatus& entry : status.receivers) by_name[entry.name] = &entry;
  status.in_force_everywhere_ms = std::numeric_limits<std::int64_t>::max();
  for (const KeeperEntry& keeper : fleet.keepers) {
    const auto at = by_name.find(keeper.name);
    if (at == by_name.end() || at->second->heard_ms_ago > kReceiverTimeoutMs) {
      status.not_heard.push_back(keeper.name);
      continue;
    }
    if (!status.newest || !distribution::meant_for(status.newest->share, keeper.name)) continue;
    if (at->second->index != status.newest->index) status.behind.push_back(keeper.name);
    status.in_force_everywhere_ms = std::min(status.in_force_everywhere_ms, at->second->in_force_ms_ago);
  }
}

// A refusal is over once a newer revision is in force at the receiver.
bool is_refusing(const ReceiverStatus& entry) { return entry.refused > entry.index; }

std::string join_names(const std::vector<std::string>& all) {
  std::string out;
  for (std::size_t i = 0; i < std::min(all.size(), kMaxListedNames); ++i) out += (i == 0 ? "" : " ") + all[i];
  if (all.size() > kMaxListedNames) out += " and " + std::to_string(all.size() - kMaxListedNames) + " more";
  return out;
}

}  // namespace

RevisionStatus fetch_revision_status(net::Loop& loop, const Fleet& fleet) {
  RevisionStatus out;
  std::map<std::string, ReceiverStatus> receivers;
  for (const ControlNodeEntry& node : fleet.control_nodes) out.nodes.push_back({node.name, "", 0});
  HttpClient client(loop);
  loop.read_clock();
  for (std::size_t i = 0; i < fleet.control_nodes.size(); ++i) {
    const auto ask = [&](const char* target, const std::function<void(const json&)>& read) {
      client.call(fleet.control_nodes[i].address, "GET", target, "", kControlNodeTimeout,
                  [&, i, read](const HttpResponse& response) {
                    NodeStatus& node = out.nodes[i];
                    try {
                      if (response.status == 200 && response.body.is_object()) return read(response.body);
                      node.why =
                          response.status == 0 ? response.error : "status " + std::to_string(response.status);
                    } catch (const config::BadInput& wrong) {
                      node.why = wrong.what();
                    }
                  });
    };
    ask("/v1/configuration/state",
        [&, i](const json& response) { merge_newest(out, fleet.name, out.nodes[i], response); });
    ask("/v1/configuration/receivers", [&](const json& response) { merge_receivers(receivers, response); });
  }
  while (client.pending_calls() > 0) loop.run_once();
  loop.call_at(loop.now(), [] {});
  loop.run_once();  // the last callback runs in a turn of its own
  for (auto& [name, receiver] : receivers) out.receivers.push_back(std::move(receiver));
  compare_with_fleet(out, fleet);
  return out;
}

nlohmann::json to_json(const RevisionStatus& status) {
  json nodes = json::array(), by_index = json::object(), refusing = json::array();
  for (const NodeStatus& entry : status.nodes)
    nodes.push_back({{"name", entry.name}, {"newest", entry.newest}, {"why", entry.why}});
  std::map<std::int64_t, std::size_t> counted;
  for (const ReceiverStatus& entry : status.receivers) {
    if (entry.heard_ms_ago <= kReceiverTimeoutMs) counted[entry.index] += 1;
    if (!is_refusing(entry)) continue;
    refusing.push_back(
        {{"name", entry.name}, {"zone", entry.zone}, {"refused", entry.refused}, {"why", entry.why}});
  }
  for (const auto& [index, count] : counted) by_index[std::to_string(index)] = count;
  json out = {{"nodes", nodes},          {"receivers_by_index", by_index},
              {"refusing", refusing},    {"not_heard", status.not_heard},
              {"behind", status.behind}, {"everywhere", status.is_in_force_everywhere()}};
  if (status.newest) {
    const Revision& newest = *status.newest;
    out["newest"] = {{"index", newest.index},
                     {"digest", newest.digest},
                     {"share", newest.share},
                     {"author", newest.author},
                     {"made_ms", newest.made_ms}};
  }
  if (status.is_in_force_everywhere()) out["everywhere_since_ms_ago"] = status.in_force_everywhere_ms;
  return out;
}

std::vector<std::string> to_table(const RevisionStatus& status) {
  std::vector<std::string> out;
  const json sums = to_json(status);
  if (status.newest) {
    char share[32];
    std::snprintf(share, sizeof share, "%g", status.newest->share);
    out.push_back("newest: revision " + std::to_string(status.newest->index) + " of " +
                  status.newest->author + ", for a share of " + share);
  } else {
    out.push_back("newest: none");
  }
  for (const NodeStatus& entry : status.nodes)
    out.push_back(
        "node " + entry.name + ": " +
        (entry.why.empty() ? "revision " + std::to_string(entry.newest) : "NO ANSWER: " + entry.why));
  for (const auto& [index, count] : sums["receivers_by_index"].items())
    out.push_back("revision " + index + ": " + std::to_string(count.get<std::size_t>()) + " keepers");
  for (const ReceiverStatus& entry : status.receivers) {
    if (is_refusing(entry))
      out.push_back("REFUSED by " + entry.name + ": revision " + std::to_string(entry.refused) + ": " +
                    entry.why);
  }
  if (!status.behind.empty()) out.push_back("not there yet: " + join_names(status.behind));
  if (!status.not_heard.empty()) out.push_back("NOT HEARD OF: " + join_names(status.not_heard));
  out.push_back(status.is_in_force_everywhere()
                    ? "in force everywhere for " + format_age(status.in_force_everywhere_ms)
                    : "not in force everywhere");
  return out;
}

}  // namespace marbledyke::fleet
