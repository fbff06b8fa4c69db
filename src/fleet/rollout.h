// Carries out a rolling change over a fleet's keepers: asks them, gives their windows to the judge and what
// they say to the conductor, and gives the orders that it decides on. Its state is in a folder; one conductor
// a folder.
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

class Rollout {
 public:
  // Throws config::BadInput where another conductor has the folder, or it holds another rollout that is not
  // over.
  Rollout(net::Loop& loop, disk::Disk& disk, const Fleet& fleet, const rollout::Plan& plan,
          const std::string& folder);
  ~Rollout();
  Rollout(const Rollout&) = delete;
  Rollout& operator=(const Rollout&) = delete;

  bool over() const { return controller_ != nullptr && controller_->is_over() && orders_out_ == 0; }
  const rollout::Controller* controller() const { return controller_.get(); }

 private:
  struct Seen {
    std::int64_t windows_from = 0;
    std::uint64_t epoch = 0;  // of the last order it took
    std::uint64_t ends_at_change = 0;
    std::optional<Duration> windows_heard;  // the last call for them that was answered
    bool asking = false;
  };
  void beat();
  void ask(const KeeperAt& keeper);
  void status_came(const KeeperAt& keeper, const nlohmann::json& status);
  void windows_came(const std::string& keeper, const nlohmann::json& windows);
  void begin_when_known();
  void judge();
  void carry_out();
  void order(const rollout::Action& action, nlohmann::json what);
  void heed();
  void write_state();
  void remember(const std::string& what);

  net::Loop& loop_;
  disk::Disk& disk_;
  const Fleet& fleet_;
  const rollout::Plan& plan_;
  std::string folder_;
  net::Descriptor lock_;
  std::vector<rollout::Member> members_;
  rollout::SavedState saved_;
  bool found_ = false;  // a rollout that a former conductor had under way
  std::unique_ptr<rollout::Controller> controller_;
  rollout::WindowAggregator aggregator_;
  HttpClient client_;
  std::map<std::string, Seen> seen_;
  Duration begun_{};
  std::int64_t watched_from_ = 0, watched_until_ = 0, swapping_since_ = 0;
  std::string finding_;
  int orders_out_ = 0;
  bool state_wrong_ = false;
  net::Loop::Timer beat_{};
};

// The commands: what they print, and their exit status. `word` of tell: pause, resume or back.
int rollout_plan(const Fleet& fleet, const rollout::Plan& plan);
int rollout_start(const Fleet& fleet, const rollout::Plan& plan, const std::string& folder);
int rollout_status(const std::string& folder, bool as_json);
int rollout_tell(const std::string& folder, const std::string& word);
int rollout_history(const std::string& folder);

}  // namespace marbledyke::fleet
