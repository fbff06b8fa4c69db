// Files as far as a keeper writes them, through one interface, so that the lab can give a process a disk that
// is full, slow, read-only, tears or lies. What must survive goes through replace(): written beside, synced,
// renamed over, and the folder synced; after a crash at any point the old text or the new one is there,
// whole. All throw DiskError, whose text names the path.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace marbledyke::disk {

struct DiskError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A file being written; given up unless it was synced.
class File {
 public:
  virtual ~File() = default;
  virtual void write(std::string_view bytes) = 0;
  virtual void sync() = 0;
};

class Disk {
 public:
  virtual ~Disk() = default;

  virtual std::unique_ptr<File> create_file(const std::string& path, unsigned mode) = 0;  // empty, or emptied
  virtual void rename(const std::string& from, const std::string& to) = 0;
  virtual void sync_directory(const std::string& path) = 0;
  virtual void make_directory(const std::string& path) = 0;  // nothing where it is there
  virtual void remove_all(const std::string& path) = 0;
  virtual void create_symlink(const std::string& to,
                              const std::string& path) = 0;  // a symbolic one, must not be there

  // Reading has no faults of its own beyond the machine's.
  virtual std::optional<std::string> read_file(const std::string& path,
                                               std::size_t most) = 0;            // none: not there
  virtual std::vector<std::string> list_directory(const std::string& path) = 0;  // sorted

  void replace_file(const std::string& path, std::string_view text, unsigned mode = 0644);
  void replace_symlink(const std::string& to, const std::string& path);
};

std::string parent_directory(const std::string& path);

// The machine's own.
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
