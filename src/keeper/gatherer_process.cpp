#include "keeper/gatherer_process.h"

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

constexpr std::size_t kMaxLineBytes = 256 * 1024;
constexpr int kListener = 3;  // the descriptor of the listening socket in the gatherer
constexpr int kAdoptAttempts = 50;
constexpr useconds_t kAdoptRetryMicroseconds = 20'000;

// Exit statuses of a child that could not become a gatherer.
constexpr int kExitSetupFailed = 125, kExitSlotLocked = 126, kExitNotExecuted = 127;

// Indices into stat_of(), after proc(5): utime, stime, starttime and rss are the fields 14, 15, 22 and 24.
constexpr std::size_t kUserTime = 11, kKernelTime = 12, kStartTime = 19, kResidentPages = 21;

[[noreturn]] void fail(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

// Returns the fields of /proc/PID/stat from the third one on, which follows the process name; empty where
// there is no such process.
std::vector<std::string> stat_of(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  if (pid <= 0 || !std::getline(in, line) || line.rfind(')') == std::string::npos) return {};
  std::istringstream rest(line.substr(line.rfind(')') + 1));
  std::vector<std::string> out;
  for (std::string field; rest >> field;) out.push_back(field);
  return out;
}

std::string describe_exit(int status) {
  if (WIFEXITED(status)) return "status " + std::to_string(WEXITSTATUS(status));
  if (WIFSIGNALED(status)) return std::string("signal ") + strsignal(WTERMSIG(status));
  return "status unknown";
}

}  // namespace

std::optional<std::uint64_t> start_ticks_of(pid_t pid) {
  const std::vector<std::string> fields = stat_of(pid);
  if (fields.size() <= kStartTime) return std::nullopt;
  return std::strtoull(fields[kStartTime].c_str(), nullptr, 10);
}

// The reading end of the named pipe, which stays open from one gatherer to the next. Splits the input into
// lines.
class GathererProcess::EventPipe final : public net::EventHandler {
 public:
  EventPipe(net::Loop& loop, const std::string& path, std::function<void(const std::string&)> on_line)
      : loop_(loop), on_line_(std::move(on_line)) {
    if (mkfifo(path.c_str(), 0600) != 0 && errno != EEXIST) fail(path);
    // Opened for writing too, so that there is no end of file while no gatherer has it open.
    fd_ = net::Descriptor(open(path.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC));
    struct stat status {};
    if (!fd_ || fstat(fd_.get(), &status) != 0) fail(path);
    if (!S_ISFIFO(status.st_mode)) {
      errno = EINVAL;
      fail(path);
    }
    watch_id_ = loop_.watch(fd_.get(), *this);
  }
  ~EventPipe() override { loop_.unwatch(fd_.get(), watch_id_); }

  void on_ready(bool, bool) override {
    char bytes[64 * 1024];
    for (;;) {
      const ssize_t count = read(fd_.get(), bytes, sizeof bytes);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return;
      take({bytes, static_cast<std::size_t>(count)});
    }
  }

 private:
  void take(std::string_view bytes) {
    while (!bytes.empty()) {
      const std::size_t end = bytes.find('\n');
      if (end == std::string_view::npos) {
        if (!skipping_) line_ += bytes;
        if (line_.size() > kMaxLineBytes) {
          skipping_ = true;  // longer than any event: the rest of the line is skipped
          line_.clear();
        }
        return;
      }
      if (!skipping_) line_ += bytes.substr(0, end);
      bytes.remove_prefix(end + 1);
      if (!std::exchange(skipping_, false) && !line_.empty()) on_line_(line_);
      line_.clear();
    }
  }

  net::Loop& loop_;
  std::function<void(const std::string&)> on_line_;
  net::Descriptor fd_;
  std::uint32_t watch_id_ = 0;
  std::string line_;
  bool skipping_ = false;
};

GathererProcess::GathererProcess(net::Loop& loop, std::string directory, int slot, Callbacks callbacks)
    : loop_(loop), directory_(std::move(directory)), slot_(slot), callbacks_(std::move(callbacks)) {
  event_pipe_ = std::make_unique<EventPipe>(
      loop_, path_of("events"), [this](const std::string& line) { callbacks_.on_event_line(line); });
}

GathererProcess::~GathererProcess() {
  if (pidfd_) loop_.unwatch(pidfd_.get(), watch_id_);
}

std::string GathererProcess::path_of(const char* name) const {
  return directory_ + "/" + name + "-" + std::to_string(slot_);
}

void GathererProcess::start(const StartOptions& options) {
  const std::string lock = path_of("lock"), identity_path = path_of("born"), events = path_of("events");
  std::vector<std::string> arguments{options.program, "serve"};
  if (!options.operator_file.empty())
    arguments.insert(arguments.end(), {"--operator", options.operator_file});
  std::vector<char*> argv;
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  fail_points::hit("begin.before");
  const pid_t pid = fork();
  if (pid < 0) fail("fork");
  if (pid == 0) {
    // A process group of its own: a signal from a terminal to the keeper does not reach the gatherer.
    setpgid(0, 0);
    const int lock_file = open(lock.c_str(), O_RDWR | O_CREAT, 0600);
    if (lock_file < 0 || flock(lock_file, LOCK_EX | LOCK_NB) != 0) _exit(kExitSlotLocked);
    {
      std::ofstream out(identity_path + ".new", std::ios::trunc);
      out << getpid() << ' ' << start_ticks_of(getpid()).value_or(0) << ' ' << options.version << '\n';
      out.flush();
      if (!out) _exit(kExitSetupFailed);
    }
    if (rename((identity_path + ".new").c_str(), identity_path.c_str()) != 0) _exit(kExitSetupFailed);
    fail_points::hit("child.born");
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    ::signal(SIGPIPE, SIG_DFL);
    setenv("PROXY_CONFIG", options.configuration.c_str(), 1);
    setenv("MARBLEDYKE_EVENTS", events.c_str(), 1);
    if (options.settings.empty()) {
      unsetenv("MARBLEDYKE_SETTINGS");
    } else {
      setenv("MARBLEDYKE_SETTINGS", options.settings.c_str(), 1);
    }
    if (options.listener >= 0) {
      int lock_descriptor = lock_file;
      if (lock_descriptor == kListener) lock_descriptor = dup(lock_file);
      if (dup2(options.listener, kListener) < 0) _exit(kExitSetupFailed);
      if (options.listener == kListener) fcntl(kListener, F_SETFD, 0);
      setenv("MARBLEDYKE_LISTEN_FD", std::to_string(kListener).c_str(), 1);
    } else {
      unsetenv("MARBLEDYKE_LISTEN_FD");
    }
    execv(argv[0], argv.data());
    _exit(kExitNotExecuted);
  }
  fail_points::hit("begin.after");
  is_child_ = true;
  identity_ = {pid, start_ticks_of(pid).value_or(0), options.version};
  watch(pid);
}

void GathererProcess::watch(pid_t pid) {
  pidfd_ = net::Descriptor(static_cast<int>(syscall(SYS_pidfd_open, pid, 0)));
  if (!pidfd_) fail("pidfd_open");
  watch_id_ = loop_.watch(pidfd_.get(), *this);
}

std::optional<ProcessIdentity> GathererProcess::adopt() {
  const net::Descriptor lock(open(path_of("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock) fail(path_of("lock"));
  // Without a lock holder there is no process; the recorded pid may have been reused.
  if (flock(lock.get(), LOCK_EX | LOCK_NB) == 0) return std::nullopt;
  // A new process takes the lock before it writes its pid, and may be killed in between.
  for (int attempt = 0; attempt < kAdoptAttempts; ++attempt, usleep(kAdoptRetryMicroseconds)) {
    std::ifstream in(path_of("born"));
    ProcessIdentity identity;
    if ((in >> identity.pid >> identity.start_ticks >> identity.version) &&
        start_ticks_of(identity.pid) == identity.start_ticks) {
      is_child_ = false;
      watch(identity.pid);
      if (start_ticks_of(identity.pid) == identity.start_ticks) return identity_ = identity;
      loop_.unwatch(pidfd_.get(), watch_id_);
      pidfd_.close();
    }
    if (flock(lock.get(), LOCK_EX | LOCK_NB) == 0) return std::nullopt;
  }
  errno = EBUSY;
  fail(path_of("lock") + ": locked by an unidentified process");
}

net::Descriptor GathererProcess::duplicate_listener(const std::string& address_text) const {
  const auto wanted_address = net::parse_address(address_text);
  if (!wanted_address || !pidfd_) return {};
  sockaddr_storage wanted_name{};
  const socklen_t wanted_size = wanted_address->to_sockaddr(wanted_name);
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(identity_.pid) + "/fd", ignored)) {
    const int number = std::atoi(entry.path().filename().c_str());
    net::Descriptor fd(static_cast<int>(syscall(SYS_pidfd_getfd, pidfd_.get(), number, 0)));
    int listens = 0;
    socklen_t size = sizeof listens;
    sockaddr_storage name{};
    socklen_t name_size = sizeof name;
    if (fd && getsockopt(fd.get(), SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0 &&
        getsockname(fd.get(), reinterpret_cast<sockaddr*>(&name), &name_size) == 0 &&
        name_size == wanted_size && std::memcmp(&name, &wanted_name, wanted_size) == 0)
      return fd;
  }
  return {};
}

void GathererProcess::signal(int which) {
  if (pidfd_) syscall(SYS_pidfd_send_signal, pidfd_.get(), which, nullptr, 0);
}

void GathererProcess::record_version(const std::string& version) {
  identity_.version = version;
  const std::string identity_path = path_of("born");
  std::ofstream out(identity_path + ".new", std::ios::trunc);
  out << identity_.pid << ' ' << identity_.start_ticks << ' ' << version << '\n';
  out.flush();
  if (out) rename((identity_path + ".new").c_str(), identity_path.c_str());
}

Usage GathererProcess::usage() const {
  const std::vector<std::string> fields = stat_of(identity_.pid);
  Usage out;
  if (!pidfd_ || fields.size() <= kResidentPages) return out;
  const auto tick = static_cast<double>(sysconf(_SC_CLK_TCK));
  out.cpu =
      (std::strtod(fields[kUserTime].c_str(), nullptr) + std::strtod(fields[kKernelTime].c_str(), nullptr)) /
      tick;
  out.rss = std::strtoull(fields[kResidentPages].c_str(), nullptr, 10) *
            static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return out;
}

void GathererProcess::on_ready(bool readable, bool) {
  if (!readable || !pidfd_) return;
  int status = 0;
  std::string how = "status unknown";
  was_killed_ = false;
  if (is_child_ && waitpid(identity_.pid, &status, 0) == identity_.pid) {
    how = describe_exit(status);
    was_killed_ = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  }
  event_pipe_->on_ready(true, false);  // its last events come before its exit
  loop_.unwatch(pidfd_.get(), watch_id_);
  pidfd_.close();
  identity_ = {};
  callbacks_.on_exited(how);
}

}  // namespace marbledyke::keeper
