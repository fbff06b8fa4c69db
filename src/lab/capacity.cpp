#include "lab/capacity.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "capacity/page.h"
#include "capacity/slopes.h"
#include "capacity/tables.h"
#include "config/fields.h"

namespace marbledyke::lab {
namespace {

namespace fs = std::filesystem;

// A file's name stands before each complaint about what it holds.
struct FileTrouble : std::runtime_error {
  FileTrouble(const std::string& file, const std::string& why) : std::runtime_error(file + ": " + why) {}
};

std::string text_of_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  if (!in || !out) throw FileTrouble(file, "cannot be read");
  return out.str();
}

// Written beside it and renamed, so that a page is never there by half.
void write_file(const std::string& file, const std::string& text) {
  const std::string part = file + ".part";
  std::ofstream out(part, std::ios::binary);
  out << text;
  out.close();
  std::error_code wrong;
  if (out) fs::rename(part, file, wrong);
  if (!out || wrong) throw FileTrouble(file, "cannot be written");
}

// The tables from the slopes asked for.
std::vector<capacity::Table> tables_from(const std::string& asked) {
  const std::string file = asked.empty() ? kKeptSlopes : asked;
  if (asked.empty() && !fs::exists(file)) {
    std::cerr << file << ": not there; nothing counts as measured\n";
    return capacity::tables({});
  }
  const std::string text = text_of_file(file);
  try {
    return capacity::tables(capacity::read_slopes(text));
  } catch (const config::BadInput& why) {
    throw FileTrouble(file, why.what());
  }
}

std::string with_tables(const std::string& file, const std::string& page,
                        const std::vector<capacity::Table>& tables) {
  try {
    return capacity::with_tables(page, tables);
  } catch (const config::BadInput& why) {
    throw FileTrouble(file, why.what());
  }
}

int check(const std::string& file, const std::vector<capacity::Table>& tables) {
  const std::string page = text_of_file(file);
  const auto difference = capacity::first_difference(page, with_tables(file, page, tables));
  if (!difference) return 0;
  std::cerr << file << ':' << difference->line
            << ": the slopes give another line\n  is:        " << difference->is
            << "\n  should be: " << difference->should_be << '\n';
  return 1;
}

void print(const std::vector<capacity::Table>& tables) {
  for (const capacity::Table& table : tables)
    std::cout << "## " << table.name << "\n\n" << table.text << '\n';
}

}  // namespace

int run_capacity(const CapacityOptions& options) {
  try {
    const std::vector<capacity::Table> tables = tables_from(options.slopes);
    if (!options.write.empty())
      write_file(options.write, with_tables(options.write, text_of_file(options.write), tables));
    if (!options.check.empty()) return check(options.check, tables);
    if (options.write.empty()) print(tables);
    return 0;
  } catch (const std::runtime_error& why) {
    std::cerr << why.what() << '\n';
    return 2;
  }
}

}  // namespace marbledyke::lab
