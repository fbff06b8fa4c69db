#include "emulator/policy.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>

#include "model/settings_reader.h"

namespace marbledyke::emulator {
namespace {

using namespace std::chrono_literals;

class Module final : public Policy {
 public:
  Module(const FlatSettings& terms, std::uint32_t seed) : choice_(terms, seed) {}
  void clock(Duration now) override { choice_.advance_clock(now); }
  void list_opens(bool whole, bool remembered) override { choice_.on_list_begin(whole, remembered); }
  void list_row(const ListEntry& row) override { choice_.on_list_entry(row); }
  void list_closes() override { choice_.on_list_complete(); }
  void list_refused(Duration most_backoff) override { choice_.on_list_call_refused(most_backoff); }
  void multiget_taken(const MultigetRequest& ask) override { choice_.on_multiget_received(ask); }
  void part_taken(const PartRequest& ask) override { choice_.on_part_received(ask); }
  void send_ended(const RequestId& part, int send, SendOutcome fate, Duration elapsed,
                  const LoadReport& load) override {
    choice_.on_send_ended(part, send, fate, elapsed, load);
  }
  void probe_ended(std::string_view server, SendOutcome fate, Duration elapsed,
                   const LoadReport& load) override {
    choice_.on_probe_ended(server, fate, elapsed, load);
  }
  void client_left(const RequestId& multiget) override { choice_.on_client_left(multiget); }
  std::optional<ReplyDecision> next_verdict() override { return choice_.next_reply(); }
  std::optional<SendCancellation> next_withdrawal() override { return choice_.next_cancellation(); }
  std::optional<Send> next_send() override { return choice_.next_send(); }
  std::optional<std::string_view> next_probe() override { return choice_.next_probe(); }
  std::optional<ListCall> next_list_call() override { return choice_.next_list_call(); }
  std::optional<Duration> next_wake() override {
    while (choice_.next_log_message()) {
    }
    return choice_.next_wake_delay();
  }

 private:
  DecisionEngine choice_;
};

enum class Way { random, round_robin, least_in_flight, two_choices, bare_design };

// One plain gatherer for all baselines; they differ in pick() only. Keeps rules 1 to 3 and 5; knows nothing
// of cold servers, budgets of further sends or overload.
class Baseline final : public Policy {
 public:
  Baseline(Way way, const FlatSettings& terms, std::uint32_t seed)
      : way_(way), contract_(terms), chance_(seed) {
    for (int i = 0; contract_.has("categories." + std::to_string(i) + ".deadline"); ++i) {
      const std::string at = "categories." + std::to_string(i) + ".";
      ops_.push_back({contract_.text(at + "effect", "once") == "repeatable",
                      contract_.share("specifics.complete-from." + std::to_string(i), 1)});
    }
    most_sends_ = static_cast<int>(contract_.number("limits.attempts-cap", 1));
    cells_ = static_cast<int>(contract_.number("specifics.sets", 1));
    by_cell_.resize(static_cast<std::size_t>(cells_));
  }

  void clock(Duration now) override { now_ = now; }
  void list_opens(bool whole, bool) override {
    if (!whole) return;
    servers_.clear();
  }
  void list_row(const ListEntry& row) override {
    Server& server = servers_[row.server];
    server.row = row;
    server.hash = mix(std::hash<std::string_view>{}(row.server) * 3 + 1);
  }
  void list_closes() override {
    for (auto& cell : by_cell_) cell.clear();
    for (auto& [name, server] : servers_) {
      if (server.row.status == ServerStatus::up)
        by_cell_[static_cast<std::size_t>(std::clamp(server.row.cell, 0, cells_ - 1))].push_back(&server);
    }
    watching_ = asked_;  // the list of the start is a remembered one
  }
  void list_refused(Duration) override { watching_ = asked_ = false; }

  void multiget_taken(const MultigetRequest& ask) override {
    Multiget& mg = multigets_[ask.id];
    mg.op = ask.op_type;
    mg.until = ask.client_deadline - 20ms;
    mg.awaited = ask.part_count;
  }
  void part_taken(const PartRequest& ask) override {
    RequestId whole = ask.id;
    std::fill_n(whole.text.begin() + 12, 4, '0');
    Multiget& mg = multigets_[whole];
    Part part;
    part.shard = ask.shard;
    part.cost = ask.cost_hint > 0us ? static_cast<double>(ask.cost_hint.count()) : 1000;
    mg.parts.emplace(ask.id, part);
    waiting_.push_back({whole, ask.id});
  }
  void send_ended(const RequestId& id, int send, SendOutcome fate, Duration, const LoadReport&) override {
    RequestId whole = id;
    std::fill_n(whole.text.begin() + 12, 4, '0');
    const auto at = multigets_.find(whole);
    const auto out = out_.find({id, send});
    if (out != out_.end()) {
      if (const auto server = servers_.find(out->second.first); server != servers_.end())
        server->second.in_flight = std::max(0.0, server->second.in_flight - out->second.second);
      out_.erase(out);
    }
    if (at == multigets_.end()) return;
    Multiget& mg = at->second;
    Part& part = mg.parts.at(id);
    if (fate == SendOutcome::returned && !part.in) {
      part.in = true;
      mg.in += 1;
    } else if (fate != SendOutcome::returned && fate != SendOutcome::revoked && !part.in) {
      const bool never =
          fate == SendOutcome::pushed_back || fate == SendOutcome::dial_failed || fate == SendOutcome::unused;
      part.may_have_run = part.may_have_run || !never;
      const bool may = ops_[static_cast<std::size_t>(mg.op)].repeats || !part.may_have_run;
      if (may && part.sent < most_sends_ && now_ < mg.until) {
        waiting_.push_back({whole, id});
      } else {
        part.given_up = true;
        mg.failed = true;
      }
    }
    changed_.push_back(whole);
  }
  void probe_ended(std::string_view, SendOutcome, Duration, const LoadReport&) override {}
  void client_left(const RequestId& id) override { multigets_.erase(id); }

  std::optional<ReplyDecision> next_verdict() override {
    while (!changed_.empty()) {
      const RequestId id = changed_.back();
      changed_.pop_back();
      const auto at = multigets_.find(id);
      if (at == multigets_.end()) continue;
      Multiget& mg = at->second;
      const double share = static_cast<double>(mg.in) / std::max(mg.awaited, 1);
      if (share >= ops_[static_cast<std::size_t>(mg.op)].need &&
          mg.awaited == static_cast<int>(mg.parts.size())) {
        multigets_.erase(at);
        return ReplyDecision{id, MultigetOutcome::answer, true, {}};
      }
      if (mg.failed) return give_up(at);
    }
    for (auto at = multigets_.begin(); at != multigets_.end(); ++at) {
      if (now_ >= at->second.until) return give_up(at);
    }
    return std::nullopt;
  }
  std::optional<SendCancellation> next_withdrawal() override { return std::nullopt; }
  std::optional<Send> next_send() override {
    while (!waiting_.empty()) {
      if (way_ == Way::bare_design && !sorted_) {
        std::stable_sort(waiting_.begin(), waiting_.end(),
                         [&](const auto& a, const auto& b) { return cost(a) > cost(b); });
        sorted_ = true;
      }
      const auto [whole, id] = waiting_.front();
      waiting_.pop_front();
      const auto at = multigets_.find(whole);
      if (at == multigets_.end() || now_ >= at->second.until) continue;
      Part& part = at->second.parts.at(id);
      if (part.in) continue;
      Server* const to = pick(part);
      if (to == nullptr) {
        held_.push_back({whole, id});
        continue;
      }
      part.last = to->row.server;
      to->in_flight += part.cost;
      to->recent = recent(*to) + part.cost;
      to->recent_at = now_;
      out_[{id, part.sent}] = {to->row.server, part.cost};
      part.sent += 1;
      return Send{id, part.last, at->second.until};
    }
    sorted_ = false;
    waiting_.swap(held_);
    held_.clear();
    return std::nullopt;
  }
  std::optional<std::string_view> next_probe() override { return std::nullopt; }
  std::optional<ListCall> next_list_call() override {
    if (watching_ || now_ < ask_again_) return std::nullopt;
    ask_again_ = now_ + 1s;
    asked_ = true;
    return ListCall::watch;
  }
  std::optional<Duration> next_wake() override {
    if (wake_ > now_) return std::nullopt;
    wake_ = now_ + 20ms;
    return 20ms;
  }

 private:
  struct Op {
    bool repeats = false;
    double need = 1;
  };
  struct Server {
    ListEntry row;
    std::uint64_t hash = 0;
    double in_flight = 0, recent = 0;
    Duration recent_at{};
  };
  struct Part {
    int shard = 0, sent = 0;
    double cost = 0;
    bool in = false, may_have_run = false, given_up = false;
    std::string last;
  };
  struct Multiget {
    int op = 0, awaited = 0, in = 0;
    bool failed = false;
    Duration until{};
    std::map<RequestId, Part> parts;
  };
  using Waiting = std::deque<std::pair<RequestId, RequestId>>;

  static std::uint64_t mix(std::uint64_t x) {
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
  }
  double cost(const std::pair<RequestId, RequestId>& one) {
    const auto at = multigets_.find(one.first);
    return at == multigets_.end() ? 0 : at->second.parts.at(one.second).cost;
  }
  double recent(const Server& server) const {
    return server.recent * std::exp(-std::chrono::duration<double>(now_ - server.recent_at).count());
  }
  ReplyDecision give_up(std::map<RequestId, Multiget>::iterator at) {
    const bool harmless = ops_[static_cast<std::size_t>(at->second.op)].repeats ||
                          std::none_of(at->second.parts.begin(), at->second.parts.end(), [](const auto& one) {
                            return one.second.may_have_run || (one.second.sent > 0 && !one.second.given_up);
                          });
    const RequestId id = at->first;
    multigets_.erase(at);
    return {id, harmless ? MultigetOutcome::push_back : MultigetOutcome::fail, false, {}};
  }

  Server* pick(const Part& part) {
    const auto& all = by_cell_[static_cast<std::size_t>(part.shard % cells_)];
    if (all.empty()) return nullptr;
    const auto any = [&] { return all[chance_() % all.size()]; };
    const auto fewer = [](Server* a, Server* b) { return b->in_flight < a->in_flight ? b : a; };
    switch (way_) {
      case Way::random:
        return any();
      case Way::round_robin:
        return all[next_++ % all.size()];
      case Way::two_choices:
        return fewer(any(), any());
      case Way::least_in_flight: {
        const std::size_t from = chance_() % all.size();
        Server* best = all[from];
        for (std::size_t i = 1; i < all.size(); ++i) best = fewer(best, all[(from + i) % all.size()]);
        return best;
      }
      case Way::bare_design: {
        const auto load = [&](Server* one) { return one->in_flight + recent(*one); };
        const auto rank = [&](Server* one) {
          return mix(one->hash ^ mix(static_cast<std::uint64_t>(part.shard) + 1));
        };
        Server* preferred = all.front();
        Server* least = all.front();
        for (Server* one : all) {
          if (one->row.server == part.last && all.size() > 1) continue;
          if (preferred->row.server == part.last || rank(one) > rank(preferred)) preferred = one;
          if (least->row.server == part.last || load(one) < load(least)) least = one;
        }
        return load(preferred) > 1.05 * load(least) ? least : preferred;
      }
    }
    return nullptr;
  }

  Way way_;
  SettingsReader contract_;
  std::mt19937 chance_;
  std::vector<Op> ops_;
  int most_sends_ = 1, cells_ = 1;
  Duration now_{}, wake_ = Duration::min() / 2, ask_again_{};
  bool watching_ = false, asked_ = false, sorted_ = false;
  std::size_t next_ = 0;
  std::map<std::string, Server, std::less<>> servers_;
  std::vector<std::vector<Server*>> by_cell_;
  std::map<RequestId, Multiget> multigets_;
  std::map<std::pair<RequestId, int>, std::pair<std::string, double>> out_;
  Waiting waiting_, held_;
  std::vector<RequestId> changed_;
};

}  // namespace

const std::vector<std::string>& policy_names() {
  static const std::vector<std::string> kNames{"module",          "random",      "round-robin",
                                               "least-in-flight", "two-choices", "bare-design"};
  return kNames;
}

std::unique_ptr<Policy> make_policy(const std::string& name, const FlatSettings& terms, std::uint32_t seed) {
  if (name == "module") return std::make_unique<Module>(terms, seed);
  if (name == "random") return std::make_unique<Baseline>(Way::random, terms, seed);
  if (name == "round-robin") return std::make_unique<Baseline>(Way::round_robin, terms, seed);
  if (name == "least-in-flight") return std::make_unique<Baseline>(Way::least_in_flight, terms, seed);
  if (name == "two-choices") return std::make_unique<Baseline>(Way::two_choices, terms, seed);
  if (name == "bare-design") return std::make_unique<Baseline>(Way::bare_design, terms, seed);
  return nullptr;
}

}  // namespace marbledyke::emulator
