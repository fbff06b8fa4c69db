#include "disk/disk.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>

#include "net/descriptor.h"

namespace marbledyke::disk {
namespace {

namespace fs = std::filesystem;

[[noreturn]] void fail(const std::string& path, int error) {
  throw DiskError(path + ": " + std::generic_category().message(error));
}

class LocalFile final : public File {
 public:
  LocalFile(std::string path, unsigned mode)
      : path_(std::move(path)), fd_(open(path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode)) {
    if (!fd_) fail(path_, errno);
  }
  void write(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = ::write(fd_.get(), bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written < 0) fail(path_, errno);
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
  }
  void sync() override {
    if (fsync(fd_.get()) != 0) fail(path_, errno);
  }

 private:
  std::string path_;
  net::Descriptor fd_;
};

}  // namespace

std::string parent_directory(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  return slash == std::string::npos ? "." : slash == 0 ? "/" : path.substr(0, slash);
}

void Disk::replace_file(const std::string& path, std::string_view text, unsigned mode) {
  const std::string temporary = path + ".new";
  {
    const auto file = create_file(temporary, mode);
    file->write(text);
    file->sync();
  }
  rename(temporary, path);
  sync_directory(parent_directory(path));
}

void Disk::replace_symlink(const std::string& to, const std::string& path) {
  const std::string temporary = path + ".new";
  remove_all(temporary);
  create_symlink(to, temporary);
  rename(temporary, path);
  sync_directory(parent_directory(path));
}

std::unique_ptr<File> LocalDisk::create_file(const std::string& path, unsigned mode) {
  return std::make_unique<LocalFile>(path, mode);
}

void LocalDisk::rename(const std::string& from, const std::string& to) {
  if (::rename(from.c_str(), to.c_str()) != 0) fail(to, errno);
}

void LocalDisk::sync_directory(const std::string& path) {
  const net::Descriptor fd(open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!fd || fsync(fd.get()) != 0) fail(path, errno);
}

void LocalDisk::make_directory(const std::string& path) {
  if (mkdir(path.c_str(), 0755) != 0 && errno != EEXIST) fail(path, errno);
}

void LocalDisk::remove_all(const std::string& path) {
  std::error_code error_code;
  fs::remove_all(path, error_code);
  if (error_code) fail(path, error_code.value());
}

void LocalDisk::create_symlink(const std::string& to, const std::string& path) {
  if (symlink(to.c_str(), path.c_str()) != 0) fail(path, errno);
}

std::optional<std::string> LocalDisk::read_file(const std::string& path, std::size_t most) {
  const net::Descriptor fd(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!fd && errno == ENOENT) return std::nullopt;
  if (!fd) fail(path, errno);
  std::string out;
  char bytes[16 * 1024];
  for (;;) {
    const ssize_t count = ::read(fd.get(), bytes, sizeof bytes);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) fail(path, errno);
    if (count == 0) return out;
    out.append(bytes, static_cast<std::size_t>(count));
    if (out.size() > most) fail(path, EFBIG);
  }
}

std::vector<std::string> LocalDisk::list_directory(const std::string& path) {
  std::vector<std::string> out;
  std::error_code error_code;
  for (const auto& entry : fs::directory_iterator(path, error_code))
    out.push_back(entry.path().filename().string());
  if (error_code && error_code.value() != ENOENT) fail(path, error_code.value());
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace marbledyke::disk
