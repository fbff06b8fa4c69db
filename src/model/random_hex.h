// Names that can neither be guessed nor occur again after a restart.
#pragma once

#include <cstddef>
#include <string>

namespace marbledyke {

// Returns random bytes of the operating system as twice as many hexadecimal digits. Needs no file
// descriptor. Throws std::system_error where the system provides none.
std::string random_hex(std::size_t byte_count);

}  // namespace marbledyke
