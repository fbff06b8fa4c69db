// The rule for control addresses, shared by the programs that listen on one and the tools that connect to
// one.
#pragma once

#include <string>

#include "net/address.h"

namespace marbledyke::keeper {

// Returns what kind of forbidden address this is (a wildcard or a public one); empty where it is allowed: a
// loopback address, a private one (RFC 1918, RFC 4193, link-local) or a Unix socket.
std::string control_address_error(const net::Address& address);

}  // namespace marbledyke::keeper
