#include "LibRelay/crash_confirmation.h"

#include "LibDispatch/endpoint_health.h"
#include "LibRelay/counted_crash.h"
#include "LibRelay/engine_inspection.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// A server that crashed is back within some seconds.
constexpr milliseconds EvidenceTime{10000};
constexpr milliseconds InspectionInterval{1000};
/// Inspections that one call starts, for all engines together.
constexpr unsigned MaximumInspections = 8;
/// A path over which connections are refused is found lost within this time.
/// Silent engines that are full reset connections, which is no evidence.
constexpr milliseconds RefusalTime{1000};
/// An entry that expired while its owner stood still is back within this time.
constexpr milliseconds UnlistedTime{3000};

struct crash_verdict {
  bool IsCrash = false;
  /// The evidence or the reason not to count it.
  const char *Reason = nullptr;
  /// Whether the attempt failed for want of the endpoint.
  bool HasFailed = IsCrash;
};

/// Follows the entry of the process start. Its record is a new one if the entry
/// was gone for a while.
void updateListing(const fleet_state &Fleet, unconfirmed_crash &Crash,
                   registry_state Registry, steady_time Now) {
  auto Listed = Fleet.Endpoints.findProcessStart(Crash.Observed.ProcessStart);
  if (!Listed) {
    const bool IsKnown = Registry == registry_state::Current;
    Crash.UnlistedSince = IsKnown ? Crash.UnlistedSince.value_or(Now) : Now;
    return;
  }
  Crash.UnlistedSince.reset();
  Crash.IsLeaving |= Listed->Descriptor.IsLeaving;
  Crash.Endpoint = std::move(Listed);
}

bool wasAbandoned(const unconfirmed_crash &Crash) {
  return Crash.Observed.End != attempt_end::Unresponsive;
}

/// The latest time at which the endpoint can have crashed under the attempt.
steady_time latestCrashTime(const unconfirmed_crash &Crash) {
  return wasAbandoned(Crash) ? Crash.Observed.At + AbandonedWorkTime
                             : Crash.Observed.At;
}

bool hasGoneOn(const unconfirmed_crash &Crash) {
  return Crash.Endpoint &&
         std::max(Crash.Endpoint->LastReceivedAt, Crash.Endpoint->ReportedAt) >
             latestCrashTime(Crash);
}

/// When other connections to the process start ended, of this VM or another
/// one, if an abandoned attempt may have caused that.
std::optional<steady_time> endSeenByOthers(const unconfirmed_crash &Crash) {
  if (!wasAbandoned(Crash) || !Crash.Endpoint)
    return std::nullopt;
  const auto EndedAt = Crash.Endpoint->AllegedCrashAt;
  const bool IsPossible = EndedAt && *EndedAt >= Crash.Observed.SentAt &&
                          *EndedAt <= latestCrashTime(Crash);
  return IsPossible ? EndedAt : std::nullopt;
}

bool isReplaced(const fleet_state &Fleet, const unconfirmed_crash &Crash) {
  const auto Listed = Fleet.Endpoints.find(Crash.Start.Endpoint);
  if (Listed && Listed->Descriptor.Incarnation > Crash.Start.Incarnation)
    return true;
  // A process start may come back under another id.
  if (Fleet.Endpoints.isReplacedAt(Crash.Address, Crash.Start.Incarnation))
    return true;
  return Crash.Endpoint && Crash.Endpoint->SuccessorSeenAt > Crash.Observed.At;
}

bool isRefusing(const unconfirmed_crash &Crash) {
  return Crash.Endpoint && Crash.Endpoint->RefusedSince &&
         Crash.Endpoint->ReportAt - *Crash.Endpoint->RefusedSince >=
             RefusalTime;
}

bool isGone(const unconfirmed_crash &Crash, steady_time Now) {
  return Crash.UnlistedSince && Now - *Crash.UnlistedSince >= UnlistedTime;
}

/// What is known; nullopt if the crash has to wait.
std::optional<crash_verdict> judge(const fleet_state &Fleet,
                                   const unconfirmed_crash &Crash,
                                   steady_time Now) {
  if (Fleet.Paths.isLost(Crash.Observed.Service))
    return crash_verdict{false, "path_lost"};
  if (hasGoneOn(Crash))
    return crash_verdict{false, "silent"};
  if (Crash.IsLeaving)
    return crash_verdict{false, "leaving"};
  if (endSeenByOthers(Crash))
    return crash_verdict{true, "connections_ended"};
  if (isReplaced(Fleet, Crash))
    return crash_verdict{true, "replaced"};
  if (isRefusing(Crash))
    return crash_verdict{true, "refused"};
  if (isGone(Crash, Now))
    return crash_verdict{true, "unlisted"};
  if (Now - Crash.Observed.At >= EvidenceTime)
    return crash_verdict{false, "no_evidence", /*HasFailed=*/true};
  return std::nullopt;
}

void settle(fleet_state &Fleet, const event_log &Log,
            const unconfirmed_crash &Crash, crash_verdict Verdict,
            steady_time Now) {
  observed_crash Observed = Crash.Observed;
  Observed.CrashedBy =
      std::min(endSeenByOthers(Crash).value_or(Observed.CrashedBy), Now);
  if (Crash.FailedRelease && Verdict.HasFailed)
    Fleet.ReleaseStatistics.addLocal(*Crash.FailedRelease,
                                     {.Requests = 1, .Failures = 1});
  const bool IsBlamed =
      Observed.IsRequestBlamed || !Observed.BlamedSegments.empty();
  if (Verdict.IsCrash && IsBlamed)
    return countCrash(Fleet, Log, Observed, Verdict.Reason);
  // Of most abandoned attempts the endpoint goes on, which is no news.
  if (wasAbandoned(Crash) && hasGoneOn(Crash))
    return;
  logUncountedCrash(Log, Observed.Request, Observed.ProcessStart,
                    Verdict.IsCrash ? "request_sound" : Verdict.Reason);
  // All requests on the engine gave up at once, each as one more failure.
  if (hasGoneOn(Crash))
    endEjection(*Crash.Endpoint, Now);
}

bool isEngine(const fleet_state &Fleet, const service_id &Service) {
  const endpoint_pool *Pool =
      Fleet.Routes ? Fleet.Routes->pool(Service) : nullptr;
  return Pool && Pool->Engine;
}

bool isInspectionDue(const fleet_state &Fleet, const unconfirmed_crash &Crash,
                     steady_time Now) {
  // Enough other requests tell of the endpoints of abandoned attempts.
  if (!Crash.Endpoint || Crash.UnlistedSince || wasAbandoned(Crash))
    return false;
  const endpoint_record &Endpoint = *Crash.Endpoint;
  return Now - Endpoint.ReportAt >= InspectionInterval &&
         Now >= Endpoint.ShedUntil && mayInspect(Endpoint, Now) &&
         isEngine(Fleet, Crash.Observed.Service);
}

void inspectSilentEngines(relay_context &Context, steady_time Now) {
  unsigned Started = 0;
  for (const unconfirmed_crash &Crash : Context.Fleet.UnconfirmedCrashes) {
    if (!isInspectionDue(Context.Fleet, Crash, Now))
      continue;
    inspectEngine(Context, Crash.Endpoint, Crash.Observed.Request);
    if (++Started == MaximumInspections)
      return;
  }
}

} // namespace

void confirmCrashes(relay_context &Context, registry_state Registry,
                    steady_time Now) {
  fleet_state &Fleet = Context.Fleet;
  std::erase_if(Fleet.UnconfirmedCrashes, [&](unconfirmed_crash &Crash) {
    updateListing(Fleet, Crash, Registry, Now);
    const auto Verdict = judge(Fleet, Crash, Now);
    if (Verdict)
      settle(Fleet, Context.Log, Crash, *Verdict, Now);
    return Verdict.has_value();
  });
  inspectSilentEngines(Context, Now);
}

} // namespace azurehaven
