// What a share of whole answers in time asks of one part.
#pragma once

namespace marbledyke::capacity {

// The share of parts that must be in time so that at least `needed` of `parts` are, in `wanted` (above 0,
// below 1) of the queries; parts are late independently of each other. 1 <= needed <= parts.
double parts_in_time(int parts, int needed, double wanted);

}  // namespace marbledyke::capacity
