// The real gatherer: reads what it is told, serves until SIGTERM, finishes what it has taken.
#include <signal.h>
#include <sys/signalfd.h>

#include <cerrno>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <system_error>

#include "gatherer/gatherer.h"
#include "net/log.h"

namespace {

using namespace std::chrono_literals;

class Signals final : public marbledyke::net::Watcher {
 public:
  Signals(marbledyke::net::Loop& loop, const sigset_t& which, std::function<void(int)> told)
      : fd_(signalfd(-1, &which, SFD_NONBLOCK | SFD_CLOEXEC)), told_(std::move(told)) {
    if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
    loop.watch(fd_.get(), *this);
  }
  void ready(bool, bool) override {
    signalfd_siginfo info{};
    while (read(fd_.get(), &info, sizeof info) == sizeof info) told_(static_cast<int>(info.ssi_signo));
  }

 private:
  marbledyke::net::Descriptor fd_;
  std::function<void(int)> told_;
};

// A configuration that is missing or wrong changes nothing: a mistake in a file must not end what serves.
void read_again(marbledyke::gatherer::Gatherer& gatherer) {
  try {
    gatherer.reload(marbledyke::config::read_commission_file());
  } catch (const std::exception& wrong) {
    MD_LOG(error, "configuration stays as it was: " << wrong.what());
  }
}

}  // namespace

int main() {
  // Before all else, so that one that comes in the middle of a start waits for its end.
  sigset_t heeded;
  sigemptyset(&heeded);
  for (const int signal_number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&heeded, signal_number);
  sigprocmask(SIG_BLOCK, &heeded, nullptr);
  signal(SIGPIPE, SIG_IGN);
  try {
    const marbledyke::config::Commission commission = marbledyke::config::read_commission_file();
    marbledyke::net::Log::open(commission.log_level, commission.name);
    marbledyke::gatherer::Gatherer gatherer(commission);
    Signals signals(gatherer.loop(), heeded, [&](int which) {
      if (which == SIGHUP) {
        read_again(gatherer);
      } else {
        gatherer.leave();
      }
    });
    std::function<void()> report = [&] {
      gatherer.report();
      gatherer.loop().at(gatherer.loop().now() + 10s, report);
    };
    gatherer.loop().at(10s, report);
    MD_LOG(info, "serving");
    while (gatherer.turn()) {
    }
    gatherer.report();
    MD_LOG(info, "stopped");
    return EXIT_SUCCESS;
  } catch (const std::exception& wrong) {
    std::cerr << "marbledyke: " << wrong.what() << '\n';
    return EXIT_FAILURE;
  }
}
