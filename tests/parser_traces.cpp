// Traces of the parsers and of the configuration's errors, one case in each run; the expected output is in
// traces/. Each sample is parsed whole, byte by byte and split at every position, and one line shows the
// common result.
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "clients/multiget_request.h"
#include "config/gatherer_config.h"
#include "list/list_update.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/ring_buffer.h"
#include "servers/frames.h"

using namespace marbledyke;
using namespace std::chrono_literals;

namespace {

std::string shown(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '\n') {
      out += "\\n";
    } else if (c < ' ' || c > '~') {
      char hex[8];
      std::snprintf(hex, sizeof hex, "\\x%02x", static_cast<unsigned>(static_cast<unsigned char>(c)));
      out += hex;
    } else {
      out += c;
    }
  }
  return out.size() > 200 ? out.substr(0, 60) + "... (" + std::to_string(text.size()) + ")" : out;
}

// Parses pieces one after the other and returns a description of the result.
using Read = std::function<std::string(const std::vector<std::string>&)>;

void at_every_split(const std::string& name, const std::string& bytes, const Read& read) {
  const std::string whole = read({bytes});
  std::string same = "same at every split";
  for (std::size_t i = 1; i < bytes.size(); ++i) {
    const std::string split = read({bytes.substr(0, i), bytes.substr(i)});
    if (split != whole) same = "SPLIT AT " + std::to_string(i) + " GIVES " + split;
  }
  std::vector<std::string> single;
  for (const char c : bytes) single.emplace_back(1, c);
  if (const std::string each = read(single); each != whole) same = "BYTE BY BYTE GIVES " + each;
  std::printf("%-22s %s; %s\n", name.c_str(), whole.c_str(), same.c_str());
}

std::string http(net::HttpParser::Kind kind, const std::vector<std::string>& pieces, bool closes) {
  net::HttpParser reader(kind, 40);
  std::string out;
  for (const std::string& piece : pieces) {
    std::string_view left = piece;
    while (!left.empty() && reader.state() != net::HttpParser::State::malformed) {
      left.remove_prefix(reader.feed(left));
      if (reader.state() != net::HttpParser::State::complete) continue;
      const net::HttpMessage& m = reader.message();
      out += "[" + m.method_or_version + "|" + m.target_or_status + "|" + m.version_or_reason;
      for (const auto& [key, value] : m.headers) out += "|" + key + "=" + value;
      out += "|" + shown(m.body) + (m.keeps_alive() ? "|stays]" : "|closes]");
      reader.reset();
    }
  }
  if (closes) reader.on_peer_closed();
  if (reader.state() == net::HttpParser::State::complete)
    out += "[to the end|" + shown(reader.message().body) + "]";
  if (reader.state() == net::HttpParser::State::malformed)
    out += "bad " + std::to_string(reader.error_status());
  return out.empty() ? "nothing yet" : out;
}

void http_requests() {
  const auto sample = [](const char* name, const std::string& bytes) {
    at_every_split(name, bytes, [](const std::vector<std::string>& pieces) {
      return http(net::HttpParser::Kind::request, pieces, false);
    });
  };
  sample("plain", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
  sample("counted", "POST /api HTTP/1.1\r\nContent-Length: 5\r\nX-A:  b c \r\n\r\nhello");
  sample("two in a row", "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n");
  sample("chunked",
         "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0a;x=y\r\n0123456789\r\n0\r\nT: "
         "u\r\n\r\n");
  sample("closes", "GET / HTTP/1.1\r\nConnection: Keep-Alive, CLOSE\r\n\r\n");
  sample("old version", "GET / HTTP/1.0\r\n\r\n");
  sample("other version", "GET / HTTP/2.0\r\n\r\n");
  sample("no version", "GET /\r\n\r\n");
  sample("counted too large", "POST / HTTP/1.1\r\nContent-Length: 41\r\n\r\n");
  sample(
      "chunks too large",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n01234567890123456789012345678901\r\n9\r\n");
  sample("chunk size overflows", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n");
  sample("both lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
  sample("two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n");
  sample("negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n");
  sample("space before colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n");
  sample("folded line", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n");
  sample("bare CR", "GET / HTTP/1.1\r\nA: b\rc\r\n\r\n");
  sample("garbage", std::string("\x16\x03\x01\x02\x00\x01\n\n", 8));
  net::HttpParser reader(net::HttpParser::Kind::request, 40);
  const std::string line = "A: " + std::string(997, 'a') + "\r\n";
  reader.feed("GET / HTTP/1.1\r\n");
  int lines = 0;
  for (; reader.state() == net::HttpParser::State::incomplete && lines < 100; ++lines) reader.feed(line);
  std::printf("%-22s bad %d at line %d\n", "endless head", reader.error_status(), lines);
  // Guards against heads that take many times their length in memory.
  net::HttpParser short_headers(net::HttpParser::Kind::request, 40);
  short_headers.feed("GET / HTTP/1.1\r\n");
  int headers = 0;
  for (; short_headers.state() == net::HttpParser::State::incomplete && headers < 4000; ++headers)
    short_headers.feed("a:\r\n");
  std::printf("%-22s bad %d at header %d\n", "thousands of headers", short_headers.error_status(), headers);
}

void http_answers() {
  const auto sample = [](const char* name, const std::string& bytes, bool closes = false) {
    at_every_split(name, bytes, [closes](const std::vector<std::string>& pieces) {
      return http(net::HttpParser::Kind::response, pieces, closes);
    });
  };
  sample("counted", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  sample("no reason", "HTTP/1.1 503\r\nContent-Length: 0\r\n\r\n");
  sample("interim first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  sample("ends with connection", "HTTP/1.1 200 OK\r\n\r\nabc", true);
  sample("breaks off", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true);
  sample("odd status", "HTTP/1.1 2x0 OK\r\n\r\n");
}

std::string frames_of(const std::vector<std::string>& pieces) {
  servers::FrameParser reader;
  std::string out;
  for (const std::string& piece : pieces) {
    std::string_view left = piece;
    while (!left.empty() && reader.state() != servers::FrameParser::State::malformed) {
      left.remove_prefix(reader.feed(left));
      if (reader.state() != servers::FrameParser::State::complete) continue;
      out += std::string("[") + reader.frame().type + "|" + shown(reader.frame().payload) + "]";
      if (const auto answer = servers::parse_part_answer(reader.frame(), {"cpu", "rps"}))
        out += answer->id + answer->outcome + shown(answer->value);
      reader.reset();
    }
  }
  return out + (reader.state() == servers::FrameParser::State::malformed ? "bad" : "");
}

void frames() {
  const auto sample = [](const char* name, const std::string& bytes) {
    at_every_split(name, bytes, frames_of);
  };
  std::string call;
  const std::size_t place = servers::begin_frame(call, '1');
  servers::append_part(call, "9b1f03aa5c7e2d41.3", 3, "d=240", "c41e77d0");
  servers::append_part(call, "9b1f03aa5c7e2d41.9", 9, "d=240", "c41e77d0");
  servers::end_frame(call, place);
  sample("a call", call);
  sample("three", std::string("\0\0\0\1"
                              "3"
                              "\0\0\0\3"
                              "2ab"
                              "\0\0\0\2"
                              "4-",
                              18));
  sample("no letter", std::string("\0\0\0\0", 4));
  sample("too long", std::string("\x7f\xff\xff\xff", 4));
  sample("unknown letter", std::string("\0\0\0\1"
                                       "9",
                                       5));
}

void answers() {
  const std::vector<std::string> fields{"util", "rps", "waiting"};
  const auto sample = [&](const std::string& rest) {
    const auto a = servers::parse_part_answer({'5', rest}, fields);
    std::printf("%-60s ", shown(rest).c_str());
    if (!a) {
      std::printf("cannot be read\n");
      return;
    }
    std::printf("%s %c %.0f '%s'", a->id.c_str(), a->outcome, a->score, shown(a->value).c_str());
    if (a->report.count == 0) std::printf(", no report");
    for (int i = 0; i < a->report.count; ++i)
      std::printf(" %g", a->report.values[static_cast<std::size_t>(i)]);
    std::printf("\n");
  };
  sample("m.3 S 1840277719 util=0.61,qps=4,queue=2\nvalue\nof two lines");
  sample("m.3 S 7 queue=2,more=1,util=0.5,qps=3\n");
  sample("m.3 S 7 util=0.5,qps=3\nx");
  sample("m.3 S 7 util=0.5,qps=nan,queue=1\nx");
  sample("m.3 E 0 -\n");
  sample("m.3 B - -\n");
  sample("m.3 Q 0 -\n");
  sample("m.3 S many -\n");
  sample("m.3 S 1 - and more\n");
  sample("no line end");
}

config::ServiceSettings settings() {
  config::ServiceSettings out;
  out.op_types = {{"draft", 2}, {"issue", 0}};
  out.customers = {"acme", "zeta"};
  out.zones = {"a", "b"};
  out.shards = 12;
  out.cells = 3;
  return out;
}

void asks() {
  const auto ask = [](const char* name, const char* body, net::HttpMessage m = {}) {
    if (m.headers.empty()) {
      m.headers = {
          {"x-request-id", "9b1f"}, {"x-class", "issue"}, {"x-tenant", "zeta"}, {"x-deadline-ms", "480"}};
    }
    m.body = body;
    const auto read = clients::parse_multiget(m, settings());
    if (const auto* wrong = std::get_if<clients::RequestError>(&read)) {
      std::printf("%-18s %d %s\n", name, wrong->status, wrong->reason.c_str());
      return;
    }
    const clients::Multiget& a = std::get<clients::Multiget>(read);
    std::printf("%-18s %s, op type %d, customer %d, %lld us, '%s'", name, a.id.c_str(), a.op_type, a.customer,
                static_cast<long long>(a.client_timeout.count()), shown(*a.text).c_str());
    if (a.is_client_retry) std::printf(", a repeat");
    for (const clients::Part& p : a.parts) {
      std::printf("; %d %.2f %llx %lld", p.shard, p.weight, static_cast<unsigned long long>(p.key),
                  static_cast<long long>(p.work_estimate.count()));
    }
    std::printf("\n");
  };
  const char* fine =
      R"({"slices":[{"slice":3,"mass":0.5,"micros":9000},{"slice":9,"mass":0.5,"term":"00ff"}],"filter":"c41e"})";
  ask("fine", fine);
  ask("unknown customer", fine,
      {"",
       "",
       "",
       {{"x-request-id", "i"}, {"x-class", "draft"}, {"x-tenant", "q"}, {"x-deadline-ms", "1"}},
       ""});
  ask("repeat", fine,
      {"",
       "",
       "",
       {{"x-request-id", "i"}, {"x-class", "draft"}, {"x-deadline-ms", "1"}, {"x-retry", "1"}},
       ""});
  ask("no id", fine, {"", "", "", {{"x-class", "draft"}, {"x-deadline-ms", "1"}}, ""});
  ask("id with a space", fine,
      {"", "", "", {{"x-request-id", "a b"}, {"x-class", "draft"}, {"x-deadline-ms", "1"}}, ""});
  ask("unknown op type", fine,
      {"", "", "", {{"x-request-id", "i"}, {"x-class", "x"}, {"x-deadline-ms", "1"}}, ""});
  ask("no time", fine, {"", "", "", {{"x-request-id", "i"}, {"x-class", "draft"}}, ""});
  ask("time below 0", fine,
      {"", "", "", {{"x-request-id", "i"}, {"x-class", "draft"}, {"x-deadline-ms", "-5"}}, ""});
  ask("not JSON", "{\"slices\":[");
  ask("a list", "[]");
  ask("no parts", R"({"slices":[]})");
  ask("no such shard", R"({"slices":[{"slice":12,"mass":1}]})");
  ask("half a shard", R"({"slices":[{"slice":1.5,"mass":1}]})");
  ask("shard twice", R"({"slices":[{"slice":1,"mass":0.5},{"slice":1,"mass":0.5}]})");
  ask("masses short", R"({"slices":[{"slice":1,"mass":0.5},{"slice":2,"mass":0.3}],"filter":"c"})");
  ask("masses over", R"({"slices":[{"slice":1,"mass":0.5},{"slice":2,"mass":0.6}],"filter":"c"})");
  ask("masses rounded",
      R"({"slices":[{"slice":1,"mass":0.3333},{"slice":2,"mass":0.3333},{"slice":3,"mass":0.3333}],"filter":"c"})");
  ask("no mass", R"({"slices":[{"slice":1,"mass":0},{"slice":2,"mass":1}],"filter":"c"})");
  ask("no filter", R"({"slices":[{"slice":1,"mass":1}]})");
  ask("two op types", fine,
      {"",
       "",
       "",
       {{"x-request-id", "i"}, {"x-class", "draft"}, {"x-class", "issue"}, {"x-deadline-ms", "1"}},
       ""});
  ask("odd mass", R"({"slices":[{"slice":1,"mass":-1}]})");
  ask("odd term", R"({"slices":[{"slice":1,"mass":1,"term":"xyz"}]})");
  ask("filter no text", R"({"slices":[{"slice":1,"mass":1}],"filter":7})");
  std::printf("%s\n", clients::answer_body(true, {{3, "ab\"c\\d\x01"}, {9, ""}}).c_str());
  std::printf("%s\n",
              shown(clients::answer_text(503, "no\n", false, std::chrono::milliseconds(250))).c_str());
}

void news() {
  const auto read = [](const char* text) {
    try {
      const list::ListUpdate n =
          list::parse_list_update(config::parse(text), settings(), std::chrono::seconds(1000));
      std::printf("version %lld%s, %d skipped", static_cast<long long>(n.index),
                  n.is_snapshot ? ", whole" : "", n.skipped_entries);
      for (const list::ServerEntry& e : n.entries) {
        std::printf("; %s zone %d cell %d standing %d size %g started ", e.row.server.c_str(), e.row.zone,
                    e.row.cell, static_cast<int>(e.row.status), e.row.size);
        e.row.started ? std::printf("%lld", static_cast<long long>(e.row.started->count()))
                      : std::printf("-");
      }
      std::printf("\n");
    } catch (const config::BadInput& wrong) {
      std::printf("refused: %s\n", wrong.what());
    }
  };
  read(R"({"index":41,"snapshot":true,"endpoints":[
    {"name":"s1","address":"10.1.0.18:9000","zone":"a","type":"m2","group":2,"status":"ready","weight":1.5,"since_ms":0},
    {"name":"s2","address":"10.1.0.19:9000","zone":"b","group":0,"status":"draining","weight":1.0,"since_ms":999000},
    {"name":"s3","address":"10.1.0.20:9000","zone":"b","group":1,"status":"gone","since_ms":1000500}]})");
  // An invalid entry is skipped; the rest of the list counts.
  read(R"({"index":42,"snapshot":false,"endpoints":[
    {"name":"s1","address":"10.1.0.18:9000","zone":"c","group":0,"status":"ready"},
    {"name":"s2","address":"10.1.0.18:9000","zone":"a","group":3,"status":"ready"},
    {"name":"s3","address":"10.1.0.18:9000","zone":"a","group":0,"status":"odd"},
    {"name":"s4","address":"10.1.0.18","zone":"a","group":0,"status":"ready"},
    {"name":"s5","address":"10.1.0.18:9000","zone":"a","group":0,"status":"ready","since_ms":-4},
    7,{"name":"s6","address":"10.1.0.18:9000","zone":"a","group":0,"status":"ready"}]})");
  read(R"({"index":"42","snapshot":false,"endpoints":[]})");
  read(R"({"index":42,"endpoints":[]})");
  read("nothing");
}

const std::string kCommission =
    R"({"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"index":1,"snapshot":true,"endpoints":[]},
    "settings":{"categories":[{"name":"draft","deadline":8000000}],"customers":[{"name":"acme"}],"zones":["a"],
      "telemetry":{"fields":["cpu"]},"novelty":{"x":[1]},
      "specifics":{"slabs":4,"sets":2,"bundle-max":16,"second-step":[2]},
      "limits":{"max-open":99,"streams-per-conn":100,"connect-timeout":250000,"conn-idle":15000000}}})";

void commissions() {
  const std::string& fine = kCommission;
  const auto read = [](const std::string& text) {
    try {
      const config::GathererConfig c = config::parse_gatherer_config(text);
      std::printf("%s, %d sockets, seed %08x, %zu op types, second step %d, %zu customers, most in hand %d\n",
                  c.name.c_str(), c.max_sockets, c.seed, c.settings.op_types.size(),
                  c.settings.op_types[0].second_step_parts, c.settings.customers.size(),
                  c.settings.max_pending);
    } catch (const config::BadInput& wrong) {
      std::printf("refused: %s\n", wrong.what());
    }
  };
  const auto with = [&](const std::string& old, const std::string& instead) {
    std::string text = fine;
    text.replace(text.find(old), old.size(), instead);
    read(text);
  };
  read(fine);
  read("{");
  read("[]");
  with(R"("listen":"127.0.0.4:9000",)", "");
  with("127.0.0.4:9000", "127.0.0.4:90000");
  with("127.0.0.4:9000", "localhost:9000");
  with(R"("seed":"8c1f30d27a5be964")", R"("seed":"8c1f30d27a5be96g")");
  with(R"("seed":"8c1f30d27a5be964")", R"("seed":7)");
  with(R"("sockets":1024)", R"("sockets":3)");
  with(R"("settings")", R"("other")");
  with(R"("slabs":4)", R"("slabs":"four")");
  with(R"("slabs":4)", R"("slabs":0)");
  with(R"("slabs":4,)", "");
  with(R"("max-open":99,)", "");
  with(R"("conn-idle":15000000)", R"("conn-idle":-1)");
  with(R"({"name":"draft","deadline":8000000})", "");
  with(R"("deadline":8000000)", R"("deadline":false)");
  with(R"("known":{)", R"("known":7,"unknown":{)");
}

void rings() {
  net::RingBuffer ring(10'000);
  std::string sent, taken;
  std::size_t most = 0;
  unsigned turn = 1;
  for (int i = 0; i < 3000; ++i) {
    turn = turn * 1103515245 + 12345;
    const std::string piece((turn >> 16) % 700, static_cast<char>('a' + i % 26));
    if (ring.append(piece)) sent += piece;
    most = std::max(most, ring.size());
    for (std::size_t left = (turn >> 8) % 750; left > 0 && !ring.empty();) {
      const std::string_view front = ring.front().substr(0, left);
      taken += front;
      left -= front.size();
      ring.consume(front.size());
    }
  }
  while (!ring.empty()) {
    taken += ring.front();
    ring.consume(ring.front().size());
  }
  std::printf("%s, %s\n", sent == taken ? "all bytes in their order" : "BYTES DIFFER",
              most > 5000 && most <= 10'000 ? "within its bound" : "BOUND NOT KEPT OR NOT TRIED");
  std::printf("too much is %s\n", ring.append(std::string(10'001, 'x')) ? "TAKEN" : "refused");
}

// Seeded damage: stretches are cut out or repeated, and bytes changed. The result must not depend on how the
// bytes are split, and must be a message or an error; sanitizer builds check the memory accesses.
void damage() {
  std::mt19937 chance(7);
  const auto below = [&](std::size_t most) { return chance() % std::max<std::size_t>(most, 1); };
  const auto damaged = [&](std::string bytes) {
    for (std::size_t times = 1 + below(3); times > 0; --times) {
      const std::size_t at = below(bytes.size()), length = 1 + below(12);
      const std::string stretch = bytes.substr(at, length);
      switch (below(3)) {
        case 0:
          bytes.erase(at, length);
          break;
        case 1:
          bytes.insert(at, stretch);
          break;
        default:
          if (at < bytes.size()) bytes[at] = static_cast<char>(chance());
      }
    }
    return bytes;
  };
  const auto rounds = [&](const char* name, const std::string& sample, const Read& read) {
    int differ = 0, refused = 0;
    for (int i = 0; i < 3000; ++i) {
      const std::string bytes = damaged(sample);
      const std::size_t at = below(bytes.size());
      const std::string whole = read({bytes});
      differ += whole == read({bytes.substr(0, at), bytes.substr(at)}) ? 0 : 1;
      refused += whole.find("bad") != std::string::npos ? 1 : 0;
    }
    std::printf("%-12s %d read otherwise when split, %d of 3000 refused\n", name, differ, refused);
  };
  const auto joined = [](const std::vector<std::string>& pieces) {
    std::string out;
    for (const std::string& piece : pieces) out += piece;
    return out;
  };
  const auto refusable = [&](const std::function<void(const std::string&)>& take) {
    return [&joined, take](const std::vector<std::string>& pieces) -> std::string {
      try {
        take(joined(pieces));
        return "taken";
      } catch (const config::BadInput&) {
        return "bad";
      }
    };
  };
  rounds("requests",
         "POST /a HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
         [](const std::vector<std::string>& pieces) {
           return http(net::HttpParser::Kind::request, pieces, false);
         });
  rounds("chunks",
         "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
         [](const std::vector<std::string>& pieces) {
           return http(net::HttpParser::Kind::request, pieces, false);
         });
  rounds("answers", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 503 No\r\n\r\nand so on",
         [](const std::vector<std::string>& pieces) {
           return http(net::HttpParser::Kind::response, pieces, true);
         });
  std::string two;
  for (const char* text : {"9b1f.3 S 1840277719 util=0.61,qps=7\nvalue", "9b1f.4 B 0 -\n"}) {
    const std::size_t place = servers::begin_frame(two, '5');
    two += text;
    servers::end_frame(two, place);
  }
  rounds("frames", two, frames_of);
  rounds(
      "asks",
      R"({"slices":[{"slice":3,"mass":0.5,"micros":9000},{"slice":9,"mass":0.5,"term":"00ff"}],"filter":"c41e"})",
      refusable([](const std::string& body) {
        net::HttpMessage m;
        m.headers = {{"x-request-id", "i"}, {"x-class", "draft"}, {"x-deadline-ms", "1"}};
        m.body = body;
        const auto read = clients::parse_multiget(m, settings());
        if (std::holds_alternative<clients::RequestError>(read)) throw config::BadInput("");
      }));
  rounds(
      "news",
      R"({"index":4,"snapshot":true,"endpoints":[{"name":"A","address":"127.1.0.1:9000","zone":"a","group":0,"status":"ready","weight":1.0,"since_ms":1796137000000}]})",
      refusable([](const std::string& text) {
        list::parse_list_update(config::parse(text), settings(), std::chrono::seconds(1000));
      }));
  rounds("commissions", kCommission,
         refusable([](const std::string& text) { config::parse_gatherer_config(text); }));
}

// A process that is stopped while it waits, and continued after a timer is due, has to handle the input
// received meanwhile before that timer. Otherwise a gatherer that was paused gives up on answers that only
// wait to be read, and sends their parts again (drawn fleets 56 and 135 with keepers).
void stood_still() {
  int told[2], back[2];
  if (pipe(told) != 0 || pipe(back) != 0) return;
  const pid_t child = fork();
  if (child == 0) {
    struct Reader final : net::EventHandler {
      int fd = -1;
      std::string order;
      void on_ready(bool readable, bool) override {
        char byte = 0;
        while (readable && read(fd, &byte, 1) == 1) order += byte;
      }
    } reader;
    reader.fd = told[0];
    fcntl(told[0], F_SETFL, O_NONBLOCK);
    net::Loop loop;
    loop.read_clock();
    const std::uint32_t place = loop.watch(told[0], reader);
    bool up = false;
    loop.call_at(loop.now() + 200ms, [&] {
      up = true;
      reader.order += " then the timer";
    });
    if (write(back[1], "r", 1) != 1) _exit(1);
    while (!up) loop.run_once();
    loop.unwatch(told[0], place);
    const bool out = write(back[1], reader.order.data(), reader.order.size()) > 0;
    _exit(out ? 0 : 1);
  }
  char said[64] = {};
  // The child has started; the pause lets it reach its wait.
  if (read(back[0], said, 1) != 1) return;
  usleep(50'000);
  kill(child, SIGSTOP);
  waitpid(child, nullptr, WUNTRACED);
  const bool put = write(told[1], "read,", 5) == 5;
  usleep(300'000);
  kill(child, SIGCONT);
  waitpid(child, nullptr, 0);
  const ssize_t got = read(back[0], said, sizeof said - 1);
  std::printf("%.*s\n", put && got > 0 ? static_cast<int>(got) : 0, said);
  for (const int fd : {told[0], told[1], back[0], back[1]}) close(fd);
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  const std::pair<const char*, void (*)()> cases[] = {{"http_requests", http_requests},
                                                      {"http_answers", http_answers},
                                                      {"frames", frames},
                                                      {"answers", answers},
                                                      {"asks", asks},
                                                      {"news", news},
                                                      {"commissions", commissions},
                                                      {"rings", rings},
                                                      {"stood_still", stood_still},
                                                      {"damage", damage}};
  for (const auto& [name, run] : cases) {
    if (std::strcmp(name, words[1]) == 0) {
      run();
      return 0;
    }
  }
  return 2;
}
