#include "fleet/configuration.h"

#include <cstdlib>
#include <iostream>

#include "config/fields.h"

namespace marbledyke::fleet {
namespace {

using namespace std::chrono_literals;
using distribution::Outcome;
using distribution::Proposer;
using distribution::Revision;

int exit_of(Outcome outcome) {
  if (outcome == Outcome::agreed) return kExitAgreed;
  if (outcome == Outcome::no_majority) return kExitNoMajority;
  return outcome == Outcome::unknown ? kExitUnknown : kExitConflict;
}

std::string author_or_user(const std::string& stated) {
  if (!stated.empty()) return stated;
  const char* const user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "marbledyke-fleet" : user;
}

std::string name(const std::optional<Revision>& revision) {
  if (!revision) return "no revision";
  return "revision " + std::to_string(revision->index) + " of " + revision->author;
}

std::string told_to(std::size_t took, std::size_t all) {
  return "told to " + std::to_string(took) + " of " + std::to_string(all) + " control nodes";
}

void say_outcome(const Agreement& agreement, Outcome outcome) {
  std::cout << name_of(outcome);
  if (outcome == Outcome::agreed) std::cout << ": " << name(agreement.result());
  if (outcome == Outcome::conflict) std::cout << ": " << name(agreement.result()) << " is in force";
  if (outcome == Outcome::unknown)
    std::cout << ": it may be agreed or not; `configuration complete` finds out";
  if (!agreement.why().empty()) std::cout << (outcome == Outcome::agreed ? "; " : ": ") << agreement.why();
  std::cout << std::endl;
}

// Until every keeper of the fleet that it is meant for runs it, or a newer one.
bool wait_until_everywhere(net::Loop& loop, const Fleet& fleet, std::int64_t index, Duration limit) {
  loop.read_clock();
  const Duration from = loop.now();
  for (;;) {
    const Spread spread = look(loop, fleet);
    const Duration passed = loop.now() - from;
    if (spread.newest && spread.newest->index > index) {
      std::cout << "a newer one came: " << name(spread.newest) << std::endl;
      return true;
    }
    if (spread.newest && spread.newest->index == index && spread.everywhere()) {
      std::cout << "in force everywhere after " << passed / 1ms << " ms" << std::endl;
      return true;
    }
    if (passed >= limit) {
      for (const std::string& line : table(spread)) std::cout << line << '\n';
      return false;
    }
    bool rested = false;
    loop.at(loop.now() + kLookEvery, [&rested] { rested = true; });
    while (!rested) loop.gather();
  }
}

}  // namespace

int configuration_put(const Fleet& fleet, const Put& what) {
  Proposer::Change change;
  try {
    change.settings = distribution::canonical_settings(what.document);
  } catch (const config::BadInput& wrong) {
    std::cout << "refused: " << wrong.what() << std::endl;
    return kExitConflict;
  }
  change.fleet = fleet.name;
  change.author = author_or_user(what.author);
  change.share = what.share;
  change.after = what.after;
  change.made_ms = machine_clock().wall() / 1ms;
  net::Loop loop;
  Agreement agreement(loop, fleet, change);
  const Outcome outcome = agreement.run();
  say_outcome(agreement, outcome);
  const std::optional<Revision> result = agreement.result();
  if (outcome != Outcome::agreed || !result) return exit_of(outcome);
  std::cout << told_to(agreement.tell_all(*result), fleet.control_nodes.size()) << std::endl;
  if (what.wait <= Duration::zero()) return kExitAgreed;
  return wait_until_everywhere(loop, fleet, result->index, what.wait) ? kExitAgreed : kExitConflict;
}

int configuration_complete(const Fleet& fleet) {
  net::Loop loop;
  Agreement agreement(loop, fleet, std::nullopt);
  const Outcome outcome = agreement.run();
  say_outcome(agreement, outcome);
  if (outcome == Outcome::agreed && agreement.result())
    std::cout << told_to(agreement.tell_all(*agreement.result()), fleet.control_nodes.size()) << std::endl;
  return exit_of(outcome);
}

int configuration_status(const Fleet& fleet, bool as_json) {
  net::Loop loop;
  const Spread spread = look(loop, fleet);
  if (as_json) {
    std::cout << put(spread).dump(1) << '\n';
  } else {
    for (const std::string& line : table(spread)) std::cout << line << '\n';
  }
  for (const NodeSeen& one : spread.nodes) {
    if (one.why.empty()) return spread.everywhere() ? 0 : 1;
  }
  return 2;
}

int configuration_show(const Fleet& fleet) {
  net::Loop loop;
  loop.read_clock();
  Agreement agreement(loop, fleet, std::nullopt);
  const std::optional<Revision> newest = agreement.newest_known();
  if (!newest) {
    std::cout << "no control node tells of a revision\n";
    return 1;
  }
  std::cout << distribution::put(*newest).dump(1) << '\n';
  return 0;
}

}  // namespace marbledyke::fleet
