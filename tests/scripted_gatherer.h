// A decision engine driven by a test script: the test reports events, and every decision is printed.
#pragma once

#include <cstdio>
#include <map>
#include <string>

#include "decision_engine.h"

namespace marbledyke::trace {

using namespace std::chrono_literals;

// Returns an id that consists of `name`, padded with zeros. Names have no zeros.
inline RequestId request_id(const std::string& name) {
  RequestId id;
  id.text.fill('0');
  name.copy(id.text.data(), id.text.size());
  return id;
}

// Returns the name from which request_id() made an id.
inline std::string short_name(const RequestId& id) {
  const std::string text(id.view());
  return text.substr(0, text.find('0'));
}

// Settings with one op type and four shards, each held by all replicas.
inline FlatSettings default_settings() {
  return {{"categories.0.deadline", 4e6},
          {"categories.0.objective", 2e6},
          {"categories.0.effect", std::string("repeatable")},
          {"categories.0.late-share", 0.1},
          {"specifics.overhead", 40000.0},
          {"specifics.bundle-max", 16.0},
          {"specifics.sets", 1.0},
          {"specifics.width", 1.0},
          {"specifics.slabs", 4.0},
          {"limits.attempts-cap", 4.0},
          {"limits.cancel", true},
          {"limits.second-copies", true},
          {"limits.max-open", 100.0},
          {"limits.retry-after", true},
          {"limits.max-retry-after", 1e6},
          {"contract.cold", 10e6},
          {"contract.cold-from", 0.2},
          {"contract.fall-multiple", 2.0},
          {"contract.overload-for", 1e6},
          {"contract.drain-grace", 5e5},
          {"replicas-of-me", 2.0}};
}

// Owns an engine with the seed 7 whose clock starts at 0.
class ScriptedGatherer {
 public:
  explicit ScriptedGatherer(const FlatSettings& settings) : engine_(settings, 7) {
    engine_.advance_clock(0ms);
  }

  // Reports one entry for each letter of `servers`; servers that are not named stay as they are.
  void report_list(const std::string& servers, ServerStatus status = ServerStatus::up,
                   std::optional<Duration> started = {}) {
    engine_.on_list_begin(false, false);
    for (const char server : servers) {
      ListEntry entry;
      entry.server = std::string(1, server);
      entry.status = status;
      entry.started = started;
      engine_.on_list_entry(entry);
    }
    engine_.on_list_complete();
  }

  // Reports a multiget with one part for each letter of `parts`. A part is named by the multiget's name and
  // its letter; shards count up from `shard`. The client leaves after `patience`.
  void receive_multiget(const std::string& name, const std::string& parts, double hint_ms = 100,
                        int op_type = 0, int shard = 0, Duration patience = 4s) {
    const double number = ++number_;
    engine_.on_multiget_received(
        {request_id(name), number, op_type, 0, static_cast<int>(parts.size()), now_ + patience});
    receive_parts(name, number, parts, hint_ms, shard);
  }

  // Reports further parts of a multiget. Each cost hint is hint_factor times the one before.
  void receive_parts(const std::string& name, double number, const std::string& parts, double hint_ms,
                     int shard) {
    for (const char part : parts) {
      const Duration hint(static_cast<std::int64_t>(hint_ms * 1000));
      engine_.on_part_received(
          {request_id(name + part), number, shard++, 1.0 / static_cast<double>(parts.size()), 0, hint});
      hint_ms *= hint_factor;
    }
  }

  void end_send(const std::string& part, SendOutcome outcome, int send = 0, Duration elapsed = 100ms) {
    engine_.on_send_ended(request_id(part), send, outcome, elapsed, {});
  }

  // Reports the end of a probe; `held` is the first value of its load report.
  void end_probe(const std::string& server, SendOutcome outcome, double held = 0, Duration elapsed = 2ms) {
    engine_.on_probe_ended(server, outcome, elapsed, {{held, 0, 0, 0}, 1});
  }

  // Pulls and prints all decisions. Returns the server of the last send, or an empty string.
  std::string pull_decisions() {
    std::string server_name;
    while (const auto v = engine_.next_reply()) {
      const char* how = v->outcome == MultigetOutcome::answer
                            ? (v->complete ? "answer complete" : "answer incomplete")
                        : v->outcome == MultigetOutcome::push_back ? "push back"
                                                                   : "fail";
      print_decision(std::string(how) + " " + short_name(v->multiget) +
                     (v->retry_after > 0ms ? ", retry later" : ""));
    }
    while (const auto w = engine_.next_cancellation()) {
      print_decision("cancel " + short_name(w->part) + " send " + std::to_string(w->send));
    }
    while (const auto s = engine_.next_send()) {
      server_name = s->server;
      const bool bound = s->latest_start < s->deadline;
      print_decision("send " + short_name(s->part) + " to " + server_name +
                     (bound ? ", written by " + std::to_string(s->latest_start / 1ms) + " ms" : ""));
    }
    while (const auto server = engine_.next_probe()) print_decision(std::string("probe ").append(*server));
    while (const auto c = engine_.next_list_call())
      print_decision(*c == ListCall::watch ? "watch the list" : "fetch the list");
    while (engine_.next_log_message()) {
    }
    while (engine_.next_wake_delay()) {
    }
    return server_name;
  }

  void advance_to(Duration now) {
    now_ = now;
    engine_.advance_clock(now);
  }

  // Advances the time in steps of 10 ms and pulls the decisions after each.
  void run_until(Duration end) {
    while (now_ < end) {
      advance_to(std::min(end, now_ + 10ms));
      pull_decisions();
    }
  }

  void print(const std::string& what) const {
    std::printf("%5lld ms  %s\n", static_cast<long long>(now_ / 1ms), what.c_str());
  }

  void print_decision(const std::string& what) const {
    if (!quiet) print(what);
  }

  DecisionEngine& engine() { return engine_; }
  double hint_factor = 1;
  bool quiet = false;  // decisions are not printed

 private:
  DecisionEngine engine_;
  Duration now_{};
  double number_ = 0;
};

}  // namespace marbledyke::trace
