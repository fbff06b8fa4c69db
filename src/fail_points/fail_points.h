// Named points in the code at which a test can kill or stop the process. In the shipped programs hit() does
// nothing; the test programs link the same libraries with another implementation of it.
#pragma once

namespace marbledyke::fail_points {

void hit(const char* name);

}  // namespace marbledyke::fail_points
