#include "sru/message.h"

#include <libxml/parser.h>
#include <libxml/tree.h>
#include <libxml/xmlwriter.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <memory>

#include "cql/read.h"

namespace marbledyke::sru {
namespace {

using search::Delivered;
using search::Diagnostic;
using search::Reply;
using search::Trouble;

constexpr int kMostParameters = 64;
constexpr int kXmlQuiet = XML_PARSE_NONET | XML_PARSE_NOERROR | XML_PARSE_NOWARNING;

struct Wrong {
  Diagnostic diagnostic;
};
[[noreturn]] void refuse(Trouble what, std::string detail) { throw Wrong{{what, std::move(detail)}}; }

int hex(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// XML 1.0 holds UTF-8 only, and no control characters; a client's bytes may be neither.
std::string sound(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size();) {
    const auto byte = static_cast<unsigned char>(text[i]);
    const int more = byte < 0x80                   ? 0
                     : byte >= 0xc2 && byte < 0xe0 ? 1
                     : byte >= 0xe0 && byte < 0xf0 ? 2
                     : byte >= 0xf0 && byte < 0xf5 ? 3
                                                   : -1;
    bool good = more >= 0 && i + static_cast<std::size_t>(more) < text.size();
    for (int k = 1; good && k <= more; ++k)
      good = (static_cast<unsigned char>(text[i + static_cast<std::size_t>(k)]) & 0xc0) == 0x80;
    // Neither a surrogate nor longer than it need be.
    if (good && more == 2) {
      const int code = (byte & 0x0f) << 6 | (static_cast<unsigned char>(text[i + 1]) & 0x3f);
      good = code >= 0x20 && !(code >= 0x360 && code < 0x380);
    }
    if (good && more == 3) {
      const int code = (byte & 0x07) << 6 | (static_cast<unsigned char>(text[i + 1]) & 0x3f);
      good = code >= 0x10 && code < 0x110;
    }
    if (!good || (more == 0 && byte < 0x20 && byte != '\t' && byte != '\n' && byte != '\r')) {
      out += '?';
      ++i;
      continue;
    }
    out.append(text.substr(i, static_cast<std::size_t>(more) + 1));
    i += static_cast<std::size_t>(more) + 1;
  }
  return out;
}

bool well_formed(const std::string& xml) {
  const std::unique_ptr<xmlDoc, void (*)(xmlDocPtr)> document(
      xmlReadMemory(xml.data(), static_cast<int>(xml.size()), "record.xml", nullptr, kXmlQuiet), xmlFreeDoc);
  // A DTD of its own would be no part of the response's document.
  return document != nullptr && document->intSubset == nullptr;
}

// Without an XML declaration, which may stand at a document's beginning only.
std::string_view body_of(std::string_view xml) {
  if (!xml.starts_with("<?xml")) return xml;
  const std::size_t end = xml.find("?>");
  return end == std::string_view::npos ? xml : xml.substr(end + 2);
}

class Writer {
 public:
  Writer() : buffer_(xmlBufferCreate()), writer_(xmlNewTextWriterMemory(buffer_, 0)) {
    xmlTextWriterStartDocument(writer_, "1.0", "UTF-8", nullptr);
  }
  ~Writer() {
    xmlFreeTextWriter(writer_);
    xmlBufferFree(buffer_);
  }
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void open(const char* name) { xmlTextWriterStartElement(writer_, at(name)); }
  void close() { xmlTextWriterEndElement(writer_); }
  void attribute(const char* name, const std::string& value) {
    xmlTextWriterWriteAttribute(writer_, at(name), at(sound(value).c_str()));
  }
  void text(const std::string& value) { xmlTextWriterWriteString(writer_, at(sound(value).c_str())); }
  void raw(std::string_view value) {
    xmlTextWriterWriteRawLen(writer_, at(value.data()), static_cast<int>(value.size()));
  }
  void put(const char* name, const std::string& value) {
    open(name);
    text(value);
    close();
  }
  void put(const char* name, std::int64_t value) { put(name, std::to_string(value)); }
  std::string done() {
    xmlTextWriterEndDocument(writer_);
    return {reinterpret_cast<const char*>(xmlBufferContent(buffer_)),
            static_cast<std::size_t>(xmlBufferLength(buffer_))};
  }

 private:
  static const xmlChar* at(const char* text) { return reinterpret_cast<const xmlChar*>(text); }
  xmlBufferPtr buffer_;
  xmlTextWriterPtr writer_;
};

const char* text_of(Version version) {
  return version == Version::v2_0 ? "2.0" : version == Version::v1_2 ? "1.2" : "1.1";
}

const char* response_space(Version version) {
  return version == Version::v2_0 ? "http://docs.oasis-open.org/ns/search-ws/sruResponse"
                                  : "http://www.loc.gov/zing/srw/";
}
const char* scan_space(Version version) {
  return version == Version::v2_0 ? "http://docs.oasis-open.org/ns/search-ws/scan"
                                  : "http://www.loc.gov/zing/srw/";
}
const char* diagnostic_space(Version version) {
  return version == Version::v2_0 ? "http://docs.oasis-open.org/ns/search-ws/diagnostic"
                                  : "http://www.loc.gov/zing/srw/diagnostic/";
}

const char* words_of(Trouble trouble) {
  switch (trouble) {
    case Trouble::unavailable:
      return "System temporarily unavailable";
    case Trouble::unsupported_operation:
      return "Unsupported operation";
    case Trouble::unsupported_version:
      return "Unsupported version";
    case Trouble::missing_parameter:
      return "Mandatory parameter not supplied";
    case Trouble::bad_parameter:
      return "Unsupported parameter value";
    case Trouble::unsupported_parameter:
      return "Unsupported parameter";
    case Trouble::syntax:
      return "Query syntax error";
    case Trouble::too_complex:
      return "Too many characters or operators in query";
    case Trouble::unsupported_index:
      return "Unsupported index";
    case Trouble::unsupported_relation:
      return "Unsupported relation";
    case Trouble::unsupported_boolean:
      return "Unsupported boolean operator";
    case Trouble::unsupported_masking:
      return "Masking character not supported";
    case Trouble::empty_term:
      return "Empty term unsupported";
    case Trouble::unknown_database:
      return "Database does not exist";
    case Trouble::databases_together:
      return "Databases cannot be searched together";
    case Trouble::unknown_set:
      return "Result set does not exist";
    case Trouble::set_deleted:
      return "Result set temporarily unavailable";
    case Trouble::out_of_range:
      return "First record position out of range";
    case Trouble::too_many_records:
      return "Too many records";
    case Trouble::record_unavailable:
      return "Record temporarily unavailable";
    case Trouble::unsupported_schema:
      return "Unknown schema for retrieval";
    case Trouble::unsupported_packing:
      return "Unsupported record packing";
    case Trouble::unsupported_sort:
      return "Unsupported path for sort";
    case Trouble::too_many_sort_keys:
      return "Too many sort keys to process";
    case Trouble::partial:
      return "Not all parts answered: counts and records are of those that did";
    default:
      return "General system error";
  }
}

void put_diagnostic(Writer& out, Version version, const Diagnostic& diagnostic) {
  out.open("diag:diagnostic");
  out.attribute("xmlns:diag", diagnostic_space(version));
  out.put("diag:uri", "info:srw/diagnostic/1/" + std::to_string(number_of(diagnostic.what)));
  if (!diagnostic.detail.empty()) out.put("diag:details", diagnostic.detail);
  out.put("diag:message", words_of(diagnostic.what));
  out.close();
}

Diagnostic partial_of(const Reply& reply) {
  return {Trouble::partial,
          std::to_string(reply.answered) + " of " + std::to_string(reply.shards) + " shards answered"};
}

void put_diagnostics(Writer& out, const Request& request, const Reply& reply) {
  const bool partial = !reply.whole && reply.diagnostic.what == Trouble::none;
  if (!partial && reply.diagnostic.what == Trouble::none && reply.notes.empty()) return;
  out.open(request.version == Version::v2_0 ? "sru:diagnostics" : "srw:diagnostics");
  if (reply.diagnostic.what != Trouble::none) put_diagnostic(out, request.version, reply.diagnostic);
  if (partial) put_diagnostic(out, request.version, partial_of(reply));
  for (const Diagnostic& note : reply.notes) put_diagnostic(out, request.version, note);
  out.close();
}

void echo(Writer& out, const Request& request, const std::string& prefix, const char* name) {
  out.open((prefix + name).c_str());
  if (request.version != Version::v2_0) out.put((prefix + "version").c_str(), text_of(request.version));
  for (const char* one :
       {"query", "startRecord", "maximumRecords", "recordPacking", "recordXMLEscaping", "recordSchema",
        "scanClause", "responsePosition", "maximumTerms", "resultSetTTL", "sortKeys"}) {
    const auto at = request.parameters.find(one);
    if (at != request.parameters.end()) out.put((prefix + one).c_str(), at->second);
  }
  out.close();
}

// What a parameter says as a whole number of at least that.
int whole(const Request& request, const char* name, int otherwise, int least) {
  const auto at = request.parameters.find(name);
  if (at == request.parameters.end() || at->second.empty()) return otherwise;
  int out = 0;
  const std::string& text = at->second;
  const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (wrong != std::errc() || end != text.data() + text.size() || out < least)
    refuse(Trouble::bad_parameter, name);
  return out;
}

void parameters(std::string_view text, Request& into) {
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('&'), text.size());
    const std::string_view one = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (one.empty()) continue;
    const std::size_t equals = std::min(one.find('='), one.size());
    const auto name = unescaped(one.substr(0, equals));
    const auto value = unescaped(one.substr(std::min(equals + 1, one.size())));
    if (!name || !value) refuse(Trouble::bad_parameter, std::string(one.substr(0, 100)));
    if (static_cast<int>(into.parameters.size()) >= kMostParameters)
      refuse(Trouble::unsupported_parameter, "more than 64 parameters");
    if (!into.parameters.emplace(*name, *value).second)
      refuse(Trouble::bad_parameter, *name + ": comes twice");
  }
}

const std::string* parameter(const Request& request, const char* name) {
  const auto at = request.parameters.find(name);
  return at == request.parameters.end() ? nullptr : &at->second;
}

void verb(Request& into) {
  const std::string* version = parameter(into, "version");
  if (version == nullptr || version->empty()) {
    into.version = parameter(into, "operation") != nullptr ? Version::v1_2 : Version::v2_0;
  } else if (*version == "2.0") {
    into.version = Version::v2_0;
  } else if (*version == "1.2") {
    into.version = Version::v1_2;
  } else if (*version == "1.1") {
    into.version = Version::v1_1;
  } else {
    refuse(Trouble::unsupported_version, "2.0");  // the highest there is, as the standard has it
  }
  const std::string* operation = parameter(into, "operation");
  if (operation == nullptr) {
    // 2.0 has no operation: what is asked follows from what is there.
    into.verb = parameter(into, "query") != nullptr        ? Verb::search
                : parameter(into, "scanClause") != nullptr ? Verb::scan
                                                           : Verb::explain;
  } else if (*operation == "searchRetrieve") {
    into.verb = Verb::search;
  } else if (*operation == "scan") {
    into.verb = Verb::scan;
  } else if (*operation == "explain") {
    into.verb = Verb::explain;
  } else {
    refuse(Trouble::unsupported_operation, *operation);
  }
}

void clause(Request& into) {
  const std::string* text = parameter(into, "scanClause");
  if (text == nullptr || text->empty()) refuse(Trouble::missing_parameter, "scanClause");
  const auto read = cql::read(*text);
  if (const Diagnostic* wrong = std::get_if<Diagnostic>(&read)) refuse(wrong->what, wrong->detail);
  const search::Query& query = std::get<cql::Read>(read).query;
  if (query.op != search::Op::term) refuse(Trouble::syntax, "a scan clause is one term");
  into.index = query.index;
  into.term = query.value;
}

void search_words(Request& into) {
  const std::string* text = parameter(into, "query");
  if (text == nullptr || text->empty()) refuse(Trouble::missing_parameter, "query");
  const std::string* type = parameter(into, "queryType");
  if (type != nullptr && *type != "cql") refuse(Trouble::bad_parameter, "queryType");
  auto read = cql::read(*text);
  if (const Diagnostic* wrong = std::get_if<Diagnostic>(&read)) refuse(wrong->what, wrong->detail);
  into.query = std::move(std::get<cql::Read>(read).query);
  into.sort = std::move(std::get<cql::Read>(read).sort);
  into.result_set = cql::result_set_of(into.query);
  // The older way to sort: path, schema, ascending (1 or 0) and others, separated by commas.
  if (const std::string* keys = parameter(into, "sortKeys"); keys != nullptr && !keys->empty()) {
    for (std::size_t from = 0; from < keys->size();) {
      const std::size_t to = std::min(keys->find(' ', from), keys->size());
      const std::string key = keys->substr(from, to - from);
      from = to + 1;
      if (key.empty()) continue;
      std::vector<std::string> fields{""};
      for (const char c : key) c == ',' ? void(fields.emplace_back()) : void(fields.back() += c);
      if (into.sort.size() >= 8) refuse(Trouble::too_many_sort_keys, "more than 8");
      into.sort.push_back({fields[0], fields.size() > 2 && fields[2] == "0"});
    }
  }
  into.first = whole(into, "startRecord", 1, 1);
  into.count = whole(into, "maximumRecords", 10, 0);
  into.set_life = std::chrono::seconds(whole(into, "resultSetTTL", 0, 0));
  if (const std::string* schema = parameter(into, "recordSchema")) into.schema = *schema;
  const std::string* packing =
      parameter(into, into.version == Version::v2_0 ? "recordXMLEscaping" : "recordPacking");
  if (packing != nullptr && *packing != "xml" && *packing != "string")
    refuse(Trouble::unsupported_packing, *packing);
  into.as_string = packing != nullptr && *packing == "string";
}

const char* local(const xmlNode* node) { return reinterpret_cast<const char*>(node->name); }

bool is(const xmlNode* node, const char* name) {
  return node->type == XML_ELEMENT_NODE && std::strcmp(local(node), name) == 0;
}

const xmlNode* child(const xmlNode* of, const char* name) {
  for (const xmlNode* at = of == nullptr ? nullptr : of->children; at != nullptr; at = at->next) {
    if (is(at, name)) return at;
  }
  return nullptr;
}

std::string content(const xmlNode* node) {
  if (node == nullptr) return {};
  xmlChar* text = xmlNodeGetContent(node);
  std::string out = text == nullptr ? "" : reinterpret_cast<const char*>(text);
  xmlFree(text);
  return out;
}

std::int64_t count_in(const xmlNode* node) {
  const std::string text = content(node);
  std::int64_t out = 0;
  const std::size_t from = std::min(text.find_first_not_of(" \t\r\n"), text.size());
  std::from_chars(text.data() + from, text.data() + text.size(), out);
  return std::max<std::int64_t>(out, 0);
}

// info:srw/diagnostic/1/61 gives 61; of another list 1, a general error.
int diagnostic_number(const std::string& uri) {
  constexpr std::string_view kList = "info:srw/diagnostic/1/";
  if (!uri.starts_with(kList)) return 1;
  int out = 0;
  std::from_chars(uri.data() + kList.size(), uri.data() + uri.size(), out);
  return out > 0 ? out : 1;
}

}  // namespace

std::optional<std::string> unescaped(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      out += ' ';
    } else if (text[i] == '%') {
      if (i + 2 >= text.size() || hex(text[i + 1]) < 0 || hex(text[i + 2]) < 0) return std::nullopt;
      out += static_cast<char>(hex(text[i + 1]) * 16 + hex(text[i + 2]));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string query_escaped(std::string_view text) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if ((byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9') ||
        byte == '-' || byte == '.' || byte == '_' || byte == '~') {
      out += c;
    } else {
      out += '%';
      out += kDigits[byte >> 4];
      out += kDigits[byte & 15];
    }
  }
  return out;
}

int number_of(Trouble trouble) {
  switch (trouble) {
    case Trouble::unavailable:
    case Trouble::too_busy:
    case Trouble::partial:
      return 2;
    case Trouble::unsupported_operation:
      return 4;
    case Trouble::unsupported_version:
      return 5;
    case Trouble::bad_parameter:
      return 6;
    case Trouble::missing_parameter:
      return 7;
    case Trouble::unsupported_parameter:
      return 8;
    case Trouble::syntax:
      return 10;
    case Trouble::too_complex:
      return 12;
    case Trouble::unsupported_index:
      return 16;
    case Trouble::unsupported_relation:
      return 19;
    case Trouble::empty_term:
      return 27;
    case Trouble::unsupported_masking:
      return 28;
    case Trouble::unsupported_boolean:
      return 37;
    case Trouble::unknown_set:
      return 51;
    case Trouble::set_deleted:
      return 52;
    case Trouble::too_many_records:
      return 60;
    case Trouble::out_of_range:
      return 61;
    case Trouble::record_unavailable:
      return 64;
    case Trouble::unsupported_schema:
      return 66;
    case Trouble::unsupported_packing:
      return 71;
    case Trouble::too_many_sort_keys:
      return 84;
    case Trouble::unsupported_sort:
      return 89;
    case Trouble::unknown_database:
    case Trouble::databases_together:
      return 235;
    default:
      return 1;
  }
}

Request read_request(const net::HttpMessage& message) {
  Request out;
  try {
    const std::string& target = message.target_or_status;
    const std::size_t mark = std::min(target.find('?'), target.size());
    const auto path = unescaped(std::string_view(target).substr(0, mark));
    if (!path) refuse(Trouble::unknown_database, target.substr(0, std::min<std::size_t>(mark, 100)));
    out.database = path->substr(std::min(path->find_first_not_of('/'), path->size()));
    parameters(std::string_view(target).substr(std::min(mark + 1, target.size())), out);
    if (message.method_or_version == "POST") {
      const std::string* type = message.header("content-type");
      if (type != nullptr && !type->starts_with("application/x-www-form-urlencoded"))
        refuse(Trouble::unsupported_operation, "a body that is no form");
      parameters(message.body, out);
    }
    verb(out);
    const std::string* limit = parameter(out, "x-deadline-ms");
    if (limit == nullptr) limit = message.header("x-deadline-ms");
    if (limit != nullptr) {
      std::int64_t ms = 0;
      const auto [end, wrong] = std::from_chars(limit->data(), limit->data() + limit->size(), ms);
      if (wrong != std::errc() || end != limit->data() + limit->size() || ms < 1 || ms > 3'600'000)
        refuse(Trouble::bad_parameter, "x-deadline-ms");
      out.patience = std::chrono::milliseconds(ms);
    }
    if (out.verb == Verb::search) search_words(out);
    if (out.verb == Verb::scan) {
      clause(out);
      out.position = whole(out, "responsePosition", 1, 0);
      out.terms = whole(out, "maximumTerms", 10, 1);
    }
  } catch (const Wrong& wrong) {
    out.wrong = wrong.diagnostic;
  }
  return out;
}

std::string search_body(const Request& request, const Reply& reply) {
  const bool two = request.version == Version::v2_0;
  const std::string p = two ? "sru:" : "srw:";
  const auto name = [&](const char* one) { return p + one; };
  Writer out;
  out.open(name("searchRetrieveResponse").c_str());
  out.attribute(two ? "xmlns:sru" : "xmlns:srw", response_space(request.version));
  if (!two) out.put("srw:version", text_of(request.version));
  out.put(name("numberOfRecords").c_str(), reply.hits);
  const bool has_set = !reply.set.empty() && reply.diagnostic.what == Trouble::none;
  if (has_set) out.put(name("resultSetId").c_str(), reply.set);
  if (has_set && reply.set_life > Duration::zero())
    out.put(name(two ? "resultSetTTL" : "resultSetIdleTime").c_str(),
            reply.set_life / std::chrono::seconds(1));
  if (!reply.records.empty()) {
    out.open(name("records").c_str());
    for (const Delivered& one : reply.records) {
      out.open(name("record").c_str());
      const bool missing = one.trouble != Trouble::none;
      const bool whole = !missing && !request.as_string && well_formed(one.record.xml);
      out.put(name("recordSchema").c_str(), missing ? "info:srw/schema/1/diagnostics-v1.1"
                                            : one.record.schema.find(':') == std::string::npos
                                                ? reply.schema
                                                : one.record.schema);
      out.put(name(two ? "recordXMLEscaping" : "recordPacking").c_str(), missing || whole ? "xml" : "string");
      out.open(name("recordData").c_str());
      if (missing) {
        put_diagnostic(out, request.version, {one.trouble, ""});
      } else if (whole) {
        out.raw(body_of(one.record.xml));
      } else {
        out.text(one.record.xml);
      }
      out.close();
      if (!one.record.id.empty() && request.version != Version::v1_1)
        out.put(name("recordIdentifier").c_str(), one.record.id);
      out.put(name("recordPosition").c_str(), one.position);
      out.close();
    }
    out.close();
  }
  if (reply.next > 0 && reply.diagnostic.what == Trouble::none)
    out.put(name("nextRecordPosition").c_str(), reply.next);
  if (!two) echo(out, request, p, "echoedSearchRetrieveRequest");
  put_diagnostics(out, request, reply);
  if (two) {
    echo(out, request, p, "echoedSearchRetrieveRequest");
    // What was counted at some of the shards is the least there can be.
    out.put("sru:resultCountPrecision",
            std::string("info:srw/vocabulary/resultCountPrecision/1/") + (reply.whole ? "exact" : "minimum"));
  }
  out.close();
  return out.done();
}

std::string scan_body(const Request& request, const Reply& reply) {
  const bool two = request.version == Version::v2_0;
  const std::string p = two ? "scan:" : "srw:";
  const auto name = [&](const char* one) { return p + one; };
  Writer out;
  out.open(name("scanResponse").c_str());
  out.attribute(two ? "xmlns:scan" : "xmlns:srw", scan_space(request.version));
  if (two) out.attribute("xmlns:sru", response_space(request.version));
  if (!two) out.put("srw:version", text_of(request.version));
  if (!reply.terms.empty()) {
    out.open(name("terms").c_str());
    for (const search::ScanTerm& term : reply.terms) {
      out.open(name("term").c_str());
      out.put(name("value").c_str(), term.term);
      out.put(name("numberOfRecords").c_str(), term.count);
      out.close();
    }
    out.close();
  }
  echo(out, request, p, "echoedScanRequest");
  put_diagnostics(out, request, reply);
  out.close();
  return out.done();
}

std::string diagnostic_body(const Request& request, const Diagnostic& diagnostic) {
  Reply reply;
  reply.diagnostic = diagnostic;
  return request.verb == Verb::scan ? scan_body(request, reply) : search_body(request, reply);
}

std::string explain_body(const Request& request, const search::Database& database, const std::string& host,
                         int port, const search::Limits& limits) {
  const bool two = request.version == Version::v2_0;
  Writer out;
  const std::string p = two ? "sru:" : "srw:";
  out.open((p + "explainResponse").c_str());
  out.attribute(two ? "xmlns:sru" : "xmlns:srw", response_space(request.version));
  if (!two) out.put("srw:version", text_of(request.version));
  out.open((p + "record").c_str());
  out.put((p + "recordSchema").c_str(), "http://explain.z3950.org/dtd/2.0/");
  out.put((p + (two ? "recordXMLEscaping" : "recordPacking")).c_str(), "xml");
  out.open((p + "recordData").c_str());
  out.open("zr:explain");
  out.attribute("xmlns:zr", "http://explain.z3950.org/dtd/2.0/");
  out.open("zr:serverInfo");
  out.attribute("protocol", "SRU");
  out.attribute("version", text_of(request.version));
  out.attribute("transport", "http");
  out.attribute("method", "GET POST");
  out.put("zr:host", host);
  out.put("zr:port", port);
  out.put("zr:database", database.name);
  out.close();
  out.open("zr:databaseInfo");
  out.put("zr:title", database.title.empty() ? database.name : database.title);
  if (!database.description.empty()) out.put("zr:description", database.description);
  out.close();
  out.open("zr:indexInfo");
  std::vector<std::string> sets;
  for (const search::Index& index : database.indexes) {
    const std::string set = index.name.substr(0, std::min(index.name.find('.'), index.name.size()));
    if (std::find(sets.begin(), sets.end(), set) == sets.end()) sets.push_back(set);
  }
  for (const std::string& set : sets) {
    out.open("zr:set");
    out.attribute("name", set);
    out.attribute("identifier", set == "dc"    ? "info:srw/cql-context-set/1/dc-v1.1"
                                : set == "cql" ? "info:srw/cql-context-set/1/cql-v1.2"
                                : set == "bib" ? "info:srw/cql-context-set/1/bib-v1.1"
                                               : "urn:marbledyke:context-set:" + set);
    out.close();
  }
  for (const search::Index& index : database.indexes) {
    out.open("zr:index");
    out.attribute("search", "true");
    out.attribute("scan", index.scan ? "true" : "false");
    out.attribute("sort", index.sort ? "true" : "false");
    out.put("zr:title", index.title.empty() ? index.name : index.title);
    out.open("zr:map");
    const std::size_t dot = index.name.find('.');
    out.open("zr:name");
    if (dot != std::string::npos) out.attribute("set", index.name.substr(0, dot));
    out.text(dot == std::string::npos ? index.name : index.name.substr(dot + 1));
    out.close();
    out.close();
    if (index.use > 0) {
      out.open("zr:map");
      out.open("zr:attr");
      out.attribute("type", "1");
      out.attribute("set", "bib-1");
      out.text(std::to_string(index.use));
      out.close();
      out.close();
    }
    out.close();
  }
  out.close();
  out.open("zr:schemaInfo");
  for (const search::Schema& schema : database.schemas) {
    out.open("zr:schema");
    out.attribute("name", schema.name);
    out.attribute("identifier", schema.identifier);
    out.put("zr:title", schema.name);
    out.close();
  }
  out.close();
  out.open("zr:configInfo");
  const auto configured = [&](const char* element, const char* type, std::int64_t value) {
    out.open(element);
    out.attribute("type", type);
    out.text(std::to_string(value));
    out.close();
  };
  configured("zr:default", "numberOfRecords", 10);
  configured("zr:setting", "maximumRecords", limits.records);
  configured("zr:setting", "resultSetTTL", limits.set_life / std::chrono::seconds(1));
  out.close();
  out.close();
  out.close();
  out.close();
  out.close();
  return out.done();
}

std::string search_target(const std::string& path, const search::PartAsk& ask, int first, int count,
                          const std::string& schema) {
  std::string cql = ask.cql;
  for (std::size_t i = 0; i < ask.sort.size(); ++i)
    cql += (i == 0 ? " sortBy " : " ") + ask.sort[i].index +
           (ask.sort[i].descending ? "/sort.descending" : "/sort.ascending");
  return "/" + query_escaped(path) + "?version=1.2&operation=searchRetrieve&query=" + query_escaped(cql) +
         "&startRecord=" + std::to_string(first) + "&maximumRecords=" + std::to_string(count) +
         "&recordPacking=xml&recordSchema=" + query_escaped(schema);
}

std::string scan_target(const std::string& path, const search::PartAsk& ask) {
  search::Query term;
  term.index = ask.index;
  term.value = ask.term;
  return "/" + query_escaped(path) +
         "?version=1.2&operation=scan&scanClause=" + query_escaped(search::cql_of(term)) +
         "&responsePosition=1&maximumTerms=" + std::to_string(ask.count);
}

std::optional<Response> read_response(const std::string& xml) {
  const std::unique_ptr<xmlDoc, void (*)(xmlDocPtr)> document(
      xmlReadMemory(xml.data(), static_cast<int>(xml.size()), "response.xml", nullptr, kXmlQuiet),
      xmlFreeDoc);
  if (document == nullptr || document->intSubset != nullptr) return std::nullopt;
  const xmlNode* root = xmlDocGetRootElement(document.get());
  if (root == nullptr || (!is(root, "searchRetrieveResponse") && !is(root, "scanResponse")))
    return std::nullopt;
  Response out;
  if (const xmlNode* list = child(root, "diagnostics")) {
    for (const xmlNode* at = list->children; at != nullptr && out.diagnostic == 0; at = at->next) {
      if (!is(at, "diagnostic")) continue;
      out.diagnostic = diagnostic_number(content(child(at, "uri")));
      out.words = content(child(at, "message"));
      const std::string details = content(child(at, "details"));
      if (!details.empty()) out.words += ": " + details;
    }
  }
  const xmlNode* hits = child(root, "numberOfRecords");
  if (is(root, "searchRetrieveResponse") && hits == nullptr && out.diagnostic == 0) return std::nullopt;
  out.result.hits = count_in(hits);
  if (const xmlNode* list = child(root, "records")) {
    for (const xmlNode* at = list->children; at != nullptr; at = at->next) {
      if (!is(at, "record")) continue;
      search::Record record;
      record.schema = content(child(at, "recordSchema"));
      record.id = content(child(at, "recordIdentifier"));
      const xmlNode* data = child(at, "recordData");
      const xmlNode* element = data == nullptr ? nullptr : data->children;
      while (element != nullptr && element->type != XML_ELEMENT_NODE) element = element->next;
      // A record that it cannot give now; what comes behind it could not be placed.
      if (element != nullptr && is(element, "diagnostic") &&
          record.schema.find("diagnostics") != std::string::npos)
        break;
      if (element != nullptr) {
        // With the namespaces that are declared further out.
        xmlNode* copy = xmlDocCopyNode(const_cast<xmlNode*>(element), document.get(), 1);
        xmlBufferPtr buffer = xmlBufferCreate();
        xmlNodeDump(buffer, document.get(), copy, 0, 0);
        record.xml.assign(reinterpret_cast<const char*>(xmlBufferContent(buffer)),
                          static_cast<std::size_t>(xmlBufferLength(buffer)));
        xmlBufferFree(buffer);
        xmlFreeNode(copy);
      } else {
        record.xml = content(data);
      }
      out.result.records.push_back(std::move(record));
    }
  }
  if (const xmlNode* list = child(root, "terms")) {
    for (const xmlNode* at = list->children; at != nullptr; at = at->next) {
      if (!is(at, "term")) continue;
      out.result.terms.push_back({content(child(at, "value")), count_in(child(at, "numberOfRecords"))});
    }
  }
  return out;
}

}  // namespace marbledyke::sru
