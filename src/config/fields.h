// Reads fields of JSON values; a complaint names the field at fault. For configuration, clients, the list and
// the adapter alike.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

#include "model/plain.h"

namespace marbledyke::config {

using nlohmann::json;

struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws BadInput with the complaint where the text is not JSON.
json parse(std::string_view text);

const json& required(const json& from, const char* field);
double number(const json& value, const char* field);
double number_or(const json& from, const char* field, double otherwise);
std::int64_t integer(const json& from, const char* field);
std::int64_t integer_or(const json& from, const char* field, std::int64_t otherwise);
const std::string& text(const json& from, const char* field);
const json& array(const json& from, const char* field);
const json& object(const json& from, const char* field);

// Nested settings as a plain map: names with dots between levels, list places as numbers.
void flatten(const json& value, const std::string& name, Terms& into);

}  // namespace marbledyke::config
