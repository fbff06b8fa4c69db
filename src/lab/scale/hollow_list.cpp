#include "lab/scale/hollow_list.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <optional>
#include <system_error>
#include <utility>

namespace marbledyke::lab::scale {
namespace {

constexpr std::size_t kMostCall = 64 * 1024;           // bytes of a call
constexpr std::size_t kMostAnswer = 16 * 1024 * 1024;  // bytes of an answer
constexpr std::int64_t kLongestWait = 60'000;          // ms, of the list's protocol
constexpr std::int64_t kWhole = -1;                    // "since" of a whole list

std::optional<std::int64_t> number_in(const std::string& target, const std::string& key) {
  const std::size_t at = target.find(key + "=");
  if (at == std::string::npos) return std::nullopt;
  std::int64_t out = 0;
  const char* const from = target.data() + at + key.size() + 1;
  if (std::from_chars(from, target.data() + target.size(), out).ec != std::errc()) return std::nullopt;
  return out;
}

std::int64_t unix_milliseconds() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

}  // namespace

struct HollowList::Caller {
  std::uint64_t number = 0;
  std::unique_ptr<net::Stream> stream;
  net::HttpParser reader{net::HttpParser::Kind::request, kMostCall};
  std::optional<std::int64_t> waits_since;
  std::optional<net::Loop::Timer> limit;
};

HollowList::HollowList(net::Loop& loop, const net::Address& listen, const std::vector<ListedServer>& servers)
    : loop_(loop), listener_(net::listen_on(listen)) {
  if (!listener_) throw std::system_error(errno, std::generic_category(), listen.text());
  place_ = loop_.watch(listener_.get(), *this);
  entries_.reserve(servers.size());
  for (const ListedServer& server : servers) entries_.push_back({server});
}

HollowList::~HollowList() {
  for (const auto& [number, caller] : callers_) {
    if (caller->limit) loop_.cancel(*caller->limit);
  }
  loop_.unwatch(listener_.get(), place_);
}

void HollowList::change(std::size_t server) {
  Entry& entry = entries_[server];
  entry.listed = !entry.listed;
  entry.changed = ++index_;
  entry.since_ms = unix_milliseconds();
  answer_waiting(index_ - 1);
}

void HollowList::tell_whole() {
  ++index_;
  answer_waiting(kWhole);
}

void HollowList::refuse(bool on) {
  refusing_ = on;
  if (on) answer_waiting(kWhole);
}

void HollowList::answer_waiting(std::int64_t since) {
  std::vector<Caller*> waiting;
  for (const auto& [number, caller] : callers_) {
    if (caller->waits_since) waiting.push_back(caller.get());
  }
  for (Caller* const caller : waiting) answer(*caller, std::min(since, *caller->waits_since));
}

std::string HollowList::body(std::int64_t since) const {
  std::string out = "{\"index\":" + std::to_string(index_) +
                    ",\"snapshot\":" + (since == kWhole ? "true" : "false") + ",\"endpoints\":[";
  bool first = true;
  for (const Entry& entry : entries_) {
    if (entry.changed <= since || (since == kWhole && !entry.listed)) continue;
    if (!std::exchange(first, false)) out += ',';
    out += "{\"name\":\"" + entry.server.name + "\",\"address\":\"" + entry.server.address +
           "\",\"zone\":\"" + entry.server.zone + "\",\"group\":" + std::to_string(entry.server.cell) +
           ",\"status\":\"" + (entry.listed ? "ready" : "gone") +
           "\",\"weight\":1.0,\"since_ms\":" + std::to_string(entry.since_ms) + '}';
  }
  return out + "]}";
}

void HollowList::on_ready(bool, bool) {
  graves_.clear();
  while (net::Descriptor fd = net::accept_connection(listener_.get())) accept(std::move(fd));
}

void HollowList::accept(net::Descriptor fd) {
  auto made = std::make_unique<Caller>();
  Caller* const caller = made.get();
  caller->number = next_caller_++;
  callers_.emplace(caller->number, std::move(made));
  caller->stream =
      std::make_unique<net::Stream>(loop_, std::move(fd), true, kMostCall, kMostAnswer,
                                    net::Stream::Callbacks{nullptr, [this, caller] { arrived(*caller); },
                                                           nullptr, [this, caller](bool) { gone(*caller); }});
}

void HollowList::gone(Caller& caller) {
  if (caller.limit) loop_.cancel(*caller.limit);
  caller.stream->close();
  const auto at = callers_.find(caller.number);
  if (at == callers_.end()) return;
  graves_.push_back(std::move(at->second));
  callers_.erase(at);
}

void HollowList::arrived(Caller& caller) {
  net::RingBuffer& in = caller.stream->in();
  while (!in.empty() && !caller.stream->is_closed() && !caller.waits_since) {
    const std::size_t taken = caller.reader.feed(in.front());
    tally_.bytes_read += taken;
    in.consume(taken);
    if (caller.reader.state() == net::HttpParser::State::malformed) return gone(caller);
    if (caller.reader.state() != net::HttpParser::State::complete) continue;
    const std::string target = caller.reader.message().target_or_status;
    caller.reader.reset();
    called(caller, target);
  }
}

void HollowList::called(Caller& caller, const std::string& target) {
  tally_.calls += 1;
  const auto since = number_in(target, "index");
  const std::int64_t wait = number_in(target, "wait").value_or(0);
  if (since && *since > named_) {
    named_ = *since;
    named_at_ = loop_.now();
  }
  if (!since || refusing_) return answer(caller, kWhole);
  if (*since < index_ || wait <= 0) return answer(caller, *since);
  caller.waits_since = since;
  const Duration until = loop_.now() + std::chrono::milliseconds(std::min(wait, kLongestWait));
  caller.limit = loop_.call_at(until, [this, &caller] {
    caller.limit.reset();
    answer(caller, *caller.waits_since);
  });
}

void HollowList::answer(Caller& caller, std::int64_t since) {
  if (caller.limit) loop_.cancel(*caller.limit);
  caller.limit.reset();
  caller.waits_since.reset();
  const std::string text = refusing_ ? "not now\n" : body(since);
  const std::string head = refusing_ ? "HTTP/1.1 503 Service Unavailable\r\n"
                                     : "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
  const std::string whole = head + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
  if (!refusing_ && since == kWhole) tally_.wholes += 1;
  tally_.bytes_written += whole.size();
  caller.stream->out().append(whole);
  caller.stream->flush();
}

}  // namespace marbledyke::lab::scale
