// The fleet's settings at one keeper: carries out what keeper::SettingsHolder decides, over the files
// FOLDER/settings.json and FOLDER/settings.good.json, the control nodes and the gatherer, and tells it what
// happens. Decides nothing itself.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "disk/disk.h"
#include "distribution/receiver_client.h"
#include "keeper/settings_holder.h"
#include "net/loop.h"

namespace marbledyke::keeper {

struct SettingsOptions {
  std::vector<net::Address> control_nodes;  // those of the own region first; none: no settings for the fleet
  std::size_t preferred = 1;                // how many of them are preferred
  std::string fleet, zone;
};

class SettingsKeeper {
 public:
  // `hup` has the gatherer that serves read its settings.
  SettingsKeeper(net::Loop& loop, disk::Disk& disk, std::string folder, std::string name,
                 SettingsOptions options, const HolderPolicy& policy, std::function<void()> hup);

  const std::string& file() const { return file_; }  // that gatherers read
  void tick(Host host);
  void runs(std::optional<std::int64_t> index);
  void taken(std::optional<std::int64_t> index, const std::string& waits);
  void refused(const std::string& why);
  void ended(bool ordered, const std::string& how);
  // A gatherer has been told to read and has not said yet what it made of it.
  bool trying() const { return holder_.trying(); }
  nlohmann::json status() const;

 private:
  std::optional<distribution::Revision> load(const std::string& path);
  void carry_out();
  void write(const HolderAct& act);
  void watch(std::optional<distribution::Revision> held);

  net::Loop& loop_;
  disk::Disk& disk_;
  std::string file_, good_file_, name_;
  SettingsOptions options_;
  std::function<void()> hup_;
  SettingsHolder holder_;
  std::unique_ptr<distribution::ReceiverClient> client_;
  std::uint32_t lives_ = 0;    // of clients
  std::int64_t since_ms_ = 0;  // the settings are as they are, wall clock
  std::string waits_;          // settings that wait for the gatherer's next start
  std::string file_wrong_;     // why a file could not be read at the start
  bool carrying_ = false;
};

}  // namespace marbledyke::keeper
