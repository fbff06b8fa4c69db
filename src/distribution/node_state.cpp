#include "distribution/node_state.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

#include "config/fields.h"
#include "fail_points/fail_points.h"
#include "log/log.h"

namespace marbledyke::distribution {
namespace {

constexpr std::size_t kMostState = 1024 * 1024;  // two revisions at their largest take a tenth of it
constexpr unsigned kStateMode = 0600;

net::Descriptor locked(const std::string& folder, const std::string& path) {
  net::Descriptor lock(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock) throw std::system_error(errno, std::generic_category(), path);
  if (flock(lock.get(), LOCK_EX | LOCK_NB) != 0)
    throw config::BadInput(folder + ": another control node has it");
  return lock;
}

}  // namespace

// The lock file stays: where it is there and the state is not, promises were lost.
NodeState::NodeState(disk::Disk& disk, const std::string& folder, const std::string& fleet)
    : disk_(disk), path_(folder + "/state") {
  disk_.make_directory(folder);
  const std::string lock_path = folder + "/control.lock";
  const bool first_start = access(lock_path.c_str(), F_OK) != 0;
  lock_ = locked(folder, lock_path);
  const auto text = disk_.read_file(path_, kMostState);
  if (text) {
    read(*text, fleet);
    return;
  }
  if (!first_start) throw config::BadInput(path_ + ": missing, and with it what this node has promised");
  try {
    disk_.replace_file(path_, put(state_), kStateMode);
  } catch (const disk::DiskError&) {
    unlink(lock_path.c_str());  // nothing was promised yet: the next start is a first one again
    throw;
  }
}

void NodeState::read(const std::string& text, const std::string& fleet) {
  try {
    state_ = read_acceptor_state(text, fleet);
  } catch (const config::BadInput& wrong) {
    throw config::BadInput(path_ + ": damaged: " + wrong.what());
  }
}

bool NodeState::become(const AcceptorState& next) {
  if (next == state_) return true;
  fail_points::hit("control.before_write");
  try {
    disk_.replace_file(path_, put(next), kStateMode);
  } catch (const disk::DiskError& wrong) {
    failures_ += 1;
    log::event(log::Level::error, "control.not_written", {{"why", wrong.what()}});
    return false;
  }
  writes_ += 1;
  state_ = next;
  fail_points::hit("control.written");
  return true;
}

}  // namespace marbledyke::distribution
