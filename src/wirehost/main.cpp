// The adapter: decodes the simulator's wire into calls on the decision module and encodes what it decides.
// Each instance has a module of its own; they share nothing but the sheets that the wire itself shares.
#include <cstdlib>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "choice.h"
#include "config/fields.h"

namespace {

using marbledyke::Choice;
using marbledyke::Duration;
using marbledyke::Fate;
using marbledyke::Rid;
using marbledyke::Standing;
using marbledyke::config::BadInput;
using marbledyke::config::flatten;
using marbledyke::config::json;
using marbledyke::config::need;
using marbledyke::config::number;
using marbledyke::config::text;
using marbledyke::config::whole;
using marbledyke::config::whole_or;

Rid rid(const json& from) {
  const std::string& id = text(from, "request-id");
  Rid out;
  if (id.size() != out.text.size()) throw BadInput("request-id: not 16 characters");
  id.copy(out.text.data(), out.text.size());
  return out;
}

Fate fate(const std::string& rc) {
  if (rc == "delivered") return Fate::returned;
  if (rc == "app_error") return Fate::app_error;
  if (rc == "shed") return Fate::pushed_back;
  if (rc == "expired") return Fate::expired;
  if (rc == "dial_failed") return Fate::dial_failed;
  if (rc == "dropped") return Fate::dropped;
  if (rc == "revoked") return Fate::revoked;
  if (rc == "unused") return Fate::unused;
  throw BadInput("rc: unknown outcome " + rc);
}

Standing standing(const std::string& readiness) {
  if (readiness == "U") return Standing::up;
  if (readiness == "L") return Standing::draining;
  if (readiness == "D") return Standing::gone;
  throw BadInput("readiness: unknown value " + readiness);
}

marbledyke::LoadReport load(const json& from) {
  marbledyke::LoadReport out;
  const auto at = from.find("load");
  if (at == from.end() || at->is_null()) return out;
  if (!at->is_array()) throw BadInput("load: not an array");
  for (const json& value : *at) {
    if (out.count == static_cast<int>(out.value.size())) break;
    out.value[static_cast<std::size_t>(out.count++)] = number(value, "load");
  }
  return out;
}

struct Instance {
  Choice choice;
  std::int64_t epoch = 0;
  bool touched = false;

  Duration span(std::int64_t at) const { return Duration(at - epoch); }
};

class Host {
 public:
  json turn(const json& batch) {
    now_ = whole(batch, "sim-time");
    const json& msgs = need(batch, "msgs");
    if (!msgs.is_array()) throw BadInput("msgs: not an array");
    touched_.clear();
    for (const json& msg : msgs) hear(msg);
    json output = json::array();
    for (const std::int64_t who : touched_) {
      const auto at = instances_.find(who);
      if (at == instances_.end()) continue;
      at->second.touched = false;
      tell(who, at->second, output);
    }
    return output;
  }

 private:
  void hear(const json& msg) {
    const std::string& type = text(msg, "type");
    if (type == "SnapshotRows") {
      const json& records = need(msg, "records");
      if (!records.is_array()) throw BadInput("records: not an array");
      sheets_[whole(msg, "sheet")] = records;
      return;
    }
    if (!msg.contains("gatherer")) return;  // an event of a kind not known here
    const std::int64_t who = whole(msg, "gatherer");
    if (type == "Create") {
      create(who, msg);
      return;
    }
    if (type == "Exit") {
      instances_.erase(who);
      return;
    }
    const bool known = type == "Topology" || type == "Arrival" || type == "Finished" || type == "Echo" ||
                       type == "Aborted" || type == "Ring" || type == "Headers" || type == "Whisper";
    if (!known) return;
    const auto at = instances_.find(who);
    if (at == instances_.end()) throw BadInput("gatherer: no instance " + std::to_string(who));
    touch(who, at->second);
    hear(msg, type, at->second);
  }

  void hear(const json& msg, const std::string& type, Instance& to) {
    if (type == "Topology") {
      topology(msg, to);
    } else if (type == "Arrival") {
      arrival(msg, to);
    } else if (type == "Finished") {
      to.choice.send_ended(rid(msg), static_cast<int>(whole(msg, "try")), fate(text(msg, "rc")),
                           Duration(whole_or(msg, "time-taken", 0)), load(msg));
    } else if (type == "Echo") {
      to.choice.probe_ended(text(msg, "server"), fate(text(msg, "rc")),
                            Duration(whole_or(msg, "time-taken", 0)), load(msg));
    } else if (type == "Aborted") {
      to.choice.client_left(rid(msg));
    }
  }

  void create(std::int64_t who, const json& msg) {
    marbledyke::Terms terms;
    const json& params = need(msg, "params");
    if (!params.is_object()) throw BadInput("params: not an object");
    flatten(params, "", terms);
    const json& seed = need(msg, "rng-seed");
    if (!seed.is_number_integer()) throw BadInput("rng-seed: not a whole number");
    instances_.erase(who);
    const auto mixed = seed.get<std::uint64_t>();
    const auto made = instances_.emplace(
        who, Instance{Choice(terms, static_cast<std::uint32_t>(mixed ^ (mixed >> 32))), now_, false});
    touch(who, made.first->second);
  }

  void touch(std::int64_t who, Instance& instance) {
    if (instance.touched) return;
    instance.touched = true;
    touched_.push_back(who);
    instance.choice.clock(instance.span(now_));
  }

  void topology(const json& msg, Instance& to) {
    const std::string& kind = text(msg, "kind");
    if (kind == "refused") {
      to.choice.list_refused(std::chrono::seconds(6));  // the page states no limit; what sockets have
      return;
    }
    if (kind != "changes" && kind != "all" && kind != "remembered")
      throw BadInput("kind: unknown value " + kind);
    const auto sheet = sheets_.find(whole(msg, "sheet"));
    if (sheet == sheets_.end()) throw BadInput("sheet: none of that number");
    to.choice.list_opens(kind != "changes", kind == "remembered");
    for (const json& entry : sheet->second) {
      marbledyke::ListRow row;
      row.server = text(entry, "server");
      row.zone = static_cast<int>(whole_or(entry, "hall", 0));
      row.cell = static_cast<int>(whole_or(entry, "place", 0));
      row.standing = standing(text(entry, "readiness"));
      if (entry.contains("power-hint")) row.size = number(entry["power-hint"], "power-hint");
      if (const std::int64_t launched = whole_or(entry, "launched", 0); launched != 0)
        row.started = to.span(launched);
      to.choice.list_row(row);
    }
    to.choice.list_closes();
  }

  void arrival(const json& msg, Instance& to) {
    const double slice = number(need(msg, "slice"), "slice");
    if (slice < 0) {
      marbledyke::MultigetAsk ask;
      ask.id = rid(msg);
      ask.number = number(need(msg, "query-no"), "query-no");
      ask.op_type = static_cast<int>(whole_or(msg, "profile", 0));
      ask.customer = static_cast<int>(whole_or(msg, "user-group", 0));
      ask.parts = static_cast<int>(number(need(msg, "heft"), "heft"));
      ask.repeated = msg.contains("is-retry") && msg["is-retry"] == true;
      ask.client_leaves = to.span(whole(msg, "drop-dead"));
      to.choice.multiget_taken(ask);
    } else {
      marbledyke::PartAsk ask;
      ask.id = rid(msg);
      ask.multiget = number(need(msg, "query-no"), "query-no");
      ask.shard = static_cast<int>(slice);
      ask.weight = number(need(msg, "heft"), "heft");
      ask.key = static_cast<std::uint64_t>(whole_or(msg, "affinity", 0));
      ask.hint = Duration(whole_or(msg, "cost-guess", 0));
      to.choice.part_taken(ask);
    }
  }

  void tell(std::int64_t who, Instance& from, json& output) {
    Choice& choice = from.choice;
    const auto say = [&](const char* type, json fields) {
      fields["type"] = type;
      fields["gatherer"] = who;
      output.push_back(std::move(fields));
    };
    while (const auto verdict = choice.next_verdict()) {
      json fields{{"request-id", verdict->multiget.view()}};
      switch (verdict->ending) {
        case marbledyke::Ending::answer:
          fields["complete"] = verdict->whole;
          say("Answer", std::move(fields));
          break;
        case marbledyke::Ending::push_back:
          if (verdict->come_back > Duration::zero()) fields["backoff"] = verdict->come_back.count();
          say("Decline", std::move(fields));
          break;
        case marbledyke::Ending::fail:
          say("DropRequest", std::move(fields));
          break;
      }
    }
    while (const auto gone = choice.next_withdrawal()) {
      say("Cancel", {{"request-id", gone->part.view()}, {"try", gone->send}});
    }
    while (const auto send = choice.next_send()) {
      say("Send", {{"request-id", send->part.view()},
                   {"server", send->server},
                   {"not-past", send->not_past.count() + from.epoch}});
    }
    while (const auto server = choice.next_probe()) say("Ping", {{"server", *server}});
    while (const auto call = choice.next_list_call()) {
      if (*call == marbledyke::ListCall::watch) {
        say("Observe", {{"complete", true}});
      } else {
        say("Resolve", json::object());
      }
    }
    while (const auto note = choice.next_note()) say("Log", {{"body-text", *note}});
    while (const auto wake = choice.next_wake()) say("After", {{"from-now", wake->count()}, {"ref", 1}});
  }

  std::int64_t now_ = 0;
  std::map<std::int64_t, json> sheets_;
  std::map<std::int64_t, Instance> instances_;
  std::vector<std::int64_t> touched_;
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  Host host;
  std::string line;
  std::string name = "before the first";
  while (std::getline(std::cin, line)) {
    if (line.empty()) continue;
    try {
      const json batch = json::parse(line);
      const std::int64_t frame = whole(batch, "frame");
      name = std::to_string(frame);
      const json output = host.turn(batch);
      std::cout << json{{"frame", frame}, {"output", output}}.dump() << '\n' << std::flush;
    } catch (const json::parse_error&) {
      std::cerr << "batch after " << name << ": the line is not JSON\n";
      return 2;
    } catch (const std::exception& wrong) {
      std::cerr << "batch " << name << ": " << wrong.what() << '\n';
      return 2;
    }
  }
  return 0;
}
