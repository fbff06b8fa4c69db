// A shard server that stands in for one that speaks SRU or Z39.50: it answers from a catalogue, one database
// a shard, counts what it ran, and misbehaves as it is told.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>

#include "config/gatherer_config.h"
#include "net/loop.h"
#include "net/memory_budget.h"
#include "search/desk_front.h"
#include "standins/catalogue.h"

namespace marbledyke::standins {

enum class Manner {
  answers,
  refuses,       // nobody listens
  silent,        // takes searches, runs them, and never says anything
  breaks_after,  // runs a search, then its process dies; it is back at once
  leaves,        // ends every connection in order, as at a planned stop, and listens on
  turns_away     // nothing has run, and it says so
};
const char* name_of(Manner manner);

class SearchServer {
 public:
  // Databases `prefix0`, `prefix1` and so on. Throws std::system_error where the address cannot be had.
  SearchServer(net::Loop& loop, search::Protocol protocol, const net::Address& address,
               const Catalogue& catalogue, const std::string& prefix);
  ~SearchServer();

  void set(Manner manner);
  void turn();  // after every round of the loop

  // Told of each search as it begins to run: its shard and its query.
  std::function<void(int shard, const search::PartAsk& ask)> ran;
  std::uint64_t runs() const { return runs_; }
  std::size_t connections() const { return front_ ? front_->size() : 0; }

 private:
  void listen();

  net::Loop& loop_;
  net::MemoryBudget memory_{std::numeric_limits<std::size_t>::max()};
  search::Protocol protocol_;
  net::Address address_;
  const Catalogue& catalogue_;
  config::ServiceSettings settings_;
  search::Terms terms_;
  std::unique_ptr<search::DeskFront> front_;
  Manner manner_ = Manner::answers;
  std::uint64_t runs_ = 0;
};

}  // namespace marbledyke::standins
