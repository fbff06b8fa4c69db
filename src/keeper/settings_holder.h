// What a keeper decides about the fleet's settings, without I/O: when a revision is written for the gatherer
// and the gatherer told to read it, when it counts as good, and when the last good one is put back. One
// machine, a table of phase and event. It is told what happened and what time it is; what it decides is
// pulled with next().
//
// Two records survive the keeper: `settings`, which gatherers read, and `good`, the last one that a gatherer
// took. `settings` is written first, `good` once it was taken. A keeper that ends in between finds `settings`
// newer than `good` and has the gatherer read it once more.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "distribution/revision.h"
#include "model/plain.h"

namespace marbledyke::keeper {

struct HolderPolicy {
  Duration read_limit{5'000'000};   // from SIGHUP until the gatherer says what it made of it
  Duration wait_limit{65'000'000};  // for the end of a swap of versions, which takes 60 s at most, both ways
  Duration probation{2'000'000};  // a gatherer that ends by itself so soon after is taken to have ended by it
  Duration late{1'000'000};       // a turn that comes so late: the keeper itself stood still
  Duration write_again{1'000'000};  // after a write that failed
};

// What stands in the way of telling the gatherer: nothing, a swap or start under way, or that none runs.
enum class Host { absent, busy, ready };
enum class HolderPhase {
  idle,      // what is written is good, or nothing is
  waiting,   // a revision was offered; the host is busy
  trying,    // written, and the gatherer told to read it
  kept,      // written; the next gatherer that starts proves it
  probation  // good, and given up again where the gatherer ends right away
};
enum class HolderEvent { offered, ready, absent, taken, refused, stopped, fell, limit };
const char* name_of(HolderPhase phase);

struct HolderAct {
  enum class What {
    write,       // `revision` into `settings`; none: remove it
    write_good,  // `revision` into `good`; none: remove it
    hup,
    applied,  // tell the receiver
    refused,  // tell the receiver, with `why`
    watch,    // a receiver that holds `revision`, instead of the present one if there is one
    note      // for the log: `why`
  };
  What what = What::note;
  std::optional<distribution::Revision> revision;
  std::string why;
};

class SettingsHolder {
 public:
  using Revision = distribution::Revision;
  struct Refusal {
    std::int64_t index = 0;
    std::string digest, why;
  };

  explicit SettingsHolder(const HolderPolicy& policy) : policy_(policy) {}

  // What it finds at the keeper's start; a record that is missing or damaged is none. Once, before all else.
  void resume(std::optional<Revision> settings, std::optional<Revision> good, Duration now);

  void offered(const Revision& revision);  // by the receiver, which waits for applied or refused
  void tick(Duration now, Host host);
  // The gatherer that serves says which revision it runs; none: it knows nothing of revisions.
  void runs(std::optional<std::int64_t> index);
  // What it made of SIGHUP.
  void taken(std::optional<std::int64_t> index);
  void refused(const std::string& why);
  // The gatherer that served, or was to serve, has ended; `ordered`: by the keeper's order, or from outside.
  void ended(bool ordered, const std::string& how);
  // What became of write and write_good.
  void written(HolderAct::What what, const std::string& wrong);

  std::optional<HolderAct> next();

  HolderPhase phase() const { return phase_; }
  bool trying() const { return phase_ == HolderPhase::trying; }
  const std::optional<Revision>& settings() const { return settings_; }
  const std::optional<Revision>& good() const { return good_; }
  const std::optional<Refusal>& refusal() const { return refusal_; }  // the newest
  std::optional<std::int64_t> running() const { return running_; }
  const std::string& write_wrong() const { return write_wrong_; }
  std::uint64_t impossible() const { return impossible_; }  // an event came that cannot come in that phase

 private:
  void on(HolderEvent event, const std::string& why = {});
  void act(HolderAct::What what, std::optional<Revision> revision = {}, const std::string& why = {});
  void put(std::optional<Revision> settings);
  void put_good(std::optional<Revision> good);
  void begin_try();
  void keep();
  void take_back_attempt();
  void accept();
  void go_back(const std::string& why);
  void restore(const std::string& why);
  void tell_applied();
  void tell_refused(const Revision& revision, const std::string& why);
  HolderPhase resting_phase() const;

  HolderPolicy policy_;
  Duration now_{}, since_{};
  Host host_ = Host::busy;
  HolderPhase phase_ = HolderPhase::idle;
  std::optional<Revision> settings_, good_;  // as they are to be on disk
  std::optional<Revision> offered_;          // not written yet, while waiting
  std::optional<Revision> next_offer_;       // that came while one that was kept is read once more
  std::optional<Revision> back_;             // what is put back where `settings_` fails
  std::optional<Refusal> refusal_;
  std::optional<std::int64_t> running_;
  bool awaited_ = false;  // the receiver waits for what becomes of the newest
  bool watched_ = false;  // there is a receiver
  bool unsaved_ = false, good_unsaved_ = false;
  bool attempting_ = false;  // a new revision is being written
  bool looking_ = false;     // what is tried was kept before
  Duration offered_since_{}, running_since_{};
  Duration write_next_{};
  std::string write_wrong_;
  std::uint64_t impossible_ = 0;
  std::deque<HolderAct> acts_;
};

}  // namespace marbledyke::keeper
