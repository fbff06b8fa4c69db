#include "net/memory_budget.h"

namespace marbledyke::net {
namespace {

struct HeldText {
  HeldText(MemoryBudget& budget, std::shared_ptr<const std::string> its_text)
      : text(std::move(its_text)), holder(budget) {}
  std::shared_ptr<const std::string> text;
  MemoryHolder holder;
};

}  // namespace

bool MemoryBudget::make_room(std::size_t bytes) {
  // A release updates its holder, which makes room again: the outer call goes on with that.
  if (is_releasing_) return fits(bytes);
  is_releasing_ = true;
  while (!fits(bytes) && !releasable_.empty()) {
    MemoryHolder& holder = *releasable_.begin()->second;
    holder.set(holder.bytes_, std::nullopt);
    released_count_ += 1;
    holder.release_();
  }
  is_releasing_ = false;
  return fits(bytes);
}

MemoryHolder::MemoryHolder(MemoryBudget& budget, std::function<void()> release)
    : budget_(budget), release_(std::move(release)), number_(budget.next_number_++) {}

MemoryHolder::~MemoryHolder() { set(0, std::nullopt); }

void MemoryHolder::update(std::size_t bytes, std::optional<Duration> releasable_since) {
  set(bytes, release_ ? releasable_since : std::nullopt);
  budget_.make_room();
}

void MemoryHolder::set(std::size_t bytes, std::optional<Duration> releasable_since) {
  budget_.used_ += bytes;
  budget_.used_ -= bytes_;
  bytes_ = bytes;
  if (releasable_since == releasable_since_) return;
  if (releasable_since_) budget_.releasable_.erase({*releasable_since_, number_});
  if (releasable_since) budget_.releasable_.emplace(MemoryBudget::Rank{*releasable_since, number_}, this);
  releasable_since_ = releasable_since;
}

std::shared_ptr<const std::string> held_text(MemoryBudget& budget, std::shared_ptr<const std::string> text,
                                             std::size_t bytes) {
  auto held = std::make_shared<HeldText>(budget, std::move(text));
  held->holder.update(bytes);
  return {held, held->text.get()};
}

}  // namespace marbledyke::net
