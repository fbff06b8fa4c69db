// The aims of the design at its target size, and what a scale run says of each. Without I/O.
#pragma once

#include <string>
#include <vector>

#include "lab/scale/measured.h"

namespace marbledyke::lab::scale {

// A quantity that is not to pass a limit at the largest size measured.
struct Aim {
  std::string what_for;  // for people
  std::string part, what, unit;
  double limit = 0;
  int size = 0;  // 0: the largest
};
enum class Verdict { held, missed, not_measured };
const char* name_of(Verdict verdict);

struct Judged {
  Aim aim;
  Verdict verdict = Verdict::not_measured;
  int size = 0;
  double greatest = 0;  // of the runs
};
// In the order in which they are kept.
std::vector<Judged> judge_aims(const std::vector<Row>& rows);

}  // namespace marbledyke::lab::scale
