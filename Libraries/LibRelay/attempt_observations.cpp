#include "LibRelay/attempt_observations.h"

#include "LibDispatch/endpoint_health.h"
#include "LibRelay/request_placement.h"

namespace azurehaven {

namespace {

/// How often a running request tells of its session.
constexpr milliseconds PinRefreshInterval{1000};

} // namespace

void attempt_observations::onSent(std::shared_ptr<endpoint_record> NewEndpoint,
                                  const model_id &Model,
                                  std::optional<std::size_t> NewModelIndex,
                                  std::uint64_t KnownEvents,
                                  double NewPromptWorkAhead, steady_time Now) {
  Endpoint = std::move(NewEndpoint);
  ModelIndex = NewModelIndex;
  PromptWorkAhead = NewPromptWorkAhead;
  IsForwarded = false;
  Recorder.onSent(Endpoint->Descriptor, Model,
                  isPromptCached(Admitted, ModelIndex, *Endpoint, Now),
                  KnownEvents, Now);
  Crashes.onSent(Endpoint->Descriptor, KnownEvents, Now);
  recordSend(Fleet, Admitted, ModelIndex, *Endpoint, Now);
}

void attempt_observations::onForwarded(std::shared_ptr<endpoint_record> Peer,
                                       std::uint64_t KnownEvents,
                                       steady_time Now) {
  Endpoint = std::move(Peer);
  IsForwarded = true;
  Crashes.onSent(Endpoint->Descriptor, KnownEvents, Now);
}

void attempt_observations::onHead(bool IsSuccess, steady_time Now) {
  Crashes.onHead(Now);
  if (IsForwarded)
    return;
  Recorder.onHead(Now);
  if (ModelIndex && IsSuccess)
    Fleet.PrefillTimes.add(PromptWorkAhead, Recorder.msSinceSent(Now));
}

void attempt_observations::onEvents(std::uint64_t EventCount, steady_time Now) {
  Crashes.onEvents(EventCount, Now);
  Recorder.onEvents(EventCount, Now);
}

void attempt_observations::onDropped(steady_time Now) {
  recordSuccess(*Endpoint);
  Recorder.record(/*HasFailed=*/false, Now);
}

void attempt_observations::onComplete(steady_time Now) {
  recordSuccess(*Endpoint);
  Crashes.onComplete(Now);
  Recorder.record(/*HasFailed=*/false, Now);
  // The VM that has served a forwarded request pins its session.
  if (!IsForwarded)
    pinSession(Fleet, Admitted, *Endpoint, Now);
}

void attempt_observations::refreshSessionPin(steady_time Now) {
  if (IsForwarded || !Recorder.isRunning())
    return;
  const auto Pin = Fleet.Pins.find(
      Admitted.Session, Endpoint->Descriptor.Release, steady_time::min(), Now);
  const bool IsFresh = Pin && Pin->Release == Endpoint->Descriptor.Release &&
                       Now - Pin->SeenAt < PinRefreshInterval;
  if (!IsFresh)
    pinSession(Fleet, Admitted, *Endpoint, Now);
}

void attempt_observations::onErrorResponse(bool IsSigned, steady_time Now) {
  // An endpoint may crash under a request just after it has reported an error.
  recordAbandoned(Now);
  // A signed one comes from an endpoint behind the VM.
  if (!IsForwarded || !IsSigned)
    recordErrorResponse(*Endpoint, Now);
  Recorder.record(/*HasFailed=*/true, Now);
}

void attempt_observations::onMisdirected(steady_time Now) {
  recordIdentityMismatch(*Endpoint, Now);
}

void attempt_observations::onFailed(attempt_failure Failure, steady_time Now) {
  recordFailure(*Endpoint, Now);
  if (Failure == attempt_failure::Malformed)
    recordMalformedResponse(Now);
  else if (mayHaveRun(Failure))
    recordMissingResponse(Failure, Now);
  else
    Crashes.drop();
}

void attempt_observations::onCancelled(bool WasSent, steady_time Now) {
  if (WasSent)
    recordAbandoned(Now);
  else
    Crashes.drop();
}

void attempt_observations::recordAbandoned(steady_time Now) {
  // The VM that a request was forwarded to records it.
  if (IsForwarded)
    Crashes.drop();
  else
    Crashes.recordAbandoned(silentSince(Now), Now);
}

std::optional<steady_time>
attempt_observations::silentSince(steady_time Now) const {
  const steady_time Progress = Crashes.lastProgressAt();
  if (Admitted.isForEngines()) {
    const bool IsUnanswered =
        Endpoint->FailedInspections > 0 && Endpoint->UnansweredSince > Progress;
    return IsUnanswered ? std::optional(Endpoint->UnansweredSince)
                        : std::nullopt;
  }
  const route &Route = *Admitted.Route;
  const auto UsualMs = Fleet.LatencyBaseline.meanMs(Route.Name, model_id());
  if (Now - Progress < plainIdleTimeout(Route, UsualMs))
    return std::nullopt;
  return Progress + usualResponseTime(Route, UsualMs);
}

void attempt_observations::recordMalformedResponse(steady_time Now) {
  // The VM that a request was forwarded to has sent it, not an endpoint.
  if (IsForwarded) {
    Recorder.drop();
    return Crashes.recordUncounted("forwarded");
  }
  Recorder.record(/*HasFailed=*/true, Now);
  Crashes.recordMalformed(Now);
}

void attempt_observations::recordMissingResponse(attempt_failure Failure,
                                                 steady_time Now) {
  // Another VM tells nothing of endpoints, and a lost path nothing of releases.
  const bool IsPathLost = Fleet.Paths.isLost(Admitted.Service);
  std::optional<release_key> FailedRelease;
  if (IsForwarded || IsPathLost)
    Recorder.drop();
  else if (recordCrash(*Endpoint, Now)) {
    // An engine that does not report may go on.
    if (Failure == attempt_failure::Unresponsive &&
        Endpoint->FailedInspections > 0) {
      Recorder.drop();
      FailedRelease = {Endpoint->Descriptor.Service,
                       Endpoint->Descriptor.Release, Admitted.Route->Name};
    } else {
      Recorder.record(/*HasFailed=*/true, Now);
    }
  }
  if (IsForwarded)
    return Crashes.recordUncounted("forwarded");
  // Nothing comes over a lost path, whatever the endpoint does; but a
  // connection that has ended may have ended with its process, whatever the
  // path does.
  if (Failure == attempt_failure::Unresponsive && IsPathLost)
    return Crashes.recordUncounted("path_lost");
  if (Failure == attempt_failure::Silent)
    return recordAbandoned(Now);
  if (Failure == attempt_failure::Unresponsive)
    return Crashes.recordUnresponsive(std::move(FailedRelease),
                                      silentSince(Now).value_or(Now), Now);
  Crashes.recordCrash(silentSince(Now), Now);
}

} // namespace azurehaven
