// One connection's share of a request-and-answer protocol, without I/O: what is to be written, and what comes
// of the bytes that arrive. A talk carries one part at a time.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "model/plain.h"

namespace marbledyke::carrier {

struct SessionEvent {
  enum class Kind {
    none,            // more bytes are needed
    ready,           // it can take a part
    answered,        // `value` is the part's
    refused,         // the part has not run
    failed,          // it may have run
    server_closing,  // the server ends the connection in order, and takes nothing new
    protocol_error   // it is out of step, or speaks something else
  };
  Kind kind = Kind::none;
  std::string value, reason;
};

class ProtocolSession {
 public:
  virtual ~ProtocolSession() = default;

  virtual std::string greeting() = 0;  // once connected; empty: it is ready at once
  virtual bool is_ready() const = 0;
  // The request for a part; empty where its text is none that this protocol can ask for.
  virtual std::string format_request(std::string_view text, int shard) = 0;
  // Where ask() gave nothing: the value that says so to whoever asked; none: it is no matter for this
  // protocol.
  virtual std::string unsupported_reply() { return {}; }
  // More to be written before the answer can come, after take() said nothing; empty: no more.
  virtual std::string next_output() { return {}; }
  // Takes bytes up to the end of one message at most, and gives how many.
  virtual std::size_t feed(std::string_view bytes, SessionEvent& event) = 0;
  // The connection ended: what an answer without a stated length comes to.
  virtual SessionEvent on_connection_closed() { return {}; }
  // Gives up the part that is out; empty: closing is the only way. After it take() says ready or nothing.
  virtual std::string format_cancel() { return {}; }
  virtual std::string closing_bytes() { return {}; }  // before closing in order
};

using SessionFactory = std::unique_ptr<ProtocolSession> (*)(const std::string& server,
                                                            const std::string& database,
                                                            const std::string& host);

}  // namespace marbledyke::carrier
