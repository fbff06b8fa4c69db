#include "keeper/program.h"

#include <signal.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

#include "config/fields.h"
#include "keeper/control_address.h"
#include "keeper/keeper.h"
#include "log/log.h"
#include "net/signals.h"

namespace marbledyke::keeper {
namespace {

void add_duration(CLI::App& app, const char* name, Duration& value, const char* description) {
  app.add_option_function<double>(
         name, [&value](const double& s) { value = Duration(static_cast<std::int64_t>(s * 1e6)); },
         std::string(description) + ", in seconds (" +
             std::to_string(static_cast<double>(value.count()) / 1e6) + ")")
      ->check(CLI::Range(0.01, 3600.0));
}

std::vector<net::Address> parse_control_nodes(const std::vector<std::string>& texts) {
  std::vector<net::Address> out;
  for (const std::string& text : texts) {
    const auto address = net::parse_address(text);
    if (!address) throw config::BadInput("--control-node: not an address: " + text);
    if (const std::string why = control_address_error(*address); !why.empty())
      throw config::BadInput("--control-node: " + text + " is " + why);
    out.push_back(*address);
  }
  return out;
}

}  // namespace

int run(int argc, char** argv, disk::Disk& disk, const TimeSource& clock) {
  CLI::App app("Supervises the gatherer of this machine: versions, ordered swaps, restarts, totals.");
  app.set_version_flag("--version", "marbledyke " MARBLEDYKE_VERSION);
  Options options;
  std::string control, log_format = "plain";
  app.add_option("--folder", options.folder,
                 "The directory for its state and versions; one keeper per directory")
      ->required();
  app.add_option("--control", control, "The address for orders: loopback, private, or unix:/PATH")
      ->required();
  app.add_option("--name", options.name, "The name of this keeper in the fleet")->required();
  app.add_option("--log", log_format, "plain or json")->check(CLI::IsMember({"plain", "json"}));
  std::vector<std::string> control_nodes;
  FleetSettingsOptions& settings = options.settings;
  app.add_option(
      "--control-node", control_nodes,
      "The address of a control node for fleet settings; repeat for each, those of this region first");
  app.add_option("--preferred-control-nodes", settings.preferred,
                 "The number of control nodes of this region")
      ->check(CLI::Range(std::size_t{1}, std::size_t{64}));
  app.add_option("--fleet", settings.fleet, "The fleet whose settings apply; with --control-node");
  app.add_option("--zone", settings.zone, "The zone of this machine; with --control-node");
  SupervisorPolicy& policy = options.policy;
  add_duration(app, "--start-limit", policy.start_timeout, "Time for a process to start serving");
  add_duration(app, "--prove", policy.proving_period,
               "A new version must be healthy for this long to be proved");
  add_duration(app, "--prove-limit", policy.proving_timeout, "Time for a new version to be proved");
  add_duration(app, "--silent-after", policy.silence_timeout,
               "A process without windows or health answers for this long is hung");
  add_duration(app, "--mute-after", policy.no_progress_timeout,
               "A process that takes multigets for this long and ends none is hung");
  add_duration(app, "--hung-limit", policy.hung_timeout, "A process that is hung for this long is killed");
  add_duration(app, "--first-wait", policy.initial_backoff,
               "The backoff before the second restart in a row; doubles with each");
  add_duration(app, "--longest-wait", policy.max_backoff, "The maximum backoff");
  add_duration(app, "--strike-fades", policy.crash_score_decay_time,
               "An uptime of this makes up for one unplanned exit");
  app.add_option("--most-strikes", policy.max_crash_score,
                 "The number of unplanned exits that count until restarts end")
      ->check(CLI::Range(2.0, 1000.0));
  CLI11_PARSE(app, argc, argv);

  sigset_t signals_handled;
  sigemptyset(&signals_handled);
  for (const int signal_number : {SIGTERM, SIGINT}) sigaddset(&signals_handled, signal_number);
  sigprocmask(SIG_BLOCK, &signals_handled, nullptr);
  signal(SIGPIPE, SIG_IGN);
  try {
    log::configure(log::Level::info, log_format == "json" ? log::Format::json : log::Format::plain,
                   options.name);
    const auto address = net::parse_address(control);
    if (!address) throw config::BadInput("--control: not an address: " + control);
    if (const std::string why = control_address_error(*address); !why.empty())
      throw config::BadInput("--control: " + control + " is " + why);
    options.control = *address;
    if (options.folder.empty() || options.folder.front() != '/')
      throw config::BadInput("--folder: not an absolute path: " + options.folder);
    settings.control_nodes = parse_control_nodes(control_nodes);
    if (!settings.control_nodes.empty() && (settings.fleet.empty() || settings.zone.empty()))
      throw config::BadInput("--control-node: needs --fleet and --zone");
    settings.preferred = std::min(settings.preferred, settings.control_nodes.size());
    net::Loop loop(clock);
    Keeper keeper(loop, disk, options);
    net::Signals signals(loop, signals_handled, [&keeper] { keeper.shut_down(); });
    log::event(log::Level::info, "keeper.serving", {{"control", control}});
    while (keeper.is_running()) loop.run_once();
    return EXIT_SUCCESS;
  } catch (const std::exception& error) {
    std::cerr << "marbledyke-keeper: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}

}  // namespace marbledyke::keeper
