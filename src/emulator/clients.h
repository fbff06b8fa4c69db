// The clients of a scenario, without I/O: who asks for what, how long each stays, whether it asks again, and
// what is counted of all that. Virtual time and the sockets' stage both draw from here, in the same order.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "emulator/world.h"
#include "scenario/scenario.h"

namespace marbledyke::emulator {

struct Client {
  Duration first{}, deadline{};
  int op = 0, tries = 0;
  std::uint32_t serial = 0;  // of the try that is open
  int gatherer = -1;
  std::uint32_t number = 0;  // of the multiget at its gatherer
  bool busy = false, counted = false;
};

class Clients {
 public:
  // Counts into `result`, whose seconds are there already.
  Clients(const scenario::Scenario& scenario, std::uint32_t seed, Result& result);

  Client& at(std::uint32_t i) { return clients_[i]; }
  const scenario::OpLoad& op_of(std::uint32_t i) const {
    return s_.op_types[static_cast<std::size_t>(clients_[i].op)];
  }

  std::uint32_t asks(Duration now);  // a new one, of an op type drawn
  void tries(std::uint32_t i, Duration now);
  std::size_t one_of(std::size_t count) { return chance_() % count; }
  // Distinct shards for the parts of its try, drawn evenly.
  std::vector<int> shards(std::uint32_t i);
  // The share of its time after which it leaves; none: it stays.
  std::optional<double> leaves();

  // How a try ended. What is answered or given up is forgotten.
  void answered(std::uint32_t i, Duration now);
  void left(std::uint32_t i, Duration now);
  // So long until it tries again; none: it has given up.
  std::optional<Duration> not_served(std::uint32_t i, Duration come_back, bool pushed_back, Duration now);

  bool counts(Duration now) const { return now >= s_.settle && now <= s_.length; }
  Second& second(Duration now);
  void finish();  // shares and quantiles of what was counted

 private:
  void forget(std::uint32_t i);

  const scenario::Scenario& s_;
  Result& result_;
  std::mt19937 chance_;
  std::vector<double> shares_;
  std::vector<Client> clients_;
  std::vector<std::uint32_t> free_;
  std::vector<int> pool_;
  std::vector<Duration> took_;
  double asked_worth_ = 0, good_worth_ = 0;
};

}  // namespace marbledyke::emulator
