// Plain types shared by the decision module and whatever hosts it. Nothing here decides.
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

// Time since the instance started; what happened before that is negative.
using Duration = std::chrono::microseconds;

// The operators' terms of service: names, with dots between levels and list places as numbers, to values.
using SettingValue = std::variant<bool, double, std::string>;
using FlatSettings = std::map<std::string, SettingValue, std::less<>>;

// The id of a multiget or of a part, kept letter for letter.
struct RequestId {
  std::array<char, 16> text{};
  auto operator<=>(const RequestId&) const = default;
  std::string_view view() const { return {text.data(), text.size()}; }
};

enum class SendOutcome { returned, app_error, pushed_back, expired, dial_failed, dropped, revoked, unused };

enum class ServerStatus { up, draining, gone };

// One shard server as the list names it.
struct ListEntry {
  std::string server;
  int zone = 0;
  int cell = 0;
  ServerStatus status = ServerStatus::up;
  double size = 1;
  std::optional<Duration> started;  // absent: long ago
};

struct MultigetRequest {
  RequestId id;
  double number = 0;  // its parts bear the same
  int op_type = 0;
  int customer = 0;
  int part_count = 0;
  Duration client_deadline{};
  bool is_retry = false;  // the client says that it has tried before
};

struct PartRequest {
  RequestId id;
  double multiget_number = 0;
  int shard = 0;
  double weight = 0;
  std::uint64_t key = 0;
  Duration cost_hint{};  // zero: none was given
};

// A load report: the values that the terms name, in that order.
struct LoadReport {
  std::array<double, 4> values{};
  int count = 0;
};

struct Send {
  RequestId part;
  std::string_view server;
  Duration deadline{};
  Duration latest_start = Duration::max();  // else it is not begun any more
};

struct SendCancellation {
  RequestId part;
  int send = 0;
};

enum class MultigetOutcome { answer, push_back, fail };

struct ReplyDecision {
  RequestId multiget;
  MultigetOutcome outcome = MultigetOutcome::fail;
  bool complete = false;
  Duration retry_after{};  // zero: no advice
};

}  // namespace marbledyke
