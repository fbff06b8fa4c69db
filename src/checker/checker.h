// The six rules, checked from what happened: it watches events of gatherers, servers and the list, knows
// nothing of how anything is decided, and reports each breach with the events that led there. Fed by the
// emulator, or by whatever else can say what happened when, in order of time.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "model/types.h"

namespace marbledyke::checker {

enum class What {
  taken,        // a gatherer took a multiget: op_type, until (the client's time is up), count (its parts)
  sent,         // it gave a part to the connection layer: shard, send, server
  arrived,      // the part came in at the server
  began,        // and began to run there
  told,         // the gatherer learned a send's fate
  answered,     // final answer: count parts in it, whole or not
  pushed_back,  // final answer: trying again is harmless
  failed,       // final answer
  left,         // the client left
  learned,  // a gatherer learned of the list how a server stands (standing), and of its latest start (cold)
  started,  // a server started, cold; or is there from the beginning, warm (cold = false)
  stopped,  // a server's process ended
  died,     // a gatherer's process ended: what it had in hand is over
  stalled,  // a gatherer's process stands still: it can answer nothing
  resumed,  // and goes on: it has the usual slack from now on
  joined,   // another process of the same gatherer serves beside it, which then leaves: each has its floor
};

struct Event {
  Duration at{};
  What what = What::taken;
  int gatherer = -1;
  std::uint64_t multiget = 0;  // unique over all gatherers and restarts
  int shard = -1;
  int send = -1;
  int server = -1;
  int op_type = 0;
  int count = 0;
  bool whole = false;
  bool cold = false;
  bool counted = true;  // sent: it is not the part's first
  SendOutcome fate = SendOutcome::unused;
  ServerStatus standing = ServerStatus::up;
  Duration until{};
  bool heard = true;  // told, returned: it is known that the gatherer had it, not only that it was said
  double work = 0;    // arrived: seconds on one core that it is told to take
};
std::string text_of(const Event& event);

struct OpRule {
  bool non_retriable = false;
  bool deduped = false;
  Duration window{};
  double floor = 1, need = 1;
};

struct Rules {
  std::vector<OpRule> op_types;
  Duration slack{50'000};  // what a message may be under way when a time is up
  // Where sends are seen as they arrive and answers as they leave: what may have crossed on the way.
  Duration crossing{};
  Duration drain_grace{500'000};
  Duration cold{10'000'000};
  double cold_from = 0.2;
  double fall_multiple = 2;
  Duration overload_for{1'000'000};
  int cores = 1;  // of a server
  Duration further_window{10'000'000};
  double further_share = 0, further_floor = 0;
};

struct Breach {
  int rule = 0;  // 1 to 6
  std::string what;
  Duration at{};
  std::vector<Event> trace;  // what led there, of the multiget or of the server
};

class Checker {
 public:
  explicit Checker(const Rules& rules);

  void see(const Event& event);
  void finish(Duration end);  // what is still open and past its time is a breach

  const std::vector<Breach>& breaches() const { return breaches_; }  // the first of each kind, at most kKept
  std::uint64_t count(int rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t total() const;

  static constexpr std::size_t kKept = 50;

 private:
  struct Send {
    int number = 0;
    int server = -1;
    Duration at{};
    bool out = true;
    bool may_have_run = true;
    bool ran = false;
  };
  struct Part {
    std::vector<Send> sends;
    int runs = 0;
    bool returned = false;
    std::optional<Duration> returned_at;  // none: whether the gatherer heard of it is not known
    std::optional<Duration> first_run;
  };
  struct Multiget {
    int gatherer = -1;
    int op_type = 0;
    int parts = 0;
    Duration until{}, taken{}, asked_until{};
    bool over = false;
    Duration over_at{};
    int out = 0;
    std::map<int, Part> by_shard;
    std::vector<Event> trace;
  };
  struct Server {
    bool cold = false;
    Duration started{};
    std::deque<std::pair<Duration, double>> work;  // of the window
    double sum = 0;
    std::deque<Event> trace;
    bool over = false;  // reported in this window
  };
  struct Budget {
    std::deque<Duration> taken, further;
    std::deque<Duration> joined;
  };

  void breach(int rule, const std::string& what, Duration at, const std::vector<Event>& trace);
  void sent(const Event& event, Multiget& mg);
  void arrived(const Event& event);
  void final(const Event& event, Multiget& mg);
  void forget(std::uint64_t id, Duration at);
  void unlearn(int gatherer);

  Rules rules_;
  std::unordered_map<std::uint64_t, Multiget> open_;  // looked up by id only, never walked in order
  std::set<std::pair<Duration, std::uint64_t>> due_;
  std::deque<std::pair<Duration, std::uint64_t>> lately_;  // over and forgotten, within the crossing
  std::unordered_set<std::uint64_t> over_lately_;
  std::map<int, Server> servers_;
  std::map<std::pair<int, int>, Duration> taking_nothing_;  // gatherer and server: since when it knows
  std::map<std::pair<int, int>, Duration>
      knows_cold_;  // server and gatherer: since when it knows of the start
  std::map<int, Budget> budgets_;
  struct Stall {
    Duration since{};
    std::vector<std::uint64_t> up;  // whose time was up meanwhile
  };
  std::map<int, Stall> stalled_;  // by gatherer
  std::vector<Breach> breaches_;
  std::vector<std::uint64_t> counts_ = std::vector<std::uint64_t>(7);
};

}  // namespace marbledyke::checker
