#include "z3950/rpn.h"

#include <yaz/oid_db.h>
#include <yaz/oid_util.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace marbledyke::z3950 {
namespace {

using search::Diagnostic;
using search::Op;
using search::Query;
using search::Trouble;

struct Wrong {
  Diagnostic diagnostic;
};
[[noreturn]] void refuse(Trouble what, std::string detail) { throw Wrong{{what, std::move(detail)}}; }

// The numbers of a list of Bib-1 attributes, by type.
struct Attributes {
  int use = 1016, relation = 3, position = 3, structure = -1, truncation = 100, completeness = 1;
};

Attributes attributes(const Z_AttributeList* list) {
  Attributes out;
  if (list == nullptr) return out;
  for (int i = 0; i < list->num_attributes; ++i) {
    const Z_AttributeElement& one = *list->attributes[i];
    if (one.attributeSet != nullptr && oid_oidcmp(one.attributeSet, yaz_oid_attset_bib_1) != 0)
      refuse(Trouble::unsupported_index, "an attribute set other than Bib-1");
    if (one.which != Z_AttributeValue_numeric)
      refuse(Trouble::unsupported_index, "attributes that are not numbers");
    const int value = static_cast<int>(*one.value.numeric);
    switch (*one.attributeType) {
      case 1:
        out.use = value;
        break;
      case 2:
        out.relation = value;
        break;
      case 3:
        out.position = value;
        break;
      case 4:
        out.structure = value;
        break;
      case 5:
        out.truncation = value;
        break;
      case 6:
        out.completeness = value;
        break;
      default:
        refuse(Trouble::unsupported_index, "attribute type " + std::to_string(*one.attributeType));
    }
  }
  return out;
}

std::string index_of(int use, const search::Database& database) {
  const auto at = std::find_if(database.indexes.begin(), database.indexes.end(),
                               [&](const search::Index& one) { return one.use == use; });
  if (at != database.indexes.end()) return at->name;
  if (use == 1016 || use == 1035) return {};  // any, anywhere
  refuse(Trouble::unsupported_index, std::to_string(use));
}

std::string term_text(const Z_Term& term) {
  switch (term.which) {
    case Z_Term_general:
      return text_of(*term.u.general);
    case Z_Term_characterString:
      return term.u.characterString;
    case Z_Term_numeric:
      return std::to_string(*term.u.numeric);
    default:
      refuse(Trouble::syntax, "a term of another kind than text or a number");
  }
}

Query operand(const Z_Operand& from, const search::Database& database) {
  if (from.which == Z_Operand_resultSetId)
    refuse(Trouble::unsupported_operation, "a result set as an operand");
  if (from.which != Z_Operand_APT) refuse(Trouble::syntax, "an operand of another kind");
  const Z_AttributesPlusTerm& term = *from.u.attributesPlusTerm;
  const Attributes its = attributes(term.attributes);
  Query out;
  out.index = index_of(its.use, database);
  const auto relation = search::relation_of(its.relation);
  if (!relation) refuse(Trouble::unsupported_relation, std::to_string(its.relation));
  out.relation = *relation;
  if (its.position != 3) refuse(Trouble::unsupported_relation, "position " + std::to_string(its.position));
  // A list of words; an odd structure is a phrase, a word, a date: text for those who search it.
  if (its.structure == 6) out.relation = "all";
  if (its.completeness == 3 && out.relation == "=") out.relation = "==";
  if (its.truncation == 1) {
    out.truncated = true;
  } else if (its.truncation != 100) {
    refuse(Trouble::unsupported_masking, "truncation " + std::to_string(its.truncation));
  }
  out.value = term_text(*term.term);
  if (out.value.empty()) refuse(Trouble::empty_term, "");
  return out;
}

Query tree(const Z_RPNStructure& from, const search::Database& database, int depth) {
  if (depth > 100) refuse(Trouble::too_complex, "nested deeper than 100");
  if (from.which == Z_RPNStructure_simple) return operand(*from.u.simple, database);
  if (from.which != Z_RPNStructure_complex) refuse(Trouble::syntax, "a structure of another kind");
  const Z_Complex& complex = *from.u.complex;
  Query out;
  switch (complex.roperator->which) {
    case Z_Operator_and:
      out.op = Op::both;
      break;
    case Z_Operator_or:
      out.op = Op::either;
      break;
    case Z_Operator_and_not:
      out.op = Op::without;
      break;
    case Z_Operator_prox: {
      const Z_ProximityOperator& prox = *complex.roperator->u.prox;
      const bool words = prox.which == Z_ProximityOperator_known && *prox.u.known == Z_ProxUnit_word;
      const bool excluded = prox.exclusion != nullptr && *prox.exclusion != 0;
      if (!words || excluded || *prox.relationType < 1 || *prox.relationType > 3)
        refuse(Trouble::unsupported_boolean, "proximity other than within some words");
      out.op = Op::near;
      out.distance = std::clamp(static_cast<int>(*prox.distance), 0, 100);
      out.ordered = *prox.ordered != 0;
      break;
    }
    default:
      refuse(Trouble::unsupported_boolean, std::to_string(complex.roperator->which));
  }
  out.kids.push_back(tree(*complex.s1, database, depth + 1));
  out.kids.push_back(tree(*complex.s2, database, depth + 1));
  return out;
}

}  // namespace

std::string text_of(const Odr_oct& octets) {
  return {reinterpret_cast<const char*>(octets.buf), static_cast<std::size_t>(octets.len)};
}

std::variant<Query, Diagnostic> read_rpn(const Z_RPNQuery& query, const search::Database& database) {
  try {
    if (query.attributeSetId != nullptr && oid_oidcmp(query.attributeSetId, yaz_oid_attset_bib_1) != 0)
      refuse(Trouble::unsupported_index, "an attribute set other than Bib-1");
    return tree(*query.RPNStructure, database, 1);
  } catch (const Wrong& wrong) {
    return wrong.diagnostic;
  }
}

std::variant<std::vector<search::SortKey>, Diagnostic> read_sort(const Z_SortKeySpecList& keys,
                                                                 const search::Database& database) {
  try {
    std::vector<search::SortKey> out;
    if (keys.num_specs > 8) refuse(Trouble::too_many_sort_keys, "more than 8");
    for (int i = 0; i < keys.num_specs; ++i) {
      const Z_SortKeySpec& spec = *keys.specs[i];
      if (spec.sortElement->which != Z_SortElement_generic)
        refuse(Trouble::unsupported_sort, "a key of a database's own");
      const Z_SortKey& key = *spec.sortElement->u.generic;
      search::SortKey made;
      if (key.which == Z_SortKey_sortAttributes) {
        const Attributes its = attributes(key.u.sortAttributes->list);
        made.index = index_of(its.use, database);
      } else if (key.which == Z_SortKey_sortField) {
        made.index = key.u.sortField;
      } else {
        refuse(Trouble::unsupported_sort, "a key of another kind");
      }
      if (made.index.empty()) refuse(Trouble::unsupported_sort, "any");
      made.descending = *spec.sortRelation == Z_SortKeySpec_descending;
      out.push_back(std::move(made));
    }
    return out;
  } catch (const Wrong& wrong) {
    return wrong.diagnostic;
  }
}

std::variant<std::pair<std::string, std::string>, Diagnostic> read_scan(const Z_AttributesPlusTerm& term,
                                                                        const search::Database& database) {
  try {
    const Attributes its = attributes(term.attributes);
    return std::pair{index_of(its.use, database), term_text(*term.term)};
  } catch (const Wrong& wrong) {
    return wrong.diagnostic;
  }
}

}  // namespace marbledyke::z3950
