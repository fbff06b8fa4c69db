#include "z3950/talk.h"

#include <yaz/oid_db.h>
#include <yaz/oid_util.h>
#include <yaz/pquery.h>
#include <yaz/proto.h>

#include <algorithm>

#include "z3950/odr.h"
#include "z3950/rpn.h"

namespace marbledyke::z3950 {

using carrier::SessionEvent;

namespace {

constexpr const char* kSet = "default";

char** names(ODR odr, const std::string& name) {
  char** const out = static_cast<char**>(odr_malloc(odr, sizeof(char*)));
  out[0] = odr_strdup(odr, name.c_str());
  return out;
}

void records(const Z_NamePlusRecordList& list, const std::string& schema, search::PartResult& into) {
  for (int i = 0; i < list.num_records; ++i) {
    const Z_NamePlusRecord& one = *list.records[i];
    if (one.which != Z_NamePlusRecord_databaseRecord) return;  // what comes behind could not be placed
    const Z_External& external = *one.u.databaseRecord;
    search::Record record;
    record.schema = schema;
    if (external.which == Z_External_octet) {
      record.xml = text_of(*external.u.octet_aligned);
    } else if (external.which == Z_External_sutrs) {
      record.xml = text_of(*external.u.sutrs);
    } else {
      return;
    }
    into.records.push_back(std::move(record));
  }
}

// A condition that says what is not supported is an answer; a general or a passing one is a failure.
bool unsupported(Odr_int condition) {
  return condition == 3 || (condition >= 107 && condition <= 126 && condition != 109 && condition != 112) ||
         condition == 207 || condition == 235 || condition == 239 || condition == 25;
}

struct Trouble {
  Odr_int condition = 0;
  std::string words;
};

Trouble trouble_of(const Z_DefaultDiagFormat& from) {
  Trouble out;
  out.condition = *from.condition;
  out.words = "Bib-1 " + std::to_string(*from.condition);
  const char* more = from.which == Z_DefaultDiagFormat_v2Addinfo ? from.u.v2Addinfo : from.u.v3Addinfo;
  if (more != nullptr && *more != '\0') out.words += std::string(": ") + more;
  return out;
}

Trouble trouble_of(const Z_Records* from) {
  if (from == nullptr) return {1, "no reason given"};
  if (from->which == Z_Records_NSD) return trouble_of(*from->u.nonSurrogateDiagnostic);
  if (from->which == Z_Records_multipleNSD && from->u.multipleNonSurDiagnostics->num_diagRecs > 0 &&
      from->u.multipleNonSurDiagnostics->diagRecs[0]->which == Z_DiagRec_defaultFormat)
    return trouble_of(*from->u.multipleNonSurDiagnostics->diagRecs[0]->u.defaultFormat);
  return {1, "no reason given"};
}

}  // namespace

std::unique_ptr<carrier::ProtocolSession> make_talk(const std::string&, const std::string& database,
                                                    const std::string&) {
  return std::make_unique<Talk>(database);
}

std::string Talk::greeting() {
  const Odr odr = make_odr(ODR_ENCODE);
  Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_initRequest);
  Z_InitRequest& request = *out->u.initRequest;
  for (const int option : {Z_Options_search, Z_Options_present, Z_Options_scan, Z_Options_sort,
                           Z_Options_namedResultSets, Z_Options_triggerResourceCtrl})
    ODR_MASK_SET(request.options, option);
  for (const int version : {Z_ProtocolVersion_1, Z_ProtocolVersion_2, Z_ProtocolVersion_3})
    ODR_MASK_SET(request.protocolVersion, version);
  *request.preferredMessageSize = *request.maximumRecordSize = 512 * 1024;
  request.implementationName = odr_strdup(odr.get(), "marbledyke");
  return encoded(odr.get(), out);
}

std::string Talk::format_request(std::string_view text, int shard) {
  auto ask = search::read_part_ask(text);
  declines_.clear();
  if (!ask || state_ != State::idle) return {};
  ask_ = std::move(*ask);
  std::tie(from_, count_) = search::wanted(ask_, shard);
  result_ = {};
  const Odr odr = make_odr(ODR_ENCODE);
  if (ask_.errand == search::Errand::scan) {
    if (!scans_) {
      declines_ = "the server does not scan";
      return {};
    }
    Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_scanRequest);
    Z_ScanRequest& request = *out->u.scanRequest;
    request.num_databaseNames = 1;
    request.databaseNames = names(odr.get(), search::of_shard(database_, shard));
    request.attributeSet = odr_oiddup(odr.get(), yaz_oid_attset_bib_1);
    Odr_oid* set = nullptr;
    std::string term = "@attr 1=" + std::to_string(ask_.use > 0 ? ask_.use : 1016) + " \"";
    for (const char c : ask_.term) {
      if (c == '"' || c == '\\') term += '\\';
      term += c;
    }
    const YAZ_PQF_Parser parser = yaz_pqf_create();
    request.termListAndStartPoint = yaz_pqf_scan(parser, odr.get(), &set, (term + '"').c_str());
    yaz_pqf_destroy(parser);
    if (request.termListAndStartPoint == nullptr) return {};
    *request.numberOfTermsRequested = ask_.count;
    request.preferredPositionInResponse = odr_intdup(odr.get(), 1);
    state_ = State::scanning;
    return encoded(odr.get(), out);
  }
  // Records of several servers are merged by keys, and these come without them.
  if (!ask_.sort.empty()) {
    declines_ = "servers that speak Z39.50 are not sorted by";
    return {};
  }
  Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_searchRequest);
  Z_SearchRequest& request = *out->u.searchRequest;
  request.num_databaseNames = 1;
  request.databaseNames = names(odr.get(), search::of_shard(database_, shard));
  request.resultSetName = odr_strdup(odr.get(), kSet);
  *request.replaceIndicator = 1;
  request.preferredRecordSyntax = odr_oiddup(odr.get(), yaz_oid_recsyn_xml);
  // A first page comes with the answer; a later one is presented.
  const int along = from_ == 0 ? count_ : 0;
  *request.smallSetUpperBound = along;
  *request.largeSetLowerBound = along > 0 ? 1'000'000'000 : 1;
  *request.mediumSetPresentNumber = along;
  const YAZ_PQF_Parser parser = yaz_pqf_create();
  Z_RPNQuery* const rpn = yaz_pqf_parse(parser, odr.get(), ask_.pqf.c_str());
  yaz_pqf_destroy(parser);
  if (rpn == nullptr) return {};
  request.query = made<Z_Query>(odr.get());
  request.query->which = Z_Query_type_1;
  request.query->u.type_1 = rpn;
  state_ = State::searching;
  return encoded(odr.get(), out);
}

std::string Talk::unsupported_reply() {
  if (declines_.empty()) return {};
  search::PartResult out;
  out.trouble = declines_;
  out.unsupported = true;
  return search::text_of(out);
}

std::size_t Talk::feed(std::string_view bytes, SessionEvent& event) {
  const std::size_t used = scanner_.take(bytes);
  bytes_.append(bytes.substr(0, used));
  if (scanner_.state() == BerScanner::State::bad) {
    event.kind = SessionEvent::Kind::protocol_error;
    event.reason = scanner_.complaint();
  } else if (scanner_.state() == BerScanner::State::done) {
    scanner_.restart();
    std::string whole = std::exchange(bytes_, {});
    event = message(whole);
  }
  return used;
}

SessionEvent Talk::message(std::string& bytes) {
  SessionEvent out;
  const auto failed = [&](std::string why) {
    state_ = State::idle;
    out.kind = SessionEvent::Kind::failed;
    out.reason = std::move(why);
    return out;
  };
  const auto answered = [&] {
    state_ = State::idle;
    out.kind = SessionEvent::Kind::answered;
    out.value = search::text_of(result_);
    return out;
  };
  const auto told = [&](const Trouble& trouble) {
    if (!unsupported(trouble.condition)) return failed(trouble.words);
    result_.trouble = trouble.words;
    result_.unsupported = true;
    return answered();
  };
  const Odr odr = make_odr(ODR_DECODE);
  odr_setbuf(odr.get(), bytes.data(), static_cast<int>(bytes.size()), 0);
  Z_APDU* apdu = nullptr;
  if (z_APDU(odr.get(), &apdu, 0, nullptr) == 0 || apdu == nullptr) {
    out.kind = SessionEvent::Kind::protocol_error;
    out.reason = "a message that cannot be decoded";
    return out;
  }
  if (apdu->which == Z_APDU_close) {
    out.kind = SessionEvent::Kind::server_closing;
    out.reason = "close, reason " + std::to_string(*apdu->u.close->closeReason);
    return out;
  }
  // What answers an operation that was given up is dropped.
  if (state_ == State::cancelling &&
      (apdu->which == Z_APDU_searchResponse || apdu->which == Z_APDU_presentResponse ||
       apdu->which == Z_APDU_scanResponse)) {
    state_ = State::idle;
    out.kind = SessionEvent::Kind::ready;
    return out;
  }
  if (apdu->which == Z_APDU_segmentRequest && (state_ == State::presenting || state_ == State::cancelling)) {
    return out;
  }
  if (state_ == State::greeting && apdu->which == Z_APDU_initResponse) {
    const Z_InitResponse& response = *apdu->u.initResponse;
    if (*response.result == 0) {
      out.kind = SessionEvent::Kind::server_closing;
      out.reason = "the Init was turned down";
      return out;
    }
    cancels_ = ODR_MASK_GET(response.options, Z_Options_triggerResourceCtrl) != 0;
    scans_ = ODR_MASK_GET(response.options, Z_Options_scan) != 0;
    state_ = State::idle;
    out.kind = SessionEvent::Kind::ready;
    return out;
  }
  if (state_ == State::searching && apdu->which == Z_APDU_searchResponse) {
    const Z_SearchResponse& response = *apdu->u.searchResponse;
    if (*response.searchStatus == 0) return told(trouble_of(response.records));
    result_.hits = std::max<Odr_int>(*response.resultCount, 0);
    if (response.records != nullptr && response.records->which == Z_Records_DBOSD)
      records(*response.records->u.databaseOrSurDiagnostics, ask_.schema, result_);
    const auto there = static_cast<int>(result_.records.size());
    const int want = static_cast<int>(std::clamp<std::int64_t>(result_.hits - from_, 0, count_));
    if (there >= want) return answered();
    const Odr encode = make_odr(ODR_ENCODE);
    Z_APDU* const present = zget_APDU(encode.get(), Z_APDU_presentRequest);
    Z_PresentRequest& request = *present->u.presentRequest;
    request.resultSetId = odr_strdup(encode.get(), kSet);
    *request.resultSetStartPoint = from_ + there + 1;
    *request.numberOfRecordsRequested = want - there;
    request.preferredRecordSyntax = odr_oiddup(encode.get(), yaz_oid_recsyn_xml);
    more_ = encoded(encode.get(), present);
    state_ = State::presenting;
    return out;
  }
  if (state_ == State::presenting && apdu->which == Z_APDU_presentResponse) {
    const Z_PresentResponse& response = *apdu->u.presentResponse;
    if (response.records != nullptr && response.records->which == Z_Records_DBOSD) {
      records(*response.records->u.databaseOrSurDiagnostics, ask_.schema, result_);
    } else if (*response.presentStatus == Z_PresentStatus_failure) {
      return told(trouble_of(response.records));
    }
    return answered();
  }
  if (state_ == State::scanning && apdu->which == Z_APDU_scanResponse) {
    const Z_ScanResponse& response = *apdu->u.scanResponse;
    if (*response.scanStatus == Z_Scan_failure) {
      const Z_ListEntries* entries = response.entries;
      if (entries != nullptr && entries->num_nonsurrogateDiagnostics > 0 &&
          entries->nonsurrogateDiagnostics[0]->which == Z_DiagRec_defaultFormat)
        return told(trouble_of(*entries->nonsurrogateDiagnostics[0]->u.defaultFormat));
      return failed("the scan failed");
    }
    for (int i = 0; response.entries != nullptr && i < response.entries->num_entries; ++i) {
      const Z_Entry& entry = *response.entries->entries[i];
      if (entry.which != Z_Entry_termInfo || entry.u.termInfo->term->which != Z_Term_general) continue;
      const Z_TermInfo& info = *entry.u.termInfo;
      result_.terms.push_back(
          {text_of(*info.term->u.general), info.globalOccurrences == nullptr ? 0 : *info.globalOccurrences});
    }
    return answered();
  }
  out.kind = SessionEvent::Kind::protocol_error;
  out.reason = "a message that was not due";
  return out;
}

std::string Talk::format_cancel() {
  if (!cancels_ || state_ == State::greeting || state_ == State::idle) return {};
  const Odr odr = make_odr(ODR_ENCODE);
  Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_triggerResourceControlRequest);
  *out->u.triggerResourceControlRequest->requestedAction = Z_TriggerResourceControlRequest_cancel;
  state_ = State::cancelling;
  more_.clear();
  return encoded(odr.get(), out);
}

std::string Talk::closing_bytes() {
  if (state_ == State::greeting) return {};
  const Odr odr = make_odr(ODR_ENCODE);
  Z_APDU* const out = zget_APDU(odr.get(), Z_APDU_close);
  *out->u.close->closeReason = Z_Close_finished;
  return encoded(odr.get(), out);
}

}  // namespace marbledyke::z3950
