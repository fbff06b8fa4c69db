// The tables of docs/CAPACITY.md, in Markdown, without I/O.
#pragma once

#include <string>
#include <vector>

#include "capacity/slopes.h"

namespace marbledyke::capacity {

struct Table {
  std::string name;  // as the page's marker comments have it
  std::string text;  // lines of Markdown, each with its end
};

// All of them, in the order of the page. Throws config::BadInput where a slope has another unit or size than
// it is used with.
std::vector<Table> tables(const Slopes& slopes);

// Three digits that count, thousands apart.
std::string text_of(double value);

}  // namespace marbledyke::capacity
