#include "servers/servers.h"

#include <algorithm>
#include <array>

#include "log/log.h"

namespace marbledyke::servers {
using namespace std::chrono_literals;
namespace {
constexpr int kNoZone = -1;  // of a row whose zone the settings no longer name
}  // namespace

// A connection that races to become a link's. Nothing but a probe is ever written to it before it has won, so
// that no part can be at a server that lost.
struct Servers::Runner {
  int number = 0;
  net::Address to;
  bool prove = false;
  std::unique_ptr<net::Stream> stream;
  FrameReader reader;
};

// A connection that only tells whether an address in doubt is sound again.
struct Servers::Trial {
  addresses::Trial what;
  Duration started{};
  std::unique_ptr<net::Stream> stream;
  FrameReader reader;
  net::Loop::Timer expiry;
};

// One connection to a shard server, or the race for it.
struct Servers::Link {
  enum class Stage { queued, writing, written };

  struct Out {
    Errand errand;
    Stage stage = Stage::queued;
    Duration given_at{};  // its frame was begun, and then: it was written
    bool over = false;    // ended while its frame was being written, so that a frame 2 must follow
    net::Loop::Timer expiry;
  };

  // What is to be written: a call names the parts that are in it.
  struct Pending {
    char letter = 0;
    std::vector<std::string> ids;
  };

  std::uint64_t number = 0;
  std::string server;
  std::optional<addresses::Book::RaceId> race;
  std::vector<Runner> runners;
  std::optional<net::Loop::Timer> race_wake;
  int winner = -1;
  net::Address address;                 // of the stream
  std::unique_ptr<net::Stream> stream;  // none while the race is on
  bool current = true;                  // its server still has the address
  bool answered = false;                // something was heard, the proof apart
  bool ended = false;
  FrameReader reader;
  bool reading_on = false;          // a frame has begun and its rest is being waited for
  std::map<std::string, Out> outs;  // by wire id
  std::deque<Pending> pending;
  Pending writing;                           // the one whose bytes are in the ring; letter 0: none
  std::map<std::string, Duration> given_up;  // wire ids that may still be answered here, and until when
  bool trusted = true;                       // false once it kept silent over something it had been given
  Duration last_heard{}, last_used{};
  bool probing = false, probe_written = false;
  Duration probe_at{};
  std::optional<net::Loop::Timer> probe_expiry, idle_expiry;
};

Servers::Servers(net::Loop& loop, const config::ServiceSettings& settings, std::uint32_t seed,
                 std::function<bool()> make_room)
    : loop_(loop), settings_(settings), make_room_(std::move(make_room)), book_({}, seed) {
  addresses::Rules rules;
  rules.attempt = settings.connect_timeout;
  book_.configure(rules, {});
}

Servers::~Servers() = default;

void Servers::configure(const addresses::Rules& rules,
                        std::map<std::string, addresses::Book::Configured, std::less<>> configured) {
  book_.configure(rules, std::move(configured));
  relist();
}

void Servers::listed(const list::News& news) {
  // Nothing is kept of a server that the list no longer has, but for what is out on its connections: under
  // new ids all day, servers would otherwise fill the memory.
  if (news.whole)
    std::erase_if(rows_, [&](const auto& one) {
      return !news.unreadable.contains(one.first) || last_row(one.first) == nullptr;
    });
  book_.news_opens(news.whole);
  if (news.whole) {
    for (const auto& [name, row] : rows_) book_.stays(name);
  }
  for (const list::Entry& entry : news.entries) {
    if (entry.row.status == ServerStatus::gone) {
      rows_.erase(entry.row.server);
      book_.gone(entry.row.server);
    } else {
      rows_[entry.row.server] = entry.row;
      book_.listed(entry.row.server, entry.row.status == ServerStatus::up, entry.addresses);
    }
  }
  book_.news_closes();
  relist();
}

// What the news means for the connections that are open or being opened. What waits for one to a server that
// drains or is gone would not be written when it comes up (pump); it does not wait for that, but ends as
// never sent, to go to another while there is time.
void Servers::relist() {
  std::vector<Link*> unwanted, too_late;
  for (const auto& [number, link] : links_) {
    link->current = link->race ? rows_.contains(link->server) : book_.usable(link->server, link->address);
    if (!wanted(*link)) (link->race ? too_late : unwanted).push_back(link.get());
  }
  for (Link* link : unwanted) rest(*link);
  for (Link* link : too_late) {
    while (!link->outs.empty()) settle(*link, std::string(link->outs.begin()->first), SendOutcome::unused);
    broke(*link, false);
  }
  plan_trials();
}

const ListEntry* Servers::last_row(std::string_view server) const {
  const auto at = rows_.find(server);
  if (at == rows_.end() || at->second.zone == kNoZone || at->second.cell >= settings_.cells) return nullptr;
  return &at->second;
}

void Servers::renumber_zones(const std::vector<std::string>& from, const std::vector<std::string>& to) {
  for (auto& [name, row] : rows_) {
    if (row.zone == kNoZone) continue;
    const auto at = std::find(to.begin(), to.end(), from[static_cast<std::size_t>(row.zone)]);
    row.zone = at == to.end() ? kNoZone : static_cast<int>(at - to.begin());
  }
}

bool Servers::up(std::string_view server) const {
  const auto at = rows_.find(server);
  return at != rows_.end() && at->second.status == ServerStatus::up;
}

// New sends may go over it: it has not kept silent, and its server is up and still there.
bool Servers::wanted(const Link& link) const { return link.trusted && link.current && up(link.server); }

void Servers::call(const std::string& server, std::vector<Errand> errands) {
  bury();
  const auto most = static_cast<std::size_t>(settings_.max_parts_per_call);
  for (std::size_t from = 0; from < errands.size(); from += most) {
    const std::size_t to = std::min(errands.size(), from + most);
    std::vector<Errand> together(std::make_move_iterator(errands.begin() + static_cast<std::ptrdiff_t>(from)),
                                 std::make_move_iterator(errands.begin() + static_cast<std::ptrdiff_t>(to)));
    tally_.sends += together.size();
    Link* link = link_for(server, together);
    if (link == nullptr) {
      for (const Errand& errand : together) end(errand, SendOutcome::dial_failed);
      continue;
    }
    Link::Pending call{'1', {}};
    for (Errand& errand : together) {
      const SendKey key{errand.part, errand.send};
      const std::string id = errand.id;
      Link::Out out;
      out.expiry = loop_.at(errand.not_past, [this, key] { give_up(key, SendOutcome::expired); });
      out.errand = std::move(errand);
      log::event(log::Level::debug, "send.taken",
                 {{"part", id}, {"send", out.errand.send}, {"server", server}, {"connection", link->number}});
      out_.emplace(key, std::make_pair(link->number, id));
      link->outs.emplace(id, std::move(out));
      call.ids.push_back(id);
    }
    link->pending.push_back(std::move(call));
    pump(*link);
  }
}

void Servers::withdraw(const RequestId& part, int send) { give_up({part, send}, SendOutcome::revoked); }

void Servers::unsend(const RequestId& part, int send) {
  const auto at = out_.find({part, send});
  if (at == out_.end()) return;
  const auto [number, id] = at->second;
  Link& link = *links_.at(number);
  if (link.outs.at(id).stage == Link::Stage::queued) settle(link, id, SendOutcome::unused);
  rest(link);
}

void Servers::probe(const std::string& server) {
  bury();
  tally_.probes += 1;
  Link* link = link_for(server, {});
  if (link == nullptr || link->probing) {
    probed.push_back({server, SendOutcome::dial_failed, 0s, {}});
    return;
  }
  link->probing = true;
  link->probe_written = false;
  link->probe_at = loop_.now();
  const std::uint64_t number = link->number;
  link->probe_expiry = loop_.at(loop_.now() + settings_.connect_timeout, [this, number] {
    const auto at = links_.find(number);
    if (at == links_.end()) return;
    at->second->probe_expiry.reset();
    doubt(*at->second, at->second->probe_at);
    end_probe(*at->second, SendOutcome::expired);
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
  if (!rows_.contains(server)) return nullptr;
  const auto room = static_cast<std::size_t>(settings_.max_parts_per_connection);
  const auto once = [](const Errand& errand) { return errand.once; };
  const bool careful = std::any_of(errands.begin(), errands.end(), once);
  Link* shared = nullptr;
  int held = 0;
  for (const auto& [number, link] : links_) {
    if (link->server != server) continue;
    for (const auto& [id, out] : link->outs) {
      if (out.stage != Link::Stage::queued) doubt(*link, out.given_at);
    }
    if (!link->trusted || !link->current) continue;
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
  const std::uint64_t number = next_link_++;
  Link& link = *(links_[number] = std::make_unique<Link>());
  link.number = number;
  link.server = server;
  link.last_heard = link.last_used = loop_.now();
  link.race = book_.begin(server, loop_.now());
  if (!race_on(link)) {
    tally_.dial_failed += 1;
    book_.over(*link.race);
    links_.erase(number);
    plan_trials();
    return nullptr;
  }
  tally_.opened += 1;
  return &link;
}

// Carries out what the book decides for a race; false once it is lost.
bool Servers::race_on(Link& link) {
  if (link.race_wake) loop_.cancel(*link.race_wake);
  link.race_wake.reset();
  for (;;) {
    const addresses::Step step = book_.next(*link.race, loop_.now());
    switch (step.what) {
      case addresses::Step::What::dial:
        dial(link, step);
        break;
      case addresses::Step::What::abandon:
        log::event(log::Level::debug, "server.attempt_abandoned",
                   {{"server", link.server}, {"connection", link.number}, {"attempt", step.attempt}});
        lay_down(link, step.attempt);
        break;
      case addresses::Step::What::wait: {
        const std::uint64_t number = link.number;
        link.race_wake = loop_.at(step.until, [this, number] {
          const auto at = links_.find(number);
          if (at == links_.end() || !at->second->race) return;
          at->second->race_wake.reset();
          if (!race_on(*at->second)) broke(*at->second, false);
        });
        return true;
      }
      case addresses::Step::What::lost:
        return false;
    }
  }
}

void Servers::dial(Link& link, const addresses::Step& step) {
  net::Descriptor fd = net::start_connect(step.to);
  if (!fd && errno == EMFILE && make_room_()) fd = net::start_connect(step.to);
  if (!fd) {
    const bool ours = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    book_.ended(*link.race, step.attempt, ours ? addresses::End::no_room : addresses::End::refused,
                loop_.now());
    return;
  }
  Link* const to = &link;
  const int attempt = step.attempt;
  const std::size_t most_out = static_cast<std::size_t>(settings_.max_parts_per_call) * 66 * 1024 + 4096;
  Runner runner;
  runner.number = attempt;
  runner.to = step.to;
  runner.prove = step.prove;
  runner.stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 64 * 1024, most_out,
      net::Stream::Told{[this, to, attempt] { came_up(*to, attempt); },
                        [this, to, attempt] {
                          if (to->winner == attempt) {
                            arrived(*to);
                          } else {
                            runner_heard(*to, attempt);
                          }
                        },
                        [this, to, attempt] {
                          if (to->winner == attempt) written(*to);
                        },
                        [this, to, attempt](bool connected) {
                          if (to->winner != attempt)
                            return runner_ended(
                                *to, attempt,
                                connected ? addresses::End::reset_early : addresses::End::refused);
                          if (!to->answered)
                            book_.failed(to->server, to->address, addresses::End::reset_early, loop_.now());
                          broke(*to, connected);
                        }});
  link.runners.push_back(std::move(runner));
}

void Servers::came_up(Link& link, int attempt) {
  const auto runner = std::find_if(link.runners.begin(), link.runners.end(),
                                   [&](const Runner& one) { return one.number == attempt; });
  if (runner == link.runners.end()) return;
  if (!runner->prove) return won(link, attempt);
  std::string bytes;
  end_frame(bytes, begin_frame(bytes, '3'));
  runner->stream->out().put(bytes);
  tally_.proofs += 1;
  runner->stream->flush();
}

// Any frame that can be read proves that a server is there and speaks.
void Servers::runner_heard(Link& link, int attempt) {
  const auto runner = std::find_if(link.runners.begin(), link.runners.end(),
                                   [&](const Runner& one) { return one.number == attempt; });
  if (runner == link.runners.end()) return;
  net::Ring& in = runner->stream->in();
  while (!in.empty() && runner->reader.state() == FrameReader::State::reading)
    in.drop(runner->reader.take(in.front()));
  if (runner->reader.state() == FrameReader::State::bad) {
    runner->stream->close();
    return runner_ended(link, attempt, addresses::End::reset_early);
  }
  if (runner->reader.state() == FrameReader::State::done) won(link, attempt);
}

void Servers::runner_ended(Link& link, int attempt, addresses::End end) {
  if (!link.race) return;
  log::event(
      log::Level::debug, "server.attempt_failed",
      {{"server", link.server}, {"connection", link.number}, {"attempt", attempt}, {"how", name_of(end)}});
  book_.ended(*link.race, attempt, end, loop_.now());
  lay_down(link, attempt);
  if (!race_on(link)) return broke(link, false);
  plan_trials();
}

// Closed unused; kept until nothing can be telling of it any more.
void Servers::lay_down(Link& link, int attempt) {
  const auto runner = std::find_if(link.runners.begin(), link.runners.end(),
                                   [&](const Runner& one) { return one.number == attempt; });
  if (runner == link.runners.end()) return;
  runner->stream->close();
  stream_graves_.push_back(std::move(runner->stream));
  link.runners.erase(runner);
}

void Servers::won(Link& link, int attempt) {
  const auto runner = std::find_if(link.runners.begin(), link.runners.end(),
                                   [&](const Runner& one) { return one.number == attempt; });
  // A list that has taken the address away meanwhile takes it out of the race as well.
  if (rows_.contains(link.server) && !book_.usable(link.server, runner->to))
    return runner_ended(link, attempt, addresses::End::not_needed);
  book_.ended(*link.race, attempt, addresses::End::came_up, loop_.now());
  book_.over(*link.race);
  link.race.reset();
  if (link.race_wake) loop_.cancel(*link.race_wake);
  link.race_wake.reset();
  link.winner = attempt;
  link.address = runner->to;
  link.stream = std::move(runner->stream);
  link.runners.erase(runner);
  while (!link.runners.empty()) lay_down(link, link.runners.front().number);
  link.current = book_.usable(link.server, link.address);
  link.last_heard = loop_.now();
  plan_trials();
  pump(link);
  if (!link.ended && !link.stream->in().empty()) arrived(link);
}

// ---- trials ----

void Servers::plan_trials() {
  if (trial_wake_) loop_.cancel(*trial_wake_);
  trial_wake_.reset();
  const auto at = book_.next_trial_at();
  if (!at) return;
  trial_wake_ = loop_.at(*at, [this] {
    trial_wake_.reset();
    bury();
    while (const auto trial = book_.next_trial(loop_.now())) start_trial(*trial);
    plan_trials();
  });
}

// No client is let go for a trial: without a descriptor there is none now.
void Servers::start_trial(const addresses::Trial& what) {
  net::Descriptor fd = net::start_connect(what.to);
  if (!fd) {
    const bool ours = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    return book_.trial_ended(what, ours ? addresses::End::no_room : addresses::End::refused, {}, loop_.now());
  }
  const std::uint64_t number = next_trial_++;
  auto made = std::make_unique<Trial>();
  Trial* const trial = made.get();
  trial->what = what;
  trial->started = loop_.now();
  trial->stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 4096, 4096,
      net::Stream::Told{[trial] {
                          std::string bytes;
                          end_frame(bytes, begin_frame(bytes, '3'));
                          trial->stream->out().put(bytes);
                          trial->stream->flush();
                        },
                        [this, trial, number] {
                          net::Ring& in = trial->stream->in();
                          while (!in.empty() && trial->reader.state() == FrameReader::State::reading)
                            in.drop(trial->reader.take(in.front()));
                          if (trial->reader.state() == FrameReader::State::reading) return;
                          end_trial(number, trial->reader.state() == FrameReader::State::done
                                                ? addresses::End::came_up
                                                : addresses::End::reset_early);
                        },
                        nullptr,
                        [this, number](bool connected) {
                          end_trial(number,
                                    connected ? addresses::End::reset_early : addresses::End::refused);
                        }});
  trial->expiry = loop_.at(loop_.now() + what.limit, [this, number, trial] {
    end_trial(number, trial->stream->connected() ? addresses::End::silent : addresses::End::hung);
  });
  trials_.emplace(number, std::move(made));
}

void Servers::end_trial(std::uint64_t number, addresses::End end) {
  const auto at = trials_.find(number);
  if (at == trials_.end()) return;
  Trial& trial = *at->second;
  loop_.cancel(trial.expiry);
  trial.stream->close();
  log::event(log::Level::info, "server.address_tried",
             {{"server", trial.what.server}, {"address", trial.what.to.text()}, {"how", name_of(end)}});
  book_.trial_ended(trial.what, end, loop_.now() - trial.started, loop_.now());
  trial_graves_.push_back(std::move(at->second));
  trials_.erase(at);
  plan_trials();
}

std::size_t Servers::sockets() const {
  std::size_t out = trials_.size();
  for (const auto& [number, link] : links_) out += link->race ? link->runners.size() : 1;
  return out;
}

// Writes the next frame. One frame at a time is in the ring, so that what is withdrawn before its turn is
// never written, and so that each frame's last byte is told apart.
void Servers::pump(Link& link) {
  while (link.stream && !link.stream->closed() && link.writing.letter == 0 && !link.pending.empty()) {
    link.writing = std::move(link.pending.front());
    link.pending.pop_front();
    std::string bytes;
    const std::size_t place = begin_frame(bytes, link.writing.letter);
    if (link.writing.letter == '1') {
      // What waited for the connection, or behind another's frame, is not written any more where the list has
      // taken the server out meanwhile, or the window for its repeat is over.
      const bool takes_more = up(link.server);
      std::erase_if(link.writing.ids, [&](const std::string& id) {
        const auto out = link.outs.find(id);
        if (out == link.outs.end()) return true;
        if (takes_more && loop_.now() < out->second.errand.begun_by) return false;
        settle(link, id, SendOutcome::unused);
        return true;
      });
      for (const std::string& id : link.writing.ids) {
        Link::Out& out = link.outs.at(id);
        out.stage = Link::Stage::writing;
        out.given_at = loop_.now();
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
    if (!check_invariant(link.stream->out().put(bytes), "a frame fits its ring")) {
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
      out.given_at = loop_.now();
      if (!out.over) continue;
      link.pending.push_front({'2', {id}});
      link.given_up[id] = out.errand.not_past + settings_.max_route_timeout;
      link.outs.erase(id);
    }
  } else if (frame.letter == '4') {
    link.probe_written = true;
  }
  pump(link);
}

void Servers::arrived(Link& link) {
  if (loop_.now() - heard_ > 4 * settings_.tick && !out_.empty()) silent_until_ = loop_.now();
  heard_ = loop_.now();
  link.last_heard = loop_.now();
  link.trusted = true;
  if (!std::exchange(link.answered, true)) book_.spoke(link.server, link.address);
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
  loop_.at(loop_.now() + settings_.connect_timeout, [this, number] {
    const auto at = links_.find(number);
    if (at == links_.end()) return;
    Link& late = *at->second;
    late.reading_on = false;
    if (!late.reader.begun()) return;
    if (loop_.now() < late.last_heard + settings_.connect_timeout) return expect_more(late);
    tally_.odd_frames += 1;
    drop(late, "a frame that is not gone on with");
  });
}

void Servers::heard(Link& link, Frame& frame) {
  if (frame.letter == '5') {
    auto answer = read_answer(frame, settings_.report_fields);
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
    const SendOutcome fate = answer->end == 'S'   ? SendOutcome::returned
                             : answer->end == 'E' ? SendOutcome::app_error
                                                  : SendOutcome::pushed_back;
    const std::string id = answer->id;
    settle(link, id, fate, std::move(*answer));
    rest(link);
  } else if (frame.letter == '4' && link.probing && link.probe_written) {
    if (frame.rest == "E") {
      end_probe(link, SendOutcome::app_error);
    } else {
      end_probe(link, SendOutcome::returned, read_report(frame.rest, settings_.report_fields));
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
void Servers::settle(Link& link, const std::string& id, SendOutcome fate, PartAnswer answer) {
  const auto at = link.outs.find(id);
  Link::Out out = std::move(at->second);
  link.outs.erase(at);
  link.last_used = loop_.now();
  if (out.over) return;  // told already
  loop_.cancel(out.expiry);
  out_.erase({out.errand.part, out.errand.send});
  end(out.errand, fate, std::move(answer));
}

void Servers::end(const Errand& errand, SendOutcome fate, PartAnswer answer) {
  static constexpr std::array<const char*, 8> kNames{"returned",    "app_error", "pushed_back", "expired",
                                                     "dial_failed", "dropped",   "revoked",     "unused"};
  if (fate != SendOutcome::returned)
    log::event(log::Level::debug, "send.ended",
               {{"part", errand.id},
                {"send", errand.send},
                {"fate", kNames[static_cast<std::size_t>(fate)]},
                {"after_ms", (loop_.now() - errand.pulled) / 1ms}});
  tally_.dial_failed += fate == SendOutcome::dial_failed ? 1 : 0;
  tally_.dropped += fate == SendOutcome::dropped ? 1 : 0;
  tally_.expired += fate == SendOutcome::expired ? 1 : 0;
  ended.push_back({errand.part, errand.send, fate, loop_.now() - errand.pulled, answer.report, answer.score,
                   std::move(answer.value)});
}

void Servers::give_up(const SendKey& key, SendOutcome fate) {
  const auto at = out_.find(key);
  if (at == out_.end()) return;
  const auto [number, id] = at->second;
  Link& link = *links_.at(number);
  Link::Out& out = link.outs.at(id);
  if (out.stage == Link::Stage::queued) {
    settle(link, id, SendOutcome::unused);  // not written, and now it never will be
  } else if (out.stage == Link::Stage::writing) {
    loop_.cancel(out.expiry);
    out_.erase(at);
    out.over = true;
    doubt(link, out.given_at);
    end(out.errand, fate);
  } else {
    doubt(link, out.given_at);
    link.given_up[id] = out.errand.not_past + settings_.max_route_timeout;
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
void Servers::doubt(Link& link, Duration since) {
  if (link.last_heard > since || loop_.now() - since < settings_.connect_timeout) return;
  if (std::exchange(link.trusted, false) && !link.answered) {
    book_.failed(link.server, link.address, addresses::End::silent, loop_.now());
    plan_trials();
  }
}

void Servers::end_probe(Link& link, SendOutcome fate, LoadReport report) {
  if (!link.probing) return;
  link.probing = false;
  if (link.probe_expiry) loop_.cancel(*link.probe_expiry);
  link.probe_expiry.reset();
  probed.push_back({link.server, fate, loop_.now() - link.probe_at, report});
}

// A link with nothing to do is closed before the server may close it: what is written after that is reset,
// and may have run as far as anyone can tell. One that is not trusted is closed at once. So is one that is
// wanted no more while its server leaves a frame half taken whose parts have all had their fate: nobody else
// would ever end it.
void Servers::rest(Link& link) {
  if (link.ended || link.probing || link.race) return;
  if (link.writing.letter != 0 && !wanted(link) &&
      std::all_of(link.outs.begin(), link.outs.end(), [](const auto& one) { return one.second.over; }))
    return drop(link, "its server does not take a frame");
  if (!link.outs.empty() || !link.pending.empty() || link.writing.letter != 0) return;
  if (!wanted(link)) return drop(link, link.trusted ? "its server takes nothing new" : "it kept silent");
  if (link.idle_expiry) return;
  const std::uint64_t number = link.number;
  const Duration allowed =
      std::max(settings_.idle_timeout - settings_.connect_timeout, settings_.idle_timeout / 2);
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
  log::event(log::Level::debug, "server.connection_closed",
             {{"server", link.server}, {"connection", link.number}, {"why", why}});
  if (link.stream) link.stream->close();
  broke(link, link.stream != nullptr);
}

void Servers::broke(Link& link, bool connected) {
  log::event(log::Level::debug, connected ? "server.connection_ended" : "server.not_connected",
             {{"server", link.server}, {"connection", link.number}, {"sends", link.outs.size()}});
  link.ended = true;
  for (auto* timer : {&link.race_wake, &link.idle_expiry}) {
    if (*timer) loop_.cancel(**timer);
    timer->reset();
  }
  if (link.race) book_.over(*link.race);
  link.race.reset();
  while (!link.runners.empty()) lay_down(link, link.runners.front().number);
  while (!link.outs.empty()) {
    const auto& [id, out] = *link.outs.begin();
    settle(link, std::string(id),
           out.stage == Link::Stage::written ? SendOutcome::dropped : SendOutcome::dial_failed);
  }
  end_probe(link, link.probe_written ? SendOutcome::dropped : SendOutcome::dial_failed);
  const auto at = links_.find(link.number);
  if (at == links_.end()) return;
  graves_.push_back(std::move(at->second));
  links_.erase(at);
  plan_trials();
}

void Servers::bury() {
  graves_.clear();
  trial_graves_.clear();
  stream_graves_.clear();
}

}  // namespace marbledyke::servers
