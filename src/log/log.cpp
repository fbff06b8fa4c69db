#include "log/log.h"

#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <cassert>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace marbledyke::log {
namespace {

// Both are indexed by Level.
constexpr std::array<const char*, 4> kLevelNames{"debug", "info", "warning", "error"};
constexpr std::array<spdlog::level::level_enum, 4> kSpdlogLevels{spdlog::level::debug, spdlog::level::info,
                                                                 spdlog::level::warn, spdlog::level::err};

struct LogState {
  LogState() : logger("marbledyke", std::make_shared<spdlog::sinks::stderr_sink_st>()) {
    logger.set_pattern("%v");
    logger.set_level(spdlog::level::warn);
    logger.flush_on(spdlog::level::debug);
  }
  spdlog::logger logger;
  Format format = Format::plain;
  std::string name = "marbledyke";
  std::function<void(const std::string&)> listener;
};

LogState& state() {
  static LogState instance;
  return instance;
}

// Appends a JSON string. Bytes that are not valid UTF-8, which only peers can cause, become question marks,
// so that each line remains valid JSON.
void append_quoted(std::string& out, std::string_view text) {
  static constexpr char kHex[] = "0123456789abcdef";
  out += '"';
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto c = static_cast<unsigned char>(text[i]);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += text[i];
    } else if (c < 0x20 || c == 0x7f) {
      out += "\\u00";
      out += kHex[c >> 4];
      out += kHex[c & 15];
    } else if (c < 0x80) {
      out += text[i];
    } else {
      const std::size_t continuation_bytes = c >= 0xf0 && c < 0xf5 ? 3 : c >= 0xe0 ? 2 : 1;
      bool valid = c >= 0xc2 && c < 0xf5 && i + continuation_bytes < text.size();
      for (std::size_t k = 1; valid && k <= continuation_bytes; ++k)
        valid = (static_cast<unsigned char>(text[i + k]) & 0xc0) == 0x80;
      // The second byte tells overlong forms, surrogates and values beyond the last code point (U+10FFFF).
      if (valid && continuation_bytes >= 2) {
        const auto second = static_cast<unsigned char>(text[i + 1]);
        valid = !(c == 0xe0 && second < 0xa0) && !(c == 0xed && second > 0x9f) &&
                !(c == 0xf0 && second < 0x90) && !(c == 0xf4 && second > 0x8f);
      }
      if (valid) {
        out.append(text.substr(i, continuation_bytes + 1));
        i += continuation_bytes;
      } else {
        out += '?';
      }
    }
  }
  out += '"';
}

bool needs_quotes(std::string_view text) {
  if (text.empty()) return true;
  for (const char c : text) {
    if (c <= ' ' || c == '"' || c == '\\' || c == '=' || c == 0x7f) return true;
  }
  return false;
}

void append_value(std::string& out, const Field::Value& value, Format format) {
  if (const auto* text = std::get_if<std::string_view>(&value)) {
    if (format == Format::json || needs_quotes(*text)) {
      append_quoted(out, *text);
    } else {
      out += *text;
    }
  } else if (const auto* integer = std::get_if<std::int64_t>(&value)) {
    out += std::to_string(*integer);
  } else if (const auto* real = std::get_if<double>(&value)) {
    out += fmt::format("{}", *real);
  } else {
    out += std::get<bool>(value) ? "true" : "false";
  }
}

std::string format_line(Format format, Level level, std::string_view name, Fields fields,
                        std::uint64_t suppressed) {
  const LogState& log = state();
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
  const char* const level_name = kLevelNames[static_cast<std::size_t>(level)];
  std::string line;
  line.reserve(160);
  if (format == Format::json) {
    line = fmt::format(R"({{"time":{}.{:03},"level":"{}","gatherer":)", ms / 1000, ms % 1000, level_name);
    append_quoted(line, log.name);
    line += ",\"event\":";
    append_quoted(line, name);
    for (const Field& field : fields) {
      line += ',';
      append_quoted(line, field.key);
      line += ':';
      append_value(line, field.value, Format::json);
    }
    if (suppressed > 0) line += fmt::format(",\"left_out\":{}", suppressed);
    line += '}';
  } else {
    line = fmt::format("{}.{:03} {} {} {}", ms / 1000, ms % 1000, level_name, log.name, name);
    for (const Field& field : fields) {
      line += ' ';
      line += field.key;
      line += '=';
      append_value(line, field.value, Format::plain);
    }
    if (suppressed > 0) line += fmt::format(" left_out={}", suppressed);
  }
  return line;
}

bool has_listener(Level level) { return level >= Level::info && state().listener != nullptr; }

void write_event(Level level, std::string_view name, Fields fields, std::uint64_t suppressed) {
  LogState& log = state();
  if (has_listener(level)) log.listener(format_line(Format::json, level, name, fields, suppressed));
  if (!is_enabled(level)) return;
  log.logger.log(kSpdlogLevels[static_cast<std::size_t>(level)],
                 format_line(log.format, level, name, fields, suppressed));
}

}  // namespace

void configure(Level min_level, Format format, std::string_view name) {
  state().logger.set_level(kSpdlogLevels[static_cast<std::size_t>(min_level)]);
  state().format = format;
  state().name = name;
}

bool is_enabled(Level level) {
  return state().logger.should_log(kSpdlogLevels[static_cast<std::size_t>(level)]);
}

void event(Level level, std::string_view name, Fields fields) {
  if (is_enabled(level) || has_listener(level)) write_event(level, name, fields, 0);
}

void set_listener(std::function<void(const std::string&)> listener) {
  state().listener = std::move(listener);
}

void RateLimitedEvent::write(Fields fields) {
  if (!is_enabled(level_) && !has_listener(level_)) return;
  using std::chrono::steady_clock;
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(steady_clock::now().time_since_epoch()).count();
  if (second == last_second_) {
    ++suppressed_;
    return;
  }
  last_second_ = second;
  write_event(level_, name_, fields, suppressed_);
  suppressed_ = 0;
}

}  // namespace marbledyke::log

namespace marbledyke {
namespace {
std::uint64_t violations = 0;
}

bool check_invariant(bool holds, std::string_view what) {
  if (holds) return true;
  ++violations;
  static log::RateLimitedEvent throttled(log::Level::error, "invariant.broken");
  throttled.write({{"what", what}, {"so_far", violations}});
  assert(false && "invariant violated");
  return false;
}

std::uint64_t invariant_violations() { return violations; }

}  // namespace marbledyke
