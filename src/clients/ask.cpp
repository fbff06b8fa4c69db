#include "clients/ask.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>

namespace marbledyke::clients {
namespace {

using config::BadInput;
using config::json;
using namespace std::chrono_literals;

constexpr std::size_t kLongestId = 128;
constexpr std::int64_t kLongestPatience = 3'600'000;  // ms
constexpr double kRounding = 0.001;                   // of masses as they are written

struct Wrong {
  Complaint complaint;
};

[[noreturn]] void refuse(std::string why, int status = 400) { throw Wrong{{status, std::move(why)}}; }

// It becomes part of a frame's line, so nothing may stand in it that could end a field or a line there.
bool safe_id(std::string_view id) {
  return !id.empty() && id.size() <= kLongestId &&
         std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 127; });
}

template <class T>
std::optional<T> number(std::string_view text, int base) {
  T out{};
  const auto [at, wrong] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  if (text.empty() || wrong != std::errc() || at != text.data() + text.size()) return std::nullopt;
  return out;
}

const std::string& header(const net::HttpMessage& from, const char* name) {
  const std::string* value = from.header(name);
  if (value == nullptr) refuse(std::string(name) + ": missing");
  if (from.count(name) > 1)
    refuse(std::string(name) + ": comes twice");  // readers would differ on which counts
  return *value;
}

Piece piece(const json& from, const config::Carriage& carriage) {
  Piece out;
  const std::int64_t shard = config::whole(from, "slice");
  if (shard < 0 || shard >= carriage.shards) throw BadInput("slice: there is no such shard");
  out.shard = static_cast<int>(shard);
  out.mass = config::number(config::need(from, "mass"), "mass");
  if (out.mass <= 0 || out.mass > 1 + kRounding) throw BadInput("mass: not a share");
  const std::int64_t micros = config::whole_or(from, "micros", 0);
  if (micros < 0 || micros > 3'600'000'000) throw BadInput("micros: out of range");
  out.hint = Duration(micros);
  if (from.contains("term")) {
    const auto key = number<std::uint64_t>(config::text(from, "term"), 16);
    if (!key) throw BadInput("term: not hex digits");
    out.key = *key;
  }
  return out;
}

Ask read(const net::HttpMessage& from, const config::Carriage& carriage) {
  Ask out;
  out.id = header(from, "x-request-id");
  if (!safe_id(out.id)) refuse("x-request-id: empty, too long, or with characters it may not have");
  const std::string& type = header(from, "x-class");
  const auto known = std::find_if(carriage.op_types.begin(), carriage.op_types.end(),
                                  [&](const config::OpName& one) { return one.name == type; });
  if (known == carriage.op_types.end()) refuse("x-class: unknown");
  out.op_type = static_cast<int>(known - carriage.op_types.begin());
  // A customer that the terms do not name has no share of its own, and so none to go beyond.
  if (const std::string* name = from.header("x-tenant"); name != nullptr) {
    const auto at = std::find(carriage.customers.begin(), carriage.customers.end(), *name);
    if (at != carriage.customers.end()) out.customer = static_cast<int>(at - carriage.customers.begin());
  }
  const auto patience = number<std::int64_t>(header(from, "x-deadline-ms"), 10);
  if (!patience || *patience <= 0 || *patience > kLongestPatience)
    refuse("x-deadline-ms: not whole milliseconds above 0");
  out.patience = std::chrono::milliseconds(*patience);
  if (const std::string* mark = from.header("x-retry"); mark != nullptr) out.repeated = *mark == "1";
  const json body = config::parse(from.body);
  for (const json& one : config::array(body, "slices")) out.pieces.push_back(piece(one, carriage));
  if (out.pieces.empty()) refuse("slices: empty");
  std::vector<int> shards;
  double masses = 0;
  for (const Piece& one : out.pieces) {
    shards.push_back(one.shard);
    masses += one.mass;
  }
  // An answer would be called whole, or never become so, by shares that are not shares of one whole.
  if (std::abs(masses - 1) > kRounding) refuse("mass: the parts' do not add up to 1");
  std::sort(shards.begin(), shards.end());
  if (std::adjacent_find(shards.begin(), shards.end()) != shards.end()) refuse("slices: a shard comes twice");
  out.text = std::make_shared<const std::string>(config::text(body, "filter"));
  return out;
}

// Bytes of a value go into the JSON as they are, but for what would end or break the string.
void quote(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char escaped[8];
      std::snprintf(escaped, sizeof escaped, "\\u%04x", static_cast<unsigned>(c));
      out += escaped;
    } else {
      out += c;
    }
  }
  out += '"';
}

}  // namespace

std::variant<Ask, Complaint> read_ask(const net::HttpMessage& from, const config::Carriage& carriage) {
  try {
    return read(from, carriage);
  } catch (const Wrong& wrong) {
    return wrong.complaint;
  } catch (const BadInput& wrong) {
    return Complaint{400, wrong.what()};
  }
}

std::string answer_body(bool whole, const std::vector<Value>& values) {
  std::string out = whole ? "{\"entire\":true,\"items\":[" : "{\"entire\":false,\"items\":[";
  for (const Value& value : values) {
    if (&value != &values.front()) out += ',';
    out += "{\"slice\":" + std::to_string(value.shard) + ",\"body\":";
    quote(out, value.body);
    out += '}';
  }
  return out += "]}";
}

std::string answer_text(int status, std::string_view body, bool stays, Duration come_back) {
  const bool json = status == 200 && body.starts_with('{');
  return net::answer_text(status, json ? "application/json" : "text/plain", body, stays, come_back);
}

}  // namespace marbledyke::clients
