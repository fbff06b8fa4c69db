// Prints traces of the decision engine, one case per run; they are compared with those in traces/.
#include <array>
#include <cstring>
#include <stdexcept>

#include "scripted_gatherer.h"

using namespace marbledyke;
using namespace marbledyke::trace;

namespace {

// The part with the largest cost is placed first, and a loaded preferred replica loses a part to the least
// loaded one.
void margin() {
  ScriptedGatherer g(default_settings());
  g.report_list("ABC");
  g.hint_factor = 0.5;
  g.receive_multiget("m", "abcd", 100);
  g.pull_decisions();
  g.advance_to(10ms);
  g.receive_multiget("n", "abcd", 100);
  g.pull_decisions();
}

// Replicas with equal load: a shard's parts stay with the preferred replica up to a fifth above its fair
// share. The pauses let recent cost decay.
void ties() {
  ScriptedGatherer g(default_settings());
  g.report_list("ABC");
  for (int i = 0; i < 6; ++i) {
    const std::string name(1, static_cast<char>('m' + i));
    g.advance_to(i * 15s);
    g.receive_multiget(name, "a");
    g.pull_decisions();
    g.end_send(name + "a", SendOutcome::returned, 0, 140ms);
    g.pull_decisions();
  }
}

// Opening a call counts as load, so small parts join a call that is already open.
void shared_calls() {
  ScriptedGatherer g(default_settings());
  g.report_list("ABC");
  g.receive_multiget("m", "abcd", 8);
  g.pull_decisions();
}

// A replica that never answers one op type but answers the other loses the first and keeps the second.
void one_op_type_swallowed() {
  FlatSettings settings = default_settings();
  settings["categories.1.deadline"] = 4e6;
  settings["categories.1.objective"] = 1e6;
  settings["categories.1.effect"] = std::string("once");
  ScriptedGatherer g(settings);
  g.report_list("AB");
  for (int i = 0; i < 8; ++i) {
    const std::string name(1, static_cast<char>('m' + i));
    g.advance_to(i * 3s);
    g.print("-- " + name + (i % 2 == 0 ? " non-retriable" : " retriable"));
    g.receive_multiget(name, "a", 100, i % 2 == 0 ? 1 : 0);
    const std::string to = g.pull_decisions();
    if (i % 2 == 1 || to != "B") g.end_send(name + "a", SendOutcome::returned, 0, 140ms);
    g.run_until(i * 3s + 2s);
    g.end_send(name + "a", SendOutcome::revoked, 0, 2s);
  }
}

// Rule 1: exactly one final reply before the client leaves, also if no server answers or the list is empty;
// nothing is sent afterwards.
void rule_final_answer() {
  ScriptedGatherer silent(default_settings());
  silent.report_list("AB");
  silent.receive_multiget("m", "ab", 100, 0, 0, 3s);
  silent.pull_decisions();
  silent.run_until(3200ms);
  silent.end_send("ma", SendOutcome::dropped);
  silent.pull_decisions();
  ScriptedGatherer empty(default_settings());
  empty.receive_multiget("n", "a", 100, 0, 0, 1s);
  empty.pull_decisions();
  empty.run_until(1100ms);
}

// Rule 2: a part that may have run is neither sent again nor pushed back; one that has provably not run is
// sent again.
void rule_no_effect_twice() {
  FlatSettings settings = default_settings();
  settings["categories.0.effect"] = std::string("once");
  settings["categories.1.deadline"] = 4e6;
  settings["categories.1.effect"] = std::string("by_key");
  settings["categories.1.key-ttl"] = 1e6;
  for (const SendOutcome outcome : {SendOutcome::pushed_back, SendOutcome::dial_failed,
                                    SendOutcome::app_error, SendOutcome::dropped, SendOutcome::expired}) {
    ScriptedGatherer g(settings);
    g.print("-- outcome " + std::to_string(static_cast<int>(outcome)));
    g.report_list("AB");
    g.receive_multiget("m", "a");
    g.pull_decisions();
    g.advance_to(20ms);
    g.end_send("ma", outcome);
    g.pull_decisions();
  }
  for (const Duration late : {990ms, 1010ms}) {
    ScriptedGatherer g(settings);
    g.print("-- deduped, error after " + std::to_string(late / 1ms) + " ms");
    g.report_list("A");
    g.receive_multiget("m", "a", 600, 1);
    g.pull_decisions();
    g.advance_to(late);
    g.end_send("ma", SendOutcome::app_error);
    g.pull_decisions();
  }
}

// Rule 3: nothing is sent to a replica that is draining, gone, or missing from a whole list.
void rule_drains() {
  ScriptedGatherer g(default_settings());
  g.report_list("ABC");
  g.report_list("A", ServerStatus::draining);
  g.report_list("B", ServerStatus::gone);
  g.receive_multiget("m", "abcd");
  g.pull_decisions();
  g.engine().on_list_begin(true, false);
  g.engine().on_list_entry({"A", 0, 0, ServerStatus::up, 1, {}});
  g.engine().on_list_complete();
  g.advance_to(10ms);
  g.receive_multiget("n", "abcd");
  g.pull_decisions();
}

// Rule 4: a cold replica gets at most this gatherer's share of the budget in each window, and more as it
// warms up.
void rule_cold_share() {
  ScriptedGatherer g(default_settings());
  g.quiet = true;
  g.report_list("A");
  g.report_list("B", ServerStatus::up, 0ms);
  int sent = 0;
  for (int i = 0; i < 480; ++i) {
    g.advance_to(i * 25ms);
    const std::string name =
        std::string(1, static_cast<char>('a' + i % 26)) + static_cast<char>('a' + i / 26);
    g.receive_multiget(name, "p", 60);
    const std::string to = g.pull_decisions();
    sent += to == "B" ? 1 : 0;
    g.end_send(name + "p", SendOutcome::returned, 0, 100ms);
    g.pull_decisions();
    if (i % 40 == 39) {
      g.print("sent to the cold replica in 1 s: " + std::to_string(sent));
      sent = 0;
    }
  }
}

// Rule 5: no answer below the minimum weight, and none marked complete that is not. Each part counts once,
// and the second step counts separately.
void rule_honest() {
  FlatSettings settings = default_settings();
  settings["specifics.class-floor.0"] = 0.5;
  settings["specifics.short-worth.0"] = 0.9;
  ScriptedGatherer g(settings);
  g.report_list("AB");
  g.receive_multiget("m", "abcd");
  g.receive_multiget("n", "abcd");
  g.pull_decisions();
  for (const char* part : {"ma", "mb", "na", "na"}) g.end_send(part, SendOutcome::returned);
  g.run_until(4s);
  FlatSettings two = default_settings();
  two["specifics.second-step.0"] = 2.0;
  ScriptedGatherer h(two);
  h.report_list("AB");
  h.receive_multiget("o", "ab");
  h.pull_decisions();
  h.end_send("oa", SendOutcome::returned);
  h.end_send("ob", SendOutcome::returned);
  h.advance_to(200ms);
  h.pull_decisions();
  h.advance_to(205ms);
  h.receive_parts("o", 1, "xy", 50, 0);
  h.pull_decisions();
  h.end_send("ox", SendOutcome::returned);
  h.advance_to(300ms);
  h.pull_decisions();
  h.end_send("oy", SendOutcome::returned);
  h.advance_to(310ms);
  h.pull_decisions();
}

// A part that can neither return nor be sent again ends its multiget, unless the remaining parts still
// suffice for an answer.
void lost_parts() {
  FlatSettings settings = default_settings();
  settings["categories.0.effect"] = std::string("once");
  settings["specifics.class-floor.0"] = 0.5;
  for (const int errors : {1, 3}) {
    ScriptedGatherer g(settings);
    g.print("-- errors " + std::to_string(errors));
    g.report_list("AB");
    g.receive_multiget("m", "abcd");
    g.pull_decisions();
    for (int i = 0; i < errors; ++i)
      g.end_send(std::string("m") + static_cast<char>('a' + i), SendOutcome::app_error);
    g.advance_to(50ms);
    g.pull_decisions();
    g.end_send("md", SendOutcome::returned);
    g.advance_to(100ms);
    g.pull_decisions();
    g.end_send("mc", SendOutcome::returned);
    g.advance_to(150ms);
    g.pull_decisions();
  }
}

// The list says that a replica is up, but it cannot be reached. It soon gets no more work, except for an
// occasional attempt.
void list_lies() {
  ScriptedGatherer g(default_settings());
  g.quiet = true;
  g.report_list("ABC");
  int tried = 0;
  for (int i = 0; i < 300; ++i) {
    g.advance_to(i * 50ms);
    const std::string name =
        std::string(1, static_cast<char>('a' + i % 26)) + static_cast<char>('a' + i / 26);
    g.receive_multiget(name, "p", 60);
    const std::string to = g.pull_decisions();
    tried += to == "B" ? 1 : 0;
    g.end_send(name + "p", to == "B" ? SendOutcome::dial_failed : SendOutcome::returned, 0, 100ms);
    g.pull_decisions();
    g.end_send(name + "p", SendOutcome::returned, 1, 100ms);
    g.pull_decisions();
    if (i % 60 == 59) {
      g.print("sent to the unreachable replica in 3 s: " + std::to_string(tried));
      tried = 0;
    }
  }
}

// Guards against unbounded memory where servers come under ever new ids: one starts each second and is gone
// after two. Their state is kept no longer than a cold start lasts, except for a server with a send in
// flight; a draining server stays known.
void forgotten() {
  ScriptedGatherer g(default_settings());
  g.report_list("A");
  g.receive_multiget("m", "p", 100, 0, 0, 1000s);
  g.pull_decisions();
  g.report_list("A", ServerStatus::gone);
  g.report_list("Z", ServerStatus::draining);
  const auto listed = [&](int i, ServerStatus status) {
    g.engine().on_list_begin(false, false);
    g.engine().on_list_entry({"s" + std::to_string(i), 0, 0, status, 1, {}});
    g.engine().on_list_complete();
  };
  for (int i = 0; i < 300; ++i) {
    g.advance_to(1s * (i + 1));
    listed(i, ServerStatus::up);
    if (i > 1) listed(i - 2, ServerStatus::gone);
    if (i % 100 == 99) g.print("servers known: " + std::to_string(g.engine().known_server_count()));
  }
  g.report_list("A");
  g.receive_multiget("n", "p", 100, 0, 0, 1000s);
  g.pull_decisions();
}

// From 5 s to 15 s, B answers ten times slower and A quickly fails half of its sends: B keeps little of the
// work, and A loses some, as long as that lasts.
void sick_replicas() {
  ScriptedGatherer g(default_settings());
  g.quiet = true;
  g.report_list("ABCD");
  std::map<std::string, int> sent;
  for (int i = 0; i < 400; ++i) {
    g.advance_to(i * 50ms);
    const std::string name =
        std::string(1, static_cast<char>('a' + i % 26)) + static_cast<char>('a' + i / 26);
    g.receive_multiget(name, "p", 60);
    const std::string to = g.pull_decisions();
    sent[to] += 1;
    const bool sick = i >= 100 && i < 300;
    const bool fails = sick && to == "A" && i % 2 == 0;
    g.end_send(name + "p", fails ? SendOutcome::app_error : SendOutcome::returned, 0,
               sick && to == "B" ? 1000ms : 100ms);
    g.pull_decisions();
    g.end_send(name + "p", SendOutcome::returned, 1, 100ms);
    g.pull_decisions();
    if (i % 100 == 99) {
      g.print("A " + std::to_string(sent["A"]) + " B " + std::to_string(sent["B"]) + " C " +
              std::to_string(sent["C"]) + " D " + std::to_string(sent["D"]));
      sent.clear();
    }
  }
}

// Many clients retry at once, far beyond the capacity: the admitted multigets still fit the latency budget.
void stampede() {
  ScriptedGatherer g(default_settings());
  g.quiet = true;
  g.report_list("AB");
  int admitted = 0;
  for (int i = 0; i < 90; ++i) {
    const std::string name =
        std::string(1, static_cast<char>('a' + i % 26)) + static_cast<char>('a' + i / 26);
    g.receive_multiget(name, "p", 200);
    admitted += g.pull_decisions().empty() ? 0 : 1;
    g.advance_to((i + 1) * 1ms);
  }
  g.print("admitted at once: " + std::to_string(admitted) + " of 90");
}

// A deploy does not count as congestion: with only cold replicas, an ordinary multiget is admitted.
void cold_is_no_jam() {
  ScriptedGatherer g(default_settings());
  g.report_list("AB", ServerStatus::up, 0ms);
  g.receive_multiget("m", "a", 700);
  g.pull_decisions();
}

// Rule 6: resends stay within the stated budget: here one, plus a tenth of the three requests received.
void rule_budget() {
  FlatSettings settings = default_settings();
  settings["contract.resend-span"] = 10e6;
  settings["contract.extra-floor"] = 1.0;
  settings["contract.extra-per-request"] = 0.1;
  ScriptedGatherer g(settings);
  g.report_list("ABC");
  g.receive_multiget("m", "ab");
  g.pull_decisions();
  g.advance_to(50ms);
  g.end_send("ma", SendOutcome::app_error);
  g.end_send("mb", SendOutcome::app_error);
  g.pull_decisions();
}

// The engine has to ask for the list: it calls at once, and again after a refusal and a wait with jitter.
void list_asked() {
  FlatSettings settings = default_settings();
  settings["registry-mode"] = std::string("ask");
  settings["contract.ask-every"] = 10e6;
  ScriptedGatherer g(settings);
  g.pull_decisions();
  g.run_until(1s);
  g.engine().on_list_call_refused(3s);
  g.run_until(3s);
  g.report_list("A");
  g.run_until(30s);
  g.engine().on_list_call_refused(3s);
  g.run_until(31s);
}

// The replicas of a part are probed before it is placed: a loaded one and one that does not answer are passed
// over. If the price of a probe outweighs the expected gain, none is sent.
void looks() {
  FlatSettings settings = default_settings();
  settings["limits.probing"] = true;
  settings["telemetry.fields.0"] = std::string("active");
  ScriptedGatherer g(settings);
  g.report_list("ABC");
  g.receive_multiget("m", "a");
  g.pull_decisions();
  g.advance_to(5ms);
  g.end_probe("A", SendOutcome::returned, 0);
  g.end_probe("B", SendOutcome::returned, 9);
  g.pull_decisions();
  g.run_until(60ms);
  settings["prices.probe"] = 5.0;
  ScriptedGatherer expensive(settings);
  expensive.print("-- expensive probes");
  expensive.report_list("ABC");
  expensive.receive_multiget("m", "a");
  expensive.pull_decisions();
}

// Many parts that fail at once are all sent again at once: no budget is stated, and retries add no load.
void quick_failures() {
  ScriptedGatherer g(default_settings());
  g.quiet = true;
  g.report_list("ABC");
  std::string parts;
  for (int i = 0; i < 26; ++i) parts += static_cast<char>('a' + i);
  g.receive_multiget("m", parts, 20);
  g.pull_decisions();
  g.advance_to(5ms);
  for (const char part : parts) g.end_send({'m', part}, SendOutcome::dropped, 0, 5ms);
  g.quiet = false;
  g.pull_decisions();
}

// With a fair share far below one send per window, few of many gatherers send to a cold replica at all. If
// all of them have parts for it all the time, one that has sent waits until its share covers the next send.
void cold_turns() {
  FlatSettings settings = default_settings();
  settings["replicas-of-me"] = 100.0;
  std::array<int, 4> sent{};
  for (unsigned seed = 1; seed <= 100; ++seed) {
    DecisionEngine engine(settings, seed);
    engine.advance_clock(0ms);
    engine.on_list_begin(false, false);
    ListEntry entry;
    entry.server = std::string(1, 'A');
    entry.started = 0ms;
    engine.on_list_entry(entry);
    engine.on_list_complete();
    for (std::size_t window = 0; window < sent.size(); ++window) {
      const std::string name(1, static_cast<char>('m' + window));
      const Duration now = static_cast<std::int64_t>(window) * 1001ms;
      engine.advance_clock(now);
      engine.on_multiget_received({request_id(name), static_cast<double>(window + 1), 0, 0, 1, now + 4s});
      engine.on_part_received({request_id(name + "a"), static_cast<double>(window + 1), 0, 1.0, 0, 100ms});
      while (engine.next_reply()) {
      }
      while (engine.next_send()) sent[window] += 1;
    }
  }
  std::printf("sends by 100 gatherers in a window: %d\n", sent[0]);
  std::printf("and in the next ones: %d, %d, %d\n", sent[1], sent[2], sent[3]);
}

// Where hedging is not allowed, an overdue send is cancelled, and the part is sent again only after that send
// has ended, and not at all once the dedupe window is over. An answer that crosses the cancellation counts.
void moved_not_copied() {
  FlatSettings settings = default_settings();
  settings["limits.second-copies"] = false;
  settings["categories.0.effect"] = std::string("by_key");
  settings["categories.0.key-ttl"] = 2e6;
  settings["limits.connect-timeout"] = 250e3;  // longest wait of a send for its connection
  for (const Duration end : {1500ms, 1800ms}) {
    ScriptedGatherer g(settings);
    g.report_list("AB");
    g.receive_multiget("m", "a");
    g.pull_decisions();
    g.run_until(end);
    g.advance_to(end + 5ms);
    g.print("-- the cancelled send has ended");
    g.end_send("ma", SendOutcome::revoked, 0, end);
    g.pull_decisions();
  }
  ScriptedGatherer g(settings);
  g.report_list("AB");
  g.receive_multiget("m", "a");
  g.pull_decisions();
  g.run_until(1500ms);
  g.advance_to(1505ms);
  g.print("-- it was answered before the cancellation arrived");
  g.end_send("ma", SendOutcome::returned, 0, 1500ms);
  g.pull_decisions();
}

// An overdue replica is probed. If it answers, it is only busy and keeps the part; if not, it loses the part.
void silence_moves() {
  FlatSettings settings = default_settings();
  settings["limits.second-copies"] = false;
  settings["limits.probing"] = true;
  settings["prices.probe"] = 1.0;
  for (const bool answers : {true, false}) {
    ScriptedGatherer g(settings);
    g.print(answers ? "-- answers the probe" : "-- does not answer the probe");
    g.report_list("AB");
    g.receive_multiget("m", "a");
    const std::string to = g.pull_decisions();
    g.run_until(450ms);
    if (answers) g.end_probe(to, SendOutcome::returned, 4);
    g.run_until(700ms);
  }
}

// An incomplete answer is given shortly before the latency budget is over, since a late one is worth little.
void partial_in_time() {
  FlatSettings settings = default_settings();
  settings["specifics.class-floor.0"] = 0.7;
  settings["specifics.short-worth.0"] = 0.9;
  settings["categories.0.objective"] = 1e6;
  for (const int in : {2, 3}) {
    ScriptedGatherer g(settings);
    g.print("-- parts in: " + std::to_string(in));
    g.report_list("AB");
    g.receive_multiget("m", "abcd");
    g.pull_decisions();
    g.quiet = true;
    for (int i = 0; i < in; ++i)
      g.end_send(std::string("m") + static_cast<char>('a' + i), SendOutcome::returned);
    g.run_until(970ms);
    g.quiet = false;
    g.run_until(1010ms);
  }
}

// A part that no replica can return leads to a push-back only if an answer needs that part.
void expected_for_an_answer() {
  for (const double floor : {0.7, 1.0}) {
    FlatSettings settings = default_settings();
    settings["specifics.class-floor.0"] = floor;
    settings["specifics.short-worth.0"] = 0.9;
    settings["specifics.sets"] = 4.0;
    ScriptedGatherer g(settings);
    for (int cell = 0; cell < 3; ++cell) {  // no server of the last cell is up
      ListEntry entry;
      entry.server = std::string(1, static_cast<char>('A' + cell));
      entry.cell = cell;
      g.engine().on_list_begin(false, false);
      g.engine().on_list_entry(entry);
      g.engine().on_list_complete();
    }
    g.receive_multiget("m", "abcd");
    g.pull_decisions();
  }
}

// A customer's allowance is split among gatherers by traffic: a gatherer with four times the mean does not
// push back multigets within the allowances. Under congestion, those beyond an allowance are pushed back
// first.
void shares_by_traffic() {
  FlatSettings settings = default_settings();
  settings["over-share-worth"] = 0.1;
  settings["replicas-of-me"] = 8.0;
  for (int i = 0; i < 2; ++i) {
    const std::string at = "customers." + std::to_string(i);
    settings[at + ".name"] = std::string(i == 0 ? "one" : "two");
    settings[at + ".allowance-per-s"] = 0.5;
  }
  for (const int of_one : {2, 3}) {  // in four multigets
    ScriptedGatherer g(settings);
    g.quiet = true;
    g.report_list("AB");
    int back[2] = {0, 0};
    for (int i = 0; i < 160; ++i) {
      const Duration start = i * 2s;
      g.advance_to(start);
      const std::string name =
          std::string("m") + static_cast<char>('a' + i / 20) + static_cast<char>('a' + i % 20);
      const int customer = i % 4 < of_one ? 0 : 1;
      g.engine().on_multiget_received({request_id(name), 1000.0 + i, 0, customer, 1, start + 4s});
      g.engine().on_part_received({request_id(name + 'a'), 1000.0 + i, 0, 1.0, 0, 100ms});
      while (const auto v = g.engine().next_reply())
        back[customer] += v->outcome == MultigetOutcome::push_back ? 1 : 0;
      g.pull_decisions();
      g.advance_to(start + 700ms);
      g.end_send(name + 'a', SendOutcome::returned, 0, 700ms);
      g.pull_decisions();
    }
    std::printf("%d of 4 from customer one: pushed back %d of one, %d of two\n", of_one, back[0], back[1]);
  }
}

// New settings: open multigets end under the old ones, and none of their parts is sent twice. Two sends of a
// part do not stay in flight together where hedging is no longer allowed, and earlier sends count against the
// new budget. The old settings can be put back in the same way. Invalid settings change nothing.
void renewed() {
  FlatSettings before = default_settings();
  FlatSettings after = before;
  after["limits.second-copies"] = false;
  after["categories.0.effect"] = std::string("once");
  after["categories.0.objective"] = 1e6;
  after["categories.1.deadline"] = 4e6;
  after["categories.1.objective"] = 1e6;
  after["categories.1.effect"] = std::string("repeatable");
  after["specifics.class-floor.1"] = 0.5;
  after["specifics.short-worth.1"] = 0.9;
  after["specifics.sets"] = 2.0;
  after["contract.resend-span"] = 10e6;
  after["contract.extra-floor"] = 1.0;
  after["contract.extra-per-request"] = 0.0;
  ScriptedGatherer g(before);
  g.report_list("AB");
  g.receive_multiget("m", "a");
  g.receive_multiget("o", "a", 100, 0, 1);
  g.pull_decisions();
  g.end_send("oa", SendOutcome::app_error);
  g.run_until(600ms);
  FlatSettings invalid = after;
  invalid["limits.attempts-cap"] = 0.0;
  try {
    g.engine().update_settings(invalid);
  } catch (const std::invalid_argument& wrong) {
    g.print(std::string("refused: ") + wrong.what());
  }
  g.engine().update_settings(after);
  g.print("-- new settings");
  g.pull_decisions();
  ListEntry entry;
  entry.server = "C";
  entry.cell = 1;
  g.engine().on_list_begin(false, false);
  g.engine().on_list_entry(entry);
  g.engine().on_list_complete();
  g.advance_to(620ms);
  g.end_send("ma", SendOutcome::revoked, 0, 620ms);
  g.receive_multiget("n", "ab", 100, 1);
  g.receive_multiget("u", "a", 100, 0);
  g.pull_decisions();
  g.advance_to(700ms);
  g.print("-- errors: a part from before the change, a part under the new settings, a non-retriable part");
  for (const char* part : {"oa", "na", "ua"}) g.end_send(part, SendOutcome::app_error, *part == 'o' ? 1 : 0);
  g.pull_decisions();
  g.engine().update_settings(before);
  g.advance_to(800ms);
  g.print("-- back to the old settings");
  g.pull_decisions();
  g.advance_to(900ms);
  g.end_send("oa", SendOutcome::returned, 2);
  g.end_send("nb", SendOutcome::returned);
  g.end_send("ma", SendOutcome::returned, 1);
  g.receive_multiget("p", "a");
  g.pull_decisions();
  g.advance_to(950ms);
  g.end_send("pa", SendOutcome::returned);
  g.run_until(1700ms);
}

// A part that has failed at all its replicas waits before they are tried again. Sends to a server that does
// not run fail within a millisecond, so all attempts would be used up before the server can be back.
void rests() {
  ScriptedGatherer g(default_settings());
  g.report_list("AB");
  g.receive_multiget("m", "a");
  for (int i = 0, send = 0; i < 100; ++i) {
    g.advance_to(i * 10ms);
    if (g.pull_decisions() != "") g.end_send("ma", SendOutcome::dial_failed, send++, 1ms);
  }
}

// The share of a cold server is derived from the cost that warm servers answer for. Sends that failed to
// connect, of which there are many per second while servers are away, must not count towards it.
void cold_share_by_answers() {
  for (const SendOutcome outcome : {SendOutcome::returned, SendOutcome::dial_failed}) {
    FlatSettings settings = default_settings();
    settings["replicas-of-me"] = 1000.0;
    settings["categories.0.deadline"] = 40e6;
    settings["categories.0.objective"] = 40e6;
    ScriptedGatherer g(settings);
    g.quiet = true;
    g.report_list("A");
    for (int i = 0; i < 40; ++i) {
      const std::string name =
          std::string("m") + static_cast<char>('a' + i / 20) + static_cast<char>('a' + i % 20);
      g.advance_to(i * 100ms);
      g.receive_multiget(name, "a", 100, 0, 0, 40s);
      g.pull_decisions();
      g.end_send(name + "a", outcome, 0, 1ms);
    }
    g.report_list("A", ServerStatus::gone);
    g.report_list("B", ServerStatus::up, 4s);
    int sent = 0;
    g.advance_to(4s);
    g.receive_multiget("n", "abcd", 100, 0, 0, 40s);
    while (g.engine().next_reply()) {
    }
    while (const auto send = g.engine().next_send()) sent += short_name(send->part)[0] == 'n' ? 1 : 0;
    std::printf("to a cold server, once others %s: %d\n",
                outcome == SendOutcome::returned ? "answered" : "were not there", sent);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string which = argc > 1 ? argv[1] : "";
  if (which == "margin") margin();
  if (which == "ties") ties();
  if (which == "shared_calls") shared_calls();
  if (which == "one_op_type_swallowed") one_op_type_swallowed();
  if (which == "rule_final_answer") rule_final_answer();
  if (which == "rule_no_effect_twice") rule_no_effect_twice();
  if (which == "rule_drains") rule_drains();
  if (which == "rule_cold_share") rule_cold_share();
  if (which == "rule_honest") rule_honest();
  if (which == "lost_parts") lost_parts();
  if (which == "list_lies") list_lies();
  if (which == "forgotten") forgotten();
  if (which == "sick_replicas") sick_replicas();
  if (which == "stampede") stampede();
  if (which == "cold_is_no_jam") cold_is_no_jam();
  if (which == "rule_budget") rule_budget();
  if (which == "list_asked") list_asked();
  if (which == "looks") looks();
  if (which == "quick_failures") quick_failures();
  if (which == "cold_turns") cold_turns();
  if (which == "moved_not_copied") moved_not_copied();
  if (which == "silence_moves") silence_moves();
  if (which == "partial_in_time") partial_in_time();
  if (which == "expected_for_an_answer") expected_for_an_answer();
  if (which == "shares_by_traffic") shares_by_traffic();
  if (which == "renewed") renewed();
  if (which == "rests") rests();
  if (which == "cold_share_by_answers") cold_share_by_answers();
  return 0;
}
