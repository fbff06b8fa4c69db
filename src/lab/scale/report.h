// The kept results of a scale run: runs.csv (every measured point), conditions.csv (when and on what each
// part ran) and, made from these, results.csv, slopes.csv, report.md and charts.
#pragma once

#include <string>
#include <vector>

#include "lab/scale/measured.h"

namespace marbledyke::lab::scale {

// Under which conditions a part was measured. No text holds a comma.
struct Conditions {
  std::string part, begun, machine, load;
  int seconds = 0;
  bool quick = false;
};

struct Results {
  std::vector<Point> points;
  std::vector<Conditions> conditions;
  std::string notes;  // by people, in notes.md; they end the report
};

// What is kept in that folder; nothing where it is not there. Throws std::runtime_error naming the file and
// line that make no sense.
Results read_results(const std::string& folder);

// The slopes that are kept, in their order; those that were not measured are left out.
std::vector<Slope> slopes_of(const std::vector<Point>& points);

// Writes all files anew, each whole or not at all. Throws std::runtime_error where one cannot be written.
void write_results(const std::string& folder, const Results& results);

// Now, for `begun`, `machine` and `load`: UTC, kernel with the cores that this process may use, load average.
Conditions conditions_now(const std::string& part, bool quick);

}  // namespace marbledyke::lab::scale
