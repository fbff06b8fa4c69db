#include "emulator/distribution.h"

#include <algorithm>

namespace marbledyke::emulator {
namespace {

using namespace std::chrono_literals;
using namespace distribution;

constexpr Duration kShortestDelay = 1ms;  // of a message
constexpr Duration kLongestDelay = 5ms;
constexpr Duration kLongestApply = 20ms;

}  // namespace

Revision emulated_revision(std::int64_t index, double share) {
  Revision out;
  out.index = index;
  out.fleet = "f";
  out.settings = "{\"index\":" + std::to_string(index) + "}";
  out.share = share;
  out.author = "emulator";
  out.digest = digest_of(out);
  return out;
}

struct DistributionWorld::Node {
  std::size_t number = 0, region = 0;
  bool up = true, hangs = false;
  std::optional<Revision> disk;
  std::unique_ptr<Publisher> publisher = std::make_unique<Publisher>();
  std::map<std::uint64_t, Watcher*> callers;  // by call
  std::vector<Watcher*> followers;
  std::optional<Duration> wake;
};

struct DistributionWorld::Watcher {
  std::size_t number = 0, region = 0;
  Node* owner = nullptr;           // of a follower
  std::vector<std::size_t> nodes;  // that it knows, by their place
  std::unique_ptr<Receiver> receiver;
  bool cut = false, gone = false;
  std::uint64_t call = 0, rest = 0;  // that is out
  Duration patience{};
  std::int64_t applied = 0;  // the highest index ever
};

DistributionWorld::DistributionWorld(const Options& options) : options_(options), chance_(options.seed) {
  for (std::size_t i = 0; i < options_.nodes; ++i) {
    auto node = std::make_unique<Node>();
    node->number = i;
    node->region = i * options_.regions / options_.nodes;
    nodes_.push_back(std::move(node));
  }
  for (std::size_t i = 0; i < options_.receivers; ++i) {
    const std::size_t region = i % options_.regions;
    std::vector<std::size_t> known;
    for (const auto& node : nodes_) known.push_back(node->number);
    std::stable_partition(known.begin(), known.end(),
                          [&](std::size_t node) { return nodes_[node]->region == region; });
    const std::size_t preferred = options_.nodes / options_.regions;
    add_watcher({"r" + std::to_string(i), "z", "f", CallerRole::receiver}, known, preferred, std::nullopt,
                region);
  }
  if (options_.nodes_follow) {
    for (const auto& node : nodes_) follow(*node);
  }
}

DistributionWorld::~DistributionWorld() = default;

void DistributionWorld::at(Duration when, std::function<void()> what) {
  events_.emplace(when, std::move(what));
}

Duration DistributionWorld::delay() {
  return Duration(
      std::uniform_int_distribution<std::int64_t>(kShortestDelay.count(), kLongestDelay.count())(chance_));
}

DistributionWorld::Watcher& DistributionWorld::add_watcher(Receiver::Identity identity,
                                                           std::vector<std::size_t> nodes,
                                                           std::size_t preferred,
                                                           std::optional<Revision> held, std::size_t region) {
  auto made = std::make_unique<Watcher>();
  Watcher& watcher = *made;
  watcher.number = watchers_.size();
  watcher.region = region;
  watcher.nodes = std::move(nodes);
  watcher.receiver = std::make_unique<Receiver>(std::move(identity), watcher.nodes.size(), preferred,
                                                std::move(held), static_cast<std::uint32_t>(chance_()));
  watchers_.push_back(std::move(made));
  watcher.receiver->start();
  carry_out(watcher);
  return watcher;
}

void DistributionWorld::follow(Node& node) {
  for (const auto& peer : nodes_) {
    if (peer->number == node.number) continue;
    Watcher& follower = add_watcher({"node:" + std::to_string(node.number), "z", "f", CallerRole::node},
                                    {peer->number}, 1, node.disk, node.region);
    follower.owner = &node;
    node.followers.push_back(&follower);
  }
}

void DistributionWorld::run_for(Duration time) {
  const Duration until = now_ + time;
  while (!events_.empty() && events_.begin()->first <= until) {
    now_ = std::max(now_, events_.begin()->first);
    const auto what = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    what();
  }
  now_ = until;
}

std::optional<Duration> DistributionWorld::run_until(Duration limit, const std::function<bool()>& holds) {
  const Duration from = now_;
  while (!holds()) {
    if (now_ - from >= limit) return std::nullopt;
    run_for(10ms);
  }
  return now_ - from;
}

// ---- watchers ----

void DistributionWorld::carry_out(Watcher& watcher) {
  while (const auto act = watcher.receiver->next()) {
    if (const auto* const called = std::get_if<ReceiverAct::Call>(&act->what)) call(watcher, *called);
    if (const auto* const applies = std::get_if<ReceiverAct::Apply>(&act->what))
      apply(watcher, applies->revision);
    if (const auto* const rests = std::get_if<ReceiverAct::Rest>(&act->what)) {
      at(now_ + rests->wait, [this, &watcher] {
        if (watcher.gone) return;
        watcher.receiver->rested();
        carry_out(watcher);
      });
    }
  }
}

void DistributionWorld::call(Watcher& watcher, const ReceiverAct::Call& act) {
  const std::uint64_t number = watcher.call = next_call_++;
  const std::size_t node = watcher.nodes.at(act.node);
  if (watcher.owner == nullptr) calls_.push_back(now_);
  at(now_ + act.patience, [this, &watcher, number, node] {
    if (watcher.gone || watcher.call != number) return;
    watcher.call = 0;
    nodes_[node]->publisher->left(number);
    nodes_[node]->callers.erase(number);
    watcher.receiver->silent();
    carry_out(watcher);
  });
  at(now_ + delay(),
     [this, &watcher, number, node, what = act.call] { arrive(watcher, number, node, what); });
}

void DistributionWorld::arrive(Watcher& watcher, std::uint64_t number, std::size_t place,
                               const WatchCall& what) {
  Node& node = *nodes_[place];
  if (watcher.gone || watcher.call != number || !reaches(watcher, node)) return;
  if (!node.up) return at(now_ + delay(), [this, &watcher, number] { fail(watcher, number); });
  if (node.hangs) return;  // taken by its machine, read by nobody
  node.publisher->tick(now_);
  node.callers[number] = &watcher;
  // Through the wire's form, so that this is tried as well.
  if (!node.publisher->called(number, read_watch_call(query_of(what)))) fail(watcher, number);
  serve(node);
}

void DistributionWorld::fail(Watcher& watcher, std::uint64_t number) {
  if (watcher.gone || watcher.call != number) return;
  watcher.call = 0;
  watcher.receiver->failed("refused");
  carry_out(watcher);
}

void DistributionWorld::apply(Watcher& watcher, const Revision& revision) {
  const Duration takes(std::uniform_int_distribution<std::int64_t>(0, kLongestApply.count())(chance_));
  at(now_ + takes, [this, &watcher, revision] {
    if (watcher.gone) return;
    if (refusals_.contains({watcher.number, revision.index})) {
      watcher.receiver->refused("tick_ms: below 1");
      return carry_out(watcher);
    }
    if (revision.index < watcher.applied) older_ += 1;
    watcher.applied = std::max(watcher.applied, revision.index);
    if (watcher.owner != nullptr) publish(*watcher.owner, revision);
    watcher.receiver->applied();
    carry_out(watcher);
  });
}

bool DistributionWorld::reaches(const Watcher& watcher, const Node& node) const {
  if (watcher.cut) return false;
  return !regions_cut_ || watcher.region == node.region;
}

// ---- nodes ----

void DistributionWorld::publish(Node& node, const Revision& revision) {
  if (!node.up || node.hangs || (node.disk && node.disk->index >= revision.index)) return;
  node.disk = revision;
  node.publisher->tick(now_);
  node.publisher->chosen(revision);
  serve(node);
}

void DistributionWorld::learn(std::size_t place, const Revision& revision, Stop stop) {
  Node& node = *nodes_[place];
  if (!node.up || node.hangs) return;
  if (stop == Stop::none) return publish(node, revision);
  node.disk = revision;
  kill(place);
}

void DistributionWorld::serve(Node& node) {
  while (auto due = node.publisher->next()) {
    Watcher* const watcher = node.callers.at(due->caller);
    node.callers.erase(due->caller);
    const std::size_t place = node.number;
    at(now_ + delay(), [this, watcher, place, number = due->caller, answer = std::move(due->answer)] {
      if (watcher->gone || watcher->call != number || !reaches(*watcher, *nodes_[place])) return;
      watcher->call = 0;
      watcher->receiver->answered(answer);
      carry_out(*watcher);
    });
  }
  const auto wakes = node.publisher->wakes();
  if (!wakes || (node.wake && *node.wake <= *wakes && *node.wake > now_)) return;
  node.wake = std::max(*wakes, now_);
  at(*node.wake, [this, &node] {
    node.wake.reset();
    if (!node.up || node.hangs) return;
    node.publisher->tick(now_);
    serve(node);
  });
}

void DistributionWorld::kill(std::size_t place) {
  Node& node = *nodes_[place];
  node.up = false;
  node.publisher = std::make_unique<Publisher>();
  for (const auto& [number, watcher] : node.callers) {
    if (!reaches(*watcher, node)) continue;
    at(now_ + delay(), [this, number = number, watcher = watcher] { fail(*watcher, number); });
  }
  node.callers.clear();
  end_followers(node);
}

void DistributionWorld::end_followers(Node& node) {
  for (Watcher* const follower : node.followers) follower->gone = true;
  node.followers.clear();
}

void DistributionWorld::start(std::size_t place) {
  Node& node = *nodes_[place];
  if (node.up) return;
  node.up = true;
  node.hangs = false;
  node.wake.reset();
  node.publisher->tick(now_);
  if (node.disk) node.publisher->chosen(*node.disk);
  if (options_.nodes_follow) follow(node);
}

// What came meanwhile and was not given up is read afterwards; here it is lost, which is the harder case.
void DistributionWorld::hang(std::size_t place, bool on) {
  Node& node = *nodes_[place];
  node.hangs = on;
  end_followers(node);
  if (on || !node.up) return;
  node.publisher->tick(now_);
  serve(node);
  if (options_.nodes_follow) follow(node);
}

void DistributionWorld::cut_receiver(std::size_t receiver, bool on) { watchers_.at(receiver)->cut = on; }
void DistributionWorld::cut_regions(bool on) { regions_cut_ = on; }
void DistributionWorld::refuse(std::size_t receiver, std::int64_t index) {
  refusals_.emplace(receiver, index);
}

// ---- what is seen ----

std::size_t DistributionWorld::receivers() const { return options_.receivers; }
const Receiver& DistributionWorld::receiver(std::size_t i) const { return *watchers_.at(i)->receiver; }

std::int64_t DistributionWorld::held(std::size_t i) const {
  const auto& held = receiver(i).held();
  return held ? held->index : 0;
}

bool DistributionWorld::all_hold(std::int64_t index) const {
  for (std::size_t i = 0; i < receivers(); ++i) {
    if (held(i) != index) return false;
  }
  return true;
}

Summary DistributionWorld::summary(std::size_t node) {
  nodes_[node]->publisher->tick(now_);
  return nodes_[node]->publisher->summary();
}

std::uint64_t DistributionWorld::impossible() const {
  std::uint64_t out = 0;
  for (const auto& watcher : watchers_) out += watcher->receiver->impossible();
  return out;
}

std::size_t DistributionWorld::most_calls_in_100_ms(Duration since) const {
  std::size_t most = 0;
  auto first = std::lower_bound(calls_.begin(), calls_.end(), since);
  for (auto last = first; last != calls_.end(); ++last) {
    while (*last - *first >= 100ms) ++first;
    most = std::max(most, static_cast<std::size_t>(last - first) + 1);
  }
  return most;
}

}  // namespace marbledyke::emulator
