// What a keeper decides about the fleet's settings, in virtual time: the table's forced cases, a keeper that
// ends at each single act, and seeded lives among gatherers that refuse or end, disks that fail and keepers
// that are killed.
#include <cstdio>
#include <cstring>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "keeper/settings_holder.h"

using namespace marbledyke;
using namespace std::chrono_literals;
using distribution::Revision;
using keeper::HolderAct;
using keeper::HolderPhase;
using keeper::Host;
using keeper::SettingsHolder;
using What = HolderAct::What;

namespace {

constexpr const char* kActs[] = {"write", "write_good", "hup", "applied", "refused", "watch", "note"};
constexpr Duration kStep = 50ms;

Revision revision(std::int64_t index) {
  Revision out{index, "f", "{}", 1, "a", 0, ""};
  out.digest = distribution::digest_of(out);
  return out;
}

std::int64_t index_of(const std::optional<Revision>& one) { return one ? one->index : 0; }

// A keeper's machine: disk, gatherer, receiver and control node, as the holder meets them.
struct World {
  std::optional<Revision> settings, good;  // on disk
  std::int64_t newest = 0;                 // at the control nodes
  Duration now{};
  bool wanted = true, alive = false, busy = false, deaf = false, disk_fails = false;
  std::int64_t runs = 0;     // what the gatherer read last
  std::int64_t crashes = 0;  // it ends with this revision soon after
  Duration crash_at{};
  std::function<bool(std::int64_t)> refuses = [](std::int64_t) { return false; };
  std::function<bool(std::int64_t)> ends = [](std::int64_t) { return false; };

  std::optional<SettingsHolder> holder;
  std::optional<std::int64_t> held;  // by the receiver; none: there is no receiver
  std::int64_t offered = 0, refused = 0, asks_at = 0;
  int acts = 0, dies_at = 0;
  bool told = false;  // acts are printed
  std::int64_t proven = 0;
  Duration proven_since{};
  int faults = 0;

  void fault(const char* what) {
    faults += 1;
    if (faults > 1) return;
    std::printf("FAULT at %lld ms: %s; disk %lld and %lld, gatherer %lld, proven %lld\n",
                static_cast<long long>(now / 1ms), what, static_cast<long long>(index_of(settings)),
                static_cast<long long>(index_of(good)), static_cast<long long>(runs),
                static_cast<long long>(proven));
  }
  Host host() const { return busy ? Host::busy : alive ? Host::ready : Host::absent; }

  void start_keeper() {
    holder.emplace(keeper::HolderPolicy{});
    held.reset();
    offered = refused = 0;
    holder->resume(settings, good, now);
    carry_out();
  }
  void kill_keeper() {
    holder.reset();
    held.reset();
  }
  void read() {
    runs = index_of(settings);
    crashes = ends(runs) ? runs : 0;
    crash_at = now + 400ms;
  }
  void start_gatherer() {
    if (refuses(index_of(settings))) {
      if (holder) holder->ended(false, "status 1");
      return carry_out();
    }
    alive = true;
    read();
    if (holder) holder->runs(runs);
  }
  void end_gatherer(bool ordered) {
    alive = false;
    runs = 0;
    proven_since = now;
    if (holder) holder->ended(ordered, "signal");
    carry_out();
  }
  void hup() {
    if (!alive || deaf) return;
    if (refuses(index_of(settings))) return holder->refused("settings.key: is too small");
    read();
    holder->taken(runs);
  }
  void write(const HolderAct& act) {
    if (disk_fails) return holder->written(act.what, "the disk is full");
    (act.what == What::write ? settings : good) = act.revision;
    holder->written(act.what, "");
  }
  void carry_out() {
    while (holder) {
      const auto act = holder->next();
      if (!act) return;
      acts += 1;
      if (told) {
        std::printf("  %s %lld %s\n", kActs[static_cast<int>(act->what)],
                    static_cast<long long>(index_of(act->revision)), act->why.c_str());
      }
      if (acts == dies_at) return kill_keeper();  // before it is done
      if (act->what == What::write || act->what == What::write_good) write(*act);
      if (act->what == What::hup) hup();
      if (act->what == What::watch) {
        held = index_of(act->revision);
        offered = refused = 0;
      }
      if (act->what == What::applied || act->what == What::refused) {
        if (offered == 0) fault("the receiver waits for nothing");
        (act->what == What::applied ? *held : refused) = std::exchange(offered, 0);
      }
    }
  }
  void step() {
    now += kStep;
    if (alive && crashes != 0 && now >= crash_at) end_gatherer(false);
    if (wanted && !alive) start_gatherer();
    if (!wanted && alive) end_gatherer(true);
    if (!holder) return check();
    if (alive && !deaf && now % 1s == 0s) holder->runs(runs);  // windows
    holder->tick(now, host());
    carry_out();
    if (holder && held && offered == 0 && newest > *held && newest > refused) {
      offered = newest;
      holder->offered(revision(newest));
      carry_out();
    }
    check();
  }
  // What a gatherer has run soundly for longer than its probation is never followed by an older one.
  void check() {
    if (!alive || deaf || !holder) proven_since = now;
    if (alive && crashes == 0 && now - proven_since >= 3s && runs > proven && index_of(settings) >= runs)
      proven = runs;
    if (alive && runs < proven) fault("the gatherer runs an older one");
    if (!disk_fails && index_of(settings) < proven && index_of(good) < proven)
      fault("the disk has an older one");
    if (holder && holder->impossible() > 0) fault("an impossible event");
  }
  void run(Duration span) {
    for (const Duration until = now + span; now < until;) step();
  }
  void say(const char* what) {
    std::printf("%-62s disk %lld, good %lld, gatherer %lld, receiver %lld, refused %lld, %s\n", what,
                static_cast<long long>(index_of(settings)), static_cast<long long>(index_of(good)),
                static_cast<long long>(runs), static_cast<long long>(held.value_or(-1)),
                static_cast<long long>(holder && holder->refusal() ? holder->refusal()->index : 0),
                holder ? name_of(holder->phase()) : "no keeper");
  }
};

void forced() {
  World w;
  w.refuses = [](std::int64_t index) { return index == 2 || index == 9; };
  w.ends = [](std::int64_t index) { return index == 4; };
  w.start_keeper();
  w.told = true;
  const auto put = [&](std::int64_t index, Duration span, const char* what) {
    w.newest = index;
    w.run(span);
    w.say(what);
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
  w.say("the next start proves it");
  w.run(3s);
  w.busy = true;
  put(6, 2s, "a swap is under way: it waits");
  put(7, 2s, "a newer one meanwhile");
  w.busy = false;
  w.run(4s);
  w.say("in order after the swap");
  w.deaf = true;
  put(8, 6s, "the gatherer says nothing");
  w.deaf = false;
  w.wanted = false;
  w.run(200ms);
  put(9, 1s, "none runs: one that its rules refuse is kept");
  w.wanted = true;
  w.run(2s);
  w.say("the start ends: back on the last good one");
  w.disk_fails = true;
  put(10, 3s, "the disk is full");
  w.disk_fails = false;
  w.run(4s);
  w.say("with room again");
  w.busy = true;
  put(11, 70s, "a swap without end: refused, nothing changed");
  w.busy = false;
  w.settings.reset();
  w.start_keeper();
  w.run(1s);
  w.say("its file is lost: the last good one");
  w.good.reset();
  w.start_keeper();
  w.run(4s);
  w.say("the last good one is lost: what gatherers read is read again");
}

// The same story, with a keeper that ends before act N, is started again after 300 ms, and ends no more.
void each_act() {
  int lives = 0, acts = 0, faults = 0, stayed_behind = 0;
  for (int dies_at = 1;; ++dies_at) {
    World w;
    w.refuses = [](std::int64_t index) { return index == 2; };
    w.ends = [](std::int64_t index) { return index == 4; };
    w.dies_at = dies_at;
    w.start_keeper();
    const auto run = [&](Duration span) {
      for (const Duration until = w.now + span; w.now < until;) {
        w.step();
        if (w.holder) continue;
        w.run(300ms);
        w.start_keeper();
      }
    };
    for (std::int64_t index = 1; index <= 5; ++index) {
      w.newest = index;
      run(4s);
      w.wanted = index != 4;
    }
    w.wanted = true;
    run(6s);
    lives += 1;
    faults += w.faults;
    stayed_behind += w.runs != 5 || index_of(w.settings) != 5 || index_of(w.good) != 5 ? 1 : 0;
    if (w.acts < dies_at) {
      acts = w.acts;
      break;
    }
  }
  std::printf("%d lives, a keeper ended before each of %d acts: %d faults, %d not on the newest at the end\n",
              lives, acts, faults, stayed_behind);
}

// `kills`: of the keeper, at any act; `disks`: that cannot be written for a while.
void lives(bool kills, bool disks) {
  int faults = 0, stayed_behind = 0;
  std::uint64_t applied = 0;
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    std::mt19937 chance(seed);
    const auto one_in = [&](unsigned n) { return chance() % n == 0; };
    World w;
    w.refuses = [seed](std::int64_t index) { return (static_cast<unsigned>(index) * 7 + seed) % 5 == 0; };
    w.ends = [seed](std::int64_t index) { return (static_cast<unsigned>(index) * 11 + seed) % 9 == 0; };
    w.start_keeper();
    for (int step = 0; step < 1200; ++step) {
      if (one_in(20)) w.newest += 1;
      if (one_in(100)) w.wanted = !w.wanted;
      if (one_in(60)) w.busy = !w.busy;
      if (one_in(80)) w.deaf = !w.deaf;
      if (disks && one_in(150)) w.disk_fails = !w.disk_fails;
      if (one_in(100) && w.alive) w.end_gatherer(true);
      if (kills && one_in(40) && w.holder) w.dies_at = w.acts + 1 + static_cast<int>(chance() % 6);
      if (!w.holder && one_in(10)) w.start_keeper();
      w.step();
    }
    w.wanted = true;
    w.busy = w.deaf = w.disk_fails = false;
    w.dies_at = 0;
    do {
      w.newest += 1;
    } while (w.refuses(w.newest) || w.ends(w.newest));
    if (!w.holder) w.start_keeper();
    w.run(75s);
    faults += w.faults;
    applied += static_cast<std::uint64_t>(w.runs);
    stayed_behind += w.runs != w.newest || index_of(w.good) != w.newest || w.held != w.newest ? 1 : 0;
  }
  std::printf("%s%s2000 lives, %llu revisions: %d faults, %d not on the newest at the end\n",
              kills ? "keepers killed, " : "", disks ? "disks full, " : "",
              static_cast<unsigned long long>(applied), faults, stayed_behind);
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  if (std::strcmp(words[1], "forced") == 0) forced();
  if (std::strcmp(words[1], "each_act") == 0) each_act();
  if (std::strcmp(words[1], "lives") == 0) {
    lives(false, false);
    lives(true, false);
    lives(false, true);
    lives(true, true);
  }
  return 0;
}
