#include "list/watch.h"

#include <algorithm>

#include "list/staleness.h"
#include "log/log.h"

namespace marbledyke::list {
namespace {

constexpr Duration kLongestWait = 60s;  // the protocol's
constexpr std::size_t kMostList = 8 * 1024 * 1024;

}  // namespace

Watch::Watch(net::Loop& loop, const config::GathererConfig& gatherer_config, Duration unix_start, Told told)
    : loop_(loop),
      settings_(gatherer_config.settings),
      address_(gatherer_config.discovery),
      host_(gatherer_config.discovery_host),
      unix_start_(unix_start),
      told_(std::move(told)),
      lines_{Line{{}, {}, {net::HttpReader::Kind::answer, kMostList}, {}},
             Line{{}, {}, {net::HttpReader::Kind::answer, kMostList}, {}}} {}

void Watch::ask(bool watching) {
  if (lines_[0].calling || lines_[1].calling) return;  // what is out brings the same news
  watching_ = watching;
  whole_ = !watching;
  // The first call of a watch does not wait, so that whoever asked soon knows where things stand.
  call(lines_[0], Duration::zero());
}

// The calls that are out are given up with the old place: they may never be answered, or with what is old
// news by then. The versions of one place say nothing at another, so the whole list is asked for.
void Watch::move(const net::Address& address, const std::string& host) {
  address_ = address;
  host_ = host;
  index_.reset();
  for (Line& line : lines_) hang_up(line);
  ask(true);
}

void Watch::call(Line& line, Duration wait) {
  line.calling = true;
  line.began = loop_.now();
  line.wait = wait;
  const Duration patience = wait > Duration::zero() ? wait + kOverdue : kAnswerWithin;
  line.patience = loop_.at(loop_.now() + patience, [this, &line] {
    line.patience.reset();
    line.wait > Duration::zero() ? overdue(line) : failed(line, "no answer in time");
  });
  line.reader.restart();
  if (line.stream && !line.stream->closed()) return write(line);
  hold_spare(1);
  net::Descriptor fd = net::start_connect(address_);
  if (!fd) return failed(line, "cannot connect");
  line.last = std::move(line.stream);
  line.stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 64 * 1024, 4096,
      net::Stream::Told{[this, &line] { write(line); }, [this, &line] { read(line); }, nullptr,
                        [this, &line](bool connected) { ended(line, connected); }});
}

void Watch::write(Line& line) {
  std::string target = "/v1/servers";
  if (!whole_ && index_) {
    target += "?index=" + std::to_string(*index_) + "&wait=" + std::to_string(line.wait / 1ms);
  }
  log::event(log::Level::debug, "discovery.called", {{"wait_ms", line.wait / 1ms}});
  line.stream->out().put("GET " + target + " HTTP/1.1\r\nHost: " + host_ + "\r\n\r\n");
  line.stream->flush();
}

// The wait is over and nothing was said: a second call is made beside it. That one's fate decides, unless the
// first speaks after all.
void Watch::overdue(Line& line) {
  log::event(log::Level::info, "discovery.overdue", {{"waited_ms", (loop_.now() - line.began) / 1ms}});
  line.patience = loop_.at(line.began + line.wait + kAfterWait, [this, &line] {
    line.patience.reset();
    hang_up(line);
    if (!beside(line).calling) failed(line, "no answer in time");
  });
  call(beside(line), Duration::zero());
}

void Watch::read(Line& line) {
  net::Ring& in = line.stream->in();
  while (!in.empty()) {
    if (!line.calling) {  // nothing was asked: the connection is out of step
      log::event(log::Level::warning, "discovery.out_of_step");
      return hang_up(line);
    }
    in.drop(line.reader.take(in.front()));
    if (line.reader.state() == net::HttpReader::State::bad) return failed(line, "the answer cannot be read");
    if (line.reader.state() == net::HttpReader::State::done) return answered(line);
  }
}

// An answer without a length ends with its connection, but a reset is no end: what came may be any part of
// it.
void Watch::ended(Line& line, bool connected) {
  hold_spare();
  if (!line.calling) return;
  if (line.stream->was_reset())
    return failed(line, connected ? "the connection was reset" : "cannot connect");
  line.reader.peer_closed();
  if (line.reader.state() != net::HttpReader::State::done) return failed(line, "the connection broke");
  answered(line);
}

void Watch::answered(Line& line) {
  net::HttpMessage& message = line.reader.message();
  if (message.second != "200") return failed(line, "an answer other than 200");
  News news;
  try {
    news = read_news(config::parse(message.body), settings_, unix_start_);
  } catch (const config::BadInput& wrong) {
    log::event(log::Level::warning, "discovery.bad_list", {{"why", wrong.what()}});
    return failed(line, "the list cannot be read");
  }
  log::event(log::Level::debug, "discovery.answered", {{"after_ms", (loop_.now() - line.began) / 1ms}});
  if (!message.stays()) line.stream->close();
  over(line);
  hang_up(beside(line));
  if (news.skipped > 0 || news.odd_addresses > 0)
    log::event(log::Level::warning, "discovery.bad_entries",
               {{"left_out", news.skipped}, {"first", news.fault}, {"addresses", news.odd_addresses}});
  index_ = news.index;
  told_.news(std::move(news));
  if (watching_) {
    whole_ = false;
    call(line, std::min(settings_.list_poll_interval, kLongestWait));
  }
}

void Watch::failed(Line& line, const char* why) {
  const Duration took = line.wait > Duration::zero() ? Duration::zero() : loop_.now() - line.began;
  for (Line& one : lines_) hang_up(one);
  watching_ = false;
  log::event(log::Level::info, "discovery.failed",
             {{"why", why}, {"after_ms", (loop_.now() - line.began) / 1ms}});
  told_.refused(most_backoff(took));
}

void Watch::over(Line& line) {
  if (line.patience) loop_.cancel(*line.patience);
  line.patience.reset();
  line.calling = false;
}

void Watch::hang_up(Line& line) {
  over(line);
  if (line.stream) line.stream->close();
  hold_spare();
}

void Watch::hold_spare(std::size_t more) {
  for (const Line& line : lines_) more += line.stream && !line.stream->closed() ? 1 : 0;
  spare_.in_use(more);
}

}  // namespace marbledyke::list
