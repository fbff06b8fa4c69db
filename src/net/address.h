// The address at which a peer listens: an IPv4 or IPv6 address with a port, or a Unix domain socket. A plain
// value: no name is resolved and no socket is opened.
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
// Returns nothing for an unknown name.
std::optional<Family> parse_family(std::string_view name);

// A socket address. Addresses are ordered by family, then by their numeric values or path.
class Address {
 public:
  // Makes 0.0.0.0:0, which no peer can have.
  Address() = default;

  Family family() const { return family_; }
  // Returns the notation used in configuration. Equal addresses have equal texts.
  std::string text() const;
  // Writes the address as the socket calls expect it, and returns its length in bytes.
  socklen_t to_sockaddr(sockaddr_storage& out) const;

  auto operator<=>(const Address&) const = default;

 private:
  friend std::optional<Address> parse_address(std::string_view text);

  Family family_ = Family::ip4;
  std::uint16_t port_ = 0;
  std::uint32_t scope_ = 0;  // the numeric IPv6 zone index; 0: none
  std::string bytes_ = std::string(
      4, '\0');  // an IP address in network byte order, or a path whose leading '@' stands for NUL
};

// Parses "1.2.3.4:90", "[fd00::1]:90", "[fe80::1%2]:90", "unix:/run/leaf.sock" or "unix:@abstract". Ports are
// 1 to 65535; a path has to be absolute and to fit sockaddr_un. Returns nothing for any other text.
std::optional<Address> parse_address(std::string_view text);

}  // namespace marbledyke::net
