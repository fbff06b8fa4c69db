#include "net/http.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>

namespace marbledyke::net {
namespace {

constexpr std::size_t kMostHead = 16 * 1024;

bool token_char(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string lowered(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), lower);
  return out;
}

std::string_view trimmed(std::string_view text) {
  const std::size_t from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

std::optional<std::size_t> number(std::string_view text, int base) {
  std::size_t out = 0;
  const auto [at, wrong] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  if (text.empty() || wrong != std::errc() || at != text.data() + text.size()) return std::nullopt;
  return out;
}

// Whether a comma-separated list holds a word.
bool lists(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    if (lowered(trimmed(list.substr(0, comma))) == word) return true;
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

bool HttpMessage::stays() const {
  const std::string* connection = header("connection");
  const std::string& version = first.starts_with("HTTP/") ? first : third;
  if (version == "HTTP/1.0") return connection != nullptr && lists(*connection, "keep-alive");
  return connection == nullptr || !lists(*connection, "close");
}

void HttpReader::restart() { *this = HttpReader(kind_, most_body_); }

void HttpReader::bad(int complaint) {
  state_ = State::bad;
  complaint_ = complaint;
}

std::size_t HttpReader::take(std::string_view bytes) {
  std::size_t used = 0;
  while (state_ == State::reading && used < bytes.size()) {
    begun_ = true;
    if (at_ == At::body || at_ == At::chunk || at_ == At::to_the_end) {
      std::size_t count = bytes.size() - used;
      if (at_ != At::to_the_end) count = std::min(left_, count);
      if (message_.body.size() + count > most_body_) {
        bad(413);
        break;
      }
      message_.body.append(bytes, used, count);
      used += count;
      if (at_ == At::to_the_end) continue;
      left_ -= count;
      if (left_ > 0) continue;
      if (at_ == At::body) state_ = State::done;
      at_ = At::chunk_end;
      continue;
    }
    const char c = bytes[used++];
    if (++head_size_ > kMostHead) {
      bad(431);
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

void HttpReader::peer_closed() {
  if (state_ != State::reading) return;
  if (at_ == At::to_the_end) {
    state_ = State::done;
  } else {
    bad(400);
  }
}

void HttpReader::line() {
  if (line_.find('\r') != std::string::npos || line_.find('\0') != std::string::npos) return bad(400);
  switch (at_) {
    case At::first_line:
      if (line_.empty() && kind_ == Kind::request) return;  // a stray line end before a request is harmless
      return first_line();
    case At::header:
      return line_.empty() ? head_read() : header_line();
    case At::chunk_size:
      return chunk_line();
    case At::chunk_end:
      if (!line_.empty()) return bad(400);
      at_ = At::chunk_size;
      return;
    case At::trailer:
      if (line_.empty()) state_ = State::done;
      return;
    case At::body:
    case At::chunk:
    case At::to_the_end:
      return;
  }
}

void HttpReader::first_line() {
  const std::size_t one = line_.find(' ');
  const std::size_t two = one == std::string::npos ? one : line_.find(' ', one + 1);
  if (one == std::string::npos || one == 0) return bad(400);
  message_.first = line_.substr(0, one);
  message_.second = line_.substr(one + 1, two == std::string::npos ? two : two - one - 1);
  if (two != std::string::npos) message_.third = line_.substr(two + 1);
  const std::string& version = kind_ == Kind::request ? message_.third : message_.first;
  if (!version.starts_with("HTTP/") || message_.second.empty()) return bad(400);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return bad(505);
  if (kind_ == Kind::request && !std::all_of(message_.first.begin(), message_.first.end(), token_char))
    return bad(400);
  if (kind_ == Kind::answer && (message_.second.size() != 3 || !number(message_.second, 10))) return bad(400);
  at_ = At::header;
}

void HttpReader::header_line() {
  const std::size_t colon = line_.find(':');
  if (colon == std::string::npos || colon == 0) return bad(400);
  const std::string_view name = std::string_view(line_).substr(0, colon);
  // A space before the colon or a folded line is read differently by different readers, so neither is read.
  if (!std::all_of(name.begin(), name.end(), token_char)) return bad(400);
  message_.headers.emplace_back(lowered(name), trimmed(std::string_view(line_).substr(colon + 1)));
}

void HttpReader::head_read() {
  std::optional<std::size_t> length;
  bool chunked = false;
  for (const auto& [name, value] : message_.headers) {
    if (name == "content-length") {
      const auto stated = number(value, 10);
      if (!stated || (length && *length != *stated)) return bad(400);
      length = stated;
    } else if (name == "transfer-encoding") {
      if (chunked || lowered(value) != "chunked") return bad(400);
      chunked = true;
    }
  }
  if (chunked && length) return bad(400);  // two readers could end it at two places
  if (length && *length > most_body_) return bad(413);
  const bool bare = kind_ == Kind::answer &&
                    (message_.second[0] == '1' || message_.second == "204" || message_.second == "304");
  if (bare && message_.second[0] == '1') {  // an interim answer; the real one follows
    restart();
    return;
  }
  if (chunked) {
    at_ = At::chunk_size;
  } else if (length.value_or(0) > 0 && !bare) {
    left_ = *length;
    at_ = At::body;
  } else if (length || bare || kind_ == Kind::request) {
    state_ = State::done;
  } else {
    at_ = At::to_the_end;
  }
}

void HttpReader::chunk_line() {
  const auto size = number(trimmed(std::string_view(line_).substr(0, line_.find(';'))), 16);
  if (!size) return bad(400);
  if (*size > most_body_ - message_.body.size()) return bad(413);
  left_ = *size;
  at_ = *size == 0 ? At::trailer : At::chunk;
  head_size_ = 0;
}

namespace {

const char* reason(int status) {
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

std::string answer_text(int status, std::string_view type, std::string_view body, bool stays,
                        Duration come_back) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + ' ' + reason(status) + "\r\n";
  out.append("Content-Type: ").append(type).append("\r\n");
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (come_back > Duration::zero()) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(come_back.count()) * 1e-6);
    out += std::string("Retry-After: ") + seconds + "\r\n";
  }
  if (!stays) out += "Connection: close\r\n";
  return out.append("\r\n").append(body);
}

}  // namespace marbledyke::net
