#include "scenario/draw.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace marbledyke::scenario {

using namespace std::chrono_literals;

Scenario draw(std::uint32_t seed) {
  std::mt19937 chance(seed);
  const auto whole = [&](int least, int most) {
    return least + static_cast<int>(chance() % static_cast<std::uint32_t>(most - least + 1));
  };
  // To three places, as files have them.
  const auto real = [&](double least, double most) {
    return std::round((least + (most - least) * static_cast<double>(chance()) / 4294967295.0) * 1000) / 1000;
  };
  Scenario s;
  s.name = "drawn-" + std::to_string(seed);
  s.length = 20s;
  s.settle = 3s;
  s.fleet.cells = whole(1, 4);
  s.fleet.servers = s.fleet.cells * whole(2, 8);
  s.fleet.zones = whole(1, std::min(3, s.fleet.servers / s.fleet.cells));
  s.fleet.shards = whole(8, 64);
  s.fleet.cores = whole(1, 4);
  s.fleet.cold = std::chrono::seconds(whole(1, 8));
  s.fleet.cold_from = 0.1 * whole(1, 6);
  s.network.far = std::chrono::milliseconds(whole(1, 8));
  s.list.lag = std::chrono::milliseconds(whole(0, 400));
  s.gatherers.count = whole(1, 6);
  s.gatherers.further_share = 0.05 * whole(1, 6);
  s.gatherers.further_floor = whole(5, 40);
  s.op_types.clear();
  const int kinds = whole(1, 3);
  for (int i = 0; i < kinds; ++i) {
    OpLoad op;
    op.name = "op" + std::to_string(i);
    op.effect = static_cast<Effect>(whole(0, 2));
    op.share = whole(1, 5);
    op.parts = whole(1, 8);
    op.work = std::chrono::milliseconds(whole(2, 40));
    op.shape = static_cast<Shape>(whole(0, 2));
    op.sigma = 0.5 * whole(1, 3);
    op.timeout = std::chrono::milliseconds(whole(8, 40) * 100);
    op.budget = op.timeout / whole(2, 4);
    op.dedupe_window = std::chrono::milliseconds(whole(2, 20) * 100);
    op.importance = whole(1, 5);
    if (op.effect == Effect::retriable && chance() % 3 == 0) {
      op.floor = 0.5;
      op.need = 0.9;
    }
    s.op_types.push_back(op);
  }
  s.load.retries = whole(0, 3);
  s.load.leaves = chance() % 3 == 0 ? 0.05 : 0;
  const int faults = whole(1, 4);
  for (int i = 0; i < faults; ++i) {
    Fault f;
    f.kind = static_cast<FaultKind>(whole(0, kServerFaultKinds - 1));
    f.from = std::chrono::milliseconds(whole(30, 120) * 100);
    f.until = f.from + std::chrono::milliseconds(whole(5, 60) * 100);
    f.share = 0.1 * whole(1, 6);
    if (f.kind == FaultKind::partition || (s.fleet.zones > 1 && chance() % 4 == 0))
      f.zone = whole(0, s.fleet.zones - 1);
    if (chance() % 4 == 0) f.cell = whole(0, s.fleet.cells - 1);
    if (f.kind == FaultKind::kill_gatherer) f.zone = f.cell = -1;
    f.strength = f.kind == FaultKind::slow       ? real(2, 20)
                 : f.kind == FaultKind::stampede ? real(1.5, 5)
                                                 : real(0.2, 1);
    if (chance() % 3 == 0) f.step = std::chrono::milliseconds(whole(1, 10) * 100);
    s.faults.push_back(f);
  }
  s.load.rate = std::round(real(0.2, 0.9) * capacity(s) * 1000) / 1000;
  return s;
}

Scenario draw_kept(std::uint32_t seed) {
  Scenario s = draw(seed);
  std::mt19937 chance(seed * 2654435761U + 77);
  const auto whole = [&](int least, int most) {
    return least + static_cast<int>(chance() % static_cast<std::uint32_t>(most - least + 1));
  };
  s.name = "kept-" + std::to_string(seed);
  s.length = 12s;
  s.settle = 2s;
  s.gatherers.kept = true;
  s.gatherers.count = whole(2, 8);
  s.load.rate = std::min(s.load.rate, 150.0);  // several at a time play on one machine
  const int faults = whole(1, 4);
  if (s.faults.size() > 1) s.faults.resize(1);
  for (Fault& f : s.faults) {
    f.from = std::min(f.from, Duration(6s));
    f.until = std::clamp(f.until, f.from + 500ms, Duration(10s));
    if (f.kind == FaultKind::kill_gatherer) f.first = -1;
  }
  for (int i = 0; i < faults; ++i) {
    Fault f;
    f.kind = static_cast<FaultKind>(whole(static_cast<int>(FaultKind::kill_gatherer), kFaultKinds - 1));
    f.from = std::chrono::milliseconds(whole(25, 70) * 100);
    f.until = f.from + std::chrono::milliseconds(whole(5, 30) * 100);
    f.share = 0.1 * whole(2, 10);
    f.strength = f.kind == FaultKind::path_slow      ? whole(5, 60)
                 : f.kind == FaultKind::path_reset   ? whole(1, 40)
                 : f.kind == FaultKind::keeper_clock ? 0.1 * whole(6, 16)
                                                     : 1;
    if (chance() % 3 == 0) f.step = std::chrono::milliseconds(whole(1, 5) * 100);
    s.faults.push_back(f);
  }
  return s;
}

Scenario shrink(const Scenario& failing, const std::function<bool(const Scenario&)>& fails, int most_asked) {
  Scenario best = failing;
  int asked = 0;
  const auto better = [&](Scenario other) {
    if (asked >= most_asked || !objections(other).empty()) return false;
    ++asked;
    if (!fails(other)) return false;
    best = std::move(other);
    return true;
  };
  for (bool any = true; any && asked < most_asked;) {
    any = false;
    for (std::size_t i = best.faults.size(); i-- > 0;) {
      Scenario other = best;
      other.faults.erase(other.faults.begin() + static_cast<std::ptrdiff_t>(i));
      any |= better(std::move(other));
    }
    for (std::size_t i = best.op_types.size(); best.op_types.size() > 1 && i-- > 0;) {
      Scenario other = best;
      other.op_types.erase(other.op_types.begin() + static_cast<std::ptrdiff_t>(i));
      any |= better(std::move(other));
    }
    const auto with = [&](auto change) {
      Scenario other = best;
      if (!change(other)) return;
      any |= better(std::move(other));
    };
    const auto halve = [](int& value, int least) {
      if (value <= least) return false;
      value = std::max(least, value / 2);
      return true;
    };
    with([&](Scenario& s) { return halve(s.gatherers.count, 1); });
    with([&](Scenario& s) { return std::exchange(s.gatherers.kept, false); });
    with([&](Scenario& s) { return halve(s.fleet.cells, 1); });
    with([&](Scenario& s) { return halve(s.fleet.servers, 2); });
    with([&](Scenario& s) { return halve(s.fleet.zones, 1); });
    with([&](Scenario& s) { return halve(s.fleet.cores, 1); });
    with([&](Scenario& s) { return halve(s.load.retries, 0); });
    with([&](Scenario& s) { return std::exchange(s.load.leaves, 0) > 0; });
    with([&](Scenario& s) {
      s.load.rate /= 2;
      return s.load.rate > 0.5;
    });
    for (std::size_t i = 0; i < best.op_types.size(); ++i) {
      with([&](Scenario& s) { return halve(s.op_types[i].parts, 1); });
      with([&](Scenario& s) {
        return std::exchange(s.op_types[i].shape, Shape::constant) != Shape::constant;
      });
    }
    for (std::size_t i = 0; i < best.faults.size(); ++i) {
      with([&](Scenario& s) { return std::exchange(s.faults[i].step, 0us) > 0us; });
      with([&](Scenario& s) {
        s.faults[i].until = s.faults[i].from + (s.faults[i].until - s.faults[i].from) / 2;
        return s.faults[i].until - s.faults[i].from > 50ms;
      });
    }
    // What comes after the failure is not needed.
    with([&](Scenario& s) {
      s.length = s.length * 3 / 4;
      return s.length > 1s && s.length > s.settle;
    });
  }
  best.name = failing.name + "-cut";
  return best;
}

}  // namespace marbledyke::scenario
