#include "list/discovery_client.h"

#include <algorithm>

#include "list/staleness.h"
#include "log/log.h"

namespace marbledyke::list {
namespace {

constexpr Duration kMaxWait = 60s;  // of discovery's protocol
constexpr std::size_t kMaxListBytes = 8 * 1024 * 1024;

}  // namespace

DiscoveryClient::DiscoveryClient(net::Loop& loop, const config::GathererConfig& config, Duration unix_start,
                                 Callbacks callbacks)
    : loop_(loop),
      settings_(config.settings),
      address_(config.discovery),
      host_(config.discovery_host),
      unix_start_(unix_start),
      callbacks_(std::move(callbacks)),
      connections_{Connection{{}, {}, {net::HttpParser::Kind::response, kMaxListBytes}, {}},
                   Connection{{}, {}, {net::HttpParser::Kind::response, kMaxListBytes}, {}}} {}

void DiscoveryClient::request_list(bool watching) {
  if (connections_[0].call_pending || connections_[1].call_pending)
    return;  // the call in progress brings the same update
  watching_ = watching;
  snapshot_wanted_ = !watching;
  // The first call of a watch does not wait, so that the owner soon has the present list.
  call(connections_[0], Duration::zero());
}

// Calls in progress at the former endpoint are dropped: they may never be answered, or with outdated changes.
// An endpoint's versions have no meaning at another one, so a snapshot is requested.
void DiscoveryClient::set_endpoint(const net::Address& address, const std::string& host) {
  address_ = address;
  host_ = host;
  index_.reset();
  for (Connection& connection : connections_) close(connection);
  request_list(true);
}

void DiscoveryClient::call(Connection& connection, Duration wait) {
  connection.call_pending = true;
  connection.began = loop_.now();
  connection.wait = wait;
  const Duration timeout = wait > Duration::zero() ? wait + kOverdueAfter : kResponseTimeout;
  connection.timeout = loop_.call_at(loop_.now() + timeout, [this, &connection] {
    connection.timeout.reset();
    connection.wait > Duration::zero() ? on_overdue(connection) : fail(connection, "no answer in time");
  });
  connection.parser.reset();
  if (connection.stream && !connection.stream->is_closed()) return write_request(connection);
  update_reserve(1);
  net::Descriptor fd = net::start_connect(address_);
  if (!fd) return fail(connection, "cannot connect");
  connection.former = std::move(connection.stream);
  connection.stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 64 * 1024, 4096,
      net::Stream::Callbacks{[this, &connection] { write_request(connection); },
                             [this, &connection] { on_data(connection); }, nullptr,
                             [this, &connection](bool connected) { on_ended(connection, connected); }});
}

void DiscoveryClient::write_request(Connection& connection) {
  std::string target = "/v1/servers";
  if (!snapshot_wanted_ && index_) {
    target += "?index=" + std::to_string(*index_) + "&wait=" + std::to_string(connection.wait / 1ms);
  }
  log::event(log::Level::debug, "discovery.called", {{"wait_ms", connection.wait / 1ms}});
  connection.stream->out().append("GET " + target + " HTTP/1.1\r\nHost: " + host_ + "\r\n\r\n");
  connection.stream->flush();
}

// The wait is over without a response: a second call is made beside the first. The outcome of the second
// decides, unless the first is answered after all.
void DiscoveryClient::on_overdue(Connection& connection) {
  log::event(log::Level::info, "discovery.overdue", {{"waited_ms", (loop_.now() - connection.began) / 1ms}});
  connection.timeout = loop_.call_at(connection.began + connection.wait + kWaitGrace, [this, &connection] {
    connection.timeout.reset();
    close(connection);
    if (!other_than(connection).call_pending) fail(connection, "no answer in time");
  });
  call(other_than(connection), Duration::zero());
}

void DiscoveryClient::on_data(Connection& connection) {
  net::RingBuffer& in = connection.stream->in();
  while (!in.empty()) {
    if (!connection.call_pending) {  // a response without a request
      log::event(log::Level::warning, "discovery.out_of_step");
      return close(connection);
    }
    in.consume(connection.parser.feed(in.front()));
    if (connection.parser.state() == net::HttpParser::State::malformed)
      return fail(connection, "the answer cannot be read");
    if (connection.parser.state() == net::HttpParser::State::complete) return on_response(connection);
  }
}

// A response of unstated length ends with its connection, but not with a reset: what has arrived then may be
// any part of it.
void DiscoveryClient::on_ended(Connection& connection, bool connected) {
  update_reserve();
  if (!connection.call_pending) return;
  if (connection.stream->was_reset())
    return fail(connection, connected ? "the connection was reset" : "cannot connect");
  connection.parser.on_peer_closed();
  if (connection.parser.state() != net::HttpParser::State::complete)
    return fail(connection, "the connection broke");
  on_response(connection);
}

void DiscoveryClient::on_response(Connection& connection) {
  net::HttpMessage& message = connection.parser.message();
  if (message.target_or_status != "200") return fail(connection, "an answer other than 200");
  ListUpdate update;
  try {
    update = parse_list_update(config::parse(message.body), settings_, unix_start_);
  } catch (const config::BadInput& error) {
    log::event(log::Level::warning, "discovery.bad_list", {{"why", error.what()}});
    return fail(connection, "the list cannot be read");
  }
  log::event(log::Level::debug, "discovery.answered", {{"after_ms", (loop_.now() - connection.began) / 1ms}});
  if (!message.keeps_alive()) connection.stream->close();
  end_call(connection);
  close(other_than(connection));
  if (update.skipped_entries > 0 || update.invalid_addresses > 0)
    log::event(log::Level::warning, "discovery.bad_entries",
               {{"left_out", update.skipped_entries},
                {"first", update.first_error},
                {"addresses", update.invalid_addresses}});
  index_ = update.index;
  callbacks_.on_update(std::move(update));
  if (watching_) {
    snapshot_wanted_ = false;
    call(connection, std::min(settings_.list_poll_interval, kMaxWait));
  }
}

void DiscoveryClient::fail(Connection& connection, const char* reason) {
  const Duration took =
      connection.wait > Duration::zero() ? Duration::zero() : loop_.now() - connection.began;
  for (Connection& one : connections_) close(one);
  watching_ = false;
  log::event(log::Level::info, "discovery.failed",
             {{"why", reason}, {"after_ms", (loop_.now() - connection.began) / 1ms}});
  callbacks_.on_failed(max_backoff(took));
}

void DiscoveryClient::end_call(Connection& connection) {
  if (connection.timeout) loop_.cancel(*connection.timeout);
  connection.timeout.reset();
  connection.call_pending = false;
}

void DiscoveryClient::close(Connection& connection) {
  end_call(connection);
  if (connection.stream) connection.stream->close();
  update_reserve();
}

void DiscoveryClient::update_reserve(std::size_t extra) {
  for (const Connection& connection : connections_)
    extra += connection.stream && !connection.stream->is_closed() ? 1 : 0;
  reserve_.set_in_use(extra);
}

}  // namespace marbledyke::list
