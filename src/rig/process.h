// Processes of the rig: any program of this build with its words and environment, its output in a file; and
// calls over HTTP to a keeper. Nothing is left behind: what is started here ends with this process.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "model/types.h"
#include "net/address.h"
#include "net/loop.h"
#include "standins/process.h"

namespace marbledyke::rig {

using standins::program;

class Process {
 public:
  Process() = default;
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void start(const std::vector<std::string>& words, const std::map<std::string, std::string>& environment,
             const std::string& log);
  void signal(int which);
  void end();  // at once, and waits for it
  // Its wait status once it has ended.
  std::optional<int> ended();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

struct Answer {
  int status = 0;  // 0: none came, or the connection failed
  nlohmann::json body;
};
// Runs the loop meanwhile.
Answer call(net::Loop& loop, const net::Address& to, const std::string& method, const std::string& target,
            const std::string& body = {}, Duration limit = Duration(3'000'000));
// Sends bytes as they are and gives what came back until the other side closed or the time was up.
std::string raw_call(net::Loop& loop, const net::Address& to, const std::string& bytes, Duration limit);
void run_for(net::Loop& loop, Duration time);
// Runs the loop until it holds, asked every 10 ms; false where the limit came first.
bool run_until(net::Loop& loop, Duration limit, const std::function<bool()>& holds);

// CPU seconds and resident bytes, by /proc.
struct Used {
  double cpu = 0;
  std::uint64_t rss = 0;
};
Used used_by(pid_t pid);

}  // namespace marbledyke::rig
