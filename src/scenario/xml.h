// Scenarios as files: XML with a schema. What is read is checked whole; what is written is read back the
// same.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/file_error.h"
#include "scenario/scenario.h"

namespace marbledyke::scenario {

extern const char* const kSchema;  // deploy/scenario.xsd

struct Read {
  std::optional<Scenario> scenario;  // absent: the faults say why
  std::vector<config::FileError> faults;
};
Read read_xml(const std::string& text);
Read read_xml_file(const std::string& path);
std::string write_xml(const Scenario& scenario);

}  // namespace marbledyke::scenario
