// Reads the logs of hollow receivers as they grow: who ran which revision from when on, and what it cost in
// calls and bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marbledyke::lab::scale {

struct Sample {
  std::int64_t us = 0;
  std::size_t node = 0;  // its place in the receiver's own order of nodes
  std::uint64_t calls = 0, read = 0, written = 0;
};

struct ReceiverRecord {
  struct Applied {
    std::int64_t us = 0, index = 0;
  };
  std::vector<Applied> applied;
  std::vector<Sample> samples;
  bool went_back = false;  // ran a revision that was not newer than the one before

  std::int64_t index() const { return applied.empty() ? 0 : applied.back().index; }
  // When it first ran that revision or a newer one.
  std::optional<std::int64_t> in_force_at(std::int64_t index) const;
};

// One line of a log into the records; lines that are not of this form are counted in `odd`.
void read_log_line(const std::string& line, std::vector<ReceiverRecord>& records, std::uint64_t& odd);

// Bytes of HTTP, both ways, and calls a second between the samples next to two moments; none without two
// samples of one life.
struct Traffic {
  double bytes_per_second = 0, calls_per_second = 0, seconds = 0;  // between the samples
};
std::optional<Traffic> traffic_of(const ReceiverRecord& record, std::int64_t from_us, std::int64_t until_us);
// The most bytes a second over any whole minute of samples.
std::optional<double> worst_minute_of(const ReceiverRecord& record, std::int64_t from_us);

class ReceiverLog {
 public:
  ReceiverLog(std::string path, std::size_t receivers) : path_(std::move(path)), records_(receivers) {}
  void read_on();  // what was written since
  const std::vector<ReceiverRecord>& records() const { return records_; }
  std::uint64_t odd_lines() const { return odd_; }

 private:
  std::string path_, partial_;
  std::uint64_t offset_ = 0, odd_ = 0;
  std::vector<ReceiverRecord> records_;
};

}  // namespace marbledyke::lab::scale
