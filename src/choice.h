// The interface of the decision module. Inputs only update what is known; the host then pulls decisions, each
// kind until there is none: verdicts, withdrawals, sends, list calls, notes and the next wake.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "model/plain.h"

namespace marbledyke {

enum class ListCall { watch, fetch };

class Choice {
 public:
  // Throws std::invalid_argument, naming the term, where the terms make no sense.
  Choice(const Terms& terms, std::uint32_t seed);
  ~Choice();
  Choice(Choice&&) noexcept;
  Choice& operator=(Choice&&) noexcept;

  // New terms, between turns; throws like the constructor, and then changes nothing.
  void renew(const Terms& terms);

  // What has become known. The clock comes first in each turn.
  void clock(Duration now);
  void list_opens(bool whole, bool remembered);
  void list_row(const ListRow& row);
  void list_closes();
  void list_refused(Duration most_backoff);  // asked for again within that
  void multiget_taken(const MultigetAsk& ask);
  void part_taken(const PartAsk& ask);
  void send_ended(const Rid& part, int send, Fate fate, Duration elapsed, const LoadReport& load);
  void probe_ended(std::string_view server, Fate fate, Duration elapsed, const LoadReport& load);
  void client_left(const Rid& multiget);

  // What is decided, to be pulled in this order.
  std::optional<Verdict> next_verdict();
  std::optional<Withdrawal> next_withdrawal();
  std::optional<Send> next_send();
  std::optional<std::string_view> next_probe();
  std::optional<ListCall> next_list_call();
  std::optional<std::string> next_note();
  std::optional<Duration> next_wake();  // from now

  std::size_t servers_known() const;  // of which anything is kept

 private:
  struct Mind;
  std::unique_ptr<Mind> mind_;
};

}  // namespace marbledyke
