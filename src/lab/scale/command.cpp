#include "lab/scale/command.h"

#include <iostream>

#include "lab/scale/hollow_receivers.h"
#include "lab/scale/installation.h"
#include "lab/scale/scale.h"

namespace marbledyke::lab::scale {

Command::Command(CLI::App& app)
    : scale_(app.add_subcommand("scale", "Measure real processes beside hollow ones, and keep slopes")),
      servers_(app.add_subcommand("scale-servers", "")),
      receivers_(app.add_subcommand("scale-receivers", "")) {
  scale_->add_option("--out", options_.out, "Folder of the results; parts that are not run stay as they are");
  scale_->add_option("--part", options_.part)
      ->check(CLI::IsMember({"lists", "load", "settings", "all", "report"}));
  scale_->add_flag("--quick", options_.quick, "A small version, for tests and trials");
  scale_->add_option("--seed", options_.seed);
  servers_->group("");  // hidden
  servers_->add_option("--first", first_)->required();
  servers_->add_option("--count", count_)->required();
  servers_->add_option("--port", port_)->required();
  servers_->add_option("--service-ms", service_ms_);
  receivers_->group("");
  receivers_->add_option("--spec", spec_)->required();
}

std::optional<int> Command::run(const std::atomic<bool>& stop) const {
  if (scale_->parsed()) return measure(options_, stop);
  if (servers_->parsed()) return run_hollow_servers(first_, count_, port_, service_ms_);
  if (receivers_->parsed()) return run_hollow_receivers(spec_);
  return std::nullopt;
}

}  // namespace marbledyke::lab::scale
