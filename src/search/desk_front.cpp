#include "search/desk_front.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace marbledyke::search {

DeskFront::DeskFront(net::Loop& loop, net::MemoryBudget& memory, const Terms& terms,
                     const config::ServiceSettings& settings, std::uint32_t seed)
    : loop_(loop), memory_(memory), settings_(settings), desk_(terms, settings, seed) {
  desk_.clock(loop_.now());
}

DeskFront::~DeskFront() {
  if (wake_) loop_.cancel(*wake_);
}

void DeskFront::answer(std::uint64_t caller, bool whole, const std::vector<front::Value>& values) {
  desk_.clock(loop_.now());
  desk_.answered(caller, whole, values);
  pump();
}

void DeskFront::refuse(std::uint64_t caller, front::Refusal why, Duration come_back) {
  desk_.clock(loop_.now());
  desk_.refused(caller, why, come_back);
  pump();
}

void DeskFront::report_desk(std::string_view front) const {
  const DeskTally& d = desk_.tally();
  log::event(log::Level::info, "search.totals",
             {{"front", front},
              {"searches", d.searches},
              {"presents", d.presents},
              {"scans", d.scans},
              {"sorts", d.sorts},
              {"steps", d.steps},
              {"diagnostics", d.diagnostics},
              {"partial", d.partial},
              {"abandoned", d.abandoned},
              {"unreadable_values", d.unreadable},
              {"sessions", desk_.sessions()},
              {"sessions_refused", d.sessions_refused},
              {"sets", desk_.sets()},
              {"sets_expired", d.sets_expired},
              {"sets_evicted", d.sets_evicted}});
}

// Until it has been written to a shard server, each part holds a copy of the text.
void DeskFront::submit(front::Request&& request) {
  front::Multiget& multiget = request.multiget;
  const std::size_t bytes =
      multiget.text->size() * (1 + multiget.parts.size()) + multiget.parts.size() * sizeof(front::Part);
  if (!memory_.make_room(bytes)) return desk_.refused(request.caller, front::Refusal::at_capacity, {});
  multiget.text = net::held_text(memory_, std::move(multiget.text), bytes);
  requests.push_back(std::move(request));
}

// What a reply brings about at the desk is pulled by the same round.
void DeskFront::pump() {
  if (std::exchange(pumping_, true)) return;
  desk_.clock(loop_.now());
  for (bool any = true; any;) {
    any = false;
    while (auto ask = desk_.next_ask()) submit(std::move(*ask));
    while (const auto gone = desk_.next_left()) departed.push_back(*gone);
    while (auto reply = desk_.next_reply()) {
      any = true;
      replied(std::move(*reply));
    }
    while (const auto session = desk_.next_close()) {
      any = true;
      session_over(*session);
    }
  }
  pumping_ = false;
  if (wake_) loop_.cancel(*wake_);
  wake_.reset();
  if (const auto at = desk_.next_wake())
    wake_ = loop_.call_at(std::max(*at, loop_.now() + Duration(1'000)), [this] {
      wake_.reset();
      pump();
    });
}

}  // namespace marbledyke::search
