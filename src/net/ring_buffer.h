// A ring buffer of bytes that grows by need up to a bound and gives its memory back once it is empty.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <span>
#include <string_view>

namespace marbledyke::net {

class RingBuffer {
 public:
  explicit RingBuffer(std::size_t most) : max_size_(most) {}

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  bool full() const { return size_ == max_size_; }

  // The first unbroken run of what is held.
  std::string_view front() const { return {bytes_.get() + start_, std::min(size_, capacity_ - start_)}; }

  void consume(std::size_t count) {
    size_ -= count;
    start_ = size_ == 0 ? 0 : (start_ + count) % capacity_;
    if (size_ == 0 && capacity_ > kSmall) {
      bytes_.reset();
      capacity_ = 0;
    }
  }

  // An unbroken run to write to, of at least one byte unless the ring is full; filled() says how much was
  // used.
  std::span<char> prepare() {
    if (size_ == capacity_) grow(size_ + 1);
    const std::size_t end = (start_ + size_) % std::max<std::size_t>(capacity_, 1);
    const std::size_t most = end < start_ ? start_ - end : capacity_ - end;
    return {bytes_.get() + end, std::min(most, capacity_ - size_)};
  }
  void commit(std::size_t count) { size_ += count; }

  // False, and nothing is taken, where the bound does not allow it.
  bool append(std::string_view text) {
    if (text.size() > max_size_ - size_) return false;
    if (size_ + text.size() > capacity_) grow(size_ + text.size());
    while (!text.empty()) {
      const std::span<char> to = prepare();
      const std::size_t count = text.copy(to.data(), to.size());
      commit(count);
      text.remove_prefix(count);
    }
    return true;
  }

  void clear() { consume(size_); }

 private:
  static constexpr std::size_t kSmall = 4096;

  void grow(std::size_t want) {
    if (want > max_size_) return;
    std::size_t room = std::max(capacity_, kSmall);
    while (room < want) room *= 2;
    room = std::min(room, std::max(max_size_, want));
    auto bytes = std::make_unique<char[]>(room);
    const std::size_t first = std::min(size_, capacity_ - start_);
    std::copy_n(bytes_.get() + start_, first, bytes.get());
    std::copy_n(bytes_.get(), size_ - first, bytes.get() + first);
    bytes_ = std::move(bytes);
    capacity_ = room;
    start_ = 0;
  }

  std::size_t max_size_;
  std::unique_ptr<char[]> bytes_;
  std::size_t capacity_ = 0, start_ = 0, size_ = 0;
};

}  // namespace marbledyke::net
