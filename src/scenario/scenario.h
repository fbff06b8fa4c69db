// A scenario: a fleet, what clients ask of it, and what goes wrong when. Plain data, for the emulator in
// virtual time and for the stand-ins on sockets alike. Units: spans of time, work in time on one core of a
// sound, warm server, rates per second, shares from 0 to 1.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "model/types.h"

namespace marbledyke::scenario {

enum class Effect { retriable, deduped, non_retriable };
enum class Shape { constant, exponential, lognormal };  // of the work of a part

struct OpLoad {
  std::string name = "lookup";
  Effect effect = Effect::retriable;
  double share = 1;  // of the multigets, among the op types
  int parts = 4;
  Duration work{20'000};  // mean of one part
  Shape shape = Shape::exponential;
  double sigma = 1;             // lognormal: of the logarithm
  Duration budget{1'000'000};   // latency budget
  Duration timeout{3'000'000};  // route timeout: how long the client waits
  Duration dedupe_window{2'000'000};
  double importance = 1;
  double floor = 1;  // least share of parts for any answer
  double need = 1;   // share of parts for a whole one
};

struct Fleet {
  int servers = 8;
  int cells = 1;
  int zones = 1;
  int shards = 16;
  int cores = 2;           // of a server
  int queue = 200;         // parts that wait at a server; beyond that it turns away
  Duration overhead{500};  // work of a call, once for the parts in it
  Duration cold{10'000'000};
  double cold_from = 0.2;            // speed at the start of a cold start
  double fall_multiple = 2;          // a cold server falls over at this multiple of what it can do
  Duration overload_for{1'000'000};  // over that long
};

struct Network {
  Duration near{200};  // one way, within a zone
  Duration far{2'000};
  double jitter = 0.2;      // share of the delay that is drawn, exponentially
  Duration connect{1'000};  // what opening a connection takes beside two ways
  Duration connect_timeout{250'000};
};

struct ListService {
  Duration lag{50'000};  // from a change to the last gatherer's knowing it, drawn evenly
  Duration drain_grace{500'000};
};

struct Load {
  double rate = 100;  // multigets a second, at all gatherers together
  int retries = 0;    // of a client, after a push-back, a failure or no answer
  Duration backoff{100'000};
  double leaves = 0;  // share of clients that leave before their time
};

struct Gatherers {
  int count = 1;
  int room = 4000;  // multigets and parts in hand
  int most_sends = 3;
  bool copies = true;
  bool kept = false;                    // each under a keeper
  Duration further_window{10'000'000};  // the stated budget of further sends
  double further_share = 0.2;
  double further_floor = 20;
};

enum class FaultKind {
  crash,          // process gone: connections reset, refused from then on
  vanish,         // machine gone: nothing is said
  slow,           // strength: factor on work
  errors,         // strength: share of parts answered with an error at once
  pause,          // takes part in nothing, loses nothing
  lose_in,        // what is sent to it is lost; strength: share
  lose_out,       // what it answers is lost; strength: share
  drain,          // listed as draining, then gone; returns cold at the end
  lie_up,         // dead, and still listed as up
  lie_drain,      // sound, and listed as draining
  partition,      // the zone is cut off from the others
  list_down,      // the list answers nobody
  stampede,       // strength: factor on the clients' rate
  kill_gatherer,  // restarts at the end; under a keeper, as soon as that starts it
  // Of gatherers, their keepers, and the paths between them and the others; `first` and `share` count
  // gatherers.
  pause_gatherer,  // the process stands still
  swap_gatherer,   // its keeper brings another program in force, ordered at the beginning
  list_cut,        // nothing passes between it and the list
  path_lost,       // nothing passes between it and the shard servers
  path_slow,       // that passes so much later; strength: milliseconds each way
  path_reset,   // connections to shard servers break; strength: kilobytes of answers that each lets through
                // first
  kill_keeper,  // at once; started again at the end
  pause_keeper,
  keeper_clock  // strength: the rate of the keeper's clock
};
inline constexpr int kFaultKinds = 23;
inline constexpr int kServerFaultKinds = 14;  // the first ones, as they are drawn without keepers
bool of_gatherers(FaultKind kind);
const char* name_of(FaultKind kind);

// Which servers a fault is for: a share of them, or of one zone or cell; in waves where a step is given: the
// next server so much later.
struct Fault {
  FaultKind kind = FaultKind::crash;
  Duration from{}, until{};
  double share = 0.1;
  int zone = -1, cell = -1;  // -1: any
  int first = -1;            // from this server (or gatherer) on in order; -1: drawn
  double strength = 1;
  Duration step{};
};

struct Scenario {
  std::string name = "unnamed";
  Duration length{30'000'000};
  Duration settle{5'000'000};  // not counted in results
  Fleet fleet;
  Network network;
  ListService list;
  Gatherers gatherers;
  Load load;
  std::vector<OpLoad> op_types{OpLoad{}};
  std::vector<Fault> faults;
};

// What makes no sense, each with the element it is about; empty: all is well.
struct Objection {
  std::string element;
  int index = -1;  // among its like
  std::string reason;
};
std::vector<Objection> objections(const Scenario& scenario);

// Multigets a second that the whole sound fleet can finish.
double capacity(const Scenario& scenario);

// Where a server stands, by its number.
inline int cell_of(const Fleet& fleet, int server) { return server % fleet.cells; }
inline int zone_of(const Fleet& fleet, int server) { return server / fleet.cells % fleet.zones; }

// The servers, or gatherers, that a fault of that kind is for, in the order of its steps.
std::vector<int> targets(const Scenario& scenario, const Fault& fault, std::mt19937& chance);

// Seconds on one core that a part takes, drawn: its own, however often and wherever it is sent.
double drawn_work(const OpLoad& op, std::uint32_t seed, std::uint64_t multiget, std::size_t part);

// The module's terms that say what the scenario says.
FlatSettings terms_of(const Scenario& scenario, int zone);

}  // namespace marbledyke::scenario
