// The size that the system has to carry in two years, as the operators state it, and the limits that it is
// held to. Each figure has its unit in its name or beside it, and where it is from.
#pragma once

#include <string_view>

#include "distribution/publisher.h"
#include "distribution/receiver.h"
#include "distribution/revision.h"

namespace marbledyke::capacity {

inline constexpr double kSecondsADay = 86'400;
inline constexpr double kMinute = 60;  // s; control is averaged over it

// How large an installation is. Counts, and rates a second or a day as named.
struct Size {
  double gatherers, servers;
  double queries;  // a second, at all gatherers together
  double parts;    // of a query
  double regions, zones;
  double control_nodes;
  double changes;   // of configuration, a day
  double restarts;  // machines restarted or replaced, a day
  double failures;  // of machines, a day
};

// From the operators' letter (issue 38).
inline constexpr Size kTarget{910, 3'900, 140'000, 59, 2, 5, 6, 2'300, 570, 11};

// The largest sizes played on sockets so far (docs/lab.md): 64 servers, 48 gatherers, 6,000 multigets a
// second of two parts; machines end in proportion. How often settings change today is not known: the target's
// rate is taken, so that the columns differ by size alone. Control nodes are new: as many as one region would
// have.
inline constexpr Size kToday{48, 64, 6'000, 2, 1, 1, 3, 2'300, 13, 0.25};

// Limits, from the operators' letter.
inline constexpr double kLimitInForce = 8;           // s; a change in force everywhere
inline constexpr double kLimitAnswer = 89;           // ms, for 99 in 100
inline constexpr double kLimitControlCore = 0.019;   // of a core, for control, a gatherer
inline constexpr double kLimitGathererMemory = 256;  // MB, with its keeper
inline constexpr double kLimitControlBytes = 7'000;  // bytes a second, averaged over a minute
// Aims of the scale run (issue 38).
inline constexpr double kLimitInForce99 = 2;   // s; for 99 in 100 changes
inline constexpr double kLimitNodeCore = 0.5;  // of a core, a control node
inline constexpr double kLimitStop = 10;       // ms; an answer delayed by a list or a change
// Of the program and the protocol.
inline constexpr double kLimitGathererCore = 1;  // a gatherer turns on one thread
inline constexpr double kLimitBody = 64 * 1024;  // bytes of an HTTP body (the operators' protocol page)

// Of the distribution of settings (src/distribution).
inline constexpr double kSettingsBytes = distribution::kMostSettings;  // of the largest document
inline constexpr double kMostReceiversOfNode = distribution::kMostReceivers;
// A receiver's call waits for 4/5 of kCallWait to the whole, drawn, and a pause of 0.05 to 0.1 s follows; s,
// mean.
inline constexpr double kSettingsCallEvery = 0.9 * (distribution::kCallWait.count() / 1e6) + 0.075;
inline constexpr double kOrdinarySettingsBytes = 4 * 1024;  // assumed; deploy/example.json has 835
inline constexpr double kVoters = 5;                        // of the control nodes
inline constexpr double kProve = 3;  // s; `use` proves itself for so long (docs/keepers.md)

// An entry of the list in discovery's form, with the longest address and since_ms that occur.
inline constexpr std::string_view kListEntry =
    R"({"name":"s-5be2a07c","address":"10.103.100.118:9000","zone":"a","type":"m2","group":1234,)"
    R"("status":"draining","weight":1.0,"since_ms":1764600000000},)";
inline constexpr double kListEntryBytes = kListEntry.size();

// Assumed, since no page states it.
inline constexpr double kRack = 40;            // machines of a rack
inline constexpr double kChangesARestart = 3;  // of the list: draining, gone, ready again
inline constexpr double kBurst = 10;           // changes within one minute
inline constexpr double kRegionShare = 0.5;    // of all machines, in one region

}  // namespace marbledyke::capacity
