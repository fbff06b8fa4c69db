#include "sru/front.h"

#include <algorithm>

#include "log/log.h"

namespace marbledyke::sru {
namespace {

using namespace std::chrono_literals;
using search::Trouble;

constexpr Duration kSweep = 100ms;
constexpr Duration kSaysNothing = 2s;  // before its first request, or within one
constexpr Duration kIdle = 60s;        // between requests
constexpr std::size_t kMostAnswer = 16 * 1024 * 1024;
constexpr std::size_t kMostDropped = 256 * 1024;

// Sets of clients that never say goodbye share one session, bounded as all sessions are together.
search::Terms shared(search::Terms terms) {
  terms.limits.sets = terms.limits.all_sets;
  terms.limits.operations = terms.limits.sessions;
  terms.limits.sessions = 1;
  // It must not end before the sets in it: clients are told how long these live.
  terms.limits.idle = std::max(terms.limits.idle, terms.limits.set_life);
  return terms;
}

}  // namespace

struct Front::Caller {
  std::uint64_t number = 0;
  std::unique_ptr<net::Stream> stream;
  net::HttpParser reader;
  Request request;
  Duration first_byte{}, since{};
  search::Operation waits = 0;
  bool in_hand = false, answering = false, spoken = false, stays = true, parting = false;
  std::size_t dropped = 0;

  explicit Caller(std::size_t most_body) : reader(net::HttpParser::Kind::request, most_body) {}
};

Front::Front(net::Loop& loop, const search::Terms& terms, const config::ServiceSettings& settings,
             const net::Address& listen, std::uint32_t seed, std::size_t most)
    : DeskFront(loop, shared(terms), settings, seed),
      listen_(listen),
      most_(most),
      listener_(std::make_unique<net::Listener>(
          loop, listen,
          net::Listener::Callbacks{[this] { return callers_.size() < most_ || release_connection(); },
                                   [this] { return release_connection(); },
                                   [this](net::Descriptor fd) { came(std::move(fd)); }})) {
  sweep();
}

Front::~Front() {
  if (swept_) loop_.cancel(*swept_);
}

search::Session Front::session() {
  if (session_ == 0) session_ = desk_.open().value_or(0);
  return session_;
}

void Front::session_over(search::Session over) {
  // Nobody has asked for long; with it go its sets, which have had their time as well.
  desk_.close(over);
  session_ = 0;
}

void Front::came(net::Descriptor fd) {
  tally_.accepted += 1;
  auto made = std::make_unique<Caller>(desk_.limits().message);
  Caller* const caller = made.get();
  caller->number = next_++;
  caller->since = loop_.now();
  callers_.emplace(caller->number, std::move(made));
  caller->stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), true, desk_.limits().message, kMostAnswer,
      net::Stream::Callbacks{nullptr, [this, caller] { arrived(*caller); },
                             [this, caller] { drained(*caller); }, [this, caller](bool) { close(*caller); }});
}

void Front::arrived(Caller& caller) {
  net::RingBuffer& in = caller.stream->in();
  if (caller.parting) {
    caller.dropped += in.size();
    if (caller.dropped <= kMostDropped) in.clear();
    return;
  }
  while (!caller.in_hand && !caller.answering && !caller.stream->is_closed() && !in.empty()) {
    if (!caller.reader.has_started()) caller.first_byte = loop_.now();
    caller.spoken = true;
    in.consume(caller.reader.feed(in.front()));
    if (caller.reader.state() == net::HttpParser::State::malformed) {
      tally_.unreadable += 1;
      caller.in_hand = true;
      caller.stays = false;
      static log::RateLimitedEvent throttled(log::Level::info, "sru.unreadable");
      throttled.write({{"status", caller.reader.error_status()}});
      return say(caller, caller.reader.error_status(), "the request cannot be read\n");
    }
    if (caller.reader.state() == net::HttpParser::State::complete) return request(caller);
  }
}

void Front::request(Caller& caller) {
  tally_.requests += 1;
  caller.in_hand = true;
  const net::HttpMessage& message = caller.reader.message();
  caller.stays = message.keeps_alive() && !parting_;
  if (message.target_or_status == "/healthz")
    return say(caller, leaving_ ? 503 : 200, leaving_ ? "stopping\n" : "serving\n");
  if (message.method_or_version != "GET" && message.method_or_version != "POST")
    return say(caller, 405, "GET and POST are answered here\n");
  caller.request = read_request(message);
  Request& its = caller.request;
  if (its.database.empty() && desk_.terms().databases.size() == 1)
    its.database = desk_.terms().databases.front().name;
  const search::Database* database = search::find(desk_.terms(), its.database);
  if (its.wrong.what == Trouble::none && database == nullptr)
    its.wrong = {Trouble::unknown_database, its.database};
  if (its.wrong.what != Trouble::none) {
    static log::RateLimitedEvent throttled(log::Level::info, "sru.bad_request");
    throttled.write({{"diagnostic", number_of(its.wrong.what)}, {"why", its.wrong.detail}});
    return say(caller, 200, diagnostic_body(its, its.wrong));
  }
  if (its.verb == Verb::explain) {
    const std::string at = listen_.text();
    const std::size_t colon = at.rfind(':');
    return say(
        caller, 200,
        explain_body(its, *database, at.substr(0, colon), std::atoi(at.c_str() + colon + 1), desk_.limits()));
  }
  const search::When when{caller.first_byte, its.patience};
  if (its.verb == Verb::scan) {
    search::ScanAsk ask;
    ask.database = its.database;
    ask.index = its.index;
    ask.term = its.term;
    ask.count = its.terms;
    ask.position = its.position;
    caller.waits = desk_.scan(session(), ask, when);
  } else if (!its.result_set.empty()) {
    search::PresentAsk ask;
    ask.set = its.result_set;
    ask.first = its.first;
    ask.count = its.count;
    ask.schema = its.schema;
    caller.waits = desk_.present(session(), ask, when);
  } else {
    search::SearchAsk ask;
    ask.databases = {its.database};
    ask.query = its.query;
    ask.first = its.first;
    ask.count = its.count;
    ask.schema = its.schema;
    ask.sort = its.sort;
    ask.life = its.set_life > 0s ? its.set_life : desk_.limits().set_life;
    caller.waits = desk_.search(session(), std::move(ask), when);
  }
  waiting_[caller.waits] = caller.number;
  pump();
}

void Front::replied(search::Reply&& reply) {
  const auto at = waiting_.find(reply.operation);
  if (at == waiting_.end()) return;
  const auto who = callers_.find(at->second);
  waiting_.erase(at);
  if (who == callers_.end()) return;
  Caller& caller = *who->second;
  caller.waits = 0;
  const std::string body = caller.request.verb == Verb::scan ? scan_body(caller.request, reply)
                                                             : search_body(caller.request, reply);
  // Nothing has run: HTTP's own word for it, so that whatever stands between does not keep the answer.
  const bool later =
      reply.diagnostic.what == Trouble::unavailable || reply.diagnostic.what == Trouble::too_busy;
  say(caller, later ? 503 : 200, body, reply.come_back);
}

void Front::say(Caller& caller, int status, const std::string& body, Duration come_back) {
  if (!check_invariant(caller.in_hand, "an SRU answer belongs to a request in hand")) return;
  caller.in_hand = false;
  caller.answering = true;
  caller.since = loop_.now();
  if (parting_) caller.stays = false;
  caller.reader.reset();
  if (!caller.stream->out().append(net::format_response(
          status, body.starts_with('<') ? "application/xml; charset=utf-8" : "text/plain", body, caller.stays,
          come_back)))
    return close(caller);
  caller.stream->flush();
}

void Front::drained(Caller& caller) {
  caller.since = loop_.now();
  if (!caller.stays) {
    caller.answering = false;
    return part(caller);
  }
  // What came meanwhile has its turn after everyone else's.
  loop_.call_at(loop_.now(), [this, number = caller.number, there = std::weak_ptr(there_)] {
    if (there.expired()) return;
    const auto at = callers_.find(number);
    if (at == callers_.end()) return;
    Caller& next = *at->second;  // may be closed below, but is destroyed only after the turn
    next.answering = false;
    arrived(next);
    next.stream->resume_reading();
  });
}

void Front::part(Caller& caller) {
  caller.parting = true;
  caller.since = loop_.now();
  caller.stream->in().clear();
  caller.stream->shutdown_write();
  caller.stream->resume_reading();
}

void Front::close(Caller& caller) {
  caller.stream->close();
  const auto at = callers_.find(caller.number);
  if (at == callers_.end()) return;
  if (caller.waits != 0) {
    waiting_.erase(caller.waits);
    desk_.abandon(caller.waits);
  }
  graves_.push_back(std::move(at->second));
  callers_.erase(at);
  if (listener_) listener_->resume();
  pump();
}

// Every wait on a client has its limit here.
void Front::sweep() {
  const Duration now = loop_.now();
  std::vector<Caller*> over, unended;
  for (const auto& [number, caller] : callers_) {
    if (caller->in_hand) continue;
    if (caller->parting                ? now >= caller->since + settings_.connect_timeout
        : caller->answering            ? now >= caller->since + settings_.max_route_timeout
        : caller->reader.has_started() ? false
                                       : now >= caller->since + (caller->spoken ? kIdle : kSaysNothing)) {
      tally_.silent += caller->spoken ? 0 : 1;
      over.push_back(caller.get());
    } else if (caller->reader.has_started() && !caller->answering &&
               now >= caller->first_byte + kSaysNothing) {
      unended.push_back(caller.get());
    }
  }
  for (Caller* caller : unended) {
    caller->in_hand = true;
    caller->stays = false;
    say(*caller, 408, "the request does not end\n");
  }
  for (Caller* caller : over) close(*caller);
  swept_ = loop_.call_at(now + kSweep, [this] { sweep(); });
}

bool Front::release_connection() {
  Caller* best = nullptr;
  const auto spared = [](const Caller& caller) {
    return std::make_pair(caller.parting                ? 0
                          : !caller.spoken              ? 1
                          : caller.reader.has_started() ? 3
                                                        : 2,
                          caller.since);
  };
  for (const auto& [number, caller] : callers_) {
    if (caller->in_hand || caller->answering) continue;
    if (best == nullptr || spared(*caller) < spared(*best)) best = caller.get();
  }
  if (best == nullptr) return false;
  tally_.evicted += 1;
  close(*best);
  return true;
}

void Front::announce_stop() { leaving_ = true; }

void Front::close_after_answers() { parting_ = true; }

void Front::stop_accepting() {
  if (listener_) listener_->stop();
}

void Front::close_idle(Duration since) {
  std::vector<Caller*> idle;
  for (const auto& [number, caller] : callers_) {
    if (caller->in_hand || caller->answering || caller->parting) continue;
    if (!caller->reader.has_started() || caller->first_byte < since) idle.push_back(caller.get());
  }
  for (Caller* caller : idle) close(*caller);
}

void Front::destroy_closed() { graves_.clear(); }

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
