// The front for SRU over HTTP/1.1: connections of searching clients, with one request at a time on each.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "front/eviction.h"
#include "net/http.h"
#include "net/listener.h"
#include "net/socket.h"
#include "search/desk_front.h"
#include "sru/message.h"

namespace marbledyke::sru {

class Front final : public search::DeskFront {
 public:
  // Holds at most `max_connections` at a time. Throws std::system_error where the address cannot be listened
  // on, and config::BadInput where the terms do not fit the platform's settings.
  Front(net::Loop& loop, net::MemoryBudget& memory, const search::Terms& terms,
        const config::ServiceSettings& settings, const net::Address& listen, std::uint32_t seed,
        std::size_t max_connections);
  ~Front() override;

  void announce_stop() override;
  void stop_accepting() override;
  void close_after_answers() override;
  void close_idle(Duration since) override;
  bool release_connection() override;
  bool empty() const override { return connections_.empty(); }
  std::size_t size() const override { return connections_.size(); }
  void destroy_closed() override;

  void log_totals() const override;

  // Counts since the start.
  struct Tally {
    std::uint64_t accepted = 0, requests = 0, unreadable = 0, silent = 0, evicted = 0;
  };
  const Tally& tally() const { return tally_; }

 private:
  struct Connection;
  void add_connection(net::Descriptor fd);
  void on_data_received(Connection& connection);
  void receive(Connection& connection);
  void update_memory(Connection& connection);
  void refuse(Connection& connection);
  void release_memory(Connection& connection);
  void on_request_complete(Connection& connection);
  search::Operation start_operation(const Connection& connection);
  void respond(Connection& connection, int status, const std::string& body, Duration retry_after = {});
  void on_response_written(Connection& connection);
  void serve_next_request(std::uint64_t number);
  void close_gracefully(Connection& connection);
  void close(Connection& connection);
  void check_timeouts();
  front::Activity activity(const Connection& connection) const;
  Connection* eviction_candidate() const;
  void replied(search::Reply&& reply) override;
  void session_over(search::Session session) override;
  search::Session session();

  net::Address listen_;
  std::size_t max_connections_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::map<search::Operation, std::uint64_t> pending_operations_;  // to the connection's number
  std::vector<std::unique_ptr<Connection>>
      closed_;  // until destroy_closed(), as their callbacks may be running
  std::uint64_t next_number_ = 1;
  search::Session session_ = 0;  // of all result sets, since SRU has no sessions
  bool closes_after_answers_ = false, is_stopping_ = false;
  std::optional<net::Loop::Timer> timeout_timer_;
  Tally tally_;
  // Expires with this object, for timers that may outlive it.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace marbledyke::sru
