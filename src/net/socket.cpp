#include "net/socket.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace marbledyke::net {
namespace {

// Local sockets know no such option and need none.
void send_at_once(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Descriptor open_for(const sockaddr_storage& address) {
  return Descriptor(socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

const sockaddr* plain(const sockaddr_storage& address) { return reinterpret_cast<const sockaddr*>(&address); }

}  // namespace

Descriptor listen_on(const Address& address) {
  sockaddr_storage own;
  const socklen_t size = address.to_sockaddr(own);
  Descriptor fd = open_for(own);
  if (!fd) return fd;
  const int on = 1;
  setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  // An address of one family listens for that family only, whatever the machine's default.
  if (address.family() == Family::ip6) setsockopt(fd.get(), IPPROTO_IPV6, IPV6_V6ONLY, &on, sizeof on);
  if (bind(fd.get(), plain(own), size) != 0 || listen(fd.get(), SOMAXCONN) != 0) return {};
  return fd;
}

Descriptor start_connect(const Address& to) {
  sockaddr_storage peer;
  const socklen_t size = to.to_sockaddr(peer);
  Descriptor fd = open_for(peer);
  if (!fd) return fd;
  if (to.family() != Family::local) send_at_once(fd.get());
  if (connect(fd.get(), plain(peer), size) != 0 && errno != EINPROGRESS && errno != EINTR) {
    const int why = errno;
    fd.close();
    errno = why;
  }
  return fd;
}

Descriptor accept_connection(int listener) {
  Descriptor fd(accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd) send_at_once(fd.get());
  return fd;
}

bool has_pending_connection(int listener) {
  pollfd waits{listener, POLLIN, 0};
  return poll(&waits, 1, 0) > 0;
}

Stream::Stream(Loop& loop, Descriptor fd, bool connected, std::size_t most_in, std::size_t most_out,
               Callbacks told)
    : loop_(loop),
      fd_(std::move(fd)),
      place_(loop.watch(fd_.get(), *this)),
      connected_(connected),
      in_(most_in),
      out_(most_out),
      callbacks_(std::move(told)) {}

Stream::~Stream() { close(); }

void Stream::close() {
  if (!fd_) return;
  loop_.unwatch(fd_.get(), place_);
  fd_.close();
  in_.clear();
  out_.clear();
}

void Stream::shutdown_write() {
  if (fd_) shutdown(fd_.get(), SHUT_WR);
}

void Stream::end(bool reset) {
  const bool was = connected_;
  reset_ = reset;
  close();
  if (callbacks_.on_ended) callbacks_.on_ended(was);
}

void Stream::on_ready(bool readable, bool writable) {
  if (!connected_) {
    if (!writable && !readable) return;
    int wrong = 0;
    socklen_t size = sizeof wrong;
    sockaddr_storage peer{};
    socklen_t peer_size = sizeof peer;
    if (getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &wrong, &size) != 0 || wrong != 0) return end(true);
    // Not yet connected is told as ENOTCONN without an error pending.
    if (getpeername(fd_.get(), reinterpret_cast<sockaddr*>(&peer), &peer_size) != 0) return;
    connected_ = true;
    if (callbacks_.on_connected) callbacks_.on_connected();
    if (is_closed()) return;
  }
  if (writable && !out_.empty()) flush();
  if (readable && !is_closed()) {
    left_unread_ = true;
    resume_reading();
  }
}

void Stream::resume_reading() {
  while (left_unread_ && !is_closed()) {
    if (in_.full()) return;  // the owner reads on once it has taken something
    const std::span<char> gap = in_.prepare();
    const ssize_t got = recv(fd_.get(), gap.data(), gap.size(), 0);
    if (got > 0) {
      in_.commit(static_cast<std::size_t>(got));
      if (callbacks_.on_data) callbacks_.on_data();
    } else if (got == 0) {
      return end(false);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      left_unread_ = false;
    } else if (errno != EINTR) {
      return end(true);
    }
  }
}

void Stream::read_available() {
  left_unread_ = connected_;
  resume_reading();
}

// With the ring full the end is behind bytes that nobody reads before the owner has done with those before
// them, which may take as long as an answer: the peer has gone all the same.
void Stream::on_hang_up() {
  if (connected_ && in_.full() && !is_closed()) end(true);
}

void Stream::flush() {
  // Whoever is told that all is out may put in more: that is written by this same loop, not by a deeper one.
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
