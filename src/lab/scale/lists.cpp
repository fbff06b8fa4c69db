// One real gatherer beside a list of hollow servers, without traffic: what the list costs it.
#include <chrono>
#include <optional>

#include "lab/scale/health_probe.h"
#include "lab/scale/hollow_list.h"
#include "lab/scale/installation.h"
#include "lab/scale/process_use.h"
#include "lab/scale/run.h"
#include "standins/leaf.h"

namespace marbledyke::lab::scale {
namespace {

using namespace std::chrono_literals;

const std::string kPart = "lists";
constexpr Duration kQuiet = 1s;  // after a list came, before memory is read
constexpr Duration kBetweenChanges = 5ms;
constexpr Duration kInForceLimit = 10s;  // of one change or one whole list

constexpr Duration kCutOff = 100ms;
constexpr std::size_t kRegionReturn = 2000;  // list changes of a cut between regions (issue 38)

double milliseconds(Duration span) { return static_cast<double>(span.count()) / 1000; }

// One gatherer under one list.
class ListRun {
 public:
  ListRun(const Run& run, int servers, int number)
      : run_(run),
        servers_(servers),
        number_(number),
        discovery_(standins::free_address(net::Family::ip4, 1)),
        list_(run.loop, discovery_, servers_to_list(servers, free_server_port())),
        gatherer_(run.loop, discovery_) {}

  void measure(const ListsPlan& plan) {
    gatherer_.wait_until_current(list_);
    rig::run_for(run_.loop, kQuiet);
    add("memory", "MB", resident_megabytes(gatherer_.pid()));
    const double idle_share = measure_idle(plan.idle);

    measure_changes(plan.changes, idle_share);
    measure_wholes(plan.wholes);
    measure_region_return();
    add("memory_after", "MB", resident_megabytes(gatherer_.pid()));
  }

 private:
  void add(const std::string& what, const std::string& unit, double value) const {
    run_.add(kPart, servers_, what, unit, number_, value);
  }

  double cpu() const { return cpu_seconds(gatherer_.pid()); }

  // Runs until the gatherer names the newest index; gives how long that took.
  Duration until_in_force() {
    const Duration told = run_.loop.now();
    run_.loop.read_clock();
    const Duration limit = told + kInForceLimit;
    while (list_.named() < list_.index()) {
      if (run_.loop.now() > limit) throw std::runtime_error("a list was not in force in time");
      run_.loop.call_at(limit, [] {});
      run_.loop.run_once();
    }
    return list_.named_at() - told;
  }

  double measure_idle(Duration window) {
    const double before = cpu();
    rig::run_for(run_.loop, window);
    const double share = (cpu() - before) / (milliseconds(window) / 1000);
    add("idle_core", "share", share);
    return share;
  }

  void measure_changes(int changes, double idle_share) {
    const double before = cpu();
    const Duration begun = run_.loop.now();
    const HollowList::Tally first = list_.tally();
    double in_force = 0, longest = 0;
    for (int i = 0; i < changes && !run_.stop; ++i) {
      run_.loop.read_clock();
      list_.change(static_cast<std::size_t>(i / 2 * 7 % servers_));
      const double took = milliseconds(until_in_force());
      in_force += took / changes;
      longest = std::max(longest, took);
      rig::run_for(run_.loop, kBetweenChanges);
    }
    const double wall = milliseconds(run_.loop.now() - begun) / 1000;
    add("change_cpu", "ms", (cpu() - before - idle_share * wall) * 1000 / changes);
    add("change_in_force", "ms", in_force);
    add("change_in_force_longest", "ms", longest);
    const double bytes = static_cast<double>(list_.tally().bytes_read - first.bytes_read +
                                             list_.tally().bytes_written - first.bytes_written) /
                         changes;
    add("change_bytes", "bytes", bytes);
    add("bytes_at_1750_a_day", "bytes/s", bytes * kListChangesPerDay / kSecondsPerDay);
  }

  // The CPU of a whole list is measured without calls beside it, the waits with them.
  void measure_wholes(int wholes) {
    const HollowList::Tally first = list_.tally();
    const double before = cpu();
    double in_force = 0;
    for (int i = 0; i < wholes && !run_.stop; ++i) {
      run_.loop.read_clock();
      list_.tell_whole();
      in_force += milliseconds(until_in_force()) / wholes;
      rig::run_for(run_.loop, kBetweenChanges);
    }
    add("whole_cpu", "ms", (cpu() - before) * 1000 / wholes);
    add("whole_in_force", "ms", in_force);
    add("whole_bytes", "bytes",
        static_cast<double>(list_.tally().bytes_written - first.bytes_written) / wholes);
    add("whole_wait", "ms", longest_wait(wholes, [this] { list_.tell_whole(); }));
  }

  template <typename Tell>
  double longest_wait(int times, const Tell& tell) {
    HealthProbe probe(run_.loop, gatherer_.address());
    rig::run_for(run_.loop, 100ms);
    double longest = 0;
    for (int i = 0; i < times && !run_.stop; ++i) {
      probe.forget();
      tell();
      until_in_force();
      rig::run_for(run_.loop, 100ms);  // the turn after the list's may be long as well
      longest = std::max(longest, milliseconds(probe.longest()));
    }
    if (probe.broken() || probe.answers() == 0) throw std::runtime_error("/healthz was not answered");
    return longest;
  }

  // Discovery is away while many servers change, as a cut between regions would have it; then it answers with
  // all that changed since. Once for the CPU, and once with calls beside it for their waits.
  void measure_region_return() {
    const std::size_t changes = std::min<std::size_t>(kRegionReturn, static_cast<std::size_t>(servers_) / 2);
    add("return_changes", "changes", static_cast<double>(changes));
    cut_off_while(changes);
    const HollowList::Tally first = list_.tally();
    const double before = cpu();
    come_back();
    add("return_cpu", "ms", (cpu() - before) * 1000);
    add("return_bytes", "bytes", static_cast<double>(list_.tally().bytes_written - first.bytes_written));
    cut_off_while(changes);
    add("return_wait", "ms", longest_wait(1, [this] { list_.refuse(false); }));
  }

  void cut_off_while(std::size_t changes) {
    list_.refuse(true);
    for (std::size_t i = 0; i < changes; ++i) list_.change(i);
    rig::run_for(run_.loop, kCutOff);
  }

  void come_back() {
    list_.refuse(false);
    until_in_force();
    rig::run_for(run_.loop, kBetweenChanges);
  }

  const Run& run_;
  int servers_, number_;
  net::Address discovery_;
  HollowList list_;
  RealGatherer gatherer_;
};

}  // namespace

void measure_lists(const Run& run) {
  const ListsPlan plan = lists_plan(run.options);
  for (const int servers : plan.servers) {
    for (int number = 1; number <= plan.runs && !run.stop; ++number) {
      progress("lists: " + std::to_string(servers) + " servers, run " + std::to_string(number) + " of " +
               std::to_string(plan.runs));
      ListRun(run, servers, number).measure(plan);
    }
  }
}

}  // namespace marbledyke::lab::scale
