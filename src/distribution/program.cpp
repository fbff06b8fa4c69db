#include "distribution/program.h"

#include <signal.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "config/fields.h"
#include "distribution/node.h"
#include "keeper/control_address.h"
#include "log/log.h"
#include "net/signals.h"

namespace marbledyke::distribution {
namespace {

struct Words {
  std::string listen, log_form = "plain";
  std::vector<std::string> peers;
};

net::Address private_address(const std::string& text, const std::string& option) {
  const auto address = net::parse_address(text);
  if (!address) throw config::BadInput(option + ": not an address: " + text);
  if (const std::string why = keeper::control_address_error(*address); !why.empty())
    throw config::BadInput(option + ": " + text + " is " + why);
  return *address;
}

void check(NodeOptions& options, const Words& words) {
  if (options.folder.empty() || options.folder.front() != '/')
    throw config::BadInput("--folder: not an absolute path: " + options.folder);
  options.listen = private_address(words.listen, "--listen");
  for (const std::string& peer : words.peers) options.peers.push_back(private_address(peer, "--peer"));
}

// A descriptor a receiver: the soft limit of a login shell is below what a node is made for.
void raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

sigset_t block_end_signals() {
  sigset_t heeded;
  sigemptyset(&heeded);
  for (const int one : {SIGTERM, SIGINT}) sigaddset(&heeded, one);
  sigprocmask(SIG_BLOCK, &heeded, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return heeded;
}

void serve(const NodeOptions& options, disk::Disk& disk, const TimeSource& clock, const sigset_t& heeded) {
  net::Loop loop(clock);
  bool running = true;
  Node node(loop, disk, options);
  net::Signals signals(loop, heeded, [&running] { running = false; });
  log::event(log::Level::info, "control.serving", {{"listen", options.listen.text()}});
  while (running) loop.run_once();
  log::event(log::Level::info, "control.stopped");
}

}  // namespace

int run(int count, char** words, disk::Disk& disk, const TimeSource& clock) {
  CLI::App app("A control node: holds a fleet's settings and gives them to its receivers.");
  app.set_version_flag("--version", "marbledyke " MARBLEDYKE_VERSION);
  NodeOptions options;
  Words given;
  app.add_option("--name", options.name, "Its name; letters, digits and ._:-")->required();
  app.add_option("--region", options.region, "Where it stands")->required();
  app.add_option("--fleet", options.fleet, "Whose settings it holds; another fleet's are refused")
      ->required();
  app.add_option("--folder", options.folder, "Its folder; one node each")->required();
  app.add_option("--listen", given.listen, "Where it serves: loopback, a private address, unix:/PATH")
      ->required();
  app.add_option("--peer", given.peers, "Where another control node serves; once for each of them");
  app.add_option("--log", given.log_form, "plain or json")->check(CLI::IsMember({"plain", "json"}));
  app.add_option("--seed", options.seed, "Of its random waits; drawn from its name unless given");
  CLI11_PARSE(app, count, words);
  if (app.count("--seed") == 0)
    options.seed = static_cast<std::uint32_t>(std::hash<std::string>{}(options.name));

  const sigset_t heeded = block_end_signals();
  raise_descriptor_limit();
  try {
    const bool json = given.log_form == "json";
    log::configure(log::Level::info, json ? log::Format::json : log::Format::plain, options.name);
    check(options, given);
    serve(options, disk, clock, heeded);
    return EXIT_SUCCESS;
  } catch (const std::exception& wrong) {
    std::cerr << "marbledyke-control: " << wrong.what() << '\n';
    return EXIT_FAILURE;
  }
}

}  // namespace marbledyke::distribution
