#include "emulator/world.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <deque>
#include <limits>
#include <ostream>
#include <queue>
#include <random>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "emulator/clients.h"
#include "emulator/keepers.h"
#include "emulator/policy.h"
#include "list/staleness.h"
#include "model/numeric.h"

namespace marbledyke::emulator {
namespace {

using namespace std::chrono_literals;
using checker::Event;
using checker::What;
using scenario::Effect;
using scenario::Fault;
using scenario::FaultKind;
using scenario::OpLoad;
using scenario::Scenario;
using scenario::Shape;

constexpr Duration kFrontNotices = 1s;    // the front leaves a dead gatherer out after this
constexpr Duration kCrashListed = 1s;     // the list service finds a crashed server out after this
constexpr Duration kVanishedListed = 3s;  // and one that vanished
constexpr Duration kListWay = 1ms;        // a call to the list, each way
constexpr Duration kTurn =
    1ms;  // a gatherer's turns are so far apart at least: what comes meanwhile shares one

Duration span_of(double s) { return Duration(static_cast<std::int64_t>(std::llround(s * 1e6))); }

enum class Kind : std::uint8_t {
  arrive,
  finished,
  reply,
  expire,
  cancel,
  turn,
  wake,
  ask,
  retry,
  client_ends,
  list_tell,
  list_answer,
  probe_arrive,
  probe_end,
  fault_begins,
  fault_step,
  fault_ends,
  server_listed,
  gatherer_back,
  leaves,
  keepers,
  resume
};

struct Ev {
  Duration at{};
  std::uint64_t order = 0;
  Kind kind = Kind::turn;
  std::uint32_t a = 0;
  std::uint64_t b = 0;
  bool operator>(const Ev& o) const { return at != o.at ? at > o.at : order > o.order; }
};

struct SendState {
  std::uint32_t generation = 0;
  int refs = 0;
  int gatherer = 0;
  std::uint32_t gatherer_life = 0;
  RequestId part;
  std::uint32_t number = 0;  // of the multiget at its gatherer
  std::uint64_t multiget = 0;
  int shard = 0, send = 0, server = 0, op = 0;
  std::uint32_t server_life = 0;
  Duration pulled{}, written{}, not_past{}, queued{};
  double work = 0;       // seconds on one core
  double told_work = 0;  // as gatherers are told
  bool told = false, arrived = false, running = false, queued_now = false, done = false, cancelled = false,
       used = false;
  SendOutcome fate = SendOutcome::unused;
};

struct Connection {
  bool open = false;
  std::uint32_t life = 0;  // of the server it leads to
  Duration ready{}, heard{};
};

struct ServerState {
  std::string name;
  int zone = 0, cell = 0;
  bool alive = true, vanished = false, paused = false, refusing = false, disturbed = false;
  std::optional<Duration> started;  // cold since
  std::uint32_t life = 1;
  double slow = 1, errors = 0, lose_in = 0, lose_out = 0;
  int busy = 0;
  std::deque<std::uint32_t> queue;
  double worked = 0;
  std::uint64_t ran = 0;
  ServerStatus listed = ServerStatus::up;
  std::optional<Duration> listed_start;
};

struct PieceState {
  int shard = 0, sends = 0;
  bool returned = false;
};

struct InHand {
  std::uint64_t uid = 0;
  std::uint32_t client = 0;
  std::uint32_t client_try = 0;
  int op = 0;
  std::vector<PieceState> pieces;
  bool over = false;
  int out = 0;
};

struct GathererState {
  std::unique_ptr<Policy> policy;
  int zone = 0;
  bool alive = true;
  bool leaving = false;  // takes nothing new: another process has followed it
  std::uint32_t life = 1;
  bool turn_set = false, subscribed = false;
  Duration turned = Duration::min() / 2;  // the latest turn
  std::size_t version = 0;                // of the list's changes it has
  std::size_t told = 0;                   // up to which a telling is under way
  std::map<std::uint32_t, InHand> hand;
  std::uint32_t next_number = 1;
  int held = 0;
  std::vector<Connection> connections;
  std::vector<std::uint32_t> ended;  // sends whose fate is to be handed over
  struct ProbeEnd {
    int server;
    SendOutcome fate;
    Duration elapsed;
    LoadReport report;
  };
  std::vector<ProbeEnd> probed;
  std::vector<std::uint32_t> taken, left;          // numbers
  std::vector<std::pair<std::size_t, bool>> news;  // up to that version; whole
  int refused = 0;
};

// Of a gatherer's machine, whichever process serves there.
struct Machine {
  int lead = 0;                                     // among the gatherers' processes
  int list_cut = 0, path_lost = 0, keeper_off = 0;  // faults of that kind under way
  Duration path_delay{};
  std::unique_ptr<EmulatedKeeper> keeper;  // decides as the shipped one does
  std::uint64_t orders = 0;
  bool second = false;  // the version in force
};

constexpr Duration kStarts =
    40ms;  // a process, from its begin until it serves: 43 ms after SIGKILL were measured
constexpr Duration kStillTaking = 400ms;  // then one that was told to stop takes nothing new
constexpr Duration kPausedLook = 20ms;

// As the lab starts keepers of staged scenarios (lab::Kept).
keeper::SupervisorPolicy kept_policy() {
  keeper::SupervisorPolicy out;
  out.proving_period = 300ms;
  out.proving_timeout = 5s;
  out.start_timeout = 5s;
  out.initial_backoff = 50ms;
  out.max_backoff = 1s;
  out.max_crash_score = 30;
  out.silence_timeout = 6s;
  return out;
}

std::map<std::string, EmulatedVersion> kept_versions() {
  std::map<std::string, EmulatedVersion> out;
  for (const char* name : {"one", "two"}) {
    EmulatedVersion& version = out[name];
    version.facts = {std::string("program ") + name, "settings"};
    version.behaviour.starts_in = kStarts;
    version.behaviour.stop_takes = kStillTaking;
  }
  return out;
}

struct Probe {
  int gatherer = 0, server = 0;
  std::uint32_t gatherer_life = 0;
  Duration at{};
  bool over = false;
  LoadReport report;
};

struct Change {
  int server = 0;
  ServerStatus standing = ServerStatus::up;
  std::optional<Duration> started;
};

class World {
 public:
  World(const Scenario& scenario, const Options& options)
      : s_(scenario),
        options_(options),
        arrivals_(options.seed * 2654435761U + 1),
        work_(options.seed * 2654435761U + 2),
        network_(options.seed * 2654435761U + 3),
        trouble_(options.seed * 2654435761U + 4),
        checker_(rules_of(scenario)),
        clients_(scenario, options.seed * 2654435761U + 5, result_) {
    const auto length = static_cast<std::size_t>(to_seconds(s_.length)) + 1;
    result_.seconds.resize(length);
    make_fleet();
    // A keeper has two processes at most; none moves, since events refer to them by reference within a turn.
    const auto count = static_cast<std::size_t>(s_.gatherers.count);
    gatherers_.resize(count * (s_.gatherers.kept ? 2 : 1));
    died_.resize(gatherers_.size(), Duration::min() / 2);
    machine_of_.resize(gatherers_.size());
    paused_.resize(gatherers_.size());
    machines_.resize(count);
    for (std::size_t g = 0; g < gatherers_.size(); ++g) {
      const auto machine = static_cast<int>(g % count);
      machine_of_[g] = machine;
      gatherers_[g].zone = machine % s_.fleet.zones;
      gatherers_[g].alive = false;
    }
    for (int g = 0; g < s_.gatherers.count; ++g) {
      machines_[static_cast<std::size_t>(g)].lead = g;
      if (s_.gatherers.kept) {
        make_keeper(g);
      } else {
        start_gatherer(g, false);
      }
    }
    if (s_.gatherers.kept) at(kKeeperStep, Kind::keepers, 0);
    for (std::size_t i = 0; i < s_.faults.size(); ++i)
      at(s_.faults[i].from, Kind::fault_begins, static_cast<std::uint32_t>(i));
    next_arrival();
  }

  Result run() {
    while (!queue_.empty() && queue_.top().at <= s_.length) {
      const Ev event = queue_.top();
      queue_.pop();
      now_ = event.at;
      ++result_.events;
      handle(event);
    }
    now_ = s_.length;
    if (options_.check) checker_.finish(now_);
    count_up();
    return std::move(result_);
  }

 private:
  // ---- the clock ----

  void at(Duration when, Kind kind, std::uint32_t a, std::uint64_t b = 0) {
    queue_.push({std::max(when, now_), order_++, kind, a, b});
  }

  void handle(const Ev& e) {
    switch (e.kind) {
      case Kind::arrive:
        return arrive(e.a);
      case Kind::finished:
        return finished(e.a);
      case Kind::reply:
        return reply(e.a);
      case Kind::expire:
        return expire(e.a, static_cast<std::uint32_t>(e.b));
      case Kind::cancel:
        return cancel_arrives(e.a);
      case Kind::turn:
        return turn(static_cast<int>(e.a), static_cast<std::uint32_t>(e.b));
      case Kind::wake:
        return wake(static_cast<int>(e.a), static_cast<std::uint32_t>(e.b));
      case Kind::ask:
        return client_asks();
      case Kind::retry:
        return try_once(e.a);
      case Kind::client_ends:
        return client_ends(e.a, static_cast<std::uint32_t>(e.b));
      case Kind::list_tell:
        return list_told(static_cast<int>(e.a), e.b);
      case Kind::list_answer:
        return list_answered(static_cast<int>(e.a), static_cast<std::uint32_t>(e.b));
      case Kind::probe_arrive:
        return probe_arrives(e.a);
      case Kind::probe_end:
        return probe_ends(e.a, static_cast<SendOutcome>(e.b));
      case Kind::fault_begins:
        return fault_begins(e.a);
      case Kind::fault_step:
        return strike(s_.faults[e.a], static_cast<int>(e.b), true);
      case Kind::fault_ends:
        return strike(s_.faults[e.a], static_cast<int>(e.b), false);
      case Kind::server_listed:
        return list_changes(static_cast<int>(e.a), static_cast<ServerStatus>(e.b & 3), (e.b >> 2) != 0);
      case Kind::gatherer_back:
        // Killed twice, it is back with the first return.
        if (!gatherers_[e.a].alive) start_gatherer(static_cast<int>(e.a), true);
        return;
      case Kind::leaves:
        if (gatherers_[e.a].alive && gatherers_[e.a].life == e.b) gatherers_[e.a].leaving = true;
        return;
      case Kind::keepers:
        for (Machine& machine : machines_) machine.keeper->step();
        return at(now_ + kKeeperStep, Kind::keepers, 0);
      case Kind::resume:
        return fill(static_cast<int>(e.a));
    }
  }

  void note(Event event) {
    event.at = now_;
    if (options_.tamper) options_.tamper(event);
    if (event.at < Duration::zero()) return;  // tampered away
    // FNV-1a over what the event says.
    const auto mix = [&](std::uint64_t value) {
      for (int i = 0; i < 8; ++i) {
        digest_ ^= value >> (8 * i) & 0xff;
        digest_ *= 0x100000001b3ULL;
      }
    };
    mix(static_cast<std::uint64_t>(event.at.count()));
    mix(static_cast<std::uint64_t>(event.what) << 32 | static_cast<std::uint32_t>(event.server + 1));
    mix(event.multiget * 4096 + static_cast<std::uint64_t>(event.shard + 1));
    mix(static_cast<std::uint64_t>(event.fate) << 16 | static_cast<std::uint64_t>(event.send + 1));
    if (options_.log != nullptr) *options_.log << text_of(event) << '\n';
    if (options_.check) checker_.see(event);
  }

  bool counts() const { return clients_.counts(now_); }

  // ---- the fleet ----

  void make_fleet() {
    for (int i = 0; i < s_.fleet.servers; ++i) {
      ServerState server;
      char name[16];
      std::snprintf(name, sizeof name, "s%05d", i);
      server.name = name;
      server.cell = scenario::cell_of(s_.fleet, i);
      server.zone = scenario::zone_of(s_.fleet, i);
      servers_.push_back(std::move(server));
      Event event;
      event.what = What::started;
      event.server = i;
      note(event);
    }
  }

  double warmth(const ServerState& server) const {
    if (!server.started) return 1;
    const double age = to_seconds(now_ - *server.started) / to_seconds(s_.fleet.cold);
    return age >= 1 ? 1 : s_.fleet.cold_from + (1 - s_.fleet.cold_from) * age;
  }

  bool cut_between(int gatherer, const ServerState& server) const {
    if (machine_of(gatherer).path_lost > 0) return true;
    const int zone = gatherers_[static_cast<std::size_t>(gatherer)].zone;
    return zone != server.zone && (cut_zones_[static_cast<std::size_t>(zone)] > 0 ||
                                   cut_zones_[static_cast<std::size_t>(server.zone)] > 0);
  }

  Duration delay(int gatherer, const ServerState& server) {
    const bool near = gatherers_[static_cast<std::size_t>(gatherer)].zone == server.zone;
    const double mean = to_seconds(near ? s_.network.near : s_.network.far);
    const double drawn = s_.network.jitter > 0 ? std::exponential_distribution<double>(1)(network_) : 0;
    return span_of(mean * (1 - s_.network.jitter + s_.network.jitter * drawn)) +
           machine_of(gatherer).path_delay;
  }

  bool paused(int gatherer) const { return paused_[static_cast<std::size_t>(gatherer)] > 0; }
  Machine& machine_of(int gatherer) {
    return machines_[static_cast<std::size_t>(machine_of_[static_cast<std::size_t>(gatherer)])];
  }
  const Machine& machine_of(int gatherer) const {
    return machines_[static_cast<std::size_t>(machine_of_[static_cast<std::size_t>(gatherer)])];
  }

  bool lost(double share) {
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(network_) < share;
  }

  LoadReport report(const ServerState& server) const {
    LoadReport out;
    out.values[0] = server.busy;
    out.values[1] = static_cast<double>(server.queue.size());
    out.count = 2;
    return out;
  }

  // ---- sends ----

  std::uint32_t new_send() {
    if (free_sends_.empty()) {
      sends_.emplace_back();
      return static_cast<std::uint32_t>(sends_.size() - 1);
    }
    const std::uint32_t out = free_sends_.back();
    free_sends_.pop_back();
    const std::uint32_t generation = sends_[out].generation;
    sends_[out] = {};
    sends_[out].generation = generation;
    return out;
  }
  void keep(std::uint32_t i) { sends_[i].refs += 1; }
  void let_go(std::uint32_t i) {
    SendState& send = sends_[i];
    if (--send.refs > 0) return;
    send.generation += 1;
    free_sends_.push_back(i);
  }

  // Gives the send its fate after so long; the first one counts.
  void tell(std::uint32_t i, SendOutcome fate, Duration after) {
    SendState& send = sends_[i];
    if (send.done) return;
    send.done = true;
    send.fate = fate;
    keep(i);
    at(now_ + after, Kind::reply, i);
  }

  void put_out(int g, std::uint32_t i, bool first_of_call) {
    SendState& send = sends_[i];
    ServerState& server = servers_[static_cast<std::size_t>(send.server)];
    Connection& connection =
        gatherers_[static_cast<std::size_t>(g)].connections[static_cast<std::size_t>(send.server)];
    if (first_of_call) {
      send.work += to_seconds(s_.fleet.overhead);
      send.told_work += to_seconds(s_.fleet.overhead);
    }
    keep(i);  // until it is told
    keep(i);
    at(send.not_past, Kind::expire, i, send.generation);
    const Duration way = delay(g, server);
    if (!connection.open) {
      const bool silent =
          server.vanished || cut_between(g, server) || lost(server.lose_in) || lost(server.lose_out);
      if (silent) return tell(i, SendOutcome::dial_failed, s_.network.connect_timeout);
      if (!server.alive) return tell(i, SendOutcome::dial_failed, 2 * way);
      connection.open = true;
      connection.life = server.life;
      connection.heard = now_;
      connection.ready = now_ + 2 * way + s_.network.connect;
    }
    send.written = std::max(now_, connection.ready);
    send.server_life = connection.life;
    if (server.vanished || cut_between(g, server) || lost(server.lose_in)) return;  // nothing is said
    keep(i);
    at(send.written + way, Kind::arrive, i);
  }

  void arrive(std::uint32_t i) {
    SendState& send = sends_[i];
    ServerState& server = servers_[static_cast<std::size_t>(send.server)];
    const Duration way = delay(send.gatherer, server);
    if (server.vanished) return let_go(i);
    if (!server.alive || server.life != send.server_life) {
      tell(i, SendOutcome::dropped, way);
      return let_go(i);
    }
    Event event = event_of(What::arrived, send);
    event.work = send.told_work;
    note(event);
    send.arrived = true;
    if (send.cancelled) return let_go(i);
    if (server.refusing || static_cast<int>(server.queue.size()) >= s_.fleet.queue) {
      answer(i, SendOutcome::pushed_back, way);
    } else if (server.errors > 0 && std::uniform_real_distribution<double>(0, 1)(trouble_) < server.errors) {
      note(event_of(What::began, send));
      answer(i, SendOutcome::app_error, way);
    } else {
      send.queued = now_;
      send.queued_now = true;
      keep(i);
      server.queue.push_back(i);
      fill(send.server);
    }
    let_go(i);
  }

  void answer(std::uint32_t i, SendOutcome fate, Duration way) {
    ServerState& server = servers_[static_cast<std::size_t>(sends_[i].server)];
    if (server.vanished || cut_between(sends_[i].gatherer, server) || lost(server.lose_out)) return;
    tell(i, fate, way);
  }

  void fill(int number) {
    ServerState& server = servers_[static_cast<std::size_t>(number)];
    while (!server.paused && server.alive && server.busy < s_.fleet.cores && !server.queue.empty()) {
      const std::uint32_t i = server.queue.front();
      server.queue.pop_front();
      SendState& send = sends_[i];
      send.queued_now = false;
      if (send.cancelled) {
        let_go(i);
        continue;
      }
      server.busy += 1;
      server.ran += 1;
      send.running = true;
      note(event_of(What::began, send));
      if (counts()) {
        waited_ += to_seconds(now_ - send.queued);
        began_ += 1;
      }
      const double time = send.work * server.slow / warmth(server);
      const double counted = std::max(0.0, std::min(time, to_seconds(s_.length - now_)));
      if (counts()) {
        server.worked += counted;
        worked_ += counted;
        wasted_ += counted;  // until its answer is used
        send.work = counted;
      } else {
        send.work = 0;
      }
      at(now_ + span_of(time), Kind::finished, i);
    }
  }

  void finished(std::uint32_t i) {
    SendState& send = sends_[i];
    ServerState& server = servers_[static_cast<std::size_t>(send.server)];
    if (server.life == send.server_life) {  // else its process is gone, and the work with it
      if (server.paused) {
        // It stands still: what runs comes to its end once it goes on.
        at(now_ + 10ms, Kind::finished, i);
        return;
      }
      server.busy -= 1;
      answer(i, SendOutcome::returned, delay(send.gatherer, server));
      fill(send.server);
    }
    let_go(i);
  }

  void reply(std::uint32_t i) {
    SendState& send = sends_[i];
    GathererState& g = gatherers_[static_cast<std::size_t>(send.gatherer)];
    if (!send.told && g.alive && g.life == send.gatherer_life) {
      g.connections[static_cast<std::size_t>(send.server)].heard = now_;
      ended(i, send.fate);
    }
    let_go(i);
  }

  // The gatherer's connection layer learns of a send's end.
  void ended(std::uint32_t i, SendOutcome fate) {
    SendState& send = sends_[i];
    send.told = true;
    send.done = true;
    send.fate = fate;
    gatherers_[static_cast<std::size_t>(send.gatherer)].ended.push_back(
        i);  // the untold's reference goes along
    set_turn(send.gatherer);
  }

  void expire(std::uint32_t i, std::uint32_t generation) {
    SendState& send = sends_[i];
    if (send.generation == generation && !send.told) {
      GathererState& g = gatherers_[static_cast<std::size_t>(send.gatherer)];
      // One that stands still sees that a time is up once it goes on.
      if (g.alive && g.life == send.gatherer_life && paused(send.gatherer))
        return at(now_ + kPausedLook, Kind::expire, i, generation);
      if (g.alive && g.life == send.gatherer_life) {
        Connection& connection = g.connections[static_cast<std::size_t>(send.server)];
        // Silent for as long as a connect may take: what comes next goes over a new connection.
        if (connection.heard <= send.written && now_ - send.written >= s_.network.connect_timeout)
          connection.open = false;
        withdraw(i, now_ < send.written ? SendOutcome::unused : SendOutcome::expired);
      } else {
        send.told = true;  // there is nobody left to be told
        let_go(i);
      }
    }
    let_go(i);
  }

  void withdraw(std::uint32_t i, SendOutcome fate) {
    SendState& send = sends_[i];
    const bool never = fate == SendOutcome::unused;
    if (never) send.cancelled = true;
    ended(i, fate);
    if (never) return;
    keep(i);
    at(now_ + delay(send.gatherer, servers_[static_cast<std::size_t>(send.server)]), Kind::cancel, i);
  }

  void cancel_arrives(std::uint32_t i) {
    SendState& send = sends_[i];
    const ServerState& server = servers_[static_cast<std::size_t>(send.server)];
    if (!server.vanished && !cut_between(send.gatherer, server) && !send.running) send.cancelled = true;
    let_go(i);
  }

  Event event_of(What what, const SendState& send) const {
    Event event;
    event.what = what;
    event.gatherer = send.gatherer;
    event.multiget = send.multiget;
    event.shard = send.shard;
    event.send = send.send;
    event.server = send.server;
    event.op_type = send.op;
    event.fate = send.fate;
    return event;
  }

  // ---- gatherers ----

  void start_gatherer(int number, bool again) {
    GathererState& g = gatherers_[static_cast<std::size_t>(number)];
    const std::uint32_t life = g.life;
    const int zone = g.zone;
    g = {};
    g.zone = zone;
    g.life = life;
    g.policy = make_policy(options_.policy, terms_of(s_, zone),
                           options_.seed * 7919 + static_cast<std::uint32_t>(number) * 31 + life);
    if (!g.policy) throw std::invalid_argument("policy: unknown: " + options_.policy);
    g.connections.resize(servers_.size());
    g.policy->clock(now_);
    // What it remembers: the list as it stands, which a restarted one has from its last life.
    g.version = g.told = changes_.size();
    g.policy->list_opens(true, again);
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].listed != ServerStatus::gone)
        row(g, static_cast<int>(i), servers_[i].listed, servers_[i].listed_start);
    }
    g.policy->list_closes();
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      learned(number, static_cast<int>(i), servers_[i].listed, servers_[i].listed_start);
    }
    set_turn(number);
  }

  void row(GathererState& g, int server, ServerStatus standing, std::optional<Duration> started) {
    const ServerState& of = servers_[static_cast<std::size_t>(server)];
    ListEntry out;
    out.server = of.name;
    out.zone = of.zone;
    out.cell = of.cell;
    out.status = standing;
    out.started = started;
    g.policy->list_row(out);
  }

  void learned(int gatherer, int server, ServerStatus standing, std::optional<Duration> started) {
    Event event;
    event.cold = started && started == servers_[static_cast<std::size_t>(server)].started;
    event.what = What::learned;
    event.gatherer = gatherer;
    event.server = server;
    event.standing = standing;
    note(event);
  }

  void set_turn(int number) {
    GathererState& g = gatherers_[static_cast<std::size_t>(number)];
    if (!g.alive || paused(number) || std::exchange(g.turn_set, true)) return;
    g.turned = std::max(now_, g.turned + kTurn);
    at(g.turned, Kind::turn, static_cast<std::uint32_t>(number), g.life);
  }

  void wake(int number, std::uint32_t life) {
    GathererState& g = gatherers_[static_cast<std::size_t>(number)];
    if (g.alive && g.life == life) set_turn(number);
  }

  RequestId part_id(std::uint32_t number, std::size_t piece) const {
    RequestId out;
    char digits[17];
    std::snprintf(digits, sizeof digits, "%08x0000%04x", number, static_cast<unsigned>(piece & 0xffff));
    std::copy_n(digits, 16, out.text.begin());
    return out;
  }

  void turn(int number, std::uint32_t life) {
    GathererState& g = gatherers_[static_cast<std::size_t>(number)];
    if (!g.alive || g.life != life) return;
    g.turn_set = false;
    if (paused(number)) return;
    Policy& policy = *g.policy;
    policy.clock(now_);
    for (const auto& [version, whole] : std::exchange(g.news, {})) {
      policy.list_opens(whole, false);
      std::map<int, const Change*> newest;
      for (std::size_t i = g.version; i < version; ++i) newest[changes_[i].server] = &changes_[i];
      for (const auto& [server, change] : newest) {
        row(g, server, change->standing, change->started);
        learned(number, server, change->standing, change->started);
      }
      policy.list_closes();
      g.version = std::max(g.version, version);
    }
    for (; g.refused > 0; --g.refused) policy.list_refused(list::max_backoff(list::kResponseTimeout));
    for (const std::uint32_t i : std::exchange(g.ended, {})) {
      SendState& send = sends_[i];
      note(event_of(What::told, send));
      const auto at_hand = g.hand.find(send.number);
      InHand& mg = at_hand->second;
      const std::size_t piece = piece_of(send.part);
      mg.out -= 1;
      if (send.fate == SendOutcome::returned && !mg.over && !mg.pieces[piece].returned) {
        mg.pieces[piece].returned = true;
        wasted_ -= send.work;
      }
      policy.send_ended(send.part, send.send, send.fate, now_ - send.pulled,
                        send.fate == SendOutcome::returned
                            ? report(servers_[static_cast<std::size_t>(send.server)])
                            : LoadReport{});
      let_go(i);
      give_back(g, send.number);
    }
    for (const auto& probe : std::exchange(g.probed, {}))
      policy.probe_ended(servers_[static_cast<std::size_t>(probe.server)].name, probe.fate, probe.elapsed,
                         probe.report);
    for (const std::uint32_t n : std::exchange(g.taken, {})) hand_over(g, n);
    for (const std::uint32_t n : std::exchange(g.left, {})) {
      const auto at_hand = g.hand.find(n);
      if (at_hand == g.hand.end() || at_hand->second.over) continue;
      at_hand->second.over = true;
      Event event;
      event.what = What::left;
      event.gatherer = number;
      event.multiget = at_hand->second.uid;
      note(event);
      policy.client_left(part_id(n, 0));
      give_back(g, n);
    }
    carry_out(number, g);
  }

  static std::size_t piece_of(const RequestId& part) {
    std::size_t out = 0;
    std::from_chars(part.text.data() + 12, part.text.data() + 16, out, 16);
    return out - 1;
  }

  void hand_over(GathererState& g, std::uint32_t n) {
    const auto at_hand = g.hand.find(n);
    if (at_hand == g.hand.end()) return;
    InHand& mg = at_hand->second;
    const OpLoad& op = s_.op_types[static_cast<std::size_t>(mg.op)];
    const Client& client = clients_.at(mg.client);
    g.policy->multiget_taken({part_id(n, 0), static_cast<double>(n), mg.op, 0,
                              static_cast<int>(mg.pieces.size()), client.deadline});
    for (std::size_t i = 0; i < mg.pieces.size(); ++i)
      g.policy->part_taken({part_id(n, i + 1), static_cast<double>(n), mg.pieces[i].shard,
                            1.0 / static_cast<double>(mg.pieces.size()), 0, op.work});
  }

  void carry_out(int number, GathererState& g) {
    Policy& policy = *g.policy;
    while (const auto verdict = policy.next_verdict()) {
      std::uint32_t n = 0;
      std::from_chars(verdict->multiget.text.data(), verdict->multiget.text.data() + 8, n, 16);
      decided(number, g, n, *verdict);
    }
    while (const auto withdrawal = policy.next_withdrawal()) {
      // Few are out; the newest are the likeliest.
      const auto found = out_sends_.find({number, withdrawal->part, withdrawal->send});
      if (found == out_sends_.end()) continue;
      const std::uint32_t i = found->second;
      if (!sends_[i].told) withdraw(i, now_ < sends_[i].written ? SendOutcome::unused : SendOutcome::revoked);
    }
    calls_.clear();
    while (const auto pulled = policy.next_send()) {
      std::uint32_t n = 0;
      std::from_chars(pulled->part.text.data(), pulled->part.text.data() + 8, n, 16);
      const auto at_hand = g.hand.find(n);
      const std::size_t piece = piece_of(pulled->part);
      InHand& mg = at_hand->second;
      const OpLoad& op = s_.op_types[static_cast<std::size_t>(mg.op)];
      const std::uint32_t i = new_send();
      SendState& send = sends_[i];
      send.gatherer = number;
      send.gatherer_life = g.life;
      send.part = pulled->part;
      send.number = n;
      send.multiget = mg.uid;
      send.shard = mg.pieces[piece].shard;
      send.send = mg.pieces[piece].sends++;
      send.server = static_cast<int>(std::strtol(std::string(pulled->server.substr(1)).c_str(), nullptr, 10));
      send.op = mg.op;
      send.pulled = now_;
      send.not_past =
          pulled->deadline > Duration::zero() ? pulled->deadline : clients_.at(mg.client).deadline;
      send.work = scenario::drawn_work(op, options_.seed, mg.uid, piece);
      send.told_work = to_seconds(op.work);
      mg.out += 1;
      out_sends_[{number, send.part, send.send}] = i;
      note(event_of(What::sent, send));
      if (counts()) {
        result_.sends += 1;
        result_.further += send.send > 0 ? 1 : 0;
      }
      clients_.second(now_).sends += 1;
      put_out(number, i, calls_.emplace(send.server, 1).second);
    }
    while (const auto server = policy.next_probe())
      probe(number, static_cast<int>(std::strtol(std::string(server->substr(1)).c_str(), nullptr, 10)));
    while (policy.next_list_call())
      at(now_ + 2 * kListWay, Kind::list_answer, static_cast<std::uint32_t>(number), g.life);
    while (const auto wake_in = policy.next_wake())
      at(now_ + *wake_in, Kind::wake, static_cast<std::uint32_t>(number), g.life);
  }

  void decided(int number, GathererState& g, std::uint32_t n, const ReplyDecision& verdict) {
    const auto at_hand = g.hand.find(n);
    if (at_hand == g.hand.end() || at_hand->second.over) return;
    InHand& mg = at_hand->second;
    mg.over = true;
    Event event;
    event.what = verdict.outcome == MultigetOutcome::answer      ? What::answered
                 : verdict.outcome == MultigetOutcome::push_back ? What::pushed_back
                                                                 : What::failed;
    event.gatherer = number;
    event.multiget = mg.uid;
    event.whole = verdict.complete;
    event.count = static_cast<int>(
        std::count_if(mg.pieces.begin(), mg.pieces.end(), [](const PieceState& p) { return p.returned; }));
    note(event);
    client_hears(mg.client, mg.client_try, verdict);
    give_back(g, n);
  }

  void give_back(GathererState& g, std::uint32_t n) {
    const auto at_hand = g.hand.find(n);
    if (at_hand == g.hand.end() || !at_hand->second.over || at_hand->second.out > 0) return;
    const InHand& mg = at_hand->second;
    const int number = static_cast<int>(&g - gatherers_.data());
    for (std::size_t i = 0; i < mg.pieces.size(); ++i) {
      for (int k = 0; k < mg.pieces[i].sends; ++k) out_sends_.erase({number, part_id(n, i + 1), k});
    }
    g.held -= 1 + static_cast<int>(mg.pieces.size());
    g.hand.erase(at_hand);
  }

  // ---- probes ----

  void probe(int number, int server) {
    const auto i = static_cast<std::uint32_t>(probes_.size());
    probes_.push_back({number, server, gatherers_[static_cast<std::size_t>(number)].life, now_, false, {}});
    if (counts()) result_.probes += 1;
    const ServerState& to = servers_[static_cast<std::size_t>(server)];
    at(now_ + s_.network.connect_timeout, Kind::probe_end, i,
       static_cast<std::uint64_t>(SendOutcome::expired));
    if (to.vanished || cut_between(number, to) || lost(to.lose_in)) return;
    const Duration way = delay(number, to);
    if (!to.alive)
      return at(now_ + 2 * way, Kind::probe_end, i, static_cast<std::uint64_t>(SendOutcome::dial_failed));
    at(now_ + way, Kind::probe_arrive, i);
  }

  void probe_arrives(std::uint32_t i) {
    const ServerState& to = servers_[static_cast<std::size_t>(probes_[i].server)];
    if (!to.alive || to.vanished || to.paused || lost(to.lose_out)) return;
    probes_[i].report = report(to);
    at(now_ + delay(probes_[i].gatherer, to), Kind::probe_end, i,
       static_cast<std::uint64_t>(SendOutcome::returned));
  }

  void probe_ends(std::uint32_t i, SendOutcome fate) {
    Probe& one = probes_[i];
    if (std::exchange(one.over, true)) return;
    GathererState& g = gatherers_[static_cast<std::size_t>(one.gatherer)];
    if (!g.alive || g.life != one.gatherer_life) return;
    g.probed.push_back(
        {one.server, fate, now_ - one.at, fate == SendOutcome::returned ? one.report : LoadReport{}});
    set_turn(one.gatherer);
  }

  // ---- the list ----

  void list_changes(int server, ServerStatus standing, bool cold) {
    ServerState& of = servers_[static_cast<std::size_t>(server)];
    of.listed = standing;
    if (cold) of.listed_start = of.started;
    changes_.push_back({server, standing, of.listed_start});
    for (std::size_t g = 0; g < gatherers_.size(); ++g) {
      if (gatherers_[g].alive && gatherers_[g].subscribed) tell_list(static_cast<int>(g));
    }
  }

  void tell_list(int number) {
    GathererState& g = gatherers_[static_cast<std::size_t>(number)];
    g.told = changes_.size();
    const double share = std::uniform_real_distribution<double>(0, 1)(network_);
    at(now_ + span_of(to_seconds(s_.list.lag) * share), Kind::list_tell, static_cast<std::uint32_t>(number),
       static_cast<std::uint64_t>(g.life) << 32 | changes_.size());
  }

  void list_told(int number, std::uint64_t what) {
    GathererState& g = gatherers_[static_cast<std::size_t>(number)];
    if (!g.alive || g.life != what >> 32 || !g.subscribed || machine_of(number).list_cut > 0) return;
    g.news.push_back({static_cast<std::size_t>(what & 0xffffffff), false});
    set_turn(number);
  }

  void list_answered(int number, std::uint32_t life) {
    GathererState& g = gatherers_[static_cast<std::size_t>(number)];
    if (!g.alive || g.life != life) return;
    if (list_down_ > 0 || machine_of(number).list_cut > 0) {
      g.refused += 1;
    } else {
      g.subscribed = true;
      g.news.push_back({changes_.size(), false});
    }
    set_turn(number);
  }

  // ---- clients ----

  void next_arrival() {
    const double rate = s_.load.rate * stampede_;
    if (rate <= 0) return;
    at(now_ + span_of(std::exponential_distribution<double>(rate)(arrivals_)), Kind::ask, 0);
  }

  void client_asks() {
    next_arrival();
    try_once(clients_.asks(now_));
  }

  void try_once(std::uint32_t i) {
    clients_.tries(i, now_);
    Client& client = clients_.at(i);
    const OpLoad& op = clients_.op_of(i);
    // The front knows which gatherers answer, but for those that died a moment ago.
    std::vector<int> open;
    for (std::size_t g = 0; g < gatherers_.size(); ++g) {
      if (gatherers_[g].leaving) continue;
      const bool leads = machine_of(static_cast<int>(g)).lead == static_cast<int>(g);
      if (gatherers_[g].alive || (leads && now_ < died_[g] + kFrontNotices))
        open.push_back(static_cast<int>(g));
    }
    if (open.empty()) return not_served(i, 0ms, false);
    const int number = open[clients_.one_of(open.size())];
    GathererState& g = gatherers_[static_cast<std::size_t>(number)];
    if (!g.alive) return not_served(i, 0ms, false);
    if (g.held + 1 + op.parts > s_.gatherers.room) return not_served(i, 0ms, true);
    client.gatherer = number;
    client.number = g.next_number++;
    client.busy = true;
    g.held += 1 + op.parts;
    InHand& mg = g.hand[client.number];
    mg.uid = ++uids_;
    mg.client = i;
    mg.client_try = client.serial;
    mg.op = client.op;
    for (const int shard : clients_.shards(i)) mg.pieces.push_back({shard, 0, false});
    Event event;
    event.what = What::taken;
    event.gatherer = number;
    event.multiget = mg.uid;
    event.op_type = client.op;
    event.count = op.parts;
    event.until = client.deadline;
    note(event);
    g.taken.push_back(client.number);
    set_turn(number);
    Duration ends = client.deadline;
    if (const auto share = clients_.leaves()) ends = now_ + span_of(to_seconds(op.timeout) * *share);
    at(ends, Kind::client_ends, i, client.serial);
  }

  // Its time is up, or it has had enough.
  void client_ends(std::uint32_t i, std::uint32_t serial) {
    Client& client = clients_.at(i);
    if (!client.busy || client.serial != serial) return;
    GathererState& g = gatherers_[static_cast<std::size_t>(client.gatherer)];
    if (g.alive) {
      g.left.push_back(client.number);
      set_turn(client.gatherer);
    }
    clients_.left(i, now_);
  }

  void client_hears(std::uint32_t i, std::uint32_t serial, const ReplyDecision& verdict) {
    Client& client = clients_.at(i);
    if (!client.busy || client.serial != serial) return;
    client.busy = false;
    if (verdict.outcome != MultigetOutcome::answer)
      return not_served(i, verdict.retry_after, verdict.outcome == MultigetOutcome::push_back);
    clients_.answered(i, now_);
  }

  void not_served(std::uint32_t i, Duration come_back, bool pushed_back) {
    if (const auto wait = clients_.not_served(i, come_back, pushed_back, now_))
      at(now_ + *wait, Kind::retry, i);
  }

  // ---- faults ----

  void fault_begins(std::uint32_t i) {
    const Fault& fault = s_.faults[i];
    switch (fault.kind) {
      case FaultKind::partition:
      case FaultKind::list_down:
      case FaultKind::stampede:
        strike(fault, -1, true);
        at(fault.until, Kind::fault_ends, i, static_cast<std::uint64_t>(-1) >> 1);
        return;
      default:
        break;
    }
    const std::vector<int> of = scenario::targets(s_, fault, trouble_);
    for (std::size_t k = 0; k < of.size(); ++k) {
      const Duration later = fault.step * static_cast<std::int64_t>(k);
      at(fault.from + later, Kind::fault_step, i, static_cast<std::uint64_t>(of[k]));
      at(fault.until + later, Kind::fault_ends, i, static_cast<std::uint64_t>(of[k]));
    }
  }

  void strike_gatherer(const Fault& fault, int number, bool begins) {
    Machine& machine = machines_[static_cast<std::size_t>(number)];
    switch (fault.kind) {
      case FaultKind::kill_gatherer:
        if (s_.gatherers.kept) return begins ? machine.keeper->kill_process() : void();
        if (begins) return kill(number);
        return at(now_, Kind::gatherer_back, static_cast<std::uint32_t>(number));
      case FaultKind::pause_gatherer:
        return pause(number, begins);
      case FaultKind::swap_gatherer:
        return begins ? swap(machine) : void();
      case FaultKind::list_cut:
        return cut_list(machine, begins);
      case FaultKind::path_lost:
        machine.path_lost += begins ? 1 : -1;
        return;
      case FaultKind::path_slow:
        machine.path_delay += span_of((begins ? 1 : -1) * fault.strength / 1000);
        return;
      case FaultKind::path_reset:
        return begins ? reset_path(machine.lead) : void();
      case FaultKind::kill_keeper:
        machine.keeper_off += begins ? 1 : -1;
        if (begins) return machine.keeper->kill_keeper();
        if (machine.keeper_off == 0) machine.keeper->start_keeper();
        return;
      case FaultKind::pause_keeper:
        return machine.keeper->pause_keeper(begins);
      case FaultKind::keeper_clock:
        return machine.keeper->set_rate(begins ? fault.strength : 1);
      default:
        return;
    }
  }

  void strike(const Fault& fault, int number, bool begins) {
    switch (fault.kind) {
      case FaultKind::partition:
        cut_zones_[static_cast<std::size_t>(fault.zone)] += begins ? 1 : -1;
        return;
      case FaultKind::list_down:
        list_down_ += begins ? 1 : -1;
        for (std::size_t g = 0; begins && g < gatherers_.size(); ++g) {
          if (!gatherers_[g].alive || !std::exchange(gatherers_[g].subscribed, false)) continue;
          gatherers_[g].refused += 1;
          set_turn(static_cast<int>(g));
        }
        return;
      case FaultKind::stampede:
        stampede_ = begins ? fault.strength : 1;
        return;
      default:
        return scenario::of_gatherers(fault.kind) ? strike_gatherer(fault, number, begins)
                                                  : strike_server(fault, number, begins);
    }
  }

  void strike_server(const Fault& fault, int number, bool begins) {
    ServerState& server = servers_[static_cast<std::size_t>(number)];
    server.disturbed = true;
    switch (fault.kind) {
      case FaultKind::crash:
      case FaultKind::lie_up:
        if (begins) {
          stop(number);
          if (fault.kind == FaultKind::crash) listed_later(number, ServerStatus::gone, kCrashListed);
        } else {
          start(number, fault.kind == FaultKind::crash);
        }
        return;
      case FaultKind::vanish:
        server.vanished = begins;
        if (begins) {
          listed_later(number, ServerStatus::gone, kVanishedListed);
        } else {
          stop(number);
          start(number, true);
        }
        return;
      case FaultKind::slow:
        server.slow = begins ? fault.strength : 1;
        return;
      case FaultKind::errors:
        server.errors = begins ? fault.strength : 0;
        return;
      case FaultKind::pause:
        server.paused = begins;
        if (!begins) fill(number);
        return;
      case FaultKind::lose_in:
        server.lose_in = begins ? fault.strength : 0;
        return;
      case FaultKind::lose_out:
        server.lose_out = begins ? fault.strength : 0;
        return;
      case FaultKind::drain:
        if (begins) {
          listed_later(number, ServerStatus::draining, 0ms);
          // It takes nothing new once the grace and the list's lag are over, and ends half way.
          at((now_ + fault.until - fault.from) - (fault.until - fault.from) / 2, Kind::server_listed,
             static_cast<std::uint32_t>(number), static_cast<std::uint64_t>(ServerStatus::gone));
        } else {
          stop(number);
          start(number, true);
        }
        return;
      case FaultKind::lie_drain:
        listed_later(number, begins ? ServerStatus::draining : ServerStatus::up, 0ms);
        return;
      default:
        return;
    }
  }

  void listed_later(int server, ServerStatus standing, Duration after, bool cold = false) {
    at(now_ + after, Kind::server_listed, static_cast<std::uint32_t>(server),
       static_cast<std::uint64_t>(standing) | (cold ? 4U : 0U));
  }

  // Its process ends: every connection to it is reset.
  void stop(int number) {
    ServerState& server = servers_[static_cast<std::size_t>(number)];
    if (!server.alive) return;
    server.alive = false;
    server.life += 1;
    for (const std::uint32_t i : server.queue) {
      sends_[i].queued_now = false;
      let_go(i);
    }
    server.queue.clear();
    server.busy = 0;
    Event event;
    event.what = What::stopped;
    event.server = number;
    note(event);
    for (GathererState& g : gatherers_) {
      if (!g.connections.empty()) g.connections[static_cast<std::size_t>(number)].open = false;
    }
    for (std::uint32_t i = 0; i < sends_.size(); ++i) {
      SendState& send = sends_[i];
      if (send.refs == 0 || send.server != number || send.told || send.done) continue;
      tell(i, now_ < send.written ? SendOutcome::dial_failed : SendOutcome::dropped,
           delay(send.gatherer, server));
    }
  }

  void start(int number, bool listed) {
    ServerState& server = servers_[static_cast<std::size_t>(number)];
    if (server.alive) return;  // two faults at once: the first return counts
    server.alive = true;
    server.vanished = server.paused = server.refusing = false;
    server.life += 1;
    server.started = now_;
    Event event;
    event.what = What::started;
    event.server = number;
    event.cold = true;
    note(event);
    if (listed || server.listed != ServerStatus::up)
      listed_later(number, ServerStatus::up, 0ms, true);
    else
      list_changes(number, ServerStatus::up, true);
  }

  void kill(int number) {
    GathererState& g = gatherers_[static_cast<std::size_t>(number)];
    if (!g.alive) return;
    g.alive = false;
    g.life += 1;
    paused_[static_cast<std::size_t>(number)] = 0;
    died_[static_cast<std::size_t>(number)] = now_;
    Event event;
    event.what = What::died;
    event.gatherer = number;
    note(event);
    for (const auto& [n, mg] : g.hand) {
      Client& client = clients_.at(mg.client);
      if (!client.busy || client.serial != mg.client_try) continue;
      client.busy = false;
      not_served(mg.client, 0ms, false);
    }
    std::erase_if(out_sends_, [&](const auto& one) { return std::get<0>(one.first) == number; });
    g.hand.clear();
    g.held = 0;
  }

  // ---- keepers and paths ----

  // A process of a keeper's slot is always the same one here.
  int process_of(int machine, int slot) const { return machine + slot * s_.gatherers.count; }

  // Its first version serves before the scenario begins.
  void make_keeper(int number) {
    Machine& machine = machines_[static_cast<std::size_t>(number)];
    machine.keeper = std::make_unique<EmulatedKeeper>(
        kept_policy(), kept_versions(), options_.seed * 6007 + static_cast<std::uint32_t>(number));
    order(machine, "one");
    for (int step = 0; step < 200 && machine.keeper->kept().outcome != keeper::Outcome::done; ++step)
      machine.keeper->step();
    for (int slot = 0; slot < keeper::kSlots; ++slot) {
      if (machine.keeper->serving(slot)) start_gatherer(machine.lead = process_of(number, slot), false);
    }
    machine.keeper->processes_told = {
        [this, number](int slot) {
          machines_[static_cast<std::size_t>(number)].lead = process_of(number, slot);
          start_gatherer(process_of(number, slot), true);
        },
        [this, number](int slot) {
          const int process = process_of(number, slot);
          at(now_ + kStillTaking, Kind::leaves, static_cast<std::uint32_t>(process),
             gatherers_[static_cast<std::size_t>(process)].life);
        },
        [this, number](int slot) {
          return gatherers_[static_cast<std::size_t>(process_of(number, slot))].hand.empty();
        },
        [this, number](int slot) { kill(process_of(number, slot)); }};
  }

  void order(Machine& machine, const std::string& version) {
    keeper::Order order;
    order.epoch = 1;
    order.number = ++machine.orders;
    order.kind = keeper::OrderKind::use;
    order.version = version;
    machine.keeper->order(order);
  }

  void swap(Machine& machine) {
    machine.second = !machine.second;
    order(machine, machine.second ? "two" : "one");
  }

  void pause(int number, bool begins) {
    Machine& machine = machines_[static_cast<std::size_t>(number)];
    bool any = false;
    for (std::size_t g = 0; g < gatherers_.size(); ++g) {
      if (machine_of_[g] != number || !gatherers_[g].alive || (!begins && paused_[g] == 0))
        continue;  // a new process
      paused_[g] += begins ? 1 : -1;
      any = any || paused_[g] > 0;
      if (paused_[g] != (begins ? 1 : 0)) continue;
      Event event;
      event.what = begins ? What::stalled : What::resumed;
      event.gatherer = static_cast<int>(g);
      note(event);
      if (!begins) set_turn(static_cast<int>(g));
    }
    if (machine.keeper) machine.keeper->freeze(any);
  }

  void cut_list(Machine& machine, bool begins) {
    machine.list_cut += begins ? 1 : -1;
    GathererState& g = gatherers_[static_cast<std::size_t>(machine.lead)];
    if (!begins || !g.alive || !std::exchange(g.subscribed, false)) return;
    g.refused += 1;
    set_turn(machine.lead);
  }

  // Every connection that this gatherer has to shard servers breaks.
  void reset_path(int number) {
    GathererState& g = gatherers_[static_cast<std::size_t>(number)];
    for (Connection& connection : g.connections) connection.open = false;
    for (std::uint32_t i = 0; i < sends_.size(); ++i) {
      SendState& send = sends_[i];
      if (send.refs == 0 || send.gatherer != number || send.told || send.done) continue;
      tell(i, now_ < send.written ? SendOutcome::dial_failed : SendOutcome::dropped, 0ms);
    }
  }

  // ---- results ----

  void count_up() {
    result_.digest = digest_;
    result_.breaches = checker_.breaches();
    for (int rule = 1; rule <= 6; ++rule) result_.breach_counts[rule] = checker_.count(rule);
    const double time = to_seconds(s_.length - s_.settle);
    clients_.finish();
    result_.used = worked_ / (time * s_.fleet.cores * static_cast<double>(servers_.size()));
    result_.wasted = worked_ > 0 ? std::max(wasted_, 0.0) / worked_ : 0;
    result_.wait_mean = began_ > 0 ? waited_ / static_cast<double>(began_) : 0;
    double most = 0, sum = 0, sound = 0;
    for (const ServerState& server : servers_) {
      result_.server_used.push_back(server.worked / (time * s_.fleet.cores));
      if (server.disturbed) continue;
      most = std::max(most, static_cast<double>(server.ran));
      sum += static_cast<double>(server.ran);
      sound += 1;
    }
    result_.imbalance = sum > 0 ? most / (sum / sound) : 0;
  }

  const Scenario& s_;
  const Options& options_;
  std::mt19937 arrivals_, work_, network_, trouble_;
  checker::Checker checker_;
  Result result_;
  Clients clients_;
  Duration now_{};
  std::uint64_t order_ = 0, uids_ = 0, digest_ = 0xcbf29ce484222325ULL;
  std::priority_queue<Ev, std::vector<Ev>, std::greater<>> queue_;
  std::vector<ServerState> servers_;
  std::vector<GathererState> gatherers_;
  std::vector<Duration> died_;
  std::vector<int> machine_of_, paused_;  // by process
  std::vector<Machine> machines_;
  std::vector<SendState> sends_;
  std::vector<std::uint32_t> free_sends_;
  std::map<std::tuple<int, RequestId, int>, std::uint32_t> out_sends_;
  std::deque<Probe> probes_;
  std::vector<Change> changes_;
  std::map<int, int> calls_;
  std::vector<int> cut_zones_ = std::vector<int>(static_cast<std::size_t>(s_.fleet.zones));
  int list_down_ = 0;
  double stampede_ = 1;
  double worked_ = 0, wasted_ = 0, waited_ = 0;
  std::uint64_t began_ = 0;
};

}  // namespace

checker::Rules rules_of(const Scenario& s) {
  checker::Rules out;
  for (const OpLoad& op : s.op_types)
    out.op_types.push_back({op.effect == Effect::non_retriable, op.effect == Effect::deduped,
                            op.dedupe_window, op.floor, op.need});
  out.drain_grace = s.list.drain_grace;
  out.cold = s.fleet.cold;
  out.cold_from = s.fleet.cold_from;
  out.fall_multiple = s.fleet.fall_multiple;
  out.overload_for = s.fleet.overload_for;
  out.cores = s.fleet.cores;
  out.further_window = s.gatherers.further_window;
  out.further_share = s.gatherers.further_share;
  out.further_floor = s.gatherers.further_floor;
  return out;
}

Result play(const Scenario& scenario, const Options& options) { return World(scenario, options).run(); }

}  // namespace marbledyke::emulator
