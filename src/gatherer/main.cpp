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
  Signals(marbledyke::net::Loop& loop, const sigset_t& which, std::function<void()> told)
      : fd_(signalfd(-1, &which, SFD_NONBLOCK | SFD_CLOEXEC)), told_(std::move(told)) {
    if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
    loop.watch(fd_.get(), *this);
  }
  void ready(bool, bool) override {
    signalfd_siginfo info{};
    while (read(fd_.get(), &info, sizeof info) == sizeof info) told_();
  }

 private:
  marbledyke::net::Descriptor fd_;
  std::function<void()> told_;
};

}  // namespace

int main() {
  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGTERM);
  sigaddset(&stops, SIGINT);
  sigprocmask(SIG_BLOCK, &stops, nullptr);
  signal(SIGPIPE, SIG_IGN);
  try {
    const marbledyke::config::Commission commission = marbledyke::config::read_commission_file();
    marbledyke::net::Log::open(commission.log_level, commission.name);
    marbledyke::gatherer::Gatherer gatherer(commission);
    Signals signals(gatherer.loop(), stops, [&] { gatherer.leave(); });
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
