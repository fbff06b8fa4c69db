// Structured log: events with a stable name and stable keys, one line each on standard error, as plain text
// or as JSON. Levels and writing are spdlog's. docs/oncall.md names the events that operators act on.
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

// One key of an event and its value; text is borrowed for the length of the call.
struct Field {
  using Value = std::variant<std::string_view, std::int64_t, double, bool>;

  template <typename T>
  Field(std::string_view its_key, const T& its_value) : key(its_key) {
    if constexpr (std::is_same_v<T, bool>) {
      value = its_value;
    } else if constexpr (std::is_integral_v<T>) {
      value = static_cast<std::int64_t>(its_value);
    } else if constexpr (std::is_floating_point_v<T>) {
      value = static_cast<double>(its_value);
    } else {
      value = std::string_view(its_value);
    }
  }

  std::string_view key;
  Value value;
};
using Fields = std::initializer_list<Field>;

// Before this, events of level warning and above are written as plain text under the name "marbledyke".
void configure(Level least, Format form, std::string_view name);
bool is_enabled(Level level);
void event(Level level, std::string_view name, Fields fields = {});

// Whoever is given here is told of each event of level info and above as one line of JSON, whatever the level
// and the form of what is written. None by default.
void set_listener(std::function<void(const std::string& line)> told);

// For what peers can cause as often as they like: one event a second at most, the next one says under
// `left_out` how many were not written.
class RateLimitedEvent {
 public:
  RateLimitedEvent(Level level, std::string_view name) : level_(level), name_(name) {}
  void write(Fields fields = {});

 private:
  Level level_;
  std::string_view name_;
  std::int64_t second_ = -1;
  std::uint64_t left_out_ = 0;
};

}  // namespace marbledyke::log

namespace marbledyke {

// What must hold whatever peers do: asserted in debug builds, counted and logged in release builds.
bool check_invariant(bool holds, std::string_view what);
std::uint64_t invariant_violations();

}  // namespace marbledyke
