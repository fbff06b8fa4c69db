// The way of a gatherer's events to its keeper: lines of JSON through a named pipe that the keeper made. It
// never holds up a turn and outlives the keeper: while nobody reads, lines are dropped and counted, and once
// somebody reads again, whole lines come again.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "net/descriptor.h"
#include "net/loop.h"

namespace marbledyke::events {

inline constexpr std::size_t kMaxPendingBytes = 256 * 1024;

class Pipe final : public net::Watcher {
 public:
  // Throws std::system_error where there is no such pipe, or nobody has it open for reading.
  Pipe(net::Loop& loop, const std::string& path);
  ~Pipe() override;
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  void write_line(std::string_view text);  // without its end
  std::uint64_t dropped() const { return dropped_; }

  void ready(bool readable, bool writable) override;

 private:
  void flush();

  net::Loop& loop_;
  net::Descriptor fd_;
  std::uint32_t place_ = 0;
  std::string pending_;
  std::uint64_t dropped_ = 0;
};

}  // namespace marbledyke::events
