// Where a peer listens: an IPv4 or IPv6 address with a port, or a local Unix socket. A plain value; nothing
// is looked up or opened.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace marbledyke::net {

enum class Family { local, ip6, ip4 };
std::string_view name_of(Family family);  // "local", "ip6", "ip4"
std::optional<Family> parse_family(std::string_view name);

class Address {
 public:
  Address() = default;  // 0.0.0.0:0, which no peer has

  Family family() const { return family_; }
  // As it is written in configuration; equal addresses have equal texts.
  std::string text() const;
  // In the form that sockets take; gives the length.
  socklen_t to_sockaddr(sockaddr_storage& out) const;

  // Of the same family in the same order every time.
  auto operator<=>(const Address&) const = default;

 private:
  friend std::optional<Address> parse_address(std::string_view text);

  Family family_ = Family::ip4;
  std::uint16_t port_ = 0;
  std::uint32_t scope_ = 0;                   // an IPv6 zone, by number
  std::string bytes_ = std::string(4, '\0');  // the address in network order; the path, '@' for a NUL first
};

// "1.2.3.4:90", "[fd00::1]:90", "[fe80::1%2]:90", "unix:/run/leaf.sock", "unix:@abstract". Ports 1 to 65535,
// paths that are absolute and fit a socket's address.
std::optional<Address> parse_address(std::string_view text);

}  // namespace marbledyke::net
