// What the module keeps of op types, customers, multigets, parts, sends and replicas. Nothing here decides.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "model/measure.h"
#include "model/plain.h"

namespace marbledyke {

using namespace std::chrono_literals;

inline constexpr std::size_t kMostSends = 8;  // places for the sends of one part

enum class Repeat { retriable, deduped, non_retriable };

struct OpType {
  std::string name;
  Repeat repeat = Repeat::retriable;
  Duration latency_budget{};
  Duration route_timeout{};
  Duration dedupe_window{};
  double importance = 1;
  double late_share = 0;
  double floor = 1;    // least share of parts for any answer
  double need = 1;     // share of parts for a whole one
  double partial = 0;  // what an answer short of whole earns, by its share
  int second_step = 0;
  double part_work = 0;  // learned: the work of a part, where no hint is given
  double stretch = 1;    // learned: how long multigets take for what was expected of them
};

struct Customer {
  double allowance = 0;  // multigets a second for this gatherer; 0: no limit
  double tokens = 0;
  Duration filled{};
};

struct SendRecord {
  int replica = -1;
  Duration at{};
  double charge = 0;  // cost counted as in flight
  double base = 0;    // what it would take at pace 1
  double expect = 0;  // what it was expected to take
  bool out = false;
  bool may_have_run = true;  // until proven not to
  bool withdrawn = false;
  bool counted_late = false;
  bool alone = false;  // nothing else of ours was there
};

struct Part {
  Rid id;
  int multiget = -1;
  int next = -1;  // of the same multiget
  int shard = 0;
  int step = 1;
  double weight = 0;
  double cost = 0;
  std::uint64_t key = 0;
  bool returned = false;
  bool pending = false;
  std::uint64_t order = 0;
  int sent = 0;
  std::array<SendRecord, kMostSends> sends{};
  SendRecord& send(int i) { return sends[static_cast<std::size_t>(i)]; }
  const SendRecord& send(int i) const { return sends[static_cast<std::size_t>(i)]; }
  int out() const {
    int n = 0;
    for (int i = 0; i < sent; ++i) n += sends[static_cast<std::size_t>(i)].out ? 1 : 0;
    return n;
  }
};

struct Multiget {
  Rid id;
  double number = 0;
  int op_type = 0;
  int cells = 1, width = 1;  // the layout of the shards when it was taken
  Duration taken{};
  Duration last_moment{};  // when the final answer is due at the latest
  double importance = 1;
  double expected = 0;  // how long it was expected to take when it was admitted
  int first_part = -1;
  int awaited = 0;  // parts of the present step still to be handed over
  int step = 1;
  int returned_parts = 0;
  int sends_out = 0;
  double weight_in = 0;    // of the present step
  double weight_lost = 0;  // of its parts that can neither return nor be sent again
  bool first_step_whole = true;
  std::optional<Duration> looked_at;
  bool admitted = false;
  bool closed = false;
};

// The posterior of a chance of success, and the draw from it that holds for the present turn.
struct Belief {
  double good = 0;
  double bad = 0;
  Duration at{};
  double drawn = 1;
  std::optional<Duration> drawn_at;
};

// The work (us) that a gatherer may still send to one cold replica; it grows by the gatherer's share.
struct SavedShare {
  double work = 0;
  Duration at{};                  // when it was last added to
  std::optional<Duration> start;  // the replica's start that it is for

  double grown(Duration now, double share, Duration window, double most) {
    work = std::min(work + share * (micros(now - at) / micros(window)), most);
    at = now;
    return work;
  }
};

struct Replica {
  std::string server;
  std::uint64_t hash = 0;
  int zone = 0;
  int cell = 0;
  Standing standing = Standing::gone;
  bool named = false;  // in the list being read
  bool kept = true;    // it is up, or something still refers to it
  std::optional<Duration> started;
  double out = 0;                 // own cost in flight
  double recent = 0;              // own cost recently sent
  double foreign = 0;             // others' work there
  Duration news_at{-1h};          // when that was last told
  std::optional<Duration> asked;  // a probe is out since
  Duration decayed_at{};
  Belief belief;                // from all its answers
  std::vector<Belief> by_type;  // from those to one op type each
  double pace = 1;
  double hush = 1;  // how far the oldest send is over what was expected
  // in this turn
  double assigned = 0;
  int call_parts = 0;
  std::array<std::pair<Duration, double>, 64> cold_sends{};
  std::size_t cold_next = 0;
  SavedShare saved;  // while cold, where a window's share is under one send
};

// Parts that lately came in for a cell, faded.
struct CellFlow {
  double parts = 0;
  Duration at{};

  double recent(Duration now, Duration memory) const { return parts * fade(now - at, memory); }
  void add(Duration now, Duration memory) { *this = {recent(now, memory) + 1, now}; }
};

// A replica that a part may be sent to.
struct Candidate {
  int replica = -1;
  std::uint64_t rank = 0;
  double load = 0;
  double chance = 1;
};

}  // namespace marbledyke
