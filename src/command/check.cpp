#include "command/check.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include "config/gatherer_config.h"
#include "decision_engine.h"
#include "list/list_update.h"
#include "operator_file/helper.h"

namespace marbledyke::command {
namespace {

// A configuration of the platform's is JSON and begins with a brace; all else is for the reader of XML.
bool is_json(const std::string& path) {
  std::ifstream file(path);
  char first = 0;
  return file >> first && first == '{';
}

bool check_json(const std::string& path) {
  std::ifstream file(path);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  try {
    const config::GathererConfig gatherer_config = config::parse_gatherer_config(text);
    DecisionEngine(gatherer_config.terms, gatherer_config.seed);
    if (gatherer_config.known_list.is_object())
      list::parse_list_update(gatherer_config.known_list, gatherer_config.settings, {});
    std::cout << path << ": good" << std::endl;
    return true;
  } catch (const std::exception& wrong) {
    std::cout << path << ": " << wrong.what() << std::endl;
    return false;
  }
}

}  // namespace

int check(const std::vector<std::string>& files) {
  bool good = true;
  for (const std::string& file : files) {
    if (is_json(file)) {
      good = check_json(file) && good;
      continue;
    }
    const int status = operator_file::run_check({file});
    if (status == 2) std::cout << file << ": marbledyke-operator cannot be run" << std::endl;
    good = good && status == 0;
  }
  return good ? 0 : 1;
}

}  // namespace marbledyke::command
