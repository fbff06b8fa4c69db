// Where a BER-encoded message ends (X.690), found as its bytes come, before any of it is decoded: its size
// and depth are bounded, and lengths that cannot be are refused.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace marbledyke::z3950 {

class BerScanner {
 public:
  enum class State { reading, done, bad };

  BerScanner(std::size_t most_bytes, std::size_t most_depth) : most_(most_bytes), depth_(most_depth) {}

  // Takes what belongs to the message and gives how much that was. The same whatever way it is cut.
  std::size_t take(std::string_view bytes);
  State state() const { return state_; }
  bool begun() const { return read_ > 0; }
  std::size_t size() const { return read_; }
  const char* complaint() const { return complaint_; }
  void restart() { *this = BerScanner(most_, depth_); }

 private:
  enum class At { tag, long_tag, length, long_length, content };
  static constexpr std::size_t kIndefinite = static_cast<std::size_t>(-1);

  void bad(const char* why);
  void element();  // tag and length are read
  void close();    // ends whatever is full

  std::size_t most_, depth_;
  State state_ = State::reading;
  At at_ = At::tag;
  std::size_t read_ = 0;
  unsigned char tag_ = 0;
  int tag_bytes_ = 0;
  bool zero_ = false;  // a tag of 0: the end of an indefinite one, if its length is 0
  int length_bytes_ = 0;
  std::size_t length_ = 0, skip_ = 0;
  std::vector<std::size_t> open_;  // where each open element ends; kIndefinite
  const char* complaint_ = "";
};

}  // namespace marbledyke::z3950
