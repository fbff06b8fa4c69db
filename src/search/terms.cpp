#include "search/terms.h"

#include <algorithm>
#include <cctype>

namespace marbledyke::search {

namespace {
bool same(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
  });
}
}  // namespace

std::string_view name_of(Protocol protocol) { return protocol == Protocol::sru ? "sru" : "z3950"; }

const Database* find(const Terms& terms, std::string_view database) {
  const auto at = std::find_if(terms.databases.begin(), terms.databases.end(),
                               [&](const Database& one) { return same(one.name, database); });
  return at == terms.databases.end() ? nullptr : &*at;
}

const Index* find(const Database& database, std::string_view index) {
  const auto at = std::find_if(database.indexes.begin(), database.indexes.end(),
                               [&](const Index& one) { return same(one.name, index); });
  return at == database.indexes.end() ? nullptr : &*at;
}

}  // namespace marbledyke::search
