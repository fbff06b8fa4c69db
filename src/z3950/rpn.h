// Type-1 queries (RPN with Bib-1 attributes) into a search's tree, by an operator's table of use attributes,
// and PQF into the protocol's query. Also sort keys.
#pragma once

#include <yaz/proto.h>

#include <string>
#include <variant>
#include <vector>

#include "search/part.h"
#include "search/terms.h"

namespace marbledyke::z3950 {

// The index with that use attribute; the any-index (use 1016, or none) is the empty name.
std::variant<search::Query, search::Diagnostic> read_rpn(const Z_RPNQuery& query,
                                                         const search::Database& database);
std::variant<std::vector<search::SortKey>, search::Diagnostic> read_sort(const Z_SortKeySpecList& keys,
                                                                         const search::Database& database);
// The index a scan's term is of, and the term.
std::variant<std::pair<std::string, std::string>, search::Diagnostic> read_scan(
    const Z_AttributesPlusTerm& term, const search::Database& database);

std::string text_of(const Odr_oct& octets);

}  // namespace marbledyke::z3950
