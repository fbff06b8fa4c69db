// Experiments in virtual time: a matrix of policies, sizes, faults and seeds, played side by side, kept as a
// table with charts and a short report. The table is the same for the same seed, however many play at once.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "scenario/scenario.h"

namespace marbledyke::lab {

// One line of a table: the factors by name, and what is played.
struct Cell {
  std::vector<std::string> factors;
  std::string policy;
  std::uint32_t seed = 1;
  scenario::Scenario scenario;
};

struct Chart {
  std::string file, title, x, y;  // columns; a line for each value of `by`
  std::string by;
  std::vector<std::string> where;  // column=value, all of which must hold
};

struct Experiment {
  std::string name, question;
  std::vector<std::string> factors;  // names of the columns that vary, the seed last
  std::vector<Cell> cells;
  std::vector<Chart> charts;
};

// One installation that sockets on one machine can carry, under each kind of fault: played both in virtual
// time and on sockets, to set them side by side.
std::vector<std::pair<std::string, scenario::Scenario>> twins();

const std::vector<std::string>& experiment_names();
// `seed` is the first of its seeds. Throws std::invalid_argument for another name.
Experiment make_experiment(const std::string& name, std::uint32_t seed);

// Plays it and writes DIR/results.csv, timing.csv (wall time, which no seed repeats), report.md and the
// charts. DIR must not exist; until all is written it is DIR.part. False, with the reason on standard error,
// where that fails.
bool run_experiment(const Experiment& experiment, const std::string& directory, int jobs);

// Two kept tables side by side: for each setting the means, and the mean difference over paired seeds with
// bounds of 95% (bootstrap). Gives 0, or 2 where they cannot be compared.
int compare(const std::string& before, const std::string& after, const std::string& column);

}  // namespace marbledyke::lab
