// Agreement in the small: three shipped acceptors and two shipped proposers with a change each, over messages
// that are lost, repeated or overtaken, nodes that end between writing and telling, and proposers that end.
#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <optional>

#include "distribution/proposer.h"
#include "explore/worlds.h"

namespace marbledyke::explore {
namespace {

using namespace distribution;

constexpr std::size_t kNodes = 3;
constexpr std::size_t kProposers = 2;
constexpr std::size_t kMajority = kNodes / 2 + 1;
constexpr std::size_t kMostUnderWay = 9;  // messages at a time; the oldest is lost to a tenth
constexpr std::size_t kLearner = 1;       // is told what was agreed; the others only hear it of proposers
constexpr int kMostRetries = 2;           // rounds after the first ones, of both proposers together
constexpr const char* kFleet = "small";
constexpr std::array<const char*, kProposers> kAuthors{"ann", "bob"};

constexpr const char* kForgetsPromise = "an acceptor forgets its promise at a restart";
constexpr const char* kOlderDisk = "a node comes back with an older disk and votes";
constexpr const char* kIgnoresAccepted = "a proposer ignores what was accepted before";
constexpr const char* kToldUnwritten = "a node tells before it has written";
constexpr const char* kPromiseCounts = "a promise counts as an acceptance";
constexpr const char* kOneIdentity = "two proposers have one identity";

int faults_stated() {
  const char* const stated = std::getenv("MARBLEDYKE_FAULTS");
  return stated == nullptr ? 1 : std::atoi(stated);
}

struct UnderWay {
  std::size_t proposer = 0;
  Message message;
  bool given_up = false;  // its proposer was told that it failed
};

std::string text_of(const Ballot& ballot) { return std::to_string(ballot.round) + "/" + ballot.proposer; }

std::string text_of(const Message& message) {
  const auto* const prepare = std::get_if<Prepare>(&message.what);
  if (prepare != nullptr)
    return "prepare " + text_of(prepare->ballot) + " for " +
           std::to_string(prepare->chosen ? prepare->chosen->index + 1 : 1);
  const auto& accept = std::get<Accept>(message.what);
  return "accept " + text_of(accept.ballot) + " " + accept.revision.author + "'s for " +
         std::to_string(accept.revision.index);
}

std::string line_of(const AcceptorState& state) {
  return std::to_string(state.chosen.index) + state.chosen.author + text_of(state.promised) +
         text_of(state.accepted_ballot) + (state.accepted ? state.accepted->author : "");
}

class AgreementWorld final : public World {
 public:
  explicit AgreementWorld(std::string plant) : plant_(std::move(plant)), faults_(faults_stated()) {
    for (std::size_t who = 0; who < kProposers; ++who) {
      Proposer::Change change;
      change.fleet = kFleet;
      change.settings = "{}";
      change.author = kAuthors[who];
      if (who == 0) change.after = 0;  // the other one follows the newest, whatever that is
      const std::string identity = plant_ == kOneIdentity ? "both" : kAuthors[who];
      proposers_.emplace_back(kNodes, identity, change, std::nullopt);
    }
    for (std::size_t who = 0; who < kProposers; ++who) emit(who);
  }

  std::unique_ptr<World> copy() const override { return std::make_unique<AgreementWorld>(*this); }

  enum Choice {
    kArrives = 0,  // and so on, by its place
    kLost = kArrives + kMostUnderWay,
    kRepeated = kLost + kMostUnderWay,
    kLate = kRepeated + kMostUnderWay,
    kNodeEnds = kLate + kMostUnderWay,
    kProposerEnds = kNodeEnds + kMostUnderWay,
    kNextRound = kProposerEnds + kProposers,
    kLearns = kNextRound + kProposers,
    kRestarts = kLearns + kProposers,
    kEnd = kRestarts + kNodes
  };
  static_assert(kEnd <= kChoices);

  bool can(int choice) const override {
    const auto [first, place] = split(choice);
    if (first == kEnd) return false;
    if (first < kProposerEnds) {
      if (place >= under_way_.size()) return false;
      return first == kArrives || (faults_ > 0 && !under_way_[place].given_up);
    }
    if (first == kProposerEnds) return faults_ > 0 && !ended_[place] && !over(place);
    if (first == kNextRound)
      return !ended_[place] && proposers_[place].waits_for_round() && retries_ < kMostRetries;
    if (first == kRestarts) return faults_ > 0;
    const auto& result = proposers_[place].result();
    return over(place) && !ended_[place] && result && result->index > nodes_[kLearner].chosen.index;
  }

  std::string name(int choice) const override {
    const auto [first, place] = split(choice);
    if (first < kProposerEnds) {
      const UnderWay& one = under_way_[place];
      const std::string what = text_of(one.message) + " to node " + std::to_string(one.message.voter);
      if (first == kLost) return "is lost: " + what;
      if (first == kRepeated) return "arrives, and will once more: " + what;
      if (first == kLate) return "its proposer waits no longer for: " + what;
      if (first == kNodeEnds) return "the node ends over: " + what;
      return "arrives: " + what;
    }
    if (first == kProposerEnds) return std::string(kAuthors[place]) + " ends";
    if (first == kNextRound) return std::string(kAuthors[place]) + " begins another round";
    if (first == kRestarts) return "node " + std::to_string(place) + " restarts";
    return "node " + std::to_string(place % kNodes) + " learns what " + kAuthors[place / kNodes] +
           " was told";
  }

  void take(int choice) override {
    const auto [first, place] = split(choice);
    if (first == kProposerEnds) {
      --faults_;
      ended_[place] = true;
    } else if (first == kNextRound) {
      ++retries_;
      proposers_[place].begin_round();
      emit(place);
    } else if (first == kRestarts) {
      --faults_;
      restarts(place);
    } else if (first == kLearns) {
      write(kLearner, Acceptor(kFleet).learn(nodes_[kLearner], *proposers_[place].result()).next);
    } else {
      moves(first, place);
    }
    tidy();
    check();
  }

  std::string line() const override {
    std::string out = std::to_string(faults_) + std::to_string(retries_) + broken_;
    for (std::size_t who = 0; who < kProposers; ++who)
      out += "|" + proposers_[who].line() + (ended_[who] ? "x" : "");
    for (const AcceptorState& node : nodes_) out += "|" + line_of(node);
    for (const UnderWay& one : under_way_) out += "|" + key_of(one);
    for (const auto& [what, voters] : votes_) {
      out += "|" + what;
      for (const bool voted : voters) out += voted ? '1' : '0';
    }
    return out;
  }

  std::string broken() const override { return broken_; }

  // Nobody waits for what cannot come.
  bool may_end() const override {
    for (std::size_t who = 0; who < kProposers; ++who) {
      const bool out_of_rounds = proposers_[who].waits_for_round() && retries_ == kMostRetries;
      if (!ended_[who] && !over(who) && !out_of_rounds) return false;
    }
    return true;
  }

 private:
  struct Split {
    int first;
    std::size_t place;
  };
  static Split split(int choice) {
    for (const int first :
         {kRestarts, kLearns, kNextRound, kProposerEnds, kNodeEnds, kLate, kRepeated, kLost, kArrives}) {
      if (choice >= first && choice < kEnd) return {first, static_cast<std::size_t>(choice - first)};
    }
    return {kEnd, 0};
  }

  bool over(std::size_t who) const { return proposers_[who].outcome() != Outcome::under_way; }

  // With faults each reaches a majority of its own only: all of both would be millions of worlds.
  static bool reaches(std::size_t who, std::size_t voter) {
    return faults_stated() == 0 || voter != 2 - 2 * who;
  }

  void emit(std::size_t who) {
    while (const auto message = proposers_[who].next()) {
      if (reaches(who, message->voter)) {
        under_way_.push_back({who, *message, false});
      } else {
        proposers_[who].failed(message->voter);
      }
    }
    while (under_way_.size() > kMostUnderWay) under_way_.erase(under_way_.begin());
  }

  Step step_of(const UnderWay& one) const {
    const AcceptorState& node = nodes_[one.message.voter];
    const auto* const prepare = std::get_if<Prepare>(&one.message.what);
    if (prepare != nullptr) return Acceptor(kFleet).prepare(node, *prepare);
    return Acceptor(kFleet).accept(node, std::get<Accept>(one.message.what));
  }

  // What nobody waits for and what changes nothing any more need not arrive; the order on the way is none.
  void tidy() {
    std::erase_if(under_way_, [&](const UnderWay& one) {
      const bool heard = !over(one.proposer) && !ended_[one.proposer];
      return !heard && step_of(one).next == nodes_[one.message.voter];
    });
    std::stable_sort(under_way_.begin(), under_way_.end(),
                     [](const UnderWay& one, const UnderWay& other) { return key_of(one) < key_of(other); });
  }

  static std::string key_of(const UnderWay& one) {
    return std::to_string(one.proposer) + std::to_string(one.message.voter) + text_of(one.message) +
           (one.given_up ? " given up" : "");
  }

  void moves(int how, std::size_t place) {
    const UnderWay one = under_way_[place];
    if (how != kArrives) --faults_;
    if (how == kLate) {
      under_way_[place].given_up = true;
      return fails(one);
    }
    if (how != kRepeated) under_way_.erase(under_way_.begin() + static_cast<std::ptrdiff_t>(place));
    if (how == kLost) return fails(one);
    arrives(one, how == kNodeEnds);
  }

  void fails(const UnderWay& one) {
    if (ended_[one.proposer]) return;
    proposers_[one.proposer].failed(one.message.voter);
    emit(one.proposer);
  }

  void arrives(const UnderWay& one, bool node_ends) {
    const std::size_t node = one.message.voter;
    const Step step = step_of(one);
    if (node_ends && plant_ == kToldUnwritten) return tell(one, step.reply);
    write(node, step.next);
    if (!node_ends) return tell(one, step.reply);
    restarts(node);
    fails(one);
  }

  // With its state as it was written.
  void restarts(std::size_t node) {
    nodes_[node] = read_acceptor_state(put(nodes_[node]), kFleet);
    if (plant_ == kForgetsPromise) nodes_[node].promised = nodes_[node].accepted_ballot;
    if (plant_ == kOlderDisk) nodes_[node] = AcceptorState{};
  }

  void tell(const UnderWay& one, Reply reply) {
    if (ended_[one.proposer]) return;
    if (plant_ == kIgnoresAccepted && reply.accepted) {
      reply.accepted.reset();
      reply.accepted_ballot = {};
    }
    if (plant_ == kPromiseCounts && reply.kind == ReplyKind::promised && proposers_[one.proposer].proposes())
      reply.accepted_ballot = reply.promised;
    proposers_[one.proposer].replied(one.message.voter, reply);
    emit(one.proposer);
  }

  void write(std::size_t node, const AcceptorState& state) {
    if (state.chosen.index < nodes_[node].chosen.index) broken_ = "a node went back to an older revision";
    nodes_[node] = state;
    if (state.chosen.index > 0 && !is_agreed(state.chosen)) broken_ = "a node runs what was not agreed";
    if (!state.accepted) return;
    auto& voters = votes_[std::to_string(state.accepted->index) + " " + text_of(state.accepted_ballot) + " " +
                          state.accepted->author];
    voters[node] = true;
    if (static_cast<std::size_t>(std::count(voters.begin(), voters.end(), true)) < kMajority) return;
    const auto [at, fresh] = agreed_.try_emplace(state.accepted->index, *state.accepted);
    if (!(at->second == *state.accepted)) broken_ = "two revisions are agreed at one index";
  }

  bool is_agreed(const Revision& revision) const {
    const auto at = agreed_.find(revision.index);
    return at != agreed_.end() && at->second == revision;
  }

  // What a proposer was told holds for ever.
  void check() {
    if (!broken_.empty()) return;
    for (std::size_t who = 0; who < kProposers; ++who) {
      if (!over(who)) continue;
      const Outcome outcome = proposers_[who].outcome();
      const auto own = std::count_if(agreed_.begin(), agreed_.end(),
                                     [&](const auto& one) { return one.second.author == kAuthors[who]; });
      if (outcome == Outcome::agreed && own != 1) broken_ = "a proposer was told agreed, and it is not";
      if (outcome != Outcome::agreed && outcome != Outcome::unknown && own > 0)
        broken_ = "a proposer was told otherwise, and its change is agreed";
      const auto& result = proposers_[who].result();
      if (result && !is_agreed(*result)) broken_ = "a proposer was told of what is not agreed";
    }
  }

  std::string plant_, broken_;
  int faults_;
  std::vector<Proposer> proposers_;
  std::array<bool, kProposers> ended_{};
  int retries_ = 0;
  std::array<AcceptorState, kNodes> nodes_;
  std::vector<UnderWay> under_way_;
  std::map<std::string, std::array<bool, kNodes>> votes_;  // by index, ballot and author
  std::map<std::int64_t, Revision> agreed_;                // what a majority accepted under one ballot
};

}  // namespace

std::unique_ptr<World> first_world(const std::string& plant) {
  return std::make_unique<AgreementWorld>(plant);
}

std::vector<std::string> plants() {
  return {kForgetsPromise, kOlderDisk, kIgnoresAccepted, kToldUnwritten, kPromiseCounts, kOneIdentity};
}

}  // namespace marbledyke::explore
