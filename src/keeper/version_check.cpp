#include "keeper/version_check.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace marbledyke::keeper {
namespace {
constexpr std::size_t kMaxOutputBytes = 300;
}  // namespace

VersionCheck::VersionCheck(net::Loop& loop, std::vector<Step> steps,
                           std::function<void(const Result&)> on_done)
    : loop_(loop), steps_(std::move(steps)), on_done_(std::move(on_done)) {
  timer_ = loop_.call_at(loop_.now(), [this] { run_next_step(); });
}

VersionCheck::~VersionCheck() {
  loop_.cancel(timer_);
  if (pidfd_) loop_.unwatch(pidfd_.get(), watch_id_);
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void VersionCheck::run_next_step() {
  if (step_index_ == steps_.size()) {
    const auto on_done = std::move(on_done_);
    return on_done(Result(result_));  // may destroy this object
  }
  const Step& step = steps_[step_index_];
  std::vector<std::string> arguments{step.program, "check"};
  arguments.insert(arguments.end(), step.files.begin(), step.files.end());
  std::vector<char*> argv;
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  int pipe_ends[2];
  if (pipe2(pipe_ends, O_CLOEXEC) != 0) return on_step_ended(false, std::strerror(errno));
  output_ = net::Descriptor(pipe_ends[0]);
  net::Descriptor write_end(pipe_ends[1]);
  fcntl(output_.get(), F_SETFL, O_NONBLOCK);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) return on_step_ended(false, std::strerror(errno));
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    dup2(write_end.get(), 1);
    dup2(write_end.get(), 2);
    unsetenv("MARBLEDYKE_EVENTS");
    unsetenv("MARBLEDYKE_LISTEN_FD");
    execv(argv[0], argv.data());
    _exit(127);
  }
  pidfd_ = net::Descriptor(static_cast<int>(syscall(SYS_pidfd_open, pid_, 0)));
  if (!pidfd_) {
    kill(pid_, SIGKILL);
    waitpid(std::exchange(pid_, -1), nullptr, 0);
    return on_step_ended(false, "pidfd_open failed");
  }
  watch_id_ = loop_.watch(pidfd_.get(), *this);
  timed_out_ = false;
  timer_ = loop_.call_at(loop_.now() + kTimeout, [this] {
    timed_out_ = true;
    kill(pid_, SIGKILL);
  });
}

void VersionCheck::on_ready(bool, bool) {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return;
  pid_ = -1;
  loop_.cancel(timer_);
  loop_.unwatch(pidfd_.get(), watch_id_);
  pidfd_.close();
  char bytes[kMaxOutputBytes];
  const ssize_t count = read(output_.get(), bytes, sizeof bytes);
  std::string output(bytes, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  output = output.substr(0, output.find('\n'));
  if (timed_out_) output = "did not end in time";
  if (output.empty() && status != 0) output = "exited without output";
  on_step_ended(!timed_out_ && WIFEXITED(status) && WEXITSTATUS(status) == 0, output);
}

void VersionCheck::on_step_ended(bool passed, const std::string& output) {
  const Step& step = steps_[step_index_++];
  if (!passed) {
    std::string& text = step.required ? result_.error : result_.notes;
    text += (text.empty() ? "" : "; ") + step.failure + ": " + output;
    if (step.required) step_index_ = steps_.size();
  }
  timer_ = loop_.call_at(loop_.now(), [this] { run_next_step(); });
}

}  // namespace marbledyke::keeper
