// A gatherer of a staged scenario under a keeper of its own: both as processes, in a folder that goes with
// this.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/socket.h"
#include "rig/process.h"

namespace marbledyke::lab {

// Which keeper, and words of its command line beside those of the lab.
struct KeptProgram {
  std::string name = "marbledyke-keeper-bent";
  std::vector<std::string> words;
};

class Kept {
 public:
  // Starts the keeper, has it take two versions of one configuration, and the first brought in force. Throws
  // std::runtime_error where that does not come about in time.
  Kept(net::Loop& loop, const std::string& name, const net::Address& control,
       const nlohmann::json& configuration, KeptProgram program = {});
  ~Kept();
  Kept(const Kept&) = delete;
  Kept& operator=(const Kept&) = delete;

  pid_t serving() const;  // the newest process; -1: none lives
  void signal_gatherers(int which);
  void swap();  // orders the other version, and waits for nothing
  void kill_keeper();
  void start_keeper();
  void signal_keeper(int which) { keeper_.signal(which); }
  void bend_clock(double rate);
  double cpu() const;  // of gatherers and keeper that live
  pid_t keeper_pid() const { return keeper_.pid(); }
  std::string keeper_folder() const { return folder_ + "/k"; }
  double keeper_cpu() const { return rig::used_by(keeper_.pid()).cpu; }
  std::uint64_t keeper_rss() const { return rig::used_by(keeper_.pid()).rss; }

 private:
  std::string recipe(const std::string& version, const nlohmann::json& configuration,
                     const std::string& mark);
  rig::Answer order(nlohmann::json what, Duration limit);

  net::Loop& loop_;
  std::string folder_, name_;
  KeptProgram program_;
  net::Address control_;
  rig::Process keeper_;
  std::uint64_t number_ = 0;
  bool second_ = false;
  std::vector<std::unique_ptr<net::Stream>> calls_;
};

}  // namespace marbledyke::lab
