// marbledyke-keeper: over the gatherer of one machine. docs/keeper.md is for operators.
#include "keeper/program.h"

int main(int count, char** words) {
  static marbledyke::disk::LocalDisk disk;
  return marbledyke::keeper::run(count, words, disk, marbledyke::machine_clock());
}
