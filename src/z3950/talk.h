// The Z39.50 side of a carrier's connection: an Init once, then a search and, where the records wanted do not
// come with it, a present; a cancel by trigger resource control where that was agreed upon.
#pragma once

#include "carrier/protocol_session.h"
#include "search/part.h"
#include "z3950/ber.h"

namespace marbledyke::z3950 {

class Talk final : public carrier::ProtocolSession {
 public:
  explicit Talk(std::string database) : database_(std::move(database)), scanner_(1024 * 1024, 500) {}

  std::string greeting() override;
  bool is_ready() const override { return state_ == State::idle; }
  std::string format_request(std::string_view text, int shard) override;
  std::string unsupported_reply() override;
  std::string next_output() override { return std::exchange(more_, {}); }
  std::size_t feed(std::string_view bytes, carrier::SessionEvent& event) override;
  std::string format_cancel() override;
  std::string closing_bytes() override;

 private:
  enum class State { greeting, idle, searching, presenting, scanning, cancelling };

  carrier::SessionEvent message(std::string& bytes);

  std::string database_;
  State state_ = State::greeting;
  bool cancels_ = false, scans_ = false;
  std::string declines_;
  BerScanner scanner_;
  std::string bytes_, more_;
  search::PartAsk ask_;
  int from_ = 0, count_ = 0;
  search::PartResult result_;
};

std::unique_ptr<carrier::ProtocolSession> make_talk(const std::string& server, const std::string& database,
                                                    const std::string& host);

}  // namespace marbledyke::z3950
