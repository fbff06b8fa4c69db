// Non-blocking sockets, and a stream: a connected socket with one ring buffer for each direction.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "net/address.h"
#include "net/descriptor.h"
#include "net/loop.h"
#include "net/ring_buffer.h"

namespace marbledyke::net {

// These functions return an empty descriptor on failure, with the reason in errno. A connect to a Unix socket
// whose backlog is full fails at once with EAGAIN; it is not left in progress.
Descriptor listen_on(const Address& address);
Descriptor start_connect(const Address& to);
Descriptor accept_connection(int listener);
// Whether the listener's backlog holds a connection. Without a free descriptor accept() fails before it looks
// at the backlog, so its error does not tell.
bool has_pending_connection(int listener);

class Stream final : public EventHandler {
 public:
  // The owner may close the stream within a callback, but not destroy it.
  struct Callbacks {
    std::function<void()> on_connected;
    std::function<void()> on_data;                 // in() holds new bytes
    std::function<void()> on_drained;              // all of out() has been written
    std::function<void(bool connected)> on_ended;  // the peer closed, or the connection failed
  };

  // `connected` is false for a connect in progress. in() holds at most max_in bytes, out() at most max_out.
  Stream(Loop& loop, Descriptor fd, bool connected, std::size_t max_in, std::size_t max_out,
         Callbacks callbacks);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  RingBuffer& in() { return in_; }
  RingBuffer& out() { return out_; }
  // Returns the bytes of memory that both buffers occupy beyond what each connection takes.
  std::size_t held_bytes() const { return in_.extra_bytes() + out_.extra_bytes(); }
  bool is_connected() const { return connected_; }
  bool is_closed() const { return !fd_; }
  // Whether the stream ended otherwise than by the peer's orderly close.
  bool was_reset() const { return reset_; }

  // Writes as much of out() as the socket takes, and calls on_drained once all of it is written.
  void flush();
  // Continues to read after the owner has taken bytes from a full in().
  void resume_reading();
  // Limits in() to fewer bytes than at first; what is beyond waits in the socket.
  void limit_input(std::size_t max_in) { max_in_ = max_in; }
  // Reads what has arrived, whether or not the loop has reported it yet.
  void read_available();
  // Closes at once and drops both buffers, without a callback.
  void close();
  // Ends this side of the connection. Bytes that the peer still sends are read as before.
  void shutdown_write();

  void on_ready(bool readable, bool writable) override;
  void on_hang_up() override;

 private:
  void end(bool reset);
  bool is_input_full() const { return in_.full() || in_.size() >= max_in_; }
  void read_on_next_turn();

  Loop& loop_;
  Descriptor fd_;
  std::uint32_t watch_id_;
  bool connected_;
  bool flushing_ = false;
  bool reset_ = false;
  bool hung_up_ = false;  // the peer's end lies behind bytes that were not read
  bool unread_ = false;   // the socket may hold bytes that were not read, as epoll reports edges only
  std::size_t max_in_;
  RingBuffer in_, out_;
  Callbacks callbacks_;
  std::optional<Loop::Timer> read_timer_;
};

}  // namespace marbledyke::net
