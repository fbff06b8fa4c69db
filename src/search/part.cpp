#include "search/part.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace marbledyke::search {
namespace {

using nlohmann::json;

constexpr std::string_view kFirst = "marbledyke-search 1";

void put(std::string& out, std::string_view key, std::string_view value) {
  out.append(key).append(1, ' ');
  // A line each, whatever a term holds.
  for (const char c : value) {
    if (c == '\n') {
      out += "\\n";
    } else if (c == '\\') {
      out += "\\\\";
    } else {
      out += c;
    }
  }
  out += '\n';
}

std::string unput(std::string_view value) {
  std::string out;
  for (std::size_t i = 0; i < value.size(); ++i) {
    if (value[i] == '\\' && i + 1 < value.size()) {
      out += value[++i] == 'n' ? '\n' : value[i];
    } else {
      out += value[i];
    }
  }
  return out;
}

int number(std::string_view text) {
  int out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

}  // namespace

std::string text_of(const PartAsk& ask) {
  std::string out(kFirst);
  out += '\n';
  put(out, "do", ask.errand == Errand::search ? "search" : "scan");
  put(out, "database", ask.database);
  if (ask.errand == Errand::search) {
    put(out, "cql", ask.cql);
    put(out, "pqf", ask.pqf);
    put(out, "from", std::to_string(ask.from));
    put(out, "schema", ask.schema);
    for (const auto& [shard, run] : ask.of_shard)
      put(out, "shard",
          std::to_string(shard) + ' ' + std::to_string(run.first) + ' ' + std::to_string(run.second));
    for (const SortKey& key : ask.sort) put(out, key.descending ? "sort-down" : "sort-up", key.index);
  } else {
    put(out, "index", ask.index);
    put(out, "use", std::to_string(ask.use));
    put(out, "term", ask.term);
  }
  put(out, "count", std::to_string(ask.count));
  return out;
}

std::pair<int, int> wanted(const PartAsk& ask, int shard) {
  const auto at = ask.of_shard.find(shard);
  return at == ask.of_shard.end() ? std::pair{ask.from, ask.count} : at->second;
}

std::string of_shard(std::string name, int shard) {
  constexpr std::string_view kPlace = "{shard}";
  const std::size_t at = name.find(kPlace);
  if (at != std::string::npos) name.replace(at, kPlace.size(), std::to_string(shard));
  return name;
}

std::optional<PartAsk> read_part_ask(std::string_view text) {
  PartAsk out;
  bool first = true;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (std::exchange(first, false)) {
      if (line != kFirst) return std::nullopt;
      continue;
    }
    const std::size_t space = std::min(line.find(' '), line.size());
    const std::string_view key = line.substr(0, space);
    const std::string value = unput(line.substr(std::min(space + 1, line.size())));
    if (key == "do") out.errand = value == "scan" ? Errand::scan : Errand::search;
    if (key == "database") out.database = value;
    if (key == "cql") out.cql = value;
    if (key == "pqf") out.pqf = value;
    if (key == "from") out.from = number(value);
    if (key == "schema") out.schema = value;
    if (key == "shard") {
      const std::size_t one = value.find(' '), two = value.find(' ', one + 1);
      if (one == std::string::npos || two == std::string::npos) return std::nullopt;
      out.of_shard[number(std::string_view(value).substr(0, one))] = {
          number(std::string_view(value).substr(one + 1, two - one - 1)),
          number(std::string_view(value).substr(two + 1))};
    }
    if (key == "sort-up" || key == "sort-down") out.sort.push_back({value, key == "sort-down"});
    if (key == "index") out.index = value;
    if (key == "use") out.use = number(value);
    if (key == "term") out.term = value;
    if (key == "count") out.count = number(value);
  }
  if (first) return std::nullopt;
  return out;
}

std::string text_of(const PartResult& result) {
  json out = {{"hits", result.hits}};
  for (const Record& record : result.records) {
    json one = {{"id", record.id}, {"schema", record.schema}, {"xml", record.xml}};
    if (!record.keys.empty()) one["keys"] = record.keys;
    out["records"].push_back(std::move(one));
  }
  for (const ScanTerm& term : result.terms)
    out["terms"].push_back({{"term", term.term}, {"count", term.count}});
  if (!result.trouble.empty()) {
    out["trouble"] = result.trouble;
    out["unsupported"] = result.unsupported;
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<PartResult> read_part_result(std::string_view text) {
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) return std::nullopt;
  const auto words = [](const json& at, const char* key) {
    const auto found = at.find(key);
    return found != at.end() && found->is_string() ? found->get<std::string>() : std::string();
  };
  const auto whole = [](const json& at, const char* key) -> std::optional<std::int64_t> {
    const auto found = at.find(key);
    if (found == at.end() || !found->is_number_integer() || found->get<std::int64_t>() < 0)
      return std::nullopt;
    return found->get<std::int64_t>();
  };
  PartResult out;
  const auto hits = whole(from, "hits");
  if (!hits) return std::nullopt;
  out.hits = *hits;
  out.trouble = words(from, "trouble");
  const auto flag = from.find("unsupported");
  out.unsupported = flag != from.end() && flag->is_boolean() && flag->get<bool>();
  if (const auto records = from.find("records"); records != from.end()) {
    if (!records->is_array()) return std::nullopt;
    for (const json& one : *records) {
      if (!one.is_object()) return std::nullopt;
      Record record{words(one, "id"), words(one, "schema"), {}, words(one, "xml")};
      if (const auto keys = one.find("keys"); keys != one.end() && keys->is_array()) {
        for (const json& key : *keys) record.keys.push_back(key.is_string() ? key.get<std::string>() : "");
      }
      out.records.push_back(std::move(record));
    }
  }
  if (const auto terms = from.find("terms"); terms != from.end()) {
    if (!terms->is_array()) return std::nullopt;
    for (const json& one : *terms) {
      if (!one.is_object()) return std::nullopt;
      out.terms.push_back({words(one, "term"), whole(one, "count").value_or(0)});
    }
  }
  return out;
}

}  // namespace marbledyke::search
