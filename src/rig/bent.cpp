#include "rig/bent.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "fail_points/fail_points.h"

namespace marbledyke {
namespace rig {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

[[noreturn]] void refuse(const std::string& path, int error) {
  throw disk::DiskError(path + ": " + std::strerror(error));
}

void end_here() {
  kill(getpid(), SIGKILL);
  pause();
}

Bends read_bends(const char* path) {
  Bends out;
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  const json from = json::parse(text.str(), nullptr, false);
  if (!from.is_object()) return out;
  if (const auto clock = from.find("clock"); clock != from.end()) {
    out.rate = clock->value("rate", 1.0);
    out.step_ms = clock->value("step_ms", std::int64_t{0});
  }
  if (const auto disk = from.find("disk"); disk != from.end()) {
    out.full = disk->value("full", false);
    out.read_only = disk->value("read_only", false);
    out.lies = disk->value("lies", false);
    out.slow_ms = disk->value("slow_ms", std::int64_t{0});
    out.tears = disk->value("tears", std::int64_t{-1});
  }
  if (const auto point = from.find("point"); point != from.end()) {
    out.point = point->value("name", "");
    out.what = point->value("do", "kill");
    out.nth = point->value("nth", 1);
  }
  return out;
}

class BentFile final : public disk::File {
 public:
  BentFile(std::string path, unsigned mode) : path_(std::move(path)), mode_(mode) {
    // The name is there at once, the bytes are not.
    const int fd = open(path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode_);
    if (fd < 0) refuse(path_, errno);
    ::close(fd);
  }
  void write(std::string_view bytes) override {
    if (bends().read_only) refuse(path_, EROFS);
    if (bends().full) refuse(path_, ENOSPC);
    bytes_ += bytes;
  }
  void sync() override {
    const Bends now = bends();
    if (now.slow_ms > 0) usleep(static_cast<useconds_t>(now.slow_ms * 1000));
    if (now.read_only) refuse(path_, EROFS);
    if (now.full) refuse(path_, ENOSPC);
    if (now.tears >= 0) {
      put(std::min(bytes_.size(), static_cast<std::size_t>(now.tears)));
      end_here();
    }
    if (now.lies) return;
    put(bytes_.size());
  }

 private:
  void put(std::size_t count) {
    if (put_ == count && count > 0) return;
    const int fd = open(path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode_);
    if (fd < 0) refuse(path_, errno);
    std::size_t done = 0;
    while (done < count) {
      const ssize_t got = ::write(fd, bytes_.data() + done, count - done);
      if (got <= 0) break;
      done += static_cast<std::size_t>(got);
    }
    ::close(fd);
    put_ = count;
    if (done < count) refuse(path_, ENOSPC);
  }
  std::string path_, bytes_;
  unsigned mode_;
  std::size_t put_ = 0;
};

}  // namespace

const Bends& bends() {
  static Bends now;
  static std::chrono::steady_clock::time_point looked{};
  static timespec changed{};
  const char* const path = std::getenv("MARBLEDYKE_BENT");
  if (path == nullptr) return now;
  const auto machine = std::chrono::steady_clock::now();
  if (machine - looked < 5ms) return now;
  looked = machine;
  struct stat is {};
  if (stat(path, &is) != 0) {
    now = {};
    return now;
  }
  if (is.st_mtim.tv_sec == changed.tv_sec && is.st_mtim.tv_nsec == changed.tv_nsec) return now;
  changed = is.st_mtim;
  now = read_bends(path);
  return now;
}

BentClock::BentClock() : machine_then_(machine_.steady()), own_then_(machine_then_) {}

void BentClock::follow() const {
  const double rate = bends().rate;
  if (rate == rate_) return;
  const Duration machine = machine_.steady();
  own_then_ +=
      Duration(static_cast<std::int64_t>(static_cast<double>((machine - machine_then_).count()) * rate_));
  machine_then_ = machine;
  rate_ = rate;
}

Duration BentClock::steady() const {
  follow();
  return own_then_ + Duration(static_cast<std::int64_t>(
                         static_cast<double>((machine_.steady() - machine_then_).count()) * rate_));
}

// What is off shows on the wall clock too, as on a machine that nothing corrects.
Duration BentClock::wall() const {
  return machine_.wall() + (steady() - machine_.steady()) +
         Duration(std::chrono::milliseconds(bends().step_ms));
}

Duration BentClock::machine_duration(Duration own) const {
  follow();
  return Duration(static_cast<std::int64_t>(static_cast<double>(own.count()) / std::max(rate_, 0.001)));
}

std::unique_ptr<disk::File> BentDisk::create_file(const std::string& path, unsigned mode) {
  if (bends().read_only) refuse(path, EROFS);
  if (bends().full) refuse(path, ENOSPC);
  return std::make_unique<BentFile>(path, mode);
}

void BentDisk::rename(const std::string& from, const std::string& to) {
  if (bends().read_only) refuse(to, EROFS);
  LocalDisk::rename(from, to);
}

void BentDisk::make_directory(const std::string& path) {
  struct stat is {};
  if (stat(path.c_str(), &is) == 0) return;
  if (bends().read_only) refuse(path, EROFS);
  if (bends().full) refuse(path, ENOSPC);
  LocalDisk::make_directory(path);
}

void BentDisk::create_symlink(const std::string& to, const std::string& path) {
  if (bends().read_only) refuse(path, EROFS);
  if (bends().full) refuse(path, ENOSPC);
  LocalDisk::create_symlink(to, path);
}

void BentDisk::sync_directory(const std::string& path) {
  const Bends now = bends();
  if (now.slow_ms > 0) usleep(static_cast<useconds_t>(now.slow_ms * 1000));
  LocalDisk::sync_directory(path);
}

}  // namespace rig

namespace fail_points {

// The lab's: what the bends name is done there.
void hit(const char* name) {
  static int reached = 0;
  const rig::Bends& now = rig::bends();
  if (now.point != name) return;
  reached += 1;
  if (reached != now.nth) return;
  ::kill(::getpid(), now.what == "stop" ? SIGSTOP : SIGKILL);
}

}  // namespace fail_points
}  // namespace marbledyke
