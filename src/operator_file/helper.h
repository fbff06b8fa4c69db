// Has an operator's file read by marbledyke-operator, a process beside this program's own file: its XML
// library is never in the memory of what serves, and a file that breaks it breaks nothing else.
#pragma once

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>

#include "net/descriptor.h"
#include "net/loop.h"
#include "operator_file/terms.h"

namespace marbledyke::operator_file {

// Waits for the result, some seconds at most. Whatever goes wrong is a fault of the result.
Result read_now(const std::string& path);

// The same while the loop goes on; one at a time.
class Reading final : public net::EventHandler {
 public:
  using Done = std::function<void(Result)>;
  Reading(net::Loop& loop, const std::string& path, Done done);
  ~Reading() override;
  Reading(const Reading&) = delete;
  Reading& operator=(const Reading&) = delete;

  void on_ready(bool readable, bool writable) override;

 private:
  void finish(std::optional<std::string> wrong);

  net::Loop& loop_;
  Done done_;
  pid_t child_ = -1;
  net::Descriptor from_;
  std::uint32_t place_ = 0;
  std::optional<net::Loop::Timer> limit_;
  std::string text_;
};

// The program's own way of running it for people; gives its exit status, 2 where it cannot be run.
int run_check(const std::vector<std::string>& files);

}  // namespace marbledyke::operator_file
