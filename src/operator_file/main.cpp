// Reads operators' files for the program that serves, and for people: --json gives one file's result on one
// line, check says file by file what is wrong with it.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "operator_file/xml.h"

int main(int count, char** words) {
  // A file that keeps the reader busy costs this process its life and nothing else.
  const rlimit seconds{10, 10};
  setrlimit(RLIMIT_CPU, &seconds);
  CLI::App app("Reads and checks the operator's files of marbledyke.");
  app.require_subcommand(1);
  std::string one;
  std::vector<std::string> files;
  CLI::App* const json = app.add_subcommand("json", "Print the result of one file as JSON");
  json->add_option("FILE", one)->required();
  CLI::App* const check = app.add_subcommand("check", "Say what is wrong with each file");
  check->add_option("FILE", files)->required();
  CLI11_PARSE(app, count, words);
  using namespace marbledyke::operator_file;
  if (*json) {
    const Result result = read_xml_file(one);
    std::cout << put_result(result) << std::endl;
    return result.terms ? 0 : 1;
  }
  bool good = true;
  for (const std::string& file : files) {
    const Result result = read_xml_file(file);
    for (const FileError& fault : result.faults) std::cout << format_error(file, fault) << '\n';
    if (result.terms) std::cout << file << ": good\n";
    good = good && result.terms.has_value();
  }
  return good ? 0 : 1;
}
