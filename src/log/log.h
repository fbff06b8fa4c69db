// Structured logging: events with a stable name and stable keys, one line each on standard error, as plain
// text or as JSON. spdlog handles levels and output. docs/oncall.md lists the events that operators act on.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace marbledyke::log {

enum class Level { debug, info, warning, error };
enum class Format { plain, json };

// A key of an event and its value. Both texts are borrowed and must outlive the call that logs them.
struct Field {
  using Value = std::variant<std::string_view, std::int64_t, double, bool>;

  template <typename T>
  Field(std::string_view field_key, const T& field_value) : key(field_key) {
    if constexpr (std::is_same_v<T, bool>) {
      value = field_value;
    } else if constexpr (std::is_integral_v<T>) {
      value = static_cast<std::int64_t>(field_value);
    } else if constexpr (std::is_floating_point_v<T>) {
      value = static_cast<double>(field_value);
    } else {
      value = std::string_view(field_value);
    }
  }

  std::string_view key;
  Value value;
};
using Fields = std::initializer_list<Field>;

// Sets the least level that is written, the output format and the name on each line. Until the first call,
// events of level warning and above are written as plain text under the name "marbledyke".
void configure(Level min_level, Format format, std::string_view name);
bool is_enabled(Level level);
void event(Level level, std::string_view name, Fields fields = {});

// Installs a callback that receives each event of level info and above as one line of JSON, regardless of the
// configured level and format. Replaces the previous one; null removes it.
void set_listener(std::function<void(const std::string& line)> listener);

// An event that peers can trigger at any rate. Writes at most one line per second; the next line tells under
// `left_out` how many were suppressed.
class RateLimitedEvent {
 public:
  RateLimitedEvent(Level level, std::string_view name) : level_(level), name_(name) {}
  void write(Fields fields = {});

 private:
  Level level_;
  std::string_view name_;
  std::int64_t last_second_ = -1;  // in which a line was written
  std::uint64_t suppressed_ = 0;
};

}  // namespace marbledyke::log

namespace marbledyke {

// Checks an invariant that no behaviour of peers may break. A violation aborts debug builds; release builds
// count and log it. Returns `holds`.
bool check_invariant(bool holds, std::string_view what);
// Returns the number of violations since the process started.
std::uint64_t invariant_violations();

}  // namespace marbledyke
