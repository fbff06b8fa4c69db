// A shard server that stands in for a real one on loopback sockets: it speaks the frames, runs parts after a
// service time, and misbehaves at each of its addresses as it is told. It keeps count of what it ran.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "model/types.h"
#include "net/loop.h"
#include "net/socket.h"
#include "servers/frames.h"

namespace marbledyke::standins {

// What stands at one address. Whatever a door does, a part whose frame came in whole has run.
enum class Door {
  open,
  refuses,            // nobody listens
  hangs,              // a full backlog: connects neither come up nor fail (a local one fails at once)
  resets_on_accept,   // reset before anything is read
  silent,             // accepts and reads nothing
  resets_in_frame,    // answers probes, takes some bytes of a call, then a reset
  resets_after_call,  // answers probes, takes a whole call and runs it, then a reset
  stalls              // answers probes, then reads no more
};
inline constexpr int kDoors = 8;
const char* name_of(Door door);

struct LeafOptions {
  Duration service{};   // of one part
  bool spread = false;  // service times are drawn from an exponential of that mean
  std::size_t value_size = 8;
  std::size_t most_run = 4'000'000;  // parts it keeps count of by id; beyond that only in sum
};

class Leaf {
 public:
  Leaf(net::Loop& loop, const LeafOptions& options, std::uint32_t seed);
  ~Leaf();
  Leaf(const Leaf&) = delete;
  Leaf& operator=(const Leaf&) = delete;

  // Listens there and gives the door's number; -1 where the address cannot be had.
  int listen(const net::Address& address);
  void set(int door, Door how);
  int doors() const { return static_cast<int>(doors_.size()); }
  Door door(int number) const { return doors_[static_cast<std::size_t>(number)].how; }
  const net::Address& address(int number) const { return doors_[static_cast<std::size_t>(number)].address; }

  void slow(Duration service) { options_.service = service; }
  void cut_all();      // resets every connection: the process died
  void cut(int door);  // those of one door

  // Answers a part that `take` was given; false where its connection is gone or says nothing any more.
  bool reply(std::uint64_t wire, const std::string& id, char end, const std::string& report,
             const std::string* value = nullptr);

  // How often the part of that wire id was run.
  int runs(const std::string& id) const;
  void forget(const std::string& id) { runs_.erase(id); }

  struct Tally {
    std::uint64_t accepted = 0, calls = 0, parts = 0, probes = 0, cut = 0, given_up = 0, bad = 0;
  };
  const Tally& tally() const { return tally_; }
  std::size_t connections() const { return wires_.size(); }

  // Told of each part that came in whole, before it runs, and at which door.
  std::function<void(const std::string& id, int shard, int door)> ran;

  // The value of a part, from its text; none: the usual one.
  std::function<std::optional<std::string>(const std::string& text, int shard)> value;

  // Set by who runs the parts in its place; each is answered by reply().
  struct Given {
    std::uint64_t wire = 0;
    std::string id;
    int shard = 0, door = 0;
    bool first_of_call = false;
  };
  std::function<void(const Given&)> take;
  std::function<void(std::uint64_t wire, const std::string& id)> gave_up;
  std::function<bool(int door)> hears;   // false: the frame is lost
  std::function<std::string()> reports;  // its load, for probes; none: it is not told

 private:
  struct Wire;
  struct Listener;
  struct DoorAt {
    net::Address address;
    Door how = Door::open;
    std::unique_ptr<Listener> listener;
    std::vector<net::Descriptor> fillers;  // what keeps a backlog full
  };

  bool reopen(DoorAt& door);
  void accept(std::size_t door);
  void arrived(Wire& wire);
  void call(Wire& wire, std::string_view rest);
  void answer(std::uint64_t wire, const std::string& id, const std::optional<std::string>& value);
  void reset(Wire& wire);
  void gone(Wire& wire);
  void bury();

  net::Loop& loop_;
  LeafOptions options_;
  std::uint32_t seed_;
  std::uint64_t drawn_ = 0;
  std::vector<DoorAt> doors_;
  std::map<std::uint64_t, std::unique_ptr<Wire>> wires_;
  std::vector<std::unique_ptr<Wire>> graves_;
  std::vector<std::unique_ptr<Listener>> old_listeners_;
  std::map<std::string, int> runs_;
  std::uint64_t next_wire_ = 1;
  Tally tally_;
};

// An address of that family on loopback that is free now; local ones have no file.
net::Address free_address(net::Family family, std::uint32_t number);

}  // namespace marbledyke::standins
