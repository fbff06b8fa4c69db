// marbledyke-control: a control node. docs/fleet.md is for operators.
#include "distribution/program.h"

int main(int count, char** words) {
  static marbledyke::disk::LocalDisk disk;
  return marbledyke::distribution::run(count, words, disk, marbledyke::system_time_source());
}
