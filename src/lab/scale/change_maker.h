// Makes changes of the fleet's settings as the settings tool does: the shipped proposer over calls to the
// voting control nodes, then what is agreed told to every node.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "distribution/proposer.h"
#include "fleet/http_client.h"
#include "lab/scale/control_plane.h"
#include "net/loop.h"

namespace marbledyke::lab::scale {

class ChangeMaker {
 public:
  // It stands in region 0.
  ChangeMaker(net::Loop& loop, const ControlPlane& plane, std::uint32_t seed);

  struct Made {
    distribution::Outcome outcome = distribution::Outcome::under_way;
    std::int64_t index = 0;
    std::int64_t agreed_us = 0;  // machine_microseconds() at which it was agreed
    Duration took{};             // from the proposal until then
    std::string why;             // of another outcome
  };
  // Runs the loop until the outcome is known, for kLimit at most.
  Made make(const std::string& settings);

 private:
  void send(distribution::Proposer& proposer, const distribution::Message& message);
  void tell_all(const distribution::Revision& revision);

  net::Loop& loop_;
  const ControlPlane& plane_;
  fleet::HttpClient client_;
  std::mt19937 chance_;
  std::string identity_;
  std::uint64_t made_ = 0;
  std::optional<distribution::Revision> newest_;
  // Of the present proposer: answers to a former one are dropped; a message replaces the one before it.
  std::uint64_t messages_ = 0;
  std::vector<std::uint64_t> newest_message_;
};

}  // namespace marbledyke::lab::scale
