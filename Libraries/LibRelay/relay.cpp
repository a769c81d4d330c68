#include "LibRelay/relay.h"

#include "LibRelay/relayed_request.h"
#include "LibRelay/stop_admission.h"

namespace azurehaven {

namespace {

/// Retry-After of a VM without a current configuration: another VM may have
/// one, or the store may soon be available again.
constexpr milliseconds UnconfiguredRetryAfter{1000};
/// Requests that are under way end soon, and other VMs may have memory left.
constexpr milliseconds OutOfMemoryRetryAfter{500};
/// For the connections of VMs, which have applied the limits of callers already
/// and add fields to the head; the operator's limits are for callers. The idle
/// timeout is well above the time for which a VM reuses a connection.
constexpr caller_limits ForwardingLimits{80 << 10, 64 << 20, milliseconds(3000),
                                         milliseconds(15000)};
/// Retry-After of a request that crashes endpoints; it stays quarantined for
/// long.
constexpr milliseconds QuarantineRetryAfter{60000};

const char *faultName(request_parse_error Fault) {
  switch (Fault) {
  case request_parse_error::HeadTooLarge:
    return "head_too_large";
  case request_parse_error::BodyTooLarge:
    return "body_too_large";
  case request_parse_error::Incomplete:
    return "incomplete";
  case request_parse_error::OutOfMemory:
    return "out_of_memory";
  case request_parse_error::None:
  case request_parse_error::Malformed:
    break;
  }
  return "malformed";
}

} // namespace

void markEndpointLeaving(relay_context &Context,
                         const endpoint_record &Endpoint, steady_time Now) {
  const endpoint_start Start{Endpoint.Descriptor.Id,
                             Endpoint.Descriptor.Incarnation};
  if (!Context.Fleet.Endpoints.markLeaving(Start, Now))
    return;
  Context.Log.write(log_level::Info, "endpoint_leaving",
                    {{"endpoint", Start.Endpoint.text()},
                     {"incarnation", std::to_string(Start.Incarnation)}});
}

caller_limits relay::limits() const {
  caller_limits Limits;
  if (Context.Fleet.Routes) {
    const request_limits &Bounds = Context.Fleet.Routes->limits();
    Limits = {Bounds.HeaderBytes, Bounds.BodyBytes, Bounds.HeaderTimeout,
              Bounds.IdleTimeout};
  }
  return Source == request_source::Vm ? largerOf(Limits, ForwardingLimits)
                                      : Limits;
}

bool relay::sendsConnectionClose() const { return Context.Fleet.IsStopping; }

void relay::onConnectionClosed(const closed_connection &Closed) {
  Context.Metrics.increment("azurehaven_closed_connections_total",
                            std::string("reason=\"") + nameOf(Closed.Reason) +
                                "\"");
  if (!Closed.hasUnansweredRequest())
    return;
  Context.Log.write(
      log_level::Warning, "connection_closed_unanswered",
      {{"reason", nameOf(Closed.Reason)},
       {"from", Source == request_source::Vm ? "vm" : "caller"},
       {"has_request", Closed.HasRequest ? "yes" : "no"},
       {"request_bytes", std::to_string(Closed.RequestBytes)},
       {"unread_bytes", std::to_string(Closed.UnreadBytes)},
       {"unsent_bytes", std::to_string(Closed.UnsentBytes)},
       {"idle_ms", std::to_string(Closed.IdleTime.count())},
       {"armed_ms", std::to_string(Closed.ArmedTimeout.count())},
       {"idle_limit_ms", std::to_string(limits().IdleTimeout.count())},
       {"responses", std::to_string(Closed.Responses)}});
}

rejection_body relay::onInvalidRequest(request_parse_error Fault) {
  const char *Name = faultName(Fault);
  Context.Metrics.increment("azurehaven_rejected_bytes_total",
                            std::string("fault=\"") + Name + "\"");
  Context.Log.write(
      log_level::Info, "bytes_rejected",
      {{"fault", Name},
       {"buffered_bytes", std::to_string(Context.Memory.used())}});
  if (Fault != request_parse_error::OutOfMemory)
    return {};
  return {
      {}, {}, Context.Codec.localResponseHeaders({}, OutOfMemoryRetryAfter)};
}

void relay::refuse(const dispatch_request &Request, caller_connection &Caller,
                   int Status, std::optional<milliseconds> RetryAfter,
                   const char *Reason) {
  fleet_state &Fleet = Context.Fleet;
  const steady_time Now = Context.Clock.now();
  const auto Age = Fleet.Confirmation.age(Now);
  Context.Metrics.increment("azurehaven_refused_total",
                            std::string("reason=\"") + Reason + "\"");
  Context.Log.write(
      log_level::Warning, "request_refused",
      {{"request", Request.Id.text()},
       {"status", std::to_string(Status)},
       {"reason", Reason},
       {"config_version",
        Fleet.Routes ? std::to_string(Fleet.Routes->version()) : "none"},
       {"config_age_ms", Age ? std::to_string(Age->count()) : "never"}});
  Caller.sendResponse(
      Status, Context.Codec.localResponseHeaders(Request.Id, RetryAfter), {});
}

void relay::onRequest(incoming_request Incoming,
                      std::shared_ptr<caller_connection> Caller) {
  const steady_time Now = Context.Clock.now();
  fleet_state &Fleet = Context.Fleet;
  auto Decoded = Context.Codec.decodeRequest(Incoming.Head);
  if (isError(Decoded))
    return refuse({}, *Caller, 400, std::nullopt, "malformed_request");
  dispatch_request &Request = valueOf(Decoded);
  if (Source == request_source::Vm) {
    auto Origin = Context.Codec.decodeOrigin(Incoming.Head);
    if (isError(Origin))
      return refuse(Request, *Caller, 400, std::nullopt, "malformed_origin");
    Request.Origin = valueOf(Origin);
    Context.Log.write(
        log_level::Info, "forwarded_request_received",
        {{"request", Request.Id.text()}, {"from", Request.Origin->Vm.text()}});
  }
  if (!Fleet.Routes)
    return refuse(Request, *Caller, 503, UnconfiguredRetryAfter,
                  "no_configuration");
  const bool IsCurrent = Fleet.Confirmation.isCurrent(Now);
  const route *Route = Fleet.Routes->match(Request.Host, Request.Path);
  if (!Route) {
    // A stale configuration may lack a route that has been added since.
    if (!IsCurrent)
      return refuse(Request, *Caller, 503, UnconfiguredRetryAfter,
                    "configuration_not_confirmed");
    return refuse(Request, *Caller, 404, std::nullopt, "no_route");
  }
  const caller_account *Account = Fleet.Routes->accountOf(Request.ApiKey);
  if (Fleet.Routes->needsKeys() && !Route->IsPublic) {
    if (!IsCurrent)
      return refuse(Request, *Caller, 503, UnconfiguredRetryAfter,
                    "configuration_not_confirmed");
    if (!Account)
      return refuse(Request, *Caller, 401, std::nullopt, "unknown_key");
  }
  if (!isAdmittedDuringStop(Fleet, *Route, timeLimitOf(Request, *Route), Now)) {
    const error_response Response = stoppingErrorResponse(false);
    return refuse(Request, *Caller, Response.Status, Response.RetryAfter,
                  Response.Reason);
  }
  const client_account_id AccountId =
      Account ? Account->Account : client_account_id();
  const request_fingerprint Fingerprint =
      fingerprintOf(Request, AccountId, Incoming.Body);
  if (Fleet.PromptQuarantine.isQuarantined(sharedSegments(Request)))
    return refuse(Request, *Caller, 503, QuarantineRetryAfter,
                  "prompt_breaks_endpoints");
  if (Fleet.Quarantine.isQuarantined(Fingerprint))
    return refuse(Request, *Caller, 503, QuarantineRetryAfter,
                  "breaks_endpoints");
  relayed_request::start(Context, std::move(Incoming), std::move(Request),
                         *Route, Account ? *Account : caller_account{},
                         Fingerprint, std::move(Caller));
}

} // namespace azurehaven
