// One connection's share of a request-and-answer protocol, without I/O: what is to be written, and what comes
// of the bytes that arrive. A talk carries one part at a time.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "model/types.h"

namespace marbledyke::carrier {

struct Said {
  enum class What {
    nothing,   // more bytes are needed
    ready,     // it can take a part
    answered,  // `value` is the part's
    refused,   // the part has not run
    failed,    // it may have run
    leaving,   // the server ends the connection in order, and takes nothing new
    broken     // it is out of step, or speaks something else
  };
  What what = What::nothing;
  std::string value, why;
};

class Talk {
 public:
  virtual ~Talk() = default;

  virtual std::string hello() = 0;  // once connected; empty: it is ready at once
  virtual bool ready() const = 0;
  // The request for a part; empty where its text is none that this protocol can ask for.
  virtual std::string ask(std::string_view text, int shard) = 0;
  // Where ask() gave nothing: the value that says so to whoever asked; none: it is no matter for this
  // protocol.
  virtual std::string declined() { return {}; }
  // More to be written before the answer can come, after take() said nothing; empty: no more.
  virtual std::string more() { return {}; }
  // Takes bytes up to the end of one message at most, and gives how many.
  virtual std::size_t take(std::string_view bytes, Said& said) = 0;
  // The connection ended: what an answer without a stated length comes to.
  virtual Said over() { return {}; }
  // Gives up the part that is out; empty: closing is the only way. After it take() says ready or nothing.
  virtual std::string cancel() { return {}; }
  virtual std::string goodbye() { return {}; }  // before closing in order
};

using MakeTalk = std::unique_ptr<Talk> (*)(const std::string& server, const std::string& database,
                                           const std::string& host);

}  // namespace marbledyke::carrier
