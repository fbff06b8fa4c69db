#include "sru/talk.h"

#include "sru/message.h"

namespace marbledyke::sru {

using carrier::SessionEvent;

std::unique_ptr<carrier::ProtocolSession> make_talk(const std::string&, const std::string& database,
                                                    const std::string& host) {
  return std::make_unique<Talk>(database, host);
}

std::string Talk::format_request(std::string_view text, int shard) {
  const auto ask = search::read_part_ask(text);
  // Records of several servers are merged by keys, and SRU's records come without them.
  declines_ = ask && !ask->sort.empty();
  if (!ask || declines_) return {};
  const auto [from, count] = search::wanted(*ask, shard);
  out_ = true;
  reader_.reset();
  return "GET " +
         (ask->errand == search::Errand::search
              ? search_target(search::of_shard(database_, shard), *ask, from + 1, count, ask->schema)
              : scan_target(search::of_shard(database_, shard), *ask)) +
         " HTTP/1.1\r\nHost: " + host_ + "\r\nAccept: application/xml\r\n\r\n";
}

std::string Talk::unsupported_reply() {
  if (!declines_) return {};
  search::PartResult out;
  out.trouble = "servers that speak SRU are not sorted by";
  out.unsupported = true;
  return search::text_of(out);
}

std::size_t Talk::feed(std::string_view bytes, SessionEvent& event) {
  if (!out_) {
    event.kind = SessionEvent::Kind::protocol_error;
    event.reason = "an answer to nothing";
    return bytes.size();
  }
  const std::size_t used = reader_.feed(bytes);
  if (reader_.state() == net::HttpParser::State::malformed) {
    event.kind = SessionEvent::Kind::protocol_error;
    event.reason = "no HTTP answer";
  } else if (reader_.state() == net::HttpParser::State::complete) {
    event = answer();
  }
  return used;
}

SessionEvent Talk::on_connection_closed() {
  if (!out_) return {};
  reader_.on_peer_closed();
  return reader_.state() == net::HttpParser::State::complete ? answer() : SessionEvent{};
}

// 503 and 429 say that the request was not processed. A diagnostic of general trouble may come after work was
// done; one that says what is not supported is the answer to what was asked.
SessionEvent Talk::answer() {
  out_ = false;
  SessionEvent out;
  const net::HttpMessage& message = reader_.message();
  if (message.target_or_status == "503" || message.target_or_status == "429") {
    out.kind = SessionEvent::Kind::refused;
    return out;
  }
  auto response = message.target_or_status == "200" ? read_response(message.body) : std::nullopt;
  if (!response) {
    out.kind = SessionEvent::Kind::failed;
    out.reason = "HTTP " + message.target_or_status + " without an SRU response";
    return out;
  }
  const int number = response->diagnostic;
  const bool records_only = number == 61 || number == 64;
  if ((number == 1 || number == 2 || number == 3) && response->result.hits == 0 &&
      response->result.terms.empty()) {
    out.kind = SessionEvent::Kind::failed;
    out.reason = response->words;
    return out;
  }
  if (number == 1 || number == 2 || number == 3) {
    // It has counted some of what it holds: a count that is not whole is none.
    out.kind = SessionEvent::Kind::failed;
    out.reason = response->words;
    return out;
  }
  if (number != 0 && !records_only) {
    response->result.trouble =
        response->words.empty() ? "diagnostic " + std::to_string(number) : response->words;
    response->result.unsupported = true;
  }
  out.kind = SessionEvent::Kind::answered;
  out.value = search::text_of(response->result);
  return out;
}

}  // namespace marbledyke::sru
