// A whole installation in virtual time: shard servers, network, list, gatherers, clients, and what goes
// wrong. No sockets, no threads, no clock but its own; from one seed the same events come out, byte for byte.
// It is a model of ours, from what is commonly known of such systems; docs/emulator.md says what it leaves
// out.
#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "checker/checker.h"
#include "scenario/scenario.h"

namespace marbledyke::emulator {

struct Second {
  std::uint64_t asked = 0, good = 0, late = 0, pushed_back = 0, failed = 0, left = 0, sends = 0;
};

// Counted from the end of the settling time, but for the breaches.
struct Result {
  std::uint64_t asked = 0;        // multigets that clients wanted, each once however often it was tried
  std::uint64_t tries = 0;        // and tries of them
  std::uint64_t good = 0;         // answered within the latency budget, from the first try on
  std::uint64_t late = 0;         // answered after it, within the client's time
  std::uint64_t pushed_back = 0;  // finally: the client gave up after that
  std::uint64_t failed = 0;
  std::uint64_t unanswered = 0;  // the client's time was up, or it was cut off and gave up
  std::uint64_t sends = 0, further = 0, parts = 0, probes = 0;
  double goodput = 0;    // importance of good ones, by that of all asked
  double good_rate = 0;  // good ones a second
  double used = 0;       // share of the fleet's cores that worked
  double wasted = 0;     // share of that work whose answer nobody used
  double wait_mean = 0;  // seconds a part waited at a server before it began
  double imbalance = 0;  // largest over mean number of parts among servers that were sound throughout
  Duration median{}, p90{}, p99{}, p999{};  // of answered ones, from the first try
  std::vector<Second> seconds;              // all of them, the settling time too
  std::vector<double> server_used;          // by server
  std::uint64_t events = 0;
  std::uint64_t digest = 0;  // of the whole event log
  std::vector<checker::Breach> breaches;
  std::uint64_t breach_counts[7] = {};
};

struct Options {
  std::string policy = "module";
  std::uint32_t seed = 1;
  std::ostream* log = nullptr;  // every event that the checker sees, a line each
  bool check = true;
  // Breaks a rule on purpose, to show that the checker sees it: called for every event before it is checked.
  std::function<void(checker::Event&)> tamper;
};

// Throws std::invalid_argument for an unknown policy. The scenario must have no objections.
Result play(const scenario::Scenario& scenario, const Options& options);

checker::Rules rules_of(const scenario::Scenario& scenario);

}  // namespace marbledyke::emulator
