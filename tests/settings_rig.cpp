// A keeper that is ended at each point of taking a revision of the fleet's settings, and disks that fail in
// the middle of it: a keeper, its gatherer and a control node as processes. What is written stays whole, what
// the gatherer runs never gets older, and the newest good one comes in force in the end. The same verdicts
// every time.
#include <signal.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>

#include "config/fields.h"
#include "distribution/revision.h"
#include "rig/site.h"
#include "standins/process.h"

using namespace marbledyke;
using namespace std::chrono_literals;
using nlohmann::json;
using rig::Site;
using Machine = Site::Machine;

namespace {

constexpr const char* kFleet = "rig";
constexpr std::int64_t kBad = 3;  // this revision is refused by the gatherer's rules

class Stage {
 public:
  Stage()
      : at_(standins::free_address(net::Family::ip4, 3900)), site_(loop_, options()), m_(site_.machine(0)) {
    node_.start({rig::program("marbledyke-control"), "--name", "c0", "--region", "r", "--fleet", kFleet,
                 "--folder", site_.folder() + "/c0", "--listen", at_.text()},
                {}, site_.folder() + "/c0.log");
    rig::run_until(loop_, 5s, [&] {
      return rig::call(loop_, at_, "GET", "/v1/configuration/state", "", 200ms).status == 200;
    });
    site_.bend(m_, json::object());
    site_.start_keeper(m_);
    fine_ = site_.keeper_up(m_) && site_.bring(m_, "v1", {});
    give(1);
    fine_ = fine_ && runs(1);
  }
  ~Stage() {
    m_.keeper.end();
    node_.end();
  }

  // An agreed revision, told to the node as a proposer tells it.
  void give(std::int64_t index) {
    json settings = standins::plain_settings(Site::kShards);
    settings["tick"] = 5000 + index * 10;
    if (index == kBad) settings["limits"]["attempts-cap"] = 0;
    distribution::Revision out{index, kFleet, settings.dump(), 1, "rig", 0, ""};
    out.digest = distribution::digest_of(out);
    fine_ = rig::call(loop_, at_, "POST", "/v1/configuration/learn", distribution::put(out).dump()).status ==
                200 &&
            fine_;
  }
  json settings() { return site_.status(m_).value("settings", json::object()); }
  bool runs(std::int64_t index) {
    return rig::run_until(loop_, 10s, [&] {
      const json now = settings();
      return now.value("runs", json()) == index && now.value("good", json()) == index &&
             now.value("index", 0) == index;
    });
  }
  bool refused(std::int64_t index) {
    return rig::run_until(loop_, 10s, [&] {
      return settings().value("refused", json::object()).value("index", std::int64_t{0}) == index;
    });
  }
  // The index in a file; -1: not whole.
  std::int64_t on_disk(const char* name) {
    std::ifstream in(m_.folder + "/" + name);
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    try {
      return distribution::read_revision(config::parse(text)).index;
    } catch (const config::BadInput&) {
      return -1;
    }
  }
  bool keeper_ended() {
    return rig::run_until(loop_, 5s, [&] { return m_.keeper.ended().has_value(); });
  }
  void restart_keeper() {
    site_.bend(m_, json::object());
    site_.start_keeper(m_);
    fine_ = site_.keeper_up(m_) && fine_;
  }
  void bend(const json& how) { site_.bend(m_, how); }
  bool fine() const { return fine_; }
  Site& site() { return site_; }
  Machine& machine() { return m_; }
  net::Loop& loop() { return loop_; }

 private:
  rig::SiteOptions options() const {
    rig::SiteOptions out;
    out.bent = true;
    out.keeper_words.insert(out.keeper_words.end(),
                            {"--fleet", kFleet, "--zone", "a", "--control-node", at_.text()});
    return out;
  }
  net::Loop loop_;
  net::Address at_;
  Site site_;
  Machine& m_;
  rig::Process node_;
  bool fine_ = true;
};

void say(const char* what, bool is) { std::printf("%-86s %s\n", what, is ? "yes" : "NO"); }

void points() {
  struct Case {
    const char* point;
    int nth;
    std::int64_t index;  // of the revision that is given
  };
  const Case cases[] = {{"settings.before", 1, 2},       {"settings.written", 1, 2},
                        {"settings.hup", 1, 2},          {"settings.good.before", 1, 2},
                        {"settings.good.written", 1, 2}, {"settings.applied", 1, 2},
                        {"settings.written", 1, kBad},   {"settings.hup", 1, kBad},
                        {"settings.before", 2, kBad},    {"settings.written", 2, kBad}};
  for (const Case& one : cases) {
    Stage stage;
    const std::int64_t before = one.index == kBad ? 2 : 1;
    if (before == 2) {
      stage.give(2);
      stage.runs(2);
    }
    stage.bend({{"point", {{"name", one.point}, {"nth", one.nth}}}});
    stage.give(one.index);
    const bool ended = stage.keeper_ended();
    const std::int64_t written = stage.on_disk("settings.json"), good = stage.on_disk("settings.good.json");
    const bool whole = written >= before && good >= before;
    stage.restart_keeper();
    const bool then = one.index == kBad ? stage.refused(kBad) && stage.runs(2) : stage.runs(2);
    std::printf("%-21s %d of %lld: %s, on disk %lld and %lld; then %s%s%s\n", one.point, one.nth,
                static_cast<long long>(one.index), ended ? "keeper ended" : "KEEPER DID NOT END",
                static_cast<long long>(written), static_cast<long long>(good),
                then ? "2 in force" : "NOT IN FORCE", whole ? "" : ", NOT WHOLE",
                stage.fine() ? "" : ", NOT FINE");
  }
}

void disks() {
  {
    Stage stage;
    stage.bend({{"disk", {{"tears", 40}}}});
    stage.give(2);
    say("torn: the keeper ends within the write", stage.keeper_ended());
    say("both files are whole",
        stage.on_disk("settings.json") == 1 && stage.on_disk("settings.good.json") == 1);
    stage.restart_keeper();
    say("then the newest is in force", stage.runs(2));
  }
  {
    Stage stage;
    stage.bend({{"disk", {{"full", true}}}});
    stage.give(2);
    say("full: it is said, and what was in force stays", rig::run_until(stage.loop(), 5s, [&] {
          const json now = stage.settings();
          return now.contains("write_wrong") && now.value("runs", json()) == 1;
        }));
    stage.bend(json::object());
    say("with room again the newest is in force", stage.runs(2));
  }
  {
    Stage stage;
    stage.machine().keeper.signal(SIGKILL);
    stage.keeper_ended();
    std::ofstream(stage.machine().folder + "/settings.json") << "{\"index\": 7";
    stage.restart_keeper();
    say("a damaged file: the last good one is put back",
        rig::run_until(stage.loop(), 5s, [&] { return stage.on_disk("settings.json") == 1; }));
    say("and it is said", stage.settings().contains("file_wrong"));
    stage.give(2);
    say("then the newest is in force", stage.runs(2) && stage.fine());
  }
}

// With the versions: settings for the fleet hold over those of a version that is used.
void versions() {
  Stage stage;
  Machine& m = stage.machine();
  const pid_t first = Site::leader(stage.site().status(m));
  Site::Recipe other;
  other.tick = 6000;
  say("a version with other settings: in force by its own proof", stage.site().bring(m, "v2", other));
  say("and the fleet's settings still are", stage.runs(1) && Site::leader(stage.site().status(m)) == first);
  other.mark = "another build";
  const std::string from = stage.site().recipe(m, "v3", other);
  stage.site().order(m, "take", "v3", {{"from", from}});
  stage.site().settled(m);
  stage.site().order(m, "use", "v3");
  stage.give(2);
  say("a revision in the middle of a swap: the swap is done",
      stage.site().settled(m).value("outcome", "") == "done");
  say("and the revision is in force, by the new process",
      stage.runs(2) && Site::leader(stage.site().status(m)) != first);
  stage.site().order(m, "stop");
  stage.site().settled(m);
  stage.give(4);
  say("nothing runs: the revision is kept", rig::run_until(stage.loop(), 5s, [&] {
        return stage.settings().value("phase", "") == "kept" && stage.on_disk("settings.json") == 4;
      }));
  stage.site().order(m, "run");
  say("and the next start proves it", stage.runs(4));
  say("no event came that cannot come",
      stage.settings().value("impossible", -1) == 0 && stage.site().status(m).value("impossible", -1) == 0);
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  const std::string name = words[1];
  if (name == "points") points();
  if (name == "disks") disks();
  if (name == "versions") versions();
  return 0;
}
