#include "servers/shard_server_pool.h"

#include <algorithm>
#include <array>

#include "log/log.h"

namespace marbledyke::servers {
using namespace std::chrono_literals;
namespace {
constexpr int kNoZone = -1;  // the zone of a row whose zone the settings no longer name
}  // namespace

// One attempt of a race for a connection. Nothing but a frame that asks for proof is written to it before it
// has won, so no part can reach a server over an attempt that lost.
struct ShardServerPool::Candidate {
  int number = 0;
  net::Address to;
  bool prove = false;
  std::unique_ptr<net::Stream> stream;
  FrameParser parser;
};

// A connection that only finds out whether an address in doubt works again.
struct ShardServerPool::Trial {
  addresses::Trial spec;
  Duration started{};
  std::unique_ptr<net::Stream> stream;
  FrameParser parser;
  net::Loop::Timer expiry;
};

// One connection to a shard server, or the race to open it.
struct ShardServerPool::Connection {
  enum class Stage { queued, writing, written };

  struct Send {
    SendRequest request;
    Stage stage = Stage::queued;
    Duration progress_at{};  // when its frame was begun; after that, when it was written
    bool ended = false;      // while its frame was being written, so a cancel frame (2) has to follow
    net::Loop::Timer expiry;
  };

  // A frame to be written, with the wire ids of the parts in it.
  struct QueuedFrame {
    char type = 0;
    std::vector<std::string> ids;
  };

  std::uint64_t number = 0;
  std::string server;
  std::optional<addresses::AddressBook::RaceId> race;
  std::vector<Candidate> candidates;
  std::optional<net::Loop::Timer> race_timer;
  int winner = -1;
  net::Address address;                 // of the stream
  std::unique_ptr<net::Stream> stream;  // null during the race
  bool current = true;                  // the server still has the address
  bool has_responded = false;           // something was received, apart from the proof
  bool ended = false;
  FrameParser parser;
  bool frame_timeout_armed = false;   // the rest of a frame is awaited
  std::map<std::string, Send> sends;  // by wire id
  std::deque<QueuedFrame> queued_frames;
  QueuedFrame writing;  // the frame whose bytes are in the ring buffer; type 0: none
  std::map<std::string, Duration> cancelled_ids;  // wire ids that may still be answered, and until when
  bool responsive = true;                         // false after too long a silence about a send or a probe
  Duration last_heard{}, last_used{};
  bool probing = false, probe_written = false;
  Duration probe_at{};
  std::optional<net::Loop::Timer> probe_expiry, idle_expiry;
};

ShardServerPool::ShardServerPool(net::Loop& loop, const config::ServiceSettings& settings, std::uint32_t seed,
                                 std::function<bool()> make_room)
    : loop_(loop), settings_(settings), make_room_(std::move(make_room)), address_book_({}, seed) {
  addresses::ConnectSettings connect_settings;
  connect_settings.attempt = settings.connect_timeout;
  address_book_.configure(connect_settings, {});
}

ShardServerPool::~ShardServerPool() = default;

void ShardServerPool::configure(
    const addresses::ConnectSettings& settings,
    std::map<std::string, addresses::AddressBook::ServerOverride, std::less<>> overrides) {
  address_book_.configure(settings, std::move(overrides));
  reconsider_connections();
}

void ShardServerPool::apply_list_update(const list::ListUpdate& update) {
  // A server that the list no longer has is forgotten, apart from the sends pending on its connections:
  // servers that come under new ids all day would otherwise fill the memory.
  if (update.is_snapshot)
    std::erase_if(rows_, [&](const auto& one) {
      return !update.unreadable_servers.contains(one.first) || last_row(one.first) == nullptr;
    });
  address_book_.begin_update(update.is_snapshot);
  if (update.is_snapshot) {
    for (const auto& [name, row] : rows_) address_book_.keep_server(name);
  }
  for (const list::ServerEntry& entry : update.entries) {
    if (entry.row.status == ServerStatus::gone) {
      rows_.erase(entry.row.server);
      address_book_.remove_server(entry.row.server);
    } else {
      rows_[entry.row.server] = entry.row;
      address_book_.update_server(entry.row.server, entry.row.status == ServerStatus::up, entry.addresses);
    }
  }
  address_book_.finish_update();
  reconsider_connections();
}

// Applies changed servers and addresses to the connections that are open or being opened. A send that waits
// for a connection to a server that drains or is gone would not be written once the connection is open
// (write_next_frame). It ends as never sent at once, so that it can go to another replica while there is
// time.
void ShardServerPool::reconsider_connections() {
  std::vector<Connection*> unwanted, failing;
  for (const auto& [number, connection] : connections_) {
    connection->current = connection->race ? rows_.contains(connection->server)
                                           : address_book_.is_usable(connection->server, connection->address);
    if (!is_wanted(*connection)) (connection->race ? failing : unwanted).push_back(connection.get());
  }
  for (Connection* connection : unwanted) manage_idle(*connection);
  for (Connection* connection : failing) {
    while (!connection->sends.empty())
      finish_send(*connection, std::string(connection->sends.begin()->first), SendOutcome::unused);
    end_connection(*connection, false);
  }
  schedule_trials();
}

const ListEntry* ShardServerPool::last_row(std::string_view server) const {
  const auto at = rows_.find(server);
  if (at == rows_.end() || at->second.zone == kNoZone || at->second.cell >= settings_.cells) return nullptr;
  return &at->second;
}

void ShardServerPool::renumber_zones(const std::vector<std::string>& from,
                                     const std::vector<std::string>& to) {
  for (auto& [name, row] : rows_) {
    if (row.zone == kNoZone) continue;
    const auto at = std::find(to.begin(), to.end(), from[static_cast<std::size_t>(row.zone)]);
    row.zone = at == to.end() ? kNoZone : static_cast<int>(at - to.begin());
  }
}

bool ShardServerPool::accepts_sends(std::string_view server) const {
  const auto at = rows_.find(server);
  return at != rows_.end() && at->second.status == ServerStatus::up;
}

// Whether new sends may use the connection: it is responsive, and its server is up and still has the address.
bool ShardServerPool::is_wanted(const Connection& connection) const {
  return connection.responsive && connection.current && accepts_sends(connection.server);
}

void ShardServerPool::call(const std::string& server, std::vector<SendRequest> requests) {
  destroy_closed();
  const auto max_parts = static_cast<std::size_t>(settings_.max_parts_per_call);
  for (std::size_t from = 0; from < requests.size(); from += max_parts) {
    const std::size_t to = std::min(requests.size(), from + max_parts);
    std::vector<SendRequest> batch(
        std::make_move_iterator(requests.begin() + static_cast<std::ptrdiff_t>(from)),
        std::make_move_iterator(requests.begin() + static_cast<std::ptrdiff_t>(to)));
    counters_.sends += batch.size();
    Connection* connection = connection_for(server, batch);
    if (connection == nullptr) {
      for (const SendRequest& request : batch) report_result(request, SendOutcome::dial_failed);
      continue;
    }
    Connection::QueuedFrame call{'1', {}};
    for (SendRequest& request : batch) {
      const SendKey key{request.part, request.send};
      const std::string id = request.id;
      Connection::Send send;
      send.expiry = loop_.call_at(request.deadline, [this, key] { abandon_send(key, SendOutcome::expired); });
      send.request = std::move(request);
      log::event(log::Level::debug, "send.taken",
                 {{"part", id},
                  {"send", send.request.send},
                  {"server", server},
                  {"connection", connection->number}});
      pending_sends_.emplace(key, std::make_pair(connection->number, id));
      connection->sends.emplace(id, std::move(send));
      call.ids.push_back(id);
    }
    connection->queued_frames.push_back(std::move(call));
    write_next_frame(*connection);
  }
}

void ShardServerPool::cancel_send(const RequestId& part, int send) {
  abandon_send({part, send}, SendOutcome::revoked);
}

void ShardServerPool::cancel_if_unsent(const RequestId& part, int send) {
  const auto at = pending_sends_.find({part, send});
  if (at == pending_sends_.end()) return;
  const auto [number, id] = at->second;
  Connection& connection = *connections_.at(number);
  if (connection.sends.at(id).stage == Connection::Stage::queued)
    finish_send(connection, id, SendOutcome::unused);
  manage_idle(connection);
}

void ShardServerPool::probe(const std::string& server) {
  destroy_closed();
  counters_.probes += 1;
  Connection* connection = connection_for(server, {});
  if (connection == nullptr || connection->probing) {
    finished_probes.push_back({server, SendOutcome::dial_failed, 0s, {}});
    return;
  }
  connection->probing = true;
  connection->probe_written = false;
  connection->probe_at = loop_.now();
  const std::uint64_t number = connection->number;
  connection->probe_expiry = loop_.call_at(loop_.now() + settings_.connect_timeout, [this, number] {
    const auto at = connections_.find(number);
    if (at == connections_.end()) return;
    at->second->probe_expiry.reset();
    check_silence(*at->second, at->second->probe_at);
    finish_probe(*at->second, SendOutcome::expired);
    manage_idle(*at->second);
  });
  connection->queued_frames.push_back({'4', {}});
  write_next_frame(*connection);
}

// Returns a responsive connection with room for the sends, open or being opened, or begins to open one.
// Connections on which an earlier send of the same part may still be answered are passed over, since the two
// answers could not be told apart. Whatever ends a connection, such as an invalid answer or a close by the
// server, ends all sends pending on it. For a retriable part that is a delay, but a non-retriable part would
// be lost through another part's fault. Such a part therefore goes to a connection without pending sends, and
// no other part joins it, while the server has fewer than kMaxIsolatingConnections. The cost is about one
// more connection to each server.
ShardServerPool::Connection* ShardServerPool::connection_for(const std::string& server,
                                                             const std::vector<SendRequest>& requests) {
  if (!rows_.contains(server)) return nullptr;
  const auto max_parts = static_cast<std::size_t>(settings_.max_parts_per_connection);
  const auto once = [](const SendRequest& request) { return request.non_retriable; };
  const bool isolate = std::any_of(requests.begin(), requests.end(), once);
  Connection* shared = nullptr;
  int usable_count = 0;
  for (const auto& [number, connection] : connections_) {
    if (connection->server != server) continue;
    for (const auto& [id, send] : connection->sends) {
      if (send.stage != Connection::Stage::queued) check_silence(*connection, send.progress_at);
    }
    if (!connection->responsive || !connection->current) continue;
    ++usable_count;
    if (requests.empty() ? connection->probing : connection->sends.size() + requests.size() > max_parts)
      continue;
    std::erase_if(connection->cancelled_ids, [&](const auto& one) { return one.second < loop_.now(); });
    const bool ids_clash = std::any_of(requests.begin(), requests.end(), [&](const SendRequest& request) {
      return connection->cancelled_ids.contains(request.id) || connection->sends.contains(request.id);
    });
    if (ids_clash) continue;
    const bool isolated = isolate ? connection->sends.empty()
                                  : std::none_of(connection->sends.begin(), connection->sends.end(),
                                                 [&](const auto& send) { return once(send.second.request); });
    if (isolated || requests.empty()) return connection.get();
    if (shared == nullptr) shared = connection.get();
  }
  if (shared != nullptr && usable_count >= kMaxIsolatingConnections) return shared;
  Connection* opened = open_connection(server);
  return opened != nullptr ? opened : shared;
}

ShardServerPool::Connection* ShardServerPool::open_connection(const std::string& server) {
  const std::uint64_t number = next_connection_++;
  Connection& connection = *(connections_[number] = std::make_unique<Connection>());
  connection.number = number;
  connection.server = server;
  connection.last_heard = connection.last_used = loop_.now();
  connection.race = address_book_.begin_race(server, loop_.now());
  if (!advance_race(connection)) {
    counters_.dial_failed += 1;
    address_book_.end_race(*connection.race);
    connections_.erase(number);
    schedule_trials();
    return nullptr;
  }
  counters_.opened += 1;
  return &connection;
}

// Carries out the address book's next steps for a race. Returns false once the race is lost.
bool ShardServerPool::advance_race(Connection& connection) {
  if (connection.race_timer) loop_.cancel(*connection.race_timer);
  connection.race_timer.reset();
  for (;;) {
    const addresses::RaceStep step = address_book_.next_step(*connection.race, loop_.now());
    switch (step.action) {
      case addresses::RaceStep::Action::dial:
        start_attempt(connection, step);
        break;
      case addresses::RaceStep::Action::abandon:
        log::event(
            log::Level::debug, "server.attempt_abandoned",
            {{"server", connection.server}, {"connection", connection.number}, {"attempt", step.attempt}});
        discard_candidate(connection, step.attempt);
        break;
      case addresses::RaceStep::Action::wait: {
        const std::uint64_t number = connection.number;
        connection.race_timer = loop_.call_at(step.wait_until, [this, number] {
          const auto at = connections_.find(number);
          if (at == connections_.end() || !at->second->race) return;
          at->second->race_timer.reset();
          if (!advance_race(*at->second)) end_connection(*at->second, false);
        });
        return true;
      }
      case addresses::RaceStep::Action::lost:
        return false;
    }
  }
}

void ShardServerPool::start_attempt(Connection& connection, const addresses::RaceStep& step) {
  net::Descriptor fd = net::start_connect(step.to);
  if (!fd && errno == EMFILE && make_room_()) fd = net::start_connect(step.to);
  if (!fd) {
    const bool local_cause = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    address_book_.on_attempt_ended(
        *connection.race, step.attempt,
        local_cause ? addresses::AttemptOutcome::no_local_resources : addresses::AttemptOutcome::refused,
        loop_.now());
    return;
  }
  Connection* const owner = &connection;
  const int attempt = step.attempt;
  const std::size_t most_out = static_cast<std::size_t>(settings_.max_parts_per_call) * 66 * 1024 + 4096;
  Candidate candidate;
  candidate.number = attempt;
  candidate.to = step.to;
  candidate.prove = step.needs_proof;
  candidate.stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 64 * 1024, most_out,
      net::Stream::Callbacks{[this, owner, attempt] { on_candidate_connected(*owner, attempt); },
                             [this, owner, attempt] {
                               if (owner->winner == attempt) {
                                 on_data(*owner);
                               } else {
                                 on_candidate_data(*owner, attempt);
                               }
                             },
                             [this, owner, attempt] {
                               if (owner->winner == attempt) on_frame_written(*owner);
                             },
                             [this, owner, attempt](bool connected) {
                               if (owner->winner != attempt)
                                 return on_candidate_ended(*owner, attempt,
                                                           connected ? addresses::AttemptOutcome::reset_early
                                                                     : addresses::AttemptOutcome::refused);
                               if (!owner->has_responded)
                                 address_book_.on_connection_failed(owner->server, owner->address,
                                                                    addresses::AttemptOutcome::reset_early,
                                                                    loop_.now());
                               end_connection(*owner, connected);
                             }});
  connection.candidates.push_back(std::move(candidate));
}

void ShardServerPool::on_candidate_connected(Connection& connection, int attempt) {
  const auto candidate = std::find_if(connection.candidates.begin(), connection.candidates.end(),
                                      [&](const Candidate& one) { return one.number == attempt; });
  if (candidate == connection.candidates.end()) return;
  if (!candidate->prove) return adopt_candidate(connection, attempt);
  std::string bytes;
  end_frame(bytes, begin_frame(bytes, '3'));
  candidate->stream->out().append(bytes);
  counters_.proofs += 1;
  candidate->stream->flush();
}

// Any valid frame proves that a server is there and responds.
void ShardServerPool::on_candidate_data(Connection& connection, int attempt) {
  const auto candidate = std::find_if(connection.candidates.begin(), connection.candidates.end(),
                                      [&](const Candidate& one) { return one.number == attempt; });
  if (candidate == connection.candidates.end()) return;
  net::RingBuffer& in = candidate->stream->in();
  while (!in.empty() && candidate->parser.state() == FrameParser::State::incomplete)
    in.consume(candidate->parser.feed(in.front()));
  if (candidate->parser.state() == FrameParser::State::malformed) {
    candidate->stream->close();
    return on_candidate_ended(connection, attempt, addresses::AttemptOutcome::reset_early);
  }
  if (candidate->parser.state() == FrameParser::State::complete) adopt_candidate(connection, attempt);
}

void ShardServerPool::on_candidate_ended(Connection& connection, int attempt,
                                         addresses::AttemptOutcome outcome) {
  if (!connection.race) return;
  log::event(log::Level::debug, "server.attempt_failed",
             {{"server", connection.server},
              {"connection", connection.number},
              {"attempt", attempt},
              {"how", name_of(outcome)}});
  address_book_.on_attempt_ended(*connection.race, attempt, outcome, loop_.now());
  discard_candidate(connection, attempt);
  if (!advance_race(connection)) return end_connection(connection, false);
  schedule_trials();
}

// Closes a candidate. Its stream is destroyed later, since one of the stream's callbacks may be running.
void ShardServerPool::discard_candidate(Connection& connection, int attempt) {
  const auto candidate = std::find_if(connection.candidates.begin(), connection.candidates.end(),
                                      [&](const Candidate& one) { return one.number == attempt; });
  if (candidate == connection.candidates.end()) return;
  candidate->stream->close();
  closed_streams_.push_back(std::move(candidate->stream));
  connection.candidates.erase(candidate);
}

void ShardServerPool::adopt_candidate(Connection& connection, int attempt) {
  const auto candidate = std::find_if(connection.candidates.begin(), connection.candidates.end(),
                                      [&](const Candidate& one) { return one.number == attempt; });
  // An address that the list has removed meanwhile is out of the race as well.
  if (rows_.contains(connection.server) && !address_book_.is_usable(connection.server, candidate->to))
    return on_candidate_ended(connection, attempt, addresses::AttemptOutcome::not_needed);
  address_book_.on_attempt_ended(*connection.race, attempt, addresses::AttemptOutcome::connected,
                                 loop_.now());
  address_book_.end_race(*connection.race);
  connection.race.reset();
  if (connection.race_timer) loop_.cancel(*connection.race_timer);
  connection.race_timer.reset();
  connection.winner = attempt;
  connection.address = candidate->to;
  connection.stream = std::move(candidate->stream);
  connection.candidates.erase(candidate);
  while (!connection.candidates.empty()) discard_candidate(connection, connection.candidates.front().number);
  connection.current = address_book_.is_usable(connection.server, connection.address);
  connection.last_heard = loop_.now();
  schedule_trials();
  write_next_frame(connection);
  if (!connection.ended && !connection.stream->in().empty()) on_data(connection);
}

// ---- trials ----

void ShardServerPool::schedule_trials() {
  if (trial_timer_) loop_.cancel(*trial_timer_);
  trial_timer_.reset();
  const auto at = address_book_.next_trial_time();
  if (!at) return;
  trial_timer_ = loop_.call_at(*at, [this] {
    trial_timer_.reset();
    destroy_closed();
    while (const auto trial = address_book_.next_trial(loop_.now())) start_trial(*trial);
    schedule_trials();
  });
}

// Without a free descriptor there is no trial now; no client is disconnected for one.
void ShardServerPool::start_trial(const addresses::Trial& spec) {
  net::Descriptor fd = net::start_connect(spec.to);
  if (!fd) {
    const bool local_cause = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    return address_book_.on_trial_ended(
        spec,
        local_cause ? addresses::AttemptOutcome::no_local_resources : addresses::AttemptOutcome::refused, {},
        loop_.now());
  }
  const std::uint64_t number = next_trial_++;
  auto owned = std::make_unique<Trial>();
  Trial* const trial = owned.get();
  trial->spec = spec;
  trial->started = loop_.now();
  trial->stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), false, 4096, 4096,
      net::Stream::Callbacks{[trial] {
                               std::string bytes;
                               end_frame(bytes, begin_frame(bytes, '3'));
                               trial->stream->out().append(bytes);
                               trial->stream->flush();
                             },
                             [this, trial, number] {
                               net::RingBuffer& in = trial->stream->in();
                               while (!in.empty() && trial->parser.state() == FrameParser::State::incomplete)
                                 in.consume(trial->parser.feed(in.front()));
                               if (trial->parser.state() == FrameParser::State::incomplete) return;
                               end_trial(number, trial->parser.state() == FrameParser::State::complete
                                                     ? addresses::AttemptOutcome::connected
                                                     : addresses::AttemptOutcome::reset_early);
                             },
                             nullptr,
                             [this, number](bool connected) {
                               end_trial(number, connected ? addresses::AttemptOutcome::reset_early
                                                           : addresses::AttemptOutcome::refused);
                             }});
  trial->expiry = loop_.call_at(loop_.now() + spec.limit, [this, number, trial] {
    end_trial(number, trial->stream->is_connected() ? addresses::AttemptOutcome::unresponsive
                                                    : addresses::AttemptOutcome::timed_out);
  });
  trials_.emplace(number, std::move(owned));
}

void ShardServerPool::end_trial(std::uint64_t number, addresses::AttemptOutcome outcome) {
  const auto at = trials_.find(number);
  if (at == trials_.end()) return;
  Trial& trial = *at->second;
  loop_.cancel(trial.expiry);
  trial.stream->close();
  log::event(log::Level::info, "server.address_tried",
             {{"server", trial.spec.server}, {"address", trial.spec.to.text()}, {"how", name_of(outcome)}});
  address_book_.on_trial_ended(trial.spec, outcome, loop_.now() - trial.started, loop_.now());
  ended_trials_.push_back(std::move(at->second));
  trials_.erase(at);
  schedule_trials();
}

std::size_t ShardServerPool::socket_count() const {
  std::size_t count = trials_.size();
  for (const auto& [number, connection] : connections_)
    count += connection->race ? connection->candidates.size() : 1;
  return count;
}

// Writes the next frame. The ring buffer holds one frame at a time, so that sends cancelled before their turn
// are never written, and so that on_drained marks the end of each frame.
void ShardServerPool::write_next_frame(Connection& connection) {
  while (connection.stream && !connection.stream->is_closed() && connection.writing.type == 0 &&
         !connection.queued_frames.empty()) {
    connection.writing = std::move(connection.queued_frames.front());
    connection.queued_frames.pop_front();
    std::string bytes;
    const std::size_t place = begin_frame(bytes, connection.writing.type);
    if (connection.writing.type == '1') {
      // A send that waited for the connection or behind another frame is not written if the server no longer
      // accepts sends, or if its start deadline (the dedupe window of a repeat) has passed.
      const bool server_accepts = accepts_sends(connection.server);
      std::erase_if(connection.writing.ids, [&](const std::string& id) {
        const auto send = connection.sends.find(id);
        if (send == connection.sends.end()) return true;
        if (server_accepts && loop_.now() < send->second.request.start_deadline) return false;
        finish_send(connection, id, SendOutcome::unused);
        return true;
      });
      for (const std::string& id : connection.writing.ids) {
        Connection::Send& send = connection.sends.at(id);
        send.stage = Connection::Stage::writing;
        send.progress_at = loop_.now();
        const auto left = std::max<std::int64_t>((send.request.deadline - loop_.now()) / 1ms, 1);
        append_part(bytes, id, send.request.shard, "d=" + std::to_string(left) + send.request.list_suffix,
                    *send.request.text);
      }
      if (!connection.writing.ids.empty()) counters_.calls += 1;
    } else if (connection.writing.type == '2') {
      bytes += connection.writing.ids.front();
    }
    if (connection.writing.type == '1' && connection.writing.ids.empty()) {
      connection.writing = {};
      continue;
    }
    end_frame(bytes, place);
    if (!check_invariant(connection.stream->out().append(bytes), "a frame fits its ring")) {
      close(connection, "frame too large to write");
      return;
    }
    connection.stream->flush();
  }
}

void ShardServerPool::on_frame_written(Connection& connection) {
  const Connection::QueuedFrame frame = std::exchange(connection.writing, {});
  if (frame.type == '1') {
    connection.last_used = loop_.now();
    for (const std::string& id : frame.ids) {
      Connection::Send& send = connection.sends.at(id);
      send.stage = Connection::Stage::written;
      send.progress_at = loop_.now();
      if (!send.ended) continue;
      connection.queued_frames.push_front({'2', {id}});
      connection.cancelled_ids[id] = send.request.deadline + settings_.max_route_timeout;
      connection.sends.erase(id);
    }
  } else if (frame.type == '4') {
    connection.probe_written = true;
  }
  write_next_frame(connection);
}

void ShardServerPool::on_data(Connection& connection) {
  if (loop_.now() - last_heard_ > 4 * settings_.tick && !pending_sends_.empty()) silent_until_ = loop_.now();
  last_heard_ = loop_.now();
  connection.last_heard = loop_.now();
  connection.responsive = true;
  if (!std::exchange(connection.has_responded, true))
    address_book_.on_response(connection.server, connection.address);
  net::RingBuffer& in = connection.stream->in();
  while (!connection.stream->is_closed() && !in.empty()) {
    in.consume(connection.parser.feed(in.front()));
    if (connection.parser.state() == FrameParser::State::malformed) {
      counters_.odd_frames += 1;
      return close(connection, "invalid frame");
    }
    if (connection.parser.state() != FrameParser::State::complete) {
      arm_frame_timeout(connection);
      continue;
    }
    Frame frame = std::move(connection.parser.frame());
    connection.parser.reset();
    on_frame(connection, frame);
  }
}

// A frame that stays incomplete makes its connection useless. The pending sends then end at once rather than
// at their own deadlines. The cost: a server that pauses in the middle of a frame loses that connection.
void ShardServerPool::arm_frame_timeout(Connection& connection) {
  if (std::exchange(connection.frame_timeout_armed, true)) return;
  const std::uint64_t number = connection.number;
  loop_.call_at(loop_.now() + settings_.connect_timeout, [this, number] {
    const auto at = connections_.find(number);
    if (at == connections_.end()) return;
    Connection& late = *at->second;
    late.frame_timeout_armed = false;
    if (!late.parser.has_started()) return;
    if (loop_.now() < late.last_heard + settings_.connect_timeout) return arm_frame_timeout(late);
    counters_.odd_frames += 1;
    close(late, "frame incomplete after the connect time-out");
  });
}

void ShardServerPool::on_frame(Connection& connection, Frame& frame) {
  if (frame.type == '5') {
    auto answer = parse_part_answer(frame, settings_.report_fields);
    if (!answer) {
      counters_.odd_frames += 1;
      return close(connection, "invalid answer");
    }
    const auto at = connection.sends.find(answer->id);
    if (at == connection.sends.end() || at->second.stage != Connection::Stage::written) {
      // The answer to a cancelled send may have crossed the cancel frame.
      if (connection.cancelled_ids.erase(answer->id) > 0) return;
      // Any other answer carries another part's id or is a duplicate: answers no longer match the sends, and
      // those pending here would wait in vain.
      counters_.odd_frames += 1;
      return close(connection, "answer for a part that is not pending");
    }
    const SendOutcome fate = answer->outcome == 'S'   ? SendOutcome::returned
                             : answer->outcome == 'E' ? SendOutcome::app_error
                                                      : SendOutcome::pushed_back;
    const std::string id = answer->id;
    finish_send(connection, id, fate, std::move(*answer));
    manage_idle(connection);
  } else if (frame.type == '4' && connection.probing && connection.probe_written) {
    if (frame.payload == "E") {
      finish_probe(connection, SendOutcome::app_error);
    } else {
      finish_probe(connection, SendOutcome::returned,
                   parse_load_report(frame.payload, settings_.report_fields));
    }
    manage_idle(connection);
  } else if (frame.type == 'X') {
    counters_.odd_frames += 1;
    close(connection, "the server rejected a frame");
  } else if (frame.type != '3' && frame.type != '4') {
    counters_.odd_frames += 1;
    close(connection, "frame type that shard servers do not send");
  }
}

// Ends a send that is pending on this connection.
void ShardServerPool::finish_send(Connection& connection, const std::string& id, SendOutcome fate,
                                  PartAnswer answer) {
  const auto at = connection.sends.find(id);
  Connection::Send send = std::move(at->second);
  connection.sends.erase(at);
  connection.last_used = loop_.now();
  if (send.ended) return;  // reported already
  loop_.cancel(send.expiry);
  pending_sends_.erase({send.request.part, send.request.send});
  report_result(send.request, fate, std::move(answer));
}

void ShardServerPool::report_result(const SendRequest& request, SendOutcome fate, PartAnswer answer) {
  static constexpr std::array<const char*, 8> kNames{"returned",    "app_error", "pushed_back", "expired",
                                                     "dial_failed", "dropped",   "revoked",     "unused"};
  if (fate != SendOutcome::returned)
    log::event(log::Level::debug, "send.ended",
               {{"part", request.id},
                {"send", request.send},
                {"fate", kNames[static_cast<std::size_t>(fate)]},
                {"after_ms", (loop_.now() - request.issued_at) / 1ms}});
  counters_.dial_failed += fate == SendOutcome::dial_failed ? 1 : 0;
  counters_.dropped += fate == SendOutcome::dropped ? 1 : 0;
  counters_.expired += fate == SendOutcome::expired ? 1 : 0;
  finished_sends.push_back({request.part, request.send, fate, loop_.now() - request.issued_at, answer.report,
                            answer.score, std::move(answer.value)});
}

void ShardServerPool::abandon_send(const SendKey& key, SendOutcome fate) {
  const auto at = pending_sends_.find(key);
  if (at == pending_sends_.end()) return;
  const auto [number, id] = at->second;
  Connection& connection = *connections_.at(number);
  Connection::Send& send = connection.sends.at(id);
  if (send.stage == Connection::Stage::queued) {
    finish_send(connection, id, SendOutcome::unused);  // never written
  } else if (send.stage == Connection::Stage::writing) {
    loop_.cancel(send.expiry);
    pending_sends_.erase(at);
    send.ended = true;
    check_silence(connection, send.progress_at);
    report_result(send.request, fate);
  } else {
    check_silence(connection, send.progress_at);
    connection.cancelled_ids[id] = send.request.deadline + settings_.max_route_timeout;
    finish_send(connection, id, fate);
    connection.queued_frames.push_back({'2', {id}});
    write_next_frame(connection);
  }
  manage_idle(connection);
}

// A machine that vanishes leaves its connections open and silent. Once a connection has been silent about a
// send or a probe for as long as the connect time-out, new sends use another connection. Opening one to a
// vanished machine fails, which proves that these sends never ran; without that proof non-retriable parts
// would be lost. The connection is used again when it responds. The cost: a server that is only slow gets a
// few more connections.
void ShardServerPool::check_silence(Connection& connection, Duration since) {
  if (connection.last_heard > since || loop_.now() - since < settings_.connect_timeout) return;
  if (std::exchange(connection.responsive, false) && !connection.has_responded) {
    address_book_.on_connection_failed(connection.server, connection.address,
                                       addresses::AttemptOutcome::unresponsive, loop_.now());
    schedule_trials();
  }
}

void ShardServerPool::finish_probe(Connection& connection, SendOutcome fate, LoadReport report) {
  if (!connection.probing) return;
  connection.probing = false;
  if (connection.probe_expiry) loop_.cancel(*connection.probe_expiry);
  connection.probe_expiry.reset();
  finished_probes.push_back({connection.server, fate, loop_.now() - connection.probe_at, report});
}

// Closes idle connections before the server may close them: a send written after the server's close is reset,
// and may have run for all that the gatherer can tell. An idle connection that is no longer wanted is closed
// at once. So is one whose server does not read the rest of a frame although all sends in it have ended,
// since nothing else would ever close it.
void ShardServerPool::manage_idle(Connection& connection) {
  if (connection.ended || connection.probing || connection.race) return;
  if (connection.writing.type != 0 && !is_wanted(connection) &&
      std::all_of(connection.sends.begin(), connection.sends.end(),
                  [](const auto& one) { return one.second.ended; }))
    return close(connection, "the server does not read a frame");
  if (!connection.sends.empty() || !connection.queued_frames.empty() || connection.writing.type != 0) return;
  if (!is_wanted(connection))
    return close(connection, connection.responsive ? "the server accepts no new sends" : "no response");
  if (connection.idle_expiry) return;
  const std::uint64_t number = connection.number;
  const Duration allowed =
      std::max(settings_.idle_timeout - settings_.connect_timeout, settings_.idle_timeout / 2);
  connection.idle_expiry = loop_.call_at(connection.last_used + allowed, [this, number, allowed] {
    const auto at = connections_.find(number);
    if (at == connections_.end()) return;
    Connection& idle = *at->second;
    idle.idle_expiry.reset();
    if (idle.sends.empty() && loop_.now() >= idle.last_used + allowed && !idle.probing) {
      close(idle, "idle");
    } else {
      manage_idle(idle);
    }
  });
}

void ShardServerPool::close(Connection& connection, const char* reason) {
  log::event(log::Level::debug, "server.connection_closed",
             {{"server", connection.server}, {"connection", connection.number}, {"why", reason}});
  if (connection.stream) connection.stream->close();
  end_connection(connection, connection.stream != nullptr);
}

void ShardServerPool::end_connection(Connection& connection, bool connected) {
  log::event(
      log::Level::debug, connected ? "server.connection_ended" : "server.not_connected",
      {{"server", connection.server}, {"connection", connection.number}, {"sends", connection.sends.size()}});
  connection.ended = true;
  for (auto* timer : {&connection.race_timer, &connection.idle_expiry}) {
    if (*timer) loop_.cancel(**timer);
    timer->reset();
  }
  if (connection.race) address_book_.end_race(*connection.race);
  connection.race.reset();
  while (!connection.candidates.empty()) discard_candidate(connection, connection.candidates.front().number);
  while (!connection.sends.empty()) {
    const auto& [id, send] = *connection.sends.begin();
    finish_send(connection, std::string(id),
                send.stage == Connection::Stage::written ? SendOutcome::dropped : SendOutcome::dial_failed);
  }
  finish_probe(connection, connection.probe_written ? SendOutcome::dropped : SendOutcome::dial_failed);
  const auto at = connections_.find(connection.number);
  if (at == connections_.end()) return;
  closed_connections_.push_back(std::move(at->second));
  connections_.erase(at);
  schedule_trials();
}

void ShardServerPool::destroy_closed() {
  closed_connections_.clear();
  ended_trials_.clear();
  closed_streams_.clear();
}

}  // namespace marbledyke::servers
