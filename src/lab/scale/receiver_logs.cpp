#include "lab/scale/receiver_logs.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

namespace marbledyke::lab::scale {
namespace {

constexpr std::int64_t kMinute = 60'000'000;  // microseconds

double seconds_between(const Sample& from, const Sample& until) {
  return static_cast<double>(until.us - from.us) / 1e6;
}

double bytes_between(const Sample& from, const Sample& until) {
  return static_cast<double>(until.read - from.read) + static_cast<double>(until.written - from.written);
}

bool of_one_life(const Sample& from, const Sample& until) {
  return until.us > from.us && until.calls >= from.calls && until.read >= from.read &&
         until.written >= from.written;
}

// The last sample at or before that moment.
std::vector<Sample>::const_iterator before(const std::vector<Sample>& samples, std::int64_t us) {
  const auto after = std::upper_bound(samples.begin(), samples.end(), us,
                                      [](std::int64_t at, const Sample& s) { return at < s.us; });
  return after == samples.begin() ? samples.end() : std::prev(after);
}

}  // namespace

std::optional<std::int64_t> ReceiverRecord::in_force_at(std::int64_t index) const {
  const auto at =
      std::find_if(applied.begin(), applied.end(), [&](const Applied& one) { return one.index >= index; });
  if (at == applied.end()) return std::nullopt;
  return at->us;
}

void read_log_line(const std::string& line, std::vector<ReceiverRecord>& records, std::uint64_t& odd) {
  std::istringstream fields(line);
  char kind = 0;
  std::int64_t us = 0;
  std::size_t number = 0;
  if (!(fields >> kind >> us >> number) || number >= records.size()) {
    ++odd;
    return;
  }
  ReceiverRecord& record = records[number];
  std::int64_t index = 0;
  Sample sample;
  sample.us = us;
  if (kind == 'A' && fields >> index) {
    record.went_back = record.went_back || index <= record.index();
    record.applied.push_back({us, index});
  } else if (kind == 'B' && fields >> sample.node >> sample.calls >> sample.read >> sample.written) {
    record.samples.push_back(sample);
  } else {
    ++odd;
  }
}

std::optional<Traffic> traffic_of(const ReceiverRecord& record, std::int64_t from_us, std::int64_t until_us) {
  const auto first = before(record.samples, from_us), last = before(record.samples, until_us);
  if (first == record.samples.end() || last == record.samples.end() || !of_one_life(*first, *last))
    return std::nullopt;
  const double seconds = seconds_between(*first, *last);
  return Traffic{bytes_between(*first, *last) / seconds,
                 static_cast<double>(last->calls - first->calls) / seconds, seconds};
}

std::optional<double> worst_minute_of(const ReceiverRecord& record, std::int64_t from_us) {
  std::optional<double> worst;
  for (auto last = record.samples.begin(); last != record.samples.end(); ++last) {
    const auto first = before(record.samples, last->us - kMinute);
    if (first == record.samples.end() || first->us < from_us || !of_one_life(*first, *last)) continue;
    const double rate = bytes_between(*first, *last) / seconds_between(*first, *last);
    worst = std::max(worst.value_or(0), rate);
  }
  return worst;
}

void ReceiverLog::read_on() {
  std::ifstream in(path_, std::ios::binary);
  if (!in) return;
  in.seekg(static_cast<std::streamoff>(offset_));
  const std::string fresh{std::istreambuf_iterator<char>(in), {}};
  offset_ += fresh.size();
  partial_ += fresh;
  std::size_t from = 0;
  for (std::size_t end; (end = partial_.find('\n', from)) != std::string::npos; from = end + 1)
    read_log_line(partial_.substr(from, end - from), records_, odd_);
  partial_.erase(0, from);
}

}  // namespace marbledyke::lab::scale
