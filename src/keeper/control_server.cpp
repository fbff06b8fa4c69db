#include "keeper/control_server.h"

namespace marbledyke::keeper {

ControlServer::ControlServer(net::Loop& loop, const net::Address& address, Handler handler)
    : handler_(std::move(handler)),
      server_(loop, address, {},
              {[this](net::JsonServer::ConnectionId caller, const net::JsonRequest& request) {
                 server_.send_reply(caller, handler_(request.method, request.target, request.body));
               },
               nullptr}) {}

}  // namespace marbledyke::keeper
