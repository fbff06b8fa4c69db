// The network side of an agreement: sends the proposer's messages to the voting control nodes.
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

// Proposer ids have to be unique among all proposers at any time, hence the random part.
std::string make_proposer_id() {
  std::random_device random;
  char out[64];
  std::snprintf(out, sizeof out, "fleet-%d-%08x%08x", static_cast<int>(getpid()), random(), random());
  return out;
}

std::string error_text(const HttpResponse& response) {
  if (response.status == 0) return response.error;
  const json error = response.body.is_object() ? response.body.value("error", json()) : json();
  return error.is_string() ? error.get<std::string>() : "status " + std::to_string(response.status);
}

}  // namespace

Agreement::Agreement(net::Loop& loop, const Fleet& fleet,
                     std::optional<distribution::Proposer::Change> change)
    : loop_(loop), fleet_(fleet), change_(std::move(change)), client_(loop) {
  for (const ControlNodeEntry& node : fleet.control_nodes) {
    if (node.voter) voters_.push_back(&node);
  }
  latest_call_.resize(voters_.size());
}

std::optional<Revision> Agreement::fetch_newest() {
  std::optional<Revision> out;
  for (const ControlNodeEntry& node : fleet_.control_nodes) {
    client_.call(node.address, "GET", "/v1/configuration/state", "", kControlNodeTimeout,
                 [&](const HttpResponse& response) {
                   if (response.status != 200 || !response.body.is_object()) return;
                   try {
                     const json chosen = response.body.value("chosen", json());
                     if (chosen.is_null()) return;
                     Revision read = distribution::read_revision(chosen);
                     if (distribution::fault_of(read, fleet_.name)) return;
                     if (!out || read.index > out->index) out = std::move(read);
                   } catch (const config::BadInput&) {
                     // A malformed answer is ignored.
                   }
                 });
  }
  wait_for_calls();
  return out;
}

// Runs the loop until every call is answered or has timed out.
void Agreement::wait_for_calls() {
  while (client_.pending_calls() > 0) loop_.run_once();
  loop_.call_at(loop_.now(), [] {});
  loop_.run_once();  // the last callback runs in a turn of its own
}

Outcome Agreement::run() {
  loop_.read_clock();
  const Duration until = loop_.now() + kChangeTimeout;
  if (voters_.empty()) {
    errors_ = "the fleet file names no voting control node";
    return Outcome::refused;
  }
  std::optional<Revision> chosen = fetch_newest();
  proposer_.emplace(voters_.size(), make_proposer_id(), change_, std::move(chosen));
  send_messages();
  while (proposer_->outcome() == Outcome::under_way && loop_.now() < until) {
    loop_.call_at(std::min(until, loop_.now() + 50ms), [] {});
    loop_.run_once();
  }
  if (proposer_->outcome() == Outcome::under_way) {
    errors_ += (errors_.empty() ? "" : "; ") + std::string("no result within 8 s");
    return accept_sent_ ? Outcome::unknown : Outcome::no_majority;
  }
  if (!proposer_->why().empty()) errors_ = proposer_->why() + (errors_.empty() ? "" : "; " + errors_);
  return proposer_->outcome();
}

std::optional<Revision> Agreement::result() const { return proposer_ ? proposer_->result() : std::nullopt; }

void Agreement::send_messages() {
  while (const auto message = proposer_->next()) send(*message);
  if (!proposer_->waits_for_round() || backing_off_) return;
  backing_off_ = true;
  std::random_device random;
  const double jitter = static_cast<double>(random() % 1000) / 1000.0;
  loop_.call_at(loop_.now() + proposer_->backoff(jitter), [this] {
    backing_off_ = false;
    proposer_->begin_round();
    send_messages();
  });
}

void Agreement::send(const distribution::Message& message) {
  const std::size_t voter = message.voter;
  const std::uint64_t number = ++latest_call_[voter];
  const bool accepts = std::holds_alternative<distribution::Accept>(message.what);
  accept_sent_ = accept_sent_ || accepts;
  const std::string body =
      std::visit([](const auto& content) { return distribution::put(content).dump(); }, message.what);
  client_.call(voters_[voter]->address, "POST",
               accepts ? "/v1/configuration/accept" : "/v1/configuration/prepare", body, kControlNodeTimeout,
               [this, voter, number](const HttpResponse& response) { on_response(voter, number, response); });
}

void Agreement::on_response(std::size_t voter, std::uint64_t number, const HttpResponse& response) {
  if (response.status != 200) {
    on_failure(voter, number, error_text(response));
  } else {
    try {
      proposer_->replied(voter, distribution::read_reply(response.body));
    } catch (const config::BadInput& wrong) {
      on_failure(voter, number, wrong.what());
    }
  }
  send_messages();
}

void Agreement::on_failure(std::size_t voter, std::uint64_t number, const std::string& error) {
  const std::string entry = voters_[voter]->name + ": " + error;
  if (errors_.find(entry) == std::string::npos) errors_ += (errors_.empty() ? "" : "; ") + entry;
  if (number == latest_call_[voter]) proposer_->failed(voter);
}

std::size_t Agreement::notify_all_nodes(const Revision& revision) {
  std::size_t accepted_by = 0;
  const std::string body = distribution::put(revision).dump();
  for (const ControlNodeEntry& node : fleet_.control_nodes) {
    client_.call(
        node.address, "POST", "/v1/configuration/learn", body, kControlNodeTimeout,
        [&accepted_by](const HttpResponse& response) { accepted_by += response.status == 200 ? 1 : 0; });
  }
  wait_for_calls();
  return accepted_by;
}

}  // namespace marbledyke::fleet
