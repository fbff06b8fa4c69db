#include "clients/multiget_request.h"

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

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
constexpr std::int64_t kMaxWorkEstimateUs = 3'600'000'000;
constexpr double kMassTolerance = 0.001;  // clients write masses with few digits

struct RejectedRequest {
  RequestError error;
};

[[noreturn]] void reject(std::string reason, int status = 400) {
  throw RejectedRequest{{status, std::move(reason)}};
}

// The id becomes part of the header line of a frame, so it must not contain characters that end a field or a
// line.
bool is_valid_id(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 127; });
}

template <class T>
std::optional<T> parse_number(std::string_view text, int base) {
  T out{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return out;
}

// Returns the value of a header that must be present exactly once: of duplicates, implementations differ in
// which one they use.
const std::string& required_header(const net::HttpMessage& request, const char* name) {
  const std::string* value = request.header(name);
  if (value == nullptr) reject(std::string(name) + ": missing");
  if (request.count(name) > 1) reject(std::string(name) + ": comes twice");
  return *value;
}

Part parse_part(const json& item, const config::ServiceSettings& settings) {
  Part out;
  const std::int64_t shard = config::integer(item, "slice");
  if (shard < 0 || shard >= settings.shards) throw BadInput("slice: there is no such shard");
  out.shard = static_cast<int>(shard);
  out.weight = config::number(config::required(item, "mass"), "mass");
  if (out.weight <= 0 || out.weight > 1 + kMassTolerance) throw BadInput("mass: not a share");
  const std::int64_t micros = config::integer_or(item, "micros", 0);
  if (micros < 0 || micros > kMaxWorkEstimateUs) throw BadInput("micros: out of range");
  out.work_estimate = Duration(micros);
  if (item.contains("term")) {
    const auto key = parse_number<std::uint64_t>(config::text(item, "term"), 16);
    if (!key) throw BadInput("term: not hex digits");
    out.key = *key;
  }
  return out;
}

Multiget parse(const net::HttpMessage& request, const config::ServiceSettings& settings) {
  Multiget out;
  out.id = required_header(request, "x-request-id");
  if (!is_valid_id(out.id)) reject("x-request-id: empty, too long, or with characters it may not have");
  const std::string& type = required_header(request, "x-class");
  const auto op_type =
      std::find_if(settings.op_types.begin(), settings.op_types.end(),
                   [&](const config::OpTypeSettings& candidate) { return candidate.name == type; });
  if (op_type == settings.op_types.end()) reject("x-class: unknown");
  out.op_type = static_cast<int>(op_type - settings.op_types.begin());
  // A customer that the settings do not list has no share of its own that it could exceed.
  if (const std::string* name = request.header("x-tenant"); name != nullptr) {
    const auto customer = std::find(settings.customers.begin(), settings.customers.end(), *name);
    if (customer != settings.customers.end())
      out.customer = static_cast<int>(customer - settings.customers.begin());
  }
  const auto timeout_ms = parse_number<std::int64_t>(required_header(request, "x-deadline-ms"), 10);
  if (!timeout_ms || *timeout_ms <= 0 || *timeout_ms > kMaxTimeoutMs)
    reject("x-deadline-ms: not whole milliseconds above 0");
  out.client_timeout = std::chrono::milliseconds(*timeout_ms);
  if (const std::string* retry = request.header("x-retry"); retry != nullptr)
    out.is_client_retry = *retry == "1";
  const json body = config::parse(request.body);
  for (const json& item : config::array(body, "slices")) out.parts.push_back(parse_part(item, settings));
  if (out.parts.empty()) reject("slices: empty");
  std::vector<int> shards;
  double total_weight = 0;
  for (const Part& part : out.parts) {
    shards.push_back(part.shard);
    total_weight += part.weight;
  }
  // With any other sum, an answer would count as complete too early, or never.
  if (std::abs(total_weight - 1) > kMassTolerance) reject("mass: the parts' do not add up to 1");
  std::sort(shards.begin(), shards.end());
  if (std::adjacent_find(shards.begin(), shards.end()) != shards.end()) reject("slices: a shard comes twice");
  out.text = std::make_shared<const std::string>(config::text(body, "filter"));
  return out;
}

// Appends a JSON string. Escapes only the bytes that would end or break it; all others are copied unchanged.
void append_quoted(std::string& out, std::string_view text) {
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

std::variant<Multiget, RequestError> parse_multiget(const net::HttpMessage& request,
                                                    const config::ServiceSettings& settings) {
  try {
    return parse(request, settings);
  } catch (const RejectedRequest& rejected) {
    return rejected.error;
  } catch (const BadInput& error) {
    return RequestError{400, error.what()};
  }
}

std::string answer_body(bool complete, const std::vector<Value>& values) {
  std::string out = complete ? "{\"entire\":true,\"items\":[" : "{\"entire\":false,\"items\":[";
  for (const Value& value : values) {
    if (&value != &values.front()) out += ',';
    out += "{\"slice\":" + std::to_string(value.shard) + ",\"body\":";
    append_quoted(out, value.body);
    out += '}';
  }
  return out += "]}";
}

std::string answer_text(int status, std::string_view body, bool keep_alive, Duration retry_after) {
  const bool is_json = status == 200 && body.starts_with('{');
  return net::format_response(status, is_json ? "application/json" : "text/plain", body, keep_alive,
                              retry_after);
}

}  // namespace marbledyke::clients
