// Three control nodes of the lab's build as processes, receivers in this one, and relays from each node to
// each other.
#pragma once

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "distribution/acceptor.h"
#include "distribution/receiver_client.h"
#include "emulator/distribution.h"
#include "rig/process.h"
#include "rig/relay.h"

namespace marbledyke::control_rig {

using namespace distribution;
using namespace std::chrono_literals;
using emulator::emulated_revision;
using nlohmann::json;
namespace fs = std::filesystem;

inline constexpr std::size_t kNodes = 3;
inline constexpr std::size_t kReceivers = 9;

inline void say(const std::string& what, bool is) {
  std::printf("%-88s %s\n", what.c_str(), is ? "yes" : "NO");
}

inline void figure(const std::string& what, Duration value) {
  if (std::getenv("MARBLEDYKE_RIG_FIGURES") == nullptr) return;
  std::fprintf(stderr, "%-60s %.3f s\n", what.c_str(), static_cast<double>(value.count()) / 1e6);
}

inline net::Address address(int last) {
  const int pid = getpid();
  const std::string text = "127." + std::to_string(100 + pid % 100) + '.' + std::to_string(pid / 100 % 250) +
                           '.' + std::to_string(last) + ":7900";
  return *net::parse_address(text);
}

inline std::string text_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

inline void write_text(const std::string& path, const std::string& text) {
  std::ofstream(path + ".made", std::ios::binary | std::ios::trunc) << text;
  fs::rename(path + ".made", path);
}

inline Prepare prepare_of(const std::string& proposer, std::int64_t chosen) {
  Prepare out;
  out.ballot = {1, proposer};
  out.fleet = "f";
  out.chosen = emulated_revision(chosen);
  return out;
}

// A receiver that applies at once, and notes whether it was ever given an older revision than it had.
struct Hollow {
  Hollow(net::Loop& loop, std::vector<net::Address> nodes, std::uint32_t seed)
      : client(loop, {"r" + std::to_string(seed), "z1", "f", CallerRole::receiver}, std::move(nodes), kNodes,
               std::nullopt, seed, [this](const Revision& revision) {
                 older = older || revision.index <= index;
                 index = revision.index;
                 client.applied();
               }) {}
  std::int64_t index = 0;
  bool older = false;
  ReceiverClient client;
};

// Three nodes of the lab's build in one region, receivers of all of them, and relays from each node to each
// other.
class Fleet {
 public:
  Fleet() {
    std::string made = (fs::temp_directory_path() / "marbledyke-control-XXXXXX").string();
    if (mkdtemp(made.data()) == nullptr) throw std::runtime_error(made);
    folder = made;
    loop.read_clock();
    for (std::size_t from = 0; from < kNodes; ++from) {
      for (std::size_t to = 0; to < kNodes; ++to) {
        const auto at = address(static_cast<int>(100 + 10 * from + to));
        relays[{from, to}] =
            std::make_unique<rig::Relay>(loop, at, node(to), static_cast<std::uint32_t>(from * 10 + to));
      }
    }
    for (std::size_t i = 0; i < kNodes; ++i) start(i);
  }
  ~Fleet() {
    hollows.clear();
    for (auto& process : processes) process.end();
    std::error_code ignored;
    fs::remove_all(folder, ignored);
  }

  static net::Address node(std::size_t i) { return address(static_cast<int>(1 + i)); }
  std::string folder_of(std::size_t i) const { return folder + "/n" + std::to_string(i); }
  std::string log_of(std::size_t i) const { return folder + "/n" + std::to_string(i) + ".log"; }

  void launch(rig::Process& process, std::size_t i, const std::string& listen, const std::string& log) {
    std::vector<std::string> words{rig::program("marbledyke-control-bent"),
                                   "--name",
                                   "n" + std::to_string(i),
                                   "--region",
                                   "r1",
                                   "--fleet",
                                   "f",
                                   "--folder",
                                   folder_of(i),
                                   "--listen",
                                   listen};
    for (std::size_t to = 0; to < kNodes; ++to) {
      if (to == i) continue;
      words.push_back("--peer");
      words.push_back(relays.at({i, to})->address().text());
    }
    process.start(words, {{"MARBLEDYKE_BENT", folder + "/n" + std::to_string(i) + ".bends"}}, log);
  }
  bool answers(std::size_t i) {
    return rig::call(loop, node(i), "GET", "/v1/configuration/status", "", 500ms).status == 200;
  }
  bool start(std::size_t i) {
    launch(processes[i], i, node(i).text(), log_of(i));
    return rig::run_until(loop, 5s, [&] { return processes[i].ended() || answers(i); }) &&
           !processes[i].ended();
  }
  void kill(std::size_t i) {
    processes[i].signal(SIGKILL);
    gone(i);
  }
  bool gone(std::size_t i) {
    return rig::run_until(loop, 5s, [&] { return processes[i].ended().has_value(); });
  }
  void bend(std::size_t i, const json& how) {
    write_text(folder + "/n" + std::to_string(i) + ".bends", how.dump());
    rig::run_for(loop, 15ms);  // longer than it takes to be noticed
  }
  // The reason that a node gives for not starting.
  std::string refusal(std::size_t i, const std::string& listen) {
    rig::Process one;
    const std::string log = folder + "/refused.log";
    unlink(log.c_str());
    launch(one, i, listen, log);
    rig::run_until(loop, 3s, [&] { return one.ended().has_value(); });
    std::string said = text_of(log);
    if (!one.ended() || WEXITSTATUS(*one.ended()) != 1) return "TAKEN";
    while (said.find(folder) != std::string::npos) said.replace(said.find(folder), folder.size(), "FOLDER");
    return said.substr(0, said.find('\n'));
  }

  json status(std::size_t i) { return rig::call(loop, node(i), "GET", "/v1/configuration/status").body; }
  json state(std::size_t i) { return rig::call(loop, node(i), "GET", "/v1/configuration/state").body; }
  std::int64_t newest(std::size_t i) {
    const json said = status(i);
    return said.is_object() ? said.value("newest", std::int64_t{-1}) : -1;
  }
  rig::Answer post(std::size_t i, const std::string& what, const json& body, Duration limit = 3s) {
    return rig::call(loop, node(i), "POST", "/v1/configuration/" + what, body.dump(), limit);
  }
  rig::Answer learn(std::size_t i, std::int64_t index) {
    return post(i, "learn", put(emulated_revision(index)));
  }
  void learn_all(std::int64_t index) {
    for (std::size_t i = 0; i < kNodes; ++i) learn(i, index);
  }

  void receive() {
    std::vector<net::Address> nodes;
    for (std::size_t i = 0; i < kNodes; ++i) nodes.push_back(node(i));
    for (std::uint32_t i = 0; i < kReceivers; ++i)
      hollows.push_back(std::make_unique<Hollow>(loop, nodes, i));
    rig::run_for(loop, 1500ms);  // starts are spread over 1 s
  }
  bool all_hold(std::int64_t index) const {
    for (const auto& hollow : hollows) {
      if (hollow->index != index) return false;
    }
    return true;
  }
  void in_force(const std::string& what, std::int64_t index, Duration limit) {
    const Duration from = loop.now();
    const bool held = rig::run_until(loop, limit, [&] { return all_hold(index); });
    figure(what, loop.now() - from);
    say(what + ": in force at all within " + std::to_string(limit / 1s) + " s", held);
  }
  void sound() const {
    bool older = false;
    std::uint64_t impossible = 0;
    for (const auto& hollow : hollows) {
      older = older || hollow->older;
      impossible += hollow->client.receiver().impossible();
    }
    say("no receiver was ever given one that is not newer", !older);
    say("nothing came that cannot come", impossible == 0);
  }
  void cut(std::size_t apart, bool on) {
    rig::Way lost;
    lost.lost = on;
    for (const auto& [ends, relay] : relays) {
      if (ends.first != apart && ends.second != apart) continue;
      relay->set(lost, lost);
      if (!on) relay->cut();  // what was lost leaves a connection out of step
    }
  }

  net::Loop loop;
  std::string folder;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<rig::Relay>> relays;
  std::array<rig::Process, kNodes> processes;
  std::vector<std::unique_ptr<Hollow>> hollows;
};

}  // namespace marbledyke::control_rig
