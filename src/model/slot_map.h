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
  explicit SlotMap(std::size_t capacity) {
    slots_.reserve(capacity);
    free_slots_.reserve(capacity);
    rebuild(capacity);
  }

  // Returns the slot of a new, default-constructed object with the given id.
  int insert(const RequestId& id) {
    if ((slots_.size() - free_slots_.size() + 1) * 2 > index_.size()) rebuild(slots_.size() * 2);
    int slot = static_cast<int>(slots_.size());
    if (free_slots_.empty()) {
      slots_.emplace_back();
    } else {
      slot = free_slots_.back();
      free_slots_.pop_back();
      slots_[static_cast<std::size_t>(slot)] = T{};
    }
    at(slot).id = id;
    index_slot(slot);
    return slot;
  }

  // Returns the slot of the object with this id, or -1.
  int find(const RequestId& id) const {
    for (std::size_t i = preferred_index(id); index_[i] >= 0; i = (i + 1) & (index_.size() - 1)) {
      if (slots_[static_cast<std::size_t>(index_[i])].id == id) return index_[i];
    }
    return -1;
  }

  // Frees a slot. Later entries of the probe sequence move into the gap of the index, since a search stops at
  // the first empty index entry.
  void erase(int slot) {
    const std::size_t mask = index_.size() - 1;
    std::size_t gap = preferred_index(at(slot).id);
    while (index_[gap] != slot) gap = (gap + 1) & mask;
    for (std::size_t i = (gap + 1) & mask; index_[i] >= 0; i = (i + 1) & mask) {
      const std::size_t preferred = preferred_index(at(index_[i]).id);
      if (((i - preferred) & mask) >= ((i - gap) & mask)) {
        index_[gap] = index_[i];
        gap = i;
      }
    }
    index_[gap] = -1;
    free_slots_.push_back(slot);
  }

  T& at(int slot) { return slots_[static_cast<std::size_t>(slot)]; }
  const T& at(int slot) const { return slots_[static_cast<std::size_t>(slot)]; }

 private:
  std::size_t preferred_index(const RequestId& id) const {
    std::uint64_t h = 1469598103934665603ULL;
    for (char c : id.text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return (h ^ (h >> 29)) & (index_.size() - 1);
  }

  void index_slot(int slot) {
    std::size_t i = preferred_index(at(slot).id);
    while (index_[i] >= 0) i = (i + 1) & (index_.size() - 1);
    index_[i] = slot;
  }

  void rebuild(std::size_t capacity) {
    std::vector<int> used_slots;
    for (int slot : index_) {
      if (slot >= 0) used_slots.push_back(slot);
    }
    std::size_t size = 64;
    while (size < capacity * 4) size *= 2;
    index_.assign(size, -1);
    for (int slot : used_slots) index_slot(slot);
  }

  std::vector<T> slots_;
  std::vector<int> free_slots_;
  std::vector<int> index_;  // open addressing with linear probing; never used for an order
};

}  // namespace marbledyke
