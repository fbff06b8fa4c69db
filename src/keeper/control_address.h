// Where a control address may be, for the keeper that opens it and the tools that are told of it.
#pragma once

#include <string>

#include "net/address.h"

namespace marbledyke::keeper {

// Why nobody may be let in there: wildcard and public addresses. Empty: loopback, a private address (RFC
// 1918, RFC 4193, link-local) or a Unix socket.
std::string control_address_error(const net::Address& address);

}  // namespace marbledyke::keeper
