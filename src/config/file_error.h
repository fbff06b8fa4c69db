// What is wrong with a file: where, about what, and why.
#pragma once

#include <string>

namespace marbledyke::config {

struct FileError {
  int line = 0;  // 0: the file as a whole
  std::string element;
  std::string reason;
};

// FILE:LINE: ELEMENT: REASON
inline std::string format_error(const std::string& file, const FileError& fault) {
  std::string out = file;
  if (fault.line > 0) out += ':' + std::to_string(fault.line);
  if (!fault.element.empty()) out += ": " + fault.element;
  return out + ": " + fault.reason;
}

}  // namespace marbledyke::config
