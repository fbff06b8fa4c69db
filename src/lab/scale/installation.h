// What the parts of a scale run share: addresses on loopback, a real gatherer as a child process, hollow
// shard servers in other processes, and waits with a bound.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab/scale/hollow_list.h"
#include "net/address.h"
#include "net/loop.h"
#include "rig/process.h"
#include "standins/process.h"

namespace marbledyke::lab::scale {

// The i-th of up to 50,000 addresses of hollow shard servers; `port` tells one run from another.
net::Address server_address(int port, int i);
// A port at which the first of those addresses is free.
int free_server_port();

// Servers with a cell each, in turns, so that every cell has as many as any other.
std::vector<ListedServer> servers_to_list(int count, int port);

// A folder of its own that goes with the object.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// One gatherer of this build, without a list until discovery gives it one.
class RealGatherer {
 public:
  // Throws std::system_error where it cannot be started.
  RealGatherer(net::Loop& loop, const net::Address& discovery);

  // Until it serves and runs the newest list; throws std::runtime_error where it ends or the limit comes
  // first.
  void wait_until_current(const HollowList& list);
  const net::Address& address() const { return address_; }
  pid_t pid() const { return process_.pid(); }

 private:
  net::Loop& loop_;
  net::Address address_;
  standins::Gatherer process_;
};

// Operators' terms for as many cells and shards as a multiget has parts.
nlohmann::json gatherer_settings();
// A gatherer's configuration with these terms: one list that is watched from the start.
nlohmann::json gatherer_configuration(const std::string& name, const net::Address& listen,
                                      const net::Address& discovery);

// Hollow shard servers [first, first + count) in a process of their own, as many to each process as fit.
class HollowServers {
 public:
  // Throws std::runtime_error where they do not listen in time.
  HollowServers(net::Loop& loop, int count, int port, int service_ms);

 private:
  Folder folder_;
  std::vector<std::unique_ptr<rig::Process>> processes_;
};

// What such a process runs until it is ended; says "ready" on standard output.
int run_hollow_servers(int first, int count, int port, int service_ms);

}  // namespace marbledyke::lab::scale
