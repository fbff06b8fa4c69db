// Sends a gatherer's events to its keeper, as lines of JSON through a named pipe that the keeper created.
// Writing never blocks the event loop, and the pipe survives a restart of the keeper: while there is no
// reader, lines are dropped and counted; a new reader receives complete lines again.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "net/descriptor.h"
#include "net/loop.h"

namespace marbledyke::events {

inline constexpr std::size_t kMaxPendingBytes = 256 * 1024;

class Pipe final : public net::EventHandler {
 public:
  // Throws std::system_error if `path` is not a named pipe or nobody has it open for reading. The loop must
  // outlive this object.
  Pipe(net::Loop& loop, const std::string& path);
  ~Pipe() override;
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  // Queues a line, given without its line end. Drops it if more than kMaxPendingBytes would be pending.
  void write_line(std::string_view text);
  // Returns the number of lines dropped so far.
  std::uint64_t dropped() const { return dropped_; }

  void on_ready(bool readable, bool writable) override;

 private:
  void flush();

  net::Loop& loop_;
  net::Descriptor fd_;
  std::uint32_t watch_id_ = 0;
  std::string pending_;
  std::uint64_t dropped_ = 0;
};

}  // namespace marbledyke::events
