#include "standins/discovery.h"

#include <cerrno>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <system_error>

namespace marbledyke::standins {

using nlohmann::json;

namespace {

constexpr std::size_t kMostBody = 64 * 1024;
constexpr std::size_t kMostAnswer = 16 * 1024 * 1024;
constexpr std::int64_t kLongestWait = 60'000;

std::optional<std::int64_t> value_of(const std::string& target, const std::string& key) {
  const std::size_t at = target.find(key + "=");
  if (at == std::string::npos) return std::nullopt;
  std::int64_t out = 0;
  const char* const from = target.data() + at + key.size() + 1;
  if (std::from_chars(from, target.data() + target.size(), out).ec != std::errc()) return std::nullopt;
  return out;
}

}  // namespace

struct Discovery::Caller {
  std::uint64_t number = 0;
  std::unique_ptr<net::Stream> stream;
  net::HttpParser reader{net::HttpParser::Kind::request, kMostBody};
  std::optional<std::int64_t> waits_since;
  std::optional<net::Loop::Timer> limit;
};

Discovery::Discovery(net::Loop& loop, const net::Address& address)
    : loop_(loop), listener_(net::listen_on(address)) {
  if (!listener_) throw std::system_error(errno, std::generic_category(), address.text());
  place_ = loop_.watch(listener_.get(), *this);
}

Discovery::~Discovery() {
  for (const auto& [number, caller] : callers_) {
    if (caller->limit) loop_.cancel(*caller->limit);
  }
  loop_.unwatch(listener_.get(), place_);
}

void Discovery::set(const Listed& server) {
  servers_[server.name] = {++version_, server};
  std::vector<Caller*> waiting;
  for (const auto& [number, caller] : callers_) {
    if (caller->waits_since) waiting.push_back(caller.get());
  }
  for (Caller* caller : waiting) answer(*caller, *caller->waits_since);
}

std::string Discovery::body(std::int64_t since) const {
  json out = {{"index", version_}, {"snapshot", since < 0}, {"endpoints", json::array()}};
  for (const auto& [name, one] : servers_) {
    const auto& [changed, server] = one;
    if (changed <= since || (since < 0 && server.status == "gone")) continue;
    json entry = {{"name", server.name},        {"address", server.address}, {"zone", server.zone},
                  {"group", server.cell},       {"status", server.status},   {"weight", 1.0},
                  {"since_ms", server.since_ms}};
    if (!server.more_addresses.empty()) entry["addresses"] = server.more_addresses;
    out["endpoints"].push_back(std::move(entry));
  }
  return out.dump();
}

void Discovery::on_ready(bool, bool) {
  graves_.clear();
  for (;;) {
    net::Descriptor fd = net::accept_connection(listener_.get());
    if (!fd) return;
    auto made = std::make_unique<Caller>();
    Caller* const caller = made.get();
    caller->number = next_++;
    callers_.emplace(caller->number, std::move(made));
    caller->stream = std::make_unique<net::Stream>(
        loop_, std::move(fd), true, kMostBody, kMostAnswer,
        net::Stream::Callbacks{nullptr, [this, caller] { arrived(*caller); }, nullptr,
                               [this, caller](bool) {
                                 if (caller->limit) loop_.cancel(*caller->limit);
                                 caller->stream->close();
                                 const auto at = callers_.find(caller->number);
                                 if (at == callers_.end()) return;
                                 graves_.push_back(std::move(at->second));
                                 callers_.erase(at);
                               }});
  }
}

void Discovery::arrived(Caller& caller) {
  net::RingBuffer& in = caller.stream->in();
  while (!in.empty() && !caller.stream->is_closed() && !caller.waits_since) {
    in.consume(caller.reader.feed(in.front()));
    if (caller.reader.state() == net::HttpParser::State::malformed) return caller.stream->close();
    if (caller.reader.state() != net::HttpParser::State::complete) continue;
    const std::string target = caller.reader.message().target_or_status;
    caller.reader.reset();
    const auto since = value_of(target, "index");
    const auto wait = value_of(target, "wait");
    if (!since || refusing_) {
      answer(caller, -1);
    } else if (*since < version_ || wait.value_or(0) <= 0) {
      answer(caller, *since);
    } else {
      caller.waits_since = since;
      caller.limit = loop_.call_at(loop_.now() + std::chrono::milliseconds(std::min(*wait, kLongestWait)),
                                   [this, &caller] {
                                     caller.limit.reset();
                                     answer(caller, *caller.waits_since);
                                   });
    }
  }
}

void Discovery::refuse(bool all) {
  refusing_ = all;
  std::vector<Caller*> waiting;
  for (const auto& [number, caller] : callers_) {
    if (all && caller->waits_since) waiting.push_back(caller.get());
  }
  for (Caller* caller : waiting) answer(*caller, -1);
}

void Discovery::answer(Caller& caller, std::int64_t since) {
  if (caller.limit) loop_.cancel(*caller.limit);
  caller.limit.reset();
  caller.waits_since.reset();
  const std::string text = refusing_ ? "not now\n" : body(since);
  caller.stream->out().append((refusing_ ? "HTTP/1.1 503 Service Unavailable\r\n"
                                         : "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n") +
                              ("Content-Length: " + std::to_string(text.size()) + "\r\n\r\n") + text);
  caller.stream->flush();
  if (!told || refusing_) return;
  for (const auto& [name, one] : servers_) {
    if (one.first > since) told(one.second);
  }
}

}  // namespace marbledyke::standins
