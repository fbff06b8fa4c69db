// marbledyke-fleet: the operators' tool for a fleet: status of its keepers, single orders, settings and
// rollouts. docs/fleet.md describes it for operators.
#include <ncurses.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>

#include "config/fields.h"
#include "fleet/configuration.h"
#include "fleet/fleet_file.h"
#include "fleet/http_client.h"
#include "fleet/rollout.h"
#include "fleet/view.h"
#include "keeper/orders.h"
#include "rollout/plan_file.h"

namespace {

using namespace marbledyke;
using namespace std::chrono_literals;
using fleet::Fleet;
using nlohmann::json;

constexpr Duration kCallTimeout = 2s;

std::int64_t now_ms() { return system_time_source().wall() / 1ms; }

std::optional<Fleet> read(const std::string& file) {
  const fleet::FleetResult result = fleet::read_fleet_file(file);
  for (const config::FileError& fault : result.faults) std::cerr << config::format_error(file, fault) << '\n';
  return result.fleet;
}

// Requests the status of every keeper once; runs the loop until all have answered or timed out.
void poll_all(net::Loop& loop, const Fleet& fleet, fleet::FleetView& view) {
  fleet::HttpClient client(loop);
  loop.read_clock();
  for (const fleet::KeeperEntry& keeper : fleet.keepers) {
    client.call(keeper.control, "GET", "/status", "", kCallTimeout,
                [&view, &keeper](const fleet::HttpResponse& response) {
                  if (response.status == 200 && response.body.is_object()) {
                    view.on_status(keeper.name, response.body, now_ms());
                  } else {
                    view.on_unreachable(
                        keeper.name,
                        response.status != 0 ? "status " + std::to_string(response.status) : response.error,
                        now_ms());
                  }
                });
  }
  while (client.pending_calls() > 0) loop.run_once();
  loop.call_at(loop.now(), [] {});
  loop.run_once();  // the last callback runs in a turn of its own
}

// Restores the observations of an earlier run from a file, so that ages go back beyond this run.
void load_observations(const std::string& file, const Fleet& fleet, fleet::FleetView& view) {
  if (file.empty()) return;
  std::ifstream in(file);
  const json before = json::parse(in, nullptr, false);
  if (!before.is_object() || !before.contains("keepers")) return;
  for (const json& one : before["keepers"]) {
    const std::string name = one.value("name", "");
    if (fleet.find(name) == nullptr) continue;
    if (one.contains("status") && one.value("answered_ms", std::int64_t{0}) > 0)
      view.on_status(name, one["status"],
                     one.value("reachable", false) ? one.value("since_ms", std::int64_t{0})
                                                   : one.value("answered_ms", std::int64_t{0}));
    if (!one.value("reachable", false))
      view.on_unreachable(name, one.value("why", ""), one.value("since_ms", std::int64_t{0}));
  }
}

int status(const Fleet& fleet, bool as_json, const std::string& seen) {
  net::Loop loop;
  fleet::FleetView view(fleet);
  load_observations(seen, fleet, view);
  poll_all(loop, fleet, view);
  if (!seen.empty()) {
    std::ofstream(seen + ".new") << view.to_json(now_ms()).dump() << '\n';
    std::rename((seen + ".new").c_str(), seen.c_str());
  }
  if (as_json) {
    std::cout << view.to_json(now_ms()).dump(1) << '\n';
  } else {
    for (const std::string& line : view.table(now_ms())) std::cout << line << '\n';
  }
  return view.exit_status();
}

int watch(const Fleet& fleet, double every) {
  net::Loop loop;
  fleet::FleetView view(fleet);
  if (isatty(STDOUT_FILENO) == 0) {
    std::cerr << "marbledyke-fleet: watch needs a terminal; use status\n";
    return 2;
  }
  initscr();
  cbreak();
  noecho();
  curs_set(0);
  keypad(stdscr, TRUE);
  std::size_t from = 0;
  for (bool on = true; on;) {
    poll_all(loop, fleet, view);
    const Duration until = loop.now() + Duration(static_cast<std::int64_t>(every * 1e6));
    while (on && loop.now() < until) {
      const std::vector<std::string> lines = view.table(now_ms(), static_cast<std::size_t>(COLS));
      const auto room = static_cast<std::size_t>(std::max(LINES - 3, 1));
      from = std::min(from, lines.size() > room + 1 ? lines.size() - room - 1 : 0);
      erase();
      attron(A_BOLD);
      mvaddstr(0, 0, lines.front().c_str());
      attroff(A_BOLD);
      for (std::size_t i = 0; i < room && 1 + from + i + 1 < lines.size(); ++i) {
        const std::string& line = lines[1 + from + i];
        const bool bad =
            line.find("UNREACHABLE") != std::string::npos || line.find("given up") != std::string::npos;
        if (bad) attron(A_REVERSE);
        mvaddstr(static_cast<int>(1 + i), 0, line.c_str());
        if (bad) attroff(A_REVERSE);
      }
      mvaddstr(LINES - 2, 0, lines.back().c_str());
      mvaddstr(LINES - 1, 0, "q ends, arrows scroll");
      refresh();
      timeout(200);
      const int key = getch();
      if (key == 'q') on = false;
      if (key == KEY_DOWN) ++from;
      if (key == KEY_UP && from > 0) --from;
      loop.read_clock();
    }
  }
  endwin();
  return view.exit_status();
}

// Sends one order to one keeper. Unless the order states them, its epoch and number follow those of the last
// order that the keeper took. Returns the exit status of the process.
int order(const Fleet& fleet, const std::string& name, json order) {
  const fleet::KeeperEntry* const keeper = fleet.find(name);
  if (keeper == nullptr) {
    std::cerr << "marbledyke-fleet: there is no keeper " << name << '\n';
    return 2;
  }
  net::Loop loop;
  loop.read_clock();
  fleet::HttpClient client(loop);
  const auto ask = [&](const char* method, const char* target, const std::string& body) {
    std::optional<fleet::HttpResponse> out;
    client.call(keeper->control, method, target, body, kCallTimeout,
                [&out](const fleet::HttpResponse& response) { out = response; });
    while (!out) loop.run_once();
    return *out;
  };
  if (!order.contains("number")) {
    const fleet::HttpResponse present = ask("GET", "/status", "");
    if (present.status != 200) {
      std::cerr << "marbledyke-fleet: " << name << ": " << present.error << '\n';
      return 2;
    }
    const json last = present.body.value("order", json::object());
    const auto epoch = last.value("epoch", std::uint64_t{0});
    if (!order.contains("epoch")) order["epoch"] = epoch;
    order["number"] = order["epoch"] == epoch ? last.value("number", std::uint64_t{0}) + 1 : 1;
  }
  const fleet::HttpResponse response = ask("POST", "/order", order.dump());
  if (response.status == 0 || !response.body.is_object()) {
    std::cerr << "marbledyke-fleet: " << name << ": " << response.error
              << "; the order may have been taken: repeat it with --epoch " << order["epoch"] << " --number "
              << order["number"] << '\n';
    return 2;
  }
  std::cout << response.body.value("verdict", response.body.value("error", "")) << ", "
            << response.body.value("outcome", "") << '\n';
  return response.status < 300 ? 0 : 1;
}

// The subcommands of `configuration` and their options.
struct ConfigurationCommands {
  CLI::App *group = nullptr, *put = nullptr, *status = nullptr, *complete = nullptr;
  std::string file;
  fleet::ChangeRequest request;
  std::int64_t after = -1;
  double wait_seconds = 0;
  bool as_json = false;
};

template <typename WithFile>
void add_configuration(CLI::App& app, const WithFile& with_fleet_file, ConfigurationCommands& out) {
  out.group = app.add_subcommand("configuration", "The settings that all gatherers of the fleet run");
  out.group->require_subcommand(1);
  out.put = with_fleet_file(out.group->add_subcommand(
      "put", "Bring a change to agreement; 0: agreed, 1: conflict or refused, 2: no majority, 4: unknown"));
  out.put->add_option("SETTINGS", out.file, "The whole document (JSON)")->required();
  out.put
      ->add_option("--after", out.after,
                   "The revision that the change follows; refused if there is a newer one")
      ->check(CLI::NonNegativeNumber);
  out.put->add_option("--share", out.request.share, "Share of the gatherers that the change is meant for")
      ->check(CLI::Range(0.0001, 1.0));
  out.put->add_option("--author", out.request.author, "Author of the change; $USER otherwise");
  out.put->add_option("--wait", out.wait_seconds, "Seconds to wait until it is in force everywhere")
      ->check(CLI::Range(0.0, 3600.0));
  out.status =
      with_fleet_file(out.group->add_subcommand("status", "Which keepers run or refuse which revision"));
  out.status->add_flag("--json", out.as_json, "As JSON");
  out.complete = with_fleet_file(
      out.group->add_subcommand("complete", "Finish a change that was accepted but not agreed"));
  with_fleet_file(out.group->add_subcommand("show", "The newest revision in full"));
}

int run_configuration(const Fleet& fleet, ConfigurationCommands& arguments) {
  if (*arguments.status) return fleet::configuration_status(fleet, arguments.as_json);
  if (*arguments.complete) return fleet::configuration_complete(fleet);
  if (!*arguments.put) return fleet::configuration_show(fleet);
  std::ifstream in(arguments.file);
  arguments.request.document.assign(std::istreambuf_iterator<char>(in), {});
  if (!in) {
    std::cout << "refused: " << arguments.file << ": cannot be read" << std::endl;
    return fleet::kExitConflict;
  }
  if (arguments.after >= 0) arguments.request.after = arguments.after;
  arguments.request.wait = Duration(static_cast<std::int64_t>(arguments.wait_seconds * 1e6));
  return fleet::configuration_put(fleet, arguments.request);
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("Shows and changes what runs on a fleet's keepers.");
  app.set_version_flag("--version", "marbledyke " MARBLEDYKE_VERSION);
  app.require_subcommand(1);
  std::string file, seen, name, kind, version, from;
  bool as_json = false;
  double every = 1;
  std::int64_t epoch = -1, number = -1;
  double trial = 0;
  const auto with_fleet_file = [&](CLI::App* command) {
    command->add_option("FLEET", file, "The fleet's file (XML, deploy/fleet.xsd)")->required();
    return command;
  };
  CLI::App* const check_command = with_fleet_file(app.add_subcommand("check", "Check a fleet's file"));
  CLI::App* const status_command =
      with_fleet_file(app.add_subcommand("status", "A table of the keepers: version, state and performance"));
  status_command->add_flag("--json", as_json, "The full status of all keepers, as JSON");
  status_command->add_option("--seen", seen, "A file that keeps the observations between runs, for ages");
  CLI::App* const watch_command =
      with_fleet_file(app.add_subcommand("watch", "The table, updated in this terminal"));
  watch_command->add_option("--every", every, "Seconds between two updates")->check(CLI::Range(0.2, 3600.0));
  CLI::App* const order_command =
      with_fleet_file(app.add_subcommand("order", "Send one order to one keeper"));
  order_command->add_option("KEEPER", name)->required();
  order_command->add_option("ORDER", kind, "use, run, stop, confirm, take, drop or try")->required();
  order_command->add_option("VERSION", version, "of use, take, drop and try");
  order_command->add_option("--from", from, "take: the folder on that machine to copy the version from");
  order_command->add_option("--trial", trial, "use: rolled back unless confirmed within this many seconds");
  order_command->add_option("--epoch", epoch, "of the order; that of the last order otherwise");
  order_command->add_option("--number", number, "of the order, to repeat one");
  CLI::App* const rollout =
      app.add_subcommand("rollout", "A rollout in stages, with comparison of old and new");
  rollout->require_subcommand(1);
  std::string plan_file, folder;
  const auto with_plan = [&](CLI::App* command) {
    with_fleet_file(command)->add_option("PLAN", plan_file, "The plan (XML, deploy/rollout.xsd)")->required();
    return command;
  };
  const auto with_folder = [&](CLI::App* command) {
    command->add_option("--folder", folder, "Directory of the rollout's state")->required();
    return command;
  };
  CLI::App* const plan_command = with_plan(
      rollout->add_subcommand("plan", "Print which keepers each stage changes, and how long it takes"));
  CLI::App* const start_command = with_folder(with_plan(rollout->add_subcommand(
      "start", "Run or resume the rollout until it is over; 0: done, 1: rolled back, 3: held")));
  CLI::App* const rollout_status_command =
      with_folder(rollout->add_subcommand("status", "The state of the rollout"));
  rollout_status_command->add_flag("--json", as_json, "The state with all comparisons, as JSON");
  CLI::App* const pause_command =
      with_folder(rollout->add_subcommand("pause", "Make no further step; the comparison goes on"));
  CLI::App* const resume_command = with_folder(rollout->add_subcommand("resume", "Resume after a pause"));
  CLI::App* const back_command =
      with_folder(rollout->add_subcommand("back", "Roll back all changed keepers"));
  CLI::App* const history_command =
      with_folder(rollout->add_subcommand("history", "Every step and order with its time"));
  ConfigurationCommands settings;
  add_configuration(app, with_fleet_file, settings);
  CLI11_PARSE(app, count, arguments);

  if (*rollout_status_command) return fleet::rollout_status(folder, as_json);
  if (*pause_command) return fleet::rollout_command(folder, "pause");
  if (*resume_command) return fleet::rollout_command(folder, "resume");
  if (*back_command) return fleet::rollout_command(folder, "back");
  if (*history_command) return fleet::rollout_history(folder);
  const std::optional<Fleet> fleet = read(file);
  if (!fleet) return 1;
  if (*check_command) {
    std::cout << file << ": good, " << fleet->keepers.size() << " keepers in " << fleet->zones.size()
              << " zones\n";
    return 0;
  }
  if (*settings.group) return run_configuration(*fleet, settings);
  if (*plan_command || *start_command) {
    const rollout::PlanResult plan = rollout::read_plan_file(plan_file);
    for (const config::FileError& fault : plan.faults)
      std::cerr << config::format_error(plan_file, fault) << '\n';
    if (!plan.plan) return 1;
    return *plan_command ? fleet::rollout_plan(*fleet, *plan.plan)
                         : fleet::rollout_start(*fleet, *plan.plan, folder);
  }
  if (*status_command) return status(*fleet, as_json, seen);
  if (*watch_command) return watch(*fleet, every);
  json what = {{"order", kind}};
  if (!version.empty()) what["version"] = version;
  if (!from.empty()) what["from"] = from;
  if (trial > 0) what["trial_ms"] = static_cast<std::int64_t>(trial * 1000);
  if (epoch >= 0) what["epoch"] = epoch;
  if (number >= 0) what["number"] = number;
  if (number >= 0 && epoch < 0) {
    std::cerr << "marbledyke-fleet: --number needs --epoch\n";
    return 2;
  }
  return order(*fleet, name, what);
}
