#include "lab/scale/hollow_receivers.h"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "config/fields.h"
#include "distribution/receiver_client.h"
#include "lab/scale/control_plane.h"
#include "lab/scale/process_use.h"

namespace marbledyke::lab::scale {
namespace {

using distribution::Revision;
using nlohmann::json;

constexpr Duration kLeastSampling{100'000};

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  if (!in || !(text << in.rdbuf())) throw std::runtime_error(path + ": cannot be read");
  return text.str();
}

// The newest index of each receiver in a former life's log; a torn last line is left out.
std::vector<std::int64_t> indices_in(const std::string& log, std::size_t receivers) {
  std::vector<std::int64_t> out(receivers, 0);
  std::ifstream in(log);
  for (std::string line; std::getline(in, line);) {
    std::istringstream fields(line);
    char kind = 0;
    std::int64_t us = 0, index = 0;
    std::size_t number = 0;
    if (!(fields >> kind >> us >> number >> index) || kind != 'A' || in.eof()) continue;
    if (number < receivers) out[number] = index;
  }
  return out;
}

class Receivers {
 public:
  Receivers(net::Loop& loop, const ReceiversSpec& spec)
      : loop_(loop),
        spec_(spec),
        log_(open(spec.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)) {
    if (!log_) throw std::runtime_error(spec.log + ": cannot be written");
    const std::vector<std::int64_t> held = indices_in(spec.log, spec.names.size());
    for (std::size_t i = 0; i < spec.names.size(); ++i) {
      clients_.push_back(std::make_unique<distribution::ReceiverClient>(
          loop, distribution::Receiver::Identity{spec.names[i], spec.zone, kFleet}, spec.nodes,
          spec.preferred, kept(held[i]), spec.seed + static_cast<std::uint32_t>(i),
          [this, i](const Revision& revision) { apply(i, revision); }));
    }
    plan_sample();
  }

  // What the log has to say is written once a turn.
  void write_log() {
    if (lines_.empty()) return;
    if (write(log_.get(), lines_.data(), lines_.size()) != static_cast<ssize_t>(lines_.size()))
      throw std::runtime_error(spec_.log + ": cannot be written");
    lines_.clear();
  }

 private:
  std::string revision_path(std::int64_t index) const {
    return spec_.log + ".revision-" + std::to_string(index);
  }

  std::optional<Revision> kept(std::int64_t index) const {
    if (index == 0) return std::nullopt;
    return distribution::read_revision(config::parse(read_file(revision_path(index))));
  }

  void keep(const Revision& revision) {
    if (revision.index <= kept_) return;
    const std::string path = revision_path(revision.index);
    std::ofstream(path + ".new") << put(revision).dump();
    std::filesystem::rename(path + ".new", path);
    kept_ = revision.index;
  }

  void apply(std::size_t number, const Revision& revision) {
    keep(revision);
    if (spec_.applies_after <= Duration::zero()) return applied(number, revision.index);
    loop_.call_at(loop_.now() + spec_.applies_after,
                  [this, number, index = revision.index] { applied(number, index); });
  }

  void applied(std::size_t number, std::int64_t index) {
    lines_ += "A " + std::to_string(machine_microseconds()) + ' ' + std::to_string(number) + ' ' +
              std::to_string(index) + '\n';
    clients_[number]->applied();
  }

  void plan_sample() {
    const std::int64_t every = spec_.sample_every.count();
    const Duration wait(every - machine_microseconds() % every);
    loop_.call_at(loop_.now() + wait, [this] {
      sample();
      plan_sample();
    });
  }

  void sample() {
    const std::string now = std::to_string(machine_microseconds());
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      const distribution::ReceiverClient& client = *clients_[i];
      lines_ += "B " + now + ' ' + std::to_string(i) + ' ' + std::to_string(client.receiver().node()) + ' ' +
                std::to_string(client.receiver().tally().calls) + ' ' + std::to_string(client.bytes_read()) +
                ' ' + std::to_string(client.bytes_written()) + '\n';
    }
  }

  net::Loop& loop_;
  const ReceiversSpec& spec_;
  net::Descriptor log_;
  std::string lines_;
  std::int64_t kept_ = 0;
  std::vector<std::unique_ptr<distribution::ReceiverClient>> clients_;
};

}  // namespace

void write_spec(const std::string& path, const ReceiversSpec& spec) {
  json nodes = json::array();
  for (const net::Address& node : spec.nodes) nodes.push_back(node.text());
  std::ofstream(path) << json{{"log", spec.log},
                              {"zone", spec.zone},
                              {"nodes", nodes},
                              {"preferred", spec.preferred},
                              {"names", spec.names},
                              {"seed", spec.seed},
                              {"sample_every_us", spec.sample_every.count()},
                              {"applies_after_us", spec.applies_after.count()}}
                             .dump();
}

ReceiversSpec read_spec(const std::string& path) {
  const json from = config::parse(read_file(path));
  ReceiversSpec out;
  out.log = config::text(from, "log");
  out.zone = config::text(from, "zone");
  out.preferred = static_cast<std::size_t>(config::integer(from, "preferred"));
  out.seed = static_cast<std::uint32_t>(config::integer(from, "seed"));
  out.applies_after = Duration(config::integer(from, "applies_after_us"));
  out.sample_every = std::max(Duration(config::integer(from, "sample_every_us")), kLeastSampling);
  for (const json& name : config::array(from, "names")) out.names.push_back(name.get<std::string>());
  for (const json& node : config::array(from, "nodes")) {
    const auto address = net::parse_address(node.get<std::string>());
    if (!address) throw config::BadInput("nodes: not an address: " + node.dump());
    out.nodes.push_back(*address);
  }
  return out;
}

int run_hollow_receivers(const std::string& spec_path) {
  signal(SIGPIPE, SIG_IGN);
  raise_descriptor_limit();
  try {
    const ReceiversSpec spec = read_spec(spec_path);
    net::Loop loop;
    loop.read_clock();
    Receivers receivers(loop, spec);
    for (;;) {
      loop.run_once();
      receivers.write_log();
    }
  } catch (const std::exception& wrong) {
    std::cerr << "marbledyke-lab: " << wrong.what() << '\n';
    return 1;
  }
}

}  // namespace marbledyke::lab::scale
