// Bringing a change to agreement, over sockets.
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <utility>

#include "config/fields.h"
#include "fleet/configuration.h"

namespace marbledyke::fleet {
namespace {

using namespace std::chrono_literals;
using distribution::Outcome;
using distribution::Revision;
using nlohmann::json;

// Of no other proposer, ever.
std::string identity() {
  std::random_device chance;
  char out[64];
  std::snprintf(out, sizeof out, "fleet-%d-%08x%08x", static_cast<int>(getpid()), chance(), chance());
  return out;
}

std::string text_of_failure(const HttpResponse& response) {
  if (response.status == 0) return response.error;
  const json error = response.body.is_object() ? response.body.value("error", json()) : json();
  return error.is_string() ? error.get<std::string>() : "status " + std::to_string(response.status);
}

}  // namespace

Agreement::Agreement(net::Loop& loop, const Fleet& fleet,
                     std::optional<distribution::Proposer::Change> change)
    : loop_(loop), fleet_(fleet), change_(std::move(change)), client_(loop) {
  for (const ControlNodeAt& node : fleet.control_nodes) {
    if (node.voter) voters_.push_back(&node);
  }
  newest_call_.resize(voters_.size());
}

std::optional<Revision> Agreement::newest_known() {
  std::optional<Revision> out;
  for (const ControlNodeAt& node : fleet_.control_nodes) {
    client_.call(node.address, "GET", "/v1/configuration/state", "", kNodeCall,
                 [&](const HttpResponse& response) {
                   if (response.status != 200 || !response.body.is_object()) return;
                   try {
                     const json chosen = response.body.value("chosen", json());
                     if (chosen.is_null()) return;
                     Revision read = distribution::read_revision(chosen);
                     if (distribution::fault_of(read, fleet_.name)) return;
                     if (!out || read.index > out->index) out = std::move(read);
                   } catch (const config::BadInput&) {
                     // A node that tells nonsense is heard by none.
                   }
                 });
  }
  run_calls();
  return out;
}

// Until every call is answered or given up.
void Agreement::run_calls() {
  while (client_.pending_calls() > 0) loop_.gather();
  loop_.at(loop_.now(), [] {});
  loop_.gather();  // the last is told in a turn of its own
}

Outcome Agreement::run() {
  loop_.read_clock();
  const Duration until = loop_.now() + kPutLimit;
  if (voters_.empty()) {
    why_ = "the fleet's file names no control node that votes";
    return Outcome::refused;
  }
  std::optional<Revision> chosen = newest_known();
  proposer_.emplace(voters_.size(), identity(), change_, std::move(chosen));
  carry_out();
  while (proposer_->outcome() == Outcome::under_way && loop_.now() < until) {
    loop_.at(std::min(until, loop_.now() + 50ms), [] {});
    loop_.gather();
  }
  if (proposer_->outcome() == Outcome::under_way) {
    why_ += (why_.empty() ? "" : "; ") + std::string("not over within 8 s");
    return sent_out_ ? Outcome::unknown : Outcome::no_majority;
  }
  if (!proposer_->why().empty()) why_ = proposer_->why() + (why_.empty() ? "" : "; " + why_);
  return proposer_->outcome();
}

std::optional<Revision> Agreement::result() const { return proposer_ ? proposer_->result() : std::nullopt; }

void Agreement::carry_out() {
  while (const auto message = proposer_->next()) send(*message);
  if (!proposer_->waits_for_round() || resting_) return;
  resting_ = true;
  std::random_device chance;
  const double jitter = static_cast<double>(chance() % 1000) / 1000.0;
  loop_.at(loop_.now() + proposer_->backoff(jitter), [this] {
    resting_ = false;
    proposer_->begin_round();
    carry_out();
  });
}

void Agreement::send(const distribution::Message& message) {
  const std::size_t voter = message.voter;
  const std::uint64_t number = ++newest_call_[voter];
  const bool accepts = std::holds_alternative<distribution::Accept>(message.what);
  sent_out_ = sent_out_ || accepts;
  const std::string body =
      std::visit([](const auto& one) { return distribution::put(one).dump(); }, message.what);
  client_.call(voters_[voter]->address, "POST",
               accepts ? "/v1/configuration/accept" : "/v1/configuration/prepare", body, kNodeCall,
               [this, voter, number](const HttpResponse& response) { answered(voter, number, response); });
}

void Agreement::answered(std::size_t voter, std::uint64_t number, const HttpResponse& response) {
  if (response.status != 200) {
    fail(voter, number, text_of_failure(response));
  } else {
    try {
      proposer_->replied(voter, distribution::read_reply(response.body));
    } catch (const config::BadInput& wrong) {
      fail(voter, number, wrong.what());
    }
  }
  carry_out();
}

void Agreement::fail(std::size_t voter, std::uint64_t number, const std::string& why) {
  const std::string said = voters_[voter]->name + ": " + why;
  if (why_.find(said) == std::string::npos) why_ += (why_.empty() ? "" : "; ") + said;
  if (number == newest_call_[voter]) proposer_->failed(voter);
}

std::size_t Agreement::tell_all(const Revision& revision) {
  std::size_t took = 0;
  const std::string body = distribution::put(revision).dump();
  for (const ControlNodeAt& node : fleet_.control_nodes) {
    client_.call(node.address, "POST", "/v1/configuration/learn", body, kNodeCall,
                 [&took](const HttpResponse& response) { took += response.status == 200 ? 1 : 0; });
  }
  run_calls();
  return took;
}

}  // namespace marbledyke::fleet
