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
using rollout::Act;
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
      evidence_(plan, members_),
      talk_(loop) {
  disk_.make_directory(folder_);
  lock_ = net::Descriptor(open((folder_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock_ || flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
    throw config::BadInput(folder_ + ": another conductor has it");
  if (const auto text = disk_.read_file(state_file(folder_), kMostState)) {
    const json before = config::parse(*text);
    const rollout::Kept kept = rollout::read_kept(config::object(before, "kept"));
    const bool over =
        kept.state == State::done || kept.state == State::returned || kept.state == State::refused;
    if (before.value("plan", "") == plan_.name) {
      kept_ = kept;
      found_ = true;
    } else if (!over) {
      throw config::BadInput(folder_ + ": " + before.value("plan", "") +
                             " is not over there: " + rollout::name_of(kept.state));
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
  if (conductor_ != nullptr) {
    heed();
    evidence_.advance(now_ms);
    conductor_->tick(loop_.now(), loop_.clock().wall());
    judge();
    carry_out();
  }
  beat_ = loop_.call_at(loop_.now() + kBeat, [this] { beat(); });
}

// ---- what keepers say ----

void Rollout::ask(const KeeperAt& keeper) {
  Seen& seen = seen_[keeper.name];
  if (std::exchange(seen.asking, true)) return;
  talk_.call(keeper.control, "GET", "/status", "", kLimit, [this, &keeper](const Answer& answer) {
    seen_[keeper.name].asking = false;
    if (answer.status != 200 || !answer.body.is_object()) return;
    try {
      status_came(keeper, answer.body);
    } catch (const std::exception& wrong) {
      remember(keeper.name + ": its status cannot be read: " + wrong.what());
    }
  });
  talk_.call(keeper.control, "GET", "/windows?from_ms=" + std::to_string(seen.windows_from), "", kLimit,
             [this, &keeper](const Answer& answer) {
               if (answer.status != 200 || !answer.body.is_object()) return;
               seen_[keeper.name].windows_heard = loop_.now();
               try {
                 windows_came(keeper.name, answer.body);
               } catch (const std::exception& wrong) {
                 remember(keeper.name + ": its windows cannot be read: " + wrong.what());
               }
             });
}

void Rollout::status_came(const KeeperAt& keeper, const json& status) {
  Seen& seen = seen_[keeper.name];
  const json order = status.value("order", json::object());
  seen.epoch = order.value("epoch", std::uint64_t{0});
  rollout::Report report;
  report.in_force = status.value("in_force", "");
  report.life = status.value("keeper", json::object()).value("since_ms", std::int64_t{0});
  report.former = status.value("former", "");
  report.outcome = status.value("outcome", "");
  report.why = status.value("why", "");
  report.epoch = seen.epoch;
  report.number = order.value("number", std::uint64_t{0});
  report.gave_up = status.value("gave_up", false);
  report.ends = status.value("ends", std::uint64_t{0});
  if (order.value("order", "") == "try" && order.value("version", "") == plan_.version) {
    if (report.outcome == "done") report.tried = rollout::Report::Tried::good;
    if (report.outcome == "refused") report.tried = rollout::Report::Tried::bad;
  }
  for (const json& version : status.value("versions", json::array()))
    report.has_version = report.has_version || version.value("id", "") == plan_.version;
  for (const json& one : status.value("processes", json::array())) {
    if (!one.value("leads", false)) continue;
    report.serves = one.value("life", "") == "serving" && one.value("healthy", false);
    report.broken_invariants = one.value("broken_invariants", std::uint64_t{0});
    evidence_.used(keeper.name, one.value("since_ms", std::int64_t{0}), loop_.clock().wall() / 1ms,
                   one.value("cpu_s", 0.0), one.value("rss_bytes", 0.0));
  }
  if (conductor_ == nullptr) return;
  const bool was = conductor_->changed().contains(keeper.name);
  conductor_->report(keeper.name, report);
  const bool is = conductor_->changed().contains(keeper.name);
  if (is && !was) seen.ends_at_change = report.ends;
  // What needs no statistics.
  rollout::Judge* const judge = evidence_.judge();
  if (!is || judge == nullptr) return;
  if (report.broken_invariants > 0) judge->at_once(keeper.name + ": a broken invariant");
  if (report.ends > seen.ends_at_change) judge->at_once(keeper.name + ": its process ended by itself");
  // What could not be fetched is not what was not told.
  const bool fetched = seen.windows_heard && loop_.now() - *seen.windows_heard < kFetched;
  const std::int64_t newest = evidence_.newest(keeper.name);
  if (fetched && newest > 0 && loop_.clock().wall() / 1ms - newest > kSilentMs)
    judge->at_once(keeper.name + ": it tells nothing any more");
}

void Rollout::windows_came(const std::string& keeper, const json& said) {
  Seen& seen = seen_[keeper];
  const std::int64_t ahead = said.value("wall_ms", std::int64_t{0}) - loop_.clock().wall() / 1ms;
  for (const json& one : config::array(said, "windows")) {
    const totals::Window window = totals::parse_window(one);
    evidence_.heard(keeper, one.value("version", ""), one.value("since_ms", std::int64_t{0}), ahead, window);
    // Asked for once more while its process may still tell of it late.
    seen.windows_from = std::max(seen.windows_from, window.start_ms - 3000);
  }
}

// ---- what is decided ----

// The epoch has to be above all that any keeper has seen, so whoever can be heard is heard first.
void Rollout::begin_when_known() {
  if (conductor_ != nullptr || loop_.now() - begun_ < kKnown) return;
  std::uint64_t epoch = kept_.epoch;
  for (const auto& [name, seen] : seen_) epoch = std::max(epoch, seen.epoch);
  conductor_ = std::make_unique<rollout::Conductor>(plan_, members_, kept_, epoch + 1, loop_.now(),
                                                    loop_.clock().wall());
  remember(std::string(found_ ? "taken over, epoch " : "begun, epoch ") + std::to_string(epoch + 1));
  watched_from_ = loop_.clock().wall() / 1ms;
  conductor_->start();
  carry_out();
}

void Rollout::judge() {
  const State state = conductor_->state();
  if (state == State::watching) watched_until_ = loop_.clock().wall() / 1ms;
  if (state == State::swapping && swapping_since_ == 0) swapping_since_ = loop_.clock().wall() / 1ms;
  if (state != State::swapping && state != State::paused) swapping_since_ = 0;
  // A successor has nothing from before the change: it soaks anew, against nothing but the other side.
  if ((state == State::soaking || state == State::paused) && evidence_.judge() == nullptr &&
      conductor_->kept().stage >= 0) {
    std::set<std::string> changed;
    for (const auto& [name, when] : conductor_->changed()) changed.insert(name);
    evidence_.begin(changed, 0, 0, loop_.clock().wall() / 1ms);
  }
  if (evidence_.judge() == nullptr) return;
  const rollout::Finding finding = evidence_.judge()->look(conductor_->soak_over());
  finding_ = std::string(rollout::name_of(finding.verdict)) +
             (finding.what.empty() ? "" : ": " + finding.what) +
             (finding.seconds ? "; about " + std::to_string(*finding.seconds) + " s more at this rate" : "");
  if (conductor_->kept().stage >= 0) conductor_->judged(finding);
}

void Rollout::carry_out() {
  while (const auto act = conductor_->next()) {
    switch (act->what) {
      case Act::What::keep:
        write_state();
        break;
      case Act::What::note:
        remember(act->why);
        break;
      case Act::What::take:
        order(*act, {{"order", "take"}, {"version", act->version}, {"from", plan_.from}});
        break;
      case Act::What::try_out:
        order(*act, {{"order", "try"}, {"version", act->version}});
        break;
      case Act::What::use: {
        // A keeper that hears nothing any more takes it back by itself.
        Duration trial = plan_.swap_limit + plan_.burn_in + plan_.longest_wait;
        for (const rollout::StagePlan& stage : plan_.stages)
          trial = std::max(trial, plan_.swap_limit + plan_.burn_in + plan_.longest_wait + stage.soak);
        order(*act, {{"order", "use"},
                     {"version", act->version},
                     {"trial_ms", trial / 1ms},
                     {"if_in_force", conductor_->kept().former.at(act->keeper)}});
        break;
      }
      case Act::What::confirm:
        order(*act, {{"order", "confirm"}});
        break;
      case Act::What::back:
        order(*act, {{"order", "use"}, {"version", act->version}});
        break;
      case Act::What::begin_judging: {
        std::set<std::string> changed;
        for (const auto& [name, when] : conductor_->changed()) changed.insert(name);
        // A successor was not there before the first change: it takes what was right before this stage's,
        // which its keepers still have.
        const bool there = watched_until_ > 0;
        const std::int64_t until = there ? watched_until_ : swapping_since_;
        evidence_.begin(changed, there ? watched_from_ : until - plan_.before / 1ms, until,
                        loop_.clock().wall() / 1ms);
        break;
      }
    }
  }
  write_state();
}

void Rollout::order(const Act& act, json what) {
  const std::string name = act.keeper;
  const KeeperAt* const keeper = fleet_.find(name);
  what["epoch"] = conductor_->kept().epoch;
  what["number"] = act.number;
  // Held on its way for longer than this it does nothing.
  what["not_after_ms"] = loop_.clock().wall() / 1ms + 60'000;
  orders_out_ += 1;
  const std::string kind = what["order"];
  talk_.call(
      keeper->control, "POST", "/order", what.dump(), kLimit, [this, name, kind](const Answer& answer) {
        orders_out_ -= 1;
        remember(name + ": " + kind + ": " +
                 (answer.status == 0        ? answer.why
                  : answer.body.is_object() ? answer.body.value("verdict", answer.body.value("error", ""))
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
  if (said == "pause") conductor_->pause();
  if (said == "resume") conductor_->resume();
  if (said == "back") conductor_->back("by hand");
}

void Rollout::write_state() {
  json lines = json::array();
  if (evidence_.judge() != nullptr) {
    for (const rollout::Judge::Line& line : evidence_.judge()->lines())
      lines.push_back({{"op_type", line.stratum.op_type},
                       {"zone", line.stratum.zone},
                       {"measure", rollout::name_of(line.measure)},
                       {"worse_by", line.difference},
                       {"against", line.wealth_worse},
                       {"for", line.wealth_sound},
                       {"blocks", line.blocks}});
  }
  const json out = {{"plan", plan_.name},
                    {"version", plan_.version},
                    {"wall_ms", loop_.clock().wall() / 1ms},
                    {"kept", rollout::put(conductor_->kept())},
                    {"finding", finding_},
                    {"impossible", conductor_->impossible()},
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
  const std::vector<std::string> why = rollout::objections(plan, members_of(fleet));
  for (const std::string& one : why) std::cerr << plan.name << ": " << one << '\n';
  return !why.empty();
}

}  // namespace

int rollout_plan(const Fleet& fleet, const rollout::Plan& plan) {
  const auto stages = rollout::stages_of(plan, members_of(fleet));
  Duration least = plan.before;
  for (std::size_t i = 0; i < stages.size(); ++i) {
    const auto rounds =
        static_cast<std::int64_t>((stages[i].size() + static_cast<std::size_t>(plan.at_a_time) - 1) /
                                  static_cast<std::size_t>(plan.at_a_time));
    const Duration time = plan.burn_in + plan.stages[i].soak + rounds * Duration(5s);
    least += time;
    std::cout << plan.stages[i].name << ": " << stages[i].size() << " keepers, " << plan.at_a_time
              << " at a time, about " << time / 1s << " s:";
    for (const std::string& name : stages[i]) std::cout << ' ' << name;
    std::cout << '\n';
  }
  std::cout << "in all at least " << least / 1s << " s; a sound change is stopped in "
            << plan.limits.false_stops * 100 << "% of rollouts at most\n";
  return objected(fleet, plan) ? 1 : 0;
}

int rollout_start(const Fleet& fleet, const rollout::Plan& plan, const std::string& folder) {
  if (objected(fleet, plan)) return 1;
  disk::LocalDisk disk;
  net::Loop loop;
  try {
    Rollout rollout(loop, disk, fleet, plan, folder);
    while (!rollout.over()) loop.run_once();
    const rollout::Kept& kept = rollout.conductor()->kept();
    std::cout << rollout::name_of(kept.state) << (kept.why.empty() ? "" : ": " + kept.why) << '\n';
    return kept.state == State::done ? 0 : kept.state == State::held ? 3 : 1;
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
    const rollout::Kept kept = rollout::read_kept(config::object(state, "kept"));
    const std::int64_t now = system_time_source().wall() / 1ms;
    std::cout << state.value("plan", "") << ": " << rollout::name_of(kept.state) << ", stage "
              << kept.stage + 1 << ", for " << (now - kept.since_ms) / 1000 << " s"
              << (kept.why.empty() ? "" : "; " + kept.why) << '\n'
              << "judge: " << state.value("finding", "") << '\n';
    if (now - state.value("wall_ms", now) > 10'000)
      std::cout << "nobody conducts it: its state is " << (now - state.value("wall_ms", now)) / 1000
                << " s old\n";
    for (const auto& [name, at] : kept.keepers)
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
