// Operators' commands for the fleet's settings: brings a change to agreement among the control nodes and
// follows its distribution to every gatherer. Carries out what distribution::Proposer decides, by calls with
// a time limit of one second each.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "distribution/proposer.h"
#include "fleet/fleet_file.h"
#include "fleet/http_client.h"

namespace marbledyke::fleet {

inline constexpr Duration kControlNodeTimeout = std::chrono::seconds(1);  // of one call
inline constexpr Duration kChangeTimeout = std::chrono::seconds(8);       // of a whole change
// How often the control nodes are asked whether a change is in force everywhere.
inline constexpr Duration kPollInterval = std::chrono::milliseconds(200);
inline constexpr int kExitAgreed = 0, kExitConflict = 1, kExitNoMajority = 2, kExitUnknown = 4;

// A change that an operator asks for. `document` is the text of the settings file.
struct ChangeRequest {
  std::string document, author;
  double share = 1;                   // of the gatherers that the change is meant for
  std::optional<std::int64_t> after;  // refused if a newer revision than this one is in force
  Duration wait{};                    // how long to wait until it is in force everywhere; zero: not at all
};

// One round of agreement among the voting control nodes: proposes a change, or without one completes what
// another proposer left behind.
class Agreement {
 public:
  Agreement(net::Loop& loop, const Fleet& fleet, std::optional<distribution::Proposer::Change> change);
  // Runs the loop until the outcome is known, for at most kChangeTimeout.
  distribution::Outcome run();
  // The revision that is agreed, if any.
  std::optional<distribution::Revision> result() const;
  // What went wrong, also at nodes that could not be reached; each part names its node.
  const std::string& errors() const { return errors_; }
  // Sends the agreed revision to every control node. Returns how many accepted it.
  std::size_t notify_all_nodes(const distribution::Revision& revision);
  // Asks every control node for the newest revision that it knows to be agreed.
  std::optional<distribution::Revision> fetch_newest();

 private:
  void send(const distribution::Message& message);
  void on_response(std::size_t voter, std::uint64_t number, const HttpResponse& response);
  void send_messages();
  void on_failure(std::size_t voter, std::uint64_t number, const std::string& error);
  void wait_for_calls();

  net::Loop& loop_;
  const Fleet& fleet_;
  std::vector<const ControlNodeEntry*> voters_;
  std::optional<distribution::Proposer::Change> change_;
  std::optional<distribution::Proposer> proposer_;
  // Number of the latest call to each voter; failures of earlier calls are ignored.
  std::vector<std::uint64_t> latest_call_;
  HttpClient client_;
  bool backing_off_ = false;
  bool accept_sent_ = false;  // a voter may have accepted the change
  std::string errors_;
};

// A control node, as it answered.
struct NodeStatus {
  std::string name, why;    // why: the node did not answer
  std::int64_t newest = 0;  // index of the newest revision that it knows
};
// A keeper that receives the settings, as the control nodes know it.
struct ReceiverStatus {
  std::string name, zone, why;  // why: the reason for refusing a revision
  std::int64_t index = 0;       // of the revision in force
  std::int64_t refused = 0;     // index of the newest revision that it refused
  std::int64_t heard_ms_ago = 0, in_force_ms_ago = 0;
};
// Which revision is in force where.
struct RevisionStatus {
  std::vector<NodeStatus> nodes;
  std::vector<ReceiverStatus> receivers;  // each once, from the node that heard of it last
  std::optional<distribution::Revision> newest;
  std::vector<std::string> not_heard;  // keepers of the fleet that no control node has heard of lately
  std::vector<std::string> behind;  // keepers that the newest revision is meant for and that run another one
  std::int64_t in_force_everywhere_ms = 0;  // for how long the newest revision has been in force everywhere
  // Whether every keeper that the newest revision is meant for has reported that it runs it.
  bool is_in_force_everywhere() const { return newest && not_heard.empty() && behind.empty(); }
};
// Asks every control node; runs the loop until all have answered or timed out.
RevisionStatus fetch_revision_status(net::Loop& loop, const Fleet& fleet);
nlohmann::json to_json(const RevisionStatus& status);
std::vector<std::string> to_table(const RevisionStatus& status);

// The commands. Each prints its result to standard output and returns the exit status of the process.
int configuration_put(const Fleet& fleet, const ChangeRequest& request);
int configuration_complete(const Fleet& fleet);
int configuration_status(const Fleet& fleet, bool as_json);
int configuration_show(const Fleet& fleet);

}  // namespace marbledyke::fleet
