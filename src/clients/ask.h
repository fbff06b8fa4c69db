// A client's multiget, read from its HTTP request; and the answer's body.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/commission.h"
#include "model/plain.h"
#include "net/http.h"

namespace marbledyke::clients {

struct Piece {
  int shard = 0;
  double mass = 0;
  std::uint64_t key = 0;
  Span hint{};
};

struct Ask {
  std::string id;
  int op_type = 0;
  int customer = -1;  // none that the terms name
  Span patience{};    // from when the client sent it
  std::vector<Piece> pieces;
  std::shared_ptr<const std::string> text;  // what every part carries
};

struct Complaint {
  int status = 400;
  std::string why;
};

std::variant<Ask, Complaint> read_ask(const net::HttpMessage& from, const config::Carriage& carriage);

struct Value {
  int shard = 0;
  std::string_view body;
};
std::string answer_body(bool whole, const std::vector<Value>& values);

// A whole HTTP answer; come_back of zero gives no advice.
std::string answer_text(int status, std::string_view body, bool stays, Span come_back = {});

}  // namespace marbledyke::clients
