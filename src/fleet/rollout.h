// Carries out a rollout over a fleet's keepers: polls them, passes their windows to the judge and their
// status to the controller, and sends the orders that the controller decides on. The state is kept in a
// directory, which only one runner may use at a time.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "disk/disk.h"
#include "fleet/fleet_file.h"
#include "fleet/http_client.h"
#include "rollout/controller.h"
#include "rollout/window_aggregator.h"

namespace marbledyke::fleet {

class RolloutRunner {
 public:
  // All references have to outlive the runner. Throws config::BadInput where another process uses the
  // directory, or it holds another rollout that is not over.
  RolloutRunner(net::Loop& loop, disk::Disk& disk, const Fleet& fleet, const rollout::Plan& plan,
                const std::string& folder);
  ~RolloutRunner();
  RolloutRunner(const RolloutRunner&) = delete;
  RolloutRunner& operator=(const RolloutRunner&) = delete;

  bool is_over() const { return controller_ != nullptr && controller_->is_over() && pending_orders_ == 0; }
  const rollout::Controller* controller() const { return controller_.get(); }

 private:
  // What was received from a keeper.
  struct KeeperProgress {
    std::int64_t windows_from = 0;             // start (ms) of the first window to ask for
    std::uint64_t epoch = 0;                   // of the last order that it took
    std::uint64_t exits_at_change = 0;         // process exits counted when it was changed
    std::optional<Duration> windows_received;  // when the last request for windows was answered
    bool status_pending = false;
  };
  void poll();
  // Requests the status and the newest windows of a keeper, unless its status is still pending.
  void poll_keeper(const KeeperEntry& keeper);
  void on_status(const KeeperEntry& keeper, const nlohmann::json& status);
  void on_windows(const std::string& keeper, const nlohmann::json& windows);
  // Creates the controller after kDiscoveryTime, when every reachable keeper has answered, since its epoch
  // must exceed all of theirs.
  void start_when_epochs_known();
  void evaluate();
  void carry_out_actions();
  void send_order(const rollout::Action& action, nlohmann::json order);
  // Takes a command that rollout_command() left in the directory.
  void read_command();
  void write_state();
  void append_history(const std::string& line);

  net::Loop& loop_;
  disk::Disk& disk_;
  const Fleet& fleet_;
  const rollout::Plan& plan_;
  std::string folder_;
  net::Descriptor lock_;
  std::vector<rollout::Member> members_;
  rollout::SavedState saved_;
  bool resumed_ = false;  // the directory held the same rollout already
  std::unique_ptr<rollout::Controller> controller_;
  rollout::WindowAggregator aggregator_;
  HttpClient client_;
  std::map<std::string, KeeperProgress> progress_;
  Duration started_at_{};
  std::int64_t baseline_from_ms_ = 0, baseline_until_ms_ = 0, swapping_since_ms_ = 0;
  std::string finding_;
  int pending_orders_ = 0;
  bool state_write_failed_ = false;
  net::Loop::Timer poll_timer_{};
};

// The commands. Each prints its result and returns the exit status of the process. `command` is pause, resume
// or back.
int rollout_plan(const Fleet& fleet, const rollout::Plan& plan);
int rollout_start(const Fleet& fleet, const rollout::Plan& plan, const std::string& folder);
int rollout_status(const std::string& folder, bool as_json);
int rollout_command(const std::string& folder, const std::string& command);
int rollout_history(const std::string& folder);

}  // namespace marbledyke::fleet
