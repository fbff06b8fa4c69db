// An XML file read and checked against its schema by libxml2, with every fault and its line. For programs
// that read files of people's; the one that serves does not link it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/file_error.h"
#include "model/types.h"

namespace marbledyke::xml {

using config::FileError;

inline constexpr std::size_t kMostFile = 1024 * 1024;

// An element of a document that lives.
class Element {
 public:
  explicit Element(const void* node) : node_(node) {}
  std::string name() const;
  int line() const;
  std::string text() const;
  std::optional<std::string> attribute(const char* name) const;  // without outer blanks
  std::vector<Element> children() const;                         // elements only

 private:
  const void* node_;
};

class Document {
 public:
  // Reads the text by the schema. Faults are appended; the document is there, even with faults of the schema,
  // if its root is of that namespace, so that what the schema cannot say may be looked at as well. Document
  // types, and with them entities and external references, are refused, as is what is over kMostFile.
  static std::optional<Document> read(const std::string& text, const char* schema, const char* name_space,
                                      std::vector<FileError>& faults);
  Element root() const;
  ~Document();
  Document(Document&&) noexcept;
  Document& operator=(Document&&) noexcept;

 private:
  struct Held;
  explicit Document(std::unique_ptr<Held> held);
  std::unique_ptr<Held> held_;
};

// The text of a regular file; where there is none, a fault and nothing.
std::optional<std::string> read_file(const std::string& path, std::vector<FileError>& faults);

// Reads values from elements and adds what is wrong with them; what the schema has found is not said again.
class Reader {
 public:
  explicit Reader(std::vector<FileError>& faults) : faults_(faults), by_schema_(faults.size()) {}

  void fault(const Element& at, std::string reason);
  // Each leaves `into` as it was where the attribute is absent, or out of range, which is a fault.
  void span(const Element& at, const char* name, Duration least, Duration most, Duration& into);
  void whole(const Element& at, const char* name, int least, int most, int& into);
  void number(const Element& at, const char* name, double least, double most, double& into);
  void flag(const Element& at, const char* name, bool& into);

  // Sorted by line; for the end.
  void sort();

 private:
  std::vector<FileError>& faults_;
  std::size_t by_schema_;
};

std::string text_of(Duration span);  // "100ms": what Reader::span reads

}  // namespace marbledyke::xml
