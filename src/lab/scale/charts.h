// Charts of a scale run, as scripts for gnuplot with their data in them.
#pragma once

#include <string>
#include <vector>

#include "lab/scale/measured.h"

namespace marbledyke::lab::scale {

struct Chart {
  std::string name, script;
};
// One for each part that was measured.
std::vector<Chart> charts_of(const std::vector<Row>& rows);

}  // namespace marbledyke::lab::scale
