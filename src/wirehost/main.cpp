// The adapter: decodes the simulator's wire into calls on the decision module and encodes what it decides.
// Each instance has a module of its own; they share nothing but the sheets that the wire itself shares.
#include <cstdlib>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/fields.h"
#include "decision_engine.h"

namespace {

using marbledyke::DecisionEngine;
using marbledyke::Duration;
using marbledyke::RequestId;
using marbledyke::SendOutcome;
using marbledyke::ServerStatus;
using marbledyke::config::BadInput;
using marbledyke::config::flatten;
using marbledyke::config::integer;
using marbledyke::config::integer_or;
using marbledyke::config::json;
using marbledyke::config::number;
using marbledyke::config::required;
using marbledyke::config::text;

RequestId rid(const json& from) {
  const std::string& id = text(from, "request-id");
  RequestId out;
  if (id.size() != out.text.size()) throw BadInput("request-id: not 16 characters");
  id.copy(out.text.data(), out.text.size());
  return out;
}

SendOutcome fate(const std::string& rc) {
  if (rc == "delivered") return SendOutcome::returned;
  if (rc == "app_error") return SendOutcome::app_error;
  if (rc == "shed") return SendOutcome::pushed_back;
  if (rc == "expired") return SendOutcome::expired;
  if (rc == "dial_failed") return SendOutcome::dial_failed;
  if (rc == "dropped") return SendOutcome::dropped;
  if (rc == "revoked") return SendOutcome::revoked;
  if (rc == "unused") return SendOutcome::unused;
  throw BadInput("rc: unknown outcome " + rc);
}

ServerStatus standing(const std::string& readiness) {
  if (readiness == "U") return ServerStatus::up;
  if (readiness == "L") return ServerStatus::draining;
  if (readiness == "D") return ServerStatus::gone;
  throw BadInput("readiness: unknown value " + readiness);
}

marbledyke::LoadReport load(const json& from) {
  marbledyke::LoadReport out;
  const auto at = from.find("load");
  if (at == from.end() || at->is_null()) return out;
  if (!at->is_array()) throw BadInput("load: not an array");
  for (const json& value : *at) {
    if (out.count == static_cast<int>(out.values.size())) break;
    out.values[static_cast<std::size_t>(out.count++)] = number(value, "load");
  }
  return out;
}

struct Instance {
  DecisionEngine choice;
  std::int64_t epoch = 0;
  bool touched = false;

  Duration span(std::int64_t at) const { return Duration(at - epoch); }
};

class Host {
 public:
  json turn(const json& batch) {
    now_ = integer(batch, "sim-time");
    const json& msgs = required(batch, "msgs");
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
      const json& records = required(msg, "records");
      if (!records.is_array()) throw BadInput("records: not an array");
      sheets_[integer(msg, "sheet")] = records;
      return;
    }
    if (!msg.contains("gatherer")) return;  // an event of a kind not known here
    const std::int64_t who = integer(msg, "gatherer");
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
      to.choice.on_send_ended(rid(msg), static_cast<int>(integer(msg, "try")), fate(text(msg, "rc")),
                              Duration(integer_or(msg, "time-taken", 0)), load(msg));
    } else if (type == "Echo") {
      to.choice.on_probe_ended(text(msg, "server"), fate(text(msg, "rc")),
                               Duration(integer_or(msg, "time-taken", 0)), load(msg));
    } else if (type == "Aborted") {
      to.choice.on_client_left(rid(msg));
    }
  }

  void create(std::int64_t who, const json& msg) {
    marbledyke::FlatSettings terms;
    const json& params = required(msg, "params");
    if (!params.is_object()) throw BadInput("params: not an object");
    flatten(params, "", terms);
    const json& seed = required(msg, "rng-seed");
    if (!seed.is_number_integer()) throw BadInput("rng-seed: not a whole number");
    instances_.erase(who);
    const auto mixed = seed.get<std::uint64_t>();
    const auto made = instances_.emplace(
        who, Instance{DecisionEngine(terms, static_cast<std::uint32_t>(mixed ^ (mixed >> 32))), now_, false});
    touch(who, made.first->second);
  }

  void touch(std::int64_t who, Instance& instance) {
    if (instance.touched) return;
    instance.touched = true;
    touched_.push_back(who);
    instance.choice.advance_clock(instance.span(now_));
  }

  void topology(const json& msg, Instance& to) {
    const std::string& kind = text(msg, "kind");
    if (kind == "refused") {
      to.choice.on_list_call_refused(std::chrono::seconds(6));  // the page states no limit; what sockets have
      return;
    }
    if (kind != "changes" && kind != "all" && kind != "remembered")
      throw BadInput("kind: unknown value " + kind);
    const auto sheet = sheets_.find(integer(msg, "sheet"));
    if (sheet == sheets_.end()) throw BadInput("sheet: none of that number");
    to.choice.on_list_begin(kind != "changes", kind == "remembered");
    for (const json& entry : sheet->second) {
      marbledyke::ListEntry row;
      row.server = text(entry, "server");
      row.zone = static_cast<int>(integer_or(entry, "hall", 0));
      row.cell = static_cast<int>(integer_or(entry, "place", 0));
      row.status = standing(text(entry, "readiness"));
      if (entry.contains("power-hint")) row.size = number(entry["power-hint"], "power-hint");
      if (const std::int64_t launched = integer_or(entry, "launched", 0); launched != 0)
        row.started = to.span(launched);
      to.choice.on_list_entry(row);
    }
    to.choice.on_list_complete();
  }

  void arrival(const json& msg, Instance& to) {
    const double slice = number(required(msg, "slice"), "slice");
    if (slice < 0) {
      marbledyke::MultigetRequest ask;
      ask.id = rid(msg);
      ask.number = number(required(msg, "query-no"), "query-no");
      ask.op_type = static_cast<int>(integer_or(msg, "profile", 0));
      ask.customer = static_cast<int>(integer_or(msg, "user-group", 0));
      ask.part_count = static_cast<int>(number(required(msg, "heft"), "heft"));
      ask.is_retry = msg.contains("is-retry") && msg["is-retry"] == true;
      ask.client_deadline = to.span(integer(msg, "drop-dead"));
      to.choice.on_multiget_received(ask);
    } else {
      marbledyke::PartRequest ask;
      ask.id = rid(msg);
      ask.multiget_number = number(required(msg, "query-no"), "query-no");
      ask.shard = static_cast<int>(slice);
      ask.weight = number(required(msg, "heft"), "heft");
      ask.key = static_cast<std::uint64_t>(integer_or(msg, "affinity", 0));
      ask.cost_hint = Duration(integer_or(msg, "cost-guess", 0));
      to.choice.on_part_received(ask);
    }
  }

  void tell(std::int64_t who, Instance& from, json& output) {
    DecisionEngine& choice = from.choice;
    const auto say = [&](const char* type, json fields) {
      fields["type"] = type;
      fields["gatherer"] = who;
      output.push_back(std::move(fields));
    };
    while (const auto verdict = choice.next_reply()) {
      json fields{{"request-id", verdict->multiget.view()}};
      switch (verdict->outcome) {
        case marbledyke::MultigetOutcome::answer:
          fields["complete"] = verdict->complete;
          say("Answer", std::move(fields));
          break;
        case marbledyke::MultigetOutcome::push_back:
          if (verdict->retry_after > Duration::zero()) fields["backoff"] = verdict->retry_after.count();
          say("Decline", std::move(fields));
          break;
        case marbledyke::MultigetOutcome::fail:
          say("DropRequest", std::move(fields));
          break;
      }
    }
    while (const auto gone = choice.next_cancellation()) {
      say("Cancel", {{"request-id", gone->part.view()}, {"try", gone->send}});
    }
    while (const auto send = choice.next_send()) {
      say("Send", {{"request-id", send->part.view()},
                   {"server", send->server},
                   {"not-past", send->deadline.count() + from.epoch}});
    }
    while (const auto server = choice.next_probe()) say("Ping", {{"server", *server}});
    while (const auto call = choice.next_list_call()) {
      if (*call == marbledyke::ListCall::watch) {
        say("Observe", {{"complete", true}});
      } else {
        say("Resolve", json::object());
      }
    }
    while (const auto note = choice.next_log_message()) say("Log", {{"body-text", *note}});
    while (const auto wake = choice.next_wake_delay())
      say("After", {{"from-now", wake->count()}, {"ref", 1}});
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
      const std::int64_t frame = integer(batch, "frame");
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
