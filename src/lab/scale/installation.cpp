#include "lab/scale/installation.h"

#include <signal.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <system_error>

#include "lab/scale/options.h"
#include "lab/scale/process_use.h"
#include "standins/leaf.h"

namespace marbledyke::lab::scale {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

constexpr int kHostsPerNet = 200;                   // last byte of an address: 1 to 200
constexpr int kNets = 250;                          // third byte: 0 to 249
constexpr int kSecondByte = 131;                    // apart from those of standins::free_address
constexpr int kFirstPort = 21'000, kPorts = 9'000;  // below the system's ephemeral ones
constexpr int kServersPerProcess = 2000;            // so that 3,900 take two cores of the machine, not one
constexpr int kGathererSockets = 12'000;  // descriptors that it may use; above the largest list with traffic
constexpr Duration kStartLimit = 30s;

int first_word(const std::string& file) {
  std::ifstream in(file);
  std::string word;
  return in >> word && word == "ready" ? 1 : 0;
}

}  // namespace

net::Address server_address(int port, int i) {
  const std::string host = "127." + std::to_string(kSecondByte + i / (kHostsPerNet * kNets)) + "." +
                           std::to_string(i / kHostsPerNet % kNets) + "." +
                           std::to_string(1 + i % kHostsPerNet);
  return *net::parse_address(host + ":" + std::to_string(port));
}

int free_server_port() {
  for (int i = 0; i < kPorts; ++i) {
    const int port = kFirstPort + (static_cast<int>(getpid()) * 37 + i * 101) % kPorts;
    if (net::listen_on(server_address(port, 0))) return port;
  }
  throw std::runtime_error("no port is free for hollow servers");
}

std::vector<ListedServer> servers_to_list(int count, int port) {
  std::vector<ListedServer> out;
  out.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    out.push_back({"leaf-" + std::to_string(i), server_address(port, i).text(), "a", i % kPartsPerMultiget});
  return out;
}

Folder::Folder() {
  std::string made = (fs::temp_directory_path() / "marbledyke-scale-XXXXXX").string();
  if (mkdtemp(made.data()) == nullptr) throw std::system_error(errno, std::generic_category(), made);
  path_ = made;
}

Folder::~Folder() {
  std::error_code ignored;
  fs::remove_all(path_, ignored);
}

nlohmann::json gatherer_settings() {
  nlohmann::json out = standins::plain_settings(kPartsPerMultiget);
  out["specifics"]["sets"] = kPartsPerMultiget;
  out.erase("registry-mode");  // the list is watched from the start
  return out;
}

nlohmann::json gatherer_configuration(const std::string& name, const net::Address& listen,
                                      const net::Address& discovery) {
  nlohmann::json out = standins::configuration(name, listen, discovery, "{}", gatherer_settings());
  out.erase("known");
  out["limits"]["sockets"] = kGathererSockets;
  out["limits"]["memory_mb"] = 1024;
  return out;
}

RealGatherer::RealGatherer(net::Loop& loop, const net::Address& discovery)
    : loop_(loop), address_(standins::free_address(net::Family::ip4, 2)) {
  process_.start(gatherer_configuration("scale", address_, discovery));
}

void RealGatherer::wait_until_current(const HollowList& list) {
  const auto current = [&] { return process_.ended() || list.named() >= list.index(); };
  if (!rig::run_until(loop_, kStartLimit, current) || process_.ended())
    throw std::runtime_error("the gatherer did not take the list");
  const auto serves = [&] {
    return process_.ended() || rig::call(loop_, address_, "GET", "/healthz", "", 500ms).status == 200;
  };
  if (!rig::run_until(loop_, kStartLimit, serves) || process_.ended())
    throw std::runtime_error("the gatherer did not come up");
}

HollowServers::HollowServers(net::Loop& loop, int count, int port, int service_ms) {
  std::vector<std::string> logs;
  for (int first = 0; first < count; first += kServersPerProcess) {
    logs.push_back(folder_.path() + "/servers-" + std::to_string(first) + ".log");
    processes_.push_back(std::make_unique<rig::Process>());
    processes_.back()->start(
        {rig::program("marbledyke-lab"), "scale-servers", "--first", std::to_string(first), "--count",
         std::to_string(std::min(kServersPerProcess, count - first)), "--port", std::to_string(port),
         "--service-ms", std::to_string(service_ms)},
        {}, logs.back());
  }
  const auto ready = [&] {
    int all = 0;
    for (const std::string& log : logs) all += first_word(log);
    return all == static_cast<int>(logs.size());
  };
  if (!rig::run_until(loop, kStartLimit, ready)) throw std::runtime_error("hollow servers did not listen");
}

int run_hollow_servers(int first, int count, int port, int service_ms) {
  signal(SIGPIPE, SIG_IGN);
  raise_descriptor_limit();
  net::Loop loop;
  loop.read_clock();
  standins::LeafOptions options;
  options.service = std::chrono::milliseconds(service_ms);
  options.most_run = 0;  // nobody asks which parts were run
  std::vector<std::unique_ptr<standins::Leaf>> servers;
  for (int i = first; i < first + count; ++i) {
    servers.push_back(std::make_unique<standins::Leaf>(loop, options, static_cast<std::uint32_t>(i + 1)));
    const net::Address address = server_address(port, i);
    if (servers.back()->listen(address) >= 0) continue;
    std::cerr << "marbledyke-lab: cannot listen at " << address.text() << '\n';
    return 1;
  }
  std::cout << "ready" << std::endl;
  for (;;) loop.run_once();
}

}  // namespace marbledyke::lab::scale
