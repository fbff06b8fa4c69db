// A file descriptor that is closed when its single owner is destroyed.
#pragma once

#include <unistd.h>

#include <utility>

namespace marbledyke::net {

// Owns a file descriptor, or none (-1). Movable, not copyable.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    if (this != &other) {
      close();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  ~Descriptor() { close(); }

  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }

 private:
  int fd_ = -1;
};

}  // namespace marbledyke::net
