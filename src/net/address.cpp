#include "net/address.h"

#include <arpa/inet.h>
#include <sys/un.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstring>

namespace marbledyke::net {
namespace {

constexpr std::array<std::string_view, 3> kFamilyNames{"local", "ip6", "ip4"};
constexpr std::string_view kUnixPrefix = "unix:";
constexpr std::size_t kMaxPathBytes = sizeof(sockaddr_un::sun_path) - 1;

template <typename T>
std::optional<T> parse_integer(std::string_view text, T min, T max) {
  T out = 0;
  const char* const end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, out);
  if (text.empty() || error != std::errc() || at != end || out < min || out > max) return std::nullopt;
  return out;
}

}  // namespace

std::string_view name_of(Family family) { return kFamilyNames[static_cast<std::size_t>(family)]; }

std::optional<Family> parse_family(std::string_view name) {
  const auto at = std::find(kFamilyNames.begin(), kFamilyNames.end(), name);
  if (at == kFamilyNames.end()) return std::nullopt;
  return static_cast<Family>(at - kFamilyNames.begin());
}

std::optional<Address> parse_address(std::string_view text) {
  Address out;
  if (text.starts_with(kUnixPrefix)) {
    const std::string_view path = text.substr(kUnixPrefix.size());
    if (path.size() < 2 || path.size() > kMaxPathBytes || (path.front() != '/' && path.front() != '@') ||
        path.find('\0') != std::string_view::npos)
      return std::nullopt;
    out.family_ = Family::local;
    out.bytes_ = path;
    return out;
  }
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto port = parse_integer<unsigned>(text.substr(colon + 1), 1, 65535);
  if (!port) return std::nullopt;
  out.port_ = static_cast<std::uint16_t>(*port);
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    if (const std::size_t percent = host.find('%'); percent != std::string_view::npos) {
      const auto scope = parse_integer<std::uint32_t>(host.substr(percent + 1), 1, 0xffffffff);
      if (!scope) return std::nullopt;
      out.scope_ = *scope;
      host = host.substr(0, percent);
    }
    out.family_ = Family::ip6;
    out.bytes_.assign(16, '\0');
    if (inet_pton(AF_INET6, std::string(host).c_str(), out.bytes_.data()) != 1) return std::nullopt;
    return out;
  }
  if (inet_pton(AF_INET, std::string(host).c_str(), out.bytes_.data()) != 1) return std::nullopt;
  return out;
}

std::string Address::text() const {
  if (family_ == Family::local) return std::string(kUnixPrefix) + bytes_;
  std::array<char, INET6_ADDRSTRLEN> host{};
  if (family_ == Family::ip4) {
    inet_ntop(AF_INET, bytes_.data(), host.data(), host.size());
    return std::string(host.data()) + ':' + std::to_string(port_);
  }
  inet_ntop(AF_INET6, bytes_.data(), host.data(), host.size());
  return '[' + std::string(host.data()) + (scope_ != 0 ? '%' + std::to_string(scope_) : "") +
         "]:" + std::to_string(port_);
}

socklen_t Address::to_sockaddr(sockaddr_storage& out) const {
  std::memset(&out, 0, sizeof out);
  if (family_ == Family::local) {
    sockaddr_un to{};
    to.sun_family = AF_UNIX;
    std::copy(bytes_.begin(), bytes_.end(), to.sun_path);
    const bool abstract = bytes_.front() == '@';
    if (abstract) to.sun_path[0] = '\0';
    std::memcpy(&out, &to, sizeof to);
    // The length delimits an abstract name; a path includes its terminating NUL.
    return static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + bytes_.size() + (abstract ? 0 : 1));
  }
  if (family_ == Family::ip6) {
    sockaddr_in6 to{};
    to.sin6_family = AF_INET6;
    to.sin6_port = htons(port_);
    to.sin6_scope_id = scope_;
    std::copy(bytes_.begin(), bytes_.end(), reinterpret_cast<char*>(&to.sin6_addr));
    std::memcpy(&out, &to, sizeof to);
    return sizeof to;
  }
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port_);
  std::copy(bytes_.begin(), bytes_.end(), reinterpret_cast<char*>(&to.sin_addr));
  std::memcpy(&out, &to, sizeof to);
  return sizeof to;
}

}  // namespace marbledyke::net
