// A small installation for rigs: shard servers and discovery as stand-ins in this process's loop, and any
// number of machines, each a keeper as a process of its own over a gatherer as another. Relays stand in every
// path where they are wanted. Everything is on loopback and in a folder of its own that goes with this
// object.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "rig/process.h"
#include "rig/relay.h"
#include "standins/discovery.h"
#include "standins/leaf.h"

namespace marbledyke::rig {

struct SiteOptions {
  int machines = 1;
  int servers = 4;
  int service_ms = 2;
  std::uint32_t seed = 1;
  std::uint32_t block = 0;      // of addresses, so that sites beside each other do not meet
  bool control_relays = false;  // between the tools and each keeper
  bool client_relays = false;   // between clients and each gatherer
  bool list_relays = false;     // between each gatherer and discovery
  bool server_relays = false;   // between all gatherers and each server
  bool bent = false;            // the lab's keeper: its clock, disk and points can be bent
  // Short, so that tests are: words of the keepers' command lines.
  std::vector<std::string> keeper_words{
      "--prove",      "0.5", "--prove-limit", "4",    "--start-limit",  "3", "--silent-after", "2",
      "--hung-limit", "1.5", "--first-wait",  "0.05", "--longest-wait", "1", "--most-strikes", "5"};
};

class Site {
 public:
  Site(net::Loop& loop, const SiteOptions& options);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  struct Machine {
    int number = 0;
    std::string name, folder, log, bends;
    net::Address listen;  // where clients go: the gatherer, or the relay before it
    net::Address gatherer;
    net::Address control;  // where tools go: the keeper, or the relay before it
    net::Address keeper_at;
    net::Address discovery;
    std::unique_ptr<Relay> control_relay, client_relay, list_relay;
    Process keeper;
    std::uint64_t number_of_order = 0;
  };

  // Makes a folder with a program and settings for that machine. `program` is this build's; `mark` tells one
  // from another of the same program (bytes after its end); `flaw` is for marbledyke-flawed. `tick` is the
  // setting that differs.
  struct Recipe {
    std::string program = "marbledyke";
    std::string mark, flaw;
    int tick = 5000;
    bool broken_settings = false;
    int room = 0;  // multigets and parts in hand; 0: as usual
  };
  std::string recipe(Machine& machine, const std::string& name, const Recipe& of);

  Machine& machine(int i) { return *machines_[static_cast<std::size_t>(i)]; }
  int machines() const { return static_cast<int>(machines_.size()); }
  void start_keeper(Machine& machine);
  void bend(Machine& machine, const nlohmann::json& how);
  // Waits until its control address answers.
  bool keeper_up(Machine& machine, Duration limit = Duration(5'000'000));

  // The next order of epoch 1, and its answer.
  Answer order(Machine& machine, const std::string& kind, const std::string& version = {},
               const nlohmann::json& more = {});
  nlohmann::json status(Machine& machine);
  // Until no order is under way; gives the status, null where the limit came first.
  nlohmann::json settled(Machine& machine, Duration limit = Duration(10'000'000));
  // Takes a version in and brings it in force.
  bool bring(Machine& machine, const std::string& version, const Recipe& of);
  // The process that leads; -1 where there is none.
  static pid_t leader(const nlohmann::json& status);
  // Ends what a keeper that was killed has left behind.
  void end_orphans(Machine& machine);
  // Pids of gatherers of that machine that are alive, by what holds their slots' locks.
  std::vector<pid_t> gatherers(Machine& machine) const;

  std::vector<std::unique_ptr<standins::Leaf>>& leaves() { return leaves_; }
  standins::Discovery& discovery() { return *discovery_; }
  Relay& server_relay(int i) { return *server_relays_[static_cast<std::size_t>(i)]; }
  const std::string& folder() const { return folder_; }
  net::Loop& loop() { return loop_; }

  static constexpr int kShards = 8;

 private:
  net::Address address(std::uint32_t number) const;
  void kill_gatherers(Machine& machine) const;

  net::Loop& loop_;
  SiteOptions options_;
  std::string folder_;
  net::Address discovery_at_;
  std::unique_ptr<standins::Discovery> discovery_;
  std::vector<std::unique_ptr<standins::Leaf>> leaves_;
  std::vector<std::unique_ptr<Relay>> server_relays_;
  std::vector<std::unique_ptr<Machine>> machines_;
};

}  // namespace marbledyke::rig
