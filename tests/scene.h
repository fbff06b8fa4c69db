// Test harness: a complete gatherer on loopback sockets, with fake clients, shard servers and discovery in
// the same thread. Whatever a test does between two turns of the event loop happens exactly there.
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

// Returns a loopback address that is specific to this process, so that parallel tests do not interfere.
inline std::string address(int last_octet) {
  const int pid = getpid();
  return "127." + std::to_string(100 + pid % 100) + '.' + std::to_string(pid / 100 % 250) + '.' +
         std::to_string(last_octet) + ":9000";
}

// Prints a line of the trace.
inline void print(const std::string& line) { std::printf("%s\n", line.c_str()); }

// A non-blocking connection of a fake peer.
struct Connection {
  net::Descriptor fd;
  bool ended = false;      // the peer closed or reset it
  bool was_reset = false;  // the peer reset it

  // Returns what can be read without waiting.
  std::string read_available() {
    char bytes[4096];
    std::string out;
    while (fd && !ended) {
      const ssize_t received = recv(fd.get(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (received > 0) {
        out.append(bytes, static_cast<std::size_t>(received));
      } else {
        was_reset = received < 0 && errno != EAGAIN && errno != EINTR;
        ended = received == 0 || was_reset;
        break;
      }
    }
    return out;
  }
  void write(const std::string& bytes) {
    if (send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) print("NOT SENT");
  }
  // Closes with a reset instead of an orderly shutdown.
  void reset() {
    const linger no_linger{1, 0};
    setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    fd.close();
  }
};

// A listening fake peer of the gatherer, at the address with the given last octet.
struct FakeServer {
  explicit FakeServer(int last_octet) : listener(net::listen_on(*net::parse_address(address(last_octet)))) {
    if (!listener) print("CANNOT LISTEN");
  }
  virtual ~FakeServer() = default;
  // Accepts connections and reads what has arrived.
  virtual void process_input() = 0;
  // Returns the next connection from the queue; null if there is none.
  Connection* accept() {
    net::Descriptor fd = net::accept_connection(listener.get());
    if (!fd) return nullptr;
    connections.push_back({std::move(fd)});
    return &connections.back();
  }
  net::Descriptor listener;
  std::list<Connection> connections;
};

// A shard server that keeps received frames until the test takes them.
struct FakeShardServer : FakeServer {
  using FakeServer::FakeServer;
  struct Frame {
    Connection* connection;
    std::string text;
  };
  void process_input() override {
    while (accept() != nullptr) {
      readers.emplace_back();
      connections_opened += 1;
    }
    auto reader = readers.begin();
    for (Connection& connection : connections) {
      const std::string bytes = connection.read_available();
      std::string_view unread = bytes;
      while (!unread.empty()) {
        unread.remove_prefix(reader->feed(unread));
        if (reader->state() != servers::FrameParser::State::complete) continue;
        std::string text = reader->frame().type + std::string(" ") + reader->frame().payload;
        for (std::size_t at; (at = text.find('\n')) != std::string::npos;) text.replace(at, 1, "|");
        // Time limits differ between runs.
        for (std::size_t at = 0; (at = text.find(" d=", at)) != std::string::npos;) {
          at += 3;
          text.replace(at, text.find_first_not_of("0123456789", at) - at, "*");
        }
        frames.push_back({&connection, text});
        reader->reset();
      }
      ++reader;
    }
  }
  void answer(Connection* connection, const std::string& id, const std::string& rest,
              const std::string& value) {
    std::string frame;
    const std::size_t place = servers::begin_frame(frame, '5');
    frame += id + ' ' + rest + '\n' + value;
    servers::end_frame(frame, place);
    connection->write(frame);
  }
  std::list<servers::FrameParser> readers;
  std::deque<Frame> frames;
  int connections_opened = 0;
};

// A discovery that keeps requests until the test answers them.
struct FakeDiscovery : FakeServer {
  using FakeServer::FakeServer;
  void process_input() override {
    while (accept() != nullptr) {
    }
    for (Connection& connection : connections) {
      if (const std::string bytes = connection.read_available(); !bytes.empty()) {
        requests.push_back(bytes.substr(0, bytes.find(" HTTP")));
        last_connection = &connection;
      }
    }
  }
  void answer(const std::string& body) {
    last_connection->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                           body);
  }
  std::deque<std::string> requests;
  Connection* last_connection = nullptr;  // of the latest request
};

struct Client {
  Client() : connection{net::start_connect(*net::parse_address(address(1)))} {}
  void send(const std::string& id, const std::string& op_type, const std::string& slices,
            const std::string& extra_headers = "") {
    const std::string body = "{\"slices\":" + slices + ",\"filter\":\"f00d\"}";
    connection.write(
        "POST /api HTTP/1.1\r\nX-Request-Id: " + id + "\r\nX-Class: " + op_type + "\r\n" + extra_headers +
        "X-Deadline-Ms: 50000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  // Returns whether a response has arrived.
  bool answered() {
    text += connection.read_available();
    return text.find("\r\n\r\n") != std::string::npos;
  }
  // Returns a summary of the response and forgets it.
  std::string answer() {
    std::string out = text.substr(9, 3) +
                      (text.find("Connection: close") != std::string::npos ? " closing" : "") +
                      (text.find("Retry-After") != std::string::npos ? " with Retry-After" : "") + " " +
                      text.substr(text.find("\r\n\r\n") + 4);
    while (!out.empty() && out.back() == '\n') out.pop_back();
    text.clear();
    return out;
  }
  Connection connection;
  std::string text;  // received so far
};

// Returns an entry of discovery's list.
inline std::string list_entry(const std::string& name, int last_octet, const std::string& status = "ready") {
  return "{\"name\":\"" + name + "\",\"address\":\"" + address(last_octet) +
         "\",\"zone\":\"a\",\"group\":0,\"status\":\"" + status + "\",\"since_ms\":0}";
}

// A clock that advances by 1 ms per turn of the gatherer, independent of the machine's time.
class ManualClock final : public TimeSource {
 public:
  Duration steady() const override { return now_; }
  Duration wall() const override { return 1'700'000'000s + now_; }
  Duration machine_duration(Duration) const override { return 0s; }
  void advance() { now_ += 1ms; }

 private:
  Duration now_ = 1h;
};

// Replacements in a configuration's text: what to find, and what to put there.
using Changes = std::vector<std::pair<std::string, std::string>>;

inline std::string with_changes(std::string text, const Changes& changes) {
  for (const auto& [from, to] : changes) {
    const std::size_t at = text.find(from);
    if (at == std::string::npos) {
      print("NOTHING TO REPLACE: " + from);
      continue;
    }
    text.replace(at, from.size(), to);
  }
  return text;
}

struct Scene {
  explicit Scene(const std::string& entries, const std::string& connect_timeout = "20000000",
                 const std::string& budget = "30000000", const std::string& tick = "5000",
                 const Changes& changes = {}, ManualClock* clock = nullptr)
      : text(with_changes(
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
        gatherer_config(config::parse_gatherer_config(text)),
        manual_clock(clock),
        gatherer(gatherer_config, {},
                 clock != nullptr ? static_cast<const TimeSource&>(*clock) : system_time_source()) {}
  // Runs on a manual clock, with changes to the configuration's text.
  Scene(const std::string& entries, ManualClock& clock, const Changes& changes = {})
      : Scene(entries, "250000", "30000000", "5000", changes, &clock) {}

  // Reloads the configuration with changes to its text, and prints whether it was accepted.
  void reload(const Changes& changes) {
    try {
      gatherer.reload(config::parse_gatherer_config(with_changes(text, changes)));
      print("-- read again");
    } catch (const std::exception& wrong) {
      print(std::string("-- refused: ") + wrong.what());
    }
  }

  // Runs the gatherer and the fake servers until a condition holds; ends the test after 20 s.
  void run_until(const char* what, const std::function<bool()>& holds) {
    const auto end = std::chrono::steady_clock::now() + 20s;
    for (;;) {
      for (FakeServer* server : fake_servers) server->process_input();
      if (holds()) return;
      if (std::chrono::steady_clock::now() > end) {
        std::printf("TIMED OUT waiting for %s\n", what);
        std::exit(1);
      }
      run_turn();
    }
  }
  void run_turn() {
    gatherer.loop().call_at(gatherer.loop().now() + 20ms,
                            [] {});  // so that the turn ends and the fake servers are polled
    running = gatherer.run_once() && running;
    if (manual_clock != nullptr) manual_clock->advance();
  }
  // Runs the gatherer until the manual clock has advanced by `time`.
  void advance(Duration time) {
    for (const Duration end = manual_clock->steady() + time; manual_clock->steady() < end;) {
      for (FakeServer* server : fake_servers) server->process_input();
      run_turn();
    }
  }
  // Waits for the next frame at a shard server, prints and returns it.
  FakeShardServer::Frame next_frame(FakeShardServer& server, const char* name) {
    run_until("a frame", [&] { return !server.frames.empty(); });
    const FakeShardServer::Frame frame = server.frames.front();
    server.frames.pop_front();
    print(std::string(name) + " gets " + frame.text);
    return frame;
  }
  // Waits for the client's response and prints it.
  void print_answer(Client& client, const char* name) {
    run_until("an answer", [&] { return client.answered(); });
    print(std::string(name) + " gets " + client.answer());
  }

  std::string text;
  config::GathererConfig gatherer_config;
  std::vector<FakeServer*> fake_servers;
  ManualClock* manual_clock;
  gatherer::Gatherer gatherer;
  bool running = true;  // until the gatherer ends after a planned stop
};

inline const std::string kOnePart = R"([{"slice":1,"mass":1}])";
inline const std::string kTwoParts = R"([{"slice":1,"mass":0.5},{"slice":3,"mass":0.5}])";

}  // namespace marbledyke::scene
