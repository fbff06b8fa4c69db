// The frames of the shard protocol, which gatherers and shard servers exchange: an incremental parser, and
// functions that write frames.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/types.h"

namespace marbledyke::servers {

inline constexpr std::size_t kMaxFrameBytes = 256 * 1024;  // any single body or value is at most 64 KiB

struct Frame {
  char type = 0;  // the byte after the length: '1' to '5' or 'X'
  std::string payload;
};

// Parses one frame at a time; reset() prepares for the next. The result depends on the bytes alone, not on
// how they were split between calls.
class FrameParser {
 public:
  enum class State { incomplete, complete, malformed };
  // Consumes bytes up to the end of the frame at most, and returns how many were consumed.
  std::size_t feed(std::string_view bytes);
  State state() const { return state_; }
  bool has_started() const { return header_bytes_ > 0; }
  Frame& frame() { return frame_; }
  void reset() { *this = FrameParser(); }

 private:
  State state_ = State::incomplete;
  std::size_t header_bytes_ = 0;  // bytes of the length and the type that have arrived
  std::size_t length_ = 0;
  Frame frame_;
};

// A shard server's answer to a part.
struct PartAnswer {
  std::string id;
  char outcome = 0;  // S (returned), E (application error) or B (pushed back)
  double score = 0;
  LoadReport report;
  std::string value;
};

// Parses a frame of type 5. Returns nothing for an invalid answer; an invalid load report leaves `report`
// empty.
std::optional<PartAnswer> parse_part_answer(const Frame& frame,
                                            const std::vector<std::string>& report_fields);

// Parses a load report: the values of the named fields in their order. Returns an empty report where one is
// missing.
LoadReport parse_load_report(std::string_view text, const std::vector<std::string>& fields);

// Begins a frame at the end of `out` and returns its offset, for which end_frame() then fills in the length.
std::size_t begin_frame(std::string& out, char type);
void end_frame(std::string& out, std::size_t offset);
// Appends a part to a frame of type 1. `list` is the comma-separated list of its settings, such as "d=240".
void append_part(std::string& out, std::string_view id, int shard, std::string_view list,
                 std::string_view text);

}  // namespace marbledyke::servers
