#include "keeper/control.h"

#include <unistd.h>

namespace marbledyke::keeper {
namespace {

using namespace std::chrono_literals;

constexpr Span kWhole = 2s;   // a request is here within this from its first byte
constexpr Span kIdle = 30s;   // a connection without one
constexpr Span kParting = 1s;  // after its last answer, for who does not close
constexpr Span kWrite = 10s;  // an answer is taken within this
constexpr std::size_t kMostAnswer = 16 * 1024 * 1024;

}  // namespace

struct Control::Caller {
  std::uint64_t number = 0;
  std::unique_ptr<net::Stream> stream;
  net::HttpReader reader{net::HttpReader::Kind::request, kMostBody};
  Span since{};  // its first byte; or the end of the last request
  enum class At { reading, answering, parting } at = At::reading;  // parting: what still comes is dropped
  bool stays = true;
};

Control::Control(net::Loop& loop, const net::Address& address, Asked asked)
    : loop_(loop), asked_(std::move(asked)) {
  const std::string text = address.text();
  if (address.family() == net::Family::local && text.starts_with("unix:/")) {
    path_ = text.substr(5);
    unlink(path_.c_str());
  }
  listener_ = std::make_unique<net::Listener>(
      loop, address,
      net::Listener::Told{[this] { return callers_.size() < kMostCallers; }, [] { return false; },
                          [this](net::Descriptor fd) { came(std::move(fd)); }});
  sweep();
}

Control::~Control() {
  loop_.cancel(sweep_);
  listener_.reset();
  if (!path_.empty()) unlink(path_.c_str());
}

void Control::came(net::Descriptor fd) {
  auto made = std::make_unique<Caller>();
  Caller* const caller = made.get();
  caller->number = next_++;
  caller->since = loop_.now();
  callers_.emplace(caller->number, std::move(made));
  caller->stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), true, kMostBody, kMostAnswer,
      net::Stream::Told{nullptr, [this, caller] { arrived(*caller); },
                        [this, caller] {
                          if (caller->at != Caller::At::answering) return;
                          caller->since = loop_.now();
                          caller->at = caller->stays ? Caller::At::reading : Caller::At::parting;
                          // A close over bytes that were not read is a reset, which can overtake the answer.
                          if (!caller->stays) return caller->stream->finish();
                          arrived(*caller);
                        },
                        [this, caller](bool) { drop(*caller); }});
}

void Control::drop(Caller& caller) {
  caller.stream->close();
  const auto at = callers_.find(caller.number);
  if (at == callers_.end()) return;
  graves_.push_back(std::move(at->second));
  callers_.erase(at);
  if (graves_.size() == 1) loop_.at(loop_.now(), [this] { graves_.clear(); });
  listener_->again();
}

void Control::arrived(Caller& caller) {
  net::Ring& in = caller.stream->in();
  if (caller.at == Caller::At::parting || (caller.at == Caller::At::answering && !caller.stays)) {
    in.clear();
    return caller.stream->read_on();
  }
  while (!in.empty() && caller.at == Caller::At::reading && !caller.stream->closed()) {
    if (!caller.reader.begun()) caller.since = loop_.now();
    in.drop(caller.reader.take(in.front()));
    if (caller.reader.state() == net::HttpReader::State::reading) continue;
    if (caller.reader.state() == net::HttpReader::State::bad)
      return answer(caller, {caller.reader.complaint(), R"({"error":"the request cannot be read"})"}, false);
    const net::HttpMessage message = std::move(caller.reader.message());
    caller.reader.restart();
    answer(caller, asked_(message.first, message.second, message.body), message.stays());
  }
  if (!caller.stream->closed()) caller.stream->read_on();
}

void Control::answer(Caller& caller, const Reply& reply, bool stays) {
  caller.at = Caller::At::answering;
  caller.stays = stays;
  caller.since = loop_.now();
  if (!caller.stream->out().put(
          net::answer_text(reply.status, "application/json", reply.body + "\n", stays, Span{})))
    return drop(caller);
  caller.stream->flush();
}

void Control::sweep() {
  for (auto at = callers_.begin(); at != callers_.end();) {
    Caller& caller = *(at++)->second;
    const Span waited = loop_.now() - caller.since;
    if (caller.at == Caller::At::parting) {
      if (waited > kParting) drop(caller);
    } else if (caller.at == Caller::At::answering) {
      if (waited > kWrite) drop(caller);
    } else if (caller.reader.begun()) {
      if (waited > kWhole) answer(caller, {408, R"({"error":"the request did not end in time"})"}, false);
    } else if (waited > kIdle) {
      drop(caller);
    }
  }
  sweep_ = loop_.at(loop_.now() + 200ms, [this] { sweep(); });
}

}  // namespace marbledyke::keeper
