// What a connection of an HTTP front holds in memory, and when it may be released. A connection has a stream,
// a parser and the fields that say what it is doing; see clients::HttpFront::Connection.
#pragma once

#include <optional>

#include "model/types.h"

namespace marbledyke::front {

// A request that is not complete has not been accepted, and a response that is not read serves nobody. The
// memory of a pending request is kept until its response.
template <class Connection>
std::optional<Duration> releasable_since(const Connection& connection) {
  if (connection.stream->is_closed()) return std::nullopt;
  if (connection.is_closing) return connection.idle_since;
  if (connection.is_request_pending) return std::nullopt;
  if (connection.is_responding)
    return connection.stream->out().empty() ? std::nullopt : std::optional(connection.idle_since);
  return connection.reader.has_started() ? std::optional(connection.first_byte_at) : std::nullopt;
}

}  // namespace marbledyke::front
