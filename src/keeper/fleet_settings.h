// The fleet's settings at one keeper: carries out the actions of keeper::SettingsSupervisor on the files
// DIRECTORY/settings.json and DIRECTORY/settings.good.json, the control nodes and the gatherer, and reports
// events to it. Makes no decisions itself.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "disk/disk.h"
#include "distribution/receiver_client.h"
#include "keeper/settings_supervisor.h"
#include "net/loop.h"

namespace marbledyke::keeper {

struct FleetSettingsOptions {
  std::vector<net::Address> control_nodes;  // those of the keeper's region first; none: no fleet settings
  std::size_t preferred = 1;                // the number of preferred nodes, at the front of control_nodes
  std::string fleet, zone;
};

class FleetSettings {
 public:
  // `reload` makes the serving gatherer reload its settings.
  FleetSettings(net::Loop& loop, disk::Disk& disk, std::string directory, std::string name,
                FleetSettingsOptions options, const SettingsPolicy& policy, std::function<void()> reload);

  // The path of the file that gatherers read.
  const std::string& file() const { return file_; }
  // The events of SettingsSupervisor. `pending_settings`: the settings that take effect at the next start
  // only.
  void tick(GathererStatus gatherer);
  void on_running_revision(std::optional<std::int64_t> index);
  void on_reload_accepted(std::optional<std::int64_t> index, const std::string& pending_settings);
  void on_reload_refused(const std::string& why);
  void on_gatherer_exited(bool ordered, const std::string& how);
  // Says whether a gatherer has been told to reload and has not reported the result.
  bool is_reloading() const { return supervisor_.is_reloading(); }
  nlohmann::json status() const;

 private:
  std::optional<distribution::Revision> load(const std::string& path);
  void carry_out_actions();
  void write(const SettingsAction& action);
  void start_receiver(std::optional<distribution::Revision> held);

  net::Loop& loop_;
  disk::Disk& disk_;
  std::string file_, good_file_, name_;
  FleetSettingsOptions options_;
  std::function<void()> reload_;
  SettingsSupervisor supervisor_;
  std::unique_ptr<distribution::ReceiverClient> client_;
  std::uint32_t clients_started_ = 0;
  std::int64_t since_ms_ = 0;     // wall clock of the last change of the settings
  std::string pending_settings_;  // take effect at the gatherer's next start
  std::string file_error_;        // why a file could not be read at the start
  bool is_carrying_out_ = false;
};

}  // namespace marbledyke::keeper
