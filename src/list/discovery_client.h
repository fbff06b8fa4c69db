// Follows discovery's list of shard servers by long polling: one call at a time, each watch followed at once
// by the next. A second call is made beside a watch whose response is overdue.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "list/list_update.h"
#include "net/descriptor_reserve.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"

namespace marbledyke::list {

class DiscoveryClient {
 public:
  struct Callbacks {
    std::function<void(ListUpdate)> on_update;
    // A call failed, which ends the watch. The owner asks again within max_backoff.
    std::function<void(Duration max_backoff)> on_failed;
  };

  DiscoveryClient(net::Loop& loop, const config::GathererConfig& config, Duration unix_start,
                  Callbacks callbacks);

  // Sets the version of the list that the owner holds already.
  void set_known_index(std::int64_t index) { index_ = index; }
  // Starts a watch: the changes since the known version, then each change as it comes. Or, with `watching`
  // false, fetches one snapshot. Does nothing while a call is in progress.
  void request_list(bool watching);
  // Moves to another endpoint, whose first response is a snapshot.
  void set_endpoint(const net::Address& address, const std::string& host);

 private:
  // A connection to discovery, and the call in progress on it.
  struct Connection {
    std::unique_ptr<net::Stream> stream, former;  // the former one may still be running its on_ended callback
    net::HttpParser parser;
    std::optional<net::Loop::Timer> timeout;
    Duration began{}, wait{};
    bool call_pending = false;
  };

  Connection& other_than(const Connection& connection) {
    return &connection == &connections_[0] ? connections_[1] : connections_[0];
  }
  void call(Connection& connection, Duration wait);
  void write_request(Connection& connection);
  void on_data(Connection& connection);
  void on_overdue(Connection& connection);
  void on_response(Connection& connection);
  void on_ended(Connection& connection, bool connected);
  void fail(Connection& connection, const char* reason);
  void end_call(Connection& connection);
  void close(Connection& connection);
  void update_reserve(std::size_t extra = 0);

  net::Loop& loop_;
  const config::ServiceSettings& settings_;
  net::Address address_;
  std::string host_;
  Duration unix_start_;
  Callbacks callbacks_;
  std::array<Connection, 2> connections_;
  net::DescriptorReserve reserve_{2};  // clients may use up all others while discovery is unreachable
  std::optional<std::int64_t> index_;
  bool watching_ = false, snapshot_wanted_ = false;
};

}  // namespace marbledyke::list
