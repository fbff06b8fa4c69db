// The client side of a request-response protocol on one connection, without I/O: it formats what is to be
// written and interprets the bytes that arrive. A session carries one part at a time.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "model/types.h"

namespace marbledyke::carrier {

// The result of feeding bytes to a session.
struct SessionEvent {
  enum class Kind {
    none,            // more bytes are needed
    ready,           // the session can carry a part
    answered,        // `value` answers the part
    refused,         // the part has not run
    failed,          // the part may have run
    server_closing,  // the server closes the connection in order and accepts no new sends
    protocol_error   // the bytes are invalid, or do not fit the session's state
  };
  Kind kind = Kind::none;
  std::string value, reason;
};

class ProtocolSession {
 public:
  virtual ~ProtocolSession() = default;

  // Returns what to write once connected; empty where the session is ready at once.
  virtual std::string greeting() = 0;
  virtual bool is_ready() const = 0;
  // Returns the request for a part; empty where the protocol cannot express it.
  virtual std::string format_request(std::string_view text, int shard) = 0;
  // Returns the value that answers a part for which format_request() returned nothing; empty where the part's
  // text is none of this protocol's requests.
  virtual std::string unsupported_reply() { return {}; }
  // Returns what else has to be written before the answer can come, after feed() reported none; may be empty.
  virtual std::string next_output() { return {}; }
  // Consumes bytes up to the end of one message at most, and returns how many were consumed.
  virtual std::size_t feed(std::string_view bytes, SessionEvent& event) = 0;
  // Called when the connection has ended, which completes an answer of unstated length.
  virtual SessionEvent on_connection_closed() { return {}; }
  // Returns a request to cancel the pending part, after which feed() reports ready or none; empty where only
  // closing the connection ends it.
  virtual std::string format_cancel() { return {}; }
  // Returns what to write before an orderly close.
  virtual std::string closing_bytes() { return {}; }
};

// Makes a session with a server. `host` is the address connected to.
using SessionFactory = std::unique_ptr<ProtocolSession> (*)(const std::string& server,
                                                            const std::string& database,
                                                            const std::string& host);

}  // namespace marbledyke::carrier
