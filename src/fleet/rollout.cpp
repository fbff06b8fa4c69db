#include "fleet/rollout.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <system_error>

#include "config/fields.h"

namespace marbledyke::fleet {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using rollout::Action;
using rollout::State;

constexpr Duration kPollInterval = 1s;
constexpr Duration kCallTimeout = 2s;
// At its start the runner waits this long for answers of all keepers.
constexpr Duration kDiscoveryTime = 5s;
// A changed process that has reported no window for this long is taken as failed.
constexpr std::int64_t kMissingWindowsMs = 15'000;
// Windows count as missing only if a request for them was answered within this time.
constexpr Duration kWindowsFreshFor = 3s;
constexpr std::size_t kMaxStateBytes = 4 * 1024 * 1024;

std::string state_file(const std::string& folder) { return folder + "/rollout"; }

}  // namespace

RolloutRunner::RolloutRunner(net::Loop& loop, disk::Disk& disk, const Fleet& fleet, const rollout::Plan& plan,
                             const std::string& folder)
    : loop_(loop),
      disk_(disk),
      fleet_(fleet),
      plan_(plan),
      folder_(folder),
      members_([&] {
        std::vector<rollout::Member> out;
        for (const KeeperEntry& keeper : fleet.keepers)
          out.push_back({keeper.name, keeper.zone, keeper.groups});
        return out;
      }()),
      aggregator_(plan, members_),
      client_(loop) {
  disk_.make_directory(folder_);
  lock_ = net::Descriptor(open((folder_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock_ || flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
    throw config::BadInput(folder_ + ": in use by another controller");
  if (const auto text = disk_.read_file(state_file(folder_), kMaxStateBytes)) {
    const json before = config::parse(*text);
    const rollout::SavedState saved = rollout::read_saved_state(config::object(before, "kept"));
    const bool over =
        saved.state == State::done || saved.state == State::returned || saved.state == State::refused;
    if (before.value("plan", "") == plan_.name) {
      saved_ = saved;
      resumed_ = true;
    } else if (!over) {
      throw config::BadInput(folder_ + ": " + before.value("plan", "") +
                             " is not over in this directory: " + rollout::name_of(saved.state));
    }
  }
  loop_.read_clock();
  started_at_ = loop_.now();
  poll();
}

RolloutRunner::~RolloutRunner() { loop_.cancel(poll_timer_); }

void RolloutRunner::poll() {
  const std::int64_t now_ms = loop_.clock().wall() / 1ms;
  for (const KeeperEntry& keeper : fleet_.keepers) poll_keeper(keeper);
  start_when_epochs_known();
  if (controller_ != nullptr) {
    read_command();
    aggregator_.advance(now_ms);
    controller_->on_tick(loop_.now(), loop_.clock().wall());
    evaluate();
    carry_out_actions();
  }
  poll_timer_ = loop_.call_at(loop_.now() + kPollInterval, [this] { poll(); });
}

void RolloutRunner::poll_keeper(const KeeperEntry& keeper) {
  KeeperProgress& progress = progress_[keeper.name];
  if (std::exchange(progress.status_pending, true)) return;
  client_.call(keeper.control, "GET", "/status", "", kCallTimeout,
               [this, &keeper](const HttpResponse& response) {
                 progress_[keeper.name].status_pending = false;
                 if (response.status != 200 || !response.body.is_object()) return;
                 try {
                   on_status(keeper, response.body);
                 } catch (const std::exception& error) {
                   append_history(keeper.name + ": malformed status: " + error.what());
                 }
               });
  client_.call(keeper.control, "GET", "/windows?from_ms=" + std::to_string(progress.windows_from), "",
               kCallTimeout, [this, &keeper](const HttpResponse& response) {
                 if (response.status != 200 || !response.body.is_object()) return;
                 progress_[keeper.name].windows_received = loop_.now();
                 try {
                   on_windows(keeper.name, response.body);
                 } catch (const std::exception& error) {
                   append_history(keeper.name + ": malformed windows: " + error.what());
                 }
               });
}

void RolloutRunner::on_status(const KeeperEntry& keeper, const json& status) {
  KeeperProgress& progress = progress_[keeper.name];
  const json order = status.value("order", json::object());
  progress.epoch = order.value("epoch", std::uint64_t{0});
  rollout::KeeperReport report;
  report.active_version = status.value("in_force", "");
  report.keeper_started_ms = status.value("keeper", json::object()).value("since_ms", std::int64_t{0});
  report.previous_version = status.value("former", "");
  report.outcome = status.value("outcome", "");
  report.reason = status.value("why", "");
  report.order_epoch = progress.epoch;
  report.order_number = order.value("number", std::uint64_t{0});
  report.gave_up = status.value("gave_up", false);
  report.process_exits = status.value("ends", std::uint64_t{0});
  if (order.value("order", "") == "try" && order.value("version", "") == plan_.version) {
    if (report.outcome == "done") report.verification = rollout::KeeperReport::Verification::passed;
    if (report.outcome == "refused") report.verification = rollout::KeeperReport::Verification::failed;
  }
  for (const json& version : status.value("versions", json::array()))
    report.has_version = report.has_version || version.value("id", "") == plan_.version;
  for (const json& one : status.value("processes", json::array())) {
    if (!one.value("leads", false)) continue;
    report.is_serving = one.value("life", "") == "serving" && one.value("healthy", false);
    report.broken_invariants = one.value("broken_invariants", std::uint64_t{0});
    aggregator_.on_resource_usage(keeper.name, one.value("since_ms", std::int64_t{0}),
                                  loop_.clock().wall() / 1ms, one.value("cpu_s", 0.0),
                                  one.value("rss_bytes", 0.0));
  }
  if (controller_ == nullptr) return;
  const bool was_changed = controller_->changed_keepers().contains(keeper.name);
  controller_->on_report(keeper.name, report);
  const bool is_changed = controller_->changed_keepers().contains(keeper.name);
  if (is_changed && !was_changed) progress.exits_at_change = report.process_exits;
  // Faults that need no statistics.
  rollout::Judge* const judge = aggregator_.judge();
  if (!is_changed || judge == nullptr) return;
  if (report.broken_invariants > 0) judge->stop_immediately(keeper.name + ": an invariant is broken");
  if (report.process_exits > progress.exits_at_change)
    judge->stop_immediately(keeper.name + ": its process exited unexpectedly");
  // Windows that could not be fetched are not missing.
  const bool fetched =
      progress.windows_received && loop_.now() - *progress.windows_received < kWindowsFreshFor;
  const std::int64_t newest = aggregator_.newest_window_ms(keeper.name);
  if (fetched && newest > 0 && loop_.clock().wall() / 1ms - newest > kMissingWindowsMs)
    judge->stop_immediately(keeper.name + ": no windows are reported any more");
}

void RolloutRunner::on_windows(const std::string& keeper, const json& windows) {
  KeeperProgress& progress = progress_[keeper];
  const std::int64_t ahead = windows.value("wall_ms", std::int64_t{0}) - loop_.clock().wall() / 1ms;
  for (const json& one : config::array(windows, "windows")) {
    const totals::Window window = totals::parse_window(one);
    aggregator_.on_window(keeper, one.value("version", ""), one.value("since_ms", std::int64_t{0}), ahead,
                          window);
    // Recent seconds are asked for again, since the process may still add late totals to them.
    progress.windows_from = std::max(progress.windows_from, window.start_ms - 3000);
  }
}

void RolloutRunner::start_when_epochs_known() {
  if (controller_ != nullptr || loop_.now() - started_at_ < kDiscoveryTime) return;
  std::uint64_t epoch = saved_.epoch;
  for (const auto& [name, progress] : progress_) epoch = std::max(epoch, progress.epoch);
  controller_ = std::make_unique<rollout::Controller>(plan_, members_, saved_, epoch + 1, loop_.now(),
                                                      loop_.clock().wall());
  append_history(std::string(resumed_ ? "taken over, epoch " : "begun, epoch ") + std::to_string(epoch + 1));
  baseline_from_ms_ = loop_.clock().wall() / 1ms;
  controller_->start();
  carry_out_actions();
}

void RolloutRunner::evaluate() {
  const State state = controller_->state();
  if (state == State::watching) baseline_until_ms_ = loop_.clock().wall() / 1ms;
  if (state == State::swapping && swapping_since_ms_ == 0) swapping_since_ms_ = loop_.clock().wall() / 1ms;
  if (state != State::swapping && state != State::paused) swapping_since_ms_ = 0;
  // A successor has no baseline: the stage soaks again, and the two sides are compared only with each other.
  if ((state == State::soaking || state == State::paused) && aggregator_.judge() == nullptr &&
      controller_->saved().stage >= 0) {
    std::set<std::string> changed;
    for (const auto& [name, when] : controller_->changed_keepers()) changed.insert(name);
    aggregator_.start_comparison(changed, 0, 0, loop_.clock().wall() / 1ms);
  }
  if (aggregator_.judge() == nullptr) return;
  const rollout::Finding finding = aggregator_.judge()->evaluate(controller_->is_soak_over());
  finding_ =
      std::string(rollout::name_of(finding.verdict)) +
      (finding.description.empty() ? "" : ": " + finding.description) +
      (finding.more_seconds ? "; about " + std::to_string(*finding.more_seconds) + " s more at this rate"
                            : "");
  if (controller_->saved().stage >= 0) controller_->on_finding(finding);
}

void RolloutRunner::carry_out_actions() {
  while (const auto action = controller_->next_action()) {
    switch (action->kind) {
      case Action::Kind::save_state:
        write_state();
        break;
      case Action::Kind::log:
        append_history(action->reason);
        break;
      case Action::Kind::take:
        send_order(*action, {{"order", "take"}, {"version", action->version}, {"from", plan_.source_folder}});
        break;
      case Action::Kind::verify:
        send_order(*action, {{"order", "try"}, {"version", action->version}});
        break;
      case Action::Kind::use: {
        // The trial outlasts any wait; a keeper that receives no confirmation until then rolls back by
        // itself.
        Duration trial = plan_.swap_timeout + plan_.burn_in + plan_.max_wait;
        for (const rollout::StagePlan& stage : plan_.stages)
          trial = std::max(trial, plan_.swap_timeout + plan_.burn_in + plan_.max_wait + stage.soak);
        send_order(*action, {{"order", "use"},
                             {"version", action->version},
                             {"trial_ms", trial / 1ms},
                             {"if_in_force", controller_->saved().previous_versions.at(action->keeper)}});
        break;
      }
      case Action::Kind::confirm:
        send_order(*action, {{"order", "confirm"}});
        break;
      case Action::Kind::roll_back:
        send_order(*action, {{"order", "use"}, {"version", action->version}});
        break;
      case Action::Kind::start_comparison: {
        std::set<std::string> changed;
        for (const auto& [name, when] : controller_->changed_keepers()) changed.insert(name);
        // A successor did not record the time before the first change. Its baseline is the time right before
        // this stage, whose windows the keepers still have.
        const bool has_baseline = baseline_until_ms_ > 0;
        const std::int64_t until = has_baseline ? baseline_until_ms_ : swapping_since_ms_;
        aggregator_.start_comparison(changed,
                                     has_baseline ? baseline_from_ms_ : until - plan_.baseline_time / 1ms,
                                     until, loop_.clock().wall() / 1ms);
        break;
      }
    }
  }
  write_state();
}

void RolloutRunner::send_order(const Action& action, json order) {
  const std::string name = action.keeper;
  const KeeperEntry* const keeper = fleet_.find(name);
  order["epoch"] = controller_->saved().epoch;
  order["number"] = action.number;
  // An order that is delayed for longer than this has no effect.
  order["not_after_ms"] = loop_.clock().wall() / 1ms + 60'000;
  pending_orders_ += 1;
  const std::string kind = order["order"];
  client_.call(keeper->control, "POST", "/order", order.dump(), kCallTimeout,
               [this, name, kind](const HttpResponse& response) {
                 pending_orders_ -= 1;
                 append_history(name + ": " + kind + ": " +
                                (response.status == 0 ? response.error
                                 : response.body.is_object()
                                     ? response.body.value("verdict", response.body.value("error", ""))
                                     : ""));
               });
}

void RolloutRunner::read_command() {
  const std::string path = folder_ + "/told";
  const auto command = disk_.read_file(path, 100);
  if (!command) return;
  disk_.remove_all(path);
  const std::string name = command->substr(0, command->find('\n'));
  append_history("told: " + name);
  if (name == "pause") controller_->pause();
  if (name == "resume") controller_->resume();
  if (name == "back") controller_->roll_back("by hand");
}

void RolloutRunner::write_state() {
  json lines = json::array();
  if (aggregator_.judge() != nullptr) {
    for (const rollout::Judge::Comparison& line : aggregator_.judge()->comparisons())
      lines.push_back({{"op_type", line.stratum.op_type},
                       {"zone", line.stratum.zone},
                       {"measure", rollout::name_of(line.measure)},
                       {"worse_by", line.difference},
                       {"against", line.worse_ratio},
                       {"for", line.sound_ratio},
                       {"blocks", line.blocks}});
  }
  const json out = {{"plan", plan_.name},
                    {"version", plan_.version},
                    {"wall_ms", loop_.clock().wall() / 1ms},
                    {"kept", rollout::to_json(controller_->saved())},
                    {"finding", finding_},
                    {"impossible", controller_->impossible_events()},
                    {"compared", std::move(lines)}};
  try {
    disk_.replace_file(state_file(folder_), out.dump() + "\n", 0600);
    state_write_failed_ = false;
  } catch (const disk::DiskError& error) {
    if (!std::exchange(state_write_failed_, true)) std::cerr << "marbledyke-fleet: " << error.what() << '\n';
  }
}

void RolloutRunner::append_history(const std::string& line) {
  const std::int64_t ms = loop_.clock().wall() / 1ms;
  char when[32];
  std::snprintf(when, sizeof when, "%lld.%03lld ", static_cast<long long>(ms / 1000),
                static_cast<long long>(ms % 1000));
  std::ofstream(folder_ + "/history", std::ios::app) << when << plan_.name << ": " << line << '\n';
  std::cout << when << line << std::endl;
}

namespace {

std::vector<rollout::Member> members_of(const Fleet& fleet) {
  std::vector<rollout::Member> out;
  for (const KeeperEntry& keeper : fleet.keepers) out.push_back({keeper.name, keeper.zone, keeper.groups});
  return out;
}

bool print_plan_errors(const Fleet& fleet, const rollout::Plan& plan) {
  const std::vector<std::string> why = rollout::plan_errors(plan, members_of(fleet));
  for (const std::string& one : why) std::cerr << plan.name << ": " << one << '\n';
  return !why.empty();
}

}  // namespace

int rollout_plan(const Fleet& fleet, const rollout::Plan& plan) {
  const auto stages = rollout::stages_of(plan, members_of(fleet));
  Duration least = plan.baseline_time;
  for (std::size_t i = 0; i < stages.size(); ++i) {
    const auto rounds =
        static_cast<std::int64_t>((stages[i].size() + static_cast<std::size_t>(plan.max_concurrent) - 1) /
                                  static_cast<std::size_t>(plan.max_concurrent));
    const Duration time = plan.burn_in + plan.stages[i].soak + rounds * Duration(5s);
    least += time;
    std::cout << plan.stages[i].name << ": " << stages[i].size() << " keepers, " << plan.max_concurrent
              << " at a time, about " << time / 1s << " s:";
    for (const std::string& name : stages[i]) std::cout << ' ' << name;
    std::cout << '\n';
  }
  std::cout << "in total at least " << least / 1s << " s; a sound change is stopped in "
            << plan.limits.false_stop_probability * 100 << "% of rollouts at most\n";
  return print_plan_errors(fleet, plan) ? 1 : 0;
}

int rollout_start(const Fleet& fleet, const rollout::Plan& plan, const std::string& folder) {
  if (print_plan_errors(fleet, plan)) return 1;
  disk::LocalDisk disk;
  net::Loop loop;
  try {
    RolloutRunner rollout(loop, disk, fleet, plan, folder);
    while (!rollout.is_over()) loop.run_once();
    const rollout::SavedState& saved = rollout.controller()->saved();
    std::cout << rollout::name_of(saved.state) << (saved.reason.empty() ? "" : ": " + saved.reason) << '\n';
    return saved.state == State::done ? 0 : saved.state == State::held ? 3 : 1;
  } catch (const std::exception& error) {
    std::cerr << "marbledyke-fleet: " << error.what() << '\n';
    return 2;
  }
}

int rollout_status(const std::string& folder, bool as_json) {
  disk::LocalDisk disk;
  try {
    const auto text = disk.read_file(state_file(folder), kMaxStateBytes);
    if (!text) {
      std::cerr << "marbledyke-fleet: " << folder << ": no rollout in this directory\n";
      return 2;
    }
    const json state = config::parse(*text);
    if (as_json) {
      std::cout << state.dump(1) << '\n';
      return 0;
    }
    const rollout::SavedState saved = rollout::read_saved_state(config::object(state, "kept"));
    const std::int64_t now = system_time_source().wall() / 1ms;
    std::cout << state.value("plan", "") << ": " << rollout::name_of(saved.state) << ", stage "
              << saved.stage + 1 << ", for " << (now - saved.since_ms) / 1000 << " s"
              << (saved.reason.empty() ? "" : "; " + saved.reason) << '\n'
              << "judge: " << state.value("finding", "") << '\n';
    if (now - state.value("wall_ms", now) > 10'000)
      std::cout << "no controller is running: the state is " << (now - state.value("wall_ms", now)) / 1000
                << " s old\n";
    for (const auto& [name, at] : saved.keepers)
      std::cout << "  " << name << ": " << rollout::name_of(at) << '\n';
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "marbledyke-fleet: " << error.what() << '\n';
    return 2;
  }
}

int rollout_command(const std::string& folder, const std::string& command) {
  disk::LocalDisk disk;
  try {
    disk.replace_file(folder + "/told", command + "\n", 0600);
    std::cout << "told\n";
    return 0;
  } catch (const disk::DiskError& error) {
    std::cerr << "marbledyke-fleet: " << error.what() << '\n';
    return 2;
  }
}

int rollout_history(const std::string& folder) {
  std::ifstream in(folder + "/history");
  if (!in) {
    std::cerr << "marbledyke-fleet: " << folder << ": no history in this directory\n";
    return 2;
  }
  std::cout << in.rdbuf();
  return 0;
}

}  // namespace marbledyke::fleet
