#include "lab/scale/charts.h"

#include <algorithm>

namespace marbledyke::lab::scale {
namespace {

struct Curve {
  std::string what, title;
};
struct Panel {
  std::string x, y;
  std::vector<Curve> curves;
};

// The rows of one quantity as a data block of gnuplot: size, value, low, high; empty where there are none.
std::string block(const std::string& part, const std::string& what, const std::vector<Row>& rows) {
  std::string out;
  for (const Row& row : rows) {
    if (row.part != part || row.what != what) continue;
    out += std::to_string(row.size) + ' ' + std::to_string(row.value) + ' ' + std::to_string(row.low) + ' ' +
           std::to_string(row.high) + '\n';
  }
  if (std::count(out.begin(), out.end(), '\n') < 2) return {};  // no curve
  return "$" + what + " << END\n" + out + "END\n";
}

std::string panel_script(const Panel& panel) {
  std::string out = "set xlabel '" + panel.x + "'\nset ylabel '" + panel.y + "'\nplot";
  for (std::size_t i = 0; i < panel.curves.size(); ++i) {
    const Curve& curve = panel.curves[i];
    out += (i == 0 ? " $" : ", $") + curve.what + " using 1:2:3:4 with yerrorlines lw 2 title '" +
           curve.title + "'";
  }
  return out + '\n';
}

// None where nothing was measured for it.
Chart chart_of(const std::string& part, const std::vector<Panel>& panels, const std::vector<Row>& rows) {
  std::string data, plots;
  int shown = 0;
  for (Panel panel : panels) {
    std::erase_if(panel.curves, [&](const Curve& curve) {
      const std::string one = block(part, curve.what, rows);
      data += one;
      return one.empty();
    });
    if (panel.curves.empty()) continue;
    plots += panel_script(panel);
    ++shown;
  }
  if (shown == 0) return {};
  return {part, "set terminal svg size 900,360\nset output '" + part +
                    ".svg'\nset key top left\nset yrange [0:*]\nset xtics rotate by -30\n" + data +
                    "set multiplot layout 1," + std::to_string(shown) + "\n" + plots + "unset multiplot\n"};
}

}  // namespace

std::vector<Chart> charts_of(const std::vector<Row>& rows) {
  std::vector<Chart> out;
  const auto add = [&](const std::string& part, const std::vector<Panel>& panels) {
    Chart chart = chart_of(part, panels, rows);
    if (!chart.name.empty()) out.push_back(std::move(chart));
  };
  add("lists",
      {{"servers listed", "MB", {{"memory", "at first"}, {"memory_after", "after many lists"}}},
       {"servers listed", "ms", {{"whole_wait", "longest wait"}, {"whole_cpu", "CPU of a whole list"}}},
       {"servers listed", "ms", {{"change_cpu", "CPU of a change"}}}});
  add("load", {{"servers",
                "us of CPU a part",
                {{"part_cpu_at_20", "20/s"}, {"part_cpu_at_40", "40/s"}, {"part_cpu_at_150", "150/s"}}},
               {"servers", "ms", {{"p50_at_150", "p50 at 150/s"}, {"p99_at_150", "p99 at 150/s"}}},
               {"parts a second", "share of a core", {{"core_at_3900_servers", "at 3,900 servers"}}}});
  add("settings",
      {{"receivers",
        "s from agreed until in force",
        {{"ordinary_p50", "50 in 100"},
         {"ordinary_p99", "99 in 100"},
         {"ordinary_last", "all"},
         {"node_lost_last", "all; a node dies"}}},
       {"receivers at a node", "share of a core", {{"control_core_by_node", "2300 changes a day"}}},
       {"receivers",
        "bytes/s of a receiver",
        {{"ordinary_bytes", "mean"}, {"worst_minute_bytes", "worst minute"}}}});
  return out;
}

}  // namespace marbledyke::lab::scale
