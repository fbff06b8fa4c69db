#include "standins/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <climits>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace marbledyke::standins {

using namespace std::chrono_literals;
using nlohmann::json;
namespace fs = std::filesystem;

json configuration(const std::string& name, const net::Address& listen, const net::Address& discovery,
                   const std::string& known, json settings) {
  return {{"name", name},
          {"listen", listen.text()},
          {"discovery", discovery.text()},
          {"seed", "1"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known", json::parse(known)},
          {"settings", std::move(settings)}};
}

json plain_settings(int shards) {
  json type = {{"name", "look"},         {"objective", 1000000}, {"deadline", 2000000},
               {"effect", "repeatable"}, {"worth", 1.0},         {"late-share", 0.0}};
  json once = type;
  once["name"] = "issue";
  once["effect"] = "once";
  return {{"categories", {type, once}},
          {"contract",
           {{"ask-every", 10000000},
            {"cold", 5000000},
            {"cold-from", 0.2},
            {"drain-grace", 500000},
            {"fall-multiple", 2.0},
            {"overload-for", 1000000},
            {"resend-span", 10000000},
            {"extra-floor", 20},
            {"extra-per-request", 0.2}}},
          {"limits",
           {{"attempts-cap", 3},
            {"cancel", true},
            {"conn-idle", 15000000},
            {"connect-timeout", 250000},
            {"max-open", 4000},
            {"max-retry-after", 1000000},
            {"probing", true},
            {"retry-after", true},
            {"second-copies", true},
            {"streams-per-conn", 100}}},
          {"prices", {{"cross-zone", 0.0}, {"handshake", 0.02}, {"probe", 0.02}, {"waste", 0.15}}},
          {"registry-mode", "ask"},
          {"replicas-of-me", 1},
          {"specifics",
           {{"bundle-max", 16},
            {"class-floor", {1.0, 1.0}},
            {"complete-from", {1.0, 1.0}},
            {"overhead", 500},
            {"second-step", {0, 0}},
            {"sets", 1},
            {"short-worth", {0.0, 0.0}},
            {"slabs", shards},
            {"width", 1}}},
          {"telemetry", {{"fields", {"active"}}, {"how", "on_probe"}}},
          {"tick", 5000},
          {"zone", 0},
          {"zones", {"a"}}};
}

json nested(const FlatSettings& terms) {
  json out = json::object();
  for (const auto& [name, term] : terms) {
    json* at = &out;
    for (std::size_t from = 0; from <= name.size();) {
      const std::size_t to = std::min(name.find('.', from), name.size());
      const std::string key = name.substr(from, to - from);
      from = to + 1;
      if (!key.empty() && key.find_first_not_of("0123456789") == std::string::npos) {
        if (at->is_null()) *at = json::array();
        at = &(*at)[static_cast<std::size_t>(std::stoul(key))];
      } else {
        if (at->is_null()) *at = json::object();
        at = &(*at)[key];
      }
    }
    std::visit([at](const auto& value) { *at = value; }, term);
  }
  return out;
}

std::string Gatherer::put(const std::string& name, const std::string& text) {
  if (folder_.empty()) {
    std::string made = (fs::temp_directory_path() / "marbledyke-lab-XXXXXX").string();
    if (mkdtemp(made.data()) == nullptr) throw std::system_error(errno, std::generic_category(), made);
    folder_ = made;
  }
  std::ofstream(folder_ + "/" + name) << text;
  return folder_ + "/" + name;
}

std::string program(const std::string& name) {
  std::array<char, PATH_MAX> own{};
  const ssize_t size = readlink("/proc/self/exe", own.data(), own.size());
  const std::string path(own.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
  const std::string beside = path.substr(0, path.rfind('/') + 1);
  return access((beside + name).c_str(), X_OK) == 0 ? beside + name : beside + "../" + name;
}

pid_t spawn(std::vector<std::string> words, const std::map<std::string, std::string>& environment,
            const std::string& log) {
  std::vector<char*> plain;
  for (std::string& word : words) plain.push_back(word.data());
  plain.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (child > 0) return child;
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

void Gatherer::start(const json& configuration, const std::vector<std::string>& more,
                     const std::string& name) {
  const std::string config = put("config.json", configuration.dump(1) + "\n");
  std::vector<std::string> words{program(name)};
  words.insert(words.end(), more.begin(), more.end());
  pid_ = spawn(std::move(words), {{"PROXY_CONFIG", config}}, folder_ + "/gatherer.log");
}

bool Gatherer::ended() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
  return pid_ < 0;
}

void Gatherer::kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

void Gatherer::stop() {
  if (pid_ > 0) {
    ::kill(pid_, SIGTERM);
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!ended() && std::chrono::steady_clock::now() < end) usleep(10'000);
    kill();
  }
  std::error_code ignored;
  if (!folder_.empty()) fs::remove_all(folder_, ignored);
  folder_.clear();
}

namespace {
// The 14th and 15th field of its stat line, in ticks (proc(5)).
std::pair<double, double> times_of(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  if (pid <= 0 || !std::getline(in, line)) return {};
  std::istringstream rest(line.substr(std::min(line.rfind(')') + 2, line.size())));
  std::string skipped;
  for (int i = 0; i < 11; ++i) rest >> skipped;
  double user = 0, kernel = 0;
  rest >> user >> kernel;
  const auto tick = static_cast<double>(sysconf(_SC_CLK_TCK));
  return {user / tick, kernel / tick};
}
}  // namespace

double Gatherer::cpu() const {
  const auto [user, kernel] = times_of(pid_);
  return user + kernel;
}

double Gatherer::kernel() const { return times_of(pid_).second; }

}  // namespace marbledyke::standins
