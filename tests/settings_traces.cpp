// keeper::SettingsSupervisor in virtual time: directed cases for the transitions, a keeper that is killed
// before each single action, and seeded random runs with gatherers that refuse settings or crash, disks that
// fail and keepers that are killed.
#include <cstdio>
#include <cstring>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "keeper/settings_supervisor.h"

using namespace marbledyke;
using namespace std::chrono_literals;
using distribution::Revision;
using keeper::GathererStatus;
using keeper::SettingsAction;
using keeper::SettingsPhase;
using keeper::SettingsSupervisor;
using Type = SettingsAction::Type;

namespace {

constexpr const char* kActionNames[] = {"write", "write_good", "hup", "applied", "refused", "watch", "note"};
constexpr Duration kStep = 50ms;

Revision revision(std::int64_t index) {
  Revision out{index, "f", "{}", 1, "a", 0, ""};
  out.digest = distribution::digest_of(out);
  return out;
}

std::int64_t index_of(const std::optional<Revision>& one) { return one ? one->index : 0; }

// A keeper's environment: disk, gatherer, receiver and control node.
struct World {
  std::optional<Revision> settings, good;  // on disk
  std::int64_t newest_revision = 0;        // at the control nodes
  Duration now{};
  bool wanted = true, alive = false, is_swapping = false, is_unresponsive = false, disk_fails = false;
  std::int64_t running = 0;            // the revision that the gatherer read last
  std::int64_t crashing_revision = 0;  // the gatherer crashes soon after reading this revision
  Duration crash_at{};
  std::function<bool(std::int64_t)> refuses = [](std::int64_t) { return false; };
  std::function<bool(std::int64_t)> crashes_with = [](std::int64_t) { return false; };

  std::optional<SettingsSupervisor> supervisor;
  std::optional<std::int64_t> receiver_holds;  // none: there is no receiver
  std::int64_t offered = 0, refused = 0, asks_at = 0;
  int action_count = 0, killed_at_action = 0;
  bool is_verbose = false;  // actions are printed
  std::int64_t proven = 0;
  Duration proven_since{};
  int faults = 0;

  void fault(const char* what) {
    faults += 1;
    if (faults > 1) return;
    std::printf("FAULT at %lld ms: %s; disk %lld and %lld, gatherer %lld, proven %lld\n",
                static_cast<long long>(now / 1ms), what, static_cast<long long>(index_of(settings)),
                static_cast<long long>(index_of(good)), static_cast<long long>(running),
                static_cast<long long>(proven));
  }
  GathererStatus gatherer_status() const {
    return is_swapping ? GathererStatus::busy : alive ? GathererStatus::ready : GathererStatus::absent;
  }

  void start_keeper() {
    supervisor.emplace(keeper::SettingsPolicy{});
    receiver_holds.reset();
    offered = refused = 0;
    supervisor->resume(settings, good, now);
    carry_out();
  }
  void kill_keeper() {
    supervisor.reset();
    receiver_holds.reset();
  }
  void read_settings() {
    running = index_of(settings);
    crashing_revision = crashes_with(running) ? running : 0;
    crash_at = now + 400ms;
  }
  void start_gatherer() {
    if (refuses(index_of(settings))) {
      if (supervisor) supervisor->on_gatherer_exited(false, "status 1");
      return carry_out();
    }
    alive = true;
    read_settings();
    if (supervisor) supervisor->on_running_revision(running);
  }
  void end_gatherer(bool ordered) {
    alive = false;
    running = 0;
    proven_since = now;
    if (supervisor) supervisor->on_gatherer_exited(ordered, "signal");
    carry_out();
  }
  void on_reload_signal() {
    if (!alive || is_unresponsive) return;
    if (refuses(index_of(settings))) return supervisor->on_reload_refused("settings.key: is too small");
    read_settings();
    supervisor->on_reload_accepted(running);
  }
  void write(const SettingsAction& action) {
    if (disk_fails) return supervisor->on_written(action.type, "the disk is full");
    (action.type == Type::write_settings ? settings : good) = action.revision;
    supervisor->on_written(action.type, "");
  }
  void carry_out() {
    while (supervisor) {
      const auto action = supervisor->next_action();
      if (!action) return;
      action_count += 1;
      if (is_verbose) {
        std::printf("  %s %lld %s\n", kActionNames[static_cast<int>(action->type)],
                    static_cast<long long>(index_of(action->revision)), action->message.c_str());
      }
      if (action_count == killed_at_action) return kill_keeper();  // before the action is carried out
      if (action->type == Type::write_settings || action->type == Type::write_good) write(*action);
      if (action->type == Type::reload) on_reload_signal();
      if (action->type == Type::start_receiver) {
        receiver_holds = index_of(action->revision);
        offered = refused = 0;
      }
      if (action->type == Type::report_applied || action->type == Type::report_refused) {
        if (offered == 0) fault("the receiver waits for nothing");
        (action->type == Type::report_applied ? *receiver_holds : refused) = std::exchange(offered, 0);
      }
    }
  }
  void step() {
    now += kStep;
    if (alive && crashing_revision != 0 && now >= crash_at) end_gatherer(false);
    if (wanted && !alive) start_gatherer();
    if (!wanted && alive) end_gatherer(true);
    if (!supervisor) return check();
    if (alive && !is_unresponsive && now % 1s == 0s) supervisor->on_running_revision(running);  // windows
    supervisor->tick(now, gatherer_status());
    carry_out();
    if (supervisor && receiver_holds && offered == 0 && newest_revision > *receiver_holds &&
        newest_revision > refused) {
      offered = newest_revision;
      supervisor->on_revision_offered(revision(newest_revision));
      carry_out();
    }
    check();
  }
  // A revision that a gatherer has run for longer than its probation must never be followed by an older one.
  void check() {
    if (!alive || is_unresponsive || !supervisor) proven_since = now;
    if (alive && crashing_revision == 0 && now - proven_since >= 3s && running > proven &&
        index_of(settings) >= running)
      proven = running;
    if (alive && running < proven) fault("the gatherer runs an older one");
    if (!disk_fails && index_of(settings) < proven && index_of(good) < proven)
      fault("the disk has an older one");
    if (supervisor && supervisor->unexpected_events() > 0) fault("an impossible event");
  }
  void run(Duration span) {
    for (const Duration until = now + span; now < until;) step();
  }
  void print_state(const char* what) {
    std::printf(
        "%-62s disk %lld, good %lld, gatherer %lld, receiver %lld, refused %lld, %s\n", what,
        static_cast<long long>(index_of(settings)), static_cast<long long>(index_of(good)),
        static_cast<long long>(running), static_cast<long long>(receiver_holds.value_or(-1)),
        static_cast<long long>(supervisor && supervisor->refusal() ? supervisor->refusal()->index : 0),
        supervisor ? name_of(supervisor->phase()) : "no keeper");
  }
};

void run_directed() {
  World w;
  w.refuses = [](std::int64_t index) { return index == 2 || index == 9; };
  w.crashes_with = [](std::int64_t index) { return index == 4; };
  w.start_keeper();
  w.is_verbose = true;
  const auto put = [&](std::int64_t index, Duration span, const char* what) {
    w.newest_revision = index;
    w.run(span);
    w.print_state(what);
  };
  put(1, 4s, "taken");
  put(2, 1s, "refused by its rules");
  put(3, 4s, "taken after a refused one");
  put(4, 4s, "the gatherer ends right after");
  w.wanted = false;
  w.run(200ms);
  put(5, 1s, "none runs: kept");
  w.wanted = true;
  w.run(200ms);
  w.print_state("the next start proves it");
  w.run(3s);
  w.is_swapping = true;
  put(6, 2s, "a swap is under way: it waits");
  put(7, 2s, "a newer one meanwhile");
  w.is_swapping = false;
  w.run(4s);
  w.print_state("in order after the swap");
  w.is_unresponsive = true;
  put(8, 6s, "the gatherer says nothing");
  w.is_unresponsive = false;
  w.wanted = false;
  w.run(200ms);
  put(9, 1s, "none runs: one that its rules refuse is kept");
  w.wanted = true;
  w.run(2s);
  w.print_state("the start ends: back on the last good one");
  w.disk_fails = true;
  put(10, 3s, "the disk is full");
  w.disk_fails = false;
  w.run(4s);
  w.print_state("with room again");
  w.is_swapping = true;
  put(11, 70s, "a swap without end: refused, nothing changed");
  w.is_swapping = false;
  w.settings.reset();
  w.start_keeper();
  w.run(1s);
  w.print_state("its file is lost: the last good one");
  w.good.reset();
  w.start_keeper();
  w.run(4s);
  w.print_state("the last good one is lost: what gatherers read is read again");
}

// A keeper is killed before action N and restarted after 300 ms, for each N until the sequence ends before
// it.
void run_killed_at_each_action() {
  int run_random = 0, action_count = 0, faults = 0, not_newest = 0;
  for (int killed_at_action = 1;; ++killed_at_action) {
    World w;
    w.refuses = [](std::int64_t index) { return index == 2; };
    w.crashes_with = [](std::int64_t index) { return index == 4; };
    w.killed_at_action = killed_at_action;
    w.start_keeper();
    const auto run = [&](Duration span) {
      for (const Duration until = w.now + span; w.now < until;) {
        w.step();
        if (w.supervisor) continue;
        w.run(300ms);
        w.start_keeper();
      }
    };
    for (std::int64_t index = 1; index <= 5; ++index) {
      w.newest_revision = index;
      run(4s);
      w.wanted = index != 4;
    }
    w.wanted = true;
    run(6s);
    run_random += 1;
    faults += w.faults;
    not_newest += w.running != 5 || index_of(w.settings) != 5 || index_of(w.good) != 5 ? 1 : 0;
    if (w.action_count < killed_at_action) {
      action_count = w.action_count;
      break;
    }
  }
  std::printf("%d lives, a keeper ended before each of %d acts: %d faults, %d not on the newest at the end\n",
              run_random, action_count, faults, not_newest);
}

// `kills`: the keeper is killed before random actions; `disks`: the disk fails for a while.
void run_random(bool kills, bool disks) {
  int faults = 0, not_newest = 0;
  std::uint64_t applied = 0;
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    std::mt19937 random(seed);
    const auto one_in = [&](unsigned n) { return random() % n == 0; };
    World w;
    w.refuses = [seed](std::int64_t index) { return (static_cast<unsigned>(index) * 7 + seed) % 5 == 0; };
    w.crashes_with = [seed](std::int64_t index) {
      return (static_cast<unsigned>(index) * 11 + seed) % 9 == 0;
    };
    w.start_keeper();
    for (int step = 0; step < 1200; ++step) {
      if (one_in(20)) w.newest_revision += 1;
      if (one_in(100)) w.wanted = !w.wanted;
      if (one_in(60)) w.is_swapping = !w.is_swapping;
      if (one_in(80)) w.is_unresponsive = !w.is_unresponsive;
      if (disks && one_in(150)) w.disk_fails = !w.disk_fails;
      if (one_in(100) && w.alive) w.end_gatherer(true);
      if (kills && one_in(40) && w.supervisor)
        w.killed_at_action = w.action_count + 1 + static_cast<int>(random() % 6);
      if (!w.supervisor && one_in(10)) w.start_keeper();
      w.step();
    }
    w.wanted = true;
    w.is_swapping = w.is_unresponsive = w.disk_fails = false;
    w.killed_at_action = 0;
    do {
      w.newest_revision += 1;
    } while (w.refuses(w.newest_revision) || w.crashes_with(w.newest_revision));
    if (!w.supervisor) w.start_keeper();
    w.run(75s);
    faults += w.faults;
    applied += static_cast<std::uint64_t>(w.running);
    not_newest += w.running != w.newest_revision || index_of(w.good) != w.newest_revision ||
                          w.receiver_holds != w.newest_revision
                      ? 1
                      : 0;
  }
  std::printf("%s%s2000 lives, %llu revisions: %d faults, %d not on the newest at the end\n",
              kills ? "keepers killed, " : "", disks ? "disks full, " : "",
              static_cast<unsigned long long>(applied), faults, not_newest);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  if (std::strcmp(argv[1], "forced") == 0) run_directed();
  if (std::strcmp(argv[1], "each_act") == 0) run_killed_at_each_action();
  if (std::strcmp(argv[1], "lives") == 0) {
    run_random(false, false);
    run_random(true, false);
    run_random(false, true);
    run_random(true, true);
  }
  return 0;
}
