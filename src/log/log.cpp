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

constexpr std::array<const char*, 4> kLevels{"debug", "info", "warning", "error"};
constexpr std::array<spdlog::level::level_enum, 4> kTheirs{spdlog::level::debug, spdlog::level::info,
                                                           spdlog::level::warn, spdlog::level::err};

struct State {
  State() : logger("marbledyke", std::make_shared<spdlog::sinks::stderr_sink_st>()) {
    logger.set_pattern("%v");
    logger.set_level(spdlog::level::warn);
    logger.flush_on(spdlog::level::debug);
  }
  spdlog::logger logger;
  Format form = Format::plain;
  std::string name = "marbledyke";
  std::function<void(const std::string&)> tap;
};

State& state() {
  static State one;
  return one;
}

// A JSON string; bytes that are no UTF-8 are peers' doing and become question marks, so that each line can be
// read.
void put_quoted(std::string& out, std::string_view text) {
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
      const std::size_t more = c >= 0xf0 && c < 0xf5 ? 3 : c >= 0xe0 ? 2 : 1;
      bool fine = c >= 0xc2 && c < 0xf5 && i + more < text.size();
      for (std::size_t k = 1; fine && k <= more; ++k)
        fine = (static_cast<unsigned char>(text[i + k]) & 0xc0) == 0x80;
      // Overlong forms, surrogates and what is beyond the last code point are told by the second byte.
      if (fine && more >= 2) {
        const auto second = static_cast<unsigned char>(text[i + 1]);
        fine = !(c == 0xe0 && second < 0xa0) && !(c == 0xed && second > 0x9f) &&
               !(c == 0xf0 && second < 0x90) && !(c == 0xf4 && second > 0x8f);
      }
      if (fine) {
        out.append(text.substr(i, more + 1));
        i += more;
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

void put_value(std::string& out, const Field::Value& value, Format form) {
  if (const auto* text = std::get_if<std::string_view>(&value)) {
    if (form == Format::json || needs_quotes(*text)) {
      put_quoted(out, *text);
    } else {
      out += *text;
    }
  } else if (const auto* whole = std::get_if<std::int64_t>(&value)) {
    out += std::to_string(*whole);
  } else if (const auto* real = std::get_if<double>(&value)) {
    out += fmt::format("{}", *real);
  } else {
    out += std::get<bool>(value) ? "true" : "false";
  }
}

std::string line_of(Format form, Level level, std::string_view name, Fields fields, std::uint64_t left_out) {
  State& to = state();
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
  const char* const word = kLevels[static_cast<std::size_t>(level)];
  std::string line;
  line.reserve(160);
  if (form == Format::json) {
    line = fmt::format(R"({{"time":{}.{:03},"level":"{}","gatherer":)", ms / 1000, ms % 1000, word);
    put_quoted(line, to.name);
    line += ",\"event\":";
    put_quoted(line, name);
    for (const Field& field : fields) {
      line += ',';
      put_quoted(line, field.key);
      line += ':';
      put_value(line, field.value, Format::json);
    }
    if (left_out > 0) line += fmt::format(",\"left_out\":{}", left_out);
    line += '}';
  } else {
    line = fmt::format("{}.{:03} {} {} {}", ms / 1000, ms % 1000, word, to.name, name);
    for (const Field& field : fields) {
      line += ' ';
      line += field.key;
      line += '=';
      put_value(line, field.value, Format::plain);
    }
    if (left_out > 0) line += fmt::format(" left_out={}", left_out);
  }
  return line;
}

bool tapped(Level level) { return level >= Level::info && state().tap != nullptr; }

void put(Level level, std::string_view name, Fields fields, std::uint64_t left_out) {
  State& to = state();
  if (tapped(level)) to.tap(line_of(Format::json, level, name, fields, left_out));
  if (!is_enabled(level)) return;
  to.logger.log(kTheirs[static_cast<std::size_t>(level)], line_of(to.form, level, name, fields, left_out));
}

}  // namespace

void configure(Level least, Format form, std::string_view name) {
  state().logger.set_level(kTheirs[static_cast<std::size_t>(least)]);
  state().form = form;
  state().name = name;
}

bool is_enabled(Level level) { return state().logger.should_log(kTheirs[static_cast<std::size_t>(level)]); }

void event(Level level, std::string_view name, Fields fields) {
  if (is_enabled(level) || tapped(level)) put(level, name, fields, 0);
}

void set_listener(std::function<void(const std::string&)> told) { state().tap = std::move(told); }

void RateLimitedEvent::write(Fields fields) {
  if (!is_enabled(level_) && !tapped(level_)) return;
  using std::chrono::steady_clock;
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(steady_clock::now().time_since_epoch()).count();
  if (second == second_) {
    ++left_out_;
    return;
  }
  second_ = second;
  put(level_, name_, fields, left_out_);
  left_out_ = 0;
}

}  // namespace marbledyke::log

namespace marbledyke {
namespace {
std::uint64_t broken = 0;
}

bool check_invariant(bool holds, std::string_view what) {
  if (holds) return true;
  ++broken;
  static log::RateLimitedEvent throttled(log::Level::error, "invariant.broken");
  throttled.write({{"what", what}, {"so_far", broken}});
  assert(false && "an invariant is broken");
  return false;
}

std::uint64_t invariant_violations() { return broken; }

}  // namespace marbledyke
