#include "net/listener.h"

#include <cerrno>
#include <system_error>
#include <utility>

#include "net/socket.h"

namespace marbledyke::net {

namespace {
constexpr int kMaxAcceptsPerTurn = 64;
}  // namespace

Listener::Listener(Loop& loop, const Address& address, Callbacks callbacks)
    : loop_(loop), fd_(listen_on(address)), callbacks_(std::move(callbacks)) {
  if (!fd_) throw std::system_error(errno, std::generic_category(), address.text());
  watch_id_ = loop_.watch(fd_.get(), *this);
}

void Listener::on_ready(bool, bool) { accept(); }

void Listener::accept() {
  backlog_pending_ = true;
  for (int count = 0; fd_ && count < kMaxAcceptsPerTurn; ++count) {
    if (!callbacks_.has_room()) {
      backlog_pending_ = has_pending_connection(fd_.get());
      if (!backlog_pending_ || !callbacks_.make_room()) return;
    }
    Descriptor fd = accept_connection(fd_.get());
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      // Without a descriptor, and with none that the owner could close, accepting is tried again once one is
      // free.
      backlog_pending_ = errno != EAGAIN && errno != EWOULDBLOCK;
      if (errno == EMFILE || errno == ENFILE) {
        backlog_pending_ = has_pending_connection(fd_.get());
        if (backlog_pending_ && callbacks_.make_room()) continue;
      }
      return;
    }
    callbacks_.on_accepted(std::move(fd));
  }
  resume();  // the rest of a burst waits for the next turn, so that other events are handled in between
}

void Listener::resume() {
  if (!fd_ || !backlog_pending_ || accept_timer_) return;
  accept_timer_ = loop_.call_at(loop_.now(), [this] {
    accept_timer_.reset();
    accept();
  });
}

void Listener::stop() {
  if (!fd_) return;
  accept();
  close();
}

void Listener::close() {
  if (!fd_) return;
  if (accept_timer_) loop_.cancel(*accept_timer_);
  accept_timer_.reset();
  loop_.unwatch(fd_.get(), watch_id_);
  fd_.close();
}

}  // namespace marbledyke::net
