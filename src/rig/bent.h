// What the lab can do to one process from outside: bend its clock, spoil its disk, end or stop it at a named
// point of its code. The faults are read from a file that the environment names (MARBLEDYKE_BENT), as JSON,
// and read anew whenever it has changed, so they begin and end while the process runs. Only programs of the
// lab link this.
//
//   {"clock": {"rate": 1.5, "step_ms": -3600000},
//    "disk": {"full": true, "read_only": true, "slow_ms": 2000, "lies": true, "tears": 40},
//    "point": {"name": "state.after", "nth": 2, "do": "kill" | "stop"}}
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "disk/disk.h"
#include "model/clock.h"

namespace marbledyke::rig {

struct Bends {
  double rate = 1;           // of the steady clock, from the moment on that it is read
  std::int64_t step_ms = 0;  // what the wall clock is off
  bool full = false, read_only = false;
  bool lies = false;  // sync says it is done and does nothing: what was written is lost with the process
  std::int64_t slow_ms = 0;  // each sync takes so much longer
  std::int64_t tears = -1;   // only so many bytes of the next file get to the disk, and the process ends
  std::string point, what = "kill";
  int nth = 1;
};

// The newest; looks at the file at most every 5 ms of the machine's time.
const Bends& bends();

class BentClock final : public TimeSource {
 public:
  BentClock();
  Duration steady() const override;
  Duration wall() const override;
  Duration machine_duration(Duration own) const override;

 private:
  void follow() const;  // a rate that changed counts from now on
  SystemTimeSource machine_;
  mutable Duration machine_then_{}, own_then_{};
  mutable double rate_ = 1;
};

// What was not synced never gets there: the worst that a machine that loses its power may do.
class BentDisk final : public disk::LocalDisk {
 public:
  std::unique_ptr<disk::File> create_file(const std::string& path, unsigned mode) override;
  void rename(const std::string& from, const std::string& to) override;
  void make_directory(const std::string& path) override;
  void create_symlink(const std::string& to, const std::string& path) override;
  void sync_directory(const std::string& path) override;
};

}  // namespace marbledyke::rig
