#include "LibEntry/operator_api.h"

#include "LibConfig/configuration_codec.h"
#include "LibControl/configuration_writer.h"
#include "LibEntry/change_submitter.h"
#include "LibLedger/ledger_reader.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr milliseconds MajorityTimeout{5000};
constexpr milliseconds RetryAfterStoreFailure{2000};

served_response respond(const json &Body) {
  served_response Response;
  Response.Body = Body.dump(-1, ' ', false, json::error_handler_t::replace);
  return Response;
}

served_response respondWithError(const error &Error) {
  json Body = {{"error", {{"message", Error.Message}}}};
  served_response Response;
  switch (Error.Code) {
  case error_code::InvalidInput:
    Response.Status = 400;
    Body["error"]["code"] = "invalid";
    Body["error"]["changed"] = "no";
    break;
  case error_code::NotFound:
    Response.Status = 404;
    Body["error"]["code"] = "not_found";
    break;
  case error_code::Conflict:
    Response.Status = 409;
    Body["error"]["code"] = "conflict";
    Body["error"]["changed"] = "no";
    break;
  case error_code::OutcomeUnknown:
    Response.Status = 504;
    Body["error"]["code"] = "outcome_unknown";
    Body["error"]["changed"] = "unknown; send the same change id again";
    Body["error"]["retry_after_ms"] = RetryAfterStoreFailure.count();
    break;
  case error_code::Unavailable:
  case error_code::Internal:
    Response.Status = 503;
    Body["error"]["code"] = "store_unavailable";
    Body["error"]["changed"] = "no";
    Body["error"]["retry_after_ms"] = RetryAfterStoreFailure.count();
    break;
  }
  Response.Body = Body.dump(-1, ' ', false, json::error_handler_t::replace);
  return Response;
}

json encodeBillForOperators(const bill &Bill) {
  return json::parse(encodeBill(Bill));
}

json encodeDecision(const decision_record &Record) {
  json Candidates = json::array();
  for (const auto &Note : Record.Candidates)
    Candidates.push_back({{"plan", Note.Plan}, {"verdict", Note.Verdict}});
  return {{"request", Record.Request.text()},
          {"account", Record.Account.text()},
          {"class", Record.Class.text()},
          {"configuration", Record.ConfigVersion},
          {"at_ms", Record.At.count()},
          {"candidates", Candidates},
          {"steps", Record.Steps},
          {"outcome", Record.Outcome}};
}

} // namespace

operator_api::operator_api(const entry_services &Services,
                           const counting_store &StoreCounts,
                           const caller_api &CallerApi, peer_network &Network,
                           custody_table &CustodyTable)
    : Services(Services), StoreCounts(StoreCounts), CallerApi(CallerApi),
      Network(Network), CustodyTable(CustodyTable) {}

served_response operator_api::serve(const served_request &Request) {
  const std::string &Path = Request.Path;
  if (Path == "/healthz")
    return respond({{"healthy", true}});
  if (Path == "/readyz")
    return readiness();
  if (Path == "/metrics")
    return renderMetrics();
  if (Path == "/v1/status")
    return status();
  if (Path == "/v1/config")
    return showConfiguration();
  if (Path == "/v1/changes" && Request.Method == "POST")
    return applyChange(Request);
  if (Path == "/v1/bills")
    return listBills(Request);
  if (Path == "/v1/audit")
    return listAuditRecords();
  if (Path == "/v1/explain")
    return explainRequest(Request);
  return respondWithError({error_code::NotFound, "unknown path " + Path});
}

served_response operator_api::readiness() const {
  const bool IsReady = Services.currentConfiguration() != nullptr &&
                       Services.Members.ownState() == member_state::Serving;
  served_response Response = respond({{"ready", IsReady}});
  Response.Status = IsReady ? 200 : 503;
  return Response;
}

served_response operator_api::status() {
  const steady_time Now = Services.Clock.now();
  const auto Current = Services.Configuration.current();
  json Entries = json::array();
  for (const auto &Entry : Services.Members.servingEntries(Now))
    Entries.push_back({{"vm", Entry.Vm.text()},
                       {"domain", Entry.Domain.text()},
                       {"address", Entry.Address.text()}});
  json Roster = json::array();
  for (const auto &Vm : Current->Roster)
    Roster.push_back(Vm.text());
  json Quality = json::array();
  for (const auto &[Version, Declared] : Current->Versions)
    for (const auto &[Class, Targets] : Current->Classes) {
      const rating_counts Ratings = Services.Router.ratingsOf({Version, Class});
      if (Ratings.Count + Ratings.Successes + Ratings.Failures == 0)
        continue;
      Quality.push_back({{"version", Version.text()},
                         {"class", Class.text()},
                         {"quality", meanQuality(Ratings)},
                         {"target", Targets.QualityTarget},
                         {"ratings", Ratings.Count},
                         {"answers", Ratings.Successes},
                         {"failures", Ratings.Failures},
                         {"in_time", Ratings.InTime},
                         {"late", Ratings.Late}});
    }
  const bill_committer_counts Bills = Services.Bills.counts();
  return respond(
      {{"vm", Services.Settings.Vm.text()},
       {"configuration", Current->Version},
       {"current", Services.currentConfiguration() != nullptr},
       {"entries", Entries},
       {"roster", Roster},
       {"endpoints", Services.Router.describeEndpoints(Now)},
       {"quality", Quality},
       {"requests_in_flight", CallerApi.requestsInFlight()},
       {"crash_causing", Services.Router.refusedFingerprintCount()},
       {"crash_causing_prompts", Services.PromptCrashes.quarantinedCount()},
       {"bills",
        {{"written", Bills.Written},
         {"unwritten", Bills.Unwritten},
         {"held_for_peers", CustodyTable.size()}}}});
}

served_response operator_api::showConfiguration() const {
  const auto Current = Services.Configuration.current();
  json Document = encodeConfiguration(*Current);
  Document.erase("session_keys");
  for (auto &Account : Document["accounts"])
    Account.erase("key_hash");
  return respond(Document);
}

served_response operator_api::applyChange(const served_request &Request) {
  auto Change = parseChange(Request.Body);
  if (isError(Change))
    return respondWithError(errorOf(Change));
  auto Submitted = submitChange(Services, valueOf(Change), MajorityTimeout);
  if (isError(Submitted))
    return respondWithError(errorOf(Submitted));
  const bool IsAccepted = valueOf(Submitted).State == change_state::Accepted;
  served_response Response =
      respond({{"version", valueOf(Submitted).Version},
               {"standing", IsAccepted ? "accepted" : "written"}});
  Response.Status = IsAccepted ? 200 : 202;
  return Response;
}

served_response operator_api::listBills(const served_request &Request) {
  std::optional<client_account_id> Account;
  auto Parameter = Request.Query.find("account");
  if (Parameter != Request.Query.end())
    Account = client_account_id(Parameter->second);
  auto Bills = readLedger(Services.Store, Account);
  if (isError(Bills))
    return respondWithError(errorOf(Bills));
  json Lines = json::array();
  for (const auto &Bill : valueOf(Bills))
    Lines.push_back(encodeBillForOperators(Bill));
  return respond(Lines);
}

served_response operator_api::listAuditRecords() {
  auto Entries = Services.Store.list(store_purpose::Audit, AuditPrefix, 0);
  if (isError(Entries))
    return respondWithError(errorOf(Entries));
  json Records = json::array();
  for (const auto &Entry : valueOf(Entries))
    Records.push_back(json::parse(Entry.Value, nullptr, false));
  std::sort(Records.begin(), Records.end(),
            [](const json &Left, const json &Right) {
              return Left.value("version", 0) < Right.value("version", 0);
            });
  return respond(Records);
}

served_response operator_api::explainRequest(const served_request &Request) {
  auto Parameter = Request.Query.find("request");
  if (Parameter == Request.Query.end())
    return respondWithError(
        {error_code::InvalidInput, "request: missing; accepted: a request id"});
  json Records = json::array();
  for (const auto &Record :
       Services.Decisions.find(request_id(Parameter->second)))
    Records.push_back(encodeDecision(Record));
  return respond({{"vm", Services.Settings.Vm.text()}, {"records", Records}});
}

served_response operator_api::renderMetrics() {
  std::string Text = Services.Metrics.render();
  for (std::size_t Index = 0; Index < StorePurposeCount; ++Index) {
    const auto Purpose = static_cast<store_purpose>(Index);
    const store_call_counts Calls = StoreCounts.counts(Purpose);
    const std::string Label =
        std::string("purpose=\"") + nameOf(Purpose) + "\"";
    Text += renderSample("azurehaven_store_reads_total", Label,
                         static_cast<double>(Calls.Reads));
    Text += renderSample("azurehaven_store_writes_total", Label,
                         static_cast<double>(Calls.Writes));
    Text += renderSample("azurehaven_store_failures_total", Label,
                         static_cast<double>(Calls.Failures));
  }
  const peer_traffic Traffic = Network.traffic();
  const bill_committer_counts Bills = Services.Bills.counts();
  const std::pair<const char *, std::uint64_t> Samples[] = {
      {"azurehaven_peer_bytes_sent_total", Traffic.BytesSent},
      {"azurehaven_peer_bytes_received_total", Traffic.BytesReceived},
      {"azurehaven_peer_frames_sent_total", Traffic.FramesSent},
      {"azurehaven_peer_frames_dropped_total", Traffic.FramesDropped},
      {"azurehaven_peer_bad_frames_total", Traffic.BadFrames},
      {"azurehaven_bills_written_total", Bills.Written},
      {"azurehaven_bills_in_custody_total", Bills.InCustody},
      {"azurehaven_bills_unwritten", Bills.Unwritten},
      {"azurehaven_bill_segments_total", Bills.Segments},
      {"azurehaven_bills_held_for_peers", CustodyTable.size()},
      {"azurehaven_requests_in_flight", CallerApi.requestsInFlight()},
      {"azurehaven_configuration_version",
       Services.Configuration.current()->Version},
      {"azurehaven_claims_pending", Services.Claims.pendingWriteCount()},
  };
  for (const auto &[Name, Value] : Samples)
    Text += renderSample(Name, {}, static_cast<double>(Value));
  served_response Response;
  Response.ContentType = "text/plain; version=0.0.4";
  Response.Body = std::move(Text);
  return Response;
}

} // namespace azurehaven
