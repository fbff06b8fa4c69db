// What an operator's file says of searching: databases with their indexes, and where each leads; listeners;
// bounds. Plain values.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "model/types.h"
#include "net/address.h"
#include "search/query.h"

namespace marbledyke::search {

using namespace std::chrono_literals;

struct Index {
  std::string name;         // as CQL has it: dc.title
  std::string title;        // for people
  int use = 0;              // Bib-1 use attribute; 0: not to be had over Z39.50
  std::string op_type;      // empty: the database's
  std::vector<int> shards;  // empty: the database's
  bool scan = true, sort = true;
};

struct Schema {
  std::string name;        // dc
  std::string identifier;  // info:srw/schema/1/dc-v1.1
};

struct Database {
  std::string name, title, description;
  std::string op_type;
  std::vector<int> shards;       // empty: all
  Duration deadline{2'000'000};  // of a client that names none
  std::vector<Schema> schemas{{"dc", "info:srw/schema/1/dc-v1.1"}};
  std::vector<Index> indexes;
};

struct Limits {
  std::size_t sessions = 1000;
  std::size_t sets = 20;  // of one session
  std::size_t all_sets = 5000;
  std::size_t kept = 16 * 1024 * 1024;  // bytes of all sets, with the records of those that may not run again
  Duration set_life{600'000'000};       // a set that nobody uses for so long is forgotten
  Duration idle{300'000'000};           // and a session that says nothing
  std::size_t operations = 4;           // of one session under way
  int records = 50;                     // of one answer
  int deepest = 1000;                   // first records of a sorted set that can be reached
  int ahead = 20;                       // fetched along with the counts, so that a first page takes one step
  std::size_t message = 64 * 1024;      // of what a client sends
  std::size_t answer = 1024 * 1024;     // of what it is sent, where it names no less
};

enum class Protocol { sru, z3950 };
std::string_view name_of(Protocol protocol);

struct Listener {
  Protocol protocol = Protocol::sru;
  net::Address address;
};

// A server that speaks one of the library protocols rather than frames.
struct Speaker {
  Protocol protocol = Protocol::sru;
  std::string database;  // its name there
};

struct Terms {
  std::vector<Listener> listeners;
  Limits limits;
  std::vector<Database> databases;
  std::map<std::string, Speaker, std::less<>> speakers;  // by server

  bool any() const { return !databases.empty(); }
};

const Database* find(const Terms& terms, std::string_view database);  // names differ by more than case
const Index* find(const Database& database, std::string_view index);

}  // namespace marbledyke::search
