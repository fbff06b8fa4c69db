#include "keeper/keeper.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/file.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <system_error>
#include <utility>

#include "config/fields.h"
#include "fail_points/fail_points.h"
#include "log/log.h"
#include "model/measure.h"

namespace marbledyke::keeper {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr Duration kBeat = 50ms;
constexpr Duration kHealthEvery = 1s, kHealthWithin = 1s;
constexpr std::size_t kMostState = 64 * 1024;
constexpr std::int64_t kRecentMs = 10'000;
constexpr std::uint64_t kLeastRoom = 16'000'000;  // bytes, for what it writes of its own

std::string stated_or(const json& from, const char* key, const char* otherwise) {
  return from.contains(key) && from[key].is_string() ? from[key].get<std::string>() : otherwise;
}

std::optional<std::int64_t> settings_index_of(const json& event) {
  if (!event.contains("settings_index")) return std::nullopt;
  return config::whole(event, "settings_index");
}

// A share of chance that is this keeper's own, so that those of a fleet do not wait in step.
double jitter_of(const std::string& name) { return static_cast<double>(hash_text(name) % 1000) / 2000.0; }

json counts(const totals::Count& c) {
  json out = totals::put(c);
  out.erase("latency");
  out.erase("importance");
  out["median_us"] = c.latency.at(0.5).count();
  out["p99_us"] = c.latency.at(0.99).count();
  return out;
}

json counts(const totals::Window& w) {
  json ops = json::object();
  for (const auto& [name, one] : w.by_op_type) ops[name] = counts(one);
  json out = counts(w.all());
  out["op_types"] = std::move(ops);
  return out;
}

}  // namespace

Keeper::Keeper(net::Loop& loop, disk::Disk& disk, const Options& options)
    : loop_(loop), disk_(disk), options_(options), versions_(disk, options.folder) {
  loop_.read_clock();
  disk_.make_directory(options_.folder);
  const std::string lock = options_.folder + "/keeper.lock";
  lock_ = net::Descriptor(open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock_) throw std::system_error(errno, std::generic_category(), lock);
  if (flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
    throw config::BadInput(options_.folder + ": another keeper has it");
  versions_.open();
  since_ms_ = loop_.clock().wall() / 1ms;

  Kept kept;
  bool known = false;
  const std::string state = options_.folder + "/state";
  try {
    const auto text = disk_.read_file(state, kMostState);
    known = text.has_value();
    if (text) kept = read_kept(*text);
  } catch (const std::exception& wrong) {
    // Set aside, not overwritten; what is linked counts as in force.
    known = false;
    state_wrong_ = wrong.what();
    log::event(log::Level::error, "keeper.state_not_usable", {{"why", state_wrong_}});
    disk_.rename(state, state + ".damaged");
  }
  if (kept.in_force.empty()) kept.in_force = versions_.linked().value_or("");
  if (!versions_.has(kept.in_force)) {
    if (!kept.in_force.empty())
      log::event(log::Level::error, "keeper.version_not_there", {{"version", kept.in_force}});
    kept.in_force.clear();
    kept.wanted = false;
  }

  std::optional<Born> found[kSlots];
  for (int i = 0; i < kSlots; ++i) {
    slots_[i].child = std::make_unique<Child>(
        loop_, options_.folder, i,
        Child::Told{[this, i](const std::string& how) {
                      log::event(log::Level::info, "gatherer.ended", {{"slot", i}, {"how", how}});
                      minder_->tick(loop_.now(), loop_.clock().wall());
                      // What it is started again with is settled first.
                      tell_settings_ended(i, how);
                      minder_->ended(i, how);
                      carry_out();
                    },
                    [this, i](const std::string& text) { line(i, text); }});
    found[i] = slots_[i].child->adopt();
    // State that was lost says nothing about what is wanted; that one runs does.
    if (found[i] && !known) kept.wanted = true;
  }
  minder_ = std::make_unique<Minder>(options_.policy, kept, loop_.now(), loop_.clock().wall(),
                                     jitter_of(options_.name));
  for (int i = 0; i < kSlots; ++i) {
    if (!found[i]) continue;
    log::event(log::Level::info, "gatherer.adopted",
               {{"slot", i}, {"pid", found[i]->pid}, {"version", found[i]->version}});
    slots_[i].began_ms = since_ms_;
    minder_->adopted(i, found[i]->version, versions_.facts(found[i]->version));
    if (listener_) continue;
    listening_ = listen_of(found[i]->version);
    listener_ = slots_[i].child->listener_of(listening_);
    if (!listener_)
      log::event(log::Level::warning, "keeper.listener_not_regained", {{"address", listening_}});
  }
  minder_->resume(versions_.facts(kept.in_force), versions_.facts(kept.former),
                  kept.order && versions_.has(kept.order->version));
  start_settings();
  control_ =
      std::make_unique<Control>(loop_, options_.control,
                                [this](const std::string& method, const std::string& target,
                                       const std::string& body) { return asked(method, target, body); });
  carry_out();
  beat();
}

Keeper::~Keeper() {
  if (beat_) loop_.cancel(*beat_);
}

void Keeper::leave() {
  log::event(log::Level::info, "keeper.stopping");
  minder_->tick(loop_.now(), loop_.clock().wall());
  minder_->leave();
  carry_out();
}

void Keeper::beat() {
  beat_.reset();
  graves_.clear();
  minder_->tick(loop_.now(), loop_.clock().wall());
  carry_out();
  tick_settings();
  if (loop_.now() >= health_next_) ask_health();
  if (minder_->left() && !left_) {
    left_ = true;
    log::event(log::Level::info, "keeper.stopped");
    return;
  }
  beat_ = loop_.at(loop_.now() + kBeat, [this] { beat(); });
}

// ---- what is decided ----

void Keeper::carry_out() {
  if (carrying_) return;
  carrying_ = true;
  while (const auto act = minder_->next()) {
    switch (act->what) {
      case Act::What::keep:
        minder_->kept_written(write(minder_->kept()));
        break;
      case Act::What::link:
        try {
          versions_.link(act->version);
          minder_->linked();
        } catch (const disk::DiskError& wrong) {
          log::event(log::Level::error, "keeper.not_linked",
                     {{"version", act->version}, {"why", wrong.what()}});
          minder_->not_linked(wrong.what());
        }
        break;
      case Act::What::begin:
        begin(act->slot, act->version);
        break;
      case Act::What::label:
        slots_[act->slot].child->relabel(act->version);
        break;
      case Act::What::hup:
        hup(act->slot);
        break;
      case Act::What::term:
        slots_[act->slot].stopping = true;
        slots_[act->slot].child->signal(SIGTERM);
        fail_points::hit("term.after");
        break;
      case Act::What::kill:
        slots_[act->slot].felled = true;
        slots_[act->slot].child->signal(SIGKILL);
        break;
      case Act::What::note:
        log::event(log::Level::info, "keeper.note",
                   {{"slot", act->slot}, {"version", act->version}, {"what", act->why}});
        break;
    }
  }
  carrying_ = false;
}

bool Keeper::write(const Kept& kept) {
  try {
    fail_points::hit("state.before");
    disk_.replace_file(options_.folder + "/state", put(kept), 0600);
    fail_points::hit("state.after");
    write_wrong_.clear();
    return true;
  } catch (const disk::DiskError& wrong) {
    if (write_wrong_ != wrong.what())
      log::event(log::Level::error, "keeper.state_not_written", {{"why", wrong.what()}});
    write_wrong_ = wrong.what();
    return false;
  }
}

std::string Keeper::listen_of(const std::string& version) const {
  try {
    const auto text = disk_.read_file(versions_.path(version) + "/config.json", kMostFile);
    return stated_or(config::parse(text.value_or("")), "listen", "");
  } catch (const std::exception&) {
    return {};
  }
}

// The socket that clients connect to is this process's, and inherited: while one gatherer follows another,
// whoever connects waits in its queue. -1: the gatherer opens its own.
int Keeper::listener_for(const std::string& version) {
  const std::string wanted = listen_of(version);
  if (listener_ && wanted == listening_) return listener_.get();
  const auto address = net::parse_address(wanted);
  if (!address) return -1;
  net::Descriptor fresh = net::listen_on(*address);
  if (!fresh) return -1;
  listening_ = wanted;
  listener_ = std::move(fresh);
  return listener_.get();
}

void Keeper::begin(int number, const std::string& version) {
  Slot& slot = slots_[number];
  const VersionFacts facts = versions_.facts(version);
  try {
    Child::Start start;
    start.version = version;
    start.program = versions_.path(version) + "/marbledyke";
    start.configuration = versions_.current() + "/config.json";
    if (facts.program.ends_with(kWithOperatorFile))
      start.operator_file = versions_.current() + "/operator.xml";
    if (settings_) start.settings = settings_->file();
    start.listener = listener_for(version);
    slot.child->begin(start);
  } catch (const std::exception& wrong) {
    return minder_->not_begun(number, wrong.what());
  }
  slot.series.clear();
  slot.began_ms = loop_.clock().wall() / 1ms;
  slot.stopping = slot.felled = false;
  slot.number = slot.windows = slot.missed = 0;
  slot.waits.clear();
  log::event(log::Level::info, "gatherer.began",
             {{"slot", number}, {"pid", slot.child->pid()}, {"version", version}});
  minder_->began(number, facts);
}

// ---- what happens ----

void Keeper::line(int number, const std::string& text) {
  Slot& slot = slots_[number];
  slot.events += 1;
  try {
    const json event = config::parse(text);
    const std::string& name = config::text(event, "event");
    // What a process said last may be read after a long time without a turn.
    minder_->tick(loop_.now(), loop_.clock().wall());
    if (name == "window") {
      totals::Window window = totals::read_window(config::object(event, "window"));
      const auto count = static_cast<std::uint64_t>(config::whole(event, "number"));
      if (slot.number != 0 && count > slot.number + 1) slot.missed += count - slot.number - 1;
      slot.number = count;
      slot.windows += 1;
      const totals::Count all = window.all();
      if (settings_ && number == minder_->lead()) settings_->runs(settings_index_of(event));
      minder_->heard(number, {config::text(event, "configuration"), all.taken, all.ended(), window.in_hand});
      slot.series.add(std::move(window));
    } else if (name == "gatherer.serving") {
      if (settings_ && number == minder_->lead()) settings_->runs(settings_index_of(event));
      minder_->serves(number);
    } else if (name == "configuration.refused") {
      read_said(number, false, settings_index_of(event), stated_or(event, "why", ""));
    } else if (name == "configuration.waits_for_start") {
      slot.waits = stated_or(event, "key", "");
    } else if (name == "configuration.read_again") {
      read_said(number, true, settings_index_of(event), slot.waits);
    }
  } catch (const config::BadInput&) {
    slot.unreadable += 1;
  }
  carry_out();
  tick_settings();
}

void Keeper::ask_health() {
  health_next_ = loop_.now() + kHealthEvery;
  if (health_) {
    if (!health_said_) minder_->health(false);
    health_->close();
    graves_.push_back(std::move(health_));
  }
  health_said_ = false;
  const auto address = net::parse_address(listening_);
  if (!address || !slots_[minder_->lead()].child->alive()) return;
  net::Descriptor fd = net::start_connect(*address);
  if (!fd) return minder_->health(false);
  health_ = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 4096, 4096,
      net::Stream::Told{[this] {
                          health_->out().put(
                              "GET /healthz HTTP/1.1\r\nHost: keeper\r\nConnection: close\r\n\r\n");
                          health_->flush();
                        },
                        [this] {
                          health_said_ = true;
                          minder_->health(health_->in().front().starts_with("HTTP/1.1 200"));
                          health_->close();
                        },
                        nullptr,
                        [this](bool) {
                          if (!health_said_) minder_->health(false);
                          health_said_ = true;
                          health_->close();
                        }});
  static_assert(kHealthWithin <= kHealthEvery);
}

// ---- orders ----

void Keeper::take_some() {
  if (!taking_) return;
  std::string wrong;
  bool more = false;
  try {
    more = taking_->step();
  } catch (const std::exception& error) {
    wrong = error.what();
  }
  if (more) {
    loop_.at(loop_.now(), [this] { take_some(); });
    return;
  }
  taking_.reset();
  minder_->versions_done(wrong);
  carry_out();
}

// The way there and the way back, as far as they can be tried without either.
void Keeper::try_out(const std::string& version) {
  const std::string present = minder_->kept().in_force;
  std::string wrong;
  if (room_bytes() < kLeastRoom) wrong = "no room left on its disk";
  for (const std::string& each : {version, present}) {
    const std::string damaged = !wrong.empty() || each.empty() ? "" : versions_.verify(each);
    if (!damaged.empty()) wrong = each + ": " + damaged;
  }
  if (!wrong.empty()) return minder_->versions_done(wrong);
  const auto step = [&](const std::string& program, const std::string& settings, bool must,
                        const std::string& what) {
    Tryout::Step out{
        what, versions_.path(program) + "/marbledyke", {versions_.path(settings) + "/config.json"}, must};
    if (versions_.facts(settings).program.ends_with(kWithOperatorFile))
      out.files.push_back(versions_.path(settings) + "/operator.xml");
    return out;
  };
  std::vector<Tryout::Step> steps{step(version, version, true, version + " refuses its settings")};
  if (!present.empty() && present != version) {
    steps.push_back(step(present, present, true, present + " refuses its settings, so there is no way back"));
    steps.push_back(step(version, present, false, version + " does not take the settings of " + present));
    steps.push_back(step(present, version, false, present + " does not take the settings of " + version));
  }
  trying_ = std::make_unique<Tryout>(loop_, std::move(steps), [this](const Tryout::Result& result) {
    loop_.at(loop_.now(), [this] { trying_.reset(); });
    minder_->versions_done(result.wrong, result.notes);
    carry_out();
  });
}

Reply Keeper::order(const std::string& body) {
  Order order;
  try {
    order = read_order(config::parse(body));
  } catch (const config::BadInput& wrong) {
    return {400, json{{"error", wrong.what()}}.dump()};
  }
  minder_->tick(loop_.now(), loop_.clock().wall());
  const Kept& present = minder_->kept();
  Verdict verdict = minder_->considers(order, versions_.has(order.version));
  if (verdict == Verdict::taken) {
    Kept kept = Minder::with(present, order, loop_.clock().wall());
    // Written down before anything is done: a keeper that ends now goes on with it.
    if (!write(kept)) {
      verdict = Verdict::not_kept;
    } else {
      fail_points::hit("order.kept");
      log::event(log::Level::info, "order.taken",
                 {{"order", name_of(order.kind)},
                  {"version", order.version},
                  {"epoch", order.epoch},
                  {"number", order.number}});
      const VersionFacts target = versions_.facts(kept.in_force), former = versions_.facts(kept.former);
      minder_->take(order, std::move(kept), target, former);
      if (order.kind == Kind::take) {
        try {
          taking_ = std::make_unique<Versions::Taking>(versions_, order.version, order.from);
          loop_.at(loop_.now(), [this] { take_some(); });
        } catch (const std::exception& wrong) {
          minder_->versions_done(wrong.what());
        }
      } else if (order.kind == Kind::try_out) {
        try_out(order.version);
      } else if (order.kind == Kind::drop) {
        try {
          versions_.drop(order.version);
          minder_->versions_done("");
        } catch (const disk::DiskError& wrong) {
          minder_->versions_done(wrong.what());
        }
      }
      carry_out();
    }
  }
  const int code = verdict == Verdict::taken      ? 202
                   : verdict == Verdict::repeated ? 200
                   : verdict == Verdict::not_kept ? 507
                                                  : 409;
  json out = json::parse(status());
  out["verdict"] = name_of(verdict);
  if (verdict == Verdict::not_kept) out["verdict_why"] = write_wrong_;
  return {code, out.dump()};
}

Reply Keeper::asked(const std::string& method, const std::string& target, const std::string& body) {
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/order") return method == "POST" ? order(body) : Reply{405, R"({"error":"POST"})"};
  if (method != "GET") return {405, R"({"error":"GET"})"};
  if (path == "/healthz") return {200, "{}"};
  if (path == "/status") return {200, status()};
  if (path == "/windows") {
    std::int64_t from = 0;
    if (const std::size_t at = target.find("from_ms="); at != std::string::npos) {
      const char* const begin = target.data() + at + 8;
      if (std::from_chars(begin, target.data() + target.size(), from).ec != std::errc())
        return {400, R"({"error":"from_ms: not a whole number"})"};
    }
    return {200, windows(from)};
  }
  return {404, R"({"error":"not here: /status, /windows, /order, /healthz"})"};
}

std::uint64_t Keeper::room_bytes() const {
  struct statvfs room {};
  return statvfs(options_.folder.c_str(), &room) == 0 ? room.f_bavail * room.f_frsize : 0;
}

std::string Keeper::status() const {
  const Minder& m = *minder_;
  const Kept& kept = m.kept();
  json out = {{"name", options_.name},
              {"wall_ms", loop_.clock().wall() / 1ms},
              {"keeper", {{"pid", getpid()}, {"since_ms", since_ms_}}},
              {"wanted", kept.wanted},
              {"in_force", kept.in_force},
              {"former", kept.former},
              {"linked", versions_.linked().value_or("")},
              {"will", name_of(m.will())},
              {"swap", name_of(m.swap())},
              {"outcome", name_of(kept.outcome)},
              {"why", kept.why},
              {"outcome_since_ms", kept.since_ms},
              {"starts", kept.starts},
              {"ends", kept.ends},
              {"strikes", kept.strikes},
              {"gave_up", kept.gave_up},
              {"room_bytes", room_bytes()},
              {"unsaved", m.unsaved()},
              {"impossible", m.impossible()},
              {"versions", json::array()},
              {"processes", json::array()}};
  if (kept.order) out["order"] = put(*kept.order);
  if (settings_) out["settings"] = settings_->status();
  if (!state_wrong_.empty()) out["state_wrong"] = state_wrong_;
  if (!write_wrong_.empty()) out["write_wrong"] = write_wrong_;
  if (const auto again = m.starts_again())
    out["starts_again_in_ms"] = std::max<std::int64_t>((*again - loop_.now()) / 1ms, 0);
  for (const auto& [id, facts] : versions_.all())
    out["versions"].push_back(
        {{"id", id}, {"program", facts.program}, {"configuration", facts.configuration}});
  const std::int64_t recent = loop_.clock().wall() / 1ms - kRecentMs;
  for (int i = 0; i < kSlots; ++i) {
    const Slot& slot = slots_[i];
    if (m.life(i) == Life::none) continue;
    const Health health = m.health_of(i);
    const Usage usage = slot.child->usage();
    out["processes"].push_back({{"slot", i},
                                {"leads", i == m.lead()},
                                {"pid", slot.child->pid()},
                                {"version", m.version(i)},
                                {"since_ms", slot.began_ms},
                                {"life", name_of(m.life(i))},
                                {"healthy", health.healthy},
                                {"answers", health.answers == Health::Answers::yes  ? "yes"
                                            : health.answers == Health::Answers::no ? "no"
                                                                                    : "not asked"},
                                {"cpu_s", usage.cpu},
                                {"rss_bytes", usage.rss},
                                {"windows", slot.windows},
                                {"windows_missed", slot.missed},
                                {"lines_unreadable", slot.unreadable},
                                {"broken_invariants", slot.series.since_start().broken_invariants},
                                {"totals", counts(slot.series.since_start())},
                                {"recent", counts(slot.series.merged(recent, recent + 2 * kRecentMs))}});
  }
  return out.dump();
}

// The windows of the process that leads; of the other too while one follows the other.
std::string Keeper::windows(std::int64_t from_ms) const {
  json out = {{"name", options_.name}, {"wall_ms", loop_.clock().wall() / 1ms}, {"windows", json::array()}};
  for (int i = 0; i < kSlots; ++i) {
    const Slot& slot = slots_[i];
    for (auto at = slot.series.windows().lower_bound(from_ms); at != slot.series.windows().end(); ++at) {
      json one = totals::put(at->second);
      one["slot"] = i;
      one["version"] = minder_->version(i);
      one["since_ms"] = slot.began_ms;
      out["windows"].push_back(std::move(one));
    }
  }
  return out.dump();
}

}  // namespace marbledyke::keeper
