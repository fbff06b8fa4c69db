// Descriptors held back for what must come through when everything else has taken the rest.
#pragma once

#include <fcntl.h>

#include <cstddef>
#include <vector>

#include "net/descriptor.h"

namespace marbledyke::net {

class Spare {
 public:
  explicit Spare(std::size_t count) : count_(count) { in_use(0); }

  // So many of them are needed now, or have been given back; the others are held.
  void in_use(std::size_t used) {
    const std::size_t want = used < count_ ? count_ - used : 0;
    while (held_.size() > want) held_.pop_back();
    while (held_.size() < want) {
      Descriptor fd(open("/dev/null", O_RDONLY | O_CLOEXEC));
      if (!fd) return;  // nobody had one to spare; tried again the next time
      held_.push_back(std::move(fd));
    }
  }

 private:
  std::size_t count_;
  std::vector<Descriptor> held_;
};

}  // namespace marbledyke::net
