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
using Term = std::variant<bool, double, std::string>;
using Terms = std::map<std::string, Term, std::less<>>;

// The id of a multiget or of a part, kept letter for letter.
struct Rid {
  std::array<char, 16> text{};
  auto operator<=>(const Rid&) const = default;
  std::string_view view() const { return {text.data(), text.size()}; }
};

enum class Fate { returned, app_error, pushed_back, expired, dial_failed, dropped, revoked, unused };

enum class Standing { up, draining, gone };

// One shard server as the list names it.
struct ListRow {
  std::string server;
  int zone = 0;
  int cell = 0;
  Standing standing = Standing::up;
  double size = 1;
  std::optional<Duration> started;  // absent: long ago
};

struct MultigetAsk {
  Rid id;
  double number = 0;  // its parts bear the same
  int op_type = 0;
  int customer = 0;
  int parts = 0;
  Duration client_leaves{};
  bool repeated = false;  // the client says that it has tried before
};

struct PartAsk {
  Rid id;
  double multiget = 0;
  int shard = 0;
  double weight = 0;
  std::uint64_t key = 0;
  Duration hint{};  // zero: none was given
};

// A load report: the values that the terms name, in that order.
struct LoadReport {
  std::array<double, 4> value{};
  int count = 0;
};

struct Send {
  Rid part;
  std::string_view server;
  Duration not_past{};
  Duration begun_by = Duration::max();  // else it is not begun any more
};

struct Withdrawal {
  Rid part;
  int send = 0;
};

enum class Ending { answer, push_back, fail };

struct Verdict {
  Rid multiget;
  Ending ending = Ending::fail;
  bool whole = false;
  Duration come_back{};  // zero: no advice
};

}  // namespace marbledyke
