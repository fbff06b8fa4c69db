// A hand-driven gatherer for traces: says what has come in, prints what is decided.
#pragma once

#include <cstdio>
#include <map>
#include <string>

#include "choice.h"

namespace marbledyke::trace {

using namespace std::chrono_literals;

inline Rid rid(const std::string& name) {
  Rid id;
  id.text.fill('0');
  name.copy(id.text.data(), id.text.size());
  return id;
}

inline std::string plain(const Rid& id) {
  const std::string text(id.view());
  return text.substr(0, text.find('0'));
}

// One op type of four shards, each held by all replicas, unless a test says otherwise.
inline Terms ordinary_terms() {
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

class Gatherer {
 public:
  explicit Gatherer(const Terms& terms) : choice_(terms, 7) { choice_.clock(0ms); }

  void list(const std::string& servers, Standing standing = Standing::up,
            std::optional<Duration> started = {}) {
    choice_.list_opens(false, false);
    for (const char server : servers) {
      ListRow row;
      row.server = std::string(1, server);
      row.standing = standing;
      row.started = started;
      choice_.list_row(row);
    }
    choice_.list_closes();
  }

  // A multiget with one part for each letter of `parts`, named after both; shards count up from `shard`.
  void take(const std::string& name, const std::string& parts, double hint_ms = 100, int op_type = 0,
            int shard = 0, Duration patience = 4s) {
    const double number = ++number_;
    choice_.multiget_taken({rid(name), number, op_type, 0, static_cast<int>(parts.size()), now_ + patience});
    more_parts(name, number, parts, hint_ms, shard);
  }

  void more_parts(const std::string& name, double number, const std::string& parts, double hint_ms,
                  int shard) {
    for (const char part : parts) {
      const Duration hint(static_cast<std::int64_t>(hint_ms * 1000));
      choice_.part_taken(
          {rid(name + part), number, shard++, 1.0 / static_cast<double>(parts.size()), 0, hint});
      hint_ms *= hints_fall_by;
    }
  }

  void ended(const std::string& part, Fate fate, int send = 0, Duration elapsed = 100ms) {
    choice_.send_ended(rid(part), send, fate, elapsed, {});
  }

  // A probe's end; held is what the report says the server holds.
  void asked(const std::string& server, Fate fate, double held = 0, Duration elapsed = 2ms) {
    choice_.probe_ended(server, fate, elapsed, {{held, 0, 0, 0}, 1});
  }

  // Prints each decision as it is pulled; gives the server of the last send.
  std::string decide() {
    std::string to;
    while (const auto v = choice_.next_verdict()) {
      const char* how = v->ending == Ending::answer      ? (v->whole ? "answer whole" : "answer in part")
                        : v->ending == Ending::push_back ? "push back"
                                                         : "fail";
      tell(std::string(how) + " " + plain(v->multiget) + (v->come_back > 0ms ? ", come back later" : ""));
    }
    while (const auto w = choice_.next_withdrawal()) {
      tell("withdraw " + plain(w->part) + " send " + std::to_string(w->send));
    }
    while (const auto s = choice_.next_send()) {
      to = s->server;
      const bool bound = s->begun_by < s->not_past;
      tell("send " + plain(s->part) + " to " + to +
           (bound ? ", begun by " + std::to_string(s->begun_by / 1ms) + " ms" : ""));
    }
    while (const auto server = choice_.next_probe()) tell(std::string("ask ").append(*server));
    while (const auto c = choice_.next_list_call())
      tell(*c == ListCall::watch ? "watch the list" : "fetch the list");
    while (choice_.next_note()) {
    }
    while (choice_.next_wake()) {
    }
    return to;
  }

  void at(Duration now) {
    now_ = now;
    choice_.clock(now);
  }

  // Lets time pass in the steps of a quiet host, printing what is decided on the way.
  void until(Duration end) {
    while (now_ < end) {
      at(std::min(end, now_ + 10ms));
      decide();
    }
  }

  void say(const std::string& what) const {
    std::printf("%5lld ms  %s\n", static_cast<long long>(now_ / 1ms), what.c_str());
  }

  void tell(const std::string& what) const {
    if (!quiet) say(what);
  }

  Choice& choice() { return choice_; }
  double hints_fall_by = 1;
  bool quiet = false;  // keeps decisions from being printed

 private:
  Choice choice_;
  Duration now_{};
  double number_ = 0;
};

}  // namespace marbledyke::trace
