// What a shard server of a scenario does with parts, in real time behind a stand-in's sockets: cores, one
// queue with a bound, cold starts, slowness, errors, pauses, loss. The same model as the emulator's.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "scenario/scenario.h"
#include "standins/leaf.h"

namespace marbledyke::standins {

class Machine {
 public:
  // What becomes of a part, for who keeps the record. `send` is the part's count of arrivals so far.
  struct Told {
    std::function<void(const std::string&id, int shard, int door, double told_work)> arrived, began;
    std::function<void(const std::string& id, int shard, int door, SendOutcome fate)> ended;
    // Seconds on one core, and as gatherers are told.
    std::function<std::pair<double, double>(const std::string& id, int shard)> work;
  };

  Machine(net::Loop& loop, const scenario::Fleet& fleet, std::uint32_t seed, Told told);

  Leaf& leaf() { return leaf_; }
  bool alive() const { return alive_; }
  const std::optional<Duration>& started() const { return started_; }
  double worked() const { return worked_; }
  std::uint64_t ran() const { return ran_; }

  void stop();   // the process ends
  void start();  // a new one, cold
  void vanish(bool gone);
  void cut_off(int door, bool off);  // silence between it and whoever comes in by that door
  void pause(bool on);
  double slow = 1, errors = 0, lose_in = 0, lose_out = 0;

 private:
  struct Piece {
    std::uint64_t wire = 0, number = 0;
    std::string id;
    int shard = 0, door = 0;
    bool first = false, given_up = false;
  };
  void take(const Leaf::Given& given);
  void gave_up(std::uint64_t wire, const std::string& id);
  void fill();
  void finished(const Piece& piece, std::uint64_t life);
  void end(const Piece& piece, char how, SendOutcome fate);
  double warmth() const;
  bool lost(double share);

  net::Loop& loop_;
  scenario::Fleet fleet_;
  Told told_;
  std::mt19937 chance_;
  bool alive_ = true, paused_ = false;
  std::optional<Duration> started_;
  std::uint64_t life_ = 1;
  int busy_ = 0;
  std::deque<Piece> queue_;
  std::vector<std::pair<Piece, std::uint64_t>> held_;  // finished while it stood still
  std::set<int> cut_off_;
  std::set<std::pair<std::uint64_t, std::string>> given_up_;  // of those that run
  double worked_ = 0;
  std::uint64_t ran_ = 0;
  Leaf leaf_;
};

}  // namespace marbledyke::standins
