// Sockets, and a stream: a connected socket with one ring buffer a direction.
#pragma once

#include <cstdint>
#include <functional>

#include "net/address.h"
#include "net/descriptor.h"
#include "net/loop.h"
#include "net/ring.h"

namespace marbledyke::net {

// All of these are non-blocking. An empty descriptor leaves the reason in errno. A local socket whose backlog
// is full ends a connect with EAGAIN: it is not under way.
Descriptor listen_on(const Address& address);
Descriptor start_connect(const Address& to);
Descriptor accept_from(int listener);
// With no descriptor left, accepting fails before it looks whether there is anybody to accept.
bool anybody_waits(int listener);

class Stream final : public Watcher {
 public:
  // What its owner is told; the owner may close the stream, but not destroy it, while it is being told.
  struct Told {
    std::function<void()> opened;               // a connect came through
    std::function<void()> arrived;              // there are new bytes in in()
    std::function<void()> drained;              // all of out() is written
    std::function<void(bool connected)> ended;  // the peer closed, or the connection failed
  };

  Stream(Loop& loop, Descriptor fd, bool connected, std::size_t most_in, std::size_t most_out, Told told);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  Ring& in() { return in_; }
  Ring& out() { return out_; }
  bool connected() const { return connected_; }
  bool closed() const { return !fd_; }
  bool was_reset() const { return reset_; }  // it ended otherwise than by the peer's orderly close

  void flush();     // writes what the socket takes; tells drained once all is out
  void read_on();   // reads after the owner had left the ring full
  void read_now();  // reads what has come, whether or not the loop has told of it yet
  void close();     // at once, without being told
  void finish();    // no more from this side; what the peer still sends is dropped

  void ready(bool readable, bool writable) override;
  void hung_up() override;

 private:
  void end(bool reset);

  Loop& loop_;
  Descriptor fd_;
  std::uint32_t place_;
  bool connected_;
  bool flushing_ = false;
  bool reset_ = false;
  bool left_unread_ = false;  // an edge came while the ring was full
  Ring in_, out_;
  Told told_;
};

}  // namespace marbledyke::net
