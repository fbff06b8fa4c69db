#include "fleet/talk.h"

#include <cstdlib>
#include <cstring>
#include <utility>

namespace marbledyke::fleet {
namespace {
constexpr std::size_t kMostAnswer = 16 * 1024 * 1024;
}

struct Talk::Call {
  std::uint64_t number = 0;
  Told told;
  std::unique_ptr<net::Stream> stream;
  net::HttpReader reader{net::HttpReader::Kind::answer, kMostAnswer};
  net::Loop::Timer limit{};
  bool over = false;
};

Talk::Talk(net::Loop& loop) : loop_(loop) {}

Talk::~Talk() {
  for (const auto& [number, call] : calls_) loop_.cancel(call->limit);
}

void Talk::call(const net::Address& to, const std::string& method, const std::string& target,
                const std::string& body, Duration limit, Told told) {
  Waiting what{to,
               method + " " + target + " HTTP/1.1\r\nHost: keeper\r\nConnection: close\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body,
               limit, std::move(told)};
  if (calls_.size() < kAtOnce) return begin(std::move(what));
  waiting_.push_back(std::move(what));
}

void Talk::begin(Waiting what) {
  auto made = std::make_unique<Call>();
  Call* const call = made.get();
  const std::uint64_t number = call->number = next_++;
  call->told = std::move(what.told);
  calls_.emplace(number, std::move(made));
  call->limit = loop_.at(loop_.now() + what.limit, [this, number] {
    finish(number, {0, nullptr, "no answer in time"});
  });
  net::Descriptor fd = net::start_connect(what.to);
  if (!fd) {
    const std::string why = std::strerror(errno);
    loop_.at(loop_.now(), [this, number, why] { finish(number, {0, nullptr, why}); });
    return;
  }
  call->stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 64 * 1024, what.bytes.size() + 1,
      net::Stream::Told{[call, bytes = what.bytes] {
                          call->stream->out().put(bytes);
                          call->stream->flush();
                        },
                        [this, call] {
                          net::Ring& in = call->stream->in();
                          while (!in.empty() && call->reader.state() == net::HttpReader::State::reading)
                            in.drop(call->reader.take(in.front()));
                          if (call->reader.state() == net::HttpReader::State::reading) return;
                          Answer answer;
                          if (call->reader.state() == net::HttpReader::State::done) {
                            answer.status = std::atoi(call->reader.message().second.c_str());
                            answer.body = nlohmann::json::parse(call->reader.message().body, nullptr, false);
                          } else {
                            answer.why = "what came cannot be read";
                          }
                          finish(call->number, std::move(answer));
                        },
                        nullptr,
                        [this, number](bool was) {
                          finish(number, {0, nullptr, was ? "the connection ended" : "cannot connect"});
                        }});
}

void Talk::finish(std::uint64_t number, Answer answer) {
  const auto at = calls_.find(number);
  if (at == calls_.end()) return;
  std::unique_ptr<Call> call = std::move(at->second);
  calls_.erase(at);
  loop_.cancel(call->limit);
  if (call->stream) call->stream->close();
  const Told told = std::move(call->told);
  graves_.push_back(std::move(call));
  // Who is told may call anew, and what has just ended is not destroyed while it tells.
  loop_.at(loop_.now(), [this, told, answer = std::move(answer)] {
    graves_.clear();
    told(answer);
    if (waiting_.empty() || calls_.size() >= kAtOnce) return;
    Waiting next = std::move(waiting_.front());
    waiting_.pop_front();
    begin(std::move(next));
  });
}

}  // namespace marbledyke::fleet
