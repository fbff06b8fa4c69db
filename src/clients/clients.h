// The connections from clients: requests come in, one at a time on each, and answers go out. Who finds no
// place is accepted all the same, on descriptors that are held back for this, and refused: by the protocol a
// request is taken as soon as it is written to a connection that the kernel has accepted, so one that is left
// there is lost.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "clients/ask.h"
#include "clients/eviction.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"
#include "net/spare.h"

namespace marbledyke::clients {

using front::Asked;

// Descriptors held back for connections that find no place; a quarter of what there is where that is less.
// One is needed for a round trip at a time, so a few refuse any number.
inline constexpr std::size_t kHeldBack = 8;

class Clients final : public front::Front, public net::Watcher {
 public:
  // Throws std::system_error where the address cannot be listened on. `most` descriptors are for connections,
  // those held back for refusals among them. A socket that listens already, and that others accept from as
  // well, may be given instead of being opened.
  Clients(net::Loop& loop, const config::Carriage& carriage, const net::Address& listen, std::size_t most,
          net::Descriptor listening = {});
  ~Clients() override;

  void answer(std::uint64_t caller, bool whole, const std::vector<Value>& values) override;
  void refuse(std::uint64_t caller, front::Refusal why, Duration come_back) override;

  void leave() override;
  void part_with_all() override;
  void stop_accepting() override;
  void close_idle(Duration since) override;
  bool make_room() override;
  bool empty() const override { return callers_.empty() && !listener_; }  // and nobody can come
  bool writing() const override;
  std::size_t size() const override { return callers_.size(); }

  void ready(bool readable, bool writable) override;
  void bury() override;

  struct Tally {
    std::uint64_t accepted = 0, let_go = 0, evicted = 0, silent = 0, unended = 0, refused_at_door = 0;
  };
  const Tally& tally() const { return tally_; }
  void room(std::size_t most) { most_ = most; }  // descriptors, from now on

 private:
  struct Caller;
  enum class Accepted { one, nobody, no_room };

  bool accept();  // true where more may be waiting
  Accepted accept_one();
  net::Descriptor accept_without_descriptors(bool& at_door);
  void greet(net::Descriptor fd, bool at_door);
  void accept_later();
  std::size_t places() const { return most_ - held_back_; }
  std::size_t in_places() const { return callers_.size() - aside_; }
  bool no_descriptor() const { return callers_.size() + spare_.held() >= most_; }
  bool refill();
  bool has_place(Caller& caller);
  bool silent_to_door();
  void set_aside(Caller& caller);

  void arrived(Caller& caller);
  void request(Caller& caller);
  void turn_away(std::uint64_t caller, int status, std::string_view why, Duration come_back = {});
  void say(Caller& caller, const std::string& text, bool stays);
  void drained(Caller& caller);
  void part(Caller& caller);
  Activity activity(const Caller& caller) const;
  Caller* first_to_go(bool (*among)(const Caller&)) const;
  bool dismiss(Caller& caller);
  bool free_place();
  bool free_descriptor(bool (*among)(const Caller&));
  void refuse_no_room(Caller& caller);
  void sweep();
  void unended(Caller& caller);
  void close(Caller& caller);
  void shut_when_nobody_waits();
  void shut();

  net::Loop& loop_;
  const config::Carriage& carriage_;
  const bool shared_;  // others accept from the same socket
  net::Descriptor listener_;
  std::uint32_t place_ = 0;
  std::size_t most_;
  const std::size_t held_back_;  // of these; for connections that find no place
  net::Spare spare_;
  std::size_t aside_ = 0;  // connections that hold no place: at the door, or closing
  bool leaving_ = false, parting_ = false;
  bool more_to_accept_ = false;
  bool accept_due_ = false;  // a timer will try again
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<Caller>> graves_;
  std::uint64_t next_caller_ = 1;
  Tally tally_;
};

}  // namespace marbledyke::clients
