// State that the decision engine keeps about op types, customers, multigets, parts, sends and replicas.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "model/numeric.h"
#include "model/types.h"

namespace marbledyke {

using namespace std::chrono_literals;

inline constexpr std::size_t kMaxSendsPerPart = 8;

// Whether a part may be sent again after a send that may have run: always, within the dedupe window, never.
enum class RetryClass { retriable, deduped, non_retriable };

struct OpType {
  std::string name;
  RetryClass retry_class = RetryClass::retriable;
  Duration latency_budget{};
  Duration route_timeout{};
  Duration dedupe_window{};
  double importance = 1;
  double late_share = 0;       // fraction of the value that an answer after the latency budget keeps
  double min_weight = 1;       // weight that has to return for any answer
  double complete_weight = 1;  // weight that has to return for a complete answer
  // Value of an incomplete answer, as a fraction of a complete one; 0: an early incomplete reply is worth
  // nothing.
  double partial_value = 0;
  int second_step_parts = 0;     // parts of a second step; 0: there is none
  double typical_part_cost = 0;  // learned: microseconds of work of a part without a cost hint
  double duration_ratio = 1;     // learned: actual over expected duration of multigets
};

// A customer and the token bucket of its allowance.
struct Customer {
  double allowance_per_s = 0;  // multigets per second at this gatherer; 0: no limit
  double tokens = 0;
  Duration refilled_at{};
};

// One attempt of a part. Costs are microseconds of work.
struct SendRecord {
  int replica = -1;
  Duration sent_at{};
  double in_flight_cost = 0;   // what the send adds to Replica::in_flight_cost
  double unscaled_micros = 0;  // expected duration at slowdown 1
  double expected_micros = 0;  // expected duration when it was sent
  bool in_flight = false;
  bool may_have_run = true;  // unless its outcome proves that it has not
  bool cancelled = false;
  bool counted_overdue = false;
  bool replica_was_idle = false;  // no other send of this gatherer was there
};

// A part of an open multiget. `multiget` and `next_part` are slots.
struct Part {
  RequestId id;
  int multiget = -1;
  int next_part = -1;  // next part of the same multiget; -1: none
  int shard = 0;
  int step = 1;
  double weight = 0;
  double cost = 0;  // microseconds of work
  std::uint64_t key = 0;
  bool returned = false;
  bool pending = false;  // queued to be sent
  std::uint64_t arrival_order = 0;
  int send_count = 0;
  std::array<SendRecord, kMaxSendsPerPart> sends{};
  SendRecord& send(int i) { return sends[static_cast<std::size_t>(i)]; }
  const SendRecord& send(int i) const { return sends[static_cast<std::size_t>(i)]; }
  int sends_in_flight() const {
    int n = 0;
    for (int i = 0; i < send_count; ++i) n += sends[static_cast<std::size_t>(i)].in_flight ? 1 : 0;
    return n;
  }
};

// A multiget from its arrival until it is closed and its last send has ended.
struct Multiget {
  RequestId id;
  double number = 0;
  int op_type = 0;
  int cells = 1, width = 1;  // the shard layout when it arrived
  Duration received_at{};
  Duration reply_deadline{};  // latest time for the final reply
  double importance = 1;
  double expected_micros = 0;  // expected duration at admission
  int first_part = -1;         // slot; the parts form a list
  int parts_to_receive = 0;    // parts of the current step that the host has yet to report
  int step = 1;
  int returned_part_count = 0;
  int sends_in_flight = 0;
  double returned_weight = 0;  // returned in the current step
  double lost_weight = 0;      // of parts of the current step that cannot return any more
  bool first_step_complete = true;
  std::optional<Duration> probed_at;  // when its replicas were chosen to be probed
  bool admitted = false;
  bool closed = false;  // replied to, or the client left
};

// The posterior of a probability of success (a beta distribution), and the sample from it that holds for the
// current turn.
struct SuccessEstimate {
  double successes = 0;
  double failures = 0;
  Duration updated_at{};
  double sample = 1;
  std::optional<Duration> sampled_at;
};

// Work in microseconds that this gatherer may still send to a cold replica. It accrues at the rate of the
// gatherer's share, up to a maximum.
struct ColdCredit {
  double work = 0;
  Duration accrued_at{};                 // when it last accrued
  std::optional<Duration> server_start;  // the start of the server that the credit belongs to

  double accrue(Duration now, double share, Duration window, double most) {
    work = std::min(work + share * (to_micros(now - accrued_at) / to_micros(window)), most);
    accrued_at = now;
    return work;
  }
};

// A shard server and what has been learned about it. Costs and loads are microseconds of work.
struct Replica {
  std::string server;
  std::uint64_t hash = 0;
  int zone = 0;
  int cell = 0;
  ServerStatus status = ServerStatus::gone;
  bool listed = false;   // has an entry in the list being read
  bool retained = true;  // it is up, or something still refers to it; checked when a list completes
  std::optional<Duration> started;
  double in_flight_cost = 0;              // of this gatherer's sends
  double recent_cost = 0;                 // of this gatherer's sends, decaying with time
  double others_load = 0;                 // work of other gatherers, from load reports
  Duration load_reported_at{-1h};         // when a load report last came
  std::optional<Duration> probe_sent_at;  // set while a probe is in flight
  Duration decayed_at{};
  SuccessEstimate success;                          // over all sends
  std::vector<SuccessEstimate> success_by_op_type;  // over the sends of one op type each
  double slowdown = 1;                              // actual over expected duration of its sends
  double overdue_factor = 1;  // largest ratio of a pending send's age to its expectation
  // State of the current turn.
  double assigned_cost = 0;    // of sends planned in this turn
  int parts_in_open_call = 0;  // parts planned in this turn for the call that is being filled
  // While the replica is cold: time and cost of the latest sends, as a ring.
  std::array<std::pair<Duration, double>, 64> recent_cold_sends{};
  std::size_t next_cold_send = 0;
  ColdCredit cold_credit;  // used where the share for one window is less than one send
};

// A count of events in which each event decays exponentially with its age.
struct DecayingCount {
  double count = 0;
  Duration counted_at{};

  double recent(Duration now, Duration memory) const {
    return count * exponential_decay(now - counted_at, memory);
  }
  void add(Duration now, Duration memory) { *this = {recent(now, memory) + 1, now}; }
};

// A replica that a part may be sent to, with its rank in the rendezvous hash of the part.
struct Candidate {
  int replica = -1;
  std::uint64_t hash_rank = 0;
  double load = 0;
  double success_sample = 1;
};

}  // namespace marbledyke
