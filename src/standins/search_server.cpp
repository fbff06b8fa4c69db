#include "standins/search_server.h"

#include <utility>

#include "sru/front.h"
#include "z3950/front.h"

namespace marbledyke::standins {

using namespace std::chrono_literals;

const char* name_of(Manner manner) {
  static constexpr const char* kNames[] = {"answers",      "refuses", "is silent",
                                           "breaks after", "leaves",  "turns away"};
  return kNames[static_cast<std::size_t>(manner)];
}

SearchServer::SearchServer(net::Loop& loop, search::Protocol protocol, const net::Address& address,
                           const Catalogue& catalogue, const std::string& prefix)
    : loop_(loop), protocol_(protocol), address_(address), catalogue_(catalogue) {
  config::OpTypeSettings op;
  op.name = "look";
  settings_.op_types.push_back(op);
  settings_.max_route_timeout = settings_.max_latency_budget = 60s;
  settings_.connect_timeout = 250ms;
  settings_.shards = catalogue.shards();
  terms_.limits.sets = 1000;
  // A page is of the search that was run: with everything fetched at once, what is run is searches only.
  terms_.limits.records = terms_.limits.ahead = 10'000;
  for (int shard = 0; shard < catalogue.shards(); ++shard) {
    search::Database database;
    database.name = prefix + std::to_string(shard);
    database.op_type = "look";
    database.shards = {shard};
    database.deadline = 60s;
    const std::pair<const char*, int> indexes[] = {{"dc.title", 4},       {"dc.creator", 1003},
                                                   {"dc.subject", 21},    {"dc.date", 30},
                                                   {"dc.identifier", 12}, {"order.issue", 8000}};
    for (const auto& [name, use] : indexes) {
      search::Index index;
      index.name = name;
      index.use = use;
      database.indexes.push_back(std::move(index));
    }
    terms_.databases.push_back(std::move(database));
  }
  listen();
}

SearchServer::~SearchServer() = default;

void SearchServer::listen() {
  if (protocol_ == search::Protocol::sru) {
    front_ = std::make_unique<sru::Front>(loop_, memory_, terms_, settings_, address_, 1, 200);
  } else {
    front_ = std::make_unique<z3950::Front>(loop_, memory_, terms_, settings_, address_, 1, 200);
  }
}

void SearchServer::set(Manner manner) {
  if (manner_ == manner) return;
  manner_ = manner;
  if (manner == Manner::refuses) {
    front_.reset();
  } else if (!front_ || manner == Manner::answers) {
    front_.reset();
    listen();
  }
  // As at a planned stop: each connection is told, and those that come later as well.
  if (manner == Manner::leaves) front_->close_after_answers();
}

void SearchServer::turn() {
  if (!front_) return;
  bool breaks = false;
  for (const front::Request& asked : std::exchange(front_->requests, {})) {
    const auto ask = search::read_part_ask(*asked.multiget.text);
    const int shard = asked.multiget.parts.front().shard;
    if (manner_ == Manner::turns_away) {
      front_->refuse(asked.caller, front::Refusal::pushed_back, 100ms);
      continue;
    }
    runs_ += 1;
    if (ran) ran(shard, *ask);
    if (manner_ == Manner::silent) continue;
    if (manner_ == Manner::breaks_after) {
      breaks = true;
      continue;
    }
    const std::string value = search::text_of(catalogue_.answer(*ask, shard));
    front_->answer(asked.caller, true, {{shard, value}});
  }
  front_->departed.clear();
  front_->destroy_closed();
  if (!breaks) return;
  front_.reset();
  listen();
}

}  // namespace marbledyke::standins
