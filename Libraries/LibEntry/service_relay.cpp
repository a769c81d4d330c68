#include "LibEntry/service_relay.h"

#include "LibEntry/bill_commit.h"
#include "LibLedger/ledger_reader.h"
#include "LibTypes/fingerprint.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace azurehaven {

namespace {

const std::string ServicePrefix = "/v1/services/";
/// Bounds the endpoints that one sendUntilDelivered() tries, and also the times
/// that serveRepeatable() calls it.
constexpr unsigned MaximumAttempts = 3;
constexpr http_timeouts ServiceTimeouts{milliseconds(500), milliseconds(10000)};
constexpr milliseconds RetryAfterFailure{1000};
constexpr milliseconds RetryAfterStoreFailure{2000};

refusal makeRefusal(int Status, const char *Code, run_state Run,
                    std::string Message,
                    std::optional<milliseconds> RetryAfter = std::nullopt) {
  return {Status, Code, Run, std::move(Message), RetryAfter};
}

refusal makeMayHaveRunRefusal() {
  return makeRefusal(409, "may_have_run", run_state::MayHaveRun,
                     "an earlier attempt with this id may have run; query its "
                     "outcome, or check with the service",
                     RetryAfterFailure);
}

bool isSafeMethod(const std::string &Method) {
  // RFC 9110, section 9.2.1.
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

recorded_response makeRecordedResponse(const http_response &Response) {
  return {Response.Status, headerValue(Response.Headers, "Content-Type"),
          Response.Body, true};
}

} // namespace

served_response service_relay::serve(const served_request &Request,
                                     const caller_identity &Identity,
                                     const configuration &Configuration) {
  const std::string Rest = Request.Path.substr(ServicePrefix.size());
  const std::size_t Slash = Rest.find('/');
  const service_id Id(Rest.substr(0, Slash));
  auto Found = Configuration.Services.find(Id);
  if (Found == Configuration.Services.end())
    return respondWith(
        makeRefusal(404, "unknown_service", run_state::NotRun,
                    "no service \"" + Id.text() + "\" is declared"),
        Identity.Id.text());
  call Call{&Request, Identity, Found->second,
            Slash == std::string::npos ? "/" : Rest.substr(Slash),
            fingerprintOf(Request.Body,
                          fingerprintOf(Request.Method + Request.Path))};
  const bool IsMarkedNonRepeatable =
      headerValue(Request.Headers, "X-May-Repeat") == "no";
  const bool IsRepeatable =
      isSafeMethod(Request.Method) || Call.Service.IsIdempotent;
  if (IsRepeatable && !IsMarkedNonRepeatable)
    return serveRepeatable(Call);
  if (headerValue(Request.Headers, "X-Request-Id").empty())
    return respondWith(
        makeRefusal(
            400, "request_id_needed", run_state::NotRun,
            "X-Request-Id: required for a call that may not be repeated"),
        Identity.Id.text());
  return serveNonRepeatable(Call);
}

served_response service_relay::serveNonRepeatable(const call &Call) {
  const claim_key Key{Call.Identity.Account.Id, Call.Identity.Id,
                      Call.BodyFingerprint};
  auto Claim = Services.Claims.claim(Key);
  if (auto *Granted = std::get_if<claim_granted>(&Claim))
    return runClaimed(Call, Key, *Granted);
  if (auto *Finished = std::get_if<claim_finished>(&Claim))
    return replay(Call, Finished->Response);
  refusal Refusal = makeMayHaveRunRefusal();
  if (std::holds_alternative<claim_body_mismatch>(Claim))
    Refusal = makeRefusal(409, "request_id_reused", run_state::NotRun,
                          "this id is in use for a request with another body");
  if (auto *Unavailable = std::get_if<claim_unavailable>(&Claim))
    Refusal =
        makeRefusal(503, "store_unavailable", run_state::NotRun,
                    "a call that may not be repeated requires the store: " +
                        Unavailable->Message,
                    RetryAfterStoreFailure);
  return respondWith(Refusal, Call.Identity.Id.text());
}

served_response service_relay::runClaimed(const call &Call,
                                          const claim_key &Key,
                                          const claim_granted &Claim) {
  auto Sent = sendUntilDelivered(Call, connection_use::Fresh);
  if (auto *Refusal = std::get_if<refusal>(&Sent)) {
    // No byte can have reached an endpoint, so a retry may run.
    Services.Claims.abandon(Key, Claim);
    return respondWith(*Refusal, Call.Identity.Id.text());
  }
  if (std::holds_alternative<http_failure>(Sent))
    return respondWith(makeMayHaveRunRefusal(), Call.Identity.Id.text());
  const recorded_response Recorded =
      makeRecordedResponse(std::get<http_response>(Sent));
  Services.Claims.recordResponse(Key, Claim, Recorded);
  return billAndRespond(Call, Recorded);
}

served_response service_relay::replay(const call &Call,
                                      const recorded_response &Recorded) {
  // The VM that sent the call may have crashed before the bill was durable.
  // Billing the call again has no effect otherwise, since the ledger counts
  // bills with the same key once.
  Services.Metrics.increment("azurehaven_replayed_outcomes_total");
  served_response Response = billAndRespond(Call, Recorded);
  Response.Headers.emplace_back("X-Replayed", "yes");
  return Response;
}

served_response
service_relay::billAndRespond(const call &Call,
                              const recorded_response &Recorded) {
  if (!commitCallBill(Call))
    return respondWith(
        makeRefusal(
            503, "bill_not_durable", run_state::MayHaveRun,
            "the bill could not be stored durably; retry with the same id",
            RetryAfterFailure),
        Call.Identity.Id.text());
  served_response Response;
  Response.Status = Recorded.Status;
  Response.ContentType = Recorded.ContentType.empty()
                             ? "application/octet-stream"
                             : Recorded.ContentType;
  Response.Body = Recorded.Body;
  Response.Headers.emplace_back("X-Request-Id", Call.Identity.Id.text());
  if (!Recorded.HasBody)
    Response.Headers.emplace_back("X-Body-Not-Kept", "yes");
  return Response;
}

served_response service_relay::serveRepeatable(const call &Call) {
  Services.Router.countRequest(Call.Identity.Account.Id, Services.Clock.now());
  for (unsigned Attempt = 1;; ++Attempt) {
    auto Sent = sendUntilDelivered(Call, connection_use::Pooled);
    if (auto *Refusal = std::get_if<refusal>(&Sent))
      return respondWith(*Refusal, Call.Identity.Id.text());
    if (auto *Response = std::get_if<http_response>(&Sent))
      return billAndRespond(Call, makeRecordedResponse(*Response));
    if (Attempt >= MaximumAttempts ||
        !Services.Router.tryTakeRetry(Call.Identity.Account.Id,
                                      Services.Clock.now()))
      return respondWith(
          makeRefusal(502, "endpoint_failed", run_state::MayHaveRun,
                      std::get<http_failure>(Sent).Message, RetryAfterFailure),
          Call.Identity.Id.text());
  }
}

std::variant<http_response, http_failure, refusal>
service_relay::sendUntilDelivered(const call &Call,
                                  connection_use ConnectionUse) {
  std::set<endpoint_id> ExcludedEndpoints;
  for (unsigned Count = 0; Count < MaximumAttempts; ++Count) {
    auto Attempt = Services.Router.startServiceAttempt(
        Call.Service.Id, ExcludedEndpoints, Services.Clock.now());
    if (!Attempt)
      break;
    auto Sent = sendTo(Call, *Attempt, ConnectionUse);
    if (auto *Response = std::get_if<http_response>(&Sent))
      return std::move(*Response);
    const auto &Failure = std::get<http_failure>(Sent);
    if (Failure.Delivery == delivery::MayHaveRun)
      return Failure;
    ExcludedEndpoints.insert(Attempt->Endpoint.Id);
  }
  return makeRefusal(503, "no_endpoint", run_state::NotRun,
                     "no endpoint of the service is available",
                     RetryAfterFailure);
}

std::variant<http_response, http_failure>
service_relay::sendTo(const call &Call, const attempt &Attempt,
                      connection_use ConnectionUse) {
  http_request Request;
  Request.Method = Call.Request->Method;
  Request.Path = Call.Path;
  Request.Body = Call.Request->Body;
  const std::string Id =
      Call.Identity.Account.Id.text() + "/" + Call.Identity.Id.text();
  Request.Headers.emplace_back("X-Request-Id", Id);
  const std::string Type = headerValue(Call.Request->Headers, "Content-Type");
  if (!Type.empty())
    Request.Headers.emplace_back("Content-Type", Type);
  const steady_time StartedAt = Services.Clock.now();
  auto Sent = Services.Transport.send(Attempt.Endpoint.Address, Request,
                                      ServiceTimeouts, ConnectionUse);
  if (auto *Response = std::get_if<http_response>(&Sent)) {
    const std::string EchoedId = headerValue(Response->Headers, "X-Request-Id");
    if (!EchoedId.empty() && EchoedId != Id) {
      Services.Metrics.increment("azurehaven_foreign_answers_total");
      Sent = http_failure{delivery::MayHaveRun, "response to another request"};
    }
  }
  attempt_report Report;
  const steady_time Now = Services.Clock.now();
  Report.TotalTime = std::chrono::duration_cast<milliseconds>(Now - StartedAt);
  Report.Outcome = std::holds_alternative<http_response>(Sent)
                       ? attempt_outcome::Answered
                       : attempt_outcome::Failed;
  Services.Router.finishAttempt(Attempt, work_class(), Report, Now);
  return Sent;
}

bool service_relay::commitCallBill(const call &Call) {
  bill Bill;
  Bill.Account = Call.Identity.Account.Id;
  Bill.Request = Call.Identity.Id;
  Bill.BodyFingerprint = Call.BodyFingerprint;
  Bill.Service = Call.Service.Id;
  Bill.Price = Call.Service.CallPrice;
  Bill.Cost = Call.Service.CallPrice;
  Bill.At = Services.Clock.wallNow();
  Bill.Vm = Services.Settings.Vm;
  return commitBill(Services, Bill);
}

served_response service_relay::serveOutcome(const caller_identity &Identity) {
  const auto RespondWithStoreError = [&](const error &Error) {
    return respondWith(makeRefusal(503, "store_unavailable", run_state::NotRun,
                                   Error.Message, RetryAfterStoreFailure),
                       Identity.Id.text());
  };
  auto Recorded =
      Services.Claims.readResponse({Identity.Account.Id, Identity.Id, 0});
  if (isError(Recorded) && errorOf(Recorded).Code != error_code::NotFound)
    return RespondWithStoreError(errorOf(Recorded));
  auto Bills = readLedger(Services.Store, Identity.Account.Id);
  if (isError(Bills))
    return RespondWithStoreError(errorOf(Bills));
  const bool IsBilled = std::any_of(
      valueOf(Bills).begin(), valueOf(Bills).end(),
      [&](const bill &Bill) { return Bill.Request == Identity.Id; });
  nlohmann::json Body = {{"request_id", Identity.Id.text()},
                         {"billed", IsBilled}};
  if (isError(Recorded)) {
    Body["run"] = IsBilled ? "run" : "unknown";
  } else if (!valueOf(Recorded)) {
    Body["run"] = "may_have_run";
  } else {
    Body["run"] = "run";
    Body["status"] = valueOf(Recorded)->Status;
    Body["answer"] = valueOf(Recorded)->Body;
  }
  served_response Response;
  Response.Body =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Response;
}

} // namespace azurehaven
