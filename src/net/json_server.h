// A JSON-over-HTTP/1.1 server for a bounded number of connections. Requests that are malformed, too large,
// incomplete or slow are answered with an error within a time limit; all others are passed to the owner,
// which replies at once or later (long polling).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/address.h"
#include "net/http.h"
#include "net/listener.h"
#include "net/loop.h"
#include "net/memory_budget.h"
#include "net/socket.h"

namespace marbledyke::net {

using namespace std::chrono_literals;

struct JsonRequest {
  std::string method, target, body;
};

struct JsonReply {
  int status = 200;
  std::string body;  // JSON
};

class JsonServer {
 public:
  using ConnectionId = std::uint64_t;  // unique over the server's lifetime
  struct Limits {
    std::size_t max_connections = 64;               // further ones wait in the backlog
    std::size_t max_body_bytes = 64 * 1024;         // of a request
    Duration reply_timeout = 10s;                   // without a reply within this, the server sends 503
    std::size_t max_held_bytes = 64 * 1024 * 1024;  // of all connections; see MemoryBudget
  };
  struct Callbacks {
    // The owner calls send_reply(), within this call or later. The connection carries no other request before
    // that.
    std::function<void(ConnectionId, const JsonRequest&)> on_request;
    // The connection closed before the reply, or the reply timed out; send_reply() has no effect any more.
    std::function<void(ConnectionId)> on_abandoned;
  };

  // Throws std::system_error where the address cannot be listened on. Replaces the file of a Unix socket that
  // an earlier process left behind.
  JsonServer(Loop& loop, const Address& address, const Limits& limits, Callbacks callbacks);
  ~JsonServer();
  JsonServer(const JsonServer&) = delete;
  JsonServer& operator=(const JsonServer&) = delete;

  void send_reply(ConnectionId id, const JsonReply& reply);
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t held_bytes() const { return memory_.used(); }

 private:
  struct Connection;
  void on_accepted(Descriptor fd);
  void on_data(Connection& connection);
  void on_drained(Connection& connection);
  void read_requests(Connection& connection);
  void serve_next_request(ConnectionId id);
  std::optional<Duration> releasable_since(const Connection& connection) const;
  void update_memory(Connection& connection);
  void release_memory(Connection& connection);
  void dispatch(Connection& connection);
  void write(Connection& connection, const JsonReply& reply, bool keep_alive);
  void drop(Connection& connection);
  void check(Connection& connection);
  void sweep();

  Loop& loop_;
  Limits limits_;
  Callbacks callbacks_;
  MemoryBudget memory_;
  std::string path_;  // of a Unix socket's file
  std::unique_ptr<Listener> listener_;
  std::map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>>
      closed_;  // destroyed in a later turn, as their callbacks may be running
  ConnectionId next_id_ = 1;
  Loop::Timer sweep_timer_{};
  // Expires with this object, for timers that may outlive it.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace marbledyke::net
