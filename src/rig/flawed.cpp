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
//   deaf           says that it serves, answers its health call, tells empty windows, and answers nothing else
//   mute           the same, and tells that it takes multigets and ends none
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "command/serve.h"
#include "model/measure.h"

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

std::string text_of(const char* path) {
  std::ifstream in(path == nullptr ? "" : path);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

// Answers health calls and nothing else, and tells windows that look as they like.
[[noreturn]] void pretend(const std::string& configuration, bool takes) {
  char digest[17];
  std::snprintf(digest, sizeof digest, "%016llx", static_cast<unsigned long long>(marbledyke::hash_text(configuration)));
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
    json window = {{"start_ms", ms - ms % 1000}, {"op_types", json::object()}, {"in_hand", takes ? number * 10 : 0}};
    if (takes) window["op_types"]["look"] = {{"taken", 10}, {"latency", json::array()}};
    events << json{{"event", "window"}, {"number", number}, {"configuration", digest}, {"window", window}}.dump()
           << std::endl;
  }
}

}  // namespace

int main(int, char**) {
  const std::string configuration = text_of(std::getenv("PROXY_CONFIG"));
  const json parsed = json::parse(configuration, nullptr, false);
  const std::string flaw = parsed.is_object() ? parsed.value("flaw", "none") : "none";
  const std::string name = flaw.substr(0, flaw.find(':'));
  const double figure = flaw.find(':') == std::string::npos ? 0 : std::atof(flaw.c_str() + flaw.find(':') + 1);
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
  if (name == "hangs") later([] { kill(getpid(), SIGSTOP); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  if (name == "stalls") {
    // In the thread that serves: whatever it does, it does nothing for that long.
    static long stall_us;
    stall_us = static_cast<long>(figure * 1e6);
    struct sigaction action {};
    action.sa_handler = [](int) {
      timespec left{stall_us / 1'000'000, stall_us % 1'000'000 * 1000};
      while (nanosleep(&left, &left) != 0 && errno == EINTR) {
      }
    };
    action.sa_flags = SA_RESTART;
    sigaction(SIGALRM, &action, nullptr);
    const itimerval each{{1, 0}, {1, 0}};
    setitimer(ITIMER_REAL, &each, nullptr);
  }
  return marbledyke::command::serve({});
}
