#include "lab/scale/report.h"

#include <sched.h>
#include <sys/sysinfo.h>
#include <sys/utsname.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>
#include <sstream>
#include <stdexcept>

#include "lab/scale/aims.h"
#include "lab/scale/charts.h"

namespace marbledyke::lab::scale {
namespace {

namespace fs = std::filesystem;

constexpr const char* kPointsHeader = "part,size,what,unit,run,value";
constexpr const char* kConditionsHeader = "part,begun,seconds,quick,machine,load";
constexpr const char* kResultsHeader = "part,size,what,unit,value,low,high,runs";
constexpr const char* kSlopesHeader = "id,role,unit,per,intercept,slope,low,high,sizes,runs";

std::string number(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.5g", value);
  if (value >= 100'000 || value <= -100'000) std::snprintf(text, sizeof text, "%.0f", value);
  return text;
}

// With three digits, for people.
std::string short_number(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.3g", value);
  if (value >= 1000 || value <= -1000) std::snprintf(text, sizeof text, "%.0f", value);
  return text;
}

void write_file(const fs::path& path, const std::string& text) {
  const fs::path next = path.string() + ".new";
  std::ofstream out(next, std::ios::binary | std::ios::trunc);
  out << text;
  out.close();
  if (!out) throw std::runtime_error(next.string() + ": cannot be written");
  fs::rename(next, path);
}

// The cells of each line below the header.
std::vector<std::vector<std::string>> read_table(const fs::path& path, const std::string& header) {
  std::vector<std::vector<std::string>> out;
  std::ifstream in(path);
  std::string line;
  if (!std::getline(in, line)) return out;
  if (line != header) throw std::runtime_error(path.string() + ":1: not the header " + header);
  const auto width = static_cast<std::size_t>(std::count(header.begin(), header.end(), ',')) + 1;
  while (std::getline(in, line)) {
    std::vector<std::string> cells;
    std::istringstream rest(line);
    for (std::string cell; std::getline(rest, cell, ',');) cells.push_back(cell);
    if (cells.size() != width)
      throw std::runtime_error(path.string() + ":" + std::to_string(out.size() + 2) + ": not " +
                               std::to_string(width) + " cells");
    out.push_back(std::move(cells));
  }
  return out;
}

template <typename Number>
Number read_number(const std::string& text) {
  Number out{};
  const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (wrong != std::errc() || end != text.data() + text.size())
    throw std::runtime_error("not a number in kept results: " + text);
  return out;
}

std::string points_text(const std::vector<Point>& points) {
  std::string out = std::string(kPointsHeader) + '\n';
  for (const Point& p : points)
    out += p.part + ',' + std::to_string(p.size) + ',' + p.what + ',' + p.unit + ',' + std::to_string(p.run) +
           ',' + number(p.value) + '\n';
  return out;
}

std::string conditions_text(const std::vector<Conditions>& conditions) {
  std::string out = std::string(kConditionsHeader) + '\n';
  for (const Conditions& c : conditions)
    out += c.part + ',' + c.begun + ',' + std::to_string(c.seconds) + ',' + (c.quick ? "yes" : "no") + ',' +
           c.machine + ',' + c.load + '\n';
  return out;
}

std::string results_text(const std::vector<Row>& rows) {
  std::string out = std::string(kResultsHeader) + '\n';
  for (const Row& r : rows)
    out += r.part + ',' + std::to_string(r.size) + ',' + r.what + ',' + r.unit + ',' + number(r.value) + ',' +
           number(r.low) + ',' + number(r.high) + ',' + std::to_string(r.runs) + '\n';
  return out;
}

std::string sizes_text(const std::vector<int>& sizes) {
  std::string out;
  for (const int size : sizes) out += (out.empty() ? "" : " ") + std::to_string(size);
  return out;
}

std::string slopes_text(const std::vector<Slope>& slopes) {
  std::string out = std::string(kSlopesHeader) + '\n';
  for (const Slope& s : slopes)
    out += s.of.id + ',' + s.of.role + ',' + s.of.unit + ',' + s.of.per + ',' + number(s.intercept) + ',' +
           number(s.slope) + ',' + number(s.low) + ',' + number(s.high) + ',' + sizes_text(s.sizes) + ',' +
           std::to_string(s.runs) + '\n';
  return out;
}

// Quantities of a part that were measured at the same sizes, or at some of them.
struct Table {
  std::set<int> sizes;
  std::vector<std::string> whats;
};

std::vector<Table> tables_of(const std::string& part, const std::vector<Row>& rows) {
  std::vector<std::pair<std::string, std::set<int>>> quantities;
  for (const Row& row : rows) {
    if (row.part != part) continue;
    const auto at = std::find_if(quantities.begin(), quantities.end(),
                                 [&](const auto& one) { return one.first == row.what; });
    if (at == quantities.end()) {
      quantities.push_back({row.what, {row.size}});
    } else {
      at->second.insert(row.size);
    }
  }
  const auto holds = [](const std::set<int>& more, const std::set<int>& less) {
    return std::includes(more.begin(), more.end(), less.begin(), less.end());
  };
  std::vector<Table> out;
  for (const auto& [what, sizes] : quantities) {
    auto at = out.begin();
    while (at != out.end() && !holds(at->sizes, sizes) && !holds(sizes, at->sizes)) ++at;
    if (at == out.end()) at = out.insert(at, Table{});
    at->sizes.insert(sizes.begin(), sizes.end());
    at->whats.push_back(what);
  }
  return out;
}

std::string cell_text(const Row& row) {
  std::string out = short_number(row.value);
  if (row.runs > 1) out += " (" + short_number(row.low) + " to " + short_number(row.high) + ")";
  return out;
}

// A line for each quantity, a column for each size.
std::string table_text(const std::string& part, const Table& table, const std::vector<Row>& rows) {
  std::string out = "| | unit |", line = "| --- | --- |";
  for (const int size : table.sizes) {
    out += ' ' + std::to_string(size) + " |";
    line += " --- |";
  }
  out += '\n' + line + '\n';
  for (const std::string& what : table.whats) {
    std::string unit, cells;
    for (const int size : table.sizes) {
      const auto at = std::find_if(rows.begin(), rows.end(), [&](const Row& row) {
        return row.part == part && row.size == size && row.what == what;
      });
      if (at != rows.end()) unit = at->unit;
      cells += (at == rows.end() ? std::string() : " " + cell_text(*at)) + " |";
    }
    out += "| " + what + " | " + unit + " |" + cells + '\n';
  }
  return out;
}

std::string part_tables(const std::string& part, const std::vector<Row>& rows) {
  std::string out;
  for (const Table& table : tables_of(part, rows))
    out += (out.empty() ? "" : "\n") + table_text(part, table, rows);
  return out;
}

const char* what_a_part_is(const std::string& part) {
  if (part == "lists")
    return "One real gatherer beside a list of hollow servers, no traffic; columns: servers listed. A run "
           "has a "
           "gatherer of its own. `memory`: resident after the first whole list; `memory_after`: at the end "
           "of the "
           "run. `change_*`: one server leaves the list or is back; `whole_*`: the whole list is told; "
           "`whole_wait`: the longest wait of /healthz (asked 1 ms after each answer) while it comes; "
           "`return_*`: "
           "discovery was away while so many servers changed; `in_force`: from telling until the gatherer's "
           "next "
           "call names the new index.";
  if (part == "load")
    return "One real gatherer over hollow servers in other processes that answer each part after 10 ms; 59 "
           "parts "
           "a multiget, as many cells and shards; `_at_R`: R multigets a second, open loop. Columns: servers "
           "(for "
           "`core_at_N_servers`: parts a second).";
  return "Control nodes and keepers with gatherers as real processes, the other receivers hollow (the "
         "shipped "
         "receiver, which says at once that a revision is applied), many in a process; columns: receivers "
         "(for "
         "`_by_node`: receivers at a node, mean over the three nodes of a region; for `_by_document`: bytes "
         "of the "
         "document). Times run from the proposer's `agreed` and are of hollow receivers; `keepers_last`: of "
         "the "
         "real ones. `spaced`: changes 2 s apart; calls wait 3 s, so that each is ended by a change, and "
         "what is "
         "used in between is what a change costs. `node_hung`: stopped by SIGSTOP. `region_cut`: at the "
         "receivers "
         "of the region with the majority; `kept_older`: those of the other one that went on with what they "
         "had.";
}

std::string aims_text(const std::vector<Row>& rows) {
  std::string out =
      "## Aims\n\nJudged by the greatest of the runs, at the largest size that was measured (3,900 servers "
      "for "
      "lists).\n\n| aim | limit | greatest | at | |\n| --- | --- | --- | --- | --- |\n";
  for (const Judged& one : judge_aims(rows)) {
    const bool measured = one.verdict != Verdict::not_measured;
    out += "| " + one.aim.what_for + " | " + short_number(one.aim.limit) + ' ' + one.aim.unit + " | " +
           (measured ? short_number(one.greatest) : "") + " | " + (measured ? std::to_string(one.size) : "") +
           " | " + name_of(one.verdict) + " |\n";
  }
  return out;
}

const char* what_is_not_shown() {
  return "\n## Not run, and limits\n\n- One machine plays all parties, and had other work (its load "
         "average stands with each part); the hollow ones' CPU competes with what is measured.\n- "
         "Not run: an answer delayed by a change of settings (the gatherers under keepers have no "
         "traffic), CPU of discovery and of the fleet tool, a cut in which region 1 has the "
         "majority, nodes and receivers lost at once, more than 8 real keepers.\n- Hollow receivers "
         "have a revision in force as soon as they take it: no disk is waited for. Real keepers' "
         "times are read from a file's time, which may be 4 ms too early.\n- A cut loses all that "
         "passes between the regions; what was open is reset at its end, so that no time-out of TCP "
         "is waited for.\n- What was measured in one run has no spread; bytes are HTTP's without "
         "TCP and IP.\n";
}

std::string report_text(const Results& results, const std::vector<Row>& rows,
                        const std::vector<Slope>& slopes, const std::vector<Chart>& charts) {
  std::string out =
      "# Scale run\n\n`marbledyke-lab scale`; docs/lab.md says how it is run. Everything is on loopback of "
      "one "
      "machine, which is also what plays the other parties. Values are means over runs, in brackets the "
      "least "
      "and the greatest. runs.csv has every point, slopes.csv what the page on capacity is worked out "
      "from.\n";
  out += "\n" + aims_text(rows);
  for (const std::string part : {"lists", "load", "settings"}) {
    out += "\n## " + part + "\n\n";
    const auto at = std::find_if(results.conditions.begin(), results.conditions.end(),
                                 [&](const Conditions& c) { return c.part == part; });
    if (at == results.conditions.end()) {
      out += "Not run.\n";
      continue;
    }
    out += std::string(what_a_part_is(part)) + "\n\nRun at " + at->begun + " UTC for " +
           std::to_string(at->seconds) + " s" + (at->quick ? ", **the quick version**" : "") + "; " +
           at->machine + "; load average at the begin " + at->load + ".\n\n" + part_tables(part, rows);
    const bool drawn =
        std::any_of(charts.begin(), charts.end(), [&](const Chart& c) { return c.name == part; });
    if (drawn) out += "\n![" + part + "](" + part + ".svg)\n";
  }
  out +=
      "\n## Slopes\n\nvalue = intercept + slope x size. The bounds are the least and the greatest slope of "
      "single runs and between neighbouring sizes.\n\n| id | unit | per | intercept | slope | bounds | sizes "
      "| runs |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const Slope& s : slopes)
    out += "| " + s.of.id + " | " + s.of.unit + " | " + s.of.per + " | " + short_number(s.intercept) + " | " +
           short_number(s.slope) + " | " + short_number(s.low) + " to " + short_number(s.high) + " | " +
           sizes_text(s.sizes) + " | " + std::to_string(s.runs) + " |\n";
  out += what_is_not_shown() + results.notes;
  return out;
}

std::string utc_now() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  char text[40];
  std::strftime(text, sizeof text, "%Y-%m-%d %H:%M", &parts);
  return text;
}

}  // namespace

Results read_results(const std::string& folder) {
  Results out;
  for (const auto& cells : read_table(fs::path(folder) / "runs.csv", kPointsHeader))
    out.points.push_back({cells[0], read_number<int>(cells[1]), cells[2], cells[3],
                          read_number<int>(cells[4]), read_number<double>(cells[5])});
  for (const auto& cells : read_table(fs::path(folder) / "conditions.csv", kConditionsHeader))
    out.conditions.push_back(
        {cells[0], cells[1], cells[4], cells[5], read_number<int>(cells[2]), cells[3] == "yes"});
  std::ifstream notes(fs::path(folder) / "notes.md");
  out.notes.assign(std::istreambuf_iterator<char>(notes), {});
  return out;
}

void write_results(const std::string& folder, const Results& results) {
  fs::create_directories(folder);
  const fs::path to = folder;
  const std::vector<Row> rows = rows_of(results.points);
  const std::vector<Slope> slopes = slopes_of(results.points);
  const std::vector<Chart> charts = charts_of(rows);
  write_file(to / "runs.csv", points_text(results.points));
  write_file(to / "conditions.csv", conditions_text(results.conditions));
  write_file(to / "results.csv", results_text(rows));
  write_file(to / "slopes.csv", slopes_text(slopes));
  write_file(to / "report.md", report_text(results, rows, slopes, charts));
  for (const Chart& chart : charts) {
    write_file(to / (chart.name + ".gp"), chart.script);
    const std::string draw = "cd '" + folder + "' && gnuplot " + chart.name + ".gp";
    if (std::system(draw.c_str()) != 0) std::cerr << "marbledyke-lab: no chart: gnuplot did not run\n";
  }
}

Conditions conditions_now(const std::string& part, bool quick) {
  utsname system{};
  uname(&system);
  cpu_set_t cores;
  CPU_ZERO(&cores);
  sched_getaffinity(0, sizeof cores, &cores);
  struct sysinfo info {};
  sysinfo(&info);
  double load[1] = {0};
  getloadavg(load, 1);
  const std::string memory = short_number(static_cast<double>(info.totalram) * info.mem_unit / 1e9);
  return {part,
          utc_now(),
          std::string(system.sysname) + " " + system.release + "; " + std::to_string(CPU_COUNT(&cores)) +
              " of " + std::to_string(get_nprocs()) + " cores; " + memory + " GB",
          short_number(load[0]),
          0,
          quick};
}

}  // namespace marbledyke::lab::scale
