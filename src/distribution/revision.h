// A revision of a fleet's settings: the whole document that all gatherers of the fleet are to run, with its
// index and digest. Revisions are numbered from 1 without gaps; 0 stands for none.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/fields.h"

namespace marbledyke::distribution {

inline constexpr std::size_t kMostSettings =
    48 * 1024;  // bytes of the canonical document; a message holds 64 KiB at most
inline constexpr std::size_t kMostSettingsText = 4 * kMostSettings;  // as given, with white space
inline constexpr int kDeepestSettings = 32;                          // levels; writing JSON out recurses
inline constexpr std::size_t kLongestName = 64;  // bytes of an author, a proposer, a fleet

struct Revision {
  std::int64_t index = 0;
  std::string fleet;         // a revision of another fleet is refused everywhere
  std::string settings;      // the document as canonical JSON (sorted keys, no white space)
  double share = 1;          // of the receivers that it is meant for, above 0 and at most 1
  std::string author;        // who made it, for people; at most 64 characters
  std::int64_t made_ms = 0;  // Unix time at which it was proposed
  std::string digest;        // digest_of() this revision

  bool operator==(const Revision&) const = default;
};

// XXH3-128 in hex over all fields but the digest itself. It detects damage, not forgery.
std::string digest_of(const Revision& revision);

// The canonical form of a settings document. Throws config::BadInput naming the fault: not JSON, not an
// object, too large, too deep.
std::string canonical_settings(const std::string& text);

// What is wrong with a revision, naming the field; none: nothing. `fleet`: whose it has to be; empty: any.
// Takes the settings for canonical.
std::optional<std::string> fault_of(const Revision& revision, const std::string& fleet);

// With the settings as an object, not as text within text: half as long.
nlohmann::json put(const Revision& revision);
struct WrongDigest : config::BadInput {
  using config::BadInput::BadInput;
};
// Throws config::BadInput naming the field at fault; WrongDigest where only the digest does not match.
Revision read_revision(const nlohmann::json& from);

// Whether a revision of this share is meant for that receiver. The same receivers are in every larger share.
bool meant_for(double share, const std::string& receiver);

}  // namespace marbledyke::distribution
