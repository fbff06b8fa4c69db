// The SRU side of a carrier's connection: HTTP/1.1 requests, one after the other.
#pragma once

#include "carrier/protocol_session.h"
#include "net/http.h"
#include "search/part.h"

namespace marbledyke::sru {

class Talk final : public carrier::ProtocolSession {
 public:
  Talk(std::string database, std::string host) : database_(std::move(database)), host_(std::move(host)) {}

  std::string greeting() override { return {}; }
  bool is_ready() const override { return !out_; }
  std::string format_request(std::string_view text, int shard) override;
  std::string unsupported_reply() override;
  std::size_t feed(std::string_view bytes, carrier::SessionEvent& event) override;
  carrier::SessionEvent on_connection_closed() override;

 private:
  carrier::SessionEvent answer();

  std::string database_, host_;
  bool out_ = false, declines_ = false;
  net::HttpParser reader_{net::HttpParser::Kind::response, 1024 * 1024};
};

std::unique_ptr<carrier::ProtocolSession> make_talk(const std::string& server, const std::string& database,
                                                    const std::string& host);

}  // namespace marbledyke::sru
