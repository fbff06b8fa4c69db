#include "servers/servers.h"

#include <algorithm>
#include <array>

#include "net/log.h"

namespace marbledyke::servers {
using namespace std::chrono_literals;

// One connection to a shard server.
struct Servers::Link {
  enum class Stage { queued, writing, written };

  struct Out {
    Errand errand;
    Stage stage = Stage::queued;
    Span written_at{};
    bool over = false;  // ended while its frame was being written, so that a frame 2 must follow
    net::Loop::Timer expiry;
  };

  // What is to be written: a call names the parts that are in it.
  struct Pending {
    char letter = 0;
    std::vector<std::string> ids;
  };

  std::uint64_t number = 0;
  std::string server;
  sockaddr_in address{};
  std::unique_ptr<net::Stream> stream;
  FrameReader reader;
  bool reading_on = false;          // a frame has begun and its rest is being waited for
  std::map<std::string, Out> outs;  // by wire id
  std::deque<Pending> pending;
  Pending writing;                       // the one whose bytes are in the ring; letter 0: none
  std::map<std::string, Span> given_up;  // wire ids that may still be answered here, and until when
  bool trusted = true;                   // false once it kept silent over something it had been given
  Span last_heard{}, last_used{};
  bool probing = false, probe_written = false;
  Span probe_at{};
  std::optional<net::Loop::Timer> probe_expiry, dial_expiry, idle_expiry;
};

Servers::Servers(net::Loop& loop, const config::Carriage& carriage, std::function<bool()> make_room)
    : loop_(loop), carriage_(carriage), make_room_(std::move(make_room)) {}

Servers::~Servers() = default;

void Servers::listed(const list::News& news) {
  // Nothing is kept of a server that the list no longer has, but for what is out on its connections: under
  // new ids all day, servers would otherwise fill the memory.
  if (news.whole) places_.clear();
  for (const list::Entry& entry : news.entries) {
    if (entry.row.standing == Standing::gone) {
      places_.erase(entry.row.server);
    } else {
      places_[entry.row.server] = {entry.address, entry.row.standing == Standing::up};
    }
  }
  std::vector<Link*> unwanted;
  for (const auto& [number, link] : links_) {
    if (!wanted(*link)) unwanted.push_back(link.get());
  }
  for (Link* link : unwanted) rest(*link);
}

// New sends may go over it: it has not kept silent, and its server is up and still there.
bool Servers::wanted(const Link& link) const {
  const auto place = places_.find(link.server);
  return link.trusted && place != places_.end() && place->second.up &&
         net::same(link.address, place->second.address);
}

void Servers::call(const std::string& server, std::vector<Errand> errands) {
  bury();
  const auto most = static_cast<std::size_t>(carriage_.parts_a_call);
  for (std::size_t from = 0; from < errands.size(); from += most) {
    const std::size_t to = std::min(errands.size(), from + most);
    std::vector<Errand> together(std::make_move_iterator(errands.begin() + static_cast<std::ptrdiff_t>(from)),
                                 std::make_move_iterator(errands.begin() + static_cast<std::ptrdiff_t>(to)));
    tally_.sends += together.size();
    Link* link = link_for(server, together);
    if (link == nullptr) {
      for (const Errand& errand : together) end(errand, Fate::dial_failed);
      continue;
    }
    Link::Pending call{'1', {}};
    for (Errand& errand : together) {
      const SendKey key{errand.part, errand.send};
      const std::string id = errand.id;
      Link::Out out;
      out.expiry = loop_.at(errand.not_past, [this, key] { give_up(key, Fate::expired); });
      out.errand = std::move(errand);
      MD_LOG(debug, "send " << out.errand.send << " of " << id << " to " << server << " on connection "
                            << link->number);
      out_.emplace(key, std::make_pair(link->number, id));
      link->outs.emplace(id, std::move(out));
      call.ids.push_back(id);
    }
    link->pending.push_back(std::move(call));
    pump(*link);
  }
}

void Servers::withdraw(const Rid& part, int send) { give_up({part, send}, Fate::revoked); }

void Servers::probe(const std::string& server) {
  bury();
  tally_.probes += 1;
  Link* link = link_for(server, {});
  if (link == nullptr || link->probing) {
    probed.push_back({server, Fate::dial_failed, 0s, {}});
    return;
  }
  link->probing = true;
  link->probe_written = false;
  link->probe_at = loop_.now();
  const std::uint64_t number = link->number;
  link->probe_expiry = loop_.at(loop_.now() + carriage_.connect_timeout, [this, number] {
    const auto at = links_.find(number);
    if (at == links_.end()) return;
    at->second->probe_expiry.reset();
    doubt(*at->second, at->second->probe_at);
    end_probe(*at->second, Fate::expired);
    rest(*at->second);
  });
  link->pending.push_back({'4', {}});
  pump(*link);
}

// A connection that is open, or opening, has room, and has not kept silent. One on which an earlier send of
// the same part may still be answered is passed over, since the answers could not be told apart. What ends a
// connection, a spoilt answer or a server that closes it, takes all with it that is out there. For what may
// be sent again that is a delay, but a non-retriable part is lost for another's fault; so such a part goes
// where nothing else is out, and nothing joins it, as long as a server has few connections of ours. Harm:
// about one more connection a server.
Servers::Link* Servers::link_for(const std::string& server, const std::vector<Errand>& errands) {
  const auto place = places_.find(server);
  if (place == places_.end()) return nullptr;
  const auto room = static_cast<std::size_t>(carriage_.parts_a_connection);
  const auto once = [](const Errand& errand) { return errand.once; };
  const bool careful = std::any_of(errands.begin(), errands.end(), once);
  Link* shared = nullptr;
  int held = 0;
  for (const auto& [number, link] : links_) {
    if (link->server != server) continue;
    for (const auto& [id, out] : link->outs) {
      if (out.stage == Link::Stage::written) doubt(*link, out.written_at);
    }
    if (!link->trusted || !net::same(link->address, place->second.address)) continue;
    ++held;
    if (errands.empty() ? link->probing : link->outs.size() + errands.size() > room) continue;
    std::erase_if(link->given_up, [&](const auto& one) { return one.second < loop_.now(); });
    const bool clash = std::any_of(errands.begin(), errands.end(), [&](const Errand& errand) {
      return link->given_up.contains(errand.id) || link->outs.contains(errand.id);
    });
    if (clash) continue;
    const bool apart = careful ? link->outs.empty()
                               : std::none_of(link->outs.begin(), link->outs.end(),
                                              [&](const auto& out) { return once(out.second.errand); });
    if (apart || errands.empty()) return link.get();
    if (shared == nullptr) shared = link.get();
  }
  if (shared != nullptr && held >= kFewLinks) return shared;
  Link* fresh = dial(server);
  return fresh != nullptr ? fresh : shared;
}

Servers::Link* Servers::dial(const std::string& server) {
  auto link = std::make_unique<Link>();
  link->number = next_link_++;
  link->server = server;
  link->address = places_.find(server)->second.address;
  net::Descriptor fd = net::start_connect(link->address);
  if (!fd && errno == EMFILE && make_room_()) fd = net::start_connect(link->address);
  if (!fd) {
    tally_.dial_failed += 1;
    return nullptr;
  }
  Link* const to = link.get();
  const std::uint64_t number = link->number;
  const std::size_t most_out = static_cast<std::size_t>(carriage_.parts_a_call) * 66 * 1024 + 4096;
  to->stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 64 * 1024, most_out,
      net::Stream::Told{[this, to] {
                          if (to->dial_expiry) loop_.cancel(*to->dial_expiry);
                          to->dial_expiry.reset();
                          to->last_heard = loop_.now();
                          pump(*to);
                        },
                        [this, to] { arrived(*to); }, [this, to] { written(*to); },
                        [this, to](bool connected) { broke(*to, connected); }});
  to->last_heard = to->last_used = loop_.now();
  to->dial_expiry = loop_.at(loop_.now() + carriage_.connect_timeout, [this, number] {
    const auto at = links_.find(number);
    if (at == links_.end()) return;
    at->second->dial_expiry.reset();
    drop(*at->second, "not connected in time");
  });
  links_.emplace(number, std::move(link));
  tally_.opened += 1;
  return to;
}

// Writes the next frame. One frame at a time is in the ring, so that what is withdrawn before its turn is
// never written, and so that each frame's last byte is told apart.
void Servers::pump(Link& link) {
  while (link.stream->connected() && !link.stream->closed() && link.writing.letter == 0 &&
         !link.pending.empty()) {
    link.writing = std::move(link.pending.front());
    link.pending.pop_front();
    std::string bytes;
    const std::size_t place = begin_frame(bytes, link.writing.letter);
    if (link.writing.letter == '1') {
      // What waited for the connection while the list took the server out is not written any more.
      const auto listed_as = places_.find(link.server);
      const bool up = listed_as != places_.end() && listed_as->second.up;
      std::erase_if(link.writing.ids, [&](const std::string& id) {
        if (!up && link.outs.contains(id)) settle(link, id, Fate::unused);
        return !link.outs.contains(id);
      });
      for (const std::string& id : link.writing.ids) {
        Link::Out& out = link.outs.at(id);
        out.stage = Link::Stage::writing;
        const auto left = std::max<std::int64_t>((out.errand.not_past - loop_.now()) / 1ms, 1);
        put_part(bytes, id, out.errand.shard, "d=" + std::to_string(left) + out.errand.more,
                 *out.errand.text);
      }
      if (!link.writing.ids.empty()) tally_.calls += 1;
    } else if (link.writing.letter == '2') {
      bytes += link.writing.ids.front();
    }
    if (link.writing.letter == '1' && link.writing.ids.empty()) {
      link.writing = {};
      continue;
    }
    end_frame(bytes, place);
    if (!net::must_hold(link.stream->out().put(bytes), "a frame fits its ring")) {
      drop(link, "a frame too large to write");
      return;
    }
    link.stream->flush();
  }
}

void Servers::written(Link& link) {
  const Link::Pending frame = std::exchange(link.writing, {});
  if (frame.letter == '1') {
    link.last_used = loop_.now();
    for (const std::string& id : frame.ids) {
      Link::Out& out = link.outs.at(id);
      out.stage = Link::Stage::written;
      out.written_at = loop_.now();
      if (!out.over) continue;
      link.pending.push_front({'2', {id}});
      link.given_up[id] = out.errand.not_past + carriage_.longest_timeout;
      link.outs.erase(id);
    }
  } else if (frame.letter == '4') {
    link.probe_written = true;
  }
  pump(link);
}

void Servers::arrived(Link& link) {
  if (loop_.now() - heard_ > 4 * carriage_.tick && !out_.empty()) silent_until_ = loop_.now();
  heard_ = loop_.now();
  link.last_heard = loop_.now();
  link.trusted = true;
  net::Ring& in = link.stream->in();
  while (!link.stream->closed() && !in.empty()) {
    in.drop(link.reader.take(in.front()));
    if (link.reader.state() == FrameReader::State::bad) {
      tally_.odd_frames += 1;
      return drop(link, "a frame that cannot be read");
    }
    if (link.reader.state() != FrameReader::State::done) {
      expect_more(link);
      continue;
    }
    Frame frame = std::move(link.reader.frame());
    link.reader.restart();
    heard(link, frame);
  }
}

// A frame that has begun and is not gone on with is spoilt, and so is its connection: what is out there ends
// at once instead of at a time limit. Harm: a server that stands still in the middle of a frame loses it.
void Servers::expect_more(Link& link) {
  if (std::exchange(link.reading_on, true)) return;
  const std::uint64_t number = link.number;
  loop_.at(loop_.now() + carriage_.connect_timeout, [this, number] {
    const auto at = links_.find(number);
    if (at == links_.end()) return;
    Link& late = *at->second;
    late.reading_on = false;
    if (!late.reader.begun()) return;
    if (loop_.now() < late.last_heard + carriage_.connect_timeout) return expect_more(late);
    tally_.odd_frames += 1;
    drop(late, "a frame that is not gone on with");
  });
}

void Servers::heard(Link& link, Frame& frame) {
  if (frame.letter == '5') {
    auto answer = read_answer(frame, carriage_.report_fields);
    if (!answer) {
      tally_.odd_frames += 1;
      return drop(link, "an answer that cannot be read");
    }
    const auto at = link.outs.find(answer->id);
    if (at == link.outs.end() || at->second.stage != Link::Stage::written) {
      // The answer to a part that was given up may have crossed the frame that says so.
      if (link.given_up.erase(answer->id) > 0) return;
      // Any other is one part's answer under another's id, or comes twice: what is read here no longer fits
      // what was asked, and who waits here would wait in vain.
      tally_.odd_frames += 1;
      return drop(link, "an answer for a part that is not out there");
    }
    const Fate fate = answer->end == 'S'   ? Fate::returned
                      : answer->end == 'E' ? Fate::app_error
                                           : Fate::pushed_back;
    const std::string id = answer->id;
    settle(link, id, fate, std::move(*answer));
    rest(link);
  } else if (frame.letter == '4' && link.probing && link.probe_written) {
    if (frame.rest == "E") {
      end_probe(link, Fate::app_error);
    } else {
      end_probe(link, Fate::returned, read_report(frame.rest, carriage_.report_fields));
    }
    rest(link);
  } else if (frame.letter == 'X') {
    tally_.odd_frames += 1;
    drop(link, "it could not use a frame");
  } else if (frame.letter != '3' && frame.letter != '4') {
    tally_.odd_frames += 1;
    drop(link, "a frame that shard servers do not send");
  }
}

// A send that is out on this link comes to its end.
void Servers::settle(Link& link, const std::string& id, Fate fate, PartAnswer answer) {
  const auto at = link.outs.find(id);
  Link::Out out = std::move(at->second);
  link.outs.erase(at);
  link.last_used = loop_.now();
  if (out.over) return;  // told already
  loop_.cancel(out.expiry);
  out_.erase({out.errand.part, out.errand.send});
  end(out.errand, fate, std::move(answer));
}

void Servers::end(const Errand& errand, Fate fate, PartAnswer answer) {
  static constexpr std::array<const char*, 8> kNames{"returned",    "app_error", "pushed_back", "expired",
                                                     "dial_failed", "dropped",   "revoked",     "unused"};
  if (fate != Fate::returned)
    MD_LOG(debug, "send " << errand.send << " of " << errand.id << " ended as "
                          << kNames[static_cast<std::size_t>(fate)] << " after "
                          << (loop_.now() - errand.pulled) / 1ms << " ms");
  tally_.dial_failed += fate == Fate::dial_failed ? 1 : 0;
  tally_.dropped += fate == Fate::dropped ? 1 : 0;
  tally_.expired += fate == Fate::expired ? 1 : 0;
  ended.push_back({errand.part, errand.send, fate, loop_.now() - errand.pulled, answer.report, answer.score,
                   std::move(answer.value)});
}

void Servers::give_up(const SendKey& key, Fate fate) {
  const auto at = out_.find(key);
  if (at == out_.end()) return;
  const auto [number, id] = at->second;
  Link& link = *links_.at(number);
  Link::Out& out = link.outs.at(id);
  if (out.stage == Link::Stage::queued) {
    settle(link, id, Fate::unused);  // not written, and now it never will be
  } else if (out.stage == Link::Stage::writing) {
    loop_.cancel(out.expiry);
    out_.erase(at);
    out.over = true;
    end(out.errand, fate);
  } else {
    doubt(link, out.written_at);
    link.given_up[id] = out.errand.not_past + carriage_.longest_timeout;
    settle(link, id, fate);
    link.pending.push_back({'2', {id}});
    pump(link);
  }
  rest(link);
}

// A machine that vanished leaves its connections open and silent. Once one has kept silent over something it
// was given for as long as a new one may take to come up, new sends go over another, which tells a vanished
// machine by not coming up: proof that they never ran, without which non-retriable parts are lost. It is
// trusted again when it speaks. Harm: a server that is only slow gets a few more connections.
void Servers::doubt(Link& link, Span since) {
  if (link.last_heard <= since && loop_.now() - since >= carriage_.connect_timeout) link.trusted = false;
}

void Servers::end_probe(Link& link, Fate fate, LoadReport report) {
  if (!link.probing) return;
  link.probing = false;
  if (link.probe_expiry) loop_.cancel(*link.probe_expiry);
  link.probe_expiry.reset();
  probed.push_back({link.server, fate, loop_.now() - link.probe_at, report});
}

// A link with nothing to do is closed before the server may close it: what is written after that is reset,
// and may have run as far as anyone can tell. One that is not trusted is closed at once.
void Servers::rest(Link& link) {
  if (link.stream->closed() || !link.outs.empty() || !link.pending.empty() || link.writing.letter != 0 ||
      link.probing || link.dial_expiry)
    return;
  if (!wanted(link)) return drop(link, link.trusted ? "its server takes nothing new" : "it kept silent");
  if (link.idle_expiry) return;
  const std::uint64_t number = link.number;
  const Span allowed = std::max(carriage_.idle - carriage_.connect_timeout, carriage_.idle / 2);
  link.idle_expiry = loop_.at(link.last_used + allowed, [this, number, allowed] {
    const auto at = links_.find(number);
    if (at == links_.end()) return;
    Link& idle = *at->second;
    idle.idle_expiry.reset();
    if (idle.outs.empty() && loop_.now() >= idle.last_used + allowed && !idle.probing) {
      drop(idle, "idle");
    } else {
      rest(idle);
    }
  });
}

void Servers::drop(Link& link, const char* why) {
  MD_LOG(debug, link.server << ": connection " << link.number << " closed: " << why);
  const bool connected = link.stream->connected();
  link.stream->close();
  broke(link, connected);
}

void Servers::broke(Link& link, bool connected) {
  MD_LOG(debug, link.server << ": connection " << link.number << (connected ? " ended" : " never came up")
                            << " with " << link.outs.size() << " sends");
  for (auto* timer : {&link.dial_expiry, &link.idle_expiry}) {
    if (*timer) loop_.cancel(**timer);
    timer->reset();
  }
  while (!link.outs.empty()) {
    const auto& [id, out] = *link.outs.begin();
    settle(link, std::string(id), out.stage == Link::Stage::written ? Fate::dropped : Fate::dial_failed);
  }
  end_probe(link, link.probe_written ? Fate::dropped : Fate::dial_failed);
  const auto at = links_.find(link.number);
  if (at == links_.end()) return;
  graves_.push_back(std::move(at->second));
  links_.erase(at);
}

void Servers::bury() { graves_.clear(); }

}  // namespace marbledyke::servers
