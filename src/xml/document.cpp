#include "xml/document.h"

#include <fcntl.h>
#include <libxml/parser.h>
#include <libxml/tree.h>
#include <libxml/xmlschemas.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <system_error>

namespace marbledyke::xml {
namespace {

using namespace std::chrono_literals;

template <auto F>
struct With {
  template <typename T>
  void operator()(T* what) const {
    F(what);
  }
};
using Parser = std::unique_ptr<xmlParserCtxt, With<xmlFreeParserCtxt>>;
using SchemaParser = std::unique_ptr<xmlSchemaParserCtxt, With<xmlSchemaFreeParserCtxt>>;
using Schema = std::unique_ptr<xmlSchema, With<xmlSchemaFree>>;
using Validator = std::unique_ptr<xmlSchemaValidCtxt, With<xmlSchemaFreeValidCtxt>>;

constexpr std::size_t kMostFaults = 100;

// The library names each element with its namespace and says what it is about first: that is said already.
std::string trimmed(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == ' ')) text.pop_back();
  std::replace(text.begin(), text.end(), '\n', ' ');
  for (std::size_t at; (at = text.find("{urn:marbledyke:")) != std::string::npos;) {
    const std::size_t end = text.find('}', at);
    if (end == std::string::npos) break;
    text.erase(at, end + 1 - at);
  }
  if (text.starts_with("Element '")) {
    if (const std::size_t colon = text.find("': "); colon != std::string::npos) text.erase(0, colon + 3);
  }
  return text;
}

void took_fault(void* to, xmlError* error) {
  auto& faults = *static_cast<std::vector<FileError>*>(to);
  if (error == nullptr || faults.size() >= kMostFaults) return;
  FileError fault;
  fault.line = error->line;
  const auto* const node = static_cast<const xmlNode*>(error->node);
  if (node != nullptr && node->name != nullptr) fault.element = reinterpret_cast<const char*>(node->name);
  fault.reason = trimmed(error->message == nullptr ? "not well-formed" : error->message);
  // A fault of a type comes twice: what the value breaks, and that it is none of the type.
  if (!faults.empty() && faults.back().line == fault.line && faults.back().element == fault.element &&
      fault.reason.find("is not a valid value of") != std::string::npos)
    return;
  faults.push_back(std::move(fault));
}

const xmlNode* node_of(const void* node) { return static_cast<const xmlNode*>(node); }

bool keeps_schema(xmlDoc* document, const char* text, std::vector<FileError>& faults) {
  const SchemaParser parser(xmlSchemaNewMemParserCtxt(text, static_cast<int>(std::strlen(text))));
  xmlSchemaSetParserStructuredErrors(parser.get(), took_fault, &faults);
  const Schema schema(xmlSchemaParse(parser.get()));
  if (!schema) {
    faults.push_back({0, "", "the schema itself cannot be read"});
    return false;
  }
  const Validator validator(xmlSchemaNewValidCtxt(schema.get()));
  xmlSchemaSetValidStructuredErrors(validator.get(), took_fault, &faults);
  const std::size_t before = faults.size();
  const int wrong = xmlSchemaValidateDoc(validator.get(), document);
  if (wrong != 0 && faults.size() == before) faults.push_back({0, "", "the schema cannot be applied"});
  return wrong == 0;
}

}  // namespace

std::string Element::name() const { return reinterpret_cast<const char*>(node_of(node_)->name); }

int Element::line() const { return static_cast<int>(xmlGetLineNo(const_cast<xmlNode*>(node_of(node_)))); }

std::string Element::text() const {
  xmlChar* const content = xmlNodeGetContent(node_of(node_));
  if (content == nullptr) return {};
  std::string out = reinterpret_cast<const char*>(content);
  xmlFree(content);
  return out;
}

std::optional<std::string> Element::attribute(const char* name) const {
  xmlChar* const value = xmlGetNoNsProp(node_of(node_), reinterpret_cast<const xmlChar*>(name));
  if (value == nullptr) return std::nullopt;
  std::string out = reinterpret_cast<const char*>(value);
  xmlFree(value);
  const std::size_t first = out.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) return std::string();
  return out.substr(first, out.find_last_not_of(" \t\r\n") - first + 1);
}

std::vector<Element> Element::children() const {
  std::vector<Element> out;
  for (const xmlNode* child = node_of(node_)->children; child != nullptr; child = child->next) {
    if (child->type == XML_ELEMENT_NODE) out.emplace_back(child);
  }
  return out;
}

struct Document::Held {
  xmlDoc* document = nullptr;
  ~Held() { xmlFreeDoc(document); }
};

Document::Document(std::unique_ptr<Held> held) : held_(std::move(held)) {}
Document::~Document() = default;
Document::Document(Document&&) noexcept = default;
Document& Document::operator=(Document&&) noexcept = default;

Element Document::root() const { return Element(xmlDocGetRootElement(held_->document)); }

std::optional<Document> Document::read(const std::string& text, const char* schema, const char* name_space,
                                       std::vector<FileError>& faults) {
  if (text.size() > kMostFile) {
    faults.push_back({0, "", "larger than " + std::to_string(kMostFile / 1024) + " KiB"});
    return std::nullopt;
  }
  std::vector<FileError> found;
  const Parser parser(xmlNewParserCtxt());
  xmlSetStructuredErrorFunc(&found, took_fault);
  auto held = std::make_unique<Held>();
  // No option expands entities, loads a document type or opens the network.
  held->document = xmlCtxtReadMemory(parser.get(), text.data(), static_cast<int>(text.size()), nullptr,
                                     nullptr, XML_PARSE_NONET | XML_PARSE_BIG_LINES);
  xmlSetStructuredErrorFunc(nullptr, nullptr);
  xmlDoc* const document = held->document;
  if (document != nullptr && (document->intSubset != nullptr || document->extSubset != nullptr)) {
    faults.push_back({1, "", "a document type is refused, and with it entities and external references"});
    return std::nullopt;
  }
  if (document == nullptr || !found.empty()) {
    if (found.empty()) found.push_back({0, "", "not well-formed"});
    faults.insert(faults.end(), found.begin(), found.end());
    return std::nullopt;
  }
  const bool keeps = keeps_schema(document, schema, faults);
  const xmlNode* const root = xmlDocGetRootElement(document);
  const bool ours = root->ns != nullptr && root->ns->href != nullptr &&
                    std::strcmp(reinterpret_cast<const char*>(root->ns->href), name_space) == 0;
  if (!keeps && !ours) return std::nullopt;
  return Document(std::move(held));
}

std::optional<std::string> read_file(const std::string& path, std::vector<FileError>& faults) {
  const auto refused = [&](const std::string& why) {
    faults.push_back({0, "", why});
    return std::nullopt;
  };
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (fd < 0) return refused(std::generic_category().message(errno));
  std::string text;
  std::string why;
  struct stat about {};
  if (fstat(fd, &about) != 0 || !S_ISREG(about.st_mode)) why = "not a regular file";
  char bytes[16 * 1024];
  while (why.empty() && text.size() <= kMostFile) {
    const ssize_t got = ::read(fd, bytes, sizeof bytes);
    if (got == 0) break;
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) {
      why = std::generic_category().message(errno);
    } else {
      text.append(bytes, static_cast<std::size_t>(got));
    }
  }
  close(fd);
  if (!why.empty()) return refused(why);
  return text;
}

void Reader::fault(const Element& at, std::string reason) {
  FileError fault{at.line(), at.name(), std::move(reason)};
  for (std::size_t i = 0; i < by_schema_; ++i) {
    if (faults_[i].line == fault.line && faults_[i].element == fault.element) return;
  }
  if (faults_.size() < kMostFaults) faults_.push_back(std::move(fault));
}

void Reader::span(const Element& at, const char* name, Duration least, Duration most, Duration& into) {
  const auto text = at.attribute(name);
  if (!text) return;
  std::int64_t count = 0;
  const char* const end = text->data() + text->size();
  const auto [unit_at, wrong] = std::from_chars(text->data(), end, count);
  const std::string_view unit(unit_at, static_cast<std::size_t>(end - unit_at));
  const Duration one = unit == "us"   ? Duration(1us)
                       : unit == "ms" ? Duration(1ms)
                       : unit == "s"  ? Duration(1s)
                                      : Duration(60s);
  const Duration value = one * count;
  if (wrong != std::errc() || value < least || value > most)
    return fault(
        at, std::string(name) + "=\"" + *text + "\": not from " + text_of(least) + " to " + text_of(most));
  into = value;
}

void Reader::whole(const Element& at, const char* name, int least, int most, int& into) {
  double value = into;
  number(at, name, least, most, value);
  into = static_cast<int>(value);
}

void Reader::number(const Element& at, const char* name, double least, double most, double& into) {
  const auto text = at.attribute(name);
  if (!text) return;
  double value = 0;
  const char* const end = text->data() + text->size();
  const auto [read_to, wrong] = std::from_chars(text->data(), end, value);
  if (wrong != std::errc() || read_to != end || !(value >= least) || !(value <= most)) {
    char range[80];
    std::snprintf(range, sizeof range, "\": not from %g to %g", least, most);
    return fault(at, std::string(name) + "=\"" + *text + range);
  }
  into = value;
}

void Reader::flag(const Element& at, const char* name, bool& into) {
  if (const auto text = at.attribute(name)) into = *text == "true" || *text == "1";
}

void Reader::sort() {
  std::stable_sort(faults_.begin(), faults_.end(),
                   [](const FileError& a, const FileError& b) { return a.line < b.line; });
}

std::string text_of(Duration span) {
  if (span % 60s == 0s && span > 0s) return std::to_string(span / 60s) + "min";
  if (span % 1s == 0s) return std::to_string(span / 1s) + "s";
  if (span % 1ms == 0s) return std::to_string(span / 1ms) + "ms";
  return std::to_string(span.count()) + "us";
}

}  // namespace marbledyke::xml
