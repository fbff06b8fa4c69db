#include "rig/site.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <system_error>

#include "standins/process.h"

namespace marbledyke::rig {

using namespace std::chrono_literals;
using nlohmann::json;
namespace fs = std::filesystem;

namespace {

void write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  out << text;
  out.flush();
  if (!out) throw std::runtime_error(path + ": cannot be written");
}

// Whole or not at all for who reads it meanwhile.
void swap_file(const std::string& path, const std::string& text) {
  write_file(path + ".new", text);
  fs::rename(path + ".new", path);
}

}  // namespace

net::Address Site::address(std::uint32_t number) const {
  return standins::free_address(net::Family::ip4, options_.block * 4000 + number);
}

Site::Site(net::Loop& loop, const SiteOptions& options) : loop_(loop), options_(options) {
  std::string made = (fs::temp_directory_path() / "marbledyke-rig-XXXXXX").string();
  if (mkdtemp(made.data()) == nullptr) throw std::system_error(errno, std::generic_category(), made);
  folder_ = made;
  loop_.read_clock();
  discovery_at_ = address(1);
  discovery_ = std::make_unique<standins::Discovery>(loop_, discovery_at_);
  standins::LeafOptions leaf;
  leaf.service = std::chrono::milliseconds(options.service_ms);
  leaf.spread = true;
  for (int i = 0; i < options.servers; ++i) {
    leaves_.push_back(
        std::make_unique<standins::Leaf>(loop_, leaf, options.seed * 100 + static_cast<std::uint32_t>(i)));
    net::Address at = address(10 + static_cast<std::uint32_t>(i));
    if (leaves_.back()->listen(at) < 0) throw std::system_error(errno, std::generic_category(), at.text());
    if (options.server_relays) {
      const net::Address before = address(200 + static_cast<std::uint32_t>(i));
      server_relays_.push_back(
          std::make_unique<Relay>(loop_, before, at, options.seed * 7 + static_cast<std::uint32_t>(i)));
      at = before;
    }
    standins::Listed listed;
    listed.name = "leaf-" + std::to_string(i);
    listed.address = at.text();
    discovery_->set(listed);
  }
  for (int i = 0; i < options.machines; ++i) {
    auto machine = std::make_unique<Machine>();
    Machine& m = *machine;
    const auto n = static_cast<std::uint32_t>(i);
    m.number = i;
    m.name = "m" + std::to_string(i);
    m.folder = folder_ + "/" + m.name;
    m.log = folder_ + "/" + m.name + ".log";
    m.bends = folder_ + "/" + m.name + ".bends";
    m.listen = m.gatherer = address(1000 + 8 * n);
    m.control = m.keeper_at = address(1001 + 8 * n);
    m.discovery = discovery_at_;
    const std::uint32_t seed = options.seed * 1000 + n * 4;
    if (options.control_relays) {
      m.control = address(1002 + 8 * n);
      m.control_relay = std::make_unique<Relay>(loop_, m.control, m.keeper_at, seed);
    }
    if (options.client_relays) {
      m.listen = address(1003 + 8 * n);
      m.client_relay = std::make_unique<Relay>(loop_, m.listen, m.gatherer, seed + 1);
    }
    if (options.list_relays) {
      m.discovery = address(1004 + 8 * n);
      m.list_relay = std::make_unique<Relay>(loop_, m.discovery, discovery_at_, seed + 2);
    }
    machines_.push_back(std::move(machine));
  }
}

// Without running the loop: timers of what a test held beside this may be in it still.
Site::~Site() {
  for (const auto& machine : machines_) {
    machine->keeper.end();
    kill_gatherers(*machine);
  }
  std::error_code ignored;
  fs::remove_all(folder_, ignored);
}

std::string Site::recipe(Machine& machine, const std::string& name, const Recipe& of) {
  const std::string at = folder_ + "/recipe-" + machine.name + "-" + name;
  fs::create_directories(at);
  fs::copy_file(program(of.program), at + "/marbledyke", fs::copy_options::overwrite_existing);
  if (!of.mark.empty()) {
    // Bytes after an ELF file's end change nothing but its checksum.
    std::ofstream(at + "/marbledyke", std::ios::app | std::ios::binary) << of.mark;
  }
  json settings = standins::plain_settings(kShards);
  settings["tick"] = of.tick;
  settings["replicas-of-me"] = options_.machines;
  if (of.room > 0) settings["limits"]["max-open"] = of.room;
  if (of.broken_settings) settings["limits"]["attempts-cap"] = 0;
  json config = standins::configuration(machine.name, machine.gatherer, machine.discovery,
                                        discovery_->body(-1), std::move(settings));
  if (!of.flaw.empty()) config["flaw"] = of.flaw;
  write_file(at + "/config.json", config.dump(1) + "\n");
  return at;
}

void Site::start_keeper(Machine& machine) {
  std::vector<std::string> words{program(options_.bent ? "marbledyke-keeper-bent" : "marbledyke-keeper"),
                                 "--folder",
                                 machine.folder,
                                 "--control",
                                 machine.keeper_at.text(),
                                 "--name",
                                 machine.name};
  words.insert(words.end(), options_.keeper_words.begin(), options_.keeper_words.end());
  machine.keeper.start(words, {{"MARBLEDYKE_BENT", machine.bends}, {"MARBLEDYKE_LOG", "info"}}, machine.log);
}

void Site::bend(Machine& machine, const json& how) {
  swap_file(machine.bends, how.dump());
  run_for(loop_, 15ms);  // longer than it takes to be noticed
}

bool Site::keeper_up(Machine& machine, Duration limit) {
  const Duration until = loop_.now() + limit;
  while (loop_.now() < until) {
    if (call(loop_, machine.control, "GET", "/healthz", "", 200ms).status == 200) return true;
    run_for(loop_, 10ms);
  }
  return false;
}

Answer Site::order(Machine& machine, const std::string& kind, const std::string& version, const json& more) {
  json body = {{"epoch", 1}, {"number", ++machine.number_of_order}, {"order", kind}};
  if (!version.empty()) body["version"] = version;
  if (more.is_object()) body.update(more);
  return call(loop_, machine.control, "POST", "/order", body.dump());
}

json Site::status(Machine& machine) { return call(loop_, machine.control, "GET", "/status").body; }

json Site::settled(Machine& machine, Duration limit) {
  const Duration until = loop_.now() + limit;
  while (loop_.now() < until) {
    const json now = status(machine);
    if (now.is_object()) {
      const std::string outcome = now.value("outcome", "");
      if (outcome != "under_way" && outcome != "returning") return now;
    }
    run_for(loop_, 20ms);
  }
  return nullptr;
}

bool Site::bring(Machine& machine, const std::string& version, const Recipe& of) {
  const std::string from = recipe(machine, version, of);
  order(machine, "take", version, {{"from", from}});
  if (settled(machine).value("outcome", "") != "done") return false;
  order(machine, "use", version);
  const json now = settled(machine);
  return now.is_object() && now.value("outcome", "") == "done" && now.value("in_force", "") == version;
}

pid_t Site::leader(const json& status) {
  if (!status.is_object()) return -1;
  for (const json& one : status.value("processes", json::array())) {
    if (one.value("leads", false)) return one.value("pid", -1);
  }
  return -1;
}

std::vector<pid_t> Site::gatherers(Machine& machine) const {
  std::vector<pid_t> out;
  for (int slot = 0; slot < 2; ++slot) {
    const std::string lock = machine.folder + "/lock-" + std::to_string(slot);
    const net::Descriptor fd(open(lock.c_str(), O_RDWR | O_CLOEXEC));
    if (!fd || flock(fd.get(), LOCK_EX | LOCK_NB) == 0) continue;
    std::ifstream in(machine.folder + "/born-" + std::to_string(slot));
    pid_t pid = -1;
    if (in >> pid) out.push_back(pid);
  }
  return out;
}

void Site::kill_gatherers(Machine& machine) const {
  for (const pid_t pid : gatherers(machine)) {
    // Still one of ours: its group is its own pid, by the keeper.
    if (pid > 1 && getpgid(pid) == pid) ::kill(pid, SIGKILL);
  }
}

void Site::end_orphans(Machine& machine) {
  kill_gatherers(machine);
  run_until(loop_, 1s, [&] { return gatherers(machine).empty(); });
}

}  // namespace marbledyke::rig
