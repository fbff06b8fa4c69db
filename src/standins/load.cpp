#include "standins/load.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

namespace marbledyke::standins {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kMostConnections = 200;
constexpr std::size_t kMostWaiting = 100'000;
}  // namespace

struct Load::Connection {
  std::uint64_t number = 0;
  std::unique_ptr<net::Stream> stream;
  net::HttpParser reader{net::HttpParser::Kind::response, 1024 * 1024};
  std::optional<Request> request;
  std::optional<net::Loop::Timer> limit;
  bool used = false;  // has had an answer
};

Load::Load(net::Loop& loop, const net::Address& to, const LoadOptions& options)
    : loop_(loop),
      to_(to),
      options_(options),
      chance_(options.seed),
      begun_(loop.now()),
      next_due_(loop.now()) {
  next();
}

Load::~Load() = default;

double Load::rate_at(Duration now) const {
  if (options_.ramp_to <= 0) return options_.rate;
  const double share = std::chrono::duration<double>(now - begun_).count() / options_.seconds;
  return options_.rate + (options_.ramp_to - options_.rate) * share;
}

// All that is due by now; what is due later is left to a timer.
void Load::next() {
  graves_.clear();
  while (!finished_ && next_due_ <= loop_.now()) {
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08llx", options_.seed,
                  static_cast<unsigned long long>(next_request_++));
    tally_.due += 1;
    send({next_due_, id});
    const double gap = std::exponential_distribution<double>(rate_at(next_due_))(chance_);
    next_due_ += Duration(static_cast<std::int64_t>(gap * 1e6));
    finished_ = next_due_ > begun_ + std::chrono::seconds(options_.seconds);
  }
  if (!finished_) loop_.call_at(next_due_, [this] { next(); });
}

void Load::send(Request request) {
  if (!idle_.empty() && !request.again) {
    Connection& connection = *connections_.at(idle_.back());
    idle_.pop_back();
    connection.request = std::move(request);
    return write(connection);
  }
  if (connections_.size() >= kMostConnections) {
    if (waiting_.size() < kMostWaiting) {
      waiting_.push_back(std::move(request));
    } else {
      tally_.failed += 1;
    }
    return;
  }
  net::Descriptor fd = net::start_connect(to_);
  if (!fd) {
    tally_.cut += 1;
    return;
  }
  auto made = std::make_unique<Connection>();
  Connection* const connection = made.get();
  connection->number = next_connection_++;
  connection->request = std::move(request);
  connections_.emplace(connection->number, std::move(made));
  tally_.opened += 1;
  connection->stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 256 * 1024, 64 * 1024,
      net::Stream::Callbacks{[this, connection] { write(*connection); },
                             [this, connection] { arrived(*connection); }, nullptr,
                             [this, connection](bool) { ended(*connection); }});
  connection->stream->flush();
  begin(*connection);
}

// Its time runs from when it was due.
void Load::begin(Connection& connection) {
  ++out_;
  const std::uint64_t number = connection.number;
  const Duration until = connection.request->due + std::chrono::milliseconds(options_.timeout_ms);
  connection.limit = loop_.call_at(until, [this, number] {
    const auto at = connections_.find(number);
    if (at == connections_.end() || !at->second->request) return;
    at->second->limit.reset();
    tally_.timed_out += 1;
    at->second->stream->close();
    drop(*at->second);
  });
}

void Load::write(Connection& connection) {
  if (!connection.request) return;
  if (!connection.limit) begin(connection);
  const auto first = static_cast<int>(chance_() % static_cast<unsigned>(options_.shards));
  const int parts = std::min(options_.parts, options_.shards);
  char mass[32];
  std::snprintf(mass, sizeof mass, "%.9g", 1.0 / parts);
  std::string slices;
  for (int i = 0; i < parts; ++i)
    slices += (i == 0 ? "{\"slice\":" : ",{\"slice\":") + std::to_string((first + i) % options_.shards) +
              ",\"mass\":" + mass + "}";
  const std::string body = "{\"slices\":[" + slices + "],\"filter\":\"c41e77d0\"}";
  // The client's time is up by when the request was due.
  const auto left =
      std::max<std::int64_t>(options_.timeout_ms - (loop_.now() - connection.request->due) / 1ms, 1);
  connection.stream->out().append(
      "POST /api HTTP/1.1\r\nHost: lab\r\nX-Request-Id: " + connection.request->id +
      "\r\nX-Class: " + options_.op_type + "\r\nX-Tenant: lab\r\nX-Deadline-Ms: " + std::to_string(left) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  connection.stream->flush();
}

void Load::arrived(Connection& connection) {
  net::RingBuffer& in = connection.stream->in();
  while (!in.empty() && !connection.stream->is_closed()) {
    in.consume(connection.reader.feed(in.front()));
    if (connection.reader.state() == net::HttpParser::State::incomplete) continue;
    if (connection.reader.state() == net::HttpParser::State::malformed || !connection.request) {
      connection.stream->close();
      return ended(connection);
    }
    const net::HttpMessage message = std::move(connection.reader.message());
    connection.reader.reset();
    if (message.target_or_status == "200") {
      tally_.answered += 1;
      tally_.whole += message.body.find("\"entire\":true") != std::string::npos ? 1 : 0;
      latencies_.add(loop_.now() - connection.request->due);
    } else if (message.target_or_status == "429" || message.target_or_status == "503") {
      tally_.pushed_back += 1;
    } else {
      tally_.failed += 1;
    }
    connection.request.reset();
    connection.used = true;
    if (connection.limit) loop_.cancel(*connection.limit);
    connection.limit.reset();
    --out_;
    if (!message.keeps_alive()) {
      connection.stream->close();
      return drop(connection);
    }
    free(connection);
  }
}

void Load::free(Connection& connection) {
  if (waiting_.empty()) {
    idle_.push_back(connection.number);
    return;
  }
  connection.request = std::move(waiting_.front());
  waiting_.pop_front();
  write(connection);
}

// A kept connection that ends without a word may have crossed with the request: whoever sent one that may be
// repeated sends it once more, on another connection (RFC 9112, 9.3.1).
void Load::ended(Connection& connection) {
  const bool crossed = connection.request && connection.used && !connection.reader.has_started() &&
                       options_.may_repeat && !connection.request->again;
  if (!crossed) {
    if (connection.request) tally_.cut += 1;
    return drop(connection);
  }
  Request request = *connection.request;
  request.again = true;
  tally_.sent_again += 1;
  drop(connection);
  loop_.call_at(loop_.now(), [this, request] { send(request); });
}

void Load::drop(Connection& connection) {
  if (connection.limit) loop_.cancel(*connection.limit);
  connection.limit.reset();
  if (connection.request) --out_;
  std::erase(idle_, connection.number);
  const auto at = connections_.find(connection.number);
  if (at == connections_.end()) return;
  graves_.push_back(std::move(at->second));
  connections_.erase(at);
  if (waiting_.empty()) return;
  Request request = std::move(waiting_.front());
  waiting_.pop_front();
  loop_.call_at(loop_.now(), [this, request] { send(request); });
}

std::string Load::result() const {
  const auto ms = [&](double share) { return static_cast<double>(latencies_.at(share).count()) / 1000; };
  nlohmann::ordered_json out = {{"due", tally_.due},
                                {"answered", tally_.answered},
                                {"whole", tally_.whole},
                                {"pushed_back", tally_.pushed_back},
                                {"failed", tally_.failed},
                                {"timed_out", tally_.timed_out},
                                {"cut_off", tally_.cut},
                                {"sent_again", tally_.sent_again},
                                {"connections", tally_.opened},
                                {"p50_ms", ms(0.5)},
                                {"p90_ms", ms(0.9)},
                                {"p99_ms", ms(0.99)},
                                {"p99_9_ms", ms(0.999)},
                                {"p99_99_ms", ms(0.9999)},
                                {"most_ms", static_cast<double>(latencies_.most().count()) / 1000}};
  return out.dump();
}

}  // namespace marbledyke::standins
