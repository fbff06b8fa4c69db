// marbledyke-keeper: supervises the gatherer of one machine. docs/keeper.md is for operators.
#include "keeper/program.h"

int main(int argc, char** argv) {
  static marbledyke::disk::LocalDisk disk;
  return marbledyke::keeper::run(argc, argv, disk, marbledyke::system_time_source());
}
