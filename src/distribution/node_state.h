// A control node's state on its disk: one file that is replaced whole, in a folder that one node has at a
// time.
#pragma once

#include <string>

#include "disk/disk.h"
#include "distribution/acceptor.h"
#include "net/descriptor.h"

namespace marbledyke::distribution {

class NodeState {
 public:
  // Throws config::BadInput where another node has the folder or the state is damaged or missing;
  // disk::DiskError; std::system_error.
  NodeState(disk::Disk& disk, const std::string& folder, const std::string& fleet);

  const AcceptorState& now() const { return state_; }
  // Makes it the state, once it is on disk. False: it could not be written, and the state is what it was.
  bool become(const AcceptorState& next);
  std::uint64_t writes() const { return writes_; }
  std::uint64_t failures() const { return failures_; }

 private:
  void read(const std::string& text, const std::string& fleet);

  disk::Disk& disk_;
  std::string path_;
  net::Descriptor lock_;
  AcceptorState state_;
  std::uint64_t writes_ = 0, failures_ = 0;
};

}  // namespace marbledyke::distribution
