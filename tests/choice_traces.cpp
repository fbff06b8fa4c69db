// Traces of the decision module, one case a run; the kept ones are in traces/.
#include <array>
#include <cstring>
#include <stdexcept>

#include "bench_free.h"

using namespace marbledyke;
using namespace marbledyke::trace;

namespace {

// The largest part goes first, and a loaded preferred replica loses a part to the least loaded one.
void margin() {
  Gatherer g(ordinary_terms());
  g.list("ABC");
  g.hints_fall_by = 0.5;
  g.take("m", "abcd", 100);
  g.decide();
  g.at(10ms);
  g.take("n", "abcd", 100);
  g.decide();
}

// With nothing else to tell replicas apart, one shard's parts stay with the preferred one up to its fair
// share and a fifth; the pauses let recent cost decay.
void ties() {
  Gatherer g(ordinary_terms());
  g.list("ABC");
  for (int i = 0; i < 6; ++i) {
    const std::string name(1, static_cast<char>('m' + i));
    g.at(i * 15s);
    g.take(name, "a");
    g.decide();
    g.ended(name + "a", Fate::returned, 0, 140ms);
    g.decide();
  }
}

// Opening a call is load: small parts ride along in a call that is open.
void shared_calls() {
  Gatherer g(ordinary_terms());
  g.list("ABC");
  g.take("m", "abcd", 8);
  g.decide();
}

// A replica that swallows one op type and answers the other loses the one and keeps the other.
void one_op_type_swallowed() {
  Terms terms = ordinary_terms();
  terms["categories.1.deadline"] = 4e6;
  terms["categories.1.objective"] = 1e6;
  terms["categories.1.effect"] = std::string("once");
  Gatherer g(terms);
  g.list("AB");
  for (int i = 0; i < 8; ++i) {
    const std::string name(1, static_cast<char>('m' + i));
    g.at(i * 3s);
    g.say("-- " + name + (i % 2 == 0 ? " non-retriable" : " retriable"));
    g.take(name, "a", 100, i % 2 == 0 ? 1 : 0);
    const std::string to = g.decide();
    if (i % 2 == 1 || to != "B") g.ended(name + "a", Fate::returned, 0, 140ms);
    g.until(i * 3s + 2s);
    g.ended(name + "a", Fate::revoked, 0, 2s);
  }
}

// Rule 1: one final answer before the client leaves, also from silence and from an empty list; nothing is
// sent after.
void rule_final_answer() {
  Gatherer silent(ordinary_terms());
  silent.list("AB");
  silent.take("m", "ab", 100, 0, 0, 3s);
  silent.decide();
  silent.until(3200ms);
  silent.ended("ma", Fate::dropped);
  silent.decide();
  Gatherer empty(ordinary_terms());
  empty.take("n", "a", 100, 0, 0, 1s);
  empty.decide();
  empty.until(1100ms);
}

// Rule 2: what may have run is not sent again, nor pushed back; what is proven not to have run is sent again.
void rule_no_effect_twice() {
  Terms terms = ordinary_terms();
  terms["categories.0.effect"] = std::string("once");
  terms["categories.1.deadline"] = 4e6;
  terms["categories.1.effect"] = std::string("by_key");
  terms["categories.1.key-ttl"] = 1e6;
  for (const Fate fate :
       {Fate::pushed_back, Fate::dial_failed, Fate::app_error, Fate::dropped, Fate::expired}) {
    Gatherer g(terms);
    g.say("-- fate " + std::to_string(static_cast<int>(fate)));
    g.list("AB");
    g.take("m", "a");
    g.decide();
    g.at(20ms);
    g.ended("ma", fate);
    g.decide();
  }
  for (const Duration late : {990ms, 1010ms}) {
    Gatherer g(terms);
    g.say("-- deduped, error after " + std::to_string(late / 1ms) + " ms");
    g.list("A");
    g.take("m", "a", 600, 1);
    g.decide();
    g.at(late);
    g.ended("ma", Fate::app_error);
    g.decide();
  }
}

// Rule 3: nothing goes to a replica that drains, is gone, or is missing from a whole list.
void rule_drains() {
  Gatherer g(ordinary_terms());
  g.list("ABC");
  g.list("A", Standing::draining);
  g.list("B", Standing::gone);
  g.take("m", "abcd");
  g.decide();
  g.choice().list_opens(true, false);
  g.choice().list_row({"A", 0, 0, Standing::up, 1, {}});
  g.choice().list_closes();
  g.at(10ms);
  g.take("n", "abcd");
  g.decide();
}

// Rule 4: a cold replica gets this gatherer's share of the budget over the window, and more as it warms.
void rule_cold_share() {
  Gatherer g(ordinary_terms());
  g.quiet = true;
  g.list("A");
  g.list("B", Standing::up, 0ms);
  int sent = 0;
  for (int i = 0; i < 480; ++i) {
    g.at(i * 25ms);
    const std::string name =
        std::string(1, static_cast<char>('a' + i % 26)) + static_cast<char>('a' + i / 26);
    g.take(name, "p", 60);
    const std::string to = g.decide();
    sent += to == "B" ? 1 : 0;
    g.ended(name + "p", Fate::returned, 0, 100ms);
    g.decide();
    if (i % 40 == 39) {
      g.say("sent to the cold one in this second: " + std::to_string(sent));
      sent = 0;
    }
  }
}

// Rule 5: no answer under the floor, none marked whole that is not; a part counts once, and the second step
// by itself.
void rule_honest() {
  Terms terms = ordinary_terms();
  terms["specifics.class-floor.0"] = 0.5;
  terms["specifics.short-worth.0"] = 0.9;
  Gatherer g(terms);
  g.list("AB");
  g.take("m", "abcd");
  g.take("n", "abcd");
  g.decide();
  for (const char* part : {"ma", "mb", "na", "na"}) g.ended(part, Fate::returned);
  g.until(4s);
  Terms two = ordinary_terms();
  two["specifics.second-step.0"] = 2.0;
  Gatherer h(two);
  h.list("AB");
  h.take("o", "ab");
  h.decide();
  h.ended("oa", Fate::returned);
  h.ended("ob", Fate::returned);
  h.at(200ms);
  h.decide();
  h.at(205ms);
  h.more_parts("o", 1, "xy", 50, 0);
  h.decide();
  h.ended("ox", Fate::returned);
  h.at(300ms);
  h.decide();
  h.ended("oy", Fate::returned);
  h.at(310ms);
  h.decide();
}

// A part that can neither return nor be sent again ends its multiget, unless the rest can still make an
// answer.
void lost_parts() {
  Terms terms = ordinary_terms();
  terms["categories.0.effect"] = std::string("once");
  terms["specifics.class-floor.0"] = 0.5;
  for (const int errors : {1, 3}) {
    Gatherer g(terms);
    g.say("-- errors " + std::to_string(errors));
    g.list("AB");
    g.take("m", "abcd");
    g.decide();
    for (int i = 0; i < errors; ++i) g.ended(std::string("m") + static_cast<char>('a' + i), Fate::app_error);
    g.at(50ms);
    g.decide();
    g.ended("md", Fate::returned);
    g.at(100ms);
    g.decide();
    g.ended("mc", Fate::returned);
    g.at(150ms);
    g.decide();
  }
}

// A list that lies: a replica it calls up cannot be reached. It is soon left out, and tried again now and
// then.
void list_lies() {
  Gatherer g(ordinary_terms());
  g.quiet = true;
  g.list("ABC");
  int tried = 0;
  for (int i = 0; i < 300; ++i) {
    g.at(i * 50ms);
    const std::string name =
        std::string(1, static_cast<char>('a' + i % 26)) + static_cast<char>('a' + i / 26);
    g.take(name, "p", 60);
    const std::string to = g.decide();
    tried += to == "B" ? 1 : 0;
    g.ended(name + "p", to == "B" ? Fate::dial_failed : Fate::returned, 0, 100ms);
    g.decide();
    g.ended(name + "p", Fate::returned, 1, 100ms);
    g.decide();
    if (i % 60 == 59) {
      g.say("sent to the lost one in these 3 s: " + std::to_string(tried));
      tried = 0;
    }
  }
}

// Servers come under ever new ids, one a second, each gone after two: nothing is kept of them for longer than
// a cold start lasts, but for the one that a part is still out to, and a drained one is still known as such.
void forgotten() {
  Gatherer g(ordinary_terms());
  g.list("A");
  g.take("m", "p", 100, 0, 0, 1000s);
  g.decide();
  g.list("A", Standing::gone);
  g.list("Z", Standing::draining);
  const auto listed = [&](int i, Standing standing) {
    g.choice().list_opens(false, false);
    g.choice().list_row({"s" + std::to_string(i), 0, 0, standing, 1, {}});
    g.choice().list_closes();
  };
  for (int i = 0; i < 300; ++i) {
    g.at(1s * (i + 1));
    listed(i, Standing::up);
    if (i > 1) listed(i - 2, Standing::gone);
    if (i % 100 == 99) g.say("servers known: " + std::to_string(g.choice().servers_known()));
  }
  g.list("A");
  g.take("n", "p", 100, 0, 0, 1000s);
  g.decide();
}

// B answers ten times slower and A quickly fails half, from 5 s to 15 s: B keeps little of the work, A loses
// some. long as it lasts.
void sick_replicas() {
  Gatherer g(ordinary_terms());
  g.quiet = true;
  g.list("ABCD");
  std::map<std::string, int> sent;
  for (int i = 0; i < 400; ++i) {
    g.at(i * 50ms);
    const std::string name =
        std::string(1, static_cast<char>('a' + i % 26)) + static_cast<char>('a' + i / 26);
    g.take(name, "p", 60);
    const std::string to = g.decide();
    sent[to] += 1;
    const bool sick = i >= 100 && i < 300;
    const bool fails = sick && to == "A" && i % 2 == 0;
    g.ended(name + "p", fails ? Fate::app_error : Fate::returned, 0, sick && to == "B" ? 1000ms : 100ms);
    g.decide();
    g.ended(name + "p", Fate::returned, 1, 100ms);
    g.decide();
    if (i % 100 == 99) {
      g.say("A " + std::to_string(sent["A"]) + " B " + std::to_string(sent["B"]) + " C " +
            std::to_string(sent["C"]) + " D " + std::to_string(sent["D"]));
      sent.clear();
    }
  }
}

// Clients that all come again at once, far over what can be done: what is admitted still fits the latency
// budget.
void stampede() {
  Gatherer g(ordinary_terms());
  g.quiet = true;
  g.list("AB");
  int admitted = 0;
  for (int i = 0; i < 90; ++i) {
    const std::string name =
        std::string(1, static_cast<char>('a' + i % 26)) + static_cast<char>('a' + i / 26);
    g.take(name, "p", 200);
    admitted += g.decide().empty() ? 0 : 1;
    g.at((i + 1) * 1ms);
  }
  g.say("sent on at once: " + std::to_string(admitted) + " of 90");
}

// A deploy is no jam: with only cold replicas left, an ordinary multiget is taken on, not pushed back.
void cold_is_no_jam() {
  Gatherer g(ordinary_terms());
  g.list("AB", Standing::up, 0ms);
  g.take("m", "a", 700);
  g.decide();
}

// Rule 6: further sends stay within the stated budget: here one, and a tenth of the three taken.
void rule_budget() {
  Terms terms = ordinary_terms();
  terms["contract.resend-span"] = 10e6;
  terms["contract.extra-floor"] = 1.0;
  terms["contract.extra-per-request"] = 0.1;
  Gatherer g(terms);
  g.list("ABC");
  g.take("m", "ab");
  g.decide();
  g.at(50ms);
  g.ended("ma", Fate::app_error);
  g.ended("mb", Fate::app_error);
  g.decide();
}

// A list that must be asked for: watched at once, again after a refusal and a spread-out wait.
void list_asked() {
  Terms terms = ordinary_terms();
  terms["registry-mode"] = std::string("ask");
  terms["contract.ask-every"] = 10e6;
  Gatherer g(terms);
  g.decide();
  g.until(1s);
  g.choice().list_refused(3s);
  g.until(3s);
  g.list("A");
  g.until(30s);
  g.choice().list_refused(3s);
  g.until(31s);
}

// Before parts are placed their replicas are asked: a loaded one and a silent one are passed over. Where a
// probe's price outweighs what is missed, nothing is asked.
void looks() {
  Terms terms = ordinary_terms();
  terms["limits.probing"] = true;
  terms["telemetry.fields.0"] = std::string("active");
  Gatherer g(terms);
  g.list("ABC");
  g.take("m", "a");
  g.decide();
  g.at(5ms);
  g.asked("A", Fate::returned, 0);
  g.asked("B", Fate::returned, 9);
  g.decide();
  g.until(60ms);
  terms["prices.probe"] = 5.0;
  Gatherer dear(terms);
  dear.say("-- dear");
  dear.list("ABC");
  dear.take("m", "a");
  dear.decide();
}

// Many parts that fail at once all go again at once: no budget is stated, and tries add no work.
void quick_failures() {
  Gatherer g(ordinary_terms());
  g.quiet = true;
  g.list("ABC");
  std::string parts;
  for (int i = 0; i < 26; ++i) parts += static_cast<char>('a' + i);
  g.take("m", parts, 20);
  g.decide();
  g.at(5ms);
  for (const char part : parts) g.ended({'m', part}, Fate::dropped, 0, 5ms);
  g.quiet = false;
  g.decide();
}

// With a fair share far below one send a window, few of many gatherers send to a cold replica at all; and
// where all of them have parts for it all the time, one that has sent waits until its share makes up the next
// send.
void cold_turns() {
  Terms terms = ordinary_terms();
  terms["replicas-of-me"] = 100.0;
  std::array<int, 4> sent{};
  for (unsigned seed = 1; seed <= 100; ++seed) {
    Choice choice(terms, seed);
    choice.clock(0ms);
    choice.list_opens(false, false);
    ListRow row;
    row.server = std::string(1, 'A');
    row.started = 0ms;
    choice.list_row(row);
    choice.list_closes();
    for (std::size_t window = 0; window < sent.size(); ++window) {
      const std::string name(1, static_cast<char>('m' + window));
      const Duration now = static_cast<std::int64_t>(window) * 1001ms;
      choice.clock(now);
      choice.multiget_taken({rid(name), static_cast<double>(window + 1), 0, 0, 1, now + 4s});
      choice.part_taken({rid(name + "a"), static_cast<double>(window + 1), 0, 1.0, 0, 100ms});
      while (choice.next_verdict()) {
      }
      while (choice.next_send()) sent[window] += 1;
    }
  }
  std::printf("sends by 100 gatherers in a window: %d\n", sent[0]);
  std::printf("and in the next ones: %d, %d, %d\n", sent[1], sent[2], sent[3]);
}

// Where no two sends of a part may be out together, an overdue one is withdrawn, and only its end sends the
// part again: not at all once the window of a deduped one is over. An answer that crosses the withdrawal
// counts.
void moved_not_copied() {
  Terms terms = ordinary_terms();
  terms["limits.second-copies"] = false;
  terms["categories.0.effect"] = std::string("by_key");
  terms["categories.0.key-ttl"] = 2e6;
  terms["limits.connect-timeout"] = 250e3;  // a send may wait so long for its connection
  for (const Duration end : {1500ms, 1800ms}) {
    Gatherer g(terms);
    g.list("AB");
    g.take("m", "a");
    g.decide();
    g.until(end);
    g.at(end + 5ms);
    g.say("-- the withdrawn send has ended");
    g.ended("ma", Fate::revoked, 0, end);
    g.decide();
  }
  Gatherer g(terms);
  g.list("AB");
  g.take("m", "a");
  g.decide();
  g.until(1500ms);
  g.at(1505ms);
  g.say("-- its answer was under way");
  g.ended("ma", Fate::returned, 0, 1500ms);
  g.decide();
}

// A replica that is overdue is asked. One that answers has much to do and keeps the part; one that is silent
// to that as well loses it.
void silence_moves() {
  Terms terms = ordinary_terms();
  terms["limits.second-copies"] = false;
  terms["limits.probing"] = true;
  terms["prices.probe"] = 1.0;
  for (const bool answers : {true, false}) {
    Gatherer g(terms);
    g.say(answers ? "-- answers when asked" : "-- silent when asked");
    g.list("AB");
    g.take("m", "a");
    const std::string to = g.decide();
    g.until(450ms);
    if (answers) g.asked(to, Fate::returned, 4);
    g.until(700ms);
  }
}

// What may be answered in part is, before the latency budget is over: a late answer is worth little.
void partial_in_time() {
  Terms terms = ordinary_terms();
  terms["specifics.class-floor.0"] = 0.7;
  terms["specifics.short-worth.0"] = 0.9;
  terms["categories.0.objective"] = 1e6;
  for (const int in : {2, 3}) {
    Gatherer g(terms);
    g.say("-- parts in: " + std::to_string(in));
    g.list("AB");
    g.take("m", "abcd");
    g.decide();
    g.quiet = true;
    for (int i = 0; i < in; ++i) g.ended(std::string("m") + static_cast<char>('a' + i), Fate::returned);
    g.until(970ms);
    g.quiet = false;
    g.until(1010ms);
  }
}

// One part that none can return soon pushes a multiget back only where an answer needs it.
void expected_for_an_answer() {
  for (const double floor : {0.7, 1.0}) {
    Terms terms = ordinary_terms();
    terms["specifics.class-floor.0"] = floor;
    terms["specifics.short-worth.0"] = 0.9;
    terms["specifics.sets"] = 4.0;
    Gatherer g(terms);
    for (int cell = 0; cell < 3; ++cell) {  // nobody is up in the last one
      ListRow row;
      row.server = std::string(1, static_cast<char>('A' + cell));
      row.cell = cell;
      g.choice().list_opens(false, false);
      g.choice().list_row(row);
      g.choice().list_closes();
    }
    g.take("m", "abcd");
    g.decide();
  }
}

// A customer's share is split by the traffic that a gatherer has: one that takes four times the mean does not
// push back what is inside the customers' shares. In a jam, what is beyond goes first.
void shares_by_traffic() {
  Terms terms = ordinary_terms();
  terms["over-share-worth"] = 0.1;
  terms["replicas-of-me"] = 8.0;
  for (int i = 0; i < 2; ++i) {
    const std::string at = "customers." + std::to_string(i);
    terms[at + ".name"] = std::string(i == 0 ? "one" : "two");
    terms[at + ".allowance-per-s"] = 0.5;
  }
  for (const int of_one : {2, 3}) {  // in four multigets
    Gatherer g(terms);
    g.quiet = true;
    g.list("AB");
    int back[2] = {0, 0};
    for (int i = 0; i < 160; ++i) {
      const Duration start = i * 2s;
      g.at(start);
      const std::string name =
          std::string("m") + static_cast<char>('a' + i / 20) + static_cast<char>('a' + i % 20);
      const int customer = i % 4 < of_one ? 0 : 1;
      g.choice().multiget_taken({rid(name), 1000.0 + i, 0, customer, 1, start + 4s});
      g.choice().part_taken({rid(name + 'a'), 1000.0 + i, 0, 1.0, 0, 100ms});
      while (const auto v = g.choice().next_verdict())
        back[customer] += v->ending == Ending::push_back ? 1 : 0;
      g.decide();
      g.at(start + 700ms);
      g.ended(name + 'a', Fate::returned, 0, 700ms);
      g.decide();
    }
    std::printf("%d of 4 are of one: pushed back %d of one, %d of two\n", of_one, back[0], back[1]);
  }
}

// New terms: what is in hand ends under the old ones, nothing of it is sent twice, two sends of a part do not
// stay out together where that is no longer allowed, and what was sent counts against the new budget. The way
// back is the same step. Terms that make no sense change nothing.
void renewed() {
  Terms before = ordinary_terms();
  Terms after = before;
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
  Gatherer g(before);
  g.list("AB");
  g.take("m", "a");
  g.take("o", "a", 100, 0, 1);
  g.decide();
  g.ended("oa", Fate::app_error);
  g.until(600ms);
  Terms senseless = after;
  senseless["limits.attempts-cap"] = 0.0;
  try {
    g.choice().renew(senseless);
  } catch (const std::invalid_argument& wrong) {
    g.say(std::string("refused: ") + wrong.what());
  }
  g.choice().renew(after);
  g.say("-- new terms");
  g.decide();
  ListRow row;
  row.server = "C";
  row.cell = 1;
  g.choice().list_opens(false, false);
  g.choice().list_row(row);
  g.choice().list_closes();
  g.at(620ms);
  g.ended("ma", Fate::revoked, 0, 620ms);
  g.take("n", "ab", 100, 1);
  g.take("u", "a", 100, 0);
  g.decide();
  g.at(700ms);
  g.say("-- errors: of one in hand since before, of one of the new terms, of one that is not to be repeated");
  for (const char* part : {"oa", "na", "ua"}) g.ended(part, Fate::app_error, *part == 'o' ? 1 : 0);
  g.decide();
  g.choice().renew(before);
  g.at(800ms);
  g.say("-- the way back");
  g.decide();
  g.at(900ms);
  g.ended("oa", Fate::returned, 2);
  g.ended("nb", Fate::returned);
  g.ended("ma", Fate::returned, 1);
  g.take("p", "a");
  g.decide();
  g.at(950ms);
  g.ended("pa", Fate::returned);
  g.until(1700ms);
}

// A part that all its replicas have failed rests before it goes round again: sends to a server that is not
// there fail within a millisecond, and would all be spent before it can be back.
void rests() {
  Gatherer g(ordinary_terms());
  g.list("AB");
  g.take("m", "a");
  for (int i = 0, send = 0; i < 100; ++i) {
    g.at(i * 10ms);
    if (g.decide() != "") g.ended("ma", Fate::dial_failed, send++, 1ms);
  }
}

// What a cold server may be sent follows what warm ones answer for. Sends that found nobody there, many a
// second while servers are away, say nothing of what a server carries.
void cold_share_by_answers() {
  for (const Fate fate : {Fate::returned, Fate::dial_failed}) {
    Terms terms = ordinary_terms();
    terms["replicas-of-me"] = 1000.0;
    terms["categories.0.deadline"] = 40e6;
    terms["categories.0.objective"] = 40e6;
    Gatherer g(terms);
    g.quiet = true;
    g.list("A");
    for (int i = 0; i < 40; ++i) {
      const std::string name =
          std::string("m") + static_cast<char>('a' + i / 20) + static_cast<char>('a' + i % 20);
      g.at(i * 100ms);
      g.take(name, "a", 100, 0, 0, 40s);
      g.decide();
      g.ended(name + "a", fate, 0, 1ms);
    }
    g.list("A", Standing::gone);
    g.list("B", Standing::up, 4s);
    int sent = 0;
    g.at(4s);
    g.take("n", "abcd", 100, 0, 0, 40s);
    while (g.choice().next_verdict()) {
    }
    while (const auto send = g.choice().next_send()) sent += plain(send->part)[0] == 'n' ? 1 : 0;
    std::printf("to a cold server, once others %s: %d\n",
                fate == Fate::returned ? "answered" : "were not there", sent);
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
