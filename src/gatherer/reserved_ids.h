// Ids of multigets that have ended and must not be accepted again for a while.
#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <utility>

#include "model/types.h"

namespace marbledyke::gatherer {

// Holds a bounded number of ids; beyond it the one that was reserved first is given up.
class ReservedIds {
 public:
  explicit ReservedIds(std::size_t capacity) : capacity_(capacity) {}

  // Ids are reserved in the order of their ends.
  void reserve(const std::string& id, Duration until) {
    if (!ids_.insert(id).second) return;
    by_end_.emplace_back(until, id);
    if (by_end_.size() > capacity_) release_first();
  }

  bool contains(const std::string& id, Duration now) {
    while (!by_end_.empty() && by_end_.front().first <= now) release_first();
    return ids_.contains(id);
  }

 private:
  void release_first() {
    ids_.erase(by_end_.front().second);
    by_end_.pop_front();
  }

  std::size_t capacity_;
  std::set<std::string> ids_;
  std::deque<std::pair<Duration, std::string>> by_end_;
};

}  // namespace marbledyke::gatherer
