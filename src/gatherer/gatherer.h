// The gatherer's turn: what is ready is gathered, handed to the module in one go, and what it decides is
// carried out. Keeps the multigets in hand and their ids; decides nothing.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carrier/carrier.h"
#include "choice.h"
#include "clients/clients.h"
#include "config/commission.h"
#include "front/front.h"
#include "list/watch.h"
#include "log/log.h"
#include "model/slab.h"
#include "net/loop.h"
#include "operator_file/terms.h"
#include "servers/servers.h"
#include "totals/totals.h"

namespace marbledyke::gatherer {

class Gatherer {
 public:
  // Outlived by the commission, whose settings change with reload().
  // A socket that listens already at the address for clients may be given, and another clock.
  explicit Gatherer(config::Commission& commission, net::Descriptor listening = {},
                    const TimeSource& clock = machine_clock());

  // A further front beside the platform's; before the first turn.
  void add(std::unique_ptr<front::Front> front);
  // The way to servers that speak another protocol than frames; before the first turn.
  void add(std::unique_ptr<carrier::Carrier> carrier);
  bool make_room();  // a descriptor is needed; false: none can be given up

  // One turn; false once all is done after leave().
  bool turn();
  // A planned stop: clients that are connected are served for a while yet, what was taken is finished.
  void leave();
  // The configuration read anew: settings and discovery are taken, the rest is named in the log. What was
  // taken in is finished under the settings it came under. Throws, and changes nothing, where they make no
  // sense.
  void reload(const config::Commission& fresh);
  // The operator's own terms, at the start and whenever they were read again.
  void operate(const operator_file::Terms& terms);
  net::Loop& loop() { return loop_; }
  void report();  // a log line of what has been done
  // From now on each second of the wall clock is counted by op type and told, one line of JSON each, after
  // it.
  void record(std::function<void(const std::string& line)> told);
  const servers::Tally& tally() const { return servers_.tally(); }
  const servers::Servers& servers() const { return servers_; }

 private:
  struct Piece {
    int shard = 0;
    double mass = 0;
    std::uint64_t key = 0;
    Duration hint{};
    int sent = 0;
    bool returned = false;
    double score = 0;
    std::string value;
  };

  // A multiget from its request to the end of its last send. Its id and its parts' differ in their last
  // digits.
  struct InHand {
    Rid id;
    std::size_t front = 0;
    std::uint64_t caller = 0;  // 0 once it has its final answer or its client has left
    std::string wire_id;
    Duration until{};     // what the module was told: its final answer comes before
    int second_step = 0;  // by the settings it was taken under, as is the next
    bool once = false;
    int step = 1;
    bool first_whole = false;
    bool over = false;
    int out = 0;                                // sends
    Duration last_send = Duration::min() / 2;   // when the newest was pulled
    Duration last_given = Duration::min() / 2;  // and the newest that was given up without an answer
    std::size_t first_of_step = 0;
    std::vector<Piece> pieces;  // of both steps
    std::shared_ptr<const std::string> text;
    std::string from;  // the shards that the second step is from
    // For the record only, empty without one.
    std::string op_type;
    Duration began{}, budget{};
  };

  // What is counted while somebody is told.
  struct Record {
    std::function<void(const std::string&)> told;
    totals::Window window;
    std::uint64_t number = 0;
  };

  struct Taken {
    std::uint64_t sent = 0, answered = 0, pushed_back = 0, failed = 0, left = 0, no_room = 0,
                  second_steps = 0, unreadable = 0;
  };

  Rid part_id(const Rid& multiget, std::size_t piece) const;
  InHand* hand_of(const Rid& part, std::size_t* piece = nullptr);
  bool any_news() const;
  bool no_clients() const;
  bool writing() const;
  void hand_over();
  void carry_out();
  void take(std::size_t front, front::Asked& asked);
  void left(std::size_t front, std::uint64_t caller);
  void fail_what_outlasts_stop();
  void hand_parts(InHand& mg);
  void sent_back(servers::Ended& ended);
  void decided(const Verdict& verdict);
  void answered(InHand& mg, const Verdict& verdict);
  void second_step(InHand& mg, bool whole);
  void over(InHand& mg);
  void give_back(InHand& mg);
  void list_came(list::News&& news);
  carrier::Carrier* carrier_of(std::string_view server);

  bool renew(const config::Commission& fresh);
  void tell_window();
  // Where a multiget is counted; none: nobody is told.
  totals::Count* counted(const InHand& mg);

  config::Commission& commission_;
  net::Address discovery_;  // the one of the newest configuration
  net::Loop loop_;
  Duration unix_start_;
  Choice choice_;
  servers::Servers servers_;
  std::vector<std::unique_ptr<carrier::Carrier>> carriers_;
  clients::Clients clients_;
  std::vector<std::unique_ptr<front::Front>> more_fronts_;
  std::vector<front::Front*> fronts_{&clients_};  // all of them, the platform's first
  list::Watch watch_;
  Slab<InHand> hand_;
  int held_ = 0;  // multigets and parts
  int open_ = 0;  // multigets not finally answered
  std::uint32_t next_number_ = 1;
  std::vector<std::uint64_t> numbers_;
  std::map<std::pair<std::size_t, std::uint64_t>, Rid> by_caller_;
  std::map<std::string, Rid, std::less<>> by_wire_id_;
  std::vector<Rid> second_steps_;  // whose parts the module is told of in the next turn
  std::vector<list::News> news_;
  std::vector<Duration> refusals_;  // of the list; within what each is asked for again
  bool woken_ = true;
  std::optional<Duration> leave_by_;  // in a planned stop: when all must be over
  bool accepting_ = true, parting_ = false;
  Taken done_;
  log::Throttled long_turns_{log::Level::warning, "gatherer.long_turn"};
  std::optional<Record> record_;
};

}  // namespace marbledyke::gatherer
