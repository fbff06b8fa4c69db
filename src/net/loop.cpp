#include "net/loop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace marbledyke::net {
namespace {
constexpr int kMostRounds = 64;  // of what is ready; then timers have their turn all the same
}  // namespace

Loop::Loop(const TimeSource& clock)
    : clock_(clock), epoll_(epoll_create1(EPOLL_CLOEXEC)), start_(clock.steady()) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

void Loop::tell_long_turns(Duration limit, std::function<void(const Turn&)> told) {
  long_turn_ = limit;
  long_turn_told_ = std::move(told);
}

void Loop::end_turn() {
  const std::clock_t used = std::clock();
  const std::chrono::duration<double> processor(static_cast<double>(used - std::exchange(used_, used)) /
                                                CLOCKS_PER_SEC);
  if (!turn_began_) return;
  const Duration took = now_ - *turn_began_;
  longest_turn_ = std::max(longest_turn_, took);
  if (took > long_turn_) long_turn_told_({took, std::chrono::duration_cast<Duration>(processor)});
}

void Loop::read_clock() { now_ = clock_.steady() - start_; }

std::uint32_t Loop::watch(int fd, Watcher& watcher) {
  std::uint32_t place = static_cast<std::uint32_t>(places_.size());
  if (free_.empty()) {
    places_.emplace_back();
  } else {
    place = free_.back();
    free_.pop_back();
  }
  places_[place].watcher = &watcher;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = std::uint64_t{places_[place].generation} << 32 | place;
  if (epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0) {
    forget(-1, place);
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  return place;
}

void Loop::forget(int fd, std::uint32_t place) {
  if (fd >= 0) epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
  places_[place].watcher = nullptr;
  ++places_[place].generation;  // an event of this round that still names the place is for nobody
  free_.push_back(place);
}

Loop::Timer Loop::at(Duration when, std::function<void()> what) {
  const Timer timer{when, next_timer_++};
  timers_.emplace(timer, std::move(what));
  return timer;
}

// What is ready now, or within that many milliseconds; nothing where the wait is interrupted.
std::span<const epoll_event> Loop::wait(std::span<epoll_event> room, int patience) const {
  const int count = epoll_wait(epoll_.get(), room.data(), static_cast<int>(room.size()), patience);
  if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
  return room.first(static_cast<std::size_t>(std::max(count, 0)));
}

void Loop::tell(std::span<const epoll_event> events) {
  for (const epoll_event& event : events) {
    const Place& place = places_[event.data.u64 & 0xffffffff];
    if (place.watcher == nullptr || place.generation != event.data.u64 >> 32) continue;
    const bool broken = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
    place.watcher->ready(broken || (event.events & (EPOLLIN | EPOLLRDHUP)) != 0,
                         broken || (event.events & EPOLLOUT) != 0);
    const Place& after = places_[event.data.u64 & 0xffffffff];  // the places may have moved
    if ((broken || (event.events & EPOLLRDHUP) != 0) && after.watcher != nullptr &&
        after.generation == event.data.u64 >> 32)
      after.watcher->hung_up();
  }
}

void Loop::gather() {
  int patience = -1;
  read_clock();
  end_turn();
  const Duration waits_from = now_;
  if (!timers_.empty()) {
    const Duration left =
        clock_.machine_duration(std::max(timers_.begin()->first.first - now_, Duration::zero()));
    patience = static_cast<int>(std::min<std::int64_t>((left.count() + 999) / 1000, 60'000));
  }
  std::array<epoll_event, 256> room;  // not the loop's own: a turn may be taken within a turn
  auto events = wait(room, patience);
  read_clock();
  turn_began_ = timers_.empty() ? now_ : std::clamp(timers_.begin()->first.first, waits_from, now_);
  tell(events);
  // A process that was stopped comes back out of its wait with nothing, or with what was there before, while
  // its clock has gone on. So what has come in by now is read before any timer speaks: an answer that waits
  // to be read is not one that did not come.
  bool more = events.size() == room.size() || (!timers_.empty() && timers_.begin()->first.first <= now_);
  for (int round = 0; more && round < kMostRounds; ++round) {
    events = wait(room, 0);
    tell(events);
    more = events.size() == room.size();
  }
  // A timer set meanwhile waits for the next round, so that who always has more to do does not keep the rest.
  const std::uint64_t later = next_timer_;
  while (!timers_.empty() && timers_.begin()->first.first <= now_ && timers_.begin()->first.second < later) {
    const std::function<void()> what = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    what();
  }
}

}  // namespace marbledyke::net
