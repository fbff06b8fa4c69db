// YAZ's coder of BER with an owner, and what is made with it.
#pragma once

#include <yaz/proto.h>

#include <cstring>
#include <memory>
#include <string>
#include <type_traits>

namespace marbledyke::z3950 {

struct OdrFree {
  void operator()(ODR odr) const { odr_destroy(odr); }
};
using Odr = std::unique_ptr<std::remove_pointer_t<ODR>, OdrFree>;
inline Odr make_odr(int direction) { return Odr(odr_createmem(direction)); }

// Zeroed, and gone with the ODR.
template <class T>
T* made(ODR odr) {
  return static_cast<T*>(std::memset(odr_malloc(odr, sizeof(T)), 0, sizeof(T)));
}

// Empty where it cannot be encoded.
inline std::string encoded(ODR odr, Z_APDU* apdu) {
  if (z_APDU(odr, &apdu, 0, nullptr) == 0) return {};
  int size = 0;
  const char* const bytes = odr_getbuf(odr, &size, nullptr);
  return {bytes, static_cast<std::size_t>(size)};
}

}  // namespace marbledyke::z3950
