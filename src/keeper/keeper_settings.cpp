// A keeper between its versions and the fleet's settings: both have the gatherer read anew, one at a time.
#include <signal.h>

#include <utility>

#include "fail_points/fail_points.h"
#include "keeper/keeper.h"

namespace marbledyke::keeper {

void Keeper::start_settings() {
  if (options_.settings.control_nodes.empty()) return;
  HolderPolicy policy;
  const Policy& swaps = options_.policy;
  policy.read_limit = swaps.read_limit;
  // A swap, and the way back.
  policy.wait_limit = 2 * (swaps.read_limit + swaps.start_limit + swaps.prove_limit) + swaps.stop_limit;
  settings_ = std::make_unique<SettingsKeeper>(loop_, disk_, options_.folder, options_.name,
                                               options_.settings, policy, [this] { hup(minder_->lead()); });
}

Host Keeper::host() const {
  const Minder& m = *minder_;
  const Life lead = m.life(m.lead()), other = m.life(1 - m.lead());
  if (lead == Life::none && other == Life::none) return Host::absent;
  const bool swapping = m.swap() != Swap::none && m.swap() != Swap::trial;
  return lead == Life::serving && !swapping ? Host::ready : Host::busy;
}

void Keeper::tick_settings() {
  if (!settings_) return;
  settings_->tick(host());
  send_hup_that_waited();
}

// An end by its own doing speaks against settings that it has just read; one by order or from outside does
// not.
void Keeper::tell_settings_ended(int slot, const std::string& how) {
  if (!settings_ || slot != minder_->lead()) return;
  const bool from_outside = slots_[slot].child->was_killed() && !slots_[slot].felled;
  settings_->ended(slots_[slot].stopping || from_outside, how);
}

// What a gatherer says it made of SIGHUP must be told apart: while it reads the fleet's settings, no swap of
// versions has it read.
void Keeper::hup(int slot) {
  if (settings_ && settings_->trying() && minder_->swap() != Swap::none && minder_->swap() != Swap::trial) {
    hup_waits_ = slot;
    return;
  }
  slots_[slot].waits.clear();
  fail_points::hit("hup.before");
  slots_[slot].child->signal(SIGHUP);
}

void Keeper::send_hup_that_waited() {
  if (!hup_waits_ || settings_->trying()) return;
  const int slot = *std::exchange(hup_waits_, std::nullopt);
  if (minder_->swap() == Swap::reading || minder_->swap() == Swap::back_reading) hup(slot);
}

// `why`: of a refusal, or which settings wait for a start.
void Keeper::read_said(int number, bool taken, std::optional<std::int64_t> index, const std::string& why) {
  if (!settings_ || !settings_->trying() || number != minder_->lead())
    return minder_->read_said(number, taken, taken && !why.empty(), why);
  if (taken) return settings_->taken(index, why);
  settings_->refused(why);
}

}  // namespace marbledyke::keeper
