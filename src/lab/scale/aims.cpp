#include "lab/scale/aims.h"

#include <array>

#include "lab/scale/options.h"

namespace marbledyke::lab::scale {
namespace {

constexpr double kMostOfACore = 0.019;    // of a gatherer's machine, for control
constexpr double kMostMemory = 256;       // MB, keeper and gatherer
constexpr double kMostBytes = 7000;       // a second
constexpr double kMostOfANode = 0.5;      // of a core
constexpr double kSoon = 2, kInTime = 8;  // seconds: 99 in 100, and all
constexpr double kMostDelay = 10;         // ms of an answer, by a list or a change

void add_times(std::vector<Aim>& aims, const std::string& when, const std::string& prefix) {
  aims.push_back({"99 in 100 in force, " + when, "settings", prefix + "_p99", "s", kSoon});
  aims.push_back({"all in force, " + when, "settings", prefix + "_last", "s", kInTime});
}

std::vector<Aim> kept_aims() {
  std::vector<Aim> out;
  add_times(out, "2,300 changes a day", "ordinary");
  add_times(out, "changes one by one", "spaced");
  add_times(out, "a hundred times as many", "hundredfold");
  add_times(out, "a control node dies", "node_lost");
  add_times(out, "a control node hangs", "node_hung");
  add_times(out, "a rack is lost", "rack_lost");
  add_times(out, "a zone is lost", "zone_lost");
  add_times(out, "beside a slow and a paused receiver", "beside_slow_and_paused");
  out.push_back({"in force at real keepers", "settings", "ordinary_keepers_last", "s", kInTime});
  out.push_back({"all alike after a rack's return", "settings", "rack_return_last", "s", kInTime});
  out.push_back({"all alike after a zone's return", "settings", "zone_return_last", "s", kInTime});
  out.push_back({"all alike after a cut of 3 min", "settings", "region_return_last", "s", kInTime});
  out.push_back({"a paused receiver alike", "settings", "paused_return_last", "s", kInTime});
  out.push_back({"receivers that ran an older revision", "settings", "ran_an_older_one", "receivers", 0});
  out.push_back(
      {"keeper and gatherer without traffic", "settings", "keeper_and_gatherer_core", "share", kMostOfACore});
  out.push_back({"keeper and gatherer", "settings", "keeper_and_gatherer_memory", "MB", kMostMemory});
  out.push_back({"a receiver, mean", "settings", "ordinary_bytes", "bytes/s", kMostBytes});
  out.push_back({"a receiver, worst minute", "settings", "worst_minute_bytes", "bytes/s", kMostBytes});
  out.push_back(
      {"busiest control node, 2,300 a day", "settings", "control_core_most", "share", kMostOfANode});
  out.push_back({"busiest control node, a hundred times", "settings", "control_hundredfold_core_most",
                 "share", kMostOfANode});
  out.push_back({"an answer beside a whole list", "lists", "whole_wait", "ms", kMostDelay, kTargetServers});
  out.push_back(
      {"an answer beside a region's return", "lists", "return_wait", "ms", kMostDelay, kTargetServers});
  return out;
}

Judged judge(const Aim& aim, const std::vector<Row>& rows) {
  Judged out{aim};
  for (const Row& row : rows) {
    const bool of_it = row.part == aim.part && row.what == aim.what;
    if (!of_it || row.size < out.size || (aim.size != 0 && row.size != aim.size)) continue;
    out.size = row.size;
    out.greatest = row.high;
    out.verdict = row.high <= aim.limit ? Verdict::held : Verdict::missed;
  }
  return out;
}

}  // namespace

const char* name_of(Verdict verdict) {
  static constexpr std::array<const char*, 3> kNames{"held", "**missed**", "not measured"};
  return kNames[static_cast<std::size_t>(verdict)];
}

std::vector<Judged> judge_aims(const std::vector<Row>& rows) {
  std::vector<Judged> out;
  for (const Aim& aim : kept_aims()) out.push_back(judge(aim, rows));
  return out;
}

}  // namespace marbledyke::lab::scale
