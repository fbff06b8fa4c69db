// Interface of the decision engine, which makes every decision of a gatherer: the replica for each part,
// retries and hedges, rejections, probes and list calls. Inputs only update the engine's state. In each turn
// the host advances the clock, reports events, and then pulls the decisions, each kind until there is none.
// The engine does no input or output, starts no threads and is not thread-safe.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "model/types.h"

namespace marbledyke {

// A call to discovery: `watch` asks for the list and its later changes, `fetch` for the list once.
enum class ListCall { watch, fetch };

class DecisionEngine {
 public:
  // Throws std::invalid_argument, naming the setting, if a setting has the wrong type or is out of range.
  DecisionEngine(const FlatSettings& settings, std::uint32_t seed);
  ~DecisionEngine();
  DecisionEngine(DecisionEngine&&) noexcept;
  DecisionEngine& operator=(DecisionEngine&&) noexcept;

  // Replaces the settings between two turns. Throws like the constructor, and then changes nothing.
  void update_settings(const FlatSettings& settings);

  // Sets the current time. Called first in each turn, before any event is reported.
  void advance_clock(Duration now);

  // Reports a list from discovery: begin, one call for each entry, complete. With `whole`, servers without an
  // entry are gone; otherwise they stay as they are. `remembered` says that the list comes from the host's
  // own copy rather than from discovery, so that the engine goes on calling discovery.
  void on_list_begin(bool whole, bool remembered);
  void on_list_entry(const ListEntry& entry);
  void on_list_complete();

  // Reports that a list call was refused. The next one is decided within `max_backoff` of now.
  void on_list_call_refused(Duration max_backoff);

  // Reports a client's multiget, and then each of its parts. An id that is already open is ignored, and so is
  // a part whose multiget is not open.
  void on_multiget_received(const MultigetRequest& request);
  void on_part_received(const PartRequest& request);

  // Reports the end of a send; `send` is its index among the part's sends, counted from 0 in the order in
  // which next_send() returned them. Unknown parts and sends that ended before are ignored.
  void on_send_ended(const RequestId& part, int send, SendOutcome outcome, Duration elapsed,
                     const LoadReport& load);
  void on_probe_ended(std::string_view server, SendOutcome outcome, Duration elapsed, const LoadReport& load);

  // Reports that the client of a multiget no longer waits. The multiget is closed without a reply.
  void on_client_left(const RequestId& multiget);

  // The decisions, to be pulled in this order. Each function returns nothing once no decision of its kind is
  // left in this turn.
  std::optional<ReplyDecision> next_reply();
  std::optional<SendCancellation> next_cancellation();
  std::optional<Send> next_send();
  // The server to probe. The view holds until the next list is reported.
  std::optional<std::string_view> next_probe();
  std::optional<ListCall> next_list_call();
  // A message for the operators' log, at most one in five seconds.
  std::optional<std::string> next_log_message();
  // The time from now until the engine has to be called again. Nothing if a wake-up returned before is due
  // no later than that.
  std::optional<Duration> next_wake_delay();

  // The number of servers that the engine keeps state of.
  std::size_t known_server_count() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marbledyke
