// Calls to keepers: many at once, each answered or given up within its limit. Waits without end are nobody's.
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

struct Answer {
  int status = 0;  // 0: none came
  nlohmann::json body;
  std::string why;  // of none
};

class Talk {
 public:
  using Told = std::function<void(const Answer&)>;
  static constexpr std::size_t kAtOnce = 128;

  explicit Talk(net::Loop& loop);
  ~Talk();
  Talk(const Talk&) = delete;
  Talk& operator=(const Talk&) = delete;

  // Told once, in a later turn. The limit counts from when the call begins.
  void call(const net::Address& to, const std::string& method, const std::string& target,
            const std::string& body, Duration limit, Told told);
  std::size_t out() const { return calls_.size() + waiting_.size(); }

 private:
  struct Call;
  struct Waiting {
    net::Address to;
    std::string bytes;
    Duration limit;
    Told told;
  };
  void begin(Waiting what);
  void finish(std::uint64_t number, Answer answer);

  net::Loop& loop_;
  std::map<std::uint64_t, std::unique_ptr<Call>> calls_;
  std::vector<std::unique_ptr<Call>> graves_;
  std::deque<Waiting> waiting_;
  std::uint64_t next_ = 1;
};

}  // namespace marbledyke::fleet
