// The front for Z39.50 (ISO 23950), versions 2 and 3, over TCP: sessions of searching clients, whose
// operations run one after the other or, where that was negotiated, side by side. YAZ encodes and decodes the
// messages; connections, limits and session states are managed here.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "front/eviction.h"
#include "net/listener.h"
#include "net/socket.h"
#include "search/desk_front.h"

struct Z_APDU;

namespace marbledyke::z3950 {

// A number of the Bib-1 diagnostic set.
int bib1_of(search::Trouble trouble);

class Front final : public search::DeskFront {
 public:
  // As in sru::Front.
  Front(net::Loop& loop, net::MemoryBudget& memory, const search::Terms& terms,
        const config::ServiceSettings& settings, const net::Address& listen, std::uint32_t seed,
        std::size_t max_connections);
  ~Front() override;

  void announce_stop() override {}  // the protocol has no such message; a Close follows later
  void stop_accepting() override;
  void close_after_answers() override;
  void close_idle(Duration since) override;
  bool release_connection() override;
  bool empty() const override { return associations_.empty(); }
  std::size_t size() const override { return associations_.size(); }
  void destroy_closed() override;

  void log_totals() const override;

  // Counts since the start.
  struct Tally {
    std::uint64_t accepted = 0, refused = 0, messages = 0, malformed = 0, out_of_order = 0, silent = 0,
                  evicted = 0, closed = 0, cancelled = 0, segments = 0;
  };
  const Tally& tally() const { return tally_; }

 private:
  struct Association;
  struct PendingOperation;
  void add_connection(net::Descriptor fd);
  void on_data_received(Association& association);
  void receive(Association& association);
  std::optional<Duration> releasable_since(const Association& association) const;
  void update_memory(Association& association);
  void release_memory(Association& association);
  void schedule_reading(Association& association);
  bool may_begin_operation(const Association& association) const;
  void on_message(Association& association, const std::string& bytes);
  void init(Association& association, const Z_APDU& apdu);
  void search_request(Association& association, const Z_APDU& apdu);
  void present_request(Association& association, const Z_APDU& apdu);
  void scan_request(Association& association, const Z_APDU& apdu);
  void sort_request(Association& association, const Z_APDU& apdu);
  void delete_request(Association& association, const Z_APDU& apdu);
  void cancel_request(Association& association, const Z_APDU& apdu);
  void add_pending(Association& association, search::Operation operation, PendingOperation&& pending);
  void replied(search::Reply&& reply) override;
  void session_over(search::Session session) override;
  void answer_search(Association& association, const PendingOperation& pending, const search::Reply& reply);
  void answer_present(Association& association, const PendingOperation& pending, const search::Reply& reply);
  void answer_scan(Association& association, const PendingOperation& pending, const search::Reply& reply);
  void answer_sort(Association& association, const PendingOperation& pending, const search::Reply& reply);
  void send(Association& association, Z_APDU& apdu);
  void send_close(Association& association, int reason, const char* why);  // then closes the connection
  void on_output_written(Association& association);
  void close(Association& association);
  void check_timeouts();
  front::Activity activity(const Association& association) const;
  Association* eviction_candidate() const;

  std::size_t max_connections_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::unique_ptr<Association>> associations_;
  std::map<search::Session, std::uint64_t> associations_by_session_;
  std::map<search::Operation, std::uint64_t> associations_by_operation_;
  std::vector<std::unique_ptr<Association>> closed_;
  std::uint64_t next_number_ = 1;
  bool closes_after_answers_ = false;
  std::optional<net::Loop::Timer> timeout_timer_;
  Tally tally_;
  // Expires with this object, for timers that may outlive it.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace marbledyke::z3950
