// Connections to shard servers that speak another protocol than frames: a pool of them a server, one part at
// a time on each. Every part comes back with exactly one fate, as from servers::Servers, and under the same
// rules; the protocol itself is a Talk's.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "carrier/fates.h"
#include "carrier/talk.h"
#include "config/gatherer_config.h"
#include "list/news.h"
#include "net/loop.h"
#include "net/socket.h"
#include "servers/servers.h"

namespace marbledyke::carrier {

struct Tally {
  std::uint64_t opened = 0, parts = 0, answered = 0, refused = 0, failed = 0, dropped = 0, not_connected = 0,
                expired = 0, revoked = 0, unused = 0, cancelled = 0, closed_by_server = 0, out_of_step = 0;
};

class Carrier {
 public:
  Carrier(net::Loop& loop, const config::ServiceSettings& settings, MakeTalk make_talk,
          std::function<bool()> make_room);
  ~Carrier();

  // The servers that this carrier is for, with the databases' names there.
  void serve(std::map<std::string, std::string, std::less<>> databases);
  bool serves(std::string_view server) const { return databases_.contains(server); }

  // The operator's own addresses of servers: beside those of the list, or in their place.
  void configure(std::map<std::string, addresses::Book::Configured, std::less<>> configured);

  void listed(const list::News& news);
  void call(const std::string& server, std::vector<servers::Errand> errands);
  bool withdraw(const RequestId& part, int send);  // false: it is not here
  void probe(const std::string& server);
  void bury();

  std::vector<servers::Ended> ended;
  std::vector<servers::Probed> probed;

  const Tally& tally() const { return tally_; }
  std::size_t connections() const { return links_.size(); }

 private:
  struct Link;
  struct Job {
    servers::Errand errand;
    Stage stage = Stage::waiting;
    std::uint64_t link = 0;
    std::optional<net::Loop::Timer> expiry;
  };
  using Key = std::pair<RequestId, int>;
  struct Known {
    bool up = false;
    std::vector<net::Address> listed, addresses;  // as the list has them; as they are dialled
    std::size_t first = 0;                        // the address that is dialled first: the last that came up
    std::deque<Key> waiting;
  };

  void merge(const std::string& name, Known& known);
  void relist();
  bool dial(const std::string& server);
  void came_up(Link& link);
  void begin(Link& link, const Key& key);
  void arrived(Link& link);
  void drained(Link& link);
  bool next_address(Link& link);
  void broke(Link& link);
  void close(Link& link);
  void free(Link& link);
  void next(const std::string& server);
  void end(const Key& key, SendOutcome fate, std::string value = {});
  void give_up(const Key& key, SendOutcome fate);

  net::Loop& loop_;
  const config::ServiceSettings& settings_;
  MakeTalk make_talk_;
  std::function<bool()> make_room_;
  std::map<std::string, std::string, std::less<>> databases_;
  std::map<std::string, addresses::Book::Configured, std::less<>> configured_;
  std::map<std::string, Known, std::less<>> servers_;
  std::map<Key, Job> jobs_;
  std::map<std::uint64_t, std::unique_ptr<Link>> links_;
  std::vector<std::unique_ptr<Link>> graves_;
  std::vector<std::unique_ptr<net::Stream>> stream_graves_;
  std::uint64_t next_link_ = 1;
  Leaving leaving_;
  Tally tally_;
};

}  // namespace marbledyke::carrier
