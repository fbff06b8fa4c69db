#include "search/query.h"

#include <algorithm>
#include <array>
#include <utility>

namespace marbledyke::search {
namespace {

constexpr std::array<std::pair<std::string_view, int>, 6> kRelations{
    {{"<", 1}, {"<=", 2}, {"=", 3}, {">=", 4}, {">", 5}, {"<>", 6}}};

std::string quoted(std::string_view text, std::string_view escapes, std::string_view end = "") {
  std::string out = "\"";
  for (const char c : text) {
    if (escapes.find(c) != std::string_view::npos) out += '\\';
    out += c;
  }
  return out.append(end) + '"';
}

std::string cql_value(const Query& query) {
  return quoted(query.value, "\"\\*?^", query.truncated ? "*" : "");
}

void measure(const Query& query, int depth, int& deepest, int& terms, std::size_t& longest) {
  deepest = std::max(deepest, depth);
  if (query.op == Op::term) {
    terms += 1;
    longest = std::max(longest, query.value.size());
    return;
  }
  for (const Query& kid : query.kids) measure(kid, depth + 1, deepest, terms, longest);
}

}  // namespace

std::optional<Diagnostic> beyond(const Query& query, const Bounds& bounds) {
  int deepest = 0, terms = 0;
  std::size_t longest = 0;
  measure(query, 1, deepest, terms, longest);
  if (deepest > bounds.depth)
    return Diagnostic{Trouble::too_complex, "nested deeper than " + std::to_string(bounds.depth)};
  if (terms > bounds.terms)
    return Diagnostic{Trouble::too_complex, "more than " + std::to_string(bounds.terms) + " terms"};
  if (longest > bounds.value)
    return Diagnostic{Trouble::too_complex, "a term of over " + std::to_string(bounds.value) + " bytes"};
  return std::nullopt;
}

std::size_t held_bytes(const Query& query) {
  std::size_t out =
      sizeof query + query.index.capacity() + query.relation.capacity() + query.value.capacity();
  for (const Query& kid : query.kids) out += held_bytes(kid);
  return out;
}

std::string cql_of(const Query& query) {
  switch (query.op) {
    case Op::term:
      if (query.index.empty() && query.relation == "=") return cql_value(query);
      return (query.index.empty() ? "cql.anywhere" : query.index) + ' ' + query.relation + ' ' +
             cql_value(query);
    case Op::both:
      return '(' + cql_of(query.kids[0]) + ") and (" + cql_of(query.kids[1]) + ')';
    case Op::either:
      return '(' + cql_of(query.kids[0]) + ") or (" + cql_of(query.kids[1]) + ')';
    case Op::without:
      return '(' + cql_of(query.kids[0]) + ") not (" + cql_of(query.kids[1]) + ')';
    case Op::near:
      return '(' + cql_of(query.kids[0]) + ") prox/distance<=" + std::to_string(query.distance) +
             (query.ordered ? "/unit=word/ordered (" : "/unit=word/unordered (") + cql_of(query.kids[1]) +
             ')';
  }
  return {};
}

std::string pqf_of(const Query& query, const std::vector<UseOf>& uses) {
  switch (query.op) {
    case Op::term: {
      const auto at =
          std::find_if(uses.begin(), uses.end(), [&](const UseOf& one) { return one.index == query.index; });
      const int use = at == uses.end() ? 1016 : at->use;
      std::string out = "@attr 1=" + std::to_string(use);
      if (const auto relation = bib1_relation(query.relation)) out += " @attr 2=" + std::to_string(*relation);
      if (query.relation == "==") out += " @attr 2=3 @attr 6=3";                    // the complete field
      if (query.relation == "all" || query.relation == "any") out += " @attr 4=6";  // a list of words
      if (query.truncated) out += " @attr 5=1";
      return out + ' ' + quoted(query.value, "\"\\");
    }
    case Op::both:
      return "@and " + pqf_of(query.kids[0], uses) + ' ' + pqf_of(query.kids[1], uses);
    case Op::either:
      return "@or " + pqf_of(query.kids[0], uses) + ' ' + pqf_of(query.kids[1], uses);
    case Op::without:
      return "@not " + pqf_of(query.kids[0], uses) + ' ' + pqf_of(query.kids[1], uses);
    case Op::near:
      return "@prox 0 " + std::to_string(query.distance) + (query.ordered ? " 1" : " 0") + " 2 k 2 " +
             pqf_of(query.kids[0], uses) + ' ' + pqf_of(query.kids[1], uses);
  }
  return {};
}

std::optional<int> bib1_relation(std::string_view relation) {
  const auto at = std::find_if(kRelations.begin(), kRelations.end(),
                               [&](const auto& one) { return one.first == relation; });
  if (at == kRelations.end()) return std::nullopt;
  return at->second;
}

std::optional<std::string_view> relation_of(int bib1) {
  const auto at =
      std::find_if(kRelations.begin(), kRelations.end(), [&](const auto& one) { return one.second == bib1; });
  if (at == kRelations.end()) return std::nullopt;
  return at->first;
}

std::string escaped(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        // Controls that XML 1.0 cannot hold at all.
        out += static_cast<unsigned char>(c) < 0x20 && c != '\t' && c != '\n' && c != '\r' ? '?' : c;
    }
  }
  return out;
}

}  // namespace marbledyke::search
