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
#include "model/numeric.h"

namespace marbledyke::keeper {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr Duration kTickInterval = 50ms;
constexpr Duration kHealthInterval = 1s, kHealthTimeout = 1s;
constexpr std::size_t kMaxStateBytes = 64 * 1024;
constexpr std::int64_t kRecentWindowMs = 10'000;
constexpr std::uint64_t kMinFreeBytes = 16'000'000;  // for what the keeper itself writes

std::string text_or(const json& from, const char* key, const char* fallback) {
  return from.contains(key) && from[key].is_string() ? from[key].get<std::string>() : fallback;
}

std::optional<std::int64_t> settings_index_of(const json& event) {
  if (!event.contains("settings_index")) return std::nullopt;
  return config::integer(event, "settings_index");
}

// Returns a share below 0.5 that depends on the name alone, so that the keepers of a fleet do not restart
// in step.
double jitter_of(const std::string& name) { return static_cast<double>(hash_string(name) % 1000) / 2000.0; }

json counts_json(const totals::OpTypeCounts& count) {
  json out = totals::to_json(count);
  out.erase("latency");
  out.erase("importance");
  out["median_us"] = count.latency.quantile(0.5).count();
  out["p99_us"] = count.latency.quantile(0.99).count();
  return out;
}

json counts_json(const totals::Window& window) {
  json ops = json::object();
  for (const auto& [name, one] : window.by_op_type) ops[name] = counts_json(one);
  json out = counts_json(window.total());
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

  KeeperState state;
  bool state_known = false;
  const std::string state_path = options_.folder + "/state";
  try {
    const auto text = disk_.read_file(state_path, kMaxStateBytes);
    state_known = text.has_value();
    if (text) state = parse_state(*text);
  } catch (const std::exception& error) {
    // The file is kept under another name; the linked version counts as the one in force.
    state_known = false;
    state_error_ = error.what();
    log::event(log::Level::error, "keeper.state_not_usable", {{"why", state_error_}});
    disk_.rename(state_path, state_path + ".damaged");
  }
  if (state.in_force.empty()) state.in_force = versions_.linked().value_or("");
  if (!versions_.has(state.in_force)) {
    if (!state.in_force.empty())
      log::event(log::Level::error, "keeper.version_not_there", {{"version", state.in_force}});
    state.in_force.clear();
    state.should_run = false;
  }

  std::optional<ProcessIdentity> adopted[kSlots];
  for (int i = 0; i < kSlots; ++i) {
    slots_[i].process = std::make_unique<GathererProcess>(
        loop_, options_.folder, i,
        GathererProcess::Callbacks{
            [this, i](const std::string& how) {
              log::event(log::Level::info, "gatherer.ended", {{"slot", i}, {"how", how}});
              supervisor_->tick(loop_.now(), loop_.clock().wall());
              // First, since a restart must use the settings that result.
              report_exit_to_fleet_settings(i, how);
              supervisor_->on_process_exited(i, how);
              carry_out_actions();
            },
            [this, i](const std::string& text) { on_event_line(i, text); }});
    adopted[i] = slots_[i].process->adopt();
    // Without a state, a running gatherer shows that one is to run.
    if (adopted[i] && !state_known) state.should_run = true;
  }
  supervisor_ = std::make_unique<Supervisor>(options_.policy, state, loop_.now(), loop_.clock().wall(),
                                             jitter_of(options_.name));
  for (int i = 0; i < kSlots; ++i) {
    if (!adopted[i]) continue;
    log::event(log::Level::info, "gatherer.adopted",
               {{"slot", i}, {"pid", adopted[i]->pid}, {"version", adopted[i]->version}});
    slots_[i].started_ms = since_ms_;
    supervisor_->on_process_adopted(i, adopted[i]->version, versions_.info(adopted[i]->version));
    if (listener_) continue;
    listen_address_ = listen_address_of(adopted[i]->version);
    listener_ = slots_[i].process->duplicate_listener(listen_address_);
    if (!listener_)
      log::event(log::Level::warning, "keeper.listener_not_regained", {{"address", listen_address_}});
  }
  supervisor_->resume(versions_.info(state.in_force), versions_.info(state.former),
                      state.order && versions_.has(state.order->version));
  start_fleet_settings();
  control_ = std::make_unique<ControlServer>(
      loop_, options_.control,
      [this](const std::string& method, const std::string& target, const std::string& body) {
        return on_request(method, target, body);
      });
  carry_out_actions();
  on_timer();
}

Keeper::~Keeper() {
  if (timer_) loop_.cancel(*timer_);
}

void Keeper::shut_down() {
  log::event(log::Level::info, "keeper.stopping");
  supervisor_->tick(loop_.now(), loop_.clock().wall());
  supervisor_->shut_down();
  carry_out_actions();
}

void Keeper::on_timer() {
  timer_.reset();
  closed_calls_.clear();
  supervisor_->tick(loop_.now(), loop_.clock().wall());
  carry_out_actions();
  tick_fleet_settings();
  if (loop_.now() >= next_health_check_) check_health();
  if (supervisor_->is_shut_down() && !stopped_) {
    stopped_ = true;
    log::event(log::Level::info, "keeper.stopped");
    return;
  }
  timer_ = loop_.call_at(loop_.now() + kTickInterval, [this] { on_timer(); });
}

// ---- actions ----

void Keeper::carry_out_actions() {
  if (is_carrying_out_) return;
  is_carrying_out_ = true;
  while (const auto action = supervisor_->next_action()) {
    switch (action->type) {
      case Action::Type::persist_state:
        supervisor_->on_state_written(write_state(supervisor_->state()));
        break;
      case Action::Type::link_version:
        try {
          versions_.link(action->version);
          supervisor_->on_version_linked();
        } catch (const disk::DiskError& error) {
          log::event(log::Level::error, "keeper.not_linked",
                     {{"version", action->version}, {"why", error.what()}});
          supervisor_->on_link_failed(error.what());
        }
        break;
      case Action::Type::start_process:
        start_process(action->slot, action->version);
        break;
      case Action::Type::record_version:
        slots_[action->slot].process->record_version(action->version);
        break;
      case Action::Type::reload:
        reload(action->slot);
        break;
      case Action::Type::terminate:
        slots_[action->slot].stop_ordered = true;
        slots_[action->slot].process->signal(SIGTERM);
        fail_points::hit("term.after");
        break;
      case Action::Type::kill:
        slots_[action->slot].killed_by_keeper = true;
        slots_[action->slot].process->signal(SIGKILL);
        break;
      case Action::Type::log:
        log::event(log::Level::info, "keeper.note",
                   {{"slot", action->slot}, {"version", action->version}, {"what", action->message}});
        break;
    }
  }
  is_carrying_out_ = false;
}

bool Keeper::write_state(const KeeperState& state) {
  try {
    fail_points::hit("state.before");
    disk_.replace_file(options_.folder + "/state", serialize(state), 0600);
    fail_points::hit("state.after");
    write_error_.clear();
    return true;
  } catch (const disk::DiskError& error) {
    if (write_error_ != error.what())
      log::event(log::Level::error, "keeper.state_not_written", {{"why", error.what()}});
    write_error_ = error.what();
    return false;
  }
}

std::string Keeper::listen_address_of(const std::string& version) const {
  try {
    const auto text = disk_.read_file(versions_.path(version) + "/config.json", kMaxFileBytes);
    return text_or(config::parse(text.value_or("")), "listen", "");
  } catch (const std::exception&) {
    return {};
  }
}

// Returns the listening socket for clients, which gatherers inherit: while one gatherer replaces another, new
// connections wait in its queue. -1: the gatherer opens its own.
int Keeper::listener_for(const std::string& version) {
  const std::string wanted = listen_address_of(version);
  if (listener_ && wanted == listen_address_) return listener_.get();
  const auto address = net::parse_address(wanted);
  if (!address) return -1;
  net::Descriptor listener = net::listen_on(*address);
  if (!listener) return -1;
  listen_address_ = wanted;
  listener_ = std::move(listener);
  return listener_.get();
}

void Keeper::start_process(int number, const std::string& version) {
  Slot& slot = slots_[number];
  const VersionInfo info = versions_.info(version);
  try {
    GathererProcess::StartOptions options;
    options.version = version;
    options.program = versions_.path(version) + "/marbledyke";
    options.configuration = versions_.current() + "/config.json";
    if (info.program.ends_with(kWithOperatorFile))
      options.operator_file = versions_.current() + "/operator.xml";
    if (settings_) options.settings = settings_->file();
    options.listener = listener_for(version);
    slot.process->start(options);
  } catch (const std::exception& error) {
    return supervisor_->on_start_failed(number, error.what());
  }
  slot.series.clear();
  slot.started_ms = loop_.clock().wall() / 1ms;
  slot.stop_ordered = slot.killed_by_keeper = false;
  slot.last_window_number = slot.windows = slot.missed_windows = 0;
  slot.pending_settings.clear();
  log::event(log::Level::info, "gatherer.began",
             {{"slot", number}, {"pid", slot.process->pid()}, {"version", version}});
  supervisor_->on_process_started(number, info);
}

// ---- events ----

void Keeper::on_event_line(int number, const std::string& text) {
  Slot& slot = slots_[number];
  slot.events += 1;
  try {
    const json event = config::parse(text);
    const std::string& name = config::text(event, "event");
    // The line may be read after a long pause of the keeper.
    supervisor_->tick(loop_.now(), loop_.clock().wall());
    if (name == "window") {
      totals::Window window = totals::parse_window(config::object(event, "window"));
      const auto count = static_cast<std::uint64_t>(config::integer(event, "number"));
      if (slot.last_window_number != 0 && count > slot.last_window_number + 1)
        slot.missed_windows += count - slot.last_window_number - 1;
      slot.last_window_number = count;
      slot.windows += 1;
      const totals::OpTypeCounts all = window.total();
      if (settings_ && number == supervisor_->primary_slot())
        settings_->on_running_revision(settings_index_of(event));
      supervisor_->on_window_report(
          number, {config::text(event, "configuration"), all.taken, all.ended(), window.in_hand});
      slot.series.add(std::move(window));
    } else if (name == "gatherer.serving") {
      if (settings_ && number == supervisor_->primary_slot())
        settings_->on_running_revision(settings_index_of(event));
      supervisor_->on_process_serving(number);
    } else if (name == "configuration.refused") {
      on_reload_result(number, false, settings_index_of(event), text_or(event, "why", ""));
    } else if (name == "configuration.waits_for_start") {
      slot.pending_settings = text_or(event, "key", "");
    } else if (name == "configuration.read_again") {
      on_reload_result(number, true, settings_index_of(event), slot.pending_settings);
    }
  } catch (const config::BadInput&) {
    slot.unreadable_lines += 1;
  }
  carry_out_actions();
  tick_fleet_settings();
}

void Keeper::check_health() {
  next_health_check_ = loop_.now() + kHealthInterval;
  if (health_call_) {
    if (!health_answered_) supervisor_->on_health_result(false);
    health_call_->close();
    closed_calls_.push_back(std::move(health_call_));
  }
  health_answered_ = false;
  const auto address = net::parse_address(listen_address_);
  if (!address || !slots_[supervisor_->primary_slot()].process->alive()) return;
  net::Descriptor fd = net::start_connect(*address);
  if (!fd) return supervisor_->on_health_result(false);
  health_call_ = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 4096, 4096,
      net::Stream::Callbacks{
          [this] {
            health_call_->out().append("GET /healthz HTTP/1.1\r\nHost: keeper\r\nConnection: close\r\n\r\n");
            health_call_->flush();
          },
          [this] {
            health_answered_ = true;
            supervisor_->on_health_result(health_call_->in().front().starts_with("HTTP/1.1 200"));
            health_call_->close();
          },
          nullptr,
          [this](bool) {
            if (!health_answered_) supervisor_->on_health_result(false);
            health_answered_ = true;
            health_call_->close();
          }});
  static_assert(kHealthTimeout <= kHealthInterval);
}

// ---- orders ----

void Keeper::copy_next_block() {
  if (!copier_) return;
  std::string error;
  bool has_more = false;
  try {
    has_more = copier_->step();
  } catch (const std::exception& failure) {
    error = failure.what();
  }
  if (has_more) {
    loop_.call_at(loop_.now(), [this] { copy_next_block(); });
    return;
  }
  copier_.reset();
  supervisor_->on_version_task_done(error);
  carry_out_actions();
}

// Checks the swap to `version` and the rollback, as far as that is possible without doing either.
void Keeper::check_version(const std::string& version) {
  const std::string in_force = supervisor_->state().in_force;
  std::string error;
  if (free_bytes() < kMinFreeBytes) error = "too little free space on the keeper's disk";
  for (const std::string& each : {version, in_force}) {
    const std::string damaged = !error.empty() || each.empty() ? "" : versions_.verify(each);
    if (!damaged.empty()) error = each + ": " + damaged;
  }
  if (!error.empty()) return supervisor_->on_version_task_done(error);
  const auto step = [&](const std::string& program, const std::string& settings, bool required,
                        const std::string& failure) {
    VersionCheck::Step out{failure,
                           versions_.path(program) + "/marbledyke",
                           {versions_.path(settings) + "/config.json"},
                           required};
    if (versions_.info(settings).program.ends_with(kWithOperatorFile))
      out.files.push_back(versions_.path(settings) + "/operator.xml");
    return out;
  };
  std::vector<VersionCheck::Step> steps{step(version, version, true, version + " refuses its settings")};
  if (!in_force.empty() && in_force != version) {
    steps.push_back(
        step(in_force, in_force, true, in_force + " refuses its settings, so there is no rollback"));
    steps.push_back(step(version, in_force, false, version + " does not take the settings of " + in_force));
    steps.push_back(step(in_force, version, false, in_force + " does not take the settings of " + version));
  }
  version_check_ =
      std::make_unique<VersionCheck>(loop_, std::move(steps), [this](const VersionCheck::Result& result) {
        version_check_.reset();
        supervisor_->on_version_task_done(result.error, result.notes);
        carry_out_actions();
      });
}

Reply Keeper::on_order(const std::string& body) {
  Order order;
  try {
    order = parse_order(config::parse(body));
  } catch (const config::BadInput& error) {
    return {400, json{{"error", error.what()}}.dump()};
  }
  supervisor_->tick(loop_.now(), loop_.clock().wall());
  OrderVerdict verdict = supervisor_->evaluate(order, versions_.has(order.version));
  if (verdict == OrderVerdict::accepted) {
    KeeperState state = Supervisor::state_with(supervisor_->state(), order, loop_.clock().wall());
    // Persisted before it is carried out: a keeper that is killed now resumes it.
    if (!write_state(state)) {
      verdict = OrderVerdict::not_persisted;
    } else {
      fail_points::hit("order.kept");
      log::event(log::Level::info, "order.taken",
                 {{"order", name_of(order.kind)},
                  {"version", order.version},
                  {"epoch", order.epoch},
                  {"number", order.number}});
      const VersionInfo target = versions_.info(state.in_force), former = versions_.info(state.former);
      supervisor_->accept(order, std::move(state), target, former);
      if (order.kind == OrderKind::take) {
        try {
          copier_ = std::make_unique<Versions::Copier>(versions_, order.version, order.from);
          loop_.call_at(loop_.now(), [this] { copy_next_block(); });
        } catch (const std::exception& error) {
          supervisor_->on_version_task_done(error.what());
        }
      } else if (order.kind == OrderKind::try_out) {
        check_version(order.version);
      } else if (order.kind == OrderKind::drop) {
        try {
          versions_.drop(order.version);
          supervisor_->on_version_task_done("");
        } catch (const disk::DiskError& error) {
          supervisor_->on_version_task_done(error.what());
        }
      }
      carry_out_actions();
    }
  }
  const int code = verdict == OrderVerdict::accepted        ? 202
                   : verdict == OrderVerdict::repeated      ? 200
                   : verdict == OrderVerdict::not_persisted ? 507
                                                            : 409;
  json out = json::parse(status());
  out["verdict"] = name_of(verdict);
  if (verdict == OrderVerdict::not_persisted) out["verdict_why"] = write_error_;
  return {code, out.dump()};
}

Reply Keeper::on_request(const std::string& method, const std::string& target, const std::string& body) {
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/order") return method == "POST" ? on_order(body) : Reply{405, R"({"error":"POST"})"};
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

std::uint64_t Keeper::free_bytes() const {
  struct statvfs info {};
  return statvfs(options_.folder.c_str(), &info) == 0 ? info.f_bavail * info.f_frsize : 0;
}

std::string Keeper::status() const {
  const Supervisor& supervisor = *supervisor_;
  const KeeperState& state = supervisor.state();
  json out = {{"name", options_.name},
              {"wall_ms", loop_.clock().wall() / 1ms},
              {"keeper", {{"pid", getpid()}, {"since_ms", since_ms_}}},
              {"wanted", state.should_run},
              {"in_force", state.in_force},
              {"former", state.former},
              {"linked", versions_.linked().value_or("")},
              {"will", name_of(supervisor.run_state())},
              {"swap", name_of(supervisor.swap_state())},
              {"outcome", name_of(state.outcome)},
              {"why", state.why},
              {"outcome_since_ms", state.since_ms},
              {"starts", state.starts},
              {"ends", state.unplanned_exits},
              {"strikes", state.crash_score},
              {"gave_up", state.gave_up},
              {"room_bytes", free_bytes()},
              {"unsaved", supervisor.has_unsaved_state()},
              {"impossible", supervisor.unexpected_events()},
              {"versions", json::array()},
              {"processes", json::array()}};
  if (state.order) out["order"] = to_json(*state.order);
  if (settings_) out["settings"] = settings_->status();
  if (!state_error_.empty()) out["state_wrong"] = state_error_;
  if (!write_error_.empty()) out["write_wrong"] = write_error_;
  if (const auto next_start = supervisor.next_start_at())
    out["starts_again_in_ms"] = std::max<std::int64_t>((*next_start - loop_.now()) / 1ms, 0);
  for (const auto& [id, info] : versions_.all())
    out["versions"].push_back({{"id", id}, {"program", info.program}, {"configuration", info.configuration}});
  const std::int64_t recent = loop_.clock().wall() / 1ms - kRecentWindowMs;
  for (int i = 0; i < kSlots; ++i) {
    const Slot& slot = slots_[i];
    if (supervisor.process_state(i) == ProcessState::none) continue;
    const Health health = supervisor.health_of(i);
    const Usage usage = slot.process->usage();
    out["processes"].push_back(
        {{"slot", i},
         {"leads", i == supervisor.primary_slot()},
         {"pid", slot.process->pid()},
         {"version", supervisor.process_version(i)},
         {"since_ms", slot.started_ms},
         {"life", name_of(supervisor.process_state(i))},
         {"healthy", health.healthy},
         {"answers", health.answers == Health::Answers::yes  ? "yes"
                     : health.answers == Health::Answers::no ? "no"
                                                             : "not asked"},
         {"cpu_s", usage.cpu},
         {"rss_bytes", usage.rss},
         {"windows", slot.windows},
         {"windows_missed", slot.missed_windows},
         {"lines_unreadable", slot.unreadable_lines},
         {"broken_invariants", slot.series.since_start().broken_invariants},
         {"totals", counts_json(slot.series.since_start())},
         {"recent", counts_json(slot.series.merged(recent, recent + 2 * kRecentWindowMs))}});
  }
  return out.dump();
}

// Returns the windows of the primary, and of the other process too during a swap.
std::string Keeper::windows(std::int64_t from_ms) const {
  json out = {{"name", options_.name}, {"wall_ms", loop_.clock().wall() / 1ms}, {"windows", json::array()}};
  for (int i = 0; i < kSlots; ++i) {
    const Slot& slot = slots_[i];
    for (auto at = slot.series.windows().lower_bound(from_ms); at != slot.series.windows().end(); ++at) {
      json one = totals::to_json(at->second);
      one["slot"] = i;
      one["version"] = supervisor_->process_version(i);
      one["since_ms"] = slot.started_ms;
      out["windows"].push_back(std::move(one));
    }
  }
  return out.dump();
}

}  // namespace marbledyke::keeper
