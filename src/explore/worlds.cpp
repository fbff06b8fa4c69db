#include "explore/worlds.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <unordered_map>
#include <utility>

namespace marbledyke::explore {
namespace {

struct Known {
  std::unique_ptr<World> world;  // until its choices have been walked
  std::array<int, kChoices> next{};
  int from = -1, choice = -1;  // how it was first come to
  bool walked = false, broken = false, may_end = false;
};

class Worlds {
 public:
  ~Worlds() {
    std::printf("worlds %zu, choices %zu%s\n", known_.size(), choices_, said_ ? "" : ", nothing broken");
  }

  int begin() {
    const char* const plant = std::getenv("MARBLEDYKE_PLANT");
    return add(first_world(plant == nullptr ? "" : plant), -1, -1);
  }

  int step(int number, int choice) {
    walk(number);
    return known_[static_cast<std::size_t>(number)].next[static_cast<std::size_t>(choice)];
  }

  bool broken(int number) { return known_[static_cast<std::size_t>(number)].broken; }

  // A world without a choice is well if it may end; else how it got stuck is printed, once.
  bool rests(int number) {
    walk(number);
    const Known& one = known_[static_cast<std::size_t>(number)];
    for (const int next : one.next) {
      if (next >= 0) return false;
    }
    if (!one.may_end && !one.broken) tell(number, "nothing can happen any more");
    return one.may_end;
  }

 private:
  int add(std::unique_ptr<World> world, int from, int choice) {
    const auto [at, fresh] = numbers_.try_emplace(world->line(), static_cast<int>(known_.size()));
    if (!fresh) return at->second;
    Known one;
    one.from = from;
    one.choice = choice;
    one.may_end = world->may_end();
    const std::string broken = world->broken();
    one.broken = !broken.empty();
    one.world = std::move(world);
    known_.push_back(std::move(one));
    if (!broken.empty()) tell(at->second, broken);
    return at->second;
  }

  // What changes nothing is no choice, nor is anything in a world that is broken already.
  void walk(int number) {
    if (known_[static_cast<std::size_t>(number)].walked) return;
    std::array<int, kChoices> next;
    next.fill(-1);
    const std::unique_ptr<World> world = std::move(known_[static_cast<std::size_t>(number)].world);
    for (int choice = 0; choice < kChoices && !known_[static_cast<std::size_t>(number)].broken; ++choice) {
      if (!world->can(choice)) continue;
      std::unique_ptr<World> after = world->copy();
      after->take(choice);
      const int to = add(std::move(after), number, choice);
      if (to == number) continue;
      next[static_cast<std::size_t>(choice)] = to;
      ++choices_;
    }
    Known& one = known_[static_cast<std::size_t>(number)];
    one.next = next;
    one.walked = true;
  }

  // The first only: the others mostly follow from it.
  void tell(int number, const std::string& what) {
    if (std::exchange(said_, true)) return;
    std::printf("broken: %s\n", what.c_str());
    std::vector<int> path;
    for (int at = number; at >= 0; at = known_[static_cast<std::size_t>(at)].from) path.push_back(at);
    const char* const plant = std::getenv("MARBLEDYKE_PLANT");
    const std::unique_ptr<World> world = first_world(plant == nullptr ? "" : plant);
    for (std::size_t i = path.size(); i-- > 0;) {
      const int choice = known_[static_cast<std::size_t>(path[i])].choice;
      if (choice < 0) continue;
      std::printf("  %s\n", world->name(choice).c_str());
      world->take(choice);
    }
    std::fflush(stdout);
  }

  std::vector<Known> known_;
  std::unordered_map<std::string, int> numbers_;  // looked up only
  std::size_t choices_ = 0;
  bool said_ = false;
};

Worlds& worlds() {
  static Worlds all;
  return all;
}

}  // namespace
}  // namespace marbledyke::explore

using marbledyke::explore::worlds;

extern "C" {
int explore_begin(void) { return worlds().begin(); }
int explore_can(int world, int choice) { return worlds().step(world, choice) >= 0 ? 1 : 0; }
int explore_step(int world, int choice) { return worlds().step(world, choice); }
int explore_broken(int world) { return worlds().broken(world) ? 1 : 0; }
int explore_rests(int world) { return worlds().rests(world) ? 1 : 0; }
}
