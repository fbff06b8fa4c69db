// The frames that gatherers and shard servers exchange: read from bytes as they come, and written.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/plain.h"

namespace marbledyke::servers {

inline constexpr std::size_t kMaxFrameBytes = 256 * 1024;  // a value, as any body, is at most 64 KiB

struct Frame {
  char type = 0;
  std::string payload;
};

// Reads one frame after another; what is read depends on the bytes alone, not on how they were split.
class FrameParser {
 public:
  enum class State { incomplete, complete, malformed };
  std::size_t feed(std::string_view bytes);
  State state() const { return state_; }
  bool has_started() const { return head_ > 0; }
  Frame& frame() { return frame_; }
  void reset() { *this = FrameParser(); }

 private:
  State state_ = State::incomplete;
  std::size_t head_ = 0;  // bytes of length and letter that are in
  std::size_t length_ = 0;
  Frame frame_;
};

// A part's answer.
struct PartAnswer {
  std::string id;
  char outcome = 0;  // S, E or B
  double score = 0;
  LoadReport report;
  std::string value;
};

std::optional<PartAnswer> parse_part_answer(const Frame& frame,
                                            const std::vector<std::string>& report_fields);

// The named values of a report, in that order; no report where one of them is missing.
LoadReport parse_load_report(std::string_view text, const std::vector<std::string>& fields);

// Begins a frame in `out` and gives its place; end_frame fills in the length.
std::size_t begin_frame(std::string& out, char type);
void end_frame(std::string& out, std::size_t place);
void append_part(std::string& out, std::string_view id, int shard, std::string_view list,
                 std::string_view text);

}  // namespace marbledyke::servers
