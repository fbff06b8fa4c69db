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

struct Piece {
  int shard = 0;
  double mass = 0;  // share of the whole answer; those of a multiget add up to 1
  std::uint64_t key = 0;
  Duration hint{};  // of the work; zero: none
};

// A client's multiget. Its id is unique among those in hand, and of characters that a frame's line may hold.
struct Ask {
  std::string id;
  int op_type = 0;
  int customer = -1;      // none that the terms name
  Duration patience{};    // from when the client sent it
  bool repeated = false;  // the client says that it has tried before
  std::vector<Piece> pieces;
  std::shared_ptr<const std::string> text;  // what every part carries
};

// A request that has come in whole.
struct Asked {
  std::uint64_t caller = 0;  // the front's own number for who waits for the answer; never 0
  Ask ask;
  Duration sent_by{};  // its first byte was here then
};

struct Value {
  int shard = 0;
  std::string_view body;
};

enum class Refusal {
  pushed_back,  // trying again is harmless
  no_room,      // the same: as much is in hand as may be
  same_id,      // one of that id is in hand
  failed        // it may have run
};

class Front {
 public:
  virtual ~Front() = default;

  // The final answer to a multiget; whoever has left meanwhile is passed over.
  virtual void answer(std::uint64_t caller, bool whole, const std::vector<Value>& values) = 0;
  virtual void refuse(std::uint64_t caller, Refusal why, Duration come_back) = 0;

  // A planned stop, in this order.
  virtual void leave() = 0;  // says so to who asks whether this gatherer serves
  virtual void stop_accepting() = 0;
  virtual void part_with_all() = 0;  // from now on each connection is closed after its answer
  virtual void close_idle(Duration since) = 0;

  virtual bool make_room() = 0;    // ends the connection that can best be spared
  virtual bool empty() const = 0;  // no client is connected; in a planned stop also: none can come any more
  virtual bool writing() const { return false; }  // a client has not read all of its answer yet
  virtual std::size_t size() const = 0;
  virtual void bury() = 0;  // frees what has ended; not while it may still be told of it

  virtual void report() const {}  // a line of totals in the log

  // What has come in since the last time.
  std::vector<Asked> asked;
  std::vector<std::uint64_t> left;  // callers with a multiget in hand that have gone
};

}  // namespace marbledyke::front
