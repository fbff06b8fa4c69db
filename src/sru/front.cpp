#include "sru/front.h"

#include <algorithm>

#include "front/http_connection_memory.h"
#include "log/log.h"

namespace marbledyke::sru {
namespace {

using namespace std::chrono_literals;
using search::Trouble;

constexpr Duration kTimeoutCheckInterval = 100ms;
// For the first byte on a connection, and from a request's first byte to its last.
constexpr Duration kRequestTimeout = 2s;
constexpr Duration kIdleTimeout = 60s;  // between requests
constexpr std::size_t kMaxResponseBytes = 16 * 1024 * 1024;
constexpr std::size_t kScarceInputBytes = 4096;  // of pipelined requests, where memory is scarce
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;

// Returns the terms for one session that all clients share, with the limits of all sessions together.
search::Terms with_shared_session(search::Terms terms) {
  terms.limits.sets = terms.limits.all_sets;
  terms.limits.operations = terms.limits.sessions;
  terms.limits.sessions = 1;
  // The session must not end before the result sets in it, whose lifetime clients are told.
  terms.limits.idle = std::max(terms.limits.idle, terms.limits.set_life);
  return terms;
}

}  // namespace

struct Front::Connection {
  std::uint64_t number = 0;
  std::unique_ptr<net::Stream> stream;
  net::HttpParser reader;
  Request request;
  Duration first_byte_at{};
  Duration idle_since{};            // start or end of writing the last response; the accept before the first
  search::Operation operation = 0;  // that the request waits for; 0: none
  bool has_sent_data = false;
  bool is_request_pending = false;  // a request waits for its response
  bool is_responding = false;       // a response is being written, or was written in this turn
  bool keep_alive = true;
  bool is_closing = false;  // after the last response; input is discarded until the client closes
  std::size_t discarded_bytes = 0;

  net::MemoryHolder memory;

  Connection(std::size_t max_body_bytes, net::MemoryBudget& budget, std::function<void(Connection&)> release)
      : reader(net::HttpParser::Kind::request, max_body_bytes),
        memory(budget, [this, release] { release(*this); }) {}
};

Front::Front(net::Loop& loop, net::MemoryBudget& memory, const search::Terms& terms,
             const config::ServiceSettings& settings, const net::Address& listen, std::uint32_t seed,
             std::size_t max_connections)
    : DeskFront(loop, memory, with_shared_session(terms), settings, seed),
      listen_(listen),
      max_connections_(max_connections),
      listener_(std::make_unique<net::Listener>(
          loop, listen,
          net::Listener::Callbacks{[this] { return connections_.size() < max_connections_; },
                                   [this] { return release_connection(); },
                                   [this](net::Descriptor fd) { add_connection(std::move(fd)); }})) {
  check_timeouts();
}

Front::~Front() {
  if (timeout_timer_) loop_.cancel(*timeout_timer_);
}

search::Session Front::session() {
  if (session_ == 0) session_ = desk_.open().value_or(0);
  return session_;
}

void Front::session_over(search::Session over) {
  // No client has sent a request for long, so the sets of the session have expired as well.
  desk_.close(over);
  session_ = 0;
}

void Front::add_connection(net::Descriptor fd) {
  tally_.accepted += 1;
  auto owned = std::make_unique<Connection>(desk_.limits().message, memory_,
                                            [this](Connection& one) { release_memory(one); });
  Connection* const connection = owned.get();
  connection->number = next_number_++;
  connection->idle_since = loop_.now();
  connections_.emplace(connection->number, std::move(owned));
  connection->stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), true, desk_.limits().message, kMaxResponseBytes,
      net::Stream::Callbacks{nullptr, [this, connection] { on_data_received(*connection); },
                             [this, connection] { on_response_written(*connection); },
                             [this, connection](bool) { close(*connection); }});
}

void Front::on_data_received(Connection& connection) {
  receive(connection);
  update_memory(connection);
}

void Front::update_memory(Connection& connection) {
  // The set that a pending search makes has a copy of its query.
  const std::size_t query_bytes =
      connection.is_request_pending ? 2 * held_bytes(connection.request.query) : 0;
  connection.memory.update(connection.stream->held_bytes() + connection.reader.held_bytes() + query_bytes,
                           front::releasable_since(connection));
  const bool is_scarce = !memory_.fits(memory_.limit() / 2);
  connection.stream->limit_input(is_scarce ? kScarceInputBytes : desk_.limits().message);
}

void Front::release_memory(Connection& connection) {
  if (connection.is_closing || connection.is_responding) return close(connection);
  refuse(connection);
}

// Precedes the end of the request: the client reads the refusal as the response to what it is sending.
void Front::refuse(Connection& connection) {
  connection.is_request_pending = true;
  connection.keep_alive = false;
  respond(connection, 503, "no room\n");
}

void Front::receive(Connection& connection) {
  net::RingBuffer& in = connection.stream->in();
  if (connection.is_closing) {
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
      tally_.unreadable += 1;
      connection.is_request_pending = true;
      connection.keep_alive = false;
      static log::RateLimitedEvent throttled(log::Level::info, "sru.unreadable");
      throttled.write({{"status", connection.reader.error_status()}});
      return respond(connection, connection.reader.error_status(), "the request cannot be read\n");
    }
    if (connection.reader.state() == net::HttpParser::State::complete) return on_request_complete(connection);
  }
}

// Responds to what needs no search; starts an operation for all else.
void Front::on_request_complete(Connection& connection) {
  tally_.requests += 1;
  connection.is_request_pending = true;
  const net::HttpMessage& message = connection.reader.message();
  connection.keep_alive = message.keeps_alive() && !closes_after_answers_;
  if (message.target_or_status == "/healthz")
    return respond(connection, is_stopping_ ? 503 : 200, is_stopping_ ? "stopping\n" : "serving\n");
  if (message.method_or_version != "GET" && message.method_or_version != "POST")
    return respond(connection, 405, "GET and POST are answered here\n");
  connection.request = read_request(message);
  Request& request = connection.request;
  if (request.database.empty() && desk_.terms().databases.size() == 1)
    request.database = desk_.terms().databases.front().name;
  const search::Database* database = search::find(desk_.terms(), request.database);
  if (request.wrong.what == Trouble::none && database == nullptr)
    request.wrong = {Trouble::unknown_database, request.database};
  if (request.wrong.what != Trouble::none) {
    static log::RateLimitedEvent throttled(log::Level::info, "sru.bad_request");
    throttled.write({{"diagnostic", number_of(request.wrong.what)}, {"why", request.wrong.detail}});
    return respond(connection, 200, diagnostic_body(request, request.wrong));
  }
  if (request.verb == Verb::explain) {
    const std::string address = listen_.text();
    const std::size_t colon = address.rfind(':');
    return respond(connection, 200,
                   explain_body(request, *database, address.substr(0, colon),
                                std::atoi(address.c_str() + colon + 1), desk_.limits()));
  }
  connection.reader.reset();
  update_memory(connection);
  connection.operation = start_operation(connection);
  pending_operations_[connection.operation] = connection.number;
  pump();
}

search::Operation Front::start_operation(const Connection& connection) {
  const Request& request = connection.request;
  const search::When when{connection.first_byte_at, request.patience};
  if (request.verb == Verb::scan) {
    search::ScanAsk scan_ask;
    scan_ask.database = request.database;
    scan_ask.index = request.index;
    scan_ask.term = request.term;
    scan_ask.count = request.terms;
    scan_ask.position = request.position;
    return desk_.scan(session(), scan_ask, when);
  }
  if (!request.result_set.empty()) {
    search::PresentAsk present_ask;
    present_ask.set = request.result_set;
    present_ask.first = request.first;
    present_ask.count = request.count;
    present_ask.schema = request.schema;
    return desk_.present(session(), present_ask, when);
  }
  search::SearchAsk search_ask;
  search_ask.databases = {request.database};
  search_ask.query = request.query;
  search_ask.first = request.first;
  search_ask.count = request.count;
  search_ask.schema = request.schema;
  search_ask.sort = request.sort;
  search_ask.life = request.set_life > 0s ? request.set_life : desk_.limits().set_life;
  return desk_.search(session(), std::move(search_ask), when);
}

void Front::replied(search::Reply&& reply) {
  const auto pending = pending_operations_.find(reply.operation);
  if (pending == pending_operations_.end()) return;
  const auto at = connections_.find(pending->second);
  pending_operations_.erase(pending);
  if (at == connections_.end()) return;
  Connection& connection = *at->second;
  connection.operation = 0;
  const std::string body = connection.request.verb == Verb::scan ? scan_body(connection.request, reply)
                                                                 : search_body(connection.request, reply);
  // Nothing has run. The HTTP status says so too, so that no cache on the way keeps the response.
  const bool is_unavailable =
      reply.diagnostic.what == Trouble::unavailable || reply.diagnostic.what == Trouble::too_busy;
  // What has run must not look as if it may be tried again without harm.
  if (!memory_.make_room(body.size())) return respond(connection, 500, "no room for the answer\n");
  respond(connection, is_unavailable ? 503 : 200, body, reply.come_back);
}

void Front::respond(Connection& connection, int status, const std::string& body, Duration retry_after) {
  if (!check_invariant(connection.is_request_pending, "an SRU answer belongs to a request in hand")) return;
  connection.is_request_pending = false;
  connection.is_responding = true;
  connection.idle_since = loop_.now();
  if (closes_after_answers_) connection.keep_alive = false;
  connection.reader.reset();
  const char* const content_type = body.starts_with('<') ? "application/xml; charset=utf-8" : "text/plain";
  const std::string response =
      net::format_response(status, content_type, body, connection.keep_alive, retry_after);
  // A response that does not fit the buffer closes the connection, which the client recognises as a failure.
  connection.request = {};
  if (!connection.stream->out().append(response)) return close(connection);
  connection.stream->flush();
  update_memory(connection);
}

void Front::on_response_written(Connection& connection) {
  connection.idle_since = loop_.now();
  if (!connection.keep_alive) {
    connection.is_responding = false;
    return close_gracefully(connection);
  }
  // Data received meanwhile is handled after the events of other connections. Otherwise a client that
  // pipelines requests without a pause would occupy the loop.
  loop_.call_at(loop_.now(), [this, number = connection.number, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) serve_next_request(number);
  });
}

void Front::serve_next_request(std::uint64_t number) {
  const auto at = connections_.find(number);
  if (at == connections_.end()) return;
  Connection& connection = *at->second;  // may be closed below, but is destroyed only after the turn
  connection.is_responding = false;
  on_data_received(connection);
  connection.stream->resume_reading();
}

// Closing a connection with unread bytes resets it, and the response may be lost. So this side shuts down its
// sending direction first, and the client has the connect timeout to close as well.
void Front::close_gracefully(Connection& connection) {
  connection.is_closing = true;
  connection.idle_since = loop_.now();
  connection.stream->in().clear();
  connection.stream->shutdown_write();
  connection.stream->resume_reading();
  update_memory(connection);
}

void Front::close(Connection& connection) {
  connection.stream->close();
  connection.reader.reset();
  connection.memory.update(0);
  const auto at = connections_.find(connection.number);
  if (at == connections_.end()) return;
  if (connection.operation != 0) {
    pending_operations_.erase(connection.operation);
    desk_.abandon(connection.operation);
  }
  closed_.push_back(std::move(at->second));
  connections_.erase(at);
  if (listener_) listener_->resume();
  pump();
}

// Enforces the limits on every wait for a client: for the first byte, for the end of a request, for reading a
// response, for the next request, and for closing after the last response.
void Front::check_timeouts() {
  const Duration now = loop_.now();
  std::vector<Connection*> expired, incomplete;
  for (const auto& [number, connection] : connections_) {
    if (connection->is_request_pending) continue;
    const bool is_receiving = connection->reader.has_started();
    const Duration idle_timeout = connection->has_sent_data ? kIdleTimeout : kRequestTimeout;
    if (connection->is_closing      ? now >= connection->idle_since + settings_.connect_timeout
        : connection->is_responding ? now >= connection->idle_since + settings_.max_route_timeout
        : is_receiving              ? false
                                    : now >= connection->idle_since + idle_timeout) {
      tally_.silent += connection->has_sent_data ? 0 : 1;
      expired.push_back(connection.get());
    } else if (is_receiving && !connection->is_responding &&
               now >= connection->first_byte_at + kRequestTimeout) {
      incomplete.push_back(connection.get());
    }
  }
  for (Connection* connection : incomplete) {
    connection->is_request_pending = true;
    connection->keep_alive = false;
    respond(*connection, 408, "the request does not end\n");
  }
  for (Connection* connection : expired) close(*connection);
  // A connection may have become old enough to give way to one that waits.
  if (listener_) listener_->resume();
  timeout_timer_ = loop_.call_at(now + kTimeoutCheckInterval, [this] { check_timeouts(); });
}

front::Activity Front::activity(const Connection& connection) const {
  using front::Activity;
  if (connection.is_request_pending || connection.is_responding) return Activity::busy;
  if (connection.is_closing) return Activity::closing;
  if (connection.reader.has_started()) return Activity::receiving;
  return connection.has_sent_data ? Activity::idle : Activity::silent;
}

// Returns the connection that is to be closed first; null if none can be closed.
Front::Connection* Front::eviction_candidate() const {
  Connection* first = nullptr;
  std::optional<front::EvictionRank> lowest;
  for (const auto& [number, connection] : connections_) {
    const front::Activity current = activity(*connection);
    const Duration since =
        current == front::Activity::receiving ? connection->first_byte_at : connection->idle_since;
    const auto rank = front::eviction_rank(current, since, loop_.now(), settings_.connect_timeout);
    if (!rank || (lowest && *lowest <= *rank)) continue;
    lowest = rank;
    first = connection.get();
  }
  return first;
}

// Reads from the connection before, since its request may have arrived without being reported yet: it is kept
// then, and another one is tried.
bool Front::release_connection() {
  while (Connection* const candidate = eviction_candidate()) {
    const front::Activity before = activity(*candidate);
    candidate->stream->read_available();
    if (candidate->stream->is_closed()) return true;
    if (activity(*candidate) != before) continue;
    tally_.evicted += 1;
    if (before == front::Activity::receiving) refuse(*candidate);
    if (!candidate->stream->is_closed()) close(*candidate);
    return true;
  }
  return false;
}

void Front::announce_stop() { is_stopping_ = true; }

void Front::close_after_answers() { closes_after_answers_ = true; }

void Front::stop_accepting() {
  if (listener_) listener_->stop();
}

void Front::close_idle(Duration since) {
  std::vector<Connection*> idle;
  for (const auto& [number, connection] : connections_) {
    if (connection->is_request_pending || connection->is_responding || connection->is_closing) continue;
    if (!connection->reader.has_started() || connection->first_byte_at < since)
      idle.push_back(connection.get());
  }
  for (Connection* connection : idle) close(*connection);
}

void Front::destroy_closed() { closed_.clear(); }

void Front::log_totals() const {
  log::event(log::Level::info, "sru.totals",
             {{"connections", size()},
              {"accepted", tally_.accepted},
              {"requests", tally_.requests},
              {"unreadable", tally_.unreadable},
              {"silent", tally_.silent},
              {"evicted", tally_.evicted}});
  report_desk("sru");
}

}  // namespace marbledyke::sru
