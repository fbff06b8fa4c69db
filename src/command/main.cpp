// The command line: without a word the program serves, as the platform starts it.
#include <CLI/CLI.hpp>

#include "command/check.h"
#include "command/serve.h"

int main(int count, char** words) {
  using namespace marbledyke::command;
  CLI::App app(
      "A gatherer: takes multigets, sends their parts to replicas of their shards, gives one reply.");
  app.set_version_flag("--version", "marbledyke " MARBLEDYKE_VERSION);
  app.require_subcommand(0, 1);
  app.footer("Without a command it serves. PROXY_CONFIG names the platform's configuration (JSON).");
  ServeOptions options;
  std::vector<std::string> files;
  CLI::App* const serve_command = app.add_subcommand("serve", "Serve until SIGTERM");
  serve_command->add_option("--operator", options.operator_file,
                            "An operator's file (XML, deploy/operator.xsd)");
  serve_command->add_option("--log", options.log_form, "plain or json; the operator's file says so otherwise")
      ->check(CLI::IsMember({"plain", "json"}));
  CLI::App* const check_command =
      app.add_subcommand("check", "Check operator's files, and configurations in JSON, without serving");
  check_command->add_option("FILE", files)->required();
  CLI11_PARSE(app, count, words);
  if (*check_command) return check(files);
  return serve(options);
}
