// Small worlds of shipped state machines for a model checker: a world is everything that the machines, and
// what lies between them, have at one moment; each thing that may happen next is a choice. Spin (worlds.pml)
// walks over all choices of all worlds; here worlds that are alike are one, and get a number. Machines are
// the shipped objects, not models of them. A world that breaks what must hold prints how it came about, in
// the project's words.
#pragma once

#include <memory>
#include <string>
#include <vector>

namespace marbledyke::explore {

inline constexpr int kChoices = 64;

class World {
 public:
  virtual ~World() = default;
  virtual std::unique_ptr<World> copy() const = 0;
  virtual bool can(int choice) const = 0;
  virtual void take(int choice) = 0;
  virtual std::string name(int choice) const = 0;
  // All that decides what can come of it: two worlds of the same line are one.
  virtual std::string line() const = 0;
  // What must hold and does not; empty: nothing.
  virtual std::string broken() const = 0;
  // It may stay as it is. A world without a choice that may not is stuck.
  virtual bool may_end() const = 0;
};

// Of the world that is linked. `plant` names a mistake that is built in on purpose; empty: none.
std::unique_ptr<World> first_world(const std::string& plant);
// With what each must come to: part of what is said of the world that breaks.
std::vector<std::string> plants();

}  // namespace marbledyke::explore

// For Spin. The plant is taken from MARBLEDYKE_PLANT.
extern "C" {
int explore_begin(void);
int explore_can(int world, int choice);
int explore_step(int world, int choice);
int explore_broken(int world);
int explore_rests(int world);  // nothing can happen, and that is well
}
