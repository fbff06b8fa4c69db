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

void duration(CLI::App& app, const char* name, Duration& into, const char* what) {
  app.add_option_function<double>(
         name, [&into](const double& s) { into = Duration(static_cast<std::int64_t>(s * 1e6)); },
         std::string(what) + ", in seconds (" + std::to_string(static_cast<double>(into.count()) / 1e6) + ")")
      ->check(CLI::Range(0.01, 3600.0));
}

std::vector<net::Address> read_control_nodes(const std::vector<std::string>& stated) {
  std::vector<net::Address> out;
  for (const std::string& each : stated) {
    const auto address = net::parse_address(each);
    if (!address) throw config::BadInput("--control-node: not an address: " + each);
    if (const std::string why = control_address_error(*address); !why.empty())
      throw config::BadInput("--control-node: " + each + " is " + why);
    out.push_back(*address);
  }
  return out;
}

}  // namespace

int run(int count, char** words, disk::Disk& disk, const TimeSource& clock) {
  CLI::App app("Keeps the gatherer of this machine: versions, swaps on order, restarts, totals.");
  app.set_version_flag("--version", "marbledyke " MARBLEDYKE_VERSION);
  Options options;
  std::string control, log_form = "plain";
  app.add_option("--folder", options.folder, "Its folder; one keeper each")->required();
  app.add_option("--control", control, "Where it takes orders: loopback, a private address, unix:/PATH")
      ->required();
  app.add_option("--name", options.name, "Its name in the fleet")->required();
  app.add_option("--log", log_form, "plain or json")->check(CLI::IsMember({"plain", "json"}));
  std::vector<std::string> control_nodes;
  SettingsOptions& settings = options.settings;
  app.add_option("--control-node", control_nodes,
                 "Where a control node serves the fleet's settings; once for each, the own region's first");
  app.add_option("--preferred-control-nodes", settings.preferred, "How many of them are of the own region")
      ->check(CLI::Range(std::size_t{1}, std::size_t{64}));
  app.add_option("--fleet", settings.fleet, "Whose settings these are; with --control-node");
  app.add_option("--zone", settings.zone, "Where it stands; with --control-node");
  Policy& p = options.policy;
  duration(app, "--start-limit", p.start_limit, "A process serves within this from its begin");
  duration(app, "--prove", p.prove, "What was swapped has to be sound for so long");
  duration(app, "--prove-limit", p.prove_limit, "and within this");
  duration(app, "--silent-after", p.silent_after, "Without a word for this it hangs");
  duration(app, "--mute-after", p.mute_after, "Takes multigets for so long and ends none: it hangs");
  duration(app, "--hung-limit", p.hung_limit, "One that hangs is ended after this");
  duration(app, "--first-wait", p.first_wait, "Before the second start in a row; doubles with each");
  duration(app, "--longest-wait", p.longest_wait, "and is this at most");
  duration(app, "--strike-fades", p.strike_fades, "A life of this makes up for one end");
  app.add_option("--most-strikes", p.most_strikes, "Ends that count until it gives up")
      ->check(CLI::Range(2.0, 1000.0));
  CLI11_PARSE(app, count, words);

  sigset_t heeded;
  sigemptyset(&heeded);
  for (const int one : {SIGTERM, SIGINT}) sigaddset(&heeded, one);
  sigprocmask(SIG_BLOCK, &heeded, nullptr);
  signal(SIGPIPE, SIG_IGN);
  try {
    log::open(log::Level::info, log_form == "json" ? log::Form::json : log::Form::plain, options.name);
    const auto address = net::parse_address(control);
    if (!address) throw config::BadInput("--control: not an address: " + control);
    if (const std::string why = control_address_error(*address); !why.empty())
      throw config::BadInput("--control: " + control + " is " + why);
    options.control = *address;
    if (options.folder.empty() || options.folder.front() != '/')
      throw config::BadInput("--folder: not an absolute path: " + options.folder);
    settings.control_nodes = read_control_nodes(control_nodes);
    if (!settings.control_nodes.empty() && (settings.fleet.empty() || settings.zone.empty()))
      throw config::BadInput("--control-node: needs --fleet and --zone");
    settings.preferred = std::min(settings.preferred, settings.control_nodes.size());
    net::Loop loop(clock);
    Keeper keeper(loop, disk, options);
    net::Signals signals(loop, heeded, [&keeper] { keeper.leave(); });
    log::event(log::Level::info, "keeper.serving", {{"control", control}});
    while (keeper.running()) loop.gather();
    return EXIT_SUCCESS;
  } catch (const std::exception& wrong) {
    std::cerr << "marbledyke-keeper: " << wrong.what() << '\n';
    return EXIT_FAILURE;
  }
}

}  // namespace marbledyke::keeper
