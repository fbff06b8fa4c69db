#include "list/watch.h"

#include <algorithm>

#include "log/log.h"

namespace marbledyke::list {
namespace {

using namespace std::chrono_literals;

// The protocol's figures: an answer is deemed told 6 s after a call, or 2 s after the end of its wait, which
// is 60 s at most. A call is given up a second before that: who asks anew only then, after a rest that spreads those who
// do, hears of a drain when its grace is over. Harm: a call more where discovery takes that long.
constexpr Span kBeforeTold = 1s;
constexpr Span kPlainPatience = 6s - kBeforeTold;
constexpr Span kAfterWait = 2s - kBeforeTold;
constexpr Span kLongestWait = 60s;
constexpr std::size_t kMostList = 8 * 1024 * 1024;

}  // namespace

Watch::Watch(net::Loop& loop, const config::Commission& commission, Span unix_start, Told told)
    : loop_(loop),
      carriage_(commission.carriage),
      address_(commission.discovery),
      host_(commission.discovery_host),
      unix_start_(unix_start),
      told_(std::move(told)),
      reader_(net::HttpReader::Kind::answer, kMostList) {}

void Watch::ask(bool watching) {
  if (calling_) return;  // what is out brings the same news
  watching_ = watching;
  whole_ = !watching;
  // The first call of a watch does not wait, so that whoever asked soon knows where things stand.
  wait_ = Span::zero();
  call();
}

// The call that is out is given up with the old place: it may never be answered, or with what is old news by
// then. The versions of one place say nothing at another, so the whole list is asked for.
void Watch::move(const net::Address& address, const std::string& host) {
  address_ = address;
  host_ = host;
  index_.reset();
  if (patience_) loop_.cancel(*patience_);
  patience_.reset();
  calling_ = false;
  if (stream_) stream_->close();
  ask(true);
}

void Watch::call() {
  calling_ = true;
  const Span patience = wait_ > Span::zero() ? wait_ + kAfterWait : kPlainPatience;
  patience_ = loop_.at(loop_.now() + patience, [this] {
    patience_.reset();
    failed("no answer in time");
  });
  reader_.restart();
  if (stream_ && !stream_->closed()) return write();
  net::Descriptor fd = net::start_connect(address_);
  if (!fd) return failed("cannot connect");
  last_ = std::move(stream_);
  stream_ = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 64 * 1024, 4096,
      net::Stream::Told{[this] { write(); }, [this] { read(); }, nullptr,
                        [this](bool connected) {
                          if (!calling_) return;
                          reader_.peer_closed();
                          if (reader_.state() == net::HttpReader::State::done) {
                            answered();
                          } else {
                            failed(connected ? "the connection broke" : "cannot connect");
                          }
                        }});
}

void Watch::write() {
  std::string target = "/v1/servers";
  if (!whole_ && index_) {
    target += "?index=" + std::to_string(*index_) + "&wait=" + std::to_string(wait_ / 1ms);
  }
  stream_->out().put("GET " + target + " HTTP/1.1\r\nHost: " + host_ + "\r\n\r\n");
  stream_->flush();
}

void Watch::read() {
  net::Ring& in = stream_->in();
  while (!in.empty()) {
    if (!calling_) {  // nothing was asked: the connection is out of step
      log::event(log::Level::warning, "discovery.out_of_step");
      stream_->close();
      return;
    }
    in.drop(reader_.take(in.front()));
    if (reader_.state() == net::HttpReader::State::bad) return failed("the answer cannot be read");
    if (reader_.state() == net::HttpReader::State::done) return answered();
  }
}

void Watch::answered() {
  net::HttpMessage& message = reader_.message();
  if (message.second != "200") return failed("an answer other than 200");
  if (!message.stays()) stream_->close();
  News news;
  try {
    news = read_news(config::parse(message.body), carriage_, unix_start_);
  } catch (const config::BadInput& wrong) {
    log::event(log::Level::warning, "discovery.bad_list", {{"why", wrong.what()}});
    return failed("the list cannot be read");
  }
  if (patience_) loop_.cancel(*patience_);
  patience_.reset();
  calling_ = false;
  if (news.skipped > 0 || news.odd_addresses > 0)
    log::event(log::Level::warning, "discovery.bad_entries",
               {{"left_out", news.skipped}, {"addresses", news.odd_addresses}});
  index_ = news.index;
  told_.news(std::move(news));
  if (watching_) {
    whole_ = false;
    wait_ = std::min(carriage_.ask_every, kLongestWait);
    call();
  }
}

void Watch::failed(const char* why) {
  if (patience_) loop_.cancel(*patience_);
  patience_.reset();
  calling_ = watching_ = false;
  if (stream_) stream_->close();
  log::event(log::Level::info, "discovery.failed", {{"why", why}});
  told_.refused();
}

}  // namespace marbledyke::list
