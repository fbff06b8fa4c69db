// The keeper of one machine's gatherer: carries out what keeper::Minder decides, over processes, files and
// the control address, and tells it what happens. Decides nothing itself.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "disk/disk.h"
#include "keeper/child.h"
#include "keeper/control.h"
#include "keeper/minder.h"
#include "keeper/settings_keeper.h"
#include "keeper/tryout.h"
#include "keeper/versions.h"
#include "net/loop.h"
#include "totals/totals.h"

namespace marbledyke::keeper {

struct Options {
  std::string name;
  std::string folder;
  net::Address control;
  Policy policy;
  SettingsOptions settings;
};

class Keeper {
 public:
  // Throws std::system_error, disk::DiskError or config::BadInput; among others where another keeper has the
  // folder.
  Keeper(net::Loop& loop, disk::Disk& disk, const Options& options);
  ~Keeper();
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  void leave();  // in order, with its gatherer
  bool running() const { return !left_; }

  Reply asked(const std::string& method, const std::string& target, const std::string& body);

 private:
  struct Slot {
    std::unique_ptr<Child> child;
    totals::Series series;
    std::int64_t began_ms = 0;
    bool stopping = false;
    bool felled = false;  // by this keeper, because it hung or did not come up
    std::uint64_t unreadable = 0, windows = 0, missed = 0, number = 0;
    std::uint64_t events = 0;
    std::string waits;  // settings that wait for a start, since the last SIGHUP
  };

  void carry_out();
  bool write(const Kept& kept);
  void begin(int slot, const std::string& version);
  int listener_for(const std::string& version);
  std::string listen_of(const std::string& version) const;
  void line(int slot, const std::string& text);
  void ask_health();
  void beat();
  void start_settings();
  Host host() const;
  void tick_settings();
  void tell_settings_ended(int slot, const std::string& how);
  void hup(int slot);
  void send_hup_that_waited();
  void read_said(int slot, bool taken, std::optional<std::int64_t> index, const std::string& why);
  void take_some();
  void try_out(const std::string& version);
  Reply order(const std::string& body);
  std::string status() const;
  std::uint64_t room_bytes() const;
  std::string windows(std::int64_t from_ms) const;

  net::Loop& loop_;
  disk::Disk& disk_;
  Options options_;
  net::Descriptor lock_;
  Versions versions_;
  std::unique_ptr<Minder> minder_;
  std::unique_ptr<SettingsKeeper> settings_;  // of the fleet; none where no control node was named
  std::optional<int> hup_waits_;              // the slot; until the gatherer has read the fleet's settings
  Slot slots_[kSlots];
  std::string listening_;  // the address of the socket that clients connect to, and the socket
  net::Descriptor listener_;
  std::unique_ptr<Control> control_;
  std::unique_ptr<Versions::Taking> taking_;
  std::unique_ptr<Tryout> trying_;
  std::unique_ptr<net::Stream> health_;
  std::vector<std::unique_ptr<net::Stream>> graves_;
  bool health_said_ = false;
  Duration health_next_{};
  std::int64_t since_ms_ = 0;
  std::string state_wrong_, write_wrong_;  // why the kept state could not be read, or written
  std::optional<net::Loop::Timer> beat_;
  bool carrying_ = false, left_ = false;
};

}  // namespace marbledyke::keeper
