#include "operator_file/helper.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <climits>
#include <system_error>
#include <vector>

namespace marbledyke::operator_file {
namespace {

using namespace std::chrono_literals;

constexpr auto kPatience = 10s;  // with a file of the most size it takes well under one

std::string program() {
  std::array<char, PATH_MAX> own{};
  const ssize_t size = readlink("/proc/self/exe", own.data(), own.size());
  const std::string path(own.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
  return path.substr(0, path.rfind('/') + 1) + "marbledyke-operator";
}

// Gives the child, or -1 with errno. `out`: where its standard output goes; -1: where ours does.
pid_t spawn(std::vector<std::string> words, int out) {
  words.insert(words.begin(), program());
  std::vector<char*> plain;
  for (std::string& word : words) plain.push_back(word.data());
  plain.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
  if (out >= 0) posix_spawn_file_actions_adddup2(&files, out, 1);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);  // this program heeds signals by other means
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  pid_t child = -1;
  const int wrong = posix_spawn(&child, words.front().c_str(), &files, &attributes, plain.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  posix_spawnattr_destroy(&attributes);
  if (wrong == 0) return child;
  errno = wrong;
  return -1;
}

struct Started {
  pid_t child = -1;
  net::Descriptor from;
  std::string wrong;
};

Started start(const std::string& path) {
  Started out;
  int ends[2];
  if (pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0) {
    out.wrong = std::generic_category().message(errno);
    return out;
  }
  out.from = net::Descriptor(ends[0]);
  net::Descriptor to(ends[1]);
  // The child's end blocks, as programs expect.
  fcntl(to.get(), F_SETFL, 0);
  out.child = spawn({"json", path}, to.get());
  if (out.child < 0) out.wrong = program() + ": " + std::generic_category().message(errno);
  return out;
}

Result refused(const std::string& why) {
  Result out;
  out.faults.push_back({0, "", "the file could not be read: " + why});
  return out;
}

// What it said is whole or it is nothing, so that its end by force spoils nothing.
void reap(pid_t child) {
  if (child < 0) return;
  kill(child, SIGKILL);
  while (waitpid(child, nullptr, 0) < 0 && errno == EINTR) {
  }
}

Result understood(const std::string& text) {
  try {
    return read_result(text);
  } catch (const std::exception& wrong) {
    return refused("its reader ended early");
  }
}

}  // namespace

Result read_now(const std::string& path) {
  Started started = start(path);
  if (!started.wrong.empty()) return refused(started.wrong);
  const auto end = std::chrono::steady_clock::now() + kPatience;
  std::string text;
  std::string wrong;
  for (;;) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now()).count();
    pollfd wait{started.from.get(), POLLIN, 0};
    if (left <= 0 || (poll(&wait, 1, static_cast<int>(left)) == 0)) {
      wrong = "it took too long";
      break;
    }
    char bytes[16 * 1024];
    const ssize_t got = read(started.from.get(), bytes, sizeof bytes);
    if (got == 0) break;
    if (got < 0 && errno != EAGAIN && errno != EINTR) wrong = std::generic_category().message(errno);
    if (got > 0) text.append(bytes, static_cast<std::size_t>(got));
    if (text.size() > kMostResult) wrong = "its result is too large";
    if (!wrong.empty()) break;
  }
  reap(started.child);
  return wrong.empty() ? understood(text) : refused(wrong);
}

Reading::Reading(net::Loop& loop, const std::string& path, Done done) : loop_(loop), done_(std::move(done)) {
  Started started = start(path);
  child_ = started.child;
  from_ = std::move(started.from);
  if (!started.wrong.empty()) {
    // Told in the next turn, as everything else is.
    limit_ = loop_.call_at(loop_.now(), [this, wrong = started.wrong] {
      limit_.reset();
      finish(wrong);
    });
    return;
  }
  place_ = loop_.watch(from_.get(), *this);
  limit_ = loop_.call_at(loop_.now() + kPatience, [this] {
    limit_.reset();
    finish("it took too long");
  });
}

Reading::~Reading() {
  if (limit_) loop_.cancel(*limit_);
  if (child_ >= 0) {
    loop_.unwatch(from_.get(), place_);
    reap(child_);
  }
}

void Reading::on_ready(bool, bool) {
  char bytes[16 * 1024];
  for (;;) {
    const ssize_t got = read(from_.get(), bytes, sizeof bytes);
    if (got > 0) {
      text_.append(bytes, static_cast<std::size_t>(got));
      if (text_.size() > kMostResult) return finish("its result is too large");
    } else if (got == 0) {
      return finish(std::nullopt);
    } else if (errno == EAGAIN) {
      return;
    } else if (errno != EINTR) {
      return finish(std::generic_category().message(errno));
    }
  }
}

// The owner may end this object while it is being told, so nothing of it is touched after that.
void Reading::finish(std::optional<std::string> wrong) {
  if (limit_) loop_.cancel(*limit_);
  limit_.reset();
  if (child_ >= 0) {
    loop_.unwatch(from_.get(), place_);
    reap(child_);
    child_ = -1;
  }
  from_.close();
  Result result = wrong ? refused(*wrong) : understood(text_);
  const Done done = std::move(done_);
  done(std::move(result));
}

int run_check(const std::vector<std::string>& files) {
  std::vector<std::string> words{"check"};
  words.insert(words.end(), files.begin(), files.end());
  const pid_t child = spawn(std::move(words), -1);
  if (child < 0) return 2;
  int status = 0;
  while (waitpid(child, &status, 0) < 0 && errno == EINTR) {
  }
  return WIFEXITED(status) ? WEXITSTATUS(status) : 2;
}

}  // namespace marbledyke::operator_file
