// The connections to shard servers that speak another protocol than the shard protocol's frames: a pool for
// each server, with one part at a time on each connection. Every send ends with exactly one fate, under the
// same rules as in servers::ShardServerPool. The protocol itself is a ProtocolSession's.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "carrier/fates.h"
#include "carrier/protocol_session.h"
#include "config/gatherer_config.h"
#include "list/list_update.h"
#include "net/loop.h"
#include "net/socket.h"
#include "servers/shard_server_pool.h"

namespace marbledyke::carrier {

struct Counters {
  std::uint64_t opened = 0, parts = 0, answered = 0, refused = 0, failed = 0, dropped = 0, not_connected = 0,
                expired = 0, revoked = 0, unused = 0, cancelled = 0, closed_by_server = 0, out_of_step = 0;
};

class Carrier {
 public:
  Carrier(net::Loop& loop, const config::ServiceSettings& settings, SessionFactory make_session,
          std::function<bool()> make_room);
  ~Carrier();

  // Sets the servers that this carrier is for, each with the name of its database.
  void set_databases(std::map<std::string, std::string, std::less<>> databases);
  bool serves(std::string_view server) const { return databases_.contains(server); }

  // Replaces the operator's own addresses of servers, which come beside those of the list or instead of them.
  void configure(std::map<std::string, addresses::AddressBook::ServerOverride, std::less<>> overrides);

  void apply_list_update(const list::ListUpdate& update);
  void call(const std::string& server, std::vector<servers::SendRequest> requests);
  // Returns false where the send is not pending here.
  bool cancel_send(const RequestId& part, int send);
  // These protocols have no load report: the result only tells whether the server accepts sends.
  void probe(const std::string& server);
  // Destroys closed connections. Not to be called within a callback of one.
  void destroy_closed();

  // Results since the owner last emptied these.
  std::vector<servers::SendResult> finished_sends;
  std::vector<servers::ProbeResult> finished_probes;

  const Counters& counters() const { return counters_; }
  std::size_t connection_count() const { return connections_.size(); }

 private:
  struct Connection;
  struct PendingSend {
    servers::SendRequest request;
    SendStage stage = SendStage::waiting;
    std::uint64_t connection = 0;
    std::optional<net::Loop::Timer> expiry;
  };
  using SendKey = std::pair<RequestId, int>;
  struct Server {
    bool up = false;
    std::vector<net::Address> listed, addresses;  // of the list; in the order of dialling
    std::size_t first = 0;  // the index of the address to dial first: the last that connected
    std::deque<SendKey> waiting;
  };

  void merge_addresses(const std::string& name, Server& server_state);
  void reconsider_connections();
  bool open_connection(const std::string& server);
  void on_connected(Connection& connection);
  void start_send(Connection& connection, const SendKey& key);
  void on_data(Connection& connection);
  void on_drained(Connection& connection);
  bool connect_next_address(Connection& connection);
  void on_closed(Connection& connection);
  void close(Connection& connection);
  void on_idle(Connection& connection);
  void assign_waiting(const std::string& server);
  void finish_send(const SendKey& key, SendOutcome fate, std::string value = {});
  void abandon_send(const SendKey& key, SendOutcome fate);

  net::Loop& loop_;
  const config::ServiceSettings& settings_;
  SessionFactory make_session_;
  std::function<bool()> make_room_;
  std::map<std::string, std::string, std::less<>> databases_;
  std::map<std::string, addresses::AddressBook::ServerOverride, std::less<>> overrides_;
  std::map<std::string, Server, std::less<>> servers_;
  std::map<SendKey, PendingSend> sends_;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closed_connections_;
  std::vector<std::unique_ptr<net::Stream>> closed_streams_;
  std::uint64_t next_connection_ = 1;
  ClosingServers closing_servers_;
  Counters counters_;
};

}  // namespace marbledyke::carrier
