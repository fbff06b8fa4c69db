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
#include "model/types.h"

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
  // Follows revision `after`. Without it the change follows whatever is the newest until it is first sent
  // out, so that it replaces what it has not seen; from then on it keeps its index.
  struct Change {
    std::string fleet, settings, author;
    double share = 1;
    std::optional<std::int64_t> after;
    std::int64_t made_ms = 0;
  };
  static constexpr int kMostRounds = 16;  // attempts with ever higher ballots; then no_majority or unknown
  static constexpr int kMostSilentRounds = 3;  // of these, lost to silence and not to another proposer

  // `identity`: never used by another proposer, nor by another object of this class: two proposers of one
  // identity could have two revisions accepted under one ballot. `chosen`: the newest revision that any voter
  // told of beforehand. Without a change it only completes what another proposer left accepted (agreed: it
  // was completed or there was nothing to complete).
  Proposer(std::size_t voters, std::string identity, std::optional<Change> change,
           std::optional<Revision> chosen);

  // A message to a voter replaces the one before it there: the earlier one's answer may still be passed on,
  // its failure must not be. An answer may come late, twice, or of a former round.
  std::optional<Message> next();
  // After a lost round: how long to wait before begin_round() is called; zero: nothing to wait for.
  // `jitter` is a random share from 0 to 1. A late answer may end the waiting.
  Duration backoff(double jitter) const;
  void begin_round();  // does nothing unless it waits for one
  void replied(std::size_t voter, const Reply& reply);
  void failed(std::size_t voter);  // no answer within its limit, or none that could be read
  bool waits_for_round() const { return phase_ == Phase::waiting; }

  Outcome outcome() const { return outcome_; }
  // What is agreed, to be told to every node with learn. none: nothing was agreed yet.
  const std::optional<Revision>& result() const { return chosen_; }
  const std::string& why() const { return why_; }
  bool proposes() const { return value_.has_value(); }  // a majority has promised, in this round
  std::string line() const;                             // all that decides what it will do, for explorers

 private:
  enum class Phase { preparing, accepting, waiting, over };
  // What a voter has been asked and has answered in this round.
  enum class Standing { prepare_sent, promised, accept_sent, accepted, lost };

  std::int64_t target() const { return chosen_ ? chosen_->index + 1 : 1; }
  std::size_t majority() const { return voters_.size() / 2 + 1; }
  std::size_t count(Standing standing) const;
  void check_change();
  void start_round();
  void take_promise(std::size_t voter, const Reply& reply);
  void take_acceptance(std::size_t voter);
  void take_outdated(std::size_t voter, const Reply& reply);
  void lose(std::size_t voter, const std::string& why, bool refusal = false);
  void choose_value();
  void propose(const Revision& value);
  void send_accept(std::size_t voter);
  void learn(const Revision& newer);
  void judge_round();
  void finish(Outcome outcome, std::string why);

  std::vector<Standing> voters_;
  std::optional<Change> change_;
  std::optional<Revision> chosen_;
  Phase phase_ = Phase::preparing;
  Outcome outcome_ = Outcome::under_way;
  std::string why_;
  std::string fleet_;
  Ballot ballot_;
  std::int64_t highest_round_ = 0;  // that anybody was promised
  int rounds_ = 0, silent_rounds_ = 0;
  bool outbid_ = false, refused_ = false;  // by a voter, in this round
  Ballot accepted_ballot_;                 // the highest told with a promise of this round
  std::optional<Revision> accepted_;       // by that ballot
  std::optional<Revision> value_;          // that this round proposes, once a majority has promised
  std::optional<Revision> own_;            // the change, once it was sent out
  std::deque<Message> messages_;
};

}  // namespace marbledyke::distribution
