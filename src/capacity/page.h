// Tables within a page, between marker comments, without I/O:
//   <!-- table NAME -->
//   ...
//   <!-- end -->
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "capacity/tables.h"

namespace marbledyke::capacity {

// The page with each table in its place. Throws config::BadInput naming the line where a marker is not
// closed, names no table or a table twice, and where a table has no place.
std::string with_tables(const std::string& page, const std::vector<Table>& tables);

struct Difference {
  int line = 0;  // from 1
  std::string is, should_be;
};
// The first line in which two pages differ; none: they are alike.
std::optional<Difference> first_difference(const std::string& page, const std::string& should_be);

}  // namespace marbledyke::capacity
