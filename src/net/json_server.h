// JSON over HTTP/1.1 for a bounded number of callers. A request that is malformed, too large, half or slow
// gets an error within a bound; all others are told to the owner, who answers at once or later (a long poll).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/address.h"
#include "net/http.h"
#include "net/listener.h"
#include "net/loop.h"
#include "net/socket.h"

namespace marbledyke::net {

struct JsonRequest {
  std::string method, target, body;
};

struct JsonReply {
  int status = 200;
  std::string body;  // JSON
};

class JsonServer {
 public:
  using Caller = std::uint64_t;  // a connection; no two of one server have the same number
  struct Bounds {
    std::size_t callers = 64;       // connections; more wait in the backlog
    std::size_t body = 64 * 1024;   // bytes of a request's body
    Duration deferred{10'000'000};  // an owner who has not answered after this: 503
  };
  struct Told {
    // Answered with answer(), within this call or later. The caller asks nothing else before that.
    std::function<void(Caller, const JsonRequest&)> asked;
    // A caller that was asked for is gone, or was answered for its owner; answer() does nothing any more.
    std::function<void(Caller)> left;
  };

  // Throws std::system_error where it cannot listen. A Unix socket that a former life left is replaced.
  JsonServer(Loop& loop, const Address& address, const Bounds& bounds, Told told);
  ~JsonServer();
  JsonServer(const JsonServer&) = delete;
  JsonServer& operator=(const JsonServer&) = delete;

  void answer(Caller caller, const JsonReply& reply);
  std::size_t callers() const { return callers_.size(); }

 private:
  struct Connection;
  void came(Descriptor fd);
  void arrived(Connection& connection);
  void drained(Connection& connection);
  void ask(Connection& connection);
  void write(Connection& connection, const JsonReply& reply, bool stays);
  void drop(Connection& connection);
  void check(Connection& connection);
  void sweep();

  Loop& loop_;
  Bounds bounds_;
  Told told_;
  std::string path_;  // of a Unix socket's file
  std::unique_ptr<Listener> listener_;
  std::map<Caller, std::unique_ptr<Connection>> callers_;
  std::vector<std::unique_ptr<Connection>> graves_;
  Caller next_ = 1;
  Loop::Timer sweep_{};
};

}  // namespace marbledyke::net
