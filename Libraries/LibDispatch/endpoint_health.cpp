#include "LibDispatch/endpoint_health.h"

#include <algorithm>

namespace azurehaven {

namespace {

constexpr milliseconds InitialEjection{250};
constexpr milliseconds MaximumEjection{4000};
constexpr double FailureRateSmoothing = 0.15;
/// Failures of one endpoint within this time count as the same crash.
constexpr milliseconds CrashWindow{1000};

/// VMs resume sending to an endpoint that has shed load over this time.
constexpr milliseconds ResumptionSpread{1000};
/// Time after which a VM may have one more request at a time on an endpoint
/// that has shed load, and for how long the number is limited.
constexpr milliseconds AdmissionStep{100};
constexpr milliseconds AdmissionRamp{2000};

} // namespace

void recordShedding(endpoint_record &Endpoint, milliseconds RetryAfter,
                    double SpreadFraction, steady_time Now) {
  const auto Spread = std::chrono::duration_cast<steady_time::duration>(
      ResumptionSpread * SpreadFraction);
  Endpoint.ShedUntil = std::max(Endpoint.ShedUntil, Now + RetryAfter + Spread);
}

bool isAdmittedAfterShedding(const endpoint_record &Endpoint, steady_time Now) {
  if (Now < Endpoint.ShedUntil)
    return false;
  const auto SinceResumption = Now - Endpoint.ShedUntil;
  return SinceResumption >= AdmissionRamp ||
         Endpoint.InFlight <= SinceResumption / AdmissionStep;
}

std::optional<milliseconds> timeUntilAdmission(const endpoint_list &Endpoints,
                                               steady_time Now) {
  std::optional<milliseconds> Shortest;
  for (const auto &Endpoint : Endpoints) {
    if (Endpoint->Descriptor.IsLeaving)
      continue;
    const auto Admission = Endpoint->RateLimit.nextAdmission(Now);
    // Other VMs use the whole rate that the endpoint accepts.
    if (!Admission)
      continue;
    const steady_time At = std::max(Endpoint->ShedUntil, *Admission);
    if (Now >= At)
      return std::nullopt;
    const auto Left = std::chrono::ceil<milliseconds>(At - Now);
    Shortest = std::min(Shortest.value_or(Left), Left);
  }
  return Shortest;
}

void recordFailure(endpoint_record &Endpoint, steady_time Now) {
  Endpoint.ConsecutiveFailures = std::min(Endpoint.ConsecutiveFailures + 1, 8u);
  const milliseconds Ejection =
      std::min(InitialEjection * (1 << (Endpoint.ConsecutiveFailures - 1)),
               MaximumEjection);
  Endpoint.EjectedUntil = std::max(Endpoint.EjectedUntil, Now + Ejection);
  Endpoint.FailureRate += FailureRateSmoothing * (1 - Endpoint.FailureRate);
}

void recordErrorResponse(endpoint_record &Endpoint, steady_time Now) {
  const steady_time Before = Endpoint.EjectedUntil;
  recordFailure(Endpoint, Now);
  if (Endpoint.ConsecutiveFailures < 2)
    Endpoint.EjectedUntil = Before;
}

void recordSuccess(endpoint_record &Endpoint) {
  Endpoint.ConsecutiveFailures = 0;
  Endpoint.FailureRate -= FailureRateSmoothing * Endpoint.FailureRate;
}

void recordIdentityMismatch(endpoint_record &Endpoint, steady_time Now) {
  Endpoint.EjectedUntil =
      std::max(Endpoint.EjectedUntil, Now + MaximumEjection);
}

void endEjection(endpoint_record &Endpoint, steady_time Now) {
  Endpoint.ConsecutiveFailures = 0;
  Endpoint.EjectedUntil = std::min(Endpoint.EjectedUntil, Now);
}

bool recordCrash(endpoint_record &Endpoint, steady_time Now) {
  const bool IsNewCrash = Now - Endpoint.LastCrash > CrashWindow;
  Endpoint.LastCrash = Now;
  return IsNewCrash;
}

} // namespace azurehaven
