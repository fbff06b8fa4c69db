#include "capacity/page.h"

#include <algorithm>
#include <set>

#include "config/fields.h"

namespace marbledyke::capacity {
namespace {

constexpr std::string_view kBegin = "<!-- table ";
constexpr std::string_view kBeginEnds = " -->";
constexpr std::string_view kEnd = "<!-- end -->";

std::vector<std::string> lines_of(const std::string& text) {
  std::vector<std::string> out;
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t end = std::min(text.find('\n', from), text.size());
    out.push_back(text.substr(from, end - from));
    from = end + 1;
  }
  return out;
}

[[noreturn]] void refuse(std::size_t line, const std::string& why) {
  throw config::BadInput("line " + std::to_string(line + 1) + ": " + why);
}

// The name of the table that begins on a line; none: no table does.
std::optional<std::string> begins(const std::string& line) {
  if (!line.starts_with(kBegin) || !line.ends_with(kBeginEnds)) return std::nullopt;
  return line.substr(kBegin.size(), line.size() - kBegin.size() - kBeginEnds.size());
}

const Table& table_of(const std::vector<Table>& tables, const std::string& name, std::size_t line) {
  const auto at =
      std::find_if(tables.begin(), tables.end(), [&](const Table& one) { return one.name == name; });
  if (at == tables.end()) refuse(line, "no table has the name '" + name + "'");
  return *at;
}

}  // namespace

std::string with_tables(const std::string& page, const std::vector<Table>& tables) {
  std::string out;
  std::set<std::string> placed;
  const std::vector<std::string> lines = lines_of(page);
  for (std::size_t at = 0; at < lines.size(); ++at) {
    out += lines[at] + "\n";
    const auto name = begins(lines[at]);
    if (!name) continue;
    const std::size_t opened = at;
    const Table& table = table_of(tables, *name, at);
    if (!placed.insert(*name).second) refuse(at, "table '" + *name + "' is there already");
    while (++at < lines.size() && lines[at] != kEnd) {
      if (begins(lines[at])) refuse(at, "a table begins within table '" + *name + "'");
    }
    if (at == lines.size()) refuse(opened, "table '" + *name + "' has no end");
    out += table.text + std::string(kEnd) + "\n";
  }
  for (const Table& table : tables) {
    if (!placed.contains(table.name))
      throw config::BadInput("the page has no place for table '" + table.name + "'");
  }
  return out;
}

std::optional<Difference> first_difference(const std::string& page, const std::string& should_be) {
  if (page == should_be) return std::nullopt;
  const std::vector<std::string> is = lines_of(page), should = lines_of(should_be);
  std::size_t at = 0;
  while (at < is.size() && at < should.size() && is[at] == should[at]) ++at;
  Difference out;
  out.line = static_cast<int>(at) + 1;
  if (at < is.size()) out.is = is[at];
  if (at < should.size()) out.should_be = should[at];
  return out;
}

}  // namespace marbledyke::capacity
