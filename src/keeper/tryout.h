// What can be tried of a version before it is brought in force, beside the gatherer that serves: its files
// are as they were taken, there is room, its program takes its settings, and the one in force, which is the
// way back, still takes its own. Programs are run with `check`, which reads all that a start reads, one after
// the other and each for a bounded time; the turn goes on meanwhile.
#pragma once

#include <sys/types.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/descriptor.h"
#include "net/loop.h"

namespace marbledyke::keeper {

class Tryout final : public net::Watcher {
 public:
  struct Step {
    std::string what;  // what it means where it fails
    std::string program;
    std::vector<std::string> files;  // its settings
    bool must = true;                // else it is only said
  };
  struct Result {
    std::string wrong;  // empty: what must be is
    std::string notes;
  };

  static constexpr Duration kLimit{5'000'000};  // of one run

  Tryout(net::Loop& loop, std::vector<Step> steps, std::function<void(const Result&)> told);
  ~Tryout() override;
  Tryout(const Tryout&) = delete;
  Tryout& operator=(const Tryout&) = delete;

  void ready(bool readable, bool writable) override;

 private:
  void next();
  void ended(bool good, const std::string& said);

  net::Loop& loop_;
  std::vector<Step> steps_;
  std::function<void(const Result&)> told_;
  std::size_t at_ = 0;
  pid_t pid_ = -1;
  net::Descriptor pidfd_, said_;
  std::uint32_t place_ = 0;
  net::Loop::Timer timer_{};
  bool late_ = false;
  Result result_;
};

}  // namespace marbledyke::keeper
