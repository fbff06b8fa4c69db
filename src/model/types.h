// Plain types shared by the decision engine and its hosts.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace marbledyke {

// A length of time, and also a point in time as the time since the instance started; points before the start
// are negative.
using Duration = std::chrono::microseconds;

// The operators' settings, flattened: names, with dots between levels and list positions as numbers, to
// values.
using SettingValue = std::variant<bool, double, std::string>;
using FlatSettings = std::map<std::string, SettingValue, std::less<>>;

// The id of a multiget or of a part, byte for byte as received.
struct RequestId {
  std::array<char, 16> text{};
  auto operator<=>(const RequestId&) const = default;
  std::string_view view() const { return {text.data(), text.size()}; }
};

// How a send or a probe ended.
enum class SendOutcome {
  returned,     // the server answered
  app_error,    // the server answered with an error
  pushed_back,  // the server refused it without running it
  expired,      // the deadline passed after it was written
  dial_failed,  // the connection failed before it was written in full, so it did not run
  dropped,      // the connection was lost after it was written
  revoked,      // cancelled after it was written
  unused        // cancelled or expired before it was written
};

// What discovery says about a server.
enum class ServerStatus { up, draining, gone };

// One shard server as the list from discovery gives it.
struct ListEntry {
  std::string server;
  int zone = 0;
  int cell = 0;  // the group of servers that hold the same shards
  ServerStatus status = ServerStatus::up;
  double size = 1;                  // relative capacity
  std::optional<Duration> started;  // empty: started long ago
};

struct MultigetRequest {
  RequestId id;
  double number = 0;  // links the parts to their multiget; see PartRequest::multiget_number
  int op_type = 0;    // position among the configured op types
  int customer = 0;   // position among the configured customers; out of range: no allowance applies
  int part_count = 0;
  Duration client_deadline{};  // the client stops waiting at this time
  bool is_retry = false;       // the client says that it has sent this before
};

struct PartRequest {
  RequestId id;
  double multiget_number = 0;
  int shard = 0;
  double weight = 0;      // the part's fraction of the multiget's answer
  std::uint64_t key = 0;  // varies the order of preference among the replicas of the shard
  Duration cost_hint{};   // expected work; zero: none was given
};

// A load report of a server: the values of the configured fields, in their configured order.
struct LoadReport {
  std::array<double, 4> values{};
  int count = 0;
};

// A decision to send a part to a server.
struct Send {
  RequestId part;
  std::string_view server;
  Duration deadline{};                      // when the send expires
  Duration latest_start = Duration::max();  // it must not be written later than this
};

// A decision to cancel a send, by its index among the sends of its part.
struct SendCancellation {
  RequestId part;
  int send = 0;
};

enum class MultigetOutcome { answer, push_back, fail };

// A decision to reply to a multiget's client.
struct ReplyDecision {
  RequestId multiget;
  MultigetOutcome outcome = MultigetOutcome::fail;
  bool complete = false;   // the answer has all the weight that its op type asks for
  Duration retry_after{};  // advice to the client after a push-back; zero: none
};

}  // namespace marbledyke
