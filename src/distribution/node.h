// A control node over sockets and a disk: keeps its acceptor's state, answers proposers and receivers, and
// follows the other nodes for revisions that it missed. JSON over HTTP/1.1:
//   GET  /v1/configuration?receiver=&zone=&index=&digest=&wait=[&role=node][&refused=&why=]  a receiver's
//   call POST /v1/configuration/prepare, /accept     a proposer's messages, answered by a Reply POST
//   /v1/configuration/learn                a Revision that is agreed, answered by a Reply GET
//   /v1/configuration/state                chosen and accepted revisions or null, and the promised ballot GET
//   /v1/configuration/status               Summary and peers, for people and tools GET
//   /v1/configuration/receivers            name, zone, index, heard_ms_ago and more of each
// Errors are {"error": text}: 400 a request that is not well formed, 404, 405, 503 a state that could not be
// written (the step is dropped) or too many receivers.
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
