#include "net/socket.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace marbledyke::net {
namespace {

// A peer that sends faster than its bytes are consumed must not keep the loop from other events.
constexpr std::size_t kMaxBytesPerTurn = 256 * 1024;

// Turns Nagle's algorithm off. Fails without harm on Unix sockets, which have no such option.
void disable_nagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Descriptor open_socket(const sockaddr_storage& address) {
  return Descriptor(socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

const sockaddr* as_sockaddr(const sockaddr_storage& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace

Descriptor listen_on(const Address& address) {
  sockaddr_storage local;
  const socklen_t size = address.to_sockaddr(local);
  Descriptor fd = open_socket(local);
  if (!fd) return fd;
  const int on = 1;
  setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  // An IPv6 listener takes no IPv4 connections, whatever the system's default.
  if (address.family() == Family::ip6) setsockopt(fd.get(), IPPROTO_IPV6, IPV6_V6ONLY, &on, sizeof on);
  if (bind(fd.get(), as_sockaddr(local), size) != 0 || listen(fd.get(), SOMAXCONN) != 0) return {};
  return fd;
}

Descriptor start_connect(const Address& to) {
  sockaddr_storage peer;
  const socklen_t size = to.to_sockaddr(peer);
  Descriptor fd = open_socket(peer);
  if (!fd) return fd;
  if (to.family() != Family::local) disable_nagle(fd.get());
  if (connect(fd.get(), as_sockaddr(peer), size) != 0 && errno != EINPROGRESS && errno != EINTR) {
    const int reason = errno;
    fd.close();
    errno = reason;
  }
  return fd;
}

Descriptor accept_connection(int listener) {
  Descriptor fd(accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd) disable_nagle(fd.get());
  return fd;
}

bool has_pending_connection(int listener) {
  pollfd polled{listener, POLLIN, 0};
  return poll(&polled, 1, 0) > 0;
}

Stream::Stream(Loop& loop, Descriptor fd, bool connected, std::size_t max_in, std::size_t max_out,
               Callbacks callbacks)
    : loop_(loop),
      fd_(std::move(fd)),
      watch_id_(loop.watch(fd_.get(), *this)),
      connected_(connected),
      max_in_(max_in),
      in_(max_in),
      out_(max_out),
      callbacks_(std::move(callbacks)) {}

Stream::~Stream() { close(); }

void Stream::close() {
  if (!fd_) return;
  loop_.unwatch(fd_.get(), watch_id_);
  if (read_timer_) loop_.cancel(*read_timer_);
  read_timer_.reset();
  fd_.close();
  in_.clear();
  out_.clear();
}

void Stream::shutdown_write() {
  if (fd_) shutdown(fd_.get(), SHUT_WR);
}

void Stream::end(bool reset) {
  const bool was_connected = connected_;
  reset_ = reset;
  close();
  if (callbacks_.on_ended) callbacks_.on_ended(was_connected);
}

void Stream::on_ready(bool readable, bool writable) {
  if (!connected_) {
    if (!writable && !readable) return;
    int error = 0;
    socklen_t size = sizeof error;
    sockaddr_storage peer{};
    socklen_t peer_size = sizeof peer;
    if (getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) return end(true);
    // A connect still in progress has no pending error, and getpeername() fails with ENOTCONN.
    if (getpeername(fd_.get(), reinterpret_cast<sockaddr*>(&peer), &peer_size) != 0) return;
    connected_ = true;
    if (callbacks_.on_connected) callbacks_.on_connected();
    if (is_closed()) return;
  }
  if (writable && !out_.empty()) flush();
  if (readable && !is_closed()) {
    unread_ = true;
    if (!read_timer_) resume_reading();
  }
}

void Stream::resume_reading() {
  std::size_t received_bytes = 0;
  while (unread_ && !is_closed()) {
    if (is_input_full()) {
      // The owner calls resume_reading() once it has taken bytes.
      if (hung_up_) end(true);
      return;
    }
    if (received_bytes >= kMaxBytesPerTurn) return read_on_next_turn();
    const std::span<char> free = in_.prepare();
    const ssize_t received = recv(fd_.get(), free.data(), free.size(), 0);
    if (received > 0) {
      in_.commit(static_cast<std::size_t>(received));
      received_bytes += static_cast<std::size_t>(received);
      if (callbacks_.on_data) callbacks_.on_data();
    } else if (received == 0) {
      return end(false);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      unread_ = false;
    } else if (errno != EINTR) {
      return end(true);
    }
  }
}

void Stream::read_on_next_turn() {
  if (read_timer_) return;
  read_timer_ = loop_.call_at(loop_.now(), [this] {
    read_timer_.reset();
    resume_reading();
  });
}

void Stream::read_available() {
  unread_ = connected_;
  resume_reading();
}

// While in() is full, the end of the stream lies behind unread bytes, and the owner may take as long as a
// whole answer before it makes room for them. The hang-up is therefore reported at once.
void Stream::on_hang_up() {
  hung_up_ = true;
  if (connected_ && is_input_full() && !is_closed()) end(true);
}

void Stream::flush() {
  // on_drained may append more and flush again. The loop below writes that, rather than a nested call.
  if (!connected_ || flushing_) return;
  flushing_ = true;
  while (!is_closed() && !out_.empty()) {
    const std::string_view front = out_.front();
    const ssize_t sent = send(fd_.get(), front.data(), front.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      out_.consume(static_cast<std::size_t>(sent));
      if (out_.empty() && callbacks_.on_drained) callbacks_.on_drained();
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      flushing_ = false;
      return end(true);
    }
  }
  flushing_ = false;
}

}  // namespace marbledyke::net
