// A client's multiget, read from its HTTP request; and the answer's body.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/commission.h"
#include "front/front.h"
#include "model/plain.h"
#include "net/http.h"

namespace marbledyke::clients {

using front::Ask;
using front::Piece;
using front::Value;

struct Complaint {
  int status = 400;
  std::string why;
};

std::variant<Ask, Complaint> read_ask(const net::HttpMessage& from, const config::Carriage& carriage);

std::string answer_body(bool whole, const std::vector<Value>& values);

// A whole HTTP answer; come_back of zero gives no advice.
std::string answer_text(int status, std::string_view body, bool stays, Duration come_back = {});

}  // namespace marbledyke::clients
