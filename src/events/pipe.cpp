#include "events/pipe.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace marbledyke::events {

Pipe::Pipe(net::Loop& loop, const std::string& path)
    : loop_(loop), fd_(open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) {
  struct stat status {};
  if (!fd_ || fstat(fd_.get(), &status) != 0) throw std::system_error(errno, std::generic_category(), path);
  if (!S_ISFIFO(status.st_mode)) throw std::system_error(EINVAL, std::generic_category(), path);
  watch_id_ = loop_.watch(fd_.get(), *this);
}

Pipe::~Pipe() { loop_.unwatch(fd_.get(), watch_id_); }

void Pipe::write_line(std::string_view text) {
  if (pending_.size() + text.size() + 1 > kMaxPendingBytes) {
    ++dropped_;
    return;
  }
  pending_ += text;
  pending_ += '\n';
  flush();
}

void Pipe::on_ready(bool, bool) { flush(); }

void Pipe::flush() {
  while (!pending_.empty()) {
    const ssize_t written = write(fd_.get(), pending_.data(), pending_.size());
    if (written > 0) {
      pending_.erase(0, static_cast<std::size_t>(written));
    } else if (errno == EAGAIN) {
      return;
    } else if (errno != EINTR) {
      // There is no reader. The next one may start in the middle of a line; the line end lets it discard that
      // line.
      ++dropped_;
      pending_ = "\n";
      if (errno == EPIPE) return;
      pending_.clear();
      return;
    }
  }
}

}  // namespace marbledyke::events
