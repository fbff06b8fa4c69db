// The connections to the shard servers: sends go out as calls, and each comes back with exactly one fate.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "addresses/book.h"
#include "config/gatherer_config.h"
#include "list/news.h"
#include "net/loop.h"
#include "net/socket.h"
#include "servers/frames.h"

namespace marbledyke::servers {

inline constexpr int kFewLinks = 4;  // to one server, beyond which none is opened to keep parts apart

// A send as it is to be carried out.
struct Errand {
  RequestId part;
  int send = 0;
  std::string id;  // the part's id on the wire
  int shard = 0;
  bool once = false;  // may never be sent again if it may have run
  std::string more;   // what its list holds beside the time left
  std::shared_ptr<const std::string> text;
  Duration not_past{};
  Duration begun_by = Duration::max();
  Duration pulled{};
};

struct Ended {
  RequestId part;
  int send = 0;
  SendOutcome fate = SendOutcome::unused;
  Duration elapsed{};
  LoadReport report;
  double score = 0;
  std::string value;
};

struct Probed {
  std::string server;
  SendOutcome fate = SendOutcome::unused;
  Duration elapsed{};
  LoadReport report;
};

struct Tally {
  std::uint64_t opened = 0, calls = 0, sends = 0, probes = 0, dial_failed = 0, dropped = 0, expired = 0,
                odd_frames = 0, proofs = 0;
};

class Servers {
 public:
  // make_room is asked for a descriptor where none is left.
  Servers(net::Loop& loop, const config::ServiceSettings& settings, std::uint32_t seed,
          std::function<bool()> make_room);
  ~Servers();

  // The operator's rules for connecting and its own addresses; in place of those before.
  void configure(const addresses::Rules& rules,
                 std::map<std::string, addresses::Book::Configured, std::less<>> configured);

  // An entry of a whole list that cannot be read leaves its server as it was.
  void listed(const list::News& news);
  // What the list last said of a server that it has; none: nothing, or not under the present zones and cells.
  const ListEntry* last_row(std::string_view server) const;
  // Before the settings name other zones: what is held is numbered anew, by their names.
  void renumber_zones(const std::vector<std::string>& from, const std::vector<std::string>& to);
  // One turn's sends to one server, in one call as far as a call goes.
  void call(const std::string& server, std::vector<Errand> errands);
  void withdraw(const RequestId& part, int send);
  void unsend(const RequestId& part, int send);  // ends it as never sent, if that is still true
  void probe(const std::string& server);

  // What has ended since the last time.
  std::vector<Ended> ended;
  std::vector<Probed> probed;

  // The end of the last time when no server said anything for some ticks, with sends out.
  Duration silent_until() const { return silent_until_; }

  const Tally& tally() const { return tally_; }
  const addresses::Book& book() const { return book_; }
  std::size_t connections() const { return links_.size(); }
  std::size_t servers_listed() const { return rows_.size(); }
  std::size_t sockets() const;  // those of races and trials with them

 private:
  struct Link;
  struct Runner;
  struct Trial;
  using SendKey = std::pair<RequestId, int>;

  Link* link_for(const std::string& server, const std::vector<Errand>& errands);
  Link* dial(const std::string& server);
  bool race_on(Link& link);
  void dial(Link& link, const addresses::Step& step);
  void came_up(Link& link, int attempt);
  void runner_heard(Link& link, int attempt);
  void runner_ended(Link& link, int attempt, addresses::End end);
  void won(Link& link, int attempt);
  void lay_down(Link& link, int attempt);
  void plan_trials();
  void start_trial(const addresses::Trial& what);
  void end_trial(std::uint64_t number, addresses::End end);
  void relist();
  void pump(Link& link);
  void written(Link& link);
  void arrived(Link& link);
  void heard(Link& link, Frame& frame);
  void broke(Link& link, bool connected);
  void drop(Link& link, const char* why);
  void settle(Link& link, const std::string& id, SendOutcome fate, PartAnswer answer = {});
  void end(const Errand& errand, SendOutcome fate, PartAnswer answer = {});
  void give_up(const SendKey& key, SendOutcome fate);
  void end_probe(Link& link, SendOutcome fate, LoadReport report = {});
  void doubt(Link& link, Duration since);
  void rest(Link& link);
  bool up(std::string_view server) const;  // listed, and takes something new
  bool wanted(const Link& link) const;
  void expect_more(Link& link);
  void bury();

  net::Loop& loop_;
  const config::ServiceSettings& settings_;
  std::function<bool()> make_room_;
  addresses::Book book_;
  std::map<std::string, ListEntry, std::less<>> rows_;    // the servers listed, up or draining
  std::map<std::uint64_t, std::unique_ptr<Link>> links_;  // by their number, so in the order of their opening
  std::map<std::uint64_t, std::unique_ptr<Trial>> trials_;
  std::optional<net::Loop::Timer> trial_wake_;
  std::vector<std::unique_ptr<Link>> graves_;  // ended, perhaps still being told of it
  std::vector<std::unique_ptr<Trial>> trial_graves_;
  std::vector<std::unique_ptr<net::Stream>> stream_graves_;
  std::map<SendKey, std::pair<std::uint64_t, std::string>> out_;  // link and wire id of each send that is out
  std::uint64_t next_link_ = 1, next_trial_ = 1;
  Duration heard_{}, silent_until_ = Duration::min() / 2;
  Tally tally_;
};

}  // namespace marbledyke::servers
