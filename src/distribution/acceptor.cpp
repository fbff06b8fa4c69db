#include "distribution/acceptor.h"

namespace marbledyke::distribution {
namespace {

std::int64_t index_of(const std::optional<Revision>& revision) { return revision ? revision->index : 0; }

std::optional<std::string> fault_of(const Ballot& ballot) {
  if (ballot.round < 1 || ballot.round > kHighestRound) return "ballot.round: out of range";
  if (ballot.proposer.empty()) return "ballot.proposer: empty";
  if (ballot.proposer.size() > kLongestName) return "ballot.proposer: too long";
  return std::nullopt;
}

Step refused(const AcceptorState& state, std::string why) {
  Step out{state, {}};
  out.reply.kind = ReplyKind::refused;
  out.reply.why = std::move(why);
  return out;
}

Step outdated(const AcceptorState& state) {
  Step out{state, {}};
  out.reply.kind = ReplyKind::outdated;
  out.reply.chosen = state.chosen;
  return out;
}

Step outbid(const AcceptorState& state) {
  Step out{state, {}};
  out.reply.kind = ReplyKind::outbid;
  out.reply.promised = state.promised;
  return out;
}

Step behind(const AcceptorState& state) {
  Step out{state, {}};
  out.reply.kind = ReplyKind::behind;
  return out;
}

// Promises belong to the index after the chosen one, so they end with it.
AcceptorState state_after(const Revision& chosen) {
  AcceptorState out;
  out.chosen = chosen;
  return out;
}

std::string contradiction(const Revision& chosen) {
  return "digest: another revision was agreed at index " + std::to_string(chosen.index);
}

}  // namespace

Step Acceptor::learn(const AcceptorState& state, const Revision& chosen) const {
  if (const auto fault = distribution::fault_of(chosen, fleet_)) return refused(state, *fault);
  if (chosen.index < state.chosen.index) return outdated(state);
  if (chosen.index == state.chosen.index && chosen.digest != state.chosen.digest)
    return refused(state, contradiction(state.chosen));
  Step out{state, {}};
  if (chosen.index > state.chosen.index) out.next = state_after(chosen);
  out.reply.kind = ReplyKind::promised;
  return out;
}

Step Acceptor::prepare(const AcceptorState& state, const Prepare& message) const {
  if (const auto fault = fault_of(message.ballot)) return refused(state, *fault);
  if (!message.fleet.empty() && message.fleet != fleet_)
    return refused(state, "fleet: is " + message.fleet + ", not " + fleet_);
  AcceptorState known = state;
  if (message.chosen) {
    const Step learnt = learn(state, *message.chosen);
    if (learnt.reply.kind == ReplyKind::refused) return learnt;
    known = learnt.next;
  }
  if (known.chosen.index > index_of(message.chosen)) return outdated(known);
  if (message.ballot < known.promised) return outbid(known);
  Step out{known, {}};
  out.next.promised = message.ballot;
  out.reply.kind = ReplyKind::promised;
  out.reply.promised = message.ballot;
  out.reply.accepted_ballot = known.accepted_ballot;
  out.reply.accepted = known.accepted;
  return out;
}

Step Acceptor::accept(const AcceptorState& state, const Accept& message) const {
  if (const auto fault = fault_of(message.ballot)) return refused(state, *fault);
  if (const auto fault = distribution::fault_of(message.revision, fleet_)) return refused(state, *fault);
  AcceptorState known = state;
  if (message.chosen) {
    const Step learnt = learn(state, *message.chosen);
    if (learnt.reply.kind == ReplyKind::refused) return learnt;
    known = learnt.next;
  }
  if (message.revision.index <= known.chosen.index) return outdated(known);
  if (message.revision.index > known.chosen.index + 1) return behind(known);
  if (message.ballot < known.promised) return outbid(known);
  const bool other = known.accepted && known.accepted->digest != message.revision.digest;
  if (message.ballot == known.accepted_ballot && other)
    return refused(state, "ballot: stands for another revision already");
  Step out{known, {}};
  out.next.promised = message.ballot;
  out.next.accepted_ballot = message.ballot;
  out.next.accepted = message.revision;
  out.reply.kind = ReplyKind::promised;
  out.reply.promised = message.ballot;
  out.reply.accepted_ballot = message.ballot;
  return out;
}

}  // namespace marbledyke::distribution
