#include "lab/kept.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <system_error>

namespace marbledyke::lab {

using namespace std::chrono_literals;
using nlohmann::json;
namespace fs = std::filesystem;

Kept::Kept(net::Loop& loop, const std::string& name, const net::Address& control, const json& configuration,
           KeptProgram its_program)
    : loop_(loop), name_(name), program_(std::move(its_program)), control_(control) {
  std::string made = (fs::temp_directory_path() / "marbledyke-kept-XXXXXX").string();
  if (mkdtemp(made.data()) == nullptr) throw std::system_error(errno, std::generic_category(), made);
  folder_ = made;
  start_keeper();
  const bool up = rig::run_until(
      loop_, 10s, [&] { return rig::call(loop_, control_, "GET", "/healthz", "", 200ms).status == 200; });
  if (!up) throw std::runtime_error("a keeper did not come up");
  const auto done = [&](const json& what) {
    order(what, 3s);
    bool fine = false;
    const bool ended = rig::run_until(loop_, 20s, [&] {
      const json now = rig::call(loop_, control_, "GET", "/status", "", 1s).body;
      if (!now.is_object()) return false;
      fine = now.value("outcome", "") == "done";
      return now.value("outcome", "") != "under_way";
    });
    if (!ended || !fine) throw std::runtime_error("a keeper did not carry out an order");
  };
  for (const char* version : {"one", "two"})
    done({{"order", "take"}, {"version", version}, {"from", recipe(version, configuration, version)}});
  done({{"order", "use"}, {"version", "one"}});
}

// Without running the loop, whose timers may be of a scenario that is being taken down.
Kept::~Kept() {
  keeper_.end();
  signal_gatherers(SIGKILL);
  std::error_code ignored;
  fs::remove_all(folder_, ignored);
}

std::string Kept::recipe(const std::string& version, const json& configuration, const std::string& mark) {
  const std::string at = folder_ + "/recipe-" + version;
  fs::create_directories(at);
  fs::copy_file(rig::program("marbledyke"), at + "/marbledyke", fs::copy_options::overwrite_existing);
  std::ofstream(at + "/marbledyke", std::ios::app | std::ios::binary) << mark;
  std::ofstream(at + "/config.json") << configuration.dump(1) << '\n';
  return at;
}

void Kept::start_keeper() {
  if (keeper_.pid() > 0 && !keeper_.ended()) return;
  std::vector<std::string> words{rig::program(program_.name),
                                 "--folder",
                                 folder_ + "/k",
                                 "--control",
                                 control_.text(),
                                 "--name",
                                 name_,
                                 "--prove",
                                 "0.3",
                                 "--prove-limit",
                                 "5",
                                 "--start-limit",
                                 "5",
                                 "--first-wait",
                                 "0.05",
                                 "--longest-wait",
                                 "1",
                                 "--most-strikes",
                                 "30",
                                 "--silent-after",
                                 "6"};
  words.insert(words.end(), program_.words.begin(), program_.words.end());
  keeper_.start(words, {{"MARBLEDYKE_BENT", folder_ + "/bends"}}, folder_ + "/log");
}

rig::Answer Kept::order(json what, Duration limit) {
  what["epoch"] = 1;
  what["number"] = ++number_;
  return rig::call(loop_, control_, "POST", "/order", what.dump(), limit);
}

// Without running the loop, which plays a scenario meanwhile.
void Kept::swap() {
  second_ = !second_;
  const std::string body =
      json{{"epoch", 1}, {"number", ++number_}, {"order", "use"}, {"version", second_ ? "two" : "one"}}
          .dump();
  net::Descriptor fd = net::start_connect(control_);
  if (!fd) return;
  const std::string bytes = "POST /order HTTP/1.1\r\nHost: lab\r\nConnection: close\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body;
  calls_.push_back(nullptr);
  const std::size_t at = calls_.size() - 1;
  calls_[at] =
      std::make_unique<net::Stream>(loop_, std::move(fd), false, 64 * 1024, bytes.size() + 1,
                                    net::Stream::Callbacks{[this, at, bytes] {
                                                             calls_[at]->out().append(bytes);
                                                             calls_[at]->flush();
                                                           },
                                                           [this, at] { calls_[at]->in().clear(); }, nullptr,
                                                           [this, at](bool) { calls_[at]->close(); }});
}

void Kept::kill_keeper() {
  keeper_.signal(SIGCONT);
  keeper_.signal(SIGKILL);
}

void Kept::bend_clock(double rate) {
  const std::string path = folder_ + "/bends";
  std::ofstream(path + ".new") << json{{"clock", {{"rate", rate}}}}.dump();
  std::rename((path + ".new").c_str(), path.c_str());
}

namespace {

// Who holds a slot's lock; -1: nobody.
pid_t holder(const std::string& folder, int slot) {
  const std::string number = std::to_string(slot);
  const net::Descriptor fd(open((folder + "/k/lock-" + number).c_str(), O_RDWR | O_CLOEXEC));
  if (!fd || flock(fd.get(), LOCK_EX | LOCK_NB) == 0) return -1;
  std::ifstream in(folder + "/k/born-" + number);
  pid_t pid = -1;
  in >> pid;
  return pid > 1 && getpgid(pid) == pid ? pid : -1;
}

}  // namespace

pid_t Kept::serving() const {
  std::uint64_t newest = 0;
  pid_t out = -1;
  for (int slot = 0; slot < 2; ++slot) {
    const pid_t pid = holder(folder_, slot);
    if (pid < 0) continue;
    std::ifstream in(folder_ + "/k/born-" + std::to_string(slot));
    pid_t skipped = 0;
    std::uint64_t ticks = 0;
    in >> skipped >> ticks;
    if (ticks >= newest) {
      newest = ticks;
      out = pid;
    }
  }
  return out;
}

void Kept::signal_gatherers(int which) {
  for (int slot = 0; slot < 2; ++slot) {
    if (const pid_t pid = holder(folder_, slot); pid > 1) ::kill(pid, which);
  }
}

double Kept::cpu() const {
  double out = keeper_cpu();
  for (int slot = 0; slot < 2; ++slot) {
    if (const pid_t pid = holder(folder_, slot); pid > 1) out += rig::used_by(pid).cpu;
  }
  return out;
}

}  // namespace marbledyke::lab
