#include "emulator/clients.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "model/numeric.h"

namespace marbledyke::emulator {

using scenario::Effect;
using scenario::OpLoad;

namespace {
constexpr int kMostRetriesKept = 8;
Duration span_of(double s) { return Duration(static_cast<std::int64_t>(std::llround(s * 1e6))); }
}  // namespace

Clients::Clients(const scenario::Scenario& scenario, std::uint32_t seed, Result& result)
    : s_(scenario), result_(result), chance_(seed), pool_(static_cast<std::size_t>(scenario.fleet.shards)) {
  for (const OpLoad& op : s_.op_types) shares_.push_back(op.share);
  std::iota(pool_.begin(), pool_.end(), 0);
}

Second& Clients::second(Duration now) {
  return result_.seconds[std::min(result_.seconds.size() - 1, static_cast<std::size_t>(to_seconds(now)))];
}

std::uint32_t Clients::asks(Duration now) {
  std::uint32_t i = 0;
  if (free_.empty()) {
    i = static_cast<std::uint32_t>(clients_.size());
    clients_.emplace_back();
  } else {
    i = free_.back();
    free_.pop_back();
  }
  Client& client = clients_[i];
  const std::uint32_t serial = client.serial;
  client = {};
  client.serial = serial;
  client.first = now;
  client.op = std::discrete_distribution<int>(shares_.begin(), shares_.end())(chance_);
  client.counted = counts(now);
  second(now).asked += 1;
  if (client.counted) {
    result_.asked += 1;
    asked_worth_ += op_of(i).importance;
  }
  return i;
}

void Clients::tries(std::uint32_t i, Duration now) {
  Client& client = clients_[i];
  client.tries += 1;
  client.serial += 1;
  client.deadline = now + op_of(i).timeout;
  if (client.counted) result_.tries += 1;
}

// A run of them from a random place with a random odd-sized stride would favour some.
std::vector<int> Clients::shards(std::uint32_t i) {
  const int parts = op_of(i).parts;
  std::vector<int> out;
  for (int k = 0; k < parts; ++k) {
    const auto from = static_cast<std::size_t>(k);
    std::swap(pool_[from], pool_[from + chance_() % (pool_.size() - from)]);
    out.push_back(pool_[from]);
  }
  if (clients_[i].counted) result_.parts += static_cast<std::uint64_t>(parts);
  return out;
}

std::optional<double> Clients::leaves() {
  if (s_.load.leaves <= 0 || std::uniform_real_distribution<double>(0, 1)(chance_) >= s_.load.leaves)
    return std::nullopt;
  return std::uniform_real_distribution<double>(0, 1)(chance_);
}

void Clients::answered(std::uint32_t i, Duration now) {
  const Client& client = clients_[i];
  const OpLoad& op = op_of(i);
  const Duration took = now - client.first;
  const bool good = took <= op.budget;
  (good ? second(now).good : second(now).late) += 1;
  if (client.counted) {
    (good ? result_.good : result_.late) += 1;
    if (good) good_worth_ += op.importance;
    took_.push_back(took);
  }
  forget(i);
}

void Clients::left(std::uint32_t i, Duration now) {
  second(now).left += 1;
  if (clients_[i].counted) result_.unanswered += 1;
  forget(i);
}

std::optional<Duration> Clients::not_served(std::uint32_t i, Duration come_back, bool pushed_back,
                                            Duration now) {
  const Client& client = clients_[i];
  (pushed_back ? second(now).pushed_back : second(now).failed) += 1;
  // A failed multiget of a non-retriable kind may have run: nobody asks for it again.
  const bool may = pushed_back || op_of(i).effect == Effect::retriable;
  if (may && client.tries <= std::min(s_.load.retries, kMostRetriesKept)) {
    const double wait = to_seconds(s_.load.backoff) * std::pow(2.0, client.tries - 1);
    return std::max(come_back, span_of(wait * std::uniform_real_distribution<double>(0.5, 1.5)(chance_)));
  }
  if (client.counted) (pushed_back ? result_.pushed_back : result_.failed) += 1;
  forget(i);
  return std::nullopt;
}

void Clients::forget(std::uint32_t i) {
  clients_[i].serial += 1;
  clients_[i].busy = false;
  free_.push_back(i);
}

void Clients::finish() {
  result_.goodput = asked_worth_ > 0 ? good_worth_ / asked_worth_ : 0;
  result_.good_rate = static_cast<double>(result_.good) / to_seconds(s_.length - s_.settle);
  std::sort(took_.begin(), took_.end());
  const auto quantile = [&](double q) {
    return took_.empty() ? Duration{}
                         : took_[std::min(took_.size() - 1,
                                          static_cast<std::size_t>(q * static_cast<double>(took_.size())))];
  };
  result_.median = quantile(0.5);
  result_.p90 = quantile(0.9);
  result_.p99 = quantile(0.99);
  result_.p999 = quantile(0.999);
}

}  // namespace marbledyke::emulator
