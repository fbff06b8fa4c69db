#include "servers/frames.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace marbledyke::servers {
namespace {

std::optional<double> number(std::string_view text) {
  double out = 0;
  const auto [at, wrong] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || wrong != std::errc() || at != text.data() + text.size() || !std::isfinite(out))
    return std::nullopt;
  return out;
}

// The same value goes by one name in the terms and by another in reports.
std::string_view plain_name(std::string_view name) {
  static constexpr std::array<std::pair<std::string_view, std::string_view>, 6> kNames{
      {{"inflight", "active"},
       {"queue", "waiting"},
       {"util", "cpu"},
       {"latency_ms", "avg_ms"},
       {"qps", "rps"},
       {"eps", "err_rps"}}};
  for (const auto& [reported, termed] : kNames) {
    if (name == reported) return termed;
  }
  return name;
}

std::string_view cut(std::string_view& text, char at) {
  const std::size_t end = text.find(at);
  const std::string_view out = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return out;
}

}  // namespace

std::size_t FrameReader::take(std::string_view bytes) {
  std::size_t used = 0;
  while (state_ == State::reading && used < bytes.size()) {
    if (head_ < 4) {
      length_ = length_ << 8 | static_cast<unsigned char>(bytes[used++]);
      if (++head_ == 4 && (length_ == 0 || length_ > kMostFrame)) state_ = State::bad;
    } else if (head_ == 4) {
      frame_.letter = bytes[used++];
      ++head_;
      if (std::string_view("12345X").find(frame_.letter) == std::string_view::npos) state_ = State::bad;
    } else {
      const std::size_t count = std::min(length_ - 1 - frame_.rest.size(), bytes.size() - used);
      frame_.rest.append(bytes, used, count);
      used += count;
    }
    if (state_ == State::reading && head_ == 5 && frame_.rest.size() == length_ - 1) state_ = State::done;
  }
  return used;
}

LoadReport read_report(std::string_view text, const std::vector<std::string>& fields) {
  LoadReport out;
  if (fields.empty() || fields.size() > out.values.size()) return {};
  std::array<bool, 4> seen{};
  while (!text.empty()) {
    std::string_view pair = cut(text, ',');
    const std::string_view name = plain_name(cut(pair, '='));
    const auto value = number(pair);
    for (std::size_t i = 0; value && i < fields.size(); ++i) {
      if (plain_name(fields[i]) != name) continue;
      out.values[i] = *value;
      seen[i] = true;
    }
  }
  if (std::count(seen.begin(), seen.end(), true) != static_cast<std::ptrdiff_t>(fields.size())) return {};
  out.count = static_cast<int>(fields.size());
  return out;
}

std::optional<PartAnswer> read_answer(const Frame& frame, const std::vector<std::string>& report_fields) {
  const std::size_t end = frame.rest.find('\n');
  if (end == std::string::npos) return std::nullopt;
  std::string_view line = std::string_view(frame.rest).substr(0, end);
  PartAnswer out;
  out.id = cut(line, ' ');
  const std::string_view ending = cut(line, ' ');
  if (out.id.empty() || (ending != "S" && ending != "E" && ending != "B")) return std::nullopt;
  out.end = ending.front();
  const std::string_view score = cut(line, ' ');
  const auto read = number(score);
  if (!read && out.end == 'S') return std::nullopt;
  out.score = read.value_or(0);
  out.report = read_report(line, report_fields);  // one that makes no sense is none, and spoils nothing
  out.value = frame.rest.substr(end + 1);
  return out;
}

std::size_t begin_frame(std::string& out, char letter) {
  const std::size_t place = out.size();
  out.append(4, '\0');
  out += letter;
  return place;
}

void end_frame(std::string& out, std::size_t place) {
  const std::size_t length = out.size() - place - 4;
  for (std::size_t i = 0; i < 4; ++i) out[place + i] = static_cast<char>(length >> (24 - 8 * i) & 0xff);
}

void put_part(std::string& out, std::string_view id, int shard, std::string_view list,
              std::string_view text) {
  out.append(id).append(" ").append(std::to_string(shard)).append(" ").append(list).append(" ");
  out.append(std::to_string(text.size())).append("\n").append(text);
}

}  // namespace marbledyke::servers
