// A hollow discovery: lists any number of servers without any of them being there, tells changes and whole
// lists when it is told to, and counts what it reads and writes. In its owner's loop.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"

namespace marbledyke::lab::scale {

struct ListedServer {
  std::string name, address, zone = "a";
  int cell = 0;
};

class HollowList final : public net::EventHandler {
 public:
  // Throws std::system_error where the address cannot be had.
  HollowList(net::Loop& loop, const net::Address& listen, const std::vector<ListedServer>& servers);
  ~HollowList() override;
  HollowList(const HollowList&) = delete;
  HollowList& operator=(const HollowList&) = delete;

  // One server leaves the list or is back on it. Told to whoever waits.
  void change(std::size_t server);
  // The whole list, with a new index, to whoever waits.
  void tell_whole();
  // Answers 503 to every call, also to those that wait; then ordinary answers again.
  void refuse(bool on);

  std::int64_t index() const { return index_; }
  // The newest index that a call has named: the caller has that list in force. Below 0: none yet.
  std::int64_t named() const { return named_; }
  // When it was named first, by the loop's clock.
  Duration named_at() const { return named_at_; }

  struct Tally {
    std::uint64_t calls = 0, bytes_read = 0, bytes_written = 0, wholes = 0;
  };
  const Tally& tally() const { return tally_; }

  void on_ready(bool readable, bool writable) override;

 private:
  struct Caller;
  struct Entry {
    ListedServer server;
    std::int64_t changed = 1, since_ms = 0;
    bool listed = true;
  };

  void accept(net::Descriptor fd);
  void arrived(Caller& caller);
  void called(Caller& caller, const std::string& target);
  void answer(Caller& caller, std::int64_t since);
  void answer_waiting(std::int64_t since);
  void gone(Caller& caller);
  std::string body(std::int64_t since) const;

  net::Loop& loop_;
  net::Descriptor listener_;
  std::uint32_t place_ = 0;
  std::vector<Entry> entries_;
  std::int64_t index_ = 1, named_ = -1;
  Duration named_at_{};
  bool refusing_ = false;
  Tally tally_;
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<Caller>> graves_;
  std::uint64_t next_caller_ = 1;
};

}  // namespace marbledyke::lab::scale
