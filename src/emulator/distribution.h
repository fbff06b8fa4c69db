// Control nodes and receivers of settings in virtual time: the shipped decisions of both sides, with messages
// that take a while, nodes that die, hang and come back, and cuts. Seeded; the same every time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "distribution/publisher.h"
#include "distribution/receiver.h"

namespace marbledyke::emulator {

// A revision with its digest, of the fleet "f".
distribution::Revision emulated_revision(std::int64_t index, double share = 1);

class DistributionWorld {
 public:
  struct Options {
    std::size_t nodes = 6, regions = 2, receivers = 12;
    bool nodes_follow = true;  // each other, for what they missed
    std::uint32_t seed = 1;
  };
  explicit DistributionWorld(const Options& options);
  ~DistributionWorld();
  DistributionWorld(const DistributionWorld&) = delete;
  DistributionWorld& operator=(const DistributionWorld&) = delete;

  Duration now() const { return now_; }
  void run_for(Duration time);
  // Until it holds, asked every 10 ms; how long that took, or none where the limit came first.
  std::optional<Duration> run_until(Duration limit, const std::function<bool()>& holds);

  enum class Stop { none, before_telling };  // `before_telling`: on its disk, and killed at once
  void learn(std::size_t node, const distribution::Revision& revision, Stop stop = Stop::none);
  void kill(std::size_t node);   // its connections break, and new ones are refused
  void start(std::size_t node);  // with what is on its disk
  void hang(std::size_t node, bool on);
  void cut_receiver(std::size_t receiver, bool on);       // from all nodes
  void cut_regions(bool on);                              // from each other
  void refuse(std::size_t receiver, std::int64_t index);  // that revision, by the gatherer's own rules

  std::size_t receivers() const;
  const distribution::Receiver& receiver(std::size_t i) const;
  std::int64_t held(std::size_t i) const;
  bool all_hold(std::int64_t index) const;
  distribution::Summary summary(std::size_t node);
  std::uint64_t older() const { return older_; }  // applied after a newer one
  std::uint64_t impossible() const;               // events at receivers that cannot come
  // The most calls that began within any 100 ms from `since` on.
  std::size_t most_calls_in_100_ms(Duration since) const;

 private:
  struct Node;
  struct Watcher;  // a receiver, or a node's follower of a peer
  void at(Duration when, std::function<void()> what);
  Duration delay();
  Watcher& add_watcher(distribution::Receiver::Identity identity, std::vector<std::size_t> nodes,
                       std::size_t preferred, std::optional<distribution::Revision> held, std::size_t region);
  void carry_out(Watcher& watcher);
  void call(Watcher& watcher, const distribution::ReceiverAct::Call& act);
  void apply(Watcher& watcher, const distribution::Revision& revision);
  void arrive(Watcher& watcher, std::uint64_t call, std::size_t node, const distribution::WatchCall& what);
  void fail(Watcher& watcher, std::uint64_t call);
  void serve(Node& node);
  bool reaches(const Watcher& watcher, const Node& node) const;
  void follow(Node& node);
  void end_followers(Node& node);
  void publish(Node& node, const distribution::Revision& revision);

  Options options_;
  std::mt19937 chance_;
  Duration now_{};
  std::multimap<Duration, std::function<void()>> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Watcher>> watchers_;  // the receivers come first
  std::set<std::pair<std::size_t, std::int64_t>> refusals_;
  bool regions_cut_ = false;
  std::uint64_t next_call_ = 1, older_ = 0;
  std::vector<Duration> calls_;  // when each of a receiver began
};

}  // namespace marbledyke::emulator
