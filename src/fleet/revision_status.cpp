// Who runs which revision of the fleet's settings, summed over the control nodes.
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

constexpr std::int64_t kAbsentMs =
    8'000;  // a receiver calls every 3 s; not heard for so long, it counts as away
constexpr std::size_t kMostNamed = 64;  // names of a line

ReceiverSeen read_receiver(const json& from) {
  ReceiverSeen out;
  out.name = config::text(from, "name");
  out.zone = config::text(from, "zone");
  out.why = config::text(from, "why");
  out.index = config::whole(from, "index");
  out.refused = config::whole(from, "refused");
  out.heard_ms_ago = config::whole(from, "heard_ms_ago");
  out.in_force_ms_ago = config::whole(from, "in_force_ms_ago");
  return out;
}

// A receiver that has moved is listed by its former node too.
void merge(std::map<std::string, ReceiverSeen>& into, const json& response) {
  for (const json& each : config::array(response, "receivers")) {
    ReceiverSeen seen = read_receiver(each);
    const auto at = into.find(seen.name);
    if (at == into.end()) {
      const std::string name = seen.name;
      into.emplace(name, std::move(seen));
    } else if (seen.heard_ms_ago < at->second.heard_ms_ago) {
      // What it ran first at another node it has run since then.
      if (seen.index == at->second.index)
        seen.in_force_ms_ago = std::max(seen.in_force_ms_ago, at->second.in_force_ms_ago);
      at->second = std::move(seen);
    }
  }
}

void take_newest(Spread& into, const std::string& fleet, NodeSeen& node, const json& response) {
  const json chosen = response.value("chosen", json());
  if (chosen.is_null()) return;
  Revision read = distribution::read_revision(chosen);
  if (const auto fault = distribution::fault_of(read, fleet)) throw config::BadInput(*fault);
  node.newest = read.index;
  if (!into.newest || read.index > into.newest->index) into.newest = std::move(read);
}

void judge(Spread& spread, const Fleet& fleet) {
  std::map<std::string, const ReceiverSeen*> by_name;
  for (const ReceiverSeen& one : spread.receivers) by_name[one.name] = &one;
  spread.since_ms_ago = std::numeric_limits<std::int64_t>::max();
  for (const KeeperAt& keeper : fleet.keepers) {
    const auto at = by_name.find(keeper.name);
    if (at == by_name.end() || at->second->heard_ms_ago > kAbsentMs) {
      spread.not_heard.push_back(keeper.name);
      continue;
    }
    if (!spread.newest || !distribution::meant_for(spread.newest->share, keeper.name)) continue;
    if (at->second->index != spread.newest->index) spread.behind.push_back(keeper.name);
    spread.since_ms_ago = std::min(spread.since_ms_ago, at->second->in_force_ms_ago);
  }
}

// One that has taken a newer revision since refuses nothing any more.
bool refuses(const ReceiverSeen& one) { return one.refused > one.index; }

std::string names(const std::vector<std::string>& all) {
  std::string out;
  for (std::size_t i = 0; i < std::min(all.size(), kMostNamed); ++i) out += (i == 0 ? "" : " ") + all[i];
  if (all.size() > kMostNamed) out += " and " + std::to_string(all.size() - kMostNamed) + " more";
  return out;
}

}  // namespace

Spread look(net::Loop& loop, const Fleet& fleet) {
  Spread out;
  std::map<std::string, ReceiverSeen> receivers;
  for (const ControlNodeAt& node : fleet.control_nodes) out.nodes.push_back({node.name, "", 0});
  HttpClient client(loop);
  loop.read_clock();
  for (std::size_t i = 0; i < fleet.control_nodes.size(); ++i) {
    const auto ask = [&](const char* target, const std::function<void(const json&)>& read) {
      client.call(fleet.control_nodes[i].address, "GET", target, "", kNodeCall,
                  [&, i, read](const HttpResponse& response) {
                    NodeSeen& node = out.nodes[i];
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
        [&, i](const json& response) { take_newest(out, fleet.name, out.nodes[i], response); });
    ask("/v1/configuration/receivers", [&](const json& response) { merge(receivers, response); });
  }
  while (client.pending_calls() > 0) loop.gather();
  loop.at(loop.now(), [] {});
  loop.gather();  // the last is told in a turn of its own
  for (auto& [name, seen] : receivers) out.receivers.push_back(std::move(seen));
  judge(out, fleet);
  return out;
}

nlohmann::json put(const Spread& spread) {
  json nodes = json::array(), by_index = json::object(), refusing = json::array();
  for (const NodeSeen& one : spread.nodes)
    nodes.push_back({{"name", one.name}, {"newest", one.newest}, {"why", one.why}});
  std::map<std::int64_t, std::size_t> counted;
  for (const ReceiverSeen& one : spread.receivers) {
    if (one.heard_ms_ago <= kAbsentMs) counted[one.index] += 1;
    if (!refuses(one)) continue;
    refusing.push_back({{"name", one.name}, {"zone", one.zone}, {"refused", one.refused}, {"why", one.why}});
  }
  for (const auto& [index, count] : counted) by_index[std::to_string(index)] = count;
  json out = {{"nodes", nodes},          {"receivers_by_index", by_index},
              {"refusing", refusing},    {"not_heard", spread.not_heard},
              {"behind", spread.behind}, {"everywhere", spread.everywhere()}};
  if (spread.newest) {
    const Revision& newest = *spread.newest;
    out["newest"] = {{"index", newest.index},
                     {"digest", newest.digest},
                     {"share", newest.share},
                     {"author", newest.author},
                     {"made_ms", newest.made_ms}};
  }
  if (spread.everywhere()) out["everywhere_since_ms_ago"] = spread.since_ms_ago;
  return out;
}

std::vector<std::string> table(const Spread& spread) {
  std::vector<std::string> out;
  const json sums = put(spread);
  if (spread.newest) {
    char share[32];
    std::snprintf(share, sizeof share, "%g", spread.newest->share);
    out.push_back("newest: revision " + std::to_string(spread.newest->index) + " of " +
                  spread.newest->author + ", for a share of " + share);
  } else {
    out.push_back("newest: none");
  }
  for (const NodeSeen& one : spread.nodes)
    out.push_back("node " + one.name + ": " +
                  (one.why.empty() ? "revision " + std::to_string(one.newest) : "NO ANSWER: " + one.why));
  for (const auto& [index, count] : sums["receivers_by_index"].items())
    out.push_back("revision " + index + ": " + std::to_string(count.get<std::size_t>()) + " keepers");
  for (const ReceiverSeen& one : spread.receivers) {
    if (refuses(one))
      out.push_back("REFUSED by " + one.name + ": revision " + std::to_string(one.refused) + ": " + one.why);
  }
  if (!spread.behind.empty()) out.push_back("not there yet: " + names(spread.behind));
  if (!spread.not_heard.empty()) out.push_back("NOT HEARD OF: " + names(spread.not_heard));
  out.push_back(spread.everywhere() ? "in force everywhere for " + ago(spread.since_ms_ago)
                                    : "not in force everywhere");
  return out;
}

}  // namespace marbledyke::fleet
