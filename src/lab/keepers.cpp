#include "lab/keepers.h"

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <vector>

#include "emulator/world.h"
#include "lab/stage.h"
#include "rig/site.h"
#include "standins/load.h"

namespace marbledyke::lab {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using rig::Site;
namespace fs = std::filesystem;

struct Row {
  std::string measure, what;
  double value = 0;
};

double at(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

standins::LoadOptions load_of(double rate, int seconds) {
  standins::LoadOptions out;
  out.rate = rate;
  out.seconds = seconds;
  out.shards = Site::kShards;
  out.may_repeat = true;
  return out;
}

rig::SiteOptions site_of() {
  rig::SiteOptions out;
  // Each end is forgiven at once: what is measured is one return, not the waits after many.
  out.keeper_words.insert(out.keeper_words.end(), {"--strike-fades", "0.05"});
  return out;
}

// From SIGKILL until a call to the same address is answered again; what clients lost.
void returns(const KeeperMeasures& options, std::vector<Row>& rows, std::vector<double>& times,
             const std::atomic<bool>& stop) {
  net::Loop loop;
  Site site(loop, site_of());
  Site::Machine& m = site.machine(0);
  site.start_keeper(m);
  if (!site.keeper_up(m) || !site.bring(m, "v1", {}))
    throw std::runtime_error("the keeper did not bring v1 in force");
  standins::Load clients(loop, m.listen, load_of(100, options.kills + 5));
  for (int i = 0; i < options.kills && !stop; ++i) {
    rig::run_for(loop, 800ms);
    const pid_t was = Site::leader(site.status(m));
    if (was <= 0) continue;
    const Duration from = loop.now();
    ::kill(was, SIGKILL);
    const bool back = rig::run_until(loop, 5s, [&] {
      const auto alive = site.gatherers(m);
      return !alive.empty() && alive[0] != was &&
             rig::call(loop, m.listen, "GET", "/healthz", "", 500ms).status == 200;
    });
    if (back) times.push_back(static_cast<double>((loop.now() - from).count()) / 1000);
  }
  rig::run_until(loop, 30s, [&] { return !clients.running(); });
  const auto& t = clients.tally();
  rows.push_back({"return", "kills", static_cast<double>(times.size())});
  rows.push_back({"return", "median_ms", at(times, 0.5)});
  rows.push_back({"return", "p90_ms", at(times, 0.9)});
  rows.push_back({"return", "longest_ms", at(times, 1)});
  rows.push_back({"return", "asked", static_cast<double>(t.due)});
  rows.push_back({"return", "without_answer", static_cast<double>(t.due - t.answered - t.pushed_back)});
}

void swaps(const KeeperMeasures& options, std::vector<Row>& rows, const std::atomic<bool>& stop) {
  net::Loop loop;
  Site site(loop, site_of());
  Site::Machine& m = site.machine(0);
  site.start_keeper(m);
  if (!site.keeper_up(m) || !site.bring(m, "v0", {}))
    throw std::runtime_error("the keeper did not bring v0 in force");
  Site::Recipe other;
  other.mark = "another build";
  site.order(m, "take", "v1", {{"from", site.recipe(m, "v1", other)}});
  site.settled(m);
  const int seconds = options.swaps * 5 + 2;
  const rig::Used before = rig::used_by(m.keeper.pid());
  const Duration begun = loop.now();
  standins::Load clients(loop, m.listen, load_of(options.rate, seconds));
  int done = 0;
  for (int i = 0; i < options.swaps && !stop; ++i) {
    const Duration next = loop.now() + 5s;
    site.order(m, "use", i % 2 == 0 ? "v1" : "v0");
    const json now = site.settled(m, 5s);
    done += now.is_object() && now.value("outcome", "") == "done" ? 1 : 0;
    if (loop.now() < next) rig::run_for(loop, next - loop.now());
  }
  rig::run_until(loop, 30s, [&] { return !clients.running(); });
  const rig::Used after = rig::used_by(m.keeper.pid());
  const double wall = static_cast<double>((loop.now() - begun).count()) / 1e6;
  const auto& t = clients.tally();
  rows.push_back({"swap", "swaps", static_cast<double>(done)});
  rows.push_back({"swap", "asked", static_cast<double>(t.due)});
  rows.push_back({"swap", "answered", static_cast<double>(t.answered)});
  rows.push_back({"swap", "pushed_back", static_cast<double>(t.pushed_back)});
  rows.push_back({"swap", "lost", static_cast<double>(t.due - t.answered - t.pushed_back)});
  rows.push_back({"swap", "sent_again_over_closed_connections", static_cast<double>(t.sent_again)});
  rows.push_back({"swap", "failed", static_cast<double>(t.failed)});
  rows.push_back({"swap", "cut", static_cast<double>(t.cut)});
  rows.push_back({"swap", "timed_out", static_cast<double>(t.timed_out)});
  rows.push_back({"swap", "p99_ms", static_cast<double>(clients.latencies().at(0.99).count()) / 1000});
  rows.push_back({"keeper", "cpu_share_of_a_core", (after.cpu - before.cpu) / wall});
  rows.push_back({"keeper", "rss_mb", static_cast<double>(after.rss) / 1e6});
}

// One installation, played with keepers and without, one after the other.
void pairs(const KeeperMeasures& options, std::vector<Row>& rows, const std::atomic<bool>& stop) {
  scenario::Scenario s;
  s.length = 12s;
  s.settle = 2s;
  s.fleet.servers = 12;
  s.fleet.cells = 2;
  s.fleet.zones = 2;
  s.gatherers.count = 4;
  s.op_types[0].work = 5ms;
  s.load.rate = 300;
  scenario::Fault crash;
  crash.from = 5s;
  crash.until = 8s;
  crash.share = 0.2;
  s.faults = {crash};
  for (int i = 0; i < options.pairs && !stop; ++i) {
    for (const bool kept : {false, true}) {
      s.gatherers.kept = kept;
      const Staged staged = stage(s, {static_cast<std::uint32_t>(i + 1), nullptr, nullptr}, stop);
      const std::string with = kept ? "with" : "without";
      rows.push_back({"pair", "goodput_" + with, staged.result.goodput});
      rows.push_back({"pair", "p99_ms_" + with, static_cast<double>(staged.result.p99.count()) / 1000});
      rows.push_back({"pair", "breaches_" + with, static_cast<double>(staged.result.breaches.size())});
    }
  }
}

void write(const fs::path& path, const std::string& text) { std::ofstream(path) << text; }

}  // namespace

int measure_keepers(const KeeperMeasures& options, const std::string& directory,
                    const std::atomic<bool>& stop) {
  if (fs::exists(directory)) {
    std::cerr << "marbledyke-lab: " << directory << " is there already\n";
    return 1;
  }
  std::vector<Row> rows;
  std::vector<double> times;
  try {
    returns(options, rows, times, stop);
    swaps(options, rows, stop);
    pairs(options, rows, stop);
  } catch (const std::exception& wrong) {
    std::cerr << "marbledyke-lab: " << wrong.what() << '\n';
    return 1;
  }
  const fs::path part = directory + ".part";
  fs::create_directories(part);
  std::string csv = "measure,what,value\n", table = "| measure | what | value |\n| --- | --- | --- |\n";
  for (const Row& row : rows) {
    char value[40];
    std::snprintf(value, sizeof value, "%.4g", row.value);
    if (row.value >= 10'000) std::snprintf(value, sizeof value, "%.0f", row.value);
    csv += row.measure + ',' + row.what + ',' + value + '\n';
    table += "| " + row.measure + " | " + row.what + " | " + value + " |\n";
  }
  write(part / "results.csv", csv);
  std::string returned = "ms\n";
  std::sort(times.begin(), times.end());
  for (const double one : times) returned += std::to_string(one) + '\n';
  write(part / "returns.csv", returned);
  write(part / "report.md",
        "# Keepers, measured\n\nReal processes and our stand-ins on loopback, all on one machine. `return`: "
        "a gatherer under 100 "
        "multigets a second is ended by SIGKILL; time until its address answers a health call again. `swap`: "
        "another program is "
        "brought in force each 5 s under load. `pair`: one installation of four gatherers and twelve "
        "servers, a fifth of which "
        "crash for 3 s, without keepers and with them.\n\n" +
            table + "\n![times of return](returns.svg)\n");
  write(part / "returns.gp",
        "set terminal svg size 640,400\nset output 'returns.svg'\nset datafile separator ','\nset key off\n"
        "set xlabel 'from SIGKILL until it answers, ms'\nset ylabel 'share of returns'\nset yrange [0:1]\n"
        "plot 'returns.csv' every ::1 using 1:(1.0/" +
            std::to_string(std::max<std::size_t>(times.size(), 1)) + ") smooth cumulative with steps lw 2\n");
  const std::string draw = "cd '" + part.string() + "' && gnuplot returns.gp";
  if (std::system(draw.c_str()) != 0) std::cerr << "marbledyke-lab: no chart: gnuplot did not run\n";
  fs::rename(part, directory);
  std::cout << table;
  return 0;
}

}  // namespace marbledyke::lab
