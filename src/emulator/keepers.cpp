#include "emulator/keepers.h"

namespace marbledyke::emulator {

using namespace std::chrono_literals;
using keeper::Action;
using keeper::KeeperState;
using keeper::ProcessState;
using keeper::Supervisor;

namespace {
constexpr Duration kWallAtStart = 1'700'000'000s;
}

EmulatedKeeper::EmulatedKeeper(const keeper::SupervisorPolicy& policy,
                               std::map<std::string, EmulatedVersion> versions, std::uint32_t seed)
    : policy_(policy), versions_(std::move(versions)), chance_(seed) {
  start_keeper();
}

keeper::VersionInfo EmulatedKeeper::facts(const std::string& version) const {
  const auto at = versions_.find(version);
  return at == versions_.end() ? keeper::VersionInfo{} : at->second.facts;
}

void EmulatedKeeper::start_keeper() {
  if (supervisor_) return;
  paused_ = false;
  KeeperState kept = disk_;
  supervisor_ = std::make_unique<Supervisor>(policy_, kept, own_, kWallAtStart + now_, 0.0);
  for (int slot = 0; slot < keeper::kSlots; ++slot) {
    const auto& process = processes_[static_cast<std::size_t>(slot)];
    if (process) supervisor_->on_process_adopted(slot, process->settings, facts(process->version));
  }
  ended_while_paused_.clear();
  supervisor_->resume(facts(kept.in_force), facts(kept.former),
                      kept.order && versions_.contains(kept.order->version));
  carry_out();
}

void EmulatedKeeper::kill_keeper() {
  supervisor_.reset();
  ended_while_paused_.clear();
  kill_at_ = -1;
}

std::optional<keeper::OrderVerdict> EmulatedKeeper::order(const keeper::Order& order) {
  if (!supervisor_ || paused_) return std::nullopt;
  const keeper::OrderVerdict verdict = supervisor_->evaluate(order, versions_.contains(order.version));
  if (verdict == keeper::OrderVerdict::accepted) {
    if (disk_full_) return keeper::OrderVerdict::not_persisted;
    const KeeperState kept = Supervisor::state_with(supervisor_->state(), order, kWallAtStart + now_);
    disk_ = kept;
    supervisor_->accept(order, kept, facts(kept.in_force), facts(kept.former));
    carry_out();
  }
  return verdict;
}

void EmulatedKeeper::kill_process() {
  for (int slot = 0; slot < keeper::kSlots; ++slot) {
    const auto& process = processes_[static_cast<std::size_t>(slot)];
    if (process && process->serving) return end(slot, "killed");
  }
}

void EmulatedKeeper::freeze(bool on) {
  for (auto& process : processes_) {
    if (process) process->frozen = on;
  }
}

void EmulatedKeeper::end(int slot, const std::string& how) {
  processes_[static_cast<std::size_t>(slot)].reset();
  if (processes_told.ended) processes_told.ended(slot);
  if (!supervisor_) return;
  if (paused_) {
    ended_while_paused_.emplace_back(slot, how);
    return;
  }
  supervisor_->on_process_exited(slot, how);
  carry_out();
}

bool EmulatedKeeper::serves() const { return !serving_version().empty(); }

std::string EmulatedKeeper::serving_version() const {
  for (const auto& process : processes_) {
    if (!process || !process->serving || process->stops_at || process->frozen) continue;
    const Behaviour& b = of(process->settings).behaviour;
    const Duration age = now_ - process->begun;
    if ((b.hangs_after && age >= *b.hangs_after) || (b.mute_after && age >= *b.mute_after)) continue;
    return process->settings;
  }
  return {};
}

int EmulatedKeeper::processes() const {
  int out = 0;
  for (const auto& process : processes_) out += process.has_value() ? 1 : 0;
  return out;
}

void EmulatedKeeper::carry_out() {
  while (supervisor_) {
    if (kill_at_ == 0) {
      say("the keeper is killed");
      return kill_keeper();
    }
    const auto action = supervisor_->next_action();
    if (!action) return;
    if (kill_at_ > 0) --kill_at_;
    auto& process = processes_[static_cast<std::size_t>(action->slot)];
    switch (action->type) {
      case Action::Type::persist_state:
        if (!disk_full_) disk_ = supervisor_->state();
        supervisor_->on_state_written(!disk_full_);
        break;
      case Action::Type::link_version:
        if (action->version != linked_ && disk_full_) {
          supervisor_->on_link_failed("no space");
          break;
        }
        supervisor_->on_version_linked();
        if (action->version == linked_) break;
        linked_ = action->version;
        say("link " + action->version);
        break;
      case Action::Type::start_process: {
        if (process) {
          broken_ = "a second process in one slot";
          break;
        }
        if (!versions_.contains(action->version)) {
          supervisor_->on_start_failed(action->slot, "no such version");
          break;
        }
        say("begin " + action->version + " in " + std::to_string(action->slot));
        process = Process{action->version, linked_, now_, false, false, false, std::nullopt, false, 0};
        supervisor_->on_process_started(action->slot, facts(action->version));
        if (linked_ != action->version) broken_ = "begun under another version's settings";
        break;
      }
      case Action::Type::record_version:
        break;
      case Action::Type::reload:
        say("hup " + std::to_string(action->slot));
        if (process) process->read_pending = true;
        break;
      case Action::Type::terminate:
        say("term " + std::to_string(action->slot));
        if (process && of(process->version).behaviour.heeds_term && !process->stops_at) {
          process->stops_at = now_ + of(process->version).behaviour.stop_takes;
          if (processes_told.leaves) processes_told.leaves(action->slot);
        }
        break;
      case Action::Type::kill:
        say("kill " + std::to_string(action->slot));
        if (process) end(action->slot, "signal");
        break;
      case Action::Type::log:
        say("note " + action->version + ": " + action->message);
        break;
    }
  }
}

void EmulatedKeeper::step() {
  now_ += kKeeperStep;
  own_ += Duration(static_cast<std::int64_t>(static_cast<double>(kKeeperStep.count()) * rate_));
  if (serves()) served_ += kKeeperStep;
  const bool hears = supervisor_ && !paused_;
  if (hears) {
    supervisor_->tick(own_, kWallAtStart + now_);
    for (const auto& [slot, how] : std::exchange(ended_while_paused_, {})) {
      if (supervisor_) supervisor_->on_process_exited(slot, how);
      carry_out();
    }
    carry_out();
  }
  const bool window = now_ >= next_window_;
  if (window) next_window_ = now_ + 1s;
  for (int slot = 0; slot < keeper::kSlots; ++slot) {
    auto& process = processes_[static_cast<std::size_t>(slot)];
    if (!process) continue;
    const Behaviour b = of(process->settings).behaviour;
    const Duration age = now_ - process->begun;
    const bool hangs = process->frozen || (b.hangs_after && age >= *b.hangs_after);
    if (b.ends_after && age >= *b.ends_after) {
      end(slot, "status 3");
      continue;
    }
    if (process->stops_at && now_ >= *process->stops_at && !hangs &&
        (!processes_told.may_end || processes_told.may_end(slot))) {
      end(slot, "status 0");
      continue;
    }
    if (!process->serving && !b.never_serves && age >= b.starts_in && !hangs) {
      if (b.refuses_settings) {
        end(slot, "status 1");
        continue;
      }
      process->serving = true;
      if (processes_told.serves) processes_told.serves(slot);
    }
    if (!supervisor_ || paused_ || hangs) continue;
    if (process->serving && !process->said) {
      process->said = true;
      supervisor_->on_process_serving(slot);
      carry_out();
      if (!process || !supervisor_) continue;
    }
    if (process->serving && process->read_pending) {
      process->read_pending = false;
      const Behaviour& next = of(linked_).behaviour;
      if (next.refuses_settings) {
        supervisor_->on_reload_result(slot, false, false, "refused");
      } else {
        process->settings = linked_;
        supervisor_->on_reload_result(slot, true, next.needs_start, "a key");
      }
      carry_out();
      if (!process || !supervisor_) continue;
    }
    if (window && process->serving) {
      const bool mute = b.mute_after && age >= *b.mute_after;
      supervisor_->on_window_report(
          slot, {facts(process->settings).configuration, 10, mute ? 0U : 10U, mute ? 10U : 0U});
      carry_out();
    }
  }
  if (supervisor_ && !paused_) {
    bool healthy = false;
    for (const auto& process : processes_) {
      if (!process || !process->serving) continue;
      const Behaviour& b = of(process->settings).behaviour;
      healthy = healthy || (!process->frozen && (!b.hangs_after || now_ - process->begun < *b.hangs_after));
    }
    supervisor_->on_health_result(healthy);
    if (supervisor_->unexpected_events() > 0) broken_ = "an event came that cannot come";
  }
  if (processes() > keeper::kSlots) broken_ = "more than two processes";
}

}  // namespace marbledyke::emulator
