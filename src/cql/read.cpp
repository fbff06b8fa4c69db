#include "cql/read.h"

#include <yaz/cql.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <optional>

namespace marbledyke::cql {
namespace {

using search::Diagnostic;
using search::Op;
using search::Query;
using search::Trouble;

constexpr std::size_t kLongest = 16 * 1024;
constexpr int kDeepestBrackets = 64;  // YAZ's parser and its trees go that deep by recursion
constexpr int kMostBooleans = 200;

struct Wrong {
  Diagnostic diagnostic;
};
[[noreturn]] void refuse(Trouble what, std::string detail) { throw Wrong{{what, std::move(detail)}}; }

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

std::string lower(const char* text) {
  return text == nullptr ? std::string() : lower(std::string_view(text));
}

// Before the parser sees it: what it would only find out by going as deep as the text does.
void bound(std::string_view text) {
  if (text.size() > kLongest) refuse(Trouble::too_complex, "a query of over 16384 bytes");
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\\') {
      ++i;
    } else if (text[i] == '"') {
      quoted = !quoted;
    } else if (!quoted && text[i] == '(') {
      if (++depth > kDeepestBrackets) refuse(Trouble::too_complex, "brackets nested deeper than 64");
    } else if (!quoted && text[i] == ')') {
      --depth;
    } else if (text[i] == '\0') {
      refuse(Trouble::syntax, "a NUL");
    }
  }
}

// The parser leaves escapes in the term: * and ? mask unless escaped, ^ anchors.
void value(const char* text, Query& into) {
  for (const char* c = text == nullptr ? "" : text; *c != '\0'; ++c) {
    if (*c == '\\' && c[1] != '\0') {
      into.value += *++c;
    } else if (*c == '*' && c[1] == '\0' && !into.value.empty()) {
      into.truncated = true;
    } else if (*c == '*' || *c == '?') {
      refuse(Trouble::unsupported_masking, std::string(1, *c) + " other than one * at the end");
    } else if (*c == '^') {
      refuse(Trouble::unsupported_masking, "anchoring by ^");
    } else {
      into.value += *c;
    }
  }
  if (into.value.empty()) refuse(Trouble::empty_term, "");
}

Query term(const cql_node& node) {
  Query out;
  const std::string index = lower(node.u.st.index);
  if (index != "cql.serverchoice" && index != "cql.anywhere" && index != "srw.serverchoice")
    out.index = index;
  const std::string relation = lower(node.u.st.relation);
  if (relation == "scr" || relation.empty()) {
    out.relation = "=";
  } else if (relation == "exact") {
    out.relation = "==";
  } else if (relation == "adj") {
    out.relation = "=";  // words side by side, which is what = says of a string
  } else if (relation == "=" || relation == "==" || relation == "<>" || relation == "<" || relation == "<=" ||
             relation == ">" || relation == ">=" || relation == "all" || relation == "any") {
    out.relation = relation;
  } else {
    refuse(Trouble::unsupported_relation, relation);
  }
  if (node.u.st.modifiers != nullptr)
    refuse(Trouble::unsupported_relation, relation + "/" + lower(node.u.st.modifiers->u.st.index));
  value(node.u.st.term, out);
  for (const cql_node* more = node.u.st.extra_terms; more != nullptr; more = more->u.st.extra_terms) {
    Query word;
    value(more->u.st.term, word);
    out.value += ' ' + word.value;
    out.truncated = word.truncated;
  }
  return out;
}

Query tree(const cql_node* node) {
  if (node == nullptr) refuse(Trouble::syntax, "");
  if (node->which == CQL_NODE_ST) return term(*node);
  if (node->which != CQL_NODE_BOOL) refuse(Trouble::syntax, "");
  Query out;
  const std::string op = lower(node->u.boolean.value);
  if (op == "and") {
    out.op = Op::both;
  } else if (op == "or") {
    out.op = Op::either;
  } else if (op == "not") {
    out.op = Op::without;
  } else if (op == "prox") {
    out.op = Op::near;
  } else {
    refuse(Trouble::unsupported_boolean, op);
  }
  for (const cql_node* at = node->u.boolean.modifiers; at != nullptr; at = at->u.st.modifiers) {
    const std::string name = lower(at->u.st.index), relation = lower(at->u.st.relation),
                      what = lower(at->u.st.term);
    if (out.op == Op::near && name == "distance" &&
        (relation == "<=" || relation == "<" || relation == "=")) {
      out.distance = std::clamp(std::atoi(what.c_str()) - (relation == "<" ? 1 : 0), 0, 100);
    } else if (out.op == Op::near && name == "unit" && what == "word") {
    } else if (out.op == Op::near && (name == "ordered" || name == "unordered")) {
      out.ordered = name == "ordered";
    } else {
      refuse(Trouble::unsupported_boolean, op + "/" + name);
    }
  }
  out.kids.push_back(tree(node->u.boolean.left));
  out.kids.push_back(tree(node->u.boolean.right));
  return out;
}

int booleans(const cql_node* node) {
  int out = 0;
  // Chains lean to the left, and brackets are bounded: only the right side goes down by recursion.
  for (; node != nullptr && node->which == CQL_NODE_BOOL; node = node->u.boolean.left) {
    out += 1 + booleans(node->u.boolean.right);
    if (out > kMostBooleans) return out;
  }
  return out;
}

}  // namespace

std::variant<Read, Diagnostic> read(const std::string& text) {
  try {
    bound(text);
    const std::unique_ptr<struct cql_parser, void (*)(CQL_parser)> parser(cql_parser_create(),
                                                                          cql_parser_destroy);
    // Else words that it does not know as relations become words to look for.
    cql_parser_strict(parser.get(), 1);
    if (cql_parser_string(parser.get(), text.c_str()) != 0) refuse(Trouble::syntax, text.substr(0, 200));
    const cql_node* root = cql_parser_result(parser.get());
    Read out;
    if (root != nullptr && root->which == CQL_NODE_SORT) {
      const cql_node* sort = root;
      root = root->u.sort.search;
      for (; sort != nullptr && sort->which == CQL_NODE_SORT; sort = sort->u.sort.next) {
        search::SortKey key{lower(sort->u.sort.index), false};
        for (const cql_node* at = sort->u.sort.modifiers; at != nullptr; at = at->u.st.modifiers) {
          const std::string name = lower(at->u.st.index);
          if (name == "sort.descending" || name == "descending") {
            key.descending = true;
          } else if (name != "sort.ascending" && name != "ascending") {
            refuse(Trouble::unsupported_sort, name);
          }
        }
        if (out.sort.size() >= 8) refuse(Trouble::too_many_sort_keys, "more than 8");
        out.sort.push_back(std::move(key));
      }
    }
    if (booleans(root) > kMostBooleans) refuse(Trouble::too_complex, "more than 200 booleans");
    out.query = tree(root);
    return out;
  } catch (const Wrong& wrong) {
    return wrong.diagnostic;
  }
}

std::string result_set_of(const Query& query) {
  if (query.op != Op::term || query.index != "cql.resultsetid") return {};
  return query.value;
}

}  // namespace marbledyke::cql
