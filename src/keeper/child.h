// A gatherer as a keeper's process. Each of the two slots of a folder has a lock that the process holds for
// as long as it lives, so that there are never three, and a keeper that is started anew knows whether one is
// there whatever pid is written beside it; and a named pipe, through which it tells its events.
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

// What /proc tells of a process.
struct Usage {
  double cpu = 0;         // seconds, user and kernel
  std::uint64_t rss = 0;  // bytes
};

struct Born {
  pid_t pid = -1;
  std::uint64_t ticks =
      0;  // its start, in the machine's ticks since boot: tells it from a later one of that pid
  std::string version;
};

class Child final : public net::EventHandler {
 public:
  struct Told {
    std::function<void(const std::string& how)> ended;
    std::function<void(const std::string& line)> line;  // of its events
  };

  // Makes the pipe. Throws std::system_error.
  Child(net::Loop& loop, std::string folder, int slot, Told told);
  ~Child() override;
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  // What is needed to start one.
  struct Start {
    std::string program, configuration, operator_file;  // the last may be empty
    std::string version;
    std::string settings;  // the file with the fleet's settings; empty: none are heeded
    int listener = -1;
  };
  // Throws std::system_error; a process that cannot be executed ends with 127.
  void begin(const Start& start);
  // One that runs since a former life of the keeper, if it does.
  std::optional<Born> adopt();
  // Its copy of the socket that clients connect to; none where the system does not allow it.
  net::Descriptor listener_of(const std::string& address_text) const;

  bool alive() const { return static_cast<bool>(pidfd_); }
  pid_t pid() const { return born_.pid; }
  const Born& born() const { return born_; }
  // The last one was ended by SIGKILL: by somebody, not by what it ran.
  bool was_killed() const { return was_killed_; }
  void signal(int which);
  void relabel(const std::string& version);  // for a later life of the keeper; as good as can be
  Usage usage() const;

  void on_ready(bool readable, bool writable) override;

 private:
  class Reading;
  void follow(pid_t pid);
  std::string at(const char* name) const;

  net::Loop& loop_;
  std::string folder_;
  int slot_;
  Told told_;
  Born born_;
  bool was_killed_ = false;
  bool own_ = false;  // a child of this very process, which reaps it
  net::Descriptor pidfd_;
  std::uint32_t place_ = 0;
  std::unique_ptr<Reading> reading_;
};

// Start of a process in ticks since boot; none where there is none.
std::optional<std::uint64_t> started_at(pid_t pid);

}  // namespace marbledyke::keeper
