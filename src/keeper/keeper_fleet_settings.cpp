// How a keeper coordinates swaps of versions and the fleet's settings: both make the gatherer reload, and
// only one of them may at a time.
#include <signal.h>

#include <utility>

#include "fail_points/fail_points.h"
#include "keeper/keeper.h"

namespace marbledyke::keeper {

void Keeper::start_fleet_settings() {
  if (options_.settings.control_nodes.empty()) return;
  SettingsPolicy policy;
  const SupervisorPolicy& swap_policy = options_.policy;
  policy.reload_timeout = swap_policy.reload_timeout;
  // The longest swap, with its rollback.
  policy.wait_timeout =
      2 * (swap_policy.reload_timeout + swap_policy.start_timeout + swap_policy.proving_timeout) +
      swap_policy.stop_timeout;
  settings_ = std::make_unique<FleetSettings>(loop_, disk_, options_.folder, options_.name, options_.settings,
                                              policy, [this] { reload(supervisor_->primary_slot()); });
}

GathererStatus Keeper::gatherer_status() const {
  const Supervisor& supervisor = *supervisor_;
  const ProcessState primary = supervisor.process_state(supervisor.primary_slot()),
                     other = supervisor.process_state(1 - supervisor.primary_slot());
  if (primary == ProcessState::none && other == ProcessState::none) return GathererStatus::absent;
  const bool swapping =
      supervisor.swap_state() != SwapState::none && supervisor.swap_state() != SwapState::trial;
  return primary == ProcessState::serving && !swapping ? GathererStatus::ready : GathererStatus::busy;
}

void Keeper::tick_fleet_settings() {
  if (!settings_) return;
  settings_->tick(gatherer_status());
  send_deferred_reload();
}

// An exit by itself is blamed on the settings that the gatherer has just reloaded; one by order or from
// outside is not.
void Keeper::report_exit_to_fleet_settings(int slot, const std::string& how) {
  if (!settings_ || slot != supervisor_->primary_slot()) return;
  const bool from_outside = slots_[slot].process->was_killed() && !slots_[slot].killed_by_keeper;
  settings_->on_gatherer_exited(slots_[slot].stop_ordered || from_outside, how);
}

// The result of a SIGHUP does not say what the reload was for: while the gatherer reloads the fleet's
// settings, a reload for a swap is deferred.
void Keeper::reload(int slot) {
  if (settings_ && settings_->is_reloading() && supervisor_->swap_state() != SwapState::none &&
      supervisor_->swap_state() != SwapState::trial) {
    deferred_reload_ = slot;
    return;
  }
  slots_[slot].pending_settings.clear();
  fail_points::hit("hup.before");
  slots_[slot].process->signal(SIGHUP);
}

void Keeper::send_deferred_reload() {
  if (!deferred_reload_ || settings_->is_reloading()) return;
  const int slot = *std::exchange(deferred_reload_, std::nullopt);
  if (supervisor_->swap_state() == SwapState::reloading ||
      supervisor_->swap_state() == SwapState::rollback_reloading)
    reload(slot);
}

// `why`: the reason for a refusal, or the settings that take effect at the next start only.
void Keeper::on_reload_result(int number, bool accepted, std::optional<std::int64_t> index,
                              const std::string& why) {
  if (!settings_ || !settings_->is_reloading() || number != supervisor_->primary_slot())
    return supervisor_->on_reload_result(number, accepted, accepted && !why.empty(), why);
  if (accepted) return settings_->on_reload_accepted(index, why);
  settings_->on_reload_refused(why);
}

}  // namespace marbledyke::keeper
