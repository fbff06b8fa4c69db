#include "clients/clients.h"

#include <cerrno>
#include <system_error>

#include "net/log.h"

namespace marbledyke::clients {
namespace {

constexpr std::size_t kMostBody = 64 * 1024;  // the protocol's
constexpr int kAcceptsARound = 64;
constexpr std::size_t kMostAnswer = 32 * 1024 * 1024;

}  // namespace

struct Clients::Caller {
  std::uint64_t number = 0;
  std::unique_ptr<net::Stream> stream;
  net::HttpReader reader{net::HttpReader::Kind::request, kMostBody};
  Span first_byte{}, idle_since{};
  bool in_hand = false;    // its request waits for an answer
  bool answering = false;  // an answer is being written
  bool stays = true;
  bool parting = false;  // answered for the last time; what still comes is dropped until the client closes
};

Clients::Clients(net::Loop& loop, const config::Carriage& carriage, const sockaddr_in& listen,
                 std::size_t most)
    : loop_(loop), carriage_(carriage), listener_(net::listen_on(listen)), most_(most) {
  if (!listener_) throw std::system_error(errno, std::generic_category(), "listen");
  place_ = loop_.watch(listener_.get(), *this);
}

Clients::~Clients() { stop_accepting(); }

void Clients::ready(bool, bool) { accept(); }

bool Clients::accept() {
  more_to_accept_ = false;
  // A flood of connections waits its turn like everything else.
  for (int count = 0; listener_; ++count) {
    if (count == kAcceptsARound) {
      loop_.at(loop_.now(), [this] { accept(); });
      return true;
    }
    if (callers_.size() >= most_ && !make_room()) {
      more_to_accept_ = true;  // taken up again when a connection ends
      return false;
    }
    net::Descriptor fd = net::accept_from(listener_.get());
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno == EAGAIN || errno == EWOULDBLOCK) return false;
      if ((errno == EMFILE || errno == ENFILE) && make_room()) continue;
      more_to_accept_ = true;
      MD_LOG(warning, "clients: cannot accept: " << std::generic_category().message(errno));
      return false;
    }
    auto made = std::make_unique<Caller>();
    Caller* const caller = made.get();
    caller->number = next_caller_++;
    caller->idle_since = loop_.now();
    callers_.emplace(caller->number, std::move(made));
    caller->stream = std::make_unique<net::Stream>(
        loop_, std::move(fd), true, kMostBody, kMostAnswer,
        net::Stream::Told{nullptr, [this, caller] { arrived(*caller); }, [this, caller] { drained(*caller); },
                          [this, caller](bool) { close(*caller); }});
  }
  return false;
}

void Clients::arrived(Caller& caller) {
  net::Ring& in = caller.stream->in();
  if (caller.parting) return in.clear();
  while (!caller.in_hand && !caller.answering && !caller.stream->closed() && !in.empty()) {
    if (!caller.reader.begun()) caller.first_byte = loop_.now();
    in.drop(caller.reader.take(in.front()));
    if (caller.reader.state() == net::HttpReader::State::bad) {
      caller.in_hand = true;
      MD_LOG(info, "clients: a request that cannot be read");
      say(caller, answer_text(caller.reader.complaint(), "the request cannot be read\n", false), false);
    } else if (caller.reader.state() == net::HttpReader::State::done) {
      request(caller);
    }
  }
}

void Clients::request(Caller& caller) {
  caller.in_hand = true;
  const net::HttpMessage& message = caller.reader.message();
  caller.stays = message.stays();
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
    static net::Throttle throttle;
    if (throttle.allows()) MD_LOG(info, "clients: a bad request: " << complaint->why);
    return turn_away(caller.number, complaint->status, complaint->why + "\n");
  }
  asked.push_back({caller.number, std::move(std::get<Ask>(read)), caller.first_byte});
}

void Clients::answer(std::uint64_t number, const std::string& body) {
  const auto at = callers_.find(number);
  if (at == callers_.end()) return;
  const bool stays = at->second->stays && !leaving_;
  say(*at->second, answer_text(200, body, stays), stays);
}

void Clients::turn_away(std::uint64_t number, int status, std::string_view why, Span come_back) {
  const auto at = callers_.find(number);
  if (at == callers_.end()) return;
  const bool stays = at->second->stays && !leaving_;
  say(*at->second, answer_text(status, why, stays, come_back), stays);
}

void Clients::say(Caller& caller, const std::string& text, bool stays) {
  if (!net::must_hold(caller.in_hand, "an answer belongs to a request in hand")) return;
  caller.in_hand = false;
  caller.answering = true;
  caller.stays = stays;
  caller.reader.restart();
  // An answer that does not fit is none: the connection ends, and the client can tell.
  if (!caller.stream->out().put(text)) return close(caller);
  caller.stream->flush();
}

void Clients::drained(Caller& caller) {
  caller.answering = false;
  caller.idle_since = loop_.now();
  if (!caller.stays) return part(caller);
  arrived(caller);  // what came while the answer was made
  if (!caller.stream->closed()) caller.stream->read_on();
}

// Closed with bytes unread, a connection is reset, and the answer may be lost with it. So this side ends
// first and the client has the time that a connection may take to come up to end as well.
void Clients::part(Caller& caller) {
  caller.parting = true;
  caller.stream->in().clear();
  caller.stream->finish();
  const std::uint64_t number = caller.number;
  loop_.at(loop_.now() + carriage_.connect_timeout, [this, number] {
    if (const auto at = callers_.find(number); at != callers_.end()) close(*at->second);
  });
  caller.stream->read_on();
}

void Clients::close(Caller& caller) {
  caller.stream->close();
  const auto at = callers_.find(caller.number);
  if (at == callers_.end()) return;
  if (caller.in_hand) left.push_back(caller.number);
  graves_.push_back(std::move(at->second));
  callers_.erase(at);
  if (more_to_accept_) {
    // Not from within accept() itself, which ends connections to make room.
    more_to_accept_ = false;
    loop_.at(loop_.now(), [this] { accept(); });
  }
}

// The connection between requests that has been so longest; with partly, one whose request is still coming
// in.
Clients::Caller* Clients::longest_waiting(bool partly) {
  Caller* longest = nullptr;
  for (const auto& [number, caller] : callers_) {
    if (caller->in_hand || caller->answering || caller->parting || caller->reader.begun() != partly) continue;
    if (longest == nullptr || caller->idle_since < longest->idle_since) longest = caller.get();
  }
  return longest;
}

bool Clients::make_room() {
  Caller* longest = longest_waiting(false);
  if (longest == nullptr) longest = longest_waiting(true);  // else slow senders could hold every place
  if (longest == nullptr) return false;
  close(*longest);
  return true;
}

void Clients::bury() { graves_.clear(); }

void Clients::leave() { leaving_ = true; }

void Clients::stop_accepting() {
  if (!listener_) return;
  while (accept()) {
  }
  loop_.forget(listener_.get(), place_);
  listener_.close();
}

// Also what holds half a request since before then: it would keep a planned stop from its end.
void Clients::close_idle(Span since) {
  for (auto at = callers_.begin(); at != callers_.end();) {
    Caller& caller = *(at++)->second;
    if (caller.in_hand || caller.answering || caller.parting) continue;
    if (!caller.reader.begun() || caller.first_byte < since) close(caller);
  }
}

}  // namespace marbledyke::clients
