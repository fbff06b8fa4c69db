#include "lab/scale/change_maker.h"

#include <unistd.h>

#include <chrono>

#include "config/fields.h"
#include "lab/scale/process_use.h"

namespace marbledyke::lab::scale {
namespace {

using namespace std::chrono_literals;
using distribution::Outcome;
using distribution::Proposer;

constexpr Duration kCallLimit = 1s;
constexpr Duration kLimit = 20s;        // of one change
constexpr Duration kLookEvery = 500us;  // at the proposer, while answers come in

std::int64_t unix_milliseconds() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

std::string body_of(const distribution::Message& message) {
  return std::visit([](const auto& what) { return put(what).dump(); }, message.what);
}

std::string path_of(const distribution::Message& message) {
  const bool prepare = std::holds_alternative<distribution::Prepare>(message.what);
  return std::string("/v1/configuration/") + (prepare ? "prepare" : "accept");
}

void give(Proposer& proposer, std::size_t voter, const fleet::HttpResponse& response) {
  try {
    if (response.status != 200) return proposer.failed(voter);
    proposer.replied(voter, distribution::read_reply(response.body));
  } catch (const config::BadInput&) {
    proposer.failed(voter);
  }
}

}  // namespace

ChangeMaker::ChangeMaker(net::Loop& loop, const ControlPlane& plane, std::uint32_t seed)
    : loop_(loop),
      plane_(plane),
      client_(loop),
      chance_(seed),
      identity_("scale-" + std::to_string(getpid()) + "-" + std::to_string(seed)) {}

ChangeMaker::Made ChangeMaker::make(const std::string& settings) {
  loop_.read_clock();
  const Duration begun = loop_.now();
  Proposer::Change change;
  change.fleet = kFleet;
  change.settings = settings;
  change.author = "scale";
  change.made_ms = unix_milliseconds();
  Proposer proposer(kVoters, identity_ + "-" + std::to_string(++made_), change, newest_);
  newest_message_.assign(kVoters, 0);
  std::optional<Duration> next_round;
  while (proposer.outcome() == Outcome::under_way && loop_.now() < begun + kLimit) {
    while (const auto message = proposer.next()) send(proposer, *message);
    if (proposer.waits_for_round()) {
      if (!next_round)
        next_round = loop_.now() + proposer.backoff(std::uniform_real_distribution<double>(0, 1)(chance_));
      if (loop_.now() >= *next_round) {
        next_round.reset();
        proposer.begin_round();
        continue;
      }
    }
    loop_.call_at(loop_.now() + kLookEvery, [] {});
    loop_.run_once();
  }
  Made out;
  out.agreed_us = machine_microseconds();
  out.took = loop_.now() - begun;
  out.outcome = proposer.outcome();
  out.why = proposer.why();
  newest_message_.clear();
  if (proposer.result()) newest_ = proposer.result();
  if (out.outcome != Outcome::agreed) return out;
  out.index = newest_->index;
  tell_all(*newest_);
  return out;
}

void ChangeMaker::send(Proposer& proposer, const distribution::Message& message) {
  const std::uint64_t number = ++messages_;
  newest_message_[message.voter] = number;
  client_.call(plane_.address(message.voter, 0), "POST", path_of(message), body_of(message), kCallLimit,
               [this, &proposer, voter = message.voter, number](const fleet::HttpResponse& response) {
                 if (newest_message_.empty() || newest_message_[voter] != number) return;
                 give(proposer, voter, response);
               });
}

void ChangeMaker::tell_all(const distribution::Revision& revision) {
  for (std::size_t node = 0; node < kNodes; ++node)
    client_.call(plane_.address(node, 0), "POST", "/v1/configuration/learn", put(revision).dump(), kCallLimit,
                 [](const fleet::HttpResponse&) {});
}

}  // namespace marbledyke::lab::scale
