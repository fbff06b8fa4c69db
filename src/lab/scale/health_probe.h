// Asks a gatherer's /healthz over one kept connection, a fixed time after each answer, and keeps the waits:
// how long its loop lets others stand.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "net/address.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"

namespace marbledyke::lab::scale {

class HealthProbe {
 public:
  HealthProbe(net::Loop& loop, const net::Address& gatherer);
  ~HealthProbe();
  HealthProbe(const HealthProbe&) = delete;
  HealthProbe& operator=(const HealthProbe&) = delete;

  void forget() { longest_ = Duration::zero(); }  // the waits until now
  // The longest wait since forget(), that of a call which is out included.
  Duration longest() const;
  std::uint64_t answers() const { return answers_; }
  bool broken() const { return broken_; }

 private:
  void ask();
  void arrived();

  net::Loop& loop_;
  std::unique_ptr<net::Stream> stream_;
  net::HttpParser reader_;
  std::optional<net::Loop::Timer> next_;
  std::optional<Duration> asked_;
  Duration longest_{};
  std::uint64_t answers_ = 0;
  bool broken_ = false;
};

}  // namespace marbledyke::lab::scale
