// Parses a client's multiget from its HTTP request and formats the response.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/gatherer_config.h"
#include "front/front.h"
#include "model/types.h"
#include "net/http.h"

namespace marbledyke::clients {

using front::Multiget;
using front::Part;
using front::Value;

// Why a request was rejected: the HTTP status and a message that names the header or field at fault.
struct RequestError {
  int status = 400;
  std::string reason;
};

std::variant<Multiget, RequestError> parse_multiget(const net::HttpMessage& request,
                                                    const config::ServiceSettings& settings);

// Formats the JSON body of an answer. Values are copied byte by byte, apart from the escapes that JSON needs.
std::string answer_body(bool complete, const std::vector<Value>& values);

// Formats a complete HTTP response. A `retry_after` of zero adds no Retry-After header.
std::string answer_text(int status, std::string_view body, bool keep_alive, Duration retry_after = {});

}  // namespace marbledyke::clients
