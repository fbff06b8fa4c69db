// The front for the platform's own protocol: multigets over HTTP/1.1, one request at a time on each
// connection. By the protocol, a request counts as taken as soon as it is written to a connection that the
// kernel has accepted, so a connection left in the accept queue would lose it. Clients beyond the limit are
// therefore accepted too, with descriptors reserved for that purpose, and refused.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "clients/multiget_request.h"
#include "front/eviction.h"
#include "net/descriptor_reserve.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/memory_budget.h"
#include "net/socket.h"

namespace marbledyke::clients {

using front::Activity;
using front::Request;

// Descriptors reserved for connections that find no free slot; a quarter of all where that is less. Each is
// needed for about one round trip, so a few suffice to refuse any number of clients.
inline constexpr std::size_t kReservedDescriptors = 8;

class HttpFront final : public front::Front, public net::EventHandler {
 public:
  // Uses at most `max_descriptors` for connections, including the reserved ones. `listening` is an already
  // listening socket that other processes accept from as well; without one, a socket is opened at `listen`.
  // Throws std::system_error if that fails. The loop, the memory budget and the settings must outlive this
  // object.
  HttpFront(net::Loop& loop, net::MemoryBudget& memory, const config::ServiceSettings& settings,
            const net::Address& listen, std::size_t max_descriptors, net::Descriptor listening = {});
  ~HttpFront() override;

  void answer(std::uint64_t caller, bool complete, const std::vector<Value>& values) override;
  void refuse(std::uint64_t caller, front::Refusal reason, Duration retry_after) override;

  void announce_stop() override;
  void close_after_answers() override;
  void stop_accepting() override;
  void close_idle(Duration since) override;
  bool release_connection() override;
  bool empty() const override { return connections_.empty() && !listener_; }
  bool is_writing() const override;
  std::size_t size() const override { return connections_.size(); }

  void on_ready(bool readable, bool writable) override;
  void destroy_closed() override;

  // Counts since the start, in connections.
  struct Tally {
    std::uint64_t accepted = 0;
    std::uint64_t closed_idle = 0;          // idle ones closed because most slots were in use
    std::uint64_t evicted = 0;              // closed to free a slot or a descriptor
    std::uint64_t closed_silent = 0;        // never sent a byte
    std::uint64_t timed_out = 0;            // the request was not completed in time
    std::uint64_t refused_at_capacity = 0;  // request refused because there was no slot
  };
  const Tally& tally() const { return tally_; }
  void set_max_descriptors(std::size_t max_descriptors) { max_descriptors_ = max_descriptors; }

 private:
  struct Connection;
  enum class AcceptResult { accepted, none_waiting, no_descriptor };

  bool accept();  // returns whether more connections may be waiting
  AcceptResult accept_one();
  net::Descriptor accept_without_descriptors(bool& over_capacity);
  void add_connection(net::Descriptor fd, bool over_capacity);
  void schedule_accept();
  std::size_t slots() const { return max_descriptors_ - reserved_; }
  std::size_t slots_used() const { return connections_.size() - slotless_; }
  bool is_at_descriptor_limit() const {
    return connections_.size() + spare_.held_count() >= max_descriptors_;
  }
  bool replenish_reserve();
  bool acquire_slot(Connection& connection);
  bool displace_silent_connection();
  void release_slot(Connection& connection);

  void on_data_received(Connection& connection);
  void receive(Connection& connection);
  void on_request_complete(Connection& connection);
  void on_response_written(Connection& connection);
  void respond_error(std::uint64_t caller, int status, std::string_view reason, Duration retry_after = {});
  void respond(Connection& connection, const std::string& text, bool keep_alive);
  void close_gracefully(Connection& connection);
  void update_memory(Connection& connection);
  void release_memory(Connection& connection);
  Activity activity(const Connection& connection) const;
  Connection* eviction_candidate(bool (*is_eligible)(const Connection&)) const;
  bool evict(Connection& connection);
  bool free_slot();
  bool free_descriptor(bool (*is_eligible)(const Connection&));
  void refuse_at_capacity(Connection& connection);
  void check_timeouts();
  void time_out_request(Connection& connection);
  void close(Connection& connection);
  void close_listener_when_queue_is_empty();
  void close_listener();

  net::Loop& loop_;
  net::MemoryBudget& memory_;
  const config::ServiceSettings& settings_;
  const bool is_listener_shared_;  // other processes accept from the same socket
  net::Descriptor listener_;
  std::uint32_t watch_id_ = 0;
  std::size_t max_descriptors_;
  const std::size_t reserved_;  // of these, for connections that find no slot
  net::DescriptorReserve spare_;
  std::size_t slotless_ = 0;  // connections that hold no slot: over capacity, or closing
  bool is_stopping_ = false, closes_after_answers_ = false;
  bool may_accept_more_ = false;
  bool is_accept_scheduled_ = false;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closed_;
  std::uint64_t next_number_ = 1;
  Tally tally_;
};

}  // namespace marbledyke::clients
