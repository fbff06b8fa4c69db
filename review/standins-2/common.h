// What the cases of review/6 to review/10 share: a record, processes started with the deploy file's command,
// and small stand-ins for discovery, shard servers (frames or SRU) and HTTP clients on loopback. Blocking
// sockets, one thread a connection; the C++ library and POSIX only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// ---- time and record ----

inline std::chrono::steady_clock::time_point start_of_case = std::chrono::steady_clock::now();

// Milliseconds since the case began.
inline double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start_of_case).count();
}

inline void sleep_until(double ms) {
  while (now_ms() < ms)
    usleep(static_cast<useconds_t>(std::max(200.0, std::min((ms - now_ms()) * 1000, 50000.0))));
}

class Record {
 public:
  explicit Record(const std::string& path) : out_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (out_ != nullptr) std::fclose(out_);
  }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    char text[2048];
    va_list list;
    va_start(list, format);
    std::vsnprintf(text, sizeof text, format, list);
    va_end(list);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (out_ == nullptr) return;
    std::fprintf(out_, "%9.1f %s\n", now_ms(), text);
    std::fflush(out_);
  }

 private:
  std::mutex mutex_;
  std::FILE* out_;
};

// ---- sockets ----

inline int listen_at(const std::string& ip, int port = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int port_of(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

inline int free_port(const std::string& ip) {
  const int fd = listen_at(ip);
  const int port = fd < 0 ? 0 : port_of(fd);
  if (fd >= 0) close(fd);
  return port;
}

// The connected socket, or -1.
inline int connect_to(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    const ssize_t sent = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    at += static_cast<std::size_t>(sent);
  }
  return true;
}

// More bytes into `into`, waiting until `until` (ms of the case): 1 bytes came, 0 the end, -1 a reset, -2 the
// time.
inline int receive(int fd, std::string& into, double until) {
  for (;;) {
    pollfd polled{fd, POLLIN, 0};
    const double left = until - now_ms();
    if (left <= 0) return -2;
    const int ready = poll(&polled, 1, static_cast<int>(std::min(left, 1000.0)) + 1);
    if (ready < 0 && errno != EINTR) return -1;
    if (ready <= 0) continue;
    char bytes[16 * 1024];
    const ssize_t got = recv(fd, bytes, sizeof bytes, 0);
    if (got > 0) {
      into.append(bytes, static_cast<std::size_t>(got));
      return 1;
    }
    if (got == 0) return 0;
    if (errno != EINTR) return -1;
  }
}

inline void reset_and_close(int fd) {
  const linger hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close(fd);
}

// ---- HTTP ----

struct Message {
  std::string first, head, body;
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

inline std::string lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

// Takes one whole message with a Content-Length (or without a body) off the front of `buffer`.
inline bool take_message(std::string& buffer, Message& out) {
  const std::size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  const std::string head = buffer.substr(0, end + 2);
  std::size_t length = 0;
  const std::string names = lower(head);
  if (const std::size_t at = names.find("\r\ncontent-length:"); at != std::string::npos)
    length = static_cast<std::size_t>(std::atoll(names.c_str() + at + 17));
  if (buffer.size() < end + 4 + length) return false;
  out.first = head.substr(0, head.find("\r\n"));
  out.head = head;
  out.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return true;
}

// 1 with a message; else what receive() gives.
inline int read_message(int fd, std::string& buffer, Message& out, double until) {
  while (!take_message(buffer, out)) {
    const int got = receive(fd, buffer, until);
    if (got != 1) return got;
  }
  return 1;
}

inline std::string http_answer(int status, const std::string& type, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Other") +
         "\r\nContent-Type: " + type + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// One request on a connection of its own. Status 0: no whole answer by `until`.
inline Message ask_http(const std::string& ip, int port, const std::string& request, double until) {
  Message out;
  const int fd = connect_to(ip, port);
  if (fd < 0) return out;
  std::string buffer;
  if (!send_all(fd, request) || read_message(fd, buffer, out, until) != 1) out = {};
  close(fd);
  return out;
}

inline std::string escaped(const std::string& text) {
  static const char* const kDigits = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    if (std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '-' || c == '_') {
      out += c;
    } else {
      out += '%';
      out += kDigits[static_cast<unsigned char>(c) >> 4];
      out += kDigits[static_cast<unsigned char>(c) & 15];
    }
  }
  return out;
}

inline std::string unescaped(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      out += ' ';
    } else if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

// The value of a query parameter in a request's first line.
inline std::string parameter(const std::string& first, const std::string& name) {
  for (const char* const before : {"?", "&"}) {
    const std::size_t at = first.find(before + name + "=");
    if (at == std::string::npos) continue;
    const std::size_t from = at + 1 + name.size() + 1;
    return unescaped(first.substr(from, first.find_first_of("& ", from) - from));
  }
  return {};
}

// What stands between two marks; empty where it is not there.
inline std::string between(const std::string& text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  if (at == std::string::npos) return {};
  const std::size_t end = text.find(to, at + from.size());
  return end == std::string::npos ? "" : text.substr(at + from.size(), end - at - from.size());
}

// ---- threads of a server ----

// Accepts at an address and runs `serve` in a thread for each connection. The threads end with the process.
class Acceptor {
 public:
  using Serve = std::function<void(int fd, int number)>;
  Acceptor(std::string ip, Serve serve) : ip_(std::move(ip)), serve_(std::move(serve)) {}

  bool open(int port = 0) {
    const int fd = listen_at(ip_, port);
    if (fd < 0) return false;
    port_ = port_of(fd);
    listener_ = fd;
    std::thread([this, fd] {
      for (;;) {
        const int one = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (one < 0 && (errno == EINTR || errno == ECONNABORTED)) continue;
        if (one < 0) return;
        const int on = 1;
        setsockopt(one, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        int number = 0;
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          number = next_++;
          if (listener_ != fd) {
            reset_and_close(one);
            continue;
          }
          open_[number] = one;
        }
        std::thread([this, one, number] {
          serve_(one, number);
          const std::lock_guard<std::mutex> lock(mutex_);
          if (open_.erase(number) > 0) close(one);
        }).detach();
      }
    }).detach();
    return true;
  }

  // The process died: its connections are reset and new ones are refused.
  void crash() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int fd = listener_;
    listener_ = -1;
    shutdown(fd, SHUT_RDWR);
    close(fd);
    for (const auto& [number, one] : open_) {
      // Disconnecting resets at once, also where another thread waits for the socket.
      sockaddr none{};
      none.sa_family = AF_UNSPEC;
      connect(one, &none, sizeof none);
    }
  }

  int port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  std::string ip_;
  Serve serve_;
  std::mutex mutex_;
  int listener_ = -1, port_ = 0, next_ = 1;
  std::map<int, int> open_;
};

// ---- discovery ----

class Discovery {
 public:
  explicit Discovery(Record& record, const std::string& ip = "127.2.0.1")
      : record_(record), acceptor_(ip, [this](int fd, int) { serve(fd); }) {}
  bool open() { return acceptor_.open(); }
  std::string address() const { return acceptor_.address(); }

  void list(const std::string& name, const std::string& address, int group,
            const std::string& status = "ready", long long since_ms = 0) {
    const std::lock_guard<std::mutex> lock(mutex_);
    version_ += 1;
    entries_[name] = {version_, "{\"name\":\"" + name + "\",\"address\":\"" + address +
                                    "\",\"zone\":\"a\",\"type\":\"m1\",\"group\":" + std::to_string(group) +
                                    ",\"status\":\"" + status +
                                    "\",\"weight\":1.0,\"since_ms\":" + std::to_string(since_ms) + "}"};
    changed_.notify_all();
  }

 private:
  void serve(int fd) {
    std::string buffer;
    Message message;
    while (read_message(fd, buffer, message, 1e9) == 1) {
      const std::string since = parameter(message.first, "index"), wait = parameter(message.first, "wait");
      std::unique_lock<std::mutex> lock(mutex_);
      const long long index = since.empty() ? -1 : std::atoll(since.c_str());
      if (index >= 0)
        changed_.wait_for(lock, std::chrono::milliseconds(std::min(std::atoi(wait.c_str()), 60000)),
                          [&] { return version_ > index; });
      std::string body = "{\"index\":" + std::to_string(version_) +
                         ",\"snapshot\":" + (index < 0 ? "true" : "false") + ",\"endpoints\":[";
      bool first = true;
      for (const auto& [name, entry] : entries_) {
        if (entry.first <= index) continue;
        if (!first) body += ',';
        first = false;
        body += entry.second;
      }
      body += "]}";
      lock.unlock();
      if (!send_all(fd, http_answer(200, "application/json", body))) return;
    }
  }

  Record& record_;
  Acceptor acceptor_;
  std::mutex mutex_;
  std::condition_variable changed_;
  long long version_ = 0;
  std::map<std::string, std::pair<long long, std::string>> entries_;
};

// ---- processes ----

inline std::vector<pid_t>& children() {
  static std::vector<pid_t> all;
  return all;
}

// Starts a command by /bin/sh from the repository's root, as the deploy file's commands are started.
inline pid_t start(const std::string& root, const std::string& command,
                   const std::vector<std::pair<std::string, std::string>>& variables,
                   const std::string& log) {
  const pid_t pid = fork();
  if (pid != 0) {
    children().push_back(pid);
    return pid;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  setpgid(0, 0);
  if (chdir(root.c_str()) != 0) _exit(127);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, 1);
  dup2(out, 2);
  for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
  execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
  _exit(127);
}

// Whether the process has ended by `until`; its status then.
inline bool ended(pid_t pid, double until, int* status = nullptr) {
  for (;;) {
    int how = 0;
    const pid_t got = waitpid(pid, &how, WNOHANG);
    if (got == pid || (got < 0 && errno == ECHILD)) {
      if (status != nullptr) *status = how;
      std::erase(children(), pid);
      return true;
    }
    if (now_ms() >= until) return false;
    usleep(5000);
  }
}

inline void end_all() {
  for (const pid_t pid : std::vector<pid_t>(children())) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  children().clear();
}

// ---- a case ----

struct Case {
  std::string root, folder, work, run, search;
  bool trouble = true;
  Record record;

  Case() : Case(std::getenv("CASE_ROOT"), std::getenv("CASE_FOLDER"), std::getenv("CASE_WORK")) {}
  Case(const char* its_root, const char* its_folder, const char* its_work)
      : root(its_root ? its_root : "."),
        folder(its_folder ? its_folder : "."),
        work(its_work ? its_work : "/tmp"),
        record(folder + "/record.txt") {
    const char* const wanted = std::getenv("TROUBLE");
    trouble = wanted == nullptr || std::string(wanted) != "0";
    const char* const command = std::getenv("CASE_RUN");
    run = command == nullptr ? "exec build/marbledyke" : command;
    // The same gatherer with the fronts of SRU and Z39.50, which stands beside it (docs/search.md).
    search = run;
    if (const std::size_t at = search.find("build/marbledyke"); at != std::string::npos)
      search.insert(at + 16, "-search");
    signal(SIGPIPE, SIG_IGN);
  }

  // Ends all that was started and gives the exit status: 0 the rule held, 1 it was broken, 2 the case could
  // not run.
  [[noreturn]] void finish(int status, const std::string& words) {
    const char* const what = status == 0 ? "HELD" : status == 1 ? "BROKEN" : "COULD NOT RUN";
    record.line("RESULT %s: %s", what, words.c_str());
    std::printf("%s: %s\n", what, words.c_str());
    std::fflush(stdout);
    end_all();
    _exit(status);
  }

  void write_file(const std::string& path, const std::string& text) const {
    std::ofstream out(path + ".new", std::ios::trunc);
    out << text;
    out.close();
    std::rename((path + ".new").c_str(), path.c_str());
  }

  bool healthy(const std::string& ip, int port, double until) {
    while (now_ms() < until) {
      const Message answer =
          ask_http(ip, port, "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", now_ms() + 500);
      if (answer.status() == 200) return true;
      usleep(20000);
    }
    return false;
  }
};

// A configuration as a small deployment has it. `changes` replaces what stands between marks, by key.
struct Settings {
  std::string categories =
      R"([{"name":"look","objective":4000000,"deadline":8000000,"effect":"repeatable","worth":1.0,"late-share":0.1}])";
  std::string floors = "[1.0]", complete = "[1.0]", second = "[0]", partial = "[0.0]";
  int slabs = 1, sets = 1, width = 1, overhead = 23000, most_open = 800, bundle = 16, attempts = 3;
  bool cancel = true, copies = false;
  std::string budget;  // of further sends, with a comma behind it
  std::string telemetry = R"({"fields":["cpu","rps","waiting"],"how":"on_probe"})";
  std::string text() const {
    std::ostringstream out;
    const auto flag = [](bool value) { return value ? "true" : "false"; };
    out << R"({"categories":)" << categories
        << R"(,"contract":{"ask-every":10000000,"cold":17000000,"cold-from":0.21,"drain-grace":500000,)"
        << budget << R"("fall-multiple":2.0,"overload-for":1500000},)"
        << R"("limits":{"attempts-cap":)" << attempts << R"(,"cancel":)" << flag(cancel)
        << R"(,"conn-idle":15000000,"connect-timeout":250000,"max-open":)" << most_open
        << R"(,"max-retry-after":2000000,"probing":true,"retry-after":true,"second-copies":)" << flag(copies)
        << R"(,"streams-per-conn":100},)"
        << R"("prices":{"cross-zone":0.013,"handshake":0.02,"probe":0.024,"waste":0.16},"registry-mode":"ask",)"
        << R"("replicas-of-me":1,"specifics":{"bundle-max":)" << bundle << R"(,"class-floor":)" << floors
        << R"(,"complete-from":)" << complete << R"(,"overhead":)" << overhead << R"(,"second-step":)"
        << second << R"(,"sets":)" << sets << R"(,"short-worth":)" << partial << R"(,"slabs":)" << slabs
        << R"(,"width":)" << width << R"(},"telemetry":)" << telemetry << R"(,"tick":5000,"zone":0,)"
        << R"("zones":["a","b"]})";
    return out.str();
  }
};

inline std::string configuration(const std::string& name, const std::string& listen,
                                 const std::string& discovery, const std::string& seed,
                                 const Settings& settings, int sockets = 1024) {
  return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery +
         "\",\"seed\":\"" + seed +
         "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + std::to_string(sockets) +
         "},\"settings\":" + settings.text() + "}\n";
}

}  // namespace review
