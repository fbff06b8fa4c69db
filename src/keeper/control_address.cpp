#include "keeper/control_address.h"

#include <arpa/inet.h>

namespace marbledyke::keeper {

std::string control_address_error(const net::Address& address) {
  sockaddr_storage storage{};
  address.to_sockaddr(storage);
  if (address.family() == net::Family::local) return {};
  if (address.family() == net::Family::ip4) {
    const auto* socket_address = reinterpret_cast<const sockaddr_in*>(&storage);
    const std::uint32_t ip = ntohl(socket_address->sin_addr.s_addr);
    if (ip == 0) return "a wildcard address";
    const bool allowed = ip >> 24 == 127 || ip >> 24 == 10 || ip >> 20 == (172U << 4 | 1) ||
                         ip >> 16 == (192U << 8 | 168) || ip >> 16 == (169U << 8 | 254);
    return allowed ? "" : "a public address";
  }
  const auto* socket_address = reinterpret_cast<const sockaddr_in6*>(&storage);
  const unsigned char* bytes = socket_address->sin6_addr.s6_addr;
  if (IN6_IS_ADDR_UNSPECIFIED(&socket_address->sin6_addr)) return "a wildcard address";
  const bool allowed = IN6_IS_ADDR_LOOPBACK(&socket_address->sin6_addr) || (bytes[0] & 0xfe) == 0xfc ||
                       (bytes[0] == 0xfe && (bytes[1] & 0xc0) == 0x80);
  return allowed ? "" : "a public address";
}

}  // namespace marbledyke::keeper
