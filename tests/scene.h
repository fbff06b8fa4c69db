// The whole program on loopback sockets among stand-ins for clients, shard servers and discovery that live in
// this same thread: what a test does between two turns happens there and nowhere else.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <list>
#include <string>

#include "gatherer/gatherer.h"
#include "log/log.h"
#include "net/socket.h"

namespace marbledyke::scene {

using namespace std::chrono_literals;

// Addresses of this run's own, so that runs side by side do not meet.
inline std::string address(int last) {
  const int pid = getpid();
  return "127." + std::to_string(100 + pid % 100) + '.' + std::to_string(pid / 100 % 250) + '.' +
         std::to_string(last) + ":9000";
}

inline void say(const std::string& what) { std::printf("%s\n", what.c_str()); }

// One socket of a stand-in, read as far as there is something.
struct Wire {
  net::Descriptor fd;
  bool ended = false;
  bool cut = false;  // by a reset

  std::string take() {
    char bytes[4096];
    std::string out;
    while (fd && !ended) {
      const ssize_t got = recv(fd.get(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (got > 0) {
        out.append(bytes, static_cast<std::size_t>(got));
      } else {
        cut = got < 0 && errno != EAGAIN && errno != EINTR;
        ended = got == 0 || cut;
        break;
      }
    }
    return out;
  }
  void put(const std::string& bytes) {
    if (send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) say("NOT SENT");
  }
  // What was not read is answered with a reset.
  void reset() {
    const linger now{1, 0};
    setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    fd.close();
  }
};

struct Host {
  explicit Host(int last) : listener(net::listen_on(*net::parse_address(address(last)))) {
    if (!listener) say("CANNOT LISTEN");
  }
  virtual ~Host() = default;
  virtual void hear() = 0;
  Wire* accept() {
    net::Descriptor fd = net::accept_from(listener.get());
    if (!fd) return nullptr;
    wires.push_back({std::move(fd)});
    return &wires.back();
  }
  net::Descriptor listener;
  std::list<Wire> wires;
};

// A shard server: keeps the frames it gets until the test looks at them.
struct Leaf : Host {
  using Host::Host;
  struct Got {
    Wire* wire;
    std::string text;
  };
  void hear() override {
    while (accept() != nullptr) {
      readers.emplace_back();
      opened += 1;
    }
    auto reader = readers.begin();
    for (Wire& wire : wires) {
      const std::string bytes = wire.take();
      std::string_view left = bytes;
      while (!left.empty()) {
        left.remove_prefix(reader->take(left));
        if (reader->state() != servers::FrameReader::State::done) continue;
        std::string text = reader->frame().letter + std::string(" ") + reader->frame().rest;
        for (std::size_t at; (at = text.find('\n')) != std::string::npos;) text.replace(at, 1, "|");
        for (std::size_t at = 0; (at = text.find(" d=", at)) != std::string::npos;) {
          at += 3;
          text.replace(at, text.find_first_not_of("0123456789", at) - at, "*");
        }
        got.push_back({&wire, text});
        reader->restart();
      }
      ++reader;
    }
  }
  void answer(Wire* wire, const std::string& id, const std::string& rest, const std::string& value) {
    std::string frame;
    const std::size_t place = servers::begin_frame(frame, '5');
    frame += id + ' ' + rest + '\n' + value;
    servers::end_frame(frame, place);
    wire->put(frame);
  }
  std::list<servers::FrameReader> readers;
  std::deque<Got> got;
  int opened = 0;
};

struct Discovery : Host {
  using Host::Host;
  void hear() override {
    while (accept() != nullptr) {
    }
    for (Wire& wire : wires) {
      if (const std::string bytes = wire.take(); !bytes.empty()) {
        asked.push_back(bytes.substr(0, bytes.find(" HTTP")));
        last = &wire;
      }
    }
  }
  void answer(const std::string& body) {
    last->put("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  std::deque<std::string> asked;
  Wire* last = nullptr;
};

struct Client {
  Client() : wire{net::start_connect(*net::parse_address(address(1)))} {}
  void send(const std::string& id, const std::string& op_type, const std::string& slices,
            const std::string& more = "") {
    const std::string body = "{\"slices\":" + slices + ",\"filter\":\"f00d\"}";
    wire.put("POST /api HTTP/1.1\r\nX-Request-Id: " + id + "\r\nX-Class: " + op_type + "\r\n" + more +
             "X-Deadline-Ms: 50000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  bool answered() {
    text += wire.take();
    return text.find("\r\n\r\n") != std::string::npos;
  }
  std::string answer() {
    std::string out = text.substr(9, 3) +
                      (text.find("Connection: close") != std::string::npos ? " closing" : "") +
                      (text.find("Retry-After") != std::string::npos ? " come back" : "") + " " +
                      text.substr(text.find("\r\n\r\n") + 4);
    while (!out.empty() && out.back() == '\n') out.pop_back();
    text.clear();
    return out;
  }
  Wire wire;
  std::string text;
};

inline std::string entry(const std::string& name, int last, const std::string& status = "ready") {
  return "{\"name\":\"" + name + "\",\"address\":\"" + address(last) +
         "\",\"zone\":\"a\",\"group\":0,\"status\":\"" + status + "\",\"since_ms\":0}";
}

// Time that passes a millisecond a turn, whatever the machine does meanwhile.
class SteppedTime final : public TimeSource {
 public:
  Duration steady() const override { return now_; }
  Duration wall() const override { return 1'700'000'000s + now_; }
  Duration machine_time(Duration) const override { return 0s; }
  void pass() { now_ += 1ms; }

 private:
  Duration now_ = 1h;
};

using Changes = std::vector<std::pair<std::string, std::string>>;  // of a configuration's text

inline std::string changed(std::string text, const Changes& changes) {
  for (const auto& [from, to] : changes) {
    const std::size_t at = text.find(from);
    if (at == std::string::npos) {
      say("NOTHING TO CHANGE: " + from);
      continue;
    }
    text.replace(at, from.size(), to);
  }
  return text;
}

struct Scene {
  explicit Scene(const std::string& entries, const std::string& connect_timeout = "20000000",
                 const std::string& budget = "30000000", const std::string& tick = "5000",
                 const Changes& changes = {}, SteppedTime* clock = nullptr)
      : text(changed(
            R"({"name":"n0","listen":")" + address(1) + R"(","discovery":")" + address(2) +
                R"(","seed":"7","limits":{"sockets":200},"known":{"index":4,"snapshot":true,"endpoints":[)" +
                entries +
                R"(]},"settings":{"categories":[
              {"name":"draft","deadline":60000000,"objective":)" +
                budget + R"(,"effect":"repeatable"},
              {"name":"issue","deadline":60000000,"objective":)" +
                budget + R"(,"effect":"once"}],
            "zones":["a"],"telemetry":{"fields":["cpu"],"how":"on_probe"},"registry-mode":"ask","replicas-of-me":1,
            "specifics":{"slabs":4,"sets":1,"width":1,"bundle-max":16,"overhead":80000,"second-step":[2,0],
              "class-floor":[1,1],"complete-from":[1,1]},
            "limits":{"max-open":9,"streams-per-conn":100,"connect-timeout":)" +
                connect_timeout + R"(,"conn-idle":60000000,
              "attempts-cap":3,"cancel":true,"second-copies":true,"retry-after":true,"max-retry-after":1000000},
            "tick":)" +
                tick + R"(,"contract":{"ask-every":10000000}}})",
            changes)),
        commission(config::read_commission(text)),
        stepped(clock),
        gatherer(commission, {},
                 clock != nullptr ? static_cast<const TimeSource&>(*clock) : machine_clock()) {}
  // In stepped time, among settings with these changes.
  Scene(const std::string& entries, SteppedTime& clock, const Changes& changes = {})
      : Scene(entries, "250000", "30000000", "5000", changes, &clock) {}

  // The configuration read again with these changes of its text.
  void reload(const Changes& changes) {
    try {
      gatherer.reload(config::read_commission(changed(text, changes)));
      say("-- read again");
    } catch (const std::exception& wrong) {
      say(std::string("-- refused: ") + wrong.what());
    }
  }

  void until(const char* what, const std::function<bool()>& holds) {
    const auto end = std::chrono::steady_clock::now() + 20s;
    for (;;) {
      for (Host* host : hosts) host->hear();
      if (holds()) return;
      if (std::chrono::steady_clock::now() > end) {
        std::printf("WAITED IN VAIN for %s\n", what);
        std::exit(1);
      }
      turn();
    }
  }
  void turn() {
    gatherer.loop().at(gatherer.loop().now() + 20ms, [] {});  // the stand-ins get their turn too
    running = gatherer.turn() && running;
    if (stepped != nullptr) stepped->pass();
  }
  // In stepped time: so much of it passes.
  void pass(Duration time) {
    for (const Duration end = stepped->steady() + time; stepped->steady() < end;) {
      for (Host* host : hosts) host->hear();
      turn();
    }
  }
  // The next frame at a leaf, printed.
  Leaf::Got next(Leaf& leaf, const char* name) {
    until("a frame", [&] { return !leaf.got.empty(); });
    const Leaf::Got got = leaf.got.front();
    leaf.got.pop_front();
    say(std::string(name) + " gets " + got.text);
    return got;
  }
  void answered(Client& client, const char* name) {
    until("an answer", [&] { return client.answered(); });
    say(std::string(name) + " gets " + client.answer());
  }

  std::string text;
  config::Commission commission;
  std::vector<Host*> hosts;
  SteppedTime* stepped;
  gatherer::Gatherer gatherer;
  bool running = true;
};

inline const std::string kOne = R"([{"slice":1,"mass":1}])";
inline const std::string kTwo = R"([{"slice":1,"mass":0.5},{"slice":3,"mass":0.5}])";

}  // namespace marbledyke::scene
