// Open-loop clients in one loop. A request is due by the clock, not by an answer; its latency counts from
// when it was due, so that a gatherer which stalls is not spared the requests that it kept from being sent.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"
#include "standins/histogram.h"

namespace marbledyke::standins {

struct LoadOptions {
  std::string to;
  double rate = 100, ramp_to = 0;  // multigets a second; 0: no ramp
  int seconds = 10;
  std::uint32_t seed = 1;
  std::string op_type = "look";
  int shards = 2;
  int parts = 2;  // shards that each multiget asks, in a row from a drawn one; all where there are fewer
  int timeout_ms = 2000;
  bool may_repeat = false;  // a request that crossed with the end of its connection is sent once more
};

class Load {
 public:
  struct Tally {
    std::uint64_t due = 0, answered = 0, whole = 0, pushed_back = 0, failed = 0, timed_out = 0, cut = 0,
                  opened = 0, sent_again = 0;
  };

  Load(net::Loop& loop, const net::Address& to, const LoadOptions& options);
  ~Load();

  // False once all has been sent and has come back or timed out.
  bool running() const { return !finished_ || out_ > 0 || !waiting_.empty(); }
  Duration begun() const { return begun_; }
  const Tally& tally() const { return tally_; }
  const Histogram& latencies() const { return latencies_; }
  std::string result() const;  // JSON, one line

 private:
  struct Connection;
  struct Request {
    Duration due{};
    std::string id;
    bool again = false;
  };

  void next();
  void send(Request request);
  void begin(Connection& connection);
  void write(Connection& connection);
  void arrived(Connection& connection);
  void ended(Connection& connection);
  void free(Connection& connection);
  void drop(Connection& connection);
  double rate_at(Duration now) const;

  net::Loop& loop_;
  net::Address to_;
  LoadOptions options_;
  std::mt19937 chance_;
  Duration begun_{}, next_due_{};
  bool finished_ = false;
  int out_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::uint64_t> idle_;
  std::vector<std::unique_ptr<Connection>> graves_;
  std::deque<Request> waiting_;
  std::uint64_t next_connection_ = 1, next_request_ = 1;
  Tally tally_;
  Histogram latencies_;
};

}  // namespace marbledyke::standins
