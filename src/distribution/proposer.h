// Brings one change to agreement among the control nodes that vote, without I/O: emits messages, is told
// replies and failures, and ends with one outcome. A change names the index it follows (compare and set), so
// of two changes made at once one is agreed and the other is told so.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "distribution/acceptor.h"
#include "model/plain.h"

namespace marbledyke::distribution {

enum class Outcome {
  under_way,
  agreed,       // it is in force from now on, at the index of result()
  conflict,     // another change took the index; result() is that one, nothing of this one remains
  refused,      // by a node, before anything was accepted; why() says what for
  no_majority,  // fewer than a majority answered before anything could have been accepted
  unknown       // it may be agreed or not: a majority could not be heard after it was sent out
};
inline constexpr int kOutcomes = 6;
const char* name_of(Outcome outcome);

struct Message {
  std::size_t voter = 0;  // its place among the voters
  std::variant<Prepare, Accept> what;
};

class Proposer {
 public:
  struct Change {
    std::string fleet, settings, author;  // settings: canonical
    double share = 1;
    std::optional<std::int64_t> after;  // the index it must follow; none: the newest
    std::int64_t made_ms = 0;
  };
  static constexpr int kMostRounds = 16;  // attempts with ever higher ballots; then no_majority or unknown

  // `chosen`: the newest revision that any voter told of beforehand. Without a change it only completes what
  // another proposer left accepted (agreed: it was completed or there was nothing to complete).
  Proposer(std::size_t voters, std::string identity, std::optional<Change> change,
           std::optional<Revision> chosen);

  std::optional<Message> next();
  // After an outbid round: how long to wait before begin_round() is called; zero: nothing to wait for.
  // `jitter` is a random share from 0 to 1.
  Span backoff(double jitter) const;
  void begin_round();
  void replied(std::size_t voter, const Reply& reply);
  void failed(std::size_t voter);  // no answer within its limit, or none that could be read
  bool waits_for_round() const;

  Outcome outcome() const;
  const std::optional<Revision>& result() const;  // what was agreed; to be told to every node with learn
  const std::string& why() const;

 private:
  // Chosen by the implementer.
};

}  // namespace marbledyke::distribution
