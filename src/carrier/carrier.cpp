#include "carrier/carrier.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "log/log.h"

namespace marbledyke::carrier {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kMaxInputBytes = 1024 * 1024;
constexpr std::size_t kMaxOutputBytes = 256 * 1024;
}  // namespace

struct Carrier::Connection {
  std::uint64_t number = 0;
  std::string server;
  std::unique_ptr<ProtocolSession> session;
  std::unique_ptr<net::Stream> stream;
  std::vector<net::Address> left;  // still to be dialled, the next one last
  net::Address address;
  std::optional<SendKey> pending;
  bool up = false, greeted = false, used = false, leaving = false, cancelling = false, ended = false;
  std::optional<net::Loop::Timer> limit, idle;
};

Carrier::Carrier(net::Loop& loop, const config::ServiceSettings& settings, SessionFactory make_session,
                 std::function<bool()> make_room)
    : loop_(loop),
      settings_(settings),
      make_session_(make_session),
      make_room_(std::move(make_room)),
      closing_servers_(kClosingServerHold) {}

Carrier::~Carrier() {
  for (const auto& [number, connection] : connections_) {
    if (connection->limit) loop_.cancel(*connection->limit);
    if (connection->idle) loop_.cancel(*connection->idle);
  }
  for (const auto& [key, pending] : sends_) {
    if (pending.expiry) loop_.cancel(*pending.expiry);
  }
}

void Carrier::set_databases(std::map<std::string, std::string, std::less<>> databases) {
  databases_ = std::move(databases);
}

void Carrier::destroy_closed() {
  closed_connections_.clear();
  closed_streams_.clear();
}

// ---- membership ----

void Carrier::apply_list_update(const list::ListUpdate& update) {
  if (update.is_snapshot) {
    for (auto& [name, server_state] : servers_)
      server_state.up = server_state.up && update.unreadable_servers.contains(name);
  }
  for (const list::ServerEntry& entry : update.entries) {
    const std::string& name = entry.row.server;
    if (!databases_.contains(name)) continue;
    Server& server_state = servers_[name];
    server_state.up = entry.row.status == ServerStatus::up;
    server_state.listed = entry.addresses;
    merge_addresses(name, server_state);
    if (server_state.up) closing_servers_.on_listed_up(name);
  }
  reconsider_connections();
}

void Carrier::configure(
    std::map<std::string, addresses::AddressBook::ServerOverride, std::less<>> overrides) {
  overrides_ = std::move(overrides);
  for (auto& [name, server_state] : servers_) merge_addresses(name, server_state);
  reconsider_connections();
}

// Joins the operator's addresses and the list's. The operator's come first, as they were configured on
// purpose.
void Carrier::merge_addresses(const std::string& name, Server& server_state) {
  std::vector<net::Address> all;
  const auto own = overrides_.find(name);
  if (own != overrides_.end()) all = own->second.addresses;
  if (own == overrides_.end() || !own->second.replaces_listed) {
    for (const net::Address& address : server_state.listed) {
      if (std::find(all.begin(), all.end(), address) == all.end()) all.push_back(address);
    }
  }
  if (all == server_state.addresses) return;
  server_state.addresses = std::move(all);
  server_state.first = 0;
}

// Applies changed servers and addresses to the open connections and to the sends that wait for one.
void Carrier::reconsider_connections() {
  // Idle connections to a server that accepts no new sends are closed; on the others the pending part ends
  // first.
  std::vector<Connection*> unwanted;
  for (const auto& [number, connection] : connections_) {
    const auto at = servers_.find(connection->server);
    const bool its = at != servers_.end() && at->second.up &&
                     std::find(at->second.addresses.begin(), at->second.addresses.end(),
                               connection->address) != at->second.addresses.end();
    if (connection->up && !its) connection->leaving = true;
    if (connection->leaving && !connection->pending) unwanted.push_back(connection.get());
  }
  for (Connection* connection : unwanted) close(*connection);
  std::vector<std::string> emptied;
  for (auto& [name, server_state] : servers_) {
    if (!server_state.up) {
      // The server gets no new sends, and those that wait for a connection have not run.
      for (const SendKey& key : std::exchange(server_state.waiting, {}))
        finish_send(key, SendOutcome::dial_failed);
      emptied.push_back(name);
    }
  }
  for (const std::string& name : emptied) {
    const bool linked = std::any_of(connections_.begin(), connections_.end(),
                                    [&](const auto& one) { return one.second->server == name; });
    if (!linked) {
      servers_.erase(name);
      closing_servers_.remove(name);
    }
  }
}

// ---- parts ----

void Carrier::call(const std::string& server, std::vector<servers::SendRequest> requests) {
  for (servers::SendRequest& request : requests) {
    const SendKey key{request.part, request.send};
    const Duration limit = request.deadline;
    PendingSend& pending = sends_[key];
    pending.request = std::move(request);
    counters_.parts += 1;
    const auto at = servers_.find(server);
    if (at == servers_.end() || !at->second.up || at->second.waiting.size() >= kMaxQueuedParts) {
      finish_send(key, SendOutcome::dial_failed);
      continue;
    }
    if (!closing_servers_.accepts_sends(server, loop_.now())) {
      finish_send(key, SendOutcome::pushed_back);
      continue;
    }
    pending.expiry = loop_.call_at(limit, [this, key] {
      const auto late = sends_.find(key);
      if (late == sends_.end()) return;
      late->second.expiry.reset();
      abandon_send(key, fate_on_deadline(late->second.stage));
    });
    at->second.waiting.push_back(key);
    assign_waiting(server);
  }
}

// Assigns the sends that wait for a server to idle connections, and opens connections for the others as far
// as the bound permits.
void Carrier::assign_waiting(const std::string& server) {
  const auto at = servers_.find(server);
  if (at == servers_.end()) return;
  std::deque<SendKey>& waiting = at->second.waiting;
  std::size_t coming = 0, open = 0;
  for (const auto& [number, connection] : connections_) {
    if (connection->server != server) continue;
    open += 1;
    coming += connection->up && connection->session->is_ready() ? 0 : connection->pending ? 0 : 1;
  }
  for (std::size_t i = 0; i < waiting.size();) {
    const SendKey key = waiting[i];
    const bool once = sends_.at(key).request.non_retriable;
    Connection* best = nullptr;
    for (const auto& [number, connection] : connections_) {
      if (connection->server == server && connection->up && !connection->leaving && !connection->pending &&
          !connection->cancelling && connection->session->is_ready() &&
          can_reuse_connection(once, connection->used))
        best = connection.get();  // the newest, so that the others reach their idle time-out
    }
    if (best != nullptr) {
      waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(i));
      start_send(*best, key);
      continue;
    }
    ++i;
    if (coming > 0) {
      coming -= 1;  // a connection is being opened for it
      continue;
    }
    if (!can_open_connection(open, kMaxConnectionsPerServer)) {
      // A used idle connection is closed in favour of a new one.
      Connection* spare = nullptr;
      for (const auto& [number, connection] : connections_) {
        if (connection->server == server && connection->up && !connection->pending) spare = connection.get();
      }
      if (spare == nullptr) return;
      close(*spare);
      open -= 1;
    }
    if (!open_connection(server)) {
      // There is no descriptor or no address: the part has not run, and may go to another replica.
      waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(--i));
      finish_send(key, SendOutcome::dial_failed);
      continue;
    }
    open += 1;
  }
}

bool Carrier::open_connection(const std::string& server) {
  const Server& server_state = servers_.at(server);
  auto owned = std::make_unique<Connection>();
  Connection& connection = *owned;
  connection.number = next_connection_++;
  connection.server = server;
  for (std::size_t i = server_state.addresses.size(); i-- > 0;)
    connection.left.push_back(
        server_state.addresses[(server_state.first + i) % server_state.addresses.size()]);
  connections_.emplace(connection.number, std::move(owned));
  counters_.opened += 1;
  if (connect_next_address(connection)) return true;
  close(connection);
  return false;
}

// Begins to connect to the next address. Returns false where none is left.
bool Carrier::connect_next_address(Connection& connection) {
  if (connection.limit) loop_.cancel(*connection.limit);
  connection.limit.reset();
  if (connection.stream) {
    connection.stream->close();
    closed_streams_.push_back(std::move(connection.stream));
  }
  while (!connection.left.empty()) {
    connection.address = connection.left.back();
    connection.left.pop_back();
    net::Descriptor fd = net::start_connect(connection.address);
    if (!fd && (errno == EMFILE || errno == ENFILE) && make_room_())
      fd = net::start_connect(connection.address);
    if (!fd) continue;
    const std::uint64_t number = connection.number;
    connection.stream = std::make_unique<net::Stream>(
        loop_, std::move(fd), false, kMaxInputBytes, kMaxOutputBytes,
        net::Stream::Callbacks{[this, &connection] { on_connected(connection); },
                               [this, &connection] { on_data(connection); },
                               [this, &connection] { on_drained(connection); },
                               [this, &connection](bool) { on_closed(connection); }});
    connection.limit = loop_.call_at(loop_.now() + settings_.connect_timeout, [this, number] {
      const auto at = connections_.find(number);
      if (at == connections_.end()) return;
      at->second->limit.reset();
      on_closed(*at->second);
    });
    return true;
  }
  return false;
}

// Handles the end of a connection. One that had not connected goes on to its next address, if any; otherwise
// its pending part ends.
void Carrier::on_closed(Connection& connection) {
  if (connection.ended || (!connection.up && connect_next_address(connection))) return;
  if (connection.pending) {
    const SendKey key = *connection.pending;
    const SessionEvent event = connection.session->on_connection_closed();
    connection.pending.reset();
    if (event.kind == SessionEvent::Kind::answered) {
      finish_send(key, SendOutcome::returned, event.value);
    } else {
      finish_send(key, fate_on_disconnect(sends_.at(key).stage));
    }
  }
  const std::string server = connection.server;
  const bool dead = !connection.greeted;
  close(connection);
  const auto at = servers_.find(server);
  if (at == servers_.end()) return;
  // Connections being opened to the same addresses will fail as well.
  const bool others = std::any_of(connections_.begin(), connections_.end(), [&](const auto& one) {
    return one.second->server == server && one.second->greeted;
  });
  if (!dead || others) return assign_waiting(server);
  // The server cannot be reached: the waiting parts have not run, and may go to another replica.
  for (const SendKey& key : std::exchange(at->second.waiting, {})) finish_send(key, SendOutcome::dial_failed);
}

void Carrier::on_connected(Connection& connection) {
  connection.up = true;
  if (Server& server_state = servers_[connection.server]; !server_state.addresses.empty()) {
    const auto at =
        std::find(server_state.addresses.begin(), server_state.addresses.end(), connection.address);
    if (at != server_state.addresses.end())
      server_state.first = static_cast<std::size_t>(at - server_state.addresses.begin());
  }
  const std::string& database = databases_.find(connection.server)->second;
  connection.session = make_session_(connection.server, database, connection.address.text());
  const std::string hello = connection.session->greeting();
  if (!hello.empty()) {
    // The connect time-out includes the greeting.
    connection.stream->out().append(hello);
    connection.stream->flush();
    return;
  }
  if (connection.limit) loop_.cancel(*connection.limit);
  connection.limit.reset();
  on_idle(connection);
}

void Carrier::start_send(Connection& connection, const SendKey& key) {
  PendingSend& pending = sends_.at(key);
  const std::string request =
      connection.session->format_request(*pending.request.text, pending.request.shard);
  if (request.empty()) {
    // Nothing has been written. Another server of this protocol could not express the request either.
    std::string words = connection.session->unsupported_reply();
    finish_send(key, words.empty() ? SendOutcome::app_error : SendOutcome::returned, std::move(words));
    return;
  }
  if (connection.idle) loop_.cancel(*connection.idle);
  connection.idle.reset();
  connection.pending = key;
  connection.used = true;
  pending.connection = connection.number;
  pending.stage = SendStage::writing;
  if (!connection.stream->out().append(request)) return on_closed(connection);
  connection.stream->flush();
}

void Carrier::on_drained(Connection& connection) {
  if (!connection.pending || !connection.stream->out().empty()) return;
  const auto at = sends_.find(*connection.pending);
  if (at != sends_.end() && at->second.stage == SendStage::writing) at->second.stage = SendStage::written;
}

void Carrier::on_data(Connection& connection) {
  net::RingBuffer& in = connection.stream->in();
  while (!connection.ended && !connection.stream->is_closed() && !in.empty()) {
    SessionEvent event;
    const std::size_t used = connection.session->feed(in.front(), event);
    in.consume(used);
    switch (event.kind) {
      case SessionEvent::Kind::none: {
        const std::string more = connection.session->next_output();
        if (!more.empty()) {
          connection.stream->out().append(more);
          connection.stream->flush();
        }
        if (used == 0) return;
        break;
      }
      case SessionEvent::Kind::ready:
        if (connection.limit) loop_.cancel(*connection.limit);
        connection.limit.reset();
        connection.cancelling = false;
        on_idle(connection);
        break;
      case SessionEvent::Kind::answered:
      case SessionEvent::Kind::refused:
      case SessionEvent::Kind::failed: {
        if (!connection.pending) {
          // The answer to a cancelled part.
          connection.cancelling = false;
          on_idle(connection);
          break;
        }
        const SendKey key = *connection.pending;
        connection.pending.reset();
        finish_send(key,
                    event.kind == SessionEvent::Kind::answered  ? SendOutcome::returned
                    : event.kind == SessionEvent::Kind::refused ? SendOutcome::pushed_back
                                                                : SendOutcome::app_error,
                    std::move(event.value));
        if (!connection.ended) on_idle(connection);
        break;
      }
      case SessionEvent::Kind::server_closing:
        counters_.closed_by_server += 1;
        closing_servers_.on_server_closing(connection.server, loop_.now());
        connection.leaving = true;
        log::event(log::Level::info, "carrier.server_leaves",
                   {{"server", connection.server}, {"why", event.reason}});
        return on_closed(connection);
      case SessionEvent::Kind::protocol_error: {
        counters_.out_of_step += 1;
        static log::RateLimitedEvent throttled(log::Level::warning, "carrier.out_of_step");
        throttled.write({{"server", connection.server}, {"why", event.reason}});
        return on_closed(connection);
      }
    }
  }
}

// Handles a connection without a part: it gets the next one, or is kept for a while.
void Carrier::on_idle(Connection& connection) {
  connection.greeted = true;
  if (connection.leaving) {
    const std::string server = connection.server;
    close(connection);
    return assign_waiting(server);
  }
  const std::uint64_t number = connection.number;
  if (connection.idle) loop_.cancel(*connection.idle);
  connection.idle = loop_.call_at(loop_.now() + settings_.idle_timeout / 2, [this, number] {
    const auto at = connections_.find(number);
    if (at == connections_.end() || at->second->pending) return;
    at->second->idle.reset();
    close(*at->second);
  });
  assign_waiting(connection.server);
}

void Carrier::close(Connection& connection) {
  if (std::exchange(connection.ended, true)) return;
  if (connection.limit) loop_.cancel(*connection.limit);
  if (connection.idle) loop_.cancel(*connection.idle);
  connection.limit.reset();
  connection.idle.reset();
  if (connection.stream) {
    if (connection.up && connection.session && !connection.stream->is_closed()) {
      const std::string goodbye = connection.session->closing_bytes();
      if (!goodbye.empty() && connection.stream->out().append(goodbye)) connection.stream->flush();
    }
    connection.stream->close();
  }
  const auto at = connections_.find(connection.number);
  closed_connections_.push_back(std::move(at->second));
  connections_.erase(at);
}

// ---- ends of sends ----

// Ends a send. No other function reports a fate.
void Carrier::finish_send(const SendKey& key, SendOutcome fate, std::string value) {
  const auto at = sends_.find(key);
  if (!check_invariant(at != sends_.end(), "a part on a carrier has one fate")) return;
  if (at->second.expiry) loop_.cancel(*at->second.expiry);
  servers::SendResult out;
  out.part = key.first;
  out.send = key.second;
  out.fate = fate;
  out.elapsed = loop_.now() - at->second.request.issued_at;
  out.score = 1;
  out.value = std::move(value);
  sends_.erase(at);
  std::uint64_t* const counts[] = {&counters_.answered, &counters_.failed,        &counters_.refused,
                                   &counters_.expired,  &counters_.not_connected, &counters_.dropped,
                                   &counters_.revoked,  &counters_.unused};
  *counts[static_cast<std::size_t>(fate)] += 1;
  finished_sends.push_back(std::move(out));
}

void Carrier::abandon_send(const SendKey& key, SendOutcome fate) {
  PendingSend& pending = sends_.at(key);
  const auto at = connections_.find(pending.connection);
  if (pending.connection == 0 || at == connections_.end()) {
    for (auto& [name, server_state] : servers_) std::erase(server_state.waiting, key);
    return finish_send(key, fate);
  }
  Connection& connection = *at->second;
  const SendStage stage = pending.stage;
  connection.pending.reset();
  finish_send(key, fate);
  // A partly written request cannot be cancelled without closing the connection.
  const std::string cancel =
      stage == SendStage::written ? connection.session->format_cancel() : std::string();
  if (cancel.empty() || !connection.stream->out().append(cancel)) {
    const std::string server = connection.server;
    close(connection);
    return assign_waiting(server);
  }
  counters_.cancelled += 1;
  connection.cancelling = true;
  connection.stream->flush();
  // A connection whose cancel is not answered within the connect time-out is closed.
  const std::uint64_t number = connection.number;
  connection.limit = loop_.call_at(loop_.now() + settings_.connect_timeout, [this, number] {
    const auto still = connections_.find(number);
    if (still == connections_.end()) return;
    still->second->limit.reset();
    const std::string server = still->second->server;
    close(*still->second);
    assign_waiting(server);
  });
}

bool Carrier::cancel_send(const RequestId& part, int send) {
  const auto at = sends_.find({part, send});
  if (at == sends_.end()) return false;
  abandon_send(at->first, fate_on_cancel(at->second.stage));
  return true;
}

void Carrier::probe(const std::string& server) {
  servers::ProbeResult out;
  out.server = server;
  const auto at = servers_.find(server);
  out.fate = at != servers_.end() && at->second.up && closing_servers_.accepts_sends(server, loop_.now())
                 ? SendOutcome::returned
                 : SendOutcome::dial_failed;
  finished_probes.push_back(std::move(out));
}

}  // namespace marbledyke::carrier
