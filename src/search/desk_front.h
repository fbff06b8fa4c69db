// What fronts of search protocols share: a desk whose multigets go to the gatherer, and whose replies, ends
// of sessions and waits come back. The protocol and its connections are the front's own.
#pragma once

#include <optional>
#include <string_view>

#include "front/front.h"
#include "net/loop.h"
#include "net/memory_budget.h"
#include "search/desk.h"

namespace marbledyke::search {

class DeskFront : public front::Front {
 public:
  DeskFront(net::Loop& loop, net::MemoryBudget& memory, const Terms& terms,
            const config::ServiceSettings& settings, std::uint32_t seed);
  ~DeskFront() override;

  void answer(std::uint64_t caller, bool whole, const std::vector<front::Value>& values) final;
  void refuse(std::uint64_t caller, front::Refusal why, Duration come_back) final;

  const Desk& desk() const { return desk_; }

 protected:
  virtual void replied(Reply&& reply) = 0;
  virtual void session_over(Session session) = 0;  // it has said nothing for too long
  void report_desk(std::string_view front) const;
  void pump();  // after anything was asked of the desk

  net::Loop& loop_;
  net::MemoryBudget& memory_;
  const config::ServiceSettings& settings_;
  Desk desk_;

 private:
  void submit(front::Request&& request);

  bool pumping_ = false;
  std::optional<net::Loop::Timer> wake_;
};

}  // namespace marbledyke::search
