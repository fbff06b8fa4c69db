#include "rig/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <climits>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <system_error>

#include "net/http.h"
#include "net/socket.h"

namespace marbledyke::rig {

using namespace std::chrono_literals;

std::string program(const std::string& name) {
  std::array<char, PATH_MAX> own{};
  const ssize_t size = readlink("/proc/self/exe", own.data(), own.size());
  const std::string path(own.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
  const std::string beside = path.substr(0, path.rfind('/') + 1);
  return access((beside + name).c_str(), X_OK) == 0 ? beside + name : beside + "../" + name;
}

Process::~Process() { end(); }

void Process::end() {
  if (pid_ <= 0 || ended()) return;
  ::kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  status_ = status;
}

void Process::start(const std::vector<std::string>& words, const std::map<std::string, std::string>& environment,
                    const std::string& log) {
  std::vector<std::string> own = words;
  std::vector<char*> plain;
  for (std::string& word : own) plain.push_back(word.data());
  plain.push_back(nullptr);
  status_.reset();
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ > 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(1);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(out, 1);
  dup2(out, 2);
  for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
  execv(plain[0], plain.data());
  _exit(127);
}

void Process::signal(int which) {
  if (pid_ > 0 && !ended()) ::kill(pid_, which);
}

std::optional<int> Process::ended() {
  int status = 0;
  if (!status_ && pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
  return status_;
}

void run_for(net::Loop& loop, Span time) {
  loop.read_clock();
  const Span until = loop.now() + time;
  while (loop.now() < until) {
    loop.at(until, [] {});
    loop.gather();
  }
}

bool run_until(net::Loop& loop, Span limit, const std::function<bool()>& holds) {
  loop.read_clock();
  const Span until = loop.now() + limit;
  while (!holds()) {
    if (loop.now() >= until) return false;
    run_for(loop, 10ms);
  }
  return true;
}

namespace {

// Runs the loop until the other side has closed, the answer is whole, or the time is up.
std::string exchange(net::Loop& loop, const net::Address& to, const std::string& bytes, Span limit,
                     const std::function<bool(std::string_view)>& whole) {
  std::string out;
  net::Descriptor fd = net::start_connect(to);
  if (!fd) return out;
  bool over = false;
  std::unique_ptr<net::Stream> stream;
  stream = std::make_unique<net::Stream>(
      loop, std::move(fd), false, 64 * 1024, bytes.size() + 1,
      net::Stream::Told{[&] {
                          stream->out().put(bytes);
                          stream->flush();
                        },
                        [&] {
                          net::Ring& in = stream->in();
                          while (!in.empty()) {
                            const std::string_view front = in.front();
                            out += front;
                            in.drop(front.size());
                          }
                          over = over || whole(out);
                        },
                        nullptr, [&](bool) { over = true; }});
  run_until(loop, limit, [&] { return over; });
  stream->close();
  return out;
}

}  // namespace

std::string raw_call(net::Loop& loop, const net::Address& to, const std::string& bytes, Span limit) {
  return exchange(loop, to, bytes, limit, [](std::string_view) { return false; });
}

Answer call(net::Loop& loop, const net::Address& to, const std::string& method, const std::string& target,
            const std::string& body, Span limit) {
  const auto reader = [] { return net::HttpReader(net::HttpReader::Kind::answer, 64 * 1024 * 1024); };
  const auto done = [&](std::string_view text) {
    net::HttpReader one = reader();
    one.take(text);
    return one.state() != net::HttpReader::State::reading;
  };
  const std::string text =
      exchange(loop, to,
               method + " " + target + " HTTP/1.1\r\nHost: rig\r\nConnection: close\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body,
               limit, done);
  net::HttpReader one = reader();
  one.take(text);
  Answer out;
  if (one.state() != net::HttpReader::State::done) return out;
  out.status = std::atoi(one.message().second.c_str());
  out.body = nlohmann::json::parse(one.message().body, nullptr, false);
  return out;
}

Used used_by(pid_t pid) {
  Used out;
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  if (pid <= 0 || !std::getline(in, line)) return out;
  std::istringstream rest(line.substr(std::min(line.rfind(')') + 2, line.size())));
  std::vector<std::string> fields;
  for (std::string field; rest >> field;) fields.push_back(field);
  if (fields.size() < 22) return out;
  out.cpu = (std::atof(fields[11].c_str()) + std::atof(fields[12].c_str())) /
            static_cast<double>(sysconf(_SC_CLK_TCK));
  out.rss = std::strtoull(fields[21].c_str(), nullptr, 10) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return out;
}

}  // namespace marbledyke::rig
