#include "operator_file/terms.h"

#include <algorithm>
#include <array>

namespace marbledyke::operator_file {
namespace {

using config::BadInput;
using config::json;

constexpr std::array<std::string_view, 4> kLevels{"debug", "info", "warning", "error"};
constexpr std::array<const char*, 3> kProofs{"never", "in-doubt", "always"};

Duration span(const json& from, const char* key) { return Duration(config::integer(from, key)); }

json put_rules(const addresses::ConnectSettings& rules, bool attempt_stated) {
  json prefer = json::array();
  for (const net::Family family : rules.prefer) prefer.push_back(std::string(name_of(family)));
  json out = {{"prefer", prefer},
              {"race", rules.race.count()},
              {"stagger", rules.stagger.count()},
              {"stagger-least", rules.stagger_least.count()},
              {"at-once", rules.at_once},
              {"hold", rules.hold.count()},
              {"hold-most", rules.hold_most.count()},
              {"trials-at-once", rules.trials_at_once},
              {"prove", kProofs[static_cast<std::size_t>(rules.prove)]}};
  if (attempt_stated) out["attempt"] = rules.attempt.count();
  return out;
}

void read_rules(const json& from, Terms& into) {
  addresses::ConnectSettings& rules = into.connecting;
  rules.prefer.clear();
  for (const json& one : config::array(from, "prefer")) {
    const auto family = one.is_string() ? net::parse_family(one.get_ref<const std::string&>()) : std::nullopt;
    if (!family) throw BadInput("prefer: unknown family");
    rules.prefer.push_back(*family);
  }
  rules.race = span(from, "race");
  rules.stagger = span(from, "stagger");
  rules.stagger_least = span(from, "stagger-least");
  rules.at_once = static_cast<int>(config::integer(from, "at-once"));
  rules.hold = span(from, "hold");
  rules.hold_most = span(from, "hold-most");
  rules.trials_at_once = static_cast<int>(config::integer(from, "trials-at-once"));
  const auto proof = std::find(kProofs.begin(), kProofs.end(), config::text(from, "prove"));
  if (proof == kProofs.end()) throw BadInput("prove: unknown");
  rules.prove = static_cast<addresses::ProofPolicy>(proof - kProofs.begin());
  into.attempt_stated = from.contains("attempt");
  if (into.attempt_stated) rules.attempt = span(from, "attempt");
}

json put_search(const search::Terms& terms) {
  json listeners = json::array(), databases = json::array(), speakers = json::array();
  for (const search::Listener& one : terms.listeners)
    listeners.push_back({{"protocol", std::string(name_of(one.protocol))}, {"address", one.address.text()}});
  for (const search::Database& one : terms.databases) {
    json schemas = json::array(), indexes = json::array();
    for (const search::Schema& schema : one.schemas)
      schemas.push_back({{"name", schema.name}, {"identifier", schema.identifier}});
    for (const search::Index& index : one.indexes)
      indexes.push_back({{"name", index.name},
                         {"title", index.title},
                         {"use", index.use},
                         {"op-type", index.op_type},
                         {"shards", index.shards},
                         {"scan", index.scan},
                         {"sort", index.sort}});
    databases.push_back({{"name", one.name},
                         {"title", one.title},
                         {"description", one.description},
                         {"op-type", one.op_type},
                         {"shards", one.shards},
                         {"deadline", one.deadline.count()},
                         {"schemas", schemas},
                         {"indexes", indexes}});
  }
  for (const auto& [server, one] : terms.speakers)
    speakers.push_back(
        {{"server", server}, {"protocol", std::string(name_of(one.protocol))}, {"database", one.database}});
  const search::Limits& l = terms.limits;
  return {{"listeners", listeners},
          {"databases", databases},
          {"speakers", speakers},
          {"limits",
           {{"sessions", l.sessions},
            {"sets", l.sets},
            {"all-sets", l.all_sets},
            {"kept", l.kept},
            {"set-life", l.set_life.count()},
            {"idle", l.idle.count()},
            {"operations", l.operations},
            {"records", l.records},
            {"deepest", l.deepest},
            {"ahead", l.ahead},
            {"message", l.message},
            {"answer", l.answer}}}};
}

search::Protocol protocol(const json& from) {
  const std::string name = config::text(from, "protocol");
  if (name != "sru" && name != "z3950") throw BadInput("protocol: unknown");
  return name == "sru" ? search::Protocol::sru : search::Protocol::z3950;
}

std::vector<int> shards_of(const json& from) {
  std::vector<int> out;
  for (const json& one : config::array(from, "shards")) {
    if (!one.is_number_integer()) throw BadInput("shards: not numbers");
    out.push_back(one.get<int>());
  }
  return out;
}

void read_search(const json& from, search::Terms& into) {
  for (const json& one : config::array(from, "listeners")) {
    const auto address = net::parse_address(config::text(one, "address"));
    if (!address) throw BadInput("address: not an address");
    into.listeners.push_back({protocol(one), *address});
  }
  for (const json& one : config::array(from, "databases")) {
    search::Database database;
    database.name = config::text(one, "name");
    database.title = config::text(one, "title");
    database.description = config::text(one, "description");
    database.op_type = config::text(one, "op-type");
    database.shards = shards_of(one);
    database.deadline = span(one, "deadline");
    database.schemas.clear();
    for (const json& schema : config::array(one, "schemas"))
      database.schemas.push_back({config::text(schema, "name"), config::text(schema, "identifier")});
    if (database.schemas.empty()) throw BadInput("schemas: none");
    for (const json& index : config::array(one, "indexes")) {
      search::Index made;
      made.name = config::text(index, "name");
      made.title = config::text(index, "title");
      made.use = static_cast<int>(config::integer(index, "use"));
      made.op_type = config::text(index, "op-type");
      made.shards = shards_of(index);
      made.scan = config::required(index, "scan").get<bool>();
      made.sort = config::required(index, "sort").get<bool>();
      database.indexes.push_back(std::move(made));
    }
    into.databases.push_back(std::move(database));
  }
  for (const json& one : config::array(from, "speakers"))
    into.speakers[config::text(one, "server")] = {protocol(one), config::text(one, "database")};
  const json& limits = config::object(from, "limits");
  const auto size = [&](const char* key) { return static_cast<std::size_t>(config::integer(limits, key)); };
  search::Limits& l = into.limits;
  l.sessions = size("sessions");
  l.sets = size("sets");
  l.all_sets = size("all-sets");
  l.kept = size("kept");
  l.set_life = span(limits, "set-life");
  l.idle = span(limits, "idle");
  l.operations = size("operations");
  l.records = static_cast<int>(size("records"));
  l.deepest = static_cast<int>(size("deepest"));
  l.ahead = static_cast<int>(size("ahead"));
  l.message = size("message");
  l.answer = size("answer");
}

}  // namespace

std::string text_of(const search::Terms& terms) { return put_search(terms).dump(); }

std::optional<log::Level> level_named(std::string_view name) {
  const auto at = std::find(kLevels.begin(), kLevels.end(), name);
  if (at == kLevels.end()) return std::nullopt;
  return static_cast<log::Level>(at - kLevels.begin());
}

std::string put_result(const Result& result) {
  json out = json::object();
  if (result.terms) {
    const Terms& terms = *result.terms;
    json log = json::object();
    if (terms.log_form) log["format"] = *terms.log_form == log::Format::json ? "json" : "plain";
    if (terms.log_level) log["level"] = std::string(kLevels[static_cast<std::size_t>(*terms.log_level)]);
    json servers = json::array();
    for (const auto& [name, server] : terms.servers) {
      json addresses = json::array();
      for (const net::Address& address : server.addresses) addresses.push_back(address.text());
      servers.push_back({{"name", name}, {"instead", server.replaces_listed}, {"addresses", addresses}});
    }
    out["terms"] = {{"log", log},
                    {"connecting", put_rules(terms.connecting, terms.attempt_stated)},
                    {"servers", servers}};
    if (terms.search.any() || !terms.search.speakers.empty())
      out["terms"]["search"] = put_search(terms.search);
  }
  out["faults"] = json::array();
  for (const FileError& fault : result.faults)
    out["faults"].push_back({{"line", fault.line}, {"element", fault.element}, {"reason", fault.reason}});
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result read_result(std::string_view text) {
  const json from = config::parse(text);
  Result out;
  for (const json& one : config::array(from, "faults"))
    out.faults.push_back({static_cast<int>(config::integer(one, "line")), config::text(one, "element"),
                          config::text(one, "reason")});
  if (!from.contains("terms")) {
    if (out.faults.empty()) throw BadInput("neither terms nor faults");
    return out;
  }
  const json& terms = config::object(from, "terms");
  Terms& into = out.terms.emplace();
  const json& log = config::object(terms, "log");
  if (log.contains("format"))
    into.log_form = config::text(log, "format") == "json" ? log::Format::json : log::Format::plain;
  if (log.contains("level")) into.log_level = level_named(config::text(log, "level"));
  read_rules(config::object(terms, "connecting"), into);
  if (terms.contains("search")) read_search(config::object(terms, "search"), into.search);
  for (const json& one : config::array(terms, "servers")) {
    addresses::AddressBook::ServerOverride& server = into.servers[config::text(one, "name")];
    server.replaces_listed = config::required(one, "instead").get<bool>();
    for (const json& address : config::array(one, "addresses")) {
      const auto read = net::parse_address(address.get_ref<const std::string&>());
      if (!read) throw BadInput("addresses: not an address");
      server.addresses.push_back(*read);
    }
  }
  return out;
}

}  // namespace marbledyke::operator_file
