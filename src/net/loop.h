// The event loop: edge-triggered epoll with timers. Handlers are told of readiness; the loop itself does no
// I/O on the descriptors that it watches.
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

// Receives the events of one descriptor.
class EventHandler {
 public:
  virtual ~EventHandler() = default;
  virtual void on_ready(bool readable, bool writable) = 0;
  // Called after on_ready() where the peer has closed its side, whether or not the end was read.
  virtual void on_hang_up() {}
};

class Loop {
 public:
  using Timer = std::pair<Duration, std::uint64_t>;  // due time and sequence number

  explicit Loop(const TimeSource& clock = system_time_source());

  const TimeSource& clock() const { return clock_; }

  // The time of the present turn since the loop was made. The clock is read once in each turn, and by
  // read_clock().
  Duration now() const { return now_; }
  void read_clock();

  // Watches a descriptor until unwatch() with the returned id. The handler has to live until then. unwatch()
  // is safe while events of the same turn are being delivered.
  std::uint32_t watch(int fd, EventHandler& handler);
  void unwatch(int fd, std::uint32_t id);

  // Calls a function once, in the first turn at or after a time.
  Timer call_at(Duration when, std::function<void()> callback);
  void cancel(const Timer& timer) { timers_.erase(timer); }

  // A turn lasts from the time at which its events or its first timer were due to the next wait.
  struct Turn {
    Duration duration{};
    Duration cpu_time{};  // used by the process; much less than `duration` where other processes held the CPU
  };
  // Calls on_long_turn at the end of each turn that exceeds the limit.
  void report_long_turns(Duration limit, std::function<void(const Turn&)> on_long_turn);
  // Returns the longest turn since the previous call.
  Duration take_longest_turn() { return std::exchange(longest_turn_, Duration::zero()); }

  // Runs one turn: waits for events, until the next timer at the latest, and delivers them and the timers
  // due.
  void run_once();

 private:
  struct Watch {
    EventHandler* handler = nullptr;
    std::uint32_t generation = 0;  // tells this use of the slot from former ones
  };

  std::span<const epoll_event> wait(std::span<epoll_event> buffer, int timeout_ms) const;
  void deliver(std::span<const epoll_event> events);
  void end_turn();

  const TimeSource& clock_;
  Descriptor epoll_;
  Duration start_;
  Duration now_{};
  std::vector<Watch> watches_;  // by id
  std::vector<std::uint32_t> free_;
  std::map<Timer, std::function<void()>> timers_;
  std::uint64_t next_timer_ = 0;
  std::optional<Duration> turn_began_;  // none before the first turn
  Duration longest_turn_{}, long_turn_ = Duration::max();
  std::clock_t cpu_used_ = std::clock();  // by the process, up to the present turn
  std::function<void(const Turn&)> on_long_turn_;
};

}  // namespace marbledyke::net
