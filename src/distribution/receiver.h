// What a receiver of settings decides, without I/O: which control node it watches, when it turns to another
// one, and which revision is applied. It never goes back to an older revision, and keeps what it has while no
// node can be reached.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "distribution/publisher.h"
#include "distribution/revision.h"
#include "model/plain.h"

namespace marbledyke::distribution {

inline constexpr Span kCallWait{3'000'000};      // a call that nothing new ends is answered after this
inline constexpr Span kCallPatience{1'000'000};  // beyond its wait; then the node counts as silent
inline constexpr Span kFirstRetry{100'000};      // doubled with each failure in a row, jittered
inline constexpr Span kLongestRetry{2'000'000};

enum class ReceiverPhase { resting, calling, applying };
enum class ReceiverEvent { rested, answered, failed, silent, applied, refused };

struct ReceiverAct {
  struct Call {
    std::size_t node;
    WatchCall call;
    Span patience;  // from now on; then the host tells silent()
  };
  struct Apply {
    Revision revision;
  };
  struct Rest {
    Span wait;  // then the host tells rested()
  };
  std::variant<Call, Apply, Rest> what;
};

class Receiver {
 public:
  struct Identity {
    std::string name, zone, fleet;
  };
  struct Tally {
    std::uint64_t calls = 0, failures = 0, node_changes = 0, applied = 0, refused = 0, wrong_digest = 0,
                  older = 0;
  };
  // `nodes`: how many control nodes there are, in the order of preference (those of the own region first);
  // `held`: the last good revision; `seed` for spreading over nodes and waits.
  Receiver(Identity identity, std::size_t nodes, std::size_t preferred, std::optional<Revision> held,
           std::uint32_t seed);

  void start();
  std::optional<ReceiverAct> next();
  void rested();
  void answered(const WatchAnswer& answer);
  void failed(const std::string& why);  // refused, reset, an answer that cannot be read, a wrong digest
  void silent();                        // no answer within the call's patience
  void applied();
  void refused(const std::string& why);  // by the gatherer's own rules; what is held stays in force

  const std::optional<Revision>& held() const;
  std::size_t node() const;  // that it watches or will watch next
  const Tally& tally() const;
  std::uint64_t impossible() const;  // an event came that cannot come in that phase

 private:
  // Chosen by the implementer; the phases are a table of phase and event.
};

}  // namespace marbledyke::distribution
