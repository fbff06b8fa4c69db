#include "capacity/tables.h"

#include <cmath>
#include <cstdio>

#include "capacity/events.h"
#include "capacity/quantile.h"
#include "capacity/roles.h"
#include "capacity/target.h"

namespace marbledyke::capacity {
namespace {

constexpr std::size_t kFewSizes = 3;  // fewer than these make a slope that no bend would show in

constexpr double kExactBelow = 1e6;  // whole numbers below that are printed with all digits

std::string line_of(const std::vector<std::string>& cells) {
  std::string out = "|";
  for (const std::string& cell : cells) out += " " + cell + " |";
  return out + "\n";
}

std::string head_of(const std::vector<std::string>& cells) {
  return line_of(cells) + line_of(std::vector<std::string>(cells.size(), "---"));
}

std::string bold(const std::string& text) { return "**" + text + "**"; }

std::string ratio_text(double ratio) { return ratio > 1 ? bold(text_of(ratio)) : text_of(ratio); }

// The value, and its bounds where they differ.
std::string figure(const Estimate& estimate) {
  if (!estimate.known()) return "not measured";
  if (estimate.below()) return "no figure: the line is below 0";
  const std::string value = text_of(estimate.value());
  const std::string low = text_of(estimate.low()), high = text_of(estimate.high());
  if (low == value && high == value) return value;
  return value + " (" + low + " to " + high + ")";
}

struct Stated {
  const char* what;
  double value;
  const char* unit;
  const char* source;
};

std::string target_table() {
  constexpr const char* kLetter = "operators' letter";
  static const std::vector<Stated> kRows{
      {"gatherers", kTarget.gatherers, "", kLetter},
      {"shard servers", kTarget.servers, "", kLetter},
      {"queries", kTarget.queries, "1/s", kLetter},
      {"parts of a query", kTarget.parts, "", kLetter},
      {"answer, 99 in 100", kLimitAnswer, "ms", kLetter},
      {"regions", kTarget.regions, "", kLetter},
      {"zones, in all", kTarget.zones, "", kLetter},
      {"changes of configuration", kTarget.changes, "a day", kLetter},
      {"in force everywhere within", kLimitInForce, "s", kLetter},
      {"control: share of a core, a gatherer", kLimitControlCore, "core", kLetter},
      {"control: memory, a gatherer", kLimitGathererMemory, "MB", kLetter},
      {"control: bytes, a gatherer", kLimitControlBytes, "bytes/s", kLetter},
      {"control machines", kTarget.control_nodes, "", kLetter},
      {"machines that fail", kTarget.failures, "a day", kLetter},
      {"machines restarted or replaced", kTarget.restarts, "a day", kLetter},
      {"in force at 99 in 100 within", kLimitInForce99, "s", "aim, issue 38"},
      {"a control node", kLimitNodeCore, "core", "aim, issue 38"},
      {"an answer delayed by a list or a change", kLimitStop, "ms", "aim, issue 38"},
      {"body of an HTTP message", kLimitBody, "bytes", "protocol page"},
      {"machines of a rack", kRack, "", "assumed"},
      {"list changes a restart", kChangesARestart, "", "assumed: draining, gone, ready"},
      {"share of machines in a region", kRegionShare, "", "assumed"},
      {"changes in a busy minute", kBurst, "", "assumed"},
      {"an entry of the list", kListEntryBytes, "bytes", "counted, discovery's form"},
      {"largest settings document", kSettingsBytes, "bytes", "`src/distribution/revision.h`"},
      {"ordinary settings document", kOrdinarySettingsBytes, "bytes",
       "assumed; that of deploy/example.json has 835"},
      {"between two calls of a receiver, mean", kSettingsCallEvery, "s",
       "`src/distribution/receiver.h`: 2.4 to 3 s, and a pause"},
      {"control nodes that vote", kVoters, "", "three in one region, two in the other"},
      {"an order's proof", kProve, "s", "docs/keepers.md"},
      {"today: gatherers", kToday.gatherers, "", "docs/lab.md, on sockets"},
      {"today: shard servers", kToday.servers, "", "docs/lab.md, on sockets"},
      {"today: queries", kToday.queries, "1/s", "assumed: what one gatherer has borne, docs/lab.md"},
  };
  std::string out = head_of({"what", "value", "unit", "source"});
  for (const Stated& one : kRows) out += line_of({one.what, text_of(one.value), one.unit, one.source});
  return out;
}

// Shares near 1 need more digits than three.
bool is_share(double value) { return value > 0.9 && value < 1; }
std::string share_text(double value) {
  char out[16];
  std::snprintf(out, sizeof out, "%.5f", value);
  return out;
}

std::string arithmetic_table() {
  const Size& s = kTarget;
  const double parts = s.queries * s.parts, pairs = s.gatherers * s.servers;
  const double machines = s.gatherers + s.servers;
  const double list = s.servers * kListEntryBytes;
  constexpr double kWanted = 0.99;  // of the queries, in time
  const std::vector<Stated> rows{
      {"queries at a gatherer", s.queries / s.gatherers, "1/s", "queries / gatherers"},
      {"parts at a gatherer", parts / s.gatherers, "1/s", "59 of each query"},
      {"parts in all", parts, "1/s", ""},
      {"parts at a server", parts / s.servers, "1/s", "parts / servers, copies left out"},
      {"parts on a pair of gatherer and server", parts / pairs, "1/s", ""},
      {"connections, all to all", pairs, "", "gatherers x servers"},
      {"connections inside a region", pairs * kRegionShare * kRegionShare, "", "a region, half of each"},
      {"connections inside both regions", pairs * kRegionShare, "", ""},
      {"time between two changes of configuration", kSecondsADay / s.changes, "s", "evenly over a day"},
      {"whole list", list, "bytes", "servers x entry"},
      {"whole list, of 7 KB/s", list / kLimitControlBytes, "s", "the budget that it takes"},
      {"whole list, over a body", list / kLimitBody, "", "64 KiB"},
      {"entries that fill a body", std::floor(kLimitBody / kListEntryBytes), "", ""},
      {"whole lists at a region's return", list * s.gatherers * kRegionShare, "bytes",
       "if each gatherer there draws one"},
      {"list changes, every machine a server", (s.restarts + s.failures) * kChangesARestart, "a day",
       "at most"},
      {"list changes, servers in proportion",
       (s.restarts + s.failures) * kChangesARestart * s.servers / machines, "a day",
       "3,900 of 4,810 machines"},
      {"list entries changed by a zone", s.servers / s.zones, "", "a fifth"},
      {"largest documents that 7 KB/s allow", kLimitControlBytes * kMinute / kSettingsBytes, "a minute", ""},
      {"share of parts in time, all 59 needed", parts_in_time(59, 59, kWanted), "",
       "0.99 to the power of 1/59"},
      {"share of parts in time, 57 of 59 needed", parts_in_time(59, 57, kWanted), "",
       "binomial; a floor of 0.95"},
  };
  std::string out = head_of({"what", "value", "unit", "how"});
  for (const Stated& one : rows) {
    out += line_of(
        {one.what, is_share(one.value) ? share_text(one.value) : text_of(one.value), one.unit, one.source});
  }
  return out;
}

std::string roles_table(const std::vector<Row>& rows) {
  std::string out =
      head_of({"role", "what", "unit", "today", "target", "limit", "target / limit", "from", "carried by"});
  for (const Row& row : rows) {
    const auto over = ratio(row);
    const std::string limit =
        row.limit ? text_of(row.limit->value) + ", " + row.limit->source : "none stated";
    const bool beyond = over && *over > 1;
    std::string carried = row.mechanism;
    if (beyond) carried += "; " + bold("to build: " + std::string(row.to_build));
    out += line_of({row.role, row.quantity, row.unit, figure(row.today), figure(row.target), limit,
                    over ? ratio_text(*over) : "", row.target.basis(), carried});
  }
  return out;
}

std::string events_table() {
  std::string out =
      head_of({"event", "how often", "entries told at once", "their body / 64 KiB", "whole lists, if drawn",
               "a gatherer's minute / 7 KB/s", "with a change in the middle", "MB from discovery at once",
               "call anew", "receivers at the busiest node", "MB it sends for the change"});
  for (const Event& event : events()) {
    const Load load = load_of(event);
    const double minute = kLimitControlBytes * kMinute;
    out += line_of({event.name, event.how_often, text_of(event.entries),
                    ratio_text(load.change_body / kLimitBody), text_of(event.whole_lists),
                    ratio_text(load.gatherer_minute / minute), ratio_text(load.gatherer_changed / minute),
                    text_of(load.discovery_bytes / 1e6), text_of(event.receivers_coming),
                    text_of(load.node_receivers), text_of(load.node_change_bytes / 1e6)});
  }
  return out;
}

void add_unbearable(std::string& out, const std::string& role, const std::string& what, double over,
                    const std::string& to_build) {
  if (over > 1) out += line_of({role, bold(what), ratio_text(over), bold(to_build)});
}

std::string unbearable_table(const std::vector<Row>& rows) {
  std::string out = head_of({"role", "what", "target / limit", "what would have to be built"});
  for (const Row& row : rows) {
    if (const auto over = ratio(row)) add_unbearable(out, row.role, row.quantity, *over, row.to_build);
  }
  for (const Event& event : events()) {
    const Load load = load_of(event);
    const std::string name = event.name;
    add_unbearable(out, "discovery", name + ": changed entries in one body", load.change_body / kLimitBody,
                   kBuildPages);
    if (event.whole_lists > 0)
      add_unbearable(out, "gatherer", name + ": a whole list, in a minute of control",
                     load.gatherer_minute / (kLimitControlBytes * kMinute), kBuildResume);
  }
  return out;
}

std::string unmeasured_table(const std::vector<Row>& rows) {
  std::string out = head_of({"role", "what", "why"});
  for (const Row& row : rows) {
    if (!row.target.known())
      out += line_of({row.role, row.quantity, row.target.basis()});
    else if (row.target.below())
      out += line_of({row.role, row.quantity, "the line is below 0: " + row.target.basis()});
  }
  return out;
}

std::string slopes_table(const Slopes& slopes) {
  std::string out =
      head_of({"slope", "unit", "per", "intercept", "slope", "least to greatest", "sizes", "runs"});
  for (const Slope& one : slopes.all()) {
    std::string sizes;
    for (const double size : one.sizes) sizes += (sizes.empty() ? "" : "; ") + text_of(size);
    if (one.sizes.size() < kFewSizes) sizes += ", " + bold("fewer than three");
    out += line_of({"`" + one.id + "`", one.unit, one.per, text_of(one.intercept), text_of(one.slope),
                    text_of(one.low) + " to " + text_of(one.high), sizes, std::to_string(one.runs)});
  }
  if (slopes.all().empty()) out += line_of({"none is measured yet", "", "", "", "", "", "", ""});
  return out;
}

}  // namespace

std::string text_of(double value) {
  if (value == 0) return "0";
  const double size = std::floor(std::log10(std::abs(value)));
  const double step = std::pow(10, size - 2);
  double rounded = std::abs(value) < 100 ? value : std::round(value / step) * step;
  if (std::abs(value) < kExactBelow && value == std::floor(value)) rounded = value;
  char out[64];
  if (std::abs(rounded) < 100) {
    std::snprintf(out, sizeof out, "%.3g", rounded);
    return out;
  }
  std::snprintf(out, sizeof out, "%.0f", std::abs(rounded));
  std::string digits = out;
  for (std::size_t at = digits.size(); at > 3;) digits.insert(at -= 3, ",");
  return (value < 0 ? "-" : "") + digits;
}

std::vector<Table> tables(const Slopes& slopes) {
  const std::vector<Row> rows = roles(slopes);
  return {{"target", target_table()},
          {"arithmetic", arithmetic_table()},
          {"roles", roles_table(rows)},
          {"events", events_table()},
          {"unbearable", unbearable_table(rows)},
          {"unmeasured", unmeasured_table(rows)},
          {"slopes", slopes_table(slopes)}};
}

}  // namespace marbledyke::capacity
