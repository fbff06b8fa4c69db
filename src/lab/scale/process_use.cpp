#include "lab/scale/process_use.h"

#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace marbledyke::lab::scale {
namespace {

std::int64_t nanoseconds(clockid_t clock) {
  timespec now{};
  if (clock_gettime(clock, &now) != 0) return 0;
  return std::int64_t{now.tv_sec} * 1'000'000'000 + now.tv_nsec;
}

}  // namespace

double cpu_seconds(pid_t pid) {
  clockid_t clock{};
  if (pid <= 0 || clock_getcpuclockid(pid, &clock) != 0) return 0;
  return static_cast<double>(nanoseconds(clock)) / 1e9;
}

double resident_megabytes(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  std::uint64_t size = 0, resident = 0;
  if (!(in >> size >> resident)) return 0;
  return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

std::size_t open_descriptors(pid_t pid) {
  std::error_code wrong;
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid) + "/fd", wrong);
  if (wrong) return 0;
  return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

std::size_t raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 0;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

std::int64_t machine_microseconds() { return nanoseconds(CLOCK_MONOTONIC) / 1000; }

}  // namespace marbledyke::lab::scale
