// SRU 1.1, 1.2 and 2.0: requests read from HTTP's words, responses written as XML. No sockets and no state.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http.h"
#include "search/desk.h"
#include "search/terms.h"

namespace marbledyke::sru {

enum class Version { v1_1, v1_2, v2_0 };
enum class Verb { explain, search, scan };

struct Request {
  Version version = Version::v1_2;
  Verb verb = Verb::explain;
  std::string database;                           // of the path; empty: none is named
  std::map<std::string, std::string> parameters;  // as they came, for echoing
  search::Diagnostic wrong;                       // none: it can be carried out
  // search
  search::Query query;
  std::string result_set;  // the query is this set and nothing else
  std::vector<search::SortKey> sort;
  int first = 1, count = 10;
  std::string schema;
  bool as_string = false;  // records go as text rather than as XML
  Duration set_life{};
  // scan
  std::string index, term;
  int position = 1, terms = 10;
  std::optional<Duration> patience;  // x-deadline-ms, a parameter or a header
};

// The target's path and query and, for a form that was posted, its body.
Request read_request(const net::HttpMessage& message);
// %41 and + undone; none where an escape is not one.
std::optional<std::string> unescaped(std::string_view text);
std::string query_escaped(std::string_view text);

// A number of the standard's list, in info:srw/diagnostic/1/.
int number_of(search::Trouble trouble);

std::string explain_body(const Request& request, const search::Database& database, const std::string& host,
                         int port, const search::Limits& limits);
std::string search_body(const Request& request, const search::Reply& reply);
std::string scan_body(const Request& request, const search::Reply& reply);
std::string diagnostic_body(const Request& request, const search::Diagnostic& diagnostic);

// ---- the other side: what a server that speaks SRU is asked, and what it says ----

// The target of a GET.
std::string search_target(const std::string& path, const search::PartAsk& ask, int first, int count,
                          const std::string& schema);
std::string scan_target(const std::string& path, const search::PartAsk& ask);

struct Response {
  search::PartResult result;
  int diagnostic = 0;  // the first that is not about a single record; 0: none
  std::string words;
};
// None where it is no SRU response. Records' sort keys are not in it.
std::optional<Response> read_response(const std::string& xml);

}  // namespace marbledyke::sru
