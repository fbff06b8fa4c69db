#include "keeper/tryout.h"

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
constexpr std::size_t kMostSaid = 300;
}  // namespace

Tryout::Tryout(net::Loop& loop, std::vector<Step> steps, std::function<void(const Result&)> told)
    : loop_(loop), steps_(std::move(steps)), told_(std::move(told)) {
  timer_ = loop_.call_at(loop_.now(), [this] { next(); });
}

Tryout::~Tryout() {
  loop_.cancel(timer_);
  if (pidfd_) loop_.unwatch(pidfd_.get(), place_);
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Tryout::next() {
  if (at_ == steps_.size()) {
    const auto told = std::move(told_);
    return told(Result(result_));  // may be the end of this
  }
  const Step& step = steps_[at_];
  std::vector<std::string> words{step.program, "check"};
  words.insert(words.end(), step.files.begin(), step.files.end());
  std::vector<char*> plain;
  for (std::string& word : words) plain.push_back(word.data());
  plain.push_back(nullptr);
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) return ended(false, std::strerror(errno));
  said_ = net::Descriptor(ends[0]);
  net::Descriptor in(ends[1]);
  fcntl(said_.get(), F_SETFL, O_NONBLOCK);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) return ended(false, std::strerror(errno));
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    dup2(in.get(), 1);
    dup2(in.get(), 2);
    unsetenv("MARBLEDYKE_EVENTS");
    unsetenv("MARBLEDYKE_LISTEN_FD");
    execv(plain[0], plain.data());
    _exit(127);
  }
  pidfd_ = net::Descriptor(static_cast<int>(syscall(SYS_pidfd_open, pid_, 0)));
  if (!pidfd_) {
    kill(pid_, SIGKILL);
    waitpid(std::exchange(pid_, -1), nullptr, 0);
    return ended(false, "it cannot be watched");
  }
  place_ = loop_.watch(pidfd_.get(), *this);
  late_ = false;
  timer_ = loop_.call_at(loop_.now() + kLimit, [this] {
    late_ = true;
    kill(pid_, SIGKILL);
  });
}

void Tryout::on_ready(bool, bool) {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return;
  pid_ = -1;
  loop_.cancel(timer_);
  loop_.unwatch(pidfd_.get(), place_);
  pidfd_.close();
  char bytes[kMostSaid];
  const ssize_t got = read(said_.get(), bytes, sizeof bytes);
  std::string said(bytes, static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
  said = said.substr(0, said.find('\n'));
  if (late_) said = "it does not end";
  if (said.empty() && status != 0) said = "it ended without a word";
  ended(!late_ && WIFEXITED(status) && WEXITSTATUS(status) == 0, said);
}

void Tryout::ended(bool good, const std::string& said) {
  const Step& step = steps_[at_++];
  if (!good) {
    std::string& into = step.must ? result_.wrong : result_.notes;
    into += (into.empty() ? "" : "; ") + step.what + ": " + said;
    if (step.must) at_ = steps_.size();
  }
  timer_ = loop_.call_at(loop_.now(), [this] { next(); });
}

}  // namespace marbledyke::keeper
