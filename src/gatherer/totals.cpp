// What a gatherer reports about itself: windows of counts for its keeper, and totals for the log.
#include "totals/totals.h"

#include <cstdio>

#include "gatherer/gatherer.h"
#include "log/log.h"

namespace marbledyke::gatherer {

using namespace std::chrono_literals;

totals::OpTypeCounts* Gatherer::op_type_counts(const PendingMultiget& mg) {
  if (!recorder_ || mg.op_type.empty()) return nullptr;
  return &recorder_->window.by_op_type[mg.op_type];
}

void Gatherer::record_windows(std::function<void(const std::string&)> listener) {
  recorder_.emplace();
  recorder_->listener = std::move(listener);
  const std::int64_t ms = loop_.clock().wall() / 1ms;
  recorder_->window.start_ms = ms - ms % totals::kWindowMs;
  loop_.call_at(loop_.now() + std::chrono::milliseconds(totals::kWindowMs - ms % totals::kWindowMs),
                [this] { publish_window(); });
}

// If the process stalled, the window that ended meanwhile is published late, under its own time; seconds in
// which the process did not run have no window.
void Gatherer::publish_window() {
  Recorder& recorder = *recorder_;
  const std::int64_t ms = loop_.clock().wall() / 1ms;
  recorder.window.in_hand = static_cast<std::uint64_t>(unanswered_);
  recorder.window.broken_invariants = invariant_violations();
  recorder.window.not_connected = servers_.counters().dial_failed;
  recorder.window.dropped = servers_.counters().dropped;
  char digest[17];
  std::snprintf(digest, sizeof digest, "%016llx", static_cast<unsigned long long>(gatherer_config_.digest));
  nlohmann::json event = {{"event", "window"},
                          {"number", ++recorder.windows_published},
                          {"configuration", digest},
                          {"stopping", stop_deadline_.has_value()},
                          {"window", totals::to_json(recorder.window)}};
  if (gatherer_config_.settings_index) event["settings_index"] = *gatherer_config_.settings_index;
  recorder.listener(event.dump());
  recorder.window.by_op_type.clear();
  recorder.window.start_ms = ms - ms % totals::kWindowMs;
  loop_.call_at(loop_.now() + std::chrono::milliseconds(totals::kWindowMs - ms % totals::kWindowMs),
                [this] { publish_window(); });
}

void Gatherer::log_totals() {
  for (const auto& front : extra_fronts_) front->log_totals();
  for (const auto& carrier : carriers_) {
    const carrier::Counters& t = carrier->counters();
    log::event(log::Level::info, "carrier.totals",
               {{"connections", carrier->connection_count()},
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
  const servers::Counters& t = servers_.counters();
  const clients::HttpFront::Tally& c = http_front_.tally();
  const addresses::Counters& a = servers_.address_book().counters();
  log::event(log::Level::info, "gatherer.totals",
             {{"taken", counters_.accepted},
              {"answered", counters_.answered},
              {"pushed_back", counters_.pushed_back},
              {"failed", counters_.failed},
              {"client_left", counters_.client_left},
              {"no_room", counters_.refused_at_capacity},
              {"second_steps", counters_.second_steps},
              {"in_hand", unanswered_},
              {"longest_turn_ms", loop_.take_longest_turn() / 1ms},
              {"calls", t.calls},
              {"sends", t.sends},
              {"probes", t.probes},
              {"connections_opened", t.opened},
              {"connections", servers_.connection_count()},
              {"clients", http_front_.size()},
              {"accepted", c.accepted},
              {"let_go", c.closed_idle},
              {"evicted", c.evicted},
              {"refused_at_door", c.refused_at_capacity},
              {"silent", c.closed_silent},
              {"not_ended", c.timed_out},
              {"client_memory", client_memory_.used()},
              {"released_for_memory", client_memory_.released_count()},
              {"not_connected", t.dial_failed},
              {"dropped", t.dropped},
              {"expired", t.expired},
              {"servers_known", decision_engine_.known_server_count()},
              {"entries_unreadable", counters_.unreadable_entries},
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
