#include "emulator/keepers.h"

namespace marbledyke::emulator {

using namespace std::chrono_literals;
using keeper::Act;
using keeper::Kept;
using keeper::Life;
using keeper::Minder;

namespace {
constexpr Duration kWallAtStart = 1'700'000'000s;
}

EmulatedKeeper::EmulatedKeeper(const keeper::Policy& policy, std::map<std::string, EmulatedVersion> versions,
                               std::uint32_t seed)
    : policy_(policy), versions_(std::move(versions)), chance_(seed) {
  start_keeper();
}

keeper::VersionFacts EmulatedKeeper::facts(const std::string& version) const {
  const auto at = versions_.find(version);
  return at == versions_.end() ? keeper::VersionFacts{} : at->second.facts;
}

void EmulatedKeeper::start_keeper() {
  if (minder_) return;
  paused_ = false;
  Kept kept = disk_;
  minder_ = std::make_unique<Minder>(policy_, kept, own_, kWallAtStart + now_, 0.0);
  for (int slot = 0; slot < keeper::kSlots; ++slot) {
    const auto& process = processes_[static_cast<std::size_t>(slot)];
    if (process) minder_->adopted(slot, process->settings, facts(process->version));
  }
  ended_while_paused_.clear();
  minder_->resume(facts(kept.in_force), facts(kept.former),
                  kept.order && versions_.contains(kept.order->version));
  carry_out();
}

void EmulatedKeeper::kill_keeper() {
  minder_.reset();
  ended_while_paused_.clear();
  kill_at_ = -1;
}

std::optional<keeper::Verdict> EmulatedKeeper::order(const keeper::Order& order) {
  if (!minder_ || paused_) return std::nullopt;
  const keeper::Verdict verdict = minder_->considers(order, versions_.contains(order.version));
  if (verdict == keeper::Verdict::taken) {
    if (disk_full_) return keeper::Verdict::not_kept;
    const Kept kept = Minder::with(minder_->kept(), order, kWallAtStart + now_);
    disk_ = kept;
    minder_->take(order, kept, facts(kept.in_force), facts(kept.former));
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
  if (!minder_) return;
  if (paused_) {
    ended_while_paused_.emplace_back(slot, how);
    return;
  }
  minder_->ended(slot, how);
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
  while (minder_) {
    if (kill_at_ == 0) {
      say("the keeper is killed");
      return kill_keeper();
    }
    const auto act = minder_->next();
    if (!act) return;
    if (kill_at_ > 0) --kill_at_;
    auto& process = processes_[static_cast<std::size_t>(act->slot)];
    switch (act->what) {
      case Act::What::keep:
        if (!disk_full_) disk_ = minder_->kept();
        minder_->kept_written(!disk_full_);
        break;
      case Act::What::link:
        if (act->version != linked_ && disk_full_) {
          minder_->not_linked("no space");
          break;
        }
        minder_->linked();
        if (act->version == linked_) break;
        linked_ = act->version;
        say("link " + act->version);
        break;
      case Act::What::begin: {
        if (process) {
          broken_ = "a second process in one slot";
          break;
        }
        if (!versions_.contains(act->version)) {
          minder_->not_begun(act->slot, "no such version");
          break;
        }
        say("begin " + act->version + " in " + std::to_string(act->slot));
        process = Process{act->version, linked_, now_, false, false, false, std::nullopt, false, 0};
        minder_->began(act->slot, facts(act->version));
        if (linked_ != act->version) broken_ = "begun under another version's settings";
        break;
      }
      case Act::What::label:
        break;
      case Act::What::hup:
        say("hup " + std::to_string(act->slot));
        if (process) process->read_pending = true;
        break;
      case Act::What::term:
        say("term " + std::to_string(act->slot));
        if (process && of(process->version).behaviour.heeds_term && !process->stops_at) {
          process->stops_at = now_ + of(process->version).behaviour.stop_takes;
          if (processes_told.leaves) processes_told.leaves(act->slot);
        }
        break;
      case Act::What::kill:
        say("kill " + std::to_string(act->slot));
        if (process) end(act->slot, "signal");
        break;
      case Act::What::note:
        say("note " + act->version + ": " + act->why);
        break;
    }
  }
}

void EmulatedKeeper::step() {
  now_ += kKeeperStep;
  own_ += Duration(static_cast<std::int64_t>(static_cast<double>(kKeeperStep.count()) * rate_));
  if (serves()) served_ += kKeeperStep;
  const bool hears = minder_ && !paused_;
  if (hears) {
    minder_->tick(own_, kWallAtStart + now_);
    for (const auto& [slot, how] : std::exchange(ended_while_paused_, {})) {
      if (minder_) minder_->ended(slot, how);
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
    if (!minder_ || paused_ || hangs) continue;
    if (process->serving && !process->said) {
      process->said = true;
      minder_->serves(slot);
      carry_out();
      if (!process || !minder_) continue;
    }
    if (process->serving && process->read_pending) {
      process->read_pending = false;
      const Behaviour& next = of(linked_).behaviour;
      if (next.refuses_settings) {
        minder_->read_said(slot, false, false, "refused");
      } else {
        process->settings = linked_;
        minder_->read_said(slot, true, next.needs_start, "a key");
      }
      carry_out();
      if (!process || !minder_) continue;
    }
    if (window && process->serving) {
      const bool mute = b.mute_after && age >= *b.mute_after;
      minder_->heard(slot, {facts(process->settings).configuration, 10, mute ? 0U : 10U, mute ? 10U : 0U});
      carry_out();
    }
  }
  if (minder_ && !paused_) {
    bool healthy = false;
    for (const auto& process : processes_) {
      if (!process || !process->serving) continue;
      const Behaviour& b = of(process->settings).behaviour;
      healthy = healthy || (!process->frozen && (!b.hangs_after || now_ - process->begun < *b.hangs_after));
    }
    minder_->health(healthy);
    if (minder_->impossible() > 0) broken_ = "an event came that cannot come";
  }
  if (processes() > keeper::kSlots) broken_ = "more than two processes";
}

}  // namespace marbledyke::emulator
