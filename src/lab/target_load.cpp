#include "lab/target_load.h"

#include <string>

#include "capacity/target.h"

namespace marbledyke::lab {
namespace {

using namespace std::chrono_literals;
using scenario::Scenario;
using scenario::Shape;

constexpr std::uint32_t kSeeds = 3;
constexpr int kPart = 10;     // a tenth of the target
constexpr int kReplicas = 5;  // of a shard, one in each zone
constexpr int kShardsOfACell = 2;
constexpr int kIdleFactor = 10;  // so many times the cores: next to no part waits
constexpr double kSigma = 1;     // of the logarithm, where service times are lognormal
constexpr double kPartialFloor = 0.95;

// Mean service time, and the cores at which about half of a server is used at that load.
struct Service {
  int milliseconds, cores;
};
constexpr Service kServices[] = {{2, 1}, {5, 2}, {10, 4}};

struct Law {
  const char* name;
  Shape shape;
};
constexpr Law kLaws[] = {
    {"constant", Shape::constant}, {"exponential", Shape::exponential}, {"lognormal", Shape::lognormal}};

// A tenth of the gatherers and of the servers is a hundredth of the pairs, and of the queries.
Scenario tenth() {
  Scenario s;
  s.length = 6s;
  s.settle = 2s;
  s.fleet.servers = static_cast<int>(capacity::kTarget.servers / kPart);
  s.fleet.cells = s.fleet.servers / kReplicas;
  s.fleet.zones = static_cast<int>(capacity::kTarget.zones);
  s.fleet.shards = kShardsOfACell * s.fleet.cells;
  s.gatherers.count = static_cast<int>(capacity::kTarget.gatherers / kPart);
  s.load.rate = capacity::kTarget.queries / (kPart * kPart);
  scenario::OpLoad& query = s.op_types.front();
  query.name = "query";
  query.parts = static_cast<int>(capacity::kTarget.parts);
  query.budget = std::chrono::milliseconds(static_cast<int>(capacity::kLimitAnswer));
  query.timeout = 500ms;
  query.sigma = kSigma;
  return s;
}

struct Choice {
  const char* policy;
  const char* cores;  // half: about half used; idle
  double floor;
  int least_ms;  // shorter services are left out
};
constexpr Choice kChoices[] = {{"module", "half", 1, 0},
                               {"module", "idle", 1, 10},
                               {"module", "half", kPartialFloor, 10},
                               {"two-choices", "half", 1, 10}};

Cell cell_of(const Choice& choice, const Law& law, const Service& service, std::uint32_t seed) {
  Cell out;
  out.policy = choice.policy;
  out.seed = seed;
  out.scenario = tenth();
  const bool idle = std::string(choice.cores) == "idle";
  out.scenario.fleet.cores = service.cores * (idle ? kIdleFactor : 1);
  scenario::OpLoad& query = out.scenario.op_types.front();
  query.work = std::chrono::milliseconds(service.milliseconds);
  query.shape = law.shape;
  query.floor = choice.floor;
  out.factors = {choice.policy,
                 choice.cores,
                 choice.floor < 1 ? "0.95" : "1",
                 law.name,
                 std::to_string(service.milliseconds),
                 std::to_string(seed)};
  return out;
}

void add_cells(Experiment& e, const Choice& choice, std::uint32_t seed) {
  for (const Law& law : kLaws) {
    for (const Service& service : kServices) {
      if (service.milliseconds < choice.least_ms) continue;
      for (std::uint32_t i = 0; i < kSeeds; ++i) e.cells.push_back(cell_of(choice, law, service, seed + i));
    }
  }
}

}  // namespace

void target_load(Experiment& e, std::uint32_t seed) {
  e.question =
      "A tenth of the target, 91 gatherers and 390 servers at 2.3 parts a second for each pair: what do 99 "
      "in "
      "100 queries of 59 parts take, by the servers' service times?";
  e.factors = {"policy", "cores", "floor", "shape", "work_ms", "seed"};
  for (const Choice& choice : kChoices) add_cells(e, choice, seed);
  e.charts.push_back({"p99",
                      "99th percentile in us, module, all parts needed, half used",
                      "work_ms",
                      "p99_us",
                      "shape",
                      {"policy=module", "cores=half", "floor=1"}});
}

void target_load_idle(Experiment& e, std::uint32_t seed) {
  e.question = "The same where next to no part waits at a server: what is due to service times alone?";
  e.factors = {"policy", "cores", "floor", "shape", "work_ms", "seed"};
  add_cells(e, {"module", "idle", 1, 0}, seed);
}

}  // namespace marbledyke::lab
