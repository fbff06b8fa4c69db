// Small stand-ins for the other parties of a gatherer, for the cases under review/: discovery, shard servers that
// speak frames or SRU, and HTTP clients. Blocking sockets and one thread a connection; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
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
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

// ---- the record ----

// What was sent, answered and run, one line each, with milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) throw std::runtime_error("cannot write " + path);
  }
  ~Record() { std::fclose(file_); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.1f ", ms());
    va_list words;
    va_start(words, format);
    std::vfprintf(file_, format, words);
    va_end(words);
    std::fputc('\n', file_);
    std::fflush(file_);
  }
  double ms() const { return std::chrono::duration<double, std::milli>(Clock::now() - start_).count(); }

 private:
  std::FILE* file_;
  std::mutex mutex_;
  Clock::time_point start_ = Clock::now();
};

// ---- sockets ----

inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, ip.c_str(), &out.sin_addr) != 1) throw std::runtime_error("bad address " + ip);
  return out;
}

inline int port_of(int fd) {
  sockaddr_in own{};
  socklen_t size = sizeof own;
  getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size);
  return ntohs(own.sin_port);
}

// Port 0: a free one.
inline int listen_at(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in at = address_of(ip, port);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(fd, 512) != 0)
    throw std::runtime_error("cannot listen at " + ip);
  return fd;
}

// A port that is free now, for a process that binds it itself.
inline int free_port(const std::string& ip) {
  const int fd = listen_at(ip, 0);
  const int port = port_of(fd);
  close(fd);
  return port;
}

inline int connect_to(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = address_of(ip, port);
  if (fd < 0 || connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    if (fd >= 0) close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool write_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t sent = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

// Reads once, for at most so long. Empty: ended, reset or nothing came.
inline std::string read_some(int fd, int timeout_ms) {
  pollfd polled{fd, POLLIN, 0};
  if (poll(&polled, 1, timeout_ms) <= 0) return {};
  char buffer[16384];
  const ssize_t got = recv(fd, buffer, sizeof buffer, 0);
  return got > 0 ? std::string(buffer, static_cast<std::size_t>(got)) : std::string();
}

// As when a process dies: the connection is reset.
inline void reset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(fd);
}

// ---- HTTP ----

struct HttpMessage {
  std::string first, head, body;
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

// Reads one message of a stated length (or without a body); `rest` holds what came behind it.
inline std::optional<HttpMessage> read_http(int fd, std::string& rest, int timeout_ms) {
  const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
  for (;;) {
    const std::size_t end = rest.find("\r\n\r\n");
    if (end != std::string::npos) {
      HttpMessage out;
      out.first = rest.substr(0, rest.find("\r\n"));
      out.head = rest.substr(0, end + 2);
      std::size_t length = 0;
      std::string lower = out.head;
      for (char& c : lower) c = static_cast<char>(tolower(c));
      const std::size_t at = lower.find("\r\ncontent-length:");
      if (at != std::string::npos) length = std::strtoul(lower.c_str() + at + 17, nullptr, 10);
      if (rest.size() >= end + 4 + length) {
        out.body = rest.substr(end + 4, length);
        rest.erase(0, end + 4 + length);
        return out;
      }
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    if (left <= 0) return std::nullopt;
    const std::string more = read_some(fd, static_cast<int>(left));
    if (more.empty()) return std::nullopt;
    rest += more;
  }
}

inline std::string http_answer(const std::string& type, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// ---- a server with one thread a connection ----

class Server {
 public:
  using Talk = std::function<void(int fd)>;
  explicit Server(const std::string& ip) : ip_(ip), listener_(listen_at(ip, 0)), port_(port_of(listener_)) {}
  virtual ~Server() { stop(); }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }
  const std::string& ip() const { return ip_; }
  int port() const { return port_; }

  void serve(Talk talk) {
    talk_ = std::move(talk);
    acceptor_ = std::thread([this] {
      while (!over_ && !refuses_) {
        pollfd polled{listener_, POLLIN, 0};
        if (poll(&polled, 1, 20) <= 0) continue;
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(mutex_);
        if (over_) {
          reset(fd);
          continue;
        }
        open_.insert(fd);
        talks_.emplace_back([this, fd] {
          talk_(fd);
          const std::lock_guard inner(mutex_);
          if (open_.erase(fd) > 0) close(fd);
        });
      }
    });
  }

  // The process dies: its connections are reset, new ones are refused.
  void die() {
    if (over_.exchange(true)) return;
    const std::lock_guard lock(mutex_);
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    for (const int fd : open_) {
      const linger now{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      // The thread that reads the connection is woken and closes it, which resets it.
      shutdown(fd, SHUT_RD);
    }
  }
  bool dead() const { return over_; }

  // It takes no new connection from now on; the open ones stay.
  void refuse_new() {
    if (refuses_.exchange(true)) return;
    shutdown(listener_, SHUT_RDWR);
  }

  void stop() {
    die();
    if (acceptor_.joinable()) acceptor_.join();
    for (std::thread& one : talks_) one.join();
    talks_.clear();
  }

 private:
  std::string ip_;
  int listener_;
  int port_;
  Talk talk_;
  std::atomic<bool> over_{false}, refuses_{false};
  std::mutex mutex_;
  std::set<int> open_;
  std::thread acceptor_;
  std::vector<std::thread> talks_;
};

// ---- discovery ----

struct Entry {
  std::string name, address, zone = "a";
  int group = 0;
  std::string status = "ready";
};

// Answers the whole list and watches; each call takes `call_time`, as calls wait in turn.
class Discovery : public Server {
 public:
  Discovery(const std::string& ip, Record& record, std::chrono::milliseconds call_time = 5ms)
      : Server(ip), record_(record), call_time_(call_time) {
    serve([this](int fd) { talk(fd); });
  }
  ~Discovery() override { stop(); }

  void set(std::vector<Entry> list) {
    const std::lock_guard lock(lists_);
    list_ = std::move(list);
    index_ += 1;
    changed_.notify_all();
  }
  std::string json() {
    const std::lock_guard lock(lists_);
    return json_of(true);
  }

 private:
  std::string json_of(bool whole) const {
    std::string out = "{\"index\":" + std::to_string(index_) + ",\"snapshot\":" + (whole ? "true" : "false") +
                      ",\"endpoints\":[";
    for (std::size_t i = 0; whole && i < list_.size(); ++i) {
      const Entry& one = list_[i];
      out += (i == 0 ? "" : ",");
      out += "{\"name\":\"" + one.name + "\",\"address\":\"" + one.address + "\",\"zone\":\"" + one.zone +
             "\",\"type\":\"m\",\"group\":" + std::to_string(one.group) + ",\"status\":\"" + one.status +
             "\",\"weight\":1.0,\"since_ms\":0}";
    }
    return out + "]}";
  }

  void talk(int fd) {
    std::string rest;
    while (!dead()) {
      const auto call = read_http(fd, rest, 200);
      if (!call) {
        pollfd polled{fd, POLLIN, 0};
        char byte;
        if (poll(&polled, 1, 0) > 0 && recv(fd, &byte, 1, MSG_PEEK) <= 0) return;
        continue;
      }
      std::this_thread::sleep_for(call_time_);
      const std::size_t at = call->first.find("index="), wait_at = call->first.find("wait=");
      const long known = at == std::string::npos ? -1 : std::atol(call->first.c_str() + at + 6);
      const long wait = wait_at == std::string::npos ? 0 : std::atol(call->first.c_str() + wait_at + 5);
      std::string body;
      {
        std::unique_lock lock(lists_);
        const auto until = Clock::now() + std::chrono::milliseconds(wait);
        while (known == index_ && Clock::now() < until && !dead())
          changed_.wait_for(lock, 50ms);
        body = json_of(known != index_);
      }
      record_.line("discovery %s answers %s: %s", address().c_str(), call->first.c_str(), body.c_str());
      if (!write_all(fd, http_answer("application/json", body))) return;
    }
  }

  Record& record_;
  std::chrono::milliseconds call_time_;
  std::mutex lists_;
  std::condition_variable changed_;
  std::vector<Entry> list_;
  long index_ = 40;
};

// ---- a shard server that speaks frames ----

struct PartRun {
  std::string id, list, text;
  int shard = 0;
};

// `run` is told of each part and says how it ends: the line behind the id ("S 1 -") and the value.
class FrameServer : public Server {
 public:
  struct End {
    std::string how = "S 1 -", value = "0";
  };
  using Run = std::function<End(const PartRun&)>;

  FrameServer(const std::string& ip, std::chrono::milliseconds service, Run run)
      : Server(ip), service_(service), run_(std::move(run)) {
    serve([this](int fd) { talk(fd); });
  }
  ~FrameServer() override { stop(); }
  std::function<void(const PartRun&, const End&)> answers;  // told of each answer; set before the first part
  void slow(std::chrono::milliseconds service) { service_ms_ = service.count(); }

 private:
  static std::string frame(char type, const std::string& rest) {
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(rest.size() + 1));
    std::string out(reinterpret_cast<const char*>(&length), 4);
    return out + type + rest;
  }

  void talk(int fd) {
    std::string in;
    auto writes = std::make_shared<std::mutex>();
    std::vector<std::thread> work;
    for (;;) {
      if (in.size() >= 5) {
        std::uint32_t length;
        std::memcpy(&length, in.data(), 4);
        length = ntohl(length);
        if (in.size() >= 4 + length) {
          const char type = in[4];
          std::string rest = in.substr(5, length - 1);
          in.erase(0, 4 + length);
          if (type == '1') {
            while (!rest.empty()) {
              const std::size_t end = rest.find('\n');
              std::istringstream line(rest.substr(0, end));
              PartRun part;
              std::size_t size = 0;
              line >> part.id >> part.shard >> part.list >> size;
              part.text = rest.substr(end + 1, size);
              rest.erase(0, end + 1 + size);
              const auto service =
                  service_ms_ >= 0 ? std::chrono::milliseconds(service_ms_.load()) : service_;
              const End how = run_(part);
              work.emplace_back([fd, part, how, service, writes, this] {
                const auto until = Clock::now() + service;
                while (Clock::now() < until && !dead()) std::this_thread::sleep_for(2ms);
                if (dead()) return;
                if (answers) answers(part, how);
                const std::lock_guard lock(*writes);
                write_all(fd, frame('5', part.id + " " + how.how + "\n" + how.value));
              });
            }
          } else if (type == '3' || type == '4') {
            const std::lock_guard lock(*writes);
            write_all(fd, frame(type, type == '3' ? "S" : "-"));
          }
          continue;
        }
      }
      const std::string more = read_some(fd, 100);
      if (more.empty()) {
        pollfd polled{fd, POLLIN, 0};
        char byte;
        if (dead() || (poll(&polled, 1, 0) > 0 && recv(fd, &byte, 1, MSG_PEEK) <= 0)) break;
        continue;
      }
      in += more;
    }
    for (std::thread& one : work) one.join();
  }

  std::chrono::milliseconds service_;
  std::atomic<long> service_ms_{-1};
  Run run_;
};

// ---- processes ----

// Starts a command of the deploy file by /bin/sh from the root of the repository.
class Process {
 public:
  Process(const std::string& root, const std::string& command, const std::map<std::string, std::string>& environment,
          const std::string& log)
      : pid_(fork()) {
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, whatever ends that
    if (chdir(root.c_str()) != 0) _exit(126);
    if (std::freopen(log.c_str(), "a", stderr) == nullptr || std::freopen(log.c_str(), "a", stdout) == nullptr)
      _exit(126);
    for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    _exit(127);
  }
  ~Process() { end(SIGKILL); }
  void signal(int which) {
    if (pid_ > 0) kill(pid_, which);
  }
  bool running() {
    if (pid_ <= 0) return false;
    if (waitpid(pid_, &status_, WNOHANG) == 0) return true;
    pid_ = -1;
    return false;
  }
  void end(int which) {
    if (pid_ <= 0) return;
    kill(pid_, which);
    waitpid(pid_, &status_, 0);
    pid_ = -1;
  }

 private:
  pid_t pid_;
  int status_ = 0;
};

// The value of a key of deploy/balancer.toml.
inline std::string deploy_line(const std::string& root, const std::string& key) {
  std::ifstream file(root + "/deploy/balancer.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(key + " = \"", 0) != 0) continue;
    const std::size_t from = line.find('"') + 1;
    return line.substr(from, line.find('"', from) - from);
  }
  throw std::runtime_error("deploy/balancer.toml has no " + key);
}

inline bool wait_until_ready(const std::string& ip, int port) {
  for (int i = 0; i < 300; ++i) {
    const int fd = connect_to(ip, port);
    if (fd >= 0) {
      std::string rest;
      write_all(fd, "GET /healthz HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
      const auto answer = read_http(fd, rest, 1000);
      close(fd);
      if (answer && answer->status() == 200) return true;
    }
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new") << text;
  std::rename((path + ".new").c_str(), path.c_str());
}

// ---- what a case is given by its run.sh ----

struct Setting {
  std::string root, temporary, record;
  bool trouble = true;
};

inline Setting setting_of(int count, char** words) {
  if (count != 4) {
    std::fprintf(stderr, "usage: %s ROOT TEMPORARY RECORD\n", words[0]);
    std::exit(2);
  }
  const char* trouble = std::getenv("TROUBLE");
  return {words[1], words[2], words[3], trouble == nullptr || std::string(trouble) != "0"};
}

}  // namespace review
