// What the system meets at the target: an ordinary day, the loss of a rack, a zone or a region, their return,
// and all restarted; each with a change of configuration in the middle or without. Worked out from sizes;
// without I/O.
#pragma once

#include <string>
#include <vector>

namespace marbledyke::capacity {

struct Event {
  const char* name;
  const char* how_often;
  double entries;      // of the list, told at once to those that go on
  double whole_lists;  // gatherers that come up or come back, and are given the whole list if discovery keeps
                       // no changes
  double receivers_coming;  // that call a control node anew at once
  double receivers_left;    // that can be reached while it lasts
  double region_receivers;  // of these, in the region with the most of them for a node
  double region_nodes;      // control nodes that serve that region
};
const std::vector<Event>& events();

// What one event asks for. Bytes are of bodies, headers left out.
struct Load {
  double change_body;        // bytes: the changed entries, to one gatherer
  double gatherer_minute;    // bytes in its minute: the changed entries, or the whole list where it is drawn
  double gatherer_changed;   // the same with the largest document of settings in the middle
  double discovery_bytes;    // at once, to all gatherers
  double node_receivers;     // at the busiest control node
  double node_change_bytes;  // that a node sends for one change of the largest document
};
Load load_of(const Event& event);

}  // namespace marbledyke::capacity
