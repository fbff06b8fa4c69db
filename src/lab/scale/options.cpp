#include "lab/scale/options.h"

#include <chrono>

namespace marbledyke::lab::scale {

using namespace std::chrono_literals;

ListsPlan lists_plan(const Options& options) {
  if (options.quick) return {{50, 200}, 1, 20, 1, 500ms};
  return {{100, 400, 1300, 3900, 20'000}, 5, 300, 5, 2s};
}

LoadPlan load_plan(const Options& options) {
  if (options.quick) return {{118}, {20}, 1, 2, 1};
  return {{300, 900, 3900}, {20, 40, 150}, 3, 10, 3};
}

SettingsPlan settings_plan(const Options& options) {
  SettingsPlan out;
  if (options.quick) {
    out.receivers = {30};
    out.keepers = 1;
    out.listed = 10;
    out.sample_every = 1s;
    out.quiet = 2s;
    out.ordinary_changes = out.spaced_changes = 2;
    out.ordinary_gap = 2s;
    out.spaced_gap = 1s;
    out.hundredfold_changes = 4;
    out.document_bytes = {4000, 16'000};
    out.fault_changes = 3;
    out.cut = out.longest_cut = 2s;
  } else {
    out.receivers = {100, 300, 910};
    out.keepers = 8;
    out.listed = 100;
    out.sample_every = 5s;
    out.quiet = 20s;
    out.ordinary_changes = 2;
    out.ordinary_gap = 38s;  // 2,300 a day
    out.spaced_changes = 10;
    out.spaced_gap = 2s;
    out.hundredfold_changes = 60;
    out.document_bytes = {4000, 16'000, 40'000};
    out.fault_changes = 8;
    out.cut = 12s;
    out.longest_cut = 180s;
  }
  out.hundredfold_gap = 380ms;
  out.fault_gap = 1s;
  return out;
}

}  // namespace marbledyke::lab::scale
