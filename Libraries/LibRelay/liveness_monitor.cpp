#include "LibRelay/liveness_monitor.h"

#include "LibRelay/engine_inspection.h"

namespace azurehaven {

namespace {

/// An engine whose response makes no progress for this long is inspected, then
/// once per interval. A long prompt delays the first byte by up to a second.
constexpr milliseconds EngineIdleTimeout{700};
constexpr milliseconds InspectionInterval{700};
constexpr milliseconds InspectionRetryDelay{100};
/// An engine with a long queue refuses connections, so a single failed
/// inspection does not show a failure.
constexpr unsigned FailedInspectionLimit = 2;
constexpr milliseconds CheckInterval{150};
/// Maximum age of an engine's report on arrival.
constexpr milliseconds MaxReportAge{600};
/// A check that is late by this much runs after this process stood still, and
/// maybe before what arrived meanwhile was read.
constexpr milliseconds StallTime{150};

} // namespace

liveness_monitor::liveness_monitor(relay_context &Context,
                                   std::shared_ptr<endpoint_record> Endpoint,
                                   request_id Id,
                                   std::optional<milliseconds> PlainIdleTimeout,
                                   unresponsive_handler Handler)
    : Context(Context), Endpoint(std::move(Endpoint)), Id(std::move(Id)),
      PlainIdleTimeout(PlainIdleTimeout), Handler(std::move(Handler)),
      Timer(Context.Executor), LastProgressAt(Context.Clock.now()) {}

void liveness_monitor::start() { scheduleCheck(); }

void liveness_monitor::stop() {
  Handler = nullptr;
  Timer.cancel();
}

void liveness_monitor::onProgress(steady_time Now) {
  LastProgressAt = Now;
  ReportedEvents.reset();
}

void liveness_monitor::scheduleCheck() {
  CheckDueAt = Context.Clock.now() + CheckInterval;
  Timer.expires_after(CheckInterval);
  Timer.async_wait([Self = shared_from_this()](const asio::error_code &Code) {
    if (!Code && Self->Handler)
      Self->check();
  });
}

bool liveness_monitor::postponeAfterStall(steady_time Now) {
  const bool IsLate = Now - CheckDueAt >= StallTime;
  // The loop has read what had arrived by the second check, however late.
  IsPostponed = IsLate && !IsPostponed;
  return IsPostponed;
}

void liveness_monitor::check() {
  const steady_time Now = Context.Clock.now();
  if (postponeAfterStall(Now))
    return scheduleCheck();
  const auto IdleTime = Now - LastProgressAt;
  if (PlainIdleTimeout) {
    if (IdleTime >= *PlainIdleTimeout)
      return reportUnresponsive("the response makes no progress");
    return scheduleCheck();
  }
  if (IdleTime >= EngineIdleTimeout) {
    if (isCutOff())
      return reportUnresponsive("the path to the service is lost");
    evaluateReport(Now);
    if (!Handler)
      return;
    const milliseconds InspectionDelay = Endpoint->FailedInspections > 0
                                             ? InspectionRetryDelay
                                             : InspectionInterval;
    if (Now - Endpoint->ReportAt >= InspectionDelay &&
        mayInspect(*Endpoint, Now))
      inspectEngine(Context, Endpoint, Id, [Weak = weak_from_this()] {
        if (auto Self = Weak.lock())
          Self->evaluateFailedInspection();
      });
  }
  scheduleCheck();
}

bool liveness_monitor::isCutOff() const {
  const auto LostSince =
      Context.Fleet.Paths.lostSince(Endpoint->Descriptor.Service);
  // Connections that were open before may still work.
  return LostSince && Endpoint->LastReceivedAt < *LostSince;
}

void liveness_monitor::evaluateReport(steady_time Now) {
  // A report counts only if the engine made it after the last progress.
  const bool IsConclusive =
      Endpoint->Report && Endpoint->ReportAt > LastProgressAt + MaxReportAge &&
      Now - Endpoint->ReportAt < InspectionInterval;
  if (!IsConclusive)
    return;
  auto Run = Endpoint->Report->EventsByRequest.find(Id);
  const bool IsRunning = Run != Endpoint->Report->EventsByRequest.end();
  const auto Before = std::exchange(
      ReportedEvents,
      IsRunning ? std::optional<std::uint64_t>(Run->second) : std::nullopt);
  const bool IsNewReport =
      std::exchange(EvaluatedReportAt, Endpoint->ReportAt) !=
      Endpoint->ReportAt;
  // Two reports since the last progress show whether the request advanced or
  // ended.
  if (!IsNewReport || !Before)
    return;
  if (IsRunning && Run->second > *Before)
    return reportUnresponsive(
        "the connection delivers no data while the engine generates events");
  if (!IsRunning)
    return reportUnresponsive("the engine no longer runs the request");
}

void liveness_monitor::evaluateFailedInspection() {
  if (!Handler || Endpoint->FailedInspections < FailedInspectionLimit)
    return;
  // Another request may have received data from the engine meanwhile.
  if (Context.Clock.now() - Endpoint->LastReceivedAt >= EngineIdleTimeout)
    reportUnresponsive("the engine does not respond");
}

void liveness_monitor::reportUnresponsive(const std::string &Reason) {
  if (auto Callback = std::exchange(Handler, nullptr))
    Callback(Reason);
}

} // namespace azurehaven
