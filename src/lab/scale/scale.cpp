#include "lab/scale/scale.h"

#include <chrono>
#include <cstdio>
#include <iostream>
#include <stdexcept>

#include "lab/scale/process_use.h"
#include "lab/scale/report.h"
#include "lab/scale/run.h"

namespace marbledyke::lab::scale {
namespace {

constexpr std::size_t kLeastDescriptors = 9000;  // 3,900 servers, a connection to each, and the rest

struct Part {
  const char* name;
  void (*measure)(const Run&);
};
constexpr Part kParts[] = {{"lists", measure_lists}, {"load", measure_load}, {"settings", measure_settings}};

// The results with this part's points and conditions in place of the former ones.
void replace(Results& kept, const Conditions& conditions, const std::vector<Point>& points) {
  std::erase_if(kept.points, [&](const Point& point) { return point.part == conditions.part; });
  std::erase_if(kept.conditions, [&](const Conditions& one) { return one.part == conditions.part; });
  kept.points.insert(kept.points.end(), points.begin(), points.end());
  kept.conditions.push_back(conditions);
}

// False where it could not be measured; what is kept stays as it is then.
bool measure_part(const Part& part, const Options& options, const std::atomic<bool>& stop) {
  const auto begun = std::chrono::steady_clock::now();
  Conditions conditions = conditions_now(part.name, options.quick);
  std::vector<Point> points;
  net::Loop loop;
  loop.read_clock();
  try {
    part.measure({loop, options, stop, points});
  } catch (const std::exception& wrong) {
    std::cerr << "marbledyke-lab: " << part.name << ": " << wrong.what() << '\n';
    return false;
  }
  if (stop) return false;
  conditions.seconds = static_cast<int>((std::chrono::steady_clock::now() - begun) / std::chrono::seconds(1));
  Results kept = read_results(options.out);
  replace(kept, conditions, points);
  write_results(options.out, kept);
  progress(std::string(part.name) + ": written to " + options.out);
  return true;
}

}  // namespace

void progress(const std::string& text) {
  static const auto begun = std::chrono::steady_clock::now();
  const std::chrono::duration<double> since = std::chrono::steady_clock::now() - begun;
  std::fprintf(stderr, "%6.1f s  %s\n", since.count(), text.c_str());
}

int measure(const Options& options, const std::atomic<bool>& stop) {
  if (const std::size_t limit = raise_descriptor_limit(); limit < kLeastDescriptors && !options.quick) {
    std::cerr << "marbledyke-lab: " << limit << " descriptors are too few for a whole scale run\n";
    return 1;
  }
  bool whole = true;
  try {
    const Results kept =
        read_results(options.out);  // what cannot be kept is refused before anything is measured
    if (options.part == "report") write_results(options.out, kept);
    for (const Part& part : kParts) {
      if (options.part != "all" && options.part != part.name) continue;
      whole = !stop && measure_part(part, options, stop) && whole;
    }
  } catch (const std::exception& wrong) {
    std::cerr << "marbledyke-lab: " << wrong.what() << '\n';
    return 1;
  }
  return whole ? 0 : 1;
}

}  // namespace marbledyke::lab::scale
