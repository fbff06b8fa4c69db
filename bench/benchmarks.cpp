// Benchmarks of the decision engine, the parsers, the ring buffer and the address selection. `bench/run` runs
// all of them and divides each time by that of `reference`, a fixed piece of work in the same run. The ratios
// are kept and compared, because machines differ.
#include <benchmark/benchmark.h>

#include <cstdio>
#include <string>

#include "addresses/address_book.h"
#include "clients/multiget_request.h"
#include "decision_engine.h"
#include "net/http.h"
#include "net/ring_buffer.h"
#include "scenario/scenario.h"
#include "servers/frames.h"

using namespace marbledyke;
using namespace std::chrono_literals;

namespace {

void reference(benchmark::State& state) {
  std::uint64_t x = 1;
  for (auto _ : state) {
    for (int i = 0; i < 1000; ++i) {
      x ^= x >> 30;
      x *= 0xbf58476d1ce4e5b9ULL;
    }
    benchmark::DoNotOptimize(x);
  }
}
BENCHMARK(reference);

RequestId part_id(std::uint32_t number, std::size_t piece) {
  RequestId out;
  char digits[17];
  std::snprintf(digits, sizeof digits, "%08x0000%04x", number, static_cast<unsigned>(piece));
  std::copy_n(digits, 16, out.text.begin());
  return out;
}

// A multiget in the decision engine from its arrival over placement and the return of all parts to the reply.
// Arguments: servers in the list, parts per multiget. Items are parts.
void module_multiget(benchmark::State& state) {
  const auto servers = static_cast<int>(state.range(0));
  const auto part_count = static_cast<std::size_t>(state.range(1));
  scenario::Scenario s;
  s.fleet.servers = servers;
  s.fleet.cells = std::max(1, servers / 12);
  s.fleet.shards = 128;
  s.op_types[0].parts = static_cast<int>(part_count);
  DecisionEngine engine(scenario::terms_of(s, 0), 1);
  Duration now{};
  engine.advance_clock(now);
  engine.on_list_begin(true, false);
  for (int i = 0; i < servers; ++i) {
    ListEntry entry;
    entry.server = "s" + std::to_string(i);
    entry.cell = i % s.fleet.cells;
    engine.on_list_entry(entry);
  }
  engine.on_list_complete();
  std::uint32_t number = 0;
  std::vector<RequestId> sent;
  for (auto _ : state) {
    now += 10ms;
    ++number;
    engine.advance_clock(now);
    engine.on_multiget_received(
        {part_id(number, 0), static_cast<double>(number), 0, 0, static_cast<int>(part_count), now + 2s});
    for (std::size_t i = 0; i < part_count; ++i)
      engine.on_part_received({part_id(number, i + 1), static_cast<double>(number),
                               static_cast<int>((number + i * 3) % 128),
                               1.0 / static_cast<double>(part_count), 0, 20ms});
    const auto pull_decisions = [&] {
      while (engine.next_reply()) {
      }
      while (engine.next_cancellation()) {
      }
      sent.clear();
      while (const auto send = engine.next_send()) sent.push_back(send->part);
      while (engine.next_probe()) {
      }
      while (engine.next_list_call()) {
      }
      while (engine.next_wake_delay()) {
      }
    };
    pull_decisions();
    now += 20ms;
    engine.advance_clock(now);
    for (const RequestId& part : std::vector<RequestId>(sent))
      engine.on_send_ended(part, 0, SendOutcome::returned, 20ms, {});
    pull_decisions();
  }
  state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(part_count));
}
BENCHMARK(module_multiget)->ArgsProduct({{16, 256, 4096, 40000}, {1, 6, 64}});

void http_request(benchmark::State& state) {
  const std::string body =
      R"({"slices":[{"slice":3,"mass":0.5},{"slice":9,"mass":0.5}],"filter":"c41e77d0"})";
  const std::string text =
      "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nX-Class: look\r\n"
      "X-Tenant: acme\r\nX-Deadline-Ms: 480\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  net::HttpParser reader(net::HttpParser::Kind::request, 64 * 1024);
  for (auto _ : state) {
    reader.reset();
    benchmark::DoNotOptimize(reader.feed(text));
    if (reader.state() != net::HttpParser::State::complete) state.SkipWithError("not read");
  }
}
BENCHMARK(http_request);

void ask(benchmark::State& state) {
  net::HttpMessage message;
  message.method_or_version = "POST";
  message.headers = {{"x-request-id", "9b1f03aa5c7e2d41"}, {"x-class", "look"}, {"x-deadline-ms", "480"}};
  message.body = R"({"slices":[{"slice":3,"mass":0.5},{"slice":9,"mass":0.5}],"filter":"c41e77d0"})";
  config::ServiceSettings settings;
  settings.op_types.push_back({"look", 0, false});
  settings.shards = 16;
  for (auto _ : state) {
    auto read = clients::parse_multiget(message, settings);
    benchmark::DoNotOptimize(read);
    if (read.index() != 0) state.SkipWithError("not read");
  }
}
BENCHMARK(ask);

void frame(benchmark::State& state) {
  std::string bytes;
  const std::size_t place = servers::begin_frame(bytes, '5');
  bytes += "9b1f03aa5c7e2d41.3 S 1840277719 inflight=7,util=0.61\n" +
           std::string(static_cast<std::size_t>(state.range(0)), 'v');
  servers::end_frame(bytes, place);
  const std::vector<std::string> fields{"active", "cpu"};
  servers::FrameParser reader;
  for (auto _ : state) {
    reader.reset();
    reader.feed(bytes);
    auto answer = servers::parse_part_answer(reader.frame(), fields);
    benchmark::DoNotOptimize(answer);
    if (!answer) state.SkipWithError("not read");
  }
}
BENCHMARK(frame)->Arg(16)->Arg(16 * 1024);

void ring(benchmark::State& state) {
  net::RingBuffer out(64 * 1024);
  const std::string text(512, 'x');
  for (auto _ : state) {
    out.append(text);
    benchmark::DoNotOptimize(out.front().data());
    out.consume(text.size());
  }
}
BENCHMARK(ring);

// The address selection for one connection to a server with three working addresses.
void race(benchmark::State& state) {
  addresses::AddressBook book({}, 1);
  book.begin_update(true);
  book.update_server(
      "A", true,
      {*net::parse_address("unix:@a"), *net::parse_address("[::1]:90"), *net::parse_address("127.0.0.1:90")});
  book.finish_update();
  Duration now{};
  for (auto _ : state) {
    now += 1ms;
    const auto id = book.begin_race("A", now);
    const auto step = book.next_step(id, now);
    book.on_attempt_ended(id, step.attempt, addresses::AttemptOutcome::connected, now);
    book.end_race(id);
  }
}
BENCHMARK(race);

}  // namespace

BENCHMARK_MAIN();
