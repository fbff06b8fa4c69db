#include "clients/http_front.h"

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include "front/http_connection_memory.h"
#include "log/log.h"

namespace marbledyke::clients {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxRequestBodyBytes = 64 * 1024;  // a limit of the protocol
constexpr std::size_t kMaxResponseBytes = 32 * 1024 * 1024;
constexpr int kMaxAcceptsPerTurn = 64;
// By the protocol, a connection without a request may be closed after this time, and a client must get an
// error or a close within one second more.
constexpr Duration kRequestTimeout = 2s;
constexpr Duration kTimeoutCheckInterval = 100ms;
// In a planned stop, the listener stays open this much longer than clients connect: a connect may
// complete late, and one that completes while the listener closes is reset.
constexpr Duration kLateConnectGrace = 200ms;
// Input that is read and discarded after the last answer.
constexpr std::size_t kMaxDiscardedBytes = 4 * kMaxRequestBodyBytes;
// What is read of pipelined requests where memory is scarce. The rest waits in the socket, at the cost that a
// client which leaves is noticed later.
constexpr std::size_t kScarceInputBytes = 4096;
// Requests that hold no more than this are accepted as long as there is any memory. Larger ones leave a
// quarter of it for them.
constexpr std::size_t kSmallRequestBytes = 16 * 1024;

}  // namespace

struct HttpFront::Connection {
  Connection(net::MemoryBudget& budget, std::function<void(Connection&)> release)
      : memory(budget, [this, release] { release(*this); }) {}

  std::uint64_t number = 0;
  std::unique_ptr<net::Stream> stream;
  net::HttpParser reader{net::HttpParser::Kind::request, kMaxRequestBodyBytes};
  Duration first_byte_at{};
  Duration idle_since{};  // start or end of writing the last response; the accept before the first
  bool has_sent_data = false;
  bool is_request_pending = false;  // a request waits for its answer
  bool is_responding = false;       // a response is being written, or was written in this turn
  bool keep_alive = true;
  bool is_closing = false;     // after the last response; input is discarded until the client closes
  bool over_capacity = false;  // accepted without a slot, so that its request is refused
  bool is_slotless = false;
  std::size_t discarded_bytes = 0;
  net::MemoryHolder memory;
};

HttpFront::HttpFront(net::Loop& loop, net::MemoryBudget& memory, const config::ServiceSettings& settings,
                     const net::Address& listen, std::size_t max_descriptors, net::Descriptor listening)
    : loop_(loop),
      memory_(memory),
      settings_(settings),
      is_listener_shared_(static_cast<bool>(listening)),
      listener_(listening ? std::move(listening) : net::listen_on(listen)),
      max_descriptors_(max_descriptors),
      reserved_(std::min(kReservedDescriptors, max_descriptors / 4)),
      spare_(reserved_) {
  if (!listener_) throw std::system_error(errno, std::generic_category(), "listen");
  watch_id_ = loop_.watch(listener_.get(), *this);
  check_timeouts();
}

HttpFront::~HttpFront() { close_listener(); }

void HttpFront::on_ready(bool, bool) { accept(); }

bool HttpFront::accept() {
  may_accept_more_ = false;
  // Limited per turn, so that a flood of connections does not delay other events.
  for (int count = 0; listener_; ++count) {
    if (count == kMaxAcceptsPerTurn) {
      loop_.call_at(loop_.now(), [this] { accept(); });
      return true;
    }
    switch (accept_one()) {
      case AcceptResult::accepted:
        continue;
      case AcceptResult::none_waiting:
        return false;
      case AcceptResult::no_descriptor:
        schedule_accept();
        return false;
    }
  }
  return false;
}

// Closes a connection or takes a descriptor from the reserve only if a client is waiting for it.
HttpFront::AcceptResult HttpFront::accept_one() {
  const bool no_slot = slots_used() >= slots();
  if ((no_slot || is_at_descriptor_limit()) && !net::has_pending_connection(listener_.get()))
    return AcceptResult::none_waiting;
  bool over_capacity = no_slot && !free_slot();
  if (is_at_descriptor_limit() && !spare_.release_one() &&
      !free_descriptor([](const Connection& one) { return one.is_slotless; }))
    return AcceptResult::no_descriptor;
  net::Descriptor fd = net::accept_connection(listener_.get());
  if (!fd && (errno == EMFILE || errno == ENFILE)) fd = accept_without_descriptors(over_capacity);
  if (fd) {
    add_connection(std::move(fd), over_capacity);
    return AcceptResult::accepted;
  }
  if (errno == EINTR || errno == ECONNABORTED) return AcceptResult::accepted;
  return errno == EAGAIN || errno == EWOULDBLOCK ? AcceptResult::none_waiting : AcceptResult::no_descriptor;
}

// The process is out of descriptors although there may be free slots, since connections to shard servers use
// descriptors too. Closes a connection if one can be evicted; otherwise takes one from the reserve for a
// refusal.
net::Descriptor HttpFront::accept_without_descriptors(bool& over_capacity) {
  if (!net::has_pending_connection(listener_.get())) {
    errno = EAGAIN;
    return {};
  }
  if (!release_connection()) {
    over_capacity = true;
    if (!spare_.release_one()) {
      errno = EMFILE;
      return {};
    }
  }
  return net::accept_connection(listener_.get());
}

void HttpFront::add_connection(net::Descriptor fd, bool over_capacity) {
  auto owned = std::make_unique<Connection>(memory_, [this](Connection& one) { release_memory(one); });
  Connection* const connection = owned.get();
  connection->number = next_number_++;
  connection->idle_since = loop_.now();
  connection->over_capacity = over_capacity;
  tally_.accepted += 1;
  connections_.emplace(connection->number, std::move(owned));
  if (over_capacity) release_slot(*connection);
  connection->stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), true, kMaxRequestBodyBytes, kMaxResponseBytes,
      net::Stream::Callbacks{nullptr, [this, connection] { on_data_received(*connection); },
                             [this, connection] { on_response_written(*connection); },
                             [this, connection](bool) { close(*connection); }});
  // A request that is already there is refused in this turn, so that the descriptor is free for the next
  // connection.
  if (over_capacity) connection->stream->read_available();
}

// Accepting is retried when a connection closes, after front::kFirstRequestGrace (when a silent connection
// over capacity can be closed), and by check_timeouts().
void HttpFront::schedule_accept() {
  may_accept_more_ = true;
  static log::RateLimitedEvent throttled(log::Level::warning, "client.not_accepted");
  throttled.write({{"why", is_at_descriptor_limit() ? "all slots and reserved descriptors are in use"
                                                    : "out of descriptors"}});
  if (std::exchange(is_accept_scheduled_, true)) return;
  loop_.call_at(loop_.now() + front::kFirstRequestGrace, [this] {
    is_accept_scheduled_ = false;
    accept();
  });
}

// Refills the reserve as far as the limit allows. Returns false if the process is out of descriptors.
bool HttpFront::replenish_reserve() {
  while (spare_.held_count() < reserved_ && !is_at_descriptor_limit()) {
    if (!spare_.reacquire_one()) return false;
  }
  return true;
}

void HttpFront::release_slot(Connection& connection) {
  if (!std::exchange(connection.is_slotless, true)) slotless_ += 1;
}

// Returns whether the request of a connection can be accepted. A connection over capacity takes a slot that
// has become free meanwhile, or that of a silent connection, which is then over capacity in its place.
bool HttpFront::acquire_slot(Connection& connection) {
  if (!connection.over_capacity) return true;
  const bool free = slots_used() < slots() && replenish_reserve();
  if (!free && !displace_silent_connection()) return false;
  if (slots_used() >= slots()) return false;  // a connection read meanwhile may have taken it
  connection.over_capacity = connection.is_slotless = false;
  slotless_ -= 1;
  return true;
}

// Tries the oldest first. Reads from each before, since data may have arrived that the loop has not reported
// yet.
bool HttpFront::displace_silent_connection() {
  for (auto at = connections_.begin(); at != connections_.end();) {
    Connection& connection = *(at++)->second;
    if (connection.is_slotless || activity(connection) != Activity::silent) continue;
    connection.stream->read_available();
    if (connection.stream->is_closed()) return true;
    if (activity(connection) != Activity::silent) continue;
    connection.over_capacity = true;
    release_slot(connection);
    return true;
  }
  return false;
}

void HttpFront::on_data_received(Connection& connection) {
  receive(connection);
  update_memory(connection);
}

void HttpFront::receive(Connection& connection) {
  net::RingBuffer& in = connection.stream->in();
  if (connection.is_closing) {
    // Beyond the limit the ring stays full and nothing more is read, so that 60 MB from one client do
    // not delay others.
    connection.discarded_bytes += in.size();
    if (connection.discarded_bytes <= kMaxDiscardedBytes) in.clear();
    return;
  }
  while (!connection.is_request_pending && !connection.is_responding && !connection.stream->is_closed() &&
         !in.empty()) {
    if (!connection.reader.has_started()) connection.first_byte_at = loop_.now();
    connection.has_sent_data = true;
    in.consume(connection.reader.feed(in.front()));
    if (connection.reader.state() == net::HttpParser::State::malformed) {
      connection.is_request_pending = true;
      static log::RateLimitedEvent throttled(log::Level::info, "client.unreadable");
      throttled.write({{"status", connection.reader.error_status()}});
      respond(connection,
              answer_text(connection.reader.error_status(), "the request cannot be read\n", false), false);
    } else if (connection.reader.state() == net::HttpParser::State::complete) {
      return on_request_complete(connection);  // pipelined data waits until this request is answered
    }
  }
}

void HttpFront::on_request_complete(Connection& connection) {
  connection.is_request_pending = true;
  const net::HttpMessage& message = connection.reader.message();
  const bool has_slot = acquire_slot(connection);
  connection.keep_alive = message.keeps_alive() && has_slot;
  const std::string path = message.target_or_status.substr(0, message.target_or_status.find('?'));
  if (path == "/healthz") {
    if (message.method_or_version != "GET")
      return respond_error(connection.number, 405, "only GET is answered here\n");
    if (is_stopping_) return respond_error(connection.number, 503, "stopping\n");
    return respond(connection, answer_text(200, "serving\n", connection.keep_alive), connection.keep_alive);
  }
  if (path != "/api") return respond_error(connection.number, 404, "there is nothing here\n");
  if (message.method_or_version != "POST")
    return respond_error(connection.number, 405, "only POST is answered here\n");
  auto parsed = parse_multiget(message, settings_);
  if (const RequestError* error = std::get_if<RequestError>(&parsed)) {
    static log::RateLimitedEvent throttled(log::Level::info, "client.bad_request");
    throttled.write({{"status", error->status}, {"why", error->reason}});
    return respond_error(connection.number, error->status, error->reason + "\n");
  }
  if (!has_slot) {
    tally_.refused_at_capacity += 1;
    return refuse_at_capacity(connection);
  }
  Multiget& multiget = std::get<Multiget>(parsed);
  // Until it has been written to a shard server, each part holds a copy of the text.
  const std::size_t bytes =
      multiget.text->size() * (1 + multiget.parts.size()) + multiget.parts.size() * sizeof(front::Part);
  connection.reader.reset();
  update_memory(connection);
  const std::size_t reserve = bytes > kSmallRequestBytes ? memory_.limit() / 4 : 0;
  if (!memory_.make_room(bytes + reserve)) return refuse_at_capacity(connection);
  multiget.text = net::held_text(memory_, std::move(multiget.text), bytes);
  requests.push_back({connection.number, std::move(multiget), connection.first_byte_at});
}

void HttpFront::answer(std::uint64_t number, bool complete, const std::vector<Value>& values) {
  const auto at = connections_.find(number);
  if (at == connections_.end()) return;
  const bool keep_alive = at->second->keep_alive && !closes_after_answers_;
  const std::string text = answer_text(200, answer_body(complete, values), keep_alive);
  if (!memory_.make_room(text.size())) return respond_error(number, 504, "no room for the answer\n");
  respond(*at->second, text, keep_alive);
}

void HttpFront::refuse(std::uint64_t number, front::Refusal reason, Duration retry_after) {
  switch (reason) {
    case front::Refusal::pushed_back:
      return respond_error(number, 503, "pushed back\n", retry_after);
    case front::Refusal::at_capacity:
      return respond_error(number, 503, "no room\n", retry_after);
    case front::Refusal::duplicate_id:
      return respond_error(number, 400, "x-request-id: one of that id is in hand\n");
    case front::Refusal::failed:
      return respond_error(number, 504, "failed\n");
  }
}

void HttpFront::respond_error(std::uint64_t number, int status, std::string_view reason,
                              Duration retry_after) {
  const auto at = connections_.find(number);
  if (at == connections_.end()) return;
  const bool keep_alive = at->second->keep_alive && !closes_after_answers_;
  respond(*at->second, answer_text(status, reason, keep_alive, retry_after), keep_alive);
}

void HttpFront::respond(Connection& connection, const std::string& text, bool keep_alive) {
  if (!check_invariant(connection.is_request_pending, "a response belongs to a pending request")) return;
  connection.is_request_pending = false;
  connection.is_responding = true;
  connection.idle_since = loop_.now();
  connection.keep_alive = keep_alive;
  connection.reader.reset();
  // A response that does not fit the buffer closes the connection, which the client recognises as a failure.
  if (!connection.stream->out().append(text)) return close(connection);
  connection.stream->flush();
  update_memory(connection);
}

void HttpFront::update_memory(Connection& connection) {
  connection.memory.update(connection.stream->held_bytes() + connection.reader.held_bytes(),
                           front::releasable_since(connection));
  const bool is_scarce = !memory_.fits(memory_.limit() / 2);
  connection.stream->limit_input(is_scarce ? kScarceInputBytes : kMaxRequestBodyBytes);
}

void HttpFront::release_memory(Connection& connection) {
  if (connection.is_closing || connection.is_responding) return close(connection);
  refuse_at_capacity(connection);
}

void HttpFront::on_response_written(Connection& connection) {
  connection.idle_since = loop_.now();
  if (!connection.keep_alive) {
    connection.is_responding = false;
    return close_gracefully(connection);
  }
  // Data received meanwhile is handled after the events of other connections. Otherwise a client that
  // pipelines requests without a pause would occupy the loop.
  const std::uint64_t number = connection.number;
  loop_.call_at(loop_.now(), [this, number] {
    const auto at = connections_.find(number);
    if (at == connections_.end()) return;
    Connection& next = *at->second;  // may be closed below, but is destroyed only after the turn
    next.is_responding = false;
    on_data_received(next);
    next.stream->resume_reading();
  });
}

// Closing a connection with unread bytes resets it, and the response may be lost. So this side shuts down its
// sending direction first, and the client has the connect timeout to close as well.
void HttpFront::close_gracefully(Connection& connection) {
  connection.is_closing = true;
  release_slot(connection);
  connection.idle_since = loop_.now();
  connection.stream->in().clear();
  connection.stream->shutdown_write();
  connection.stream->resume_reading();
  update_memory(connection);
}

// Enforces the limits on every wait for a client: for the first byte, for the end of a request, for reading a
// response, and for closing after the last one. Closes idle connections when three quarters of the
// descriptors are in use, those idle longest first. That keeps the rest free for new clients, and avoids
// closing a connection at the moment when its next request may be under way.
void HttpFront::check_timeouts() {
  std::vector<Connection*> idle;
  const Duration now = loop_.now();
  for (auto at = connections_.begin(); at != connections_.end();) {
    Connection& connection = *(at++)->second;
    if (connection.is_request_pending) continue;
    if (connection.is_closing) {
      if (now >= connection.idle_since + settings_.connect_timeout) {
        connection.stream->read_available();
        close(connection);
      }
    } else if (connection.is_responding) {
      if (now >= connection.idle_since + settings_.max_route_timeout) close(connection);
    } else if (connection.reader.has_started()) {
      if (now >= connection.first_byte_at + kRequestTimeout) time_out_request(connection);
    } else if (now >= connection.idle_since + kRequestTimeout) {
      if (connection.has_sent_data) {
        idle.push_back(&connection);
      } else {
        tally_.closed_silent += 1;
        close_gracefully(connection);
      }
    }
  }
  const std::size_t max_connections = max_descriptors_ - max_descriptors_ / 4;
  if (connections_.size() > max_connections) {
    const auto excess = std::min(idle.size(), connections_.size() - max_connections);
    std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(excess), idle.end(),
                      [](const Connection* a, const Connection* b) { return a->idle_since < b->idle_since; });
    tally_.closed_idle += excess;
    for (std::size_t i = 0; i < excess; ++i) close_gracefully(*idle[i]);
  }
  // Something other than a client may have released descriptors, and the loop does not report clients again
  // that are already in the queue.
  if (may_accept_more_) accept();
  loop_.call_at(now + kTimeoutCheckInterval, [this] { check_timeouts(); });
}

void HttpFront::time_out_request(Connection& connection) {
  connection.is_request_pending = true;
  tally_.timed_out += 1;
  respond(connection, answer_text(408, "the request does not end\n", false), false);
}

void HttpFront::close(Connection& connection) {
  connection.stream->close();
  connection.reader.reset();
  update_memory(connection);
  const auto at = connections_.find(connection.number);
  if (at == connections_.end()) return;
  if (connection.is_request_pending) departed.push_back(connection.number);
  if (connection.is_slotless) slotless_ -= 1;
  closed_.push_back(std::move(at->second));
  connections_.erase(at);
  if (may_accept_more_) {
    // Deferred, since accept() itself closes connections to free a slot or a descriptor.
    may_accept_more_ = false;
    loop_.call_at(loop_.now(), [this] { accept(); });
  }
}

Activity HttpFront::activity(const Connection& connection) const {
  if (connection.is_request_pending || connection.is_responding) return Activity::busy;
  if (connection.is_closing) return Activity::closing;
  if (connection.reader.has_started()) return Activity::receiving;
  return connection.has_sent_data ? Activity::idle : Activity::silent;
}

// Returns the eligible connection that is to be closed first; null if none can be closed.
HttpFront::Connection* HttpFront::eviction_candidate(bool (*is_eligible)(const Connection&)) const {
  Connection* first = nullptr;
  std::optional<front::EvictionRank> lowest;
  for (const auto& [number, connection] : connections_) {
    if (!is_eligible(*connection)) continue;
    const Activity current = activity(*connection);
    const Duration since =
        current == Activity::receiving ? connection->first_byte_at : connection->idle_since;
    const auto rank = front::eviction_rank(current, since, loop_.now(), settings_.connect_timeout);
    if (!rank || (lowest && *lowest <= *rank)) continue;
    lowest = rank;
    first = connection.get();
  }
  return first;
}

// Closes a connection, or starts to. Reads from it first, since data may have arrived that the loop has not
// reported yet: if that changes what the connection is doing, nothing is closed and the result is false. A
// client whose request may be under way receives a refusal; between two requests the protocol makes clients
// send the next one again.
bool HttpFront::evict(Connection& connection) {
  const Activity before = activity(connection);
  connection.stream->read_available();
  if (connection.stream->is_closed() || connection.is_closing) return true;
  if (activity(connection) != before) return false;
  tally_.evicted += 1;
  if (before == Activity::idle) {
    close_gracefully(connection);
  } else {
    refuse_at_capacity(connection);
  }
  return connection.stream->is_closed() || connection.is_closing;
}

// Frees a slot for a new connection by closing another one gracefully. Connections without a slot are not
// eligible.
bool HttpFront::free_slot() {
  while (Connection* const first =
             eviction_candidate([](const Connection& one) { return !one.is_slotless; })) {
    if (evict(*first)) return true;
  }
  return false;
}

// Frees a descriptor by closing a connection at once. Everything it sent has been read and its shutdown was
// sent, so this does not reset it.
bool HttpFront::free_descriptor(bool (*is_eligible)(const Connection&)) {
  while (Connection* const first = eviction_candidate(is_eligible)) {
    if (!evict(*first)) continue;
    if (!first->stream->is_closed()) close(*first);
    return true;
  }
  return false;
}

bool HttpFront::release_connection() {
  return free_descriptor([](const Connection&) { return true; });
}

// May precede the end of the request: the client reads the refusal as the response to what it is sending.
// Pending requests hold their slots for about a latency budget, so that is the retry advice, where the
// settings allow one.
void HttpFront::refuse_at_capacity(Connection& connection) {
  connection.is_request_pending = true;
  const Duration retry_after = std::min(settings_.max_latency_budget, settings_.max_retry_after);
  respond(connection, answer_text(503, "no room\n", false, retry_after), false);
}

void HttpFront::destroy_closed() {
  closed_.clear();
  replenish_reserve();
}

bool HttpFront::is_writing() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& one) { return one.second->is_responding; });
}

void HttpFront::announce_stop() { is_stopping_ = true; }

void HttpFront::close_after_answers() { closes_after_answers_ = true; }

// Closing a listener resets the connections in its queue. So it stays open for a while longer than the
// protocol lets clients connect, and until the queue is empty. Connections in a shared queue are left to the
// other processes.
void HttpFront::stop_accepting() {
  if (!listener_) return;
  if (!is_listener_shared_) {
    loop_.call_at(loop_.now() + kLateConnectGrace, [this] { close_listener_when_queue_is_empty(); });
    return;
  }
  while (accept()) {
  }
  close_listener();
}

void HttpFront::close_listener_when_queue_is_empty() {
  while (accept()) {
  }
  if (!listener_ || !net::has_pending_connection(listener_.get())) return close_listener();
  loop_.call_at(loop_.now() + front::kFirstRequestGrace, [this] { close_listener_when_queue_is_empty(); });
}

void HttpFront::close_listener() {
  if (!listener_) return;
  loop_.unwatch(listener_.get(), watch_id_);
  listener_.close();
}

// A request may be under way on any of these connections, and closing over unread bytes would reset it. So
// each is closed gracefully and its input is discarded; the client sends that request again elsewhere.
// Connections newer than `since` are about to send their first request. A request begun before `since` is
// timed out, since it would delay the end of a planned stop.
void HttpFront::close_idle(Duration since) {
  for (auto at = connections_.begin(); at != connections_.end();) {
    Connection& connection = *(at++)->second;
    if (connection.is_request_pending || connection.is_responding || connection.is_closing) continue;
    if (!connection.reader.has_started()) {
      if (connection.has_sent_data || connection.idle_since < since) close_gracefully(connection);
    } else if (connection.first_byte_at < since) {
      time_out_request(connection);
    }
  }
}

}  // namespace marbledyke::clients
