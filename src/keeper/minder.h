// What a keeper decides, without I/O: when its gatherer is started, told to read again, stopped, ended by
// force and started again after a crash; how a version is swapped for another and when it goes back; and what
// is known of the process. Three machines, each a table of state and event: a process's life (two at most:
// the one that serves, and the one that follows or leaves), a swap, and the will that something runs. It is
// told what happened and what time it is; what it decides is pulled with next().
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "keeper/orders.h"
#include "model/plain.h"

namespace marbledyke::keeper {

struct Policy {
  Duration start_limit{10'000'000};  // from a process's begin until it serves
  Duration read_limit{5'000'000};    // from SIGHUP until it says what it made of it
  Duration prove{3'000'000};         // sound for so long is proof
  Duration prove_limit{15'000'000};  // and it has to come within this
  Duration silent_after{3'000'000};  // windows come each second; without one for this it is hung
  Duration mute_after{10'000'000};   // takes multigets for so long and ends none
  Duration hung_limit{10'000'000};   // then it is ended by force
  Duration stop_limit{6'000'000};    // a planned stop takes 3.7 s at most
  Duration kill_limit{2'000'000};    // after SIGKILL; then it is said once more
  Duration first_wait{200'000};      // before the second start in a row; the first is at once
  Duration longest_wait{30'000'000};
  double most_strikes = 8;            // then it gives up
  Duration strike_fades{60'000'000};  // a process that lives for this makes up for one end
  Duration late{1'000'000};           // a turn that comes so late: the keeper itself stood still
};

inline constexpr int kSlots = 2;

// `felled`: ended by force because it hung or did not come up; `killed`: because it outstayed an ordered
// stop.
enum class Life { none, starting, serving, hung, stopping, killed, felled };
enum class LifeEvent { begun, serves, silent, speaks, told_stop, limit, ended };
enum class Swap { none, reading, beside, proving, trial, back_reading, back_beside, back_proving };
enum class SwapEvent {
  use,
  taken,        // the process has read the settings
  not_taken,    // it refuses them, and goes on under those it has
  needs_start,  // some of them wait for its next start
  serves,       // the process that was begun for this swap
  not_started,  // it ended, or could not be begun; or the one that was to read has ended
  sound,        // proved
  unsound,      // ended, or hung
  limit,
  confirmed,
  stop
};
enum class Will { off, resting, running, given_up, leaving };
enum class WillEvent { wanted, unwanted, begins, fell, fell_too_often, rested, leave };
const char* name_of(Life life);
const char* name_of(Swap swap);
const char* name_of(Will will);

// What is known of the process that serves. Three things apart: that it runs, that it answers its health
// call, and that it really ends multigets.
struct Health {
  bool runs = false, healthy = false;
  enum class Answers { unknown, yes, no } answers = Answers::unknown;  // unknown: nothing was asked of it
};

struct Act {
  enum class What {
    keep,   // write down kept()
    link,   // `version` is in force from now on
    begin,  // a process of `version` in `slot`
    label,  // the process in `slot` is of `version` now: it has read its settings
    hup,
    term,
    kill,
    note  // for the log: `why`
  };
  What what = What::note;
  int slot = 0;
  std::string version;
  std::string why;
};

// Of one window that a process told.
struct Heard {
  std::string configuration;  // digest of what it runs
  std::uint64_t taken = 0, ended = 0, in_hand = 0;
};

// What the versions' folder says.
struct VersionFacts {
  std::string program;        // checksums
  std::string configuration;  // digest, as the gatherer tells it
};

class Minder {
 public:
  // `jitter`: a share from 0 to 1 that this keeper's waits are spread by.
  Minder(const Policy& policy, Kept kept, Duration now, Duration wall, double jitter);

  // What it finds at its own start: a gatherer that still runs, of that version.
  void adopted(int slot, const std::string& version, const VersionFacts& facts);
  // After that, once: goes on with what was under way.
  // `has_ordered`: the version that the last order names is there, whole.
  void resume(const VersionFacts& in_force, const VersionFacts& former, bool has_ordered);

  // judge(), and what only this knows: the keeper goes down, or what runs is being brought in line still.
  Verdict considers(const Order& order, bool has_version) const;
  // An order that considers() took and that has been written down.
  static Kept with(const Kept& kept, const Order& order, Duration wall);
  void take(const Order& order, Kept kept, const VersionFacts& target, const VersionFacts& former);
  // Copying, removing or trying a version has ended.
  void versions_done(const std::string& wrong, const std::string& notes = {});

  // What became of acts, and what processes do.
  void began(int slot, const VersionFacts& facts);
  void ended(int slot, const std::string& how);
  void not_begun(int slot, const std::string& why);
  void linked() { unlinked_ = false; }
  void not_linked(const std::string& why);
  void serves(int slot);
  void heard(int slot, const Heard& window);
  void read_said(int slot, bool taken, bool needs_start, const std::string& why);
  void health(bool good);
  void kept_written(bool written);
  void tick(Duration now, Duration wall);
  void leave();  // the keeper itself goes down in order, and its gatherers with it
  bool left() const {
    return will_ == Will::leaving && lives_[0].life == Life::none && lives_[1].life == Life::none;
  }

  std::optional<Act> next();

  const Kept& kept() const { return kept_; }
  bool unsaved() const { return unsaved_; }
  int lead() const { return lead_; }
  Life life(int slot) const { return lives_[static_cast<std::size_t>(slot)].life; }
  const std::string& version(int slot) const { return lives_[static_cast<std::size_t>(slot)].version; }
  Swap swap() const { return swap_; }
  Will will() const { return will_; }
  std::optional<Duration> starts_again() const {
    return will_ == Will::resting ? std::optional(rest_until_) : std::nullopt;
  }
  Health health_of(int slot) const;
  // A mistake of this program: an event came that cannot come in that state.
  std::uint64_t impossible() const { return impossible_; }

 private:
  struct One {
    Life life = Life::none;
    std::string version;
    VersionFacts facts;
    Duration since{};  // in this state
    Duration begun{};
    Duration heard{}, healthy{};
    Duration asked{}, ended{};  // the newest window in which it took a multiget, and in which it ended one
    Duration mute_since{};      // it has ended none of what it took since then
    std::string configuration;
  };
  struct LifeCell;
  struct SwapCell;
  struct WillCell;

  void on(int slot, LifeEvent event, const std::string& why = {});
  void on(SwapEvent event, const std::string& why = {});
  void on(WillEvent event);
  void act(Act::What what, int slot = 0, const std::string& version = {}, const std::string& why = {});
  void begin_when_free();
  bool sound(const One& one) const;
  void begin(int slot);
  bool settings_suffice(const VersionFacts& facts) const;
  void bring_back(Swap reads, Swap begins);
  void go(const char* to_what);
  void finish(Outcome outcome, const std::string& why);
  void save();
  void fell(int slot, const std::string& how);
  One& at(int slot) { return lives_[static_cast<std::size_t>(slot)]; }
  const One& at(int slot) const { return lives_[static_cast<std::size_t>(slot)]; }

  Policy policy_;
  Kept kept_;
  Duration now_{}, wall_{}, last_tick_{};
  double jitter_;
  std::array<One, kSlots> lives_;
  int lead_ = 0;    // the slot of the process that serves, or last did
  int rising_ = 0;  // the one that was begun last
  Swap swap_ = Swap::none;
  Will will_ = Will::off;
  Duration swap_since_{};
  Duration sound_since_{};
  bool sound_now_ = false;
  Duration rest_until_{};
  Duration trial_until_{};
  VersionFacts target_, former_;
  std::string swap_why_;
  std::optional<int> waits_to_begin_;  // the slot in which a start waits for the leaving process's end
  bool unsaved_ = false, unlinked_ = false;
  std::uint64_t impossible_ = 0;
  std::deque<Act> acts_;
};

}  // namespace marbledyke::keeper
