// The connections to the shard servers. Sends go out in calls, and each send ends with exactly one fate.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "addresses/address_book.h"
#include "config/gatherer_config.h"
#include "list/list_update.h"
#include "net/loop.h"
#include "net/socket.h"
#include "servers/frames.h"

namespace marbledyke::servers {

// Connections to one server up to which a new one is opened to keep a non-retriable part apart from others.
inline constexpr int kMaxIsolatingConnections = 4;

// A send to be carried out: one attempt of a part.
struct SendRequest {
  RequestId part;
  int send = 0;
  std::string id;  // the part's id on the wire
  int shard = 0;
  bool non_retriable = false;  // must not be sent again once it may have run
  std::string list_suffix;     // appended to the time left in the part's list of settings
  std::shared_ptr<const std::string> text;
  Duration deadline{};                        // the send expires then
  Duration start_deadline = Duration::max();  // a send that is not being written by then is never written
  Duration issued_at{};                       // when the decision engine issued it
};

// How a send ended.
struct SendResult {
  RequestId part;
  int send = 0;
  SendOutcome fate = SendOutcome::unused;
  Duration elapsed{};  // since it was issued
  LoadReport report;
  double score = 0;
  std::string value;
};

// How a probe of a server's load ended.
struct ProbeResult {
  std::string server;
  SendOutcome fate = SendOutcome::unused;
  Duration elapsed{};
  LoadReport report;
};

struct Counters {
  std::uint64_t opened = 0, calls = 0, sends = 0, probes = 0, dial_failed = 0, dropped = 0, expired = 0,
                odd_frames = 0, proofs = 0;
};

class ShardServerPool {
 public:
  // make_room is called when no descriptor is left; it returns whether it closed one. The service settings
  // have to outlive the pool.
  ShardServerPool(net::Loop& loop, const config::ServiceSettings& settings, std::uint32_t seed,
                  std::function<bool()> make_room);
  ~ShardServerPool();

  // Replaces the operator's settings for connecting and its own addresses.
  void configure(const addresses::ConnectSettings& settings,
                 std::map<std::string, addresses::AddressBook::ServerOverride, std::less<>> overrides);

  // A server whose entry of a snapshot cannot be read stays as it was.
  void apply_list_update(const list::ListUpdate& update);
  // Returns the last list row of a listed server; null for an unknown server, or where the present settings
  // lack the row's zone or cell.
  const ListEntry* last_row(std::string_view server) const;
  // Renumbers the zones of the rows by name, before the settings change to other zones.
  void renumber_zones(const std::vector<std::string>& from, const std::vector<std::string>& to);
  // Sends one turn's sends to one server, in as few calls as the limit of parts in a call permits.
  void call(const std::string& server, std::vector<SendRequest> requests);
  // Ends a send as revoked, or as unused where it has not been written.
  void cancel_send(const RequestId& part, int send);
  // Ends a send as unused where nothing of it has been written; otherwise leaves it as it is.
  void cancel_if_unsent(const RequestId& part, int send);
  // Asks a server for its load report.
  void probe(const std::string& server);

  // Results since the owner last emptied these.
  std::vector<SendResult> finished_sends;
  std::vector<ProbeResult> finished_probes;

  // The end of the latest period of several ticks in which sends were pending and no server responded.
  Duration silent_until() const { return silent_until_; }

  const Counters& counters() const { return counters_; }
  const addresses::AddressBook& address_book() const { return address_book_; }
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t server_count() const { return rows_.size(); }
  // Counts the sockets of races and trials as well.
  std::size_t socket_count() const;

 private:
  struct Connection;
  struct Candidate;
  struct Trial;
  using SendKey = std::pair<RequestId, int>;

  Connection* connection_for(const std::string& server, const std::vector<SendRequest>& requests);
  Connection* open_connection(const std::string& server);
  bool advance_race(Connection& connection);
  void start_attempt(Connection& connection, const addresses::RaceStep& step);
  void on_candidate_connected(Connection& connection, int attempt);
  void on_candidate_data(Connection& connection, int attempt);
  void on_candidate_ended(Connection& connection, int attempt, addresses::AttemptOutcome outcome);
  void adopt_candidate(Connection& connection, int attempt);
  void discard_candidate(Connection& connection, int attempt);
  void schedule_trials();
  void start_trial(const addresses::Trial& spec);
  void end_trial(std::uint64_t number, addresses::AttemptOutcome outcome);
  void reconsider_connections();
  void write_next_frame(Connection& connection);
  void on_frame_written(Connection& connection);
  void on_data(Connection& connection);
  void on_frame(Connection& connection, Frame& frame);
  void end_connection(Connection& connection, bool connected);
  void close(Connection& connection, const char* reason);
  void finish_send(Connection& connection, const std::string& id, SendOutcome fate, PartAnswer answer = {});
  void report_result(const SendRequest& request, SendOutcome fate, PartAnswer answer = {});
  void abandon_send(const SendKey& key, SendOutcome fate);
  void finish_probe(Connection& connection, SendOutcome fate, LoadReport report = {});
  void check_silence(Connection& connection, Duration since);
  void manage_idle(Connection& connection);
  bool accepts_sends(std::string_view server) const;  // listed as up
  bool is_wanted(const Connection& connection) const;
  void arm_frame_timeout(Connection& connection);
  void destroy_closed();

  net::Loop& loop_;
  const config::ServiceSettings& settings_;
  std::function<bool()> make_room_;
  addresses::AddressBook address_book_;
  std::map<std::string, ListEntry, std::less<>> rows_;                // the listed servers, up or draining
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;  // by number, so in order of opening
  std::map<std::uint64_t, std::unique_ptr<Trial>> trials_;
  std::optional<net::Loop::Timer> trial_timer_;
  std::vector<std::unique_ptr<Connection>>
      closed_connections_;  // destroyed later, since a callback may be running
  std::vector<std::unique_ptr<Trial>> ended_trials_;
  std::vector<std::unique_ptr<net::Stream>> closed_streams_;
  std::map<SendKey, std::pair<std::uint64_t, std::string>> pending_sends_;  // connection and wire id of each
  std::uint64_t next_connection_ = 1, next_trial_ = 1;
  Duration last_heard_{}, silent_until_ = Duration::min() / 2;
  Counters counters_;
};

}  // namespace marbledyke::servers
