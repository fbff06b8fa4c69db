// A gatherer process of a keeper.
//
// Each of the two slots of the keeper's directory has a lock that the process holds for as long as it lives.
// So there are never more than two processes, and a keeper that is restarted knows whether a slot's process
// is alive, whatever process has got the recorded pid since. Each slot also has a named pipe, to which the
// process writes its events.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/descriptor.h"
#include "net/loop.h"

namespace marbledyke::keeper {

// The resource usage of a process, from /proc.
struct Usage {
  double cpu = 0;         // seconds, user and kernel
  std::uint64_t rss = 0;  // bytes
};

// The identity of a process.
struct ProcessIdentity {
  pid_t pid = -1;
  std::uint64_t start_ticks = 0;  // clock ticks from boot to its start; differs where the pid was reused
  std::string version;
};

class GathererProcess final : public net::EventHandler {
 public:
  struct Callbacks {
    std::function<void(const std::string& how)> on_exited;
    std::function<void(const std::string& line)> on_event_line;
  };

  // Creates the named pipe. Throws std::system_error.
  GathererProcess(net::Loop& loop, std::string directory, int slot, Callbacks callbacks);
  ~GathererProcess() override;
  GathererProcess(const GathererProcess&) = delete;
  GathererProcess& operator=(const GathererProcess&) = delete;

  struct StartOptions {
    std::string program, configuration, operator_file;  // paths; the last one may be empty
    std::string version;
    std::string settings;  // the file with the fleet's settings; empty: none are used
    int listener = -1;     // the socket for clients that the process inherits; -1: it opens its own
  };
  // Throws std::system_error. A program that cannot be executed shows as an exit with status 127.
  void start(const StartOptions& options);
  // Takes over the process that an earlier keeper process started in this slot, if it is alive. Throws
  // std::system_error where the slot is locked by a process that cannot be identified.
  std::optional<ProcessIdentity> adopt();
  // Returns a copy of the process's listening socket for `address_text`; none where the system does not allow
  // it.
  net::Descriptor duplicate_listener(const std::string& address_text) const;

  bool alive() const { return static_cast<bool>(pidfd_); }
  pid_t pid() const { return identity_.pid; }
  const ProcessIdentity& identity() const { return identity_; }
  // Says whether the last process was ended by SIGKILL, which comes from outside and is no failure of its
  // own.
  bool was_killed() const { return was_killed_; }
  void signal(int which);
  // Records the version for a later keeper process that adopts this one; errors are ignored.
  void record_version(const std::string& version);
  Usage usage() const;

  // Called by the loop when the process has ended.
  void on_ready(bool readable, bool writable) override;

 private:
  class EventPipe;
  void watch(pid_t pid);
  std::string path_of(const char* name) const;

  net::Loop& loop_;
  std::string directory_;
  int slot_;
  Callbacks callbacks_;
  ProcessIdentity identity_;
  bool was_killed_ = false;
  bool is_child_ = false;  // of this very process, which has to reap it
  net::Descriptor pidfd_;
  std::uint32_t watch_id_ = 0;
  std::unique_ptr<EventPipe> event_pipe_;
};

// Returns the start of a process in clock ticks since boot; none where there is no such process.
std::optional<std::uint64_t> start_ticks_of(pid_t pid);

}  // namespace marbledyke::keeper
