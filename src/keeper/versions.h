// The versions of program and settings that a keeper holds: FOLDER/versions/ID/ with the files `marbledyke`,
// `config.json`, perhaps `operator.xml` and `marbledyke-operator`, and `manifest.json` with their checksums
// (XXH3-128, by its library). A version is there whole or not at all: it is copied under another name,
// synced, read back and renamed. FOLDER/current is a link to the one in force.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "disk/disk.h"
#include "keeper/supervisor.h"

namespace marbledyke::keeper {

inline constexpr std::size_t kMostFile = 512 * 1024 * 1024;
inline constexpr std::size_t kMostVersions = 16;
// Ends the program facts of a version with an operator's file: a process is begun with one or without.
inline constexpr const char* kWithOperatorFile = "+operator.xml";

class Versions {
 public:
  Versions(disk::Disk& disk, std::string folder);

  // Makes the folders and removes what a former life left half done.
  void open();
  bool has(const std::string& id) const { return facts_.contains(id); }
  // Empty facts for what is not there.
  VersionInfo facts(const std::string& id) const;
  const std::map<std::string, VersionInfo>& all() const { return facts_; }
  std::string path(const std::string& id) const;  // of its folder
  std::string current() const;                    // the link
  void link(const std::string& id);               // throws disk::DiskError
  std::optional<std::string> linked() const;
  // Reads every file of it again; empty: as it was taken, else what is wrong.
  std::string verify(const std::string& id) const;
  void drop(const std::string& id);

  // A version being copied in, some of it at a time, so that what watches a gatherer is not held up.
  class Taking {
   public:
    Taking(Versions& into, std::string id, std::string from);
    ~Taking();
    // False once it is there, whole. Throws disk::DiskError or config::BadInput; nothing of it is left then.
    bool step();

   private:
    void finish_file();
    Versions& into_;
    std::string id_, from_, part_;
    std::vector<std::string> files_;
    std::size_t at_ = 0;
    struct Copy;
    std::unique_ptr<Copy> copy_;
    std::map<std::string, std::string> sums_;
    bool done_ = false;
  };

 private:
  void read_facts(const std::string& id);

  disk::Disk& disk_;
  std::string folder_;
  std::map<std::string, VersionInfo> facts_;
};

}  // namespace marbledyke::keeper
