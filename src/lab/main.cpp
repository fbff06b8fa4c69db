// marbledyke-lab: plays scenarios in virtual time, hunts for ones that break a rule, runs experiments, and
// brings up a small installation on loopback.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>

#include "emulator/policy.h"
#include "emulator/world.h"
#include "lab/capacity.h"
#include "lab/experiments.h"
#include "lab/keepers.h"
#include "lab/rollouts.h"
#include "lab/scale/command.h"
#include "lab/sockets.h"
#include "lab/stage.h"
#include "scenario/draw.h"
#include "scenario/xml.h"

namespace {

using namespace marbledyke;

std::optional<scenario::Scenario> read(const std::string& file) {
  const scenario::Read result = scenario::read_xml_file(file);
  for (const config::FileError& fault : result.faults) std::cerr << config::format_error(file, fault) << '\n';
  return result.scenario;
}

void print(const emulator::Result& r, std::ostream& out) {
  out << "asked " << r.asked << ", goodput " << r.goodput << ", late " << r.late << ", pushed back "
      << r.pushed_back << ", failed " << r.failed << ", unanswered " << r.unanswered << "\nmedian "
      << r.median.count() << " us, 99th " << r.p99.count() << " us; sends " << r.sends << ", further "
      << r.further << "; used " << r.used << ", wasted " << r.wasted << "\nevents " << r.events << ", digest "
      << std::hex << r.digest << std::dec << "\nbreaches by rule:";
  for (int rule = 1; rule <= 6; ++rule) out << ' ' << r.breach_counts[rule];
  out << '\n';
  if (r.breaches.empty()) return;
  const checker::Breach& first = r.breaches.front();
  out << "first: rule " << first.rule << ", " << first.what << '\n';
  for (const checker::Event& event : first.trace) out << "  " << checker::text_of(event) << '\n';
}

std::atomic<bool> stopped{false};

void heed_signals() {
  struct sigaction action {};
  action.sa_handler = [](int) { stopped = true; };
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGTERM, &action, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

// In real time; a signal ends it early, with what there is.
int stage(const scenario::Scenario& s, std::uint32_t seed, std::ostream* log) {
  heed_signals();
  try {
    const lab::Staged staged = lab::stage(s, {seed, log, nullptr}, stopped);
    print(staged.result, std::cout);
    std::cout << "gatherers' CPU " << staged.cpu << " s, " << staged.kernel << " s of it in the kernel; this "
              << "process was late by " << staged.late << " s at most\n";
    if (!staged.first_trouble.empty()) std::cout << staged.first_trouble << '\n';
    return !staged.first_trouble.empty() || stopped ? 1 : staged.result.breaches.empty() ? 0 : 3;
  } catch (const std::exception& why) {
    std::cerr << "marbledyke-lab: " << why.what() << '\n';
    return 1;
  }
}

// Each twin both ways, as a table; every breach on sockets with its trace.
int twins(const std::string& only, std::uint32_t seed) {
  heed_signals();
  std::printf(
      "| fault | good, emulated | on sockets | median ms | | 99th ms | | further sends | | breaches | |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  std::string said;
  int status = 0;
  for (const auto& [name, scenario] : lab::twins()) {
    if (stopped || (!only.empty() && name != only)) continue;
    emulator::Options options;
    options.seed = seed;
    const emulator::Result a = emulator::play(scenario, options);
    const lab::Staged staged = lab::stage(scenario, {seed, nullptr, nullptr}, stopped);
    const emulator::Result& b = staged.result;
    const auto ms = [](Duration span) { return static_cast<double>(span.count()) / 1000; };
    std::uint64_t breaches_a = 0, breaches_b = 0;
    for (int rule = 1; rule <= 6; ++rule) {
      breaches_a += a.breach_counts[rule];
      breaches_b += b.breach_counts[rule];
    }
    std::printf("| %s | %.3f | %.3f | %.0f | %.0f | %.0f | %.0f | %llu | %llu | %llu | %llu |\n",
                name.c_str(), a.goodput, b.goodput, ms(a.median), ms(b.median), ms(a.p99), ms(b.p99),
                static_cast<unsigned long long>(a.further), static_cast<unsigned long long>(b.further),
                static_cast<unsigned long long>(breaches_a), static_cast<unsigned long long>(breaches_b));
    std::fflush(stdout);
    if (!staged.first_trouble.empty()) said += name + ": " + staged.first_trouble + "\n";
    for (const checker::Breach& breach : b.breaches) {
      said += name + ": rule " + std::to_string(breach.rule) + ", " + breach.what + "\n";
      for (const checker::Event& event : breach.trace) said += "  " + text_of(event) + "\n";
      break;
    }
    status = staged.first_trouble.empty() && b.breaches.empty() ? status : 3;
  }
  std::cout << said;
  return status;
}

constexpr int kMostPlaysOnSockets = 30;  // of a shrinker, each as long as its scenario

}  // namespace

int main(int count, char** words) {
  CLI::App app("Plays, breaks and measures marbledyke. docs/lab.md has the whole.");
  app.require_subcommand(1);
  std::string file, policy = "module", log, name, directory, before, after, column = "goodput";
  std::uint32_t seed = 1, until = 0;
  int jobs = static_cast<int>(std::thread::hardware_concurrency());
  lab::UpOptions up_options;
  lab::LoadOptions load_options;

  CLI::App* const play = app.add_subcommand("play", "Play a scenario in virtual time");
  play->add_option("FILE", file)->required();
  play->add_option("--policy", policy)->check(CLI::IsMember(emulator::policy_names()));
  play->add_option("--seed", seed);
  play->add_option("--log", log, "Write every event there");
  bool on_sockets = false;
  play->add_flag("--sockets", on_sockets, "In real time, with gatherers and stand-ins on loopback");
  CLI::App* const check = app.add_subcommand("check", "Say what is wrong with a scenario");
  check->add_option("FILE", file)->required();
  CLI::App* const draw = app.add_subcommand("draw", "Print the scenario that a seed draws");
  draw->add_option("--seed", seed);
  bool kept = false;
  draw->add_flag("--kept", kept, "Gatherers under keepers; faults of them and of the paths between");
  CLI::App* const hunt =
      app.add_subcommand("hunt", "Play drawn scenarios; name those that break a rule, cut the first");
  hunt->add_option("--from", seed);
  hunt->add_option("--until", until)->required();
  hunt->add_flag("--kept", kept, "Draw gatherers under keepers; faults of them and of the paths between");
  bool hunt_on_sockets = false;
  hunt->add_flag("--sockets", hunt_on_sockets,
                 "Play in real time, with processes; a breach is kept as its scenario and seed");
  hunt->add_option("--policy", policy)->check(CLI::IsMember(emulator::policy_names()));
  CLI::App* const twins_of =
      app.add_subcommand("twins", "Play one installation under each fault, emulated and on sockets");
  twins_of->add_option("--only", name, "One fault");
  twins_of->add_option("--seed", seed);
  lab::KeeperMeasures measures;
  CLI::App* const keepers =
      app.add_subcommand("keepers", "Measure keepers on real processes: returns, swaps under load, cost");
  keepers->add_option("--out", directory, "A folder that is not there yet")->required();
  keepers->add_option("--kills", measures.kills)->check(CLI::Range(1, 10'000));
  keepers->add_option("--swaps", measures.swaps)->check(CLI::Range(1, 10'000));
  keepers->add_option("--rate", measures.rate, "Multigets a second during swaps")
      ->check(CLI::Range(1, 100'000));
  keepers->add_option("--pairs", measures.pairs)->check(CLI::Range(1, 100));
  int rollout_runs = 500, large_runs = 100;
  CLI::App* const rollouts = app.add_subcommand(
      "rollouts", "Emulate rolling changes: false stops, and how soon a bad version is found");
  rollouts->add_option("--out", directory, "A folder that is not there yet")->required();
  rollouts->add_option("--runs", rollout_runs, "of each at 300 gatherers")->check(CLI::Range(1, 100'000));
  rollouts->add_option("--large-runs", large_runs, "of each at 1,000")->check(CLI::Range(1, 100'000));
  rollouts->add_option("--jobs", jobs)->check(CLI::Range(1, 256));
  CLI::App* const list = app.add_subcommand("list", "Name the experiments");
  CLI::App* const run = app.add_subcommand("run", "Run an experiment and keep its results");
  run->add_option("NAME", name)->required()->check(CLI::IsMember(lab::experiment_names()));
  run->add_option("--seed", seed);
  run->add_option("--out", directory, "A folder that is not there yet")->required();
  run->add_option("--jobs", jobs)->check(CLI::Range(1, 256));
  CLI::App* const compare = app.add_subcommand("compare", "Set two kept results side by side");
  compare->add_option("BEFORE", before)->required();
  compare->add_option("AFTER", after)->required();
  compare->add_option("--column", column);
  CLI::App* const up =
      app.add_subcommand("up", "Bring up a small fleet, discovery and a gatherer on loopback");
  CLI::App* const demo =
      app.add_subcommand("demo", "The same under load; a server is killed, the result is printed");
  for (CLI::App* const one : {up, demo}) {
    one->add_option("--servers", up_options.servers)->check(CLI::Range(2, 64));
    one->add_option("--service-ms", up_options.service_ms)->check(CLI::Range(0, 1000));
  }
  CLI::App* const load = app.add_subcommand("load", "Send open-loop load to a gatherer");
  load->add_option("--to", load_options.to, "HOST:PORT")->required();
  for (CLI::App* const one : {load, demo}) {
    one->add_option("--rate", load_options.rate, "A second")->check(CLI::Range(1.0, 100000.0));
    one->add_option("--ramp-to", load_options.ramp_to, "Rises evenly to this rate");
    one->add_option("--seconds", load_options.seconds)->check(CLI::Range(1, 3600));
    one->add_option("--seed", load_options.seed);
  }
  load->add_option("--op-type", load_options.op_type);
  load->add_option("--shards", load_options.shards)->check(CLI::Range(1, 1024));
  lab::CapacityOptions capacity_options;
  CLI::App* const capacity =
      app.add_subcommand("capacity", "The tables of docs/CAPACITY.md, from kept slopes");
  capacity->add_option("--slopes", capacity_options.slopes, "The slopes that a scale run kept");
  capacity->add_option("--check", capacity_options.check, "A page; 1 where its tables are others");
  capacity->add_option("--write", capacity_options.write, "A page, whose tables are replaced");
  const lab::scale::Command scale(app);
  CLI11_PARSE(app, count, words);

  if (scale.is_scale()) heed_signals();
  if (const auto status = scale.run(stopped)) return *status;
  if (*check) {
    if (!read(file)) return 1;
    std::cout << file << ": good\n";
    return 0;
  }
  if (*play) {
    const auto s = read(file);
    if (!s) return 1;
    emulator::Options options;
    options.policy = policy;
    options.seed = seed;
    std::ofstream to;
    if (!log.empty()) {
      to.open(log);
      if (!to) {
        std::cerr << log << ": cannot be written\n";
        return 1;
      }
      options.log = &to;
    }
    if (on_sockets) return stage(*s, seed, options.log);
    const emulator::Result r = emulator::play(*s, options);
    print(r, std::cout);
    return r.breaches.empty() ? 0 : 3;
  }
  if (*draw) {
    std::cout << scenario::write_xml(kept ? scenario::draw_kept(seed) : scenario::draw(seed));
    return 0;
  }
  if (*hunt) {
    if (hunt_on_sockets) heed_signals();
    bool cut = false;
    for (std::uint32_t each = seed; each <= until; ++each) {
      emulator::Options options;
      options.policy = policy;
      options.seed = each;
      const scenario::Scenario s = kept ? scenario::draw_kept(each) : scenario::draw(each);
      const auto played = [&](const scenario::Scenario& one) {
        if (!hunt_on_sockets) return emulator::play(one, options);
        return lab::stage(one, {each, nullptr, nullptr}, stopped).result;
      };
      const emulator::Result r = played(s);
      if (hunt_on_sockets)
        std::cout << s.name << ": goodput " << r.goodput << ", asked " << r.asked
                  << (r.breaches.empty() ? ", rules kept" : "") << std::endl;
      if (stopped) break;
      if (r.breaches.empty()) continue;
      std::cout << "seed " << each << ": rule " << r.breaches.front().rule << ", " << r.breaches.front().what
                << std::endl;
      if (std::exchange(cut, true)) continue;
      const int rule = r.breaches.front().rule;
      const scenario::Scenario least = scenario::shrink(
          s, [&](const scenario::Scenario& other) { return played(other).breach_counts[rule] > 0; },
          hunt_on_sockets ? kMostPlaysOnSockets : 400);
      std::cout << scenario::write_xml(least);
      print(hunt_on_sockets ? r : emulator::play(least, options), std::cout);
    }
    return cut ? 3 : 0;
  }
  if (*rollouts) return lab::measure_rollouts(rollout_runs, large_runs, jobs, directory);
  if (*keepers) {
    heed_signals();
    return lab::measure_keepers(measures, directory, stopped);
  }
  if (*twins_of) return twins(name, seed);
  if (*capacity) return lab::run_capacity(capacity_options);
  if (*list) {
    for (const std::string& each : lab::experiment_names()) {
      const lab::Experiment e = lab::make_experiment(each, 1);
      std::cout << each << " (" << e.cells.size() << " plays): " << e.question << '\n';
    }
    return 0;
  }
  if (*run) return lab::run_experiment(lab::make_experiment(name, seed), directory, jobs) ? 0 : 1;
  if (*compare) return lab::compare(before, after, column);
  if (*up) return lab::up(up_options);
  if (*demo) return lab::demo(up_options, load_options);
  return lab::load(load_options);
}
