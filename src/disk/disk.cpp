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

[[noreturn]] void refuse(const std::string& path, int error) {
  throw DiskError(path + ": " + std::generic_category().message(error));
}

class MachineFile final : public File {
 public:
  MachineFile(std::string path, unsigned mode)
      : path_(std::move(path)), fd_(open(path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode)) {
    if (!fd_) refuse(path_, errno);
  }
  void write(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t put = ::write(fd_.get(), bytes.data(), bytes.size());
      if (put < 0 && errno == EINTR) continue;
      if (put < 0) refuse(path_, errno);
      bytes.remove_prefix(static_cast<std::size_t>(put));
    }
  }
  void sync() override {
    if (fsync(fd_.get()) != 0) refuse(path_, errno);
  }

 private:
  std::string path_;
  net::Descriptor fd_;
};

}  // namespace

std::string parent_directory(const std::string& path) {
  const std::size_t at = path.rfind('/');
  return at == std::string::npos ? "." : at == 0 ? "/" : path.substr(0, at);
}

void Disk::replace_file(const std::string& path, std::string_view text, unsigned mode) {
  const std::string beside = path + ".new";
  {
    const auto file = create_file(beside, mode);
    file->write(text);
    file->sync();
  }
  rename(beside, path);
  sync_directory(parent_directory(path));
}

void Disk::replace_symlink(const std::string& to, const std::string& path) {
  const std::string beside = path + ".new";
  remove_all(beside);
  create_symlink(to, beside);
  rename(beside, path);
  sync_directory(parent_directory(path));
}

std::unique_ptr<File> LocalDisk::create_file(const std::string& path, unsigned mode) {
  return std::make_unique<MachineFile>(path, mode);
}

void LocalDisk::rename(const std::string& from, const std::string& to) {
  if (::rename(from.c_str(), to.c_str()) != 0) refuse(to, errno);
}

void LocalDisk::sync_directory(const std::string& path) {
  const net::Descriptor fd(open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!fd || fsync(fd.get()) != 0) refuse(path, errno);
}

void LocalDisk::make_directory(const std::string& path) {
  if (mkdir(path.c_str(), 0755) != 0 && errno != EEXIST) refuse(path, errno);
}

void LocalDisk::remove_all(const std::string& path) {
  std::error_code wrong;
  fs::remove_all(path, wrong);
  if (wrong) refuse(path, wrong.value());
}

void LocalDisk::create_symlink(const std::string& to, const std::string& path) {
  if (symlink(to.c_str(), path.c_str()) != 0) refuse(path, errno);
}

std::optional<std::string> LocalDisk::read_file(const std::string& path, std::size_t most) {
  const net::Descriptor fd(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!fd && errno == ENOENT) return std::nullopt;
  if (!fd) refuse(path, errno);
  std::string out;
  char bytes[16 * 1024];
  for (;;) {
    const ssize_t got = ::read(fd.get(), bytes, sizeof bytes);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) refuse(path, errno);
    if (got == 0) return out;
    out.append(bytes, static_cast<std::size_t>(got));
    if (out.size() > most) refuse(path, EFBIG);
  }
}

std::vector<std::string> LocalDisk::list_directory(const std::string& path) {
  std::vector<std::string> out;
  std::error_code wrong;
  for (const auto& entry : fs::directory_iterator(path, wrong))
    out.push_back(entry.path().filename().string());
  if (wrong && wrong.value() != ENOENT) refuse(path, wrong.value());
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace marbledyke::disk
