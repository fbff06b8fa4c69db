#include "clients/clients.h"

#include <algorithm>
#include <cerrno>
#include <optional>
#include <system_error>
#include <utility>

#include "log/log.h"

namespace marbledyke::clients {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMostBody = 64 * 1024;  // the protocol's
constexpr int kAcceptsARound = 64;
constexpr std::size_t kMostAnswer = 32 * 1024 * 1024;
// By the protocol a connection without a request may be closed after this, and who connects is owed an error
// or a close within a second more.
constexpr Duration kMayClose = 2s;
constexpr Duration kSweep = 100ms;  // how often these are looked at
// After the last moment at which clients connect in a planned stop the listener stays open so much longer: a
// connect may come up late, and one that comes up as the listener closes is reset.
constexpr Duration kLateConnects = 200ms;
constexpr std::size_t kMostDropped = 4 * kMostBody;  // of what still comes after the last answer

}  // namespace

struct Clients::Caller {
  std::uint64_t number = 0;
  std::unique_ptr<net::Stream> stream;
  net::HttpReader reader{net::HttpReader::Kind::request, kMostBody};
  Duration first_byte{};
  Duration since{};  // its last request was answered, or is being answered; before the first: it was accepted
  bool spoken = false;
  bool in_hand = false;    // its request waits for an answer
  bool answering = false;  // an answer is being written, or this turn has written it
  bool stays = true;
  bool parting = false;  // answered for the last time; what still comes is dropped until the client closes
  bool at_door = false;  // accepted without a place: its request is refused
  bool aside = false;    // holds no place
  std::size_t dropped = 0;
};

Clients::Clients(net::Loop& loop, const config::Carriage& carriage, const net::Address& listen,
                 std::size_t most, net::Descriptor listening)
    : loop_(loop),
      carriage_(carriage),
      shared_(static_cast<bool>(listening)),
      listener_(listening ? std::move(listening) : net::listen_on(listen)),
      most_(most),
      held_back_(std::min(kHeldBack, most / 4)),
      spare_(held_back_) {
  if (!listener_) throw std::system_error(errno, std::generic_category(), "listen");
  place_ = loop_.watch(listener_.get(), *this);
  sweep();
}

Clients::~Clients() { shut(); }

void Clients::ready(bool, bool) { accept(); }

bool Clients::accept() {
  more_to_accept_ = false;
  // A flood of connections waits its turn like everything else.
  for (int count = 0; listener_; ++count) {
    if (count == kAcceptsARound) {
      loop_.at(loop_.now(), [this] { accept(); });
      return true;
    }
    switch (accept_one()) {
      case Accepted::one:
        continue;
      case Accepted::nobody:
        return false;
      case Accepted::no_room:
        accept_later();
        return false;
    }
  }
  return false;
}

// Nobody is ended, and no descriptor is lent, unless somebody waits for it.
Clients::Accepted Clients::accept_one() {
  const bool no_place = in_places() >= places();
  if ((no_place || no_descriptor()) && !net::anybody_waits(listener_.get())) return Accepted::nobody;
  bool at_door = no_place && !free_place();
  if (no_descriptor() && !spare_.lend() && !free_descriptor([](const Caller& one) { return one.aside; }))
    return Accepted::no_room;
  net::Descriptor fd = net::accept_from(listener_.get());
  if (!fd && (errno == EMFILE || errno == ENFILE)) fd = accept_without_descriptors(at_door);
  if (fd) {
    greet(std::move(fd), at_door);
    return Accepted::one;
  }
  if (errno == EINTR || errno == ECONNABORTED) return Accepted::one;
  return errno == EAGAIN || errno == EWOULDBLOCK ? Accepted::nobody : Accepted::no_room;
}

// The process has no descriptor left, though there may be places: servers may hold them. One that can be
// spared makes room; else it is lent for a refusal.
net::Descriptor Clients::accept_without_descriptors(bool& at_door) {
  if (!net::anybody_waits(listener_.get())) {
    errno = EAGAIN;
    return {};
  }
  if (!make_room()) {
    at_door = true;
    if (!spare_.lend()) {
      errno = EMFILE;
      return {};
    }
  }
  return net::accept_from(listener_.get());
}

void Clients::greet(net::Descriptor fd, bool at_door) {
  auto made = std::make_unique<Caller>();
  Caller* const caller = made.get();
  caller->number = next_caller_++;
  caller->since = loop_.now();
  caller->at_door = at_door;
  tally_.accepted += 1;
  callers_.emplace(caller->number, std::move(made));
  if (at_door) set_aside(*caller);
  caller->stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), true, kMostBody, kMostAnswer,
      net::Stream::Told{nullptr, [this, caller] { arrived(*caller); }, [this, caller] { drained(*caller); },
                        [this, caller](bool) { close(*caller); }});
  // Refused in this same turn where it has asked already, so that the next one finds the descriptor free.
  if (at_door) caller->stream->read_now();
}

// Tried again when a connection ends, when one at the door has had its time to ask, and by sweep().
void Clients::accept_later() {
  more_to_accept_ = true;
  static log::Throttled throttled(log::Level::warning, "client.not_accepted");
  throttled.event(
      {{"why", no_descriptor() ? "no place and no descriptor held back is free" : "no descriptor is left"}});
  if (std::exchange(accept_due_, true)) return;
  loop_.at(loop_.now() + kTimeToAsk, [this] {
    accept_due_ = false;
    accept();
  });
}

// What was lent is held back again as soon as it can be; false: there is no descriptor to be had.
bool Clients::refill() {
  while (spare_.held() < held_back_ && !no_descriptor()) {
    if (!spare_.take_back()) return false;
  }
  return true;
}

void Clients::set_aside(Caller& caller) {
  if (!std::exchange(caller.aside, true)) aside_ += 1;
}

// Whether its request can be taken: one at the door has a place if one has become free before it asked, or
// that of a connection that says nothing, which goes to the door in its stead.
bool Clients::has_place(Caller& caller) {
  if (!caller.at_door) return true;
  const bool free = in_places() < places() && refill();
  if (!free && !silent_to_door()) return false;
  if (in_places() >= places()) return false;  // who was read meanwhile may have taken it
  caller.at_door = caller.aside = false;
  aside_ -= 1;
  return true;
}

// The oldest first; each is read before, as its request may have come and not been told of.
bool Clients::silent_to_door() {
  for (auto at = callers_.begin(); at != callers_.end();) {
    Caller& caller = *(at++)->second;
    if (caller.aside || activity(caller) != Activity::silent) continue;
    caller.stream->read_now();
    if (caller.stream->closed()) return true;
    if (activity(caller) != Activity::silent) continue;
    caller.at_door = true;
    set_aside(caller);
    return true;
  }
  return false;
}

void Clients::arrived(Caller& caller) {
  net::Ring& in = caller.stream->in();
  if (caller.parting) {
    // Beyond its bound the ring is left full and nothing more is read: 60 MB must not keep others waiting.
    caller.dropped += in.size();
    if (caller.dropped <= kMostDropped) in.clear();
    return;
  }
  while (!caller.in_hand && !caller.answering && !caller.stream->closed() && !in.empty()) {
    if (!caller.reader.begun()) caller.first_byte = loop_.now();
    caller.spoken = true;
    in.drop(caller.reader.take(in.front()));
    if (caller.reader.state() == net::HttpReader::State::bad) {
      caller.in_hand = true;
      static log::Throttled throttled(log::Level::info, "client.unreadable");
      throttled.event({{"status", caller.reader.complaint()}});
      say(caller, answer_text(caller.reader.complaint(), "the request cannot be read\n", false), false);
    } else if (caller.reader.state() == net::HttpReader::State::done) {
      return request(caller);  // what is behind it waits until that one is answered
    }
  }
}

void Clients::request(Caller& caller) {
  caller.in_hand = true;
  const net::HttpMessage& message = caller.reader.message();
  const bool has_a_place = has_place(caller);
  caller.stays = message.stays() && has_a_place;
  const std::string path = message.second.substr(0, message.second.find('?'));
  if (path == "/healthz") {
    if (message.first != "GET") return turn_away(caller.number, 405, "only GET is answered here\n");
    if (leaving_) return turn_away(caller.number, 503, "stopping\n");
    return say(caller, answer_text(200, "serving\n", caller.stays), caller.stays);
  }
  if (path != "/api") return turn_away(caller.number, 404, "there is nothing here\n");
  if (message.first != "POST") return turn_away(caller.number, 405, "only POST is answered here\n");
  auto read = read_ask(message, carriage_);
  if (const Complaint* complaint = std::get_if<Complaint>(&read)) {
    static log::Throttled throttled(log::Level::info, "client.bad_request");
    throttled.event({{"status", complaint->status}, {"why", complaint->why}});
    return turn_away(caller.number, complaint->status, complaint->why + "\n");
  }
  if (!has_a_place) {
    tally_.refused_at_door += 1;
    return refuse_no_room(caller);
  }
  asked.push_back({caller.number, std::move(std::get<Ask>(read)), caller.first_byte});
}

void Clients::answer(std::uint64_t number, bool whole, const std::vector<Value>& values) {
  const auto at = callers_.find(number);
  if (at == callers_.end()) return;
  const bool stays = at->second->stays && !parting_;
  say(*at->second, answer_text(200, answer_body(whole, values), stays), stays);
}

void Clients::refuse(std::uint64_t number, front::Refusal why, Duration come_back) {
  switch (why) {
    case front::Refusal::pushed_back:
      return turn_away(number, 503, "pushed back\n", come_back);
    case front::Refusal::no_room:
      return turn_away(number, 503, "no room\n", come_back);
    case front::Refusal::same_id:
      return turn_away(number, 400, "x-request-id: one of that id is in hand\n");
    case front::Refusal::failed:
      return turn_away(number, 504, "failed\n");
  }
}

void Clients::turn_away(std::uint64_t number, int status, std::string_view why, Duration come_back) {
  const auto at = callers_.find(number);
  if (at == callers_.end()) return;
  const bool stays = at->second->stays && !parting_;
  say(*at->second, answer_text(status, why, stays, come_back), stays);
}

void Clients::say(Caller& caller, const std::string& text, bool stays) {
  if (!must_hold(caller.in_hand, "an answer belongs to a request in hand")) return;
  caller.in_hand = false;
  caller.answering = true;
  caller.since = loop_.now();
  caller.stays = stays;
  caller.reader.restart();
  // An answer that does not fit is none: the connection ends, and the client can tell.
  if (!caller.stream->out().put(text)) return close(caller);
  caller.stream->flush();
}

void Clients::drained(Caller& caller) {
  caller.since = loop_.now();
  if (!caller.stays) {
    caller.answering = false;
    return part(caller);
  }
  // What came while the answer was made has its turn after everyone else's: a client that sends one request
  // right behind the other would otherwise never let go of the loop.
  const std::uint64_t number = caller.number;
  loop_.at(loop_.now(), [this, number] {
    const auto at = callers_.find(number);
    if (at == callers_.end()) return;
    Caller& next = *at->second;  // may end in what follows; it is buried after the turn
    next.answering = false;
    arrived(next);
    next.stream->read_on();
  });
}

// Closed with bytes unread, a connection is reset, and the answer may be lost with it. So this side ends
// first and the client has the time that a connection may take to come up to end as well.
void Clients::part(Caller& caller) {
  caller.parting = true;
  set_aside(caller);
  caller.since = loop_.now();
  caller.stream->in().clear();
  caller.stream->finish();
  caller.stream->read_on();
}

// Every wait on a client has its limit here: one that says nothing, or sends a request that does not end, is
// owed its end; one that does not read its answer, or does not close after the last, has had its time. Idle
// ones are let go when three of four places are taken, those idle longest first, so that the rest stays free
// for who comes, and none is closed at the moment at which its next request may be under way.
void Clients::sweep() {
  std::vector<Caller*> idle;
  const Duration now = loop_.now();
  for (auto at = callers_.begin(); at != callers_.end();) {
    Caller& caller = *(at++)->second;
    if (caller.in_hand) continue;
    if (caller.parting) {
      if (now >= caller.since + carriage_.connect_timeout) {
        caller.stream->read_now();
        close(caller);
      }
    } else if (caller.answering) {
      if (now >= caller.since + carriage_.longest_timeout) close(caller);
    } else if (caller.reader.begun()) {
      if (now >= caller.first_byte + kMayClose) unended(caller);
    } else if (now >= caller.since + kMayClose) {
      if (caller.spoken) {
        idle.push_back(&caller);
      } else {
        tally_.silent += 1;
        part(caller);
      }
    }
  }
  const std::size_t room = most_ - most_ / 4;
  if (callers_.size() > room) {
    const auto most = std::min(idle.size(), callers_.size() - room);
    std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(most), idle.end(),
                      [](const Caller* a, const Caller* b) { return a->since < b->since; });
    tally_.let_go += most;
    for (std::size_t i = 0; i < most; ++i) part(*idle[i]);
  }
  // What was short may have been given back by somebody else than a client, and of who waits already nothing
  // is told again.
  if (more_to_accept_) accept();
  loop_.at(now + kSweep, [this] { sweep(); });
}

void Clients::unended(Caller& caller) {
  caller.in_hand = true;
  tally_.unended += 1;
  say(caller, answer_text(408, "the request does not end\n", false), false);
}

void Clients::close(Caller& caller) {
  caller.stream->close();
  const auto at = callers_.find(caller.number);
  if (at == callers_.end()) return;
  if (caller.in_hand) left.push_back(caller.number);
  if (caller.aside) aside_ -= 1;
  graves_.push_back(std::move(at->second));
  callers_.erase(at);
  if (more_to_accept_) {
    // Not from within accept() itself, which ends connections to make room.
    more_to_accept_ = false;
    loop_.at(loop_.now(), [this] { accept(); });
  }
}

Activity Clients::activity(const Caller& caller) const {
  if (caller.in_hand || caller.answering) return Activity::busy;
  if (caller.parting) return Activity::closing;
  if (caller.reader.begun()) return Activity::receiving;
  return caller.spoken ? Activity::idle : Activity::silent;
}

// Among these the one that can best be spared; null: none can.
Clients::Caller* Clients::first_to_go(bool (*among)(const Caller&)) const {
  Caller* first = nullptr;
  std::optional<EvictionRank> least;
  for (const auto& [number, caller] : callers_) {
    if (!among(*caller)) continue;
    const Activity doing = activity(*caller);
    const Duration since = doing == Activity::receiving ? caller->first_byte : caller->since;
    const auto rank = eviction_rank(doing, since, loop_.now(), carriage_.connect_timeout);
    if (!rank || (least && *least <= *rank)) continue;
    least = rank;
    first = caller.get();
  }
  return first;
}

// Reads first what has come and was not told of yet: false, it has asked after all. Whose request may be on
// its way is refused; between requests the client sends the next one anew, by the protocol. It is then
// closing, or closed.
bool Clients::dismiss(Caller& caller) {
  const Activity before = activity(caller);
  caller.stream->read_now();
  if (caller.stream->closed() || caller.parting) return true;
  if (activity(caller) != before) return false;
  tally_.evicted += 1;
  if (before == Activity::idle) {
    part(caller);
  } else {
    refuse_no_room(caller);
  }
  return caller.stream->closed() || caller.parting;
}

// For a connection that has come: the first to go is ended in order. Who is aside already has no place to
// give.
bool Clients::free_place() {
  while (Caller* const first = first_to_go([](const Caller& one) { return !one.aside; })) {
    if (dismiss(*first)) return true;
  }
  return false;
}

// Ends one of these at once. All that it sent has been read and its own end has been sent, so nothing is
// reset.
bool Clients::free_descriptor(bool (*among)(const Caller&)) {
  while (Caller* const first = first_to_go(among)) {
    if (!dismiss(*first)) continue;
    if (!first->stream->closed()) close(*first);
    return true;
  }
  return false;
}

bool Clients::make_room() {
  return free_descriptor([](const Caller&) { return true; });
}

// Also before the request is whole: the client reads it as the answer to what it is sending. The advice,
// where the terms allow one: requests in hand keep their places for about a latency budget.
void Clients::refuse_no_room(Caller& caller) {
  caller.in_hand = true;
  const Duration come_back = std::min(carriage_.longest_budget, carriage_.most_retry_after);
  say(caller, answer_text(503, "no room\n", false, come_back), false);
}

void Clients::bury() {
  graves_.clear();
  refill();
}

bool Clients::writing() const {
  return std::any_of(callers_.begin(), callers_.end(), [](const auto& one) { return one.second->answering; });
}

void Clients::leave() { leaving_ = true; }

void Clients::part_with_all() { parting_ = true; }

// What the kernel has accepted is reset when its listener closes. So this one stays open for a while longer
// than the protocol lets clients connect, and until nobody waits any more. Who waits in a queue that others
// accept from waits for them.
void Clients::stop_accepting() {
  if (!listener_) return;
  if (!shared_) {
    loop_.at(loop_.now() + kLateConnects, [this] { shut_when_nobody_waits(); });
    return;
  }
  while (accept()) {
  }
  shut();
}

void Clients::shut_when_nobody_waits() {
  while (accept()) {
  }
  if (!listener_ || !net::anybody_waits(listener_.get())) return shut();
  loop_.at(loop_.now() + kTimeToAsk, [this] { shut_when_nobody_waits(); });
}

void Clients::shut() {
  if (!listener_) return;
  loop_.forget(listener_.get(), place_);
  listener_.close();
}

// A request may be under way on any of these, and a close over unread bytes would reset the connection: so
// each is ended in order, and what still comes is dropped, for the client to send anew elsewhere. Who has
// only just come is about to ask for the first time; half a request from before then would keep a planned
// stop from its end.
void Clients::close_idle(Duration since) {
  for (auto at = callers_.begin(); at != callers_.end();) {
    Caller& caller = *(at++)->second;
    if (caller.in_hand || caller.answering || caller.parting) continue;
    if (!caller.reader.begun()) {
      if (caller.spoken || caller.since < since) part(caller);
    } else if (caller.first_byte < since) {
      unended(caller);
    }
  }
}

}  // namespace marbledyke::clients
