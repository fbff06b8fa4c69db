// Sockets, and a stream: a connected socket with one ring buffer a direction.
#pragma once

#include <cstdint>
#include <functional>

#include "net/address.h"
#include "net/descriptor.h"
#include "net/loop.h"
#include "net/ring_buffer.h"

namespace marbledyke::net {

// All of these are non-blocking. An empty descriptor leaves the reason in errno. A local socket whose backlog
// is full ends a connect with EAGAIN: it is not under way.
Descriptor listen_on(const Address& address);
Descriptor start_connect(const Address& to);
Descriptor accept_connection(int listener);
// With no descriptor left, accepting fails before it looks whether there is anybody to accept.
bool has_pending_connection(int listener);

class Stream final : public EventHandler {
 public:
  // What its owner is told; the owner may close the stream, but not destroy it, while it is being told.
  struct Callbacks {
    std::function<void()> on_connected;            // a connect came through
    std::function<void()> on_data;                 // there are new bytes in in()
    std::function<void()> on_drained;              // all of out() is written
    std::function<void(bool connected)> on_ended;  // the peer closed, or the connection failed
  };

  Stream(Loop& loop, Descriptor fd, bool connected, std::size_t most_in, std::size_t most_out,
         Callbacks told);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  RingBuffer& in() { return in_; }
  RingBuffer& out() { return out_; }
  bool is_connected() const { return connected_; }
  bool is_closed() const { return !fd_; }
  bool was_reset() const { return reset_; }  // it ended otherwise than by the peer's orderly close

  void flush();           // writes what the socket takes; tells drained once all is out
  void resume_reading();  // reads after the owner had left the ring full
  void read_available();  // reads what has come, whether or not the loop has told of it yet
  void close();           // at once, without being told
  void shutdown_write();  // no more from this side; what the peer still sends is dropped

  void on_ready(bool readable, bool writable) override;
  void on_hang_up() override;

 private:
  void end(bool reset);

  Loop& loop_;
  Descriptor fd_;
  std::uint32_t place_;
  bool connected_;
  bool flushing_ = false;
  bool reset_ = false;
  bool left_unread_ = false;  // an edge came while the ring was full
  RingBuffer in_, out_;
  Callbacks callbacks_;
};

}  // namespace marbledyke::net
