#include "z3950/ber.h"

#include <algorithm>

namespace marbledyke::z3950 {

void BerScanner::bad(const char* why) {
  state_ = State::bad;
  complaint_ = why;
}

std::size_t BerScanner::take(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && state_ == State::reading) {
    if (at_ == At::content) {
      const std::size_t step = std::min(skip_, bytes.size() - used);
      used += step;
      read_ += step;
      skip_ -= step;
      if (skip_ == 0) {
        at_ = At::tag;
        close();
      }
      continue;
    }
    const auto byte = static_cast<unsigned char>(bytes[used++]);
    if (++read_ > most_) {
      bad("a message larger than may be");
      break;
    }
    switch (at_) {
      case At::tag:
        tag_ = byte;
        zero_ = byte == 0;
        tag_bytes_ = 0;
        at_ = (byte & 0x1f) == 0x1f ? At::long_tag : At::length;
        break;
      case At::long_tag:
        if (++tag_bytes_ > 4) {
          bad("a tag of over four bytes");
        } else if ((byte & 0x80) == 0) {
          at_ = At::length;
        }
        break;
      case At::length:
        length_ = byte;
        if (byte == 0x80) {
          length_ = kIndefinite;
          element();
        } else if (byte > 0x80) {
          length_bytes_ = byte & 0x7f;
          length_ = 0;
          if (length_bytes_ > 4) {
            bad("a length of over four bytes");
          } else {
            at_ = At::long_length;
          }
        } else {
          element();
        }
        break;
      case At::long_length:
        length_ = length_ << 8 | byte;
        if (--length_bytes_ == 0) element();
        break;
      case At::content:
        break;
    }
  }
  return used;
}

void BerScanner::element() {
  const bool constructed = (tag_ & 0x20) != 0;
  at_ = At::tag;
  if (zero_) {
    if (length_ != 0 || open_.empty() || open_.back() != kIndefinite)
      return bad("an end where nothing of indefinite length is open");
    open_.pop_back();
    return close();
  }
  if (length_ == kIndefinite) {
    if (!constructed) return bad("a primitive of indefinite length");
    if (open_.size() >= depth_) return bad("nested deeper than may be");
    open_.push_back(kIndefinite);
    return;
  }
  if (length_ > most_ || read_ + length_ > most_) return bad("a message larger than may be");
  const std::size_t end = read_ + length_;
  for (auto at = open_.rbegin(); at != open_.rend(); ++at) {
    if (*at == kIndefinite) continue;
    if (end > *at) return bad("an element that ends behind the one around it");
    break;
  }
  if (constructed && length_ > 0) {
    if (open_.size() >= depth_) return bad("nested deeper than may be");
    open_.push_back(end);
    return;
  }
  if (length_ > 0) {
    skip_ = length_;
    at_ = At::content;
    return;
  }
  close();
}

void BerScanner::close() {
  while (!open_.empty() && open_.back() != kIndefinite && open_.back() <= read_) open_.pop_back();
  if (open_.empty()) state_ = State::done;
}

}  // namespace marbledyke::z3950
