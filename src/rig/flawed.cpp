// marbledyke-flawed: a gatherer for the lab only, from the shipped libraries, that has the flaw which its
// configuration names under "flaw": NAME or NAME:FIGURE.
//
//   none           serves as the shipped one does
//   never-ready    starts and says nothing, ever
//   ends:S         ends with status 3 so many seconds after its start
//   hangs:S        serves, and stands still from so many seconds after its start
//   stalls:S       every second it stands still for so many seconds
//   leaks:MB       takes so many megabytes a second more
//   burns:S        burns so many seconds of CPU every second
//   slow:MS        stands still for so many milliseconds of every tenth of a second
//   late-start:S   serves so many seconds after its start
//   ends-after:N   ends with status 3 once it has taken so many multigets
//   fails:OP       multigets of that op type have no time to be answered in
//   lies:OP        the same, and tells that all were answered in time
//   stops-telling:S  serves on, and tells nothing any more from so many seconds after its start
//   drains-late:S  hears of the list so many seconds later
//   hogs:RATE      asks itself so many multigets a second more
//   deaf           says that it serves, answers its health call, tells empty windows, and answers nothing
//   else mute           the same, and tells that it takes multigets and ends none
#include <fcntl.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "command/check.h"
#include "command/serve.h"
#include "model/numeric.h"
#include "rig/relay.h"
#include "standins/load.h"

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

std::string text_of(const char* path) {
  std::ifstream in(path == nullptr ? "" : path);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string digest_of(const std::string& configuration) {
  char digest[17];
  std::snprintf(digest, sizeof digest, "%016llx",
                static_cast<unsigned long long>(marbledyke::hash_string(configuration)));
  return digest;
}

// Answers health calls and nothing else, and tells windows that look as they like.
[[noreturn]] void pretend(const std::string& configuration, bool takes) {
  const std::string digest = digest_of(configuration);
  std::ofstream events(std::getenv("MARBLEDYKE_EVENTS"));
  events << R"({"event":"gatherer.serving"})" << std::endl;
  std::thread([] {
    const char* const stated = std::getenv("MARBLEDYKE_LISTEN_FD");
    const int listener = stated == nullptr ? -1 : std::atoi(stated);
    for (;;) {
      const int fd = accept(listener, nullptr, nullptr);
      if (fd < 0) {
        std::this_thread::sleep_for(5ms);
        continue;
      }
      char bytes[4096];
      timeval patience{0, 200'000};
      setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
      const ssize_t got = read(fd, bytes, sizeof bytes);
      if (got > 0 && std::string(bytes, static_cast<std::size_t>(got)).starts_with("GET /healthz")) {
        const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        if (write(fd, answer, sizeof answer - 1) < 0) std::perror("write");
        close(fd);
      }  // else it stays open, and nothing ever comes
    }
  }).detach();
  for (std::uint64_t number = 1;; ++number) {
    std::this_thread::sleep_for(1s);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
    json window = {
        {"start_ms", ms - ms % 1000}, {"op_types", json::object()}, {"in_hand", takes ? number * 10 : 0}};
    if (takes) window["op_types"]["look"] = {{"taken", 10}, {"latency", json::array()}};
    events
        << json{{"event", "window"}, {"number", number}, {"configuration", digest}, {"window", window}}.dump()
        << std::endl;
  }
}

// What it is told to run is not what it runs: another configuration, which its keeper does not see.
void configure(const json& changed) {
  const std::string text = changed.dump();
  const int fd = memfd_create("flawed", 0);
  if (write(fd, text.data(), text.size()) != static_cast<ssize_t>(text.size())) _exit(4);
  setenv("PROXY_CONFIG", ("/proc/self/fd/" + std::to_string(fd)).c_str(), 1);
}

// Its events go through here on their way to the keeper: `change` gives what is told, or nothing.
void tell_through(std::function<bool(json&)> change) {
  const char* const keepers = std::getenv("MARBLEDYKE_EVENTS");
  int ends[2];
  if (keepers == nullptr || pipe(ends) != 0) return;
  const int to = open(keepers, O_WRONLY);
  setenv("MARBLEDYKE_EVENTS", ("/proc/self/fd/" + std::to_string(ends[1])).c_str(), 1);
  std::thread([from = ends[0], to, change = std::move(change)] {
    FILE* const in = fdopen(from, "r");
    char* line = nullptr;
    std::size_t room = 0;
    for (ssize_t size = getline(&line, &room, in); size > 0; size = getline(&line, &room, in)) {
      json told = json::parse(std::string(line, static_cast<std::size_t>(size)), nullptr, false);
      if (!told.is_object() || !change(told)) continue;
      const std::string out = told.dump() + "\n";
      if (write(to, out.data(), out.size()) < 0) std::perror("write");
    }
  }).detach();
}

marbledyke::net::Address beside(int number) {
  return *marbledyke::net::parse_address("unix:@marbledyke-flawed-" + std::to_string(getpid()) + "-" +
                                         std::to_string(number));
}

// A relay of its own before the list, or clients of its own, in a thread that ends with it.
class Between {
 public:
  template <typename Prepare>
  static void start(Prepare prepare) {
    std::thread([prepare] {
      marbledyke::net::Loop loop;
      loop.read_clock();
      const auto held = prepare(loop);
      for (;;) {
        loop.call_at(loop.now() + 50ms, [] {});
        loop.run_once();
      }
    }).detach();
  }
  std::unique_ptr<marbledyke::rig::Relay> relay;
  std::unique_ptr<marbledyke::standins::Load> load;
};

}  // namespace

int main(int count, char** words) {
  if (count > 2 && std::string(words[1]) == "check")
    return marbledyke::command::check({words + 2, words + count});
  const std::string configuration = text_of(std::getenv("PROXY_CONFIG"));
  const json parsed = json::parse(configuration, nullptr, false);
  if (!parsed.is_object()) return marbledyke::command::serve({});  // says what is wrong with it
  const std::string flaw = parsed.is_object() ? parsed.value("flaw", "none") : "none";
  const std::string name = flaw.substr(0, flaw.find(':'));
  const double figure =
      flaw.find(':') == std::string::npos ? 0 : std::atof(flaw.c_str() + flaw.find(':') + 1);
  const auto later = [figure](auto what) {
    std::thread([figure, what] {
      std::this_thread::sleep_for(std::chrono::duration<double>(figure));
      what();
    }).detach();
  };
  if (name == "never-ready") {
    for (;;) pause();
  }
  // "room" and other flaws of settings are in the settings themselves.
  if (name == "deaf" || name == "mute") pretend(configuration, name == "mute");
  // Threads of its own leave the signals to the one that serves.
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  if (name == "ends") later([] { _exit(3); });
  if (name == "leaks") {
    std::thread([figure] {
      std::vector<std::vector<char>> held;
      for (;;) {
        held.emplace_back(static_cast<std::size_t>(figure * 1e6 / 10), 'x');
        std::this_thread::sleep_for(100ms);
      }
    }).detach();
  }
  if (name == "burns") {
    std::thread([figure] {
      for (;;) {
        const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(figure / 10);
        while (std::chrono::steady_clock::now() < until) {
        }
        std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.1 - figure / 10, 0.001)));
      }
    }).detach();
  }
  const auto started = std::chrono::steady_clock::now();
  const std::string word = flaw.find(':') == std::string::npos ? "" : flaw.substr(flaw.find(':') + 1);
  if (name == "late-start") std::this_thread::sleep_for(std::chrono::duration<double>(figure));
  if (name == "fails" || name == "lies") {
    json changed = parsed;
    for (json& op : changed["settings"]["categories"]) {
      if (op["name"] != word) continue;
      op["objective"] = 2000;
      op["deadline"] = 4000;
    }
    configure(changed);
    tell_through([digest = digest_of(configuration), lies = name == "lies"](json& told) {
      if (told.contains("configuration")) told["configuration"] = digest;
      if (!lies || !told.contains("window")) return true;
      for (json& op : told["window"]["op_types"]) {
        op["answered"] = op.value("answered", 0) + op.value("failed", 0) + op.value("pushed_back", 0);
        op["in_budget"] = op["whole"] = op["answered"];
        op["failed"] = op["pushed_back"] = 0;
      }
      return true;
    });
  }
  if (name == "ends-after") {
    tell_through([figure, taken = 0.0](json& told) mutable {
      if (!told.contains("window")) return true;
      for (const json& op : told["window"]["op_types"]) taken += op.value("taken", 0.0);
      if (taken >= figure) _exit(3);
      return true;
    });
  }
  if (name == "stops-telling") {
    tell_through([figure, started](json&) {
      return std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count() < figure;
    });
  }
  if (name == "drains-late") {
    json changed = parsed;
    const auto list = *marbledyke::net::parse_address(parsed["discovery"].get<std::string>());
    changed["discovery"] = beside(1).text();
    configure(changed);
    tell_through([digest = digest_of(configuration)](json& told) {
      if (told.contains("configuration")) told["configuration"] = digest;
      return true;
    });
    Between::start([list, figure](marbledyke::net::Loop& loop) {
      auto out = std::make_unique<Between>();
      out->relay = std::make_unique<marbledyke::rig::Relay>(loop, beside(1), list, 1);
      marbledyke::rig::Way back;
      back.delay = marbledyke::Duration(static_cast<std::int64_t>(figure * 1e6));
      out->relay->set({}, back);
      return out;
    });
  }
  if (name == "hogs") {
    const auto own = *marbledyke::net::parse_address(parsed["listen"].get<std::string>());
    const auto shards = static_cast<int>(parsed["settings"]["specifics"].value("slabs", 2));
    Between::start([own, figure, shards](marbledyke::net::Loop& loop) {
      auto out = std::make_unique<Between>();
      marbledyke::standins::LoadOptions load;
      load.rate = figure;
      load.seconds = 3600;
      load.shards = shards;
      load.seed = 0xf1a3;
      out->load = std::make_unique<marbledyke::standins::Load>(loop, own, load);
      return out;
    });
  }
  if (name == "hangs") later([] { kill(getpid(), SIGSTOP); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  if (name == "stalls" || name == "slow") {
    // In the thread that serves: whatever it does, it does nothing for that long.
    static long stall_us;
    stall_us = static_cast<long>(figure * (name == "slow" ? 1e3 : 1e6));
    struct sigaction action {};
    action.sa_handler = [](int) {
      timespec left{stall_us / 1'000'000, stall_us % 1'000'000 * 1000};
      while (nanosleep(&left, &left) != 0 && errno == EINTR) {
      }
    };
    action.sa_flags = SA_RESTART;
    sigaction(SIGALRM, &action, nullptr);
    const itimerval each = name == "slow" ? itimerval{{0, 100'000}, {0, 100'000}} : itimerval{{1, 0}, {1, 0}};
    setitimer(ITIMER_REAL, &each, nullptr);
  }
  return marbledyke::command::serve({});
}
