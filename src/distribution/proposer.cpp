#include "distribution/proposer.h"

#include <algorithm>
#include <array>
#include <utility>

#include "config/fields.h"

namespace marbledyke::distribution {
namespace {

using namespace std::chrono_literals;

constexpr Duration kFirstBackoff =
    20ms;                          // some round trips between two regions, so that the other one gets through
constexpr int kMostDoublings = 5;  // of it
constexpr std::array<const char*, kOutcomes> kOutcomeNames{"under_way", "agreed",      "conflict",
                                                           "refused",   "no_majority", "unknown"};

Revision revision_of(const Proposer::Change& change, std::int64_t index) {
  Revision out;
  out.index = index;
  out.fleet = change.fleet;
  out.settings = change.settings;
  out.share = change.share;
  out.author = change.author;
  out.made_ms = change.made_ms;
  out.digest = digest_of(out);
  return out;
}

}  // namespace

const char* name_of(Outcome outcome) { return kOutcomeNames[static_cast<std::size_t>(outcome)]; }

Proposer::Proposer(std::size_t voters, std::string identity, std::optional<Change> change,
                   std::optional<Revision> chosen)
    : voters_(voters, Standing::lost), change_(std::move(change)), chosen_(std::move(chosen)) {
  ballot_.proposer = std::move(identity);
  if (change_) fleet_ = change_->fleet;
  if (!change_ && chosen_) fleet_ = chosen_->fleet;
  check_change();
  if (phase_ != Phase::over) start_round();
}

void Proposer::check_change() {
  if (ballot_.proposer.empty() || ballot_.proposer.size() > kLongestName)
    return finish(Outcome::refused, "identity: empty or too long");
  if (chosen_) {
    if (const auto fault = fault_of(*chosen_, fleet_)) return finish(Outcome::refused, *fault);
  }
  if (!change_) return;
  try {
    change_->settings = canonical_settings(change_->settings);
  } catch (const config::BadInput& fault) {
    return finish(Outcome::refused, fault.what());
  }
  if (const auto fault = fault_of(revision_of(*change_, target()), fleet_))
    return finish(Outcome::refused, *fault);
  if (change_->after && *change_->after < target() - 1)
    finish(Outcome::conflict, "after: a newer revision is in force");
}

std::optional<Message> Proposer::next() {
  if (messages_.empty()) return std::nullopt;
  Message out = std::move(messages_.front());
  messages_.pop_front();
  return out;
}

Duration Proposer::backoff(double jitter) const {
  if (phase_ != Phase::waiting) return Duration::zero();
  const Duration longest = kFirstBackoff * (1 << std::min(rounds_ - 1, kMostDoublings));
  return std::chrono::duration_cast<Duration>(longest * (0.5 + std::clamp(jitter, 0.0, 1.0)));
}

void Proposer::begin_round() {
  if (phase_ == Phase::waiting) start_round();
}

void Proposer::start_round() {
  if (rounds_ == kMostRounds || highest_round_ >= kHighestRound)
    return finish(own_ ? Outcome::unknown : Outcome::no_majority, "too many rounds");
  ++rounds_;
  ballot_.round = ++highest_round_;
  phase_ = Phase::preparing;
  outbid_ = refused_ = false;
  accepted_ballot_ = {};
  accepted_.reset();
  value_.reset();
  messages_.clear();
  for (std::size_t voter = 0; voter < voters_.size(); ++voter) {
    voters_[voter] = Standing::prepare_sent;
    messages_.push_back({voter, Prepare{ballot_, fleet_, chosen_}});
  }
  judge_round();
}

void Proposer::replied(std::size_t voter, const Reply& reply) {
  if (phase_ == Phase::over || voter >= voters_.size()) return;
  switch (reply.kind) {
    case ReplyKind::promised:
      if (reply.promised != ballot_) return;  // of a former round
      if (reply.accepted_ballot == ballot_) return take_acceptance(voter);
      return take_promise(voter, reply);
    case ReplyKind::outbid:
      if (reply.promised <= ballot_) return;  // of a former round
      highest_round_ = std::max(highest_round_, reply.promised.round);
      outbid_ = true;
      return lose(voter, "outbid by " + reply.promised.proposer);
    case ReplyKind::outdated:
      return take_outdated(voter, reply);
    case ReplyKind::behind:
      return lose(voter, "behind");
    case ReplyKind::refused:
      return lose(voter, reply.why, true);
  }
}

void Proposer::failed(std::size_t voter) {
  if (phase_ == Phase::over || voter >= voters_.size()) return;
  lose(voter, "no answer");
}

void Proposer::take_promise(std::size_t voter, const Reply& reply) {
  const Standing standing = voters_[voter];
  if (standing != Standing::prepare_sent && standing != Standing::lost) return;  // told already
  if (reply.accepted_ballot.round > 0 && !value_) {
    if (!reply.accepted || reply.accepted->index != target())
      return lose(voter, "a promise without what was accepted");
    if (const auto fault = fault_of(*reply.accepted, fleet_)) return lose(voter, *fault);
    if (accepted_ballot_ < reply.accepted_ballot) {
      accepted_ballot_ = reply.accepted_ballot;
      accepted_ = reply.accepted;
    }
  }
  voters_[voter] = Standing::promised;
  if (value_) return send_accept(voter);
  if (count(Standing::promised) >= majority()) return choose_value();
  judge_round();
}

void Proposer::take_acceptance(std::size_t voter) {
  if (!value_) return lose(voter, "accepted what was not proposed");
  voters_[voter] = Standing::accepted;
  if (count(Standing::accepted) < majority()) return;
  if (!change_) {
    chosen_ = value_;
    return finish(Outcome::agreed, "");
  }
  learn(Revision(*value_));
}

void Proposer::take_outdated(std::size_t voter, const Reply& reply) {
  if (!reply.chosen) return lose(voter, "outdated without the newer revision");
  if (const auto fault = fault_of(*reply.chosen, fleet_)) return lose(voter, *fault);
  if (reply.chosen->index < target()) return;  // of a former round
  learn(*reply.chosen);
}

void Proposer::lose(std::size_t voter, const std::string& why, bool refusal) {
  if (voters_[voter] == Standing::accepted) return;  // of an earlier message; it has accepted since
  voters_[voter] = Standing::lost;
  refused_ = refused_ || refusal;
  if (refusal || !refused_) why_ = "voter " + std::to_string(voter) + ": " + why;
  judge_round();
}

void Proposer::choose_value() {
  if (accepted_) return propose(*accepted_);
  if (!change_) return finish(Outcome::agreed, "");
  if (change_->after && *change_->after >= target())
    return finish(Outcome::refused,
                  "after: there is no revision " + std::to_string(*change_->after) + " yet");
  if (!own_) own_ = revision_of(*change_, target());
  propose(*own_);
}

void Proposer::propose(const Revision& value) {
  value_ = value;
  phase_ = Phase::accepting;
  for (std::size_t voter = 0; voter < voters_.size(); ++voter) {
    if (voters_[voter] == Standing::promised) send_accept(voter);
  }
}

// Only to voters that promised: these know the revision before it, so that it need not be sent along.
void Proposer::send_accept(std::size_t voter) {
  voters_[voter] = Standing::accept_sent;
  messages_.push_back({voter, Accept{ballot_, *value_, std::nullopt}});
}

// Something newer is agreed: what this proposer was after, another change, or the one to be followed.
void Proposer::learn(const Revision& newer) {
  chosen_ = newer;
  fleet_ = newer.fleet;
  if (own_ && newer.index == own_->index) {
    const bool same = newer.digest == own_->digest;
    return finish(same ? Outcome::agreed : Outcome::conflict, same ? "" : "another change took the index");
  }
  if (own_) return finish(Outcome::unknown, "a later revision is in force");
  if (change_ && change_->after && *change_->after < newer.index)
    return finish(Outcome::conflict, "another change took the index");
  start_round();
}

// Ends the round where the voters that may still answer are too few.
void Proposer::judge_round() {
  if (phase_ == Phase::waiting) return;
  std::size_t hopeful = count(Standing::prepare_sent) + count(Standing::promised);
  if (phase_ == Phase::accepting) hopeful += count(Standing::accept_sent) + count(Standing::accepted);
  if (hopeful >= majority()) return;
  if (refused_ && !own_) return finish(Outcome::refused, why_);
  if (!outbid_) ++silent_rounds_;
  if (silent_rounds_ == kMostSilentRounds || rounds_ == kMostRounds)
    return finish(own_ ? Outcome::unknown : Outcome::no_majority, why_);
  phase_ = Phase::waiting;
}

std::size_t Proposer::count(Standing standing) const {
  return static_cast<std::size_t>(std::count(voters_.begin(), voters_.end(), standing));
}

void Proposer::finish(Outcome outcome, std::string why) {
  outcome_ = outcome;
  phase_ = Phase::over;
  why_ = std::move(why);
  messages_.clear();
}

std::string Proposer::line() const {
  const auto text = [](const std::optional<Revision>& one) { return one ? one->digest : std::string("-"); };
  const auto ballot = [](const Ballot& one) { return std::to_string(one.round) + one.proposer; };
  std::string out = std::to_string(static_cast<int>(phase_)) + std::to_string(static_cast<int>(outcome_));
  for (const Standing standing : voters_) out += std::to_string(static_cast<int>(standing));
  out += ' ' + ballot(ballot_) + ' ' + std::to_string(highest_round_) + ' ' + std::to_string(rounds_) + ' ' +
         std::to_string(silent_rounds_) + (outbid_ ? "o" : "") + (refused_ ? "r" : "") + ' ' +
         ballot(accepted_ballot_) + text(accepted_) + text(value_) + text(own_) + text(chosen_);
  for (const Message& one : messages_)
    out += ' ' + std::to_string(one.voter) + std::to_string(one.what.index());
  return out;
}

}  // namespace marbledyke::distribution
