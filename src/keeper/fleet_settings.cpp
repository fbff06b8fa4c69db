#include "keeper/fleet_settings.h"

#include <utility>

#include "config/fields.h"
#include "fail_points/fail_points.h"
#include "log/log.h"
#include "model/numeric.h"

namespace marbledyke::keeper {
namespace {

using namespace std::chrono_literals;
using distribution::Revision;
using nlohmann::json;

constexpr std::size_t kMaxFileBytes = 256 * 1024;  // a revision has 64 KiB at most

json index_of(const std::optional<Revision>& revision) {
  return revision ? json(revision->index) : json(nullptr);
}

}  // namespace

FleetSettings::FleetSettings(net::Loop& loop, disk::Disk& disk, std::string directory, std::string name,
                             FleetSettingsOptions options, const SettingsPolicy& policy,
                             std::function<void()> reload)
    : loop_(loop),
      disk_(disk),
      file_(directory + "/settings.json"),
      good_file_(directory + "/settings.good.json"),
      name_(std::move(name)),
      options_(std::move(options)),
      reload_(std::move(reload)),
      supervisor_(policy),
      since_ms_(loop.clock().wall() / 1ms) {
  std::optional<Revision> settings = load(file_);
  std::optional<Revision> good = load(good_file_);
  supervisor_.resume(std::move(settings), std::move(good), loop_.now());
  carry_out_actions();
}

// A file that cannot be read, or is of another fleet, is renamed and counts as missing.
std::optional<Revision> FleetSettings::load(const std::string& path) {
  try {
    const auto text = disk_.read_file(path, kMaxFileBytes);
    if (!text) return std::nullopt;
    Revision out = distribution::read_revision(config::parse(*text));
    if (const auto fault = distribution::fault_of(out, options_.fleet)) throw config::BadInput(*fault);
    return out;
  } catch (const std::exception& error) {
    file_error_ = path + ": " + error.what();
    log::event(log::Level::error, "settings.file_not_usable", {{"file", path}, {"why", error.what()}});
    try {
      disk_.rename(path, path + ".damaged");
    } catch (const disk::DiskError&) {
      // The next write replaces it.
    }
    return std::nullopt;
  }
}

void FleetSettings::tick(GathererStatus gatherer) {
  supervisor_.tick(loop_.now(), gatherer);
  carry_out_actions();
}

void FleetSettings::on_running_revision(std::optional<std::int64_t> index) {
  supervisor_.on_running_revision(index);
}

void FleetSettings::on_reload_accepted(std::optional<std::int64_t> index,
                                       const std::string& pending_settings) {
  pending_settings_ = pending_settings;
  supervisor_.on_reload_accepted(index);
  carry_out_actions();
}

void FleetSettings::on_reload_refused(const std::string& why) {
  supervisor_.on_reload_refused(why);
  carry_out_actions();
}

void FleetSettings::on_gatherer_exited(bool ordered, const std::string& how) {
  pending_settings_.clear();
  supervisor_.on_gatherer_exited(ordered, how);
  carry_out_actions();
}

void FleetSettings::carry_out_actions() {
  if (is_carrying_out_) return;
  is_carrying_out_ = true;
  while (const auto action = supervisor_.next_action()) {
    switch (action->type) {
      case SettingsAction::Type::write_settings:
      case SettingsAction::Type::write_good:
        write(*action);
        break;
      case SettingsAction::Type::reload:
        pending_settings_.clear();
        fail_points::hit("settings.hup");
        reload_();
        break;
      case SettingsAction::Type::report_applied:
        fail_points::hit("settings.applied");
        if (client_) client_->applied();
        break;
      case SettingsAction::Type::report_refused:
        if (client_) client_->refused(action->message);
        break;
      case SettingsAction::Type::start_receiver:
        // In a later turn: this may be called by the client that is replaced.
        loop_.call_at(loop_.now(), [this, held = action->revision] { start_receiver(held); });
        break;
      case SettingsAction::Type::log:
        log::event(log::Level::warning, "settings.note", {{"what", action->message}});
        break;
    }
  }
  is_carrying_out_ = false;
}

void FleetSettings::write(const SettingsAction& action) {
  const bool for_gatherers = action.type == SettingsAction::Type::write_settings;
  const std::string& path = for_gatherers ? file_ : good_file_;
  std::string error;
  try {
    fail_points::hit(for_gatherers ? "settings.before" : "settings.good.before");
    if (action.revision) {
      disk_.replace_file(path, distribution::put(*action.revision).dump() + "\n");
    } else {
      disk_.remove_all(path);
      disk_.sync_directory(disk::parent_directory(path));
    }
    fail_points::hit(for_gatherers ? "settings.written" : "settings.good.written");
  } catch (const disk::DiskError& disk_error) {
    error = disk_error.what();
    log::event(log::Level::error, "settings.not_written", {{"why", error}});
  }
  if (for_gatherers && error.empty()) {
    since_ms_ = loop_.clock().wall() / 1ms;
    log::event(log::Level::info, "settings.written",
               {{"index", action.revision ? action.revision->index : 0}});
  }
  supervisor_.on_written(action.type, error);
}

void FleetSettings::start_receiver(std::optional<Revision> held) {
  const auto seed = static_cast<std::uint32_t>(hash_string(name_)) + clients_started_++;
  client_ = std::make_unique<distribution::ReceiverClient>(
      loop_, distribution::Receiver::Identity{name_, options_.zone, options_.fleet}, options_.control_nodes,
      options_.preferred, std::move(held), seed, [this](const Revision& revision) {
        log::event(log::Level::info, "settings.offered",
                   {{"index", revision.index}, {"author", revision.author}});
        supervisor_.on_revision_offered(revision);
        carry_out_actions();
      });
}

json FleetSettings::status() const {
  const std::optional<Revision>& settings = supervisor_.settings();
  json out = {{"fleet", options_.fleet},
              {"index", settings ? settings->index : 0},
              {"digest", settings ? settings->digest : ""},
              {"since_ms", since_ms_},
              {"good", index_of(supervisor_.good())},
              {"phase", name_of(supervisor_.phase())},
              {"runs", supervisor_.running() ? json(*supervisor_.running()) : json(nullptr)},
              {"impossible", supervisor_.unexpected_events()}};
  if (const auto& refusal = supervisor_.refusal())
    out["refused"] = {{"index", refusal->index}, {"digest", refusal->digest}, {"why", refusal->why}};
  if (!pending_settings_.empty()) out["waits_for_start"] = pending_settings_;
  if (!supervisor_.write_error().empty()) out["write_wrong"] = supervisor_.write_error();
  if (!file_error_.empty()) out["file_wrong"] = file_error_;
  if (!client_) return out;
  const distribution::Receiver& receiver = client_->receiver();
  const distribution::Receiver::Tally& tally = receiver.tally();
  out["node"] = options_.control_nodes.at(receiver.node()).text();
  out["calls"] = tally.calls;
  out["failures"] = tally.failures;
  out["last_failure"] = receiver.last_failure();
  out["node_changes"] = tally.node_changes;
  out["wrong_digest"] = tally.wrong_digest;
  out["older"] = tally.older;
  return out;
}

}  // namespace marbledyke::keeper
