// What a front is to the gatherer, whatever protocol its clients speak: multigets come in whole, each gets
// one final answer, and clients may leave before it. A front reads and writes its protocol and keeps its
// connections; it decides nothing about servers and knows no other front.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "model/plain.h"

namespace marbledyke::front {

struct Part {
  int shard = 0;
  double weight = 0;  // share of the whole answer; those of a multiget add up to 1
  std::uint64_t key = 0;
  Duration work_estimate{};  // of the work; zero: none
};

// A client's multiget. Its id is unique among those in hand, and of characters that a frame's line may hold.
struct Multiget {
  std::string id;
  int op_type = 0;
  int customer = -1;             // none that the terms name
  Duration client_timeout{};     // from when the client sent it
  bool is_client_retry = false;  // the client says that it has tried before
  std::vector<Part> parts;
  std::shared_ptr<const std::string> text;  // what every part carries
};

// A request that has come in whole.
struct Request {
  std::uint64_t caller = 0;  // the front's own number for who waits for the answer; never 0
  Multiget multiget;
  Duration first_byte_at{};  // its first byte was here then
};

struct Value {
  int shard = 0;
  std::string_view body;
};

enum class Refusal {
  pushed_back,   // trying again is harmless
  at_capacity,   // the same: as much is in hand as may be
  duplicate_id,  // one of that id is in hand
  failed         // it may have run
};

class Front {
 public:
  virtual ~Front() = default;

  // The final answer to a multiget; whoever has left meanwhile is passed over.
  virtual void answer(std::uint64_t caller, bool whole, const std::vector<Value>& values) = 0;
  virtual void refuse(std::uint64_t caller, Refusal why, Duration come_back) = 0;

  // A planned stop, in this order.
  virtual void announce_stop() = 0;  // says so to who asks whether this gatherer serves
  virtual void stop_accepting() = 0;
  virtual void close_after_answers() = 0;  // from now on each connection is closed after its answer
  virtual void close_idle(Duration since) = 0;

  virtual bool release_connection() = 0;  // ends the connection that can best be spared
  virtual bool empty() const = 0;  // no client is connected; in a planned stop also: none can come any more
  virtual bool is_writing() const { return false; }  // a client has not read all of its answer yet
  virtual std::size_t size() const = 0;
  virtual void destroy_closed() = 0;  // frees what has ended; not while it may still be told of it

  virtual void log_totals() const {}  // a line of totals in the log

  // What has come in since the last time.
  std::vector<Request> requests;
  std::vector<std::uint64_t> departed;  // callers with a multiget in hand that have gone
};

}  // namespace marbledyke::front
