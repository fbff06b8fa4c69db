#include "lab/scale/options.h"

namespace marbledyke::lab::scale {

ListsPlan lists_plan(const Options& options) {
  if (options.quick) return {{50, 200}, 1, 20, 1};
  return {{100, 400, 1300, 3900, 20'000}, 5, 300, 5};
}

LoadPlan load_plan(const Options& options) {
  if (options.quick) return {{118}, {20}, 1, 2, 1};
  return {{300, 900, 3900}, {20, 40, 150}, 3, 10, 3};
}

}  // namespace marbledyke::lab::scale
