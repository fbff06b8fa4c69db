#include "rig/relay.h"

#include <sys/socket.h>

#include <algorithm>

namespace marbledyke::rig {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMostHeld = 4 * 1024 * 1024;  // of a direction of a connection; more is not read
constexpr std::size_t kRing = 256 * 1024;
constexpr Duration kTrickleStep = 10ms;
constexpr Duration kConnect = 100ms;  // to the other side, or both are reset

// So many bytes at a time, and so long in between.
std::pair<std::size_t, Duration> steps_of(std::int64_t trickle) {
  const std::int64_t bytes = trickle * kTrickleStep.count() / 1'000'000;
  if (bytes >= 1) return {static_cast<std::size_t>(bytes), kTrickleStep};
  return {1, Duration(1'000'000 / trickle)};
}

void reset(net::Stream& stream, int fd) {
  if (stream.is_closed()) return;
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  stream.close();
}

}  // namespace

// What goes one way: from the stream it comes in on to the other.
struct Relay::Side {
  std::unique_ptr<net::Stream> stream;  // it comes in here
  int fd = -1;
  Duration jitter{};
  std::deque<std::pair<Duration, std::string>> held;
  std::size_t held_bytes = 0;
  std::int64_t passed = 0;
  bool ended = false;
  std::optional<net::Loop::Timer> due;
};

struct Relay::Pair {
  std::uint64_t number = 0;
  Side there, back;
  std::optional<net::Loop::Timer> connecting;
  Side& side(bool is_there) { return is_there ? there : back; }
};

Relay::Relay(net::Loop& loop, const net::Address& listen, const net::Address& to, std::uint32_t seed)
    : loop_(loop), listen_(listen), to_(to), chance_(seed) {
  refuse(false);
}

Relay::~Relay() {
  for (const auto& [number, pair] : pairs_) {
    if (pair->connecting) loop_.cancel(*pair->connecting);
    for (Side* side : {&pair->there, &pair->back}) {
      if (side->due) loop_.cancel(*side->due);
    }
  }
}

void Relay::refuse(bool on) {
  if (on) return listener_.reset();
  if (listener_) return;
  listener_ = std::make_unique<net::Listener>(
      loop_, listen_,
      net::Listener::Callbacks{[] { return true; }, [] { return false; },
                               [this](net::Descriptor fd) { came(std::move(fd)); }});
}

void Relay::came(net::Descriptor fd) {
  net::Descriptor out = net::start_connect(to_);
  if (!out) return;  // closing the one that came is the answer
  auto made = std::make_unique<Pair>();
  Pair* const pair = made.get();
  pair->number = next_++;
  tally_.connections += 1;
  pairs_.emplace(pair->number, std::move(made));
  const auto drawn = [this](Duration most) {
    if (most <= 0us) return Duration{};
    return Duration(std::uniform_int_distribution<std::int64_t>(0, most.count())(chance_));
  };
  pair->there.jitter = drawn(there_.jitter);
  pair->back.jitter = drawn(back_.jitter);
  pair->there.fd = fd.get();
  pair->back.fd = out.get();
  const auto stream = [&](net::Descriptor of, bool connected, bool there) {
    return std::make_unique<net::Stream>(
        loop_, std::move(of), connected, kRing, kRing,
        net::Stream::Callbacks{[this, pair, there] { deliver(*pair, !there); },
                               [this, pair, there] { arrived(*pair, there); },
                               [this, pair, there] { deliver(*pair, !there); },
                               [this, pair, there](bool) { ended(*pair, there); }});
  };
  pair->there.stream = stream(std::move(fd), true, true);
  pair->back.stream = stream(std::move(out), false, false);
  // Whoever connects here is connected at once, the other side perhaps seconds later: what was given
  // meanwhile would come in long after its sender had given it up.
  pair->connecting = loop_.call_at(loop_.now() + kConnect, [this, pair] {
    pair->connecting.reset();
    if (!pair->back.stream->is_connected()) drop(*pair, true);
  });
}

void Relay::arrived(Pair& pair, bool there) {
  Side& side = pair.side(there);
  const Way& way = there ? there_ : back_;
  while (!side.stream->is_closed() && !side.stream->in().empty() && side.held_bytes < kMostHeld) {
    const std::string bytes(side.stream->in().front());
    side.stream->in().consume(bytes.size());
    (there ? tally_.bytes_there : tally_.bytes_back) += bytes.size();
    if (way.lost) {
      tally_.lost += bytes.size();
      continue;
    }
    side.held_bytes += bytes.size();
    side.held.emplace_back(loop_.now() + way.delay + side.jitter, bytes);
  }
  deliver(pair, there);
}

void Relay::deliver(Pair& pair, bool there) {
  Side& from = pair.side(there);
  net::Stream& to = *pair.side(!there).stream;
  const Way& way = there ? there_ : back_;
  if (to.is_closed() || !to.is_connected()) return;
  while (!from.held.empty() && !way.held && from.held.front().first <= loop_.now()) {
    std::string& bytes = from.held.front().second;
    std::size_t count = std::min(bytes.size(), kRing - to.out().size());
    if (way.trickle > 0) {
      if (from.due) return;
      count = std::min(count, steps_of(way.trickle).first);
    }
    if (way.reset_after >= 0)
      count = std::min<std::size_t>(
          count, static_cast<std::size_t>(std::max<std::int64_t>(way.reset_after - from.passed, 0)));
    if (count > 0) {
      to.out().append(std::string_view(bytes).substr(0, count));
      from.passed += static_cast<std::int64_t>(count);
      from.held_bytes -= count;
      bytes.erase(0, count);
      if (bytes.empty()) from.held.pop_front();
      // Before the flush, which may come back here.
      if (way.trickle > 0) wait(pair, there, loop_.now() + steps_of(way.trickle).second);
      to.flush();
      if (to.is_closed()) return;
    }
    if (way.reset_after >= 0 && from.passed >= way.reset_after) return drop(pair, true);
    if (count == 0) return;  // goes on once the other side has taken some
    if (way.trickle > 0) break;
  }
  // What the other side has not taken yet is not cut off: once it has, this is come back to.
  if (from.held.empty() && from.ended && to.out().empty()) return drop(pair, false);
  if (from.held.empty() || way.held || from.due) return;
  wait(pair, there, std::max(from.held.front().first, loop_.now() + 1ms));
}

void Relay::wait(Pair& pair, bool there, Duration until) {
  pair.side(there).due = loop_.call_at(until, [this, number = pair.number, there] {
    const auto at = pairs_.find(number);
    if (at == pairs_.end()) return;
    at->second->side(there).due.reset();
    deliver(*at->second, there);
  });
}

// What it had sent is still delivered; then the other side is closed too.
void Relay::ended(Pair& pair, bool there) {
  Side& side = pair.side(there);
  side.ended = true;
  const Way& way = there ? there_ : back_;
  if (way.lost) return;  // nobody is told
  net::Stream& other = *pair.side(!there).stream;
  if (!other.is_connected() || (side.held.empty() && other.out().empty())) return drop(pair, false);
  deliver(pair, there);
}

void Relay::drop(Pair& pair, bool with_reset) {
  const auto at = pairs_.find(pair.number);
  if (at == pairs_.end()) return;
  if (pair.connecting) loop_.cancel(*pair.connecting);
  pair.connecting.reset();
  for (Side* side : {&pair.there, &pair.back}) {
    if (side->due) loop_.cancel(*side->due);
    side->due.reset();
    if (with_reset) {
      reset(*side->stream, side->fd);
    } else {
      side->stream->close();
    }
  }
  tally_.resets += with_reset ? 1 : 0;
  graves_.push_back(std::move(at->second));
  pairs_.erase(at);
  if (graves_.size() == 1) loop_.call_at(loop_.now(), [this] { graves_.clear(); });
}

void Relay::cut() {
  std::vector<Pair*> all;
  for (const auto& [number, pair] : pairs_) all.push_back(pair.get());
  for (Pair* pair : all) drop(*pair, true);
}

void Relay::set(const Way& there, const Way& back) {
  there_ = there;
  back_ = back;
  std::vector<std::uint64_t> all;
  for (const auto& [number, pair] : pairs_) all.push_back(number);
  for (const std::uint64_t number : all) {
    for (const bool is_there : {true, false}) {
      const auto at = pairs_.find(number);
      if (at != pairs_.end()) deliver(*at->second, is_there);
    }
  }
}

}  // namespace marbledyke::rig
