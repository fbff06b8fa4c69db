#include "lab/scale/health_probe.h"

#include <algorithm>
#include <chrono>

namespace marbledyke::lab::scale {
namespace {

using namespace std::chrono_literals;

constexpr Duration kBetween = 1ms;  // short against the turns that are looked for
constexpr std::size_t kMostBytes = 64 * 1024;

}  // namespace

HealthProbe::HealthProbe(net::Loop& loop, const net::Address& gatherer)
    : loop_(loop), reader_(net::HttpParser::Kind::response, kMostBytes) {
  net::Descriptor fd = net::start_connect(gatherer);
  if (!fd) {
    broken_ = true;
    return;
  }
  stream_ = std::make_unique<net::Stream>(loop_, std::move(fd), false, kMostBytes, kMostBytes,
                                          net::Stream::Callbacks{[this] { ask(); }, [this] { arrived(); },
                                                                 nullptr, [this](bool) { broken_ = true; }});
}

HealthProbe::~HealthProbe() {
  if (next_) loop_.cancel(*next_);
}

Duration HealthProbe::longest() const {
  return asked_ ? std::max(longest_, loop_.now() - *asked_) : longest_;
}

void HealthProbe::ask() {
  asked_ = loop_.now();
  stream_->out().append("GET /healthz HTTP/1.1\r\nHost: lab\r\n\r\n");
  stream_->flush();
}

void HealthProbe::arrived() {
  net::RingBuffer& in = stream_->in();
  while (!in.empty() && !broken_) {
    in.consume(reader_.feed(in.front()));
    if (reader_.state() == net::HttpParser::State::incomplete) continue;
    const bool stays = reader_.state() == net::HttpParser::State::complete && reader_.message().keeps_alive();
    reader_.reset();
    if (!asked_ || !stays) {
      broken_ = true;
      return;
    }
    longest_ = std::max(longest_, loop_.now() - *asked_);
    asked_.reset();
    answers_ += 1;
    next_ = loop_.call_at(loop_.now() + kBetween, [this] {
      next_.reset();
      ask();
    });
  }
}

}  // namespace marbledyke::lab::scale
