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

int exit_status_of(Outcome outcome) {
  if (outcome == Outcome::agreed) return kExitAgreed;
  if (outcome == Outcome::no_majority) return kExitNoMajority;
  return outcome == Outcome::unknown ? kExitUnknown : kExitConflict;
}

std::string author_or_user(const std::string& author) {
  if (!author.empty()) return author;
  const char* const user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "marbledyke-fleet" : user;
}

std::string text_of(const std::optional<Revision>& revision) {
  if (!revision) return "no revision";
  return "revision " + std::to_string(revision->index) + " of " + revision->author;
}

std::string notified_text(std::size_t accepted, std::size_t total) {
  return "told to " + std::to_string(accepted) + " of " + std::to_string(total) + " control nodes";
}

void print_outcome(const Agreement& agreement, Outcome outcome) {
  std::cout << name_of(outcome);
  if (outcome == Outcome::agreed) std::cout << ": " << text_of(agreement.result());
  if (outcome == Outcome::conflict) std::cout << ": " << text_of(agreement.result()) << " is in force";
  if (outcome == Outcome::unknown)
    std::cout << ": the change may or may not be agreed; `configuration complete` finds out";
  if (!agreement.errors().empty())
    std::cout << (outcome == Outcome::agreed ? "; " : ": ") << agreement.errors();
  std::cout << std::endl;
}

// Polls until every keeper that the revision is meant for runs it, or there is a newer revision. Prints
// which; on a timeout prints the status and returns false.
bool wait_until_everywhere(net::Loop& loop, const Fleet& fleet, std::int64_t index, Duration limit) {
  loop.read_clock();
  const Duration from = loop.now();
  for (;;) {
    const RevisionStatus status = fetch_revision_status(loop, fleet);
    const Duration elapsed = loop.now() - from;
    if (status.newest && status.newest->index > index) {
      std::cout << "superseded by " << text_of(status.newest) << std::endl;
      return true;
    }
    if (status.newest && status.newest->index == index && status.is_in_force_everywhere()) {
      std::cout << "in force everywhere after " << elapsed / 1ms << " ms" << std::endl;
      return true;
    }
    if (elapsed >= limit) {
      for (const std::string& line : to_table(status)) std::cout << line << '\n';
      return false;
    }
    bool timer_fired = false;
    loop.call_at(loop.now() + kPollInterval, [&timer_fired] { timer_fired = true; });
    while (!timer_fired) loop.run_once();
  }
}

}  // namespace

int configuration_put(const Fleet& fleet, const ChangeRequest& request) {
  Proposer::Change change;
  try {
    change.settings = distribution::canonical_settings(request.document);
  } catch (const config::BadInput& wrong) {
    std::cout << "refused: " << wrong.what() << std::endl;
    return kExitConflict;
  }
  change.fleet = fleet.name;
  change.author = author_or_user(request.author);
  change.share = request.share;
  change.after = request.after;
  change.made_ms = system_time_source().wall() / 1ms;
  net::Loop loop;
  Agreement agreement(loop, fleet, change);
  const Outcome outcome = agreement.run();
  print_outcome(agreement, outcome);
  const std::optional<Revision> result = agreement.result();
  if (outcome != Outcome::agreed || !result) return exit_status_of(outcome);
  std::cout << notified_text(agreement.notify_all_nodes(*result), fleet.control_nodes.size()) << std::endl;
  if (request.wait <= Duration::zero()) return kExitAgreed;
  return wait_until_everywhere(loop, fleet, result->index, request.wait) ? kExitAgreed : kExitConflict;
}

int configuration_complete(const Fleet& fleet) {
  net::Loop loop;
  Agreement agreement(loop, fleet, std::nullopt);
  const Outcome outcome = agreement.run();
  print_outcome(agreement, outcome);
  if (outcome == Outcome::agreed && agreement.result())
    std::cout << notified_text(agreement.notify_all_nodes(*agreement.result()), fleet.control_nodes.size())
              << std::endl;
  return exit_status_of(outcome);
}

int configuration_status(const Fleet& fleet, bool as_json) {
  net::Loop loop;
  const RevisionStatus status = fetch_revision_status(loop, fleet);
  if (as_json) {
    std::cout << to_json(status).dump(1) << '\n';
  } else {
    for (const std::string& line : to_table(status)) std::cout << line << '\n';
  }
  for (const NodeStatus& node : status.nodes) {
    if (node.why.empty()) return status.is_in_force_everywhere() ? 0 : 1;
  }
  return 2;
}

int configuration_show(const Fleet& fleet) {
  net::Loop loop;
  loop.read_clock();
  Agreement agreement(loop, fleet, std::nullopt);
  const std::optional<Revision> newest = agreement.fetch_newest();
  if (!newest) {
    std::cout << "no control node knows of a revision\n";
    return 1;
  }
  std::cout << distribution::put(*newest).dump(1) << '\n';
  return 0;
}

}  // namespace marbledyke::fleet
