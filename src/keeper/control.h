// The control address of a keeper: JSON over HTTP/1.1. A request that is malformed, too large, half or slow gets
// an error within a bound; what it asks for is answered by whoever owns this.
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

namespace marbledyke::keeper {

struct Reply {
  int status = 200;
  std::string body;  // JSON
};

class Control {
 public:
  using Asked = std::function<Reply(const std::string& method, const std::string& target, const std::string& body)>;

  static constexpr std::size_t kMostBody = 64 * 1024;
  static constexpr std::size_t kMostCallers = 64;

  // Throws std::system_error where it cannot listen. A Unix socket that a former life left is replaced.
  Control(net::Loop& loop, const net::Address& address, Asked asked);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

 private:
  struct Caller;
  void came(net::Descriptor fd);
  void arrived(Caller& caller);
  void answer(Caller& caller, const Reply& reply, bool stays);
  void drop(Caller& caller);
  void sweep();

  net::Loop& loop_;
  Asked asked_;
  std::string path_;  // of a Unix socket's file
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<Caller>> graves_;
  std::uint64_t next_ = 1;
  net::Loop::Timer sweep_{};
};

}  // namespace marbledyke::keeper
