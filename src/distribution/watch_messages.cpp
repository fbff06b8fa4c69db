// The wire form of a receiver's call and of its answer.
#include <algorithm>
#include <charconv>

#include "config/fields.h"
#include "distribution/publisher.h"

namespace marbledyke::distribution {
namespace {

constexpr std::string_view kPath = "/v1/configuration";
constexpr std::size_t kMostTarget = 2048;  // all fields at their longest fit; a request's head holds 16 KiB
constexpr std::int64_t kMicrosecondsInMillisecond = 1000;

bool plain(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         std::string_view("._:-").find(c) != std::string_view::npos;
}

std::string percent_encoded(std::string_view text) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    if (plain(c)) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += {'%', kDigits[byte >> 4], kDigits[byte & 15]};
  }
  return out;
}

std::string percent_decoded(std::string_view text, const char* field) {
  std::string out;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] != '%') {
      out += text[at];
      continue;
    }
    unsigned byte = 0;
    const std::string_view digits = text.substr(at + 1, 2);
    const auto [end, wrong] = std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    if (digits.size() != 2 || wrong != std::errc() || end != digits.data() + 2)
      throw config::BadInput(std::string(field) + ": a percent sign without two hex digits");
    out += static_cast<char>(byte);
    at += 2;
  }
  return out;
}

// Text that people read in logs and on terminals: control characters and all beyond ASCII become '?'.
std::string printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
  return text;
}

std::string name_of(std::string_view text, const char* field) {
  if (text.empty()) throw config::BadInput(std::string(field) + ": missing");
  if (text.size() > kMostName) throw config::BadInput(std::string(field) + ": too long");
  if (!std::all_of(text.begin(), text.end(), plain))
    throw config::BadInput(std::string(field) + ": not a name");
  return std::string(text);
}

std::int64_t number_of(std::string_view text, const char* field) {
  std::int64_t out = 0;
  const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (wrong != std::errc() || end != text.data() + text.size() || out < 0)
    throw config::BadInput(std::string(field) + ": not a whole number from 0 on");
  return out;
}

// Fields that are not known are left out, so that later callers may say more.
void read_field(WatchCall& call, std::string_view key, std::string_view value) {
  if (key == "receiver") {
    call.receiver = name_of(value, "receiver");
  } else if (key == "zone") {
    call.zone = name_of(value, "zone");
  } else if (key == "role") {
    if (value != "node") throw config::BadInput("role: not known");
    call.role = CallerRole::node;
  } else if (key == "index") {
    call.index = number_of(value, "index");
  } else if (key == "digest") {
    call.digest = name_of(value, "digest");
  } else if (key == "wait") {
    const std::int64_t most = kLongestWait.count() / kMicrosecondsInMillisecond;
    call.wait = Duration(std::min(number_of(value, "wait"), most) * kMicrosecondsInMillisecond);
  } else if (key == "refused") {
    call.refused = number_of(value, "refused");
  } else if (key == "why") {
    call.refused_why = printable(percent_decoded(value, "why")).substr(0, kMostRefusedWhy);
  }
}

}  // namespace

std::string query_of(const WatchCall& call) {
  std::string out(kPath);
  out += "?receiver=" + percent_encoded(call.receiver);
  if (!call.zone.empty()) out += "&zone=" + percent_encoded(call.zone);
  out += "&index=" + std::to_string(call.index);
  if (call.index > 0) out += "&digest=" + call.digest;
  out += "&wait=" + std::to_string(call.wait.count() / kMicrosecondsInMillisecond);
  if (call.role == CallerRole::node) out += "&role=node";
  if (call.refused > 0) {
    const std::string why = printable(call.refused_why).substr(0, kMostRefusedWhy);
    out += "&refused=" + std::to_string(call.refused) + "&why=" + percent_encoded(why);
  }
  return out;
}

WatchCall read_watch_call(const std::string& target) {
  if (target.size() > kMostTarget) throw config::BadInput("query: too long");
  const std::size_t question = target.find('?');
  if (std::string_view(target).substr(0, question) != kPath) throw config::BadInput("path: not known");
  std::string_view query;
  if (question != std::string::npos) query = std::string_view(target).substr(question + 1);
  WatchCall out;
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view field = query.substr(0, end);
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) throw config::BadInput("query: a field without a value");
    read_field(out, field.substr(0, equals), field.substr(equals + 1));
    if (end == std::string_view::npos) break;
    query.remove_prefix(end + 1);
  }
  if (out.receiver.empty()) throw config::BadInput("receiver: missing");
  if (out.index > 0 && out.digest.empty()) throw config::BadInput("digest: missing");
  return out;
}

nlohmann::json put(const WatchAnswer& answer) {
  nlohmann::json out{{"newest", answer.newest}};
  if (answer.revision) out["revision"] = put(*answer.revision);
  return out;
}

WatchAnswer read_watch_answer(const nlohmann::json& from) {
  WatchAnswer out;
  out.newest = config::integer(from, "newest");
  if (out.newest < 0) throw config::BadInput("newest: below 0");
  const auto revision = from.find("revision");
  if (revision == from.end()) return out;
  try {
    out.revision = read_revision(*revision);
  } catch (const WrongDigest&) {
    throw;
  } catch (const config::BadInput& wrong) {
    throw config::BadInput(std::string("revision: ") + wrong.what());
  }
  return out;
}

}  // namespace marbledyke::distribution
