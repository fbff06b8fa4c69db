// A ring buffer of bytes that grows on demand up to a bound and frees its memory once it is empty.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <span>
#include <string_view>

namespace marbledyke::net {

class RingBuffer {
 public:
  // Holds at most max_size bytes.
  explicit RingBuffer(std::size_t max_size) : max_size_(max_size) {}

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  bool full() const { return size_ == max_size_; }
  // Returns the bytes of memory that the buffer occupies beyond the least, which it keeps while it is empty.
  std::size_t extra_bytes() const { return capacity_ > kMinCapacity ? capacity_ : 0; }

  // Returns the first contiguous run of the bytes held; valid until the next change.
  std::string_view front() const { return {bytes_.get() + start_, std::min(size_, capacity_ - start_)}; }

  // Removes bytes from the front; count is at most size().
  void consume(std::size_t count) {
    size_ -= count;
    start_ = size_ == 0 ? 0 : (start_ + count) % capacity_;
    if (size_ == 0 && capacity_ > kMinCapacity) {
      bytes_.reset();
      capacity_ = 0;
    }
  }

  // Returns a contiguous run to write to, of at least one byte unless the buffer is full. commit() then says
  // how many bytes of it were written.
  std::span<char> prepare() {
    if (size_ == capacity_) grow(size_ + 1);
    const std::size_t end = (start_ + size_) % std::max<std::size_t>(capacity_, 1);
    const std::size_t contiguous = end < start_ ? start_ - end : capacity_ - end;
    return {bytes_.get() + end, std::min(contiguous, capacity_ - size_)};
  }
  void commit(std::size_t count) { size_ += count; }

  // Appends the whole text, or nothing where it would exceed the bound. Returns whether it was appended.
  bool append(std::string_view text) {
    if (text.size() > max_size_ - size_) return false;
    if (size_ + text.size() > capacity_) grow(size_ + text.size());
    while (!text.empty()) {
      const std::span<char> target = prepare();
      const std::size_t count = text.copy(target.data(), target.size());
      commit(count);
      text.remove_prefix(count);
    }
    return true;
  }

  void clear() { consume(size_); }

 private:
  static constexpr std::size_t kMinCapacity = 4096;

  void grow(std::size_t wanted) {
    if (wanted > max_size_) return;
    std::size_t capacity = std::max(capacity_, kMinCapacity);
    while (capacity < wanted) capacity *= 2;
    capacity = std::min(capacity, std::max(max_size_, wanted));
    auto bytes = std::make_unique<char[]>(capacity);
    const std::size_t first = std::min(size_, capacity_ - start_);
    std::copy_n(bytes_.get() + start_, first, bytes.get());
    std::copy_n(bytes_.get(), size_ - first, bytes.get() + first);
    bytes_ = std::move(bytes);
    capacity_ = capacity;
    start_ = 0;
  }

  std::size_t max_size_;
  std::unique_ptr<char[]> bytes_;
  std::size_t capacity_ = 0, start_ = 0, size_ = 0;
};

}  // namespace marbledyke::net
