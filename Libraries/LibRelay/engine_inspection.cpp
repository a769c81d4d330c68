#include "LibRelay/engine_inspection.h"

#include "LibRelay/path_watch.h"

namespace azurehaven {

namespace {

/// Time without a byte from any endpoint of a service after which a failed
/// inspection tells something of the path to it.
constexpr milliseconds ServiceIdleTimeout{500};

/// A failed inspection that ends this long after its time limit shows that this
/// process stood still and may not have read the response yet.
constexpr milliseconds StallTime{200};

/// A path that is lost may leave connections hanging, so that it takes long
/// until a new one has to be made for a request.
void recordOnPath(relay_context &Context, const endpoint_record &Endpoint,
                  error_code Code, steady_time StartedAt, steady_time Now) {
  const steady_time LastReceived =
      Context.Fleet.Paths.lastReceived(Endpoint.Descriptor.Service);
  if (Now - LastReceived < ServiceIdleTimeout)
    return;
  if (Code == error_code::OutcomeUnknown)
    recordUnanswered(Context, Endpoint, StartedAt, Now);
  else
    recordUnreachable(Context, Endpoint, Now);
}

/// The address may have passed to another process start.
bool isFromSuccessor(const endpoint_record &Endpoint,
                     const engine_report &Report) {
  return Report.Incarnation &&
         *Report.Incarnation > Endpoint.Descriptor.Incarnation;
}

void recordReport(relay_context &Context, endpoint_record &Endpoint,
                  engine_report Report, steady_time Now) {
  Endpoint.FailedInspections = 0;
  Endpoint.RefusedSince.reset();
  if (isFromSuccessor(Endpoint, Report))
    Endpoint.SuccessorSeenAt = Now;
  else if (!Report.Incarnation ||
           *Report.Incarnation == Endpoint.Descriptor.Incarnation)
    Endpoint.ReportedAt = Now;
  if (Report.IsLeaving && Report.Incarnation == Endpoint.Descriptor.Incarnation)
    markEndpointLeaving(Context, Endpoint, Now);
  Endpoint.Report = std::make_shared<const engine_report>(std::move(Report));
}

void recordFailedInspection(relay_context &Context, endpoint_record &Endpoint,
                            error_code Code, steady_time StartedAt,
                            steady_time Now) {
  Endpoint.Report = nullptr;
  if (Now - StartedAt >= InspectionTimeout + StallTime)
    return;
  if (Endpoint.LastReceivedAt > Endpoint.ReportAt)
    Endpoint.FailedInspections = 0;
  if (++Endpoint.FailedInspections == 1)
    Endpoint.UnansweredSince = StartedAt;
  if (Code != error_code::NotFound)
    Endpoint.RefusedSince.reset();
  else if (!Endpoint.RefusedSince)
    Endpoint.RefusedSince = Now;
  recordOnPath(Context, Endpoint, Code, StartedAt, Now);
}

void logInspection(const event_log &Log, const endpoint_record &Endpoint,
                   const request_id &Request,
                   const result<engine_report> &Report) {
  Log.write(
      log_level::Info, "engine_inspected",
      {{"endpoint", Endpoint.Descriptor.Id.text()},
       {"request", Request.text()},
       {"outcome", isError(Report) ? errorOf(Report).Message : "reported"}});
}

} // namespace

bool mayInspect(const endpoint_record &Endpoint, steady_time Now) {
  return !Endpoint.IsBeingInspected && Endpoint.RateLimit.allows(Now);
}

void inspectEngine(relay_context &Context,
                   const std::shared_ptr<endpoint_record> &Endpoint,
                   const request_id &Request, std::function<void()> OnFailed) {
  const steady_time StartedAt = Context.Clock.now();
  Endpoint->IsBeingInspected = true;
  Endpoint->RateLimit.consume(StartedAt);
  Context.Metrics.increment("azurehaven_engine_inspections_total");
  Context.Inspector->inspect(
      Endpoint->Descriptor,
      [&Context, Endpoint, Request, StartedAt,
       OnFailed = std::move(OnFailed)](result<engine_report> Report) {
        const steady_time Now = Context.Clock.now();
        logInspection(Context.Log, *Endpoint, Request, Report);
        Endpoint->IsBeingInspected = false;
        const bool HasFailed = isError(Report);
        if (HasFailed)
          recordFailedInspection(Context, *Endpoint, errorOf(Report).Code,
                                 StartedAt, Now);
        else
          recordReport(Context, *Endpoint, std::move(valueOf(Report)), Now);
        Endpoint->ReportAt = Now;
        if (HasFailed && OnFailed)
          OnFailed();
      });
}

} // namespace azurehaven
