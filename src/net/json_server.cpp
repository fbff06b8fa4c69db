#include "net/json_server.h"

#include <unistd.h>

namespace marbledyke::net {
namespace {

constexpr Duration kRequestTimeout = 2s;  // from the first byte of a request to its last
constexpr Duration kIdleTimeout = 30s;    // of a connection without a request
constexpr Duration kLingerTimeout = 1s;   // after the last response, for a peer that does not close
constexpr Duration kWriteTimeout = 10s;   // for the peer to read a response
constexpr Duration kSweepInterval = 200ms;
constexpr std::size_t kMaxResponseBytes = 16 * 1024 * 1024;

}  // namespace

struct JsonServer::Connection {
  Connection(std::size_t max_body, MemoryBudget& budget, std::function<void(Connection&)> release)
      : parser(HttpParser::Kind::request, max_body), memory(budget, [this, release] { release(*this); }) {}

  enum class Phase {
    reading,
    waiting,    // for the owner's reply
    answering,  // writing the response
    parting     // the write side is closed; input is dropped until the peer closes
  };

  ConnectionId id = 0;
  std::unique_ptr<Stream> stream;
  HttpParser parser;
  Phase phase = Phase::reading;
  Duration since{};  // the request's first byte, the beginning of the phase, or the end of the former request
  bool keep_alive = true;
  MemoryHolder memory;
};

JsonServer::JsonServer(Loop& loop, const Address& address, const Limits& limits, Callbacks callbacks)
    : loop_(loop), limits_(limits), callbacks_(std::move(callbacks)), memory_(limits.max_held_bytes) {
  const std::string text = address.text();
  if (address.family() == Family::local && text.starts_with("unix:/")) {
    path_ = text.substr(5);
    unlink(path_.c_str());
  }
  listener_ = std::make_unique<Listener>(
      loop, address,
      Listener::Callbacks{[this] { return connections_.size() < limits_.max_connections; },
                          [] { return false; }, [this](Descriptor fd) { on_accepted(std::move(fd)); }});
  sweep();
}

JsonServer::~JsonServer() {
  loop_.cancel(sweep_timer_);
  listener_.reset();
  if (!path_.empty()) unlink(path_.c_str());
}

void JsonServer::on_accepted(Descriptor fd) {
  auto owned = std::make_unique<Connection>(limits_.max_body_bytes, memory_,
                                            [this](Connection& one) { release_memory(one); });
  Connection* const connection = owned.get();
  connection->id = next_id_++;
  connection->since = loop_.now();
  connections_.emplace(connection->id, std::move(owned));
  connection->stream =
      std::make_unique<Stream>(loop_, std::move(fd), true, limits_.max_body_bytes, kMaxResponseBytes,
                               Stream::Callbacks{nullptr, [this, connection] { on_data(*connection); },
                                                 [this, connection] { on_drained(*connection); },
                                                 [this, connection](bool) { drop(*connection); }});
}

void JsonServer::on_drained(Connection& connection) {
  if (connection.phase != Connection::Phase::answering) return;
  connection.since = loop_.now();
  if (!connection.keep_alive) {
    connection.phase = Connection::Phase::parting;
    // Closing with unread input would send a reset, which can discard the response on its way.
    return connection.stream->shutdown_write();
  }
  // The next request is served after the events of other connections, and not within this call: a client that
  // pipelines requests would make the calls nest without end.
  loop_.call_at(loop_.now(), [this, id = connection.id, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) serve_next_request(id);
  });
}

void JsonServer::serve_next_request(ConnectionId id) {
  const auto at = connections_.find(id);
  if (at == connections_.end()) return;
  Connection& connection = *at->second;  // may be dropped below, but is destroyed only in a later turn
  connection.phase = Connection::Phase::reading;
  on_data(connection);
  connection.stream->resume_reading();
}

void JsonServer::drop(Connection& connection) {
  connection.stream->close();
  connection.memory.update(0);
  const auto at = connections_.find(connection.id);
  if (at == connections_.end()) return;
  const bool was_waiting = connection.phase == Connection::Phase::waiting;
  closed_.push_back(std::move(at->second));
  connections_.erase(at);
  if (closed_.size() == 1) loop_.call_at(loop_.now(), [this] { closed_.clear(); });
  listener_->resume();
  if (was_waiting && callbacks_.on_abandoned) callbacks_.on_abandoned(connection.id);
}

void JsonServer::on_data(Connection& connection) {
  read_requests(connection);
  update_memory(connection);
}

void JsonServer::read_requests(Connection& connection) {
  using Phase = Connection::Phase;
  RingBuffer& in = connection.stream->in();
  const bool last = !connection.keep_alive && connection.phase == Phase::answering;
  if (connection.phase == Phase::parting || last) {
    in.clear();
    return;
  }
  while (!in.empty() && connection.phase == Phase::reading && !connection.stream->is_closed()) {
    if (!connection.parser.has_started()) connection.since = loop_.now();
    in.consume(connection.parser.feed(in.front()));
    if (connection.parser.state() == HttpParser::State::incomplete) continue;
    if (connection.parser.state() == HttpParser::State::malformed)
      return write(connection,
                   {connection.parser.error_status(), R"({"error":"the request cannot be read"})"}, false);
    dispatch(connection);
  }
}

std::optional<Duration> JsonServer::releasable_since(const Connection& connection) const {
  using Phase = Connection::Phase;
  if (connection.stream->is_closed() || connection.phase == Phase::waiting) return std::nullopt;
  const bool is_unread = connection.phase == Phase::answering && !connection.stream->out().empty();
  const bool is_receiving = connection.phase == Phase::reading && connection.parser.has_started();
  return is_unread || is_receiving || connection.phase == Phase::parting ? std::optional(connection.since)
                                                                         : std::nullopt;
}

void JsonServer::update_memory(Connection& connection) {
  connection.memory.update(connection.stream->held_bytes() + connection.parser.held_bytes(),
                           releasable_since(connection));
}

void JsonServer::release_memory(Connection& connection) {
  if (connection.phase != Connection::Phase::reading) return drop(connection);
  write(connection, {503, R"({"error":"no room"})"}, false);
}

void JsonServer::dispatch(Connection& connection) {
  HttpMessage message = std::move(connection.parser.message());
  connection.parser.reset();
  connection.keep_alive = message.keeps_alive();
  connection.phase = Connection::Phase::waiting;
  connection.since = loop_.now();
  callbacks_.on_request(connection.id, {std::move(message.method_or_version),
                                        std::move(message.target_or_status), std::move(message.body)});
}

void JsonServer::send_reply(ConnectionId id, const JsonReply& reply) {
  const auto at = connections_.find(id);
  if (at == connections_.end() || at->second->phase != Connection::Phase::waiting) return;
  write(*at->second, reply, at->second->keep_alive);
}

void JsonServer::write(Connection& connection, const JsonReply& reply, bool keep_alive) {
  connection.phase = Connection::Phase::answering;
  connection.keep_alive = keep_alive;
  connection.since = loop_.now();
  const std::string text =
      format_response(reply.status, "application/json", reply.body + "\n", keep_alive, Duration{});
  connection.parser.reset();
  if (!connection.stream->out().append(text)) return drop(connection);
  connection.stream->flush();
  update_memory(connection);
}

// Ends a phase that has exceeded its time limit.
void JsonServer::check(Connection& connection) {
  using Phase = Connection::Phase;
  const Duration lasted = loop_.now() - connection.since;
  if (connection.phase == Phase::parting) {
    if (lasted > kLingerTimeout) drop(connection);
  } else if (connection.phase == Phase::answering) {
    if (lasted > kWriteTimeout) drop(connection);
  } else if (connection.phase == Phase::waiting) {
    if (lasted <= limits_.reply_timeout) return;
    // Before the response, which may bring the connection's next request to the owner, under the same id.
    connection.phase = Phase::answering;
    if (callbacks_.on_abandoned) callbacks_.on_abandoned(connection.id);
    write(connection, {503, R"({"error":"no answer in time"})"}, connection.keep_alive);
  } else if (connection.parser.has_started()) {
    if (lasted > kRequestTimeout)
      write(connection, {408, R"({"error":"the request did not end in time"})"}, false);
  } else if (lasted > kIdleTimeout) {
    drop(connection);
  }
}

// Within a callback the owner may reply to other connections, which may end these: the sweep therefore works
// on a copy of the ids.
void JsonServer::sweep() {
  std::vector<ConnectionId> ids;
  ids.reserve(connections_.size());
  for (const auto& [id, connection] : connections_) ids.push_back(id);
  for (const ConnectionId id : ids) {
    const auto at = connections_.find(id);
    if (at != connections_.end()) check(*at->second);
  }
  sweep_timer_ = loop_.call_at(loop_.now() + kSweepInterval, [this] { sweep(); });
}

}  // namespace marbledyke::net
