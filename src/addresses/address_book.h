// Connection policy for servers with several addresses, without sockets or a clock of its own. It decides
// which address is dialled next, when a second attempt starts beside one that hangs, which address has to
// prove itself before parts go over it, when an address in doubt is tried again, and when a server counts as
// not connected. The connection layer reports events with their times and asks for the next step. The book
// never sends or resends a part; to the decision engine a server is one server, however many addresses it
// has.
//
// Races follow Happy Eyeballs (RFC 8305) with two changes: an address in doubt comes last whatever its
// family, and one that has not proved itself wins a race by a response rather than by connecting.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "model/types.h"
#include "net/address.h"

namespace marbledyke::addresses {

using net::Address;
using net::Family;
using namespace std::chrono_literals;

inline constexpr std::size_t kMaxAddressesPerServer = 8;  // further ones are not used

// Which attempts have to be answered before they win a race: none, those to addresses that have not responded
// since their last fault, or all.
enum class ProofPolicy { never, in_doubt, always };

// The operator's settings for connecting, under the names that the operator file uses.
struct ConnectSettings {
  std::vector<Family> prefer{Family::local, Family::ip6, Family::ip4};  // each at most once; others come last
  Duration attempt = 250ms;  // limit of one attempt, its proof included
  Duration race = 1s;        // limit of a whole race where the server has several addresses
  Duration stagger = 100ms;  // longest delay before the next attempt starts beside one that has not connected
  Duration stagger_least = 10ms;  // shortest such delay; it adapts to past connect times (RFC 8305, 5)
  int at_once = 3;                // concurrent attempts of one race
  Duration hold = 1s;  // time until an address in doubt is tried again; doubles with each further fault
  Duration hold_most = 60s;
  int trials_at_once = 4;  // concurrent trials over all servers
  ProofPolicy prove = ProofPolicy::in_doubt;
};

// How an attempt, a trial or a connection ended, as far as it says something about the address.
enum class AttemptOutcome {
  connected,           // and responded, where proof was needed
  refused,             // or unreachable: a definite failure
  timed_out,           // neither connected nor failed within its limit
  reset_early,         // connected, and ended before anything was received
  unresponsive,        // connected, and did not respond to what was written
  no_local_resources,  // no descriptor, or a full backlog on this machine: says nothing about the address
  not_needed           // another attempt won, or the server is no longer wanted
};
// Returns the name that log events print.
std::string_view name_of(AttemptOutcome outcome);

// What the connection layer is to do next for a race.
struct RaceStep {
  enum class Action {
    dial,     // connect to `to`
    abandon,  // close the attempt, which has timed out
    wait,     // ask again at wait_until, or when an attempt ends
    lost      // the race has failed, or was decided already
  };
  Action action = Action::wait;
  int attempt = 0;           // dial, abandon: its number within the race
  Address to;                // dial
  bool needs_proof = false;  // dial: the attempt wins only once the server has answered a probe
  Duration wait_until{};     // wait
};

// An address in doubt that is to be dialled and probed, without a part.
struct Trial {
  std::string server;
  Address to;
  Duration limit{};  // of the whole trial, its proof included
};

struct Counters {
  std::uint64_t races = 0, dials = 0, races_lost = 0, second_choice = 0, trials = 0, trials_passed = 0,
                doubts = 0, contested = 0;
};

class AddressBook {
 public:
  using RaceId = std::uint64_t;

  // The seed is for the jitter of retry times.
  AddressBook(const ConnectSettings& settings, std::uint32_t seed) : settings_(settings), random_(seed) {}

  // ---- membership ----
  // A list update is begin_update(), its servers, finish_update(). A snapshot removes the servers that it
  // does not name.
  void begin_update(bool snapshot);
  void update_server(const std::string& server, bool up, std::vector<Address> addresses);
  // Keeps a server as it is through a snapshot; does nothing for one that is not known.
  void keep_server(std::string_view server);
  void remove_server(const std::string& server);
  void finish_update();

  // The operator's own addresses of a server: beside those of the list, or instead of them.
  struct ServerOverride {
    bool replaces_listed = false;
    std::vector<Address> addresses;
  };
  // Replaces the settings and all overrides. State is kept for addresses that remain.
  void configure(const ConnectSettings& settings,
                 std::map<std::string, ServerOverride, std::less<>> overrides);

  // Whether new sends may use a connection to this address: the server has it, and no other server has a
  // newer claim to it.
  bool is_usable(std::string_view server, const Address& address) const;
  // Returns the usable addresses in the order in which a race would dial them now.
  std::vector<Address> dial_order(std::string_view server) const;

  // ---- races: one for each connection to be opened ----
  RaceId begin_race(std::string_view server, Duration now);
  // To be called until it returns wait or lost.
  RaceStep next_step(RaceId race, Duration now);
  // Not to be called for an attempt that has connected but has yet to prove itself: its limit still applies.
  void on_attempt_ended(RaceId race, int attempt, AttemptOutcome outcome, Duration now);
  // Forgets the race. The caller closes the attempts that have not ended.
  void end_race(RaceId race);

  // ---- connections ----
  // Something was received on a connection to this address.
  void on_response(std::string_view server, const Address& address);
  // A connection ended, or was silent too long, before anything was received on it.
  void on_connection_failed(std::string_view server, const Address& address, AttemptOutcome outcome,
                            Duration now);

  // ---- trials: addresses in doubt are dialled and probed without a part ----
  std::optional<Trial> next_trial(Duration now);
  void on_trial_ended(const Trial& trial, AttemptOutcome outcome, Duration took, Duration now);
  // Returns when next_trial() may return a trial; nothing while no address is in doubt or as many trials run
  // as may.
  std::optional<Duration> next_trial_time() const;

  const Counters& counters() const { return counters_; }
  std::size_t server_count() const { return servers_.size(); }
  std::size_t race_count() const { return races_.size(); }
  // Returns one line on the state of the server's addresses, for logs and traces.
  std::string describe(std::string_view server, Duration now) const;

 private:
  struct AddressState {
    Address address;
    std::uint64_t claimed = 0;  // the update that first named it for this server
    bool proven = false;        // responded when it was last used
    bool in_doubt = false;
    int faults = 0;   // since the last long enough time without one
    Duration hold{};  // after the last of them
    Duration last_fault = Duration::min() / 2;
    Duration retry_at{};  // while in doubt
    bool on_trial = false;
    Duration smoothed{}, spread{};  // of the connect time, as in RFC 6298; zero: not measured yet
  };
  struct Server {
    bool up = false;
    bool seen = false;  // in the update in progress
    std::vector<Address> listed;
    std::vector<AddressState> addresses;
  };
  struct Attempt {
    int number = 0;
    Address to;
    Duration started{}, limit{};
    Duration stagger{};  // delay before the next attempt starts beside this one
    bool pending = true;
  };
  struct Race {
    std::string server;
    std::vector<Address> left;  // still to be dialled, the next one last
    std::vector<Attempt> attempts;
    Duration limit{};
    bool several = false;  // the server has more than one address
    bool hurry = true;     // the newest attempt has failed: the next one starts without a delay
    bool decided = false;
  };

  void merge(const std::string& name, Server& server, std::uint64_t update);
  void remove_claim(const std::string& server, const Address& address);
  bool is_contested(const std::string& server, const Address& address) const;
  AddressState* find(std::string_view server, const Address& address);
  std::vector<const AddressState*> ranked(std::string_view server) const;
  void mark_proven(AddressState& state);
  void record_fault(const std::string& server, AddressState& state, Duration now);
  void record_connect_time(AddressState& state, Duration connect_time);
  Duration stagger_for(const AddressState& state) const;
  void clear_doubt(const std::string& server, AddressState& state);
  std::size_t preference(Family family) const;

  ConnectSettings settings_;
  std::mt19937 random_;
  std::map<std::string, Server, std::less<>> servers_;
  std::map<std::string, ServerOverride, std::less<>> overrides_;
  std::map<Address, std::map<std::string, std::uint64_t>> claims_;  // by address: the servers that have it,
                                                                    // and since which update
  std::map<RaceId, Race> races_;
  std::set<std::pair<Duration, std::pair<std::string, Address>>> due_;  // addresses in doubt, by retry_at
  RaceId next_race_ = 1;
  std::uint64_t update_ = 0;
  bool snapshot_ = false;  // the update in progress is one
  int running_trials_ = 0;
  Counters counters_;
};

}  // namespace marbledyke::addresses
