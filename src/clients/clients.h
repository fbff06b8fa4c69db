// The connections from clients: requests come in, one at a time on each, and answers go out.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "clients/ask.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"

namespace marbledyke::clients {

using front::Asked;

class Clients final : public front::Front, public net::Watcher {
 public:
  // Throws std::system_error where the address cannot be listened on. `most` connections are held at a time.
  // One that listens already may be given instead of being opened.
  Clients(net::Loop& loop, const config::Carriage& carriage, const net::Address& listen, std::size_t most,
          net::Descriptor listening = {});
  ~Clients() override;

  void answer(std::uint64_t caller, bool whole, const std::vector<Value>& values) override;
  void refuse(std::uint64_t caller, front::Refusal why, Span come_back) override;

  void leave() override;
  void part_with_all() override;
  void stop_accepting() override;
  void close_idle(Span since) override;
  bool make_room() override;
  bool empty() const override { return callers_.empty(); }
  std::size_t size() const override { return callers_.size(); }

  void ready(bool readable, bool writable) override;
  void bury() override;

  struct Tally {
    std::uint64_t accepted = 0, let_go = 0, evicted = 0, silent = 0, unended = 0;
  };
  const Tally& tally() const { return tally_; }
  void room(std::size_t most) { most_ = most; }  // of connections, from now on

 private:
  struct Caller;
  bool accept();  // true where more may be waiting
  void arrived(Caller& caller);
  void request(Caller& caller);
  void turn_away(std::uint64_t caller, int status, std::string_view why, Span come_back = {});
  void say(Caller& caller, const std::string& text, bool stays);
  void drained(Caller& caller);
  void part(Caller& caller);
  void sweep();
  void unended(Caller& caller);
  void close(Caller& caller);

  net::Loop& loop_;
  const config::Carriage& carriage_;
  net::Descriptor listener_;
  std::uint32_t place_ = 0;
  std::size_t most_;
  bool leaving_ = false, parting_ = false;
  bool more_to_accept_ = false;
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<Caller>> graves_;
  std::uint64_t next_caller_ = 1;
  Tally tally_;
};

}  // namespace marbledyke::clients
