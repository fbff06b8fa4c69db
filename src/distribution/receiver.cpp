#include "distribution/receiver.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace marbledyke::distribution {
namespace {

// Which events can come in which phase; columns as in ReceiverEvent.
constexpr std::array<std::array<bool, 6>, 3> kPossible{{
    // rested answered failed silent applied refused
    {true, false, false, false, false, false},  // resting
    {false, true, true, true, false, false},    // calling
    {false, false, false, false, true, true},   // applying
}};

}  // namespace

const char* name_of(ReceiverPhase phase) {
  static constexpr std::array<const char*, 3> kNames{"resting", "calling", "applying"};
  return kNames.at(static_cast<std::size_t>(phase));
}

Receiver::Receiver(Identity identity, std::size_t nodes, std::size_t preferred, std::optional<Revision> held,
                   std::uint32_t seed)
    : identity_(std::move(identity)), chance_(seed), order_(nodes), held_(std::move(held)) {
  std::iota(order_.begin(), order_.end(), std::size_t{0});
  const auto foreign = order_.begin() + static_cast<std::ptrdiff_t>(std::min(preferred, nodes));
  std::shuffle(order_.begin(), foreign, chance_);
  std::shuffle(foreign, order_.end(), chance_);
}

bool Receiver::takes(ReceiverEvent event) {
  if (kPossible.at(static_cast<std::size_t>(phase_)).at(static_cast<std::size_t>(event))) return true;
  impossible_ += 1;
  return false;
}

Duration Receiver::jittered(Duration least, Duration most) {
  return Duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(chance_));
}

std::optional<ReceiverAct> Receiver::next() {
  if (acts_.empty()) return std::nullopt;
  ReceiverAct out = std::move(acts_.front());
  acts_.pop_front();
  return out;
}

void Receiver::start() {
  if (!order_.empty()) rest(jittered(Duration::zero(), kStartSpread));
}

void Receiver::rest(Duration wait) {
  phase_ = ReceiverPhase::resting;
  if (place_ != 0) away_ += wait;
  acts_.push_back({ReceiverAct::Rest{wait}});
}

// The wait is jittered downwards, since a revision ends the waits of all at one moment.
void Receiver::call() {
  if (!probing_ && return_is_due()) begin_return();
  phase_ = ReceiverPhase::calling;
  tally_.calls += 1;
  WatchCall out;
  out.role = identity_.role;
  out.receiver = identity_.name;
  out.zone = identity_.zone;
  out.index = held_ ? held_->index : 0;
  out.digest = held_ ? held_->digest : "";
  out.refused = refused_;
  out.refused_why = refused_why_;
  out.wait = probing_ ? Duration::zero() : jittered(kCallWait * 4 / 5, kCallWait);
  if (place_ != 0) away_ += out.wait;
  const Duration patience = out.wait + kCallPatience;
  acts_.push_back({ReceiverAct::Call{node(), std::move(out), patience}});
}

void Receiver::rested() {
  if (takes(ReceiverEvent::rested)) call();
}

void Receiver::answered(const WatchAnswer& answer) {
  if (!takes(ReceiverEvent::answered)) return;
  if (!answer.revision) return nothing_new(answer);
  if (answer.revision->fleet != identity_.fleet)
    return node_failed("a revision of another fleet: " + answer.revision->fleet.substr(0, kMostName));
  if (answer.revision->digest != digest_of(*answer.revision))
    return damaged("a revision whose digest does not match");
  offered(*answer.revision);
}

void Receiver::offered(const Revision& revision) {
  const std::int64_t held = held_ ? held_->index : 0;
  if (revision.index < held) {
    tally_.older += 1;
    return node_failed("an older revision than the one held");
  }
  if (revision.index == held) return node_failed("the revision held, offered again");
  if (revision.index <= refused_) return node_failed("a refused revision, offered again");
  failures_in_a_row_ = 0;
  node_behind_ = false;
  call_after_probe();
  phase_ = ReceiverPhase::applying;
  offered_ = revision;
  acts_.push_back({ReceiverAct::Apply{revision}});
}

void Receiver::nothing_new(const WatchAnswer& answer) {
  const bool behind = held_ && answer.newest < held_->index;
  const bool still_behind = behind && node_behind_ && !probing_;
  if (still_behind) return node_failed("the node stays behind");
  node_behind_ = behind;
  failures_in_a_row_ = 0;
  const bool probed = probing_;
  call_after_probe();
  if (probed) return call();
  rest(jittered(kPause, 2 * kPause));
}

// The node is there: it is watched from now on. Where it was a return, that has succeeded.
void Receiver::call_after_probe() {
  probing_ = false;
  came_from_.reset();
  if (place_ != 0) return;
  returns_ = 0;
  return_wait_ = kFirstReturn;
}

void Receiver::failed(const std::string& why) {
  if (takes(ReceiverEvent::failed)) node_failed(why);
}

void Receiver::damaged(const std::string& why) {
  if (!takes(ReceiverEvent::failed)) return;
  tally_.wrong_digest += 1;
  node_failed(why);
}

void Receiver::silent() {
  if (takes(ReceiverEvent::silent)) node_failed("no answer in time");
}

void Receiver::node_failed(const std::string& why) {
  tally_.failures += 1;
  last_failure_ = why;
  node_behind_ = false;
  if (came_from_) {
    returns_ += 1;
    return_wait_ = std::min(return_wait_ * 2, kLongestReturn);
    move_to(*came_from_);
    came_from_.reset();
  } else {
    move_to((place_ + 1) % order_.size());
  }
  probing_ = true;
  const Duration most = std::min(2 * kFirstRetry * (1 << std::min(failures_in_a_row_, 8)), kLongestRetry);
  failures_in_a_row_ += 1;
  rest(jittered(Duration::zero(), most));
}

void Receiver::move_to(std::size_t place) {
  if (place != place_) tally_.node_changes += 1;
  place_ = place;
  plan_return();
}

void Receiver::plan_return() {
  away_ = Duration::zero();
  return_after_ = jittered(return_wait_ / 2, return_wait_ * 3 / 2);
}

bool Receiver::return_is_due() const { return place_ != 0 && away_ >= return_after_; }

// Tries the nodes that it prefers to the present one by turns.
void Receiver::begin_return() {
  const std::size_t from = place_;
  move_to(returns_ % from);
  came_from_ = from;
  probing_ = true;
}

void Receiver::applied() {
  if (!takes(ReceiverEvent::applied)) return;
  tally_.applied += 1;
  held_ = std::move(offered_);
  offered_.reset();
  call();
}

void Receiver::refused(const std::string& why) {
  if (!takes(ReceiverEvent::refused)) return;
  tally_.refused += 1;
  refused_ = offered_->index;
  refused_why_ = why.substr(0, kMostRefusedWhy);
  offered_.reset();
  call();
}

}  // namespace marbledyke::distribution
