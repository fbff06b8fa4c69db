#include "carrier/carrier.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "log/log.h"

namespace marbledyke::carrier {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kMostIn = 1024 * 1024;
constexpr std::size_t kMostOut = 256 * 1024;
}  // namespace

struct Carrier::Link {
  std::uint64_t number = 0;
  std::string server;
  std::unique_ptr<Talk> talk;
  std::unique_ptr<net::Stream> stream;
  std::vector<net::Address> left;  // to be dialled, the next one last
  net::Address address;
  std::optional<Key> job;
  bool up = false, greeted = false, used = false, leaving = false, cancelling = false, ended = false;
  std::optional<net::Loop::Timer> limit, idle;
};

Carrier::Carrier(net::Loop& loop, const config::ServiceSettings& settings, MakeTalk make_talk,
                 std::function<bool()> make_room)
    : loop_(loop),
      settings_(settings),
      make_talk_(make_talk),
      make_room_(std::move(make_room)),
      leaving_(kLeavingHold) {}

Carrier::~Carrier() {
  for (const auto& [number, link] : links_) {
    if (link->limit) loop_.cancel(*link->limit);
    if (link->idle) loop_.cancel(*link->idle);
  }
  for (const auto& [key, job] : jobs_) {
    if (job.expiry) loop_.cancel(*job.expiry);
  }
}

void Carrier::serve(std::map<std::string, std::string, std::less<>> databases) {
  databases_ = std::move(databases);
}

void Carrier::bury() {
  graves_.clear();
  stream_graves_.clear();
}

// ---- membership ----

void Carrier::listed(const list::News& news) {
  if (news.whole) {
    for (auto& [name, known] : servers_) known.up = known.up && news.unreadable.contains(name);
  }
  for (const list::Entry& entry : news.entries) {
    const std::string& name = entry.row.server;
    if (!databases_.contains(name)) continue;
    Known& known = servers_[name];
    known.up = entry.row.status == ServerStatus::up;
    known.listed = entry.addresses;
    merge(name, known);
    if (known.up) leaving_.listed_up(name);
  }
  relist();
}

void Carrier::configure(std::map<std::string, addresses::Book::Configured, std::less<>> configured) {
  configured_ = std::move(configured);
  for (auto& [name, known] : servers_) merge(name, known);
  relist();
}

// The operator's come first: they are named for a reason.
void Carrier::merge(const std::string& name, Known& known) {
  std::vector<net::Address> all;
  const auto own = configured_.find(name);
  if (own != configured_.end()) all = own->second.addresses;
  if (own == configured_.end() || !own->second.instead) {
    for (const net::Address& address : known.listed) {
      if (std::find(all.begin(), all.end(), address) == all.end()) all.push_back(address);
    }
  }
  if (all == known.addresses) return;
  known.addresses = std::move(all);
  known.first = 0;
}

// What the news means for the connections that are open and for what waits for one.
void Carrier::relist() {
  // Idle connections to who takes nothing new are closed; what is out on others comes to its end there.
  std::vector<Link*> unwanted;
  for (const auto& [number, link] : links_) {
    const auto at = servers_.find(link->server);
    const bool its = at != servers_.end() && at->second.up &&
                     std::find(at->second.addresses.begin(), at->second.addresses.end(), link->address) !=
                         at->second.addresses.end();
    if (link->up && !its) link->leaving = true;
    if (link->leaving && !link->job) unwanted.push_back(link.get());
  }
  for (Link* link : unwanted) close(*link);
  std::vector<std::string> emptied;
  for (auto& [name, known] : servers_) {
    if (!known.up) {
      // Nothing new goes to it, and what waits for a connection has not run.
      for (const Key& key : std::exchange(known.waiting, {})) end(key, SendOutcome::dial_failed);
      emptied.push_back(name);
    }
  }
  for (const std::string& name : emptied) {
    const bool linked = std::any_of(links_.begin(), links_.end(),
                                    [&](const auto& one) { return one.second->server == name; });
    if (!linked) {
      servers_.erase(name);
      leaving_.gone(name);
    }
  }
}

// ---- parts ----

void Carrier::call(const std::string& server, std::vector<servers::Errand> errands) {
  for (servers::Errand& errand : errands) {
    const Key key{errand.part, errand.send};
    const Duration limit = errand.not_past;
    Job& job = jobs_[key];
    job.errand = std::move(errand);
    tally_.parts += 1;
    const auto at = servers_.find(server);
    if (at == servers_.end() || !at->second.up || at->second.waiting.size() >= kMostWaiting) {
      end(key, SendOutcome::dial_failed);
      continue;
    }
    if (!leaving_.takes(server, loop_.now())) {
      end(key, SendOutcome::pushed_back);
      continue;
    }
    job.expiry = loop_.at(limit, [this, key] {
      const auto late = jobs_.find(key);
      if (late == jobs_.end()) return;
      late->second.expiry.reset();
      give_up(key, when_late(late->second.stage));
    });
    at->second.waiting.push_back(key);
    next(server);
  }
}

// Gives what waits at a server to connections, as long as there are any that may have it.
void Carrier::next(const std::string& server) {
  const auto at = servers_.find(server);
  if (at == servers_.end()) return;
  std::deque<Key>& waiting = at->second.waiting;
  std::size_t coming = 0, open = 0;
  for (const auto& [number, link] : links_) {
    if (link->server != server) continue;
    open += 1;
    coming += link->up && link->talk->ready() ? 0 : link->job ? 0 : 1;
  }
  for (std::size_t i = 0; i < waiting.size();) {
    const Key key = waiting[i];
    const bool once = jobs_.at(key).errand.once;
    Link* best = nullptr;
    for (const auto& [number, link] : links_) {
      if (link->server == server && link->up && !link->leaving && !link->job && !link->cancelling &&
          link->talk->ready() && may_share(once, link->used))
        best = link.get();  // the newest: the others come to their idle end
    }
    if (best != nullptr) {
      waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(i));
      begin(*best, key);
      continue;
    }
    ++i;
    if (coming > 0) {
      coming -= 1;  // one is on its way for it
      continue;
    }
    if (!may_open(open, kMostLinks)) {
      // A used one that idles makes room for a fresh one.
      Link* spare = nullptr;
      for (const auto& [number, link] : links_) {
        if (link->server == server && link->up && !link->job) spare = link.get();
      }
      if (spare == nullptr) return;
      close(*spare);
      open -= 1;
    }
    if (!dial(server)) {
      // Neither a descriptor nor an address: it has not run, and another server may have it.
      waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(--i));
      end(key, SendOutcome::dial_failed);
      continue;
    }
    open += 1;
  }
}

bool Carrier::dial(const std::string& server) {
  const Known& known = servers_.at(server);
  auto made = std::make_unique<Link>();
  Link& link = *made;
  link.number = next_link_++;
  link.server = server;
  for (std::size_t i = known.addresses.size(); i-- > 0;)
    link.left.push_back(known.addresses[(known.first + i) % known.addresses.size()]);
  links_.emplace(link.number, std::move(made));
  tally_.opened += 1;
  if (next_address(link)) return true;
  close(link);
  return false;
}

// Begins to connect to the next address; false where none is left.
bool Carrier::next_address(Link& link) {
  if (link.limit) loop_.cancel(*link.limit);
  link.limit.reset();
  if (link.stream) {
    link.stream->close();
    stream_graves_.push_back(std::move(link.stream));
  }
  while (!link.left.empty()) {
    link.address = link.left.back();
    link.left.pop_back();
    net::Descriptor fd = net::start_connect(link.address);
    if (!fd && (errno == EMFILE || errno == ENFILE) && make_room_()) fd = net::start_connect(link.address);
    if (!fd) continue;
    const std::uint64_t number = link.number;
    link.stream = std::make_unique<net::Stream>(
        loop_, std::move(fd), false, kMostIn, kMostOut,
        net::Stream::Told{[this, &link] { came_up(link); }, [this, &link] { arrived(link); },
                          [this, &link] { drained(link); }, [this, &link](bool) { broke(link); }});
    link.limit = loop_.at(loop_.now() + settings_.connect_timeout, [this, number] {
      const auto at = links_.find(number);
      if (at == links_.end()) return;
      at->second->limit.reset();
      broke(*at->second);
    });
    return true;
  }
  return false;
}

// A connection that did not come up: the next address, or none is left. One that was up: its part's fate.
void Carrier::broke(Link& link) {
  if (link.ended || (!link.up && next_address(link))) return;
  if (link.job) {
    const Key key = *link.job;
    const Said said = link.talk->over();
    link.job.reset();
    if (said.what == Said::What::answered) {
      end(key, SendOutcome::returned, said.value);
    } else {
      end(key, when_broken(jobs_.at(key).stage));
    }
  }
  const std::string server = link.server;
  const bool dead = !link.greeted;
  close(link);
  const auto at = servers_.find(server);
  if (at == servers_.end()) return;
  // Those under way to the same addresses will fare no better than this one.
  const bool others = std::any_of(links_.begin(), links_.end(), [&](const auto& one) {
    return one.second->server == server && one.second->greeted;
  });
  if (!dead || others) return next(server);
  // Nothing comes up there: whatever waits has not run, and another server may have it.
  for (const Key& key : std::exchange(at->second.waiting, {})) end(key, SendOutcome::dial_failed);
}

void Carrier::came_up(Link& link) {
  link.up = true;
  if (Known& known = servers_[link.server]; !known.addresses.empty()) {
    const auto at = std::find(known.addresses.begin(), known.addresses.end(), link.address);
    if (at != known.addresses.end()) known.first = static_cast<std::size_t>(at - known.addresses.begin());
  }
  const std::string& database = databases_.find(link.server)->second;
  link.talk = make_talk_(link.server, database, link.address.text());
  const std::string hello = link.talk->hello();
  if (!hello.empty()) {
    // The time to connect has the greeting in it.
    link.stream->out().put(hello);
    link.stream->flush();
    return;
  }
  if (link.limit) loop_.cancel(*link.limit);
  link.limit.reset();
  free(link);
}

void Carrier::begin(Link& link, const Key& key) {
  Job& job = jobs_.at(key);
  const std::string request = link.talk->ask(*job.errand.text, job.errand.shard);
  if (request.empty()) {
    // Nothing has been written. Another server of the kind could do no more.
    std::string words = link.talk->declined();
    end(key, words.empty() ? SendOutcome::app_error : SendOutcome::returned, std::move(words));
    return;
  }
  if (link.idle) loop_.cancel(*link.idle);
  link.idle.reset();
  link.job = key;
  link.used = true;
  job.link = link.number;
  job.stage = Stage::writing;
  if (!link.stream->out().put(request)) return broke(link);
  link.stream->flush();
}

void Carrier::drained(Link& link) {
  if (!link.job || !link.stream->out().empty()) return;
  const auto at = jobs_.find(*link.job);
  if (at != jobs_.end() && at->second.stage == Stage::writing) at->second.stage = Stage::written;
}

void Carrier::arrived(Link& link) {
  net::Ring& in = link.stream->in();
  while (!link.ended && !link.stream->closed() && !in.empty()) {
    Said said;
    const std::size_t used = link.talk->take(in.front(), said);
    in.drop(used);
    switch (said.what) {
      case Said::What::nothing: {
        const std::string more = link.talk->more();
        if (!more.empty()) {
          link.stream->out().put(more);
          link.stream->flush();
        }
        if (used == 0) return;
        break;
      }
      case Said::What::ready:
        if (link.limit) loop_.cancel(*link.limit);
        link.limit.reset();
        link.cancelling = false;
        free(link);
        break;
      case Said::What::answered:
      case Said::What::refused:
      case Said::What::failed: {
        if (!link.job) {
          // An answer to what was given up.
          link.cancelling = false;
          free(link);
          break;
        }
        const Key key = *link.job;
        link.job.reset();
        end(key,
            said.what == Said::What::answered  ? SendOutcome::returned
            : said.what == Said::What::refused ? SendOutcome::pushed_back
                                               : SendOutcome::app_error,
            std::move(said.value));
        if (!link.ended) free(link);
        break;
      }
      case Said::What::leaving:
        tally_.closed_by_server += 1;
        leaving_.said(link.server, loop_.now());
        link.leaving = true;
        log::event(log::Level::info, "carrier.server_leaves", {{"server", link.server}, {"why", said.why}});
        return broke(link);
      case Said::What::broken: {
        tally_.out_of_step += 1;
        static log::RateLimitedEvent throttled(log::Level::warning, "carrier.out_of_step");
        throttled.write({{"server", link.server}, {"why", said.why}});
        return broke(link);
      }
    }
  }
}

// It carries nothing: the next part, or a while in reserve.
void Carrier::free(Link& link) {
  link.greeted = true;
  if (link.leaving) {
    const std::string server = link.server;
    close(link);
    return next(server);
  }
  const std::uint64_t number = link.number;
  if (link.idle) loop_.cancel(*link.idle);
  link.idle = loop_.at(loop_.now() + settings_.idle_timeout / 2, [this, number] {
    const auto at = links_.find(number);
    if (at == links_.end() || at->second->job) return;
    at->second->idle.reset();
    close(*at->second);
  });
  next(link.server);
}

void Carrier::close(Link& link) {
  if (std::exchange(link.ended, true)) return;
  if (link.limit) loop_.cancel(*link.limit);
  if (link.idle) loop_.cancel(*link.idle);
  link.limit.reset();
  link.idle.reset();
  if (link.stream) {
    if (link.up && link.talk && !link.stream->closed()) {
      const std::string goodbye = link.talk->goodbye();
      if (!goodbye.empty() && link.stream->out().put(goodbye)) link.stream->flush();
    }
    link.stream->close();
  }
  const auto at = links_.find(link.number);
  graves_.push_back(std::move(at->second));
  links_.erase(at);
}

// ---- ends ----

// The one place where a part gets its fate.
void Carrier::end(const Key& key, SendOutcome fate, std::string value) {
  const auto at = jobs_.find(key);
  if (!check_invariant(at != jobs_.end(), "a part on a carrier has one fate")) return;
  if (at->second.expiry) loop_.cancel(*at->second.expiry);
  servers::Ended out;
  out.part = key.first;
  out.send = key.second;
  out.fate = fate;
  out.elapsed = loop_.now() - at->second.errand.pulled;
  out.score = 1;
  out.value = std::move(value);
  jobs_.erase(at);
  std::uint64_t* const counts[] = {&tally_.answered,      &tally_.failed,  &tally_.refused, &tally_.expired,
                                   &tally_.not_connected, &tally_.dropped, &tally_.revoked, &tally_.unused};
  *counts[static_cast<std::size_t>(fate)] += 1;
  ended.push_back(std::move(out));
}

void Carrier::give_up(const Key& key, SendOutcome fate) {
  Job& job = jobs_.at(key);
  const auto at = links_.find(job.link);
  if (job.link == 0 || at == links_.end()) {
    for (auto& [name, known] : servers_) std::erase(known.waiting, key);
    return end(key, fate);
  }
  Link& link = *at->second;
  const Stage stage = job.stage;
  link.job.reset();
  end(key, fate);
  // A request that is partly written cannot be taken back on a connection that lives on.
  const std::string cancel = stage == Stage::written ? link.talk->cancel() : std::string();
  if (cancel.empty() || !link.stream->out().put(cancel)) {
    const std::string server = link.server;
    close(link);
    return next(server);
  }
  tally_.cancelled += 1;
  link.cancelling = true;
  link.stream->flush();
  // A cancel that is not answered soon is no better than silence.
  const std::uint64_t number = link.number;
  link.limit = loop_.at(loop_.now() + settings_.connect_timeout, [this, number] {
    const auto still = links_.find(number);
    if (still == links_.end()) return;
    still->second->limit.reset();
    const std::string server = still->second->server;
    close(*still->second);
    next(server);
  });
}

bool Carrier::withdraw(const RequestId& part, int send) {
  const auto at = jobs_.find({part, send});
  if (at == jobs_.end()) return false;
  give_up(at->first, when_withdrawn(at->second.stage));
  return true;
}

// These protocols have no word for load: whether the server is there is what can be told.
void Carrier::probe(const std::string& server) {
  servers::Probed out;
  out.server = server;
  const auto at = servers_.find(server);
  out.fate = at != servers_.end() && at->second.up && leaving_.takes(server, loop_.now())
                 ? SendOutcome::returned
                 : SendOutcome::dial_failed;
  probed.push_back(std::move(out));
}

}  // namespace marbledyke::carrier
