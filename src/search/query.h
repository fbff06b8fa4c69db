// A search as a tree, whatever protocol it came by; its bounds; its text in CQL and in PQF. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marbledyke::search {

// What can be wrong with a request, by what it means; each front has its protocol's own numbers for it.
enum class Trouble {
  none,
  general,      // it may have run, and how it ended is not known
  unavailable,  // nothing has run, trying again is harmless
  unsupported_operation,
  unsupported_version,
  missing_parameter,
  bad_parameter,
  unsupported_parameter,
  syntax,
  too_complex,
  unsupported_index,
  unsupported_relation,
  unsupported_boolean,
  unsupported_masking,
  empty_term,
  unknown_database,
  databases_together,  // may not be searched together
  unknown_set,
  set_deleted,  // by this program, unasked
  set_exists,
  too_many_sets,
  out_of_range,  // the first record asked for is beyond the last
  too_many_records,
  record_unavailable,  // this record, for now
  unsupported_schema,
  unsupported_packing,
  unsupported_sort,
  too_many_sort_keys,
  partial,  // not all shards answered: counts and records are of those that did
  too_busy  // this client has as much under way as it may
};

struct Diagnostic {
  Trouble what = Trouble::none;
  std::string detail;
};

enum class Op { term, both, either, without, near };

struct Query {
  Op op = Op::term;
  // A term.
  std::string index;           // qualified by its set, as the operator's table names it; empty: any
  std::string relation = "=";  // =, ==, <>, <, <=, >, >=, all, any
  std::string value;           // as meant: nothing in it is escaped
  bool truncated = false;      // and whatever begins with it
  // near
  int distance = 1;
  bool ordered = false;
  std::vector<Query> kids;  // two, but for a term
};

struct Bounds {
  int depth = 100, terms = 100;
  std::size_t value = 1000;  // bytes of one term
};
// Throws nothing; none where it holds.
std::optional<Diagnostic> beyond(const Query& query, const Bounds& bounds);

// Returns about how many bytes of memory a query occupies.
std::size_t held_bytes(const Query& query);

// Canonical CQL (1.2): equal queries have equal texts, and every reader of CQL can take it.
std::string cql_of(const Query& query);

// PQF, by the Bib-1 use attribute of each index; 1016 (any) for the empty one.
struct UseOf {
  std::string index;
  int use = 0;
};
std::string pqf_of(const Query& query, const std::vector<UseOf>& uses);

// Relations as CQL writes them and as Bib-1 numbers them (1 to 6).
std::optional<int> bib1_relation(std::string_view relation);
std::optional<std::string_view> relation_of(int bib1);

// In XML, and as attribute values.
std::string escaped(std::string_view text);

}  // namespace marbledyke::search
