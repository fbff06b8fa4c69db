// File operations of the programs that persist state, behind one interface: a test can substitute a disk that
// is full, slow or read-only, that tears a write or that reports success for a write that it lost.
//
// State that must survive a crash is written with replace_file(): to a temporary file next to the target,
// synced, renamed over the target, and the directory synced. After a crash at any point the file holds either
// the old text or the new one, complete.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace marbledyke::disk {

// The error that all operations throw; the text names the path.
struct DiskError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A file that is open for writing. What has not been synced may be lost.
class File {
 public:
  virtual ~File() = default;
  virtual void write(std::string_view bytes) = 0;
  virtual void sync() = 0;
};

class Disk {
 public:
  virtual ~Disk() = default;

  // Creates an empty file, or truncates the one that is there.
  virtual std::unique_ptr<File> create_file(const std::string& path, unsigned mode) = 0;
  virtual void rename(const std::string& from, const std::string& to) = 0;
  virtual void sync_directory(const std::string& path) = 0;
  // Does nothing where the directory exists.
  virtual void make_directory(const std::string& path) = 0;
  // Removes a file or a directory tree; does nothing where there is none.
  virtual void remove_all(const std::string& path) = 0;
  // Throws where `path` exists.
  virtual void create_symlink(const std::string& to, const std::string& path) = 0;

  // Test disks inject no faults into reads.

  // Returns none where there is no such file; throws where it has more than `most` bytes.
  virtual std::optional<std::string> read_file(const std::string& path, std::size_t most) = 0;
  // Returns the names in a directory, sorted; none where there is no such directory.
  virtual std::vector<std::string> list_directory(const std::string& path) = 0;

  // Replace a file or a symbolic link atomically and durably.
  void replace_file(const std::string& path, std::string_view text, unsigned mode = 0644);
  void replace_symlink(const std::string& to, const std::string& path);
};

std::string parent_directory(const std::string& path);

// The local file system.
class LocalDisk : public Disk {
 public:
  std::unique_ptr<File> create_file(const std::string& path, unsigned mode) override;
  void rename(const std::string& from, const std::string& to) override;
  void sync_directory(const std::string& path) override;
  void make_directory(const std::string& path) override;
  void remove_all(const std::string& path) override;
  void create_symlink(const std::string& to, const std::string& path) override;
  std::optional<std::string> read_file(const std::string& path, std::size_t most) override;
  std::vector<std::string> list_directory(const std::string& path) override;
};

}  // namespace marbledyke::disk
