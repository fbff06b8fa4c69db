// Reads the operators' terms by name, and refuses by name what makes no sense.
#pragma once

#include <cmath>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "model/plain.h"

namespace marbledyke {

class Contract {
 public:
  explicit Contract(Terms terms) : terms_(std::move(terms)) {}

  double number(std::string_view name, double otherwise) const {
    const auto at = terms_.find(name);
    if (at == terms_.end()) return otherwise;
    const double* value = std::get_if<double>(&at->second);
    if (value == nullptr || !std::isfinite(*value)) refuse(name, "must be a number");
    return *value;
  }
  double at_least(std::string_view name, double otherwise, double least) const {
    const double value = number(name, otherwise);
    if (value < least) refuse(name, "is too small");
    return value;
  }
  double share(std::string_view name, double otherwise) const {
    const double value = at_least(name, otherwise, 0);
    if (value > 1) refuse(name, "is a share above 1");
    return value;
  }
  Duration time(std::string_view name, Duration otherwise) const {
    return Duration(static_cast<std::int64_t>(at_least(name, static_cast<double>(otherwise.count()), 0)));
  }
  bool flag(std::string_view name, bool otherwise) const {
    const auto at = terms_.find(name);
    if (at == terms_.end()) return otherwise;
    const bool* value = std::get_if<bool>(&at->second);
    if (value == nullptr) refuse(name, "must be true or false");
    return *value;
  }
  std::string word(std::string_view name, std::string_view otherwise) const {
    const auto at = terms_.find(name);
    if (at == terms_.end()) return std::string(otherwise);
    const std::string* value = std::get_if<std::string>(&at->second);
    if (value == nullptr) refuse(name, "must be a word");
    return *value;
  }
  bool has(std::string_view name) const { return terms_.find(name) != terms_.end(); }
  [[noreturn]] static void refuse(std::string_view name, std::string_view why) {
    throw std::invalid_argument(std::string(name) + ": " + std::string(why));
  }

 private:
  Terms terms_;
};

}  // namespace marbledyke
