// A gatherer as a child process of the lab: given its configuration, started, killed, and never left behind.
#pragma once

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "model/plain.h"
#include "net/address.h"

namespace marbledyke::standins {

// The configuration of one gatherer of the lab; `settings` are the operators' terms, nested.
nlohmann::json configuration(const std::string& name, const net::Address& listen,
                             const net::Address& discovery, const std::string& known,
                             nlohmann::json settings);
// Operators' terms for one op type that may be repeated, "look", and one that may not, "issue": one cell, one zone.
nlohmann::json plain_settings(int shards);
// Flat terms, with dots and list places as numbers, as the nested object that a configuration holds.
nlohmann::json nested(const Terms& terms);

// Where signals are taken by signalfd, the child unblocks them again. Ends with this process.
class Gatherer {
 public:
  Gatherer() = default;
  ~Gatherer() { stop(); }
  Gatherer(const Gatherer&) = delete;
  Gatherer& operator=(const Gatherer&) = delete;

  // A file beside its configuration; gives its path.
  std::string put(const std::string& name, const std::string& text);
  // Throws std::system_error where it cannot be started. The configuration replaces that of the last start.
  // `more` are further words of its command line.
  void start(const nlohmann::json& configuration, const std::vector<std::string>& more = {},
             const std::string& program = "marbledyke");
  void kill();   // at once
  void stop();   // in order, by force after 5 s; removes its files
  bool ended();  // asked of the system
  pid_t pid() const { return pid_; }
  double cpu() const;     // seconds it has used, by /proc; 0 where it is gone
  double kernel() const;  // of these, in the kernel
  const std::string& folder() const { return folder_; }

 private:
  pid_t pid_ = -1;
  std::string folder_;
};

}  // namespace marbledyke::standins
