#include "keeper/control.h"

namespace marbledyke::keeper {

Control::Control(net::Loop& loop, const net::Address& address, Asked asked)
    : asked_(std::move(asked)),
      server_(loop, address, {},
              {[this](net::JsonServer::ConnectionId caller, const net::JsonRequest& request) {
                 server_.send_reply(caller, asked_(request.method, request.target, request.body));
               },
               nullptr}) {}

}  // namespace marbledyke::keeper
