// What every part of a scale run is given: the loop, the options, where points go, progress, and an early
// end.
#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "lab/scale/measured.h"
#include "lab/scale/options.h"
#include "net/loop.h"

namespace marbledyke::lab::scale {

struct Run {
  net::Loop& loop;
  const Options& options;
  const std::atomic<bool>& stop;
  std::vector<Point>& points;

  void add(const std::string& part, int size, const std::string& what, const std::string& unit, int run,
           double value) const {
    points.push_back({part, size, what, unit, run, value});
  }
};

// One line on standard error, with the seconds since the first one.
void progress(const std::string& text);

// The parts. Each throws std::runtime_error or std::system_error where it cannot go on, and returns early,
// with what was measured, once `stop` is set.
void measure_lists(const Run& run);
void measure_load(const Run& run);
void measure_settings(const Run& run);

}  // namespace marbledyke::lab::scale
