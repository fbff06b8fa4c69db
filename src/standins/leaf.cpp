#include "standins/leaf.h"

#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace marbledyke::standins {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMostIn = 256 * 1024;
constexpr std::size_t kMostOut = 8 * 1024 * 1024;
constexpr std::size_t kBytesBeforeReset = 24;  // less than any call has

std::string_view field(std::string_view& text, char at) {
  const std::size_t end = text.find(at);
  const std::string_view out = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return out;
}

// A seeded draw that does not depend on the order of other draws.
double draw(std::uint32_t seed, std::uint64_t number) {
  std::uint64_t x = (std::uint64_t{seed} << 32) + number * 0x9e3779b97f4a7c15ULL;
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  x ^= x >> 31;
  return (static_cast<double>(x >> 11) + 0.5) / 9007199254740992.0;
}

}  // namespace

const char* name_of(Door door) {
  static constexpr const char* kNames[] = {
      "open",  "refuses", "hangs", "resets on accept", "silent", "resets in a frame", "resets after a call",
      "stalls"};
  return kNames[static_cast<std::size_t>(door)];
}

struct Leaf::Listener final : net::EventHandler {
  Listener(net::Loop& its_loop, net::Descriptor its_fd, std::function<void()> its_told)
      : loop(its_loop),
        fd(std::move(its_fd)),
        told(std::move(its_told)),
        place(loop.watch(fd.get(), *this)) {}
  ~Listener() override { stop(); }
  void stop() {
    if (!fd) return;
    loop.unwatch(fd.get(), place);
    fd.close();
  }
  void on_ready(bool, bool) override { told(); }

  net::Loop& loop;
  net::Descriptor fd;
  std::function<void()> told;
  std::uint32_t place;
};

struct Leaf::Wire {
  std::uint64_t number = 0;
  std::size_t door = 0;
  std::unique_ptr<net::Stream> stream;
  int fd = -1;
  servers::FrameParser reader;
  bool given = false;  // a part came in here
  bool stalled = false;
  std::size_t taken = 0;  // bytes of a call that is not whole
  std::map<std::string, bool> given_up;
};

Leaf::Leaf(net::Loop& loop, const LeafOptions& options, std::uint32_t seed)
    : loop_(loop), options_(options), seed_(seed) {}
Leaf::~Leaf() = default;

int Leaf::listen(const net::Address& address) {
  DoorAt door;
  door.address = address;
  doors_.push_back(std::move(door));
  const int number = static_cast<int>(doors_.size()) - 1;
  if (reopen(doors_.back())) return number;
  doors_.pop_back();
  return -1;
}

bool Leaf::reopen(DoorAt& door) {
  net::Descriptor fd = net::listen_on(door.address);
  if (!fd) return false;
  const auto number = static_cast<std::size_t>(&door - doors_.data());
  door.listener = std::make_unique<Listener>(loop_, std::move(fd), [this, number] { accept(number); });
  return true;
}

void Leaf::set(int number, Door how) {
  bury();
  DoorAt& door = doors_[static_cast<std::size_t>(number)];
  const auto listens = [](Door one) { return one != Door::refuses && one != Door::hangs; };
  const Door was = std::exchange(door.how, how);
  if (was == how) return;
  if (listens(was) && !listens(how)) {
    door.listener->stop();
    old_listeners_.push_back(std::move(door.listener));
  }
  if (was == Door::hangs) {
    door.fillers.clear();
  }
  if (how == Door::hangs) {
    sockaddr_storage own;
    const socklen_t size = door.address.to_sockaddr(own);
    net::Descriptor fd(socket(own.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd.get(), reinterpret_cast<sockaddr*>(&own), size) == 0 && ::listen(fd.get(), 0) == 0) {
      door.fillers.push_back(std::move(fd));
      for (int i = 0; i < 3; ++i) {
        net::Descriptor filler = net::start_connect(door.address);
        if (filler) door.fillers.push_back(std::move(filler));
      }
    }
  }
  if (!listens(was) && listens(how)) reopen(door);
  // What is open there shares its door's fate from now on.
  std::vector<Wire*> here;
  for (const auto& [each, wire] : wires_) {
    if (wire->door == static_cast<std::size_t>(number)) here.push_back(wire.get());
  }
  for (Wire* wire : here) {
    if (how == Door::resets_on_accept || how == Door::refuses) reset(*wire);
    if (how == Door::silent || how == Door::hangs) wire->stalled = true;
  }
}

void Leaf::accept(std::size_t number) {
  for (;;) {
    DoorAt& door = doors_[number];
    if (!door.listener || !door.listener->fd) return;
    net::Descriptor fd = net::accept_connection(door.listener->fd.get());
    if (!fd) return;
    tally_.accepted += 1;
    auto made = std::make_unique<Wire>();
    Wire* const wire = made.get();
    wire->number = next_wire_++;
    wire->door = number;
    wire->fd = fd.get();
    wire->stalled = door.how == Door::silent;
    wires_.emplace(wire->number, std::move(made));
    wire->stream =
        std::make_unique<net::Stream>(loop_, std::move(fd), true, kMostIn, kMostOut,
                                      net::Stream::Callbacks{nullptr, [this, wire] { arrived(*wire); },
                                                             nullptr, [this, wire](bool) { gone(*wire); }});
    if (door.how == Door::resets_on_accept) reset(*wire);
  }
}

void Leaf::arrived(Wire& wire) {
  net::RingBuffer& in = wire.stream->in();
  while (!wire.stream->is_closed() && !wire.stalled && !in.empty()) {
    const Door how = doors_[wire.door].how;
    if (how == Door::resets_in_frame && in.front().size() >= 5 && !wire.reader.has_started() &&
        in.front()[4] == '1') {
      // Some bytes are taken, the rest of the call never is.
      wire.taken = std::min(in.size(), kBytesBeforeReset);
      return reset(wire);
    }
    if (how == Door::stalls && in.front().size() >= 5 && !wire.reader.has_started() && in.front()[4] == '1') {
      wire.stalled = true;
      return;
    }
    in.consume(wire.reader.feed(in.front()));
    if (wire.reader.state() == servers::FrameParser::State::malformed) {
      tally_.bad += 1;
      return reset(wire);
    }
    if (wire.reader.state() != servers::FrameParser::State::complete) continue;
    const servers::Frame frame = std::move(wire.reader.frame());
    wire.reader.reset();
    std::string out;
    if (hears && !hears(static_cast<int>(wire.door))) continue;
    if (frame.type == '1') {
      call(wire, frame.payload);
      if (!wire.stream->is_closed() && how == Door::resets_after_call) return reset(wire);
    } else if (frame.type == '2') {
      tally_.given_up += 1;
      if (take) {
        if (gave_up) gave_up(wire.number, frame.payload);
      } else {
        wire.given_up[frame.payload] = true;
      }
    } else if (frame.type == '3' || frame.type == '4') {
      tally_.probes += 1;
      const std::size_t place = servers::begin_frame(out, frame.type);
      out += frame.type == '3' ? "S" : reports ? reports() : "-";
      servers::end_frame(out, place);
      wire.stream->out().append(out);
      wire.stream->flush();
    }
  }
}

// For each part a line `ID SHARD LIST LENGTH` and so many bytes.
void Leaf::call(Wire& wire, std::string_view rest) {
  tally_.calls += 1;
  bool first = true;
  while (!rest.empty()) {
    std::string_view line = field(rest, '\n');
    const std::string id(field(line, ' '));
    const std::string_view shard = field(line, ' ');
    field(line, ' ');
    std::size_t length = 0;
    int number = 0;
    std::from_chars(line.data(), line.data() + line.size(), length);
    std::from_chars(shard.data(), shard.data() + shard.size(), number);
    if (id.empty() || length > rest.size()) {
      tally_.bad += 1;
      return reset(wire);
    }
    const std::string text(rest.substr(0, length));
    rest.remove_prefix(length);
    tally_.parts += 1;
    if (runs_.size() < options_.most_run) runs_[id] += 1;
    if (ran) ran(id, number, static_cast<int>(wire.door));
    if (take) {
      take({wire.number, id, number, static_cast<int>(wire.door), std::exchange(first, false)});
      if (wire.stream->is_closed()) return;
      continue;
    }
    std::optional<std::string> its;
    if (value) its = value(text, number);
    Duration service = options_.service;
    if (options_.spread)
      service = Duration(static_cast<std::int64_t>(-std::log(draw(seed_, ++drawn_)) *
                                                   static_cast<double>(options_.service.count())));
    if (service <= 0us) {
      answer(wire.number, id, its);
    } else {
      loop_.call_at(loop_.now() + service,
                    [this, to = wire.number, id, its = std::move(its)] { answer(to, id, its); });
    }
    if (wire.stream->is_closed()) return;
  }
}

void Leaf::answer(std::uint64_t number, const std::string& id, const std::optional<std::string>& its) {
  const auto at = wires_.find(number);
  if (at == wires_.end() || at->second->given_up.erase(id) > 0) return;
  reply(number, id, 'S', "-", its ? &*its : nullptr);
}

bool Leaf::reply(std::uint64_t number, const std::string& id, char end, const std::string& report,
                 const std::string* its) {
  const auto at = wires_.find(number);
  if (at == wires_.end() || at->second->stalled) return false;
  std::string out;
  const std::size_t place = servers::begin_frame(out, '5');
  out += id + ' ' + end + " 1 " + report + '\n';
  if (end == 'S') out += its != nullptr ? *its : std::string(options_.value_size, 'v');
  servers::end_frame(out, place);
  if (!at->second->stream->out().append(out)) return false;
  at->second->stream->flush();
  return true;
}

void Leaf::reset(Wire& wire) {
  if (wire.stream->is_closed()) return;
  tally_.cut += 1;
  // A close with nothing lingering is a reset for TCP; a local peer sees one where something was left unread.
  const linger now{1, 0};
  setsockopt(wire.fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  wire.stream->close();
  gone(wire);
}

void Leaf::gone(Wire& wire) {
  wire.stream->close();
  const auto at = wires_.find(wire.number);
  if (at == wires_.end()) return;
  graves_.push_back(std::move(at->second));
  wires_.erase(at);
  if (graves_.size() == 1) loop_.call_at(loop_.now(), [this] { bury(); });
}

void Leaf::cut_all() {
  while (!wires_.empty()) reset(*wires_.begin()->second);
}

void Leaf::cut(int door) {
  std::vector<Wire*> here;
  for (const auto& [each, wire] : wires_) {
    if (wire->door == static_cast<std::size_t>(door)) here.push_back(wire.get());
  }
  for (Wire* wire : here) reset(*wire);
}

void Leaf::bury() {
  graves_.clear();
  old_listeners_.clear();
}

int Leaf::runs(const std::string& id) const {
  const auto at = runs_.find(id);
  return at == runs_.end() ? 0 : at->second;
}

net::Address free_address(net::Family family, std::uint32_t number) {
  const auto pid = static_cast<std::uint32_t>(getpid());
  if (family == net::Family::local)
    return *net::parse_address("unix:@marbledyke-" + std::to_string(pid) + "-" + std::to_string(number));
  for (std::uint32_t port = 20000 + (pid * 37 + number * 101) % 12000;; ++port) {
    const std::string host = family == net::Family::ip6 ? "[::1]"
                                                        : "127." + std::to_string(64 + pid % 60) + "." +
                                                              std::to_string(number / 200 % 250) + "." +
                                                              std::to_string(1 + number % 200);
    const net::Address out = *net::parse_address(host + ":" + std::to_string(port));
    if (net::listen_on(out)) return out;
  }
}

}  // namespace marbledyke::standins
