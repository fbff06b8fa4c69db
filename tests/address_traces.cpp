// Traces of the address book, one case in each run; the expected output is in traces/. The tests pass their
// own times.
#include <cstdio>
#include <cstring>
#include <memory>
#include <random>

#include "addresses/address_book.h"

using namespace marbledyke;
using namespace marbledyke::addresses;
using namespace std::chrono_literals;

namespace {

Address at(const std::string& text) { return *net::parse_address(text); }

const Address kLocal = at("unix:@a"), kSix = at("[fd00::1]:90"), kFour = at("10.0.0.1:90");
const std::vector<Address> kAll{kFour, kSix, kLocal};

void say(Duration now, const std::string& what) {
  std::printf("%5lld ms  %s\n", static_cast<long long>(now / 1ms), what.c_str());
}

// Runs one race. Attempts end as the test states, each after its time; the others hang.
struct Race {
  struct Act {
    Address to;
    Duration after;
    AttemptOutcome outcome;
  };

  Race(AddressBook& its_book, const std::string& its_server, Duration its_now)
      : book(its_book), server(its_server), now(its_now), id(book.begin_race(server, now)) {}
  ~Race() { book.end_race(id); }

  // Runs the race to its end and returns whether it was won.
  bool run(std::vector<Act> acts) {
    struct Out {
      Duration when;
      int attempt;
      AttemptOutcome outcome;
    };
    std::vector<Out> outs;
    for (;;) {
      const RaceStep step = book.next_step(id, now);
      if (step.action == RaceStep::Action::dial) {
        say(now, "dial " + step.to.text() + (step.needs_proof ? ", to prove itself" : ""));
        for (const Act& act : acts) {
          if (act.to == step.to) outs.push_back({now + act.after, step.attempt, act.outcome});
        }
      } else if (step.action == RaceStep::Action::abandon) {
        say(now, "abandon attempt " + std::to_string(step.attempt));
        std::erase_if(outs, [&](const Out& out) { return out.attempt == step.attempt; });
      } else if (step.action == RaceStep::Action::lost) {
        say(now, "lost");
        return false;
      } else {
        auto next = outs.end();
        for (auto one = outs.begin(); one != outs.end(); ++one) {
          if (one->when <= step.wait_until && (next == outs.end() || one->when < next->when)) next = one;
        }
        if (next == outs.end()) {
          now = step.wait_until;
          continue;
        }
        now = next->when;
        const Out out = *next;
        outs.erase(next);
        say(now, "attempt " + std::to_string(out.attempt) + ": " + std::string(name_of(out.outcome)));
        book.on_attempt_ended(id, out.attempt, out.outcome, now);
        if (out.outcome == AttemptOutcome::connected) return true;
      }
    }
  }

  AddressBook& book;
  std::string server;
  Duration now;
  AddressBook::RaceId id;
};

std::unique_ptr<AddressBook> book_of(const ConnectSettings& settings = {}) {
  auto book = std::make_unique<AddressBook>(settings, 7);
  book->begin_update(true);
  book->update_server("A", true, kAll);
  book->finish_update();
  return book;
}

void state(const AddressBook& book, Duration now) { say(now, "A: " + book.describe("A", now)); }

// The preferred family is dialled first, in the list's order within a family; the first attempt to connect
// wins.
void preference() {
  const auto book = book_of();
  Race(*book, "A", 0ms).run({{kLocal, 1ms, AttemptOutcome::connected}});
  state(*book, 1ms);
  ConnectSettings settings;
  settings.prefer = {Family::ip4};
  const auto other = book_of(settings);
  other->update_server("A", true, {kSix, kLocal, at("10.0.0.2:90"), kFour});
  state(*other, 0ms);
}

// A preferred address that hangs costs one stagger the first time and nothing after that. It is tried again
// without a part, and is preferred again once it responds.
void hangs() {
  const auto book = book_of();
  Race(*book, "A", 0ms).run({{kSix, 2ms, AttemptOutcome::connected}});
  state(*book, 102ms);
  Race(*book, "A", 200ms).run({{kSix, 2ms, AttemptOutcome::connected}});
  say(200ms, "trial wanted: " + std::to_string(book->next_trial(200ms).has_value()));
  const Duration due = *book->next_trial_time();
  say(due, "a trial is due");
  const Trial first = *book->next_trial(due);
  say(due, "trial of " + first.to.text() + ", within " + std::to_string(first.limit / 1ms) + " ms");
  book->on_trial_ended(first, AttemptOutcome::timed_out, first.limit, due + first.limit);
  state(*book, due + first.limit);
  const Duration again = *book->next_trial_time();
  const Trial second = *book->next_trial(again);
  book->on_trial_ended(second, AttemptOutcome::connected, 1ms, again + 1ms);
  state(*book, again + 1ms);
}

// A refused attempt starts the next one at once. When all attempts fail, the server is not connected. The
// next race begins with the address whose fault is oldest, and without waiting for the stagger.
void refused() {
  const auto book = book_of();
  Race(*book, "A", 0ms)
      .run({{kLocal, 0ms, AttemptOutcome::refused},
            {kSix, 3ms, AttemptOutcome::refused},
            {kFour, 5ms, AttemptOutcome::refused}});
  state(*book, 8ms);
  Race(*book, "A", 20ms).run({{kSix, 1ms, AttemptOutcome::connected}});
  state(*book, 31ms);
}

// All attempts hang: each has its limit, at most three run concurrently, and the race has its limit.
void all_hang() {
  ConnectSettings settings;
  settings.attempt = 600ms;
  const auto book = book_of(settings);
  std::vector<Address> many;
  for (int i = 1; i <= 12; ++i) many.push_back(at("10.0.0." + std::to_string(i) + ":90"));
  book->update_server("A", true, many);
  Race(*book, "A", 0ms).run({});
  say(1000ms, "addresses kept: " + std::to_string(book->dial_order("A").size()));
}

// An address that accepts and resets, and one that accepts and does not respond: neither wins, since an
// address that is not proven has to respond first.
void proves() {
  const auto book = book_of();
  Race(*book, "A", 0ms)
      .run({{kLocal, 0ms, AttemptOutcome::reset_early}, {kFour, 4ms, AttemptOutcome::connected}});
  state(*book, 104ms);
  for (const ProofPolicy prove : {ProofPolicy::never, ProofPolicy::always}) {
    ConnectSettings settings;
    settings.prove = prove;
    const auto other = book_of(settings);
    other->on_response("A", kLocal);
    Race(*other, "A", 0ms).run({{kLocal, 1ms, AttemptOutcome::connected}});
  }
}

// An address that flaps is held longer each time, up to the maximum; a long enough time without a fault
// resets that.
void flaps() {
  ConnectSettings settings;
  settings.hold_most = 8s;
  const auto book = book_of(settings);
  Duration now{};
  for (int i = 0; i < 6; ++i) {
    book->on_response("A", kLocal);
    book->on_connection_failed("A", kLocal, AttemptOutcome::reset_early, now);
    state(*book, now);
    now = *book->next_trial_time();
    book->on_trial_ended(*book->next_trial(now), AttemptOutcome::connected, 1ms, now);
  }
  now += 20s;
  book->on_connection_failed("A", kLocal, AttemptOutcome::unresponsive, now);
  state(*book, now);
}

// A server with a single address: no proof, no doubt and no trials; only the attempt's limit applies.
void sole() {
  const auto book = book_of();
  book->update_server("A", true, {kFour});
  Race(*book, "A", 0ms).run({});
  Race(*book, "A", 300ms).run({{kFour, 1ms, AttemptOutcome::refused}});
  book->on_connection_failed("A", kFour, AttemptOutcome::reset_early, 400ms);
  state(*book, 400ms);
  say(400ms, std::string("trial due: ") + (book->next_trial_time() ? "yes" : "no"));
}

// An address that is named for two servers belongs to the newer claim. Where both claims came in one update
// neither server may use it, unless it is the server's only address.
void moves() {
  const auto book = book_of();
  const auto both = [&](Duration now) {
    say(now, "A: " + book->describe("A", now));
    say(now, "B: " + book->describe("B", now));
  };
  book->begin_update(false);
  book->update_server("B", true, {kSix, at("10.0.0.9:90")});
  book->finish_update();
  both(0ms);
  book->begin_update(false);
  book->remove_server("B");
  book->finish_update();
  both(1ms);
  AddressBook fresh({}, 7);
  fresh.begin_update(true);
  fresh.update_server("A", true, {kSix, kFour});
  fresh.update_server("B", true, {kSix, at("10.0.0.9:90")});
  fresh.update_server("C", true, {kSix});
  fresh.finish_update();
  for (const char* name : {"A", "B", "C"}) say(2ms, std::string(name) + ": " + fresh.describe(name, 2ms));
  fresh.begin_update(true);
  fresh.update_server("A", true, {kSix, kFour});
  fresh.finish_update();
  for (const char* name : {"A", "B", "C"}) say(3ms, std::string(name) + ": " + fresh.describe(name, 3ms));
}

// The list changes during a race: an address that is removed is not dialled, and its end is no fault of the
// server.
void taken_away() {
  const auto book = book_of();
  Race race(*book, "A", 0ms);
  const RaceStep first = book->next_step(race.id, 0ms);
  say(0ms, "dial " + first.to.text());
  book->update_server("A", true, {kFour});
  say(0ms, std::string("its address is ") + (book->is_usable("A", first.to) ? "usable" : "not usable"));
  book->on_attempt_ended(race.id, first.attempt, AttemptOutcome::not_needed, 1ms);
  race.now = 1ms;
  race.run({{kFour, 2ms, AttemptOutcome::connected}});
  Race other(*book, "A", 10ms);
  book->remove_server("A");
  other.run({});
}

// The operator's own addresses, beside the list's or instead of them, set and withdrawn while serving.
void configured() {
  const auto book = book_of();
  book->on_response("A", kSix);
  book->on_connection_failed("A", kFour, AttemptOutcome::unresponsive, 0ms);
  book->configure({}, {{"A", {false, {at("unix:@b"), kSix}}}, {"nobody", {true, {kLocal}}}});
  state(*book, 0ms);
  book->configure({}, {{"A", {true, {kFour}}}});
  state(*book, 0ms);
  book->configure({}, {});
  state(*book, 0ms);
}

// A missing descriptor or a full local backlog says nothing about an address. A draining server's addresses
// are not tried.
void innocent() {
  const auto book = book_of();
  Race(*book, "A", 0ms)
      .run({{kLocal, 0ms, AttemptOutcome::no_local_resources},
            {kSix, 0ms, AttemptOutcome::no_local_resources},
            {kFour, 0ms, AttemptOutcome::no_local_resources}});
  state(*book, 0ms);
  book->on_connection_failed("A", kLocal, AttemptOutcome::unresponsive, 0ms);
  book->update_server("A", false, kAll);
  say(2s, std::string("trial while it drains: ") + (book->next_trial(2s) ? "yes" : "no"));
  book->update_server("A", true, kAll);
  const Duration due = *book->next_trial_time();
  const Trial trial = *book->next_trial(due);
  say(due, "trial of " + trial.to.text());
  book->update_server("A", true, {kSix, kFour});
  book->on_trial_ended(trial, AttemptOutcome::connected, 1ms, due + 1ms);
  state(*book, due + 1ms);
}

// Random events over a few servers that share addresses; the invariants are checked after each step.
void random_lives() {
  long steps = 0, dials = 0, won = 0, lost = 0, trials = 0, broken = 0;
  const auto must = [&](bool holds, const char* what) {
    if (holds) return;
    if (broken++ == 0) std::printf("BROKEN: %s\n", what);
  };
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    std::mt19937 chance(seed);
    const auto draw = [&](std::uint32_t most) { return chance() % most; };
    ConnectSettings settings;
    settings.at_once = 1 + static_cast<int>(draw(3));
    settings.prove = static_cast<ProofPolicy>(draw(3));
    settings.trials_at_once = 1 + static_cast<int>(draw(3));
    AddressBook book(settings, seed);
    std::vector<Address> pool = kAll;
    for (int i = 0; i < 6; ++i) pool.push_back(at("10.0.1." + std::to_string(i + 1) + ":90"));
    struct Open {
      AddressBook::RaceId id;
      Duration begun;
      std::map<int, Address> out;
    };
    std::vector<Open> open;
    std::vector<Trial> on_trial;
    const std::vector<std::string> names{"A", "B", "C"};
    Duration now{};
    for (int i = 0; i < 3000; ++i, ++steps) {
      now += Duration(static_cast<std::int64_t>(draw(60'000)));
      const std::string& name = names[draw(3)];
      const std::uint32_t act = draw(100);
      if (act < 8) {
        std::vector<Address> some;
        for (std::uint32_t k = 0; k < 1 + draw(5); ++k) some.push_back(pool[draw(9)]);
        book.begin_update(draw(4) == 0);
        book.update_server(name, draw(5) > 0, some);
        book.finish_update();
      } else if (act < 10) {
        book.begin_update(false);
        book.remove_server(name);
        book.finish_update();
      } else if (act < 12) {
        book.configure(settings, {{name, {draw(2) == 0, {pool[draw(9)], pool[draw(9)]}}}});
      } else if (act < 40 && open.size() < 5) {
        open.push_back({book.begin_race(name, now), now, {}});
      } else if (act < 70) {
        if (!open.empty()) {
          Open& race = open[draw(static_cast<std::uint32_t>(open.size()))];
          if (!race.out.empty()) {
            const auto [attempt, to] = *race.out.begin();
            const AttemptOutcome end = static_cast<AttemptOutcome>(draw(7));
            race.out.erase(attempt);
            book.on_attempt_ended(race.id, attempt, end, now);
            if (end == AttemptOutcome::connected) {
              ++won;
              book.end_race(race.id);
              std::erase_if(open, [&](const Open& one) { return one.id == race.id; });
            }
          }
        }
      } else if (act < 80) {
        const auto order = book.dial_order(name);
        if (!order.empty())
          book.on_connection_failed(name, order[draw(static_cast<std::uint32_t>(order.size()))],
                                    static_cast<AttemptOutcome>(draw(7)), now);
      } else if (act < 85) {
        const auto order = book.dial_order(name);
        if (!order.empty()) book.on_response(name, order.front());
      } else if (act < 92) {
        while (const auto trial = book.next_trial(now)) {
          must(book.is_usable(trial->server, trial->to), "a trial goes to a usable address");
          on_trial.push_back(*trial);
          ++trials;
        }
      } else if (!on_trial.empty()) {
        book.on_trial_ended(on_trial.back(), static_cast<AttemptOutcome>(draw(7)), 1ms, now);
        on_trial.pop_back();
      }
      must(static_cast<int>(on_trial.size()) <= settings.trials_at_once, "trials are bounded");
      for (std::size_t k = 0; k < open.size();) {
        Open& race = open[k];
        bool over = false;
        for (int pulls = 0;; ++pulls) {
          must(pulls < 50, "a race comes to rest");
          const RaceStep step = book.next_step(race.id, now);
          if (step.action == RaceStep::Action::dial) {
            ++dials;
            must(race.out.size() < 3, "attempts at once are bounded");
            must(now < race.begun + settings.race, "nothing is dialled past a race's limit");
            race.out[step.attempt] = step.to;
          } else if (step.action == RaceStep::Action::abandon) {
            race.out.erase(step.attempt);
          } else if (step.action == RaceStep::Action::lost) {
            over = true;
            break;
          } else {
            must(step.wait_until > now, "a wait lies ahead");
            must(step.wait_until <= race.begun + settings.race, "a wait ends with its race");
            break;
          }
        }
        if (over) {
          ++lost;
          book.end_race(race.id);
          open.erase(open.begin() + static_cast<std::ptrdiff_t>(k));
        } else {
          ++k;
        }
      }
      for (const std::string& each : names) {
        const auto order = book.dial_order(each);
        must(order.size() <= kMaxAddressesPerServer, "addresses of a server are bounded");
        for (const Address& one : order) must(book.is_usable(each, one), "what is ranked is usable");
      }
    }
    for (const Open& race : open) book.end_race(race.id);
    while (!on_trial.empty()) {
      book.on_trial_ended(on_trial.back(), AttemptOutcome::not_needed, 1ms, now);
      on_trial.pop_back();
    }
    book.begin_update(true);
    book.finish_update();
    must(book.server_count() == 0 && book.race_count() == 0 && !book.next_trial_time(),
         "nothing is kept of what is gone");
  }
  std::printf("%ld steps, %s dials, %s won, %s lost, %s trials; broken: %ld\n", steps,
              dials > 5000 ? "many" : "FEW", won > 500 ? "many" : "FEW", lost > 500 ? "many" : "FEW",
              trials > 200 ? "many" : "FEW", broken);
}

void texts() {
  for (const char* text : {"1.2.3.4:90",   "[::1]:90", "[FD00:0::1]:90", "[fe80::1%3]:90", "unix:/run/a.sock",
                           "unix:@a",      "1.2.3.4",  "1.2.3:90",       "1.2.3.4:0",      "1.2.3.4:65536",
                           "::1:90",       "[::1]",    "[::1%]:90",      "[::g]:90",       "unix:",
                           "unix:/",       "unix:a",   "unix:@",         "localhost:90",   "1.2.3.4:9x",
                           "[1.2.3.4]:90", ""}) {
    const auto read = net::parse_address(text);
    if (!read) {
      std::printf("%s: refused\n", text);
      continue;
    }
    sockaddr_storage out;
    const socklen_t size = read->to_sockaddr(out);
    std::printf("%s: %s %s, %u bytes%s\n", text, std::string(name_of(read->family())).c_str(),
                read->text().c_str(), size,
                *net::parse_address(read->text()) == *read ? "" : ", NOT THE SAME");
  }
  std::printf("a path of 107: %s, of 108: %s\n",
              net::parse_address("unix:/" + std::string(106, 'x')) ? "read" : "refused",
              net::parse_address("unix:/" + std::string(107, 'x')) ? "read" : "refused");
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  const std::pair<const char*, void (*)()> cases[] = {{"preference", preference},
                                                      {"hangs", hangs},
                                                      {"refused", refused},
                                                      {"all_hang", all_hang},
                                                      {"proves", proves},
                                                      {"flaps", flaps},
                                                      {"sole", sole},
                                                      {"moves", moves},
                                                      {"taken_away", taken_away},
                                                      {"configured", configured},
                                                      {"innocent", innocent},
                                                      {"texts", texts},
                                                      {"random_lives", random_lives}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
