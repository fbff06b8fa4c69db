#include "net/json_server.h"

#include <unistd.h>

namespace marbledyke::net {
namespace {

using namespace std::chrono_literals;

constexpr Duration kWhole = 2s;     // a request is here within this from its first byte
constexpr Duration kIdle = 30s;     // a connection without one
constexpr Duration kParting = 1s;   // after its last answer, for who does not close
constexpr Duration kWrite = 10s;    // an answer is taken within this
constexpr Duration kSweep = 200ms;  // how often these are looked at
constexpr std::size_t kMostAnswer = 16 * 1024 * 1024;

}  // namespace

struct JsonServer::Connection {
  explicit Connection(std::size_t most_body) : reader(HttpReader::Kind::request, most_body) {}

  // reading, waiting for the owner, answering; parting: what still comes is dropped.
  enum class Phase { reading, waiting, answering, parting };

  Caller number = 0;
  std::unique_ptr<Stream> stream;
  HttpReader reader;
  Phase phase = Phase::reading;
  Duration since{};  // the request's first byte, the beginning of the phase, or the end of the last request
  bool stays = true;
};

JsonServer::JsonServer(Loop& loop, const Address& address, const Bounds& bounds, Told told)
    : loop_(loop), bounds_(bounds), told_(std::move(told)) {
  const std::string text = address.text();
  if (address.family() == Family::local && text.starts_with("unix:/")) {
    path_ = text.substr(5);
    unlink(path_.c_str());
  }
  listener_ = std::make_unique<Listener>(
      loop, address,
      Listener::Told{[this] { return callers_.size() < bounds_.callers; }, [] { return false; },
                     [this](Descriptor fd) { came(std::move(fd)); }});
  sweep();
}

JsonServer::~JsonServer() {
  loop_.cancel(sweep_);
  listener_.reset();
  if (!path_.empty()) unlink(path_.c_str());
}

void JsonServer::came(Descriptor fd) {
  auto made = std::make_unique<Connection>(bounds_.body);
  Connection* const connection = made.get();
  connection->number = next_++;
  connection->since = loop_.now();
  callers_.emplace(connection->number, std::move(made));
  connection->stream =
      std::make_unique<Stream>(loop_, std::move(fd), true, bounds_.body, kMostAnswer,
                               Stream::Told{nullptr, [this, connection] { arrived(*connection); },
                                            [this, connection] { drained(*connection); },
                                            [this, connection](bool) { drop(*connection); }});
}

void JsonServer::drained(Connection& connection) {
  if (connection.phase != Connection::Phase::answering) return;
  connection.since = loop_.now();
  connection.phase = connection.stays ? Connection::Phase::reading : Connection::Phase::parting;
  // A close over bytes that were not read is a reset, which can overtake the answer.
  if (!connection.stays) return connection.stream->finish();
  arrived(connection);
}

void JsonServer::drop(Connection& connection) {
  connection.stream->close();
  const auto at = callers_.find(connection.number);
  if (at == callers_.end()) return;
  const bool waited = connection.phase == Connection::Phase::waiting;
  graves_.push_back(std::move(at->second));
  callers_.erase(at);
  if (graves_.size() == 1) loop_.at(loop_.now(), [this] { graves_.clear(); });
  listener_->again();
  if (waited && told_.left) told_.left(connection.number);
}

void JsonServer::arrived(Connection& connection) {
  using Phase = Connection::Phase;
  Ring& in = connection.stream->in();
  const bool last = !connection.stays && connection.phase == Phase::answering;
  if (connection.phase == Phase::parting || last) {
    in.clear();
    return connection.stream->read_on();
  }
  while (!in.empty() && connection.phase == Phase::reading && !connection.stream->closed()) {
    if (!connection.reader.begun()) connection.since = loop_.now();
    in.drop(connection.reader.take(in.front()));
    if (connection.reader.state() == HttpReader::State::reading) continue;
    if (connection.reader.state() == HttpReader::State::bad)
      return write(connection, {connection.reader.complaint(), R"({"error":"the request cannot be read"})"},
                   false);
    ask(connection);
  }
  if (!connection.stream->closed()) connection.stream->read_on();
}

void JsonServer::ask(Connection& connection) {
  HttpMessage message = std::move(connection.reader.message());
  connection.reader.restart();
  connection.stays = message.stays();
  connection.phase = Connection::Phase::waiting;
  connection.since = loop_.now();
  told_.asked(connection.number,
              {std::move(message.first), std::move(message.second), std::move(message.body)});
}

void JsonServer::answer(Caller caller, const JsonReply& reply) {
  const auto at = callers_.find(caller);
  if (at == callers_.end() || at->second->phase != Connection::Phase::waiting) return;
  write(*at->second, reply, at->second->stays);
}

void JsonServer::write(Connection& connection, const JsonReply& reply, bool stays) {
  connection.phase = Connection::Phase::answering;
  connection.stays = stays;
  connection.since = loop_.now();
  const std::string text =
      answer_text(reply.status, "application/json", reply.body + "\n", stays, Duration{});
  if (!connection.stream->out().put(text)) return drop(connection);
  connection.stream->flush();
}

// Ends what has lasted beyond its bound.
void JsonServer::check(Connection& connection) {
  using Phase = Connection::Phase;
  const Duration lasted = loop_.now() - connection.since;
  if (connection.phase == Phase::parting) {
    if (lasted > kParting) drop(connection);
  } else if (connection.phase == Phase::answering) {
    if (lasted > kWrite) drop(connection);
  } else if (connection.phase == Phase::waiting) {
    if (lasted <= bounds_.deferred) return;
    const Caller number = connection.number;
    write(connection, {503, R"({"error":"no answer in time"})"}, connection.stays);
    if (told_.left) told_.left(number);
  } else if (connection.reader.begun()) {
    if (lasted > kWhole) write(connection, {408, R"({"error":"the request did not end in time"})"}, false);
  } else if (lasted > kIdle) {
    drop(connection);
  }
}

// An owner that is told of one caller may answer others, whose connections may end with that.
void JsonServer::sweep() {
  std::vector<Caller> numbers;
  numbers.reserve(callers_.size());
  for (const auto& [number, connection] : callers_) numbers.push_back(number);
  for (const Caller number : numbers) {
    const auto at = callers_.find(number);
    if (at != callers_.end()) check(*at->second);
  }
  sweep_ = loop_.at(loop_.now() + kSweep, [this] { sweep(); });
}

}  // namespace marbledyke::net
