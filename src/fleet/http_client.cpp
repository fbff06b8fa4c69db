#include "fleet/http_client.h"

#include <cstdlib>
#include <cstring>
#include <utility>

namespace marbledyke::fleet {
namespace {
constexpr std::size_t kMaxResponseBytes = 16 * 1024 * 1024;
}

struct HttpClient::Call {
  std::uint64_t number = 0;
  Callback on_response;
  std::unique_ptr<net::Stream> stream;
  net::HttpParser reader{net::HttpParser::Kind::response, kMaxResponseBytes};
  net::Loop::Timer limit{};
  bool over = false;
};

HttpClient::HttpClient(net::Loop& loop) : loop_(loop) {}

HttpClient::~HttpClient() {
  for (const auto& [number, call] : calls_) loop_.cancel(call->limit);
}

void HttpClient::call(const net::Address& to, const std::string& method, const std::string& target,
                      const std::string& body, Duration limit, Callback on_response) {
  QueuedCall queued{to,
                    method + " " + target +
                        " HTTP/1.1\r\nHost: keeper\r\nConnection: close\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body,
                    limit, std::move(on_response)};
  if (calls_.size() < kMaxConcurrentCalls) return start_call(std::move(queued));
  queue_.push_back(std::move(queued));
}

void HttpClient::start_call(QueuedCall queued) {
  auto made = std::make_unique<Call>();
  Call* const call = made.get();
  const std::uint64_t number = call->number = next_number_++;
  call->on_response = std::move(queued.on_response);
  calls_.emplace(number, std::move(made));
  call->limit = loop_.call_at(loop_.now() + queued.limit, [this, number] {
    finish_call(number, {0, nullptr, "no response within the time limit"});
  });
  net::Descriptor fd = net::start_connect(queued.to);
  if (!fd) {
    const std::string error = std::strerror(errno);
    loop_.call_at(loop_.now(), [this, number, error] { finish_call(number, {0, nullptr, error}); });
    return;
  }
  call->stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 64 * 1024, queued.bytes.size() + 1,
      net::Stream::Callbacks{
          [call, bytes = queued.bytes] {
            call->stream->out().append(bytes);
            call->stream->flush();
          },
          [this, call] {
            net::RingBuffer& in = call->stream->in();
            while (!in.empty() && call->reader.state() == net::HttpParser::State::incomplete)
              in.consume(call->reader.feed(in.front()));
            if (call->reader.state() == net::HttpParser::State::incomplete) return;
            HttpResponse response;
            if (call->reader.state() == net::HttpParser::State::complete) {
              response.status = std::atoi(call->reader.message().target_or_status.c_str());
              response.body = nlohmann::json::parse(call->reader.message().body, nullptr, false);
            } else {
              response.error = "malformed response";
            }
            finish_call(call->number, std::move(response));
          },
          nullptr,
          [this, number](bool was_connected) {
            finish_call(number, {0, nullptr, was_connected ? "connection closed" : "cannot connect"});
          }});
}

void HttpClient::finish_call(std::uint64_t number, HttpResponse response) {
  const auto at = calls_.find(number);
  if (at == calls_.end()) return;
  std::unique_ptr<Call> call = std::move(at->second);
  calls_.erase(at);
  loop_.cancel(call->limit);
  if (call->stream) call->stream->close();
  const Callback on_response = std::move(call->on_response);
  finished_.push_back(std::move(call));
  // Called from a later turn of the loop: the callback may start another call, and the finished one must not
  // be destroyed while its own stream calls back.
  loop_.call_at(loop_.now(), [this, on_response, response = std::move(response)] {
    finished_.clear();
    on_response(response);
    if (queue_.empty() || calls_.size() >= kMaxConcurrentCalls) return;
    QueuedCall next = std::move(queue_.front());
    queue_.pop_front();
    start_call(std::move(next));
  });
}

}  // namespace marbledyke::fleet
