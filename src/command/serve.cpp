#include "command/serve.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <system_error>

#include "decision_engine.h"
#include "events/pipe.h"
#include "gatherer/gatherer.h"
#include "log/log.h"
#include "net/descriptor_reserve.h"
#include "operator_file/helper.h"

namespace marbledyke::command {
namespace {

using namespace std::chrono_literals;

class Signals final : public net::EventHandler {
 public:
  Signals(net::Loop& loop, const sigset_t& which, std::function<void(int)> told)
      : fd_(signalfd(-1, &which, SFD_NONBLOCK | SFD_CLOEXEC)), told_(std::move(told)) {
    if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
    loop.watch(fd_.get(), *this);
  }
  void on_ready(bool, bool) override {
    signalfd_siginfo info{};
    while (read(fd_.get(), &info, sizeof info) == sizeof info) told_(static_cast<int>(info.ssi_signo));
  }

 private:
  net::Descriptor fd_;
  std::function<void(int)> told_;
};

// A keeper holds the socket that clients connect to, so that they wait in its queue while one gatherer
// follows another. None is inherited without one.
net::Descriptor inherited_listener(const net::Address& listen) {
  const char* const stated = std::getenv("MARBLEDYKE_LISTEN_FD");
  if (stated == nullptr || *stated == '\0') return {};
  net::Descriptor fd(std::atoi(stated));
  int listens = 0;
  socklen_t size = sizeof listens;
  sockaddr_storage own{}, wanted{};
  socklen_t own_size = sizeof own;
  const socklen_t wanted_size = listen.to_sockaddr(wanted);
  if (getsockopt(fd.get(), SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0 ||
      getsockname(fd.get(), reinterpret_cast<sockaddr*>(&own), &own_size) != 0 || own_size != wanted_size ||
      std::memcmp(&own, &wanted, wanted_size) != 0)
    throw config::BadInput("MARBLEDYKE_LISTEN_FD: not a socket that listens on " + listen.text());
  fcntl(fd.get(), F_SETFD, FD_CLOEXEC);
  fcntl(fd.get(), F_SETFL, O_NONBLOCK);
  return fd;
}

// The configuration and the fleet's settings. What the module refuses of the latter is named with their file.
config::GathererConfig read_configuration() {
  config::GathererConfig out = config::load_gatherer_config();
  if (out.settings_file.empty()) return out;
  try {
    DecisionEngine(out.terms, out.seed);
  } catch (const std::invalid_argument& wrong) {
    throw config::BadInput(out.settings_file + ": settings." + wrong.what());
  }
  return out;
}

class Server {
 public:
  Server(const ServeOptions& options, const TimeSource& clock)
      : options_(options), gatherer_config_(read_configuration()) {
    std::optional<operator_file::Terms> terms;
    if (!options.operator_file.empty()) {
      operator_file::Result result = operator_file::read_now(options.operator_file);
      for (const operator_file::FileError& fault : result.faults)
        std::cerr << "marbledyke: " << format_error(options.operator_file, fault) << '\n';
      if (!result.terms) throw config::BadInput(options.operator_file + ": not taken");
      terms = std::move(result.terms);
    }
    open_log(terms ? &*terms : nullptr);
    gatherer_ = std::make_unique<gatherer::Gatherer>(gatherer_config_,
                                                     inherited_listener(gatherer_config_.listen), clock);
    if (const char* path = std::getenv("MARBLEDYKE_EVENTS"); path != nullptr && *path != '\0') {
      pipe_ = std::make_unique<events::Pipe>(gatherer_->loop(), path);
      log::set_listener([this](const std::string& line) { pipe_->write_line(line); });
      gatherer_->record_windows([this](const std::string& line) { pipe_->write_line(line); });
    }
    if (!terms) return;
    search_ = operator_file::text_of(terms->search);
    if (terms->search.any() || !terms->search.speakers.empty()) {
      if (!options.extend)
        throw config::BadInput(
            options.operator_file +
            ": search: this program speaks the platform's protocols only; marbledyke-search "
            "speaks the others");
      options.extend(*gatherer_, terms->search, gatherer_config_);
    }
    gatherer_->apply_operator_terms(*terms);
  }

  ~Server() { log::set_listener(nullptr); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int run(const sigset_t& heeded) {
    Signals signals(gatherer_->loop(), heeded, [this](int which) {
      if (which == SIGHUP) {
        read_again();
      } else {
        gatherer_->begin_stop();
      }
    });
    report();
    if (gatherer_config_.settings_index) {
      log::event(log::Level::info, "gatherer.serving",
                 {{"settings_index", *gatherer_config_.settings_index}});
    } else {
      log::event(log::Level::info, "gatherer.serving");
    }
    while (gatherer_->run_once()) {
    }
    gatherer_->log_totals();
    log::event(log::Level::info, "gatherer.stopped");
    return EXIT_SUCCESS;
  }

 private:
  void report() {
    gatherer_->loop().call_at(gatherer_->loop().now() + 10s, [this] {
      gatherer_->log_totals();
      report();
    });
  }

  // MARBLEDYKE_LOG and --log are said for this start and hold over the file.
  void open_log(const operator_file::Terms* terms) {
    log::Level level = gatherer_config_.log_level;
    const char* stated = std::getenv("MARBLEDYKE_LOG");
    if ((stated == nullptr || *stated == '\0') && terms != nullptr) level = terms->log_level.value_or(level);
    log::Format form = terms != nullptr ? terms->log_form.value_or(log::Format::plain) : log::Format::plain;
    if (!options_.log_form.empty())
      form = options_.log_form == "json" ? log::Format::json : log::Format::plain;
    log::configure(level, form, gatherer_config_.name);
  }

  static void refuse(std::string_view why) {
    log::event(log::Level::error, "configuration.refused", {{"why", why}});
  }

  // A configuration that is missing or wrong changes nothing: a mistake in a file must not end what serves.
  // Both files are read and checked before anything of either is taken.
  void read_again() {
    if (options_.operator_file.empty()) return take(nullptr);
    again_ = reading_ != nullptr;  // changed while it was being read: once more after that
    if (again_) return;
    // Ended while it is told, so it goes a turn later.
    reading_ = std::make_unique<operator_file::Reading>(
        gatherer_->loop(), options_.operator_file, [this](operator_file::Result result) {
          gatherer_->loop().call_at(gatherer_->loop().now(), [this] {
            reading_.reset();
            if (std::exchange(again_, false)) read_again();
          });
          for (const operator_file::FileError& fault : result.faults)
            refuse(format_error(options_.operator_file, fault));
          if (result.terms) take(&*result.terms);
        });
  }

  void take(const operator_file::Terms* terms) {
    try {
      spare_.set_in_use(1);
      const config::GathererConfig fresh = read_configuration();
      spare_.set_in_use(0);
      gatherer_->reload(fresh);
    } catch (const std::exception& wrong) {
      spare_.set_in_use(0);
      return refuse(wrong.what());
    }
    if (terms == nullptr) return;
    open_log(terms);
    gatherer_->apply_operator_terms(*terms);
    // Open sessions and their sets hang on these.
    if (operator_file::text_of(terms->search) != search_)
      log::event(log::Level::warning, "configuration.waits_for_start", {{"key", "search"}});
    log::event(log::Level::info, "configuration.operator_file_read_again",
               {{"file", options_.operator_file}});
  }

  const ServeOptions& options_;
  config::GathererConfig gatherer_config_;
  std::unique_ptr<gatherer::Gatherer> gatherer_;
  std::unique_ptr<events::Pipe> pipe_;  // to the keeper that started this process
  std::unique_ptr<operator_file::Reading> reading_;
  bool again_ = false;
  net::DescriptorReserve spare_{1};  // for reading the file while clients hold every other descriptor
  std::string search_;               // the terms of search that this start has
};

}  // namespace

int serve(const ServeOptions& options, const TimeSource& clock) {
  // Before all else, so that one that comes in the middle of a start waits for its end.
  sigset_t heeded;
  sigemptyset(&heeded);
  for (const int signal_number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&heeded, signal_number);
  sigprocmask(SIG_BLOCK, &heeded, nullptr);
  signal(SIGPIPE, SIG_IGN);
  try {
    return Server(options, clock).run(heeded);
  } catch (const std::exception& wrong) {
    std::cerr << "marbledyke: " << wrong.what() << '\n';
    return EXIT_FAILURE;
  }
}

}  // namespace marbledyke::command
