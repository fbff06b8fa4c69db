#include "keeper/minder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marbledyke::keeper {
namespace {

using namespace std::chrono_literals;

constexpr const char* kLifeNames[] = {"none", "starting", "serving", "hung", "stopping", "killed", "felled"};
constexpr const char* kSwapNames[] = {"none",  "reading",      "beside",      "proving",
                                      "trial", "back_reading", "back_beside", "back_proving"};
constexpr const char* kWillNames[] = {"off", "resting", "running", "given_up", "leaving"};

enum class LifeDo { nothing, impossible, announce, say_hung, say_back, term, kill, gone, fell };

enum class SwapDo {
  nothing,
  impossible,
  go,        // link the target; have it read, or begin it beside the present one
  begin,     // begin what is in force
  prove,     // from now on it has to be sound
  follow,    // the process beside has come up: the former is told to stop, then prove
  complete,  // sound: done, or on trial
  confirm,   // the trial is over, well
  refuse,    // nothing has changed: link the former again
  go_back,   // link the former; have it read, or begin it beside
  stand,     // what was begun beside did not come up; the present one serves on
  returned,  // the way back is proved
  hold,      // the way back has failed too
  abandon    // stopped by order: what was not proved is not in force
};

enum class WillDo { nothing, begin, stop, rest, give_up, forgive };

// A cell of a swap's table has two next states: where settings suffice, and where a process must be begun.
struct SwapNext {
  SwapDo what;
  Swap reads, begins;
};
struct LifeNext {
  LifeDo what;
  Life next;
};
struct WillNext {
  WillDo what;
  Will next;
};

using L = Life;
using D = LifeDo;
// begun, serves, silent, speaks, told_stop, limit, ended
constexpr LifeNext kLives[7][7] = {
    /* none */
    {{D::nothing, L::starting},
     {D::nothing, L::none},
     {D::impossible, L::none},
     {D::nothing, L::none},
     {D::nothing, L::none},
     {D::impossible, L::none},
     {D::impossible, L::none}},
    /* starting */
    {{D::impossible, L::starting},
     {D::announce, L::serving},
     {D::impossible, L::starting},
     {D::nothing, L::starting},
     {D::term, L::stopping},
     {D::kill, L::felled},
     {D::fell, L::none}},
    /* serving */
    {{D::impossible, L::serving},
     {D::nothing, L::serving},
     {D::say_hung, L::hung},
     {D::nothing, L::serving},
     {D::term, L::stopping},
     {D::impossible, L::serving},
     {D::fell, L::none}},
    /* hung */
    {{D::impossible, L::hung},
     {D::nothing, L::hung},
     {D::nothing, L::hung},
     {D::say_back, L::serving},
     {D::term, L::stopping},
     {D::kill, L::felled},
     {D::fell, L::none}},
    /* stopping */
    {{D::impossible, L::stopping},
     {D::nothing, L::stopping},
     {D::nothing, L::stopping},
     {D::nothing, L::stopping},
     {D::nothing, L::stopping},
     {D::kill, L::killed},
     {D::gone, L::none}},
    /* killed */
    {{D::impossible, L::killed},
     {D::nothing, L::killed},
     {D::nothing, L::killed},
     {D::nothing, L::killed},
     {D::nothing, L::killed},
     {D::kill, L::killed},
     {D::gone, L::none}},
    /* felled */
    {{D::impossible, L::felled},
     {D::nothing, L::felled},
     {D::nothing, L::felled},
     {D::nothing, L::felled},
     {D::nothing, L::killed},
     {D::kill, L::felled},
     {D::fell, L::none}}};

using S = Swap;
using W = SwapDo;
constexpr SwapNext ignore(S state) { return {W::nothing, state, state}; }
constexpr SwapNext never(S state) { return {W::impossible, state, state}; }
constexpr SwapNext to(W what, S state) { return {what, state, state}; }
// use, taken, not_taken, needs_start, serves, not_started, sound, unsound, limit, confirmed, stop
constexpr SwapNext kSwaps[8][11] = {
    /* none */
    {{W::go, S::reading, S::beside},
     ignore(S::none),
     ignore(S::none),
     ignore(S::none),
     ignore(S::none),
     ignore(S::none),
     never(S::none),
     never(S::none),
     never(S::none),
     ignore(S::none),
     ignore(S::none)},
    /* reading */
    {never(S::reading), to(W::prove, S::proving), to(W::refuse, S::none), to(W::begin, S::beside),
     ignore(S::reading), to(W::begin, S::beside), never(S::reading), ignore(S::reading),
     to(W::begin, S::beside), ignore(S::reading), to(W::abandon, S::none)},
    /* beside */
    {never(S::beside), ignore(S::beside), ignore(S::beside), ignore(S::beside), to(W::follow, S::proving),
     to(W::stand, S::none), never(S::beside), ignore(S::beside), never(S::beside), ignore(S::beside),
     to(W::abandon, S::none)},
    /* proving */
    {never(S::proving),
     ignore(S::proving),
     ignore(S::proving),
     ignore(S::proving),
     ignore(S::proving),
     never(S::proving),
     to(W::complete, S::none),
     {W::go_back, S::back_reading, S::back_beside},
     {W::go_back, S::back_reading, S::back_beside},
     ignore(S::proving),
     to(W::abandon, S::none)},
    /* trial */
    {{W::go, S::reading, S::beside},
     ignore(S::trial),
     ignore(S::trial),
     ignore(S::trial),
     ignore(S::trial),
     never(S::trial),
     never(S::trial),
     {W::go_back, S::back_reading, S::back_beside},
     {W::go_back, S::back_reading, S::back_beside},
     to(W::confirm, S::none),
     to(W::abandon, S::none)},
    /* back_reading */
    {never(S::back_reading), to(W::prove, S::back_proving), to(W::begin, S::back_beside),
     to(W::begin, S::back_beside), ignore(S::back_reading), to(W::begin, S::back_beside),
     never(S::back_reading), ignore(S::back_reading), to(W::begin, S::back_beside), ignore(S::back_reading),
     to(W::abandon, S::none)},
    /* back_beside */
    {never(S::back_beside), ignore(S::back_beside), ignore(S::back_beside), ignore(S::back_beside),
     to(W::follow, S::back_proving), to(W::hold, S::none), never(S::back_beside), ignore(S::back_beside),
     never(S::back_beside), ignore(S::back_beside), to(W::abandon, S::none)},
    /* back_proving */
    {never(S::back_proving), ignore(S::back_proving), ignore(S::back_proving), ignore(S::back_proving),
     ignore(S::back_proving), never(S::back_proving), to(W::returned, S::none), to(W::hold, S::none),
     to(W::hold, S::none), ignore(S::back_proving), to(W::abandon, S::none)}};

using V = Will;
using X = WillDo;
// wanted, unwanted, begins, fell, fell_too_often, rested, leave
constexpr WillNext kWills[5][7] = {
    /* off */
    {{X::begin, V::running},
     {X::nothing, V::off},
     {X::nothing, V::running},
     {X::nothing, V::off},
     {X::nothing, V::off},
     {X::nothing, V::off},
     {X::stop, V::leaving}},
    /* resting */
    {{X::begin, V::running},
     {X::stop, V::off},
     {X::nothing, V::running},
     {X::nothing, V::resting},
     {X::nothing, V::resting},
     {X::begin, V::running},
     {X::stop, V::leaving}},
    /* running */
    {{X::nothing, V::running},
     {X::stop, V::off},
     {X::nothing, V::running},
     {X::rest, V::resting},
     {X::give_up, V::given_up},
     {X::nothing, V::running},
     {X::stop, V::leaving}},
    /* given_up */
    {{X::forgive, V::running},
     {X::stop, V::off},
     {X::nothing, V::running},
     {X::nothing, V::given_up},
     {X::nothing, V::given_up},
     {X::nothing, V::given_up},
     {X::stop, V::leaving}},
    /* leaving */
    {{X::nothing, V::leaving},
     {X::nothing, V::leaving},
     {X::nothing, V::leaving},
     {X::nothing, V::leaving},
     {X::nothing, V::leaving},
     {X::nothing, V::leaving},
     {X::nothing, V::leaving}}};

template <typename E>
constexpr std::size_t place(E e) {
  return static_cast<std::size_t>(e);
}

}  // namespace

const char* name_of(Life life) { return kLifeNames[place(life)]; }
const char* name_of(Swap swap) { return kSwapNames[place(swap)]; }
const char* name_of(Will will) { return kWillNames[place(will)]; }

Minder::Minder(const Policy& policy, Kept kept, Duration now, Duration wall, double jitter)
    : policy_(policy), kept_(std::move(kept)), now_(now), wall_(wall), last_tick_(now), jitter_(jitter) {}

// ---- what it finds at its start ----

void Minder::adopted(int slot, const std::string& version, const VersionFacts& facts) {
  One& one = at(slot);
  one = {};
  one.life = Life::serving;
  one.version = version;
  one.facts = facts;
  one.since = one.begun = one.heard = one.healthy = now_;
}

// Whatever was under way is done once more from its beginning: each step does no harm when it is repeated.
void Minder::resume(const VersionFacts& in_force, const VersionFacts& former, bool has_ordered) {
  target_ = in_force;
  former_ = former;
  const bool first = at(0).life != Life::none, second = at(1).life != Life::none;
  if (first || second) {
    lead_ = first && (!second || at(0).version == kept_.in_force) ? 0 : 1;
    will_ = Will::running;
    if (first && second) on(1 - lead_, LifeEvent::told_stop);
  }
  if (!kept_.in_force.empty()) act(Act::What::link, 0, kept_.in_force);
  const bool swapping = kept_.order && kept_.order->kind == Kind::use;
  kept_.gave_up = false;  // a keeper that was started anew tries once more
  // Taking and dropping a version are not gone on with, but they may be done.
  const bool open = kept_.outcome == Outcome::under_way && kept_.order;
  if (open && (kept_.order->kind == Kind::take || kept_.order->kind == Kind::drop)) {
    const bool done = has_ordered == (kept_.order->kind == Kind::take);
    finish(done ? Outcome::done : Outcome::refused, done ? "" : "the keeper ended before it was done");
  }
  if (open && kept_.order->kind == Kind::try_out)
    finish(Outcome::refused, "the keeper ended before it was done");
  if (!kept_.wanted) {
    if (will_ == Will::running) on(WillEvent::unwanted);
    if (kept_.outcome == Outcome::under_way && !first && !second) finish(Outcome::done, "");
    return;
  }
  if (kept_.outcome == Outcome::under_way && swapping) return on(SwapEvent::use);
  if (kept_.outcome == Outcome::returning) {
    former_ = in_force;
    swap_why_ = kept_.why;
    on(WillEvent::begins);
    return bring_back(Swap::back_reading, Swap::back_beside);
  }
  if (kept_.outcome == Outcome::on_trial && swapping) {
    const Duration ran = std::clamp(wall_ - Duration(std::chrono::milliseconds(kept_.since_ms)),
                                    Duration::zero(), kept_.order->trial);
    trial_until_ = now_ + kept_.order->trial - ran;
    swap_ = Swap::trial;
    swap_since_ = now_;
  } else if (kept_.outcome == Outcome::under_way && kept_.order && kept_.order->kind == Kind::confirm) {
    finish(Outcome::done, "");
  }
  if (will_ != Will::running) return on(WillEvent::wanted);
  if (swap_ != Swap::none || at(lead_).version == kept_.in_force) return;
  act(Act::What::note, lead_, at(lead_).version, "runs another version than is in force");
  on(SwapEvent::use);
}

// ---- orders ----

Verdict Minder::considers(const Order& order, bool has_version) const {
  const Verdict verdict = judge(order, kept_, wall_, has_version);
  if (verdict != Verdict::taken) return verdict;
  const bool swapping = swap_ != Swap::none && swap_ != Swap::trial;
  if (will_ == Will::leaving || (swapping && order.kind != Kind::stop)) return Verdict::busy;
  return verdict;
}

Kept Minder::with(const Kept& kept, const Order& order, Duration wall) {
  Kept out = kept;
  if (order.kind == Kind::use) {
    // What was on trial is not what one goes back to.
    if (out.outcome != Outcome::on_trial && out.in_force != order.version) out.former = out.in_force;
    out.in_force = order.version;
  }
  if (order.kind == Kind::use || order.kind == Kind::run) {
    out.wanted = true;
    out.strikes = 0;
    out.gave_up = false;
  }
  if (order.kind == Kind::stop) out.wanted = false;
  // What was not proved is not in force after a stop.
  if (order.kind == Kind::stop && (kept.outcome == Outcome::under_way || kept.outcome == Outcome::on_trial) &&
      kept.order && kept.order->kind == Kind::use && !kept.former.empty())
    out.in_force = kept.former;
  out.order = order;
  out.outcome = Outcome::under_way;
  out.why.clear();
  out.since_ms = wall / 1ms;
  return out;
}

void Minder::take(const Order& order, Kept kept, const VersionFacts& target, const VersionFacts& former) {
  const bool linked_anew = kept.in_force != kept_.in_force;
  kept_ = std::move(kept);
  switch (order.kind) {
    case Kind::use:
      target_ = target;
      former_ = former;
      return on(SwapEvent::use);
    case Kind::run:
      if (will_ == Will::running && at(lead_).life == Life::serving)
        return finish(Outcome::done, "runs already");
      return on(WillEvent::wanted);
    case Kind::stop:
      on(SwapEvent::stop);
      if (linked_anew) act(Act::What::link, 0, kept_.in_force);
      on(WillEvent::unwanted);
      if (at(0).life == Life::none && at(1).life == Life::none) finish(Outcome::done, "");
      return;
    case Kind::confirm:
      return on(SwapEvent::confirmed);
    case Kind::take:
    case Kind::drop:
    case Kind::try_out:
      return;  // carried out by who keeps the folder; versions_done() ends it
  }
}

void Minder::versions_done(const std::string& wrong, const std::string& notes) {
  finish(wrong.empty() ? Outcome::done : Outcome::refused, wrong.empty() ? notes : wrong);
}

void Minder::leave() {
  on(SwapEvent::stop);
  on(WillEvent::leave);
}

// ---- what processes do ----

void Minder::began(int slot, const VersionFacts& facts) {
  One& one = at(slot);
  const std::string version = one.version;
  one = {};
  one.version = version;
  one.facts = facts;
  one.begun = one.heard = one.healthy = now_;
  kept_.starts += 1;
  on(slot, LifeEvent::begun);
}

void Minder::not_begun(int slot, const std::string& why) {
  at(slot).begun = now_;
  act(Act::What::note, slot, at(slot).version, "could not be started: " + why);
  fell(slot, why);
}

// The version could not be brought in force, so nothing is read or begun on the strength of it.
void Minder::not_linked(const std::string& why) {
  unlinked_ = true;
  std::erase_if(acts_,
                [](const Act& one) { return one.what == Act::What::hup || one.what == Act::What::begin; });
  waits_to_begin_.reset();
  swap_why_ = "not linked: " + why;
  switch (swap_) {
    case Swap::none:
    case Swap::proving:
    case Swap::trial:
    case Swap::back_proving:
      act(Act::What::note, lead_, kept_.in_force, swap_why_);
      if (at(lead_).life == Life::none && will_ == Will::running) fell(lead_, swap_why_);
      return;
    case Swap::reading:
      return on(SwapEvent::not_taken, swap_why_);
    case Swap::beside:
      return on(SwapEvent::not_started);
    case Swap::back_reading:
    case Swap::back_beside:
      swap_ = Swap::none;
      finish(Outcome::held, swap_why_);
      if (at(lead_).life == Life::none && will_ == Will::running) fell(lead_, swap_why_);
      return;
  }
}

void Minder::ended(int slot, const std::string& how) { on(slot, LifeEvent::ended, how); }

void Minder::serves(int slot) {
  at(slot).heard = at(slot).healthy = now_;
  on(slot, LifeEvent::serves);
}

void Minder::heard(int slot, const Heard& window) {
  One& one = at(slot);
  one.heard = now_;
  one.configuration = window.configuration;
  if (window.taken > 0) {
    if (one.asked <= one.ended) one.mute_since = now_;
    one.asked = now_;
  }
  if (window.ended > 0 || window.in_hand == 0) one.ended = now_;
  if (one.life == Life::starting) on(slot, LifeEvent::serves);
}

// The health call goes to whoever accepts first where two serve, so it says something of the lead alone only.
void Minder::health(bool good) {
  const bool alone = at(1 - lead_).life == Life::none;
  if (good && alone) at(lead_).healthy = now_;
  if (!alone) at(lead_).healthy = now_;
}

void Minder::read_said(int slot, bool taken, bool needs_start, const std::string& why) {
  if (slot != lead_) return;
  swap_why_ = why;
  on(!taken ? SwapEvent::not_taken : needs_start ? SwapEvent::needs_start : SwapEvent::taken, why);
}

bool Minder::sound(const One& one) const {
  const bool mute = one.asked > one.ended && now_ - one.mute_since >= policy_.mute_after;
  return now_ - one.heard <= policy_.silent_after && now_ - one.healthy <= policy_.silent_after && !mute;
}

Health Minder::health_of(int slot) const {
  const One& one = at(slot);
  Health out;
  out.runs = one.life != Life::none;
  out.healthy = out.runs && one.life != Life::starting && now_ - one.healthy <= policy_.silent_after;
  if (!out.runs || one.asked == Duration{}) return out;
  const bool hears = now_ - one.heard <= policy_.silent_after;
  out.answers = hears && (one.ended >= one.asked || now_ - one.mute_since < policy_.mute_after)
                    ? Health::Answers::yes
                    : Health::Answers::no;
  return out;
}

// ---- time ----

void Minder::tick(Duration now, Duration wall) {
  const Duration gap = now - last_tick_;
  now_ = now;
  wall_ = wall;
  last_tick_ = now;
  if (gap > policy_.late) {
    // This process stood still; what it did not hear meanwhile says nothing about the gatherer.
    for (One& one : lives_) {
      for (Duration* when : {&one.since, &one.heard, &one.healthy, &one.mute_since}) *when += gap;
    }
    swap_since_ += gap;
    if (sound_now_) sound_since_ += gap;
  }
  for (int slot = 0; slot < kSlots; ++slot) {
    const One& one = at(slot);
    if (one.life == Life::serving && !sound(one)) on(slot, LifeEvent::silent);
    if (one.life == Life::hung && sound(one)) on(slot, LifeEvent::speaks);
    const Duration limit = one.life == Life::starting                             ? policy_.start_limit
                           : one.life == Life::hung                               ? policy_.hung_limit
                           : one.life == Life::stopping                           ? policy_.stop_limit
                           : one.life == Life::killed || one.life == Life::felled ? policy_.kill_limit
                                                                                  : Duration::max();
    if (limit != Duration::max() && now_ - one.since >= limit) on(slot, LifeEvent::limit);
  }
  if (will_ == Will::resting && now_ >= rest_until_) on(WillEvent::rested);
  const One& lead = at(lead_);
  if (kept_.outcome == Outcome::under_way && kept_.order && kept_.order->kind == Kind::run &&
      lead.life == Life::serving)
    finish(Outcome::done, "");
  if (swap_ == Swap::proving || swap_ == Swap::back_proving) {
    const std::string& wants = swap_ == Swap::proving ? target_.configuration : former_.configuration;
    // One that was asked has to have ended something, too.
    const bool answers = lead.asked == Duration{} || lead.ended >= lead.asked;
    const bool is = lead.life == Life::serving && sound(lead) && answers && lead.configuration == wants;
    if (is && !sound_now_) sound_since_ = now_;
    sound_now_ = is;
    if (sound_now_ && now_ - sound_since_ >= policy_.prove) {
      on(SwapEvent::sound);
    } else if (now_ - swap_since_ >= policy_.prove_limit) {
      swap_why_ = "it was not proved in time";
      on(SwapEvent::limit);
    }
  } else if ((swap_ == Swap::reading || swap_ == Swap::back_reading) &&
             now_ - swap_since_ >= policy_.read_limit) {
    swap_why_ = "it did not say what it made of the settings";
    on(SwapEvent::limit);
  } else if (swap_ == Swap::trial && now_ >= trial_until_) {
    swap_why_ = "it was not confirmed in time";
    on(SwapEvent::limit);
  }
  if (unsaved_) act(Act::What::keep);
  if (unlinked_) act(Act::What::link, 0, kept_.in_force);
}

void Minder::kept_written(bool written) { unsaved_ = !written; }

std::optional<Act> Minder::next() {
  if (acts_.empty()) return std::nullopt;
  Act out = std::move(acts_.front());
  acts_.pop_front();
  return out;
}

// ---- the machines ----

void Minder::act(Act::What what, int slot, const std::string& version, const std::string& why) {
  acts_.push_back({what, slot, version, why});
}

void Minder::save() {
  unsaved_ = true;
  act(Act::What::keep);
}

void Minder::finish(Outcome outcome, const std::string& why) {
  // A swap that no order is under way for (what runs is brought in line at a keeper's start) says nothing of
  // the last order, unless it ends badly.
  const bool open = kept_.outcome == Outcome::under_way || kept_.outcome == Outcome::on_trial ||
                    kept_.outcome == Outcome::returning;
  if ((open || outcome == Outcome::held || outcome == Outcome::returning) &&
      (kept_.outcome != outcome || kept_.why != why)) {
    kept_.outcome = outcome;
    kept_.why = why;
    kept_.since_ms = wall_ / 1ms;
    act(Act::What::note, lead_, kept_.in_force,
        std::string("order ") + name_of(outcome) + (why.empty() ? "" : ": " + why));
  }
  save();
}

void Minder::on(int slot, LifeEvent event, const std::string& why) {
  One& one = at(slot);
  const LifeNext& cell = kLives[place(one.life)][place(event)];
  if (cell.next != one.life) one.since = now_;
  one.life = cell.next;
  switch (cell.what) {
    case LifeDo::nothing:
      return;
    case LifeDo::impossible:
      impossible_ += 1;
      act(Act::What::note, slot, one.version,
          std::string("IMPOSSIBLE: event ") + std::to_string(place(event)) + " of a process in state " +
              name_of(one.life));
      return;
    case LifeDo::announce:
      return on(SwapEvent::serves);
    case LifeDo::say_hung:
      act(Act::What::note, slot, one.version, "hangs: it says or answers nothing, or ends no multiget");
      if (slot == lead_ && (swap_ == Swap::proving || swap_ == Swap::back_proving || swap_ == Swap::trial)) {
        swap_why_ = "it hung";
        on(SwapEvent::unsound);
      }
      return;
    case LifeDo::say_back:
      return act(Act::What::note, slot, one.version, "speaks again");
    case LifeDo::term:
      return act(Act::What::term, slot);
    case LifeDo::kill:
      one.since = now_;
      act(Act::What::note, slot, one.version,
          "ended by force: it did not come up, hung, or outstayed its stop");
      return act(Act::What::kill, slot);
    case LifeDo::gone:
      break;
    case LifeDo::fell:
      fell(slot, why);
      break;
  }
  // A slot is free again.
  if (waits_to_begin_ && *waits_to_begin_ == slot) begin_when_free();
  if (kept_.outcome == Outcome::under_way && kept_.order && kept_.order->kind == Kind::stop &&
      at(0).life == Life::none && at(1).life == Life::none)
    finish(Outcome::done, "");
}

// An end that nobody ordered, or a start that failed.
void Minder::fell(int slot, const std::string& how) {
  kept_.ends += 1;
  act(Act::What::note, slot, at(slot).version, "ended by itself: " + how);
  const bool beside = swap_ == Swap::beside || swap_ == Swap::back_beside;
  if (beside) {
    // Where the one that is to be followed ends, the other is coming all the same.
    if (waits_to_begin_ || slot != rising_) return;
    swap_why_ = "it did not come up: " + how;
    return on(SwapEvent::not_started);
  }
  if (slot != lead_) return;
  if (swap_ == Swap::reading || swap_ == Swap::back_reading) return on(SwapEvent::not_started);
  if (swap_ != Swap::none) {
    swap_why_ = "it ended: " + how;
    return on(SwapEvent::unsound);
  }
  const double lived = static_cast<double>((now_ - at(slot).begun).count());
  const double fades = static_cast<double>(policy_.strike_fades.count());
  kept_.strikes = std::max(kept_.strikes - lived / fades, 0.0) + 1;
  on(kept_.strikes >= policy_.most_strikes ? WillEvent::fell_too_often : WillEvent::fell);
}

void Minder::on(WillEvent event) {
  const WillNext& cell = kWills[place(will_)][place(event)];
  will_ = cell.next;
  switch (cell.what) {
    case WillDo::nothing:
      return;
    case WillDo::forgive:
      kept_.strikes = 0;
      kept_.gave_up = false;
      save();
      return begin_when_free();
    case WillDo::begin:
      return begin_when_free();
    case WillDo::stop:
      waits_to_begin_.reset();
      for (int slot = 0; slot < kSlots; ++slot) on(slot, LifeEvent::told_stop);
      return;
    case WillDo::rest: {
      // The first start after a sound life is at once; each further one in a row waits twice as long.
      const double doublings = std::min(kept_.strikes - 2, 20.0);
      Duration wait{};
      if (kept_.strikes > 1.5)
        wait = std::min(Duration(static_cast<std::int64_t>(static_cast<double>(policy_.first_wait.count()) *
                                                           std::exp2(doublings) * (1 + jitter_))),
                        policy_.longest_wait);
      rest_until_ = now_ + wait;
      act(Act::What::note, lead_, kept_.in_force, "starts again in " + std::to_string(wait / 1ms) + " ms");
      save();
      if (wait <= Duration::zero()) on(WillEvent::rested);
      return;
    }
    case WillDo::give_up:
      kept_.gave_up = true;
      act(Act::What::note, lead_, kept_.in_force, "given up: it ended too often; an order starts it again");
      if (kept_.outcome == Outcome::under_way) return finish(Outcome::held, "it ended too often");
      return save();
  }
}

void Minder::begin(int slot) {
  waits_to_begin_.reset();
  rising_ = slot;
  at(slot).version = kept_.in_force;
  // What it reads at its start goes by the link; where that cannot be set, nothing is begun.
  act(Act::What::link, 0, kept_.in_force);
  act(Act::What::begin, slot, kept_.in_force);
}

void Minder::begin_when_free() {
  if (will_ == Will::leaving || will_ == Will::off) return;
  const int slot = at(lead_).life == Life::none ? lead_ : 1 - lead_;
  if (at(slot).life == Life::none) return begin(slot);
  waits_to_begin_ = slot;
  on(slot, LifeEvent::told_stop);
}

// The process that serves has the program already, so that reading the settings anew is all that is needed.
bool Minder::settings_suffice(const VersionFacts& facts) const {
  const One& lead = at(lead_);
  return (lead.life == Life::serving || lead.life == Life::hung) && lead.facts.program == facts.program;
}

// What is in force is the former version by now.
void Minder::bring_back(Swap reads, Swap begins) {
  swap_since_ = now_;
  sound_now_ = false;
  const bool suffices = settings_suffice(former_);
  swap_ = suffices ? reads : begins;
  if (suffices) return act(Act::What::hup, lead_);
  begin_when_free();
}

void Minder::go(const char* to_what) {
  swap_since_ = now_;
  sound_now_ = false;
  act(Act::What::link, 0, kept_.in_force);
  act(Act::What::note, lead_, kept_.in_force, to_what);
}

void Minder::on(SwapEvent event, const std::string& why) {
  const SwapNext& cell = kSwaps[place(swap_)][place(event)];
  const Swap from = swap_;
  switch (cell.what) {
    case SwapDo::nothing:
      return;
    case SwapDo::impossible:
      impossible_ += 1;
      act(Act::What::note, lead_, kept_.in_force,
          std::string("IMPOSSIBLE: event ") + std::to_string(place(event)) + " of a swap in state " +
              name_of(swap_));
      return;
    case SwapDo::go: {
      const bool reads = settings_suffice(target_);
      swap_ = reads ? cell.reads : cell.begins;
      go("is brought in force");
      on(WillEvent::begins);
      if (reads) return act(Act::What::hup, lead_);
      return begin_when_free();
    }
    case SwapDo::begin:
      swap_ = cell.begins;
      swap_since_ = now_;
      return begin_when_free();
    case SwapDo::prove:
      at(lead_).version = kept_.in_force;
      at(lead_).asked = at(lead_).ended = Duration{};
      act(Act::What::label, lead_, kept_.in_force);
      swap_ = cell.begins;
      swap_since_ = now_;
      sound_now_ = false;
      return;
    case SwapDo::follow: {
      swap_ = cell.begins;
      swap_since_ = now_;
      sound_now_ = false;
      if (rising_ != lead_) {
        on(lead_, LifeEvent::told_stop);
        lead_ = rising_;
      }
      return;
    }
    case SwapDo::complete:
      if (kept_.order && kept_.order->kind == Kind::use && kept_.order->trial > Duration::zero()) {
        swap_ = Swap::trial;
        trial_until_ = now_ + kept_.order->trial;
        return finish(Outcome::on_trial, "");
      }
      swap_ = Swap::none;
      return finish(Outcome::done, "");
    case SwapDo::confirm:
      swap_ = Swap::none;
      return finish(Outcome::done, "");
    case SwapDo::refuse:
    case SwapDo::stand:
    case SwapDo::go_back: {
      if (!why.empty()) swap_why_ = why;
      const One& lead = at(lead_);
      if (kept_.former.empty() || kept_.former == kept_.in_force) {
        // There is nothing to go back to: it runs on as it is, with starts and waits.
        swap_ = Swap::none;
        finish(Outcome::held, swap_why_ + "; there is no former version");
        if (lead.life == Life::none) on(WillEvent::fell);
        return;
      }
      // What failed is not what anything goes back to later.
      kept_.in_force = std::exchange(kept_.former, std::string());
      go(("goes back: " + swap_why_).c_str());
      const bool untouched = cell.what != SwapDo::go_back && lead.life == Life::serving &&
                             lead.facts.program == former_.program &&
                             lead.configuration == former_.configuration;
      if (untouched) {
        // The former one has served on all the time.
        swap_ = Swap::none;
        return finish(cell.what == SwapDo::refuse ? Outcome::refused : Outcome::back, swap_why_);
      }
      finish(Outcome::returning, swap_why_);
      return bring_back(Swap::back_reading, Swap::back_beside);
    }
    case SwapDo::returned:
      swap_ = Swap::none;
      return finish(Outcome::back, swap_why_);
    case SwapDo::hold:
      swap_ = Swap::none;
      finish(Outcome::held, swap_why_ + "; the way back failed as well");
      if (at(lead_).life == Life::none) {
        kept_.strikes += 1;
        on(WillEvent::fell);
      }
      return;
    case SwapDo::abandon:
      swap_ = Swap::none;
      waits_to_begin_.reset();
      if (from != Swap::none) act(Act::What::note, lead_, kept_.in_force, "the swap was given up: stopped");
      return;
  }
}

}  // namespace marbledyke::keeper
