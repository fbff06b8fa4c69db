#include "keeper/control_address.h"

#include <arpa/inet.h>

namespace marbledyke::keeper {

std::string control_address_error(const net::Address& address) {
  sockaddr_storage storage{};
  address.put(storage);
  if (address.family() == net::Family::local) return {};
  if (address.family() == net::Family::ip4) {
    const auto* in = reinterpret_cast<const sockaddr_in*>(&storage);
    const std::uint32_t ip = ntohl(in->sin_addr.s_addr);
    if (ip == 0) return "a wildcard address";
    const bool fine = ip >> 24 == 127 || ip >> 24 == 10 || ip >> 20 == (172U << 4 | 1) ||
                      ip >> 16 == (192U << 8 | 168) || ip >> 16 == (169U << 8 | 254);
    return fine ? "" : "a public address";
  }
  const auto* in = reinterpret_cast<const sockaddr_in6*>(&storage);
  const unsigned char* b = in->sin6_addr.s6_addr;
  if (IN6_IS_ADDR_UNSPECIFIED(&in->sin6_addr)) return "a wildcard address";
  const bool fine = IN6_IS_ADDR_LOOPBACK(&in->sin6_addr) || (b[0] & 0xfe) == 0xfc ||
                    (b[0] == 0xfe && (b[1] & 0xc0) == 0x80);
  return fine ? "" : "a public address";
}

}  // namespace marbledyke::keeper
