// An incremental parser of HTTP/1.0 and HTTP/1.1 messages. The result depends on the bytes alone, not on how
// they were split between calls. Requests and responses differ in their start line only.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "model/types.h"

namespace marbledyke::net {

// A parsed request or response.
struct HttpMessage {
  // The start line: method, target and version of a request; version, status and reason of a response.
  std::string method_or_version, target_or_status, version_or_reason;
  std::vector<std::pair<std::string, std::string>> headers;  // in order of arrival, names in lower case
  std::string body;

  // Returns the value of the first header of that lower-case name, or null.
  const std::string* header(std::string_view name) const;
  // Returns how many headers have that lower-case name.
  std::size_t count(std::string_view name) const;
  // Whether the sender keeps the connection open after this message.
  bool keeps_alive() const;
};

// Parses one message at a time; reset() prepares for the next.
class HttpParser {
 public:
  enum class Kind { request, response };
  enum class State { incomplete, complete, malformed };

  // A message whose body exceeds max_body bytes is malformed, with error status 413.
  HttpParser(Kind kind, std::size_t max_body) : kind_(kind), max_body_(max_body) {}

  // Consumes bytes up to the end of the message at most, and returns how many were consumed.
  std::size_t feed(std::string_view bytes);
  // Completes a response whose length is not stated; any other incomplete message becomes malformed.
  void on_peer_closed();

  State state() const { return state_; }
  // Whether a byte of the message has arrived.
  bool has_started() const { return started_; }
  // The HTTP status that fits a malformed message: 400, 413, 431 or 505.
  int error_status() const { return error_status_; }
  HttpMessage& message() { return message_; }
  // Returns about how many bytes of memory the message occupies.
  std::size_t held_bytes() const;
  void reset();

 private:
  enum class Position { first_line, header, body, chunk_size, chunk, chunk_end, trailer, until_close };

  void line();
  void first_line();
  void header_line();
  void end_of_head();
  void chunk_line();
  void fail(int status);

  Kind kind_;
  std::size_t max_body_;
  State state_ = State::incomplete;
  Position position_ = Position::first_line;
  bool started_ = false;
  int error_status_ = 0;
  std::size_t head_size_ = 0;
  std::size_t remaining_ = 0;  // bytes of the body or chunk that are still to come
  std::string line_;
  HttpMessage message_;
};

// Formats a complete response. A retry_after of zero omits the Retry-After header; otherwise it is written in
// seconds with three decimals.
std::string format_response(int status, std::string_view type, std::string_view body, bool keep_alive,
                            Duration retry_after);

}  // namespace marbledyke::net
