// A receiver over sockets: carries out what distribution::Receiver decides, with one connection to one
// control node at a time. Used by the keeper, by control nodes that follow each other, and by hollow
// receivers of the lab.
#pragma once

#include <functional>
#include <memory>
#include <optional>
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
  const Receiver& receiver() const { return receiver_; }
  // Of HTTP messages, on all connections so far.
  std::uint64_t bytes_read() const { return bytes_read_; }
  std::uint64_t bytes_written() const { return bytes_written_; }

 private:
  void carry_out();
  void carry(const ReceiverAct::Call& act);
  void carry(const ReceiverAct::Apply& act);
  void carry(const ReceiverAct::Rest& act);
  void connect();
  void write();
  void arrived();
  void ended(bool connected);
  void message_read();
  void tell_damaged(const std::string& why);
  void tell_failed(const std::string& why);
  void end_call();
  void set_timer(Duration wait, std::function<void()> then);

  net::Loop& loop_;
  std::vector<net::Address> nodes_;
  Receiver receiver_;
  Apply apply_;
  std::unique_ptr<net::Stream> stream_, last_;  // the last one may still be telling of its end
  std::size_t stream_node_ = 0;                 // where stream_ leads to
  net::HttpParser reader_;
  ReceiverAct::Call call_;  // the one that is out
  bool calling_ = false;
  bool reused_ = false;  // it went out on a connection that was there before
  bool carrying_ = false;
  std::optional<net::Loop::Timer> timer_;  // a call's patience or a rest
  std::uint64_t bytes_read_ = 0, bytes_written_ = 0;
};

}  // namespace marbledyke::distribution
