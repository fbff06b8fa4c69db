#include "servers/frames.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace marbledyke::servers {
namespace {

std::optional<double> parse_number(std::string_view text) {
  double out = 0;
  const auto [at, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || error != std::errc() || at != text.data() + text.size() || !std::isfinite(out))
    return std::nullopt;
  return out;
}

// Returns the name that the settings use for a value; load reports may use another one.
std::string_view settings_name(std::string_view name) {
  static constexpr std::array<std::pair<std::string_view, std::string_view>, 6> kNames{
      {{"inflight", "active"},
       {"queue", "waiting"},
       {"util", "cpu"},
       {"latency_ms", "avg_ms"},
       {"qps", "rps"},
       {"eps", "err_rps"}}};
  for (const auto& [reported, setting] : kNames) {
    if (name == reported) return setting;
  }
  return name;
}

std::string_view take_until(std::string_view& text, char separator) {
  const std::size_t end = text.find(separator);
  const std::string_view out = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return out;
}

}  // namespace

std::size_t FrameParser::feed(std::string_view bytes) {
  std::size_t used = 0;
  while (state_ == State::incomplete && used < bytes.size()) {
    if (header_bytes_ < 4) {
      length_ = length_ << 8 | static_cast<unsigned char>(bytes[used++]);
      if (++header_bytes_ == 4 && (length_ == 0 || length_ > kMaxFrameBytes)) state_ = State::malformed;
    } else if (header_bytes_ == 4) {
      frame_.type = bytes[used++];
      ++header_bytes_;
      if (std::string_view("12345X").find(frame_.type) == std::string_view::npos) state_ = State::malformed;
    } else {
      const std::size_t count = std::min(length_ - 1 - frame_.payload.size(), bytes.size() - used);
      frame_.payload.append(bytes, used, count);
      used += count;
    }
    if (state_ == State::incomplete && header_bytes_ == 5 && frame_.payload.size() == length_ - 1)
      state_ = State::complete;
  }
  return used;
}

LoadReport parse_load_report(std::string_view text, const std::vector<std::string>& fields) {
  LoadReport out;
  if (fields.empty() || fields.size() > out.values.size()) return {};
  std::array<bool, 4> found{};
  while (!text.empty()) {
    std::string_view pair = take_until(text, ',');
    const std::string_view name = settings_name(take_until(pair, '='));
    const auto value = parse_number(pair);
    for (std::size_t i = 0; value && i < fields.size(); ++i) {
      if (settings_name(fields[i]) != name) continue;
      out.values[i] = *value;
      found[i] = true;
    }
  }
  if (std::count(found.begin(), found.end(), true) != static_cast<std::ptrdiff_t>(fields.size())) return {};
  out.count = static_cast<int>(fields.size());
  return out;
}

std::optional<PartAnswer> parse_part_answer(const Frame& frame,
                                            const std::vector<std::string>& report_fields) {
  const std::size_t end = frame.payload.find('\n');
  if (end == std::string::npos) return std::nullopt;
  std::string_view line = std::string_view(frame.payload).substr(0, end);
  PartAnswer out;
  out.id = take_until(line, ' ');
  const std::string_view outcome = take_until(line, ' ');
  if (out.id.empty() || (outcome != "S" && outcome != "E" && outcome != "B")) return std::nullopt;
  out.outcome = outcome.front();
  const std::string_view score = take_until(line, ' ');
  const auto parsed_score = parse_number(score);
  if (!parsed_score && out.outcome == 'S') return std::nullopt;
  out.score = parsed_score.value_or(0);
  out.report = parse_load_report(line, report_fields);  // an invalid report leaves the answer valid
  out.value = frame.payload.substr(end + 1);
  return out;
}

std::size_t begin_frame(std::string& out, char type) {
  const std::size_t offset = out.size();
  out.append(4, '\0');
  out += type;
  return offset;
}

void end_frame(std::string& out, std::size_t offset) {
  const std::size_t length = out.size() - offset - 4;
  for (std::size_t i = 0; i < 4; ++i) out[offset + i] = static_cast<char>(length >> (24 - 8 * i) & 0xff);
}

void append_part(std::string& out, std::string_view id, int shard, std::string_view list,
                 std::string_view text) {
  out.append(id).append(" ").append(std::to_string(shard)).append(" ").append(list).append(" ");
  out.append(std::to_string(text.size())).append("\n").append(text);
}

}  // namespace marbledyke::servers
