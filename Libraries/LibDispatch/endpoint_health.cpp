#include "LibDispatch/endpoint_health.h"

#include <algorithm>

namespace azurehaven {

namespace {

constexpr milliseconds FirstAvoidance{250};
constexpr milliseconds LongestAvoidance{4000};
constexpr double FailureSmoothing = 0.15;
/// Failures of one endpoint within this time have one cause.
constexpr milliseconds BreakdownSpan{1000};

} // namespace

void recordFailure(endpoint_record &Endpoint, steady_time Now) {
  Endpoint.ConsecutiveFailures = std::min(Endpoint.ConsecutiveFailures + 1, 8u);
  const milliseconds Pause =
      std::min(FirstAvoidance * (1 << (Endpoint.ConsecutiveFailures - 1)),
               LongestAvoidance);
  Endpoint.EjectedUntil = std::max(Endpoint.EjectedUntil, Now + Pause);
  Endpoint.FailureRate += FailureSmoothing * (1 - Endpoint.FailureRate);
}

void recordErrorResponse(endpoint_record &Endpoint, steady_time Now) {
  const steady_time Before = Endpoint.EjectedUntil;
  recordFailure(Endpoint, Now);
  if (Endpoint.ConsecutiveFailures < 2)
    Endpoint.EjectedUntil = Before;
}

void recordSuccess(endpoint_record &Endpoint) {
  Endpoint.ConsecutiveFailures = 0;
  Endpoint.FailureRate -= FailureSmoothing * Endpoint.FailureRate;
}

void recordIdentityMismatch(endpoint_record &Endpoint, steady_time Now) {
  Endpoint.EjectedUntil =
      std::max(Endpoint.EjectedUntil, Now + LongestAvoidance);
}

bool recordCrash(endpoint_record &Endpoint, steady_time Now) {
  const bool IsFirst = Now - Endpoint.LastCrash > BreakdownSpan;
  Endpoint.LastCrash = Now;
  return IsFirst;
}

} // namespace azurehaven
