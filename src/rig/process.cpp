#include "rig/process.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "net/http.h"
#include "net/socket.h"

namespace marbledyke::rig {

using namespace std::chrono_literals;

Process::~Process() { end(); }

void Process::end() {
  if (pid_ <= 0 || ended()) return;
  ::kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  status_ = status;
}

void Process::start(const std::vector<std::string>& words,
                    const std::map<std::string, std::string>& environment, const std::string& log) {
  status_.reset();
  pid_ = standins::spawn(words, environment, log);
}

void Process::signal(int which) {
  if (pid_ > 0 && !ended()) ::kill(pid_, which);
}

std::optional<int> Process::ended() {
  int status = 0;
  if (!status_ && pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
  return status_;
}

void run_for(net::Loop& loop, Duration time) {
  loop.read_clock();
  const Duration until = loop.now() + time;
  while (loop.now() < until) {
    loop.call_at(until, [] {});
    loop.run_once();
  }
}

bool run_until(net::Loop& loop, Duration limit, const std::function<bool()>& holds) {
  loop.read_clock();
  const Duration until = loop.now() + limit;
  while (!holds()) {
    if (loop.now() >= until) return false;
    run_for(loop, 10ms);
  }
  return true;
}

namespace {

// Runs the loop until the other side has closed, the answer is whole, or the time is up.
std::string exchange(net::Loop& loop, const net::Address& to, const std::string& bytes, Duration limit,
                     const std::function<bool(std::string_view)>& whole) {
  std::string out;
  net::Descriptor fd = net::start_connect(to);
  if (!fd) return out;
  bool over = false;
  std::unique_ptr<net::Stream> stream;
  stream = std::make_unique<net::Stream>(loop, std::move(fd), false, 64 * 1024, bytes.size() + 1,
                                         net::Stream::Callbacks{[&] {
                                                                  stream->out().append(bytes);
                                                                  stream->flush();
                                                                },
                                                                [&] {
                                                                  net::RingBuffer& in = stream->in();
                                                                  while (!in.empty()) {
                                                                    const std::string_view front = in.front();
                                                                    out += front;
                                                                    in.consume(front.size());
                                                                  }
                                                                  over = over || whole(out);
                                                                },
                                                                nullptr, [&](bool) { over = true; }});
  run_until(loop, limit, [&] { return over; });
  stream->close();
  return out;
}

}  // namespace

std::string raw_call(net::Loop& loop, const net::Address& to, const std::string& bytes, Duration limit) {
  return exchange(loop, to, bytes, limit, [](std::string_view) { return false; });
}

Answer call(net::Loop& loop, const net::Address& to, const std::string& method, const std::string& target,
            const std::string& body, Duration limit) {
  const auto reader = [] { return net::HttpParser(net::HttpParser::Kind::response, 64 * 1024 * 1024); };
  const auto done = [&](std::string_view text) {
    net::HttpParser one = reader();
    one.feed(text);
    return one.state() != net::HttpParser::State::incomplete;
  };
  const std::string text =
      exchange(loop, to,
               method + " " + target + " HTTP/1.1\r\nHost: rig\r\nConnection: close\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body,
               limit, done);
  net::HttpParser one = reader();
  one.feed(text);
  Answer out;
  if (one.state() != net::HttpParser::State::complete) return out;
  out.status = std::atoi(one.message().target_or_status.c_str());
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
  out.rss =
      std::strtoull(fields[21].c_str(), nullptr, 10) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return out;
}

}  // namespace marbledyke::rig
