// What a scale run makes of its points and of the logs of hollow receivers, without processes.
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

#include "lab/scale/aims.h"
#include "lab/scale/measured.h"
#include "lab/scale/receiver_logs.h"
#include "lab/scale/report.h"

namespace {

using namespace marbledyke::lab::scale;

std::vector<Point> points_of(const std::string& what, const std::vector<std::vector<double>>& values_by_run,
                             const std::vector<int>& sizes) {
  std::vector<Point> out;
  for (std::size_t run = 0; run < values_by_run.size(); ++run) {
    for (std::size_t i = 0; i < values_by_run[run].size(); ++i)
      out.push_back({"lists", sizes[i], what, "MB", static_cast<int>(run + 1), values_by_run[run][i]});
  }
  return out;
}

void print(const std::optional<Slope>& slope) {
  if (!slope) {
    std::puts("no slope");
    return;
  }
  std::printf("%s: %.3f + %.4f a size, %.4f to %.4f, %zu sizes, %d runs\n", slope->of.id.c_str(),
              slope->intercept, slope->slope, slope->low, slope->high, slope->sizes.size(), slope->runs);
}

void slopes() {
  const SlopeOf memory{"gatherer_memory", "gatherer", "MB", "listed_server", "lists", "memory"};
  print(slope_of(memory, points_of("memory", {{6, 7, 9}}, {100, 200, 400})));
  print(slope_of(memory, points_of("memory", {{6, 7, 9}, {5, 7.5, 11}}, {100, 200, 400})));
  // A bend is seen in the bounds; a run that missed a size counts at those it has.
  print(slope_of(memory, points_of("memory", {{1, 2, 30}, {1, 2}}, {100, 200, 300})));
  print(slope_of(memory, points_of("memory", {{6}}, {100})));
  print(slope_of(memory, points_of("another", {{6, 7}}, {100, 200})));
  for (const Row& row : rows_of(points_of("memory", {{1, 5}, {3, 4}, {8}}, {100, 200})))
    std::printf("%d: %.2f (%.2f to %.2f), %d runs\n", row.size, row.value, row.low, row.high, row.runs);
  for (const double share : {0.0, 0.5, 0.75, 0.99, 1.0})
    std::printf("%.2f: %.0f\n", share, quantile({4, 1, 3, 2}, share));
  std::printf("of none: %.0f\n", quantile({}, 0.5));
}

void receivers() {
  std::vector<ReceiverRecord> records(3);
  std::uint64_t odd = 0;
  for (const char* line : {"A 1000000 0 1", "A 1500000 1 1", "A 2000000 0 3", "A 2500000 1 2",
                           "A 2600000 1 2", "A 3000000 2 5", "A 3100000 2 4", "B 5000000 0 2 10 1000 2000",
                           "B 35000000 0 2 20 1600 2600", "B 65000000 0 2 30 7600 2700",
                           "B 70000000 0 1 1 10 10", "A 1 3 1", "A 1 0", "C 1 0 1", "", "B 1 0 0 1 x 1"})
    read_log_line(line, records, odd);
  for (const ReceiverRecord& record : records) {
    std::printf("index %lld, went back %d, revision 2 in force at", static_cast<long long>(record.index()),
                record.went_back);
    const auto at = record.in_force_at(2);
    at ? std::printf(" %lld\n", static_cast<long long>(*at)) : std::puts(" no time");
  }
  std::printf("odd lines %llu\n", static_cast<unsigned long long>(odd));
  const auto traffic = traffic_of(records[0], 6'000'000, 40'000'000);
  std::printf("%.2f bytes a second, %.2f calls a second over %.0f s\n", traffic->bytes_per_second,
              traffic->calls_per_second, traffic->seconds);
  std::printf("worst minute %.2f bytes a second\n", worst_minute_of(records[0], 0).value_or(-1));
  std::printf("across a restart: %s; without samples: %s\n",
              traffic_of(records[0], 6'000'000, 80'000'000) ? "some" : "none",
              traffic_of(records[1], 0, 80'000'000) ? "some" : "none");
}

void results() {
  std::string made = (std::filesystem::temp_directory_path() / "scale-traces-XXXXXX").string();
  if (mkdtemp(made.data()) == nullptr) throw std::runtime_error(made);
  Results kept;
  kept.points = points_of("memory_after", {{6.25, 7.5}, {6.5, 8}}, {100, 200});
  kept.conditions = {{"lists", "2026-01-01 00:00", "a machine", "0.5", 3, true}};
  write_results(made, kept);
  const Results read = read_results(made);
  std::printf("%zu points and %zu conditions read again, quick %d\n", read.points.size(),
              read.conditions.size(), read.conditions.front().quick);
  std::printf("the same: %d\n", read.points.back().value == 8 && read.points.back().run == 2);
  for (const char* name : {"results.csv", "slopes.csv"}) {
    std::ifstream in(made + "/" + name);
    std::cout << in.rdbuf() << std::flush;
  }
  std::printf("of a folder that is not there: %zu points\n", read_results(made + "/none").points.size());
  std::ofstream(made + "/runs.csv") << "part,size,what,unit,run,value\nlists,100,memory,MB,1\n";
  try {
    read_results(made);
  } catch (const std::runtime_error& wrong) {
    std::printf("refused: %s\n", std::string(wrong.what()).substr(made.size()).c_str());
  }
  std::filesystem::remove_all(made);
}

void aims() {
  const std::vector<Row> rows{{"settings", 910, "ordinary_p99", "s", 1, 0.5, 2, 3},
                              {"settings", 300, "ordinary_last", "s", 9, 9, 9, 1},
                              {"settings", 910, "ordinary_last", "s", 7, 6, 8.1, 3},
                              {"settings", 910, "ran_an_older_one", "receivers", 1, 1, 1, 1},
                              {"lists", 3900, "whole_wait", "ms", 9, 8, 10, 5},
                              {"lists", 20000, "whole_wait", "ms", 90, 80, 100, 5}};
  int not_measured = 0;
  for (const Judged& one : judge_aims(rows)) {
    if (one.verdict == Verdict::not_measured) {
      ++not_measured;
      continue;
    }
    std::printf("%s at %d: %.1f of %.1f %s, %s\n", one.aim.what.c_str(), one.size, one.greatest,
                one.aim.limit, one.aim.unit.c_str(), name_of(one.verdict));
  }
  std::printf("the other %d: %s\n", not_measured, name_of(Verdict::not_measured));
}

}  // namespace

int main(int count, char** words) {
  const std::string which = count > 1 ? words[1] : "";
  if (which == "slopes") slopes();
  if (which == "receivers") receivers();
  if (which == "results") results();
  if (which == "aims") aims();
  return 0;
}
