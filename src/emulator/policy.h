// What decides in an emulated gatherer: the decision module, or one of the baselines it is compared with. The
// same calls as src/decision_engine.h has.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decision_engine.h"

namespace marbledyke::emulator {

class Policy {
 public:
  virtual ~Policy() = default;
  virtual void clock(Duration now) = 0;
  virtual void list_opens(bool whole, bool remembered) = 0;
  virtual void list_row(const ListEntry& row) = 0;
  virtual void list_closes() = 0;
  virtual void list_refused(Duration most_backoff) = 0;
  virtual void multiget_taken(const MultigetRequest& ask) = 0;
  virtual void part_taken(const PartRequest& ask) = 0;
  virtual void send_ended(const RequestId& part, int send, SendOutcome fate, Duration elapsed,
                          const LoadReport& load) = 0;
  virtual void probe_ended(std::string_view server, SendOutcome fate, Duration elapsed,
                           const LoadReport& load) = 0;
  virtual void client_left(const RequestId& multiget) = 0;
  virtual std::optional<ReplyDecision> next_verdict() = 0;
  virtual std::optional<SendCancellation> next_withdrawal() = 0;
  virtual std::optional<Send> next_send() = 0;
  virtual std::optional<std::string_view> next_probe() = 0;
  virtual std::optional<ListCall> next_list_call() = 0;
  virtual std::optional<Duration> next_wake() = 0;
};

// "module", then the baselines: "random", "round-robin", "least-in-flight", "two-choices", and "bare-design",
// the paper's placement without any departure. Baselines try again as far as the rules let them, push nothing
// back and know no health. Null for another name.
std::unique_ptr<Policy> make_policy(const std::string& name, const FlatSettings& terms, std::uint32_t seed);
const std::vector<std::string>& policy_names();

}  // namespace marbledyke::emulator
