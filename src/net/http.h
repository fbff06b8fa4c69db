// HTTP/1.1 messages, read from bytes as they come: what is read depends on the bytes alone, not on how they
// were split. Requests and answers differ in their first line only.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "model/types.h"

namespace marbledyke::net {

struct HttpMessage {
  std::string first, second, third;  // method, target, version; or version, status, reason
  std::vector<std::pair<std::string, std::string>> headers;  // names in lower case, in their order
  std::string body;

  const std::string* header(std::string_view name) const;  // the first of that name
  std::size_t count(std::string_view name) const;
  bool stays() const;  // the sender will keep the connection
};

class HttpReader {
 public:
  enum class Kind { request, answer };
  enum class State { reading, done, bad };

  HttpReader(Kind kind, std::size_t most_body) : kind_(kind), most_body_(most_body) {}

  // Takes what belongs to the message and gives how much that was.
  std::size_t take(std::string_view bytes);
  // An answer without a stated length ends with its connection.
  void peer_closed();

  State state() const { return state_; }
  bool begun() const { return begun_; }
  int complaint() const { return complaint_; }  // of a bad message: 400, 413, 431 or 505
  HttpMessage& message() { return message_; }
  void restart();

 private:
  enum class At { first_line, header, body, chunk_size, chunk, chunk_end, trailer, to_the_end };

  void line();
  void first_line();
  void header_line();
  void head_read();
  void chunk_line();
  void bad(int complaint);

  Kind kind_;
  std::size_t most_body_;
  State state_ = State::reading;
  At at_ = At::first_line;
  bool begun_ = false;
  int complaint_ = 0;
  std::size_t head_size_ = 0;
  std::size_t left_ = 0;  // of the body or the chunk
  std::string line_;
  HttpMessage message_;
};

// A whole answer; come_back of zero gives no advice.
std::string answer_text(int status, std::string_view type, std::string_view body, bool stays,
                        Duration come_back);

}  // namespace marbledyke::net
