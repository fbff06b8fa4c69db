// The gatherer with the fronts of the library world beside the platform's: SRU and Z39.50, as the operator's
// file has them. A program of its own, so that the platform's stays small.
#include <CLI/CLI.hpp>

#include "command/serve.h"
#include "sru/front.h"
#include "sru/talk.h"
#include "z3950/front.h"
#include "z3950/talk.h"

namespace {

using namespace marbledyke;

constexpr std::size_t kSetMemoryDivisor = 8;

void extend(gatherer::Gatherer& gatherer, const search::Terms& terms,
            const config::GathererConfig& gatherer_config) {
  // Half of the descriptors are for the fronts together; what they hold idle they give up when it is needed.
  const std::size_t listener_count = std::max<std::size_t>(terms.listeners.size(), 1);
  const std::size_t most =
      std::max<std::size_t>(static_cast<std::size_t>(gatherer_config.max_sockets) / 2 / listener_count, 8);
  // An eighth of the memory is for the result sets of all listeners.
  search::Terms bounded = terms;
  bounded.limits.kept =
      std::min(terms.limits.kept, gatherer_config.memory_bytes / kSetMemoryDivisor / listener_count);
  std::uint32_t seed = gatherer_config.seed;
  for (const search::Listener& one : terms.listeners) {
    ++seed;
    if (one.protocol == search::Protocol::sru) {
      gatherer.add(std::make_unique<sru::Front>(gatherer.loop(), gatherer.client_memory(), bounded,
                                                gatherer_config.settings, one.address, seed, most));
    } else {
      gatherer.add(std::make_unique<z3950::Front>(gatherer.loop(), gatherer.client_memory(), bounded,
                                                  gatherer_config.settings, one.address, seed, most));
    }
  }
  for (const search::Protocol protocol : {search::Protocol::sru, search::Protocol::z3950}) {
    std::map<std::string, std::string, std::less<>> databases;
    for (const auto& [server, speaker] : terms.speakers) {
      if (speaker.protocol == protocol) databases[server] = speaker.database;
    }
    if (databases.empty()) continue;
    auto carrier = std::make_unique<carrier::Carrier>(
        gatherer.loop(), gatherer_config.settings,
        protocol == search::Protocol::sru ? sru::make_talk : z3950::make_talk,
        [&gatherer] { return gatherer.release_connection(); });
    carrier->set_databases(std::move(databases));
    gatherer.add(std::move(carrier));
  }
}

}  // namespace

int main(int count, char** words) {
  CLI::App app("The gatherer, with the fronts for searching that its operator's file names.");
  app.set_version_flag("--version", "marbledyke-search " MARBLEDYKE_VERSION);
  command::ServeOptions options;
  options.extend = extend;
  app.add_option("--operator", options.operator_file, "An operator's file (XML, deploy/operator.xsd)")
      ->required();
  app.add_option("--log", options.log_form, "plain or json; the operator's file says so otherwise")
      ->check(CLI::IsMember({"plain", "json"}));
  app.footer("PROXY_CONFIG names the platform's configuration (JSON). docs/search.md has the rest.");
  CLI11_PARSE(app, count, words);
  return command::serve(options);
}
