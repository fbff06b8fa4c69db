#include "scenario/xml.h"

#include <cstdio>

#include "xml/document.h"

namespace marbledyke::scenario {
namespace {

using namespace std::chrono_literals;
using xml::Element;
using xml::Reader;

constexpr Duration kLong = 24h;
constexpr const char* kEffects[] = {"retriable", "deduped", "non-retriable"};
constexpr const char* kShapes[] = {"constant", "exponential", "lognormal"};

// The schema allows only these names.
template <std::size_t N>
int place_of(const char* const (&names)[N], const std::string& name) {
  for (std::size_t i = 0; i < N; ++i) {
    if (name == names[i]) return static_cast<int>(i);
  }
  return 0;
}

void fleet(Reader& r, const Element& at, Fleet& into) {
  r.whole(at, "servers", 1, 100'000, into.servers);
  r.whole(at, "cells", 1, 100'000, into.cells);
  r.whole(at, "zones", 1, 64, into.zones);
  r.whole(at, "shards", 1, 100'000, into.shards);
  r.whole(at, "cores", 1, 1024, into.cores);
  r.whole(at, "queue", 1, 1'000'000, into.queue);
  r.span(at, "overhead", 0us, 10s, into.overhead);
  r.span(at, "cold", 1ms, kLong, into.cold);
  r.number(at, "cold-from", 0, 1, into.cold_from);
  r.number(at, "fall-multiple", 0, 1000, into.fall_multiple);
  r.span(at, "overload-for", 1ms, kLong, into.overload_for);
}

void op_type(Reader& r, const Element& at, OpLoad& into) {
  into.name = at.attribute("name").value_or("");
  if (const auto effect = at.attribute("effect"))
    into.effect = static_cast<Effect>(place_of(kEffects, *effect));
  if (const auto shape = at.attribute("shape")) into.shape = static_cast<Shape>(place_of(kShapes, *shape));
  r.number(at, "share", 0, 1e6, into.share);
  r.whole(at, "parts", 1, 1024, into.parts);
  r.span(at, "work", 1us, 1000s, into.work);
  r.number(at, "sigma", 0, 5, into.sigma);
  r.span(at, "budget", 1ms, 1h, into.budget);
  r.span(at, "timeout", 1ms, 1h, into.timeout);
  r.span(at, "dedupe-window", 0us, 1h, into.dedupe_window);
  r.number(at, "importance", 0, 1e6, into.importance);
  r.number(at, "floor", 0, 1, into.floor);
  r.number(at, "need", 0, 1, into.need);
}

void fault(Reader& r, const Element& at, Fault& into) {
  for (int i = 0; i < kFaultKinds; ++i) {
    if (at.attribute("kind") == name_of(static_cast<FaultKind>(i))) into.kind = static_cast<FaultKind>(i);
  }
  if (into.kind == FaultKind::slow) into.strength = 4;
  if (into.kind == FaultKind::stampede) into.strength = 3;
  r.span(at, "from", 0us, kLong, into.from);
  r.span(at, "until", 0us, kLong, into.until);
  r.number(at, "share", 0, 1, into.share);
  r.whole(at, "zone", 0, 63, into.zone);
  r.whole(at, "cell", 0, 100'000, into.cell);
  r.whole(at, "first", 0, 100'000, into.first);
  r.number(at, "strength", 0, 1000, into.strength);
  r.span(at, "step", 0us, kLong, into.step);
}

std::string number(double value) {
  char out[40];
  std::snprintf(out, sizeof out, "%.6f", value);
  std::string text = out;
  while (text.back() == '0') text.pop_back();
  if (text.back() == '.') text.pop_back();
  return text;
}

}  // namespace

Read read_xml(const std::string& text) {
  Read out;
  const auto document = xml::Document::read(text, kSchema, "urn:marbledyke:scenario:1", out.faults);
  if (!document) return out;
  Reader r(out.faults);
  Scenario s;
  const Element root = document->root();
  s.name = root.attribute("name").value_or(s.name);
  r.span(root, "length", 1ms, kLong, s.length);
  r.span(root, "settle", 0us, kLong, s.settle);
  std::optional<double> of_capacity;
  std::vector<Element> ops, faults;
  std::optional<Element> fleet_at, load_at;
  for (const Element& at : root.children()) {
    const std::string name = at.name();
    if (name == "fleet") {
      fleet_at = at;
      fleet(r, at, s.fleet);
    } else if (name == "network") {
      r.span(at, "near", 0us, 10s, s.network.near);
      r.span(at, "far", 0us, 10s, s.network.far);
      r.number(at, "jitter", 0, 1, s.network.jitter);
      r.span(at, "connect", 0us, 10s, s.network.connect);
      r.span(at, "connect-timeout", 1ms, 60s, s.network.connect_timeout);
    } else if (name == "list") {
      r.span(at, "lag", 0us, 60s, s.list.lag);
      r.span(at, "drain-grace", 0us, 60s, s.list.drain_grace);
    } else if (name == "gatherers") {
      r.whole(at, "count", 1, 1024, s.gatherers.count);
      r.whole(at, "room", 1, 1'000'000, s.gatherers.room);
      r.whole(at, "most-sends", 1, 8, s.gatherers.most_sends);
      r.flag(at, "copies", s.gatherers.copies);
      r.flag(at, "kept", s.gatherers.kept);
      r.span(at, "further-window", 1ms, kLong, s.gatherers.further_window);
      r.number(at, "further-share", 0, 10, s.gatherers.further_share);
      r.number(at, "further-floor", 0, 1e6, s.gatherers.further_floor);
    } else if (name == "load") {
      load_at = at;
      r.number(at, "rate", 0, 1e7, s.load.rate);
      double share = 0;
      r.number(at, "of-capacity", 0, 100, share);
      if (at.attribute("of-capacity")) of_capacity = share;
      if (at.attribute("of-capacity") && at.attribute("rate")) r.fault(at, "both rate and of-capacity");
      r.whole(at, "retries", 0, 8, s.load.retries);
      r.span(at, "backoff", 1ms, 60s, s.load.backoff);
      r.number(at, "leaves", 0, 1, s.load.leaves);
    } else if (name == "op-type") {
      if (ops.empty()) s.op_types.clear();
      ops.push_back(at);
      op_type(r, at, s.op_types.emplace_back());
    } else if (name == "fault") {
      faults.push_back(at);
      fault(r, at, s.faults.emplace_back());
    }
  }
  if (of_capacity) s.load.rate = *of_capacity * capacity(s);
  if (out.faults.empty()) {
    for (const Objection& objection : objections(s)) {
      const auto index = static_cast<std::size_t>(std::max(objection.index, 0));
      const Element& at = objection.element == "op-type" && index < ops.size() ? ops[index]
                          : objection.element == "fault"                       ? faults[index]
                          : objection.element == "fleet" && fleet_at           ? *fleet_at
                                                                               : root;
      r.fault(at, objection.reason);
    }
  }
  r.sort();
  if (out.faults.empty()) out.scenario = std::move(s);
  return out;
}

Read read_xml_file(const std::string& path) {
  Read out;
  const auto text = xml::read_file(path, out.faults);
  return text ? read_xml(*text) : out;
}

std::string write_xml(const Scenario& s) {
  std::string out =
      "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<scenario xmlns=\"urn:marbledyke:scenario:1\"";
  const auto put = [&](const char* name, const std::string& value) {
    out += std::string(" ") + name + "=\"" + value + '"';
  };
  const auto span = [&](const char* name, Duration value) { put(name, xml::text_of(value)); };
  const auto count = [&](const char* name, int value) { put(name, std::to_string(value)); };
  const auto real = [&](const char* name, double value) { put(name, number(value)); };
  put("name", s.name);
  span("length", s.length);
  span("settle", s.settle);
  out += ">\n  <fleet";
  count("servers", s.fleet.servers);
  count("cells", s.fleet.cells);
  count("zones", s.fleet.zones);
  count("shards", s.fleet.shards);
  count("cores", s.fleet.cores);
  count("queue", s.fleet.queue);
  span("overhead", s.fleet.overhead);
  span("cold", s.fleet.cold);
  real("cold-from", s.fleet.cold_from);
  real("fall-multiple", s.fleet.fall_multiple);
  span("overload-for", s.fleet.overload_for);
  out += "/>\n  <network";
  span("near", s.network.near);
  span("far", s.network.far);
  real("jitter", s.network.jitter);
  span("connect", s.network.connect);
  span("connect-timeout", s.network.connect_timeout);
  out += "/>\n  <list";
  span("lag", s.list.lag);
  span("drain-grace", s.list.drain_grace);
  out += "/>\n  <gatherers";
  count("count", s.gatherers.count);
  count("room", s.gatherers.room);
  count("most-sends", s.gatherers.most_sends);
  put("copies", s.gatherers.copies ? "true" : "false");
  if (s.gatherers.kept) put("kept", "true");
  span("further-window", s.gatherers.further_window);
  real("further-share", s.gatherers.further_share);
  real("further-floor", s.gatherers.further_floor);
  out += "/>\n  <load";
  real("rate", s.load.rate);
  count("retries", s.load.retries);
  span("backoff", s.load.backoff);
  real("leaves", s.load.leaves);
  out += "/>\n";
  for (const OpLoad& op : s.op_types) {
    out += "  <op-type";
    put("name", op.name);
    put("effect", kEffects[static_cast<std::size_t>(op.effect)]);
    real("share", op.share);
    count("parts", op.parts);
    span("work", op.work);
    put("shape", kShapes[static_cast<std::size_t>(op.shape)]);
    real("sigma", op.sigma);
    span("budget", op.budget);
    span("timeout", op.timeout);
    span("dedupe-window", op.dedupe_window);
    real("importance", op.importance);
    real("floor", op.floor);
    real("need", op.need);
    out += "/>\n";
  }
  for (const Fault& f : s.faults) {
    out += "  <fault";
    put("kind", name_of(f.kind));
    span("from", f.from);
    span("until", f.until);
    real("share", f.share);
    if (f.zone >= 0) count("zone", f.zone);
    if (f.cell >= 0) count("cell", f.cell);
    if (f.first >= 0) count("first", f.first);
    real("strength", f.strength);
    span("step", f.step);
    out += "/>\n";
  }
  return out + "</scenario>\n";
}

}  // namespace marbledyke::scenario
