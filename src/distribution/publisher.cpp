#include "distribution/publisher.h"

#include <algorithm>

namespace marbledyke::distribution {
namespace {

constexpr Duration kForgetEvery{1'000'000};  // going through all receivers costs by their number
constexpr std::size_t kMostRefusing = 64;

}  // namespace

void Publisher::tick(Duration now) {
  now_ = std::max(now_, now);
  if (now_ - forgot_ >= kForgetEvery) forget();
  while (!agenda_.empty() && agenda_.begin()->first <= now_) {
    const Caller caller = agenda_.begin()->second;
    consider(caller, waiting_.at(caller));
  }
}

void Publisher::forget() {
  forgot_ = now_;
  std::erase_if(receivers_, [this](const auto& one) { return now_ - one.second.heard > kReceiverForgotten; });
  look_whether_everywhere();
}

void Publisher::chosen(const Revision& revision) {
  if (newest_ && revision.index <= newest_->index) return;
  if (revision.share >= 1) {
    for_all_.reset();
  } else if (newest_ && newest_->share >= 1) {
    for_all_ = std::move(newest_);
  }
  newest_ = revision;
  learned_ = now_;
  everywhere_after_.reset();
  std::vector<Caller> callers;
  callers.reserve(waiting_.size());
  for (const auto& [caller, waiting] : waiting_) callers.push_back(caller);
  for (const Caller caller : callers) consider(caller, waiting_.at(caller));
  look_whether_everywhere();
}

bool Publisher::called(Caller caller, const WatchCall& call) {
  if (call.role == CallerRole::receiver) {
    if (receivers_.size() >= kMostReceivers && !receivers_.contains(call.receiver)) forget();
    if (receivers_.size() >= kMostReceivers && !receivers_.contains(call.receiver)) return false;
    heard(call);
  }
  left(caller);
  const Duration until = now_ + std::clamp(call.wait, Duration::zero(), kLongestWait);
  const auto at = waiting_.emplace(caller, Waiting{call, until, until}).first;
  agenda_.emplace(until, caller);
  consider(caller, at->second);
  return true;
}

void Publisher::heard(const WatchCall& call) {
  calls_ += 1;
  const auto [at, is_new] = receivers_.try_emplace(call.receiver);
  ReceiverState& state = at->second;
  if (is_new) state.given = now_ - kRevisionSpacing;
  if (is_new || state.index != call.index) state.in_force = now_;
  state.zone = call.zone;
  state.index = call.index;
  state.refused = call.refused;
  state.refused_why = call.refused_why;
  state.heard = now_;
  look_whether_everywhere();
}

void Publisher::left(Caller caller) {
  const auto at = waiting_.find(caller);
  if (at == waiting_.end()) return;
  agenda_.erase({at->second.look, caller});
  waiting_.erase(at);
}

// What that caller is to be given; none where it has nothing to learn.
const Revision* Publisher::revision_for(const WatchCall& call) const {
  if (!newest_) return nullptr;
  const bool meant = call.role == CallerRole::node || meant_for(newest_->share, call.receiver);
  const Revision* const revision = meant ? &*newest_ : for_all_ ? &*for_all_ : nullptr;
  if (revision == nullptr || revision->index <= std::max(call.index, call.refused)) return nullptr;
  return revision;
}

// From when on the caller may be given a revision.
Duration Publisher::free_from(const WatchCall& call) const {
  if (call.role == CallerRole::node) return now_;
  const auto at = receivers_.find(call.receiver);
  return at == receivers_.end() ? now_ : at->second.given + kRevisionSpacing;
}

// Answers the call, or sets when it is looked at next.
void Publisher::consider(Caller caller, Waiting& waiting) {
  const Revision* const revision = revision_for(waiting.call);
  const Duration free = revision != nullptr ? free_from(waiting.call) : waiting.until;
  if (revision != nullptr && free <= now_) return answer(caller, waiting, revision);
  if (waiting.until <= now_) return answer(caller, waiting, nullptr);
  agenda_.erase({waiting.look, caller});
  waiting.look = std::min(free, waiting.until);
  agenda_.emplace(waiting.look, caller);
}

void Publisher::answer(Caller caller, const Waiting& waiting, const Revision* revision) {
  Due due{caller, {newest(), std::nullopt}};
  if (revision != nullptr) {
    due.answer.revision = *revision;
    revisions_given_ += 1;
    bytes_given_ += revision->settings.size();
    const auto at = receivers_.find(waiting.call.receiver);
    if (waiting.call.role == CallerRole::receiver && at != receivers_.end()) at->second.given = now_;
  }
  left(caller);
  due_.push_back(std::move(due));
}

std::optional<Publisher::Due> Publisher::next() {
  if (due_.empty()) return std::nullopt;
  Due out = std::move(due_.front());
  due_.pop_front();
  return out;
}

std::optional<Duration> Publisher::wakes() const {
  if (agenda_.empty()) return std::nullopt;
  return agenda_.begin()->first;
}

void Publisher::look_whether_everywhere() {
  if (!newest_ || everywhere_after_) return;
  bool anyone = false;
  for (const auto& [name, state] : receivers_) {
    if (now_ - state.heard > kReceiverAbsent || !meant_for(newest_->share, name)) continue;
    if (state.index < newest_->index) return;
    anyone = true;
  }
  if (anyone) everywhere_after_ = now_ - learned_;
}

Summary Publisher::summary() const {
  Summary out;
  if (newest_) {
    out.newest = newest_->index;
    out.digest = newest_->digest;
  }
  for (const auto& [name, state] : receivers_) {
    out.receivers_by_index[state.index] += 1;
    const bool refuses = out.newest > 0 && state.refused == out.newest;
    if (refuses && out.refusing.size() < kMostRefusing) out.refusing.emplace_back(name, state);
  }
  out.everywhere_after = everywhere_after_;
  out.calls = calls_;
  out.revisions_given = revisions_given_;
  out.bytes_given = bytes_given_;
  return out;
}

}  // namespace marbledyke::distribution
