#include "fleet/view.h"

#include <algorithm>
#include <cstdio>

namespace marbledyke::fleet {
namespace {

using nlohmann::json;

std::string text_field(const json& from, const char* key, const std::string& default_value = "") {
  const auto at = from.find(key);
  return at != from.end() && at->is_string() ? at->get<std::string>() : default_value;
}

double number_field(const json& from, const char* key) {
  const auto at = from.find(key);
  return at != from.end() && at->is_number() ? at->get<double>() : 0;
}

const json* leading_process(const json& status) {
  const auto processes = status.find("processes");
  if (processes == status.end()) return nullptr;
  for (const json& one : *processes) {
    if (one.value("leads", false)) return &one;
  }
  return nullptr;
}

// The state of a reachable keeper for the table; where several apply, the worst.
std::string state_of(const json& status) {
  const json* const process = leading_process(status);
  if (status.value("gave_up", false)) return "given up";
  if (process == nullptr) return status.value("wanted", false) ? "down" : "off";
  const std::string life = text_field(*process, "life");
  if (life != "serving") return life;
  if (!process->value("healthy", false)) return "not healthy";
  if (text_field(*process, "answers") == "no") return "mute";
  const std::string outcome = text_field(status, "outcome");
  if (outcome == "under_way" || outcome == "returning" || outcome == "held" || outcome == "on_trial")
    return outcome;
  return "serves";
}

std::string percent(double part, double whole) {
  if (whole <= 0) return "-";
  char out[16];
  std::snprintf(out, sizeof out, "%.2f%%", 100 * part / whole);
  return out;
}

std::string fixed(const char* format, double value) {
  char out[32];
  std::snprintf(out, sizeof out, format, value);
  return out;
}

}  // namespace

std::string format_age(std::int64_t ms) {
  const std::int64_t seconds = std::max<std::int64_t>(ms / 1000, 0);
  if (seconds < 120) return std::to_string(seconds) + " s";
  if (seconds < 7200) return std::to_string(seconds / 60) + " min";
  if (seconds < 172'800) return std::to_string(seconds / 3600) + " h";
  return std::to_string(seconds / 86'400) + " d";
}

void FleetView::on_status(const std::string& keeper, const json& status, std::int64_t now_ms) {
  KeeperObservation& observation = observations_[keeper];
  if (!observation.reachable) observation.since_ms = now_ms;
  observation.reachable = true;
  observation.answered_ms = now_ms;
  observation.error.clear();
  observation.status = status;
}

void FleetView::on_unreachable(const std::string& keeper, const std::string& error, std::int64_t now_ms) {
  KeeperObservation& observation = observations_[keeper];
  if (observation.reachable || observation.since_ms == 0) observation.since_ms = now_ms;
  observation.reachable = false;
  observation.error = error;
}

const KeeperObservation* FleetView::observation(const std::string& keeper) const {
  const auto at = observations_.find(keeper);
  return at == observations_.end() ? nullptr : &at->second;
}

int FleetView::exit_status() const {
  int out = 0;
  for (const KeeperEntry& keeper : fleet_.keepers) {
    const KeeperObservation* const seen = observation(keeper.name);
    if (seen == nullptr || !seen->reachable) return 2;
    const std::string state = state_of(seen->status);
    if (state != "serves" && state != "off") out = 1;
  }
  return out;
}

std::vector<std::string> FleetView::table(std::int64_t now_ms, std::size_t width) const {
  std::vector<std::vector<std::string>> rows{{"KEEPER", "ZONE", "STATE", "VERSION", "SINCE", "ASKED/S",
                                              "GOOD", "P99 MS", "BACK", "MB", "ENDS", "ORDER"}};
  double received = 0, good = 0;
  std::map<std::string, int> versions, states;
  for (const KeeperEntry& keeper : fleet_.keepers) {
    const KeeperObservation* const seen = observation(keeper.name);
    if (seen == nullptr || !seen->reachable) {
      const std::string since = seen == nullptr ? "not asked" : "for " + format_age(now_ms - seen->since_ms);
      const std::string last =
          seen == nullptr || seen->answered_ms == 0 ? "" : text_field(seen->status, "in_force") + "?";
      rows.push_back({keeper.name, keeper.zone, "UNREACHABLE", last, since, "", "", "", "", "", "",
                      seen == nullptr ? "" : seen->error});
      states["unreachable"] += 1;
      continue;
    }
    const json& status = seen->status;
    const json* const process = leading_process(status);
    const std::string state = state_of(status);
    states[state] += 1;
    std::vector<std::string> row{keeper.name, keeper.zone, state, text_field(status, "in_force", "-")};
    if (process != nullptr) {
      const json recent = process->value("recent", json::object());
      const double received_recently = number_field(recent, "taken");
      row.push_back(format_age(now_ms - static_cast<std::int64_t>(number_field(*process, "since_ms"))));
      row.push_back(fixed("%.1f", received_recently / 10));
      row.push_back(percent(number_field(recent, "in_budget"), number_field(recent, "answered") +
                                                                   number_field(recent, "pushed_back") +
                                                                   number_field(recent, "failed")));
      row.push_back(fixed("%.1f", number_field(recent, "p99_us") / 1000));
      row.push_back(percent(number_field(recent, "pushed_back"), received_recently));
      row.push_back(fixed("%.0f", number_field(*process, "rss_bytes") / 1e6));
      received += received_recently;
      good += number_field(recent, "in_budget");
      versions[text_field(*process, "version")] += 1;
    } else {
      row.insert(row.end(), 6, "");
    }
    row.push_back(fixed("%.0f", number_field(status, "ends")));
    const std::string reason = text_field(status, "why");
    row.push_back(text_field(status, "outcome") + (reason.empty() ? "" : ": " + reason));
    rows.push_back(std::move(row));
  }
  std::vector<std::size_t> widths(rows[0].size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::vector<std::string> out;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      const bool right = i >= 5 && i <= 10;
      const std::string gap(widths[i] - row[i].size(), ' ');
      line += right ? gap + row[i] : row[i] + gap;
      line += "  ";
    }
    while (!line.empty() && line.back() == ' ') line.pop_back();
    if (width > 0 && line.size() > width) line.resize(width);
    out.push_back(line);
  }
  std::string totals = fleet_.name + ": " + std::to_string(fleet_.keepers.size()) + " keepers";
  for (const auto& [state, count] : states) totals += ", " + std::to_string(count) + " " + state;
  for (const auto& [version, count] : versions)
    totals += "; " + version + " runs on " + std::to_string(count);
  totals += "; " + fixed("%.1f", received / 10) + " asked a second, " + percent(good, received) + " good";
  if (width > 0 && totals.size() > width) totals.resize(width);
  out.push_back(totals);
  return out;
}

json FleetView::to_json(std::int64_t now_ms) const {
  nlohmann::json out = {{"fleet", fleet_.name}, {"wall_ms", now_ms}, {"keepers", nlohmann::json::array()}};
  for (const KeeperEntry& keeper : fleet_.keepers) {
    nlohmann::json one = {{"name", keeper.name},
                          {"zone", keeper.zone},
                          {"groups", keeper.groups},
                          {"control", keeper.control.text()}};
    const KeeperObservation* const seen = observation(keeper.name);
    one["reachable"] = seen != nullptr && seen->reachable;
    if (seen != nullptr) {
      one["since_ms"] = seen->since_ms;
      one["answered_ms"] = seen->answered_ms;
      if (!seen->reachable) one["why"] = seen->error;
      if (seen->status.is_object()) {
        one["state"] = seen->reachable ? state_of(seen->status) : "unreachable";
        one["status"] = seen->status;
      }
    }
    out["keepers"].push_back(std::move(one));
  }
  return out;
}

}  // namespace marbledyke::fleet
