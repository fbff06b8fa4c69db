// The event loop: epoll, edge-triggered, with timers. Watchers are told what is ready; who wants a turn of
// its own after that sets it from outside.
#pragma once

#include <sys/epoll.h>

#include <cstdint>
#include <ctime>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "model/clock.h"
#include "model/types.h"
#include "net/descriptor.h"

namespace marbledyke::net {

class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void ready(bool readable, bool writable) = 0;
  virtual void hung_up() {}  // after ready(): the peer has ended its side, whether or not that was read
};

class Loop {
 public:
  using Timer = std::pair<Duration, std::uint64_t>;

  explicit Loop(const TimeSource& clock = system_time_source());

  const TimeSource& clock() const { return clock_; }

  // The clock of the present turn, read once in each; since the loop was made.
  Duration now() const { return now_; }
  void read_clock();

  // A watch ends with forget(), which is safe while events of the same round are being told.
  std::uint32_t watch(int fd, Watcher& watcher);
  void forget(int fd, std::uint32_t place);

  Timer at(Duration when, std::function<void()> what);
  void cancel(const Timer& timer) { timers_.erase(timer); }

  // From when it was due, the time of a timer or the end of the wait, to the next wait.
  struct Turn {
    Duration took{};
    Duration processor{};  // what the process used of it; much less than `took`: others had the machine
  };
  // Whoever is given here is told at its end of each turn that took longer.
  void tell_long_turns(Duration limit, std::function<void(const Turn&)> told);
  Duration take_longest_turn() {
    return std::exchange(longest_turn_, Duration::zero());
  }  // since the last time

  // Waits for what is ready, until the next timer at the latest, and tells it.
  void gather();

 private:
  struct Place {
    Watcher* watcher = nullptr;
    std::uint32_t generation = 0;
  };

  std::span<const epoll_event> wait(std::span<epoll_event> room, int patience) const;
  void tell(std::span<const epoll_event> events);
  void end_turn();

  const TimeSource& clock_;
  Descriptor epoll_;
  Duration start_;
  Duration now_{};
  std::vector<Place> places_;
  std::vector<std::uint32_t> free_;
  std::map<Timer, std::function<void()>> timers_;
  std::uint64_t next_timer_ = 0;
  std::optional<Duration> turn_began_;  // none before the first
  Duration longest_turn_{}, long_turn_ = Duration::max();
  std::clock_t used_ = std::clock();  // of the processor, until the present turn
  std::function<void(const Turn&)> long_turn_told_;
};

}  // namespace marbledyke::net
