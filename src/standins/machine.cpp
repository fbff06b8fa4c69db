#include "standins/machine.h"

#include <algorithm>
#include <utility>

#include "model/numeric.h"

namespace marbledyke::standins {

Machine::Machine(net::Loop& loop, const scenario::Fleet& fleet, std::uint32_t seed, Told told)
    : loop_(loop), fleet_(fleet), told_(std::move(told)), chance_(seed), leaf_(loop, LeafOptions{}, seed) {
  leaf_.take = [this](const Leaf::Given& given) { take(given); };
  leaf_.gave_up = [this](std::uint64_t wire, const std::string& id) { gave_up(wire, id); };
  leaf_.hears = [this](int) { return alive_ && !lost(lose_in); };
  leaf_.reports = [this] {
    return "active=" + std::to_string(busy_) + ",waiting=" + std::to_string(queue_.size());
  };
}

bool Machine::lost(double share) {
  return share > 0 && std::uniform_real_distribution<double>(0, 1)(chance_) < share;
}

double Machine::warmth() const {
  if (!started_) return 1;
  const double age = to_seconds(loop_.now() - *started_) / to_seconds(fleet_.cold);
  return age >= 1 ? 1 : fleet_.cold_from + (1 - fleet_.cold_from) * age;
}

void Machine::take(const Leaf::Given& given) {
  Piece piece{given.wire, 0, given.id, given.shard, given.door, given.first_of_call, false};
  told_.arrived(piece.id, piece.shard, piece.door,
                told_.work(piece.id, piece.shard).second + (piece.first ? to_seconds(fleet_.overhead) : 0));
  if (static_cast<int>(queue_.size()) >= fleet_.queue) return end(piece, 'B', SendOutcome::pushed_back);
  if (lost(errors)) {
    told_.began(piece.id, piece.shard, piece.door, 0);
    return end(piece, 'E', SendOutcome::app_error);
  }
  queue_.push_back(std::move(piece));
  fill();
}

void Machine::gave_up(std::uint64_t wire, const std::string& id) {
  const auto at = std::find_if(queue_.begin(), queue_.end(),
                               [&](const Piece& one) { return one.wire == wire && one.id == id; });
  if (at == queue_.end()) {
    // It runs already; who asked for it will not hear of its answer.
    if (busy_ > 0) given_up_.insert({wire, id});
    return;
  }
  const Piece piece = std::move(*at);
  queue_.erase(at);
  told_.ended(piece.id, piece.shard, piece.door, SendOutcome::revoked);
}

void Machine::fill() {
  while (alive_ && !paused_ && busy_ < fleet_.cores && !queue_.empty()) {
    const Piece piece = std::move(queue_.front());
    queue_.pop_front();
    busy_ += 1;
    ran_ += 1;
    told_.began(piece.id, piece.shard, piece.door, 0);
    const double work =
        told_.work(piece.id, piece.shard).first + (piece.first ? to_seconds(fleet_.overhead) : 0);
    const double time = work * slow / warmth();
    worked_ += time;
    loop_.call_at(loop_.now() + Duration(static_cast<std::int64_t>(time * 1e6)),
                  [this, piece, life = life_] { finished(piece, life); });
  }
}

void Machine::finished(const Piece& piece, std::uint64_t life) {
  if (life != life_) return;  // its process is gone, and the work with it
  if (paused_) {
    held_.emplace_back(piece, life);
    return;
  }
  busy_ -= 1;
  end(piece, 'S', SendOutcome::returned);
  fill();
}

void Machine::end(const Piece& piece, char how, SendOutcome fate) {
  const std::string report = "active=" + std::to_string(busy_) + ",waiting=" + std::to_string(queue_.size());
  const bool said = !lost(lose_out) && leaf_.reply(piece.wire, piece.id, how, report);
  const bool given_up = given_up_.erase({piece.wire, piece.id}) > 0;
  told_.ended(piece.id, piece.shard, piece.door,
              given_up ? SendOutcome::revoked
              : said   ? fate
                       : SendOutcome::dropped);
  if (busy_ == 0) given_up_.clear();
}

void Machine::stop() {
  if (!alive_) return;
  alive_ = false;
  life_ += 1;
  busy_ = 0;
  for (const Piece& piece : std::exchange(queue_, {}))
    told_.ended(piece.id, piece.shard, piece.door, SendOutcome::dropped);
  held_.clear();
  given_up_.clear();
  for (int door = 0; door < leaf_.doors(); ++door) leaf_.set(door, Door::refuses);
  leaf_.cut_all();
}

void Machine::start() {
  if (alive_) return;
  alive_ = true;
  paused_ = false;
  started_ = loop_.now();
  for (int door = 0; door < leaf_.doors(); ++door)
    leaf_.set(door, cut_off_.contains(door) ? Door::hangs : Door::open);
}

void Machine::vanish(bool gone) {
  if (gone) {
    for (int door = 0; door < leaf_.doors(); ++door) leaf_.set(door, Door::hangs);
    return;
  }
  stop();
  start();
}

void Machine::cut_off(int door, bool off) {
  off ? void(cut_off_.insert(door)) : void(cut_off_.erase(door));
  if (!alive_) return;
  leaf_.set(door, off ? Door::hangs : Door::open);
  if (!off) leaf_.cut(door);
}

void Machine::pause(bool on) {
  paused_ = on;
  if (on) return;
  for (const auto& [piece, life] : std::exchange(held_, {})) finished(piece, life);
  fill();
}

}  // namespace marbledyke::standins
