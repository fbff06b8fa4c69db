#include "distribution/revision.h"

#include <xxhash.h>

#include <cmath>
#include <cstdio>

#include "config/fields.h"

namespace marbledyke::distribution {
namespace {

using config::BadInput;
using nlohmann::json;

constexpr const char* kDigestFault = "digest: does not match";

// With its length, so that no two lists of fields are written alike.
void add_field(std::string& into, const std::string& field) {
  into += std::to_string(field.size());
  into += ':';
  into += field;
}

bool deeper_than(const json& value, int levels) {
  if (!value.is_structured()) return false;
  if (levels == 0) return true;
  for (const json& inner : value) {
    if (deeper_than(inner, levels - 1)) return true;
  }
  return false;
}

bool is_utf8(const std::string& text) {
  try {
    json(text).dump();
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

std::string canonical(const json& settings) {
  if (!settings.is_object()) throw BadInput("settings: not an object");
  if (deeper_than(settings, kDeepestSettings)) throw BadInput("settings: too deep");
  const std::string out = settings.dump();
  if (out.size() > kMostSettings) throw BadInput("settings: too large");
  return out;
}

std::optional<std::string> fault_of_name(const std::string& name, const char* field) {
  if (name.empty()) return std::string(field) + ": empty";
  if (name.size() > kLongestName) return std::string(field) + ": too long";
  if (!is_utf8(name)) return std::string(field) + ": not UTF-8";
  return std::nullopt;
}

}  // namespace

std::string digest_of(const Revision& revision) {
  char share[32];
  std::snprintf(share, sizeof share, "%.17g", revision.share);
  std::string fields;
  add_field(fields, std::to_string(revision.index));
  add_field(fields, revision.fleet);
  add_field(fields, revision.settings);
  add_field(fields, share);
  add_field(fields, revision.author);
  add_field(fields, std::to_string(revision.made_ms));
  const XXH128_hash_t sum = XXH3_128bits(fields.data(), fields.size());
  char out[33];
  std::snprintf(out, sizeof out, "%016llx%016llx", static_cast<unsigned long long>(sum.high64),
                static_cast<unsigned long long>(sum.low64));
  return out;
}

std::string canonical_settings(const std::string& text) {
  if (text.size() > kMostSettingsText) throw BadInput("settings: too large");
  const json settings = json::parse(text, nullptr, false);
  if (settings.is_discarded()) throw BadInput("settings: not JSON");
  return canonical(settings);
}

std::optional<std::string> fault_of(const Revision& revision, const std::string& fleet) {
  if (revision.index < 1) return "index: below 1";
  if (const auto fault = fault_of_name(revision.fleet, "fleet")) return fault;
  if (!fleet.empty() && revision.fleet != fleet) return "fleet: is " + revision.fleet + ", not " + fleet;
  if (revision.settings.size() > kMostSettings) return "settings: too large";
  if (!std::isfinite(revision.share) || revision.share <= 0 || revision.share > 1)
    return "share: not above 0 and at most 1";
  if (const auto fault = fault_of_name(revision.author, "author")) return fault;
  if (revision.digest != digest_of(revision)) return kDigestFault;
  return std::nullopt;
}

json put(const Revision& revision) {
  return {
      {"index", revision.index},  {"fleet", revision.fleet},   {"settings", json::parse(revision.settings)},
      {"share", revision.share},  {"author", revision.author}, {"made_ms", revision.made_ms},
      {"digest", revision.digest}};
}

Revision read_revision(const json& from) {
  if (!from.is_object()) throw BadInput("not an object");
  Revision out;
  out.index = config::integer(from, "index");
  out.fleet = config::text(from, "fleet");
  out.settings = canonical(config::required(from, "settings"));
  out.share = config::number(config::required(from, "share"), "share");
  out.author = config::text(from, "author");
  out.made_ms = config::integer(from, "made_ms");
  out.digest = config::text(from, "digest");
  const auto fault = fault_of(out, "");
  if (!fault) return out;
  if (*fault == kDigestFault) throw WrongDigest(*fault);
  throw BadInput(*fault);
}

bool meant_for(double share, const std::string& receiver) {
  if (share >= 1) return true;
  constexpr double kHashes = 18446744073709551616.0;  // 2 to the 64th
  return static_cast<double>(XXH3_64bits(receiver.data(), receiver.size())) < share * kHashes;
}

}  // namespace marbledyke::distribution
