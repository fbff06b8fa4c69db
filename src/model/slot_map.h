// Places for things in hand, found by id and reused. Allocates only while it grows past its largest size so
// far.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "model/types.h"

namespace marbledyke {

template <class T>
class SlotMap {
 public:
  explicit SlotMap(std::size_t room) {
    places_.reserve(room);
    free_.reserve(room);
    rebuild(room);
  }

  int insert(const RequestId& id) {
    if ((places_.size() - free_.size() + 1) * 2 > index_.size()) rebuild(places_.size() * 2);
    int place = static_cast<int>(places_.size());
    if (free_.empty()) {
      places_.emplace_back();
    } else {
      place = free_.back();
      free_.pop_back();
      places_[static_cast<std::size_t>(place)] = T{};
    }
    at(place).id = id;
    enter(place);
    return place;
  }

  int find(const RequestId& id) const {
    for (std::size_t i = home(id); index_[i] >= 0; i = (i + 1) & (index_.size() - 1)) {
      if (places_[static_cast<std::size_t>(index_[i])].id == id) return index_[i];
    }
    return -1;
  }

  // Closes the gap in the index, so that later finds still walk an unbroken run.
  void erase(int place) {
    const std::size_t mask = index_.size() - 1;
    std::size_t hole = home(at(place).id);
    while (index_[hole] != place) hole = (hole + 1) & mask;
    for (std::size_t i = (hole + 1) & mask; index_[i] >= 0; i = (i + 1) & mask) {
      const std::size_t want = home(at(index_[i]).id);
      if (((i - want) & mask) >= ((i - hole) & mask)) {
        index_[hole] = index_[i];
        hole = i;
      }
    }
    index_[hole] = -1;
    free_.push_back(place);
  }

  T& at(int place) { return places_[static_cast<std::size_t>(place)]; }
  const T& at(int place) const { return places_[static_cast<std::size_t>(place)]; }

 private:
  std::size_t home(const RequestId& id) const {
    std::uint64_t h = 1469598103934665603ULL;
    for (char c : id.text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return (h ^ (h >> 29)) & (index_.size() - 1);
  }

  void enter(int place) {
    std::size_t i = home(at(place).id);
    while (index_[i] >= 0) i = (i + 1) & (index_.size() - 1);
    index_[i] = place;
  }

  void rebuild(std::size_t room) {
    std::vector<int> held;
    for (int place : index_) {
      if (place >= 0) held.push_back(place);
    }
    std::size_t size = 64;
    while (size < room * 4) size *= 2;
    index_.assign(size, -1);
    for (int place : held) enter(place);
  }

  std::vector<T> places_;
  std::vector<int> free_;
  std::vector<int> index_;  // open addressing; used for finding only, never for order
};

}  // namespace marbledyke
