// Checks files as serving would, without serving.
#pragma once

#include <string>
#include <vector>

namespace marbledyke::command {

// One line for each file that is good, one for each fault; gives the exit status, 0 where all are good.
int check(const std::vector<std::string>& files);

}  // namespace marbledyke::command
