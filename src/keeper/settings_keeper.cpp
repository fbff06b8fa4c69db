#include "keeper/settings_keeper.h"

#include <utility>

#include "config/fields.h"
#include "fail_points/fail_points.h"
#include "log/log.h"
#include "model/measure.h"

namespace marbledyke::keeper {
namespace {

using namespace std::chrono_literals;
using distribution::Revision;
using nlohmann::json;

constexpr std::size_t kMostFile = 256 * 1024;  // bytes; a revision is 64 KiB at most

json index_of(const std::optional<Revision>& revision) {
  return revision ? json(revision->index) : json(nullptr);
}

}  // namespace

SettingsKeeper::SettingsKeeper(net::Loop& loop, disk::Disk& disk, std::string folder, std::string name,
                               SettingsOptions options, const HolderPolicy& policy, std::function<void()> hup)
    : loop_(loop),
      disk_(disk),
      file_(folder + "/settings.json"),
      good_file_(folder + "/settings.good.json"),
      name_(std::move(name)),
      options_(std::move(options)),
      hup_(std::move(hup)),
      holder_(policy),
      since_ms_(loop.clock().wall() / 1ms) {
  std::optional<Revision> settings = load(file_);
  std::optional<Revision> good = load(good_file_);
  holder_.resume(std::move(settings), std::move(good), loop_.now());
  carry_out();
}

// One that cannot be read, or is another fleet's, is set aside and counts as none.
std::optional<Revision> SettingsKeeper::load(const std::string& path) {
  try {
    const auto text = disk_.read_file(path, kMostFile);
    if (!text) return std::nullopt;
    Revision out = distribution::read_revision(config::parse(*text));
    if (const auto fault = distribution::fault_of(out, options_.fleet)) throw config::BadInput(*fault);
    return out;
  } catch (const std::exception& wrong) {
    file_wrong_ = path + ": " + wrong.what();
    log::event(log::Level::error, "settings.file_not_usable", {{"file", path}, {"why", wrong.what()}});
    try {
      disk_.rename(path, path + ".damaged");
    } catch (const disk::DiskError&) {
      // It is written over instead.
    }
    return std::nullopt;
  }
}

void SettingsKeeper::tick(Host host) {
  holder_.tick(loop_.now(), host);
  carry_out();
}

void SettingsKeeper::runs(std::optional<std::int64_t> index) { holder_.runs(index); }

void SettingsKeeper::taken(std::optional<std::int64_t> index, const std::string& waits) {
  waits_ = waits;
  holder_.taken(index);
  carry_out();
}

void SettingsKeeper::refused(const std::string& why) {
  holder_.refused(why);
  carry_out();
}

void SettingsKeeper::ended(bool ordered, const std::string& how) {
  waits_.clear();
  holder_.ended(ordered, how);
  carry_out();
}

void SettingsKeeper::carry_out() {
  if (carrying_) return;
  carrying_ = true;
  while (const auto act = holder_.next()) {
    switch (act->what) {
      case HolderAct::What::write:
      case HolderAct::What::write_good:
        write(*act);
        break;
      case HolderAct::What::hup:
        waits_.clear();
        fail_points::hit("settings.hup");
        hup_();
        break;
      case HolderAct::What::applied:
        fail_points::hit("settings.applied");
        if (client_) client_->applied();
        break;
      case HolderAct::What::refused:
        if (client_) client_->refused(act->why);
        break;
      case HolderAct::What::watch:
        // In a turn of its own: the present client may be the one that asks.
        loop_.at(loop_.now(), [this, held = act->revision] { watch(held); });
        break;
      case HolderAct::What::note:
        log::event(log::Level::warning, "settings.note", {{"what", act->why}});
        break;
    }
  }
  carrying_ = false;
}

void SettingsKeeper::write(const HolderAct& act) {
  const bool for_gatherers = act.what == HolderAct::What::write;
  const std::string& path = for_gatherers ? file_ : good_file_;
  std::string wrong;
  try {
    fail_points::hit(for_gatherers ? "settings.before" : "settings.good.before");
    if (act.revision) {
      disk_.replace_file(path, distribution::put(*act.revision).dump() + "\n");
    } else {
      disk_.remove_all(path);
      disk_.sync_directory(disk::parent_directory(path));
    }
    fail_points::hit(for_gatherers ? "settings.written" : "settings.good.written");
  } catch (const disk::DiskError& error) {
    wrong = error.what();
    log::event(log::Level::error, "settings.not_written", {{"why", wrong}});
  }
  if (for_gatherers && wrong.empty()) {
    since_ms_ = loop_.clock().wall() / 1ms;
    log::event(log::Level::info, "settings.written", {{"index", act.revision ? act.revision->index : 0}});
  }
  holder_.written(act.what, wrong);
}

void SettingsKeeper::watch(std::optional<Revision> held) {
  const auto seed = static_cast<std::uint32_t>(hash_text(name_)) + lives_++;
  client_ = std::make_unique<distribution::ReceiverClient>(
      loop_, distribution::Receiver::Identity{name_, options_.zone, options_.fleet}, options_.control_nodes,
      options_.preferred, std::move(held), seed, [this](const Revision& revision) {
        log::event(log::Level::info, "settings.offered",
                   {{"index", revision.index}, {"author", revision.author}});
        holder_.offered(revision);
        carry_out();
      });
}

json SettingsKeeper::status() const {
  const std::optional<Revision>& now = holder_.settings();
  json out = {{"fleet", options_.fleet},
              {"index", now ? now->index : 0},
              {"digest", now ? now->digest : ""},
              {"since_ms", since_ms_},
              {"good", index_of(holder_.good())},
              {"phase", name_of(holder_.phase())},
              {"runs", holder_.running() ? json(*holder_.running()) : json(nullptr)},
              {"impossible", holder_.impossible()}};
  if (const auto& refusal = holder_.refusal())
    out["refused"] = {{"index", refusal->index}, {"digest", refusal->digest}, {"why", refusal->why}};
  if (!waits_.empty()) out["waits_for_start"] = waits_;
  if (!holder_.write_wrong().empty()) out["write_wrong"] = holder_.write_wrong();
  if (!file_wrong_.empty()) out["file_wrong"] = file_wrong_;
  if (!client_) return out;
  const distribution::Receiver& receiver = client_->receiver();
  const distribution::Receiver::Tally& tally = receiver.tally();
  out["node"] = options_.control_nodes.at(receiver.node()).text();
  out["calls"] = tally.calls;
  out["failures"] = tally.failures;
  out["last_failure"] = receiver.last_failure();
  out["node_changes"] = tally.node_changes;
  out["wrong_digest"] = tally.wrong_digest;
  out["older"] = tally.older;
  return out;
}

}  // namespace marbledyke::keeper
