// A reserve of file descriptors for operations that have to succeed when all other descriptors are in use.
#pragma once

#include <fcntl.h>

#include <cstddef>
#include <vector>

#include "net/descriptor.h"

namespace marbledyke::net {

// Holds open descriptors of /dev/null and closes them on demand.
class DescriptorReserve {
 public:
  explicit DescriptorReserve(std::size_t count) : count_(count) { set_in_use(0); }

  std::size_t held_count() const { return held_.size(); }

  // Closes one reserved descriptor, so that another can be opened. Returns false where none is held.
  bool release_one() {
    if (held_.empty()) return false;
    held_.pop_back();
    return true;
  }

  // Opens one reserved descriptor again. Returns false where no descriptor is available.
  bool reacquire_one() {
    Descriptor fd(open("/dev/null", O_RDONLY | O_CLOEXEC));
    if (!fd) return false;
    held_.push_back(std::move(fd));
    return true;
  }

  // Declares how many descriptors of the reserve are in use at present, and holds the others.
  void set_in_use(std::size_t used) {
    const std::size_t wanted = used < count_ ? count_ - used : 0;
    while (held_.size() > wanted) held_.pop_back();
    while (held_.size() < wanted) {
      if (!reacquire_one()) return;  // no descriptor available; the next call tries again
    }
  }

 private:
  std::size_t count_;
  std::vector<Descriptor> held_;
};

}  // namespace marbledyke::net
