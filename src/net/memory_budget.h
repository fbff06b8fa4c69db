// A limit on the bytes that clients make a process hold: requests that are not complete, requests that are
// pending, and responses that their clients do not read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "model/types.h"

namespace marbledyke::net {

class MemoryHolder;

// Counts what its holders hold. Where that exceeds the limit, releasable holders are released, the one first
// that has been releasable for longest: a well-behaved client completes a request and reads its response
// within moments, so that it is the last to be affected by those that do not.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit_bytes) : limit_(limit_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Releases holders until `bytes` more fit. Returns whether they do.
  bool make_room(std::size_t bytes = 0);

  // Returns whether `bytes` more fit without a release.
  bool fits(std::size_t bytes) const { return used_ <= limit_ && bytes <= limit_ - used_; }

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }
  // Returns how many holders have been released since the start.
  std::uint64_t released_count() const { return released_count_; }

 private:
  friend class MemoryHolder;
  using Rank = std::pair<Duration, std::uint64_t>;  // since when it is releasable, and its number

  const std::size_t limit_;
  std::size_t used_ = 0;
  std::map<Rank, MemoryHolder*> releasable_;
  std::uint64_t next_number_ = 1;
  std::uint64_t released_count_ = 0;
  bool is_releasing_ = false;
};

// What one connection or request holds. The budget must outlive it.
class MemoryHolder {
 public:
  // `release` is called while the holder is releasable, and frees its memory or lets its owner do so soon. It
  // may call update().
  explicit MemoryHolder(MemoryBudget& budget, std::function<void()> release = {});
  ~MemoryHolder();
  MemoryHolder(const MemoryHolder&) = delete;
  MemoryHolder& operator=(const MemoryHolder&) = delete;

  // States what is held now and, where it may be released, since when. May release holders, this one
  // included, to keep to the limit.
  void update(std::size_t bytes, std::optional<Duration> releasable_since = {});

 private:
  friend class MemoryBudget;
  void set(std::size_t bytes, std::optional<Duration> releasable_since);

  MemoryBudget& budget_;
  std::function<void()> release_;
  const std::uint64_t number_;
  std::size_t bytes_ = 0;
  std::optional<Duration> releasable_since_;
};

// Returns a text that counts as `bytes` for as long as it is referred to.
std::shared_ptr<const std::string> held_text(MemoryBudget& budget, std::shared_ptr<const std::string> text,
                                             std::size_t bytes);

}  // namespace marbledyke::net
