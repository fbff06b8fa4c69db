#include "capacity/roles.h"

namespace marbledyke::capacity {
namespace {

using Formula = Estimate (*)(const Size& size, const Slopes& slopes);

struct RowSpec {
  const char* role;
  const char* quantity;
  const char* unit;
  Formula formula;
  std::optional<Limit> limit;
  const char* mechanism;
  const char* to_build;
};

constexpr const char* kOperators = "operators";
constexpr const char* kIssue = "aim, issue 38";
constexpr const char* kProtocol = "protocol page";
constexpr const char* kProgram = "one thread";
constexpr const char* kCode = "`kMostReceivers`";

constexpr const char* kListWatch = "watch of discovery, resumed by index (`src/list`)";
constexpr const char* kSettingsWatch = "watch of one control node (`src/distribution/receiver.h`)";
constexpr const char* kPublisher = "answers to waiting calls (`src/distribution/publisher.h`)";
constexpr const char* kAgreement = "agreement of the nodes that vote (`src/distribution/proposer.h`)";
constexpr const char* kConnections = "one connection a server and gatherer (`src/servers`)";
constexpr const char* kModule = "the decision module's turn (`src/decision_engine.cpp`)";
constexpr const char* kKeeper = "a keeper over one gatherer (docs/keepers.md)";
constexpr const char* kTheirs = "the operators' own service";
constexpr const char* kFleetTool = "`marbledyke-fleet`, a call to each keeper";

constexpr const char* kBuildSlices = "parsing a whole list in slices of a turn";
constexpr const char* kBuildSubsets = "a subset of each shard's replicas for each gatherer, own region first";
constexpr const char* kBuildSmallList = "less memory for a server on the list that is never sent to";
constexpr const char* kBuildDistribution =
    "the control nodes of `src/distribution`, in place of a call to each";
constexpr const char* kBuildTree = "fewer receivers a node: a tree, or more nodes";
constexpr const char* kBuildDeltas = "changes in place of whole documents";
constexpr const char* kBuildAnswers =
    "not known: what delays them has to be found, on a machine without other work";
constexpr const char* kBuildThreads = "fewer queries a gatherer, or a cheaper part";

double servers_changed_a_second(const Size& s) {
  const double share = s.servers / (s.servers + s.gatherers);
  return (s.restarts + s.failures) * share / kSecondsADay;
}
double list_changes(const Size& s) { return servers_changed_a_second(s) * kChangesARestart; }
double queries_a_gatherer(const Size& s) { return s.queries / s.gatherers; }
double parts_a_gatherer(const Size& s) { return queries_a_gatherer(s) * s.parts; }
double parts_a_server(const Size& s) { return s.queries * s.parts / s.servers; }
double changes_a_second(const Size& s) { return s.changes / kSecondsADay; }
// Receivers stay within their region; the control nodes of a region share them.
double receivers_a_node(const Size& s) { return s.gatherers / s.control_nodes; }
double receivers_of_last_node(const Size& s) { return s.gatherers / s.regions; }

Estimate by_listed(const Slopes& slopes, const char* id, const char* unit, const Size& s) {
  return Estimate::measured(slopes, id, unit, "listed_server", s.servers);
}
Estimate by_servers(const Slopes& slopes, const char* id, const char* unit, const Size& s) {
  return Estimate::measured(slopes, id, unit, "server", s.servers);
}
Estimate by_receivers(const Slopes& slopes, const char* id, const char* unit, const Size& s) {
  return Estimate::measured(slopes, id, unit, "receiver", s.gatherers);
}
Estimate at_node(const Slopes& slopes, const char* id, const char* unit, double receivers) {
  return Estimate::measured(slopes, id, unit, "receiver_at_node", receivers);
}
Estimate of_change(const Slopes& slopes, double document) {
  return Estimate::measured(slopes, "keeper_change_bytes", "bytes", "settings_byte", document);
}
Estimate keeper_bytes(const Slopes& slopes, const Size& s, double document) {
  return by_receivers(slopes, "keeper_watch_bytes", "bytes/s", s) +
         of_change(slopes, document) * changes_a_second(s);
}
Estimate list_bytes(const Slopes& slopes, const Size& s) {
  return by_listed(slopes, "gatherer_list_change_bytes", "bytes", s) * list_changes(s);
}
Estimate list_core(const Slopes& slopes, const Size& s) {
  return by_listed(slopes, "gatherer_list_change_cpu", "ms", s) * (list_changes(s) / 1e3);
}

const std::vector<RowSpec>& specs() {
  static const std::vector<RowSpec> kSpecs{
      // Gatherer.
      {"gatherer", "state: servers on the list", "entries",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(s.servers); }, std::nullopt, kListWatch,
       ""},
      {"gatherer", "parts sent, and as many answers", "1/s",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(parts_a_gatherer(s)); }, std::nullopt,
       kModule, ""},
      {"gatherer", "processor time of traffic", "core",
       [](const Size& s, const Slopes& m) {
         return by_servers(m, "gatherer_part_cpu", "us", s) * (parts_a_gatherer(s) / 1e6);
       },
       Limit{kLimitGathererCore, kProgram}, kModule, kBuildThreads},
      {"gatherer", "the same, by the rate of parts", "core",
       [](const Size& s, const Slopes& m) {
         return Estimate::measured(m, "gatherer_core", "share", "parts_per_second", parts_a_gatherer(s));
       },
       Limit{kLimitGathererCore, kProgram}, kModule, kBuildThreads},
      {"gatherer", "answers of hollow servers in 10 ms: p99", "ms",
       [](const Size& s, const Slopes& m) { return by_servers(m, "answer_p99", "ms", s); },
       Limit{kLimitAnswer, kOperators}, kModule, kBuildAnswers},
      {"gatherer", "connections to servers", "connections",
       [](const Size& s, const Slopes& m) { return by_servers(m, "gatherer_connections", "count", s); },
       std::nullopt, kConnections, kBuildSubsets},
      {"gatherer", "list changes told", "1/s",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(list_changes(s)); }, std::nullopt,
       kListWatch, ""},
      {"gatherer", "list: bytes of its changes", "bytes/s",
       [](const Size& s, const Slopes& m) { return list_bytes(m, s); }, Limit{kLimitControlBytes, kOperators},
       kListWatch, ""},
      {"gatherer", "list: processor time of its changes", "core",
       [](const Size& s, const Slopes& m) { return list_core(m, s); }, Limit{kLimitControlCore, kOperators},
       kListWatch, "a change that costs by the change, not by the list"},
      {"gatherer", "list: a change told until taken", "ms",
       [](const Size& s, const Slopes& m) { return by_listed(m, "gatherer_list_in_force", "ms", s); },
       Limit{kLimitInForce * 1e3, kOperators}, kListWatch, ""},
      {"gatherer", "whole list, of what 7 KB/s allow in a minute", "bytes",
       [](const Size& s, const Slopes& m) { return by_listed(m, "gatherer_list_whole_bytes", "bytes", s); },
       Limit{kLimitControlBytes * kMinute, kOperators}, kListWatch, kBuildResume},
      {"gatherer", "whole list, in one body", "bytes",
       [](const Size& s, const Slopes& m) { return by_listed(m, "gatherer_list_whole_bytes", "bytes", s); },
       Limit{kLimitBody, kProtocol}, kListWatch, kBuildPages},
      {"gatherer", "whole list: processor time, of a minute of control", "ms",
       [](const Size& s, const Slopes& m) { return by_listed(m, "gatherer_list_whole_cpu", "ms", s); },
       Limit{kLimitControlCore * kMinute * 1e3, kOperators}, kListWatch, kBuildResume},
      {"gatherer", "whole list: longest delay of an answer", "ms",
       [](const Size& s, const Slopes& m) { return by_listed(m, "gatherer_list_stop", "ms", s); },
       Limit{kLimitStop, kIssue}, kListWatch, kBuildSlices},
      {"gatherer", "memory, no traffic", "MB",
       [](const Size& s, const Slopes& m) { return by_listed(m, "gatherer_memory", "MB", s); },
       Limit{kLimitGathererMemory, kOperators}, kListWatch, kBuildSmallList},
      {"gatherer", "memory under load, connected to every server", "MB",
       [](const Size& s, const Slopes& m) { return by_servers(m, "gatherer_load_memory", "MB", s); },
       Limit{kLimitGathererMemory, kOperators}, kConnections, kBuildSubsets},
      {"gatherer", "processor time of taking a change of settings", "ms",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "gatherer_settings_cpu", "ms", s); },
       std::nullopt, "settings read again while running (docs/migration.md)", ""},
      // Keeper, which receives settings for its gatherer.
      {"keeper", "state: the revision held, on disk, at most", "bytes",
       [](const Size&, const Slopes&) { return Estimate::worked_out(kSettingsBytes); }, std::nullopt,
       kSettingsWatch, ""},
      {"keeper", "calls to a control node, by its waits", "1/s",
       [](const Size& s, const Slopes&) {
         return Estimate::worked_out(1 / kSettingsCallEvery + changes_a_second(s));
       },
       std::nullopt, kSettingsWatch, ""},
      {"keeper", "calls to a control node, measured without changes", "1/s",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "keeper_watch_calls", "calls/s", s); },
       std::nullopt, kSettingsWatch, ""},
      {"keeper", "bytes, ordinary documents", "bytes/s",
       [](const Size& s, const Slopes& m) { return keeper_bytes(m, s, kOrdinarySettingsBytes); },
       Limit{kLimitControlBytes, kOperators}, kSettingsWatch, kBuildDeltas},
      {"keeper", "bytes, the largest documents", "bytes/s",
       [](const Size& s, const Slopes& m) { return keeper_bytes(m, s, kSettingsBytes); },
       Limit{kLimitControlBytes, kOperators}, kSettingsWatch, kBuildDeltas},
      {"keeper", "the same, and bytes of the list: all control", "bytes/s",
       [](const Size& s, const Slopes& m) { return keeper_bytes(m, s, kSettingsBytes) + list_bytes(m, s); },
       Limit{kLimitControlBytes, kOperators}, "both watches", kBuildDeltas},
      {"keeper", "bytes of control in a minute with ten of the largest", "bytes/s",
       [](const Size& s, const Slopes& m) {
         return by_receivers(m, "keeper_watch_bytes", "bytes/s", s) +
                of_change(m, kSettingsBytes) * (kBurst / kMinute);
       },
       Limit{kLimitControlBytes, kOperators}, kSettingsWatch, kBuildDeltas},
      {"keeper", "processor time", "core",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "keeper_watch_cpu", "share", s); },
       Limit{kLimitControlCore, kOperators}, kSettingsWatch, ""},
      {"keeper", "the same, and list changes: all control", "core",
       [](const Size& s, const Slopes& m) {
         return by_receivers(m, "keeper_watch_cpu", "share", s) + list_core(m, s);
       },
       Limit{kLimitControlCore, kOperators}, "both watches; taking a change left out", ""},
      {"keeper", "memory of the keeper", "MB",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "keeper_memory", "MB", s); },
       Limit{kLimitGathererMemory, kOperators}, kKeeper, ""},
      {"keeper", "memory, with its gatherer and a short list", "MB",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "keeper_gatherer_memory", "MB", s); },
       Limit{kLimitGathererMemory, kOperators}, kKeeper, ""},
      {"keeper", "memory, with its gatherer under load", "MB",
       [](const Size& s, const Slopes& m) {
         return by_receivers(m, "keeper_memory", "MB", s) + by_servers(m, "gatherer_load_memory", "MB", s);
       },
       Limit{kLimitGathererMemory, kOperators}, kKeeper, kBuildSubsets},
      // Control node.
      {"control node", "state: receivers known", "receivers",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(receivers_a_node(s)); }, std::nullopt,
       kPublisher, ""},
      {"control node", "the same, where it is the last of its region", "receivers",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(receivers_of_last_node(s)); },
       Limit{kMostReceiversOfNode, kCode}, kPublisher, kBuildTree},
      {"control node", "calls of receivers", "1/s",
       [](const Size& s, const Slopes&) {
         return Estimate::worked_out(receivers_a_node(s) * (1 / kSettingsCallEvery + changes_a_second(s)));
       },
       std::nullopt, kPublisher, ""},
      {"control node", "bytes to and from receivers", "bytes/s",
       [](const Size& s, const Slopes& m) {
         return at_node(m, "control_bytes", "bytes/s", receivers_a_node(s));
       },
       std::nullopt, kPublisher, ""},
      {"control node", "bytes of one change to all", "bytes",
       [](const Size& s, const Slopes& m) {
         return at_node(m, "control_change_bytes", "bytes", receivers_a_node(s));
       },
       std::nullopt, kPublisher, ""},
      {"control node", "processor time", "core",
       [](const Size& s, const Slopes& m) {
         return at_node(m, "control_watch_cpu", "share", receivers_a_node(s));
       },
       Limit{kLimitNodeCore, kIssue}, kPublisher, kBuildTree},
      {"control node", "processor time, the last of its region", "core",
       [](const Size& s, const Slopes& m) {
         return at_node(m, "control_watch_cpu", "share", receivers_of_last_node(s));
       },
       Limit{kLimitNodeCore, kIssue}, kPublisher, kBuildTree},
      {"control node", "processor time of one change to all", "ms",
       [](const Size& s, const Slopes& m) {
         return at_node(m, "control_change_cpu", "ms", receivers_a_node(s));
       },
       std::nullopt, kPublisher, ""},
      {"control node", "memory", "MB",
       [](const Size& s, const Slopes& m) { return at_node(m, "control_memory", "MB", receivers_a_node(s)); },
       std::nullopt, kPublisher, ""},
      {"control node", "a change in force at half of all", "s",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "change_p50", "s", s); }, std::nullopt,
       kPublisher, ""},
      {"control node", "a change in force at 99 in 100", "s",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "change_p99", "s", s); },
       Limit{kLimitInForce99, kIssue}, kPublisher, kBuildTree},
      {"control node", "a change in force at all", "s",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "change_last", "s", s); },
       Limit{kLimitInForce, kOperators}, kPublisher, kBuildTree},
      {"control node", "the same, a control node dies in the middle", "s",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "change_last_node_lost", "s", s); },
       Limit{kLimitInForce, kOperators}, kSettingsWatch, kBuildTree},
      {"control node", "all alike after regions were apart", "s",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "return_last", "s", s); },
       Limit{kLimitInForce, kOperators}, kSettingsWatch, kBuildTree},
      // Conductor and fleet tool.
      {"conductor, fleet tool", "state: nothing between changes", "",
       [](const Size&, const Slopes&) { return Estimate::worked_out(0); }, std::nullopt, kAgreement, ""},
      {"conductor, fleet tool", "calls of one change, without rivals", "calls",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(2 * kVoters + s.control_nodes); },
       std::nullopt, kAgreement, ""},
      {"conductor, fleet tool", "agreement on one change", "s",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "conductor_change", "s", s); },
       Limit{kLimitInForce, kOperators}, kAgreement, ""},
      {"conductor, fleet tool", "processor time and memory of one change", "ms",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "conductor_change_cpu", "ms", s); },
       std::nullopt, kAgreement, ""},
      {"conductor, fleet tool", "calls of one `status`", "calls",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(s.gatherers); }, std::nullopt,
       kFleetTool, ""},
      {"conductor, fleet tool", "processor time of one `status`", "ms",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "fleet_status_cpu", "ms", s); },
       std::nullopt, kFleetTool, ""},
      {"conductor, fleet tool", "a change by orders, one after another (as before)", "s",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(s.gatherers * kProve); },
       Limit{kLimitInForce, kOperators}, kFleetTool, kBuildDistribution},
      // Discovery, as it meets us.
      {"discovery", "state: watches held open", "watches",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(s.gatherers); }, std::nullopt,
       kListWatch, ""},
      {"discovery", "answers to watches", "1/s",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(s.gatherers * list_changes(s)); },
       std::nullopt, kListWatch, ""},
      {"discovery", "bytes of list changes", "bytes/s",
       [](const Size& s, const Slopes& m) { return list_bytes(m, s) * s.gatherers; }, std::nullopt,
       kListWatch, ""},
      {"discovery", "bytes, if all draw the whole list at once", "MB",
       [](const Size& s, const Slopes& m) {
         return by_listed(m, "gatherer_list_whole_bytes", "bytes", s) * (s.gatherers / 1e6);
       },
       std::nullopt, kListWatch, ""},
      {"discovery", "processor time and memory", "ms",
       [](const Size& s, const Slopes& m) { return by_receivers(m, "discovery_list_cpu", "ms", s); },
       std::nullopt, kTheirs, ""},
      // Shard server, as it meets us.
      {"shard server", "connections, each gatherer to each server", "connections",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(s.gatherers); }, std::nullopt,
       kConnections, kBuildSubsets},
      {"shard server", "parts", "1/s",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(parts_a_server(s)); }, std::nullopt,
       kModule, ""},
      {"shard server", "parts from one gatherer", "1/s",
       [](const Size& s, const Slopes&) { return Estimate::worked_out(parts_a_server(s) / s.gatherers); },
       std::nullopt, "load reports come with answers (`src/decision_engine.cpp`)", ""},
      {"shard server", "processor time and memory of its connections", "core",
       [](const Size& s, const Slopes& m) { return by_servers(m, "shard_server_core", "share", s); },
       std::nullopt, kTheirs, ""},
  };
  return kSpecs;
}

}  // namespace

std::optional<double> ratio(const Row& row) {
  if (!row.limit || !row.target.known() || row.target.below()) return std::nullopt;
  return row.target.value() / row.limit->value;
}

std::vector<Row> roles(const Slopes& slopes) {
  std::vector<Row> out;
  for (const RowSpec& one : specs())
    out.push_back({one.role, one.quantity, one.unit, one.formula(kToday, slopes),
                   one.formula(kTarget, slopes), one.limit, one.mechanism, one.to_build});
  return out;
}

}  // namespace marbledyke::capacity
