#include "model/random_hex.h"

#include <sys/random.h>

#include <cerrno>
#include <system_error>

namespace marbledyke {
namespace {

void fill_with_random_bytes(std::string& bytes) {
  for (std::size_t filled = 0; filled < bytes.size();) {
    const ssize_t count = getrandom(bytes.data() + filled, bytes.size() - filled, 0);
    if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "getrandom");
    if (count > 0) filled += static_cast<std::size_t>(count);
  }
}

}  // namespace

std::string random_hex(std::size_t byte_count) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string bytes(byte_count, '\0');
  fill_with_random_bytes(bytes);
  std::string out;
  out.reserve(2 * byte_count);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    out += kDigits[value >> 4];
    out += kDigits[value & 0xf];
  }
  return out;
}

}  // namespace marbledyke
