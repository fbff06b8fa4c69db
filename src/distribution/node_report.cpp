#include "distribution/node_report.h"

namespace marbledyke::distribution {
namespace {

using nlohmann::json;

constexpr std::int64_t kMicrosecondsInMillisecond = 1000;

std::int64_t milliseconds(Duration span) { return span.count() / kMicrosecondsInMillisecond; }

json refusal(const std::string& name, const ReceiverState& state) {
  return {{"name", name}, {"zone", state.zone}, {"index", state.index}, {"why", state.refused_why}};
}

}  // namespace

json report_of(const AcceptorState& state, const std::string& fleet) {
  json out{{"fleet", fleet}, {"chosen", nullptr}, {"accepted", nullptr}};
  out["promised"] = {{"round", state.promised.round}, {"proposer", state.promised.proposer}};
  if (state.chosen.index > 0) out["chosen"] = put(state.chosen);
  if (state.accepted) out["accepted"] = put(*state.accepted);
  return out;
}

json report_of(const Summary& summary) {
  json by_index = json::object();
  for (const auto& [index, count] : summary.receivers_by_index) by_index[std::to_string(index)] = count;
  json refusing = json::array();
  for (const auto& [name, state] : summary.refusing) refusing.push_back(refusal(name, state));
  json out{{"newest", summary.newest},
           {"digest", summary.digest},
           {"receivers_by_index", by_index},
           {"refusing", refusing},
           {"calls", summary.calls},
           {"revisions_given", summary.revisions_given},
           {"bytes_given", summary.bytes_given},
           {"everywhere_after_ms", nullptr}};
  if (summary.everywhere_after) out["everywhere_after_ms"] = milliseconds(*summary.everywhere_after);
  return out;
}

json report_of(const std::map<std::string, ReceiverState>& receivers, Duration now) {
  json out = json::array();
  for (const auto& [name, state] : receivers) {
    out.push_back({{"name", name},
                   {"zone", state.zone},
                   {"index", state.index},
                   {"refused", state.refused},
                   {"why", state.refused_why},
                   {"heard_ms_ago", milliseconds(now - state.heard)},
                   {"in_force_ms_ago", milliseconds(now - state.in_force)}});
  }
  return {{"receivers", out}};
}

json report_of(const net::Address& peer, const Receiver& follower) {
  return {{"address", peer.text()},
          {"index", follower.held() ? follower.held()->index : 0},
          {"calls", follower.tally().calls},
          {"failures", follower.tally().failures},
          {"last_failure", follower.last_failure()}};
}

}  // namespace marbledyke::distribution
