// An error found in an input file, and the line that reports it.
#pragma once

#include <string>

namespace marbledyke::config {

struct FileError {
  int line = 0;         // 1-based; 0 if the error concerns the file as a whole
  std::string element;  // name of the element or key at fault; may be empty
  std::string reason;
};

// Returns "FILE:LINE: ELEMENT: REASON". The line and the element are left out where the error has none.
inline std::string format_error(const std::string& file, const FileError& error) {
  std::string out = file;
  if (error.line > 0) out += ':' + std::to_string(error.line);
  if (!error.element.empty()) out += ": " + error.element;
  return out + ": " + error.reason;
}

}  // namespace marbledyke::config
