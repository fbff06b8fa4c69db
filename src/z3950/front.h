// Z39.50 (ISO 23950) version 2 and 3 over TCP: sessions of searching clients, their operations in turn or,
// where that was negotiated, side by side. Messages are coded by YAZ; connections, limits and states are
// here.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/listener.h"
#include "net/socket.h"
#include "search/desk_front.h"

struct Z_APDU;

namespace marbledyke::z3950 {

// A number of the Bib-1 diagnostic set.
int bib1_of(search::Trouble trouble);

class Front final : public search::DeskFront {
 public:
  // As of sru::Front.
  Front(net::Loop& loop, const search::Terms& terms, const config::ServiceSettings& settings,
        const net::Address& listen, std::uint32_t seed, std::size_t most);
  ~Front() override;

  void announce_stop() override {}  // this protocol has no word for it; a Close follows when it is time
  void stop_accepting() override;
  void close_after_answers() override;
  void close_idle(Duration since) override;
  bool release_connection() override;
  bool empty() const override { return associations_.empty(); }
  std::size_t size() const override { return associations_.size(); }
  void destroy_closed() override;

  void log_totals() const override;

  struct Tally {
    std::uint64_t accepted = 0, refused = 0, messages = 0, malformed = 0, out_of_order = 0, silent = 0,
                  evicted = 0, closed = 0, cancelled = 0, segments = 0;
  };
  const Tally& tally() const { return tally_; }

 private:
  struct Association;
  struct Waiting;
  void came(net::Descriptor fd);
  void arrived(Association& at);
  void read_on(Association& at);
  bool may_go_on(const Association& at) const;
  void message(Association& at, const std::string& bytes);
  void init(Association& at, const Z_APDU& apdu);
  void search_request(Association& at, const Z_APDU& apdu);
  void present_request(Association& at, const Z_APDU& apdu);
  void scan_request(Association& at, const Z_APDU& apdu);
  void sort_request(Association& at, const Z_APDU& apdu);
  void delete_request(Association& at, const Z_APDU& apdu);
  void cancel_request(Association& at, const Z_APDU& apdu);
  void wait_for(Association& at, search::Operation operation, Waiting&& waiting);
  void replied(search::Reply&& reply) override;
  void session_over(search::Session session) override;
  void answer_search(Association& at, const Waiting& waiting, const search::Reply& reply);
  void answer_present(Association& at, const Waiting& waiting, const search::Reply& reply);
  void answer_scan(Association& at, const Waiting& waiting, const search::Reply& reply);
  void answer_sort(Association& at, const Waiting& waiting, const search::Reply& reply);
  void put(Association& at, Z_APDU& apdu);
  void end(Association& at, int reason, const char* why);  // a Close, then the connection
  void drained(Association& at);
  void close(Association& at);
  void sweep();

  std::size_t most_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::unique_ptr<Association>> associations_;
  std::map<search::Session, std::uint64_t> by_session_;
  std::map<search::Operation, std::uint64_t> by_operation_;
  std::vector<std::unique_ptr<Association>> graves_;
  std::uint64_t next_ = 1;
  bool parting_ = false;
  std::optional<net::Loop::Timer> swept_;
  Tally tally_;
  std::shared_ptr<const bool> there_ =
      std::make_shared<const bool>(true);  // for timers that may outlive this
};

}  // namespace marbledyke::z3950
