#include "capacity/slopes.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "config/fields.h"

namespace marbledyke::capacity {
namespace {

constexpr std::size_t kColumns = 10;
constexpr std::array<std::string_view, 8> kRoles{"gatherer",  "keeper",       "receiver", "control_node",
                                                 "discovery", "shard_server", "fleet",    "conductor"};

// Where the reader stands, for complaints.
struct Place {
  int line = 0;
  [[noreturn]] void refuse(const std::string& why) const {
    throw config::BadInput("line " + std::to_string(line) + ": " + why);
  }
};

std::vector<std::string_view> split(std::string_view text, char at) {
  std::vector<std::string_view> out;
  for (;;) {
    const std::size_t end = text.find(at);
    out.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return out;
    text.remove_prefix(end + 1);
  }
}

double number(std::string_view text, const char* column, const Place& place) {
  double out = 0;
  const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (wrong != std::errc() || end != text.data() + text.size() || !std::isfinite(out))
    place.refuse(std::string(column) + " is not a number: '" + std::string(text) + "'");
  return out;
}

bool is_name(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '/';
  });
}

std::string name(std::string_view text, const char* column, const Place& place) {
  if (!is_name(text)) place.refuse(std::string(column) + " is not a name: '" + std::string(text) + "'");
  return std::string(text);
}

std::vector<double> sizes_of(std::string_view text, const Place& place) {
  std::vector<double> out;
  for (const std::string_view one : split(text, ' ')) out.push_back(number(one, "sizes", place));
  if (out.size() < 2) place.refuse("sizes: fewer than two, which make no slope");
  if (out.front() < 0) place.refuse("sizes: below 0");
  if (!std::is_sorted(out.begin(), out.end(), std::less_equal<>())) place.refuse("sizes: not ascending");
  return out;
}

Slope read_line(std::string_view line, const Place& place) {
  const std::vector<std::string_view> cells = split(line, ',');
  if (cells.size() != kColumns)
    place.refuse(std::to_string(cells.size()) + " columns instead of " + std::to_string(kColumns));
  Slope out;
  out.id = name(cells[0], "id", place);
  out.role = name(cells[1], "role", place);
  if (std::find(kRoles.begin(), kRoles.end(), out.role) == kRoles.end())
    place.refuse("role is not known: '" + out.role + "'");
  out.unit = name(cells[2], "unit", place);
  out.per = name(cells[3], "per", place);
  out.intercept = number(cells[4], "intercept", place);
  out.slope = number(cells[5], "slope", place);
  out.low = number(cells[6], "low", place);
  out.high = number(cells[7], "high", place);
  if (out.low > out.slope || out.slope > out.high) place.refuse("slope is not between low and high");
  out.sizes = sizes_of(cells[8], place);
  const double runs = number(cells[9], "runs", place);
  if (runs < 1 || runs > 1e6 || runs != std::floor(runs)) place.refuse("runs is not a count");
  out.runs = static_cast<int>(runs);
  out.line = place.line;
  return out;
}

}  // namespace

const Slope* Slopes::find(std::string_view id) const {
  const auto at = std::find_if(all_.begin(), all_.end(), [&](const Slope& one) { return one.id == id; });
  return at == all_.end() ? nullptr : &*at;
}

Slopes read_slopes(std::string_view text) {
  Slopes out;
  Place place;
  bool headed = false;
  if (text.empty() || text.back() != '\n')
    throw config::BadInput("the last line has no end: the file is torn");
  text.remove_suffix(1);
  for (const std::string_view line : split(text, '\n')) {
    ++place.line;
    if (line.starts_with('#')) continue;
    if (!headed) {
      if (line != kSlopesHeader) place.refuse("the header is not '" + std::string(kSlopesHeader) + "'");
      headed = true;
      continue;
    }
    if (out.all_.size() == kMostSlopes) place.refuse("more than " + std::to_string(kMostSlopes) + " slopes");
    Slope one = read_line(line, place);
    if (out.find(one.id) != nullptr) place.refuse("id is there already: '" + one.id + "'");
    out.all_.push_back(std::move(one));
  }
  if (!headed) place.refuse("the header is not '" + std::string(kSlopesHeader) + "'");
  return out;
}

}  // namespace marbledyke::capacity
