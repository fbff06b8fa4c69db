// Checks that can be made of a version before it is brought in force, while the present gatherer serves.
//
// Runs the `check` command of gatherer programs, which reads all that a start reads, one program after the
// other and each within kTimeout: the new program must accept its settings, and so must the program in force,
// which a rollback returns to. The event loop is not blocked meanwhile.
#pragma once

#include <sys/types.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/descriptor.h"
#include "net/loop.h"

namespace marbledyke::keeper {

class VersionCheck final : public net::EventHandler {
 public:
  struct Step {
    std::string failure;  // the text that is reported where the step fails
    std::string program;
    std::vector<std::string> files;  // the settings files to check
    bool required = true;            // otherwise a failure is only noted
  };
  struct Result {
    std::string error;  // empty where all required steps passed
    std::string notes;  // failures of the other steps
  };

  // The limit for one run of a program.
  static constexpr Duration kTimeout = std::chrono::seconds(5);

  // `on_done` may destroy this object. The destructor kills the program that is running.
  VersionCheck(net::Loop& loop, std::vector<Step> steps, std::function<void(const Result&)> on_done);
  ~VersionCheck() override;
  VersionCheck(const VersionCheck&) = delete;
  VersionCheck& operator=(const VersionCheck&) = delete;

  // Called by the loop when the program has ended.
  void on_ready(bool readable, bool writable) override;

 private:
  void run_next_step();
  void on_step_ended(bool passed, const std::string& output);

  net::Loop& loop_;
  std::vector<Step> steps_;
  std::function<void(const Result&)> on_done_;
  std::size_t step_index_ = 0;
  pid_t pid_ = -1;
  net::Descriptor pidfd_, output_;
  std::uint32_t watch_id_ = 0;
  net::Loop::Timer timer_{};
  bool timed_out_ = false;
  Result result_;
};

}  // namespace marbledyke::keeper
