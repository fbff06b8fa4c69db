// The arithmetic of docs/CAPACITY.md: slopes as they are read and refused, estimates and their bounds, rows
// over their limits, and tables within a page.
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

#include "capacity/events.h"
#include "capacity/page.h"
#include "capacity/quantile.h"
#include "capacity/roles.h"
#include "config/fields.h"

namespace {

using namespace marbledyke;
using namespace marbledyke::capacity;

// What a reader says of a text, or that it takes it.
void refusal(const char* of, const std::function<void()>& read) {
  try {
    read();
    std::printf("%s: taken\n", of);
  } catch (const config::BadInput& why) {
    std::printf("%s: %s\n", of, why.what());
  }
}

void slopes() {
  const std::string head = std::string(kSlopesHeader) + "\n";
  const std::string good = "one,gatherer,MB,listed_server,5,0.5,0.4,0.6,100 400 1300,3\n";
  const std::pair<const char*, std::string> texts[] = {
      {"good", head + "# a note\n" + good},
      {"empty", ""},
      {"torn", head + good.substr(0, 20)},
      {"no header", good},
      {"another header", "id,role\n" + good},
      {"a column less", head + "one,gatherer,MB,listed_server,5,0.5,0.4,0.6,100 400 1300\n"},
      {"twice", head + good + good},
      {"role", head + "one,waiter,MB,listed_server,5,0.5,0.4,0.6,100 400,3\n"},
      {"id", head + "o ne,gatherer,MB,listed_server,5,0.5,0.4,0.6,100 400,3\n"},
      {"number", head + good + "two,gatherer,MB,listed_server,5,half,0.4,0.6,100 400,3\n"},
      {"not finite", head + "one,gatherer,MB,listed_server,nan,0.5,0.4,0.6,100 400,3\n"},
      {"trailing", head + "one,gatherer,MB,listed_server,5x,0.5,0.4,0.6,100 400,3\n"},
      {"bounds", head + "one,gatherer,MB,listed_server,5,0.5,0.51,0.6,100 400,3\n"},
      {"one size", head + "one,gatherer,MB,listed_server,5,0.5,0.4,0.6,100,3\n"},
      {"order of sizes", head + "one,gatherer,MB,listed_server,5,0.5,0.4,0.6,400 100,3\n"},
      {"same size", head + "one,gatherer,MB,listed_server,5,0.5,0.4,0.6,400 400,3\n"},
      {"runs", head + "one,gatherer,MB,listed_server,5,0.5,0.4,0.6,100 400,0\n"},
      {"blank line", head + "\n"},
  };
  for (const auto& [name, text] : texts) {
    refusal(name, [&, what = text] { std::printf("%zu slopes, ", read_slopes(what).all().size()); });
  }
  std::string many = head;
  for (std::size_t i = 0; i <= kMostSlopes; ++i) many += "s" + std::to_string(i) + good.substr(3);
  refusal("too many", [&] { read_slopes(many); });
}

void say(const char* what, const Estimate& estimate) {
  std::printf("%s: %s (%s to %s), %s\n", what, text_of(estimate.value()).c_str(),
              text_of(estimate.low()).c_str(), text_of(estimate.high()).c_str(), estimate.basis().c_str());
}

void estimates() {
  const Slopes read = read_slopes(std::string(kSlopesHeader) +
                                  "\nlist,gatherer,MB,listed_server,5,0.5,0.4,0.6,100 200 300,3\n");
  const auto at = [&](double size) { return Estimate::measured(read, "list", "MB", "listed_server", size); };
  say("beyond what was measured", at(1000));
  say("in the middle", at(200));
  say("below", at(0));
  say("twice", at(1000) * 2);
  const Slopes falls =
      read_slopes(std::string(kSlopesHeader) + "\nfall,gatherer,MB,listed_server,5,-0.1,-0.1,-0.1,10 20,3\n");
  const Estimate under = Estimate::measured(falls, "fall", "MB", "listed_server", 100);
  std::printf("below 0: %d, with another one: %d, itself higher up: %d\n", under.below(),
              (at(1) + under).below(), Estimate::measured(falls, "fall", "MB", "listed_server", 10).below());
  say("with arithmetic", at(200) + Estimate::worked_out(1));
  say("arithmetic", Estimate::worked_out(2.5) + Estimate::worked_out(1));
  const Estimate missing = Estimate::measured(read, "other", "MB", "listed_server", 1);
  std::printf("missing: %s, known %d; with a known one: %s, known %d\n", missing.basis().c_str(),
              missing.known(), (at(1) + missing).basis().c_str(), (at(1) + missing).known());
  refusal("another unit", [&] { Estimate::measured(read, "list", "KB", "listed_server", 1); });
  refusal("per another thing", [&] { Estimate::measured(read, "list", "MB", "server", 1); });
  for (const double value :
       {0.0, 0.000123456, 0.5, 12.345, 99.96, 123.4, 1234.5, 9076.92, 65536.0, 3549000.0, -1234.5})
    std::printf("%s ", text_of(value).c_str());
  std::printf("\n%.6f %.6f %.6f\n", parts_in_time(1, 1, 0.99), parts_in_time(59, 59, 0.99),
              parts_in_time(59, 57, 0.99));
}

// Rows and events with a made-up file of slopes: which are over their limit, and which not measured.
void rows(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  for (const Row& row : roles(read_slopes(text.str()))) {
    const auto over = ratio(row);
    if (over)
      std::printf("%s, %s: %s%s\n", row.role, row.quantity, text_of(*over).c_str(), *over > 1 ? " OVER" : "");
    if (over && *over > 1 && *row.to_build == '\0') std::printf("  NOTHING TO BUILD IS NAMED\n");
  }
  int unknown = 0;
  for (const Row& row : roles({})) unknown += row.target.known() ? 0 : 1;
  std::printf("without slopes %d rows are not measured\n", unknown);
  for (const Event& event : events()) {
    const Load load = load_of(event);
    std::printf("%s: %s, %s, %s; %s, %s\n", event.name, text_of(load.change_body).c_str(),
                text_of(load.gatherer_minute).c_str(), text_of(load.discovery_bytes).c_str(),
                text_of(load.node_receivers).c_str(), text_of(load.node_change_bytes).c_str());
  }
}

void markers() {
  const std::vector<Table> two{{"a", "| 1 |\n"}, {"b", "| 2 |\n| 3 |\n"}};
  const std::string good =
      "# T\n<!-- table a -->\nold\nolder\n<!-- end -->\ntext\n<!-- table b -->\n<!-- end -->\n";
  const std::string written = with_tables(good, two);
  std::printf("%s", written.c_str());
  std::printf("again the same: %d\n", with_tables(written, two) == written);
  const auto difference = first_difference(good, written);
  std::printf("line %d: '%s', not '%s'; itself: %d\n", difference->line, difference->is.c_str(),
              difference->should_be.c_str(), first_difference(written, written).has_value());
  const auto longer = first_difference(written + "more\n", written);
  std::printf("line %d: '%s', not '%s'\n", longer->line, longer->is.c_str(), longer->should_be.c_str());
  const std::pair<const char*, std::string> pages[] = {
      {"no end", "<!-- table a -->\n"},
      {"within", "<!-- table a -->\n<!-- table b -->\n<!-- end -->\n"},
      {"unknown", "<!-- table c -->\n<!-- end -->\n"},
      {"twice", "<!-- table a -->\n<!-- end -->\n<!-- table a -->\n<!-- end -->\n"},
      {"no place", "<!-- table a -->\n<!-- end -->\n"}};
  for (const auto& [name, text] : pages) {
    refusal(name, [&, what = text] { with_tables(what, two); });
  }
}

}  // namespace

int main(int count, char** words) {
  const std::string wanted = count > 1 ? words[1] : "";
  if (wanted == "slopes")
    slopes();
  else if (wanted == "estimates")
    estimates();
  else if (wanted == "rows" && count > 2)
    rows(words[2]);
  else if (wanted == "markers")
    markers();
  else
    return 2;
  return 0;
}
