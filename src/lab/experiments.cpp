#include "lab/experiments.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "emulator/policy.h"
#include "emulator/world.h"
#include "lab/target_load.h"

namespace marbledyke::lab {
namespace {

using namespace std::chrono_literals;
using scenario::Effect;
using scenario::Fault;
using scenario::FaultKind;
using scenario::OpLoad;
using scenario::Scenario;
namespace fs = std::filesystem;

constexpr std::uint32_t kSeeds = 3;

// A middling installation that the experiments vary.
Scenario ordinary(int servers, double of_capacity) {
  Scenario s;
  s.length = 25s;
  s.settle = 5s;
  s.fleet.servers = servers;
  s.fleet.cells = std::max(1, servers / 12);
  s.fleet.zones = 2;
  s.fleet.shards = std::max(16, 2 * s.fleet.cells);
  s.fleet.cores = 2;
  s.fleet.cold = 6s;
  s.gatherers.count = 2;
  s.gatherers.room = 4000;
  OpLoad look;
  look.name = "look";
  look.share = 4;
  look.parts = 6;
  look.work = 20ms;
  look.budget = 600ms;
  look.timeout = 2s;
  OpLoad issue = look;
  issue.name = "issue";
  issue.effect = Effect::non_retriable;
  issue.share = 1;
  issue.parts = 2;
  issue.importance = 3;
  s.op_types = {look, issue};
  s.load.rate = of_capacity * scenario::capacity(s);
  return s;
}

std::string number(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%.6g", value);
  return out;
}

Fault fault_of(FaultKind kind, Duration from, Duration until, double share, double strength) {
  Fault out;
  out.kind = kind;
  out.from = from;
  out.until = until;
  out.share = share;
  out.strength = strength;
  return out;
}

void policies(Experiment& e, std::uint32_t seed) {
  e.question = "What does each way of placing lose under each fault of a quarter of the servers?";
  e.factors = {"policy", "fault", "seed"};
  struct Kind {
    FaultKind kind;
    double strength;
  };
  const std::vector<Kind> kinds{
      {FaultKind::crash, 1},  {FaultKind::vanish, 1},    {FaultKind::slow, 5},       {FaultKind::errors, 0.8},
      {FaultKind::pause, 1},  {FaultKind::lose_in, 0.3}, {FaultKind::lose_out, 0.3}, {FaultKind::drain, 1},
      {FaultKind::lie_up, 1}, {FaultKind::lie_drain, 1}, {FaultKind::stampede, 2}};
  for (const std::string& policy : emulator::policy_names()) {
    for (int k = -1; k < static_cast<int>(kinds.size()); ++k) {
      for (std::uint32_t i = 0; i < kSeeds; ++i) {
        Cell cell;
        cell.policy = policy;
        cell.seed = seed + i;
        cell.scenario = ordinary(24, 0.6);
        cell.scenario.load.retries = 1;
        std::string name = "none";
        if (k >= 0) {
          const Kind& kind = kinds[static_cast<std::size_t>(k)];
          cell.scenario.faults = {fault_of(kind.kind, 10s, 16s, 0.25, kind.strength)};
          name = scenario::name_of(kind.kind);
        }
        cell.factors = {policy, name, std::to_string(cell.seed)};
        e.cells.push_back(std::move(cell));
      }
    }
  }
}

void overload(Experiment& e, std::uint32_t seed) {
  e.question = "Does goodput hold past the knee, with and without clients that ask again?";
  e.factors = {"policy", "retries", "offered", "seed"};
  for (const char* policy : {"module", "two-choices", "bare-design"}) {
    for (const int retries : {0, 3}) {
      for (const double offered : {0.5, 0.75, 0.9, 1.0, 1.25, 1.5, 2.0, 2.5, 3.0}) {
        for (std::uint32_t i = 0; i < kSeeds; ++i) {
          Cell cell;
          cell.policy = policy;
          cell.seed = seed + i;
          cell.scenario = ordinary(12, offered);
          cell.scenario.load.retries = retries;
          cell.factors = {policy, std::to_string(retries), number(offered), std::to_string(cell.seed)};
          e.cells.push_back(std::move(cell));
        }
      }
    }
  }
  for (const char* retries : {"0", "3"})
    e.charts.push_back({std::string("goodput-retries-") + retries,
                        std::string("Good answers a second, clients ask again ") + retries + " times",
                        "offered",
                        "good_rate",
                        "policy",
                        {std::string("retries=") + retries}});
}

void recovery(Experiment& e, std::uint32_t seed) {
  e.question = "How long after half the fleet died does service take to return, when it returns cold?";
  e.factors = {"policy", "cold_s", "seed"};
  for (const char* policy : {"module", "two-choices", "bare-design"}) {
    for (const int cold : {1, 6, 15}) {
      for (std::uint32_t i = 0; i < kSeeds; ++i) {
        Cell cell;
        cell.policy = policy;
        cell.seed = seed + i;
        cell.scenario = ordinary(24, 0.45);
        cell.scenario.length = 45s;
        cell.scenario.fleet.cold = std::chrono::seconds(cold);
        cell.scenario.faults = {fault_of(FaultKind::crash, 10s, 20s, 0.5, 1)};
        cell.factors = {policy, std::to_string(cold), std::to_string(cell.seed)};
        e.cells.push_back(std::move(cell));
      }
    }
  }
  e.charts.push_back(
      {"recovery", "Seconds until nine of ten are good again", "cold_s", "recovered_s", "policy", {}});
}

void gatherers(Experiment& e, std::uint32_t seed) {
  e.question = "Do gatherers that share nothing herd, or push cold servers over together?";
  e.factors = {"policy", "gatherers", "seed"};
  for (const char* policy : {"module", "least-in-flight", "bare-design"}) {
    for (const int count : {1, 2, 4, 8, 16, 32, 64}) {
      for (std::uint32_t i = 0; i < kSeeds; ++i) {
        Cell cell;
        cell.policy = policy;
        cell.seed = seed + i;
        cell.scenario = ordinary(24, 0.6);
        cell.scenario.gatherers.count = count;
        cell.scenario.faults = {fault_of(FaultKind::crash, 8s, 12s, 0.25, 1)};
        cell.factors = {policy, std::to_string(count), std::to_string(cell.seed)};
        e.cells.push_back(std::move(cell));
      }
    }
  }
  e.charts.push_back({"goodput", "Share of good answers", "gatherers", "goodput", "policy", {}});
  e.charts.push_back(
      {"imbalance", "Largest over mean number of parts a server", "gatherers", "imbalance", "policy", {}});
}

// A share of all gatherers dies within 100 ms under the shipped keepers' decisions, or all are swapped in
// turn.
void returns(Experiment& e, std::uint32_t seed) {
  e.question =
      "What does a fleet lose when many of its gatherers die at once under their keepers, and does that grow "
      "with it?";
  e.factors = {"gatherers", "what", "seed"};
  for (const int count : {8, 48, 300, 1000}) {
    for (const char* const what : {"nothing", "half", "most", "all", "most-keepers-late", "swaps"}) {
      for (std::uint32_t i = 0; i < kSeeds; ++i) {
        const std::string kind = what;
        Cell cell;
        cell.policy = "module";
        cell.seed = seed + i;
        cell.scenario = ordinary(std::max(24, count / 4), 0.5);
        cell.scenario.length = 18s;
        cell.scenario.gatherers.count = count;
        cell.scenario.gatherers.kept = true;
        const double share = kind == "half" ? 0.5 : kind == "all" ? 1 : 0.7;
        Fault killed = fault_of(FaultKind::kill_gatherer, 6s, 7s, share, 1);
        killed.first = 0;
        killed.step = Duration(100'000 / count);
        Fault off = fault_of(FaultKind::kill_keeper, 5s, 8s, share, 1);
        off.first = 0;
        if (kind == "swaps") {
          killed.kind = FaultKind::swap_gatherer;
          killed.share = 1;
          killed.until = 11s;
          killed.step = Duration(4'000'000 / count);
        }
        if (kind != "nothing") cell.scenario.faults = {killed};
        if (kind == "most-keepers-late") cell.scenario.faults.push_back(off);
        cell.factors = {std::to_string(count), what, std::to_string(cell.seed)};
        e.cells.push_back(std::move(cell));
      }
    }
  }
  e.charts.push_back({"goodput", "Share of good answers", "gatherers", "goodput", "what", {}});
}

// What it costs to decide is in timing.csv.
void size(Experiment& e, std::uint32_t seed) {
  e.question = "What does deciding a part cost, by the size of the fleet and of the multiget?";
  e.factors = {"policy", "servers", "parts", "seed"};
  for (const int servers : {16, 128, 1024, 4096}) {
    for (const int parts : {1, 6, 16, 64}) {
      Cell cell;
      cell.policy = "module";
      cell.seed = seed;
      cell.scenario = ordinary(servers, 0.5);
      cell.scenario.length = 8s;
      cell.scenario.settle = 2s;
      cell.scenario.fleet.shards = 128;
      cell.scenario.op_types.resize(1);
      cell.scenario.op_types[0].parts = parts;
      // The same parts a second at one gatherer, whatever the sizes.
      cell.scenario.gatherers.count = 1;
      cell.scenario.load.rate = 1000.0 / parts;
      cell.factors = {"module", std::to_string(servers), std::to_string(parts), std::to_string(seed)};
      e.cells.push_back(std::move(cell));
    }
  }
}

// Both stood open in docs/standing.md: what is lost on one way only, and a jam, in fleets that are not small.
void loss(Experiment& e, std::uint32_t seed) {
  e.question = "What does loss on one way only cost, by its share and by the size of the fleet?";
  e.factors = {"policy", "way", "lost", "servers", "seed"};
  for (const char* policy : {"module", "two-choices"}) {
    for (const FaultKind way : {FaultKind::lose_in, FaultKind::lose_out}) {
      for (const double lost : {0.02, 0.1, 0.3, 1.0}) {
        for (const int servers : {24, 384}) {
          for (std::uint32_t i = 0; i < kSeeds; ++i) {
            Cell cell;
            cell.policy = policy;
            cell.seed = seed + i;
            cell.scenario = ordinary(servers, 0.5);
            cell.scenario.length = 16s;
            cell.scenario.settle = 4s;
            cell.scenario.gatherers.count = servers / 12;
            cell.scenario.load.retries = 1;
            cell.scenario.faults = {fault_of(way, 4s, 16s, 0.25, lost)};
            cell.factors = {policy, scenario::name_of(way), number(lost), std::to_string(servers),
                            std::to_string(cell.seed)};
            e.cells.push_back(std::move(cell));
          }
        }
      }
    }
  }
  for (const char* way : {"lose-in", "lose-out"})
    e.charts.push_back({std::string("goodput-") + way + "-384",
                        std::string("Share of good answers, 384 servers, ") + way,
                        "lost",
                        "goodput",
                        "policy",
                        {std::string("way=") + way, "servers=384"}});
}

void jams(Experiment& e, std::uint32_t seed) {
  e.question = "Does a jam of 6 s end with its cause, in fleets of any size, and what is kept meanwhile?";
  e.factors = {"policy", "servers", "factor", "seed"};
  for (const char* policy : {"module", "two-choices", "bare-design"}) {
    for (const int servers : {24, 96, 384}) {
      for (const double factor : {2.0, 4.0}) {
        for (std::uint32_t i = 0; i < kSeeds; ++i) {
          Cell cell;
          cell.policy = policy;
          cell.seed = seed + i;
          cell.scenario = ordinary(servers, 0.6);
          cell.scenario.length = 24s;
          cell.scenario.gatherers.count = std::max(2, servers / 24);
          cell.scenario.load.retries = 2;
          cell.scenario.faults = {fault_of(FaultKind::stampede, 6s, 12s, 1, factor)};
          cell.factors = {policy, std::to_string(servers), number(factor), std::to_string(cell.seed)};
          e.cells.push_back(std::move(cell));
        }
      }
    }
  }
  e.charts.push_back({"recovered",
                      "Seconds until nine of ten are good again, four times the load",
                      "servers",
                      "recovered_s",
                      "policy",
                      {"factor=4"}});
}

// What the largest fleets cost is in timing.csv; what they lose when a tenth of them dies, in the table.
void fleets(Experiment& e, std::uint32_t seed) {
  e.question =
      "Does service hold in fleets of up to 20,000 servers while a tenth of them dies and returns cold?";
  e.factors = {"policy", "servers", "seed"};
  for (const int servers : {256, 1024, 4096, 20'000}) {
    Cell cell;
    cell.policy = "module";
    cell.seed = seed;
    cell.scenario = ordinary(servers, 0.5);
    cell.scenario.length = 10s;
    cell.scenario.settle = 2s;
    cell.scenario.fleet.shards = 512;
    cell.scenario.gatherers.count = 4;
    cell.scenario.load.rate = 2000;  // the same load everywhere: the fleet's size is what is asked about
    cell.scenario.faults = {fault_of(FaultKind::crash, 4s, 7s, 0.1, 1)};
    cell.factors = {"module", std::to_string(servers), std::to_string(cell.seed)};
    e.cells.push_back(std::move(cell));
  }
}

void small(Experiment& e, std::uint32_t seed) {
  e.question = "A few moments of everything, for the tests.";
  e.factors = {"policy", "fault", "seed"};
  for (const char* policy : {"module", "random"}) {
    for (const FaultKind kind : {FaultKind::crash, FaultKind::slow}) {
      Cell cell;
      cell.policy = policy;
      cell.seed = seed;
      cell.scenario = ordinary(8, 0.5);
      cell.scenario.length = 8s;
      cell.scenario.settle = 1s;
      cell.scenario.faults = {fault_of(kind, 2s, 4s, 0.25, 4)};
      cell.factors = {policy, scenario::name_of(kind), std::to_string(seed)};
      e.cells.push_back(std::move(cell));
    }
  }
}

using Maker = void (*)(Experiment&, std::uint32_t);
const std::vector<std::pair<std::string, Maker>>& makers() {
  static const std::vector<std::pair<std::string, Maker>> kMakers{{"policies", policies},
                                                                  {"overload", overload},
                                                                  {"recovery", recovery},
                                                                  {"gatherers", gatherers},
                                                                  {"size", size},
                                                                  {"loss", loss},
                                                                  {"jams", jams},
                                                                  {"fleets", fleets},
                                                                  {"returns", returns},
                                                                  {"target-load", target_load},
                                                                  {"target-load-idle", target_load_idle},
                                                                  {"small", small}};
  return kMakers;
}

const std::vector<std::string>& measured() {
  static const std::vector<std::string> kColumns{
      "asked",      "goodput",   "good_rate", "late",        "pushed_back", "failed",
      "unanswered", "sends",     "further",   "probes",      "used",        "wasted",
      "imbalance",  "median_us", "p99_us",    "recovered_s", "breach_1",    "breach_2",
      "breach_3",   "breach_4",  "breach_5",  "breach_6",    "digest"};
  return kColumns;
}

// Seconds from the end of the last fault until nine of ten are good, over two seconds together; -1: never.
double recovered(const Cell& cell, const emulator::Result& r) {
  Duration end{};
  for (const Fault& fault : cell.scenario.faults) end = std::max(end, fault.until);
  if (end == Duration::zero()) return 0;
  for (auto i = static_cast<std::size_t>(end / 1s); i + 1 < r.seconds.size(); ++i) {
    const double asked = static_cast<double>(r.seconds[i].asked + r.seconds[i + 1].asked);
    const double good = static_cast<double>(r.seconds[i].good + r.seconds[i + 1].good);
    if (asked > 0 && good >= 0.9 * asked)
      return static_cast<double>(i) - std::chrono::duration<double>(end).count();
  }
  return -1;
}

std::string row_of(const Cell& cell, const emulator::Result& r) {
  std::ostringstream out;
  for (const std::string& factor : cell.factors) out << factor << ',';
  out << r.asked << ',' << number(r.goodput) << ',' << number(r.good_rate) << ',' << r.late << ','
      << r.pushed_back << ',' << r.failed << ',' << r.unanswered << ',' << r.sends << ',' << r.further << ','
      << r.probes << ',' << number(r.used) << ',' << number(r.wasted) << ',' << number(r.imbalance) << ','
      << r.median.count() << ',' << r.p99.count() << ',' << number(recovered(cell, r));
  for (int rule = 1; rule <= 6; ++rule) out << ',' << r.breach_counts[rule];
  out << ',' << std::hex << r.digest << '\n';
  return out.str();
}

struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
  int column(const std::string& name) const {
    const auto at = std::find(columns.begin(), columns.end(), name);
    return at == columns.end() ? -1 : static_cast<int>(at - columns.begin());
  }
};

std::vector<std::string> split(const std::string& line) {
  std::vector<std::string> out;
  std::stringstream in(line);
  for (std::string cell; std::getline(in, cell, ',');) out.push_back(cell);
  return out;
}

Table read_table(const std::string& path) {
  std::ifstream in(path);
  Table out;
  std::string line;
  if (!in || !std::getline(in, line)) throw std::runtime_error(path + ": cannot be read");
  out.columns = split(line);
  for (int number_of = 2; std::getline(in, line); ++number_of) {
    out.rows.push_back(split(line));
    if (out.rows.back().size() != out.columns.size())
      throw std::runtime_error(path + ":" + std::to_string(number_of) + ": not as many cells as columns");
  }
  return out;
}

// Mean of a column by two others, in the order of their first appearance.
using Means = std::vector<std::pair<std::string, std::vector<std::pair<std::string, double>>>>;
Means means(const Table& table, const Chart& chart) {
  Means out;
  std::map<std::pair<std::string, std::string>, std::pair<double, int>> sums;
  const auto x = static_cast<std::size_t>(table.column(chart.x));
  const auto y = static_cast<std::size_t>(table.column(chart.y));
  const auto by = static_cast<std::size_t>(table.column(chart.by));
  for (const auto& row : table.rows) {
    const bool wanted = std::all_of(chart.where.begin(), chart.where.end(), [&](const std::string& one) {
      const std::size_t equals = one.find('=');
      return row[static_cast<std::size_t>(table.column(one.substr(0, equals)))] == one.substr(equals + 1);
    });
    if (!wanted) continue;
    auto& [sum, count] = sums[{row[by], row[x]}];
    sum += std::atof(row[y].c_str());
    count += 1;
    auto line = std::find_if(out.begin(), out.end(), [&](const auto& one) { return one.first == row[by]; });
    if (line == out.end()) line = out.insert(out.end(), {row[by], {}});
    if (std::none_of(line->second.begin(), line->second.end(),
                     [&](const auto& one) { return one.first == row[x]; }))
      line->second.push_back({row[x], 0});
  }
  for (auto& [name, points] : out) {
    for (auto& [at, value] : points) value = sums[{name, at}].first / sums[{name, at}].second;
  }
  return out;
}

// A script that stands by itself beside its chart, so that the chart can be drawn again.
bool draw_chart(const Table& table, const Chart& chart, const fs::path& directory) {
  const Means lines = means(table, chart);
  const fs::path script = directory / (chart.file + ".gp");
  std::ofstream out(script);
  out << "set terminal svg noenhanced size 800,480 background rgb 'white'\nset output '" << chart.file
      << ".svg'\nset title '" << chart.title << "'\nset xlabel '" << chart.x << "'\nset ylabel '" << chart.y
      << "'\nset key outside right\nset grid\nset yrange [0:*]\n";
  for (std::size_t i = 0; i < lines.size(); ++i) {
    out << "$d" << i << " << END\n";
    for (const auto& [x, y] : lines[i].second) out << x << ' ' << number(y) << '\n';
    out << "END\n";
  }
  out << "plot ";
  for (std::size_t i = 0; i < lines.size(); ++i)
    out << (i > 0 ? ", " : "") << "$d" << i << " using 1:2 with linespoints linewidth 2 title '"
        << lines[i].first << "'";
  out << '\n';
  out.close();
  const std::string command =
      "cd '" + directory.string() + "' && gnuplot '" + chart.file + ".gp' 2>/dev/null";
  return std::system(command.c_str()) == 0;
}

void report(const Experiment& e, const Table& table, const fs::path& directory, bool drawn) {
  std::ofstream out(directory / "report.md");
  out << "# " << e.name << "\n\n"
      << e.question << "\n\nEmulated (`marbledyke-lab run " << e.name << "`), " << e.cells.size()
      << " plays. All columns are in `results.csv`.\n";
  if (!drawn && !e.charts.empty())
    out << "\nThe charts were not drawn: gnuplot is not there. Their scripts are.\n";
  for (const Chart& chart : e.charts) out << "\n![" << chart.title << "](" << chart.file << ".svg)\n";
  // Means over the seeds.
  const auto seed = static_cast<std::size_t>(table.column("seed"));
  const std::vector<std::string> shown{"goodput", "good_rate", "p99_us",     "further",
                                       "wasted",  "imbalance", "recovered_s"};
  out << "\n|";
  for (std::size_t i = 0; i < seed; ++i) out << ' ' << table.columns[i] << " |";
  for (const std::string& one : shown) out << ' ' << one << " |";
  out << " breaches by rule |\n|";
  for (std::size_t i = 0; i < seed + shown.size() + 1; ++i) out << " --- |";
  out << '\n';
  for (std::size_t from = 0; from < table.rows.size();) {
    std::size_t to = from;
    const auto same = [&](std::size_t a, std::size_t b) {
      return std::equal(table.rows[a].begin(), table.rows[a].begin() + static_cast<std::ptrdiff_t>(seed),
                        table.rows[b].begin());
    };
    while (to < table.rows.size() && same(from, to)) ++to;
    out << '|';
    for (std::size_t i = 0; i < seed; ++i) out << ' ' << table.rows[from][i] << " |";
    for (const std::string& one : shown) {
      double sum = 0;
      for (std::size_t i = from; i < to; ++i)
        sum += std::atof(table.rows[i][static_cast<std::size_t>(table.column(one))].c_str());
      out << ' ' << number(std::round(sum / static_cast<double>(to - from) * 1000) / 1000) << " |";
    }
    for (int rule = 1; rule <= 6; ++rule) {
      long sum = 0;
      for (std::size_t i = from; i < to; ++i)
        sum += std::atol(
            table.rows[i][static_cast<std::size_t>(table.column("breach_" + std::to_string(rule)))].c_str());
      out << ' ' << sum;
    }
    out << " |\n";
    from = to;
  }
}

}  // namespace

std::vector<std::pair<std::string, Scenario>> twins() {
  std::vector<std::pair<std::string, Scenario>> out;
  const auto add = [&](const std::string& name, std::vector<Fault> faults) {
    Scenario s = ordinary(12, 0.5);
    s.name = name;
    s.length = 14s;
    s.settle = 2s;
    s.fleet.cells = 2;
    s.fleet.cold = 3s;
    s.load.rate = 0.5 * scenario::capacity(s);
    s.load.retries = 1;
    s.faults = std::move(faults);
    out.emplace_back(name, std::move(s));
  };
  add("none", {});
  const std::vector<std::pair<FaultKind, double>> kinds{
      {FaultKind::crash, 1},      {FaultKind::vanish, 1},       {FaultKind::slow, 5},
      {FaultKind::errors, 0.8},   {FaultKind::pause, 1},        {FaultKind::lose_in, 0.3},
      {FaultKind::lose_out, 0.3}, {FaultKind::drain, 1},        {FaultKind::lie_up, 1},
      {FaultKind::lie_drain, 1},  {FaultKind::partition, 1},    {FaultKind::list_down, 1},
      {FaultKind::stampede, 3},   {FaultKind::kill_gatherer, 1}};
  for (const auto& [kind, strength] : kinds) {
    Fault fault = fault_of(kind, 4s, 8s, kind == FaultKind::kill_gatherer ? 0.5 : 0.25, strength);
    if (kind == FaultKind::partition) fault.zone = 1;
    add(scenario::name_of(kind), {fault});
  }
  // Gatherers under keepers, one of two struck; a keeper's faults come with the end of its gatherer, since
  // without one nobody would see them.
  const auto kept = [&](FaultKind kind, double strength, Duration until = 8s) {
    const bool of_keeper =
        kind == FaultKind::kill_keeper || kind == FaultKind::pause_keeper || kind == FaultKind::keeper_clock;
    std::vector<Fault> faults{fault_of(kind, 4s, until, 0.5, strength)};
    faults.front().first = 0;
    if (of_keeper) {
      faults.push_back(fault_of(FaultKind::kill_gatherer, 5s, 6s, 0.5, 1));
      faults.back().first = 0;
    }
    add(std::string(scenario::name_of(kind)) + (kind == FaultKind::kill_gatherer ? ", kept"
                                                : of_keeper                      ? " and its gatherer"
                                                                                 : ""),
        std::move(faults));
    out.back().second.gatherers.kept = true;
  };
  kept(FaultKind::kill_gatherer, 1);
  kept(FaultKind::pause_gatherer, 1, 5s);
  kept(FaultKind::swap_gatherer, 1);
  kept(FaultKind::list_cut, 1);
  kept(FaultKind::path_lost, 1, 5s);
  kept(FaultKind::path_slow, 40);
  kept(FaultKind::path_reset, 4);
  kept(FaultKind::kill_keeper, 1);
  kept(FaultKind::pause_keeper, 1);
  kept(FaultKind::keeper_clock, 0.25);
  return out;
}

const std::vector<std::string>& experiment_names() {
  static const std::vector<std::string> kNames = [] {
    std::vector<std::string> out;
    for (const auto& [name, maker] : makers()) out.push_back(name);
    return out;
  }();
  return kNames;
}

Experiment make_experiment(const std::string& name, std::uint32_t seed) {
  for (const auto& [each, maker] : makers()) {
    if (each != name) continue;
    Experiment out;
    out.name = name;
    maker(out, seed);
    return out;
  }
  throw std::invalid_argument("no experiment of that name: " + name);
}

bool run_experiment(const Experiment& e, const std::string& directory, int jobs) {
  const fs::path target = directory, part = directory + ".part";
  std::error_code wrong;
  if (fs::exists(target)) {
    std::cerr << directory << ": is there already\n";
    return false;
  }
  fs::remove_all(part, wrong);
  if (!fs::create_directories(part, wrong)) {
    std::cerr << part.string() << ": " << wrong.message() << '\n';
    return false;
  }
  std::vector<std::string> rows(e.cells.size()), timings(e.cells.size());
  std::atomic<std::size_t> next{0}, done{0};
  {
    std::vector<std::jthread> players;
    for (int i = 0; i < std::max(jobs, 1); ++i) {
      players.emplace_back([&] {
        for (std::size_t at; (at = next++) < e.cells.size();) {
          const Cell& cell = e.cells[at];
          emulator::Options options;
          options.policy = cell.policy;
          options.seed = cell.seed;
          const auto begun = std::chrono::steady_clock::now();
          const emulator::Result r = emulator::play(cell.scenario, options);
          const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
          rows[at] = row_of(cell, r);
          for (const std::string& factor : cell.factors) timings[at] += factor + ',';
          timings[at] += number(took) + ',' +
                         number(took * 1e6 / std::max<double>(static_cast<double>(r.sends), 1)) + '\n';
          std::fprintf(stderr, "\r%zu of %zu", ++done, e.cells.size());
        }
      });
    }
  }
  std::fprintf(stderr, "\n");
  std::string factors;
  for (const std::string& factor : e.factors) factors += factor + ',';
  {
    std::ofstream out(part / "results.csv");
    out << factors;
    for (std::size_t i = 0; i < measured().size(); ++i) out << (i > 0 ? "," : "") << measured()[i];
    out << '\n';
    for (const std::string& row : rows) out << row;
    std::ofstream timing(part / "timing.csv");
    timing << factors << "wall_s,wall_us_a_send\n";
    for (const std::string& row : timings) timing << row;
    if (!out.flush() || !timing.flush()) {
      std::cerr << part.string() << ": cannot be written\n";
      return false;
    }
  }
  const Table table = read_table((part / "results.csv").string());
  bool drawn = true;
  for (const Chart& chart : e.charts) drawn = draw_chart(table, chart, part) && drawn;
  if (!drawn) std::cerr << "gnuplot did not draw the charts; their scripts are kept\n";
  report(e, table, part, drawn);
  fs::rename(part, target, wrong);
  if (wrong) std::cerr << directory << ": " << wrong.message() << '\n';
  return !wrong;
}

int compare(const std::string& before, const std::string& after, const std::string& column) {
  try {
    const Table a = read_table((fs::path(before) / "results.csv").string());
    const Table b = read_table((fs::path(after) / "results.csv").string());
    const int seed_a = a.column("seed"), seed_b = b.column("seed"), y_a = a.column(column),
              y_b = b.column(column);
    if (seed_a < 0 || y_a < 0 || y_b < 0 ||
        !std::equal(a.columns.begin(), a.columns.begin() + seed_a + 1, b.columns.begin()) || seed_a != seed_b)
      throw std::runtime_error("the tables have other factors, or no column " + column);
    const auto seed = static_cast<std::size_t>(seed_a);
    std::map<std::vector<std::string>, std::map<std::string, double>> was;
    for (const auto& row : a.rows)
      was[{row.begin(), row.begin() + seed_a}][row[seed]] =
          std::atof(row[static_cast<std::size_t>(y_a)].c_str());
    std::vector<std::vector<std::string>> order;
    std::map<std::vector<std::string>, std::vector<std::pair<double, double>>> pairs;
    for (const auto& row : b.rows) {
      const std::vector<std::string> key(row.begin(), row.begin() + seed_a);
      const auto at = was.find(key);
      if (at == was.end() || !at->second.contains(row[seed])) continue;
      if (!pairs.contains(key)) order.push_back(key);
      pairs[key].push_back({at->second.at(row[seed]), std::atof(row[static_cast<std::size_t>(y_b)].c_str())});
    }
    if (order.empty()) throw std::runtime_error("the tables share no play");
    std::printf(
        "| setting | pairs | %s before | after | difference | 95%% bounds |\n| --- | --- | --- | --- | --- | "
        "--- |\n",
        column.c_str());
    std::mt19937 chance(1);
    for (const auto& key : order) {
      const auto& its = pairs.at(key);
      double mean_a = 0, mean_b = 0;
      for (const auto& [x, y] : its) {
        mean_a += x / static_cast<double>(its.size());
        mean_b += y / static_cast<double>(its.size());
      }
      std::vector<double> drawn;
      for (int i = 0; i < 2000; ++i) {
        double sum = 0;
        for (std::size_t k = 0; k < its.size(); ++k) {
          const auto& [x, y] = its[chance() % its.size()];
          sum += y - x;
        }
        drawn.push_back(sum / static_cast<double>(its.size()));
      }
      std::sort(drawn.begin(), drawn.end());
      std::string name;
      for (const std::string& one : key) name += (name.empty() ? "" : " ") + one;
      std::printf("| %s | %zu | %s | %s | %s | %s to %s |\n", name.c_str(), its.size(),
                  number(mean_a).c_str(), number(mean_b).c_str(), number(mean_b - mean_a).c_str(),
                  number(drawn[50]).c_str(), number(drawn[1949]).c_str());
    }
    return 0;
  } catch (const std::exception& why) {
    std::cerr << why.what() << '\n';
    return 2;
  }
}

}  // namespace marbledyke::lab
