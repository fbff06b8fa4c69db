// Changes of settings from control nodes to hundreds of receivers, while all is well: how soon they are in
// force, and what they cost nodes, receivers and keepers.
#include <algorithm>
#include <chrono>
#include <optional>

#include "lab/scale/process_use.h"
#include "lab/scale/settings_run.h"

namespace marbledyke::lab::scale {
namespace {

using namespace std::chrono_literals;

constexpr Duration kOverASample = 500ms;  // a busy machine writes them late

constexpr double kMicroseconds = 1e6;  // of a second

double seconds(Duration span) { return static_cast<double>(span.count()) / kMicroseconds; }

// Runs the loop until that moment, counted from `begun` by the machine's clock.
void run_until_due(net::Loop& loop, std::int64_t begun_us, Duration after) {
  const Duration left = after - Duration(machine_microseconds() - begun_us);
  if (left > Duration::zero()) rig::run_for(loop, left);
}

class Changes {
 public:
  explicit Changes(const SettingsRun& one) : one_(one), fleet_(one.fleet) {}

  void measure() {
    first_change();
    measure_quiet();
    measure_ordinary();
    measure_spaced();
    measure_hundredfold();
    if (one_.largest) measure_documents();
  }

 private:
  void first_change() {
    one_.say("the first change");
    const ChangeMaker::Made made = fleet_.change();
    fleet_.wait_everywhere(made.index);
    one_.add("first", 1, fleet_.in_force(made, everywhere));
    settle();
  }

  int ordinary_changes() const { return one_.plan.ordinary_changes + (one_.largest ? 1 : 0); }

  // Until a sample of the receivers' traffic was taken after what went before.
  void settle() { rig::run_for(fleet_.loop(), one_.plan.sample_every + kOverASample); }

  void measure_quiet() {
    one_.say("no changes");
    const RealKeepers::Use used = fleet_.keepers().use();
    const ControlUse before = control_use(fleet_.plane());
    rig::run_for(fleet_.loop(), one_.plan.quiet);
    const ControlUse after = control_use(fleet_.plane());
    quiet_core_ = share_between(before, after);
    quiet_keeper_ = keeper_share(used, before, after);
    one_.add("keeper_core_quiet", "share", 1, quiet_keeper_);
    quiet_traffic_ = traffic_between(fleet_, before.us, after.us);
    one_.add("control_core_quiet", "share", 1, quiet_core_.mean);
    if (quiet_traffic_.seconds <= 0) return;
    one_.add("watch_calls", "calls/s", 1, quiet_traffic_.calls_per_second);
    one_.add("watch_bytes", "bytes/s", 1, quiet_traffic_.bytes_per_second);

    one_.add("control_cpu_by_call", "us", 1,
             quiet_core_.mean * kMicroseconds / quiet_traffic_.calls_per_second / one_.receivers_by_node());
  }

  void measure_ordinary() {
    one_.say("changes at 2300 a day");
    const std::int64_t begun = machine_microseconds();
    for (int i = 1; i <= ordinary_changes() && !one_.run.stop; ++i) {
      const RealKeepers::Use used = fleet_.keepers().use();
      const ControlUse before = control_use(fleet_.plane());
      const ChangeMaker::Made made = fleet_.change();
      fleet_.wait_everywhere(made.index);
      one_.add("ordinary_keepers_last", "s", i, quantile(fleet_.keepers().in_force_after(made.agreed_us), 1));
      run_until_due(fleet_.loop(), before.us, one_.plan.ordinary_gap);
      add_keepers(i, used, before);
      one_.add("agreement", "s", i, seconds(made.took));
      one_.add("ordinary", i, fleet_.in_force(made, everywhere));
      add_use("ordinary", i, before);
    }
    add_worst_minute(begun);
  }

  // Of a keeper and its gatherer together, as a share of a core between two moments.
  double keeper_share(const RealKeepers::Use& used, const ControlUse& before, const ControlUse& after) const {
    const RealKeepers::Use now = fleet_.keepers().use();
    const double cpu = now.keeper_cpu - used.keeper_cpu + now.gatherer_cpu - used.gatherer_cpu;
    return cpu * kMicroseconds / static_cast<double>(after.us - before.us);
  }

  void add_keepers(int number, const RealKeepers::Use& used, const ControlUse& before) {
    const double both = keeper_share(used, before, control_use(fleet_.plane()));
    const RealKeepers::Use now = fleet_.keepers().use();
    const double own = (now.keeper_cpu - used.keeper_cpu) * kMicroseconds /
                       static_cast<double>(machine_microseconds() - before.us);
    one_.add("keeper_core", "share", number, own);
    one_.add("keeper_and_gatherer_core", "share", number, both);
    one_.add("keeper_memory", "MB", number, now.keeper_memory);
    one_.add("keeper_and_gatherer_memory", "MB", number, now.keeper_memory + now.gatherer_memory);
  }

  void add_use(const std::string& prefix, int number, const ControlUse& before) {
    const ControlUse after = control_use(fleet_.plane());
    const ControlShare share = share_between(before, after);
    const FleetTraffic traffic = traffic_between(fleet_, before.us, after.us);
    const std::string by_node = prefix == "ordinary" ? "control" : "control_" + prefix;
    one_.add_by_node(by_node + "_core", "share", number, share.mean);
    one_.add(by_node + "_core_most", "share", number, share.most);
    if (traffic.seconds > 0) {
      one_.add_by_node(by_node + "_bytes", "bytes/s", number, traffic.by_node_bytes_per_second);
      one_.add(prefix + "_bytes", "bytes/s", number, traffic.bytes_per_second);
    }
    double memory = 0;
    for (std::size_t node = 0; node < kNodesPerRegion; ++node)
      memory += resident_megabytes(fleet_.plane().pid(node)) / kNodesPerRegion;
    one_.add_by_node(by_node + "_memory", "MB", number, memory);
  }

  void add_worst_minute(std::int64_t from_us) {
    std::optional<double> worst;
    for (std::size_t rack = 0; rack < fleet_.racks().racks(); ++rack) {
      for (const ReceiverRecord& record : fleet_.racks().rack(rack).log.records()) {
        if (const auto its = worst_minute_of(record, from_us)) worst = std::max(worst.value_or(0), *its);
      }
    }
    if (worst) one_.add("worst_minute_bytes", "bytes/s", 1, *worst);
  }

  // Each change in force before the next. They are so near each other that every call is ended by a change
  // and none by its wait: what is used in between is what a change costs, the calls that follow it among it.
  void measure_spaced() {
    one_.say("changes one by one");
    const ControlUse begun = control_use(fleet_.plane());
    for (int i = 1; i <= one_.plan.spaced_changes && !one_.run.stop; ++i) {
      const RealKeepers::Use used = fleet_.keepers().use();
      const ControlUse before = control_use(fleet_.plane());
      const ChangeMaker::Made made = fleet_.change();
      fleet_.wait_everywhere(made.index);
      one_.add("spaced_keepers_last", "s", i, quantile(fleet_.keepers().in_force_after(made.agreed_us), 1));
      run_until_due(fleet_.loop(), before.us, one_.plan.spaced_gap);
      const ControlUse after = control_use(fleet_.plane());
      const double wall = static_cast<double>(after.us - before.us) / kMicroseconds;
      one_.add_by_node("control_change_cpu", "ms", i, share_between(before, after).mean * wall * 1000);
      one_.add("keeper_and_gatherer_change_cpu", "ms", i,
               (keeper_share(used, before, after) - quiet_keeper_) * wall * 1000);
      one_.add("agreement", "s", ordinary_changes() + i, seconds(made.took));
      one_.add("spaced", i, fleet_.in_force(made, everywhere));
    }
    const ControlUse ended = control_use(fleet_.plane());
    const FleetTraffic traffic = traffic_between(fleet_, begun.us, ended.us);
    const double changes = static_cast<double>(one_.plan.spaced_changes) * traffic.seconds * kMicroseconds /
                           static_cast<double>(ended.us - begun.us);
    if (changes <= 0) return;
    one_.add("change_bytes", "bytes", 1, traffic.bytes_per_second * traffic.seconds / changes);
    one_.add_by_node("control_change_bytes", "bytes", 1,
                     traffic.by_node_bytes_per_second * traffic.seconds / changes);
  }

  // A receiver is given no two revisions within half a second: what counts is the change or a newer one.
  void measure_hundredfold() {
    settle();
    one_.say("changes at a hundred times 2300 a day");
    std::vector<ChangeMaker::Made> made;
    const ControlUse begun = control_use(fleet_.plane());
    for (int i = 0; i < one_.plan.hundredfold_changes && !one_.run.stop; ++i) {
      run_until_due(fleet_.loop(), begun.us, i * one_.plan.hundredfold_gap);
      made.push_back(fleet_.change());
    }
    if (made.empty()) return;
    fleet_.wait_everywhere(made.back().index);
    one_.add("hundredfold_changes", "changes", 1, static_cast<double>(made.size()));
    one_.add("hundredfold", 1, fleet_.in_force(made, everywhere));
    one_.add("hundredfold_newest", 1, fleet_.in_force(made.back(), everywhere));
    add_use("hundredfold", 1, begun);
  }

  void measure_documents() {
    settle();
    for (const int bytes : one_.plan.document_bytes) {
      if (one_.run.stop) return;
      one_.say("a document of " + std::to_string(bytes) + " bytes more");
      const std::int64_t begun = machine_microseconds();
      const ChangeMaker::Made made = fleet_.change(static_cast<std::size_t>(bytes));
      fleet_.wait_everywhere(made.index);
      run_until_due(fleet_.loop(), begun, 2 * one_.plan.sample_every + kOverASample);
      const FleetTraffic traffic = traffic_between(fleet_, begun, machine_microseconds());
      const double of_the_change =
          (traffic.bytes_per_second - quiet_traffic_.bytes_per_second) * traffic.seconds;
      one_.run.add("settings", static_cast<int>(fleet_.document_bytes()), "change_bytes_by_document", "bytes",
                   1, of_the_change);
      one_.add("document_of_" + std::to_string(fleet_.document_bytes()), 1,
               fleet_.in_force(made, everywhere));
    }
  }

  const SettingsRun& one_;
  SettingsFleet& fleet_;
  ControlShare quiet_core_;
  double quiet_keeper_ = 0;  // share of a core of a keeper with its gatherer
  FleetTraffic quiet_traffic_;
};

}  // namespace

void measure_changes(const SettingsRun& one) { Changes(one).measure(); }

void measure_settings(const Run& run) {
  const SettingsPlan plan = settings_plan(run.options);
  for (const int receivers : plan.receivers) {
    if (run.stop) return;
    progress("settings: " + std::to_string(receivers) + " receivers");
    const SettingsFleet::Sizes sizes{static_cast<std::size_t>(receivers - plan.keepers), plan.keepers,
                                     plan.listed};
    SettingsFleet fleet(run.loop, sizes, plan.sample_every, run.options.seed);
    const SettingsRun one{run, plan, fleet, receivers, receivers == plan.receivers.back()};
    measure_changes(one);
    if (!run.stop) measure_faults(one);
    one.add("real_keepers", "receivers", 1, static_cast<double>(fleet.keepers().count()));
    one.add("hollow_receivers", "receivers", 1, static_cast<double>(fleet.racks().receivers()));
    one.add("ran_an_older_one", "receivers", 1, static_cast<double>(fleet.went_back()));
  }
}

}  // namespace marbledyke::lab::scale
