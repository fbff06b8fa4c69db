#include "distribution/node.h"

#include <algorithm>
#include <array>
#include <deque>

#include "config/fields.h"
#include "distribution/acceptor.h"
#include "distribution/node_report.h"
#include "distribution/node_state.h"
#include "distribution/publisher.h"
#include "distribution/receiver_client.h"
#include "log/log.h"
#include "net/json_server.h"

namespace marbledyke::distribution {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::size_t kMostOthers = 64;            // connections of tools and peers, beside the receivers'
constexpr std::size_t kMostMessage = 128 * 1024;   // an accept may hold two revisions at their largest
constexpr Duration kOwnLimit = kLongestWait + 5s;  // the publisher answers every call before this
constexpr Duration kWriteRetry = 1s;               // after a revision of a peer could not be written
constexpr std::size_t kAnswersATurn = 64;          // other callers are heard between these

std::string path_of(const std::string& target) { return target.substr(0, target.find('?')); }

net::JsonReply error_reply(int status, const std::string& why) {
  return {status, json{{"error", why}}.dump(-1, ' ', false, json::error_handler_t::replace)};
}

net::JsonReply reply_of(const json& body) {
  return {200, body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

// Names go into the query of a call, where they are read by the same rule.
void check_name(const std::string& name, const char* option) {
  WatchCall call;
  call.receiver = name;
  try {
    read_watch_call(query_of(call));
  } catch (const config::BadInput&) {
    throw config::BadInput(std::string(option) + ": letters, digits and ._:- , 1 to 64 of them: " + name);
  }
}

const NodeOptions& checked(const NodeOptions& options) {
  check_name(options.name, "--name");
  check_name(options.region, "--region");
  return options;
}

}  // namespace

struct Node::Inside {
  using Caller = net::JsonServer::ConnectionId;
  // None: answered later.
  using MaybeReply = std::optional<net::JsonReply>;
  struct Route {
    const char* method;
    const char* path;
    MaybeReply (Inside::*handle)(Caller caller, const net::JsonRequest& request);
  };

  Inside(net::Loop& its_loop, disk::Disk& disk, const NodeOptions& its_options);
  ~Inside();

  void asked(Caller caller, const net::JsonRequest& request);
  MaybeReply routed(Caller caller, const net::JsonRequest& request);
  MaybeReply watch(Caller caller, const net::JsonRequest& request);
  MaybeReply prepare(Caller caller, const net::JsonRequest& request);
  MaybeReply accept(Caller caller, const net::JsonRequest& request);
  MaybeReply learn(Caller caller, const net::JsonRequest& request);
  MaybeReply tell_state(Caller caller, const net::JsonRequest& request);
  MaybeReply tell_status(Caller caller, const net::JsonRequest& request);
  MaybeReply tell_receivers(Caller caller, const net::JsonRequest& request);

  net::JsonReply take(const Step& step);
  void publish();
  void follow(std::size_t peer, const Revision& revision);
  void note_refusal(const WatchCall& call);
  void answer_due();
  const std::string& text_of(const Revision& revision);

  net::Loop& loop;
  NodeOptions options;
  NodeState state;
  Acceptor acceptor;
  Publisher publisher;
  std::unique_ptr<net::JsonServer> server;
  std::vector<std::unique_ptr<ReceiverClient>> followers;  // of the peers, in their order
  std::vector<std::optional<net::Loop::Timer>> retries;    // of each follower
  std::optional<net::Loop::Timer> wake;
  bool answering = false;
  std::int64_t text_index = 0;  // of text
  std::string text;             // the revision that was given last, as it is written to all
  log::RateLimitedEvent bad_request{log::Level::warning, "control.bad_request"};
};

Node::Inside::Inside(net::Loop& its_loop, disk::Disk& disk, const NodeOptions& its_options)
    : loop(its_loop),
      options(checked(its_options)),
      state(disk, options.folder, options.fleet),
      acceptor(options.fleet),
      retries(options.peers.size()) {
  loop.read_clock();
  publisher.tick(loop.now());
  publish();
  server = std::make_unique<net::JsonServer>(
      loop, options.listen, net::JsonServer::Limits{kMostReceivers + kMostOthers, kMostMessage, kOwnLimit},
      net::JsonServer::Callbacks{
          [this](Caller caller, const net::JsonRequest& request) { asked(caller, request); },
          [this](Caller caller) { publisher.left(caller); }});
  const std::string follower_name = ("node:" + options.name).substr(0, kMostName);
  std::optional<Revision> held;
  if (state.now().chosen.index > 0) held = state.now().chosen;
  for (std::size_t i = 0; i < options.peers.size(); ++i) {
    followers.push_back(std::make_unique<ReceiverClient>(
        loop, Receiver::Identity{follower_name, options.region, options.fleet, CallerRole::node},
        std::vector<net::Address>{options.peers[i]}, 1, held, options.seed + static_cast<std::uint32_t>(i),
        [this, i](const Revision& revision) { follow(i, revision); }));
  }
}

Node::Inside::~Inside() {
  if (wake) loop.cancel(*wake);
  for (const auto& retry : retries) {
    if (retry) loop.cancel(*retry);
  }
}

// ---- requests ----

void Node::Inside::asked(Caller caller, const net::JsonRequest& request) {
  publisher.tick(loop.now());
  MaybeReply reply;
  try {
    reply = routed(caller, request);
  } catch (const config::BadInput& wrong) {
    bad_request.write({{"path", path_of(request.target).substr(0, kMostName)}, {"why", wrong.what()}});
    reply = error_reply(400, wrong.what());
  }
  if (reply) server->send_reply(caller, *reply);
  answer_due();
}

Node::Inside::MaybeReply Node::Inside::routed(Caller caller, const net::JsonRequest& request) {
  static constexpr std::array<Route, 7> kRoutes{{
      {"GET", "/v1/configuration", &Inside::watch},
      {"POST", "/v1/configuration/prepare", &Inside::prepare},
      {"POST", "/v1/configuration/accept", &Inside::accept},
      {"POST", "/v1/configuration/learn", &Inside::learn},
      {"GET", "/v1/configuration/state", &Inside::tell_state},
      {"GET", "/v1/configuration/status", &Inside::tell_status},
      {"GET", "/v1/configuration/receivers", &Inside::tell_receivers},
  }};
  const std::string path = path_of(request.target);
  for (const Route& route : kRoutes) {
    if (path != route.path) continue;
    if (request.method != route.method)
      return error_reply(405, "not by " + request.method.substr(0, kMostName));
    return (this->*route.handle)(caller, request);
  }
  return error_reply(404, "no such page");
}

Node::Inside::MaybeReply Node::Inside::watch(Caller caller, const net::JsonRequest& request) {
  const WatchCall call = read_watch_call(request.target);
  note_refusal(call);
  if (!publisher.called(caller, call)) return error_reply(503, "too many receivers");
  return std::nullopt;
}

Node::Inside::MaybeReply Node::Inside::prepare(Caller, const net::JsonRequest& request) {
  return take(acceptor.prepare(state.now(), read_prepare(config::parse(request.body))));
}

Node::Inside::MaybeReply Node::Inside::accept(Caller, const net::JsonRequest& request) {
  return take(acceptor.accept(state.now(), read_accept(config::parse(request.body))));
}

Node::Inside::MaybeReply Node::Inside::learn(Caller, const net::JsonRequest& request) {
  return take(acceptor.learn(state.now(), read_revision(config::parse(request.body))));
}

// The state is on disk before anybody is told of the step, a receiver as little as the proposer.
net::JsonReply Node::Inside::take(const Step& step) {
  if (!state.become(step.next)) return error_reply(503, "the state could not be written");
  publish();
  return reply_of(put(step.reply));
}

Node::Inside::MaybeReply Node::Inside::tell_state(Caller, const net::JsonRequest&) {
  return reply_of(report_of(state.now(), options.fleet));
}

Node::Inside::MaybeReply Node::Inside::tell_status(Caller, const net::JsonRequest&) {
  json out = report_of(publisher.summary());
  out["name"] = options.name;
  out["region"] = options.region;
  out["fleet"] = options.fleet;
  out["connections"] = server->connection_count();
  out["waiting"] = publisher.waiting();
  out["writes"] = state.writes();
  out["write_failures"] = state.failures();
  json peers = json::array();
  for (std::size_t i = 0; i < followers.size(); ++i)
    peers.push_back(report_of(options.peers[i], followers[i]->receiver()));
  out["peers"] = std::move(peers);
  return reply_of(out);
}

Node::Inside::MaybeReply Node::Inside::tell_receivers(Caller, const net::JsonRequest&) {
  return reply_of(report_of(publisher.receivers(), loop.now()));
}

// ---- revisions ----

void Node::Inside::publish() {
  const Revision& chosen = state.now().chosen;
  if (chosen.index <= publisher.newest()) return;
  log::event(log::Level::info, "control.learned", {{"index", chosen.index}, {"digest", chosen.digest}});
  publisher.chosen(chosen);
}

// What a peer has that this node missed. While it cannot be written it is not in force here, and tried again.
void Node::Inside::follow(std::size_t peer, const Revision& revision) {
  retries[peer].reset();
  publisher.tick(loop.now());
  const Step step = acceptor.learn(state.now(), revision);
  if (step.reply.kind == ReplyKind::refused) {
    log::event(log::Level::error, "control.peer_contradicts",
               {{"peer", options.peers[peer].text()}, {"index", revision.index}, {"why", step.reply.why}});
    return followers[peer]->refused(step.reply.why);
  }
  if (!state.become(step.next)) {
    retries[peer] =
        loop.call_at(loop.now() + kWriteRetry, [this, peer, revision] { follow(peer, revision); });
    return;
  }
  publish();
  followers[peer]->applied();
  answer_due();
}

void Node::Inside::note_refusal(const WatchCall& call) {
  if (call.role != CallerRole::receiver || call.refused == 0) return;
  const auto known = publisher.receivers().find(call.receiver);
  if (known != publisher.receivers().end() && known->second.refused >= call.refused) return;
  log::event(log::Level::warning, "control.receiver_refuses",
             {{"receiver", call.receiver}, {"index", call.refused}, {"why", call.refused_why}});
}

// All receivers are given a revision in one form, so it is written out once.
const std::string& Node::Inside::text_of(const Revision& revision) {
  if (text_index != revision.index) {
    text = put(revision).dump();
    text_index = revision.index;
  }
  return text;
}

void Node::Inside::answer_due() {
  if (answering) return;
  answering = true;
  std::size_t answered = 0;
  for (; answered < kAnswersATurn; ++answered) {
    const auto due = publisher.next();
    if (!due) break;
    std::string body = "{\"newest\":" + std::to_string(due->answer.newest);
    if (due->answer.revision) body += ",\"revision\":" + text_of(*due->answer.revision);
    server->send_reply(due->caller, {200, body + "}"});
  }
  answering = false;
  std::optional<Duration> next = publisher.wakes();
  if (answered == kAnswersATurn) next = loop.now();
  if (wake) loop.cancel(*wake);
  wake.reset();
  if (!next) return;
  wake = loop.call_at(std::max(*next, loop.now()), [this] {
    wake.reset();
    publisher.tick(loop.now());
    answer_due();
  });
}

Node::Node(net::Loop& loop, disk::Disk& disk, const NodeOptions& options)
    : inside_(std::make_unique<Inside>(loop, disk, options)) {}

Node::~Node() = default;

}  // namespace marbledyke::distribution
