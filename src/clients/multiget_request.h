// A client's multiget, read from its HTTP request; and the answer's body.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/gatherer_config.h"
#include "front/front.h"
#include "model/plain.h"
#include "net/http.h"

namespace marbledyke::clients {

using front::Multiget;
using front::Part;
using front::Value;

struct RequestError {
  int status = 400;
  std::string reason;
};

std::variant<Multiget, RequestError> parse_multiget(const net::HttpMessage& from,
                                                    const config::ServiceSettings& settings);

std::string answer_body(bool whole, const std::vector<Value>& values);

// A whole HTTP answer; come_back of zero gives no advice.
std::string answer_text(int status, std::string_view body, bool stays, Duration come_back = {});

}  // namespace marbledyke::clients
