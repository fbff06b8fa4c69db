// A control node over sockets and a disk: keeps its acceptor's state, answers proposers and receivers, and
// follows the other nodes for revisions that it missed. JSON over HTTP/1.1:
//   GET  /v1/configuration?receiver=&zone=&index=&digest=&wait=[&refused=&why=]   a receiver's call
//   POST /v1/configuration/prepare, /accept, /learn                               a proposer's
//   GET  /v1/configuration/state                                                  chosen and accepted
//   revision GET  /v1/configuration/status                                                 Summary and peers,
//   for people and tools GET  /v1/configuration/receivers                                              name,
//   zone, index, heard_ms_ago of each
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "disk/disk.h"
#include "net/address.h"
#include "net/loop.h"

namespace marbledyke::distribution {

struct NodeOptions {
  std::string name, region, fleet;
  std::string folder;
  net::Address listen;
  std::vector<net::Address> peers;  // the other nodes
  std::uint32_t seed = 0;
};

class Node {
 public:
  // Throws std::system_error, disk::DiskError or config::BadInput; among others where another node has the
  // folder. A state file that is damaged is refused: a node without its promises must not vote
  // (docs/distribution.md says what to do).
  Node(net::Loop& loop, disk::Disk& disk, const NodeOptions& options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

 private:
  struct Inside;
  std::unique_ptr<Inside> inside_;
};

}  // namespace marbledyke::distribution
