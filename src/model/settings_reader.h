// Reads typed values from the operators' flattened settings.
#pragma once

#include <cmath>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "model/types.h"

namespace marbledyke {

// Each function returns the setting's value, or `otherwise` if the setting is absent. A value of the wrong
// type or out of range throws std::invalid_argument with the setting's name.
class SettingsReader {
 public:
  explicit SettingsReader(FlatSettings settings) : settings_(std::move(settings)) {}

  double number(std::string_view name, double otherwise) const {
    const auto setting = settings_.find(name);
    if (setting == settings_.end()) return otherwise;
    const double* value = std::get_if<double>(&setting->second);
    if (value == nullptr || !std::isfinite(*value)) reject(name, "must be a number");
    return *value;
  }
  // A finite number not below `least`.
  double at_least(std::string_view name, double otherwise, double least) const {
    const double value = number(name, otherwise);
    if (value < least) reject(name, "is too small");
    return value;
  }
  // A number from 0 to 1.
  double share(std::string_view name, double otherwise) const {
    const double value = at_least(name, otherwise, 0);
    if (value > 1) reject(name, "is a share above 1");
    return value;
  }
  // A number of microseconds, not negative.
  Duration duration(std::string_view name, Duration otherwise) const {
    return Duration(static_cast<std::int64_t>(at_least(name, static_cast<double>(otherwise.count()), 0)));
  }
  bool flag(std::string_view name, bool otherwise) const {
    const auto setting = settings_.find(name);
    if (setting == settings_.end()) return otherwise;
    const bool* value = std::get_if<bool>(&setting->second);
    if (value == nullptr) reject(name, "must be true or false");
    return *value;
  }
  std::string text(std::string_view name, std::string_view otherwise) const {
    const auto setting = settings_.find(name);
    if (setting == settings_.end()) return std::string(otherwise);
    const std::string* value = std::get_if<std::string>(&setting->second);
    if (value == nullptr) reject(name, "must be a string");
    return *value;
  }
  bool has(std::string_view name) const { return settings_.find(name) != settings_.end(); }
  // Throws std::invalid_argument: "NAME: WHY".
  [[noreturn]] static void reject(std::string_view name, std::string_view why) {
    throw std::invalid_argument(std::string(name) + ": " + std::string(why));
  }

 private:
  FlatSettings settings_;
};

}  // namespace marbledyke
