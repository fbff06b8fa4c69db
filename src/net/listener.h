// A listening socket that hands over accepted connections: a bounded number in each turn of the loop, and
// none while the owner has no room.
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
    std::function<bool()> has_room;   // asked before each accept
    std::function<bool()> make_room;  // called when a connection waits for room or for a descriptor; true:
                                      // the owner closed another one. Otherwise it stays in the backlog
    std::function<void(Descriptor)> on_accepted;
  };
  // Throws std::system_error where the address cannot be listened on.
  Listener(Loop& loop, const Address& address, Callbacks callbacks);
  ~Listener() override { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Accepts again in the next turn, once there may be room.
  void resume();
  // Accepts what is in the backlog, as far as there is room, and closes the socket.
  void stop();
  bool is_stopped() const { return !fd_; }

  void on_ready(bool readable, bool writable) override;

 private:
  void accept();
  void close();

  Loop& loop_;
  Descriptor fd_;
  std::uint32_t watch_id_ = 0;
  Callbacks callbacks_;
  bool backlog_pending_ = false;  // the backlog may hold connections
  std::optional<Loop::Timer> accept_timer_;
};

}  // namespace marbledyke::net
