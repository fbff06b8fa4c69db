// Scenarios in real time on sockets: what holds there, printed the same on any machine; and that what is seen
// on sockets reaches the checker, by events that are bent on purpose.
#include <signal.h>

#include <cstdio>
#include <string>
#include <utility>

#include "lab/stage.h"

using namespace marbledyke;
using namespace std::chrono_literals;
using checker::Event;
using checker::What;
using scenario::Fault;
using scenario::FaultKind;

namespace {

const std::atomic<bool> kGoesOn{false};

scenario::Scenario installation(std::vector<Fault> faults) {
  scenario::Scenario s;
  s.length = 4s;
  s.settle = 1s;
  s.fleet.servers = 6;
  s.fleet.cells = 2;
  s.fleet.zones = 2;
  s.fleet.cold = 1s;
  s.gatherers.count = 2;
  s.op_types.resize(2);
  s.op_types[0].name = "look";
  s.op_types[0].work = 10ms;
  s.op_types[1].name = "issue";
  s.op_types[1].effect = scenario::Effect::non_retriable;
  s.op_types[1].parts = 2;
  s.op_types[1].work = 10ms;
  s.load.rate = 60;
  s.load.retries = 2;
  s.faults = std::move(faults);
  return s;
}

Fault fault(FaultKind kind, double share, double strength = 1, int zone = -1) {
  Fault out;
  out.kind = kind;
  out.from = 1500ms;
  out.until = 2500ms;
  out.share = share;
  out.strength = strength;
  out.zone = zone;
  return out;
}

void print(const char* what, const lab::Staged& staged) {
  const emulator::Result& r = staged.result;
  std::printf("%s: %s good, %s sent further; breaches by rule:", what, r.goodput > 0.8 ? "most" : "FEW",
              r.further > 0 ? "some" : "none");
  for (int rule = 1; rule <= 6; ++rule)
    std::printf(" %llu", static_cast<unsigned long long>(r.breach_counts[rule]));
  std::printf("%s%s\n", staged.first_trouble.empty() ? "" : "; ", staged.first_trouble.c_str());
  for (const checker::Breach& breach : r.breaches) {
    std::printf("  %s\n", breach.what.c_str());
    for (const Event& event : breach.trace) std::printf("    %s\n", text_of(event).c_str());
    break;
  }
}

void faults() {
  print("crash", lab::stage(installation({fault(FaultKind::crash, 0.3)}), {}, kGoesOn));
  print("errors and silence",
        lab::stage(installation({fault(FaultKind::errors, 0.3, 0.5), fault(FaultKind::lose_out, 0.3, 0.5)}),
                   {}, kGoesOn));
  print("drain, and a zone cut off",
        lab::stage(installation({fault(FaultKind::drain, 0.3), fault(FaultKind::partition, 1, 1, 1)}), {},
                   kGoesOn));
  print("a gatherer killed", lab::stage(installation({fault(FaultKind::kill_gatherer, 0.5)}), {}, kGoesOn));
}

// Gatherers under keepers, and what lies between broken.
void kept() {
  const auto of = [](std::vector<Fault> faults) {
    scenario::Scenario s = installation(std::move(faults));
    s.gatherers.kept = true;
    s.gatherers.count = 3;
    return s;
  };
  const auto play = [&](const char* what, std::vector<Fault> faults) {
    print(what, lab::stage(of(std::move(faults)), {}, kGoesOn));
  };
  play("all killed, their keepers start them", {fault(FaultKind::kill_gatherer, 1)});
  play("all swapped under load", {fault(FaultKind::swap_gatherer, 1)});
  play("one stands still", {fault(FaultKind::pause_gatherer, 0.3)});
  play("keepers killed while gatherers are",
       {fault(FaultKind::kill_keeper, 0.6), fault(FaultKind::kill_gatherer, 0.3)});
  play("keepers stand still, their clocks are fast",
       {fault(FaultKind::pause_keeper, 0.3), fault(FaultKind::keeper_clock, 0.6, 1.5)});
  play("list cut, and a path lost", {fault(FaultKind::list_cut, 0.6), fault(FaultKind::path_lost, 0.3)});
  play("paths slow, and reset within answers",
       {fault(FaultKind::path_slow, 0.6, 30), fault(FaultKind::path_reset, 0.3, 2)});
}

// Each event bent is one that only the sockets' side tells.
void seen() {
  const auto caught = [](const char* what, int rule, std::function<void(Event&)> tamper) {
    lab::StageOptions options;
    options.tamper = std::move(tamper);
    const lab::Staged staged = lab::stage(installation({}), options, kGoesOn);
    std::printf("%s: rule %d %s\n", what, rule,
                staged.result.breach_counts[rule] > 0 ? "broken" : "NOT SEEN");
  };
  int left = 5;
  caught("answers that never came", 1, [&](Event& e) {
    if (e.what == What::answered && left-- > 0)
      e.what = What::learned, e.server = 99, e.standing = ServerStatus::up;
  });
  bool said = false;
  caught("a server known to drain is sent parts", 3, [&](Event& e) {
    if (e.what != What::sent || std::exchange(said, true)) return;
    e.what = What::learned;
    e.standing = ServerStatus::draining;
  });
  caught("answers that name a part too many", 5, [](Event& e) {
    if (e.what == What::answered) e.count += 1;
  });
  caught("issue runs again", 2, [](Event& e) {
    if (e.what == What::began) e.shard = 0;  // all of them the same part
  });
}

}  // namespace

int main(int count, char** words) {
  signal(SIGPIPE, SIG_IGN);
  const std::string what = count > 1 ? words[1] : "";
  if (what == "faults") return faults(), 0;
  if (what == "kept") return kept(), 0;
  if (what == "seen") return seen(), 0;
  return 2;
}
