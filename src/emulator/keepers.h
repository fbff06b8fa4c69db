// A keeper and its processes in virtual time: the shipped decisions (keeper::Supervisor, keeper::check_order)
// over processes that behave as their version says, a disk that may be full, and a keeper that is killed,
// paused and started again. No sockets, no files; steps of 50 ms, so that a thousand of them are cheap.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "keeper/supervisor.h"

namespace marbledyke::emulator {

inline constexpr Duration kKeeperStep{50'000};

// What a version's process does.
struct Behaviour {
  Duration starts_in{100'000};  // from its begin until it serves
  bool never_serves = false;
  std::optional<Duration> ends_after;   // from its begin
  std::optional<Duration> hangs_after;  // says nothing any more
  std::optional<Duration> mute_after;   // takes multigets and ends none
  bool refuses_settings = false;        // at a start, and when it reads them
  bool needs_start = false;             // its settings cannot all be taken while running
  bool heeds_term = true;
  Duration stop_takes{900'000};
};

struct EmulatedVersion {
  keeper::VersionInfo facts;
  Behaviour behaviour;
};

class EmulatedKeeper {
 public:
  // What its processes do, told as it comes about, for whoever plays what they serve.
  struct Told {
    std::function<void(int slot)> serves;   // from now on
    std::function<void(int slot)> leaves;   // told to stop; ends once it may
    std::function<bool(int slot)> may_end;  // what it had in hand is over
    std::function<void(int slot)> ended;
  };

  EmulatedKeeper(const keeper::SupervisorPolicy& policy, std::map<std::string, EmulatedVersion> versions,
                 std::uint32_t seed);

  // What an order is answered; none where the keeper is dead or paused.
  std::optional<keeper::OrderVerdict> order(const keeper::Order& order);
  void step();  // kKeeperStep passes

  void kill_keeper();   // at once; what it had decided and not carried out is lost
  void start_keeper();  // over what it finds; nothing where it lives
  void pause_keeper(bool on) { paused_ = on; }
  void kill_process();                          // the one that serves
  void freeze(bool on);                         // those that are there stand still, or go on
  void set_rate(double rate) { rate_ = rate; }  // of the keeper's own clock
  void disk_full(bool on) { disk_full_ = on; }
  // At the n-th act from now the keeper is killed, before it is carried out.
  void kill_at_act(int n) { kill_at_ = n; }

  Duration now() const { return now_; }
  bool keeper_alive() const { return supervisor_ != nullptr; }
  const keeper::Supervisor* supervisor() const { return supervisor_.get(); }
  const keeper::KeeperState& kept() const { return disk_; }  // as it is on the disk
  const std::string& linked() const { return linked_; }
  bool serves() const;  // somebody takes multigets and ends them
  int processes() const;
  bool serving(int slot) const {
    const auto& process = processes_[static_cast<std::size_t>(slot)];
    return process && process->serving;
  }
  // Of the process that serves; empty where none does.
  std::string serving_version() const;
  Duration served() const { return served_; }

  std::function<void(const std::string& what)> told;  // of each act
  Told processes_told;

  // What must never be; the first of each kind, empty where all was well.
  const std::string& broken() const { return broken_; }

 private:
  struct Process {
    std::string version;   // its program's
    std::string settings;  // the version whose settings it has
    Duration begun{};
    bool serving = false, said = false, frozen = false;
    std::optional<Duration> stops_at;
    bool read_pending = false;
    std::uint64_t alive_by = 0;
  };
  void carry_out();
  void say(const std::string& what) {
    if (told) told(what);
  }
  void end(int slot, const std::string& how);
  const EmulatedVersion& of(const std::string& version) const { return versions_.at(version); }
  keeper::VersionInfo facts(const std::string& version) const;

  keeper::SupervisorPolicy policy_;
  std::map<std::string, EmulatedVersion> versions_;
  std::mt19937 chance_;
  double rate_ = 1;
  Duration now_{}, own_{}, next_window_{};  // own: the keeper's clock
  std::array<std::optional<Process>, keeper::kSlots> processes_;
  std::unique_ptr<keeper::Supervisor> supervisor_;
  keeper::KeeperState disk_;
  std::string linked_;
  bool paused_ = false, disk_full_ = false;
  int kill_at_ = -1;
  Duration served_{};
  std::string broken_;
  std::vector<std::pair<int, std::string>> ended_while_paused_;
};

}  // namespace marbledyke::emulator
