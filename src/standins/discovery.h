// The list service, standing in on a loopback socket: the whole list, and watches that wait for its changes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"

namespace marbledyke::standins {

struct Listed {
  std::string name, address, zone = "a", status = "ready";
  int cell = 0;
  std::int64_t since_ms = 0;
  std::vector<std::string> more_addresses;
};

class Discovery final : public net::EventHandler {
 public:
  // Throws std::system_error where the address cannot be had.
  Discovery(net::Loop& loop, const net::Address& address);
  ~Discovery() override;

  void set(const Listed& server);              // a change, told to whoever waits
  std::string body(std::int64_t since) const;  // what changed after that version; below 0: the whole list
  std::int64_t version() const { return version_; }
  void refuse(bool all);  // answers 503, and ends the watches that wait so
  // Told of each entry as it is written to who asked.
  std::function<void(const Listed&)> told;

  void on_ready(bool readable, bool writable) override;

 private:
  struct Caller;
  void arrived(Caller& caller);
  void answer(Caller& caller, std::int64_t since);

  net::Loop& loop_;
  net::Descriptor listener_;
  std::uint32_t place_ = 0;
  std::int64_t version_ = 1;
  bool refusing_ = false;
  std::map<std::string, std::pair<std::int64_t, Listed>> servers_;
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<Caller>> graves_;
  std::uint64_t next_ = 1;
};

}  // namespace marbledyke::standins
