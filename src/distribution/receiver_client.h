// A receiver over sockets: carries out what distribution::Receiver decides, with one connection to one
// control node at a time. Used by the keeper, by control nodes that follow each other, and by hollow
// receivers of the lab.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "distribution/receiver.h"
#include "net/address.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"

namespace marbledyke::distribution {

class ReceiverClient {
 public:
  // Called with a revision to apply; the owner answers with applied() or refused(), at once or later.
  using Apply = std::function<void(const Revision& revision)>;

  ReceiverClient(net::Loop& loop, Receiver::Identity identity, std::vector<net::Address> nodes,
                 std::size_t preferred, std::optional<Revision> held, std::uint32_t seed, Apply apply);
  ~ReceiverClient();
  ReceiverClient(const ReceiverClient&) = delete;
  ReceiverClient& operator=(const ReceiverClient&) = delete;

  void applied();
  void refused(const std::string& why);
  const Receiver& receiver() const;
  std::uint64_t bytes_read() const;
  std::uint64_t bytes_written() const;

 private:
  // Chosen by the implementer.
};

}  // namespace marbledyke::distribution
