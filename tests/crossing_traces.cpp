// Traces of what crosses: a request, an answer, a reset or a signal that comes between two lines of the gatherer. The
// order is forced: a step is taken between two turns, or by a timer within one, before the gatherer's own.
#include <cstring>
#include <string>

#include "scene.h"

using namespace marbledyke;
using namespace marbledyke::scene;

namespace {

// In this turn, after what has come in was read and before any of the gatherer's own timers.
void before_timers(Scene& scene, const std::function<void()>& what) {
  scene.gatherer.loop().at(Span::min() / 2, what);
}

// A client sends much at once and goes, by a reset that comes after the first answer was written and before the second is:
// the write that meets it ends the connection in the middle of its own turn.
void flood_gone() {
  Scene scene(entry("A", 11));
  Client flood, other;
  std::string many;
  for (int i = 0; i < 50; ++i) many += "GET /other HTTP/1.1\r\n\r\n";
  flood.wire.put(many);
  before_timers(scene, [&] { flood.wire.reset(); });
  for (int i = 0; i < 5; ++i) scene.gatherer.turn();
  other.wire.put("GET /healthz HTTP/1.1\r\n\r\n");
  scene.answered(other, "another client");
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  log::open(log::Level::error, log::Form::plain, "test");
  const std::pair<const char*, void (*)()> cases[] = {{"flood_gone", flood_gone}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
