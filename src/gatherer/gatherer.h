// The gatherer's main loop. Each turn collects the events that are ready, delivers them to the decision
// module together, and executes its decisions. Keeps the pending multigets and their ids; makes no decisions
// itself.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carrier/carrier.h"
#include "clients/http_front.h"
#include "config/gatherer_config.h"
#include "decision_engine.h"
#include "front/front.h"
#include "gatherer/reserved_ids.h"
#include "list/discovery_client.h"
#include "log/log.h"
#include "model/slot_map.h"
#include "net/loop.h"
#include "net/memory_budget.h"
#include "operator_file/terms.h"
#include "servers/shard_server_pool.h"
#include "totals/totals.h"

namespace marbledyke::gatherer {

class Gatherer {
 public:
  // The configuration must outlive the gatherer; reload() changes its settings. `listening` may be a socket
  // that already listens at the address for clients.
  explicit Gatherer(config::GathererConfig& gatherer_config, net::Descriptor listening = {},
                    const TimeSource& clock = system_time_source());

  // Adds a front beside the platform's own. Must be called before the first turn.
  void add(std::unique_ptr<front::Front> front);
  // Adds a carrier to servers that speak another protocol than frames. Must be called before the first turn.
  void add(std::unique_ptr<carrier::Carrier> carrier);
  // Closes a client connection to release a descriptor; returns false if none can be closed.
  bool release_connection();

  // Runs one turn of the event loop. Returns false once a planned stop is complete.
  bool run_once();
  // Starts a planned stop: connected clients are served for a while longer, and pending multigets are
  // finished.
  void begin_stop();
  // Applies a new configuration: its settings and its discovery address. Other differences are logged, since
  // they need a restart. Multigets already delivered to the decision engine finish under the settings that
  // they arrived under. Throws, without any change, if the settings are invalid.
  void reload(const config::GathererConfig& fresh);
  // Applies the operator's terms, at the start and after each reload of their file.
  void apply_operator_terms(const operator_file::Terms& terms);
  net::Loop& loop() { return loop_; }
  // What clients of all fronts may make the process hold.
  net::MemoryBudget& client_memory() { return client_memory_; }
  // Logs the totals since the start.
  void log_totals();
  // From now on, counts each second of the wall clock by op type, and passes each window to `listener` as a
  // line of JSON after its end.
  void record_windows(std::function<void(const std::string& line)> listener);
  const servers::Counters& tally() const { return servers_.counters(); }
  const servers::ShardServerPool& servers() const { return servers_; }

 private:
  struct Part {
    int shard = 0;
    double weight = 0;
    std::uint64_t key = 0;
    Duration work_estimate{};
    int sends = 0;
    bool returned = false;
    double score = 0;
    std::string value;  // valid once returned
  };

  // A multiget from its request to the end of its last send. Its id and those of its parts differ only in the
  // last digits.
  struct PendingMultiget {
    RequestId id;
    std::size_t front = 0;
    std::uint64_t caller = 0;   // 0 after its final answer or the disconnect of its client
    std::string request_id;     // as stated by the client
    Duration deadline{};        // for the final answer, as given to the decision engine
    int second_step_parts = 0;  // as in the settings it arrived under, like the next
    bool non_retriable = false;
    int step = 1;
    bool is_first_step_complete = false;
    bool is_answered = false;
    bool may_have_run = false;  // a part of it, as far as its ended sends tell
    int sends_out = 0;
    Duration last_send = Duration::min() / 2;  // when the latest send was handed out
    Duration last_abandoned =
        Duration::min() / 2;     // when the latest send that ended without an answer was handed out
    std::size_t step_begin = 0;  // index of the current step's first part
    std::vector<Part> parts;     // of both steps
    std::shared_ptr<const std::string> text;
    std::string first_step_shards;  // that returned, joined with "+"
    // For the recorder only; empty without one.
    std::string op_type;
    Duration first_byte_at{}, latency_budget{};
  };

  // Counts the current window while a listener is set.
  struct Recorder {
    std::function<void(const std::string&)> listener;
    totals::Window window;
    std::uint64_t windows_published = 0;
  };

  // Counts since the start, in multigets unless stated otherwise.
  struct Counters {
    std::uint64_t accepted = 0;
    std::uint64_t answered = 0;
    std::uint64_t pushed_back = 0;
    std::uint64_t failed = 0;
    std::uint64_t client_left = 0;
    std::uint64_t refused_at_capacity = 0;
    std::uint64_t second_steps = 0;
    std::uint64_t unreadable_entries = 0;  // of discovery's lists
  };

  RequestId part_id(const RequestId& multiget, std::size_t part_index) const;
  PendingMultiget* find_pending(const RequestId& part, std::size_t* part_index = nullptr);
  bool has_events() const;
  bool has_no_clients() const;
  bool is_writing() const;
  void deliver_events();
  void execute_decisions();
  void on_multiget_received(std::size_t front, front::Request& request);
  void on_client_left(std::size_t front, std::uint64_t caller);
  void fail_remaining_at_stop();
  void submit_parts(PendingMultiget& mg);
  void on_send_ended(servers::SendResult& ended);
  void on_reply_decision(const ReplyDecision& decision);
  void finish_step(PendingMultiget& mg, const ReplyDecision& decision);
  void begin_second_step(PendingMultiget& mg, bool complete);
  void mark_answered(PendingMultiget& mg);
  void release_if_finished(PendingMultiget& mg);
  void on_list_update(list::ListUpdate&& news);
  carrier::Carrier* carrier_for(std::string_view server);

  bool apply_settings(const config::GathererConfig& fresh);
  void publish_window();
  // Returns the counts of the multiget's op type in the current window; null without a recorder.
  totals::OpTypeCounts* op_type_counts(const PendingMultiget& mg);

  config::GathererConfig& gatherer_config_;
  net::Address discovery_;  // of the latest configuration
  net::Loop loop_;
  net::MemoryBudget client_memory_;
  Duration unix_start_;
  DecisionEngine decision_engine_;
  servers::ShardServerPool servers_;
  std::vector<std::unique_ptr<carrier::Carrier>> carriers_;
  clients::HttpFront http_front_;
  std::vector<std::unique_ptr<front::Front>> extra_fronts_;
  std::vector<front::Front*> fronts_{&http_front_};  // all fronts, the platform's first
  list::DiscoveryClient list_watch_;
  SlotMap<PendingMultiget> pending_;
  int pending_count_ = 0;  // multigets and parts, against the limit max_pending
  int unanswered_ = 0;     // multigets without their final answer
  std::uint32_t next_number_ = 1;
  std::map<std::pair<std::size_t, std::uint64_t>, RequestId> by_caller_;
  std::map<std::string, RequestId, std::less<>> by_request_id_;
  ReservedIds ids_that_may_have_run_;
  std::vector<RequestId> second_steps_to_submit_;  // whose parts are submitted in the next turn
  std::vector<list::ListUpdate> list_updates_;
  std::vector<Duration> list_refusals_;  // upper bounds of the backoff after refused list requests
  bool is_wake_due_ = true;
  std::optional<Duration> stop_deadline_;  // in a planned stop: by when all multigets must be answered
  bool is_accepting_ = true, closes_after_answers_ = false;
  Counters counters_;
  log::RateLimitedEvent long_turn_event_{log::Level::warning, "gatherer.long_turn"};
  std::optional<Recorder> recorder_;
};

}  // namespace marbledyke::gatherer
