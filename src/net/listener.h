// A listening socket that hands over who connects: a bounded number a turn, and none while there is no room.
#pragma once

#include <functional>
#include <optional>

#include "net/address.h"
#include "net/descriptor.h"
#include "net/loop.h"

namespace marbledyke::net {

class Listener final : public EventHandler {
 public:
  struct Callbacks {
    std::function<bool()> has_room;         // before each accept; false: leave it in the backlog
    std::function<bool()> free_descriptor;  // no descriptor is left; true: one was given up
    std::function<void(Descriptor)> on_accepted;
  };
  // Throws std::system_error where the address cannot be listened on.
  Listener(Loop& loop, const Address& address, Callbacks told);
  ~Listener() override { shut(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void resume();  // there is room again, perhaps; takes effect in the next turn
  void stop();    // takes who is in the backlog, as far as there is room, and closes
  bool is_stopped() const { return !fd_; }

  void on_ready(bool readable, bool writable) override;

 private:
  void accept();
  void shut();

  Loop& loop_;
  Descriptor fd_;
  std::uint32_t place_ = 0;
  Callbacks callbacks_;
  bool backlog_pending_ = false;  // somebody may be in the backlog
  std::optional<Loop::Timer> accept_timer_;
};

}  // namespace marbledyke::net
