// Counts and latencies that can be compared: by op type, in windows of one second that begin with a second of
// the wall clock, so that those of several gatherers line up. Merging is exact: counts add up, and histograms
// have one set of buckets everywhere (Boost.Histogram, 480 of them, 3.1% wide, from 50 us to 150 s).
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "model/plain.h"

namespace marbledyke::totals {

inline constexpr std::int64_t kWindowMs = 1000;

class Latencies {
 public:
  Latencies();
  ~Latencies();
  Latencies(const Latencies& other);
  Latencies& operator=(const Latencies& other);
  Latencies(Latencies&&) noexcept;
  Latencies& operator=(Latencies&&) noexcept;

  void add(Duration value);
  void merge(const Latencies& other);
  std::uint64_t count() const;
  // The upper edge of the bucket in which that share of the values is reached; zero without values.
  Duration at(double share) const;
  // Values in buckets that lie wholly above it.
  std::uint64_t above(Duration value) const;

  // Pairs of bucket and count, those that are not empty. Reading throws config::BadInput.
  nlohmann::json put() const;
  static Latencies read(const nlohmann::json& from);
  bool operator==(const Latencies& other) const;

 private:
  struct Held;
  std::unique_ptr<Held> held_;  // none while empty
};

// Of one op type. `taken` belongs to the window it came in, all else to the one in which it happened.
struct Count {
  std::uint64_t taken = 0;
  std::uint64_t answered = 0;   // with an answer, whole or in part
  std::uint64_t in_budget = 0;  // of these, within the op type's latency budget
  std::uint64_t whole = 0;
  std::uint64_t pushed_back = 0;
  std::uint64_t failed = 0;
  std::uint64_t left = 0;     // the client left before an answer
  std::uint64_t sends = 0;    // of parts
  std::uint64_t further = 0;  // of these, not the part's first
  Latencies latency;          // of answers, from the request's first byte
  double importance = 1;

  std::uint64_t ended() const { return answered + pushed_back + failed + left; }
  void merge(const Count& other);
  bool operator==(const Count&) const = default;
};

struct Window {
  std::int64_t start_ms = 0;  // wall clock
  std::map<std::string, Count> by_op_type;
  std::uint64_t broken_invariants = 0;  // since the process's start, as are the next two
  std::uint64_t not_connected = 0, dropped = 0;
  std::uint64_t in_hand = 0;  // at its end

  Count all() const;
  // Of the same second at another gatherer, or of another second at the same one.
  void merge(const Window& other);
};

nlohmann::json put(const Count& count);
nlohmann::json put(const Window& window);
Window read_window(const nlohmann::json& from);  // throws config::BadInput

// The newest windows of one process, in the order in which it closed them, at most kKept. Where its wall
// clock was set back, what it had said of the seconds to come is dropped: the newer word counts.
class Series {
 public:
  static constexpr std::size_t kKept = 120;
  void add(Window window);
  const std::map<std::int64_t, Window>& windows() const { return windows_; }
  // All that begin at or after `from_ms` and before `until_ms`, merged.
  Window merged(std::int64_t from_ms, std::int64_t until_ms) const;
  const Window& since_start() const { return sum_; }
  void clear() { *this = Series(); }

 private:
  std::map<std::int64_t, Window> windows_;
  Window sum_;
};

}  // namespace marbledyke::totals
