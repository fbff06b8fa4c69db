// CQL 1.2 (as SRU has it) into a search's tree, parsed by YAZ. Bounded before it is parsed.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "search/part.h"
#include "search/query.h"

namespace marbledyke::cql {

struct Read {
  search::Query query;
  std::vector<search::SortKey> sort;
};

std::variant<Read, search::Diagnostic> read(const std::string& text);

// The name in a query that is nothing but cql.resultSetId = "name"; empty: it is another.
std::string result_set_of(const search::Query& query);

}  // namespace marbledyke::cql
