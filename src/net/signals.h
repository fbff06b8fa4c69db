// Signals as events of the loop, by signalfd.
#pragma once

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <system_error>
#include <utility>

#include "net/descriptor.h"
#include "net/loop.h"

namespace marbledyke::net {

// Delivers a set of signals. The caller has to block them in the process beforehand.
class Signals final : public EventHandler {
 public:
  // Calls on_signal once for each signal received. Throws std::system_error.
  Signals(Loop& loop, const sigset_t& signals, std::function<void()> on_signal)
      : fd_(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC)), on_signal_(std::move(on_signal)) {
    if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
    loop.watch(fd_.get(), *this);
  }
  void on_ready(bool, bool) override {
    signalfd_siginfo info{};
    while (read(fd_.get(), &info, sizeof info) == sizeof info) on_signal_();
  }

 private:
  Descriptor fd_;
  std::function<void()> on_signal_;
};

}  // namespace marbledyke::net
