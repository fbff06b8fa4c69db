// Descriptors held back for what must come through when everything else has taken the rest.
#pragma once

#include <fcntl.h>

#include <cstddef>
#include <vector>

#include "net/descriptor.h"

namespace marbledyke::net {

class DescriptorReserve {
 public:
  explicit DescriptorReserve(std::size_t count) : count_(count) { set_in_use(0); }

  std::size_t held_count() const { return held_.size(); }

  // Gives one of them up, so that the next descriptor can be opened; false: none is held.
  bool release_one() {
    if (held_.empty()) return false;
    held_.pop_back();
    return true;
  }

  // Takes one back; false: there is no descriptor to be had now.
  bool reacquire_one() {
    Descriptor fd(open("/dev/null", O_RDONLY | O_CLOEXEC));
    if (!fd) return false;
    held_.push_back(std::move(fd));
    return true;
  }

  // So many of them are needed now, or have been given back; the others are held.
  void set_in_use(std::size_t used) {
    const std::size_t want = used < count_ ? count_ - used : 0;
    while (held_.size() > want) held_.pop_back();
    while (held_.size() < want) {
      if (!reacquire_one()) return;  // nobody had one to spare; tried again the next time
    }
  }

 private:
  std::size_t count_;
  std::vector<Descriptor> held_;
};

}  // namespace marbledyke::net
