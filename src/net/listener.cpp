#include "net/listener.h"

#include <cerrno>
#include <system_error>
#include <utility>

#include "net/socket.h"

namespace marbledyke::net {

namespace {
constexpr int kAcceptsARound = 64;
}  // namespace

Listener::Listener(Loop& loop, const Address& address, Callbacks told)
    : loop_(loop), fd_(listen_on(address)), callbacks_(std::move(told)) {
  if (!fd_) throw std::system_error(errno, std::generic_category(), address.text());
  place_ = loop_.watch(fd_.get(), *this);
}

void Listener::on_ready(bool, bool) { accept(); }

void Listener::accept() {
  backlog_pending_ = true;
  for (int count = 0; fd_ && count < kAcceptsARound; ++count) {
    if (!callbacks_.has_room()) return;
    Descriptor fd = accept_connection(fd_.get());
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      // Where there is neither a descriptor nor one to give up, it is tried again when one is.
      backlog_pending_ = errno != EAGAIN && errno != EWOULDBLOCK;
      if (errno == EMFILE || errno == ENFILE) {
        backlog_pending_ = has_pending_connection(fd_.get());
        if (backlog_pending_ && callbacks_.free_descriptor()) continue;
      }
      return;
    }
    callbacks_.on_accepted(std::move(fd));
  }
  resume();  // a flood waits its turn like everything else
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
  shut();
}

void Listener::shut() {
  if (!fd_) return;
  if (accept_timer_) loop_.cancel(*accept_timer_);
  accept_timer_.reset();
  loop_.unwatch(fd_.get(), place_);
  fd_.close();
}

}  // namespace marbledyke::net
