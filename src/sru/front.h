// SRU over HTTP/1.1: connections from searching clients, one request at a time on each.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/listener.h"
#include "net/socket.h"
#include "search/desk_front.h"
#include "sru/message.h"

namespace marbledyke::sru {

class Front final : public search::DeskFront {
 public:
  // Throws std::system_error where the address cannot be listened on, config::BadInput where the terms do not
  // fit the platform's. `most` connections are held at a time.
  Front(net::Loop& loop, const search::Terms& terms, const config::ServiceSettings& settings,
        const net::Address& listen, std::uint32_t seed, std::size_t most);
  ~Front() override;

  void announce_stop() override;
  void stop_accepting() override;
  void close_after_answers() override;
  void close_idle(Duration since) override;
  bool release_connection() override;
  bool empty() const override { return callers_.empty(); }
  std::size_t size() const override { return callers_.size(); }
  void destroy_closed() override;

  void log_totals() const override;

  struct Tally {
    std::uint64_t accepted = 0, requests = 0, unreadable = 0, silent = 0, evicted = 0;
  };
  const Tally& tally() const { return tally_; }

 private:
  struct Caller;
  void came(net::Descriptor fd);
  void arrived(Caller& caller);
  void request(Caller& caller);
  void say(Caller& caller, int status, const std::string& body, Duration come_back = {});
  void drained(Caller& caller);
  void part(Caller& caller);
  void close(Caller& caller);
  void sweep();
  void replied(search::Reply&& reply) override;
  void session_over(search::Session session) override;
  search::Session session();

  net::Address listen_;
  std::size_t most_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;
  std::map<search::Operation, std::uint64_t> waiting_;
  std::vector<std::unique_ptr<Caller>> graves_;
  std::uint64_t next_ = 1;
  search::Session session_ = 0;  // SRU's result sets belong to nobody: one session has them all
  bool parting_ = false, leaving_ = false;
  std::optional<net::Loop::Timer> swept_;
  Tally tally_;
  std::shared_ptr<const bool> there_ =
      std::make_shared<const bool>(true);  // for timers that may outlive this
};

}  // namespace marbledyke::sru
