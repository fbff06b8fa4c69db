// A gatherer as a child process of the lab: given its configuration, started, killed, and never left behind.
#pragma once

#include <sys/types.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "model/types.h"
#include "net/address.h"

namespace marbledyke::standins {

// The configuration of one gatherer of the lab; `settings` are the operators' terms, nested.
nlohmann::json configuration(const std::string& name, const net::Address& listen,
                             const net::Address& discovery, const std::string& known,
                             nlohmann::json settings);
// Operators' terms for one op type that may be repeated, "look", and one that may not, "issue": one cell, one
// zone.
nlohmann::json plain_settings(int shards);
// Flat terms, with dots and list places as numbers, as the nested object that a configuration holds.
nlohmann::json nested(const FlatSettings& terms);

// The path of a program of this build: beside this one, or, for tests, one folder up.
std::string program(const std::string& name);
// Starts one with these words and, beside its own, this environment; what it says goes to the file `log`.
// Where signals are taken by signalfd, the child unblocks them again. It ends with this process. Throws
// std::system_error.
pid_t spawn(std::vector<std::string> words, const std::map<std::string, std::string>& environment,
            const std::string& log);

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
