// One real gatherer under load over hollow servers in other processes.
#include "standins/load.h"

#include <chrono>

#include "lab/scale/hollow_list.h"
#include "lab/scale/installation.h"
#include "lab/scale/process_use.h"
#include "lab/scale/run.h"
#include "standins/leaf.h"

namespace marbledyke::lab::scale {
namespace {

using namespace std::chrono_literals;

const std::string kPart = "load";
constexpr int kServiceMilliseconds = 10;

double milliseconds(Duration span) { return static_cast<double>(span.count()) / 1000; }

standins::LoadOptions load_options(int rate, int seconds, std::uint32_t seed) {
  standins::LoadOptions out;
  out.rate = rate;
  out.seconds = seconds;
  out.seed = seed;
  out.shards = out.parts = kPartsPerMultiget;
  out.may_repeat = true;
  return out;
}

class LoadRun {
 public:
  LoadRun(const Run& run, int servers)
      : run_(run),
        servers_(servers),
        port_(free_server_port()),
        hollow_(run.loop, servers, port_, kServiceMilliseconds),
        discovery_(standins::free_address(net::Family::ip4, 1)),
        list_(run.loop, discovery_, servers_to_list(servers, port_)),
        gatherer_(run.loop, discovery_) {
    gatherer_.wait_until_current(list_);
  }

  void measure(int rate, const LoadPlan& plan) {
    play(rate, plan.warm_up_seconds, 0);
    for (int number = 1; number <= plan.runs && !run_.stop; ++number) measure_run(rate, plan.seconds, number);
  }

 private:
  standins::Load::Tally play(int rate, int seconds, int number, Duration* p50 = nullptr,
                             Duration* p99 = nullptr) {
    const auto seed = run_.options.seed * 100'000 + static_cast<std::uint32_t>(rate * 100 + number);
    run_.loop.read_clock();
    standins::Load load(run_.loop, gatherer_.address(), load_options(rate, seconds, seed));
    const Duration limit = std::chrono::seconds(seconds) + 10s;
    if (!rig::run_until(run_.loop, limit, [&] { return !load.running() || run_.stop; }))
      throw std::runtime_error("the load did not end");
    if (p50 != nullptr) *p50 = load.latencies().at(0.5);
    if (p99 != nullptr) *p99 = load.latencies().at(0.99);
    return load.tally();
  }

  void measure_run(int rate, int seconds, int number) {
    const double before = cpu_seconds(gatherer_.pid());
    const Duration begun = run_.loop.now();
    Duration p50{}, p99{};
    const standins::Load::Tally tally = play(rate, seconds, number, &p50, &p99);
    const double used = cpu_seconds(gatherer_.pid()) - before;
    const double wall = milliseconds(run_.loop.now() - begun) / 1000;
    const auto add = [&](const std::string& what, const std::string& unit, double value) {
      run_.add(kPart, servers_, what + "_at_" + std::to_string(rate), unit, number, value);
    };
    const double parts = static_cast<double>(tally.due) * kPartsPerMultiget;
    add("part_cpu", "us", used * 1e6 / parts);
    add("core", "share", used / wall);
    add("memory", "MB", resident_megabytes(gatherer_.pid()));
    add("descriptors", "count", static_cast<double>(open_descriptors(gatherer_.pid())));
    if (tally.answered > 0) {
      add("p50", "ms", milliseconds(p50));
      add("p99", "ms", milliseconds(p99));
    }
    add("asked", "multigets", static_cast<double>(tally.due));
    add("whole", "multigets", static_cast<double>(tally.whole));
    add("pushed_back", "multigets", static_cast<double>(tally.pushed_back));
    add("timed_out", "multigets", static_cast<double>(tally.timed_out));
    add("failed", "multigets", static_cast<double>(tally.failed + tally.cut));
    run_.add(kPart, rate * kPartsPerMultiget, "core_at_" + std::to_string(servers_) + "_servers", "share",
             number, used / wall);
  }

  const Run& run_;
  int servers_, port_;
  HollowServers hollow_;
  net::Address discovery_;
  HollowList list_;
  RealGatherer gatherer_;
};

}  // namespace

void measure_load(const Run& run) {
  const LoadPlan plan = load_plan(run.options);
  for (const int servers : plan.servers) {
    if (run.stop) return;
    LoadRun one(run, servers);
    for (const int rate : plan.rates) {
      progress("load: " + std::to_string(servers) + " servers, " + std::to_string(rate) + " multigets/s");
      if (!run.stop) one.measure(rate, plan);
    }
  }
}

}  // namespace marbledyke::lab::scale
