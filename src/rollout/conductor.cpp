#include "rollout/conductor.h"

#include <algorithm>

#include "config/fields.h"

namespace marbledyke::rollout {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char* kStateNames[] = {"planned",  "checking", "watching",   "swapping",  "soaking",
                                       "waiting",  "paused",   "confirming", "returning", "done",
                                       "returned", "held",     "refused"};
constexpr const char* kEventNames[] = {"start",       "ready",   "not ready",  "watched", "swapped",
                                       "swap failed", "passed",  "too little", "goes on", "stop",
                                       "waited out",  "pause",   "resume",     "back",    "all back",
                                       "back failed", "all told"};
constexpr Duration kOnItsWay =
    5s;                          // an order that no report shows after this was not taken, and is given again
constexpr Duration kHeard = 2s;  // a report that is so much later was made after it
constexpr const char* kAtNames[] = {"old",          "ordered", "on_trial", "confirmed",
                                    "back_ordered", "back",    "held"};

enum class Do {
  ignore,
  impossible,
  check,
  watch,
  swap,  // the first stage begins
  soak,
  advance,  // what passed is confirmed; the next stage, or the end
  wait,
  go_on,
  rest,        // paused
  go_on_from,  // where it was paused
  go_back,
  give_up,  // nothing was changed, nothing goes back
  end
};

struct Next {
  Do what;
  State next;
};

using S = State;
constexpr Next stay(S s) { return {Do::ignore, s}; }
constexpr Next never(S s) { return {Do::impossible, s}; }

// start, ready, not_ready, watched, swapped, swap_failed, passed, too_little, goes_on, stop, waited_out,
// pause, resume, back, all_back, back_failed, all_told
constexpr Next kTable[kStates][kHappens] = {
    /* planned */
    {{Do::check, S::checking},
     never(S::planned),
     never(S::planned),
     never(S::planned),
     never(S::planned),
     never(S::planned),
     never(S::planned),
     never(S::planned),
     never(S::planned),
     stay(S::planned),
     never(S::planned),
     stay(S::planned),
     stay(S::planned),
     {Do::give_up, S::refused},
     never(S::planned),
     never(S::planned),
     never(S::planned)},
    /* checking */
    {stay(S::checking),
     {Do::watch, S::watching},
     {Do::give_up, S::refused},
     never(S::checking),
     never(S::checking),
     never(S::checking),
     never(S::checking),
     never(S::checking),
     never(S::checking),
     stay(S::checking),
     never(S::checking),
     {Do::rest, S::paused},
     stay(S::checking),
     {Do::give_up, S::refused},
     never(S::checking),
     never(S::checking),
     never(S::checking)},
    /* watching */
    {stay(S::watching),
     never(S::watching),
     {Do::give_up, S::refused},
     {Do::swap, S::swapping},
     never(S::watching),
     {Do::go_back, S::returning},
     never(S::watching),
     never(S::watching),
     never(S::watching),
     stay(S::watching),
     never(S::watching),
     {Do::rest, S::paused},
     stay(S::watching),
     {Do::give_up, S::refused},
     never(S::watching),
     never(S::watching),
     never(S::watching)},
    /* swapping */
    {stay(S::swapping),
     never(S::swapping),
     never(S::swapping),
     never(S::swapping),
     {Do::soak, S::soaking},
     {Do::go_back, S::returning},
     stay(S::swapping),
     stay(S::swapping),
     stay(S::swapping),
     {Do::go_back, S::returning},
     {Do::go_back, S::returning},
     {Do::rest, S::paused},
     stay(S::swapping),
     {Do::go_back, S::returning},
     never(S::swapping),
     never(S::swapping),
     never(S::swapping)},
    /* soaking */
    {stay(S::soaking),
     never(S::soaking),
     never(S::soaking),
     never(S::soaking),
     never(S::soaking),
     {Do::go_back, S::returning},
     {Do::advance, S::swapping},
     {Do::wait, S::waiting},
     stay(S::soaking),
     {Do::go_back, S::returning},
     never(S::soaking),
     {Do::rest, S::paused},
     stay(S::soaking),
     {Do::go_back, S::returning},
     never(S::soaking),
     never(S::soaking),
     never(S::soaking)},
    /* waiting */
    {stay(S::waiting),
     never(S::waiting),
     never(S::waiting),
     never(S::waiting),
     never(S::waiting),
     {Do::go_back, S::returning},
     {Do::advance, S::swapping},
     stay(S::waiting),
     {Do::go_on, S::soaking},
     {Do::go_back, S::returning},
     {Do::go_back, S::returning},
     {Do::rest, S::paused},
     stay(S::waiting),
     {Do::go_back, S::returning},
     never(S::waiting),
     never(S::waiting),
     never(S::waiting)},
    /* paused: what is worse goes back all the same */
    {stay(S::paused),
     stay(S::paused),
     {Do::give_up, S::refused},
     stay(S::paused),
     stay(S::paused),
     {Do::go_back, S::returning},
     stay(S::paused),
     stay(S::paused),
     stay(S::paused),
     {Do::go_back, S::returning},
     never(S::paused),
     stay(S::paused),
     {Do::go_on_from, S::paused},
     {Do::go_back, S::returning},
     never(S::paused),
     never(S::paused),
     never(S::paused)},
    /* confirming: nothing is judged any more */
    {stay(S::confirming),
     never(S::confirming),
     never(S::confirming),
     never(S::confirming),
     never(S::confirming),
     {Do::go_back, S::returning},
     stay(S::confirming),
     stay(S::confirming),
     stay(S::confirming),
     stay(S::confirming),
     {Do::end, S::held},
     stay(S::confirming),
     stay(S::confirming),
     {Do::go_back, S::returning},
     never(S::confirming),
     never(S::confirming),
     {Do::end, S::done}},
    /* returning */
    {stay(S::returning),
     never(S::returning),
     never(S::returning),
     never(S::returning),
     never(S::returning),
     stay(S::returning),
     stay(S::returning),
     stay(S::returning),
     stay(S::returning),
     stay(S::returning),
     never(S::returning),
     stay(S::returning),
     stay(S::returning),
     stay(S::returning),
     {Do::end, S::returned},
     {Do::end, S::held},
     never(S::returning)},
    /* done */
    {stay(S::done), never(S::done), never(S::done), never(S::done), never(S::done), stay(S::done),
     stay(S::done), stay(S::done), stay(S::done), stay(S::done), never(S::done), stay(S::done), stay(S::done),
     stay(S::done), never(S::done), never(S::done), never(S::done)},
    /* returned */
    {stay(S::returned), never(S::returned), never(S::returned), never(S::returned), never(S::returned),
     stay(S::returned), stay(S::returned), stay(S::returned), stay(S::returned), stay(S::returned),
     never(S::returned), stay(S::returned), stay(S::returned), stay(S::returned), never(S::returned),
     never(S::returned), never(S::returned)},
    /* held: a person may have it try again */
    {stay(S::held),
     never(S::held),
     never(S::held),
     never(S::held),
     never(S::held),
     stay(S::held),
     stay(S::held),
     stay(S::held),
     stay(S::held),
     stay(S::held),
     never(S::held),
     stay(S::held),
     stay(S::held),
     {Do::go_back, S::returning},
     never(S::held),
     never(S::held),
     never(S::held)},
    /* refused */
    {stay(S::refused), never(S::refused), never(S::refused), never(S::refused), never(S::refused),
     stay(S::refused), stay(S::refused), stay(S::refused), stay(S::refused), stay(S::refused),
     never(S::refused), stay(S::refused), stay(S::refused), stay(S::refused), never(S::refused),
     never(S::refused), never(S::refused)}};

template <typename E>
constexpr std::size_t place(E e) {
  return static_cast<std::size_t>(e);
}

bool at_rest(const Report& report) { return report.outcome != "under_way" && report.outcome != "returning"; }

}  // namespace

const char* name_of(State state) { return kStateNames[place(state)]; }
const char* name_of(Happens event) { return kEventNames[place(event)]; }
const char* name_of(At at) { return kAtNames[place(at)]; }

std::optional<State> state_named(const std::string& name) {
  for (int i = 0; i < kStates; ++i) {
    if (name == kStateNames[i]) return static_cast<State>(i);
  }
  return std::nullopt;
}

json put(const Kept& kept) {
  json keepers = json::object();
  for (const auto& [name, at] : kept.keepers) {
    keepers[name] = {{"at", name_of(at)}};
    const auto former = kept.former.find(name);
    if (former != kept.former.end()) keepers[name]["former"] = former->second;
  }
  return {{"state", name_of(kept.state)}, {"stage", kept.stage},
          {"epoch", kept.epoch},          {"why", kept.why},
          {"since_ms", kept.since_ms},    {"paused_from", name_of(kept.paused_from)},
          {"keepers", std::move(keepers)}};
}

Kept read_kept(const json& from) {
  Kept out;
  const auto state = [&](const char* field) {
    const auto found = state_named(config::text(from, field));
    if (!found) throw config::BadInput(std::string(field) + ": not a state");
    return *found;
  };
  out.state = state("state");
  out.paused_from = state("paused_from");
  out.stage = static_cast<int>(config::integer(from, "stage"));
  out.epoch = static_cast<std::uint64_t>(config::integer(from, "epoch"));
  out.why = config::text(from, "why");
  out.since_ms = config::integer(from, "since_ms");
  for (const auto& [name, one] : config::object(from, "keepers").items()) {
    const std::string& at = config::text(one, "at");
    const auto found = std::find(std::begin(kAtNames), std::end(kAtNames), at);
    if (found == std::end(kAtNames)) throw config::BadInput("at: not a place: " + at);
    out.keepers[name] = static_cast<At>(found - std::begin(kAtNames));
    if (one.contains("former")) out.former[name] = config::text(one, "former");
  }
  return out;
}

Conductor::Conductor(const Plan& plan, const std::vector<Member>& members, Kept kept, std::uint64_t epoch,
                     Duration now, Duration wall)
    : plan_(plan),
      members_(members),
      stages_(stages_of(plan, members)),
      kept_(std::move(kept)),
      now_(now),
      wall_(wall),
      since_(now),
      soak_since_(now),
      wait_since_(now) {
  kept_.epoch = epoch;
  for (const Member& member : members_) {
    kept_.keepers.try_emplace(member.name, At::old);
    last_heard_[member.name] = now;
  }
  // What the former conductor had ordered counts from now; what it had let soak soaks anew.
  for (const auto& [name, at] : kept_.keepers) {
    if (at == At::ordered || at == At::back_ordered) ordered_[name] = now;
    if (at == At::on_trial || at == At::confirmed) changed_[name] = now;
  }
  if (kept_.state == State::waiting) kept_.state = State::soaking;
  act(Act::What::keep);
}

bool Conductor::over() const {
  return kept_.state == State::done || kept_.state == State::returned || kept_.state == State::held ||
         kept_.state == State::refused;
}

std::vector<std::string> Conductor::of(At at) const {
  std::vector<std::string> out;
  for (const auto& [name, one] : kept_.keepers) {
    if (one == at) out.push_back(name);
  }
  return out;
}

void Conductor::act(Act::What what, const std::string& keeper, const std::string& why) {
  Act out;
  out.what = what;
  out.keeper = keeper;
  out.why = why;
  if (what == Act::What::take || what == Act::What::try_out || what == Act::What::use)
    out.version = plan_.version;
  if (what == Act::What::back) out.version = kept_.former[keeper];
  if (!keeper.empty()) {
    auto& [epoch, number] = given_[keeper];
    number = epoch == kept_.epoch ? number + 1 : 1;
    epoch = kept_.epoch;
    if (what == Act::What::use) use_number_[keeper] = number;
    if (what == Act::What::back) back_number_.try_emplace(keeper, number);
    out.number = number;
  }
  acts_.push_back(std::move(out));
}

std::string Conductor::line(Duration horizon) const {
  std::string out = name_of(kept_.state);
  const auto say = [&](const auto& what) { out += ' ' + std::to_string(what); };
  const auto age = [&](Duration when) { say(std::min((now_ - when) / 1ms, horizon / 1ms)); };
  const auto ages = [&](const std::map<std::string, Duration>& of) {
    for (const auto& [name, when] : of) {
      out += ' ' + name;
      age(when);
    }
    out += ';';
  };
  out += std::string(" from ") + name_of(kept_.paused_from);
  say(kept_.stage);
  say(kept_.epoch);
  for (const auto& [name, at] : kept_.keepers) out += ' ' + name + ' ' + name_of(at);
  for (const auto& [name, former] : kept_.former) out += ' ' + name + ' ' + former;
  age(since_);
  age(soak_since_);
  age(wait_since_);
  ages(ordered_);
  ages(last_heard_);
  ages(back_since_);
  ages(again_);
  for (const auto* numbers : {&use_number_, &back_number_}) {
    for (const auto& [name, number] : *numbers) {
      out += ' ' + name;
      say(number);
    }
    out += ';';
  }
  // Of these only which came later counts.
  std::vector<std::pair<Duration, std::string>> changed;
  for (const auto& [name, when] : changed_) changed.emplace_back(when, name);
  std::sort(changed.begin(), changed.end());
  for (const auto& [when, name] : changed) out += ' ' + name;
  for (const auto& [name, report] : reports_) {
    out += "; " + name + ' ' + report.in_force + ' ' + report.former + ' ' + report.outcome;
    say(report.epoch);
    say(report.number);
    say(static_cast<int>(report.tried));
    say(report.has_version + 2 * report.serves + 4 * report.gave_up);
  }
  for (const auto& [name, order] : given_) {
    out += ' ' + name;
    say(order.first);
    say(order.second);
  }
  for (const Act& act : acts_)
    out += "; act " + std::to_string(static_cast<int>(act.what)) + ' ' + act.keeper;
  return out;
}

std::optional<Act> Conductor::next() {
  if (acts_.empty()) return std::nullopt;
  Act out = std::move(acts_.front());
  acts_.pop_front();
  return out;
}

void Conductor::back(const std::string& why) { on(Happens::back, why); }

void Conductor::report(const std::string& keeper, const Report& report) {
  if (!kept_.keepers.contains(keeper)) return;
  // What it said before it took the last order that it is known to have taken comes late, and is true no
  // more.
  const auto before = reports_.find(keeper);
  if (before != reports_.end() && before->second.life == report.life &&
      std::pair(report.epoch, report.number) < std::pair(before->second.epoch, before->second.number))
    return;
  last_heard_[keeper] = now_;
  reports_[keeper] = report;
  given_[keeper] = {report.epoch, report.number};
  At& at = kept_.keepers[keeper];
  const bool has = report.in_force == plan_.version;
  const bool failed = report.outcome == "back" || report.outcome == "held" || report.outcome == "refused";
  switch (at) {
    case At::old:
    case At::back:
      // An order of a former conductor was on its way, and has been taken: it counts as this one's from now
      // on.
      if (!has || kept_.state == State::checking || kept_.state == State::planned || over()) return;
      if (at_rest(report)) {
        at = report.outcome == "on_trial" ? At::on_trial : At::confirmed;
        changed_[keeper] = now_;
      } else {
        at = At::ordered;
        ordered_[keeper] = now_;
      }
      act(Act::What::note, {}, keeper + " has taken an order of a former conductor");
      return act(Act::What::keep);
    case At::held:
      return;
    case At::ordered:
      if (has && (report.outcome == "on_trial" || report.outcome == "done") && report.serves) {
        at = report.outcome == "done" ? At::confirmed : At::on_trial;
        changed_[keeper] = now_;
        ordered_.erase(keeper);
        act(Act::What::keep);
      } else if (failed && report.epoch == kept_.epoch && report.number >= use_number_[keeper]) {
        at = report.outcome == "held" ? At::held : At::back;
        ordered_.erase(keeper);
        act(Act::What::keep);
        on(Happens::swap_failed, keeper + ": " + report.outcome + ": " + report.why);
      }
      return;
    case At::on_trial:
    case At::confirmed:
      if (has && !report.gave_up && report.outcome != "held") {
        if (at == At::on_trial && report.outcome == "done") {
          at = At::confirmed;
          act(Act::What::keep);
        }
        return;
      }
      // It went back by itself: it was not sound, or nobody confirmed it in time.
      changed_.erase(keeper);
      at = report.outcome == "held" || report.gave_up ? At::held : At::back;
      act(Act::What::keep);
      return on(Happens::swap_failed, keeper + " went back by itself: " + report.why);
    case At::back_ordered:
      // What it said before the order came says nothing of it.
      if (now_ - ordered_[keeper] < kHeard) return;
      // Nor does its being where it was before: an order to change that is on its way still would be taken.
      // Only the order back, once taken, fences that by its number.
      if (!back_number_.contains(keeper) || report.epoch != kept_.epoch ||
          report.number < back_number_[keeper])
        return;
      if (report.in_force == kept_.former[keeper] && at_rest(report) && report.outcome != "held" &&
          report.serves) {
        at = At::back;
        changed_.erase(keeper);
        ordered_.erase(keeper);
        act(Act::What::keep);
      } else if (report.outcome == "held" && report.epoch == kept_.epoch) {
        at = At::held;
        ordered_.erase(keeper);
        act(Act::What::keep);
      }
      return;
  }
}

void Conductor::unreachable(const std::string&) {}  // how long ago it was heard is known

void Conductor::judged(const Finding& finding) {
  said_ = finding.what;
  const bool stage = kept_.state == State::soaking || kept_.state == State::waiting ||
                     kept_.state == State::swapping || kept_.state == State::paused;
  if (!stage) return;
  switch (finding.verdict) {
    case Verdict::going:
      if (kept_.state == State::waiting) on(Happens::goes_on);
      return;
    case Verdict::passed:
      return on(Happens::passed);
    case Verdict::too_little:
    case Verdict::trouble:
      return on(Happens::too_little, finding.what);
    case Verdict::worse:
    case Verdict::harm:
    case Verdict::at_once:
      return on(Happens::stop, std::string(name_of(finding.verdict)) + ": " + finding.what);
  }
}

bool Conductor::soak_over() const {
  if (kept_.stage < 0 || kept_.stage >= static_cast<int>(plan_.stages.size())) return false;
  return (kept_.state == State::soaking || kept_.state == State::waiting) &&
         now_ - soak_since_ >= plan_.stages[static_cast<std::size_t>(kept_.stage)].soak + plan_.burn_in;
}

void Conductor::tick(Duration now, Duration wall) {
  now_ = now;
  wall_ = wall;
  confirm_again();
  switch (kept_.state) {
    case State::checking: {
      bool all = true;
      for (const Member& member : members_) {
        const auto report = reports_.find(member.name);
        const bool there = report != reports_.end() && report->second.has_version &&
                           at_rest(report->second) && report->second.serves &&
                           (report->second.outcome != "on_trial" || report->second.in_force == plan_.version);
        const bool untried = plan_.tried && there && report->second.in_force != plan_.version &&
                             report->second.tried != Report::Tried::good;
        if (untried && report->second.tried == Report::Tried::bad)
          return on(Happens::not_ready, member.name + " has tried it: " + report->second.why);
        if (untried && (!again_.contains(member.name) || now_ - again_[member.name] >= kOnItsWay)) {
          again_[member.name] = now_;
          act(Act::What::try_out, member.name);
        }
        all = all && there && !untried;
        if (report != reports_.end() && !report->second.has_version && !plan_.from.empty() &&
            at_rest(report->second) && !ordered_.contains(member.name)) {
          ordered_[member.name] = now_;
          act(Act::What::take, member.name);
        }
      }
      if (all) {
        ordered_.clear();
        again_.clear();
        for (const Member& member : members_) adopt(member.name, reports_[member.name]);
        return on(Happens::ready);
      }
      if (now_ - since_ >= plan_.swap_limit) {
        std::string who;
        for (const Member& member : members_) {
          const auto report = reports_.find(member.name);
          if (report == reports_.end()) {
            who += " " + member.name + " (not reached)";
          } else if (!report->second.has_version) {
            who += " " + member.name + " (does not have " + plan_.version + ": " + report->second.why + ")";
          } else if (plan_.tried && report->second.tried == Report::Tried::no &&
                     report->second.in_force != plan_.version) {
            who += " " + member.name + " (has not tried it)";
          } else if (!report->second.serves || !at_rest(report->second)) {
            who += " " + member.name + " (does not serve, or an order is under way)";
          }
        }
        on(Happens::not_ready, "not ready:" + who);
      }
      return;
    }
    case State::watching:
      if (now_ - since_ >= plan_.before) on(Happens::watched);
      return;
    case State::swapping:
      return look_at_stage();
    case State::waiting:
      if (now_ - wait_since_ >= plan_.longest_wait) on(Happens::waited_out, "waited too long: " + said_);
      return;
    case State::confirming: {
      const std::vector<std::string> untold = of(At::on_trial);
      if (untold.empty()) return on(Happens::all_told);
      if (now_ - since_ < plan_.longest_wait) return;
      std::string who;
      for (const std::string& name : untold) who += " " + name;
      return on(Happens::waited_out,
                "passed, but not confirmed at" + who + ": confirm it there by hand, or it takes it back");
    }
    case State::returning:
      return order_some_back();
    default:
      return;
  }
}

// One that has the version already was changed by a conductor whose memory this one has not: it is not
// changed again, and what it goes back to is what its keeper says.
void Conductor::adopt(const std::string& name, const Report& report) {
  const bool has = report.in_force == plan_.version;
  kept_.former[name] = has ? report.former : report.in_force;
  if (!has) return;
  kept_.keepers[name] = report.outcome == "on_trial" ? At::on_trial : At::confirmed;
  changed_[name] = now_;
}

void Conductor::look_at_stage() {
  const std::vector<std::string>& its = stages_[static_cast<std::size_t>(kept_.stage)];
  const bool all = std::all_of(its.begin(), its.end(), [&](const std::string& name) {
    return kept_.keepers[name] == At::on_trial || kept_.keepers[name] == At::confirmed;
  });
  if (all) return on(Happens::swapped);
  for (const auto& [name, when] : ordered_) {
    // One that cannot be reached may be on its way; one that can and says nothing of it is not.
    const bool silent = now_ - last_heard_[name] > plan_.swap_limit / 2;
    if (now_ - when >= (silent ? plan_.longest_wait : plan_.swap_limit))
      return on(Happens::swap_failed, name + " did not carry it out in time");
  }
  // What no report shows was not taken: the same order again. Whoever has taken it says so and does nothing.
  for (const std::string& name : of(At::ordered)) {
    const auto report = reports_.find(name);
    if (report == reports_.end() || now_ - last_heard_[name] > kOnItsWay || !at_rest(report->second) ||
        report->second.in_force == plan_.version || report->second.epoch == kept_.epoch)
      continue;
    const Duration last = std::max(again_[name], ordered_[name]);
    if (now_ - last < kOnItsWay) continue;
    again_[name] = now_;
    act(Act::What::use, name);
  }
  order_some();
}

void Conductor::order_some() {
  int under_way = static_cast<int>(of(At::ordered).size());
  std::vector<std::string> now_ordered;
  for (const std::string& name : stages_[static_cast<std::size_t>(kept_.stage)]) {
    if (under_way >= plan_.at_a_time) break;
    if (kept_.keepers[name] != At::old) continue;
    // Not to one that cannot be heard: what becomes of it could not be seen.
    if (now_ - last_heard_[name] > 5s) continue;
    kept_.keepers[name] = At::ordered;
    ordered_[name] = now_;
    now_ordered.push_back(name);
    ++under_way;
  }
  if (now_ordered.empty()) return;
  act(Act::What::keep);  // written down before it is ordered: a successor looks there first
  for (const std::string& name : now_ordered) act(Act::What::use, name);
}

// The newest first: what was changed last has shown least. At most as many at a time as on the way there.
void Conductor::order_some_back() {
  // An order that was given a moment ago may be on its way still; what its keeper said before says nothing of
  // it.
  const auto settled = [&](const std::string& name) {
    const auto report = reports_.find(name);
    return report != reports_.end() && at_rest(report->second) && now_ - ordered_[name] >= kOnItsWay;
  };
  int under_way = 0;
  for (const std::string& name : of(At::back_ordered)) under_way += settled(name) ? 0 : 1;
  for (const std::string& name : of(At::ordered)) under_way += settled(name) ? 0 : 1;
  bool open = !of(At::back_ordered).empty() || !of(At::ordered).empty(), failed = !of(At::held).empty();
  std::vector<std::pair<Duration, std::string>> left;
  for (const auto& [name, at] : kept_.keepers) {
    if (at == At::on_trial || at == At::confirmed ||
        ((at == At::ordered || at == At::back_ordered) && settled(name)))
      left.emplace_back(changed_.contains(name) ? changed_.at(name) : now_, name);
  }
  std::sort(left.rbegin(), left.rend());
  std::vector<std::string> now_ordered;
  for (const auto& [since, name] : left) {
    open = true;
    // One that is being changed is at rest soon; its keeper refuses until then. One that was ordered and did
    // not change is ordered back all the same: by its number that fences the order that may be on its way.
    const auto report = reports_.find(name);
    if (under_way >= plan_.at_a_time || report == reports_.end() || !at_rest(report->second)) continue;
    if (!back_since_.contains(name)) back_since_[name] = now_;
    if (kept_.former[name].empty()) {  // nobody knows what it had before
      kept_.keepers[name] = At::held;
      failed = true;
      continue;
    }
    kept_.keepers[name] = At::back_ordered;
    ordered_[name] = now_;
    now_ordered.push_back(name);
    ++under_way;
  }
  if (!now_ordered.empty()) act(Act::What::keep);
  for (const std::string& name : now_ordered) act(Act::What::back, name);
  for (const auto& [name, when] : back_since_) {
    if (now_ - when < plan_.longest_wait || kept_.keepers[name] == At::back) continue;
    kept_.keepers[name] = At::held;
    failed = true;
  }
  // One that was ordered and cannot be heard at all.
  for (const std::string& name : of(At::ordered)) {
    if (now_ - std::max(since_, last_heard_[name]) < plan_.longest_wait) continue;
    kept_.keepers[name] = At::held;
    failed = true;
  }
  if (open && of(At::held).empty()) return;
  if (open) {
    // Some can still go back; those that cannot are left to a person once all others are.
    const bool any = !of(At::back_ordered).empty() || !of(At::on_trial).empty() ||
                     !of(At::confirmed).empty() || !of(At::ordered).empty();
    if (any) return;
  }
  if (failed) {
    std::string who;
    for (const std::string& name : of(At::held)) who += " " + name;
    return on(Happens::back_failed,
              "the way back failed at" + who + "; bring a sound version in force there by hand");
  }
  on(Happens::all_back);
}

void Conductor::confirm_stage() {
  for (const std::string& name : stages_[static_cast<std::size_t>(kept_.stage)]) {
    if (kept_.keepers[name] != At::on_trial) continue;
    again_[name] = now_;
    act(Act::What::confirm, name);
  }
}

// A confirmation that no report shows was lost: its keeper would take back, when its trial is over, what has
// passed.
void Conductor::confirm_again() {
  const bool under_way = kept_.state == State::swapping || kept_.state == State::soaking ||
                         kept_.state == State::waiting || kept_.state == State::confirming;
  if (!under_way) return;
  for (int stage = 0; stage < (kept_.state == State::confirming ? kept_.stage + 1 : kept_.stage); ++stage) {
    for (const std::string& name : stages_[static_cast<std::size_t>(stage)]) {
      if (kept_.keepers[name] != At::on_trial || now_ - last_heard_[name] > kOnItsWay ||
          now_ - again_[name] < kOnItsWay)
        continue;
      again_[name] = now_;
      act(Act::What::confirm, name);
    }
  }
}

void Conductor::on(Happens event, const std::string& why) {
  const Next& cell = kTable[place(kept_.state)][place(event)];
  if (cell.what == Do::impossible) {
    impossible_ += 1;
    return act(Act::What::note, {},
               std::string("IMPOSSIBLE: ") + name_of(event) + " in " + name_of(kept_.state));
  }
  if (cell.what == Do::ignore) return;
  const State from = kept_.state;
  kept_.state = cell.next;
  since_ = now_;
  kept_.since_ms = wall_ / 1ms;
  if (!why.empty()) kept_.why = why;
  act(Act::What::note, {},
      std::string(name_of(from)) + ", " + name_of(event) + (why.empty() ? "" : ": " + why));
  switch (cell.what) {
    case Do::ignore:
    case Do::impossible:
    case Do::check:
    case Do::watch:
    case Do::give_up:
    case Do::end:
      break;
    case Do::swap:
      kept_.stage = 0;
      break;
    case Do::soak:
      soak_since_ = now_;
      act(Act::What::begin_judging);
      break;
    case Do::advance:
      kept_.why.clear();  // of a wait that is over
      confirm_stage();
      if (kept_.stage + 1 >= static_cast<int>(plan_.stages.size())) {
        kept_.state = State::confirming;
      } else {
        kept_.stage += 1;
      }
      break;
    case Do::wait:
      wait_since_ = now_;
      break;
    case Do::go_on:
      break;
    case Do::rest:
      kept_.paused_from = from;
      break;
    case Do::go_on_from:
      kept_.state = kept_.paused_from;
      if (kept_.state == State::waiting) wait_since_ = now_;
      break;
    case Do::go_back:
      for (const std::string& name : of(At::held)) {
        if (from == State::held) kept_.keepers[name] = At::on_trial;  // tried once more
      }
      back_since_.clear();
      back_number_.clear();
      break;
  }
  act(Act::What::keep);
}

}  // namespace marbledyke::rollout
