// What an operator's file sets, as the program takes it: plain values, checked whole by whoever made them.
// The file itself is XML and is read by a program of its own (xml.h); this one gets its result as JSON.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "addresses/address_book.h"
#include "config/fields.h"
#include "config/file_error.h"
#include "log/log.h"
#include "search/terms.h"

namespace marbledyke::operator_file {

inline constexpr std::size_t kMostResult = 8 * 1024 * 1024;

using config::FileError;

struct Terms {
  std::optional<log::Format> log_form;
  std::optional<log::Level> log_level;
  addresses::ConnectSettings connecting;
  bool attempt_stated = false;  // else it is the connect time-out of the platform's terms
  std::map<std::string, addresses::AddressBook::ServerOverride, std::less<>> servers;
  search::Terms search;
};

// The result of reading one file, as it passes between the two programs.
struct Result {
  std::optional<Terms> terms;  // absent: the faults say why
  std::vector<FileError> faults;
};
std::string put_result(const Result& result);
// Throws config::BadInput where the text is no result.
Result read_result(std::string_view text);

// The same text for the same terms.
std::string text_of(const search::Terms& terms);

std::optional<log::Level> level_named(std::string_view name);

}  // namespace marbledyke::operator_file
