// The frames that gatherers and shard servers exchange: read from bytes as they come, and written.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/types.h"

namespace marbledyke::servers {

inline constexpr std::size_t kMostFrame = 256 * 1024;  // a value, as any body, is at most 64 KiB

struct Frame {
  char letter = 0;
  std::string rest;
};

// Reads one frame after another; what is read depends on the bytes alone, not on how they were split.
class FrameReader {
 public:
  enum class State { reading, done, bad };
  std::size_t take(std::string_view bytes);
  State state() const { return state_; }
  bool begun() const { return head_ > 0; }
  Frame& frame() { return frame_; }
  void restart() { *this = FrameReader(); }

 private:
  State state_ = State::reading;
  std::size_t head_ = 0;  // bytes of length and letter that are in
  std::size_t length_ = 0;
  Frame frame_;
};

// A part's answer.
struct PartAnswer {
  std::string id;
  char end = 0;  // S, E or B
  double score = 0;
  LoadReport report;
  std::string value;
};

std::optional<PartAnswer> read_answer(const Frame& frame, const std::vector<std::string>& report_fields);

// The named values of a report, in that order; no report where one of them is missing.
LoadReport read_report(std::string_view text, const std::vector<std::string>& fields);

// Begins a frame in `out` and gives its place; end_frame fills in the length.
std::size_t begin_frame(std::string& out, char letter);
void end_frame(std::string& out, std::size_t place);
void put_part(std::string& out, std::string_view id, int shard, std::string_view list, std::string_view text);

}  // namespace marbledyke::servers
