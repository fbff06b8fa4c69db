// The keeper of one machine's gatherer: carries out the actions of keeper::Supervisor on processes, files and
// the control interface, and reports events to it. Makes no decisions itself.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "disk/disk.h"
#include "keeper/control_server.h"
#include "keeper/fleet_settings.h"
#include "keeper/gatherer_process.h"
#include "keeper/supervisor.h"
#include "keeper/version_check.h"
#include "keeper/versions.h"
#include "net/loop.h"
#include "totals/totals.h"

namespace marbledyke::keeper {

struct Options {
  std::string name;
  std::string folder;
  net::Address control;
  SupervisorPolicy policy;
  FleetSettingsOptions settings;
};

class Keeper {
 public:
  // Throws std::system_error, disk::DiskError or config::BadInput; among other causes where another keeper
  // uses the directory.
  Keeper(net::Loop& loop, disk::Disk& disk, const Options& options);
  ~Keeper();
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  // Begins an orderly shutdown together with the gatherer; is_running() turns false at its end.
  void shut_down();
  bool is_running() const { return !stopped_; }

  // Answers a request to the control interface.
  Reply on_request(const std::string& method, const std::string& target, const std::string& body);

 private:
  struct Slot {
    std::unique_ptr<GathererProcess> process;
    totals::WindowHistory series;
    std::int64_t started_ms = 0;  // wall clock
    bool stop_ordered = false;
    bool killed_by_keeper = false;  // it hung, or did not start or stop in time
    std::uint64_t unreadable_lines = 0, windows = 0, missed_windows = 0, last_window_number = 0;
    std::uint64_t events = 0;
    std::string pending_settings;  // take effect at the next start; since the last SIGHUP
  };

  void carry_out_actions();
  bool write_state(const KeeperState& state);
  void start_process(int slot, const std::string& version);
  int listener_for(const std::string& version);
  std::string listen_address_of(const std::string& version) const;
  void on_event_line(int slot, const std::string& text);
  void check_health();
  void on_timer();
  void start_fleet_settings();
  GathererStatus gatherer_status() const;
  void tick_fleet_settings();
  void report_exit_to_fleet_settings(int slot, const std::string& how);
  void reload(int slot);
  void send_deferred_reload();
  void on_reload_result(int slot, bool accepted, std::optional<std::int64_t> index, const std::string& why);
  void copy_next_block();
  void check_version(const std::string& version);
  Reply on_order(const std::string& body);
  std::string status() const;
  std::uint64_t free_bytes() const;
  std::string windows(std::int64_t from_ms) const;

  net::Loop& loop_;
  disk::Disk& disk_;
  Options options_;
  net::Descriptor lock_;
  Versions versions_;
  std::unique_ptr<Supervisor> supervisor_;
  std::unique_ptr<FleetSettings> settings_;  // none where no control node was named
  std::optional<int> deferred_reload_;       // the slot; until the gatherer has reloaded the fleet's settings
  Slot slots_[kSlots];
  std::string listen_address_;  // of listener_, the socket that clients connect to
  net::Descriptor listener_;
  std::unique_ptr<ControlServer> control_;
  std::unique_ptr<Versions::Copier> copier_;
  std::unique_ptr<VersionCheck> version_check_;
  std::unique_ptr<net::Stream> health_call_;
  std::vector<std::unique_ptr<net::Stream>> closed_calls_;  // destroyed in the next turn
  bool health_answered_ = false;
  Duration next_health_check_{};
  std::int64_t since_ms_ = 0;
  std::string state_error_, write_error_;  // why the state could not be read, or written
  std::optional<net::Loop::Timer> timer_;
  bool is_carrying_out_ = false, stopped_ = false;
};

}  // namespace marbledyke::keeper
