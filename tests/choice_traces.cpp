// Traces of the decision module, one case a run; the kept ones are in traces/.
#include <cstring>

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

// With nothing else to tell replicas apart, one shard's parts stay with the preferred one up to its fair share and a
// fifth; the pauses let recent cost decay.
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

}  // namespace

int main(int argc, char** argv) {
  const std::string which = argc > 1 ? argv[1] : "";
  if (which == "margin") margin();
  if (which == "ties") ties();
  if (which == "shared_calls") shared_calls();
  if (which == "one_op_type_swallowed") one_op_type_swallowed();
  return 0;
}
