// Named points of the code at which the lab can end or stop a process. In what is shipped, reach() does
// nothing: the lab's programs are the same libraries linked with another version of it.
#pragma once

namespace marbledyke::fail_points {

void hit(const char* name);

}  // namespace marbledyke::fail_points
