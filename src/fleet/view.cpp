#include "fleet/view.h"

#include <algorithm>
#include <cstdio>

namespace marbledyke::fleet {
namespace {

using nlohmann::json;

std::string text(const json& from, const char* key, const std::string& otherwise = "") {
  const auto at = from.find(key);
  return at != from.end() && at->is_string() ? at->get<std::string>() : otherwise;
}

double number(const json& from, const char* key) {
  const auto at = from.find(key);
  return at != from.end() && at->is_number() ? at->get<double>() : 0;
}

const json* leader(const json& status) {
  const auto processes = status.find("processes");
  if (processes == status.end()) return nullptr;
  for (const json& one : *processes) {
    if (one.value("leads", false)) return &one;
  }
  return nullptr;
}

// In one word, the worst first.
std::string state_of(const json& status) {
  const json* const process = leader(status);
  if (status.value("gave_up", false)) return "given up";
  if (process == nullptr) return status.value("wanted", false) ? "down" : "off";
  const std::string life = text(*process, "life");
  if (life != "serving") return life;
  if (!process->value("healthy", false)) return "not healthy";
  if (text(*process, "answers") == "no") return "mute";
  const std::string outcome = text(status, "outcome");
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

std::string fixed(const char* form, double value) {
  char out[32];
  std::snprintf(out, sizeof out, form, value);
  return out;
}

}  // namespace

std::string ago(std::int64_t ms) {
  const std::int64_t s = std::max<std::int64_t>(ms / 1000, 0);
  if (s < 120) return std::to_string(s) + " s";
  if (s < 7200) return std::to_string(s / 60) + " min";
  if (s < 172'800) return std::to_string(s / 3600) + " h";
  return std::to_string(s / 86'400) + " d";
}

void View::answered(const std::string& keeper, const json& status, std::int64_t now_ms) {
  Seen& seen = seen_[keeper];
  if (!seen.reachable) seen.since_ms = now_ms;
  seen.reachable = true;
  seen.answered_ms = now_ms;
  seen.why.clear();
  seen.status = status;
}

void View::silent(const std::string& keeper, const std::string& why, std::int64_t now_ms) {
  Seen& seen = seen_[keeper];
  if (seen.reachable || seen.since_ms == 0) seen.since_ms = now_ms;
  seen.reachable = false;
  seen.why = why;
}

const Seen* View::seen(const std::string& keeper) const {
  const auto at = seen_.find(keeper);
  return at == seen_.end() ? nullptr : &at->second;
}

int View::verdict() const {
  int out = 0;
  for (const KeeperAt& keeper : fleet_.keepers) {
    const Seen* const one = seen(keeper.name);
    if (one == nullptr || !one->reachable) return 2;
    const std::string state = state_of(one->status);
    if (state != "serves" && state != "off") out = 1;
  }
  return out;
}

std::vector<std::string> View::table(std::int64_t now_ms, std::size_t width) const {
  std::vector<std::vector<std::string>> rows{{"KEEPER", "ZONE", "STATE", "VERSION", "SINCE", "ASKED/S",
                                              "GOOD", "P99 MS", "BACK", "MB", "ENDS", "ORDER"}};
  double taken = 0, good = 0;
  std::map<std::string, int> versions, states;
  for (const KeeperAt& keeper : fleet_.keepers) {
    const Seen* const one = seen(keeper.name);
    if (one == nullptr || !one->reachable) {
      const std::string since = one == nullptr ? "not asked" : "for " + ago(now_ms - one->since_ms);
      const std::string last =
          one == nullptr || one->answered_ms == 0 ? "" : text(one->status, "in_force") + "?";
      rows.push_back({keeper.name, keeper.zone, "UNREACHABLE", last, since, "", "", "", "", "", "",
                      one == nullptr ? "" : one->why});
      states["unreachable"] += 1;
      continue;
    }
    const json& s = one->status;
    const json* const process = leader(s);
    const std::string state = state_of(s);
    states[state] += 1;
    std::vector<std::string> row{keeper.name, keeper.zone, state, text(s, "in_force", "-")};
    if (process != nullptr) {
      const json recent = process->value("recent", json::object());
      const double asked = number(recent, "taken");
      row.push_back(ago(now_ms - static_cast<std::int64_t>(number(*process, "since_ms"))));
      row.push_back(fixed("%.1f", asked / 10));
      row.push_back(
          percent(number(recent, "in_budget"),
                  number(recent, "answered") + number(recent, "pushed_back") + number(recent, "failed")));
      row.push_back(fixed("%.1f", number(recent, "p99_us") / 1000));
      row.push_back(percent(number(recent, "pushed_back"), asked));
      row.push_back(fixed("%.0f", number(*process, "rss_bytes") / 1e6));
      taken += asked;
      good += number(recent, "in_budget");
      versions[text(*process, "version")] += 1;
    } else {
      row.insert(row.end(), 6, "");
    }
    row.push_back(fixed("%.0f", number(s, "ends")));
    const std::string why = text(s, "why");
    row.push_back(text(s, "outcome") + (why.empty() ? "" : ": " + why));
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
  std::string sums = fleet_.name + ": " + std::to_string(fleet_.keepers.size()) + " keepers";
  for (const auto& [state, count] : states) sums += ", " + std::to_string(count) + " " + state;
  for (const auto& [version, count] : versions) sums += "; " + version + " runs on " + std::to_string(count);
  sums += "; " + fixed("%.1f", taken / 10) + " asked a second, " + percent(good, taken) + " good";
  if (width > 0 && sums.size() > width) sums.resize(width);
  out.push_back(sums);
  return out;
}

json View::as_json(std::int64_t now_ms) const {
  nlohmann::json out = {{"fleet", fleet_.name}, {"wall_ms", now_ms}, {"keepers", nlohmann::json::array()}};
  for (const KeeperAt& keeper : fleet_.keepers) {
    nlohmann::json one = {{"name", keeper.name},
                          {"zone", keeper.zone},
                          {"groups", keeper.groups},
                          {"control", keeper.control.text()}};
    const Seen* const s = seen(keeper.name);
    one["reachable"] = s != nullptr && s->reachable;
    if (s != nullptr) {
      one["since_ms"] = s->since_ms;
      one["answered_ms"] = s->answered_ms;
      if (!s->reachable) one["why"] = s->why;
      if (s->status.is_object()) {
        one["state"] = s->reachable ? state_of(s->status) : "unreachable";
        one["status"] = s->status;
      }
    }
    out["keepers"].push_back(std::move(one));
  }
  return out;
}

}  // namespace marbledyke::fleet
