// Signals as events of the loop, by signalfd. They have to be blocked in the process beforehand.
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

class Signals final : public EventHandler {
 public:
  // `told` is called once for each signal that came. Throws std::system_error.
  Signals(Loop& loop, const sigset_t& which, std::function<void()> told)
      : fd_(signalfd(-1, &which, SFD_NONBLOCK | SFD_CLOEXEC)), callbacks_(std::move(told)) {
    if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
    loop.watch(fd_.get(), *this);
  }
  void on_ready(bool, bool) override {
    signalfd_siginfo info{};
    while (read(fd_.get(), &info, sizeof info) == sizeof info) callbacks_();
  }

 private:
  Descriptor fd_;
  std::function<void()> callbacks_;
};

}  // namespace marbledyke::net
