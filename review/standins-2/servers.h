// Stand-ins for shard servers: one that speaks SRU (a sound server of SRU 1.2 with so many cores), one that
// speaks the platform's frames.
#pragma once

#include "common.h"

namespace review {

// Serves requests first come, first served on its cores; each takes the same time. Work goes on when a client
// leaves.
class SruServer {
 public:
  SruServer(const std::string& ip, int cores, double service_ms)
      : acceptor_(ip, [this](int fd, int number) { serve(fd, number); }),
        free_at_(static_cast<std::size_t>(cores), 0.0),
        service_ms_(service_ms) {}

  bool open(int port = 0) { return acceptor_.open(port); }
  void crash() { acceptor_.crash(); }
  std::string address() const { return acceptor_.address(); }

  std::function<void(const std::string& first_line, int connection)> arrived;
  std::function<std::string(const std::string& first_line)> body;
  // Told at the end of the work, and whether the answer could be written.
  std::function<void(const std::string& first_line, bool written)> ran;

 private:
  void serve(int fd, int number) {
    std::string buffer;
    Message message;
    while (read_message(fd, buffer, message, 1e9) == 1) {
      if (arrived) arrived(message.first, number);
      double done = 0;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        double& core = *std::min_element(free_at_.begin(), free_at_.end());
        done = core = std::max(core, now_ms()) + service_ms_;
      }
      sleep_until(done);
      const bool written =
          send_all(fd, http_answer(200, "application/xml; charset=utf-8", body(message.first)));
      if (ran) ran(message.first, written);
      if (!written) return;
    }
  }

  Acceptor acceptor_;
  std::mutex mutex_;
  std::vector<double> free_at_;
  double service_ms_;
};

// A response of SRU 1.2 with some of `hits` records; each holds `words` and its number.
inline std::string sru_response(const std::string& first_line, long long hits, const std::string& words) {
  const std::string start = parameter(first_line, "startRecord"),
                    most = parameter(first_line, "maximumRecords");
  const long long from = start.empty() ? 1 : std::atoll(start.c_str());
  const long long until = std::min(hits, from + (most.empty() ? 10 : std::atoll(most.c_str())) - 1);
  std::string out =
      "<?xml version=\"1.0\" encoding=\"UTF-8\"?><srw:searchRetrieveResponse "
      "xmlns:srw=\"http://www.loc.gov/zing/srw/\"><srw:version>1.2</srw:version><srw:numberOfRecords>" +
      std::to_string(hits) + "</srw:numberOfRecords>";
  if (from <= until) out += "<srw:records>";
  for (long long i = from; i <= until; ++i)
    out +=
        "<srw:record><srw:recordSchema>info:srw/schema/1/dc-v1.1</srw:recordSchema><srw:recordPacking>xml"
        "</srw:recordPacking><srw:recordData><dc><title>" +
        words + " " + std::to_string(i) + "</title></dc></srw:recordData><srw:recordPosition>" +
        std::to_string(i) + "</srw:recordPosition></srw:record>";
  if (from <= until) out += "</srw:records>";
  return out + "</srw:searchRetrieveResponse>";
}

// Speaks the frames of the platform's protocol. Parts take the same time each, side by side.
class FrameServer {
 public:
  struct Part {
    std::string id, list;
    int shard = 0;
    long long told_ms = 0;  // `d`
  };
  FrameServer(const std::string& ip, double service_ms)
      : acceptor_(ip, [this](int fd, int) { serve(fd); }), service_ms_(service_ms) {}

  bool open(int port = 0) { return acceptor_.open(port); }
  std::string address() const { return acceptor_.address(); }

  std::function<void(const Part&)> arrived;
  std::function<std::string()> report = [] { return std::string("util=0.1,qps=1,queue=0"); };
  std::function<std::string()> with_answer = [] { return std::string("-"); };  // the report in an answer
  static std::string value_of(const std::string& id) { return "value of " + id; }

 private:
  struct Wire {
    int fd = -1;
    ~Wire() { close(fd); }
    std::mutex mutex;
  };

  static std::string frame(char letter, const std::string& rest) {
    const std::uint32_t size = htonl(static_cast<std::uint32_t>(rest.size() + 1));
    return std::string(reinterpret_cast<const char*>(&size), 4) + letter + rest;
  }

  void serve(int fd) {
    const auto wire = std::make_shared<Wire>();
    wire->fd = dup(fd);
    std::string buffer;
    while (receive(fd, buffer, 1e9) == 1) {
      while (buffer.size() >= 5) {
        std::uint32_t size = 0;
        std::memcpy(&size, buffer.data(), 4);
        size = ntohl(size);
        if (buffer.size() < 4 + size) break;
        const char letter = buffer[4];
        const std::string rest = buffer.substr(5, size - 1);
        buffer.erase(0, 4 + size);
        if (letter == '1') call(wire, rest);
        if (letter == '3' || letter == '4') {
          const std::lock_guard<std::mutex> lock(wire->mutex);
          send_all(wire->fd, frame(letter, letter == '3' ? "S" : report()));
        }
      }
    }
    shutdown(fd, SHUT_RDWR);
  }

  void call(const std::shared_ptr<Wire>& wire, std::string rest) {
    while (!rest.empty()) {
      const std::size_t end = rest.find('\n');
      if (end == std::string::npos) return;
      std::istringstream line(rest.substr(0, end));
      Part part;
      std::size_t length = 0;
      line >> part.id >> part.shard >> part.list >> length;
      rest.erase(0, end + 1 + length);
      if (const std::size_t at = part.list.find("d="); at != std::string::npos)
        part.told_ms = std::atoll(part.list.c_str() + at + 2);
      if (arrived) arrived(part);
      std::thread([this, wire, part] {
        usleep(static_cast<useconds_t>(service_ms_ * 1000));
        const std::lock_guard<std::mutex> lock(wire->mutex);
        send_all(wire->fd, frame('5', part.id + " S 1 " + with_answer() + "\n" + value_of(part.id)));
      }).detach();
    }
  }

  Acceptor acceptor_;
  double service_ms_;
};

}  // namespace review
