#include "net/loop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace marbledyke::net {
namespace {
constexpr int kMaxRoundsPerTurn = 64;  // of events; timers run after these even if more events are ready
}  // namespace

Loop::Loop(const TimeSource& clock)
    : clock_(clock), epoll_(epoll_create1(EPOLL_CLOEXEC)), start_(clock.steady()) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

void Loop::report_long_turns(Duration limit, std::function<void(const Turn&)> on_long_turn) {
  long_turn_ = limit;
  on_long_turn_ = std::move(on_long_turn);
}

void Loop::end_turn() {
  const std::clock_t cpu_used = std::clock();
  const std::chrono::duration<double> cpu_time(
      static_cast<double>(cpu_used - std::exchange(cpu_used_, cpu_used)) / CLOCKS_PER_SEC);
  if (!turn_began_) return;
  const Duration duration = now_ - *turn_began_;
  longest_turn_ = std::max(longest_turn_, duration);
  if (duration > long_turn_) on_long_turn_({duration, std::chrono::duration_cast<Duration>(cpu_time)});
}

void Loop::read_clock() { now_ = clock_.steady() - start_; }

std::uint32_t Loop::watch(int fd, EventHandler& handler) {
  std::uint32_t id = static_cast<std::uint32_t>(watches_.size());
  if (free_.empty()) {
    watches_.emplace_back();
  } else {
    id = free_.back();
    free_.pop_back();
  }
  watches_[id].handler = &handler;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = std::uint64_t{watches_[id].generation} << 32 | id;
  if (epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0) {
    unwatch(-1, id);
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  return id;
}

void Loop::unwatch(int fd, std::uint32_t id) {
  if (fd >= 0) epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
  watches_[id].handler = nullptr;
  ++watches_[id].generation;  // events of this turn that still carry the id are ignored
  free_.push_back(id);
}

Loop::Timer Loop::call_at(Duration when, std::function<void()> callback) {
  const Timer timer{when, next_timer_++};
  timers_.emplace(timer, std::move(callback));
  return timer;
}

// Returns the events that are ready or become ready within the timeout; none where the wait is interrupted.
std::span<const epoll_event> Loop::wait(std::span<epoll_event> buffer, int timeout_ms) const {
  const int count = epoll_wait(epoll_.get(), buffer.data(), static_cast<int>(buffer.size()), timeout_ms);
  if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
  return buffer.first(static_cast<std::size_t>(std::max(count, 0)));
}

void Loop::deliver(std::span<const epoll_event> events) {
  for (const epoll_event& event : events) {
    const Watch& watch = watches_[event.data.u64 & 0xffffffff];
    if (watch.handler == nullptr || watch.generation != event.data.u64 >> 32) continue;
    const bool failed = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
    watch.handler->on_ready(failed || (event.events & (EPOLLIN | EPOLLRDHUP)) != 0,
                            failed || (event.events & EPOLLOUT) != 0);
    const Watch& after =
        watches_[event.data.u64 & 0xffffffff];  // the handler may have reallocated the vector
    if ((failed || (event.events & EPOLLRDHUP) != 0) && after.handler != nullptr &&
        after.generation == event.data.u64 >> 32)
      after.handler->on_hang_up();
  }
}

void Loop::run_once() {
  int timeout_ms = -1;
  read_clock();
  end_turn();
  const Duration wait_began = now_;
  if (!timers_.empty()) {
    const Duration left =
        clock_.machine_duration(std::max(timers_.begin()->first.first - now_, Duration::zero()));
    timeout_ms = static_cast<int>(std::min<std::int64_t>((left.count() + 999) / 1000, 60'000));
  }
  std::array<epoll_event, 256> buffer;  // not a member: a handler may run a nested turn
  auto events = wait(buffer, timeout_ms);
  read_clock();
  turn_began_ = timers_.empty() ? now_ : std::clamp(timers_.begin()->first.first, wait_began, now_);
  deliver(events);
  // A process that was stopped returns from its wait with no events, or with those from before the stop,
  // while its clock has gone on. All events that are ready by now are therefore delivered before any timer
  // runs: a response that waits to be read must not count as missing.
  bool more = events.size() == buffer.size() || (!timers_.empty() && timers_.begin()->first.first <= now_);
  for (int round = 0; more && round < kMaxRoundsPerTurn; ++round) {
    events = wait(buffer, 0);
    deliver(events);
    more = events.size() == buffer.size();
  }
  // Timers that are set meanwhile run in the next turn, so that a callback which always sets another one
  // cannot starve the other events.
  const std::uint64_t first_of_next_turn = next_timer_;
  while (!timers_.empty() && timers_.begin()->first.first <= now_ &&
         timers_.begin()->first.second < first_of_next_turn) {
    const std::function<void()> callback = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    callback();
  }
}

}  // namespace marbledyke::net
