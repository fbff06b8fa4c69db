#include "keeper/settings_holder.h"

#include <utility>

namespace marbledyke::keeper {
namespace {

constexpr std::size_t kPhases = 5;
constexpr std::size_t kEvents = 8;
constexpr const char* kPhaseNames[kPhases] = {"idle", "waiting", "trying", "kept", "probation"};

enum class Do {
  nothing,
  impossible,
  begin_try,  // write it, have the gatherer read it
  look,       // a gatherer serves over what was kept: it runs it, or is told to read it
  keep,       // write it, for the next start
  accept,     // it is good
  go_back,    // put back what was there before
  read_back,  // and have the gatherer read that
  restore,    // it had been good, and is no more
  give_up     // it was never written
};

using P = HolderPhase;

template <typename E>
constexpr std::size_t place(E e) {
  return static_cast<std::size_t>(e);
}

struct Next {
  Do what;
  P next;
};
constexpr Next ignore(P phase) { return {Do::nothing, phase}; }
constexpr Next never(P phase) { return {Do::impossible, phase}; }

// offered, ready, absent, taken, refused, stopped, fell, limit
constexpr Next kTable[kPhases][kEvents] = {
    /* idle */
    {{Do::nothing, P::waiting},
     ignore(P::idle),
     ignore(P::idle),
     ignore(P::idle),
     ignore(P::idle),
     ignore(P::idle),
     ignore(P::idle),
     never(P::idle)},
    /* waiting */
    {never(P::waiting),
     {Do::begin_try, P::trying},
     {Do::keep, P::kept},
     ignore(P::waiting),
     ignore(P::waiting),
     ignore(P::waiting),
     ignore(P::waiting),
     {Do::give_up, P::idle}},
    /* trying */
    {never(P::trying),
     ignore(P::trying),
     ignore(P::trying),
     {Do::accept, P::probation},
     {Do::go_back, P::idle},
     {Do::keep, P::kept},
     {Do::go_back, P::idle},
     {Do::read_back, P::idle}},
    /* kept */
    {{Do::nothing, P::waiting},
     {Do::look, P::trying},
     {Do::keep, P::kept},
     ignore(P::kept),
     ignore(P::kept),
     ignore(P::kept),
     {Do::go_back, P::idle},
     never(P::kept)},
    /* probation */
    {{Do::nothing, P::waiting},
     ignore(P::probation),
     ignore(P::probation),
     ignore(P::probation),
     ignore(P::probation),
     {Do::nothing, P::idle},
     {Do::restore, P::idle},
     {Do::nothing, P::idle}}};

bool same(const std::optional<distribution::Revision>& a, const std::optional<distribution::Revision>& b) {
  return a == b;
}

Duration limit_of(P phase, const HolderPolicy& policy) {
  if (phase == P::waiting) return policy.wait_limit;
  if (phase == P::trying) return policy.read_limit;
  if (phase == P::probation) return policy.probation;
  return Duration::max();
}

}  // namespace

const char* name_of(HolderPhase phase) { return kPhaseNames[place(phase)]; }

// ---- what it is told ----

void SettingsHolder::resume(std::optional<Revision> settings, std::optional<Revision> good, Duration now) {
  now_ = since_ = now;
  good_ = std::move(good);
  settings_ = good_;
  back_ = good_;
  const bool newer = settings && (!good_ || settings->index > good_->index);
  if (newer) {
    settings_ = std::move(settings);
    phase_ = HolderPhase::kept;
    return;
  }
  if (!same(settings, good_)) put(good_);
  act(HolderAct::What::watch, good_);
  watched_ = true;
}

void SettingsHolder::offered(const Revision& revision) {
  if (phase_ == HolderPhase::trying && looking_) {
    next_offer_ = revision;
    return;
  }
  awaited_ = true;
  if (refusal_ && refusal_->index == revision.index && refusal_->digest == revision.digest)
    return tell_refused(revision, refusal_->why);
  if (settings_ && *settings_ == revision) return tell_applied();
  if (settings_ && revision.index <= settings_->index)
    return tell_refused(revision, "is not newer than revision " + std::to_string(settings_->index));
  if (phase_ == HolderPhase::waiting || phase_ == HolderPhase::trying) return on(HolderEvent::offered);
  offered_ = revision;
  offered_since_ = now_;
  on(HolderEvent::offered);
  tick(now_, host_);
}

void SettingsHolder::tick(Duration now, Host host) {
  const Duration gap = now - now_;
  now_ = now;
  host_ = host;
  if (gap > policy_.late) {
    since_ += gap;
    offered_since_ += gap;
  }
  if (now_ >= write_next_) {
    if (unsaved_ && phase_ != HolderPhase::waiting) act(HolderAct::What::write, settings_);
    if (good_unsaved_) act(HolderAct::What::write_good, good_);
  }
  // While another one waits, the one that a gatherer runs proves itself.
  if (phase_ == HolderPhase::waiting && !same(settings_, good_) && settings_ &&
      running_ == settings_->index && now_ - running_since_ >= policy_.probation)
    put_good(settings_);
  if (next_offer_ && phase_ != HolderPhase::trying) {
    const Revision next = *std::exchange(next_offer_, std::nullopt);
    return offered(next);
  }
  if (running_ && settings_ && running_ == settings_->index) {
    if (phase_ == HolderPhase::kept) on(HolderEvent::ready);
    if (phase_ == HolderPhase::trying) on(HolderEvent::taken);
  }
  const bool held_up = phase_ == HolderPhase::waiting && now_ < write_next_;
  if ((phase_ == HolderPhase::waiting && !held_up) || phase_ == HolderPhase::kept) {
    if (host == Host::ready) on(HolderEvent::ready);
    if (host == Host::absent) on(HolderEvent::absent);
  }
  const Duration begun = phase_ == HolderPhase::waiting ? offered_since_ : since_;
  if (now_ - begun < limit_of(phase_, policy_)) return;
  const std::string held_up_by =
      write_wrong_.empty() ? "a swap of versions did not end in time" : write_wrong_;
  on(HolderEvent::limit,
     phase_ == HolderPhase::waiting ? held_up_by : "the gatherer did not say what it made of the settings");
}

void SettingsHolder::runs(std::optional<std::int64_t> index) {
  if (running_ != index) running_since_ = now_;
  running_ = index;
}

void SettingsHolder::taken(std::optional<std::int64_t> index) {
  runs(index);
  if (phase_ != HolderPhase::trying) return;
  if (!index)
    return on(HolderEvent::refused, "the gatherer was started without settings for the fleet; start it anew");
  if (*index == settings_->index) on(HolderEvent::taken);
}

void SettingsHolder::refused(const std::string& why) { on(HolderEvent::refused, why); }

void SettingsHolder::ended(bool ordered, const std::string& how) {
  running_.reset();
  on(ordered ? HolderEvent::stopped : HolderEvent::fell, "the gatherer ended with these settings: " + how);
}

void SettingsHolder::written(HolderAct::What what, const std::string& wrong) {
  const bool good = wrong.empty();
  (what == HolderAct::What::write ? unsaved_ : good_unsaved_) = !good;
  const bool attempted = what == HolderAct::What::write && std::exchange(attempting_, false);
  if (good) {
    if (!unsaved_ && !good_unsaved_) write_wrong_.clear();
    return;
  }
  write_wrong_ = wrong;
  write_next_ = now_ + policy_.write_again;
  if (attempted) take_back_attempt();
}

// Nothing is read or told on the strength of what could not be written; it is tried again within the wait's
// limit.
void SettingsHolder::take_back_attempt() {
  for (const HolderAct& one : acts_) {
    awaited_ = awaited_ || one.what == HolderAct::What::applied;
    watched_ = watched_ && one.what != HolderAct::What::watch;
  }
  acts_.clear();
  offered_ = std::exchange(settings_, back_);
  back_ = good_;
  phase_ = HolderPhase::waiting;
}

std::optional<HolderAct> SettingsHolder::next() {
  if (acts_.empty()) return std::nullopt;
  HolderAct out = std::move(acts_.front());
  acts_.pop_front();
  return out;
}

// ---- the machine ----

void SettingsHolder::act(HolderAct::What what, std::optional<Revision> revision, const std::string& why) {
  acts_.push_back({what, std::move(revision), why});
}

void SettingsHolder::put(std::optional<Revision> settings) {
  settings_ = std::move(settings);
  act(HolderAct::What::write, settings_);
}

void SettingsHolder::put_good(std::optional<Revision> good) {
  good_ = std::move(good);
  act(HolderAct::What::write_good, good_);
}

HolderPhase SettingsHolder::resting_phase() const {
  return same(settings_, good_) ? HolderPhase::idle : HolderPhase::kept;
}

void SettingsHolder::on(HolderEvent event, const std::string& why) {
  const Next& cell = kTable[place(phase_)][place(event)];
  const HolderPhase before = phase_;
  phase_ = cell.next;
  if (phase_ != before) since_ = now_;
  switch (cell.what) {
    case Do::nothing:
      return;
    case Do::impossible:
      impossible_ += 1;
      return act(HolderAct::What::note, {},
                 "IMPOSSIBLE: event " + std::to_string(place(event)) + " in phase " + name_of(before));
    case Do::begin_try:
      return begin_try();
    case Do::look:
      if (running_ == settings_->index) {
        phase_ = HolderPhase::probation;
        return accept();
      }
      back_ = good_;
      looking_ = true;
      return act(HolderAct::What::hup);
    case Do::keep:
      return keep();
    case Do::accept:
      return accept();
    case Do::go_back:
      return go_back(why);
    case Do::read_back:
      // Nothing speaks against one that was kept, and it may be in force: it is read once more.
      if (std::exchange(looking_, false)) {
        phase_ = HolderPhase::kept;
        return keep();
      }
      go_back(why);
      return act(HolderAct::What::hup);
    case Do::restore:
      return restore(why);
    case Do::give_up: {
      const Revision given_up = *std::exchange(offered_, std::nullopt);
      phase_ = resting_phase();
      put(settings_);
      return tell_refused(given_up, why);
    }
  }
}

void SettingsHolder::begin_try() {
  if (settings_ && running_ == settings_->index && !same(settings_, good_)) put_good(settings_);
  back_ = settings_;
  attempting_ = true;
  looking_ = false;
  put(std::exchange(offered_, std::nullopt));
  act(HolderAct::What::hup);
}

void SettingsHolder::keep() {
  attempting_ = offered_.has_value();
  if (offered_) {
    back_ = settings_;
    put(std::exchange(offered_, std::nullopt));
  }
  tell_applied();
}

void SettingsHolder::accept() {
  back_ = good_;
  put_good(settings_);
  tell_applied();
}

void SettingsHolder::go_back(const std::string& why) {
  const Revision failed = *settings_;
  put(back_);
  phase_ = resting_phase();
  back_ = good_;
  tell_refused(failed, why);
}

void SettingsHolder::restore(const std::string& why) {
  const Revision failed = *settings_;
  put(back_);
  put_good(back_);
  tell_refused(failed, why);
}

void SettingsHolder::tell_applied() {
  if (std::exchange(awaited_, false)) return act(HolderAct::What::applied);
  if (watched_) return;
  watched_ = true;
  act(HolderAct::What::watch, settings_);
}

// One that the receiver has been told is applied is taken back by another receiver, which holds what was put
// back.
void SettingsHolder::tell_refused(const Revision& revision, const std::string& why) {
  refusal_ = Refusal{revision.index, revision.digest, why};
  act(HolderAct::What::note, {}, "revision " + std::to_string(revision.index) + " refused: " + why);
  if (std::exchange(awaited_, false)) return act(HolderAct::What::refused, {}, why);
  watched_ = true;
  next_offer_.reset();
  act(HolderAct::What::watch, settings_);
}

}  // namespace marbledyke::keeper
