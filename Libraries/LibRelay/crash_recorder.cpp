#include "LibRelay/crash_recorder.h"

#include "LibRelay/counted_crash.h"
#include "LibRelay/crash_confirmation.h"

#include <algorithm>
#include <utility>

namespace azurehaven {

namespace {

/// Events after which a response makes progress: its endpoint does not crash at
/// its begin.
constexpr std::uint64_t SoundResponseEvents = 3;
constexpr std::size_t MaximumUnconfirmed = 4096;

} // namespace

void crash_recorder::onSent(const endpoint_descriptor &NewEndpoint,
                            std::uint64_t KnownEvents, steady_time Now) {
  Endpoint = NewEndpoint;
  SentAt = Now;
  AliveAt = steady_time();
  LastProgressAt = Now;
  EventsBefore = KnownEvents;
  Events = 0;
  HasHead = false;
  IsOpen = true;
}

void crash_recorder::onHead(steady_time Now) {
  HasHead = true;
  LastProgressAt = Now;
}

void crash_recorder::onEvents(std::uint64_t EventCount, steady_time Now) {
  LastProgressAt = Now;
  const bool WasSound = Events >= SoundResponseEvents;
  Events = EventCount - EventsBefore;
  if (!WasSound && Events >= SoundResponseEvents)
    clearSegments(Now);
}

void crash_recorder::onComplete(steady_time Now) {
  drop();
  Fleet.Quarantine.clear(Admitted.Fingerprint, Now);
  for (unconfirmed_crash &Crash : Fleet.UnconfirmedCrashes)
    if (Crash.Observed.Fingerprint == Admitted.Fingerprint)
      Crash.Observed.IsRequestBlamed = false;
  clearSegments(Now);
  std::erase_if(Fleet.UnconfirmedCrashes, [](const unconfirmed_crash &Crash) {
    return !Crash.Observed.IsRequestBlamed &&
           Crash.Observed.BlamedSegments.empty() && !Crash.FailedRelease;
  });
}

void crash_recorder::clearSegments(steady_time Now) {
  const std::vector<segment_key> &Sound = Admitted.SharedSegments;
  Fleet.PromptQuarantine.clearLocal(Sound, Now);
  for (unconfirmed_crash &Crash : Fleet.UnconfirmedCrashes)
    std::erase_if(Crash.Observed.BlamedSegments, [&](segment_key Segment) {
      return std::find(Sound.begin(), Sound.end(), Segment) != Sound.end();
    });
}

void crash_recorder::recordUncounted(const char *Reason) {
  if (!std::exchange(IsOpen, false))
    return;
  logUncountedCrash(Log, Admitted.Request.Id, processStartId(Endpoint), Reason);
}

observed_crash crash_recorder::observed(attempt_end End, steady_time CrashedBy,
                                        steady_time Now) const {
  observed_crash Crash;
  Crash.Request = Admitted.Request.Id;
  Crash.Service = Admitted.Service;
  Crash.Fingerprint = Admitted.Fingerprint;
  Crash.ProcessStart = processStartId(Endpoint);
  Crash.End = End;
  Crash.Prompt = Admitted.Request.Prompt;
  Crash.SentAt = SentAt;
  Crash.At = Now;
  Crash.CrashedBy = std::max(CrashedBy, SentAt);
  // A request whose response made progress has not caused the crash.
  if (Events < SoundResponseEvents)
    Crash.BlamedSegments = Admitted.SharedSegments;
  Crash.CoincidentSince = coincidentSince(End);
  return Crash;
}

std::optional<steady_time>
crash_recorder::coincidentSince(attempt_end End) const {
  const bool IsEndKnown =
      End == attempt_end::ConnectionEnded || End == attempt_end::Unresponsive;
  // A response that has begun ends with its endpoint.
  if (HasHead && IsEndKnown)
    return std::nullopt;
  if (HasHead)
    return LastProgressAt;
  // Whatever ends many endpoints ends the requests that wait on them, and may
  // end all that come until the service is seen to work again.
  return std::min(SentAt, Fleet.Paths.lastReceivedByAny(Admitted.Service));
}

void crash_recorder::recordCrash(std::optional<steady_time> SilentSince,
                                 steady_time Now) {
  if (!std::exchange(IsOpen, false))
    return;
  // A machine that was dark resets its connections as it is back.
  const attempt_end End =
      SilentSince ? attempt_end::Unseen : attempt_end::ConnectionEnded;
  observed_crash Crash = observed(End, SilentSince.value_or(Now), Now);
  if (SilentSince)
    narrow(Crash, Now);
  countCrash(Fleet, Log, Crash, "connection_ended");
}

// Where a service has been silent, nothing tells when its endpoints ended. That
// one of them took a connection does: it ended between that and now.
void crash_recorder::narrow(observed_crash &Crash, steady_time Now) const {
  if (!Crash.CoincidentSince || HasHead ||
      Now - AliveAt >= Crash.CrashedBy - *Crash.CoincidentSince)
    return;
  Crash.CoincidentSince = AliveAt;
  Crash.CrashedBy = Now;
}

void crash_recorder::recordUnresponsive(
    std::optional<release_key> FailedRelease, steady_time SilentSince,
    steady_time Now) {
  if (std::exchange(IsOpen, false))
    addUnconfirmed(observed(attempt_end::Unresponsive, SilentSince, Now),
                   std::move(FailedRelease));
}

void crash_recorder::recordAbandoned(std::optional<steady_time> SilentSince,
                                     steady_time Now) {
  if (!std::exchange(IsOpen, false))
    return;
  const steady_time CrashedBy = SilentSince.value_or(Now + AbandonedWorkTime);
  addUnconfirmed(observed(attempt_end::Unseen, CrashedBy, Now), std::nullopt);
}

void crash_recorder::recordMalformed(steady_time Now) {
  if (std::exchange(IsOpen, false))
    addUnconfirmed(
        observed(attempt_end::Malformed, Now + AbandonedWorkTime, Now),
        std::nullopt);
}

void crash_recorder::addUnconfirmed(observed_crash Observed,
                                    std::optional<release_key> FailedRelease) {
  if (Fleet.UnconfirmedCrashes.size() >= MaximumUnconfirmed)
    return logUncountedCrash(Log, Observed.Request, Observed.ProcessStart,
                             "too_many");
  unconfirmed_crash Crash{
      std::move(Observed),
      {Endpoint.Id, Endpoint.Incarnation},
      Endpoint.Address,
      Fleet.Endpoints.findProcessStart(processStartId(Endpoint))};
  // What is not listed any more may end at any time.
  if (!Crash.Endpoint && Crash.Observed.End != attempt_end::Unresponsive)
    return;
  Crash.IsLeaving = Crash.Endpoint && Crash.Endpoint->Descriptor.IsLeaving;
  Crash.FailedRelease = std::move(FailedRelease);
  Fleet.UnconfirmedCrashes.push_back(std::move(Crash));
}

bool crash_recorder::isQuarantined() const {
  return Fleet.Quarantine.isQuarantined(Admitted.Fingerprint) ||
         Fleet.PromptQuarantine.isQuarantined(Admitted.SharedSegments);
}

} // namespace azurehaven
