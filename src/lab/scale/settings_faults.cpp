// Changes of settings while something is broken: a control node that dies or hangs, a rack, a zone, a cut
// between the regions, and receivers that are slow or stand still.
#include <signal.h>

#include <algorithm>
#include <chrono>
#include <functional>

#include "lab/scale/process_use.h"
#include "lab/scale/settings_run.h"

namespace marbledyke::lab::scale {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kLostNode = 1;     // a voter of region 0
constexpr std::size_t kHungNode = 2;     // another one: receivers come back to the lost one later
constexpr std::size_t kLostZone = 4;     // a fifth of the receivers, in region 1
constexpr Duration kSlowApply = 1500ms;  // of the slow receiver; a whole gatherer restart takes less
constexpr int kBeforeFault = 1;          // changes before something breaks, and after it is whole again
constexpr int kCutChanges = 4;           // during a cut between regions

class Faults {
 public:
  explicit Faults(const SettingsRun& one) : one_(one), fleet_(one.fleet) {}

  void measure() {
    ControlPlane& plane = fleet_.plane();
    during(
        "node_lost", everywhere, [&] { plane.kill(kLostNode); }, [&] { plane.start(kLostNode); });
    during(
        "node_hung", everywhere, [&] { kill(plane.pid(kHungNode), SIGSTOP); },
        [&] { kill(plane.pid(kHungNode), SIGCONT); });
    lose_racks("rack", [](std::size_t rack) { return rack == 0; });
    lose_racks("zone", [this](std::size_t rack) { return fleet_.racks().rack(rack).zone == kLostZone; });
    cut_regions();
    slow_and_paused();
  }

 private:
  // Changes one after another; something breaks after the first and is whole again before the last. Each is
  // waited for only at the end, so that it has to get through whatever the others do.
  // Gives the index of the change that was made at once after the mend.
  std::int64_t during(const std::string& what, const Reachable& reachable,
                      const std::function<void()>& breaks, const std::function<void()>& mends) {
    one_.say(what);
    std::vector<ChangeMaker::Made> made;
    for (int i = 0; i < one_.plan.fault_changes; ++i) {
      if (i == kBeforeFault) breaks();
      if (i == one_.plan.fault_changes - kBeforeFault) mends();
      made.push_back(fleet_.change());
      rig::run_for(fleet_.loop(), one_.plan.fault_gap);
    }
    fleet_.wait_until_in_force(made.back().index, reachable);
    fleet_.keepers().wait_until_in_force(made.back().index);
    for (std::size_t i = 0; i < made.size(); ++i)
      one_.add(what, static_cast<int>(i + 1), fleet_.in_force(made[i], reachable));
    return made.back().index;
  }

  void lose_racks(const std::string& what, const Reachable& lost) {
    if (one_.run.stop) return;
    const auto each_lost = [&](const std::function<void(std::size_t)>& act) {
      for (std::size_t rack = 0; rack < fleet_.racks().racks(); ++rack) {
        if (lost(rack)) act(rack);
      }
    };
    std::int64_t back_us = 0;
    const std::int64_t newest = during(
        what + "_lost", [&](std::size_t rack) { return !lost(rack); },
        [&] { each_lost([this](std::size_t rack) { fleet_.racks().end(rack); }); },
        [&] {
          back_us = machine_microseconds();
          each_lost([this](std::size_t rack) { fleet_.racks().start(rack); });
        });
    one_.add(what + "_return_last", "s", 1, fleet_.alike_after(back_us, newest));
  }

  // A majority of the nodes is in region 0, which goes on making changes.
  void cut_regions() {
    if (one_.run.stop) return;
    const Duration length = one_.largest ? one_.plan.longest_cut : one_.plan.cut;
    one_.say("regions cut apart for " + std::to_string(length / 1s) + " s");
    const Reachable first_region = [this](std::size_t rack) {
      return region_of_zone(fleet_.racks().rack(rack).zone) == 0;
    };
    fleet_.plane().cut_regions(true);
    std::int64_t newest = 0;
    for (int i = 1; i <= kCutChanges && !one_.run.stop; ++i) {
      const ChangeMaker::Made made = fleet_.change();
      newest = made.index;
      rig::run_for(fleet_.loop(), length / kCutChanges);
      fleet_.wait_until_in_force(made.index, first_region);
      one_.add("region_cut", i, fleet_.in_force(made, first_region));
    }
    one_.add("region_cut_kept_older", "receivers", 1, static_cast<double>(older_than(newest)));
    const std::int64_t healed = machine_microseconds();
    fleet_.plane().cut_regions(false);
    one_.add("region_cut_length", "s", 1, static_cast<double>(length / 1s));
    one_.add("region_return_last", "s", 1, fleet_.alike_after(healed, newest));
  }

  std::size_t older_than(std::int64_t index) {
    fleet_.racks().read_logs();
    std::size_t out = 0;
    for (std::size_t rack = 0; rack < fleet_.racks().racks(); ++rack) {
      const auto& records = fleet_.racks().rack(rack).log.records();
      out += static_cast<std::size_t>(
          std::count_if(records.begin(), records.end(),
                        [&](const ReceiverRecord& record) { return record.index() < index; }));
    }
    return out;
  }

  void slow_and_paused() {
    if (one_.run.stop) return;
    Racks& racks = fleet_.racks();
    racks.slow_down(racks.slow(), kSlowApply);
    std::int64_t resumed = 0;
    const Reachable others = [&racks](std::size_t rack) {
      return rack != racks.slow() && rack != racks.paused();
    };
    const std::int64_t newest = during(
        "beside_slow_and_paused", others, [&] { racks.signal(racks.paused(), SIGSTOP); },
        [&] {
          resumed = machine_microseconds();
          racks.signal(racks.paused(), SIGCONT);
        });
    const auto only = [](std::size_t rack) { return [rack](std::size_t one) { return one == rack; }; };
    one_.add("paused_return_last", "s", 1, fleet_.alike_after(resumed, newest, only(racks.paused())));
    const ChangeMaker::Made made = fleet_.change();
    fleet_.wait_everywhere(made.index);
    one_.add("slow_last", "s", 1, fleet_.in_force(made, only(racks.slow())).last);
    racks.slow_down(racks.slow(), Duration::zero());
  }

  const SettingsRun& one_;
  SettingsFleet& fleet_;
};

}  // namespace

void measure_faults(const SettingsRun& one) { Faults(one).measure(); }

}  // namespace marbledyke::lab::scale
