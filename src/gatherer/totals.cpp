// What a gatherer says of itself: windows of counts for its keeper, and lines of totals for the log.
#include "totals/totals.h"

#include <cstdio>

#include "gatherer/gatherer.h"
#include "log/log.h"

namespace marbledyke::gatherer {

using namespace std::chrono_literals;

totals::OpTypeCounts* Gatherer::counted(const InHand& mg) {
  if (!record_ || mg.op_type.empty()) return nullptr;
  return &record_->window.by_op_type[mg.op_type];
}

void Gatherer::record_windows(std::function<void(const std::string&)> told) {
  record_.emplace();
  record_->told = std::move(told);
  const std::int64_t ms = loop_.clock().wall() / 1ms;
  record_->window.start_ms = ms - ms % totals::kWindowMs;
  loop_.at(loop_.now() + std::chrono::milliseconds(totals::kWindowMs - ms % totals::kWindowMs),
           [this] { tell_window(); });
}

// A second that ended while the process stood still is told of late, under its own time; those in which it
// did nothing at all are not told of.
void Gatherer::tell_window() {
  Record& record = *record_;
  const std::int64_t ms = loop_.clock().wall() / 1ms;
  record.window.in_hand = static_cast<std::uint64_t>(open_);
  record.window.broken_invariants = invariant_violations();
  record.window.not_connected = servers_.tally().dial_failed;
  record.window.dropped = servers_.tally().dropped;
  char digest[17];
  std::snprintf(digest, sizeof digest, "%016llx", static_cast<unsigned long long>(gatherer_config_.digest));
  nlohmann::json told = {{"event", "window"},
                         {"number", ++record.number},
                         {"configuration", digest},
                         {"stopping", leave_by_.has_value()},
                         {"window", totals::to_json(record.window)}};
  if (gatherer_config_.settings_index) told["settings_index"] = *gatherer_config_.settings_index;
  record.told(told.dump());
  record.window.by_op_type.clear();
  record.window.start_ms = ms - ms % totals::kWindowMs;
  loop_.at(loop_.now() + std::chrono::milliseconds(totals::kWindowMs - ms % totals::kWindowMs),
           [this] { tell_window(); });
}

void Gatherer::log_totals() {
  for (const auto& front : more_fronts_) front->log_totals();
  for (const auto& one : carriers_) {
    const carrier::Tally& t = one->tally();
    log::event(log::Level::info, "carrier.totals",
               {{"connections", one->connections()},
                {"opened", t.opened},
                {"parts", t.parts},
                {"answered", t.answered},
                {"refused", t.refused},
                {"failed", t.failed},
                {"dropped", t.dropped},
                {"not_connected", t.not_connected},
                {"expired", t.expired},
                {"revoked", t.revoked},
                {"cancelled", t.cancelled},
                {"closed_by_server", t.closed_by_server},
                {"out_of_step", t.out_of_step}});
  }
  const servers::Tally& t = servers_.tally();
  const clients::HttpFront::Tally& c = clients_.tally();
  const addresses::Tally& a = servers_.book().tally();
  log::event(log::Level::info, "gatherer.totals",
             {{"taken", done_.sent},
              {"answered", done_.answered},
              {"pushed_back", done_.pushed_back},
              {"failed", done_.failed},
              {"client_left", done_.left},
              {"no_room", done_.no_room},
              {"second_steps", done_.second_steps},
              {"in_hand", open_},
              {"longest_turn_ms", loop_.take_longest_turn() / 1ms},
              {"calls", t.calls},
              {"sends", t.sends},
              {"probes", t.probes},
              {"connections_opened", t.opened},
              {"connections", servers_.connections()},
              {"clients", clients_.size()},
              {"accepted", c.accepted},
              {"let_go", c.let_go},
              {"evicted", c.evicted},
              {"refused_at_door", c.refused_at_door},
              {"silent", c.silent},
              {"not_ended", c.unended},
              {"not_connected", t.dial_failed},
              {"dropped", t.dropped},
              {"expired", t.expired},
              {"servers_known", choice_.servers_known()},
              {"entries_unreadable", done_.unreadable},
              {"odd_frames", t.odd_frames},
              {"dials", a.dials},
              {"second_choice", a.second_choice},
              {"proofs", t.proofs},
              {"doubts", a.doubts},
              {"trials", a.trials},
              {"trials_passed", a.trials_passed},
              {"contested", a.contested},
              {"broken_invariants", invariant_violations()}});
}

}  // namespace marbledyke::gatherer
