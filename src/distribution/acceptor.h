// A control node's part in agreeing on the next revision: single-decree Paxos for each index, with the
// settings tool as the proposer and control nodes as acceptors. Without I/O: each step returns the state that
// has to be on disk before the reply is sent; a step whose state could not be written is dropped together
// with its reply.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "distribution/revision.h"

namespace marbledyke::distribution {

inline constexpr std::int64_t kHighestRound = 1'000'000'000;  // a message with a higher one is damaged

// Orders the attempts of all proposers. Round 0 is below every attempt.
struct Ballot {
  std::int64_t round = 0;
  std::string proposer;
  auto operator<=>(const Ballot&) const = default;
};

struct AcceptorState {
  Revision chosen;                   // the newest known to be agreed; index 0: none
  Ballot promised;                   // for index chosen.index + 1
  Ballot accepted_ballot;            // of `accepted`
  std::optional<Revision> accepted;  // for index chosen.index + 1
  bool operator==(const AcceptorState&) const = default;
};

// `chosen`: the newest revision the proposer knows to be agreed, which the acceptor learns first; the attempt
// is for the index after it. `fleet`: empty where the proposer does not know it yet.
struct Prepare {
  Ballot ballot;
  std::string fleet;
  std::optional<Revision> chosen;
};
struct Accept {
  Ballot ballot;
  Revision revision;
  std::optional<Revision> chosen;
};

enum class ReplyKind {
  promised,  // or accepted: then accepted_ballot is the ballot asked for
  outbid,    // a higher ballot was promised; `promised` names it
  outdated,  // that index is agreed already; `chosen` is newer than the proposer's
  behind,    // the acceptor lacks the revision before it and was not given it
  refused    // another fleet's, or not well formed
};
struct Reply {
  ReplyKind kind = ReplyKind::refused;
  Ballot promised;
  Ballot accepted_ballot;
  std::optional<Revision> accepted;  // with a promise: what was accepted before, by accepted_ballot
  std::optional<Revision> chosen;    // where it is newer than the proposer's, or of that index
  std::string why;                   // of a refusal
};

struct Step {
  AcceptorState next;
  Reply reply;
};

class Acceptor {
 public:
  explicit Acceptor(std::string fleet) : fleet_(std::move(fleet)) {}
  Step prepare(const AcceptorState& state, const Prepare& message) const;
  Step accept(const AcceptorState& state, const Accept& message) const;
  // A revision that is said to be agreed. Older ones change nothing and are told `outdated`; one of the same
  // index and another digest is refused.
  Step learn(const AcceptorState& state, const Revision& chosen) const;

 private:
  std::string fleet_;
};

// As it stands on disk: a line with format number and checksum, and one with the state. read throws
// config::BadInput where it is torn, damaged, of another fleet or format.
std::string put(const AcceptorState& state);
AcceptorState read_acceptor_state(const std::string& text, const std::string& fleet);

// The messages' bodies. The readers throw config::BadInput naming the field at fault.
nlohmann::json put(const Prepare& message);
nlohmann::json put(const Accept& message);
nlohmann::json put(const Reply& reply);
Prepare read_prepare(const nlohmann::json& from);
Accept read_accept(const nlohmann::json& from);
Reply read_reply(const nlohmann::json& from);

}  // namespace marbledyke::distribution
