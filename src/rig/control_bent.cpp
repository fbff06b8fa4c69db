// marbledyke-control-bent: the control node with a clock, a disk and points that the lab bends.
#include "distribution/program.h"
#include "rig/bent.h"

int main(int count, char** words) {
  static marbledyke::rig::BentDisk disk;
  static const marbledyke::rig::BentClock clock;
  return marbledyke::distribution::run(count, words, disk, clock);
}
