// Keeps up with the list: one call to discovery at a time, each watch followed at once by the next. Beside a
// wait whose answer is overdue a second call is made.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "list/news.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/socket.h"
#include "net/spare.h"

namespace marbledyke::list {

class Watch {
 public:
  struct Told {
    std::function<void(News)> news;
    // A call failed, and with it the watch; asked for again within that.
    std::function<void(Duration most_backoff)> refused;
  };

  Watch(net::Loop& loop, const config::GathererConfig& gatherer_config, Duration unix_start, Told told);

  void held(std::int64_t index) { index_ = index; }  // the version of the list that is held
  void ask(bool watching);  // the changes since, and then each as it comes; or the whole list once
  // Another place to ask, from now on; what it says first is the whole list.
  void move(const net::Address& address, const std::string& host);

 private:
  // A connection to discovery, and the call that is out on it.
  struct Line {
    std::unique_ptr<net::Stream> stream, last;  // the last one may still be telling of its end
    net::HttpReader reader;
    std::optional<net::Loop::Timer> patience;
    Duration began{}, wait{};
    bool calling = false;
  };

  Line& beside(const Line& line) { return &line == &lines_[0] ? lines_[1] : lines_[0]; }
  void call(Line& line, Duration wait);
  void write(Line& line);
  void read(Line& line);
  void overdue(Line& line);
  void answered(Line& line);
  void ended(Line& line, bool connected);
  void failed(Line& line, const char* why);
  void over(Line& line);
  void hang_up(Line& line);
  void hold_spare(std::size_t more = 0);

  net::Loop& loop_;
  const config::ServiceSettings& settings_;
  net::Address address_;
  std::string host_;
  Duration unix_start_;
  Told told_;
  std::array<Line, 2> lines_;
  net::Spare spare_{2};  // clients may take all others while discovery is away
  std::optional<std::int64_t> index_;
  bool watching_ = false, whole_ = false;
};

}  // namespace marbledyke::list
