// `marbledyke-lab scale`, and the hidden sub-commands that its child processes run.
#pragma once

#include <CLI/CLI.hpp>
#include <atomic>
#include <optional>
#include <string>

#include "lab/scale/options.h"

namespace marbledyke::lab::scale {

class Command {
 public:
  explicit Command(CLI::App& app);

  // None where another sub-command was given; else an exit status: 0, or 1 where a part could not be
  // measured.
  std::optional<int> run(const std::atomic<bool>& stop) const;
  bool is_scale() const { return scale_->parsed(); }

 private:
  CLI::App* scale_;
  CLI::App* servers_;
  CLI::App* receivers_;
  Options options_;
  std::string spec_;
  int first_ = 0, count_ = 1, port_ = 0, service_ms_ = 0;
};

}  // namespace marbledyke::lab::scale
