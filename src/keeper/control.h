// The control address of a keeper: JSON over HTTP/1.1 with an answer at once to each request.
#pragma once

#include <functional>
#include <string>

#include "net/json_server.h"

namespace marbledyke::keeper {

using Reply = net::JsonReply;

class Control {
 public:
  using Asked =
      std::function<Reply(const std::string& method, const std::string& target, const std::string& body)>;

  // Throws std::system_error where it cannot listen. A Unix socket that a former life left is replaced.
  Control(net::Loop& loop, const net::Address& address, Asked asked);

 private:
  Asked asked_;
  net::JsonServer server_;
};

}  // namespace marbledyke::keeper
