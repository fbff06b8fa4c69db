#include "distribution/receiver_client.h"

#include <cerrno>
#include <system_error>
#include <utility>

#include "config/fields.h"

namespace marbledyke::distribution {
namespace {

constexpr std::size_t kMostAnswer = 64 * 1024;  // a revision at its largest, with room for what is around it
constexpr std::size_t kMostRequest = 4 * 1024;

}  // namespace

ReceiverClient::ReceiverClient(net::Loop& loop, Receiver::Identity identity, std::vector<net::Address> nodes,
                               std::size_t preferred, std::optional<Revision> held, std::uint32_t seed,
                               Apply apply)
    : loop_(loop),
      nodes_(std::move(nodes)),
      receiver_(std::move(identity), nodes_.size(), preferred, std::move(held), seed),
      apply_(std::move(apply)),
      reader_(net::HttpParser::Kind::response, kMostAnswer) {
  receiver_.start();
  carry_out();
}

ReceiverClient::~ReceiverClient() {
  if (timer_) loop_.cancel(*timer_);
}

void ReceiverClient::applied() {
  receiver_.applied();
  carry_out();
}

void ReceiverClient::refused(const std::string& why) {
  receiver_.refused(why);
  carry_out();
}

// What is carried out may lead to the next act at once: that is taken by the same loop, not by a deeper one.
void ReceiverClient::carry_out() {
  if (carrying_) return;
  carrying_ = true;
  while (const auto act = receiver_.next()) std::visit([this](const auto& what) { carry(what); }, act->what);
  carrying_ = false;
}

void ReceiverClient::carry(const ReceiverAct::Call& act) {
  call_ = act;
  calling_ = true;
  reader_.reset();
  set_timer(act.patience, [this] {
    end_call();
    stream_->close();
    receiver_.silent();
    carry_out();
  });
  const bool open = stream_ && !stream_->is_closed();
  reused_ = open && stream_node_ == act.node;
  if (reused_) return write();
  if (open) stream_->close();
  connect();
}

void ReceiverClient::carry(const ReceiverAct::Apply& act) { apply_(act.revision); }

void ReceiverClient::carry(const ReceiverAct::Rest& act) {
  set_timer(act.wait, [this] {
    receiver_.rested();
    carry_out();
  });
}

void ReceiverClient::connect() {
  stream_node_ = call_.node;
  net::Descriptor fd = net::start_connect(nodes_.at(stream_node_));
  if (!fd) return tell_failed("cannot connect: " + std::generic_category().message(errno));
  last_ = std::move(stream_);
  stream_ = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, kMostAnswer, kMostRequest,
      net::Stream::Callbacks{[this] { write(); }, [this] { arrived(); }, nullptr,
                             [this](bool connected) { ended(connected); }});
}

void ReceiverClient::write() {
  const std::string text = "GET " + query_of(call_.call) + " HTTP/1.1\r\nHost: control\r\n\r\n";
  bytes_written_ += text.size();
  stream_->out().append(text);
  stream_->flush();
}

void ReceiverClient::arrived() {
  net::RingBuffer& in = stream_->in();
  while (!in.empty() && calling_) {
    const std::size_t taken = reader_.feed(in.front());
    in.consume(taken);
    bytes_read_ += taken;
    if (reader_.state() != net::HttpParser::State::incomplete) return message_read();
  }
  if (!calling_) stream_->close();  // nothing was asked: the connection is out of step
}

// A connection that was there before may have ended by its idle limit while the call was on its way.
void ReceiverClient::ended(bool connected) {
  if (!calling_) return;
  if (reused_ && !reader_.has_started()) {
    reused_ = false;
    connect();
    return carry_out();
  }
  const bool reset = stream_->was_reset();
  if (!reset) reader_.on_peer_closed();
  if (!reset && reader_.state() == net::HttpParser::State::complete) return message_read();
  tell_failed(connected ? "the connection broke" : "cannot connect");
}

void ReceiverClient::message_read() {
  if (reader_.state() == net::HttpParser::State::malformed) return tell_failed("the answer cannot be read");
  const net::HttpMessage& message = reader_.message();
  const bool in_step = message.keeps_alive() && stream_->in().empty();
  if (message.target_or_status != "200") return tell_failed("the node answers " + message.target_or_status);
  if (!in_step) stream_->close();
  std::optional<WatchAnswer> answer;
  try {
    answer = read_watch_answer(config::parse(message.body));
  } catch (const WrongDigest& wrong) {
    return tell_damaged(wrong.what());
  } catch (const config::BadInput& wrong) {
    return tell_failed(wrong.what());
  }
  end_call();
  receiver_.answered(*answer);
  carry_out();
}

void ReceiverClient::tell_damaged(const std::string& why) {
  end_call();
  stream_->close();
  receiver_.damaged(why);
  carry_out();
}

void ReceiverClient::tell_failed(const std::string& why) {
  end_call();
  if (stream_) stream_->close();
  receiver_.failed(why);
  carry_out();
}

void ReceiverClient::end_call() {
  calling_ = false;
  if (timer_) loop_.cancel(*timer_);
  timer_.reset();
}

void ReceiverClient::set_timer(Duration wait, std::function<void()> then) {
  if (timer_) loop_.cancel(*timer_);
  timer_ = loop_.call_at(loop_.now() + wait, [this, then = std::move(then)] {
    timer_.reset();
    then();
  });
}

}  // namespace marbledyke::distribution
