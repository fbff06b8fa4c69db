// marbledyke-keeper-bent: the keeper with a clock, a disk and points that the lab bends.
#include "keeper/program.h"
#include "rig/bent.h"

int main(int count, char** words) {
  static marbledyke::rig::BentDisk disk;
  static const marbledyke::rig::BentClock clock;
  return marbledyke::keeper::run(count, words, disk, clock);
}
