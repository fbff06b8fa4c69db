#include "lab/rollouts.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <vector>

#include "emulator/rollouts.h"

namespace marbledyke::lab {
namespace {

namespace fs = std::filesystem;
using namespace std::chrono_literals;

struct Cell {
  std::string name;
  emulator::FleetModel fleet;
  emulator::Flaw flaw;
  int runs = 0;
};

std::vector<Cell> cells(int runs, int large_runs) {
  std::vector<Cell> out;
  for (const int gatherers : {300, 1000}) {
    const int each = gatherers == 300 ? runs : large_runs;
    const auto add = [&](const char* name, bool trouble, const emulator::Flaw& flaw) {
      Cell cell;
      cell.name = std::to_string(gatherers) + " " + name;
      cell.fleet.gatherers = gatherers;
      cell.fleet.trouble = trouble;
      cell.flaw = flaw;
      cell.runs = each;
      out.push_back(cell);
    };
    emulator::Flaw flaw;
    add("sound", false, flaw);
    add("sound, troubles of all", true, flaw);
    flaw.bad = 0.02;
    add("2% lost", false, flaw);
    add("2% lost, troubles of all", true, flaw);
    flaw.bad = 0.01;
    add("1% lost", false, flaw);
    flaw.bad = 0.05;
    flaw.op_type = 2;
    flaw.zone = 1;
    add("5% of the rarest op type in one zone", false, flaw);
    flaw = {};
    flaw.bad = 0.05;
    flaw.after = 600s;
    add("5% lost, from 10 minutes on", false, flaw);
    flaw = {};
    flaw.others = 0.3;
    add("takes from the others", false, flaw);
  }
  return out;
}

}  // namespace

int measure_rollouts(int runs, int large_runs, int jobs, const std::string& directory) {
  if (fs::exists(directory)) {
    std::cerr << "marbledyke-lab: " << directory << " is there already\n";
    return 1;
  }
  std::string csv =
      "cell,runs,done,stopped,first_stage,second_stage,later_stage,seconds,lost_share_of_asked,lost_by_clock_"
      "share\n";
  std::string table =
      "| fleet and change | runs | went through | stopped | in the first stage | second | later | mean time, "
      "s | multigets lost, "
      "of all asked | of what stages by the clock alone lose |\n| --- | --- | --- | --- | --- | --- | --- | "
      "--- | --- | --- |\n";
  for (const Cell& cell : cells(runs, large_runs)) {
    std::vector<emulator::RolloutResult> results(static_cast<std::size_t>(cell.runs));
    std::atomic<int> next{0};
    std::vector<std::thread> workers;
    const rollout::Plan plan = emulator::usual_plan();
    for (int j = 0; j < jobs; ++j) {
      workers.emplace_back([&] {
        for (int i = next++; i < cell.runs; i = next++)
          results[static_cast<std::size_t>(i)] =
              emulator::roll(cell.fleet, cell.flaw, plan, static_cast<std::uint32_t>(i + 1));
      });
    }
    for (std::thread& worker : workers) worker.join();
    int done = 0, stages[3] = {};
    double time = 0, lost = 0, asked = 0, clock = 0;
    for (const emulator::RolloutResult& r : results) {
      if (r.end == rollout::State::done) {
        done += 1;
      } else {
        stages[std::clamp(r.stage, 0, 2)] += 1;
      }
      time += r.seconds / cell.runs;
      lost += r.lost;
      asked += r.asked;
      clock += r.lost_by_clock;
    }
    const int stopped = cell.runs - done;
    char line[400];
    std::snprintf(line, sizeof line, "%s,%d,%d,%d,%d,%d,%d,%.0f,%.6f,%.4f\n", ('"' + cell.name + '"').c_str(),
                  cell.runs, done, stopped, stages[0], stages[1], stages[2], time,
                  lost / std::max(asked, 1.0), clock > 0 ? lost / clock : 0);
    csv += line;
    std::snprintf(line, sizeof line, "| %s | %d | %d | %d | %d | %d | %d | %.0f | %.4f%% | %s |\n",
                  cell.name.c_str(), cell.runs, done, stopped, stages[0], stages[1], stages[2], time,
                  100 * lost / std::max(asked, 1.0),
                  clock > 0 ? (std::to_string(100 * lost / clock).substr(0, 5) + "%").c_str() : "-");
    table += line;
    std::cout << line << std::flush;
  }
  const fs::path part = directory + ".part";
  fs::create_directories(part);
  std::ofstream(part / "results.csv") << csv;
  std::ofstream(part / "report.md") << "# Rolling changes, emulated\n\nThe shipped judge and conductor over "
                                       "a modelled fleet (src/emulator/rollouts): three op types "
                                       "(70%, 25%, 5%), three zones, 8 multigets a second at each gatherer, "
                                       "1% not answered in time by itself, gatherers that "
                                       "differ, clusters of failures, and where said two troubles of 40 s "
                                       "that strike all. Stages: 2%, 10%, half, all; 120 s each "
                                       "to show themselves. By the clock alone: the same stages without a "
                                       "judge, and 10 minutes until somebody sees it.\n\n"
                                    << table;
  fs::rename(part, directory);
  return 0;
}

}  // namespace marbledyke::lab
