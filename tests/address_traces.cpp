// Traces of the module that decides about addresses: one case a run, the kept ones are in traces/. The clock
// is the test's own.
#include <cstdio>
#include <cstring>
#include <memory>
#include <random>

#include "addresses/book.h"

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

// One race, its attempts answered as the test says, each after so long; silent where nothing is said.
struct Race {
  struct Act {
    Address to;
    Duration after;
    End end;
  };

  Race(Book& its_book, const std::string& its_server, Duration its_now)
      : book(its_book), server(its_server), now(its_now), id(book.begin(server, now)) {}
  ~Race() { book.over(id); }

  // Lets the race run to its end; gives whether it was won.
  bool run(std::vector<Act> acts) {
    struct Out {
      Duration when;
      int attempt;
      End end;
    };
    std::vector<Out> outs;
    for (;;) {
      const Step step = book.next(id, now);
      if (step.what == Step::What::dial) {
        say(now, "dial " + step.to.text() + (step.prove ? ", to prove itself" : ""));
        for (const Act& act : acts) {
          if (act.to == step.to) outs.push_back({now + act.after, step.attempt, act.end});
        }
      } else if (step.what == Step::What::abandon) {
        say(now, "abandon attempt " + std::to_string(step.attempt));
        std::erase_if(outs, [&](const Out& out) { return out.attempt == step.attempt; });
      } else if (step.what == Step::What::lost) {
        say(now, "lost");
        return false;
      } else {
        auto next = outs.end();
        for (auto one = outs.begin(); one != outs.end(); ++one) {
          if (one->when <= step.until && (next == outs.end() || one->when < next->when)) next = one;
        }
        if (next == outs.end()) {
          now = step.until;
          continue;
        }
        now = next->when;
        const Out out = *next;
        outs.erase(next);
        say(now, "attempt " + std::to_string(out.attempt) + ": " + std::string(name_of(out.end)));
        book.ended(id, out.attempt, out.end, now);
        if (out.end == End::came_up) return true;
      }
    }
  }

  Book& book;
  std::string server;
  Duration now;
  Book::RaceId id;
};

std::unique_ptr<Book> book_of(const Rules& rules = {}) {
  auto book = std::make_unique<Book>(rules, 7);
  book->news_opens(true);
  book->listed("A", true, kAll);
  book->news_closes();
  return book;
}

void state(const Book& book, Duration now) { say(now, "A: " + book.describe("A", now)); }

// Preferred family first, in the list's order within one; the first to come up wins.
void preference() {
  const auto book = book_of();
  Race(*book, "A", 0ms).run({{kLocal, 1ms, End::came_up}});
  state(*book, 1ms);
  Rules rules;
  rules.prefer = {Family::ip4};
  const auto other = book_of(rules);
  other->listed("A", true, {kSix, kLocal, at("10.0.0.2:90"), kFour});
  state(*other, 0ms);
}

// A preferred address that hangs costs one stagger the first time and nothing after that; it is tried again
// beside the parts, and is preferred again once it answers.
void hangs() {
  const auto book = book_of();
  Race(*book, "A", 0ms).run({{kSix, 2ms, End::came_up}});
  state(*book, 102ms);
  Race(*book, "A", 200ms).run({{kSix, 2ms, End::came_up}});
  say(200ms, "trial wanted: " + std::to_string(book->next_trial(200ms).has_value()));
  const Duration due = *book->next_trial_at();
  say(due, "a trial is due");
  const Trial first = *book->next_trial(due);
  say(due, "trial of " + first.to.text() + ", within " + std::to_string(first.limit / 1ms) + " ms");
  book->trial_ended(first, End::hung, first.limit, due + first.limit);
  state(*book, due + first.limit);
  const Duration again = *book->next_trial_at();
  const Trial second = *book->next_trial(again);
  book->trial_ended(second, End::came_up, 1ms, again + 1ms);
  state(*book, again + 1ms);
}

// A clear no starts the next at once; all of them lost is the server not connected; then the one left alone
// for longest goes first, and nothing waits for the stagger.
void refused() {
  const auto book = book_of();
  Race(*book, "A", 0ms)
      .run({{kLocal, 0ms, End::refused}, {kSix, 3ms, End::refused}, {kFour, 5ms, End::refused}});
  state(*book, 8ms);
  Race(*book, "A", 20ms).run({{kSix, 1ms, End::came_up}});
  state(*book, 31ms);
}

// Everything hangs: attempts are bounded each and together, at most three at once, and the race has its
// limit.
void all_hang() {
  Rules rules;
  rules.attempt = 600ms;
  const auto book = book_of(rules);
  std::vector<Address> many;
  for (int i = 1; i <= 12; ++i) many.push_back(at("10.0.0." + std::to_string(i) + ":90"));
  book->listed("A", true, many);
  Race(*book, "A", 0ms).run({});
  say(1000ms, "addresses kept: " + std::to_string(book->order("A").size()));
}

// It accepts and resets, or accepts and keeps silent: neither wins, since a fresh address has to speak first.
void proves() {
  const auto book = book_of();
  Race(*book, "A", 0ms).run({{kLocal, 0ms, End::reset_early}, {kFour, 4ms, End::came_up}});
  state(*book, 104ms);
  for (const Prove prove : {Prove::never, Prove::always}) {
    Rules rules;
    rules.prove = prove;
    const auto other = book_of(rules);
    other->spoke("A", kLocal);
    Race(*other, "A", 0ms).run({{kLocal, 1ms, End::came_up}});
  }
}

// An address that comes and goes is left alone for longer each time, up to the most; quiet times forgive.
void flaps() {
  Rules rules;
  rules.hold_most = 8s;
  const auto book = book_of(rules);
  Duration now{};
  for (int i = 0; i < 6; ++i) {
    book->spoke("A", kLocal);
    book->failed("A", kLocal, End::reset_early, now);
    state(*book, now);
    now = *book->next_trial_at();
    book->trial_ended(*book->next_trial(now), End::came_up, 1ms, now);
  }
  now += 20s;
  book->failed("A", kLocal, End::silent, now);
  state(*book, now);
}

// With one address there is nothing to choose: no proof, no doubt, no trial, and the attempt's limit is all.
void sole() {
  const auto book = book_of();
  book->listed("A", true, {kFour});
  Race(*book, "A", 0ms).run({});
  Race(*book, "A", 300ms).run({{kFour, 1ms, End::refused}});
  book->failed("A", kFour, End::reset_early, 400ms);
  state(*book, 400ms);
  say(400ms, std::string("trial due: ") + (book->next_trial_at() ? "yes" : "no"));
}

// Addresses that move: an address named for two servers is the newer claimant's; where both came at once it
// is nobody's, unless it is all a server has.
void moves() {
  const auto book = book_of();
  const auto both = [&](Duration now) {
    say(now, "A: " + book->describe("A", now));
    say(now, "B: " + book->describe("B", now));
  };
  book->news_opens(false);
  book->listed("B", true, {kSix, at("10.0.0.9:90")});
  book->news_closes();
  both(0ms);
  book->news_opens(false);
  book->gone("B");
  book->news_closes();
  both(1ms);
  Book fresh({}, 7);
  fresh.news_opens(true);
  fresh.listed("A", true, {kSix, kFour});
  fresh.listed("B", true, {kSix, at("10.0.0.9:90")});
  fresh.listed("C", true, {kSix});
  fresh.news_closes();
  for (const char* name : {"A", "B", "C"}) say(2ms, std::string(name) + ": " + fresh.describe(name, 2ms));
  fresh.news_opens(true);
  fresh.listed("A", true, {kSix, kFour});
  fresh.news_closes();
  for (const char* name : {"A", "B", "C"}) say(3ms, std::string(name) + ": " + fresh.describe(name, 3ms));
}

// The list changes while a race is on: an address taken away is not dialled, nor held against the server.
void taken_away() {
  const auto book = book_of();
  Race race(*book, "A", 0ms);
  const Step first = book->next(race.id, 0ms);
  say(0ms, "dial " + first.to.text());
  book->listed("A", true, {kFour});
  say(0ms, std::string("its address is ") + (book->usable("A", first.to) ? "usable" : "not usable"));
  book->ended(race.id, first.attempt, End::not_needed, 1ms);
  race.now = 1ms;
  race.run({{kFour, 2ms, End::came_up}});
  Race other(*book, "A", 10ms);
  book->gone("A");
  other.run({});
}

// The operator's own addresses: beside the list's or in their place, taken and taken back while serving.
void configured() {
  const auto book = book_of();
  book->spoke("A", kSix);
  book->failed("A", kFour, End::silent, 0ms);
  book->configure({}, {{"A", {false, {at("unix:@b"), kSix}}}, {"nobody", {true, {kLocal}}}});
  state(*book, 0ms);
  book->configure({}, {{"A", {true, {kFour}}}});
  state(*book, 0ms);
  book->configure({}, {});
  state(*book, 0ms);
}

// No descriptor, a full backlog here: that says nothing of an address. A drained server's are left alone.
void innocent() {
  const auto book = book_of();
  Race(*book, "A", 0ms)
      .run({{kLocal, 0ms, End::no_room}, {kSix, 0ms, End::no_room}, {kFour, 0ms, End::no_room}});
  state(*book, 0ms);
  book->failed("A", kLocal, End::silent, 0ms);
  book->listed("A", false, kAll);
  say(2s, std::string("trial while it drains: ") + (book->next_trial(2s) ? "yes" : "no"));
  book->listed("A", true, kAll);
  const Duration due = *book->next_trial_at();
  const Trial trial = *book->next_trial(due);
  say(due, "trial of " + trial.to.text());
  book->listed("A", true, {kSix, kFour});
  book->trial_ended(trial, End::came_up, 1ms, due + 1ms);
  state(*book, due + 1ms);
}

// Random lives of a few servers and addresses that they share: what must hold is looked at after each step.
void random_lives() {
  long steps = 0, dials = 0, won = 0, lost = 0, trials = 0, broken = 0;
  const auto must = [&](bool holds, const char* what) {
    if (holds) return;
    if (broken++ == 0) std::printf("BROKEN: %s\n", what);
  };
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    std::mt19937 chance(seed);
    const auto draw = [&](std::uint32_t most) { return chance() % most; };
    Rules rules;
    rules.at_once = 1 + static_cast<int>(draw(3));
    rules.prove = static_cast<Prove>(draw(3));
    rules.trials_at_once = 1 + static_cast<int>(draw(3));
    Book book(rules, seed);
    std::vector<Address> pool = kAll;
    for (int i = 0; i < 6; ++i) pool.push_back(at("10.0.1." + std::to_string(i + 1) + ":90"));
    struct Open {
      Book::RaceId id;
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
        book.news_opens(draw(4) == 0);
        book.listed(name, draw(5) > 0, some);
        book.news_closes();
      } else if (act < 10) {
        book.news_opens(false);
        book.gone(name);
        book.news_closes();
      } else if (act < 12) {
        book.configure(rules, {{name, {draw(2) == 0, {pool[draw(9)], pool[draw(9)]}}}});
      } else if (act < 40 && open.size() < 5) {
        open.push_back({book.begin(name, now), now, {}});
      } else if (act < 70) {
        if (!open.empty()) {
          Open& race = open[draw(static_cast<std::uint32_t>(open.size()))];
          if (!race.out.empty()) {
            const auto [attempt, to] = *race.out.begin();
            const End end = static_cast<End>(draw(7));
            race.out.erase(attempt);
            book.ended(race.id, attempt, end, now);
            if (end == End::came_up) {
              ++won;
              book.over(race.id);
              std::erase_if(open, [&](const Open& one) { return one.id == race.id; });
            }
          }
        }
      } else if (act < 80) {
        const auto order = book.order(name);
        if (!order.empty())
          book.failed(name, order[draw(static_cast<std::uint32_t>(order.size()))], static_cast<End>(draw(7)),
                      now);
      } else if (act < 85) {
        const auto order = book.order(name);
        if (!order.empty()) book.spoke(name, order.front());
      } else if (act < 92) {
        while (const auto trial = book.next_trial(now)) {
          must(book.usable(trial->server, trial->to), "a trial goes to a usable address");
          on_trial.push_back(*trial);
          ++trials;
        }
      } else if (!on_trial.empty()) {
        book.trial_ended(on_trial.back(), static_cast<End>(draw(7)), 1ms, now);
        on_trial.pop_back();
      }
      must(static_cast<int>(on_trial.size()) <= rules.trials_at_once, "trials are bounded");
      for (std::size_t k = 0; k < open.size();) {
        Open& race = open[k];
        bool over = false;
        for (int pulls = 0;; ++pulls) {
          must(pulls < 50, "a race comes to rest");
          const Step step = book.next(race.id, now);
          if (step.what == Step::What::dial) {
            ++dials;
            must(race.out.size() < 3, "attempts at once are bounded");
            must(now < race.begun + rules.race, "nothing is dialled past a race's limit");
            race.out[step.attempt] = step.to;
          } else if (step.what == Step::What::abandon) {
            race.out.erase(step.attempt);
          } else if (step.what == Step::What::lost) {
            over = true;
            break;
          } else {
            must(step.until > now, "a wait lies ahead");
            must(step.until <= race.begun + rules.race, "a wait ends with its race");
            break;
          }
        }
        if (over) {
          ++lost;
          book.over(race.id);
          open.erase(open.begin() + static_cast<std::ptrdiff_t>(k));
        } else {
          ++k;
        }
      }
      for (const std::string& each : names) {
        const auto order = book.order(each);
        must(order.size() <= kMostAddresses, "addresses of a server are bounded");
        for (const Address& one : order) must(book.usable(each, one), "what is ranked is usable");
      }
    }
    for (const Open& race : open) book.over(race.id);
    while (!on_trial.empty()) {
      book.trial_ended(on_trial.back(), End::not_needed, 1ms, now);
      on_trial.pop_back();
    }
    book.news_opens(true);
    book.news_closes();
    must(book.servers() == 0 && book.racing() == 0 && !book.next_trial_at(),
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
    const socklen_t size = read->put(out);
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
