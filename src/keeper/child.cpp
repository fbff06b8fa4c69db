#include "keeper/child.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <vector>

#include "fail_points/fail_points.h"
#include "net/address.h"

namespace marbledyke::keeper {
namespace {

constexpr std::size_t kMostLine = 256 * 1024;
constexpr int kListener = 3;  // its number in the process that is started

[[noreturn]] void refuse(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

// The fields of /proc/PID/stat after the name, from the third on (proc(5)).
std::vector<std::string> stat_of(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  if (pid <= 0 || !std::getline(in, line) || line.rfind(')') == std::string::npos) return {};
  std::istringstream rest(line.substr(line.rfind(')') + 1));
  std::vector<std::string> out;
  for (std::string field; rest >> field;) out.push_back(field);
  return out;
}

std::string how_of(int status) {
  if (WIFEXITED(status)) return "status " + std::to_string(WEXITSTATUS(status));
  if (WIFSIGNALED(status)) return std::string("signal ") + strsignal(WTERMSIG(status));
  return "status unknown";
}

}  // namespace

std::optional<std::uint64_t> started_at(pid_t pid) {
  const std::vector<std::string> fields = stat_of(pid);
  if (fields.size() < 20) return std::nullopt;
  return std::strtoull(fields[19].c_str(), nullptr, 10);
}

// The reading end of the pipe, kept open over the lives of gatherers; a line at a time.
class Child::Reading final : public net::Watcher {
 public:
  Reading(net::Loop& loop, const std::string& path, std::function<void(const std::string&)> told)
      : loop_(loop), told_(std::move(told)) {
    if (mkfifo(path.c_str(), 0600) != 0 && errno != EEXIST) refuse(path);
    // Open for writing too, so that it does not end when nobody writes.
    fd_ = net::Descriptor(open(path.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC));
    struct stat is {};
    if (!fd_ || fstat(fd_.get(), &is) != 0) refuse(path);
    if (!S_ISFIFO(is.st_mode)) {
      errno = EINVAL;
      refuse(path);
    }
    place_ = loop_.watch(fd_.get(), *this);
  }
  ~Reading() override { loop_.forget(fd_.get(), place_); }

  void ready(bool, bool) override {
    char bytes[64 * 1024];
    for (;;) {
      const ssize_t got = read(fd_.get(), bytes, sizeof bytes);
      if (got < 0 && errno == EINTR) continue;
      if (got <= 0) return;
      take({bytes, static_cast<std::size_t>(got)});
    }
  }

 private:
  void take(std::string_view bytes) {
    while (!bytes.empty()) {
      const std::size_t end = bytes.find('\n');
      if (end == std::string_view::npos) {
        if (!skipping_) line_ += bytes;
        if (line_.size() > kMostLine) {
          skipping_ = true;  // no event is as long; it is passed over
          line_.clear();
        }
        return;
      }
      if (!skipping_) line_ += bytes.substr(0, end);
      bytes.remove_prefix(end + 1);
      if (!std::exchange(skipping_, false) && !line_.empty()) told_(line_);
      line_.clear();
    }
  }

  net::Loop& loop_;
  std::function<void(const std::string&)> told_;
  net::Descriptor fd_;
  std::uint32_t place_ = 0;
  std::string line_;
  bool skipping_ = false;
};

Child::Child(net::Loop& loop, std::string folder, int slot, Told told)
    : loop_(loop), folder_(std::move(folder)), slot_(slot), told_(std::move(told)) {
  reading_ =
      std::make_unique<Reading>(loop_, at("events"), [this](const std::string& line) { told_.line(line); });
}

Child::~Child() {
  if (pidfd_) loop_.forget(pidfd_.get(), place_);
}

std::string Child::at(const char* name) const { return folder_ + "/" + name + "-" + std::to_string(slot_); }

void Child::begin(const Start& start) {
  const std::string lock = at("lock"), born = at("born"), events = at("events");
  std::vector<std::string> words{start.program, "serve"};
  if (!start.operator_file.empty()) words.insert(words.end(), {"--operator", start.operator_file});
  std::vector<char*> plain;
  for (std::string& word : words) plain.push_back(word.data());
  plain.push_back(nullptr);
  fail_points::hit("begin.before");
  const pid_t pid = fork();
  if (pid < 0) refuse("fork");
  if (pid == 0) {
    // A group of its own: what ends the keeper from a terminal does not end what it watches.
    setpgid(0, 0);
    const int held = open(lock.c_str(), O_RDWR | O_CREAT, 0600);
    if (held < 0 || flock(held, LOCK_EX | LOCK_NB) != 0) _exit(126);
    {
      std::ofstream out(born + ".new", std::ios::trunc);
      out << getpid() << ' ' << started_at(getpid()).value_or(0) << ' ' << start.version << '\n';
      out.flush();
      if (!out) _exit(125);
    }
    if (rename((born + ".new").c_str(), born.c_str()) != 0) _exit(125);
    fail_points::hit("child.born");
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    ::signal(SIGPIPE, SIG_DFL);
    setenv("PROXY_CONFIG", start.configuration.c_str(), 1);
    setenv("MARBLEDYKE_EVENTS", events.c_str(), 1);
    if (start.settings.empty()) {
      unsetenv("MARBLEDYKE_SETTINGS");
    } else {
      setenv("MARBLEDYKE_SETTINGS", start.settings.c_str(), 1);
    }
    if (start.listener >= 0) {
      int held_now = held;
      if (held_now == kListener) held_now = dup(held);
      if (dup2(start.listener, kListener) < 0) _exit(125);
      if (start.listener == kListener) fcntl(kListener, F_SETFD, 0);
      setenv("MARBLEDYKE_LISTEN_FD", std::to_string(kListener).c_str(), 1);
    } else {
      unsetenv("MARBLEDYKE_LISTEN_FD");
    }
    execv(plain[0], plain.data());
    _exit(127);
  }
  fail_points::hit("begin.after");
  own_ = true;
  born_ = {pid, started_at(pid).value_or(0), start.version};
  follow(pid);
}

void Child::follow(pid_t pid) {
  pidfd_ = net::Descriptor(static_cast<int>(syscall(SYS_pidfd_open, pid, 0)));
  if (!pidfd_) refuse("pidfd_open");
  place_ = loop_.watch(pidfd_.get(), *this);
}

std::optional<Born> Child::adopt() {
  const net::Descriptor lock(open(at("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock) refuse(at("lock"));
  // Nobody holds it: whatever pid is written there belongs to somebody else by now.
  if (flock(lock.get(), LOCK_EX | LOCK_NB) == 0) return std::nullopt;
  // One that has the lock writes its pid next, unless it is ended in between.
  for (int tries = 0; tries < 50; ++tries, usleep(20'000)) {
    std::ifstream in(at("born"));
    Born born;
    if ((in >> born.pid >> born.ticks >> born.version) && started_at(born.pid) == born.ticks) {
      own_ = false;
      follow(born.pid);
      if (started_at(born.pid) == born.ticks) return born_ = born;
      loop_.forget(pidfd_.get(), place_);
      pidfd_.close();
    }
    if (flock(lock.get(), LOCK_EX | LOCK_NB) == 0) return std::nullopt;
  }
  errno = EBUSY;
  refuse(at("lock") + ": held by a process that is not known");
}

net::Descriptor Child::listener_of(const std::string& address_text) const {
  const auto wanted = net::parse_address(address_text);
  if (!wanted || !pidfd_) return {};
  sockaddr_storage own{};
  const socklen_t own_size = wanted->put(own);
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(born_.pid) + "/fd", ignored)) {
    const int number = std::atoi(entry.path().filename().c_str());
    net::Descriptor fd(static_cast<int>(syscall(SYS_pidfd_getfd, pidfd_.get(), number, 0)));
    int listens = 0;
    socklen_t size = sizeof listens;
    sockaddr_storage name{};
    socklen_t name_size = sizeof name;
    if (fd && getsockopt(fd.get(), SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0 &&
        getsockname(fd.get(), reinterpret_cast<sockaddr*>(&name), &name_size) == 0 && name_size == own_size &&
        std::memcmp(&name, &own, own_size) == 0)
      return fd;
  }
  return {};
}

void Child::signal(int which) {
  if (pidfd_) syscall(SYS_pidfd_send_signal, pidfd_.get(), which, nullptr, 0);
}

void Child::relabel(const std::string& version) {
  born_.version = version;
  const std::string born = at("born");
  std::ofstream out(born + ".new", std::ios::trunc);
  out << born_.pid << ' ' << born_.ticks << ' ' << version << '\n';
  out.flush();
  if (out) rename((born + ".new").c_str(), born.c_str());
}

Usage Child::usage() const {
  const std::vector<std::string> fields = stat_of(born_.pid);
  Usage out;
  if (!pidfd_ || fields.size() < 22) return out;
  const auto tick = static_cast<double>(sysconf(_SC_CLK_TCK));
  out.cpu = (std::strtod(fields[11].c_str(), nullptr) + std::strtod(fields[12].c_str(), nullptr)) / tick;
  out.rss =
      std::strtoull(fields[21].c_str(), nullptr, 10) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return out;
}

// The process has ended.
void Child::ready(bool readable, bool) {
  if (!readable || !pidfd_) return;
  int status = 0;
  std::string how = "status unknown";
  was_killed_ = false;
  if (own_ && waitpid(born_.pid, &status, 0) == born_.pid) {
    how = how_of(status);
    was_killed_ = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  }
  reading_->ready(true, false);  // what it said last comes before its end
  loop_.forget(pidfd_.get(), place_);
  pidfd_.close();
  born_ = {};
  told_.ended(how);
}

}  // namespace marbledyke::keeper
