// HTTP client for calls with JSON to keepers and control nodes: many at a time, each with a time limit.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/address.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"

namespace marbledyke::fleet {

struct HttpResponse {
  int status = 0;  // HTTP status; 0: no usable response
  nlohmann::json body;
  std::string error;  // why there is no usable response; `status` is 0 then
};

// Destroying the client cancels its calls without calling back.
class HttpClient {
 public:
  using Callback = std::function<void(const HttpResponse&)>;
  static constexpr std::size_t kMaxConcurrentCalls = 128;

  explicit HttpClient(net::Loop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request; `on_response` is called exactly once, from the loop, never from within call(). The limit
  // starts when the connection is opened: calls beyond kMaxConcurrentCalls are queued before that.
  void call(const net::Address& to, const std::string& method, const std::string& target,
            const std::string& body, Duration limit, Callback on_response);
  std::size_t pending_calls() const { return calls_.size() + queue_.size(); }

 private:
  struct Call;
  struct QueuedCall {
    net::Address to;
    std::string bytes;
    Duration limit;
    Callback on_response;
  };
  void start_call(QueuedCall queued);
  void finish_call(std::uint64_t number, HttpResponse response);

  net::Loop& loop_;
  std::map<std::uint64_t, std::unique_ptr<Call>> calls_;
  std::vector<std::unique_ptr<Call>> finished_;
  std::deque<QueuedCall> queue_;
  std::uint64_t next_number_ = 1;
};

}  // namespace marbledyke::fleet
