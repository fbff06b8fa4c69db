// The interface of the decision module. Inputs only update what is known; the host then pulls decisions, each
// kind until there is none: verdicts, withdrawals, sends, list calls, notes and the next wake.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "model/types.h"

namespace marbledyke {

enum class ListCall { watch, fetch };

class DecisionEngine {
 public:
  // Throws std::invalid_argument, naming the term, where the terms make no sense.
  DecisionEngine(const FlatSettings& terms, std::uint32_t seed);
  ~DecisionEngine();
  DecisionEngine(DecisionEngine&&) noexcept;
  DecisionEngine& operator=(DecisionEngine&&) noexcept;

  // New terms, between turns; throws like the constructor, and then changes nothing.
  void update_settings(const FlatSettings& terms);

  // What has become known. The clock comes first in each turn.
  void advance_clock(Duration now);
  void on_list_begin(bool whole, bool remembered);
  void on_list_entry(const ListEntry& row);
  void on_list_complete();
  void on_list_call_refused(Duration most_backoff);  // asked for again within that
  void on_multiget_received(const MultigetRequest& ask);
  void on_part_received(const PartRequest& ask);
  void on_send_ended(const RequestId& part, int send, SendOutcome fate, Duration elapsed,
                     const LoadReport& load);
  void on_probe_ended(std::string_view server, SendOutcome fate, Duration elapsed, const LoadReport& load);
  void on_client_left(const RequestId& multiget);

  // What is decided, to be pulled in this order.
  std::optional<ReplyDecision> next_reply();
  std::optional<SendCancellation> next_cancellation();
  std::optional<Send> next_send();
  std::optional<std::string_view> next_probe();
  std::optional<ListCall> next_list_call();
  std::optional<std::string> next_log_message();
  std::optional<Duration> next_wake_delay();  // from now

  std::size_t known_server_count() const;  // of which anything is kept

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marbledyke
