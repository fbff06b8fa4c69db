// The fleet's settings as its operators handle them: a change is brought to agreement among the control
// nodes, and its way to every gatherer is watched. Carries out what distribution::Proposer decides, by calls
// that are each given up after a second.
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

inline constexpr Duration kNodeCall{1'000'000};  // the longest of one call to a control node
inline constexpr Duration kPutLimit{8'000'000};  // of a whole change
inline constexpr Duration kLookEvery{200'000};   // how often it is looked whether all have a change
inline constexpr int kExitAgreed = 0, kExitConflict = 1, kExitNoMajority = 2, kExitUnknown = 4;

// What a change is to be. `document` is the text of the settings' file.
struct Put {
  std::string document, author;
  double share = 1;
  std::optional<std::int64_t> after;  // the revision that it must follow
  Duration wait{};                    // until it is in force everywhere; zero: it is not waited for
};

// Brings one change, or none, to agreement.
class Agreement {
 public:
  Agreement(net::Loop& loop, const Fleet& fleet, std::optional<distribution::Proposer::Change> change);
  // Runs the loop until it is over, kPutLimit at most.
  distribution::Outcome run();
  // What is agreed; none: nothing is.
  std::optional<distribution::Revision> result() const;
  // What went wrong, by name; also of nodes that could not be asked.
  const std::string& why() const { return why_; }
  // Tells every node what is agreed; how many took it.
  std::size_t tell_all(const distribution::Revision& revision);
  std::optional<distribution::Revision> newest_known();  // asks every node

 private:
  void send(const distribution::Message& message);
  void answered(std::size_t voter, std::uint64_t number, const HttpResponse& response);
  void carry_out();
  void fail(std::size_t voter, std::uint64_t number, const std::string& why);
  void run_calls();

  net::Loop& loop_;
  const Fleet& fleet_;
  std::vector<const ControlNodeAt*> voters_;
  std::optional<distribution::Proposer::Change> change_;
  std::optional<distribution::Proposer> proposer_;
  std::vector<std::uint64_t> newest_call_;  // to each voter; an earlier one's failure counts no more
  HttpClient client_;
  bool resting_ = false, sent_out_ = false;  // something may have been accepted
  std::string why_;
};

// What the control nodes know of who runs which revision.
struct NodeSeen {
  std::string name, why;  // why: it did not answer
  std::int64_t newest = 0;
};
struct ReceiverSeen {
  std::string name, zone, why;  // why: of its refusal
  std::int64_t index = 0, refused = 0, heard_ms_ago = 0, in_force_ms_ago = 0;
};
struct Spread {
  std::vector<NodeSeen> nodes;
  std::vector<ReceiverSeen> receivers;  // each once, as the node that heard it last has it
  std::optional<distribution::Revision> newest;
  std::vector<std::string> not_heard;  // of the fleet's keepers
  std::vector<std::string> behind;     // of those the newest is meant for: heard of, with another one
  std::int64_t since_ms_ago = 0;       // the newest has been in force everywhere for so long
  // Every keeper of the fleet that the newest is meant for has said that it runs it.
  bool everywhere() const { return newest && not_heard.empty() && behind.empty(); }
};
Spread look(net::Loop& loop, const Fleet& fleet);
nlohmann::json put(const Spread& spread);
std::vector<std::string> table(const Spread& spread);

// The commands: what they print, and their exit status.
int configuration_put(const Fleet& fleet, const Put& what);
int configuration_complete(const Fleet& fleet);
int configuration_status(const Fleet& fleet, bool as_json);
int configuration_show(const Fleet& fleet);

}  // namespace marbledyke::fleet
