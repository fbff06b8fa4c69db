// The acceptor's state and messages as JSON.
#include <xxhash.h>

#include <array>
#include <cstdio>

#include "config/fields.h"
#include "distribution/acceptor.h"

namespace marbledyke::distribution {
namespace {

using config::BadInput;
using nlohmann::json;

constexpr int kFormat = 1;  // of the state on disk
constexpr std::size_t kLongestWhy = 200;
constexpr std::array<const char*, 5> kReplyNames{"promised", "outbid", "outdated", "behind", "refused"};

std::string checksum(const std::string& text) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return out;
}

json put(const Ballot& ballot) { return {{"round", ballot.round}, {"proposer", ballot.proposer}}; }

Ballot read_ballot(const json& from, const char* field) {
  const json& body = config::object(from, field);
  try {
    Ballot out;
    out.round = config::integer(body, "round");
    out.proposer = config::text(body, "proposer");
    if (out.round < 0 || out.round > kHighestRound) throw BadInput("round: out of range");
    if (out.proposer.size() > kLongestName) throw BadInput("proposer: too long");
    return out;
  } catch (const BadInput& fault) {
    throw BadInput(std::string(field) + "." + fault.what());
  }
}

// Cut between characters.
std::string cut(const std::string& why) {
  if (why.size() <= kLongestWhy) return why;
  std::size_t end = kLongestWhy;
  while (end > 0 && (static_cast<unsigned char>(why[end]) & 0xC0) == 0x80) --end;
  return why.substr(0, end);
}

bool has(const json& from, const char* field) {
  const auto at = from.find(field);
  return at != from.end() && !at->is_null();
}

Ballot read_ballot_if_any(const json& from, const char* field) {
  return has(from, field) ? read_ballot(from, field) : Ballot{};
}

Revision read_revision_in(const json& from, const char* field) {
  const json& body = config::required(from, field);
  try {
    return read_revision(body);
  } catch (const BadInput& fault) {
    throw BadInput(std::string(field) + ": " + fault.what());
  }
}

std::optional<Revision> read_revision_if_any(const json& from, const char* field) {
  if (!has(from, field)) return std::nullopt;
  return read_revision_in(from, field);
}

void need_object(const json& from, const char* what) {
  if (!from.is_object()) throw BadInput(std::string(what) + ": not an object");
}

AcceptorState read_state_body(const json& body) {
  AcceptorState out;
  out.chosen = read_revision_if_any(body, "chosen").value_or(Revision{});
  out.promised = read_ballot(body, "promised");
  out.accepted_ballot = read_ballot(body, "accepted_ballot");
  out.accepted = read_revision_if_any(body, "accepted");
  return out;
}

void check_state(const AcceptorState& state, const std::string& fleet) {
  const auto check_fleet = [&](const Revision& revision) {
    if (revision.fleet != fleet) throw BadInput("acceptor's state: is of the fleet " + revision.fleet);
  };
  if (state.chosen.index > 0) check_fleet(state.chosen);
  if (!state.accepted) return;
  check_fleet(*state.accepted);
  if (state.accepted->index != state.chosen.index + 1)
    throw BadInput("acceptor's state: what was accepted does not follow what is agreed");
}

}  // namespace

std::string put(const AcceptorState& state) {
  json body = {{"promised", put(state.promised)}, {"accepted_ballot", put(state.accepted_ballot)}};
  if (state.chosen.index > 0) body["chosen"] = put(state.chosen);
  if (state.accepted) body["accepted"] = put(*state.accepted);
  const std::string text = body.dump();
  return json{{"format", kFormat}, {"checksum", checksum(text)}}.dump() + "\n" + text + "\n";
}

AcceptorState read_acceptor_state(const std::string& text, const std::string& fleet) {
  const std::size_t end = text.find('\n');
  if (end == std::string::npos || text.back() != '\n' || end + 1 >= text.size())
    throw BadInput("acceptor's state: is torn");
  const json head = config::parse(std::string_view(text).substr(0, end));
  if (const std::int64_t format = config::integer(head, "format"); format != kFormat)
    throw BadInput("acceptor's state: format " + std::to_string(format) + " is not this program's");
  const std::string body_text = text.substr(end + 1, text.size() - end - 2);
  if (config::text(head, "checksum") != checksum(body_text)) throw BadInput("acceptor's state: is damaged");
  const json body = config::parse(body_text);
  need_object(body, "acceptor's state");
  const AcceptorState out = read_state_body(body);
  check_state(out, fleet);
  return out;
}

json put(const Prepare& message) {
  json out = {{"ballot", put(message.ballot)}};
  if (!message.fleet.empty()) out["fleet"] = message.fleet;
  if (message.chosen) out["chosen"] = put(*message.chosen);
  return out;
}

json put(const Accept& message) {
  json out = {{"ballot", put(message.ballot)}, {"revision", put(message.revision)}};
  if (message.chosen) out["chosen"] = put(*message.chosen);
  return out;
}

json put(const Reply& reply) {
  json out = {{"kind", kReplyNames[static_cast<std::size_t>(reply.kind)]}};
  if (reply.promised.round > 0) out["promised"] = put(reply.promised);
  if (reply.accepted_ballot.round > 0) out["accepted_ballot"] = put(reply.accepted_ballot);
  if (reply.accepted) out["accepted"] = put(*reply.accepted);
  if (reply.chosen) out["chosen"] = put(*reply.chosen);
  if (!reply.why.empty()) out["why"] = cut(reply.why);
  return out;
}

Prepare read_prepare(const json& from) {
  need_object(from, "prepare");
  Prepare out;
  out.ballot = read_ballot(from, "ballot");
  if (has(from, "fleet")) out.fleet = config::text(from, "fleet");
  if (out.fleet.size() > kLongestName) throw BadInput("fleet: too long");
  out.chosen = read_revision_if_any(from, "chosen");
  return out;
}

Accept read_accept(const json& from) {
  need_object(from, "accept");
  Accept out;
  out.ballot = read_ballot(from, "ballot");
  out.revision = read_revision_in(from, "revision");
  out.chosen = read_revision_if_any(from, "chosen");
  return out;
}

Reply read_reply(const json& from) {
  need_object(from, "reply");
  const std::string& kind = config::text(from, "kind");
  std::size_t place = 0;
  while (place < kReplyNames.size() && kind != kReplyNames[place]) ++place;
  if (place == kReplyNames.size()) throw BadInput("kind: none that is known");
  Reply out;
  out.kind = static_cast<ReplyKind>(place);
  out.promised = read_ballot_if_any(from, "promised");
  out.accepted_ballot = read_ballot_if_any(from, "accepted_ballot");
  out.accepted = read_revision_if_any(from, "accepted");
  out.chosen = read_revision_if_any(from, "chosen");
  if (has(from, "why")) out.why = cut(config::text(from, "why"));
  return out;
}

}  // namespace marbledyke::distribution
