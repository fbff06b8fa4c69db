// The versions of program and settings that a keeper stores.
//
// DIRECTORY/versions/ID/ holds the files `marbledyke`, `config.json`, optionally `operator.xml` and
// `marbledyke-operator`, and `manifest.json` with their checksums (XXH3-128). A version is complete or
// absent: it is copied under a temporary name, synced, read back and then renamed. DIRECTORY/current is a
// symbolic link to the version in force.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "disk/disk.h"
#include "keeper/supervisor.h"

namespace marbledyke::keeper {

inline constexpr std::size_t kMaxFileBytes = 512 * 1024 * 1024;
inline constexpr std::size_t kMaxVersions = 16;
// Appended to VersionInfo::program of a version with an operator's file: whether a process is started with
// the file is part of what a reload cannot change.
inline constexpr const char* kWithOperatorFile = "+operator.xml";

class Versions {
 public:
  Versions(disk::Disk& disk, std::string directory);

  // Creates the directories, removes incomplete copies and reads the manifests.
  void open();
  bool has(const std::string& id) const { return versions_.contains(id); }
  // Returns an empty VersionInfo where there is no such version.
  VersionInfo info(const std::string& id) const;
  const std::map<std::string, VersionInfo>& all() const { return versions_; }
  std::string path(const std::string& id) const;  // of the version's directory
  std::string current() const;                    // the path of the link
  // Makes a version the one in force. Throws disk::DiskError.
  void link(const std::string& id);
  // Returns the version in force.
  std::optional<std::string> linked() const;
  // Compares every file of the version with its checksum. Returns the error; empty where there is none.
  std::string verify(const std::string& id) const;
  // Removes a version. Throws disk::DiskError.
  void drop(const std::string& id);

  // Copies a version in small steps, so that the supervision of the gatherer is not held up.
  class Copier {
   public:
    // Throws config::BadInput or disk::DiskError.
    Copier(Versions& versions, std::string id, std::string source);
    ~Copier();
    // Returns false once the version is complete. Throws disk::DiskError or config::BadInput; the partial
    // copy is removed then.
    bool step();

   private:
    void finish_file();
    Versions& owner_;
    std::string id_, source_, partial_path_;
    std::vector<std::string> files_;
    std::size_t file_index_ = 0;
    struct FileCopy;
    std::unique_ptr<FileCopy> copy_;
    std::map<std::string, std::string> checksums_;
    bool done_ = false;
  };

 private:
  void read_manifest(const std::string& id);

  disk::Disk& disk_;
  std::string directory_;
  std::map<std::string, VersionInfo> versions_;
};

}  // namespace marbledyke::keeper
