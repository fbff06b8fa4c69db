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

constexpr Duration kBeat = 1s;
constexpr Duration kLimit = 2s;
constexpr Duration kKnown = 5s;             // at its start it hears whoever can be heard for so long
constexpr std::int64_t kSilentMs = 15'000;  // a changed process that tells no window for so long
constexpr Duration kFetched = 3s;           // its windows were fetched within this
constexpr std::size_t kMostState = 4 * 1024 * 1024;

std::string state_file(const std::string& folder) { return folder + "/rollout"; }

}  // namespace

Rollout::Rollout(net::Loop& loop, disk::Disk& disk, const Fleet& fleet, const rollout::Plan& plan,
                 const std::string& folder)
    : loop_(loop),
      disk_(disk),
      fleet_(fleet),
      plan_(plan),
      folder_(folder),
      members_([&] {
        std::vector<rollout::Member> out;
        for (const KeeperAt& keeper : fleet.keepers) out.push_back({keeper.name, keeper.zone, keeper.groups});
        return out;
      }()),
      aggregator_(plan, members_),
      client_(loop) {
  disk_.make_directory(folder_);
  lock_ = net::Descriptor(open((folder_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock_ || flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
    throw config::BadInput(folder_ + ": another conductor has it");
  if (const auto text = disk_.read_file(state_file(folder_), kMostState)) {
    const json before = config::parse(*text);
    const rollout::SavedState saved = rollout::read_saved_state(config::object(before, "kept"));
    const bool over =
        saved.state == State::done || saved.state == State::returned || saved.state == State::refused;
    if (before.value("plan", "") == plan_.name) {
      saved_ = saved;
      found_ = true;
    } else if (!over) {
      throw config::BadInput(folder_ + ": " + before.value("plan", "") +
                             " is not over there: " + rollout::name_of(saved.state));
    }
  }
  loop_.read_clock();
  begun_ = loop_.now();
  beat();
}

Rollout::~Rollout() { loop_.cancel(beat_); }

void Rollout::beat() {
  const std::int64_t now_ms = loop_.clock().wall() / 1ms;
  for (const KeeperAt& keeper : fleet_.keepers) ask(keeper);
  begin_when_known();
  if (controller_ != nullptr) {
    heed();
    aggregator_.advance(now_ms);
    controller_->on_tick(loop_.now(), loop_.clock().wall());
    judge();
    carry_out();
  }
  beat_ = loop_.at(loop_.now() + kBeat, [this] { beat(); });
}

// ---- what keepers say ----

void Rollout::ask(const KeeperAt& keeper) {
  Seen& seen = seen_[keeper.name];
  if (std::exchange(seen.asking, true)) return;
  client_.call(keeper.control, "GET", "/status", "", kLimit, [this, &keeper](const HttpResponse& response) {
    seen_[keeper.name].asking = false;
    if (response.status != 200 || !response.body.is_object()) return;
    try {
      status_came(keeper, response.body);
    } catch (const std::exception& wrong) {
      remember(keeper.name + ": its status cannot be read: " + wrong.what());
    }
  });
  client_.call(keeper.control, "GET", "/windows?from_ms=" + std::to_string(seen.windows_from), "", kLimit,
               [this, &keeper](const HttpResponse& response) {
                 if (response.status != 200 || !response.body.is_object()) return;
                 seen_[keeper.name].windows_heard = loop_.now();
                 try {
                   windows_came(keeper.name, response.body);
                 } catch (const std::exception& wrong) {
                   remember(keeper.name + ": its windows cannot be read: " + wrong.what());
                 }
               });
}

void Rollout::status_came(const KeeperAt& keeper, const json& status) {
  Seen& seen = seen_[keeper.name];
  const json order = status.value("order", json::object());
  seen.epoch = order.value("epoch", std::uint64_t{0});
  rollout::KeeperReport report;
  report.active_version = status.value("in_force", "");
  report.keeper_started_ms = status.value("keeper", json::object()).value("since_ms", std::int64_t{0});
  report.previous_version = status.value("former", "");
  report.outcome = status.value("outcome", "");
  report.reason = status.value("why", "");
  report.order_epoch = seen.epoch;
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
  const bool was = controller_->changed_keepers().contains(keeper.name);
  controller_->on_report(keeper.name, report);
  const bool is = controller_->changed_keepers().contains(keeper.name);
  if (is && !was) seen.ends_at_change = report.process_exits;
  // What needs no statistics.
  rollout::Judge* const judge = aggregator_.judge();
  if (!is || judge == nullptr) return;
  if (report.broken_invariants > 0) judge->stop_immediately(keeper.name + ": a broken invariant");
  if (report.process_exits > seen.ends_at_change)
    judge->stop_immediately(keeper.name + ": its process ended by itself");
  // What could not be fetched is not what was not told.
  const bool fetched = seen.windows_heard && loop_.now() - *seen.windows_heard < kFetched;
  const std::int64_t newest = aggregator_.newest_window_ms(keeper.name);
  if (fetched && newest > 0 && loop_.clock().wall() / 1ms - newest > kSilentMs)
    judge->stop_immediately(keeper.name + ": it tells nothing any more");
}

void Rollout::windows_came(const std::string& keeper, const json& said) {
  Seen& seen = seen_[keeper];
  const std::int64_t ahead = said.value("wall_ms", std::int64_t{0}) - loop_.clock().wall() / 1ms;
  for (const json& one : config::array(said, "windows")) {
    const totals::Window window = totals::read_window(one);
    aggregator_.on_window(keeper, one.value("version", ""), one.value("since_ms", std::int64_t{0}), ahead,
                          window);
    // Asked for once more while its process may still tell of it late.
    seen.windows_from = std::max(seen.windows_from, window.start_ms - 3000);
  }
}

// ---- what is decided ----

// The epoch has to be above all that any keeper has seen, so whoever can be heard is heard first.
void Rollout::begin_when_known() {
  if (controller_ != nullptr || loop_.now() - begun_ < kKnown) return;
  std::uint64_t epoch = saved_.epoch;
  for (const auto& [name, seen] : seen_) epoch = std::max(epoch, seen.epoch);
  controller_ = std::make_unique<rollout::Controller>(plan_, members_, saved_, epoch + 1, loop_.now(),
                                                      loop_.clock().wall());
  remember(std::string(found_ ? "taken over, epoch " : "begun, epoch ") + std::to_string(epoch + 1));
  watched_from_ = loop_.clock().wall() / 1ms;
  controller_->start();
  carry_out();
}

void Rollout::judge() {
  const State state = controller_->state();
  if (state == State::watching) watched_until_ = loop_.clock().wall() / 1ms;
  if (state == State::swapping && swapping_since_ == 0) swapping_since_ = loop_.clock().wall() / 1ms;
  if (state != State::swapping && state != State::paused) swapping_since_ = 0;
  // A successor has nothing from before the change: it soaks anew, against nothing but the other side.
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

void Rollout::carry_out() {
  while (const auto action = controller_->next_action()) {
    switch (action->kind) {
      case Action::Kind::save_state:
        write_state();
        break;
      case Action::Kind::log:
        remember(action->reason);
        break;
      case Action::Kind::take:
        order(*action, {{"order", "take"}, {"version", action->version}, {"from", plan_.source_folder}});
        break;
      case Action::Kind::verify:
        order(*action, {{"order", "try"}, {"version", action->version}});
        break;
      case Action::Kind::use: {
        // A keeper that hears nothing any more takes it back by itself.
        Duration trial = plan_.swap_timeout + plan_.burn_in + plan_.max_wait;
        for (const rollout::StagePlan& stage : plan_.stages)
          trial = std::max(trial, plan_.swap_timeout + plan_.burn_in + plan_.max_wait + stage.soak);
        order(*action, {{"order", "use"},
                        {"version", action->version},
                        {"trial_ms", trial / 1ms},
                        {"if_in_force", controller_->saved().previous_versions.at(action->keeper)}});
        break;
      }
      case Action::Kind::confirm:
        order(*action, {{"order", "confirm"}});
        break;
      case Action::Kind::roll_back:
        order(*action, {{"order", "use"}, {"version", action->version}});
        break;
      case Action::Kind::start_comparison: {
        std::set<std::string> changed;
        for (const auto& [name, when] : controller_->changed_keepers()) changed.insert(name);
        // A successor was not there before the first change: it takes what was right before this stage's,
        // which its keepers still have.
        const bool there = watched_until_ > 0;
        const std::int64_t until = there ? watched_until_ : swapping_since_;
        aggregator_.start_comparison(changed, there ? watched_from_ : until - plan_.baseline_time / 1ms,
                                     until, loop_.clock().wall() / 1ms);
        break;
      }
    }
  }
  write_state();
}

void Rollout::order(const Action& action, json what) {
  const std::string name = action.keeper;
  const KeeperAt* const keeper = fleet_.find(name);
  what["epoch"] = controller_->saved().epoch;
  what["number"] = action.number;
  // Held on its way for longer than this it does nothing.
  what["not_after_ms"] = loop_.clock().wall() / 1ms + 60'000;
  orders_out_ += 1;
  const std::string kind = what["order"];
  client_.call(keeper->control, "POST", "/order", what.dump(), kLimit,
               [this, name, kind](const HttpResponse& response) {
                 orders_out_ -= 1;
                 remember(name + ": " + kind + ": " +
                          (response.status == 0 ? response.error
                           : response.body.is_object()
                               ? response.body.value("verdict", response.body.value("error", ""))
                               : ""));
               });
}

// What a person says comes as a file with a word in it.
void Rollout::heed() {
  const std::string path = folder_ + "/told";
  const auto word = disk_.read_file(path, 100);
  if (!word) return;
  disk_.remove_all(path);
  const std::string said = word->substr(0, word->find('\n'));
  remember("told: " + said);
  if (said == "pause") controller_->pause();
  if (said == "resume") controller_->resume();
  if (said == "back") controller_->roll_back("by hand");
}

void Rollout::write_state() {
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
    state_wrong_ = false;
  } catch (const disk::DiskError& wrong) {
    if (!std::exchange(state_wrong_, true)) std::cerr << "marbledyke-fleet: " << wrong.what() << '\n';
  }
}

void Rollout::remember(const std::string& what) {
  const std::int64_t ms = loop_.clock().wall() / 1ms;
  char when[32];
  std::snprintf(when, sizeof when, "%lld.%03lld ", static_cast<long long>(ms / 1000),
                static_cast<long long>(ms % 1000));
  std::ofstream(folder_ + "/history", std::ios::app) << when << plan_.name << ": " << what << '\n';
  std::cout << when << what << std::endl;
}

// ---- the commands ----

namespace {

std::vector<rollout::Member> members_of(const Fleet& fleet) {
  std::vector<rollout::Member> out;
  for (const KeeperAt& keeper : fleet.keepers) out.push_back({keeper.name, keeper.zone, keeper.groups});
  return out;
}

bool objected(const Fleet& fleet, const rollout::Plan& plan) {
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
  std::cout << "in all at least " << least / 1s << " s; a sound change is stopped in "
            << plan.limits.false_stop_probability * 100 << "% of rollouts at most\n";
  return objected(fleet, plan) ? 1 : 0;
}

int rollout_start(const Fleet& fleet, const rollout::Plan& plan, const std::string& folder) {
  if (objected(fleet, plan)) return 1;
  disk::LocalDisk disk;
  net::Loop loop;
  try {
    Rollout rollout(loop, disk, fleet, plan, folder);
    while (!rollout.over()) loop.gather();
    const rollout::SavedState& saved = rollout.controller()->saved();
    std::cout << rollout::name_of(saved.state) << (saved.reason.empty() ? "" : ": " + saved.reason) << '\n';
    return saved.state == State::done ? 0 : saved.state == State::held ? 3 : 1;
  } catch (const std::exception& wrong) {
    std::cerr << "marbledyke-fleet: " << wrong.what() << '\n';
    return 2;
  }
}

int rollout_status(const std::string& folder, bool as_json) {
  disk::LocalDisk disk;
  try {
    const auto text = disk.read_file(state_file(folder), kMostState);
    if (!text) {
      std::cerr << "marbledyke-fleet: " << folder << ": no rollout there\n";
      return 2;
    }
    const json state = config::parse(*text);
    if (as_json) {
      std::cout << state.dump(1) << '\n';
      return 0;
    }
    const rollout::SavedState saved = rollout::read_saved_state(config::object(state, "kept"));
    const std::int64_t now = machine_clock().wall() / 1ms;
    std::cout << state.value("plan", "") << ": " << rollout::name_of(saved.state) << ", stage "
              << saved.stage + 1 << ", for " << (now - saved.since_ms) / 1000 << " s"
              << (saved.reason.empty() ? "" : "; " + saved.reason) << '\n'
              << "judge: " << state.value("finding", "") << '\n';
    if (now - state.value("wall_ms", now) > 10'000)
      std::cout << "nobody conducts it: its state is " << (now - state.value("wall_ms", now)) / 1000
                << " s old\n";
    for (const auto& [name, at] : saved.keepers)
      std::cout << "  " << name << ": " << rollout::name_of(at) << '\n';
    return 0;
  } catch (const std::exception& wrong) {
    std::cerr << "marbledyke-fleet: " << wrong.what() << '\n';
    return 2;
  }
}

int rollout_tell(const std::string& folder, const std::string& word) {
  disk::LocalDisk disk;
  try {
    disk.replace_file(folder + "/told", word + "\n", 0600);
    std::cout << "told\n";
    return 0;
  } catch (const disk::DiskError& wrong) {
    std::cerr << "marbledyke-fleet: " << wrong.what() << '\n';
    return 2;
  }
}

int rollout_history(const std::string& folder) {
  std::ifstream in(folder + "/history");
  if (!in) {
    std::cerr << "marbledyke-fleet: " << folder << ": no history there\n";
    return 2;
  }
  std::cout << in.rdbuf();
  return 0;
}

}  // namespace marbledyke::fleet
