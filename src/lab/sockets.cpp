#include "lab/sockets.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <system_error>
#include <vector>

#include "standins/catalogue.h"
#include "standins/discovery.h"
#include "standins/leaf.h"
#include "standins/load.h"
#include "standins/process.h"

namespace marbledyke::lab {
namespace {

using namespace std::chrono_literals;
using namespace standins;
using nlohmann::json;

constexpr int kShards = 8;
constexpr int kRecords = 240;  // of the searchable sample
constexpr Duration kReadyWithin = 10s;

class Signals final : public net::EventHandler {
 public:
  explicit Signals(net::Loop& loop) : loop_(loop) {
    sigset_t which;
    sigemptyset(&which);
    for (const int one : {SIGTERM, SIGINT, SIGHUP, SIGCHLD}) sigaddset(&which, one);
    sigprocmask(SIG_BLOCK, &which, nullptr);
    signal(SIGPIPE, SIG_IGN);
    fd_ = net::Descriptor(signalfd(-1, &which, SFD_NONBLOCK | SFD_CLOEXEC));
    place_ = loop_.watch(fd_.get(), *this);
  }
  ~Signals() override { loop_.unwatch(fd_.get(), place_); }
  void on_ready(bool, bool) override {
    signalfd_siginfo info{};
    while (read(fd_.get(), &info, sizeof info) == sizeof info)
      (info.ssi_signo == SIGCHLD ? child : stop) = true;
  }
  bool stop = false, child = false;

 private:
  net::Loop& loop_;
  net::Descriptor fd_;
  std::uint32_t place_ = 0;
};

// Shard servers and discovery in this process, the gatherer as a child that ends with it.
class Installation {
 public:
  Installation(net::Loop& loop, const UpOptions& options)
      : loop_(loop),
        discovery_at_(free_address(net::Family::ip4, 1)),
        discovery_(loop, discovery_at_),
        gatherer_at_(free_address(net::Family::ip4, 2)),
        sru_at_(free_address(net::Family::ip4, 3)),
        z3950_at_(free_address(net::Family::ip4, 4)),
        catalogue_(kRecords, kShards) {
    LeafOptions leaf;
    leaf.service = std::chrono::milliseconds(options.service_ms);
    leaf.spread = options.service_ms > 0;
    for (int i = 0; i < options.servers; ++i) {
      leaves_.push_back(std::make_unique<Leaf>(loop, leaf, static_cast<std::uint32_t>(i + 1)));
      leaves_.back()->value = [this](const std::string& text, int shard) {
        return catalogue_.answer(text, shard);
      };
      const net::Address address = free_address(net::Family::ip4, static_cast<std::uint32_t>(10 + i));
      if (leaves_.back()->listen(address) < 0)
        throw std::system_error(errno, std::generic_category(), address.text());
      Listed listed;
      listed.name = "leaf-" + std::to_string(i);
      listed.address = address.text();
      listed_.push_back(listed);
      discovery_.set(listed);
    }
    const std::string file = child_.put("operator.xml", search_file(sru_at_.text(), z3950_at_.text()));
    child_.start(
        configuration("lab", gatherer_at_, discovery_at_, discovery_.body(-1), plain_settings(kShards)),
        {"--operator", file}, "marbledyke-search");
  }

  Installation(const Installation&) = delete;
  Installation& operator=(const Installation&) = delete;

  const net::Address& gatherer() const { return gatherer_at_; }
  bool gatherer_ended() { return child_.ended(); }

  // Answers whether the gatherer serves, by its health call.
  void when_ready(std::function<void(bool)> told) {
    told_ = std::move(told);
    ready_by_ = loop_.now() + kReadyWithin;
    ask_health();
  }

  std::string line() const {
    return json{{"gatherer", gatherer_at_.text()},
                {"discovery", discovery_at_.text()},
                {"sru", sru_at_.text()},
                {"z3950", z3950_at_.text()},
                {"database", "clauses"},
                {"op_type", "look"},
                {"shards", kShards},
                {"servers", leaves_.size()},
                {"gatherer_pid", child_.pid()}}
        .dump();
  }

  // Its process dies; discovery finds out after a second.
  void kill_server(std::size_t i) {
    leaves_[i]->set(0, Door::refuses);
    leaves_[i]->cut_all();
    loop_.call_at(loop_.now() + 1s, [this, i] {
      if (leaves_[i]->door(0) != Door::refuses) return;
      listed_[i].status = "gone";
      discovery_.set(listed_[i]);
    });
  }
  void return_server(std::size_t i) {
    leaves_[i]->set(0, Door::open);
    listed_[i].status = "ready";
    listed_[i].since_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
    discovery_.set(listed_[i]);
  }
  std::uint64_t parts(std::size_t i) const { return leaves_[i]->tally().parts; }
  std::size_t servers() const { return leaves_.size(); }

 private:
  void ask_health() {
    health_.reset();
    if (gatherer_ended() || loop_.now() > ready_by_) return told_(false);
    const auto again = [this] { loop_.call_at(loop_.now() + 50ms, [this] { ask_health(); }); };
    net::Descriptor fd = net::start_connect(gatherer_at_);
    if (!fd) return again();
    health_ = std::make_unique<net::Stream>(
        loop_, std::move(fd), false, 4096, 4096,
        net::Stream::Callbacks{
            [this] {
              health_->out().append("GET /healthz HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
              health_->flush();
            },
            [this] {
              const bool fine = health_->in().front().starts_with("HTTP/1.1 200");
              health_->close();
              loop_.call_at(loop_.now(), [this, fine] { fine ? told_(true) : ask_health(); });
            },
            nullptr, [again](bool) { again(); }});
  }

  net::Loop& loop_;
  net::Address discovery_at_;
  Discovery discovery_;
  net::Address gatherer_at_, sru_at_, z3950_at_;
  Catalogue catalogue_;
  std::vector<std::unique_ptr<Leaf>> leaves_;
  std::vector<Listed> listed_;
  Gatherer child_;
  std::unique_ptr<net::Stream> health_;
  std::function<void(bool)> told_;
  Duration ready_by_{};
};

void progress(net::Loop& loop, const Load& load) {
  loop.call_at(loop.now() + 1s, [&loop, &load] {
    if (!load.running()) return;
    const Load::Tally& t = load.tally();
    std::fprintf(stderr, "%3lld s  due %llu  answered %llu  pushed back %llu  failed %llu  99th %.1f ms\n",
                 static_cast<long long>((loop.now() - load.begun()) / 1s),
                 static_cast<unsigned long long>(t.due), static_cast<unsigned long long>(t.answered),
                 static_cast<unsigned long long>(t.pushed_back),
                 static_cast<unsigned long long>(t.failed + t.timed_out + t.cut),
                 static_cast<double>(load.latencies().at(0.99).count()) / 1000);
    progress(loop, load);
  });
}

int refused(const std::exception& why) {
  std::cerr << "marbledyke-lab: " << why.what() << '\n';
  return 1;
}

}  // namespace

std::string search_file(const std::string& sru, const std::string& z3950, const std::string& more) {
  return R"(<?xml version="1.0" encoding="UTF-8"?>
<marbledyke xmlns="urn:marbledyke:operator:1">
  <search>
    <listen protocol="sru" address=")" +
         sru + R"("/>
    <listen protocol="z3950" address=")" +
         z3950 + R"("/>
)" + more +
         R"(    <database name="clauses" title="Clauses" op-type="look" deadline="2s">
      <schema name="dc" identifier="info:srw/schema/1/dc-v1.1"/>
      <index name="dc.title" title="Title" use="4"/>
      <index name="dc.creator" title="Author" use="1003"/>
      <index name="dc.subject" title="Subject" use="21"/>
      <index name="dc.date" title="Date" use="30"/>
      <index name="dc.identifier" title="Number" use="12"/>
      <index name="order.issue" title="Order, once" use="8000" op-type="issue" scan="false" sort="false"/>
    </database>
  </search>
</marbledyke>
)";
}

int up(const UpOptions& options) {
  try {
    net::Loop loop;
    loop.read_clock();
    Signals signals(loop);
    Installation installation(loop, options);
    int status = 0;
    bool running = true;
    installation.when_ready([&](bool ready) {
      if (ready) {
        std::cout << installation.line() << std::endl;
        return;
      }
      std::cerr << "marbledyke-lab: the gatherer did not come up\n";
      status = 1;
      running = false;
    });
    while (running && !signals.stop) {
      loop.run_once();
      if (std::exchange(signals.child, false) && installation.gatherer_ended()) {
        std::cerr << "marbledyke-lab: the gatherer ended\n";
        status = 1;
        running = false;
      }
    }
    return status;
  } catch (const std::exception& why) {
    return refused(why);
  }
}

int load(const LoadOptions& options) {
  try {
    const auto to = net::parse_address(options.to);
    if (!to) throw std::runtime_error("--to: not an address with a port: " + options.to);
    net::Loop loop;
    loop.read_clock();
    Signals signals(loop);
    Load clients(loop, *to, options);
    progress(loop, clients);
    while (clients.running() && !signals.stop) loop.run_once();
    std::cout << clients.result() << std::endl;
    return clients.tally().answered > 0 ? 0 : 1;
  } catch (const std::exception& why) {
    return refused(why);
  }
}

int demo(const UpOptions& up_options, const LoadOptions& load_options) {
  try {
    net::Loop loop;
    loop.read_clock();
    Signals signals(loop);
    Installation installation(loop, up_options);
    std::optional<bool> ready;
    installation.when_ready([&](bool is) { ready = is; });
    while (!ready && !signals.stop) loop.run_once();
    if (!ready.value_or(false)) throw std::runtime_error("the gatherer did not come up");
    std::cout << installation.servers() << " shard servers, discovery and a gatherer at "
              << installation.gatherer().text() << "; " << load_options.rate << " multigets a second for "
              << load_options.seconds << " s\n";
    LoadOptions options = load_options;
    options.shards = kShards;
    Load clients(loop, installation.gatherer(), options);
    progress(loop, clients);
    const Duration third = std::chrono::seconds(options.seconds) / 3;
    loop.call_at(loop.now() + third, [&] {
      std::cout << "leaf-0 is killed" << std::endl;
      installation.kill_server(0);
    });
    loop.call_at(loop.now() + 2 * third, [&] {
      std::cout << "leaf-0 is back, cold" << std::endl;
      installation.return_server(0);
    });
    while (clients.running() && !signals.stop && !installation.gatherer_ended()) loop.run_once();
    for (std::size_t i = 0; i < installation.servers(); ++i)
      std::cout << "leaf-" << i << " ran " << installation.parts(i) << " parts\n";
    std::cout << clients.result() << std::endl;
    return clients.tally().answered > 0 ? 0 : 1;
  } catch (const std::exception& why) {
    return refused(why);
  }
}

}  // namespace marbledyke::lab
