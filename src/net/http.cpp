#include "net/http.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>

namespace marbledyke::net {
namespace {

constexpr std::size_t kMaxHeadBytes = 16 * 1024;  // of the start line and the headers
// A header occupies much more memory than a short line of text, so their number is limited as well.
constexpr std::size_t kMaxHeaders = 100;

bool is_token_char(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string to_lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), lower);
  return out;
}

std::string_view trimmed(std::string_view text) {
  const std::size_t from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

std::optional<std::size_t> parse_number(std::string_view text, int base) {
  std::size_t out = 0;
  const auto [at, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  if (text.empty() || error != std::errc() || at != text.data() + text.size()) return std::nullopt;
  return out;
}

// Whether a comma-separated list contains a lower-case word.
bool list_contains(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    if (to_lower(trimmed(list.substr(0, comma))) == word) return true;
    if (comma == std::string_view::npos) return false;
    list.remove_prefix(comma + 1);
  }
  return false;
}

}  // namespace

const std::string* HttpMessage::header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (key == name) return &value;
  }
  return nullptr;
}

std::size_t HttpMessage::count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(headers.begin(), headers.end(), [&](const auto& one) { return one.first == name; }));
}

bool HttpMessage::keeps_alive() const {
  const std::string* connection = header("connection");
  const std::string& version = method_or_version.starts_with("HTTP/") ? method_or_version : version_or_reason;
  if (version == "HTTP/1.0") return connection != nullptr && list_contains(*connection, "keep-alive");
  return connection == nullptr || !list_contains(*connection, "close");
}

void HttpParser::reset() { *this = HttpParser(kind_, max_body_); }

std::size_t HttpParser::held_bytes() const {
  return message_.headers.capacity() * sizeof(message_.headers[0]) + head_size_ + line_.capacity() +
         message_.body.capacity();
}

void HttpParser::fail(int status) {
  state_ = State::malformed;
  error_status_ = status;
}

std::size_t HttpParser::feed(std::string_view bytes) {
  std::size_t used = 0;
  while (state_ == State::incomplete && used < bytes.size()) {
    started_ = true;
    if (position_ == Position::body || position_ == Position::chunk || position_ == Position::until_close) {
      std::size_t count = bytes.size() - used;
      if (position_ != Position::until_close) count = std::min(remaining_, count);
      if (message_.body.size() + count > max_body_) {
        fail(413);
        break;
      }
      message_.body.append(bytes, used, count);
      used += count;
      if (position_ == Position::until_close) continue;
      remaining_ -= count;
      if (remaining_ > 0) continue;
      if (position_ == Position::body) state_ = State::complete;
      position_ = Position::chunk_end;
      continue;
    }
    const char c = bytes[used++];
    if (++head_size_ > kMaxHeadBytes) {
      fail(431);
    } else if (c != '\n') {
      line_ += c;
    } else {
      if (!line_.empty() && line_.back() == '\r') line_.pop_back();
      line();
      line_.clear();
    }
  }
  return used;
}

void HttpParser::on_peer_closed() {
  if (state_ != State::incomplete) return;
  if (position_ == Position::until_close) {
    state_ = State::complete;
  } else {
    fail(400);
  }
}

void HttpParser::line() {
  if (line_.find('\r') != std::string::npos || line_.find('\0') != std::string::npos) return fail(400);
  switch (position_) {
    case Position::first_line:
      if (line_.empty() && kind_ == Kind::request)
        return;  // RFC 9112, 2.2: empty lines before a request are ignored
      return first_line();
    case Position::header:
      return line_.empty() ? end_of_head() : header_line();
    case Position::chunk_size:
      return chunk_line();
    case Position::chunk_end:
      if (!line_.empty()) return fail(400);
      position_ = Position::chunk_size;
      return;
    case Position::trailer:
      if (line_.empty()) state_ = State::complete;
      return;
    case Position::body:
    case Position::chunk:
    case Position::until_close:
      return;
  }
}

void HttpParser::first_line() {
  const std::size_t one = line_.find(' ');
  const std::size_t two = one == std::string::npos ? one : line_.find(' ', one + 1);
  if (one == std::string::npos || one == 0) return fail(400);
  message_.method_or_version = line_.substr(0, one);
  message_.target_or_status = line_.substr(one + 1, two == std::string::npos ? two : two - one - 1);
  if (two != std::string::npos) message_.version_or_reason = line_.substr(two + 1);
  const std::string& version =
      kind_ == Kind::request ? message_.version_or_reason : message_.method_or_version;
  if (!version.starts_with("HTTP/") || message_.target_or_status.empty()) return fail(400);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(505);
  if (kind_ == Kind::request &&
      !std::all_of(message_.method_or_version.begin(), message_.method_or_version.end(), is_token_char))
    return fail(400);
  if (kind_ == Kind::response &&
      (message_.target_or_status.size() != 3 || !parse_number(message_.target_or_status, 10)))
    return fail(400);
  position_ = Position::header;
}

void HttpParser::header_line() {
  const std::size_t colon = line_.find(':');
  if (colon == std::string::npos || colon == 0) return fail(400);
  if (message_.headers.size() == kMaxHeaders) return fail(431);
  const std::string_view name = std::string_view(line_).substr(0, colon);
  // A space before the colon and a folded line are read differently by different parsers (request smuggling),
  // so both are rejected.
  if (!std::all_of(name.begin(), name.end(), is_token_char)) return fail(400);
  message_.headers.emplace_back(to_lower(name), trimmed(std::string_view(line_).substr(colon + 1)));
}

void HttpParser::end_of_head() {
  std::optional<std::size_t> length;
  bool chunked = false;
  for (const auto& [name, value] : message_.headers) {
    if (name == "content-length") {
      const auto parsed = parse_number(value, 10);
      if (!parsed || (length && *length != *parsed)) return fail(400);
      length = parsed;
    } else if (name == "transfer-encoding") {
      if (chunked || to_lower(value) != "chunked") return fail(400);
      chunked = true;
    }
  }
  if (chunked && length) return fail(400);  // two parsers could disagree on the message's end
  if (length && *length > max_body_) return fail(413);
  const bool has_no_body =
      kind_ == Kind::response && (message_.target_or_status[0] == '1' || message_.target_or_status == "204" ||
                                  message_.target_or_status == "304");
  if (has_no_body && message_.target_or_status[0] == '1') {  // an interim response; the final one follows
    reset();
    return;
  }
  if (chunked) {
    position_ = Position::chunk_size;
  } else if (length.value_or(0) > 0 && !has_no_body) {
    remaining_ = *length;
    position_ = Position::body;
  } else if (length || has_no_body || kind_ == Kind::request) {
    state_ = State::complete;
  } else {
    position_ = Position::until_close;
  }
}

void HttpParser::chunk_line() {
  const auto size = parse_number(trimmed(std::string_view(line_).substr(0, line_.find(';'))), 16);
  if (!size) return fail(400);
  if (*size > max_body_ - message_.body.size()) return fail(413);
  remaining_ = *size;
  position_ = *size == 0 ? Position::trailer : Position::chunk;
  head_size_ = 0;
}

namespace {

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Error";
  }
}

}  // namespace

std::string format_response(int status, std::string_view type, std::string_view body, bool keep_alive,
                            Duration retry_after) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + ' ' + reason_phrase(status) + "\r\n";
  out.append("Content-Type: ").append(type).append("\r\n");
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (retry_after > Duration::zero()) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(retry_after.count()) * 1e-6);
    out += std::string("Retry-After: ") + seconds + "\r\n";
  }
  if (!keep_alive) out += "Connection: close\r\n";
  return out.append("\r\n").append(body);
}

}  // namespace marbledyke::net
