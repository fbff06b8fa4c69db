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
#include "model/measure.h"
#include "net/descriptor.h"

namespace marbledyke::keeper {
namespace {

using config::BadInput;
using disk::DiskError;
using nlohmann::json;

constexpr std::size_t kStep = 1024 * 1024;  // copied at a time
constexpr std::size_t kMostManifest = 64 * 1024;
constexpr std::size_t kMostSettings = 64 * 1024 * 1024;
constexpr const char* kManifest = "manifest.json";
constexpr const char* kProgram = "marbledyke";
constexpr const char* kSettings = "config.json";

std::string hex(XXH128_hash_t sum) {
  char out[33];
  std::snprintf(out, sizeof out, "%016llx%016llx", static_cast<unsigned long long>(sum.high64),
                static_cast<unsigned long long>(sum.low64));
  return out;
}

struct Summing {
  XXH3_state_t* state = XXH3_createState();
  Summing() { XXH3_128bits_reset(state); }
  ~Summing() { XXH3_freeState(state); }
  Summing(const Summing&) = delete;
  Summing& operator=(const Summing&) = delete;
  void add(std::string_view bytes) { XXH3_128bits_update(state, bytes.data(), bytes.size()); }
  std::string sum() const { return hex(XXH3_128bits_digest(state)); }
};

net::Descriptor open_to_read(const std::string& path) {
  net::Descriptor fd(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!fd) throw DiskError(path + ": " + std::generic_category().message(errno));
  return fd;
}

// Up to kStep bytes; none at the end.
std::string some_of(const net::Descriptor& fd, const std::string& path) {
  std::string out(kStep, '\0');
  for (;;) {
    const ssize_t got = read(fd.get(), out.data(), out.size());
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) throw DiskError(path + ": " + std::generic_category().message(errno));
    out.resize(static_cast<std::size_t>(got));
    return out;
  }
}

std::string sum_of(const std::string& path) {
  const net::Descriptor fd = open_to_read(path);
  Summing summing;
  for (std::string bytes = some_of(fd, path); !bytes.empty(); bytes = some_of(fd, path)) summing.add(bytes);
  return summing.sum();
}

std::string digest_of(const std::string& text) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(hash_text(text)));
  return out;
}

}  // namespace

struct Versions::Taking::Copy {
  std::string name;
  net::Descriptor from;
  std::unique_ptr<disk::File> to;
  Summing summing;
  std::size_t size = 0;
};

Versions::Versions(disk::Disk& disk, std::string folder) : disk_(disk), folder_(std::move(folder)) {}

std::string Versions::path(const std::string& id) const { return folder_ + "/versions/" + id; }
std::string Versions::current() const { return folder_ + "/current"; }

void Versions::open() {
  disk_.make_directory(folder_);
  disk_.make_directory(folder_ + "/versions");
  facts_.clear();
  for (const std::string& id : disk_.list_directory(folder_ + "/versions")) {
    if (id.starts_with(".part-")) {
      disk_.remove_all(path(id));
    } else if (is_version_name(id)) {
      read_facts(id);
    }
  }
}

// One whose manifest cannot be read is not there; its folder is left for people to look at.
void Versions::read_facts(const std::string& id) {
  try {
    const auto text = disk_.read_file(path(id) + "/" + kManifest, kMostManifest);
    if (!text) return;
    const json manifest = config::parse(*text);
    const json& files = config::object(manifest, "files");
    facts_[id] = {config::text(files, kProgram) + (files.contains("operator.xml") ? kWithOperatorFile : ""),
                  config::text(manifest, "configuration")};
  } catch (const std::exception&) {
    facts_.erase(id);
  }
}

VersionFacts Versions::facts(const std::string& id) const {
  const auto at = facts_.find(id);
  return at == facts_.end() ? VersionFacts{} : at->second;
}

void Versions::link(const std::string& id) {
  if (linked() == id) return;
  fail_points::hit("link.before");
  disk_.replace_symlink("versions/" + id, current());
  fail_points::hit("link.after");
}

std::optional<std::string> Versions::linked() const {
  char to[PATH_MAX];
  const ssize_t size = readlink(current().c_str(), to, sizeof to);
  if (size <= 0) return std::nullopt;
  const std::string target(to, static_cast<std::size_t>(size));
  return target.substr(target.rfind('/') + 1);
}

std::string Versions::verify(const std::string& id) const {
  try {
    const auto text = disk_.read_file(path(id) + "/" + kManifest, kMostManifest);
    if (!text) return "it has no manifest";
    const json manifest = config::parse(*text);
    for (const auto& [name, sum] : config::object(manifest, "files").items()) {
      if (sum_of(path(id) + "/" + name) != sum.get<std::string>()) return name + ": is not as it was taken";
    }
  } catch (const std::exception& wrong) {
    return wrong.what();
  }
  return {};
}

void Versions::drop(const std::string& id) {
  // Under another name first, so that it is there whole or not at all.
  const std::string part = path(".part-" + id);
  disk_.remove_all(part);
  disk_.rename(path(id), part);
  facts_.erase(id);
  disk_.sync_directory(folder_ + "/versions");
  fail_points::hit("drop.renamed");
  disk_.remove_all(part);
}

Versions::Taking::Taking(Versions& into, std::string id, std::string from)
    : into_(into), id_(std::move(id)), from_(std::move(from)), part_(into.path(".part-" + id_)) {
  if (into_.has(id_)) throw BadInput("version: " + id_ + " is there already");
  if (into_.facts_.size() >= kMostVersions) throw BadInput("version: as many are held as may be; drop one");
  for (const char* name : {kProgram, kSettings, "operator.xml", "marbledyke-operator"}) {
    struct stat is {};
    const std::string path = from_ + "/" + name;
    if (stat(path.c_str(), &is) != 0) continue;
    if (!S_ISREG(is.st_mode) || static_cast<std::size_t>(is.st_size) > kMostFile)
      throw BadInput(path + ": not a regular file, or too large");
    files_.push_back(name);
  }
  if (files_.size() < 2 || files_[0] != kProgram || files_[1] != kSettings)
    throw BadInput("from: " + from_ + " does not hold both " + kProgram + " and " + kSettings);
  into_.disk_.remove_all(part_);
  into_.disk_.make_directory(part_);
}

Versions::Taking::~Taking() {
  if (done_) return;
  copy_.reset();
  try {
    into_.disk_.remove_all(part_);
  } catch (const DiskError&) {
    // Removed at the next start.
  }
}

bool Versions::Taking::step() {
  if (at_ < files_.size()) {
    if (!copy_) {
      copy_ = std::make_unique<Copy>();
      copy_->name = files_[at_];
      copy_->from = open_to_read(from_ + "/" + copy_->name);
      const bool runs = copy_->name.starts_with("marbledyke");
      copy_->to = into_.disk_.create_file(part_ + "/" + copy_->name, runs ? 0755 : 0644);
    }
    const std::string bytes = some_of(copy_->from, copy_->name);
    copy_->size += bytes.size();
    if (copy_->size > kMostFile) throw BadInput(copy_->name + ": grew while it was copied");
    if (bytes.empty()) {
      finish_file();
    } else {
      copy_->summing.add(bytes);
      copy_->to->write(bytes);
    }
    fail_points::hit("take.part");
    return true;
  }
  const auto settings = into_.disk_.read_file(part_ + "/" + std::string(kSettings), kMostSettings);
  const json parsed = config::parse(settings.value_or(""));
  if (!parsed.is_object()) throw BadInput(std::string(kSettings) + ": is not an object");
  json manifest = {{"format", 1}, {"files", sums_}, {"configuration", digest_of(*settings)}};
  {
    const auto file = into_.disk_.create_file(part_ + "/" + kManifest, 0644);
    file->write(manifest.dump(1) + "\n");
    file->sync();
  }
  into_.disk_.sync_directory(part_);
  fail_points::hit("take.synced");
  into_.disk_.rename(part_, into_.path(id_));
  into_.disk_.sync_directory(into_.folder_ + "/versions");
  fail_points::hit("take.renamed");
  done_ = true;
  into_.read_facts(id_);
  return false;
}

// What was written is read back: a disk that lies about it is found out here, not when it is needed.
void Versions::Taking::finish_file() {
  copy_->to->sync();
  copy_->to.reset();
  const std::string sum = copy_->summing.sum();
  if (sum_of(part_ + "/" + copy_->name) != sum)
    throw DiskError(part_ + "/" + copy_->name + ": reads back otherwise than it was written");
  sums_[copy_->name] = sum;
  copy_.reset();
  at_ += 1;
}

}  // namespace marbledyke::keeper
