#include "keeper/versions.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <climits>
#include <cstdio>
#include <system_error>

#include "config/fields.h"
#include "fail_points/fail_points.h"
#include "model/numeric.h"
#include "net/descriptor.h"

namespace marbledyke::keeper {
namespace {

using config::BadInput;
using disk::DiskError;
using nlohmann::json;

constexpr std::size_t kCopyStepBytes = 1024 * 1024;
constexpr std::size_t kMaxManifestBytes = 64 * 1024;
constexpr std::size_t kMaxSettingsBytes = 64 * 1024 * 1024;
constexpr const char* kManifestFile = "manifest.json";
constexpr const char* kProgramFile = "marbledyke";
constexpr const char* kSettingsFile = "config.json";

std::string to_hex(XXH128_hash_t sum) {
  char out[33];
  std::snprintf(out, sizeof out, "%016llx%016llx", static_cast<unsigned long long>(sum.high64),
                static_cast<unsigned long long>(sum.low64));
  return out;
}

struct Checksum {
  XXH3_state_t* state = XXH3_createState();
  Checksum() { XXH3_128bits_reset(state); }
  ~Checksum() { XXH3_freeState(state); }
  Checksum(const Checksum&) = delete;
  Checksum& operator=(const Checksum&) = delete;
  void add(std::string_view bytes) { XXH3_128bits_update(state, bytes.data(), bytes.size()); }
  std::string hex() const { return to_hex(XXH3_128bits_digest(state)); }
};

net::Descriptor open_for_reading(const std::string& path) {
  net::Descriptor fd(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!fd) throw DiskError(path + ": " + std::generic_category().message(errno));
  return fd;
}

// Reads up to kCopyStepBytes; returns an empty string at the end of the file.
std::string read_block(const net::Descriptor& fd, const std::string& path) {
  std::string out(kCopyStepBytes, '\0');
  for (;;) {
    const ssize_t count = read(fd.get(), out.data(), out.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw DiskError(path + ": " + std::generic_category().message(errno));
    out.resize(static_cast<std::size_t>(count));
    return out;
  }
}

std::string checksum_of(const std::string& path) {
  const net::Descriptor fd = open_for_reading(path);
  Checksum checksum;
  for (std::string bytes = read_block(fd, path); !bytes.empty(); bytes = read_block(fd, path))
    checksum.add(bytes);
  return checksum.hex();
}

std::string digest_of(const std::string& text) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(hash_string(text)));
  return out;
}

}  // namespace

struct Versions::Copier::FileCopy {
  std::string name;
  net::Descriptor source;
  std::unique_ptr<disk::File> target;
  Checksum checksum;
  std::size_t size = 0;
};

Versions::Versions(disk::Disk& disk, std::string directory) : disk_(disk), directory_(std::move(directory)) {}

std::string Versions::path(const std::string& id) const { return directory_ + "/versions/" + id; }
std::string Versions::current() const { return directory_ + "/current"; }

void Versions::open() {
  disk_.make_directory(directory_);
  disk_.make_directory(directory_ + "/versions");
  versions_.clear();
  for (const std::string& id : disk_.list_directory(directory_ + "/versions")) {
    if (id.starts_with(".part-")) {
      disk_.remove_all(path(id));
    } else if (is_version_name(id)) {
      read_manifest(id);
    }
  }
}

// A version with an unreadable manifest counts as absent; its directory is left for the operator to inspect.
void Versions::read_manifest(const std::string& id) {
  try {
    const auto text = disk_.read_file(path(id) + "/" + kManifestFile, kMaxManifestBytes);
    if (!text) return;
    const json manifest = config::parse(*text);
    const json& files = config::object(manifest, "files");
    versions_[id] = {
        config::text(files, kProgramFile) + (files.contains("operator.xml") ? kWithOperatorFile : ""),
        config::text(manifest, "configuration")};
  } catch (const std::exception&) {
    versions_.erase(id);
  }
}

VersionInfo Versions::info(const std::string& id) const {
  const auto found = versions_.find(id);
  return found == versions_.end() ? VersionInfo{} : found->second;
}

void Versions::link(const std::string& id) {
  if (linked() == id) return;
  fail_points::hit("link.before");
  disk_.replace_symlink("versions/" + id, current());
  fail_points::hit("link.after");
}

std::optional<std::string> Versions::linked() const {
  char text[PATH_MAX];
  const ssize_t size = readlink(current().c_str(), text, sizeof text);
  if (size <= 0) return std::nullopt;
  const std::string target(text, static_cast<std::size_t>(size));
  return target.substr(target.rfind('/') + 1);
}

std::string Versions::verify(const std::string& id) const {
  try {
    const auto text = disk_.read_file(path(id) + "/" + kManifestFile, kMaxManifestBytes);
    if (!text) return "manifest.json is missing";
    const json manifest = config::parse(*text);
    for (const auto& [name, sum] : config::object(manifest, "files").items()) {
      if (checksum_of(path(id) + "/" + name) != sum.get<std::string>())
        return name + ": checksum differs from the manifest";
    }
  } catch (const std::exception& error) {
    return error.what();
  }
  return {};
}

void Versions::drop(const std::string& id) {
  // Renamed first, so that the version is complete or absent at any time.
  const std::string partial_path = path(".part-" + id);
  disk_.remove_all(partial_path);
  disk_.rename(path(id), partial_path);
  versions_.erase(id);
  disk_.sync_directory(directory_ + "/versions");
  fail_points::hit("drop.renamed");
  disk_.remove_all(partial_path);
}

Versions::Copier::Copier(Versions& versions, std::string id, std::string source)
    : owner_(versions),
      id_(std::move(id)),
      source_(std::move(source)),
      partial_path_(versions.path(".part-" + id_)) {
  if (owner_.has(id_)) throw BadInput("version: " + id_ + " exists already");
  if (owner_.versions_.size() >= kMaxVersions)
    throw BadInput("version: the maximum number of versions is stored; drop one");
  for (const char* name : {kProgramFile, kSettingsFile, "operator.xml", "marbledyke-operator"}) {
    struct stat status {};
    const std::string path = source_ + "/" + name;
    if (stat(path.c_str(), &status) != 0) continue;
    if (!S_ISREG(status.st_mode) || static_cast<std::size_t>(status.st_size) > kMaxFileBytes)
      throw BadInput(path + ": not a regular file, or too large");
    files_.push_back(name);
  }
  if (files_.size() < 2 || files_[0] != kProgramFile || files_[1] != kSettingsFile)
    throw BadInput("from: " + source_ + " does not hold both " + kProgramFile + " and " + kSettingsFile);
  owner_.disk_.remove_all(partial_path_);
  owner_.disk_.make_directory(partial_path_);
}

Versions::Copier::~Copier() {
  if (done_) return;
  copy_.reset();
  try {
    owner_.disk_.remove_all(partial_path_);
  } catch (const DiskError&) {
    // Versions::open() removes it at the next start.
  }
}

bool Versions::Copier::step() {
  if (file_index_ < files_.size()) {
    if (!copy_) {
      copy_ = std::make_unique<FileCopy>();
      copy_->name = files_[file_index_];
      copy_->source = open_for_reading(source_ + "/" + copy_->name);
      const bool is_program = copy_->name.starts_with("marbledyke");
      copy_->target = owner_.disk_.create_file(partial_path_ + "/" + copy_->name, is_program ? 0755 : 0644);
    }
    const std::string bytes = read_block(copy_->source, copy_->name);
    copy_->size += bytes.size();
    if (copy_->size > kMaxFileBytes) throw BadInput(copy_->name + ": grew while it was copied");
    if (bytes.empty()) {
      finish_file();
    } else {
      copy_->checksum.add(bytes);
      copy_->target->write(bytes);
    }
    fail_points::hit("take.part");
    return true;
  }
  const auto settings =
      owner_.disk_.read_file(partial_path_ + "/" + std::string(kSettingsFile), kMaxSettingsBytes);
  const json parsed = config::parse(settings.value_or(""));
  if (!parsed.is_object()) throw BadInput(std::string(kSettingsFile) + ": is not an object");
  json manifest = {{"format", 1}, {"files", checksums_}, {"configuration", digest_of(*settings)}};
  {
    const auto file = owner_.disk_.create_file(partial_path_ + "/" + kManifestFile, 0644);
    file->write(manifest.dump(1) + "\n");
    file->sync();
  }
  owner_.disk_.sync_directory(partial_path_);
  fail_points::hit("take.synced");
  owner_.disk_.rename(partial_path_, owner_.path(id_));
  owner_.disk_.sync_directory(owner_.directory_ + "/versions");
  fail_points::hit("take.renamed");
  done_ = true;
  owner_.read_manifest(id_);
  return false;
}

// Reads the file back: a disk that lost data in spite of a successful sync is detected now, not at a
// rollback.
void Versions::Copier::finish_file() {
  copy_->target->sync();
  copy_->target.reset();
  const std::string checksum = copy_->checksum.hex();
  if (checksum_of(partial_path_ + "/" + copy_->name) != checksum)
    throw DiskError(partial_path_ + "/" + copy_->name + ": read back with another checksum than written");
  checksums_[copy_->name] = checksum;
  copy_.reset();
  file_index_ += 1;
}

}  // namespace marbledyke::keeper
