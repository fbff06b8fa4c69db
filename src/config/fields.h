// Typed access to the fields of JSON values. Used for the configuration, client requests, discovery's list
// and the protocols of the keeper and the control nodes. Each error names the field at fault.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

#include "model/types.h"

namespace marbledyke::config {

using nlohmann::json;

// Input that is malformed or out of range. The message starts with the name of the field at fault.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses a JSON text. Throws BadInput if it is not valid JSON.
json parse(std::string_view text);

// The functions below throw BadInput if `parent` is not an object, if the field is missing or null, or if its
// value has another type than the function's. The `_or` variants return `fallback` for a missing or null
// field.
const json& required(const json& parent, const char* field);
// Takes the value itself, not the object that holds it. Rejects values that are not finite.
double number(const json& value, const char* field);
double number_or(const json& parent, const char* field, double fallback);
std::int64_t integer(const json& parent, const char* field);
std::int64_t integer_or(const json& parent, const char* field, std::int64_t fallback);
const std::string& text(const json& parent, const char* field);
const json& array(const json& parent, const char* field);
const json& object(const json& parent, const char* field);

// Adds the scalars of nested settings to `into`, under names with dots between the levels and the index of
// list entries as a number: {"zones":["a"]} gives "zones.0". Null values are left out.
void flatten(const json& value, const std::string& name, FlatSettings& into);

}  // namespace marbledyke::config
