// A container of objects that are found by request id and whose slots are reused. It allocates only when it
// grows beyond its largest size so far.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "model/types.h"

namespace marbledyke {

// T has a member `id` of type RequestId. Slot numbers stay valid until erase(); references do not survive
// insert(). Ids have to be distinct.
template <class T>
class SlotMap {
 public:
  explicit SlotMap(std::size_t room) {
    slots_.reserve(room);
    free_slots_.reserve(room);
    rebuild(room);
  }

  // Returns the slot of a new, default-constructed object with the given id.
  int insert(const RequestId& id) {
    if ((slots_.size() - free_slots_.size() + 1) * 2 > index_.size()) rebuild(slots_.size() * 2);
    int place = static_cast<int>(slots_.size());
    if (free_slots_.empty()) {
      slots_.emplace_back();
    } else {
      place = free_slots_.back();
      free_slots_.pop_back();
      slots_[static_cast<std::size_t>(place)] = T{};
    }
    at(place).id = id;
    index_slot(place);
    return place;
  }

  // Returns the slot of the object with this id, or -1.
  int find(const RequestId& id) const {
    for (std::size_t i = preferred_index(id); index_[i] >= 0; i = (i + 1) & (index_.size() - 1)) {
      if (slots_[static_cast<std::size_t>(index_[i])].id == id) return index_[i];
    }
    return -1;
  }

  // Frees a slot. Later entries of the probe sequence move into the gap of the index, since a search stops at
  // the first empty index place.
  void erase(int place) {
    const std::size_t mask = index_.size() - 1;
    std::size_t hole = preferred_index(at(place).id);
    while (index_[hole] != place) hole = (hole + 1) & mask;
    for (std::size_t i = (hole + 1) & mask; index_[i] >= 0; i = (i + 1) & mask) {
      const std::size_t want = preferred_index(at(index_[i]).id);
      if (((i - want) & mask) >= ((i - hole) & mask)) {
        index_[hole] = index_[i];
        hole = i;
      }
    }
    index_[hole] = -1;
    free_slots_.push_back(place);
  }

  T& at(int place) { return slots_[static_cast<std::size_t>(place)]; }
  const T& at(int place) const { return slots_[static_cast<std::size_t>(place)]; }

 private:
  std::size_t preferred_index(const RequestId& id) const {
    std::uint64_t h = 1469598103934665603ULL;
    for (char c : id.text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return (h ^ (h >> 29)) & (index_.size() - 1);
  }

  void index_slot(int place) {
    std::size_t i = preferred_index(at(place).id);
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
    for (int place : held) index_slot(place);
  }

  std::vector<T> slots_;
  std::vector<int> free_slots_;
  std::vector<int> index_;  // open addressing with linear probing; never used for an order
};

}  // namespace marbledyke
