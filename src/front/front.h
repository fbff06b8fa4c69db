// The interface between the gatherer and its fronts. A front serves the clients of one protocol: it delivers
// complete multigets, writes one final answer for each, and reports clients that disconnect earlier. It owns
// its protocol and its connections, knows nothing of shard servers or of other fronts, and makes no decisions
// about them.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "model/types.h"

namespace marbledyke::front {

// A part of a client's multiget.
struct Part {
  int shard = 0;
  double weight = 0;  // share of the complete answer; the weights of a multiget's parts add up to 1
  std::uint64_t key = 0;
  Duration work_estimate{};  // the client's estimate of the part's work; zero: none
};

// A client's multiget. Its id is unique among the pending multigets and consists of characters that are valid
// in the header line of a frame.
struct Multiget {
  std::string id;
  int op_type = 0;
  int customer = -1;             // index into the settings' customers; -1: not listed there
  Duration client_timeout{};     // measured from when the client sent the multiget
  bool is_client_retry = false;  // the client states that it has tried before
  std::vector<Part> parts;
  std::shared_ptr<const std::string> text;  // payload that each part carries
};

// A multiget that was received completely.
struct Request {
  std::uint64_t caller = 0;  // the front's number for the client that waits for the answer; never 0
  Multiget multiget;
  Duration first_byte_at{};  // when its first byte was received
};

// A shard's value in an answer; the text is borrowed.
struct Value {
  int shard = 0;
  std::string_view body;
};

// Why a multiget got no answer.
enum class Refusal {
  pushed_back,   // nothing ran; a retry is harmless
  at_capacity,   // not accepted, since the limit of pending multigets is reached; a retry is harmless
  duplicate_id,  // not accepted, since a multiget with this id is pending
  failed         // may have run
};

class Front {
 public:
  virtual ~Front() = default;

  // Sends the final answer to a multiget; ignored if the client has disconnected.
  virtual void answer(std::uint64_t caller, bool complete, const std::vector<Value>& values) = 0;
  // Sends a refusal as the final answer; `retry_after` of zero gives no advice.
  virtual void refuse(std::uint64_t caller, Refusal reason, Duration retry_after) = 0;

  // The steps of a planned stop, in this order.
  virtual void announce_stop() = 0;        // health checks report from now on that this gatherer is stopping
  virtual void stop_accepting() = 0;       // accepts no more connections
  virtual void close_after_answers() = 0;  // from now on closes each connection after its next answer
  virtual void close_idle(Duration since) = 0;  // closes connections that have been idle since before `since`

  // Closes the connection that is least harmful to close, to release a descriptor; false if there is none.
  virtual bool release_connection() = 0;
  // Returns whether no client is connected; in a planned stop also whether none can connect any more.
  virtual bool empty() const = 0;
  // Returns whether part of an answer is still unsent because its client reads slowly.
  virtual bool is_writing() const { return false; }
  // Returns the number of connections.
  virtual std::size_t size() const = 0;
  // Destroys closed connections. Must not be called while the event loop may still call back into them.
  virtual void destroy_closed() = 0;

  // Logs a line of totals.
  virtual void log_totals() const {}

  // Events since the gatherer last collected them.
  std::vector<Request> requests;
  std::vector<std::uint64_t> departed;  // callers that disconnected while their multiget was pending
};

}  // namespace marbledyke::front
