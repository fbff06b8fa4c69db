#include "z3950/front.h"

#include <yaz/diagbib1.h>
#include <yaz/oid_db.h>
#include <yaz/oid_util.h>
#include <yaz/proto.h>

#include <algorithm>
#include <cstring>

#include "cql/read.h"
#include "log/log.h"
#include "z3950/ber.h"
#include "z3950/odr.h"
#include "z3950/rpn.h"

namespace marbledyke::z3950 {
namespace {

using namespace std::chrono_literals;
using search::Diagnostic;
using search::Reply;
using search::Trouble;

constexpr Duration kTimeoutCheckInterval = 100ms;
constexpr Duration kRequestTimeout = 2s;   // for the Init, and from a message's first byte to its last
constexpr std::size_t kMaxBerDepth = 500;  // of nested elements
constexpr std::size_t kMaxOutputBytes = 16 * 1024 * 1024;
constexpr std::size_t kMaxUnreadBytes = 256 * 1024;  // of responses; beyond it no operation begins
constexpr int kMaxMessagesPerTurn = 16;              // of one client, so that others are served in between
constexpr std::int64_t kMinMessageBytes = 4096;
constexpr std::size_t kScarceInputBytes = 4096;  // of messages that wait, where memory is scarce

// Whether a message is handled while an operation is pending: trigger resource control (tag 32) and close
// (tag 48).
bool is_urgent(const std::string& message) {
  if (message.size() < 2) return false;
  const auto first = static_cast<unsigned char>(message[0]), second = static_cast<unsigned char>(message[1]);
  return first == 0xbf && (second == 0x20 || second == 0x30);
}

std::string text(const char* from) { return from == nullptr ? std::string() : from; }

std::optional<std::string> reference(const Z_ReferenceId* id) {
  if (id == nullptr) return std::nullopt;
  return text_of(*id);
}

Z_ReferenceId* put_reference(ODR odr, const std::optional<std::string>& id) {
  if (!id) return nullptr;
  return odr_create_Odr_oct(odr, id->data(), static_cast<int>(id->size()));
}

const char* condition(Trouble trouble) { return diagbib1_str(bib1_of(trouble)); }

std::string addition(const Diagnostic& diagnostic, Duration come_back) {
  std::string out = diagnostic.detail;
  if (come_back > 0s) {
    if (!out.empty()) out += "; ";
    out += "try again in " + std::to_string((come_back + 999us) / 1ms) + " ms";
  }
  return out;
}

Z_Records* put_diagnostic(ODR odr, const Diagnostic& diagnostic, Duration come_back = {}) {
  Z_Records* const out = made<Z_Records>(odr);
  out->which = Z_Records_NSD;
  out->u.nonSurrogateDiagnostic =
      zget_DefaultDiagFormat(odr, bib1_of(diagnostic.what), addition(diagnostic, come_back).c_str());
  return out;
}

enum class Syntax { xml, sutrs, unsupported };

Syntax syntax_of(const Odr_oid* oid) {
  if (oid == nullptr || oid_oidcmp(oid, yaz_oid_recsyn_xml) == 0) return Syntax::xml;
  if (oid_oidcmp(oid, yaz_oid_recsyn_sutrs) == 0) return Syntax::sutrs;
  return Syntax::unsupported;
}

// F and B, full and brief, are what every server knows; any other name is a schema's.
std::string schema_of(const char* element_set) {
  const std::string name = text(element_set);
  return name == "F" || name == "f" || name == "B" || name == "b" ? std::string() : name;
}

std::variant<std::string, Diagnostic> schema_of(const Z_RecordComposition* composition) {
  if (composition == nullptr) return std::string();
  if (composition->which == Z_RecordComp_simple) {
    if (composition->u.simple->which != Z_ElementSetNames_generic)
      return Diagnostic{Trouble::unsupported_schema, "by database"};
    return schema_of(composition->u.simple->u.generic);
  }
  const Z_CompSpec& complex = *composition->u.complex;
  if (complex.generic == nullptr) return Diagnostic{Trouble::unsupported_schema, "by database"};
  if (complex.generic->which == Z_Schema_uri && complex.generic->schema.uri != nullptr)
    return text(complex.generic->schema.uri);
  if (complex.generic->elementSpec != nullptr &&
      complex.generic->elementSpec->which == Z_ElementSpec_elementSetName)
    return schema_of(complex.generic->elementSpec->u.elementSetName);
  return std::string();
}

}  // namespace

int bib1_of(Trouble trouble) {
  switch (trouble) {
    case Trouble::unavailable:
    case Trouble::too_busy:
      return 2;
    case Trouble::unsupported_operation:
      return 3;
    case Trouble::syntax:
      return 108;
    case Trouble::too_complex:
      return 11;
    case Trouble::unsupported_index:
      return 114;
    case Trouble::unsupported_relation:
      return 117;
    case Trouble::unsupported_boolean:
      return 110;
    case Trouble::unsupported_masking:
      return 120;
    case Trouble::empty_term:
      return 125;
    case Trouble::unknown_database:
      return 235;
    case Trouble::databases_together:
      return 23;
    case Trouble::unknown_set:
      return 30;
    case Trouble::set_deleted:
      return 27;
    case Trouble::set_exists:
      return 21;
    case Trouble::too_many_sets:
      return 112;
    case Trouble::out_of_range:
      return 13;
    case Trouble::too_many_records:
      return 12;
    case Trouble::record_unavailable:
      return 14;
    case Trouble::unsupported_schema:
      return 25;
    case Trouble::unsupported_packing:
      return 239;
    case Trouble::unsupported_sort:
      return 207;
    case Trouble::too_many_sort_keys:
      return 230;
    case Trouble::partial:
      return 33;
    default:
      return 1;
  }
}

// An operation whose response has not been sent.
struct Front::PendingOperation {
  int kind = 0;  // the request's Z_APDU_...
  std::optional<std::string> reference;
  std::string database;
  Syntax syntax = Syntax::xml;
  int count = 0;
};

struct Front::Association {
  std::uint64_t number = 0;
  std::unique_ptr<net::Stream> stream;
  BerScanner scanner;
  std::string partial_message;   // received so far
  std::string deferred_message;  // complete, but not handled before other operations have ended
  Duration first_byte_at{}, since{};
  search::Session session = 0;
  bool initialised = false, concurrent = false, segments = false;
  bool is_closing = false;  // after the last response; input is discarded until the client closes
  bool is_reading_scheduled = false;
  std::int64_t preferred = 0, exceptional = 0;  // sizes of messages and records, as negotiated
  std::map<search::Operation, PendingOperation> pending;

  net::MemoryHolder memory;

  Association(std::size_t max_message_bytes, net::MemoryBudget& budget,
              std::function<void(Association&)> release)
      : scanner(max_message_bytes, kMaxBerDepth), memory(budget, [this, release] { release(*this); }) {}
};

Front::Front(net::Loop& loop, net::MemoryBudget& memory, const search::Terms& terms,
             const config::ServiceSettings& settings, const net::Address& listen, std::uint32_t seed,
             std::size_t max_connections)
    : DeskFront(loop, memory, terms, settings, seed),
      max_connections_(max_connections),
      listener_(std::make_unique<net::Listener>(
          loop, listen,
          net::Listener::Callbacks{[this] { return associations_.size() < max_connections_; },
                                   [this] { return release_connection(); },
                                   [this](net::Descriptor fd) { add_connection(std::move(fd)); }})) {
  check_timeouts();
}

Front::~Front() {
  if (timeout_timer_) loop_.cancel(*timeout_timer_);
}

void Front::add_connection(net::Descriptor fd) {
  tally_.accepted += 1;
  auto made = std::make_unique<Association>(desk_.limits().message, memory_,
                                            [this](Association& one) { release_memory(one); });
  Association* const association = made.get();
  association->number = next_number_++;
  association->since = loop_.now();
  associations_.emplace(association->number, std::move(made));
  association->stream = std::make_unique<net::Stream>(
      loop_, std::move(fd), true, desk_.limits().message, kMaxOutputBytes,
      net::Stream::Callbacks{nullptr, [this, association] { on_data_received(*association); },
                             [this, association] { on_output_written(*association); },
                             [this, association](bool) { close(*association); }});
}

// Operations run one after the other unless concurrent ones were negotiated. None begins for a client that
// does not read its responses.
bool Front::may_begin_operation(const Association& association) const {
  if (association.stream->is_closed() || association.is_closing) return false;
  if (association.stream->out().size() > kMaxUnreadBytes) return false;
  return association.pending.size() < (association.concurrent ? desk_.limits().operations : 1);
}

void Front::on_data_received(Association& association) {
  receive(association);
  update_memory(association);
}

// A session with a pending operation is kept. Others may be opened again.
std::optional<Duration> Front::releasable_since(const Association& association) const {
  if (association.stream->is_closed()) return std::nullopt;
  if (association.is_closing) return association.since;
  if (!association.pending.empty()) return std::nullopt;
  if (!association.stream->out().empty()) return association.since;
  return association.scanner.begun() ? std::optional(association.first_byte_at) : std::nullopt;
}

void Front::update_memory(Association& association) {
  association.memory.update(association.stream->held_bytes() + association.partial_message.capacity() +
                                association.deferred_message.capacity(),
                            releasable_since(association));
  const bool is_scarce = !memory_.fits(memory_.limit() / 2);
  association.stream->limit_input(is_scarce ? kScarceInputBytes : desk_.limits().message);
}

void Front::release_memory(Association& association) {
  if (association.is_closing || !association.stream->out().empty()) return close(association);
  std::string().swap(association.partial_message);
  send_close(association, Z_Close_systemProblem, "no room");
}

void Front::receive(Association& association) {
  net::RingBuffer& in = association.stream->in();
  if (association.is_closing) return in.clear();
  if (association.is_reading_scheduled) return;
  if (!association.deferred_message.empty() && may_begin_operation(association)) {
    on_message(association, std::exchange(association.deferred_message, {}));
    if (association.stream->is_closed() || association.is_closing) return;
  }
  // One message is read ahead, so that a cancel or a close is handled while an operation is pending.
  for (int messages = 0; !in.empty() && association.deferred_message.empty();) {
    if (!association.scanner.begun()) association.first_byte_at = loop_.now();
    const std::string_view bytes = in.front();
    const std::size_t used = association.scanner.take(bytes);
    association.partial_message.append(bytes.substr(0, used));
    in.consume(used);
    if (association.scanner.state() == BerScanner::State::bad) {
      tally_.malformed += 1;
      return send_close(association, Z_Close_protocolError, association.scanner.complaint());
    }
    if (association.scanner.state() != BerScanner::State::done) continue;
    association.scanner.restart();
    std::string whole = std::exchange(association.partial_message, {});
    if (!may_begin_operation(association) && !is_urgent(whole)) {
      association.deferred_message = std::move(whole);
      return;
    }
    on_message(association, whole);
    if (association.stream->is_closed() || association.is_closing) return;
    if (++messages == kMaxMessagesPerTurn) return schedule_reading(association);
  }
}

// Handles deferred messages, and what has been received meanwhile, after the events of other connections.
void Front::schedule_reading(Association& association) {
  if (std::exchange(association.is_reading_scheduled, true)) return;
  loop_.call_at(loop_.now(), [this, number = association.number, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) return;
    const auto found = associations_.find(number);
    if (found == associations_.end()) return;
    Association& next = *found->second;  // may be closed below, but is destroyed only after the turn
    next.is_reading_scheduled = false;
    on_data_received(next);
    next.stream->resume_reading();
  });
}

void Front::on_message(Association& association, const std::string& bytes) {
  tally_.messages += 1;
  association.since = loop_.now();
  const Odr odr = make_odr(ODR_DECODE);
  std::string copy = bytes;  // YAZ wants it writable
  odr_setbuf(odr.get(), copy.data(), static_cast<int>(copy.size()), 0);
  Z_APDU* apdu = nullptr;
  if (z_APDU(odr.get(), &apdu, 0, nullptr) == 0 || apdu == nullptr) {
    tally_.malformed += 1;
    static log::RateLimitedEvent throttled(log::Level::info, "z3950.malformed");
    throttled.write({{"bytes", bytes.size()}});
    return send_close(association, Z_Close_protocolError, "a message that cannot be decoded");
  }
  if (association.initialised != (apdu->which != Z_APDU_initRequest) && apdu->which != Z_APDU_close) {
    tally_.out_of_order += 1;
    return send_close(association, Z_Close_protocolError,
                      association.initialised ? "a second Init" : "an Init comes first");
  }
  desk_.clock(loop_.now());
  if (association.session != 0) desk_.heard(association.session);
  switch (apdu->which) {
    case Z_APDU_initRequest:
      return init(association, *apdu);
    case Z_APDU_searchRequest:
      search_request(association, *apdu);
      break;
    case Z_APDU_presentRequest:
      present_request(association, *apdu);
      break;
    case Z_APDU_scanRequest:
      scan_request(association, *apdu);
      break;
    case Z_APDU_sortRequest:
      sort_request(association, *apdu);
      break;
    case Z_APDU_deleteResultSetRequest:
      delete_request(association, *apdu);
      break;
    case Z_APDU_triggerResourceControlRequest:
      cancel_request(association, *apdu);
      break;
    case Z_APDU_close:
      tally_.closed += 1;
      return send_close(association, Z_Close_finished, "as asked");
    default:
      return send_close(association, Z_Close_protocolError, "a service that was not agreed upon");
  }
  pump();
}

void Front::init(Association& association, const Z_APDU& apdu) {
  const Z_InitRequest& request = *apdu.u.initRequest;
  const auto session = closes_after_answers_ ? std::nullopt : desk_.open();
  const Odr odr = make_odr(ODR_ENCODE);
  Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_initResponse);
  Z_InitResponse& response = *out->u.initResponse;
  response.referenceId = put_reference(odr.get(), reference(request.referenceId));
  const auto most = static_cast<std::int64_t>(desk_.limits().answer);
  association.preferred = std::clamp<std::int64_t>(*request.preferredMessageSize, kMinMessageBytes, most);
  association.exceptional = std::clamp<std::int64_t>(*request.maximumRecordSize, association.preferred, most);
  *response.preferredMessageSize = association.preferred;
  *response.maximumRecordSize = association.exceptional;
  const auto wants = [&](int option) { return ODR_MASK_GET(request.options, option) != 0; };
  const auto offers = [&](int option) {
    if (!wants(option)) return false;
    ODR_MASK_SET(response.options, option);
    return true;
  };
  ODR_MASK_ZERO(response.options);
  for (const int option : {Z_Options_search, Z_Options_present, Z_Options_delSet, Z_Options_scan,
                           Z_Options_sort, Z_Options_namedResultSets, Z_Options_triggerResourceCtrl})
    offers(option);
  association.concurrent = offers(Z_Options_concurrentOperations);
  association.segments = offers(Z_Options_level_1Segmentation);
  ODR_MASK_ZERO(response.protocolVersion);
  for (const int version : {Z_ProtocolVersion_1, Z_ProtocolVersion_2, Z_ProtocolVersion_3}) {
    if (ODR_MASK_GET(request.protocolVersion, version)) ODR_MASK_SET(response.protocolVersion, version);
  }
  response.implementationName = odr_strdup(odr.get(), "marbledyke");
  *response.result = session ? 1 : 0;
  if (session) {
    association.initialised = true;
    association.session = *session;
    associations_by_session_[*session] = association.number;
  } else {
    tally_.refused += 1;
  }
  send(association, *out);
  // An Init that is turned down ends the association, and the client may come again.
  if (!session && !association.stream->is_closed()) {
    association.is_closing = true;
    on_output_written(association);
  }
  pump();
}

void Front::add_pending(Association& association, search::Operation operation, PendingOperation&& pending) {
  associations_by_operation_[operation] = association.number;
  association.pending.emplace(operation, std::move(pending));
}

void Front::search_request(Association& association, const Z_APDU& apdu) {
  const Z_SearchRequest& request = *apdu.u.searchRequest;
  PendingOperation pending;
  pending.kind = Z_APDU_searchRequest;
  pending.reference = reference(request.referenceId);
  pending.syntax = syntax_of(request.preferredRecordSyntax);
  search::SearchAsk ask;
  Diagnostic wrong;
  for (int i = 0; i < request.num_databaseNames; ++i) ask.databases.push_back(request.databaseNames[i]);
  if (ask.databases.size() == 1) pending.database = ask.databases.front();
  const search::Database* database =
      ask.databases.size() == 1 ? search::find(desk_.terms(), ask.databases.front()) : nullptr;
  if (ask.databases.size() != 1) {
    wrong = {Trouble::databases_together, ""};
  } else if (database == nullptr) {
    wrong = {Trouble::unknown_database, ask.databases.front()};
  } else if (request.query->which == Z_Query_type_1 || request.query->which == Z_Query_type_101) {
    auto read = read_rpn(
        request.query->which == Z_Query_type_1 ? *request.query->u.type_1 : *request.query->u.type_101,
        *database);
    if (auto* query = std::get_if<search::Query>(&read)) {
      ask.query = std::move(*query);
    } else {
      wrong = std::get<Diagnostic>(read);
    }
  } else if (request.query->which == Z_Query_type_104 && request.query->u.type_104->which == Z_External_CQL) {
    auto read = cql::read(request.query->u.type_104->u.cql);
    if (auto* query = std::get_if<cql::Read>(&read)) {
      ask.query = std::move(query->query);
      ask.sort = std::move(query->sort);
    } else {
      wrong = std::get<Diagnostic>(read);
    }
  } else {
    wrong = {Trouble::unsupported_operation, "a query of another type than 1, 101 or CQL"};
  }
  ask.set = text(request.resultSetName);
  if (ask.set.empty()) ask.set = "default";
  ask.replace = *request.replaceIndicator != 0;
  ask.by_hits =
      search::ByHits{*request.smallSetUpperBound, *request.largeSetLowerBound,
                     static_cast<int>(std::clamp<Odr_int>(*request.mediumSetPresentNumber, 0, 100'000))};
  if (request.smallSetElementSetNames != nullptr &&
      request.smallSetElementSetNames->which == Z_ElementSetNames_generic)
    ask.schema = schema_of(request.smallSetElementSetNames->u.generic);
  if (pending.syntax == Syntax::unsupported && (ask.by_hits->small > 0 || ask.by_hits->medium > 0))
    wrong = {Trouble::unsupported_packing, ""};
  if (wrong.what != Trouble::none) {
    static log::RateLimitedEvent throttled(log::Level::info, "z3950.bad_search");
    throttled.write({{"diagnostic", bib1_of(wrong.what)}, {"why", wrong.detail}});
    Reply reply;
    reply.diagnostic = wrong;
    return answer_search(association, pending, reply);
  }
  const search::Operation operation =
      desk_.search(association.session, std::move(ask), {association.first_byte_at, std::nullopt});
  add_pending(association, operation, std::move(pending));
}

void Front::present_request(Association& association, const Z_APDU& apdu) {
  const Z_PresentRequest& request = *apdu.u.presentRequest;
  PendingOperation pending;
  pending.kind = Z_APDU_presentRequest;
  pending.reference = reference(request.referenceId);
  pending.syntax = syntax_of(request.preferredRecordSyntax);
  pending.count = static_cast<int>(std::clamp<Odr_int>(*request.numberOfRecordsRequested, 0, 100'000));
  Diagnostic wrong;
  const auto schema = schema_of(request.recordComposition);
  if (const Diagnostic* its = std::get_if<Diagnostic>(&schema)) wrong = *its;
  if (pending.syntax == Syntax::unsupported) wrong = {Trouble::unsupported_packing, ""};
  if (request.num_ranges > 0) wrong = {Trouble::unsupported_operation, "additional ranges"};
  if (wrong.what != Trouble::none) {
    Reply reply;
    reply.diagnostic = wrong;
    return answer_present(association, pending, reply);
  }
  search::PresentAsk ask;
  ask.set = text(request.resultSetId);
  if (ask.set.empty()) ask.set = "default";
  ask.first = static_cast<int>(std::clamp<Odr_int>(*request.resultSetStartPoint, 0, 1'000'000'000));
  ask.count = pending.count;
  ask.schema = std::get<std::string>(schema);
  add_pending(association, desk_.present(association.session, ask, {association.first_byte_at, std::nullopt}),
              std::move(pending));
}

void Front::scan_request(Association& association, const Z_APDU& apdu) {
  const Z_ScanRequest& request = *apdu.u.scanRequest;
  PendingOperation pending;
  pending.kind = Z_APDU_scanRequest;
  pending.reference = reference(request.referenceId);
  Diagnostic wrong;
  search::ScanAsk ask;
  ask.database = request.num_databaseNames == 1 ? text(request.databaseNames[0]) : std::string();
  const search::Database* database = search::find(desk_.terms(), ask.database);
  if (request.num_databaseNames != 1) {
    wrong = {Trouble::databases_together, ""};
  } else if (database == nullptr) {
    wrong = {Trouble::unknown_database, ask.database};
  } else if (request.stepSize != nullptr && *request.stepSize != 0) {
    wrong = {Trouble::bad_parameter, "a step size other than 0"};
  } else {
    auto read = read_scan(*request.termListAndStartPoint, *database);
    if (auto* its = std::get_if<std::pair<std::string, std::string>>(&read)) {
      std::tie(ask.index, ask.term) = std::move(*its);
    } else {
      wrong = std::get<Diagnostic>(read);
    }
  }
  ask.count = static_cast<int>(std::clamp<Odr_int>(*request.numberOfTermsRequested, 0, 100'000));
  if (request.preferredPositionInResponse != nullptr)
    ask.position = *request.preferredPositionInResponse == 0 ? 0 : 1;
  if (wrong.what != Trouble::none) {
    Reply reply;
    reply.diagnostic = wrong;
    return answer_scan(association, pending, reply);
  }
  add_pending(association, desk_.scan(association.session, ask, {association.first_byte_at, std::nullopt}),
              std::move(pending));
}

void Front::sort_request(Association& association, const Z_APDU& apdu) {
  const Z_SortRequest& request = *apdu.u.sortRequest;
  PendingOperation pending;
  pending.kind = Z_APDU_sortRequest;
  pending.reference = reference(request.referenceId);
  Reply reply;
  if (request.num_inputResultSetNames != 1) {
    reply.diagnostic = {Trouble::unsupported_sort, "one set at a time"};
    return answer_sort(association, pending, reply);
  }
  // Keys are named by the indexes of the set's database.
  const search::Database* database =
      desk_.database_of(association.session, text(request.inputResultSetNames[0]));
  if (database == nullptr) {
    reply.diagnostic = {Trouble::unknown_set, text(request.inputResultSetNames[0])};
    return answer_sort(association, pending, reply);
  }
  const auto keys = read_sort(*request.sortSequence, *database);
  if (const Diagnostic* wrong = std::get_if<Diagnostic>(&keys)) {
    reply.diagnostic = *wrong;
    return answer_sort(association, pending, reply);
  }
  add_pending(association,
              desk_.sort(association.session, text(request.inputResultSetNames[0]),
                         text(request.sortedResultSetName), std::get<std::vector<search::SortKey>>(keys)),
              std::move(pending));
}

void Front::delete_request(Association& association, const Z_APDU& apdu) {
  const Z_DeleteResultSetRequest& request = *apdu.u.deleteResultSetRequest;
  const Odr odr = make_odr(ODR_ENCODE);
  Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_deleteResultSetResponse);
  Z_DeleteResultSetResponse& response = *out->u.deleteResultSetResponse;
  response.referenceId = put_reference(odr.get(), reference(request.referenceId));
  *response.deleteOperationStatus = Z_DeleteStatus_success;
  if (*request.deleteFunction == Z_DeleteResultSetRequest_all) {
    desk_.remove_all(association.session);
  } else {
    auto* list = made<Z_ListStatuses>(odr.get());
    list->num = request.num_resultSetList;
    list->elements = static_cast<Z_ListStatus**>(
        odr_malloc(odr.get(), sizeof(Z_ListStatus*) * static_cast<std::size_t>(std::max(list->num, 1))));
    for (int i = 0; i < request.num_resultSetList; ++i) {
      auto* one = made<Z_ListStatus>(odr.get());
      one->id = odr_strdup(odr.get(), request.resultSetList[i]);
      const bool there = desk_.remove(association.session, request.resultSetList[i]);
      one->status =
          odr_intdup(odr.get(), there ? Z_DeleteStatus_success : Z_DeleteStatus_resultSetDidNotExist);
      if (!there) *response.deleteOperationStatus = Z_DeleteStatus_notAllRequestedResultSetsDeleted;
      list->elements[i] = one;
    }
    response.deleteListStatuses = list;
  }
  send(association, *out);
}

// Abandons the operation with the stated reference; its own response says so.
void Front::cancel_request(Association& association, const Z_APDU& apdu) {
  const Z_TriggerResourceControlRequest& request = *apdu.u.triggerResourceControlRequest;
  if (*request.requestedAction != Z_TriggerResourceControlRequest_cancel) return;
  const auto id = reference(request.referenceId);
  for (auto one = association.pending.begin(); one != association.pending.end(); ++one) {
    if (id && one->second.reference != id) continue;
    const search::Operation operation = one->first;
    const PendingOperation pending = std::move(one->second);
    association.pending.erase(one);
    associations_by_operation_.erase(operation);
    desk_.abandon(operation);
    tally_.cancelled += 1;
    Reply reply;
    reply.diagnostic = {Trouble::unavailable, "cancelled"};
    if (pending.kind == Z_APDU_presentRequest) return answer_present(association, pending, reply);
    if (pending.kind == Z_APDU_scanRequest) return answer_scan(association, pending, reply);
    return answer_search(association, pending, reply);
  }
}

void Front::replied(Reply&& reply) {
  const auto owner = associations_by_operation_.find(reply.operation);
  if (owner == associations_by_operation_.end()) return;
  Association& association = *associations_.at(owner->second);
  associations_by_operation_.erase(owner);
  const auto found = association.pending.find(reply.operation);
  const PendingOperation pending = std::move(found->second);
  association.pending.erase(found);
  switch (pending.kind) {
    case Z_APDU_searchRequest:
      answer_search(association, pending, reply);
      break;
    case Z_APDU_presentRequest:
      answer_present(association, pending, reply);
      break;
    case Z_APDU_scanRequest:
      answer_scan(association, pending, reply);
      break;
    default:
      answer_sort(association, pending, reply);
  }
  if (association.stream->is_closed() || association.is_closing) return;
  if (closes_after_answers_ && association.pending.empty())
    return send_close(association, Z_Close_shutdown, "this gatherer stops");
  schedule_reading(association);
}

namespace {

Z_NamePlusRecord* put_record(ODR odr, const search::Delivered& one, const std::string& database,
                             Syntax syntax, std::int64_t exceptional) {
  Trouble trouble = one.trouble;
  if (trouble == Trouble::none && static_cast<std::int64_t>(one.record.xml.size()) + 512 > exceptional)
    return zget_surrogateDiagRec(odr, database.c_str(), 17, "");
  if (trouble != Trouble::none)
    return zget_surrogateDiagRec(odr, database.c_str(), bib1_of(trouble), condition(trouble));
  auto* out = made<Z_NamePlusRecord>(odr);
  out->databaseName = odr_strdup(odr, database.c_str());
  out->which = Z_NamePlusRecord_databaseRecord;
  out->u.databaseRecord =
      z_ext_record_oid(odr, syntax == Syntax::sutrs ? yaz_oid_recsyn_sutrs : yaz_oid_recsyn_xml,
                       one.record.xml.data(), static_cast<int>(one.record.xml.size()));
  return out;
}

// The records of one message, from `from` on, as far as its size allows; gives the first that was left over.
std::size_t put_records(ODR odr, const Reply& reply, std::size_t from, Syntax syntax, std::int64_t preferred,
                        std::int64_t exceptional, Z_NamePlusRecordList& into) {
  into.records = static_cast<Z_NamePlusRecord**>(
      odr_malloc(odr, sizeof(Z_NamePlusRecord*) * std::max<std::size_t>(reply.records.size(), 1)));
  into.num_records = 0;
  std::int64_t size = 512;
  while (from < reply.records.size()) {
    const search::Delivered& one = reply.records[from];
    const auto its = static_cast<std::int64_t>(one.record.xml.size()) + 128;
    if (into.num_records > 0 && size + its > preferred) break;
    into.records[into.num_records++] = put_record(odr, one, reply.database, syntax, exceptional);
    size += its;
    ++from;
  }
  return from;
}

}  // namespace

void Front::answer_search(Association& association, const PendingOperation& pending, const Reply& reply) {
  const Odr odr = make_odr(ODR_ENCODE);
  Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_searchResponse);
  Z_SearchResponse& response = *out->u.searchResponse;
  response.referenceId = put_reference(odr.get(), pending.reference);
  *response.resultCount = reply.hits;
  *response.numberOfRecordsReturned = 0;
  *response.nextResultSetPosition = reply.hits > 0 ? 1 : 0;
  if (reply.diagnostic.what != Trouble::none) {
    *response.resultCount = 0;
    *response.searchStatus = 0;
    response.resultSetStatus = odr_intdup(odr.get(), Z_SearchResponse_none);
    response.records = put_diagnostic(odr.get(), reply.diagnostic, reply.come_back);
  } else if (!reply.whole) {
    // A smaller count is never passed off as the count: the set is a subset, and can be presented as one.
    *response.searchStatus = 0;
    response.resultSetStatus = odr_intdup(odr.get(), Z_SearchResponse_subset);
    response.records =
        put_diagnostic(odr.get(), {Trouble::partial, std::to_string(reply.answered) + " of " +
                                                         std::to_string(reply.shards) + " shards answered"});
  } else {
    *response.searchStatus = 1;
    if (!reply.records.empty()) {
      auto* records = made<Z_Records>(odr.get());
      records->which = Z_Records_DBOSD;
      records->u.databaseOrSurDiagnostics = made<Z_NamePlusRecordList>(odr.get());
      const std::size_t rest = put_records(odr.get(), reply, 0, pending.syntax, association.preferred,
                                           association.exceptional, *records->u.databaseOrSurDiagnostics);
      response.records = records;
      *response.numberOfRecordsReturned = static_cast<Odr_int>(rest);
      *response.nextResultSetPosition =
          rest < reply.records.size() ? reply.records[rest].position : reply.next;
      response.presentStatus = odr_intdup(
          odr.get(), rest < reply.records.size() ? Z_PresentStatus_partial_2 : Z_PresentStatus_success);
    }
  }
  send(association, *out);
}

void Front::answer_present(Association& association, const PendingOperation& pending, const Reply& reply) {
  std::size_t from = 0;
  // Level 1: as many segments as it takes, then the response with what is left.
  while (association.segments && reply.diagnostic.what == Trouble::none && from < reply.records.size()) {
    const Odr odr = make_odr(ODR_ENCODE);
    Z_NamePlusRecordList list{};
    const std::size_t next = put_records(odr.get(), reply, from, pending.syntax, association.preferred,
                                         association.exceptional, list);
    if (next >= reply.records.size()) break;
    Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_segmentRequest);
    Z_Segment& segment = *out->u.segmentRequest;
    segment.referenceId = put_reference(odr.get(), pending.reference);
    *segment.numberOfRecordsReturned = list.num_records;
    segment.num_segmentRecords = list.num_records;
    segment.segmentRecords = list.records;
    tally_.segments += 1;
    send(association, *out);
    if (association.stream->is_closed()) return;
    from = next;
  }
  const Odr odr = make_odr(ODR_ENCODE);
  Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_presentResponse);
  Z_PresentResponse& response = *out->u.presentResponse;
  response.referenceId = put_reference(odr.get(), pending.reference);
  *response.numberOfRecordsReturned = 0;
  *response.nextResultSetPosition = reply.next;
  if (reply.diagnostic.what != Trouble::none) {
    *response.presentStatus = Z_PresentStatus_failure;
    response.records = put_diagnostic(odr.get(), reply.diagnostic, reply.come_back);
  } else {
    auto* records = made<Z_Records>(odr.get());
    records->which = Z_Records_DBOSD;
    records->u.databaseOrSurDiagnostics = made<Z_NamePlusRecordList>(odr.get());
    const std::size_t rest = put_records(odr.get(), reply, from, pending.syntax, association.preferred,
                                         association.exceptional, *records->u.databaseOrSurDiagnostics);
    response.records = records;
    *response.numberOfRecordsReturned = static_cast<Odr_int>(rest);
    if (rest < reply.records.size()) {
      *response.presentStatus = Z_PresentStatus_partial_2;
      *response.nextResultSetPosition = reply.records[rest].position;
    } else if (static_cast<int>(reply.records.size()) < pending.count && reply.next > 0) {
      *response.presentStatus =
          Z_PresentStatus_partial_4;  // fewer than asked: as many as one answer may hold
    } else {
      *response.presentStatus = Z_PresentStatus_success;
    }
  }
  send(association, *out);
}

void Front::answer_scan(Association& association, const PendingOperation& pending, const Reply& reply) {
  const Odr odr = make_odr(ODR_ENCODE);
  Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_scanResponse);
  Z_ScanResponse& response = *out->u.scanResponse;
  response.referenceId = put_reference(odr.get(), pending.reference);
  const bool failed = reply.diagnostic.what != Trouble::none;
  *response.scanStatus = failed ? Z_Scan_failure : !reply.whole ? Z_Scan_partial_4 : Z_Scan_success;
  *response.numberOfEntriesReturned = static_cast<Odr_int>(reply.terms.size());
  response.positionOfTerm = odr_intdup(odr.get(), reply.terms.empty() ? 0 : reply.position);
  auto* entries = made<Z_ListEntries>(odr.get());
  entries->num_entries = static_cast<int>(reply.terms.size());
  entries->entries = static_cast<Z_Entry**>(
      odr_malloc(odr.get(), sizeof(Z_Entry*) * std::max<std::size_t>(reply.terms.size(), 1)));
  entries->num_nonsurrogateDiagnostics = 0;
  entries->nonsurrogateDiagnostics = nullptr;
  for (std::size_t i = 0; i < reply.terms.size(); ++i) {
    auto* entry = made<Z_Entry>(odr.get());
    entry->which = Z_Entry_termInfo;
    auto* info = made<Z_TermInfo>(odr.get());
    std::memset(info, 0, sizeof *info);
    info->term = made<Z_Term>(odr.get());
    info->term->which = Z_Term_general;
    info->term->u.general = odr_create_Odr_oct(odr.get(), reply.terms[i].term.data(),
                                               static_cast<int>(reply.terms[i].term.size()));
    info->globalOccurrences = odr_intdup(odr.get(), reply.terms[i].count);
    entry->u.termInfo = info;
    entries->entries[i] = entry;
  }
  if (failed) {
    auto* diagnostics = static_cast<Z_DiagRec**>(odr_malloc(odr.get(), sizeof(Z_DiagRec*)));
    diagnostics[0] = zget_DiagRec(odr.get(), bib1_of(reply.diagnostic.what),
                                  addition(reply.diagnostic, reply.come_back).c_str());
    entries->num_nonsurrogateDiagnostics = 1;
    entries->nonsurrogateDiagnostics = diagnostics;
  }
  response.entries = entries;
  send(association, *out);
}

void Front::answer_sort(Association& association, const PendingOperation& pending, const Reply& reply) {
  const Odr odr = make_odr(ODR_ENCODE);
  Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_sortResponse);
  Z_SortResponse& response = *out->u.sortResponse;
  response.referenceId = put_reference(odr.get(), pending.reference);
  const bool failed = reply.diagnostic.what != Trouble::none;
  *response.sortStatus = failed ? Z_SortResponse_failure : Z_SortResponse_success;
  if (failed) {
    response.num_diagnostics = 1;
    response.diagnostics = static_cast<Z_DiagRec**>(odr_malloc(odr.get(), sizeof(Z_DiagRec*)));
    response.diagnostics[0] = zget_DiagRec(odr.get(), bib1_of(reply.diagnostic.what),
                                           addition(reply.diagnostic, reply.come_back).c_str());
  }
  send(association, *out);
}

void Front::send(Association& association, Z_APDU& apdu) {
  const std::string bytes = encoded(make_odr(ODR_ENCODE).get(), &apdu);
  if (!check_invariant(!bytes.empty(), "an APDU of ours can be encoded")) return close(association);
  // A response that does not fit the buffer closes the connection, which the client recognises as a failure.
  if (!association.stream->out().append(bytes)) return close(association);
  association.since = loop_.now();
  association.stream->flush();
  update_memory(association);
}

void Front::send_close(Association& association, int reason, const char* why) {
  if (association.is_closing) return;
  const Odr odr = make_odr(ODR_ENCODE);
  Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_close);
  *out->u.close->closeReason = reason;
  out->u.close->diagnosticInformation = odr_strdup(odr.get(), why);
  association.is_closing = true;
  send(association, *out);
  if (!association.stream->is_closed() && association.stream->out().empty()) on_output_written(association);
}

void Front::on_output_written(Association& association) {
  association.since = loop_.now();
  if (!association.is_closing) return schedule_reading(association);
  association.stream->in().clear();
  association.stream->shutdown_write();
  association.stream->resume_reading();
}

void Front::close(Association& association) {
  association.stream->close();
  association.memory.update(0);
  const auto found = associations_.find(association.number);
  if (found == associations_.end()) return;
  for (const auto& [operation, pending] : association.pending) associations_by_operation_.erase(operation);
  if (association.session != 0) {
    associations_by_session_.erase(association.session);
    desk_.close(association.session);  // with what it has under way
  }
  closed_.push_back(std::move(found->second));
  associations_.erase(found);
  if (listener_) listener_->resume();
  pump();
}

void Front::session_over(search::Session session) {
  const auto at = associations_by_session_.find(session);
  if (at == associations_by_session_.end()) return desk_.close(session);
  tally_.silent += 1;
  send_close(*associations_.at(at->second), Z_Close_lackOfActivity, "nothing was asked for long");
}

// Enforces the limits on every wait for a client: for the Init, for the end of a message, for reading a
// response, and for closing after the last one. Whole sessions are limited by the desk.
void Front::check_timeouts() {
  const Duration now = loop_.now();
  std::vector<Association*> expired, incomplete, unread;
  for (const auto& [number, association] : associations_) {
    if (association->is_closing) {
      if (now >= association->since + settings_.connect_timeout) expired.push_back(association.get());
    } else if (association->scanner.begun() && now >= association->first_byte_at + kRequestTimeout) {
      incomplete.push_back(association.get());
    } else if (!association->initialised && now >= association->since + kRequestTimeout) {
      expired.push_back(association.get());
    } else if (!association->stream->out().empty() &&
               now >= association->since + settings_.max_route_timeout) {
      unread.push_back(association.get());
    }
  }
  tally_.silent += expired.size();
  for (Association* association : incomplete)
    send_close(*association, Z_Close_protocolError, "the message does not end");
  for (Association* association : unread) close(*association);
  for (Association* association : expired) close(*association);
  // A connection may have become old enough to give way to one that waits.
  if (listener_) listener_->resume();
  timeout_timer_ = loop_.call_at(now + kTimeoutCheckInterval, [this] { check_timeouts(); });
}

front::Activity Front::activity(const Association& association) const {
  using front::Activity;
  if (association.is_closing) return Activity::closing;
  if (!association.pending.empty() || !association.stream->out().empty()) return Activity::busy;
  if (association.scanner.begun()) return Activity::receiving;
  return association.initialised ? Activity::idle : Activity::silent;
}

// Returns the connection that is to be closed first; null if none can be closed. An idle session can be
// opened again.
Front::Association* Front::eviction_candidate() const {
  Association* first = nullptr;
  std::optional<front::EvictionRank> lowest;
  for (const auto& [number, association] : associations_) {
    const front::Activity current = activity(*association);
    const Duration since =
        current == front::Activity::receiving ? association->first_byte_at : association->since;
    const auto rank = front::eviction_rank(current, since, loop_.now(), settings_.connect_timeout);
    if (!rank || (lowest && *lowest <= *rank)) continue;
    lowest = rank;
    first = association.get();
  }
  return first;
}

// Reads from the connection before, since a message may have arrived without being reported yet: it is kept
// then, and another one is tried.
bool Front::release_connection() {
  while (Association* const candidate = eviction_candidate()) {
    const front::Activity before = activity(*candidate);
    candidate->stream->read_available();
    if (candidate->stream->is_closed()) return true;
    if (activity(*candidate) != before) continue;
    tally_.evicted += 1;
    if (before == front::Activity::receiving) send_close(*candidate, Z_Close_systemProblem, "no room");
    if (!candidate->stream->is_closed()) close(*candidate);
    return true;
  }
  return false;
}

void Front::stop_accepting() {
  if (listener_) listener_->stop();
}

void Front::close_after_answers() {
  closes_after_answers_ = true;
  std::vector<Association*> idle;
  for (const auto& [number, association] : associations_) {
    if (association->pending.empty() && !association->is_closing) idle.push_back(association.get());
  }
  for (Association* association : idle) send_close(*association, Z_Close_shutdown, "this gatherer stops");
}

void Front::close_idle(Duration since) {
  std::vector<Association*> idle;
  for (const auto& [number, association] : associations_) {
    if (association->pending.empty() && !association->is_closing && association->since < since)
      idle.push_back(association.get());
  }
  for (Association* association : idle) send_close(*association, Z_Close_shutdown, "this gatherer stops");
}

void Front::destroy_closed() { closed_.clear(); }

void Front::log_totals() const {
  log::event(log::Level::info, "z3950.totals",
             {{"connections", size()},
              {"accepted", tally_.accepted},
              {"refused", tally_.refused},
              {"messages", tally_.messages},
              {"malformed", tally_.malformed},
              {"out_of_order", tally_.out_of_order},
              {"cancelled", tally_.cancelled},
              {"segments", tally_.segments},
              {"silent", tally_.silent},
              {"evicted", tally_.evicted}});
  report_desk("z3950");
}

}  // namespace marbledyke::z3950
