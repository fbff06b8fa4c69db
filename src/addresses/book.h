// What is known of each address of each server, and what follows from it: which address is dialled next, when
// another is started beside one that hangs, which one is to prove itself before parts go over it, when one in
// doubt is tried again, and when a server as a whole counts as not connected. No sockets and no clock: the
// connection layer says what happened and when, and pulls what to do. It never sends and never resends a
// part; to the decision module a server is one server, however many addresses it has.
//
// The races are Happy Eyeballs (RFC 8305) with two changes: an address in doubt comes last whatever its
// family, and one that has not proved itself wins a race by an answer rather than by coming up.
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

inline constexpr std::size_t kMostAddresses = 8;  // of one server; those beyond it are not used

enum class Prove { never, in_doubt, always };

// The operator's figures. Times are spans of the program's clock.
struct Rules {
  std::vector<Family> prefer{Family::local, Family::ip6, Family::ip4};  // each at most once; others come last
  Duration attempt{250'000};  // an attempt's limit, its proof included
  Duration race{1'000'000};   // a whole race's limit where there are several addresses
  Duration stagger{100'000};  // the next attempt starts so long after one that has not come up, at most
  Duration stagger_least{
      10'000};               // and at least; between them it follows how long connects took (RFC 8305, 5)
  int at_once = 3;           // attempts of one race under way
  Duration hold{1'000'000};  // an address in doubt is tried again after this, doubling with each failure
  Duration hold_most{60'000'000};
  int trials_at_once = 4;  // of all servers together
  Prove prove = Prove::in_doubt;
};

// How an attempt, a trial or a connection ended, as far as it says something of the address.
enum class End {
  came_up,      // and spoke, where it was to prove itself
  refused,      // or unreachable: a clear no
  hung,         // neither came up nor failed within its limit
  reset_early,  // came up and ended before anything was heard
  silent,       // came up and did not answer what it was given
  no_room,      // no descriptor or a full backlog on this machine: says nothing of the address
  not_needed    // another one won, or the server is no longer wanted
};
std::string_view name_of(End end);

struct Step {
  enum class What { dial, abandon, wait, lost };
  What what = What::wait;
  int attempt = 0;     // dial, abandon: its number within the race
  Address to;          // dial
  bool prove = false;  // dial: it wins only once it has answered a probe
  Duration until{};    // wait: ask again then, or when an attempt ended
};

struct Trial {
  std::string server;
  Address to;
  Duration limit{};  // the time it may take, its proof included
};

struct Tally {
  std::uint64_t races = 0, dials = 0, races_lost = 0, second_choice = 0, trials = 0, trials_passed = 0,
                doubts = 0, contested = 0;
};

class Book {
 public:
  using RaceId = std::uint64_t;

  Book(const Rules& rules, std::uint32_t seed) : rules_(rules), chance_(seed) {}

  // ---- membership ----
  // One piece of news: opens, rows, closes. A whole list forgets servers it does not name.
  void news_opens(bool whole);
  void listed(const std::string& server, bool up, std::vector<Address> addresses);
  void stays(std::string_view server);  // as it is, where it is known at all
  void gone(const std::string& server);
  void news_closes();

  // The operator's own addresses, by server: beside what the list says or in place of it. Takes the place of
  // what was configured before; what is known of addresses that stay is kept.
  struct Configured {
    bool instead = false;
    std::vector<Address> addresses;
  };
  void configure(const Rules& rules, std::map<std::string, Configured, std::less<>> configured);

  // New sends may go over a connection to it: the server has it, and no other has a newer claim to it.
  bool usable(std::string_view server, const Address& address) const;
  // Usable addresses in the order a race would take them now.
  std::vector<Address> order(std::string_view server) const;

  // ---- races: one for each connection that is to be opened ----
  RaceId begin(std::string_view server, Duration now);
  // Pulled until it says wait or lost.
  Step next(RaceId race, Duration now);
  // Connected, but yet to prove itself: its time goes on.
  void ended(RaceId race, int attempt, End end, Duration now);
  // The race is over for the connection layer; attempts that have not ended are to be closed by it.
  void over(RaceId race);

  // ---- connections ----
  void spoke(std::string_view server, const Address& address);  // something was heard on one
  // One that came up ended, or kept silent, before anything was ever heard on it.
  void failed(std::string_view server, const Address& address, End end, Duration now);

  // ---- trials: addresses in doubt are dialled and asked without a part ----
  std::optional<Trial> next_trial(Duration now);
  void trial_ended(const Trial& trial, End end, Duration took, Duration now);
  // When next_trial() may have something again; none while nothing is in doubt or as many run as may.
  std::optional<Duration> next_trial_at() const;

  const Tally& tally() const { return tally_; }
  std::size_t servers() const { return servers_.size(); }
  std::size_t racing() const { return races_.size(); }
  std::string describe(std::string_view server, Duration now) const;  // a line for logs and traces

 private:
  struct Known {
    Address address;
    std::uint64_t claimed = 0;  // the news that first named it for this server
    bool proven = false;        // spoke the last time it was used
    bool doubted = false;
    int faults = 0;   // without a quiet time between them
    Duration hold{};  // after the last of them
    Duration last_fault = Duration::min() / 2;
    Duration retry_at{};  // while doubted
    bool on_trial = false;
    Duration smoothed{}, spread{};  // of the time to come up; zero: not known
  };
  struct Server {
    bool up = false;
    bool seen = false;  // in the news that is being told
    std::vector<Address> listed;
    std::vector<Known> known;
  };
  struct Attempt {
    int number = 0;
    Address to;
    Duration started{}, limit{};
    Duration stagger{};  // before the next one starts beside it
    bool out = true;
  };
  struct Race {
    std::string server;
    std::vector<Address> left;  // to be dialled, the next one last
    std::vector<Attempt> attempts;
    Duration limit{};
    bool several = false;
    bool hurry = true;  // the newest has failed: the next one does not wait
    bool decided = false;
  };

  void merge(const std::string& name, Server& server, std::uint64_t stamp);
  void unclaim(const std::string& server, const Address& address);
  bool contested(const std::string& server, const Address& address) const;
  Known* find(std::string_view server, const Address& address);
  std::vector<const Known*> ranked(std::string_view server) const;
  void good(Known& known);
  void fault(const std::string& server, Known& known, Duration now);
  void learn(Known& known, Duration took);
  Duration stagger_for(const Known& known) const;
  void forget_doubt(const std::string& server, Known& known);
  std::size_t preference(Family family) const;

  Rules rules_;
  std::mt19937 chance_;
  std::map<std::string, Server, std::less<>> servers_;
  std::map<std::string, Configured, std::less<>> configured_;
  std::map<Address, std::map<std::string, std::uint64_t>> claims_;  // who named it, since which news
  std::map<RaceId, Race> races_;
  std::set<std::pair<Duration, std::pair<std::string, Address>>> due_;  // addresses in doubt, by retry_at
  RaceId next_race_ = 1;
  std::uint64_t news_ = 0;
  bool whole_ = false;
  int trials_ = 0;
  Tally tally_;
};

}  // namespace marbledyke::addresses
