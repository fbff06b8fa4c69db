// A front for searching beside the platform's own, in a test's scene.
#pragma once

#include <memory>

#include "scene.h"
#include "search/terms.h"

namespace marbledyke::scene {

inline net::Address front_address() { return *net::parse_address(address(3)); }

inline search::Terms search_terms() {
  search::Index index;
  index.name = "dc.title";
  index.use = 4;
  search::Database database;
  database.name = "clauses";
  database.op_type = "issue";
  database.shards = {1};
  database.indexes.push_back(index);
  search::Terms terms;
  terms.databases.push_back(database);
  return terms;
}

// Adds a front to the scene's gatherer and returns it.
template <class Front>
Front& add_front(Scene& scene, std::size_t max_connections = 50) {
  auto front = std::make_unique<Front>(scene.gatherer.loop(), scene.gatherer.client_memory(), search_terms(),
                                       scene.gatherer_config.settings, front_address(), 1, max_connections);
  Front& added = *front;
  scene.gatherer.add(std::move(front));
  return added;
}

}  // namespace marbledyke::scene
