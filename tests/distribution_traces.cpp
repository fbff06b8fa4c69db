// Delivery of settings, without I/O: what a control node gives to whom and when, what a receiver takes, and
// both together in virtual time. The shipped decisions run; the same verdict each time.
#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <string>

#include "config/fields.h"
#include "emulator/distribution.h"

using namespace marbledyke;
using namespace marbledyke::distribution;
using namespace std::chrono_literals;
using emulator::emulated_revision;

namespace {

void say(const std::string& what, bool is) { std::printf("%-96s %s\n", what.c_str(), is ? "yes" : "NO"); }

// ---- a node's side ----

WatchCall call_of(const std::string& receiver, std::int64_t index, Duration wait = 3s) {
  WatchCall out;
  out.receiver = receiver;
  out.zone = "z1";
  out.index = index;
  if (index > 0) out.digest = emulated_revision(index).digest;
  out.wait = wait;
  return out;
}

std::string answers(Publisher& publisher) {
  std::string out;
  while (const auto due = publisher.next()) {
    out += " " + std::to_string(due->caller) + ":newest " + std::to_string(due->answer.newest);
    if (due->answer.revision) out += " given " + std::to_string(due->answer.revision->index);
  }
  return out.empty() ? " none" : out;
}

void publisher() {
  Publisher node;
  const auto at = [&](Duration when, const char* what) {
    node.tick(when);
    std::printf("%6lld ms %-58s%s\n", static_cast<long long>(when / 1ms), what, answers(node).c_str());
  };
  node.tick(100s);
  node.called(1, call_of("a", 0));
  node.called(2, call_of("b", 0, 1s));
  at(100s, "nothing is agreed: both wait");
  at(101s, "the wait of 2 is over");
  node.chosen(emulated_revision(1));
  at(101s, "revision 1: the one that waits has it at once");
  node.called(3, call_of("a", 1));
  node.chosen(emulated_revision(2));
  at(101s + 499ms, "revision 2 within the spacing: not yet");
  node.chosen(emulated_revision(3));
  node.chosen(emulated_revision(2));
  at(101s + 500ms, "revision 3 came too, then 2 once more: one answer, the newest");
  node.called(4, call_of("a", 5));
  at(101s + 600ms, "a receiver that is ahead waits");
  at(105s, "and is told that the node is behind");
  node.called(5, call_of("a", 3));
  node.left(5);
  node.chosen(emulated_revision(4));
  at(106s, "a caller that left is not answered");
  WatchCall refusing = call_of("c", 3);
  refusing.refused = 4;
  refusing.refused_why = "tick_ms: below 1";
  node.called(6, refusing);
  at(106s, "one that refused the newest is not given it again");
  node.chosen(emulated_revision(5));
  at(106s, "but the one after it");
  WatchCall peer = call_of("node:n2", 0);
  peer.role = CallerRole::node;
  node.called(7, peer);
  at(106s, "a node that follows is given the newest at once");
  say("and is not counted among the receivers", !node.receivers().contains("node:n2"));
  say("an older revision changes nothing", (node.chosen(emulated_revision(2)), node.newest() == 5));
}

void summary() {
  Publisher node;
  node.tick(100s);
  for (const char* name : {"a", "b", "c"}) node.called(static_cast<std::uint64_t>(name[0]), call_of(name, 1));
  node.chosen(emulated_revision(2));
  say("not everywhere while three run another one", !node.summary().everywhere_after);
  node.tick(100s + 200ms);
  node.called(1, call_of("a", 2));
  node.called(2, call_of("b", 2));
  say("nor while one does", !node.summary().everywhere_after);
  WatchCall refusing = call_of("c", 1);
  refusing.refused = 2;
  refusing.refused_why = "tick_ms: below 1";
  node.called(3, refusing);
  const Summary refused = node.summary();
  say("nor while one refuses it, which is named",
      !refused.everywhere_after && refused.refusing.size() == 1 && refused.refusing[0].first == "c" &&
          refused.refusing[0].second.refused_why == "tick_ms: below 1");
  say("two run 2 and one runs 1",
      refused.receivers_by_index == std::map<std::int64_t, std::size_t>{{1, 1}, {2, 2}});
  node.tick(100s + 300ms);
  node.called(4, call_of("c", 2));
  say("once all run it: since 300 ms after it was learned",
      node.summary().everywhere_after == Duration(300ms));
  node.chosen(emulated_revision(3));
  node.tick(109s);
  node.called(5, call_of("a", 3));
  say("one that is not heard of for 8 s is not waited for",
      node.summary().everywhere_after == Duration(8700ms));
  node.tick(161s);
  say("and forgotten after a minute", node.receivers().size() == 1);
  bool all = true;
  for (std::size_t i = 0; i < kMostReceivers - 1; ++i)
    all = all && node.called(1000 + i, call_of("r" + std::to_string(i), 3));
  say("4,096 receivers are known", all && node.receivers().size() == kMostReceivers);
  say("one more is turned away", !node.called(99, call_of("x", 3)));
  say("one that is known is not", node.called(98, call_of("r7", 3)));
}

void shares() {
  Publisher node;
  node.tick(100s);
  const int count = 1000;
  std::map<std::string, std::int64_t> held;
  const auto give = [&](Duration when) {
    node.tick(when);
    std::map<std::uint64_t, std::string> callers;
    std::uint64_t caller = 1;
    for (const auto& [name, index] : held) {
      callers[caller] = name;
      node.called(caller++, call_of(name, index, 0s));
    }
    while (const auto due = node.next()) {
      if (due->answer.revision) held[callers[due->caller]] = due->answer.revision->index;
    }
    std::map<std::int64_t, int> out;
    for (const auto& [name, index] : held) out[index] += 1;
    return out;
  };
  for (int i = 0; i < count; ++i) held["r" + std::to_string(i)] = 0;
  node.chosen(emulated_revision(1));
  say("revision 1 is for all", give(100s)[1] == count);
  node.chosen(emulated_revision(2, 0.1));
  const int tenth = give(110s)[2];
  say("a share of 0.1 is 80 to 120 of 1,000", tenth >= 80 && tenth <= 120);
  say("the same ones the next time", give(115s)[2] == tenth);
  const auto first = held;
  node.chosen(emulated_revision(3, 0.5));
  const int half = give(120s)[3];
  say("widened to 0.5: 450 to 550", half >= 450 && half <= 550);
  say("among them all of the first tenth", std::all_of(first.begin(), first.end(), [&](const auto& one) {
        return one.second != 2 || held[one.first] == 3;
      }));
  held.emplace("later", 0);
  give(125s);
  say("one that comes later without any has what it is meant for",
      held["later"] == (meant_for(0.5, "later") ? 3 : 1));
  node.chosen(emulated_revision(4));
  say("at last all", give(130s)[4] == count + 1);
}

// ---- messages ----

void messages() {
  const auto read = [](const char* what, const std::string& target) {
    try {
      const WatchCall call = read_watch_call(target);
      std::printf("%-34s %s %s index %lld wait %lld ms%s%s\n", what, call.receiver.c_str(), call.zone.c_str(),
                  static_cast<long long>(call.index), static_cast<long long>(call.wait / 1ms),
                  call.role == CallerRole::node ? ", a node" : "",
                  call.refused > 0 ? (" refused: " + call.refused_why).c_str() : "");
    } catch (const config::BadInput& wrong) {
      std::printf("%-34s %s\n", what, wrong.what());
    }
  };
  const std::string path = "/v1/configuration";
  WatchCall whole = call_of("g.1", 7);
  whole.refused = 8;
  whole.refused_why = "tick_ms: 5 % & more\n\xc3\xa9";
  read("there and back", query_of(whole));
  whole.role = CallerRole::node;
  whole.refused_why = std::string(5000, '&');
  say("a refusal's reason is cut", read_watch_call(query_of(whole)).refused_why == std::string(200, '&'));
  read("another path", "/v1/servers?receiver=a");
  read("no receiver", path + "?zone=b");
  read("no query", path);
  read("a name with a space", path + "?receiver=a%20b");
  read("a name of 65", path + "?receiver=" + std::string(65, 'a'));
  read("a query of 1 MB", path + "?receiver=" + std::string(1'000'000, 'a'));
  read("an index below 0", path + "?receiver=a&index=-1");
  read("an index beyond 64 bits", path + "?receiver=a&index=99999999999999999999");
  read("an index without a digest", path + "?receiver=a&index=3");
  read("a wait of an hour", path + "?receiver=a&wait=3600000");
  read("a wait beyond 64 bits", path + "?receiver=a&wait=99999999999999999999");
  read("a field without a value", path + "?receiver=a&index");
  read("half a percent", path + "?receiver=a&refused=1&why=%4");
  read("a role that is not known", path + "?receiver=a&role=king");
  read("a field that is not known", path + "?receiver=a&colour=red");
  const auto answer = [](const char* what, const std::string& text) {
    try {
      const WatchAnswer got = read_watch_answer(config::parse(text));
      std::printf("%-34s newest %lld%s\n", what, static_cast<long long>(got.newest),
                  got.revision ? ", given" : "");
    } catch (const WrongDigest& wrong) {
      std::printf("%-34s WrongDigest %s\n", what, wrong.what());
    } catch (const config::BadInput& wrong) {
      std::printf("%-34s %s\n", what, wrong.what());
    }
  };
  const nlohmann::json good = put(WatchAnswer{9, emulated_revision(9)});
  const auto with = [&](const char* field, const nlohmann::json& value) {
    nlohmann::json out = good;
    out["revision"][field] = value;
    return out.dump();
  };
  answer("an answer", good.dump());
  answer("without a revision", put(WatchAnswer{9, std::nullopt}).dump());
  answer("not JSON", "{{");
  answer("an array", "[]");
  answer("newest below 0", R"({"newest":-3})");
  answer("a revision that is text", R"({"newest":3,"revision":"x"})");
  answer("other settings", with("settings", {{"a", 1}}));
  answer("another index", with("index", 10));
  answer("another digest", with("digest", "00"));
  answer("nested 30,000 deep", R"({"newest":3,"revision":)" + std::string(30'000, '['));
}

// ---- a receiver's side ----

// A receiver whose acts are taken by the test.
struct Hand {
  explicit Hand(std::size_t nodes = 6, std::uint32_t seed = 1)
      : receiver({"r", "z", "f", CallerRole::receiver}, nodes, std::min<std::size_t>(nodes, 3), std::nullopt,
                 seed) {
    receiver.start();
  }
  Receiver receiver;
  ReceiverAct::Call last;
  Duration rested{};
  // Until a call is out; what is to be applied is applied.
  void until_call() {
    while (const auto act = receiver.next()) {
      if (std::get_if<ReceiverAct::Apply>(&act->what) != nullptr) receiver.applied();
      if (const auto* const rest = std::get_if<ReceiverAct::Rest>(&act->what)) {
        rested = rest->wait;
        receiver.rested();
      }
      if (const auto* const call = std::get_if<ReceiverAct::Call>(&act->what)) last = *call;
    }
  }
  void answer(std::int64_t newest, std::optional<Revision> revision = std::nullopt) {
    until_call();
    receiver.answered({newest, std::move(revision)});
    until_call();
  }
  std::int64_t held() const { return receiver.held() ? receiver.held()->index : 0; }
};

void receiver() {
  Hand hand;
  hand.until_call();
  say("its first call does not wait", hand.last.call.wait == 0s && hand.last.patience == kCallPatience);
  hand.answer(0);
  say("the next one waits for 2.4 to 3 s", hand.last.call.wait >= 2400ms && hand.last.call.wait <= 3s);
  hand.answer(5, emulated_revision(5));
  say("a revision is applied and told upward at once", hand.held() == 5 && hand.last.call.index == 5);
  const std::size_t node = hand.receiver.node();
  hand.answer(4, emulated_revision(4));
  say("an older one is not applied", hand.held() == 5 && hand.receiver.tally().older == 1);
  say("and its node is left", hand.receiver.node() != node);
  hand.answer(5, emulated_revision(5));
  say("the same one is not applied again", hand.receiver.tally().applied == 1);
  Revision other = emulated_revision(6);
  other.fleet = "g";
  other.digest = digest_of(other);
  hand.answer(6, other);
  say("another fleet's is not applied", hand.held() == 5);
  Revision wrong = emulated_revision(6);
  wrong.settings = "{\"index\":7}";
  hand.answer(6, wrong);
  say("one with a wrong digest is not applied, and counted",
      hand.held() == 5 && hand.receiver.tally().wrong_digest == 1);
  hand.receiver.damaged("digest: does not match");
  hand.until_call();
  say("nor one that was damaged on its way", hand.receiver.tally().wrong_digest == 2);
  hand.until_call();
  hand.receiver.answered({6, emulated_revision(6)});
  hand.receiver.next();
  hand.receiver.refused(std::string(500, 'x'));
  hand.until_call();
  say("one that the gatherer refuses: what is held stays, and the next call says so",
      hand.held() == 5 && hand.last.call.refused == 6 && hand.last.call.refused_why.size() == 200);
  hand.answer(6, emulated_revision(6));
  say("offered again it is not applied", hand.held() == 5);
  hand.answer(7, emulated_revision(7));
  say("the one after it is", hand.held() == 7);
  say("nothing came that cannot come", hand.receiver.impossible() == 0);
}

void phases() {
  const std::map<std::string, std::function<void(Receiver&)>> events{
      {"rested", [](Receiver& r) { r.rested(); }},    {"answered", [](Receiver& r) { r.answered({}); }},
      {"failed", [](Receiver& r) { r.failed("x"); }}, {"silent", [](Receiver& r) { r.silent(); }},
      {"applied", [](Receiver& r) { r.applied(); }},  {"refused", [](Receiver& r) { r.refused("x"); }}};
  for (const auto phase : {ReceiverPhase::resting, ReceiverPhase::calling, ReceiverPhase::applying}) {
    for (const auto& [name, event] : events) {
      Hand hand;
      if (phase != ReceiverPhase::resting) hand.until_call();
      if (phase == ReceiverPhase::applying) hand.receiver.answered({1, emulated_revision(1)});
      const bool there = hand.receiver.phase() == phase;
      event(hand.receiver);
      std::printf(
          "%-9s %-9s %s%s\n", distribution::name_of(phase), name.c_str(),
          hand.receiver.impossible() > 0 ? "cannot come" : distribution::name_of(hand.receiver.phase()),
          there ? "" : " NOT THERE");
    }
  }
}

void choices() {
  std::map<std::size_t, int> first;
  for (std::uint32_t seed = 0; seed < 910; ++seed) first[Hand(6, seed).receiver.node()] += 1;
  say("910 seeds spread over the three preferred nodes alone: 260 to 350 each",
      first.size() == 3 && std::all_of(first.begin(), first.end(), [](const auto& one) {
        return one.first < 3 && one.second >= 260 && one.second <= 350;
      }));
  Hand hand;
  hand.answer(0);
  hand.answer(9, emulated_revision(9));
  std::size_t node = hand.receiver.node();
  hand.answer(8);
  say("a node that is behind has one more call", hand.receiver.node() == node && hand.held() == 9);
  hand.answer(8);
  say("then another one is called", hand.receiver.node() != node && hand.held() == 9);
  std::map<std::size_t, int> tried;
  std::map<int, Duration> longest;
  Hand failing(6, 7);
  for (int i = 0; i < 60; ++i) {
    failing.until_call();
    tried[failing.last.node] += 1;
    i % 2 == 0 ? failing.receiver.failed("refused") : failing.receiver.silent();
    failing.until_call();
    longest[std::min(i, 10)] = std::max(longest[std::min(i, 10)], failing.rested);
  }
  say("while none answers all six are tried by turns",
      tried.size() == 6 &&
          std::all_of(tried.begin(), tried.end(), [](const auto& one) { return one.second == 10; }));
  say("the first retry is within 0.2 s, all within 2 s",
      longest[0] <= 200ms && longest[10] <= 2s && longest[10] > 1s);
  // Back to the first choice: in the time of its own calls, bounded.
  Hand away(6, 3);
  away.answer(0);
  const std::size_t home = away.receiver.node();
  away.receiver.failed("reset");
  Duration waited{};
  for (int i = 0; i < 100 && away.receiver.node() != home; ++i) {
    away.answer(0);
    waited += away.last.call.wait + away.rested;
  }
  say("its first choice is tried again after 15 to 50 s",
      away.receiver.node() == home && waited >= 15s && waited <= 50s);
  away.receiver.silent();
  away.until_call();
  say("still silent: it goes back to where it came from", away.receiver.node() != home);
  waited = Duration::zero();
  for (int i = 0; i < 200 && away.receiver.node() != home; ++i) {
    away.answer(0);
    waited += away.last.call.wait + away.rested;
  }
  say("and tries later, after 30 to 95 s", away.receiver.node() == home && waited >= 30s && waited <= 95s);
  away.answer(0);
  away.answer(0);
  say("there again it stays", away.receiver.node() == home && away.receiver.tally().node_changes == 4);
}

}  // namespace

int main(int count, char** words) {
  const std::map<std::string, std::function<void()>> cases{
      {"publisher", publisher}, {"summary", summary}, {"shares", shares},  {"messages", messages},
      {"receiver", receiver},   {"phases", phases},   {"choices", choices}};
  const auto found = count == 2 ? cases.find(words[1]) : cases.end();
  if (found == cases.end()) return 2;
  found->second();
  return 0;
}
