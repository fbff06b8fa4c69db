// The control interface of a keeper: JSON over HTTP/1.1. Each request is answered at once.
#pragma once

#include <functional>
#include <string>

#include "net/json_server.h"

namespace marbledyke::keeper {

using Reply = net::JsonReply;

class ControlServer {
 public:
  using Handler =
      std::function<Reply(const std::string& method, const std::string& target, const std::string& body)>;

  // Throws std::system_error where it cannot listen. Replaces the Unix socket that an earlier process left.
  ControlServer(net::Loop& loop, const net::Address& address, Handler handler);

 private:
  Handler handler_;
  net::JsonServer server_;
};

}  // namespace marbledyke::keeper
