// Which slopes are kept. Their ids are used by the page on capacity: they stay as they are.
#include "lab/scale/report.h"

namespace marbledyke::lab::scale {
namespace {

std::vector<SlopeOf> kept_slopes() {
  const std::string listed = "listed_server", server = "server", receiver = "receiver",
                    at_node = "receiver_at_node";
  return {
      {"gatherer_memory", "gatherer", "MB", listed, "lists", "memory_after"},
      {"gatherer_list_change_cpu", "gatherer", "ms", listed, "lists", "change_cpu"},
      {"gatherer_list_stop", "gatherer", "ms", listed, "lists", "whole_wait"},
      {"gatherer_list_whole_cpu", "gatherer", "ms", listed, "lists", "whole_cpu"},
      {"gatherer_list_whole_bytes", "gatherer", "bytes", listed, "lists", "whole_bytes"},
      {"gatherer_list_change_bytes", "gatherer", "bytes", listed, "lists", "change_bytes"},
      {"gatherer_list_in_force", "gatherer", "ms", listed, "lists", "change_in_force"},
      {"gatherer_part_cpu", "gatherer", "us", server, "load", "part_cpu_at_150"},
      {"gatherer_core", "gatherer", "share", "parts_per_second", "load", "core_at_3900_servers"},
      {"gatherer_connections", "gatherer", "count", server, "load", "descriptors_at_150"},
      {"gatherer_load_memory", "gatherer", "MB", server, "load", "memory_at_150"},
      {"answer_p50", "gatherer", "ms", server, "load", "p50_at_150"},
      {"answer_p99", "gatherer", "ms", server, "load", "p99_at_150"},
      {"change_p50", "fleet", "s", receiver, "settings", "ordinary_p50"},
      {"change_p99", "fleet", "s", receiver, "settings", "ordinary_p99"},
      {"change_last", "fleet", "s", receiver, "settings", "ordinary_last"},
      {"change_last_node_lost", "fleet", "s", receiver, "settings", "node_lost_last"},
      {"return_last", "fleet", "s", receiver, "settings", "region_return_last"},
      {"conductor_change", "conductor", "s", receiver, "settings", "agreement"},
      {"keeper_watch_calls", "receiver", "calls/s", receiver, "settings", "watch_calls"},
      {"keeper_watch_bytes", "receiver", "bytes/s", receiver, "settings", "watch_bytes"},
      {"keeper_change_bytes", "receiver", "bytes", "settings_byte", "settings", "change_bytes_by_document"},
      {"keeper_watch_cpu", "keeper", "share", receiver, "settings", "keeper_core"},
      {"keeper_memory", "keeper", "MB", receiver, "settings", "keeper_memory"},
      {"keeper_gatherer_memory", "keeper", "MB", receiver, "settings", "keeper_and_gatherer_memory"},
      {"control_watch_cpu", "control_node", "share", at_node, "settings", "control_core_by_node"},
      {"control_change_cpu", "control_node", "ms", at_node, "settings", "control_change_cpu_by_node"},
      {"control_memory", "control_node", "MB", at_node, "settings", "control_memory_by_node"},
      {"control_bytes", "control_node", "bytes/s", at_node, "settings", "control_bytes_by_node"},
      {"control_change_bytes", "control_node", "bytes", at_node, "settings", "control_change_bytes_by_node"},
  };
}

}  // namespace

std::vector<Slope> slopes_of(const std::vector<Point>& points) {
  std::vector<Slope> out;
  for (const SlopeOf& of : kept_slopes()) {
    if (const auto slope = slope_of(of, points)) out.push_back(*slope);
  }
  return out;
}

}  // namespace marbledyke::lab::scale
