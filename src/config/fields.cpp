#include "config/fields.h"

#include <cmath>

namespace marbledyke::config {

json parse(std::string_view text) {
  json out = json::parse(text, nullptr, false);
  if (out.is_discarded()) throw BadInput("not JSON");
  return out;
}

const json& required(const json& parent, const char* field) {
  if (!parent.is_object()) throw BadInput(std::string(field) + ": its holder is not an object");
  const auto found = parent.find(field);
  if (found == parent.end() || found->is_null()) throw BadInput(std::string(field) + ": missing");
  return *found;
}

double number(const json& value, const char* field) {
  if (!value.is_number()) throw BadInput(std::string(field) + ": not a number");
  const double out = value.get<double>();
  if (!std::isfinite(out)) throw BadInput(std::string(field) + ": out of range");
  return out;
}

double number_or(const json& parent, const char* field, double fallback) {
  return parent.contains(field) && !parent[field].is_null() ? number(parent[field], field) : fallback;
}

std::int64_t integer(const json& parent, const char* field) {
  const json& value = required(parent, field);
  if (!value.is_number_integer()) throw BadInput(std::string(field) + ": not a whole number");
  return value.get<std::int64_t>();
}

std::int64_t integer_or(const json& parent, const char* field, std::int64_t fallback) {
  return parent.contains(field) && !parent[field].is_null() ? integer(parent, field) : fallback;
}

const std::string& text(const json& parent, const char* field) {
  const json& value = required(parent, field);
  if (!value.is_string()) throw BadInput(std::string(field) + ": not a string");
  return value.get_ref<const std::string&>();
}

const json& array(const json& parent, const char* field) {
  const json& value = required(parent, field);
  if (!value.is_array()) throw BadInput(std::string(field) + ": not an array");
  return value;
}

const json& object(const json& parent, const char* field) {
  const json& value = required(parent, field);
  if (!value.is_object()) throw BadInput(std::string(field) + ": not an object");
  return value;
}

void flatten(const json& value, const std::string& name, FlatSettings& into) {
  const std::string prefix = name.empty() ? name : name + ".";
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) flatten(inner, prefix + key, into);
  } else if (value.is_array()) {
    std::size_t index = 0;
    for (const json& inner : value) flatten(inner, prefix + std::to_string(index++), into);
  } else if (value.is_boolean()) {
    into[name] = value.get<bool>();
  } else if (value.is_number()) {
    into[name] = value.get<double>();
  } else if (value.is_string()) {
    into[name] = value.get<std::string>();
  }
}

}  // namespace marbledyke::config
